#include "src/libs/http/refusal_log.h"

#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::http {

void RefusalLog::Add(const std::string& why, int status, TimePoint now) {
  if (metrics_ != nullptr) {
    metrics_->Count({.name = "http_refused",
                     .labels = {{"server", server_}, {"why", why}}});
  }
  if (now < next_line_) {
    ++not_logged_;
    return;
  }
  next_line_ = now + kLineInterval;
  logging::Event(
      logging::Level::kWarning, "http refused",
      {{"server", server_},
       {"why", why},
       {"status", logging::Text(status)},
       {"not_logged", logging::Text(std::exchange(not_logged_, 0))}});
}

}  // namespace mimosarail::http
