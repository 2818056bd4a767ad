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
/// later. With a store that is 50 times slower, 25 of 14,459 urgent jobs
/// completed too late to be of use. With a period of 500 ms it was 39.
constexpr Millis kUnstoredCompletionsRenewPeriod{200};
/// No upstream ends and restarts within this time.
constexpr Millis kMinRestartTime{400};

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
      leases_({.lease = options_.lease,
               .max_lease = options_.max_lease,
               .max_call_delay = options_.max_call_delay}) {
  if (incarnation_ > 0) {
    leases_.OnStartKnown(StartedAt(incarnation_), executor_.Now());
  }
}

void UpstreamLink::Open() {
  opened_ = true;
  Renew(Millis(0));
  CheckAllRunsEnded();
}

bool UpstreamLink::LeasesExpired() const {
  // While the store does not answer this leader, a successor may renew the
  // leases here, and a task restarted elsewhere would run twice. If the store
  // has confirmed this leader after the leases' end, no successor could have
  // renewed them in time.
  const std::optional<LeaseEnd> end =
      leases_.End(events_.PredecessorLeaseEnd());
  return end && events_.LastStoreConfirmation() > end->at;
}

TimePoint UpstreamLink::StartedAt(int64_t incarnation) const {
  const int64_t age_ms = executor_.UnixMillis() - incarnation;
  return executor_.Now() - Millis(std::max<int64_t>(0, age_ms));
}

int64_t UpstreamLink::LeaseEndOnUpstreamClock() const {
  const auto elapsed = std::chrono::duration_cast<Millis>(
      executor_.Now() - upstream_clock_received_at_);
  return upstream_clock_ms_ + elapsed.count() + options_.lease.count();
}

TimePoint UpstreamLink::ReportTime(int64_t clock_ms) const {
  const TimePoint now = executor_.Now();
  if (upstream_clock_ms_ == 0) return now;
  return std::min(
      now, upstream_clock_received_at_ + Millis(clock_ms - upstream_clock_ms_));
}

void UpstreamLink::RecordUpstreamClock(int64_t clock_ms) {
  // The upstream may have read its clock just before it replied, a second after
  // the call if the renewal waited for a completion. The clock reading is
  // therefore paired with the arrival time of the reply. Paired with the
  // sending time, leases would outlast the end calculated here, and a task
  // could run twice at once.
  if (clock_ms <= upstream_clock_ms_) return;
  upstream_clock_ms_ = clock_ms;
  upstream_clock_received_at_ = executor_.Now();
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
  const bool renews_lease = upstream_clock_ms_ > 0 &&
                            consecutive_failures_ < kUnreachableAfterFailures;
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
  const bool outdated = reply.call.clock_ms < upstream_clock_ms_ ||
                        (reply.call.clock_ms == upstream_clock_ms_ &&
                         renewal.number < newest_answered_renewal_);
  LogOutdatedReply(outdated, reply);
  if (outdated) return ScheduleRenewal(options_.renew_delay);
  newest_answered_renewal_ = std::max(newest_answered_renewal_, renewal.number);
  // The renewals so far requested no lease, because the upstream's clock was
  // not known or the upstream was unreachable. The next one can, and is sent at
  // once.
  const bool lease_due = upstream_clock_ms_ == 0 ||
                         consecutive_failures_ >= kUnreachableAfterFailures;
  consecutive_failures_ = 0;
  if (sent_to_this_incarnation) {
    last_acknowledged_completion_ =
        std::max(last_acknowledged_completion_, renewal.acked_completions);
  }
  if (upstream_clock_ms_ == 0) leases_.NoteFirstReport(executor_.Now());
  last_report_at_ = ReportTime(reply.call.clock_ms);
  RecordUpstreamClock(reply.call.clock_ms);
  suspended_at_last_report_ = executor_.Suspended();
  call_unanswered_ = false;
  all_runs_ended_ = false;
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
                  {"clock_before_ms", std::to_string(upstream_clock_ms_)},
                  {"acked_before", std::to_string(last_stored_completion_)}});
  SetReachable(false);
  ++restarts_;
  incarnation_ = incarnation;
  leases_.OnRestart(executor_.Now());
  had_report_ = upstream_clock_ms_ > 0 || (restarted_at_ && had_report_);
  restarted_at_ = executor_.Now();
  replaced_at_.reset();
  inventory_received_ = false;
  all_runs_ended_ = false;
  newest_answered_renewal_ = 0;
  renewals_in_flight_ = 0;
  consecutive_failures_ = 0;
  upstream_clock_ms_ = 0;
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

