#include "tests/jobsim/store_fake.h"

#include <charconv>
#include <sstream>

#include "src/libs/rpc/codec.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kReplyDelay{4};
constexpr size_t kPageRecords = 500;
constexpr size_t kPageBytes = 1 << 20;
/// Number of a writer's newest appends whose replies are kept for repetitions.
constexpr size_t kKeptReplies = 5;
/// Maximum size of a record, and of all records of an append.
constexpr size_t kMaxRecordBytes = 256 << 10;
constexpr size_t kMaxAppendBytes = 2 << 20;
/// Size of a call or a reply without records.
constexpr size_t kMessageBytes = 200;
constexpr const char* kLeaderTable = "leaders";

/// Size of a page as text, in which a value takes four characters for three
/// bytes.
size_t PageBytes(const std::vector<ports::KeyedRecord>& records) {
  constexpr size_t kRecordOverhead = 40;
  size_t bytes = kMessageBytes;
  for (const ports::KeyedRecord& record : records) {
    bytes += kRecordOverhead + record.key.size() + record.value.size() * 4 / 3;
  }
  return bytes;
}

size_t RecordBytes(const std::vector<ports::KeyedRecord>& records) {
  size_t bytes = kMessageBytes;
  for (const ports::KeyedRecord& record : records) {
    bytes += record.key.size() + record.value.size();
  }
  return bytes;
}

ports::UpstreamEntry ToEntry(const std::string& id, const std::string& value) {
  ports::UpstreamEntry out;
  out.id = id;
  out.listed = !value.empty();
  wire::UpstreamRecord record;
  if (!out.listed) return out;
  if (!rpc::DecodeInto(value, record) || record.address.empty()) {
    out.decode_error = "does not decode";
    return out;
  }
  out.pool = record.pool;
  out.address = record.address;
  out.rack = record.rack;
  out.capacity = {.millicores = record.millicores,
                  .memory_mb = record.memory_mb};
  out.draining = record.failure_domain == "draining";
  out.incarnation = record.incarnation;
  return out;
}

bool TooLarge(const std::vector<ports::KeyedRecord>& records) {
  size_t total = 0;
  for (const ports::KeyedRecord& record : records) {
    const size_t bytes = 1 + record.key.size() + record.value.size();
    if (bytes > kMaxRecordBytes) return true;
    total += bytes;
  }
  return total > kMaxAppendBytes;
}

std::vector<std::string> ConfigDocumentsOf(
    const std::vector<ports::KeyedRecord>& records) {
  std::vector<std::string> out;
  for (const ports::KeyedRecord& record : records) {
    if (record.key == "config") out.push_back(record.value);
  }
  return out;
}

}  // namespace

void StoreFake::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  Table& t = tables_[table];
  ++t.end;
  t.history.push_back({key, value});
  if (value.empty()) {
    t.newest.erase(key);
  } else {
    t.newest[key] = value;
  }
}

void StoreFake::RequestWave(const ports::WaveRequest& wave) {
  const std::string key = "wave/" + std::to_string(wave.wave);
  waves_[key] = wave;
  Put(kConfigTable, key, "asked");
}

std::vector<ports::WaveRequest> StoreFake::Waves(
    const std::vector<ports::KeyedRecord>& records) const {
  std::vector<ports::WaveRequest> out;
  for (const auto& record : records) {
    const auto found = waves_.find(record.key);
    if (found != waves_.end()) out.push_back(found->second);
  }
  return out;
}

ports::AppendReply StoreFake::Append(const ports::AppendCall& call) {
  using ports::AppendVerdict;
  ++appends_;
  if (TooLarge(call.records)) {
    return {.verdict = AppendVerdict::kRefused, .detail = "too large"};
  }
  Table& table = tables_[call.table];
  if (call.expected_end_offset && *call.expected_end_offset != table.end) {
    return {.verdict = AppendVerdict::kConflict, .end_offset = table.end};
  }
  if (call.writer) {
    Writer& writer = table.writers[call.writer->name];
    if (const auto denied = CheckWriter(*call.writer, writer)) return *denied;
    // An empty append sets the epoch but takes no sequence number.
    if (!call.records.empty()) writer.sequence = call.writer->sequence;
  }
  for (const auto& record : call.records) {
    Put(call.table, record.key, record.value);
  }
  ports::AppendReply done{.verdict = AppendVerdict::kStored,
                          .end_offset = table.end};
  if (call.writer && !call.records.empty()) {
    auto& answers = table.writers[call.writer->name].answers;
    answers[call.writer->sequence] = done;
    if (answers.size() > kKeptReplies) answers.erase(answers.begin());
  }
  return done;
}

