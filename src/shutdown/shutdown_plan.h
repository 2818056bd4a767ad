#pragma once

#include <cstddef>
#include <cstdint>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::shutdown {

struct ShutdownOptions {
  /// How long callers may still arrive after the load balancer is told that the
  /// entry is not ready. Requests are accepted until then.
  Millis unready_period{2600};
  /// Maximum duration of a graceful shutdown.
  Millis max_duration{5200};
};

/// State of a process that is shutting down, as input for NextAction().
struct ShutdownProgress {
  /// Time since the shutdown was requested.
  Millis elapsed{0};
  /// Requests from callers and from the leader that were read and not yet
  /// answered.
  int64_t open_requests = 0;
  /// Connections that were accepted and not yet closed.
  size_t connections = 0;
  /// Whether the process has carried out kStopAccepting.
  bool accepting_stopped = false;
};

enum class ShutdownAction {
  /// Change nothing: continue to accept requests, or, after kStopAccepting,
  /// continue to answer the accepted ones.
  kContinue,
  /// Accept no further requests, but answer the accepted ones.
  kStopAccepting,
  /// End the process.
  kEnd,
};

inline constexpr EnumTable kShutdownActionNames{std::array{
    EnumName{ShutdownAction::kContinue, "serve"},
    EnumName{ShutdownAction::kStopAccepting, "end intake"},
    EnumName{ShutdownAction::kEnd, "end"},
}};

/// Returns the next action of a graceful shutdown: the process serves until the
/// load balancer has stopped sending callers, then stops accepting requests,
/// answers the accepted ones, and exits. Thread-safe.
ShutdownAction NextAction(const ShutdownOptions& options,
                          const ShutdownProgress& progress);

}  // namespace mimosarail::shutdown
