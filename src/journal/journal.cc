#include "src/journal/journal.h"

#include <algorithm>
#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::journal {

namespace {

/// Key of the record that opens an epoch; since it has no value, the store
/// keeps no record.
constexpr const char* kOpeningKey = "opening";

}  // namespace

using ports::AppendVerdict;

Journal::Journal(Executor& executor, ports::RecordStorePort& store,
                 JournalOptions options, std::function<void()> on_lost)
    : executor_(executor),
      store_(store),
      options_(std::move(options)),
      on_lost_(std::move(on_lost)) {}

void Journal::Open(std::function<void()> done) {
  // Open the epoch with a record. An append without records also sets the
  // epoch, but takes no sequence number. The store would then accept any number
  // in the next append. If the second append overtook the first, the store
  // would accept it, and the first would count as stored although it is not.
  Batch fence;
  fence.records.push_back({.key = kOpeningKey});
  fence.waiters.push_back([this, done = std::move(done)](bool stored) {
    if (!stored) return;
    open_ = true;
    done();
  });
  SendNew(std::move(fence));
}

void Journal::Close() {
  closed_ = true;
  const auto fail = [this](std::vector<StoredCallback>& waiters) {
    for (StoredCallback& waiter : std::exchange(waiters, {})) {
      executor_.Post([waiter = std::move(waiter)] { waiter(false); });
    }
  };
  for (Batch& batch : in_flight_) fail(batch.waiters);
  fail(waiters_);
}

void Journal::Put(const std::string& key, std::string value) {
  const auto [at, is_new] = pending_.try_emplace(key);
  queued_bytes_ += is_new ? key.size() : 0;
  queued_bytes_ += value.size() - at->second.size();
  at->second = std::move(value);
  ScheduleFlush();
}

bool Journal::Withdraw(const std::string& key) {
  const auto found = pending_.find(key);
  if (found == pending_.end()) return false;
  queued_bytes_ -= found->first.size() + found->second.size();
  pending_.erase(found);
  if (!pending_.empty()) return true;
  // Nothing is left to append, so no answer would ever run these callbacks.
  for (StoredCallback& waiter : std::exchange(waiters_, {})) {
    WhenStored(std::move(waiter));
  }
  return true;
}

void Journal::WhenStored(StoredCallback done) {
  const bool stored = pending_.empty() && in_flight_.empty();
  if (closed_ || stored) {
    // Callbacks never run inside the call, which keeps their order.
    return executor_.Post([stored, done = std::move(done)] { done(stored); });
  }
  if (pending_.empty()) {
    return in_flight_.back().waiters.push_back(std::move(done));
  }
  waiters_.push_back(std::move(done));
}

Millis Journal::stalled_for() const {
  if (in_flight_.empty()) return Millis(0);
  return std::chrono::duration_cast<Millis>(executor_.Now() -
                                            in_flight_.front().first_sent);
}

bool Journal::MaySend() const {
  if (in_flight_.empty()) return true;
  // Once a record is in flight, it can no longer be withdrawn to refuse its
  // caller. A store that has stopped responding therefore gets no append beyond
  // the unanswered one.
  return last_unrepeated_duration_ >= options_.slow_append_threshold &&
         stalled_for() < 2 * last_unrepeated_duration_ &&
         in_flight_.size() < options_.max_in_flight;
}

void Journal::ScheduleFlush() {
  if (!open_ || closed_ || pending_.empty() || !MaySend()) return;
  const Millis spread = last_unrepeated_duration_ /
                        static_cast<Millis::rep>(options_.max_in_flight);
  const Millis gap = in_flight_.empty()
                         ? options_.min_append_interval
                         : std::max(options_.min_append_interval, spread);
  const TimePoint now = executor_.Now();
  const TimePoint at = std::max(now, last_sent_ + gap);
  // A flush that was scheduled while appends were in flight is replaced by an
  // earlier one once they are stored.
  if (flush_scheduled_ && flush_at_ <= at) return;
  flush_scheduled_ = true;
  flush_at_ = at;
  executor_.RunAfter(
      std::chrono::ceil<Millis>(at - now), [weak = weak_from_this(), at] {
        const auto self = weak.lock();
        const bool due =
            self && self->flush_scheduled_ && self->flush_at_ == at;
        if (due) self->Flush();
      });
}

void Journal::Flush() {
  flush_scheduled_ = false;
  if (closed_ || pending_.empty() || !MaySend()) return;
  Batch batch;
  size_t bytes = 0;
  while (!pending_.empty() && bytes < options_.max_bytes) {
    auto first = pending_.extract(pending_.begin());
    bytes += first.key().size() + first.mapped().size();
    batch.records.push_back(
        {std::move(first.key()), std::move(first.mapped())});
  }
  batch.bytes = bytes;
  // Callbacks that wait for all pending records belong to the last batch.
  if (pending_.empty()) std::swap(batch.waiters, waiters_);
  SendNew(std::move(batch));
  ScheduleFlush();
}

