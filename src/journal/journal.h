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
  /// Minimum interval between two appends: a record waits at most this long for
  /// other records to share its append. The store charges for each append. At
  /// 50 appends a second, the charge is less than a thousandth of the value of
  /// the work done.
  Millis min_append_interval{20};
  /// Delay before an append that is not confirmed as stored is repeated under
  /// its sequence number.
  Millis retry_delay{100};
  Millis timeout{1500};  ///< Time limit of one append call.
  /// Size in bytes at which an append is full; the store accepts up to 2 MB.
  size_t max_bytes = 1 << 20;
  /// Maximum number of appends in flight to a store that is slow but answers. A
  /// store carries out the appends of a table one by one, but much of the
  /// duration of an append is network delay. With one append in flight to a
  /// store 50 times slower than usual, a job waits for the rest of one append
  /// and then for its own: 36 of 10,878 urgent jobs came too late to be of use.
  /// With two appends in flight, 2 of them did. With four, appends queued up at
  /// the store, and jobs were refused that would have been stored with one.
  size_t max_in_flight = 2;
  /// A store whose last append took at least this long is slow. The default is
  /// three times min_append_interval.
  Millis slow_append_threshold{60};
};

/// Writes records of one table in batches, under an epoch that fences every
/// earlier writer. An append whose answer was lost is repeated under the same
/// sequence number, so it takes effect once. One append is in flight at a time,
/// or a few if the store is slow: the store applies appends only in the order
/// of their sequence numbers, in whatever order they arrive. Control thread
/// only.
class Journal : public std::enable_shared_from_this<Journal> {
 public:
  /// A callback that runs exactly once, so that the code that passed it always
  /// gets an answer. `stored` is true if everything put before the callback was
  /// passed is stored, and false if the journal was closed first, which leaves
  /// the outcome in doubt.
  using StoredCallback = std::function<void(bool stored)>;

  /// `on_lost` runs once, when another writer has taken over. The executor and
  /// the store outlive the journal.
  Journal(Executor& executor, ports::RecordStorePort& store,
          JournalOptions options, std::function<void()> on_lost);

  /// Fences earlier writers; `done` runs when that has taken effect.
  void Open(std::function<void()> done);
  /// Stops writing. All waiting callbacks run with `false`, after this call
  /// returns.
  void Close();

  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key) { Put(key, {}); }
  /// Withdraws the pending value of this key, which is then never sent. Returns
  /// false if there is none, for example because it is in flight or stored.
  bool Withdraw(const std::string& key);
  /// Runs `done` when everything put so far is stored or the journal is closed;
  /// never within this call.
  void WhenStored(StoredCallback done);

  /// When the newest stored append was confirmed.
  TimePoint last_stored() const { return last_stored_; }
  /// Time since the oldest append in flight was first sent; 0 if none is in
  /// flight.
  Millis stalled_for() const;
  /// Time from the first sending of the last stored append to its confirmation,
  /// repeats included.
  Millis last_append_duration() const { return last_append_duration_; }
  /// Number of appends sent, repeats included.
  int64_t appends() const { return appends_; }
  /// Bytes of the records in these appends, with their keys.
  int64_t bytes_sent() const { return bytes_sent_; }
  /// Bytes of the records that are not known to be stored yet.
  size_t queued_bytes() const { return queued_bytes_; }
  /// Number of appends that are not known to be stored yet.
  size_t in_flight() const { return in_flight_.size(); }

 private:
  struct Batch {
    int64_t sequence = 0;
    std::vector<ports::KeyedRecord> records;
    std::vector<StoredCallback> waiters;
    size_t bytes = 0;
    TimePoint first_sent{};
    /// Whether all batches before it were stored when it was last sent.
    bool next_in_line = false;
    bool repeated = false;
  };

  /// Whether another append may be sent in addition to those in flight.
  bool MaySend() const;
  void ScheduleFlush();
  void Flush();
  /// Assigns the next sequence number to `batch` and sends it.
  void SendNew(Batch batch);
  /// Sends a batch in flight, for the first time or as a repeat.
  void Send(Batch& batch);
  /// The batch in flight with this number; null if it is already stored.
  Batch* Find(int64_t sequence);
  void OnReply(int64_t sequence, const ports::AppendReply& reply);
  void OnStored(int64_t sequence, int64_t end_offset);
  /// Logs a stored batch if it was slow, is the first of its epoch, or was
  /// confirmed by the answer to the later batch numbered `answered`.
  void LogStored(const Batch& batch, Millis took, int64_t answered,
                 int64_t end_offset) const;
  /// Logs an answer that refuses a batch already regarded as stored. Such an
  /// answer is harmless if it is the late answer to a repeated append.
  void OnLateReply(int64_t sequence, const ports::AppendReply& reply) const;

  Executor& executor_;
  ports::RecordStorePort& store_;
  JournalOptions options_;
  std::function<void()> on_lost_;
  bool open_ = false;
  bool closed_ = false;
  bool flush_scheduled_ = false;
  /// When the scheduled flush is due.
  TimePoint flush_at_{};
  int64_t sequence_ = 0;
  int64_t appends_ = 0;
  int64_t bytes_sent_ = 0;
  /// When a batch was last sent, repeats included.
  TimePoint last_sent_{};
  TimePoint last_stored_{};
  Millis last_append_duration_{0};
  /// Like last_append_duration_, but for the last append stored without a
  /// repeat.
  Millis last_unrepeated_duration_{0};
  /// Batches in flight, ordered by sequence number.
  std::deque<Batch> in_flight_;
  /// Newest pending value of each key, in key order.
  std::map<std::string, std::string> pending_;
  size_t queued_bytes_ = 0;
  std::vector<StoredCallback> waiters_;
};

}  // namespace mimosarail::journal
