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
  kStarting,  ///< Sent; whether it runs is not known yet.
  kRunning,
  kStopping,  ///< Told to stop; its room stays taken until its end is listed.
  kDone,
};

/// Attempts of a task with which their upstreams crashed, each counted once.
struct CrashCounts {
  /// Those that had only just begun: the task is suspected to be the cause.
  std::vector<int64_t> early;
  std::vector<int64_t> other;

  bool suspect() const { return !early.empty(); }
  size_t total() const { return early.size() + other.size(); }
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the present or the last start.
  int64_t attempt = 0;
  /// Attempts that failed and count, in any order.
  std::vector<int64_t> failed_attempts;
  CrashCounts crashes;
  UpstreamIndex upstream = kNoUpstream;
  /// Where it failed last; a second try goes elsewhere.
  UpstreamIndex failed_at = kNoUpstream;
  int32_t percent = 0;
  /// When the percent last moved.
  TimePoint progressed_at{};
  /// First report of the present run with its percent, from which its pace is
  /// told; unset before it.
  TimePoint rate_since{};
  int32_t rate_base_percent = 0;
  /// When its own part of the present run is expected to be over.
  TimePoint expected_end{};
  std::string checkpoint;

  int32_t failures() const {
    return static_cast<int32_t>(failed_attempts.size());
  }
  /// Highest number that a start of it is known to have had.
  int64_t LastAttempt() const;
  bool active() const {
    return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
           phase == TaskPhase::kStopping;
  }
};

/// Counts of one step of one occurrence.
struct StepCounts {
  int32_t waiting = 0;
  int32_t active = 0;
  int32_t done = 0;
};

/// One accepted job: its tasks, and the rules that follow from its own shape.
/// Knows nothing of upstreams or time. Not thread-safe.
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
  bool timed() const { return spec_.occurrences > 0; }

  JobState state() const { return state_; }
  bool final() const { return IsFinal(state_); }
  /// Whether any task ever started.
  bool started() const { return started_; }

  bool Has(const TaskId& id) const;
  /// Precondition: Has(id).
  Task& task(const TaskId& id) { return tasks_[Flat(id)]; }
  const Task& task(const TaskId& id) const { return tasks_[Flat(id)]; }
  const StepCounts& step_counts(int32_t occurrence, int32_t step) const {
    return step_counts_[RunAt(occurrence, step)];
  }
  /// Tasks of the job that hold room now.
  int32_t active() const { return active_; }

  /// All steps that come before are done.
  bool StepReady(int32_t occurrence, int32_t step) const;
  bool StepDone(int32_t occurrence, int32_t step) const;

  /// Moves a task to another phase and keeps the counts.
  void SetPhase(const TaskId& id, TaskPhase phase);
  /// One run of a gang or of a task failed; false if that attempt had been
  /// counted before. Precondition: attempt > 0.
  bool CountFailure(const TaskId& id, int64_t attempt);
  /// An upstream crashed with this run of a task; false if that attempt had
  /// been counted before. Precondition: attempt > 0.
  bool CountCrash(const TaskId& id, int64_t attempt, bool early);
  /// Failed runs of the task, or of its whole gang.
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
  /// The time in which a caller wants the whole job.
  Millis Objective() const;

  wire::ProgressRecord Progress() const;
  void Restore(const wire::ProgressRecord& record);

 private:
  size_t RunAt(int32_t occurrence, int32_t step) const {
    return static_cast<size_t>(occurrence) * spec_.steps.size() +
           static_cast<size_t>(step);
  }
  size_t Flat(const TaskId& id) const;
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
  /// Longest chain from each step on.
  std::vector<Millis> critical_path_;
};

}  // namespace mimosarail
