#pragma once

#include <functional>
#include <string>

#include "src/libs/base/executor.h"
#include "src/ports/log_port.h"

namespace mimosarail::ports {

struct StreamReaderOptions {
  std::string stream;
  /// How long a read waits at the log for a new record.
  Millis read_wait{1000};
  /// Delay before a failed read is repeated; doubles up to the maximum.
  Millis min_retry_delay{100};
  Millis max_retry_delay{1000};
  int32_t max_records = 500;
};

/// Reads one stream of the log continuously, from its first retained record on.
/// Failed reads are repeated until the log answers again. Control thread only.
class StreamReader {
 public:
  /// `on_reply` receives each reply. Its `first_retained` is above the
  /// requested offset if records were trimmed before they were read. `executor`
  /// and `log` must outlive the reader, and the reader must outlive the pending
  /// callbacks of both.
  StreamReader(Executor& executor, LogPort& log, StreamReaderOptions options,
               std::function<void(const wire::ReadReply&)> on_reply);

  void Start();
  /// Continues from `offset` with the next read.
  void Seek(int64_t offset) { next_offset_ = offset; }
  /// Whether the last read was answered; false before the first answer.
  bool up() const { return last_read_answered_; }
  /// Whether a read has ever reached the end of the stream.
  bool has_caught_up() const { return has_caught_up_; }
  int64_t next_offset() const { return next_offset_; }
  /// Number of reads sent so far; counts towards the control cost.
  int64_t reads() const { return reads_sent_; }

 private:
  void ReadNext();
  void OnReply(const Result<wire::ReadReply>& reply);

  Executor& executor_;
  LogPort& log_;
  StreamReaderOptions options_;
  std::function<void(const wire::ReadReply&)> on_reply_;
  int64_t next_offset_ = 0;
  int64_t reads_sent_ = 0;
  bool last_read_answered_ = false;
  bool has_caught_up_ = false;
  Millis retry_delay_{0};
};

}  // namespace mimosarail::ports
