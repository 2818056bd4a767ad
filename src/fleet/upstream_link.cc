#include "src/fleet/upstream_link.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::fleet {
namespace {

using ports::CallVerdict;

/// Delay before the next renewal after repeated failures, or while no orders
/// may be sent. The first failure is followed by a renewal at once.
constexpr Millis kRetryDelay{100};
/// Consecutive failed renewals after which the upstream counts as unreachable:
/// it gets no new tasks, and its leases are no longer renewed.
constexpr int kUnreachableAfterFailures = 2;
/// Renewal period while completions are not stored yet because the store is
/// slow or unreachable. The upstream then answers a renewal at once instead of
/// waiting for more completions, and a completion is reported up to this much
/// later.
constexpr Millis kUnstoredCompletionsRenewPeriod{200};

}  // namespace

UpstreamLink::UpstreamLink(Executor& executor, ports::TaskPort& tasks,
                           UpstreamEvents& events, UpstreamLinkOptions options)
    : executor_(executor),
      tasks_(tasks),
      events_(events),
      options_(std::move(options)),
      fence_(options_.first_fence),
      adaptive_timeout_(options_.min_timeout, options_.max_timeout),
      incarnation_(options_.incarnation),
      leases_(options_.leases) {
  if (incarnation_ > 0) {
    leases_.OnStartKnown(StartedAt(incarnation_), executor_.Now());
  }
}

void UpstreamLink::Open() {
  opened_ = true;
  Renew(Millis(0));
  CheckAllRunsEnded();
}

void UpstreamLink::CheckLeases() {
  const std::optional<LeaseEnd> end =
      leases_.End(events_.PredecessorLeaseEnd());
  if (!end || !HaveExpired(*end)) return;
  if (!starts_held_) LogLeasesExpired(*end);
  if (UnknownIncarnationMayHoldLeases()) {
    if (!starts_held_) HoldStartsInDoubt();
    return;
  }
  if (starts_held_) LogLeasesExpired(leases_.EndAtUnknownIncarnation());
  all_runs_ended_ = true;
  starts_held_ = false;
  starts_in_doubt_.clear();
  events_.OnAllRunsEnded(options_.index,
                         scheduling::UpstreamLoss::kLeasesExpired);
}

bool UpstreamLink::HaveExpired(const LeaseEnd& end) const {
  // While the store does not answer this leader, a successor may renew the
  // leases here, and a task restarted elsewhere would run twice. If the store
  // has confirmed this leader after the leases' end, no successor could have
  // renewed them in time.
  return events_.LastStoreConfirmation() > end.at;
}

bool UpstreamLink::UnknownIncarnationMayHoldLeases() const {
  // An upstream that does not report its start has a new id when it restarts.
  if (incarnation_ == 0 || starts_in_doubt_.empty()) return false;
  return !HaveExpired(leases_.EndAtUnknownIncarnation());
}

void UpstreamLink::HoldStartsInDoubt() {
  starts_held_ = true;
  const auto held_for = std::chrono::duration_cast<Millis>(
      leases_.EndAtUnknownIncarnation().at - executor_.Now());
  scheduling::RunSet held;
  for (const auto& [run, start] : starts_in_doubt_) {
    held.insert(run);
    logging::Event(logging::Level::kWarning, "start in doubt held",
                   {{"upstream", options_.target.id},
                    {"task", TaskIdText(run.first)},
                    {"attempt", std::to_string(run.second)},
                    {"incarnation", std::to_string(incarnation_)},
                    {"cause", start.cause},
                    {"held_for_ms", std::to_string(held_for.count())}});
  }
  events_.OnLeasesExpired(options_.index, held);
}

int64_t UpstreamLink::LeaseEndOnUpstreamClock() const {
  return clock_.EstimateAt(executor_.Now()) + options_.leases.lease.count();
}

