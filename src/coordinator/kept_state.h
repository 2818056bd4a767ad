// What the leader keeps of jobs and upstreams beside the scheduler.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "jobs_types.h"
#include "src/coordinator/admission.h"
#include "src/jobs/job.h"
#include "src/libs/base/executor.h"
#include "src/scheduling/orders.h"

namespace mimosarail::coordinator {

/// A job whose record is not stored yet.
struct PendingSubmission {
  /// Distinguishes this submission from an earlier, withdrawn one of the job.
  int64_t submission_number = 0;
  /// Account of the job.
  std::string account;
  std::string queue;
  /// Its work, which is not in the scheduler's queue yet. Unset unless jobs
  /// are refused by deadline.
  std::optional<BacklogRow> waiting{};
  /// Bytes of memory that the job is counted with.
  size_t memory_bytes = 0;
  /// Reply functions of the callers that have submitted the job.
  std::vector<std::function<void(wire::SubmitJobReply)>> replies;
};

/// Completion of a task, reported by an upstream while the records of the
/// task's job could not be read.
struct UnmatchedCompletion {
  TaskId task;
  int64_t attempt = 0;
  bool failed = false;
};

/// What an earlier leader stored about an upstream that it closed.
struct InheritedClosure {
  /// The only jobs that may have tasks running there.
  std::unordered_set<JobId> jobs;
  /// The runs that ended with the upstream if it has crashed.
  scheduling::SuspectRuns suspect_runs;
};

/// A job that has ended.
struct FinalJob {
  JobState state = JobState::kComplete;
  /// Account of the job; empty if it has no owner.
  std::string account;
  /// When its final state was stored, or loaded if it ended in an earlier
  /// term.
  TimePoint final_since{};
  /// Whether the store still holds the job's spec.
  bool spec_stored = false;
  bool ended_in_this_term = false;
};

}  // namespace mimosarail::coordinator
