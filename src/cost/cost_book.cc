#include "src/cost/cost_book.h"

#include <array>
#include <ctime>
#include <memory>
#include <set>

#include "src/libs/rpc/codec.h"

namespace mimosarail::cost {
namespace {

constexpr int32_t kMaxRecordsPerRead = 500;

void AddTo(wire::CostLine& sum, const wire::CostLine& line) {
  sum.rule = line.rule;
  sum.revision = line.revision;
  sum.team = line.team;
  sum.requests += line.requests;
  sum.cost_nanos += line.cost_nanos;
  sum.waited_ms += line.waited_ms;
}

std::string DayOf(int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d", &utc);
  return text.data();
}

using DayKey = std::tuple<std::string, std::string, int64_t, std::string>;

/// The state of one pass over the stream.
struct CostSummation {
  std::map<DayKey, wire::CostLine> sums;
  /// Batches already counted, by entry and number: a batch whose append reply
  /// was lost is in the log twice.
  std::set<std::pair<std::string, int64_t>> seen;
  std::function<void(Result<std::vector<DayLine>>)> done;

  void AddBatch(const std::string& data) {
    const auto batch = rpc::Decode<wire::CostBatch>(data);
    if (!batch.ok()) return;
    const wire::CostBatch& read = batch.value();
    if (!seen.emplace(read.entry, read.number).second) return;
    for (const wire::CostLine& line : read.lines) {
      AddTo(sums[{DayOf(read.unix_ms), line.rule, line.revision, line.team}],
            line);
    }
  }

  std::vector<DayLine> Lines() const {
    std::vector<DayLine> out;
    for (const auto& [key, sum] : sums) {
      out.push_back({.day = std::get<0>(key), .sum = sum});
    }
    return out;
  }
};

void ReadNext(ports::LogPort& log,
              const std::shared_ptr<CostSummation>& summation, int64_t start) {
  wire::ReadCall call;
  call.stream = kCostStream;
  call.start = start;
  call.max_records = kMaxRecordsPerRead;
  log.Read(call, [&log, summation](const Result<wire::ReadReply>& reply) {
    if (!reply.ok()) return summation->done(reply.error());
    int64_t next = reply.value().first_retained;
    for (const wire::LogRecord& record : reply.value().records) {
      summation->AddBatch(record.data);
      next = record.offset + 1;
    }
    const bool more =
        !reply.value().records.empty() && next < reply.value().upper;
    if (more) return ReadNext(log, summation, next);
    summation->done(summation->Lines());
  });
}

}  // namespace

CostBook::CostBook(Executor& executor, ports::LogPort& log,
                   CostBookOptions options)
    : executor_(executor), log_(log), options_(std::move(options)) {}

void CostBook::Start() {
  RunEvery(executor_, options_.flush_every, [this] { Flush([](bool) {}); });
}

void CostBook::Add(const wire::CostLine& line) {
  AddTo(lines_[{line.rule, line.revision, line.team}], line);
}

void CostBook::Flush(std::function<void(bool)> done) {
  if (lines_.empty()) return done(unconfirmed_ == 0);
  wire::CostBatch batch;
  batch.entry = options_.entry;
  batch.number = ++next_batch_;
  batch.unix_ms = executor_.UnixMillis();
  for (auto& [key, line] : lines_) batch.lines.push_back(std::move(line));
  lines_.clear();
  ++unconfirmed_;
  auto bytes = std::make_shared<std::string>(rpc::Encode(batch));
  auto append = std::make_shared<std::function<void()>>();
  // Appends the batch until an append is confirmed. The number stays the same,
  // so that readers count the batch once.
  *append = [this, bytes, done = std::move(done),
             weak = std::weak_ptr(append)] {
    wire::AppendCall call;
    call.stream = kCostStream;
    call.records.push_back(*bytes);
    ++appends_;
    log_.Append(call, [this, done, again = weak.lock()](
                          const Result<wire::AppendReply>& reply) {
      if (reply.ok()) {
        --unconfirmed_;
        return done(unconfirmed_ == 0);
      }
      executor_.RunAfter(options_.flush_every, [again] { (*again)(); });
    });
  };
  (*append)();
}

void SumByDay(ports::LogPort& log,
              std::function<void(Result<std::vector<DayLine>>)> done) {
  auto summation = std::make_shared<CostSummation>();
  summation->done = std::move(done);
  ReadNext(log, summation, 0);
}

}  // namespace mimosarail::cost