void UpstreamLink::ScheduleRenewal(Millis delay) {
  // Only one renewal is scheduled at a time. While several are in flight, the
  // last reply schedules the next one.
  const bool ended = closed_ || replaced_at_.has_value();
  if (renewal_scheduled_ || ended || renewals_in_flight_ > 0) return;
  renewal_scheduled_ = true;
  executor_.RunAfter(delay, [weak = weak_from_this(), pause = ended_pauses_] {
    const auto self = weak.lock();
    if (!self || self->closed_ || self->ended_pauses_ != pause) return;
    self->renewal_scheduled_ = false;
    if (self->renewals_in_flight_ > 0) return;
    self->Renew(self->reachable_ ? self->options_.completion_wait : Millis(0));
  });
}

void UpstreamLink::Renew(Millis completion_wait) {
  if (closed_ || replaced_at_) return;
  if (!events_.MaySendOrders()) return ScheduleRenewal(kRetryDelay);
  // An acknowledgement for the previous incarnation makes a restarted upstream
  // discard its own completions of the same numbers unread, and their tasks run
  // twice. So nothing is acknowledged while the upstream may have restarted
  // since its last report.
  const int64_t acked_completions =
      IncarnationCertain() ? last_stored_completion_ : 0;
  ++renewals_in_flight_;
  const TimePoint sent = executor_.Now();
  // Tasks at the upstream may run until the requested lease ends, even if the
  // reply is lost. A renewal to an unreachable upstream therefore requests no
  // lease and only queries what runs there. With a lease in each of these
  // calls, the tasks there would never count as ended.
  const bool renews_lease =
      clock_.known() && consecutive_failures_ < kUnreachableAfterFailures;
  if (renews_lease) leases_.NoteCall(LeaseEndCause::kRenewal, sent);
  const bool has_unstored_completions =
      last_stored_completion_ < last_reported_completion_;
  const Millis reply_wait =
      has_unstored_completions ? Millis(0) : completion_wait;
  const SentRenewal renewal{.number = ++renewals_sent_,
                            .fence = fence_,
                            .restarts = restarts_,
                            .acked_completions = acked_completions};
  tasks_.Renew(options_.target,
               {.fence = renewal.fence,
                .acked_completions = acked_completions,
                .lease_until_ms = renews_lease ? LeaseEndOnUpstreamClock() : 0,
                .wait = reply_wait},
               adaptive_timeout_.timeout() + reply_wait,
               [weak = weak_from_this(), renewal, sent,
                reply_wait](const ports::RenewReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 // The time until a reply that may wait for a completion is no
                 // measure of the usual reply time.
                 if (reply_wait == Millis(0)) {
                   self->RecordReplyTime(sent, reply.call.verdict);
                 }
                 self->HandleRenewReply(renewal, reply);
               });
}

