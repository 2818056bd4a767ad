#include "src/libs/http/refusal_log.h"

#include "src/libs/logging/log.h"

namespace mimosarail::http {

void RefusalLog::Add(const std::string& why, int status, TimePoint now) {
  if (metrics_ != nullptr) {
    metrics_->Count({.name = "http_refused",
                     .labels = {{"server", server_}, {"why", why}}});
  }
  const auto not_logged = lines_.Add(now);
  if (!not_logged) return;
  logging::Event(logging::Level::kWarning, "http refused",
                 {{"server", server_},
                  {"why", why},
                  {"status", logging::Text(status)},
                  {"not_logged", logging::Text(*not_logged)}});
}

}  // namespace mimosarail::http
