#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "src/jobs/job.h"
#include "src/ports/advice_port.h"

namespace mimosarail::scheduling {

/// A ticket must still be valid for this long when a start is sent: the start
/// takes time to arrive and may wait for a connection.
inline constexpr Millis kTicketMargin{60};

/// The adviser's latest answer about one upstream for one step. `allowed` does
/// not expire, because the scheduler expects the adviser not to change it. Only
/// the ticket expires.
struct UpstreamAdvice {
  bool allowed = false;
  std::string ticket;
  TimePoint valid_until{};
};

/// The adviser's answers for one step of one occurrence.
struct StepAdvice {
  std::unordered_map<UpstreamIndex, UpstreamAdvice> upstreams;
  /// Number of calls in flight for the step.
  int32_t calls_in_flight = 0;
  /// Upstreams about which the calls in flight ask.
  std::unordered_set<UpstreamIndex> pending;
  /// No call is made before this time; set after a failed call.
  TimePoint earliest_next_call{};

  bool Allowed(UpstreamIndex upstream) const {
    const auto found = upstreams.find(upstream);
    return found != upstreams.end() && found->second.allowed;
  }
  /// Returns the ticket if it is still valid at `when`, otherwise null.
  const std::string* Ticket(UpstreamIndex upstream, TimePoint when) const {
    const auto found = upstreams.find(upstream);
    if (found == upstreams.end() || !found->second.allowed ||
        found->second.valid_until <= when) {
      return nullptr;
    }
    return &found->second.ticket;
  }
};

/// Estimates for each queue which fraction of upstreams its adviser allows,
/// from the answers so far. Not thread-safe.
class AllowanceRates {
 public:
  /// Returns a fraction between 0 and 1.
  double Rate(const std::string& queue) const {
    const auto found = counts_.find(queue);
    if (found == counts_.end()) return kPriorRate;
    const Counts& c = found->second;
    return (c.allowed + kPriorRate * kPriorWeight) / (c.asked + kPriorWeight);
  }
  /// Adds an answer about `asked` upstreams, of which `allowed` are allowed.
  void Add(const std::string& queue, double asked, double allowed) {
    counts_[queue].asked += asked;
    counts_[queue].allowed += allowed;
  }

 private:
  struct Counts {
    double asked = 0;
    double allowed = 0;
  };
  /// Assumed before any answer is known: a rate of one half, with the weight of
  /// four answers.
  static constexpr double kPriorRate = 0.5;
  static constexpr double kPriorWeight = 4;
  std::unordered_map<std::string, Counts> counts_;
};

}  // namespace mimosarail::scheduling
