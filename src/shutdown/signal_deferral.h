#pragma once

namespace mimosarail::shutdown {

/// Defers SIGTERM, SIGINT and SIGHUP: they stay pending, instead of ending the
/// process by their default action, until a SignalDelivery exists.
/// Precondition: called by the main thread before other threads start, which
/// inherit the deferral.
void DeferSignals();

/// Delivers the signals that DeferSignals() defers, the pending ones at once,
/// to the thread that constructs it. After its destruction they are deferred
/// again. Preconditions: the handlers are installed and outlive the object; one
/// thread constructs and destroys it.
class SignalDelivery {
 public:
  SignalDelivery();
  ~SignalDelivery();
  SignalDelivery(const SignalDelivery&) = delete;
  SignalDelivery& operator=(const SignalDelivery&) = delete;
};

}  // namespace mimosarail::shutdown
