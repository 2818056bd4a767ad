#include "src/requests/intent_ledger.h"

#include <algorithm>

#include "src/libs/rpc/codec.h"

namespace mimosarail::requests {
namespace {

/// Appends that may be sent in a row without waiting for the group commit.
constexpr double kMaxBurst = 20;

}  // namespace

void IntentIndex::Add(int64_t first_retained, int64_t offset,
                      const std::vector<wire::Intent>& intents) {
  Trim(first_retained);
  for (const wire::Intent& intent : intents) {
    const auto found = winners_.find(intent.request_id);
    // Two entries may claim the same key if neither has read the other's record
    // yet. All entries read the records in the same order and therefore agree
    // on the winner.
    const bool first = found == winners_.end();
    if (!first && intent.epoch != found->second.intent.epoch + 1) continue;
    winners_[intent.request_id] = {intent, offset};
    by_offset_.emplace_back(offset, intent.request_id);
  }
}

void IntentIndex::Trim(int64_t first_retained) {
  while (!by_offset_.empty() && by_offset_.front().first < first_retained) {
    const auto& [offset, id] = by_offset_.front();
    const auto found = winners_.find(id);
    if (found != winners_.end() && found->second.offset == offset) {
      winners_.erase(found);
    }
    by_offset_.pop_front();
  }
}

const wire::Intent* IntentIndex::Find(const std::string& request_id) const {
  const auto found = winners_.find(request_id);
  return found == winners_.end() ? nullptr : &found->second.intent;
}

IntentLedger::IntentLedger(Executor& executor, ports::LogPort& log,
                           IntentLedgerOptions options)
    : executor_(executor),
      log_(log),
      options_(options),
      reader_(executor, log,
              {.stream = kIntentStream, .read_wait = options.read_wait},
              [this](const wire::ReadReply& reply) { Consume(reply); }) {}

void IntentLedger::Consume(const wire::ReadReply& reply) {
  index_.Trim(reply.first_retained);
  for (const wire::LogRecord& record : reply.records) {
    const auto batch = rpc::Decode<wire::IntentBatch>(record.data);
    if (!batch.ok()) continue;
    index_.Add(reply.first_retained, record.offset, batch.value().intents);
    if (!observer_) continue;
    for (const wire::Intent& intent : batch.value().intents) {
      const wire::Intent* winner = index_.Find(intent.request_id);
      if (winner != nullptr) observer_(*winner);
    }
  }
  CompleteClaims();
}

void IntentLedger::Claim(const wire::Intent& intent, ClaimCallback done) {
  const wire::Intent* known = index_.Find(intent.request_id);
  if (known != nullptr && known->epoch >= intent.epoch) return done(*known);
  PendingClaim& pending = pending_claims_[intent.request_id];
  const bool first = pending.done.empty();
  pending.done.push_back(std::move(done));
  if (!first) return;
  pending.intent = intent;
  pending.until = executor_.Now() + options_.claim_wait;
  to_append_.push_back(intent.request_id);
  ScheduleFlush();
  executor_.RunAfter(options_.claim_wait,
                     [this, id = intent.request_id, epoch = intent.epoch] {
                       ExpireClaim(id, epoch);
                     });
}

/// Sends intents immediately while appends are rare. Under load, one append
/// carries all intents of a group-commit interval, so that the append rate of
/// all entries together stays below the limit of the log.
void IntentLedger::ScheduleFlush() {
  if (flush_pending_) return;
  flush_pending_ = true;
  const TimePoint now = executor_.Now();
  const std::chrono::duration<double> since = now - last_flush_;
  const std::chrono::duration<double> interval = options_.group_commit;
  tokens_ = std::min(kMaxBurst, tokens_ + since / interval);
  last_flush_ = now;
  tokens_ -= 1;
  const auto delay = std::chrono::duration_cast<Millis>(-tokens_ * interval);
  executor_.RunAfter(std::max(Millis(0), delay), [this] { Flush(); });
}

void IntentLedger::Flush() {
  flush_pending_ = false;
  wire::IntentBatch batch;
  const std::vector<std::string> ids = std::exchange(to_append_, {});
  for (const std::string& id : ids) {
    const auto found = pending_claims_.find(id);
    if (found != pending_claims_.end()) {
      batch.intents.push_back(found->second.intent);
    }
  }
  if (batch.intents.empty()) return;
  wire::AppendCall call;
  call.stream = kIntentStream;
  call.records.push_back(rpc::Encode(batch));
  ++appends_;
  log_.Append(call, [this, ids](const Result<wire::AppendReply>& reply) {
    if (reply.ok()) return;
    // The append may have taken effect. A repeated intent has no effect then,
    // since the copy with the lower offset is also of this entry.
    for (const std::string& id : ids) {
      if (pending_claims_.contains(id)) to_append_.push_back(id);
    }
    if (!to_append_.empty()) ScheduleFlush();
  });
}

void IntentLedger::CompleteClaims() {
  for (auto it = pending_claims_.begin(); it != pending_claims_.end();) {
    const wire::Intent* winner = index_.Find(it->first);
    if (winner == nullptr || winner->epoch < it->second.intent.epoch) {
      ++it;
      continue;
    }
    const wire::Intent found = *winner;
    const std::vector<ClaimCallback> done = std::move(it->second.done);
    it = pending_claims_.erase(it);
    for (const ClaimCallback& callback : done) callback(found);
  }
}

void IntentLedger::ExpireClaim(const std::string& request_id, int32_t epoch) {
  const auto found = pending_claims_.find(request_id);
  if (found == pending_claims_.end() || found->second.intent.epoch != epoch) {
    return;
  }
  if (executor_.Now() < found->second.until) return;
  const std::vector<ClaimCallback> done = std::move(found->second.done);
  pending_claims_.erase(found);
  for (const ClaimCallback& callback : done) callback(std::nullopt);
}

}  // namespace mimosarail::requests
