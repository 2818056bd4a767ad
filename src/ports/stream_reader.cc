#include "src/ports/stream_reader.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::ports {

StreamReader::StreamReader(Executor& executor, LogPort& log,
                           StreamReaderOptions options,
                           std::function<void(const wire::ReadReply&)> on_reply)
    : executor_(executor),
      log_(log),
      options_(std::move(options)),
      on_reply_(std::move(on_reply)),
      retry_delay_(options_.min_retry_delay) {}

void StreamReader::Start() { ReadNext(); }

void StreamReader::ReadNext() {
  wire::ReadCall call;
  call.stream = options_.stream;
  call.start = next_offset_;
  call.max_records = options_.max_records;
  // Until the reader has caught up, reads do not wait for a record, so that the
  // end of the stream is reported at once.
  call.wait_ms = has_caught_up_ ? options_.read_wait.count() : 0;
  ++reads_sent_;
  log_.Read(call,
            [this](const Result<wire::ReadReply>& reply) { OnReply(reply); });
}

void StreamReader::OnReply(const Result<wire::ReadReply>& reply) {
  if (last_read_answered_ != reply.ok()) {
    last_read_answered_ = reply.ok();
    logging::Event(
        last_read_answered_ ? logging::Level::kInfo : logging::Level::kWarning,
        last_read_answered_ ? "log_up" : "log_down",
        {{"stream", options_.stream}});
  }
  if (!reply.ok()) {
    executor_.RunAfter(retry_delay_, [this] { ReadNext(); });
    retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
    return;
  }
  retry_delay_ = options_.min_retry_delay;
  on_reply_(reply.value());
  next_offset_ = std::max(next_offset_, reply.value().first_retained);
  for (const wire::LogRecord& record : reply.value().records) {
    next_offset_ = std::max(next_offset_, record.offset + 1);
  }
  if (next_offset_ >= reply.value().upper) has_caught_up_ = true;
  ReadNext();
}

}  // namespace mimosarail::ports
