#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::journal {

struct JournalOptions {
  std::string table;
  std::string writer;
  int64_t epoch = 0;
  /// Least time between two appends: a record waits this long at most for
  /// others to share its append. Each append is paid for; at 50 a second they
  /// cost less than a thousandth of what the work is worth.
  Millis gap{20};
  /// A doubtful append is repeated under its sequence number after this.
  Millis retry{100};
  Millis timeout{1500};
  /// Most bytes of one append; the store takes 2 MB.
  size_t max_bytes = 1 << 20;
  /// Most appends under way at a time to a store that is slow and answers. A
  /// store carries out the appends of a table one by one, which is a part of
  /// what an append takes; the rest is its way back. With one at a time, 50
  /// times slower than usual, a job waits for its own and for what is left of
  /// the one before. With two, 2 of 10,878 urgent jobs came too late to be of
  /// use, 36 with one. With four they queued up at the store, and jobs were
  /// refused that one at a time had stored.
  size_t max_in_flight = 2;
  /// A store whose last append took this long is slow: three times the pause
  /// between two appends.
  Millis slow{60};
};

/// Writes records of one table in groups, under an epoch that fences every
/// earlier writer. An append whose answer was lost is repeated under the same
/// sequence number, so it takes effect once. One is under way at a time, or a
/// few where the store is slow: it takes them in the order of their numbers
/// only, whatever order they arrive in. Control thread only.
class Journal : public std::enable_shared_from_this<Journal> {
 public:
  /// Told once: whether all that was put before it was asked for is stored, or
  /// the journal was closed first and it may be stored or not. A caller waits
  /// for the answer, so that neither end may leave it out.
  using Stored = std::function<void(bool stored)>;

  /// `lost` runs once, when another writer has taken over. The executor and
  /// store outlive the journal.
  Journal(Executor& executor, ports::RecordStorePort& store,
          JournalOptions options, std::function<void()> lost);

  /// Fences earlier writers; `done` runs when that has taken effect.
  void Open(std::function<void()> done);
  /// Nothing more is written; all that waits is told so, after this call.
  void Close();

  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key) { Put(key, {}); }
  /// Takes back what was put under this key; false if it is on its way to the
  /// store, or stored. Once true, no earlier Put() of it takes effect.
  bool Withdraw(const std::string& key);
  /// Runs `done` when all that was put so far is stored, or never will be.
  void WhenStored(Stored done);

  TimePoint last_stored() const { return last_stored_; }
  /// An append has been without success for this long; 0 if none is waiting.
  Millis stalled_for() const;
  /// How long the last append took until it was stored, repeats included.
  Millis last_took() const { return last_took_; }
  int64_t appends() const { return appends_; }
  /// Appends that are not known to be stored yet.
  size_t in_flight() const { return in_flight_.size(); }

 private:
  struct Batch {
    int64_t sequence = 0;
    std::vector<ports::KeyedRecord> records;
    std::vector<Stored> waiters;
    /// When it was sent for the first time.
    TimePoint since{};
    /// All before it were stored when it was last sent.
    bool next_in_line = false;
    bool repeated = false;
  };

  /// Whether another append may go out beside those under way.
  bool MaySend() const;
  void ScheduleFlush();
  void Flush();
  /// Appends `batch` behind those under way.
  void SendNew(Batch batch);
  /// Sends a batch under way, again or for the first time.
  void Send(Batch& batch);
  /// The batch under way with this number; null if it is stored by now.
  Batch* Find(int64_t sequence);
  void OnReply(int64_t sequence, const ports::AppendReply& reply);
  void OnStored(int64_t sequence, int64_t end_offset);
  /// Logs a batch that is stored, if it was slow, is the first of its epoch or
  /// was not answered itself but with the one numbered `answered`.
  void TellStored(const Batch& batch, Millis took, int64_t answered,
                  int64_t end_offset) const;
  /// Logs an answer that denies what was taken for stored. Of a repeat that
  /// came late it means nothing.
  void OnLateReply(int64_t sequence, const ports::AppendReply& reply) const;

  Executor& executor_;
  ports::RecordStorePort& store_;
  JournalOptions options_;
  std::function<void()> lost_;
  bool open_ = false;
  bool closed_ = false;
  bool flush_due_ = false;
  /// When it is due; an earlier one takes its place.
  TimePoint flush_at_{};
  int64_t sequence_ = 0;
  int64_t appends_ = 0;
  TimePoint last_flush_{};
  TimePoint last_stored_{};
  Millis last_took_{0};
  /// The same of the last append that was answered at once.
  Millis last_answer_{0};
  /// Under way, by their numbers.
  std::deque<Batch> in_flight_;
  /// Newest value of each key that waits, in order of the keys.
  std::map<std::string, std::string> pending_;
  std::vector<Stored> waiters_;
};

}  // namespace mimosarail::journal
