#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/instance/instance.h"
#include "src/libs/base/result.h"

namespace mimosarail::callers {

struct HttpApiOptions {
  std::string address;
  int64_t threads = 16;
  int64_t max_body = 1 << 20;
  int64_t max_wait_ms = 30000;
  Millis control_timeout{5000};
  /// Updates the metrics that only the daemon knows (CPU, bytes) before
  /// /metrics is served.
  std::function<void()> update_metrics;
};

/// The HTTP interface for callers and operators (docs/API.md). Handlers run on
/// the HTTP server's own threads. They access the state of the instance only in
/// work that they post to the control thread.
class HttpApi {
 public:
  /// The instance, the executor and the registry must outlive it. `control`
  /// runs work on the control thread.
  HttpApi(instance::Instance& instance, Executor& control,
          metrics::Registry& metrics, HttpApiOptions options);
  ~HttpApi();
  HttpApi(const HttpApi&) = delete;
  HttpApi& operator=(const HttpApi&) = delete;

  /// Binds, serves on its own threads and returns the port.
  Result<uint16_t> Start();
  /// Lets running handlers finish, then stops. Must not be called from a
  /// handler.
  void Stop();

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::callers
