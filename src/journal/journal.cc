#include "src/journal/journal.h"

#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::journal {

using ports::AppendVerdict;

Journal::Journal(Executor& executor, ports::RecordStorePort& store,
                 JournalOptions options, std::function<void()> lost)
    : executor_(executor),
      store_(store),
      options_(std::move(options)),
      lost_(std::move(lost)) {}

void Journal::Open(std::function<void()> done) {
  in_flight_.waiters.push_back([this, done = std::move(done)](bool stored) {
    if (!stored) return;
    open_ = true;
    done();
  });
  Send();
}

void Journal::Close() {
  closed_ = true;
  for (auto* waiters : {&in_flight_.waiters, &waiters_}) {
    for (Stored& waiter : std::exchange(*waiters, {})) {
      executor_.Post([waiter = std::move(waiter)] { waiter(false); });
    }
  }
}

void Journal::Put(const std::string& key, std::string value) {
  pending_[key] = std::move(value);
  ScheduleFlush();
}

bool Journal::Withdraw(const std::string& key) {
  if (pending_.erase(key) == 0) return false;
  if (!pending_.empty()) return true;
  // Nothing is left to append: what waited for that would wait for ever.
  for (Stored& waiter : std::exchange(waiters_, {})) {
    WhenStored(std::move(waiter));
  }
  return true;
}

void Journal::WhenStored(Stored done) {
  const bool stored = pending_.empty() && !sending_;
  if (closed_ || stored) {
    // Keeps the order of callbacks: never inside the call.
    return executor_.Post([stored, done = std::move(done)] { done(stored); });
  }
  if (pending_.empty()) return in_flight_.waiters.push_back(std::move(done));
  waiters_.push_back(std::move(done));
}

Millis Journal::stalled_for() const {
  if (!sending_) return Millis(0);
  return std::chrono::duration_cast<Millis>(executor_.Now() - sending_since_);
}

void Journal::ScheduleFlush() {
  if (!open_ || closed_ || sending_ || flush_due_ || pending_.empty()) return;
  flush_due_ = true;
  const auto since =
      std::chrono::duration_cast<Millis>(executor_.Now() - last_flush_);
  const Millis wait = since >= options_.gap ? Millis(0) : options_.gap - since;
  executor_.RunAfter(wait, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Flush();
  });
}

void Journal::Flush() {
  flush_due_ = false;
  if (closed_ || sending_ || pending_.empty()) return;
  size_t bytes = 0;
  while (!pending_.empty() && bytes < options_.max_bytes) {
    auto first = pending_.extract(pending_.begin());
    bytes += first.key().size() + first.mapped().size();
    in_flight_.records.push_back(
        {std::move(first.key()), std::move(first.mapped())});
  }
  // With a part left over, what waits for all of it waits for the rest.
  if (pending_.empty()) std::swap(in_flight_.waiters, waiters_);
  Send();
}

void Journal::Send() {
  if (!sending_) {
    ++sequence_;
    sending_since_ = executor_.Now();
  }
  sending_ = true;
  ++appends_;
  last_flush_ = executor_.Now();
  store_.Append({.table = options_.table,
                 .records = in_flight_.records,
                 .writer = ports::WriterIdentity{.name = options_.writer,
                                                 .epoch = options_.epoch,
                                                 .sequence = sequence_}},
                options_.timeout,
                [weak = weak_from_this()](const ports::AppendReply& reply) {
                  if (const auto self = weak.lock()) self->OnReply(reply);
                });
}

void Journal::OnReply(const ports::AppendReply& reply) {
  if (closed_) return;
  if (reply.verdict == AppendVerdict::kStored) {
    last_took_ = stalled_for();
    sending_ = false;
    last_stored_ = executor_.Now();
    const Batch done = std::exchange(in_flight_, {});
    for (const Stored& waiter : done.waiters) waiter(true);
    if (!closed_) ScheduleFlush();
    return;
  }
  logging::Event(logging::Level::kWarning, "journal append not stored",
                 {{"table", options_.table},
                  {"epoch", std::to_string(options_.epoch)},
                  {"sequence", std::to_string(sequence_)},
                  {"cause", reply.detail}});
  if (reply.verdict == AppendVerdict::kFenced ||
      reply.verdict == AppendVerdict::kOutOfSequence) {
    Close();
    return lost_();
  }
  executor_.RunAfter(options_.retry, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed_) self->Send();
  });
}

}  // namespace mimosarail::journal