std::optional<ports::AppendReply> StoreFake::CheckWriter(
    const ports::WriterIdentity& who, Writer& writer) {
  using ports::AppendVerdict;
  if (who.epoch < writer.epoch) {
    return ports::AppendReply{.verdict = AppendVerdict::kFenced};
  }
  if (who.epoch > writer.epoch) writer = {.epoch = who.epoch};
  const auto repeated = writer.answers.find(who.sequence);
  if (repeated != writer.answers.end()) return repeated->second;
  if (writer.sequence && who.sequence != *writer.sequence + 1) {
    ++out_of_order_;
    return ports::AppendReply{.verdict = AppendVerdict::kOutOfSequence};
  }
  return std::nullopt;
}

Millis StoreFake::NextAppendRequestDelay(const std::string& table) {
  const auto delays = faults_.append_request_delays.find(table);
  if (delays == faults_.append_request_delays.end() || delays->second.empty()) {
    return faults_.append_latency / 2 + Jitter();
  }
  const Millis delay = delays->second.front();
  delays->second.pop_front();
  return delay;
}

ports::NewestPage StoreFake::Newest(const std::string& table,
                                    const std::string& after) {
  ports::NewestPage out;
  const Table& t = tables_[table];
  out.end_offset = t.end;
  size_t bytes = 0;
  for (auto at = t.newest.upper_bound(after); at != t.newest.end(); ++at) {
    if (out.records.size() == kPageRecords || bytes >= kPageBytes) {
      out.more = true;
      break;
    }
    out.records.push_back({at->first, at->second});
    out.last_key = at->first;
    bytes += at->first.size() + at->second.size();
  }
  return out;
}

Result<ports::TailReply> StoreFake::Tail(const std::string& table,
                                         int64_t from) {
  const Table& t = tables_[table];
  if (from < t.first) return {Errc::kInvalid, "history was dropped"};
  ports::TailReply out;
  out.start_offset = t.first;
  out.end_offset = t.end;
  for (auto at = static_cast<size_t>(from); at < t.history.size(); ++at) {
    out.records.push_back(t.history[at]);
  }
  return out;
}

bool StoreClientFake::Reachable() const {
  const StoreFaults& faults = store_.faults();
  return !faults.down && faults.partitioned_entries.count(entry_) == 0;
}

void StoreClientFake::Send(const std::string& table, size_t bytes,
                           std::function<void()> done) {
  if (machine_ == nullptr) return done();
  if (table == kLeaderTable) {
    return machine_->out.TransferUrgent(bytes, std::move(done));
  }
  machine_->out.Transfer(bytes, std::move(done));
}

void StoreClientFake::ReceiveReply(std::function<void()> done) {
  if (machine_ == nullptr) return done();
  machine_->ReceiveUrgent(kMessageBytes, [this, done = std::move(done)] {
    executor_.RunAfter(Millis(0), done);
  });
}

void StoreClientFake::Receive(size_t bytes, std::function<void()> done,
                              const std::function<void()>& progress) {
  if (machine_ == nullptr) return done();
  machine_->Receive(
      bytes,
      [this, done = std::move(done)] { executor_.RunAfter(Millis(0), done); },
      progress);
}

