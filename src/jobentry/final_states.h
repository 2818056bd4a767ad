#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "src/jobentry/job_service.h"
#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"

namespace mimosarail::jobentry {

/// Cache of the final states of jobs that a leader has reported, so that
/// queries for them need no call to the leader. Not thread-safe.
class FinalStates {
 public:
  /// Keeps the newest `max_size` states.
  explicit FinalStates(size_t max_size) : max_size_(max_size) {}

  /// Returns the state of the job if it was reported to a call of this account;
  /// otherwise nullopt.
  std::optional<JobState> Find(JobId id, const CallerAccount& account) const;
  /// A leader has reported this final state to a call of this account. The
  /// first report of a job is kept.
  void Add(JobId id, const CallerAccount& account, JobState state);

 private:
  struct Report {
    JobState state = JobState::kComplete;
    CallerAccount account;
  };

  size_t max_size_;
  std::unordered_map<JobId, Report> reports_;
  /// Keys of reports_, oldest first.
  std::deque<JobId> order_;
};

}  // namespace mimosarail::jobentry
