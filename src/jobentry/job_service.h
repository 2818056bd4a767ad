#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/coordinator/job_verdicts.h"
#include "src/jobentry/access_directory.h"
#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// The account on whose behalf a call is made: empty for a queue whose calls
/// need no key, unset if calls are not authenticated. Calls of one account
/// can't see the jobs of another.
using CallerAccount = std::optional<std::string>;

/// Answer to a call of JobService.
struct JobAnswer {
  coordinator::JobVerdict verdict = coordinator::JobVerdict::kOutcomeUnknown;
  /// QueryState() with kConfirmed: the state of the job.
  JobState state = JobState::kQueued;
  /// CountPending() with kConfirmed: the number of jobs.
  int64_t pending = 0;
  /// With kRefused: the time after which the caller should retry.
  Millis retry_after{0};
};

using JobDone = std::function<void(JobAnswer)>;

/// The caller of a submission, as far as its connection shows.
struct Submitter {
  /// How long it waits for the answer, counted from the call.
  Millis timeout{0};
  /// It had closed its side of the connection when its request was read.
  bool closed = false;
};

/// Operations that an entry offers to callers. Control thread only, except for
/// Access(). `done` runs once, on the control thread, possibly within the call.
/// It runs after the caller's timeout at the latest, unless a try at this entry
/// or a check of the store is under way then: that is awaited first.
class JobService {
 public:
  virtual ~JobService() = default;
  /// The queues and accounts that the entry knows now. Thread-safe.
  virtual AccessView Access() const = 0;
  /// Precondition: CheckJob() found nothing.
  virtual void Submit(const wire::JobSpec& spec, const Submitter& submitter,
                      JobDone done) = 0;
  virtual void QueryState(JobId id, const CallerAccount& account,
                          Millis caller_timeout, JobDone done) = 0;
  virtual void Cancel(JobId id, const CallerAccount& account,
                      Millis caller_timeout, JobDone done) = 0;
  /// Counts the accepted jobs of the queue of which no task has started.
  virtual void CountPending(const std::string& queue, Millis caller_timeout,
                            JobDone done) = 0;
  /// Whether the load balancer should send callers to this entry.
  virtual bool Ready() = 0;
};

}  // namespace mimosarail::jobentry
