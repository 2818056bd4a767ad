#include "src/libs/http/request_memory.h"

#include <string>

#include "src/libs/logging/log.h"

namespace mimosarail::http {

void RequestMemory::Note(Overrun overrun) {
  const char* const what = overrun == Overrun::kClosed ? "closed" : "refused";
  if (metrics_ != nullptr) {
    metrics_->Count(
        {.name = "requests_over_memory", .labels = {{"what", what}}});
  }
  const auto not_logged = lines_.Add(Clock::now());
  if (!not_logged) return;
  logging::Event(logging::Level::kWarning, "requests over memory",
                 {{"requests", logging::Text(*not_logged + 1)},
                  {"last", what},
                  {"used_bytes", std::to_string(used_bytes())},
                  {"budget_bytes", std::to_string(budget_bytes())}});
}

}  // namespace mimosarail::http
