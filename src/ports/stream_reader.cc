#include "src/ports/stream_reader.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::ports {

StreamReader::StreamReader(Executor& executor, LogPort& log,
                           StreamReaderOptions options,
                           std::function<void(const wire::ReadReply&)> consume)
    : executor_(executor),
      log_(log),
      options_(std::move(options)),
      consume_(std::move(consume)),
      retry_(options_.retry_first) {}

void StreamReader::Start() { ReadNext(); }

void StreamReader::ReadNext() {
  wire::ReadCall call;
  call.stream = options_.stream;
  call.start = position_;
  call.max_records = options_.max_records;
  // The first read must not wait: an empty stream has to be reported at once.
  call.wait_ms = ever_caught_up_ ? options_.read_wait.count() : 0;
  ++reads_;
  log_.Read(call,
            [this](const Result<wire::ReadReply>& reply) { OnReply(reply); });
}

void StreamReader::OnReply(const Result<wire::ReadReply>& reply) {
  if (up_ != reply.ok()) {
    up_ = reply.ok();
    logging::Event(up_ ? logging::Level::kInfo : logging::Level::kWarning,
                   up_ ? "log_up" : "log_down", {{"stream", options_.stream}});
  }
  if (!reply.ok()) {
    executor_.RunAfter(retry_, [this] { ReadNext(); });
    retry_ = std::min(retry_ * 2, options_.retry_longest);
    return;
  }
  retry_ = options_.retry_first;
  consume_(reply.value());
  position_ = std::max(position_, reply.value().first_retained);
  for (const wire::LogRecord& record : reply.value().records) {
    position_ = std::max(position_, record.offset + 1);
  }
  if (position_ >= reply.value().upper) ever_caught_up_ = true;
  ReadNext();
}

}  // namespace mimosarail::ports
