#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs_types.h"
#include "src/jobs/crash_evidence.h"
#include "src/jobs/failure_streak.h"
#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail {

using UpstreamIndex = uint32_t;
inline constexpr UpstreamIndex kNoUpstream = UINT32_MAX;

enum class TaskPhase : uint8_t {
  kWaiting,
  kStarting,  ///< The start is in flight; whether the task runs is unknown.
  kRunning,
  kStopping,  ///< Stop ordered; its capacity is reserved until it ends.
  kDone,
};

/// State of one task.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the current or the last start.
  int64_t attempt = 0;
  /// The newest attempts that were counted as failures, in any order.
  std::vector<int64_t> failed_attempts;
  /// Number of attempts counted as failures that are no longer listed; always 0
  /// for a long-running task.
  int32_t unlisted_failures = 0;
  /// Failures since a run of the task succeeded or outlasted the failed ones.
  /// For a gang, those of all members, kept with the first one.
  FailureStreak failure_streak;
  /// The task does not start before this time.
  TimePoint earliest_start{};
  /// When the task could have started again after its last failure. For a
  /// bounded time from then on, it avoids upstreams where tasks have failed.
  TimePoint avoids_since{};
  CrashEvidence crashes;
  /// Upstream of the current run; kNoUpstream while the task waits.
  UpstreamIndex upstream = kNoUpstream;
  /// Upstream of the last failure. The next attempt avoids it if possible.
  UpstreamIndex failed_upstream = kNoUpstream;
  /// Progress of the current run, as last reported.
  int32_t percent = 0;
  /// When `percent` last changed.
  TimePoint progressed_at{};
  /// Time of the first report of the current run in which `percent` had
  /// changed. With `rate_base_percent` the base of the estimated rate of
  /// progress. Unset before that report.
  TimePoint rate_base_time{};
  int32_t rate_base_percent = 0;
  /// When the task's own part of the current run is expected to end.
  TimePoint expected_end{};
  /// The newest checkpoint, passed to the next start; empty if there is none.
  std::string checkpoint;

  int32_t failures() const {
    return unlisted_failures + static_cast<int32_t>(failed_attempts.size());
  }
  /// Returns the highest attempt number that is known to have been used.
  int64_t LastAttempt() const;
  /// Whether the task has resources reserved for a run.
  bool active() const {
    return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
           phase == TaskPhase::kStopping;
  }
};

/// Task counts of one step of one occurrence.
struct StepCounts {
  int32_t waiting = 0;
  int32_t active = 0;
  int32_t done = 0;
};

/// Number of tasks whose states are stored in one record.
inline constexpr size_t kTasksPerProgressPart = 256;

/// The state of one accepted job and its tasks. Does not decide where and when
/// tasks run. Takes memory for the steps that are in progress and for the tasks
/// that have started, and one bit for each task that is done, but none for
/// tasks and occurrences that have not begun. Not thread-safe.
class Job {
 public:
  /// Precondition: CheckJob() found nothing.
  explicit Job(const wire::JobSpec& spec);

  JobId id() const { return static_cast<JobId>(spec_.id); }
  const wire::JobSpec& spec() const { return spec_; }
  const wire::QueuePolicy& queue() const { return spec_.queue; }
  const wire::StepSpec& step(int32_t step) const {
    return spec_.steps[static_cast<size_t>(step)];
  }
  int32_t occurrences() const { return occurrences_; }
  int32_t steps() const { return static_cast<int32_t>(spec_.steps.size()); }
  /// Whether the job has occurrences at scheduled times.
  bool timed() const { return spec_.occurrences > 0; }

  JobState state() const { return state_; }
  bool final() const { return IsFinal(state_); }
  /// Whether any task has ever started.
  bool started() const { return started_; }

  /// Whether the job has such a task.
  bool Has(const TaskId& id) const;
  /// Returns the state of the task; valid until a function that is not const is
  /// called for the same task. Precondition: Has(id).
  const Task& task(const TaskId& id) const;
  /// The same, to be changed. Allocates the state of a task that has none yet.
  /// The reference stays valid until the task is released.
  Task& MutableTask(const TaskId& id);
  /// Releases the state of a task that is done. Does nothing for other tasks.
  void ReleaseTask(const TaskId& id);
  StepCounts step_counts(int32_t occurrence, int32_t step) const;
  /// The steps in progress: those with a task that is done or has any state,
  /// except the steps whose tasks are all done and released.
  std::vector<StepId> OpenSteps() const;
  /// Whether all tasks of the occurrence are done.
  bool OccurrenceDone(int32_t occurrence) const;
  /// Bytes of memory that the job takes now, apart from constant overhead.
  size_t MemoryBytes() const;
  /// Number of active tasks of the job.
  int32_t active() const { return active_; }

