#pragma once

#include <string>

#include "src/configlog/config_log_client.h"
#include "src/libs/rpc/client.h"
#include "src/requests/peer_port.h"

namespace mimosarail::peers {

/// Calls other entry instances by RPC. Control thread only; the client and the
/// executor must outlive it.
class RpcPeers final : public requests::PeerPort,
                       public configlog::PeerConfigSource {
 public:
  RpcPeers(rpc::Client& client, Executor& executor, Millis call_timeout)
      : client_(client), executor_(executor), call_timeout_(call_timeout) {}

  void Place(const std::string& address, const wire::PlaceCall& call,
             Callback<wire::PlaceReply> done) override;
  void Report(const std::string& address, const wire::ReportCall& call,
              Callback<wire::ReportReply> done) override;
  void Find(const std::string& address, const wire::FindCall& call,
            Callback<wire::FindReply> done) override;
  void Submit(const std::string& address, const wire::SubmitCall& call,
              Callback<wire::SubmitReply> done) override;
  void Cancel(const std::string& address, const wire::CancelCall& call,
              Callback<wire::CancelReply> done) override;
  void FetchConfig(const std::string& address,
                   Callback<wire::ConfigFetchReply> done) override;

 private:
  rpc::Client& client_;
  Executor& executor_;
  Millis call_timeout_;
};

}  // namespace mimosarail::peers
