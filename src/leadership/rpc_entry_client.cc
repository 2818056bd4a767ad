#include "src/leadership/rpc_entry_client.h"

#include "src/libs/rpc/method.h"

namespace mimosarail::leadership {

void RpcEntryClient::Heartbeat(const std::string& address,
                               const wire::HeartbeatCall& call, Millis timeout,
                               Callback<wire::HeartbeatReply> done) {
  // A configuration of up to 350 KB would delay the periodic heartbeats.
  rpc::Client& client = call.config.empty() ? urgent_ : client_;
  rpc::CallTyped<wire::HeartbeatReply>(client, executor_, address,
                                       rpc::Method::kHeartbeat, call, timeout,
                                       std::move(done));
}

void RpcEntryClient::Announce(const std::string& address,
                              const wire::AnnounceCall& call, Millis timeout,
                              Callback<wire::AnnounceReply> done) {
  rpc::CallTyped<wire::AnnounceReply>(urgent_, executor_, address,
                                      rpc::Method::kAnnounce, call, timeout,
                                      std::move(done));
}

void RpcEntryClient::SubmitJob(const std::string& address,
                               const wire::SubmitJobCall& call, Millis timeout,
                               Callback<wire::SubmitJobReply> done) {
  rpc::CallTyped<wire::SubmitJobReply>(client_, executor_, address,
                                       rpc::Method::kSubmitJob, call, timeout,
                                       std::move(done));
}

void RpcEntryClient::JobState(const std::string& address,
                              const wire::JobStateCall& call, Millis timeout,
                              Callback<wire::JobStateReply> done) {
  rpc::CallTyped<wire::JobStateReply>(client_, executor_, address,
                                      rpc::Method::kJobState, call, timeout,
                                      std::move(done));
}

void RpcEntryClient::CancelJob(const std::string& address,
                               const wire::CancelJobCall& call, Millis timeout,
                               Callback<wire::CancelJobReply> done) {
  rpc::CallTyped<wire::CancelJobReply>(client_, executor_, address,
                                       rpc::Method::kCancelJob, call, timeout,
                                       std::move(done));
}

void RpcEntryClient::PendingJobs(const std::string& address,
                                 const wire::PendingJobsCall& call,
                                 Millis timeout,
                                 Callback<wire::PendingJobsReply> done) {
  rpc::CallTyped<wire::PendingJobsReply>(client_, executor_, address,
                                         rpc::Method::kPendingJobs, call,
                                         timeout, std::move(done));
}

void RpcEntryClient::Advise(const std::string& address,
                            const wire::AdviseCall& call, Millis timeout,
                            Callback<wire::AdviseReply> done) {
  rpc::CallTyped<wire::AdviseReply>(client_, executor_, address,
                                    rpc::Method::kAdvise, call, timeout,
                                    std::move(done));
}

}  // namespace mimosarail::leadership
