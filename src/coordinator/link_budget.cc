// The part of Coordinator that keeps its orders within the rate of the link:
// what a placement pass may start, and which jobs would wait too long for it.

#include <algorithm>
#include <limits>
#include <utility>

#include "src/coordinator/coordinator.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using scheduling::Orders;

/// Minimum time between two passes that only wait for the budget, so that they
/// cost little processor time.
constexpr Millis kMinRefillWait{10};
/// Period of the estimate of the rate of other messages than orders.
constexpr Millis kControlRatePeriod{1000};
/// The backlog is summed up again after this time. A sum visits each waiting
/// step.
constexpr Millis kBacklogMaxAge{50};

/// Returns the bytes of the starts of the job's first step.
int64_t FirstStartBytes(const wire::JobSpec& spec) {
  if (spec.steps.empty()) return 0;
  return spec.steps.front().tasks * (scheduling::kStartOverheadBytes +
                                     static_cast<int64_t>(spec.payload.size()));
}

Millis Since(const std::optional<TimePoint>& since, TimePoint now) {
  if (!since) return Millis(0);
  return std::chrono::duration_cast<Millis>(now - *since);
}

}  // namespace

void Coordinator::ChargeLink(LinkPurpose purpose, int64_t bytes,
                             TimePoint now) {
  if (bytes == 0) return;
  order_budget_.Charge(purpose, bytes, now);
  deps_.metrics.Count(
      {.name = "link_bytes_charged",
       .labels = {{"purpose", std::string(kLinkPurposeNames.Name(purpose))}}},
      bytes);
}

scheduling::StartBudget Coordinator::AvailableForStarts(TimePoint now) {
  if (!order_budget_.limited()) return {};
  const int64_t sent = journal_->bytes_sent();
  ChargeLink(LinkPurpose::kAppends,
             sent - std::exchange(append_bytes_charged_, sent), now);
  return order_budget_.Available(now);
}

void Coordinator::ChargeStarts(const Orders& orders, TimePoint now) {
  if (!order_budget_.limited()) return;
  int64_t bytes = 0;
  for (const scheduling::StartOrder& start : orders.starts) {
    bytes += scheduling::StartBytes(start);
  }
  ChargeLink(LinkPurpose::kStarts, bytes, now);
  if (!orders.awaited_start_bytes) return EndLinkLimit(now);
  if (!starts_limited_since_) starts_limited_since_ = now;
  const bool full = Since(starts_limited_since_, now) >= kFullLinkDelay;
  if (full && !std::exchange(link_full_, true)) {
    logging::Event(Level::kWarning, "link limits starts",
                   LinkInputs(std::numeric_limits<int32_t>::max(), now));
  }
  if (std::exchange(refill_scheduled_, true)) return;
  const Millis wait =
      std::max(kMinRefillWait,
               order_budget_.TimeUntil(*orders.awaited_start_bytes, now));
  deps_.executor.RunAfter(wait, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->refill_scheduled_ = false;
    self->SchedulePlacement();
  });
}

void Coordinator::EndLinkLimit(TimePoint now) {
  if (!starts_limited_since_) return;
  const Millis waited = Since(starts_limited_since_, now);
  deps_.metrics.Observe({.name = "start_budget_wait_ms"},
                        static_cast<double>(waited.count()));
  starts_limited_since_.reset();
  if (!std::exchange(link_full_, false)) return;
  logging::Event(Level::kInfo, "link no longer limits starts",
                 {{"limited_ms", Text(waited.count())},
                  {"jobs_refused", Text(std::exchange(link_refusals_, 0))}});
}

void Coordinator::UpdateControlRate(TimePoint now) {
  const Millis elapsed = Since(control_rate_at_, now);
  if (control_rate_at_ && elapsed < kControlRatePeriod) return;
  int64_t renewals = 0;
  for (const auto& [index, link] : links_) renewals += link->renewals_sent();
  const int64_t sent =
      std::max<int64_t>(0, renewals - std::exchange(renewals_sent_, renewals));
  const bool first = !std::exchange(control_rate_at_, now);
  if (first || elapsed <= Millis(0)) return;
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t rate =
      sent * kRenewalBytes * kMillisPerSecond / elapsed.count() +
      static_cast<int64_t>(lanes_.size()) * kHeartbeatsPerSecond *
          kHeartbeatBytes;
  control_bytes_per_s_ = (control_bytes_per_s_.value_or(rate) + rate) / 2;
  order_budget_.SetControlRate(*control_bytes_per_s_, now);
}

void Coordinator::UpdateIdleRenewals() {
  if (!order_budget_.limited()) return;
  UpdateControlRate(deps_.executor.Now());
  const Millis pause =
      IdleRenewPause(options_.link_kb_per_s, links_.size(),
                     fleet::UpstreamLinkOptions{}.completion_wait);
  for (auto& [index, link] : links_) link->SetIdleRenewDelay(pause);
}

StartBacklog Coordinator::BacklogBefore(int32_t priority, TimePoint now) {
  StartBacklog out{.limited_for = Since(starts_limited_since_, now),
                   .bytes_per_s = order_budget_.StartBytesPerSecond(now)};
  // A link that does not limit starts needs no sum.
  if (out.limited_for < kFullLinkDelay) return out;
  if (now - backlog_summed_at_ >= kBacklogMaxAge) {
    backlog_summed_at_ = now;
    waiting_start_bytes_ = scheduler_.WaitingStartBytes();
  }
  for (const auto& [other, bytes] : waiting_start_bytes_) {
    if (other <= priority) out.waiting_bytes += bytes;
  }
  return out;
}

std::vector<logging::Field> Coordinator::LinkInputs(int32_t priority,
                                                    TimePoint now) {
  const StartBacklog backlog = BacklogBefore(priority, now);
  return {{"link_kb_per_s", Text(options_.link_kb_per_s)},
          {"control_bytes_per_s", Text(control_bytes_per_s_.value_or(0))},
          {"budget_bytes_per_s", Text(order_budget_.bytes_per_s())},
          {"start_bytes_per_s", Text(backlog.bytes_per_s)},
          {"waiting_start_bytes", Text(backlog.waiting_bytes)},
          {"needed_ms", Text(TimeToSend(backlog).count())},
          {"limited_ms", Text(backlog.limited_for.count())}};
}

std::optional<Millis> Coordinator::RefuseForLink(const wire::JobSpec& spec) {
  if (!order_budget_.limited()) return std::nullopt;
  const TimePoint now = deps_.executor.Now();
  const int32_t priority = spec.queue.priority;
  const Job job(spec);
  const std::optional<Millis> retry = RetryAfterBacklog(
      BacklogBefore(priority, now), job.Objective() - job.CriticalPathFrom(0));
  if (!retry) {
    waiting_start_bytes_[priority] += FirstStartBytes(spec);
    return std::nullopt;
  }
  ++link_refusals_;
  CountRefusedJob("link", spec.queue.name);
  std::vector<logging::Field> fields{
      {"job", JobIdText(static_cast<JobId>(spec.id))},
      {"cause", "its starts would wait too long for the leader's link"},
      {"priority", Text(priority)},
      {"retry_after_ms", Text(retry->count())}};
  for (logging::Field& input : LinkInputs(priority, now)) {
    fields.push_back(std::move(input));
  }
  logging::Event(Level::kWarning, "job refused", fields);
  return retry;
}

}  // namespace mimosarail::coordinator
