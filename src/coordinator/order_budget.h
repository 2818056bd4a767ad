#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/scheduling/orders.h"

namespace mimosarail::coordinator {

/// Purposes of the bytes that accepted work makes the leader send.
enum class LinkPurpose {
  kStarts,   ///< Requests to start tasks.
  kAppends,  ///< Records of jobs and upstreams, to the store.
};

inline constexpr EnumTable kLinkPurposeNames{std::array{
    EnumName{LinkPurpose::kStarts, "starts"},
    EnumName{LinkPurpose::kAppends, "appends"},
}};

/// Fraction of the link that starts and appends may use while the rate of the
/// other messages is unknown: heartbeats, renewals, reads of the store, answers
/// to callers. On a link of 2 Mbit/s with 21 entries and 148 upstreams, these
/// took a fifth of the link; another fifth keeps their delay short.
inline constexpr double kOrderShare = 0.6;
/// Bounds of that fraction once the rate of the other messages is known. A
/// higher one delays heartbeats on a full link until the leader is suspected.
inline constexpr double kMinOrderShare = 0.5;
inline constexpr double kMaxOrderShare = 0.75;
/// How much of the link is left free, as a multiple of the estimated rate of
/// the other messages. The estimate leaves out answers to callers and reads.
inline constexpr double kControlMargin = 1.15;
/// Bytes of the reply to a heartbeat, and heartbeats of a follower in a second.
inline constexpr int64_t kHeartbeatBytes = 200;
inline constexpr int64_t kHeartbeatsPerSecond = 5;

/// Returns the fraction of the link that starts and appends may use.
/// Thread-safe.
double OrderShare(int64_t link_kb_per_s, int64_t control_bytes_per_s);
/// Time for which unused budget accumulates. A burst of starts after an idle
/// time occupies the link for less than that. A heartbeat that waits behind the
/// burst still arrives within the shortest timeouts of followers, 450 ms.
inline constexpr Millis kOrderBurst{250};
/// Limit of the debt that appends can cause, as a time of refilling. Starts
/// continue after this time at the latest, however large an append was.
inline constexpr Millis kMaxAppendDebt{1000};

/// Window of the average rate of appends.
inline constexpr Millis kAppendRateWindow{2000};
/// Smallest fraction of the budget that starts are assumed to get. A burst of
/// appends would otherwise make each backlog look endless.
inline constexpr double kMinStartShare = 0.25;

/// A token bucket over the bytes that the leader's orders put on its link.
/// Appends are charged when they are sent and always allowed, since accepted
/// jobs depend on them; starts get what they leave. Reads no clock: times are
/// passed in and must not decrease. Not thread-safe.
class OrderBudget {
 public:
  /// `link_kb_per_s` is the rate of one direction of the link in kilobytes per
  /// second; 0 if it is unknown. Then nothing is limited.
  explicit OrderBudget(int64_t link_kb_per_s);

  bool limited() const { return bytes_per_s_ > 0; }
  /// Sets the estimated rate of all other messages of the leader.
  void SetControlRate(int64_t bytes_per_s, TimePoint now);
  /// Rate at which the budget is refilled.
  int64_t bytes_per_s() const { return bytes_per_s_; }
  /// What may be ordered now; unlimited if the rate of the link is unknown.
  scheduling::StartBudget Available(TimePoint now);
  /// Deducts bytes that are sent now. Starts may lead to a debt of any size,
  /// appends to one of kMaxAppendDebt.
  void Charge(LinkPurpose purpose, int64_t bytes, TimePoint now);
  /// The part of the rate that recent appends have left for starts, and at
  /// least kMinStartShare of it.
  int64_t StartBytesPerSecond(TimePoint now);
  /// Time until `bytes` are available, without further charges.
  Millis TimeUntil(int64_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);
  void DecayAppendRate(TimePoint now);
  int64_t BytesIn(Millis span) const;
  void SetShare(double share);

  int64_t link_kb_per_s_;
  int64_t bytes_per_s_ = 0;
  int64_t burst_bytes_ = 0;
  /// Negative while there is a debt.
  double available_bytes_ = 0;
  TimePoint refilled_at_{};
  /// Moving average of the bytes of appends, over kAppendRateWindow.
  double append_bytes_per_s_ = 0;
  TimePoint append_rate_at_{};
};

/// Fraction of the link that renewals of idle upstreams may use.
inline constexpr double kIdleRenewalShare = 0.1;
/// Bytes of a renewal with the headers of its packets.
inline constexpr int64_t kRenewalBytes = 400;
/// Longest pause between renewals of an idle upstream. The time of its clock is
/// then known with an error that still fits into the margin of
/// fleet::MaxLeaseDuration(), and its end is noticed at most this much later.
inline constexpr Millis kMaxIdleRenewPause{1000};

/// Returns how long to pause after a renewal of an upstream that runs nothing,
/// so that `upstreams` idle ones, whose renewals wait for `wait` there, use at
/// most kIdleRenewalShare of the link. No pause if the rate of the link is
/// unknown. Thread-safe.
Millis IdleRenewPause(int64_t link_kb_per_s, size_t upstreams, Millis wait);

/// Starts have to wait this long without interruption before the link counts as
/// full. Shorter waits are bursts, for which no job is refused.
inline constexpr Millis kFullLinkDelay{500};
/// New jobs are refused while the starts that go before theirs need more time
/// on the link than the job can wait and still be in time, within these bounds.
/// A longer backlog serves no more jobs, but makes all of them late; callers
/// whose jobs are refused at once can still be served by a retry.
inline constexpr Millis kMinStartBacklog{250};
inline constexpr Millis kMaxStartBacklog{3000};
/// Bounds of the time after which a caller retries a job that was refused.
inline constexpr Millis kMinLinkRetry{1000};
inline constexpr Millis kMaxLinkRetry{30000};

/// How long an entry whose job was refused refuses further ones itself that are
/// not more urgent, at most. Shorter than the backlog, so that the link is not
/// idle before the entry asks again.
inline constexpr Millis kEntryRefusal{1000};

/// What a new job would have to wait for.
struct StartBacklog {
  /// How long starts have waited for the budget without interruption; 0 if they
  /// do not wait.
  Millis limited_for{0};
  /// Bytes of the waiting starts of the same or a more urgent priority.
  int64_t waiting_bytes = 0;
  /// OrderBudget::StartBytesPerSecond(); 0 for an unlimited budget.
  int64_t bytes_per_s = 0;
};

/// Returns the time that the link needs for the backlog. Thread-safe.
Millis TimeToSend(const StartBacklog& backlog);

/// Returns nothing if a new job may be accepted that would be in time after
/// waiting for `slack`. Otherwise returns the time after which its caller
/// should retry: when the link has worked off the backlog. Thread-safe.
std::optional<Millis> RetryAfterBacklog(const StartBacklog& backlog,
                                        Millis slack = kMaxStartBacklog);

/// Returns how long an entry may refuse jobs itself after such a refusal.
/// Thread-safe.
Millis EntryRefusalTime(Millis retry_after);

}  // namespace mimosarail::coordinator
