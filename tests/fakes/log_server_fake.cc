#include "tests/fakes/log_server_fake.h"

#include <algorithm>
#include <utility>

namespace mimosarail::fakes {
namespace {
constexpr Millis kExpiryInterval{50};
}  // namespace

LogServerFake::LogServerFake(Executor& executor, Millis retention)
    : executor_(executor), retention_(retention) {
  RunEvery(executor_, kExpiryInterval, [this] { Expire(); });
}

template <typename Reply>
void LogServerFake::Send(const ReplyCallback<Reply>& done, const Reply& reply) {
  if (faults_.down) return;
  if (faults_.reply_delay_ms == 0) return done(reply);
  executor_.RunAfter(Millis(faults_.reply_delay_ms),
                     [done, reply] { done(reply); });
}

void LogServerFake::Append(const wire::AppendCall& call,
                           ReplyCallback<wire::AppendReply> done) {
  if (faults_.down) return;
  if (faults_.drop_appends > 0) {
    --faults_.drop_appends;
    return;
  }
  ++appends_;
  Stream& stream = streams_[call.stream];
  wire::AppendReply reply;
  reply.first_offset = stream.next;
  for (const std::string& data : call.records) {
    StoredRecord stored;
    stored.record.offset = stream.next++;
    stored.record.data = data;
    stored.appended_at = executor_.Now();
    stream.records.push_back(std::move(stored));
  }
  for (const WaitingReader& reader : std::exchange(stream.readers, {})) {
    Send(reader.done, MakeReply(stream, reader.call));
  }
  if (faults_.drop_append_replies > 0) {
    --faults_.drop_append_replies;
    return;
  }
  Send(done, reply);
}

wire::ReadReply LogServerFake::MakeReply(const Stream& stream,
                                         const wire::ReadCall& call) const {
  wire::ReadReply reply;
  reply.first_retained = stream.first;
  reply.upper = stream.next;
  const int64_t start = std::max(call.start, stream.first);
  const int64_t skip = start - stream.first;
  for (size_t i = static_cast<size_t>(std::max<int64_t>(skip, 0));
       i < stream.records.size() &&
       reply.records.size() < static_cast<size_t>(call.max_records);
       ++i) {
    reply.records.push_back(stream.records[i].record);
  }
  return reply;
}

void LogServerFake::Read(const wire::ReadCall& call,
                         ReplyCallback<wire::ReadReply> done) {
  if (faults_.down) return;
  ++reads_;
  Stream& stream = streams_[call.stream];
  if (call.start < stream.next || call.wait_ms <= 0) {
    return Send(done, MakeReply(stream, call));
  }
  const uint64_t id = ++last_reader_id_;
  stream.readers.push_back({call, std::move(done), id});
  executor_.RunAfter(Millis(call.wait_ms), [this, &stream, id] {
    const auto found =
        std::find_if(stream.readers.begin(), stream.readers.end(),
                     [id](const WaitingReader& w) { return w.id == id; });
    if (found == stream.readers.end()) return;
    const WaitingReader waiting = std::move(*found);
    stream.readers.erase(found);
    Send(waiting.done, MakeReply(stream, waiting.call));
  });
}

void LogServerFake::Expire() {
  const TimePoint now = executor_.Now();
  for (auto& [name, stream] : streams_) {
    while (!stream.records.empty() &&
           now - stream.records.front().appended_at > retention_) {
      stream.records.pop_front();
      ++stream.first;
    }
  }
}

void LogServerFake::Trim(const std::string& name, int64_t offset) {
  Stream& stream = streams_[name];
  while (!stream.records.empty() && stream.first < offset) {
    stream.records.pop_front();
    ++stream.first;
  }
}

}  // namespace mimosarail::fakes
