#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"
#include "src/ports/stream_reader.h"

namespace mimosarail::requests {

inline constexpr char kIntentStream[] = "intents";

/// The winning intents by request id. The entry whose intent has the lowest log
/// offset in an epoch wins that epoch and may start the request. Not
/// thread-safe.
class IntentIndex {
 public:
  /// Adds the intents of the log record at `offset`.
  void Add(int64_t first_retained, int64_t offset,
           const std::vector<wire::Intent>& intents);
  /// Discards intents that the log has trimmed: their key is no longer
  /// deduplicated.
  void Trim(int64_t first_retained);
  /// Returns the winner of the latest epoch, or null.
  const wire::Intent* Find(const std::string& request_id) const;
  size_t size() const { return winners_.size(); }

 private:
  struct Winner {
    wire::Intent intent;
    int64_t offset = 0;
  };
  std::unordered_map<std::string, Winner> winners_;
  std::deque<std::pair<int64_t, std::string>> by_offset_;
};

struct IntentLedgerOptions {
  Millis read_wait{1000};   ///< Long-poll wait of a read of the log.
  Millis group_commit{25};  ///< Interval of the appends under load.
  Millis claim_wait{1500};  ///< Time limit of a claim.
};

/// Claims keyed requests through the log; groups claims into one append.
/// Control thread only. The executor and the log must outlive it.
class IntentLedger {
 public:
  /// Receives the winner of the epoch as read back from the log, or nullopt if
  /// the log did not show a winner in time.
  using ClaimCallback = std::function<void(std::optional<wire::Intent>)>;

  IntentLedger(Executor& executor, ports::LogPort& log,
               IntentLedgerOptions options);
  void Start() { reader_.Start(); }

  /// Sets a callback that receives the winner of the key for every intent read.
  void SetObserver(std::function<void(const wire::Intent&)> observer) {
    observer_ = std::move(observer);
  }
  /// Appends the intent and calls `done` once the winner of its epoch is known.
  void Claim(const wire::Intent& intent, ClaimCallback done);
  const wire::Intent* Find(const std::string& request_id) const {
    return index_.Find(request_id);
  }
  /// Whether all records that the log contained at the start have been read.
  bool ready() const { return reader_.has_caught_up(); }
  /// Whether the last read of the log was answered.
  bool up() const { return reader_.up(); }
  int64_t appends() const { return appends_; }
  int64_t reads() const { return reader_.reads(); }
  size_t size() const { return index_.size(); }

 private:
  struct PendingClaim {
    wire::Intent intent;
    TimePoint until;
    std::vector<ClaimCallback> done;
  };

  void Consume(const wire::ReadReply& reply);
  void ScheduleFlush();
  void Flush();
  void CompleteClaims();
  void ExpireClaim(const std::string& request_id, int32_t epoch);

  Executor& executor_;
  ports::LogPort& log_;
  IntentLedgerOptions options_;
  IntentIndex index_;
  ports::StreamReader reader_;
  std::unordered_map<std::string, PendingClaim> pending_claims_;
  std::vector<std::string> to_append_;  ///< Request ids of unsent intents.
  std::function<void(const wire::Intent&)> observer_;
  bool flush_pending_ = false;
  TimePoint last_flush_{};
  double tokens_ = 0;  ///< Appends that may be sent without delay.
  int64_t appends_ = 0;
};

}  // namespace mimosarail::requests
