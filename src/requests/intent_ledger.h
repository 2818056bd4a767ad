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

/// Determines which entry may start a keyed request: the entry with the first
/// intent of an epoch by log offset. Not thread-safe.
class IntentFold {
 public:
  void Consume(int64_t first_retained, int64_t offset,
               const std::vector<wire::Intent>& intents);
  /// Discards intents that the log has trimmed: their key is no longer
  /// deduplicated.
  void Trim(int64_t first_retained);
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
  Millis read_wait{1000};
  Millis group_commit{25};
  Millis claim_wait{1500};
};

/// Claims keyed requests through the log and groups claims into one append.
/// Control thread only. The executor and the log must outlive it.
class IntentLedger {
 public:
  /// Receives the winner of the epoch as read back from the log, or nothing if
  /// it was not confirmed in time.
  using Claimed = std::function<void(std::optional<wire::Intent>)>;

  IntentLedger(Executor& executor, ports::LogPort& log,
               IntentLedgerOptions options);
  void Start() { reader_.Start(); }

  /// Sets a callback that receives the winner of the key for every intent read.
  void SetObserver(std::function<void(const wire::Intent&)> observer) {
    observer_ = std::move(observer);
  }
  /// Appends the intent and calls `done` once the winner of its epoch is known.
  void Claim(const wire::Intent& intent, Claimed done);
  const wire::Intent* Find(const std::string& request_id) const {
    return fold_.Find(request_id);
  }
  /// Whether everything that the log contained at the start has been read.
  bool ready() const { return reader_.ever_caught_up(); }
  bool up() const { return reader_.up(); }
  int64_t appends() const { return appends_; }
  int64_t reads() const { return reader_.reads(); }
  size_t size() const { return fold_.size(); }

 private:
  struct PendingClaim {
    wire::Intent intent;
    TimePoint until;
    std::vector<Claimed> done;
  };

  void Consume(const wire::ReadReply& reply);
  void FlushSoon();
  void Flush();
  void Resolve();
  void Expire(const std::string& request_id, int32_t epoch);

  Executor& executor_;
  ports::LogPort& log_;
  IntentLedgerOptions options_;
  IntentFold fold_;
  ports::StreamReader reader_;
  std::unordered_map<std::string, PendingClaim> pending_claims_;
  std::vector<std::string> to_append_;
  std::function<void(const wire::Intent&)> observer_;
  bool flush_pending_ = false;
  TimePoint last_flush_{};
  double tokens_ = 0;  ///< Appends that may be sent without delay.
  int64_t appends_ = 0;
};

}  // namespace mimosarail::requests
