#include "src/shutdown/shutdown_plan.h"

namespace mimosarail::shutdown {

ShutdownAction NextAction(const ShutdownOptions& options,
                          const ShutdownView& view) {
  if (view.elapsed >= options.limit) return ShutdownAction::kEnd;
  if (!view.accepting_stopped) {
    return view.elapsed >= options.unready_period
               ? ShutdownAction::kStopAccepting
               : ShutdownAction::kContinue;
  }
  // While requests are accepted, a moment without open requests proves nothing:
  // the next one may arrive before the process has exited, and its caller would
  // see the connection close. Once accepting has stopped, these counts only
  // fall.
  const bool all_answered = view.open_requests == 0 && view.connections == 0;
  return all_answered ? ShutdownAction::kEnd : ShutdownAction::kContinue;
}

}  // namespace mimosarail::shutdown
