#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "jobs_types.h"
#include "src/coordinator/job_verdicts.h"
#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

enum class RouteKind {
  /// The entry has no configuration yet.
  kNoConfig,
  /// No queue has this host and a prefix of this path.
  kNoQueue,
  kFound,
};

/// Result of looking up the queue of a caller's request.
struct Route {
  RouteKind kind = RouteKind::kNoConfig;
  /// With kFound: the queue.
  wire::QueuePolicy queue;
  /// The part of the path after the queue's prefix.
  std::string path_suffix;
};

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

/// Operations that an entry offers to callers. Control thread only. `done` runs
/// once, on the control thread, possibly within the call. It runs after
/// `caller_timeout` at the latest, unless a try at this entry or a check of the
/// store is under way then: that is awaited first.
class JobService {
 public:
  virtual ~JobService() = default;
  /// Finds the queue of this host whose prefix is the longest that matches the
  /// path.
  virtual Route FindRoute(const std::string& host, const std::string& path) = 0;
  /// Precondition: CheckJob() found nothing.
  virtual void Submit(const wire::JobSpec& spec, Millis caller_timeout,
                      JobDone done) = 0;
  virtual void QueryState(JobId id, Millis caller_timeout, JobDone done) = 0;
  virtual void Cancel(JobId id, Millis caller_timeout, JobDone done) = 0;
  /// Counts the accepted jobs of the queue of which no task has started.
  virtual void CountPending(const std::string& queue, Millis caller_timeout,
                            JobDone done) = 0;
  /// Whether the load balancer should send callers to this entry.
  virtual bool Ready() = 0;
};

}  // namespace mimosarail::jobentry
