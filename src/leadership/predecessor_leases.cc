#include "src/leadership/predecessor_leases.h"

#include <algorithm>

namespace mimosarail::leadership {
namespace {

/// Upper bound of a duration on the local clock, relative to the same duration
/// on the clock of another entry.
constexpr double kClockDriftFactor = 1.025;

/// Longest limit that is accepted from a stored quorum.
constexpr Millis kLongestStoreOutage{std::chrono::hours(1)};

Millis OnLocalClock(Millis duration) {
  return Millis(static_cast<int64_t>(static_cast<double>(duration.count()) *
                                     kClockDriftFactor));
}

}  // namespace

void PredecessorLeases::BeginTerm(std::optional<wire::QuorumRecord> quorum) {
  members_.clear();
  following_.clear();
  fenced_at_.reset();
  quorum_lost_at_.reset();
  max_store_outage_ = options_.max_store_outage;
  if (!quorum) return;
  members_.insert(quorum->members.begin(), quorum->members.end());
  max_store_outage_ = std::clamp(Millis(quorum->max_store_outage_ms), Millis(0),
                                 kLongestStoreOutage);
}

void PredecessorLeases::BeginFirstTerm() {
  BeginTerm(std::nullopt);
  max_store_outage_ = Millis(0);
}

void PredecessorLeases::OnFollower(const std::string& name, TimePoint now) {
  if (quorum_lost_at_ || members_.count(name) == 0) return;
  // An earlier leader is confirmed by more than half of the quorum only. An
  // entry that follows this leader never confirms an earlier one again.
  following_.insert(name);
  if (2 * following_.size() >= members_.size()) quorum_lost_at_ = now;
}

void PredecessorLeases::OnFenced(TimePoint now) {
  if (!fenced_at_) fenced_at_ = now;
}

std::optional<TimePoint> PredecessorLeases::SupersededAt() const {
  if (!fenced_at_) return std::nullopt;
  const TimePoint outage_end = *fenced_at_ + OnLocalClock(max_store_outage_);
  if (!quorum_lost_at_) return outage_end;
  return std::min(outage_end, std::max(*fenced_at_, *quorum_lost_at_));
}

bool PredecessorLeases::superseded(TimePoint now) const {
  const auto at = SupersededAt();
  return at && *at <= now;
}

std::optional<TimePoint> PredecessorLeases::lease_end() const {
  const auto at = SupersededAt();
  if (!at) return std::nullopt;
  return *at + options_.leader_lease;
}

}  // namespace mimosarail::leadership
