#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

/// What an entry knows of the load at the leader, from the leader's replies to
/// heartbeats. Used for Retry-After and metrics only, never to refuse a job:
/// an entry does not know which ids the leader has accepted through other
/// entries. Not thread-safe.
class LeaderLoad {
 public:
  /// An older summary is not used. Five heartbeats.
  static constexpr Millis kMaxAge{1000};
  /// Rows beyond this are ignored.
  static constexpr size_t kMaxQueues = 64;

  /// Takes over the summary of a leader of this term. The heartbeat was sent at
  /// `sent`. All times are of a clock that counts suspensions of the machine.
  void Update(const wire::LoadSummary& summary, int64_t term, TimePoint sent);
  /// Forgets the summary, which may be from before a pause of this process.
  void Clear() { queues_.clear(); }

  /// The load of a queue; nullopt unless it is known from the leader of `term`
  /// and not too old.
  std::optional<wire::QueueLoad> Find(const std::string& queue, int64_t term,
                                      TimePoint now) const;
  /// The queues of the newest summary, whatever its age.
  const std::map<std::string, wire::QueueLoad>& queues() const {
    return queues_;
  }

 private:
  int64_t term_ = 0;
  /// Time of the leader's figures, at the latest.
  TimePoint as_of_{};
  std::map<std::string, wire::QueueLoad> queues_;
};

}  // namespace mimosarail::jobentry