void UpstreamLink::HandleRenewReply(const SentRenewal& renewal,
                                    const ports::RenewReply& reply) {
  const bool sent_to_this_incarnation = renewal.restarts == restarts_;
  if (sent_to_this_incarnation) --renewals_in_flight_;
  // A call to the previous incarnation that failed tells nothing of this one.
  const bool done = reply.call.verdict == CallVerdict::kDone;
  if (!sent_to_this_incarnation && !done) return;
  const int64_t fence = renewal.fence;
  switch (reply.call.verdict) {
    case CallVerdict::kDone:
      break;
    case CallVerdict::kReplaced:
      // The call may have been sent to the address of the previous incarnation.
      if (fence < restart_fence_) return ScheduleRenewal(kRetryDelay);
      return NoteReplaced();
    case CallVerdict::kFenced:
      if (fence < fence_) return ScheduleRenewal(Millis(0));
      return events_.OnFenced(options_.index);
    default:
      return HandleRenewFailure(reply.call);
  }
  const bool answered_by_earlier_incarnation =
      reply.call.incarnation > 0 && reply.call.incarnation < incarnation_;
  if (answered_by_earlier_incarnation && sent_to_this_incarnation) {
    // Start times are wall-clock times, which may be set back: this may be the
    // current incarnation. Its reports cannot be ordered, so it gets no work.
    return HandleRenewFailure(
        {.detail = "reports an earlier start than known"});
  }
  if (answered_by_earlier_incarnation) {
    return ScheduleRenewal(options_.renew_delay);
  }
  if (CheckRestarted(reply.call)) return;
  if (restarted_at_ && !CanResolveRestart(fence, reply)) {
    return ScheduleRenewal(kRetryDelay);
  }
  if (restarted_at_) ResolveRestart(reply);
  if (closed_) return;
  // A reply that is older than one already processed lists runs that have ended
  // since. Processed, it would reserve capacity that no later completion frees.
  // The upstream's clock decides which reply is newer, not the order of the
  // calls: a call may have waited at the upstream while a later one was
  // answered.
  const bool outdated = reply.call.clock_ms < clock_.newest_ms() ||
                        (reply.call.clock_ms == clock_.newest_ms() &&
                         renewal.number < newest_answered_renewal_);
  LogOutdatedReply(outdated, reply);
  if (outdated) return ScheduleRenewal(options_.renew_delay);
  newest_answered_renewal_ = std::max(newest_answered_renewal_, renewal.number);
  // The renewals so far requested no lease, because the upstream's clock was
  // not known or the upstream was unreachable. The next one can, and is sent at
  // once.
  const bool lease_due =
      !clock_.known() || consecutive_failures_ >= kUnreachableAfterFailures;
  consecutive_failures_ = 0;
  if (sent_to_this_incarnation) {
    last_acknowledged_completion_ =
        std::max(last_acknowledged_completion_, renewal.acked_completions);
  }
  const TimePoint now = executor_.Now();
  if (!clock_.known()) leases_.NoteFirstReport(now);
  last_report_at_ = clock_.ReadAt(reply.call.clock_ms, now);
  clock_.Record(reply.call.clock_ms, now);
  suspended_at_last_report_ = executor_.Suspended();
  call_unanswered_ = false;
  all_runs_ended_ = false;
  starts_held_ = false;
  // With an incomplete list of completions, a run that is in neither list may
  // have ended. Treated as never started, its task would run a second time.
  if (!reply.more_completions) inventory_received_ = true;
  ResolveStartsInDoubt(fence, reply);
  std::vector<ports::EndedTask> new_completions = NewCompletions(reply.ended);
  if (!new_completions.empty()) {
    last_reported_completion_ = new_completions.back().number;
  }
  events_.OnReport(options_.index, reply.running, new_completions);
  if (closed_) return;
  SetReachable(true);
  if (lease_due) return Renew(Millis(0));
  ScheduleRenewal(DelayAfter(reply));
}

std::vector<ports::EndedTask> UpstreamLink::NewCompletions(
    const std::vector<ports::EndedTask>& ended) const {
  int64_t last_expiry = 0;
  for (const ports::EndedTask& completion : ended) {
    if (completion.kind != ports::EndKind::kLeaseExpired) continue;
    last_expiry = completion.number;
  }
  std::vector<ports::EndedTask> out;
  for (const ports::EndedTask& completion : ended) {
    if (completion.number <= last_reported_completion_) continue;
    out.push_back(completion);
    // A completion that was not acknowledged when the leases expired does not
    // count: its job would be shown as complete, and its task never ended.
    const bool done = completion.kind == ports::EndKind::kDone;
    if (done && completion.number < last_expiry) {
      out.back().kind = ports::EndKind::kLeaseExpired;
    }
  }
  return out;
}

