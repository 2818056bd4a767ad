#include "src/jobs/job.h"

#include <algorithm>

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
  tasks_.resize(tasks_per_occurrence_ * static_cast<size_t>(occurrences_));
  for (int32_t k = 0; k < occurrences_; ++k) {
    for (const wire::StepSpec& step : spec_.steps) {
      step_counts_.push_back({.waiting = step.tasks});
    }
  }
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
  Task& task = this->task(id);
  StepCounts& counts = step_counts_[StepIndex(id.occurrence, id.step)];
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
}

TaskId Job::FailureKeeper(const TaskId& id) const {
  return {id.job, id.occurrence, id.step, step(id.step).gang ? 0 : id.index};
}

bool Job::CountFailure(const TaskId& id, int64_t attempt) {
  auto& counted = task(FailureKeeper(id)).failed_attempts;
  if (std::find(counted.begin(), counted.end(), attempt) != counted.end()) {
    return false;
  }
  counted.push_back(attempt);
  if (step(id.step).long_running && counted.size() > kLongRunningFailuresKept) {
    counted.erase(counted.begin());
  }
  return true;
}

bool Job::CountCrash(const TaskId& id, int64_t attempt, bool early) {
  CrashCounts& crashes = task(id).crashes;
  const auto counted = [attempt](const std::vector<int64_t>& in) {
    return std::find(in.begin(), in.end(), attempt) != in.end();
  };
  if (counted(crashes.early) || counted(crashes.other)) return false;
  (early ? crashes.early : crashes.other).push_back(attempt);
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
  out.done.assign((tasks_.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (size_t i = 0; i < tasks_.size(); ++i) {
    if (tasks_[i].phase != TaskPhase::kDone) continue;
    out.done[i / kBitsPerByte] = static_cast<char>(
        static_cast<unsigned char>(out.done[i / kBitsPerByte]) |
        (1U << (i % kBitsPerByte)));
  }
  if (progress_parts() == 0) AppendTaskStates(0, tasks_.size(), out.tasks);
  return out;
}

size_t Job::progress_parts() const {
  if (tasks_.size() <= kTasksPerProgressPart) return 0;
  return (tasks_.size() + kTasksPerProgressPart - 1) / kTasksPerProgressPart;
}

wire::ProgressRecord Job::ProgressPart(size_t part) const {
  wire::ProgressRecord out;
  const size_t begin = part * kTasksPerProgressPart;
  const size_t end = std::min(begin + kTasksPerProgressPart, tasks_.size());
  AppendTaskStates(begin, end, out.tasks);
  return out;
}

void Job::AppendTaskStates(size_t begin, size_t end,
                           std::vector<wire::TaskRecord>& out) const {
  for (size_t i = begin; i < end; ++i) {
    const Task& task = tasks_[i];
    const bool has_state = !task.failed_attempts.empty() ||
                           !task.checkpoint.empty() || task.crashes.total() > 0;
    if (task.phase == TaskPhase::kDone || !has_state) continue;
    wire::TaskRecord& record = out.emplace_back();
    record.task = static_cast<int32_t>(i);
    record.failed_attempts = task.failed_attempts;
    record.checkpoint = task.checkpoint;
    record.early_crashes = task.crashes.early;
    record.other_crashes = task.crashes.other;
  }
}

void Job::Restore(const wire::ProgressRecord& record) {
  state_ = static_cast<JobState>(record.state);
  started_ = state_ != JobState::kQueued;
  for (const wire::TaskRecord& stored : record.tasks) {
    const auto index = static_cast<size_t>(stored.task);
    MR_EXPECT(index < tasks_.size(), continue);
    Task& task = tasks_[index];
    task.failed_attempts = stored.failed_attempts;
    task.checkpoint = stored.checkpoint;
    task.crashes = {.early = stored.early_crashes,
                    .other = stored.other_crashes};
  }
  for (size_t i = 0; i < tasks_.size(); ++i) {
    if (i / kBitsPerByte >= record.done.size()) break;
    const auto byte = static_cast<unsigned char>(record.done[i / kBitsPerByte]);
    if ((byte >> (i % kBitsPerByte) & 1U) == 0) continue;
    TaskId id{.job = this->id(),
              .occurrence = static_cast<int32_t>(i / tasks_per_occurrence_)};
    const size_t index_in_occurrence = i % tasks_per_occurrence_;
    while (id.step + 1 < steps() &&
           first_task_[static_cast<size_t>(id.step) + 1] <=
               index_in_occurrence) {
      ++id.step;
    }
    id.index = static_cast<int32_t>(index_in_occurrence -
                                    first_task_[static_cast<size_t>(id.step)]);
    SetPhase(id, TaskPhase::kDone);
  }
}

}  // namespace mimosarail