void UpstreamLink::LogLeasesExpired() const {
  const auto since = [now = executor_.Now()](TimePoint time) {
    return std::to_string(
        std::chrono::duration_cast<Millis>(now - time).count());
  };
  const bool reported = upstream_clock_ms_ > 0;
  const LeaseEnd end =
      leases_.End(events_.PredecessorLeaseEnd()).value_or(LeaseEnd{});
  logging::Event(logging::Level::kWarning, "leases have run out",
                 {{"upstream", options_.target.id},
                  {"incarnation", std::to_string(incarnation_)},
                  {"reported", reported ? "yes" : "no"},
                  {"ended_ms_ago", since(end.at)},
                  {"set_by", std::string(kLeaseEndCauseNames.Name(end.cause))},
                  {"clock_ms", std::to_string(upstream_clock_ms_)},
                  {"clock_read_ms_ago",
                   reported ? since(upstream_clock_received_at_) : "never"}});
}

bool UpstreamLink::IncarnationCertain() const {
  // An upstream that does not report its start has a new id when it restarts.
  if (incarnation_ == 0) return true;
  const Millis suspended = executor_.Suspended() - suspended_at_last_report_;
  return upstream_clock_ms_ > 0 && !call_unanswered_ &&
         renewals_in_flight_ == 0 &&
         executor_.Now() - last_report_at_ + suspended < kMinRestartTime;
}