void StoreClientFake::Append(const ports::AppendCall& call, Millis timeout,
                             std::function<void(ports::AppendReply)> done) {
  if (!Reachable()) {
    return executor_.RunAfter(timeout, [done] {
      done({.verdict = ports::AppendVerdict::kUnknown, .detail = "no answer"});
    });
  }
  StoreFaults& faults = store_.faults();
  const auto time_out = [this, done, timeout] {
    executor_.RunAfter(timeout, [done] {
      done({.verdict = ports::AppendVerdict::kUnknown, .detail = "lost"});
    });
  };
  if (store_.ShouldRefuseAppend()) {
    return executor_.RunAfter(kReplyDelay, [done] {
      done({.verdict = ports::AppendVerdict::kRefused, .detail = "refused"});
    });
  }
  if (faults.delayed_appends > 0) {
    --faults.delayed_appends;
    store_.clock().At(store_.clock().now() + faults.execution_delay,
                      [this, call] { store_.Append(call); });
    return time_out();
  }
  // The store executes the append even if the caller ends meanwhile.
  const bool reply_dropped = faults.drop_replies > 0;
  if (reply_dropped) --faults.drop_replies;
  if (reply_dropped) time_out();
  auto answered = std::make_shared<bool>(reply_dropped);
  const auto deliver = [answered, done](const ports::AppendReply& reply) {
    if (!std::exchange(*answered, true)) done(reply);
  };
  if (!reply_dropped) {
    executor_.RunAfter(timeout, [deliver] {
      deliver(
          {.verdict = ports::AppendVerdict::kUnknown, .detail = "no answer"});
    });
  }
  const Millis request_delay = store_.NextAppendRequestDelay(call.table);
  const Millis reply_delay = faults.append_latency / 2 + store_.Jitter();
  if (machine_ != nullptr) {
    for (const ports::KeyedRecord& record : call.records) {
      machine_->traffic.Count(
          "append " + call.table + "/" + record.key.substr(0, 1),
          metrics::Direction::kOut, record.key.size() + record.value.size());
    }
    machine_->traffic.Count("append header", metrics::Direction::kOut,
                            kMessageBytes);
  }
  Send(call.table, RecordBytes(call.records),
       [this, call, request_delay, reply_delay, deliver] {
         store_.clock().At(
             store_.clock().now() + request_delay,
             [this, call, reply_delay, deliver] {
               const ports::AppendReply reply = store_.Append(call);
               const auto& reply_delays = store_.faults().append_reply_delays;
               const auto found = reply_delays.find(entry_);
               const Millis back =
                   reply_delay +
                   (found == reply_delays.end() ? Millis(0) : found->second);
               store_.clock().At(
                   store_.clock().now() + back, [this, reply, deliver] {
                     ReceiveReply([deliver, reply] { deliver(reply); });
                   });
             });
       });
}

template <typename T>
void StoreClientFake::TimeOut(Millis timeout, Callback<T> done) {
  executor_.RunAfter(timeout, [done = std::move(done)] {
    done(Result<T>(Errc::kTimeout, "no answer"));
  });
}

template <typename T>
void StoreClientFake::Answer(Millis timeout, Callback<T> done,
                             std::function<Result<T>()> read, Millis delay) {
  if (!Reachable()) return TimeOut<T>(timeout, std::move(done));
  if (store_.faults().jitter == Millis(0)) {
    return executor_.RunAfter(delay, [done, read] { done(read()); });
  }
  const Millis request_delay = store_.Jitter();
  const Millis back = delay + store_.Jitter();
  if (request_delay + back > timeout) {
    return TimeOut<T>(timeout, std::move(done));
  }
  store_.clock().At(
      store_.clock().now() + request_delay, [this, done, read, back] {
        executor_.RunAfter(back, [done, answer = read()] { done(answer); });
      });
}

void StoreClientFake::WatchProgress(Millis timeout,
                                    std::shared_ptr<TimePoint> last_progress,
                                    Callback<ports::NewestPage> deliver) {
  const auto remaining =
      std::chrono::ceil<Millis>(*last_progress + timeout - executor_.Now());
  if (remaining <= Millis(0)) {
    return deliver(Result<ports::NewestPage>(Errc::kTimeout, "no answer"));
  }
  executor_.RunAfter(remaining, [this, timeout, last_progress, deliver] {
    WatchProgress(timeout, last_progress, deliver);
  });
}

void StoreClientFake::ReadNewest(const std::string& table,
                                 const std::string& after, Millis timeout,
                                 Callback<ports::NewestPage> done) {
  auto answered = std::make_shared<bool>(false);
  const auto deliver = [answered, done](Result<ports::NewestPage> page) {
    if (!std::exchange(*answered, true)) done(std::move(page));
  };
  const auto last_progress = std::make_shared<TimePoint>(executor_.Now());
  if (machine_ != nullptr) WatchProgress(timeout, last_progress, deliver);
  Answer<ports::NewestPage>(
      timeout,
      [this, table, deliver, last_progress](Result<ports::NewestPage> page) {
        if (table == kLeaderTable || !page.ok()) {
          return ReceiveReply([deliver, page] { deliver(page); });
        }
        const size_t bytes = PageBytes(page.value().records);
        if (machine_ != nullptr) {
          machine_->traffic.Count("page read", metrics::Direction::kIn, bytes);
        }
        Receive(
            bytes, [deliver, page] { deliver(page); },
            [this, last_progress] { *last_progress = executor_.Now(); });
      },
      [this, table, after]() -> Result<ports::NewestPage> {
        return store_.Newest(table, after);
      },
      kReplyDelay);
}

