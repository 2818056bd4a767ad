#include "src/ports/rpc_platform.h"

namespace mimosarail::ports {

void RpcPlatform::Attach(const std::string& address,
                         const wire::AttachCall& call,
                         Callback<wire::AttachReply> done) {
  Call<wire::AttachReply>(address, rpc::Method::kAttach, call, std::move(done));
}

void RpcPlatform::Start(const std::string& address, const wire::StartCall& call,
                        Callback<wire::StartReply> done) {
  Call<wire::StartReply>(address, rpc::Method::kStart, call, std::move(done));
}

void RpcPlatform::Renew(const std::string& address, const wire::RenewCall& call,
                        Callback<wire::RenewReply> done) {
  Call<wire::RenewReply>(address, rpc::Method::kRenew, call, std::move(done),
                         call.wait_ms);
}

void RpcPlatform::Steer(const std::string& address, const wire::SteerCall& call,
                        Callback<wire::SteerReply> done) {
  Call<wire::SteerReply>(address, rpc::Method::kSteer, call, std::move(done));
}

void RpcPlatform::Inventory(const std::string& address,
                            const wire::InventoryCall& call,
                            Callback<wire::InventoryReply> done) {
  Call<wire::InventoryReply>(address, rpc::Method::kInventory, call,
                             std::move(done));
}

void RpcPlatform::Usage(const std::string& address, const wire::UsageCall& call,
                        Callback<wire::UsageReply> done) {
  Call<wire::UsageReply>(address, rpc::Method::kUsage, call, std::move(done));
}

void RpcPlatform::Collect(const std::string& address,
                          const wire::CollectCall& call,
                          Callback<wire::CollectReply> done) {
  Call<wire::CollectReply>(address, rpc::Method::kCollect, call,
                           std::move(done));
}

void RpcPlatform::Append(const wire::AppendCall& call,
                         Callback<wire::AppendReply> done) {
  Call<wire::AppendReply>(options_.log_address, rpc::Method::kAppend, call,
                          std::move(done));
}

void RpcPlatform::Read(const wire::ReadCall& call,
                       Callback<wire::ReadReply> done) {
  Call<wire::ReadReply>(options_.log_address, rpc::Method::kRead, call,
                        std::move(done), call.wait_ms);
}

void RpcPlatform::Fetch(int64_t known_version, Callback<wire::ListReply> done) {
  wire::ListCall call;
  call.known_version = known_version;
  Call<wire::ListReply>(options_.list_address, rpc::Method::kList, call,
                        std::move(done));
}

}  // namespace mimosarail::ports
