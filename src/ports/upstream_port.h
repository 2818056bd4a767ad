#pragma once

#include <string>

#include "platform_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// What the platform lets a controller do with an upstream. docs/PLATFORM.md
/// numbers what is assumed of each call. Every callback runs on the control
/// thread; an error says nothing about the effect, except Errc::kUnavailable,
/// which says that nothing was sent. Not thread-safe: control thread only.
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;
  /// Takes control with a term above every earlier one, and reads the
  /// inventory.
  virtual void Attach(const std::string& address, const wire::AttachCall& call,
                      Callback<wire::AttachReply> done) = 0;
  virtual void Start(const std::string& address, const wire::StartCall& call,
                     Callback<wire::StartReply> done) = 0;
  /// Renews all leases at once and waits up to `wait_ms` for tasks to end.
  virtual void Renew(const std::string& address, const wire::RenewCall& call,
                     Callback<wire::RenewReply> done) = 0;
  /// Stops, checkpoints or throttles tasks.
  virtual void Steer(const std::string& address, const wire::SteerCall& call,
                     Callback<wire::SteerReply> done) = 0;
  virtual void Inventory(const std::string& address,
                         const wire::InventoryCall& call,
                         Callback<wire::InventoryReply> done) = 0;
  /// What tasks really use; lags by the reply's age.
  virtual void Usage(const std::string& address, const wire::UsageCall& call,
                     Callback<wire::UsageReply> done) = 0;
  /// The whole answer of an ended task that is not yet released.
  virtual void Collect(const std::string& address,
                       const wire::CollectCall& call,
                       Callback<wire::CollectReply> done) = 0;
};

}  // namespace mimosarail::ports