void Journal::SendNew(Batch batch) {
  batch.sequence = ++sequence_;
  batch.first_sent = executor_.Now();
  in_flight_.push_back(std::move(batch));
  Send(in_flight_.back());
}

void Journal::Send(Batch& batch) {
  batch.next_in_line = &batch == &in_flight_.front();
  ++appends_;
  for (const ports::KeyedRecord& record : batch.records) {
    bytes_sent_ +=
        static_cast<int64_t>(record.key.size() + record.value.size());
  }
  last_sent_ = executor_.Now();
  store_.Append({.table = options_.table,
                 .records = batch.records,
                 .writer = ports::WriterIdentity{.name = options_.writer,
                                                 .epoch = options_.epoch,
                                                 .sequence = batch.sequence}},
                options_.timeout,
                [weak = weak_from_this(),
                 sequence = batch.sequence](const ports::AppendReply& reply) {
                  if (const auto self = weak.lock()) {
                    self->OnReply(sequence, reply);
                  }
                });
}

Journal::Batch* Journal::Find(int64_t sequence) {
  for (Batch& batch : in_flight_) {
    if (batch.sequence == sequence) return &batch;
  }
  return nullptr;
}

void Journal::LogStored(const Batch& batch, Millis took, int64_t answered,
                        int64_t end_offset) const {
  const bool answered_directly = batch.sequence == answered;
  if (answered_directly && took < options_.slow_append_threshold &&
      batch.sequence > 1) {
    return;
  }
  logging::Event(logging::Level::kInfo, "journal append stored",
                 {{"table", options_.table},
                  {"epoch", std::to_string(options_.epoch)},
                  {"sequence", std::to_string(batch.sequence)},
                  {"records", std::to_string(batch.records.size())},
                  {"took_ms", std::to_string(took.count())},
                  {"answered", std::to_string(answered)},
                  {"end_offset", std::to_string(end_offset)}});
}

void Journal::OnStored(int64_t sequence, int64_t end_offset) {
  // The store applies appends in order: those before this one are stored as
  // well, though their answers may arrive later or never.
  while (!closed_ && !in_flight_.empty() &&
         in_flight_.front().sequence <= sequence) {
    last_append_duration_ = stalled_for();
    LogStored(in_flight_.front(), last_append_duration_, sequence, end_offset);
    if (!in_flight_.front().repeated) {
      last_unrepeated_duration_ = last_append_duration_;
    }
    last_stored_ = executor_.Now();
    const Batch done = std::move(in_flight_.front());
    in_flight_.pop_front();
    queued_bytes_ -= done.bytes;
    for (const StoredCallback& waiter : done.waiters) waiter(true);
  }
  if (!closed_) ScheduleFlush();
}

void Journal::OnLateReply(int64_t sequence,
                          const ports::AppendReply& reply) const {
  const bool denied = reply.verdict == AppendVerdict::kOutOfSequence ||
                      reply.verdict == AppendVerdict::kFenced;
  if (!denied) return;
  logging::Event(logging::Level::kWarning, "stored append denied",
                 {{"table", options_.table},
                  {"epoch", std::to_string(options_.epoch)},
                  {"sequence", std::to_string(sequence)},
                  {"cause", reply.detail}});
}

void Journal::OnReply(int64_t sequence, const ports::AppendReply& reply) {
  const Batch* batch = Find(sequence);
  if (closed_) return;
  if (batch == nullptr) return OnLateReply(sequence, reply);
  if (reply.verdict == AppendVerdict::kStored) {
    return OnStored(sequence, reply.end_offset);
  }
  logging::Event(logging::Level::kWarning, "journal append not stored",
                 {{"table", options_.table},
                  {"epoch", std::to_string(options_.epoch)},
                  {"sequence", std::to_string(sequence)},
                  {"under_way", std::to_string(in_flight_.size())},
                  {"cause", reply.detail}});
  // An append that overtook earlier ones is refused for its sequence number,
  // too; only the next one in line shows that another writer has taken over.
  const bool other_writer =
      reply.verdict == AppendVerdict::kOutOfSequence && batch->next_in_line;
  if (other_writer || reply.verdict == AppendVerdict::kFenced) {
    Close();
    return on_lost_();
  }
  executor_.RunAfter(options_.retry_delay, [weak = weak_from_this(), sequence] {
    const auto self = weak.lock();
    if (!self || self->closed_) return;
    Batch* again = self->Find(sequence);
    if (again == nullptr) return;
    again->repeated = true;
    self->Send(*again);
  });
}

}  // namespace mimosarail::journal
