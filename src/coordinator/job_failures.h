#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/jobs/job.h"
#include "src/libs/base/enum_table.h"
#include "src/scheduling/orders.h"

namespace mimosarail::coordinator {

/// Why a job has failed.
enum class FailureCause : uint8_t {
  kAttempts,  ///< A task has failed as often as its queue permits.
  kCrashes,   ///< A task is shown to crash its upstreams.
};

inline constexpr EnumTable kFailureCauseNames{std::array{
    EnumName{FailureCause::kAttempts, "attempts failed"},
    EnumName{FailureCause::kCrashes, "crashes upstreams"},
}};

/// From what the end of a run is known.
enum class EndSource : uint8_t {
  kReport,            ///< The upstream has reported it.
  kLaterIncarnation,  ///< A later incarnation answers in the upstream's place.
  kMissing,           ///< The upstream has been missing for long.
  kEarlierLeader,     ///< An earlier leader has counted the run.
  kForgotten,         ///< This leader or an earlier one has counted the run.
};

inline constexpr EnumTable kEndSourceNames{std::array{
    EnumName{EndSource::kReport, "the upstream's report"},
    EnumName{EndSource::kLaterIncarnation, "a later incarnation"},
    EnumName{EndSource::kMissing, "missing from the list"},
    EnumName{EndSource::kEarlierLeader, "counted by an earlier leader"},
    EnumName{EndSource::kForgotten, "counted too long ago"},
}};

/// Why a run counts against its job.
enum class CountReason : uint8_t {
  kFailedAttempt,  ///< Each failed attempt counts.
  kEarlyCrash,     ///< The run was not seen beyond its first moments.
  kLaterCrash,     ///< Its upstream crashed as late in other runs of the task.
};

inline constexpr EnumTable kCountReasonNames{std::array{
    EnumName{CountReason::kFailedAttempt, "failed attempt"},
    EnumName{CountReason::kEarlyCrash, "crash at the start"},
    EnumName{CountReason::kLaterCrash, "crash after the start"},
}};

/// One run that counts against its job.
struct CountedRun {
  /// With a gang any of its members.
  TaskId task;
  int64_t attempt = 0;
  /// Empty if not known.
  std::string upstream{};
  /// Incarnation of the upstream; 0 if not known or not reported.
  int64_t incarnation = 0;
  EndSource source = EndSource::kEarlierLeader;
  CountReason reason = CountReason::kFailedAttempt;

  bool operator==(const CountedRun&) const = default;
};

/// Why a job has failed, and what counted against it.
struct JobFailure {
  /// The task that decided it.
  TaskId task;
  FailureCause cause = FailureCause::kAttempts;
  /// Number of failed attempts that the queue permits; 0 for crashes.
  int32_t max_attempts = 0;
  /// Number of earlier failures whose attempts are not known.
  int32_t unlisted = 0;
  std::vector<CountedRun> runs{};
};

/// The failed runs that this leader has counted, for the explanation of a later
/// failure of their jobs. Keeps a limited number. Not thread-safe.
class FailedRuns {
 public:
  /// Limits the memory to about 2 MB.
  static constexpr size_t kMaxRuns = 10000;

  explicit FailedRuns(size_t max_runs = kMaxRuns) : max_runs_(max_runs) {}

  /// Adds a failed run that the upstream has reported. `keeper` is the task
  /// that keeps the failures, see Job::FailureKeeper().
  void Add(const TaskId& keeper, const CountedRun& run);
  /// Returns what is known of a counted attempt.
  CountedRun Find(const TaskId& keeper, int64_t attempt) const;

 private:
  using Key = std::pair<TaskId, int64_t>;

  size_t max_runs_;
  std::map<Key, CountedRun> runs_;
  std::deque<Key> by_age_;
  bool any_dropped_ = false;
};

/// Why jobs have failed under this leader, for operators that ask. Keeps a
/// limited number. Not thread-safe.
class JobFailures {
 public:
  static constexpr size_t kMaxJobs = 1000;

  explicit JobFailures(size_t max_jobs = kMaxJobs) : max_jobs_(max_jobs) {}

  void Add(JobFailure failure);
  /// Null if not known.
  const JobFailure* Find(JobId id) const;
  size_t size() const { return failures_.size(); }

 private:
  size_t max_jobs_;
  std::unordered_map<JobId, JobFailure> failures_;
  std::deque<JobId> by_age_;
};

/// Explains the failure of a job whose task has failed too often.
JobFailure ExplainFailedAttempts(const Job& job, const TaskId& task,
                                 const FailedRuns& seen);
/// Explains the failure of a job with a task that crashes its upstreams.
JobFailure ExplainCrashes(const scheduling::PermanentlyFailedTask& task);
CountedRun ToCountedRun(const TaskId& task, const SuspectedCrash& crash);

/// The failure in words, on one line and of limited length.
std::string FailureText(const JobFailure& failure);
/// Writes the line "job failed", and a line for each failed run. Thread-safe.
void LogJobFailure(const JobFailure& failure);

}  // namespace mimosarail::coordinator
