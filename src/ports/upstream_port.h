#pragma once

#include <string>

#include "platform_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// A controller's operations on an upstream. docs/PLATFORM.md lists the
/// assumptions about each call. Every callback runs on the control thread.
/// After an error the effect of the call is unknown, except after
/// Errc::kUnavailable: the call was not sent. Control thread only.
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;
  /// Takes control with a term above every earlier one, and returns the
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
  /// Reads the actual resource usage of the tasks, as old as `age_ms`.
  virtual void Usage(const std::string& address, const wire::UsageCall& call,
                     Callback<wire::UsageReply> done) = 0;
  /// Reads the complete answer of an ended task that is not released yet.
  virtual void Collect(const std::string& address,
                       const wire::CollectCall& call,
                       Callback<wire::CollectReply> done) = 0;
};

}  // namespace mimosarail::ports
