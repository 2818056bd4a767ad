#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs_types.h"
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

/// Attempts of a task during which their upstreams crashed, each counted once.
struct CrashCounts {
  /// Attempts that had only just begun: the task is suspected to be the cause.
  std::vector<int64_t> early;
  std::vector<int64_t> other;

  bool suspect() const { return !early.empty(); }
  size_t total() const { return early.size() + other.size(); }
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the current or the last start.
  int64_t attempt = 0;
  /// Attempts that failed and count, in any order.
  std::vector<int64_t> failed_attempts;
  CrashCounts crashes;
  UpstreamIndex upstream = kNoUpstream;
  /// Upstream of the last failure; the next attempt starts on another one.
  UpstreamIndex failed_at = kNoUpstream;
  int32_t percent = 0;
  /// When `percent` last changed.
  TimePoint progressed_at{};
  /// Time of the first report of the current run; with `rate_base_percent` the
  /// base of the estimated rate of progress. Unset before that report.
  TimePoint rate_since{};
  int32_t rate_base_percent = 0;
  /// When the task's own part of the current run is expected to end.
  TimePoint expected_end{};
  std::string checkpoint;

  int32_t failures() const {
    return static_cast<int32_t>(failed_attempts.size());
  }
  /// Highest attempt number that is known to have been used.
  int64_t LastAttempt() const;
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

/// One accepted job: its tasks, and the rules that follow from its steps.
/// Independent of upstreams and time. Not thread-safe.
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
  /// The job has occurrences at fixed times.
  bool timed() const { return spec_.occurrences > 0; }

  JobState state() const { return state_; }
  bool final() const { return IsFinal(state_); }
  /// Whether any task ever started.
  bool started() const { return started_; }

  bool Has(const TaskId& id) const;
  /// Precondition: Has(id).
  Task& task(const TaskId& id) { return tasks_[FlatIndex(id)]; }
  const Task& task(const TaskId& id) const { return tasks_[FlatIndex(id)]; }
  const StepCounts& step_counts(int32_t occurrence, int32_t step) const {
    return step_counts_[StepIndex(occurrence, step)];
  }
  /// Number of tasks of the job that have capacity reserved now.
  int32_t active() const { return active_; }

  /// Whether all steps that this one depends on are done.
  bool StepReady(int32_t occurrence, int32_t step) const;
  bool StepDone(int32_t occurrence, int32_t step) const;

  /// Moves a task to another phase and updates the counts.
  void SetPhase(const TaskId& id, TaskPhase phase);
  /// Counts a failed run of a task or of its gang; false if that attempt was
  /// already counted. Precondition: attempt > 0.
  bool CountFailure(const TaskId& id, int64_t attempt);
  /// Counts a crash of the upstream during this run of a task; false if that
  /// attempt was already counted. Precondition: attempt > 0.
  bool CountCrash(const TaskId& id, int64_t attempt, bool early);
  /// Number of failed runs of the task, or of its whole gang.
  int32_t Failures(const TaskId& id) const;
  /// Highest attempt of any task of the step.
  int64_t LastAttempt(const StepId& id) const;

  void SetState(JobState state) { state_ = state; }
  void NoteStarted();
  /// All tasks of all occurrences are done.
  bool AllDone() const { return done_ == tasks_.size(); }

  /// Estimated time from the start of a step to the end of the longest chain
  /// after it, advice included.
  Millis CriticalPathFrom(int32_t step) const;
  /// Target duration of the whole job.
  Millis Objective() const;

  wire::ProgressRecord Progress() const;
  void Restore(const wire::ProgressRecord& record);

 private:
  size_t StepIndex(int32_t occurrence, int32_t step) const {
    return static_cast<size_t>(occurrence) * spec_.steps.size() +
           static_cast<size_t>(step);
  }
  size_t FlatIndex(const TaskId& id) const;
  Millis StepTime(const wire::StepSpec& step) const;

  wire::JobSpec spec_;
  int32_t occurrences_ = 1;
  JobState state_ = JobState::kQueued;
  bool started_ = false;
  int32_t active_ = 0;
  size_t done_ = 0;
  /// Index of a step's first task within an occurrence.
  std::vector<size_t> first_task_;
  size_t tasks_per_occurrence_ = 0;
  std::vector<Task> tasks_;
  std::vector<StepCounts> step_counts_;
  /// Duration of the longest chain that begins with each step.
  std::vector<Millis> critical_path_;
};

}  // namespace mimosarail
