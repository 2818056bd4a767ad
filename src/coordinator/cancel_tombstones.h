#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::coordinator {

/// By how much a submission may reach the leader later than the cancellation of
/// its job: a copy is late on its way to an entry, waits behind other requests
/// of its connection, the entry is paused or cut off, it holds the submission
/// while the outcome is in doubt, and its last call waits at the leader.
inline constexpr Millis kMaxCopyDelay{12000};
inline constexpr Millis kMaxWaitBehind{4000};
inline constexpr Millis kMaxEntryPause{12000};
inline constexpr Millis kMaxSubmissionHold{30000};
inline constexpr Millis kMaxLeaderDelay{2000};
inline constexpr Millis kTombstoneRetention{60000};
static_assert(kMaxCopyDelay + kMaxWaitBehind + kMaxEntryPause +
                  kMaxSubmissionHold + kMaxLeaderDelay <=
              kTombstoneRetention);

/// Memory of a tombstone, and of the tombstones of an account in one record,
/// with the overhead of their allocations.
inline constexpr size_t kTombstoneBytes = 80;
inline constexpr size_t kTombstoneGroupBytes = 224;

struct CancelTombstonesOptions {
  /// Term of this leader, a part of the keys of its records.
  int64_t term = 0;
  Millis retention = kTombstoneRetention;
  /// Tombstones that are added within this time share a record, which is
  /// written again with each of them.
  Millis record_span{200};
  /// Size at which a record takes no further tombstones.
  size_t full_record_bytes = 8 << 10;
};

/// Cancellations of jobs that the leader does not know. A submission of such a
/// job may still be on its way, and the job must not run when it arrives. Uses
/// no clock, socket or log. Not thread-safe.
class CancelTombstones {
 public:
  /// On whose behalf a job is cancelled; nullopt for a caller that may cancel
  /// the jobs of all accounts.
  using CallAccount = std::optional<std::string>;

  explicit CancelTombstones(CancelTombstonesOptions options)
      : options_(options) {}

  /// Divides `bytes` of memory between the accounts of the configuration.
  void SetLimits(size_t bytes, size_t accounts);

  /// Whether the account may add another tombstone.
  bool HasRoom(const CallAccount& account) const;
  /// When the oldest tombstones of the account are dropped.
  Millis TimeToRoom(const CallAccount& account, TimePoint now) const;

  /// Adds a tombstone. Returns the record to be stored; it replaces an earlier
  /// one with the same key.
  /// Precondition: HasRoom(account).
  ports::KeyedRecord Add(JobId id, const CallAccount& account, TimePoint now);

  /// How long ago the job of this account was cancelled, or loaded if that was
  /// under an earlier leader; nothing if it has no tombstone. An empty account
  /// stands for a job without an owner, which any account may cancel.
  std::optional<Millis> AgeOf(JobId id, const std::string& account,
                              TimePoint now) const;

  /// Adds the tombstones of a stored record. Returns false if it is malformed.
  bool Load(const ports::KeyedRecord& record, TimePoint now);

  /// Drops tombstones after their retention. Returns the keys of the records
  /// that the store need not keep any longer.
  std::vector<std::string> DropExpired(TimePoint now);

  size_t size() const { return size_; }
  size_t bytes() const { return bytes_; }

 private:
  struct Record {
    std::string key;
    TimePoint opened{};
    TimePoint last_added{};
    /// Upper bound of its encoded size.
    size_t encoded_bytes = 0;
    std::map<CallAccount, std::vector<JobId>> ids{};
  };
  struct AccountTombstones {
    /// The number of the newest record that holds the id.
    std::unordered_map<JobId, int64_t> records;
    size_t bytes = 0;
  };

  /// The record that takes new tombstones.
  Record& OpenRecord(TimePoint now);
  int64_t LastNumber() const {
    return first_number_ + static_cast<int64_t>(records_.size()) - 1;
  }
  /// Adds a tombstone to the last record, unless that holds it already.
  void AddToLast(JobId id, const CallAccount& account);
  void DropFirst();
  /// The newest record that holds the id; null if none does.
  const Record* FindRecord(const AccountTombstones& tombstones, JobId id) const;

  CancelTombstonesOptions options_;
  size_t room_bytes_ = 0;
  /// In the order of their times, numbered from first_number_.
  std::deque<Record> records_;
  int64_t first_number_ = 0;
  /// Whether the last record takes new tombstones.
  bool last_is_open_ = false;
  std::map<CallAccount, AccountTombstones> accounts_;
  size_t size_ = 0;
  size_t bytes_ = 0;
};

}  // namespace mimosarail::coordinator
