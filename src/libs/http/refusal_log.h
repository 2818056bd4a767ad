#pragma once

#include <cstdint>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::http {

/// Reports connections and requests that a server refused before its handler
/// saw them. Each is counted in `http_refused`; at most one line per
/// kLineInterval is logged. Not thread-safe.
class RefusalLog {
 public:
  static constexpr Millis kLineInterval{1000};

  /// `metrics` may be null; otherwise it must outlive the log.
  RefusalLog(metrics::Registry* metrics, std::string server)
      : metrics_(metrics), server_(std::move(server)) {}

  /// `status` is that of the response; 0 if the connection is closed without
  /// one.
  void Add(const std::string& why, int status, TimePoint now);

 private:
  metrics::Registry* metrics_;
  std::string server_;
  TimePoint next_line_{};
  int64_t not_logged_ = 0;
};

}  // namespace mimosarail::http
