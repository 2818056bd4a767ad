#include "src/cost/cost_aggregator.h"

#include <array>
#include <ctime>
#include <memory>
#include <set>

#include "src/libs/rpc/codec.h"

namespace mimosarail::cost {
namespace {

constexpr int32_t kMaxRecordsPerRead = 500;

void AddToSum(wire::CostLine& sum, const wire::CostLine& line) {
  sum.rule = line.rule;
  sum.revision = line.revision;
  sum.team = line.team;
  sum.requests += line.requests;
  sum.cost_nanos += line.cost_nanos;
  sum.waited_ms += line.waited_ms;
}

std::string UtcDay(int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d", &utc);
  return text.data();
}

using DailyCostKey = std::tuple<std::string, std::string, int64_t, std::string>;

/// Sums the batches of one reading of the whole stream.
struct DailyCostSummation {
  std::map<DailyCostKey, wire::CostLine> sums;
  /// Batches already counted, by entry and number. A batch is in the log twice
  /// if the reply to its first append was lost.
  std::set<std::pair<std::string, int64_t>> counted_batches;
  std::function<void(Result<std::vector<DailyCost>>)> done;

  void AddBatch(const std::string& data) {
    const auto batch = rpc::Decode<wire::CostBatch>(data);
    if (!batch.ok()) return;
    const wire::CostBatch& decoded = batch.value();
    if (!counted_batches.emplace(decoded.entry, decoded.number).second) return;
    for (const wire::CostLine& line : decoded.lines) {
      AddToSum(
          sums[{UtcDay(decoded.unix_ms), line.rule, line.revision, line.team}],
          line);
    }
  }

  std::vector<DailyCost> DailyCosts() const {
    std::vector<DailyCost> out;
    for (const auto& [key, sum] : sums) {
      out.push_back({.day = std::get<0>(key), .sum = sum});
    }
    return out;
  }
};

void ReadFrom(ports::LogPort& log,
              const std::shared_ptr<DailyCostSummation>& summation,
              int64_t start) {
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
    if (more) return ReadFrom(log, summation, next);
    summation->done(summation->DailyCosts());
  });
}

}  // namespace

CostAggregator::CostAggregator(Executor& executor, ports::LogPort& log,
                               CostAggregatorOptions options)
    : executor_(executor), log_(log), options_(std::move(options)) {}

void CostAggregator::Start() {
  RunEvery(executor_, options_.flush_interval, [this] { Flush([](bool) {}); });
}

void CostAggregator::Add(const wire::CostLine& line) {
  AddToSum(pending_sums_[{line.rule, line.revision, line.team}], line);
}

void CostAggregator::Flush(std::function<void(bool)> done) {
  if (pending_sums_.empty()) return done(unconfirmed_batches_ == 0);
  wire::CostBatch batch;
  batch.entry = options_.entry;
  batch.number = ++last_batch_number_;
  batch.unix_ms = executor_.UnixMillis();
  for (auto& [key, line] : pending_sums_) {
    batch.lines.push_back(std::move(line));
  }
  pending_sums_.clear();
  ++unconfirmed_batches_;
  auto bytes = std::make_shared<std::string>(rpc::Encode(batch));
  auto append = std::make_shared<std::function<void()>>();
  // Repeats the append until it is confirmed. The number of the batch stays the
  // same, so that readers count the batch once.
  *append = [this, bytes, done = std::move(done),
             weak = std::weak_ptr(append)] {
    wire::AppendCall call;
    call.stream = kCostStream;
    call.records.push_back(*bytes);
    ++appends_sent_;
    log_.Append(call, [this, done, retry = weak.lock()](
                          const Result<wire::AppendReply>& reply) {
      if (reply.ok()) {
        --unconfirmed_batches_;
        return done(unconfirmed_batches_ == 0);
      }
      executor_.RunAfter(options_.flush_interval, [retry] { (*retry)(); });
    });
  };
  (*append)();
}

void ReadDailyCosts(ports::LogPort& log,
                    std::function<void(Result<std::vector<DailyCost>>)> done) {
  auto summation = std::make_shared<DailyCostSummation>();
  summation->done = std::move(done);
  ReadFrom(log, summation, 0);
}

}  // namespace mimosarail::cost
