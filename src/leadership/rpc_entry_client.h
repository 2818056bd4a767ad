#pragma once

#include "src/leadership/entry_client_port.h"
#include "src/libs/rpc/client.h"

namespace mimosarail::leadership {

/// EntryClientPort over the RPC protocol between entries. Control thread only;
/// the clients and the executor outlive it.
///
/// Heartbeats and announcements use `urgent`, and all else uses `client`, each
/// with connections of its own. On a shared connection, a heartbeat waits
/// behind the submissions that are queued for the same entry, and a leader with
/// a full link is suspected by all followers.
class RpcEntryClient final : public EntryClientPort {
 public:
  RpcEntryClient(rpc::Client& client, rpc::Client& urgent, Executor& executor)
      : client_(client), urgent_(urgent), executor_(executor) {}

  void Heartbeat(const std::string& address, const wire::HeartbeatCall& call,
                 Millis timeout, Callback<wire::HeartbeatReply> done) override;
  void Announce(const std::string& address, const wire::AnnounceCall& call,
                Millis timeout, Callback<wire::AnnounceReply> done) override;
  void SubmitJob(const std::string& address, const wire::SubmitJobCall& call,
                 Millis timeout, Callback<wire::SubmitJobReply> done) override;
  void JobState(const std::string& address, const wire::JobStateCall& call,
                Millis timeout, Callback<wire::JobStateReply> done) override;
  void CancelJob(const std::string& address, const wire::CancelJobCall& call,
                 Millis timeout, Callback<wire::CancelJobReply> done) override;
  void PendingJobs(const std::string& address,
                   const wire::PendingJobsCall& call, Millis timeout,
                   Callback<wire::PendingJobsReply> done) override;
  void Advise(const std::string& address, const wire::AdviseCall& call,
              Millis timeout, Callback<wire::AdviseReply> done) override;

 private:
  rpc::Client& client_;
  rpc::Client& urgent_;
  Executor& executor_;
};

}  // namespace mimosarail::leadership
