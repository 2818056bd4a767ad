#include "src/shutdown/shutdown_plan.h"

namespace mimosarail::shutdown {

ShutdownStep NextStep(const ShutdownOptions& options,
                      const ShutdownView& view) {
  if (view.waited >= options.limit) return ShutdownStep::kEnd;
  const bool quiet = view.open_requests == 0;
  if (quiet && view.waited >= options.unready) return ShutdownStep::kEnd;
  return ShutdownStep::kServe;
}

}  // namespace mimosarail::shutdown