void StoreClientFake::ReadTail(const std::string& table, int64_t from, Millis,
                               Millis timeout,
                               Callback<ports::TailReply> done) {
  Answer<ports::TailReply>(
      timeout, std::move(done),
      [this, table, from] { return store_.Tail(table, from); }, kReplyDelay);
}

void StoreClientFake::ReadNewest(Millis timeout,
                                 Callback<ports::ConfigUpdate> done) {
  if (store_.faults().config_unreadable) {
    return TimeOut<ports::ConfigUpdate>(timeout, std::move(done));
  }
  Answer<ports::ConfigUpdate>(
      timeout, std::move(done),
      [this]() -> Result<ports::ConfigUpdate> {
        const auto page = store_.Newest(kConfigTable, "");
        return ports::ConfigUpdate{.cursor = page.end_offset,
                                   .documents = ConfigDocumentsOf(page.records),
                                   .waves = store_.Waves(page.records)};
      },
      kReplyDelay);
}

void StoreClientFake::ReadChange(int64_t cursor, Millis, Millis timeout,
                                 Callback<ports::ConfigUpdate> done) {
  if (store_.faults().config_unreadable) {
    return TimeOut<ports::ConfigUpdate>(timeout, std::move(done));
  }
  constexpr Millis kPollInterval{100};
  Answer<ports::ConfigUpdate>(
      timeout, std::move(done),
      [this, cursor]() -> Result<ports::ConfigUpdate> {
        const auto tail = store_.Tail(kConfigTable, cursor);
        if (!tail.ok()) return tail.error();
        const auto& records = tail.value().records;
        return ports::ConfigUpdate{.cursor = tail.value().end_offset,
                                   .documents = ConfigDocumentsOf(records),
                                   .waves = store_.Waves(records)};
      },
      kPollInterval);
}

std::string ConfigDocument(int64_t version,
                           const std::vector<ports::AccountConfig>& accounts) {
  std::ostringstream out;
  out << version;
  for (const ports::AccountConfig& account : accounts) {
    out << "\n"
        << account.name << ' ' << account.weight << ' '
        << account.limit.millicores << ' ' << account.limit.memory_mb;
    for (const std::string& key : account.keys) out << ' ' << key;
  }
  return out.str();
}

Result<ports::CellConfig> StoreClientFake::Decode(
    const std::string& document) const {
  // A document of the fake contains its version and a line for each account;
  // pool and queue are fixed.
  ports::CellConfig out;
  std::istringstream lines(document);
  std::string line;
  std::getline(lines, line);
  const char* const end = line.data() + line.size();
  const auto read = std::from_chars(line.data(), end, out.version);
  if (read.ec != std::errc() || read.ptr != end || out.version < 1) {
    return {Errc::kMalformed, "no version"};
  }
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    ports::AccountConfig account;
    fields >> account.name >> account.weight >> account.limit.millicores >>
        account.limit.memory_mb;
    for (std::string key; fields >> key;) account.keys.push_back(key);
    if (!out.accounts) out.accounts.emplace();
    out.accounts->push_back(std::move(account));
  }
  out.pools = {"pool"};
  ports::QueueConfig queue;
  queue.host = "host";
  queue.prefix = "/q/";
  queue.policy.name = "q";
  queue.policy.pool = "pool";
  queue.policy.max_attempts = 2;
  out.queues.push_back(queue);
  return out;
}

void StoreClientFake::ReadAll(Millis timeout,
                              Callback<ports::UpstreamListUpdate> done) {
  Answer<ports::UpstreamListUpdate>(
      timeout, std::move(done),
      [this]() -> Result<ports::UpstreamListUpdate> {
        ports::UpstreamListUpdate out;
        const auto page = store_.Newest(kUpstreamTable, "");
        out.cursor = page.end_offset;
        for (const auto& record : page.records) {
          out.entries.push_back(ToEntry(record.key, record.value));
        }
        return out;
      },
      kReplyDelay);
}

void StoreClientFake::ReadChanges(int64_t cursor, Millis timeout,
                                  Callback<ports::UpstreamListUpdate> done) {
  Answer<ports::UpstreamListUpdate>(
      timeout, std::move(done),
      [this, cursor]() -> Result<ports::UpstreamListUpdate> {
        const auto tail = store_.Tail(kUpstreamTable, cursor);
        if (!tail.ok()) return tail.error();
        ports::UpstreamListUpdate out;
        out.cursor = tail.value().end_offset;
        for (const auto& record : tail.value().records) {
          out.entries.push_back(ToEntry(record.key, record.value));
        }
        return out;
      },
      kReplyDelay);
}

}  // namespace mimosarail::jobsim