  /// Whether all steps that this one depends on are done.
  bool StepReady(int32_t occurrence, int32_t step) const;
  bool StepDone(int32_t occurrence, int32_t step) const;

  /// Moves a task to another phase and updates the counts.
  void SetPhase(const TaskId& id, TaskPhase phase);
  /// Counts a failed run of a task or of its gang. Returns false if that
  /// attempt was already counted. Precondition: attempt > 0.
  bool CountFailure(const TaskId& id, int64_t attempt);
  /// Returns the task that keeps the failures of this one: the first member of
  /// its gang, since a gang fails as a whole, otherwise the task itself.
  TaskId FailureKeeper(const TaskId& id) const;
  /// Returns the number of failed runs of the task or of its whole gang.
  int32_t Failures(const TaskId& id) const;
  /// Returns the highest attempt number used by any task of the step.
  int64_t LastAttempt(const StepId& id) const;

  void SetState(JobState state) { state_ = state; }
  /// A task has started.
  void NoteStarted();
  /// Whether all tasks of all occurrences are done.
  bool AllDone() const { return done_ == total_tasks_; }

  /// Returns the estimated time from the start of a step to the end of the
  /// longest chain of steps that depend on it, including advice calls.
  Millis CriticalPathFrom(int32_t step) const;
  /// Returns the target duration of the whole job.
  Millis Objective() const;

  /// Returns the progress to be stored. The states of the tasks of a job with
  /// more than kTasksPerProgressPart tasks are not in it, but in the parts: the
  /// store limits the size of a record.
  wire::ProgressRecord Progress() const;
  /// Number of parts in which the states of the tasks are stored; 0 if
  /// Progress() contains them.
  size_t progress_parts() const;
  /// Returns the states of the tasks of one part; only its `tasks` are set.
  /// Precondition: part < progress_parts().
  wire::ProgressRecord ProgressPart(size_t part) const;
  /// Takes over stored progress. Preconditions: the job is new, and
  /// CheckProgress() and CheckProgressMatchesJob() found nothing.
  void Restore(const wire::ProgressRecord& record);

 private:
  size_t StepIndex(int32_t occurrence, int32_t step) const {
    return static_cast<size_t>(occurrence) * spec_.steps.size() +
           static_cast<size_t>(step);
  }
  /// The tasks of one step of one occurrence.
  struct StepTasks {
    StepCounts counts;
    /// Null for a task without state.
    std::vector<std::unique_ptr<Task>> tasks;
    int32_t allocated = 0;
  };

  size_t TaskIndex(const TaskId& id) const;
  TaskId TaskAt(size_t task_index) const;
  StepId StepAt(size_t step_index) const;
  size_t FirstTaskIndex(size_t step_index) const;
  bool IsDone(size_t task_index) const;
  void MarkDone(size_t task_index);
  /// Returns the step's tasks; allocates them if the step is not open.
  StepTasks& OpenStep(int32_t occurrence, int32_t step);
  /// Releases the step's tasks once all of them are done and released.
  void CloseStepIfDone(int32_t occurrence, int32_t step);
  /// Appends the states of the tasks in this range that are not done and have
  /// any state to be stored.
  void AppendTaskStates(size_t begin, size_t end,
                        std::vector<wire::TaskRecord>& out) const;
  /// Estimated duration of a step, including one advice call.
  Millis EstimatedStepTime(const wire::StepSpec& step) const;

  wire::JobSpec spec_;
  int32_t occurrences_ = 1;
  JobState state_ = JobState::kQueued;
  bool started_ = false;
  int32_t active_ = 0;
  size_t done_ = 0;
  /// Index of a step's first task within an occurrence.
  std::vector<size_t> first_task_;
  size_t tasks_per_occurrence_ = 0;
  size_t total_tasks_ = 0;
  /// One bit for each task, set when it is done; without trailing zero bytes.
  std::string done_bits_;
  /// By step index.
  std::map<size_t, StepTasks> open_steps_;
  /// For each step, the duration of the longest chain that begins with it.
  std::vector<Millis> critical_path_;
};

}  // namespace mimosarail
