#pragma once

#include <functional>
#include <string>

#include "src/libs/base/executor.h"
#include "src/ports/log_port.h"

namespace mimosarail::ports {

struct StreamReaderOptions {
  std::string stream;
  Millis read_wait{1000};
  Millis retry_first{100};
  Millis retry_longest{1000};
  int32_t max_records = 500;
};

/// Follows one stream of the log from its first retained record, and retries
/// during outages. Control thread only.
class StreamReader {
 public:
  /// `consume` receives each reply; its first_retained is above the requested
  /// offset if records were trimmed before they were read. `executor` and `log`
  /// must outlive the reader.
  StreamReader(Executor& executor, LogPort& log, StreamReaderOptions options,
               std::function<void(const wire::ReadReply&)> consume);

  void Start();
  /// Continues from `offset` with the next read.
  void Seek(int64_t offset) { position_ = offset; }
  /// Whether the last read was answered.
  bool up() const { return up_; }
  bool ever_caught_up() const { return ever_caught_up_; }
  int64_t position() const { return position_; }
  /// Number of reads sent so far; part of the control cost.
  int64_t reads() const { return reads_; }

 private:
  void ReadNext();
  void OnReply(const Result<wire::ReadReply>& reply);

  Executor& executor_;
  LogPort& log_;
  StreamReaderOptions options_;
  std::function<void(const wire::ReadReply&)> consume_;
  int64_t position_ = 0;
  int64_t reads_ = 0;
  bool up_ = false;
  bool ever_caught_up_ = false;
  Millis retry_{0};
};

}  // namespace mimosarail::ports
