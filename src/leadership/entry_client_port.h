#pragma once

#include <string>

#include "jobs_types.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::leadership {

/// Sends the calls that one entry makes to another, and returns the replies. A
/// call names its receiver by address. Each callback runs exactly once, on the
/// control thread. Control thread only.
class EntryClientPort {
 public:
  virtual ~EntryClientPort() = default;
  virtual void Heartbeat(const std::string& address,
                         const wire::HeartbeatCall& call, Millis timeout,
                         Callback<wire::HeartbeatReply> done) = 0;
  virtual void Announce(const std::string& address,
                        const wire::AnnounceCall& call, Millis timeout,
                        Callback<wire::AnnounceReply> done) = 0;
  virtual void SubmitJob(const std::string& address,
                         const wire::SubmitJobCall& call, Millis timeout,
                         Callback<wire::SubmitJobReply> done) = 0;
  virtual void JobState(const std::string& address,
                        const wire::JobStateCall& call, Millis timeout,
                        Callback<wire::JobStateReply> done) = 0;
  virtual void CancelJob(const std::string& address,
                         const wire::CancelJobCall& call, Millis timeout,
                         Callback<wire::CancelJobReply> done) = 0;
  virtual void PendingJobs(const std::string& address,
                           const wire::PendingJobsCall& call, Millis timeout,
                           Callback<wire::PendingJobsReply> done) = 0;
  virtual void Advise(const std::string& address, const wire::AdviseCall& call,
                      Millis timeout, Callback<wire::AdviseReply> done) = 0;
};

}  // namespace mimosarail::leadership
