#pragma once

#include <cstddef>
#include <cstdint>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::shutdown {

struct ShutdownOptions {
  /// How long callers still come after the balancer was told.
  Millis unready_period{2600};
  /// Longest that a graceful shutdown takes.
  Millis limit{5200};
};

/// What a stopping process sees of its callers.
struct ShutdownView {
  /// Since the stop was asked for.
  Millis elapsed{0};
  /// Of callers and of the leader: read and not yet answered.
  int64_t open_requests = 0;
  /// Accepted and not yet closed.
  size_t connections = 0;
  /// Whether kStopAccepting was carried out.
  bool accepting_stopped = false;
};

enum class ShutdownStep {
  /// Take requests and answer them.
  kServe,
  /// Take no further request; answer those that were taken.
  kStopAccepting,
  /// End the process.
  kEnd,
};

inline constexpr EnumTable kShutdownStepNames{std::array{
    EnumName{ShutdownStep::kServe, "serve"},
    EnumName{ShutdownStep::kStopAccepting, "end intake"},
    EnumName{ShutdownStep::kEnd, "end"},
}};

/// What a stopping process does next: it serves until the balancer has noticed,
/// then takes nothing more, answers what it took, and ends. Thread-safe.
ShutdownStep NextStep(const ShutdownOptions& options, const ShutdownView& view);

}  // namespace mimosarail::shutdown
