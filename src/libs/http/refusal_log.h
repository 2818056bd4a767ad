#pragma once

#include <string>
#include <utility>

#include "src/libs/base/executor.h"
#include "src/libs/base/line_interval.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::http {

/// Reports connections and requests that a server refused before its handler
/// saw them. Each is counted in `http_refused`; lines are bounded in rate. Not
/// thread-safe.
class RefusalLog {
 public:
  /// `metrics` may be null; otherwise it must outlive the log.
  RefusalLog(metrics::Registry* metrics, std::string server)
      : metrics_(metrics), server_(std::move(server)) {}

  /// `status` is that of the response; 0 if the connection is closed without
  /// one.
  void Add(const std::string& why, int status, TimePoint now);

 private:
  metrics::Registry* metrics_;
  std::string server_;
  LineInterval lines_;
};

}  // namespace mimosarail::http
