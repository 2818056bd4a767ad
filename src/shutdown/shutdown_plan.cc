#include "src/shutdown/shutdown_plan.h"

namespace mimosarail::shutdown {

ShutdownAction NextAction(const ShutdownOptions& options,
                          const ShutdownProgress& progress) {
  if (progress.elapsed >= options.max_duration) return ShutdownAction::kEnd;
  if (!progress.accepting_stopped) {
    return progress.elapsed >= options.unready_period
               ? ShutdownAction::kStopAccepting
               : ShutdownAction::kContinue;
  }
  // While requests are accepted, an absence of open requests does not allow the
  // process to exit: the next request may arrive before the exit, and its
  // caller would see the connection close. Once accepting has stopped, these
  // counts can only fall.
  const bool all_answered =
      progress.open_requests == 0 && progress.connections == 0;
  return all_answered ? ShutdownAction::kEnd : ShutdownAction::kContinue;
}

}  // namespace mimosarail::shutdown
