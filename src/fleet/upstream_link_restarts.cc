// The part of UpstreamLink that tells the incarnations of its upstream apart.

#include <algorithm>

#include "src/fleet/upstream_link.h"
#include "src/libs/logging/log.h"

namespace mimosarail::fleet {
namespace {

/// No upstream ends and restarts within this time.
constexpr Millis kMinRestartTime{400};

}  // namespace

TimePoint UpstreamLink::StartedAt(int64_t incarnation) const {
  const int64_t age_ms = executor_.UnixMillis() - incarnation;
  return executor_.Now() - Millis(std::max<int64_t>(0, age_ms));
}

bool UpstreamLink::CheckRestarted(const ports::CallReply& reply) {
  if (reply.incarnation <= incarnation_) return false;
  if (incarnation_ == 0) {
    LearnIncarnation(reply.incarnation);
    return false;
  }
  BeginIncarnation(reply.incarnation);
  return true;
}

void UpstreamLink::OnListed(const std::string& address, int64_t incarnation) {
  if (closed_ || incarnation <= incarnation_) return;
  options_.target.address = address;
  if (incarnation_ == 0) return LearnIncarnation(incarnation);
  BeginIncarnation(incarnation);
}

void UpstreamLink::LearnIncarnation(int64_t incarnation) {
  incarnation_ = incarnation;
  leases_.OnStartKnown(StartedAt(incarnation), executor_.Now());
}

void UpstreamLink::BeginIncarnation(int64_t incarnation) {
  logging::Event(logging::Level::kWarning, "upstream restarted",
                 {{"upstream", options_.target.id},
                  {"incarnation_before", std::to_string(incarnation_)},
                  {"incarnation", std::to_string(incarnation)},
                  {"clock_before_ms", std::to_string(clock_.newest_ms())},
                  {"acked_before", std::to_string(last_stored_completion_)}});
  SetReachable(false);
  ++restarts_;
  incarnation_ = incarnation;
  leases_.OnRestart(executor_.Now());
  had_report_ = clock_.known() || (restarted_at_ && had_report_);
  restarted_at_ = executor_.Now();
  replaced_at_.reset();
  inventory_received_ = false;
  all_runs_ended_ = false;
  starts_held_ = false;
  newest_answered_renewal_ = 0;
  renewals_in_flight_ = 0;
  consecutive_failures_ = 0;
  clock_ = {};
  last_reported_completion_ = 0;
  last_stored_completion_ = 0;
  last_acknowledged_completion_ = 0;
  // A start that was sent to the previous incarnation may have been executed by
  // the new one, which has seen no fencing token. The report under a higher
  // token lists such a run, and any start that arrives later is refused.
  restart_fence_ = fence_ + 1;
  ++fence_;
  if (opened_) Renew(Millis(0));
}

bool UpstreamLink::CanResolveRestart(int64_t fence,
                                     const ports::RenewReply& reply) const {
  // As in CheckAllRunsEnded(): a successor may have stored completions of the
  // previous incarnation, and a completed task would start again.
  if (events_.LastStoreConfirmation() < *restarted_at_) return false;
  const bool no_runs_to_resolve = all_runs_ended_ || !had_report_;
  return fence >= restart_fence_ &&
         (no_runs_to_resolve || !reply.more_completions);
}

void UpstreamLink::ResolveRestart(const ports::RenewReply& reply) {
  const auto unresolved =
      std::chrono::duration_cast<Millis>(executor_.Now() - *restarted_at_);
  restarted_at_.reset();
  scheduling::RunSet remaining;
  for (const ports::RunningTask& run : reply.running) {
    remaining.emplace(run.task, run.attempt);
  }
  for (const ports::EndedTask& run : reply.ended) {
    remaining.emplace(run.task, run.attempt);
  }
  std::erase_if(starts_in_doubt_, [&](const auto& start) {
    return remaining.count(start.first) == 0;
  });
  logging::Event(logging::Level::kInfo, "restart resolved",
                 {{"upstream", options_.target.id},
                  {"incarnation", std::to_string(incarnation_)},
                  {"unresolved_ms", std::to_string(unresolved.count())},
                  {"clock_ms", std::to_string(reply.call.clock_ms)},
                  {"running", std::to_string(reply.running.size())},
                  {"ended", std::to_string(reply.ended.size())}});
  events_.OnRestarted(options_.index, incarnation_, remaining);
}

bool UpstreamLink::IncarnationCertain() const {
  // An upstream that does not report its start has a new id when it restarts.
  if (incarnation_ == 0) return true;
  const Millis suspended = executor_.Suspended() - suspended_at_last_report_;
  return clock_.known() && !call_unanswered_ && renewals_in_flight_ == 0 &&
         executor_.Now() - last_report_at_ + suspended < kMinRestartTime;
}

}  // namespace mimosarail::fleet
