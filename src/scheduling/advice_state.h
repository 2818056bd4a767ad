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

/// The adviser's latest answer on one upstream for one step. The scheduler
/// expects the adviser not to change whether it allows the upstream, so
/// `allowed` does not expire; only the ticket does.
struct UpstreamAdvice {
  bool allowed = false;
  std::string ticket;
  TimePoint valid_until{};
};

/// The adviser's answers on one step of one occurrence.
struct StepAdvice {
  std::unordered_map<UpstreamIndex, UpstreamAdvice> upstreams;
  /// Number of calls in flight for the step.
  int32_t calls = 0;
  /// Upstreams named by the calls in flight.
  std::unordered_set<UpstreamIndex> pending;
  /// After a failed call no new one is made before this time.
  TimePoint ask_after{};

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

/// How often the adviser of each queue allows an upstream, learned from its
/// answers.
class AllowanceRates {
 public:
  double Rate(const std::string& queue) const {
    const auto found = counts_.find(queue);
    if (found == counts_.end()) return kUnknownRate;
    const Counts& c = found->second;
    return (c.allowed + kUnknownRate * kPriorWeight) / (c.asked + kPriorWeight);
  }
  void Note(const std::string& queue, double asked, double allowed) {
    counts_[queue].asked += asked;
    counts_[queue].allowed += allowed;
  }

 private:
  struct Counts {
    double asked = 0;
    double allowed = 0;
  };
  /// Prior before any answer is known: a rate of one half with the weight of
  /// four answers.
  static constexpr double kUnknownRate = 0.5;
  static constexpr double kPriorWeight = 4;
  std::unordered_map<std::string, Counts> counts_;
};

}  // namespace mimosarail::scheduling
