#pragma once

#include <string>

#include "src/libs/rpc/client.h"
#include "src/ports/instance_list_port.h"
#include "src/ports/log_port.h"
#include "src/ports/upstream_port.h"

namespace mimosarail::ports {

struct RpcPlatformOptions {
  std::string log_address;
  std::string list_address;
  Millis call_timeout{1000};
};

/// Implements the three platform interfaces over framed RPC, the protocol of
/// the simulated platform services. Control thread only; the client and the
/// executor must outlive it.
class RpcPlatform final : public UpstreamPort,
                          public LogPort,
                          public InstanceListPort {
 public:
  RpcPlatform(rpc::Client& client, Executor& executor,
              RpcPlatformOptions options)
      : client_(client), executor_(executor), options_(std::move(options)) {}

  void Attach(const std::string& address, const wire::AttachCall& call,
              Callback<wire::AttachReply> done) override;
  void Start(const std::string& address, const wire::StartCall& call,
             Callback<wire::StartReply> done) override;
  void Renew(const std::string& address, const wire::RenewCall& call,
             Callback<wire::RenewReply> done) override;
  void Steer(const std::string& address, const wire::SteerCall& call,
             Callback<wire::SteerReply> done) override;
  void Inventory(const std::string& address, const wire::InventoryCall& call,
                 Callback<wire::InventoryReply> done) override;
  void Usage(const std::string& address, const wire::UsageCall& call,
             Callback<wire::UsageReply> done) override;
  void Collect(const std::string& address, const wire::CollectCall& call,
               Callback<wire::CollectReply> done) override;
  void Append(const wire::AppendCall& call,
              Callback<wire::AppendReply> done) override;
  void Read(const wire::ReadCall& call,
            Callback<wire::ReadReply> done) override;
  void Fetch(int64_t known_version, Callback<wire::ListReply> done) override;

 private:
  template <typename Reply, typename Message>
  void Call(const std::string& address, rpc::Method method, const Message& call,
            Callback<Reply> done, int64_t wait_ms = 0) {
    rpc::CallTyped<Reply>(client_, executor_, address, method, call,
                          options_.call_timeout + Millis(wait_ms),
                          std::move(done));
  }

  rpc::Client& client_;
  Executor& executor_;
  RpcPlatformOptions options_;
};

}  // namespace mimosarail::ports
