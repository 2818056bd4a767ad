#include "src/coordinator/order_budget.h"

#include <algorithm>
#include <cmath>

namespace mimosarail::coordinator {
namespace {

constexpr int64_t kBytesPerKilobyte = 1000;
constexpr int64_t kMillisPerSecond = 1000;
/// Long enough for any wait, and short enough for arithmetic with times.
constexpr Millis kMaxWait{3600000};

Millis TimeFor(double bytes, int64_t bytes_per_s) {
  if (bytes <= 0 || bytes_per_s <= 0) return Millis(0);
  const double millis =
      std::ceil(bytes * kMillisPerSecond / static_cast<double>(bytes_per_s));
  if (millis >= static_cast<double>(kMaxWait.count())) return kMaxWait;
  return Millis(static_cast<int64_t>(millis));
}

}  // namespace

double OrderShare(int64_t link_kb_per_s, int64_t control_bytes_per_s) {
  const auto link = static_cast<double>(link_kb_per_s * kBytesPerKilobyte);
  if (link <= 0) return kMaxOrderShare;
  const double left =
      1 - kControlMargin * static_cast<double>(control_bytes_per_s) / link;
  return std::clamp(left, kMinOrderShare, kMaxOrderShare);
}

OrderBudget::OrderBudget(int64_t link_kb_per_s)
    : link_kb_per_s_(std::max<int64_t>(0, link_kb_per_s)) {
  SetShare(kOrderShare);
  available_bytes_ = static_cast<double>(burst_bytes_);
}

void OrderBudget::SetShare(double share) {
  bytes_per_s_ = static_cast<int64_t>(
      share * static_cast<double>(link_kb_per_s_ * kBytesPerKilobyte));
  burst_bytes_ = BytesIn(kOrderBurst);
}

void OrderBudget::SetControlRate(int64_t bytes_per_s, TimePoint now) {
  if (!limited()) return;
  Refill(now);
  SetShare(OrderShare(link_kb_per_s_, bytes_per_s));
}

int64_t OrderBudget::BytesIn(Millis span) const {
  return bytes_per_s_ * span.count() / kMillisPerSecond;
}

void OrderBudget::Refill(TimePoint now) {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  available_bytes_ = std::min(
      static_cast<double>(burst_bytes_),
      available_bytes_ + elapsed.count() * static_cast<double>(bytes_per_s_));
}

scheduling::StartBudget OrderBudget::Available(TimePoint now) {
  if (!limited()) return {};
  Refill(now);
  return {.limited = true,
          .bytes = static_cast<int64_t>(std::floor(available_bytes_)),
          .burst_bytes = burst_bytes_};
}

void OrderBudget::Charge(LinkPurpose purpose, int64_t bytes, TimePoint now) {
  if (!limited()) return;
  Refill(now);
  double lowest = available_bytes_ - static_cast<double>(bytes);
  if (purpose == LinkPurpose::kAppends) {
    DecayAppendRate(now);
    append_bytes_per_s_ += static_cast<double>(bytes) * kMillisPerSecond /
                           static_cast<double>(kAppendRateWindow.count());
    const auto max_debt = static_cast<double>(BytesIn(kMaxAppendDebt));
    lowest = std::max(lowest, std::min(available_bytes_, -max_debt));
  }
  available_bytes_ = lowest;
}

void OrderBudget::DecayAppendRate(TimePoint now) {
  const std::chrono::duration<double, std::milli> elapsed =
      now - append_rate_at_;
  append_rate_at_ = now;
  append_bytes_per_s_ *= std::exp(
      -elapsed.count() / static_cast<double>(kAppendRateWindow.count()));
}

int64_t OrderBudget::StartBytesPerSecond(TimePoint now) {
  DecayAppendRate(now);
  const auto rate = static_cast<double>(bytes_per_s_);
  return static_cast<int64_t>(
      std::max(rate - append_bytes_per_s_, kMinStartShare * rate));
}

Millis OrderBudget::TimeUntil(int64_t bytes, TimePoint now) {
  if (!limited()) return Millis(0);
  Refill(now);
  return TimeFor(static_cast<double>(bytes) - available_bytes_, bytes_per_s_);
}

Millis IdleRenewPause(int64_t link_kb_per_s, size_t upstreams, Millis wait) {
  if (link_kb_per_s <= 0) return Millis(0);
  const auto share = static_cast<int64_t>(
      kIdleRenewalShare *
      static_cast<double>(link_kb_per_s * kBytesPerKilobyte));
  const Millis period =
      TimeFor(static_cast<double>(upstreams) * kRenewalBytes, share);
  return std::clamp(period - wait, Millis(0), kMaxIdleRenewPause);
}

Millis TimeToSend(const StartBacklog& backlog) {
  return TimeFor(static_cast<double>(backlog.waiting_bytes),
                 backlog.bytes_per_s);
}

std::optional<Millis> RetryAfterBacklog(const StartBacklog& backlog,
                                        Millis slack) {
  if (backlog.limited_for < kFullLinkDelay) return std::nullopt;
  const Millis needed = TimeToSend(backlog);
  if (needed <= std::clamp(slack, kMinStartBacklog, kMaxStartBacklog)) {
    return std::nullopt;
  }
  return std::clamp(needed, kMinLinkRetry, kMaxLinkRetry);
}

Millis EntryRefusalTime(Millis retry_after) {
  return std::min(kEntryRefusal, retry_after / 4);
}

}  // namespace mimosarail::coordinator
