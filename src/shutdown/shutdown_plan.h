#pragma once

#include <cstddef>
#include <cstdint>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::shutdown {

struct ShutdownOptions {
  /// How long callers keep arriving after the entry has become unready for the
  /// load balancer.
  Millis unready_period{2600};
  /// Maximum duration of a graceful shutdown.
  Millis limit{5200};
};

/// State of a process that is shutting down, as input for NextStep().
struct ShutdownView {
  /// Time since the shutdown was requested.
  Millis elapsed{0};
  /// Requests of callers and of the leader that were read and not yet
  /// answered.
  int64_t open_requests = 0;
  /// Connections that were accepted and not yet closed.
  size_t connections = 0;
  /// Whether kStopAccepting was carried out.
  bool accepting_stopped = false;
};

enum class ShutdownStep {
  /// Accept requests and answer them.
  kServe,
  /// Accept no further requests; answer those that were accepted.
  kStopAccepting,
  /// End the process.
  kEnd,
};

inline constexpr EnumTable kShutdownStepNames{std::array{
    EnumName{ShutdownStep::kServe, "serve"},
    EnumName{ShutdownStep::kStopAccepting, "end intake"},
    EnumName{ShutdownStep::kEnd, "end"},
}};

/// Returns the next step of a graceful shutdown: the process serves until the
/// load balancer has noticed, then stops accepting requests, answers the
/// accepted ones, and exits. Thread-safe.
ShutdownStep NextStep(const ShutdownOptions& options, const ShutdownView& view);

}  // namespace mimosarail::shutdown
