#include "src/peers/peer_server.h"

namespace mimosarail::peers {

void ServePeers(rpc::Server& server, Executor& executor,
                instance::Instance& instance) {
  rpc::HandleTyped<wire::PlaceCall, wire::PlaceReply>(
      server, executor, rpc::Method::kPlace,
      [&instance](const wire::PlaceCall& call, const auto& reply) {
        reply(instance.OnPlace(call));
      });
  rpc::HandleTyped<wire::ReportCall, wire::ReportReply>(
      server, executor, rpc::Method::kReport,
      [&instance](const wire::ReportCall& call, const auto& reply) {
        reply(instance.OnReport(call));
      });
  rpc::HandleTyped<wire::FindCall, wire::FindReply>(
      server, executor, rpc::Method::kFind,
      [&instance](const wire::FindCall& call, const auto& reply) {
        instance.OnFind(call, reply);
      });
  rpc::HandleTyped<wire::SubmitCall, wire::SubmitReply>(
      server, executor, rpc::Method::kSubmit,
      [&instance](const wire::SubmitCall& call, const auto& reply) {
        instance.OnSubmit(call, reply);
      });
  rpc::HandleTyped<wire::CancelCall, wire::CancelReply>(
      server, executor, rpc::Method::kCancel,
      [&instance](const wire::CancelCall& call, const auto& reply) {
        reply(instance.OnCancel(call));
      });
  rpc::HandleTyped<wire::ConfigFetchCall, wire::ConfigFetchReply>(
      server, executor, rpc::Method::kConfigFetch,
      [&instance](const wire::ConfigFetchCall&, const auto& reply) {
        reply(instance.config().MakeFetchReply());
      });
}

}  // namespace mimosarail::peers
