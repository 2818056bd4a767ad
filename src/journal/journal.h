#pragma once

#include <cstdint>
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
};

/// Writes records of one table in groups, under an epoch that fences every
/// earlier writer. One append is under way at a time; one whose answer was lost
/// is repeated under the same sequence number, so it takes effect once.
/// Control thread only.
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

 private:
  struct Batch {
    std::vector<ports::KeyedRecord> records;
    std::vector<Stored> waiters;
  };

  void ScheduleFlush();
  void Flush();
  void Send();
  void OnReply(const ports::AppendReply& reply);

  Executor& executor_;
  ports::RecordStorePort& store_;
  JournalOptions options_;
  std::function<void()> lost_;
  bool open_ = false;
  bool closed_ = false;
  bool sending_ = false;
  bool flush_due_ = false;
  int64_t sequence_ = 0;
  int64_t appends_ = 0;
  TimePoint last_flush_{};
  TimePoint sending_since_{};
  TimePoint last_stored_{};
  Millis last_took_{0};
  Batch in_flight_;
  /// Newest value of each key that waits, in order of the keys.
  std::map<std::string, std::string> pending_;
  std::vector<Stored> waiters_;
};

}  // namespace mimosarail::journal
