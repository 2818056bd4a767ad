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

enum class RouteKind { kNoConfig, kNoQueue, kFound };

/// Result of looking up the queue of a caller's path.
struct Route {
  RouteKind kind = RouteKind::kNoConfig;
  wire::QueuePolicy queue;
  /// The part of the path after the queue's prefix.
  std::string path_suffix;
};

struct JobAnswer {
  coordinator::JobVerdict verdict = coordinator::JobVerdict::kOutcomeUnknown;
  JobState state = JobState::kQueued;
  int64_t pending = 0;
  /// With kRefused: the pause before the caller should retry.
  Millis retry_after{0};
};

using JobDone = std::function<void(JobAnswer)>;

/// Operations that an entry offers to callers. Control thread only. `done` runs
/// once, on the control thread, after `caller_timeout` at the latest.
class JobService {
 public:
  virtual ~JobService() = default;
  /// Finds the queue of this host with the longest prefix of the path.
  virtual Route Find(const std::string& host, const std::string& path) = 0;
  /// Precondition: CheckJob() found nothing.
  virtual void Submit(const wire::JobSpec& spec, Millis caller_timeout,
                      JobDone done) = 0;
  virtual void State(JobId id, Millis caller_timeout, JobDone done) = 0;
  virtual void Cancel(JobId id, Millis caller_timeout, JobDone done) = 0;
  virtual void Pending(const std::string& queue, Millis caller_timeout,
                       JobDone done) = 0;
  /// Whether a load balancer should send new callers here.
  virtual bool Ready() = 0;
};

}  // namespace mimosarail::jobentry