Millis UpstreamLink::DelayAfter(const ports::RenewReply& reply) const {
  // While completions are not stored, the upstream answers without waiting.
  if (last_stored_completion_ < last_reported_completion_) {
    return kUnstoredCompletionsRenewPeriod;
  }
  // A run that starts during the pause is covered by the lease of its start,
  // and Start() ends the pause.
  const bool idle = reply.running.empty() && starts_in_flight_ == 0 &&
                    starts_in_doubt_.empty() && all_completions_acknowledged();
  return idle ? std::max(options_.renew_delay, options_.idle_renew_delay)
              : options_.renew_delay;
}

void UpstreamLink::LogLeasesExpired(const LeaseEnd& end) const {
  const auto since = [now = executor_.Now()](TimePoint time) {
    return std::to_string(
        std::chrono::duration_cast<Millis>(now - time).count());
  };
  const bool reported = clock_.known();
  logging::Event(logging::Level::kWarning, "leases have run out",
                 {{"upstream", options_.target.id},
                  {"incarnation", std::to_string(incarnation_)},
                  {"reported", reported ? "yes" : "no"},
                  {"ended_ms_ago", since(end.at)},
                  {"set_by", std::string(kLeaseEndCauseNames.Name(end.cause))},
                  {"clock_ms", std::to_string(clock_.newest_ms())},
                  {"clock_read_ms_ago",
                   reported ? since(clock_.received_at()) : "never"}});
}

void UpstreamLink::LogOutdatedReply(bool outdated,
                                    const ports::RenewReply& reply) {
  // Only the first of several consecutive ones is logged: they may come with
  // each renewal.
  if (outdated && !last_reply_outdated_) {
    logging::Event(logging::Level::kInfo, "outdated report ignored",
                   {{"upstream", options_.target.id},
                    {"clock_ms", std::to_string(reply.call.clock_ms)},
                    {"known_clock_ms", std::to_string(clock_.newest_ms())}});
  }
  last_reply_outdated_ = outdated;
}

void UpstreamLink::HandleRenewFailure(const ports::CallReply& reply) {
  call_unanswered_ = true;
  ++consecutive_failures_;
  if (consecutive_failures_ == kUnreachableAfterFailures) {
    logging::Event(logging::Level::kWarning, "upstream does not answer",
                   {{"upstream", options_.target.id}, {"cause", reply.detail}});
  }
  if (consecutive_failures_ >= kUnreachableAfterFailures) SetReachable(false);
  ScheduleRenewal(consecutive_failures_ == 1 ? Millis(0) : kRetryDelay);
}

void UpstreamLink::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  events_.OnReachable(options_.index, reachable);
}

void UpstreamLink::NoteReplaced() {
  if (replaced_at_) return;
  logging::Event(logging::Level::kInfo, "upstream gone",
                 {{"upstream", options_.target.id}});
  replaced_at_ = executor_.Now();
  SetReachable(false);
}

void UpstreamLink::CheckAllRunsEnded() {
  if (closed_) return;
  // A successor that reached the upstream before its end may have stored
  // completions that this leader never saw, and a completed task would start
  // again. A leader that the store confirms now had no successor then.
  if (replaced_at_ && events_.LastStoreConfirmation() >= *replaced_at_) {
    Close();
    all_runs_ended_ = true;
    return events_.OnAllRunsEnded(options_.index,
                                  scheduling::UpstreamLoss::kCrashed);
  }
  if (!reachable_ && !all_runs_ended_) CheckLeases();
  constexpr Millis kCheckInterval{100};
  executor_.RunAfter(kCheckInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->CheckAllRunsEnded();
  });
}

void UpstreamLink::AcknowledgeCompletions(int64_t restarts, int64_t number) {
  if (restarts != restarts_ || number <= last_stored_completion_) return;
  last_stored_completion_ = number;
  if (last_stored_completion_ < last_reported_completion_ || closed_) return;
  // The next renewal is scheduled late while completions are not stored. Now
  // that they are, it follows after the usual delay.
  renewal_scheduled_ = false;
  ScheduleRenewal(options_.renew_delay);
}

}  // namespace mimosarail::fleet