void UpstreamLink::LogOutdatedReply(bool outdated,
                                    const ports::RenewReply& reply) {
  // Only the first of several consecutive ones is logged: they may come with
  // each renewal.
  if (outdated && !last_reply_outdated_) {
    logging::Event(logging::Level::kInfo, "outdated report ignored",
                   {{"upstream", options_.target.id},
                    {"clock_ms", std::to_string(reply.call.clock_ms)},
                    {"known_clock_ms", std::to_string(upstream_clock_ms_)}});
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
  if (!reachable_ && !all_runs_ended_ && LeasesExpired()) {
    LogLeasesExpired();
    all_runs_ended_ = true;
    starts_in_doubt_.clear();
    events_.OnAllRunsEnded(options_.index,
                           scheduling::UpstreamLoss::kLeasesExpired);
  }
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

void UpstreamLink::Start(const scheduling::StartOrder& order) {
  if (closed_ || !reachable_ || !events_.MaySendOrders()) {
    return events_.OnStartReply(
        order, {.verdict = CallVerdict::kNotSent, .detail = "not reachable"});
  }
  leases_.NoteCall(LeaseEndCause::kStart, executor_.Now());
  // A renewal has to wait at the upstream to report the end of this run.
  const bool pausing = renewal_scheduled_ && starts_in_flight_ == 0 &&
                       options_.idle_renew_delay > options_.renew_delay;
  ++starts_in_flight_;
  if (pausing) {
    ++ended_pauses_;
    renewal_scheduled_ = false;
    ScheduleRenewal(options_.renew_delay);
  }
  const int64_t fence = fence_;
  tasks_.Start(options_.target,
               {.task = order.task,
                .attempt = order.attempt,
                .payload = order.payload,
                .lease_until_ms = LeaseEndOnUpstreamClock(),
                .fence = fence,
                .checkpoint = order.checkpoint,
                .ticket = order.ticket},
               adaptive_timeout_.timeout(),
               [weak = weak_from_this(), order, fence,
                sent = executor_.Now()](const ports::CallReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 --self->starts_in_flight_;
                 self->RecordReplyTime(sent, reply.verdict);
                 self->HandleStartReply(order, fence, reply);
               });
}

void UpstreamLink::RecordReplyTime(TimePoint sent, CallVerdict verdict) {
  const bool unanswered =
      verdict == CallVerdict::kUnknown || verdict == CallVerdict::kNotSent;
  call_unanswered_ = call_unanswered_ || unanswered;
  if (verdict == CallVerdict::kUnknown) return adaptive_timeout_.AddTimeout();
  if (verdict == CallVerdict::kNotSent) return;
  adaptive_timeout_.AddSample(executor_.Now() - sent);
}

void UpstreamLink::HandleStartReply(const scheduling::StartOrder& order,
                                    int64_t fence, ports::CallReply reply) {
  CheckRestarted(reply);
  if (reply.verdict == CallVerdict::kFenced && fence >= fence_) {
    events_.OnStartReply(order, reply);
    return events_.OnFenced(options_.index);
  }
  if (reply.verdict != CallVerdict::kUnknown) {
    return events_.OnStartReply(order, reply);
  }
  // The start may still take effect seconds later. A higher fencing token
  // prevents that, and the inventory reported under it resolves the start.
  logging::Event(logging::Level::kWarning, "start without answer",
                 {{"upstream", options_.target.id},
                  {"task", TaskIdText(order.task)},
                  {"attempt", std::to_string(order.attempt)},
                  {"cause", reply.detail}});
  starts_in_doubt_.insert_or_assign({order.task, order.attempt},
                                    StartInDoubt{order, fence});
  RaiseFence();
}

void UpstreamLink::RaiseFence() {
  ++fence_;
  Renew(Millis(0));
}

void UpstreamLink::ResolveStartsInDoubt(int64_t fence,
                                        const ports::RenewReply& reply) {
  for (auto it = starts_in_doubt_.begin(); it != starts_in_doubt_.end();) {
    const StartInDoubt& start = it->second;
    if (start.fence >= fence) {
      ++it;
      continue;
    }
    const auto matches = [&](const auto& run) {
      return run.task == start.order.task && run.attempt == start.order.attempt;
    };
    const bool started =
        std::any_of(reply.running.begin(), reply.running.end(), matches) ||
        std::any_of(reply.ended.begin(), reply.ended.end(), matches);
    if (!started && reply.more_completions) {
      // The completion of the run may be among those that are not listed yet.
      ++it;
      continue;
    }
    const scheduling::StartOrder order = start.order;
    it = starts_in_doubt_.erase(it);
    logging::Event(logging::Level::kInfo, "start in doubt resolved",
                   {{"upstream", options_.target.id},
                    {"task", TaskIdText(order.task)},
                    {"started", started ? "yes" : "no"}});
    events_.OnStartReply(
        order, {.verdict = started ? CallVerdict::kDone : CallVerdict::kNotSent,
                .detail = "resolved under a higher fencing token"});
  }
}

void UpstreamLink::Stop(const TaskId& task, int64_t attempt) {
  if (closed_) return;
  if (!events_.MaySendOrders()) {
    return events_.OnStopFailed(options_.index, task, attempt);
  }
  tasks_.Stop(options_.target, task, attempt, fence_,
              adaptive_timeout_.timeout(),
              [weak = weak_from_this(), task, attempt,
               sent = executor_.Now()](const ports::CallReply& reply) {
                const auto self = weak.lock();
                if (!self || self->closed_) return;
                self->RecordReplyTime(sent, reply.verdict);
                if (reply.verdict == CallVerdict::kDone) return;
                logging::Event(logging::Level::kInfo, "stop not confirmed",
                               {{"upstream", self->options_.target.id},
                                {"task", TaskIdText(task)},
                                {"cause", reply.detail}});
                self->events_.OnStopFailed(self->options_.index, task, attempt);
              });
}

}  // namespace mimosarail::fleet
