#include "src/peers/rpc_peers.h"

namespace mimosarail::peers {

void RpcPeers::Place(const std::string& address, const wire::PlaceCall& call,
                     Callback<wire::PlaceReply> done) {
  rpc::CallTyped<wire::PlaceReply>(client_, executor_, address,
                                   rpc::Method::kPlace, call, call_timeout_,
                                   std::move(done));
}

void RpcPeers::Report(const std::string& address, const wire::ReportCall& call,
                      Callback<wire::ReportReply> done) {
  rpc::CallTyped<wire::ReportReply>(client_, executor_, address,
                                    rpc::Method::kReport, call, call_timeout_,
                                    std::move(done));
}

void RpcPeers::Find(const std::string& address, const wire::FindCall& call,
                    Callback<wire::FindReply> done) {
  rpc::CallTyped<wire::FindReply>(
      client_, executor_, address, rpc::Method::kFind, call,
      call_timeout_ + Millis(call.wait_ms), std::move(done));
}

void RpcPeers::Submit(const std::string& address, const wire::SubmitCall& call,
                      Callback<wire::SubmitReply> done) {
  rpc::CallTyped<wire::SubmitReply>(client_, executor_, address,
                                    rpc::Method::kSubmit, call, call_timeout_,
                                    std::move(done));
}

void RpcPeers::Cancel(const std::string& address, const wire::CancelCall& call,
                      Callback<wire::CancelReply> done) {
  rpc::CallTyped<wire::CancelReply>(client_, executor_, address,
                                    rpc::Method::kCancel, call, call_timeout_,
                                    std::move(done));
}

void RpcPeers::FetchConfig(const std::string& address,
                           Callback<wire::ConfigFetchReply> done) {
  rpc::CallTyped<wire::ConfigFetchReply>(
      client_, executor_, address, rpc::Method::kConfigFetch,
      wire::ConfigFetchCall(), call_timeout_, std::move(done));
}

}  // namespace mimosarail::peers
