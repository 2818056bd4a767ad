#include "src/jobs/job.h"

#include <algorithm>

#include "src/jobs/job_memory.h"
#include "src/libs/base/soft_assert.h"

namespace mimosarail {
namespace {

constexpr size_t kBitsPerByte = 8;

/// Assumed number of upstreams that an advice call names, for estimates of its
/// duration.
constexpr double kAdviceUpstreams = 30;
/// Number of failed attempts kept for a long-running task. They serve only to
/// recognize an end that is reported twice, since such a task may fail any
/// number of times.
constexpr size_t kLongRunningFailuresKept = 8;
/// The same for other tasks, whose further failures are only counted. The
/// states of kTasksPerProgressPart tasks then fit into one record of the store.
constexpr size_t kFailuresKept = 64;

/// Returns the state of all tasks that have none of their own.
const Task& TaskWithoutState(TaskPhase phase) {
  static const Task kWaitingTask;
  static const Task kDoneTask{.phase = TaskPhase::kDone};
  return phase == TaskPhase::kDone ? kDoneTask : kWaitingTask;
}

bool HasStateToStore(const Task& task) {
  return task.failures() > 0 || !task.checkpoint.empty() ||
         !task.crashes.empty();
}

/// Bytes that the task takes in addition to kTaskBytes.
size_t HeldBytes(const Task& task) {
  return task.checkpoint.capacity() +
         sizeof(int64_t) * task.failed_attempts.capacity() +
         task.crashes.HeldBytes();
}

std::vector<wire::CrashRecord> ToCrashRecords(const CrashEvidence& evidence) {
  std::vector<wire::CrashRecord> out;
  for (const SuspectedCrash& crash : evidence.list()) {
    wire::CrashRecord& record = out.emplace_back();
    record.attempt = crash.attempt;
    record.upstream = crash.upstream;
    record.incarnation = crash.incarnation;
    record.last_seen_ms = crash.last_seen.count();
    record.silent_after_ms = crash.silent_after.count();
    record.sole_suspect = crash.sole_suspect;
    record.fate = static_cast<int32_t>(crash.fate);
  }
  return out;
}

CrashEvidence FromCrashRecords(const std::vector<wire::CrashRecord>& records) {
  CrashEvidence out;
  for (const wire::CrashRecord& record : records) {
    out.Add({.attempt = record.attempt,
             .upstream = record.upstream,
             .incarnation = record.incarnation,
             .last_seen = Millis(record.last_seen_ms),
             .silent_after = Millis(record.silent_after_ms),
             .sole_suspect = record.sole_suspect,
             .fate = static_cast<UpstreamFate>(record.fate)});
  }
  return out;
}

/// Only counts the oldest failures if there are too many to be listed.
void DropOldFailures(Task& task) {
  std::vector<int64_t>& listed = task.failed_attempts;
  if (listed.size() <= kFailuresKept) return;
  std::sort(listed.begin(), listed.end());
  const size_t dropped = listed.size() - kFailuresKept;
  task.unlisted_failures += static_cast<int32_t>(dropped);
  listed.erase(listed.begin(), listed.begin() + static_cast<int64_t>(dropped));
}

}  // namespace

int64_t Task::LastAttempt() const {
  int64_t last = attempt;
  for (const int64_t failed : failed_attempts) last = std::max(last, failed);
  return last;
}

Job::Job(const wire::JobSpec& spec)
    : spec_(spec), occurrences_(std::max(1, spec_.occurrences)) {
  for (const wire::StepSpec& step : spec_.steps) {
    first_task_.push_back(tasks_per_occurrence_);
    tasks_per_occurrence_ += static_cast<size_t>(step.tasks);
  }
  total_tasks_ = tasks_per_occurrence_ * static_cast<size_t>(occurrences_);
  critical_path_.resize(spec_.steps.size());
  for (size_t i = spec_.steps.size(); i-- > 0;) {
    Millis longest_after{0};
    for (size_t later = i + 1; later < spec_.steps.size(); ++later) {
      const auto& dependencies = spec_.steps[later].after;
      if (std::find(dependencies.begin(), dependencies.end(),
                    static_cast<int32_t>(i)) != dependencies.end()) {
        longest_after = std::max(longest_after, critical_path_[later]);
      }
    }
    critical_path_[i] = longest_after + EstimatedStepTime(spec_.steps[i]);
  }
}

Millis Job::EstimatedStepTime(const wire::StepSpec& step) const {
  Millis time(step.estimate_ms);
  if (spec_.queue.advised) {
    time += Millis(
        static_cast<int64_t>(spec_.queue.advice_base_ms +
                             kAdviceUpstreams * spec_.queue.advice_each_ms));
  }
  return time;
}

bool Job::Has(const TaskId& id) const {
  return id.job == this->id() && id.occurrence < occurrences_ &&
         id.step < steps() && id.index < step(id.step).tasks;
}

size_t Job::TaskIndex(const TaskId& id) const {
  return static_cast<size_t>(id.occurrence) * tasks_per_occurrence_ +
         first_task_[static_cast<size_t>(id.step)] +
         static_cast<size_t>(id.index);
}

StepId Job::StepAt(size_t step_index) const {
  return {.job = id(),
          .occurrence = static_cast<int32_t>(step_index / spec_.steps.size()),
          .step = static_cast<int32_t>(step_index % spec_.steps.size())};
}

size_t Job::FirstTaskIndex(size_t step_index) const {
  return step_index / spec_.steps.size() * tasks_per_occurrence_ +
         first_task_[step_index % spec_.steps.size()];
}

bool Job::IsDone(size_t task_index) const {
  if (task_index / kBitsPerByte >= done_bits_.size()) return false;
  const auto byte =
      static_cast<unsigned char>(done_bits_[task_index / kBitsPerByte]);
  return (byte >> (task_index % kBitsPerByte) & 1U) != 0;
}

void Job::MarkDone(size_t task_index) {
  const size_t at = task_index / kBitsPerByte;
  if (at >= done_bits_.size()) done_bits_.resize(at + 1, '\0');
  done_bits_[at] =
      static_cast<char>(static_cast<unsigned char>(done_bits_[at]) |
                        (1U << (task_index % kBitsPerByte)));
}

const Task& Job::task(const TaskId& id) const {
  const auto open = open_steps_.find(StepIndex(id.occurrence, id.step));
  if (open != open_steps_.end()) {
    const auto& task = open->second.tasks[static_cast<size_t>(id.index)];
    if (task != nullptr) return *task;
  }
  return TaskWithoutState(IsDone(TaskIndex(id)) ? TaskPhase::kDone
                                                : TaskPhase::kWaiting);
}

Job::StepTasks& Job::OpenStep(int32_t occurrence, int32_t step_index) {
  const size_t at = StepIndex(occurrence, step_index);
  const auto found = open_steps_.find(at);
  if (found != open_steps_.end()) return found->second;
  const StepCounts counts = step_counts(occurrence, step_index);
  StepTasks& opened = open_steps_[at];
  opened.counts = counts;
  opened.tasks.resize(static_cast<size_t>(step(step_index).tasks));
  return opened;
}

Task& Job::MutableTask(const TaskId& id) {
  StepTasks& open = OpenStep(id.occurrence, id.step);
  std::unique_ptr<Task>& task = open.tasks[static_cast<size_t>(id.index)];
  if (task == nullptr) {
    task = std::make_unique<Task>(TaskWithoutState(
        IsDone(TaskIndex(id)) ? TaskPhase::kDone : TaskPhase::kWaiting));
    ++open.allocated;
  }
  return *task;
}

void Job::ReleaseTask(const TaskId& id) {
  const auto found = open_steps_.find(StepIndex(id.occurrence, id.step));
  if (found == open_steps_.end() || !IsDone(TaskIndex(id))) return;
  auto& task = found->second.tasks[static_cast<size_t>(id.index)];
  if (task == nullptr) return;
  task.reset();
  --found->second.allocated;
  CloseStepIfDone(id.occurrence, id.step);
}

void Job::CloseStepIfDone(int32_t occurrence, int32_t step_index) {
  const auto found = open_steps_.find(StepIndex(occurrence, step_index));
  if (found == open_steps_.end() || found->second.allocated > 0) return;
  if (StepDone(occurrence, step_index)) open_steps_.erase(found);
}

StepCounts Job::step_counts(int32_t occurrence, int32_t step_index) const {
  const size_t at = StepIndex(occurrence, step_index);
  const auto open = open_steps_.find(at);
  if (open != open_steps_.end()) return open->second.counts;
  // The tasks of a step that is not open are all waiting or all done.
  const int32_t tasks = step(step_index).tasks;
  if (IsDone(FirstTaskIndex(at))) return {.done = tasks};
  return {.waiting = tasks};
}

std::vector<StepId> Job::OpenSteps() const {
  std::vector<StepId> out;
  for (const auto& [at, tasks] : open_steps_) out.push_back(StepAt(at));
  return out;
}

bool Job::OccurrenceDone(int32_t occurrence) const {
  for (int32_t s = 0; s < steps(); ++s) {
    if (!StepDone(occurrence, s)) return false;
  }
  return true;
}

size_t Job::MemoryBytes() const {
  size_t bytes = sizeof(Job) + SpecMemoryBytes(spec_) + done_bits_.capacity();
  for (const auto& [at, open] : open_steps_) {
    bytes += kOpenStepBytes + open.tasks.capacity() * sizeof(void*) +
             static_cast<size_t>(open.allocated) * kTaskBytes;
    if (open.allocated == 0) continue;
    for (const auto& task : open.tasks) {
      if (task != nullptr) bytes += HeldBytes(*task);
    }
  }
  return bytes;
}

bool Job::StepDone(int32_t occurrence, int32_t step_index) const {
  return step_counts(occurrence, step_index).done == step(step_index).tasks;
}

bool Job::StepReady(int32_t occurrence, int32_t step_index) const {
  const auto& dependencies = step(step_index).after;
  return std::all_of(
      dependencies.begin(), dependencies.end(),
      [&](int32_t before) { return StepDone(occurrence, before); });
}

void Job::SetPhase(const TaskId& id, TaskPhase phase) {
  Task& task = MutableTask(id);
  StepCounts& counts = OpenStep(id.occurrence, id.step).counts;
  const auto adjust_counts = [&](TaskPhase counted_phase, int32_t change) {
    if (counted_phase == TaskPhase::kWaiting) {
      counts.waiting += change;
    } else if (counted_phase == TaskPhase::kDone) {
      counts.done += change;
      done_ = static_cast<size_t>(static_cast<int64_t>(done_) + change);
    } else {
      counts.active += change;
      active_ += change;
    }
  };
  adjust_counts(task.phase, -1);
  task.phase = phase;
  adjust_counts(phase, 1);
  if (phase == TaskPhase::kDone) MarkDone(TaskIndex(id));
}

TaskId Job::FailureKeeper(const TaskId& id) const {
  return {id.job, id.occurrence, id.step, step(id.step).gang ? 0 : id.index};
}

bool Job::CountFailure(const TaskId& id, int64_t attempt) {
  const TaskId keeper = FailureKeeper(id);
  // The failures of a task that is done say nothing about its job.
  if (task(keeper).phase == TaskPhase::kDone) return false;
  Task& counting = MutableTask(keeper);
  auto& counted = counting.failed_attempts;
  if (std::find(counted.begin(), counted.end(), attempt) != counted.end()) {
    return false;
  }
  const bool long_running = step(id.step).long_running;
  const size_t kept = long_running ? kLongRunningFailuresKept : kFailuresKept;
  if (counted.size() < kept) {
    counted.push_back(attempt);
    return true;
  }
  const auto oldest = long_running
                          ? counted.begin()
                          : std::min_element(counted.begin(), counted.end());
  // An attempt before all listed ones is one that is no longer listed.
  if (!long_running && attempt < *oldest) return false;
  if (!long_running) ++counting.unlisted_failures;
  counted.erase(oldest);
  counted.push_back(attempt);
  return true;
}

int32_t Job::Failures(const TaskId& id) const {
  if (!step(id.step).gang) return task(id).failures();
  return task({id.job, id.occurrence, id.step, 0}).failures();
}

int64_t Job::LastAttempt(const StepId& id) const {
  int64_t last = 0;
  for (int32_t i = 0; i < step(id.step).tasks; ++i) {
    const Task& member = task({id.job, id.occurrence, id.step, i});
    last = std::max(last, member.LastAttempt());
  }
  return last;
}

void Job::NoteStarted() {
  started_ = true;
  if (state_ == JobState::kQueued) state_ = JobState::kRunning;
}

Millis Job::CriticalPathFrom(int32_t step_index) const {
  return critical_path_[static_cast<size_t>(step_index)];
}

Millis Job::Objective() const {
  const Millis longest =
      *std::max_element(critical_path_.begin(), critical_path_.end());
  return Millis(static_cast<int64_t>(static_cast<double>(longest.count()) *
                                     spec_.queue.slack_factor)) +
         Millis(spec_.queue.target_ms);
}

wire::ProgressRecord Job::Progress() const {
  wire::ProgressRecord out;
  out.state = static_cast<int32_t>(state_);
  // The progress of a job in a final state is not needed any more.
  if (final()) {
    out.account = spec_.account;
    return out;
  }
  out.done = done_bits_;
  out.done.resize((total_tasks_ + kBitsPerByte - 1) / kBitsPerByte, '\0');
  if (progress_parts() == 0) AppendTaskStates(0, total_tasks_, out.tasks);
  return out;
}

size_t Job::progress_parts() const {
  if (total_tasks_ <= kTasksPerProgressPart) return 0;
  return (total_tasks_ + kTasksPerProgressPart - 1) / kTasksPerProgressPart;
}

wire::ProgressRecord Job::ProgressPart(size_t part) const {
  wire::ProgressRecord out;
  const size_t begin = part * kTasksPerProgressPart;
  const size_t end = std::min(begin + kTasksPerProgressPart, total_tasks_);
  AppendTaskStates(begin, end, out.tasks);
  return out;
}

void Job::AppendTaskStates(size_t begin, size_t end,
                           std::vector<wire::TaskRecord>& out) const {
  for (const auto& [step_index, open] : open_steps_) {
    const size_t first = FirstTaskIndex(step_index);
    if (first >= end) break;
    if (open.allocated == 0) continue;
    const size_t to = std::min(end, first + open.tasks.size());
    for (size_t i = std::max(begin, first); i < to; ++i) {
      const Task* task = open.tasks[i - first].get();
      if (task == nullptr || task->phase == TaskPhase::kDone) continue;
      if (!HasStateToStore(*task)) continue;
      wire::TaskRecord& record = out.emplace_back();
      record.task = static_cast<int32_t>(i);
      record.failed_attempts = task->failed_attempts;
      record.unlisted_failures = task->unlisted_failures;
      record.checkpoint = task->checkpoint;
      record.crashes = ToCrashRecords(task->crashes);
    }
  }
}

TaskId Job::TaskAt(size_t task_index) const {
  const size_t in_occurrence = task_index % tasks_per_occurrence_;
  const auto after =
      std::upper_bound(first_task_.begin(), first_task_.end(), in_occurrence);
  const auto step = static_cast<size_t>(after - first_task_.begin()) - 1;
  return {
      .job = id(),
      .occurrence = static_cast<int32_t>(task_index / tasks_per_occurrence_),
      .step = static_cast<int32_t>(step),
      .index = static_cast<int32_t>(in_occurrence - first_task_[step])};
}

void Job::Restore(const wire::ProgressRecord& record) {
  state_ = static_cast<JobState>(record.state);
  started_ = state_ != JobState::kQueued;
  for (size_t i = 0; i < total_tasks_; ++i) {
    if (i / kBitsPerByte >= record.done.size()) break;
    const auto byte = static_cast<unsigned char>(record.done[i / kBitsPerByte]);
    if ((byte >> (i % kBitsPerByte) & 1U) == 0) continue;
    const TaskId id = TaskAt(i);
    SetPhase(id, TaskPhase::kDone);
    ReleaseTask(id);
  }
  for (const wire::TaskRecord& stored : record.tasks) {
    const auto index = static_cast<size_t>(stored.task);
    MR_EXPECT(index < total_tasks_, continue);
    if (IsDone(index)) continue;
    Task& task = MutableTask(TaskAt(index));
    task.failed_attempts = stored.failed_attempts;
    task.unlisted_failures = stored.unlisted_failures;
    DropOldFailures(task);
    task.checkpoint = stored.checkpoint;
    task.crashes = FromCrashRecords(stored.crashes);
  }
}

}  // namespace mimosarail
