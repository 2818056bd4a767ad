#include "src/fleet/upstream_link.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::fleet {
namespace {

using ports::CallVerdict;

/// The clock of an upstream may run 2 % slow; half a percent more covers the
/// error of the estimate of its time.
constexpr double kClockDriftFactor = 1.025;
constexpr Millis kLeaseSlack{50};
/// Delay before the retry of a renewal that was not answered.
constexpr Millis kRetryDelay{100};
/// Consecutive renewals without an answer after which the upstream gets no new
/// tasks.
constexpr int kUnreachableAfter = 2;
/// Renewal period while completions are not stored yet (the store is slow or
/// unreachable). The upstream then answers a renewal at once instead of waiting
/// for more completions, and a completion is seen up to this much later. With a
/// store that is 50 times slower, 25 of 14,459 urgent jobs completed too late
/// to be of use; with 500 ms it was 39.
constexpr Millis kUnstoredCompletionsRenewPeriod{200};

}  // namespace

Millis MaxLeaseDuration(Millis lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(lease.count()) *
                                     kClockDriftFactor)) +
         kLeaseSlack;
}

UpstreamLink::UpstreamLink(Executor& executor, ports::TaskPort& tasks,
                           UpstreamEvents& events, UpstreamLinkOptions options)
    : executor_(executor),
      tasks_(tasks),
      events_(events),
      options_(std::move(options)),
      fence_(options_.first_fence),
      adaptive_timeout_(options_.min_timeout, options_.max_timeout) {}

void UpstreamLink::Open() {
  // An earlier leader may have been partitioned from everything except this
  // upstream. Until its leader lease expired, it may have renewed the task
  // leases here. Its leases are as long as ours.
  leases_end_ = executor_.Now() + options_.previous_leader_timeout +
                MaxLeaseDuration(options_.lease);
  Renew(Millis(0));
  CheckLeases();
}

int64_t UpstreamLink::LeaseUntil() const {
  const auto since =
      std::chrono::duration_cast<Millis>(executor_.Now() - clock_received_at_);
  return clock_ms_ + since.count() + options_.lease.count();
}

void UpstreamLink::RecordClock(int64_t clock_ms) {
  // Uses the arrival time of the reply, not the sending time of the call: the
  // upstream may have read its clock just before it replied, which is a second
  // after the call for a renewal that waited. With an earlier time, leases
  // would outlast the end calculated here, and a task could run twice at once.
  if (clock_ms <= clock_ms_) return;
  clock_ms_ = clock_ms;
  clock_received_at_ = executor_.Now();
}

void UpstreamLink::RenewSoon(Millis delay) {
  // Only one renewal is scheduled at a time. While several are outstanding, the
  // last reply schedules the next one.
  if (renewal_due_ || closed_ || outstanding_ > 0) return;
  renewal_due_ = true;
  executor_.RunAfter(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->closed_) return;
    self->renewal_due_ = false;
    if (self->outstanding_ > 0) return;
    self->Renew(self->reachable_ ? self->options_.completion_wait : Millis(0));
  });
}

void UpstreamLink::Renew(Millis wait) {
  if (closed_) return;
  if (!events_.MaySendOrders()) return RenewSoon(kRetryDelay);
  ++outstanding_;
  const TimePoint sent = executor_.Now();
  // The requested lease bounds how long tasks may run there, even if the reply
  // is lost. A renewal to an unresponsive upstream only queries what runs
  // there: with a lease in each of these calls, its tasks would never count as
  // ended.
  const bool extend = clock_ms_ > 0 && failures_ < kUnreachableAfter;
  if (extend) {
    leases_end_ =
        std::max(leases_end_, sent + MaxLeaseDuration(options_.lease));
  }
  const bool has_unstored_completions =
      completions_stored_ < completions_reported_;
  const Millis reply_wait = has_unstored_completions ? Millis(0) : wait;
  const int64_t fence = fence_;
  const int64_t number = ++renewals_;
  tasks_.Renew(options_.target,
               {.fence = fence,
                .acked_completions = completions_stored_,
                .lease_until_ms = extend ? LeaseUntil() : 0,
                .wait = reply_wait},
               adaptive_timeout_.timeout() + reply_wait,
               [weak = weak_from_this(), number, fence, sent, reply_wait,
                acked_completions =
                    completions_stored_](const ports::RenewReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 // The reply to a renewal that waited for a completion does
                 // not measure the round trip.
                 if (reply_wait == Millis(0)) {
                   self->RecordReply(sent, reply.call.verdict);
                 }
                 self->OnRenewReply(number, fence, acked_completions, reply);
               });
}

void UpstreamLink::OnRenewReply(int64_t number, int64_t fence,
                                int64_t acked_completions,
                                const ports::RenewReply& reply) {
  --outstanding_;
  switch (reply.call.verdict) {
    case CallVerdict::kDone:
      break;
    case CallVerdict::kReplaced:
      logging::Event(logging::Level::kInfo, "upstream gone",
                     {{"upstream", options_.target.id}});
      Close();
      all_runs_ended_ = true;
      return events_.OnAllRunsEnded(options_.index,
                                    scheduling::UpstreamLoss::kCrashed);
    case CallVerdict::kFenced:
      if (fence < fence_) return RenewSoon(Millis(0));
      return events_.OnFenced(options_.index);
    default:
      return OnRenewFailed(reply.call);
  }
  // A reply that is older than one already processed lists runs that have ended
  // since: applied, it would reserve capacity that no later completion frees.
  // The upstream's clock tells which reply is newer, not the order of the
  // calls: a call may have waited there while a later one was answered.
  const bool outdated =
      reply.call.clock_ms < clock_ms_ ||
      (reply.call.clock_ms == clock_ms_ && number < newest_answered_);
  if (outdated) return RenewSoon(options_.renew_delay);
  newest_answered_ = std::max(newest_answered_, number);
  // The reply makes it possible to set a lease again. The renewal that sets it
  // is sent at once.
  const bool lease_due = clock_ms_ == 0 || failures_ >= kUnreachableAfter;
  failures_ = 0;
  completions_acknowledged_ =
      std::max(completions_acknowledged_, acked_completions);
  RecordClock(reply.call.clock_ms);
  all_runs_ended_ = false;
  // With an incomplete list of completions, a run that is in neither list may
  // have ended: treated as never started, it would run a second time.
  if (!reply.more_completions) inventory_received_ = true;
  ResolveStarts(fence, reply);
  std::vector<ports::EndedTask> new_completions;
  for (const ports::EndedTask& end : reply.ended) {
    if (end.number > completions_reported_) new_completions.push_back(end);
  }
  if (!new_completions.empty()) {
    completions_reported_ = new_completions.back().number;
  }
  events_.OnReport(options_.index, reply.running, new_completions);
  if (closed_) return;
  SetReachable(true);
  if (lease_due) return Renew(Millis(0));
  const bool has_unstored_completions =
      completions_stored_ < completions_reported_;
  // While completions are not stored, the upstream answers without waiting.
  RenewSoon(has_unstored_completions ? kUnstoredCompletionsRenewPeriod
                                     : options_.renew_delay);
}

void UpstreamLink::OnRenewFailed(const ports::CallReply& reply) {
  ++failures_;
  if (failures_ == kUnreachableAfter) {
    logging::Event(logging::Level::kWarning, "upstream does not answer",
                   {{"upstream", options_.target.id}, {"cause", reply.detail}});
  }
  if (failures_ >= kUnreachableAfter) SetReachable(false);
  RenewSoon(failures_ == 1 ? Millis(0) : kRetryDelay);
}

void UpstreamLink::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  events_.OnReachable(options_.index, reachable);
}

void UpstreamLink::CheckLeases() {
  if (closed_) return;
  const TimePoint now = executor_.Now();
  if (!reachable_ && now > leases_end_ && !all_runs_ended_) {
    logging::Event(logging::Level::kWarning, "leases have run out",
                   {{"upstream", options_.target.id}});
    all_runs_ended_ = true;
    unresolved_starts_.clear();
    events_.OnAllRunsEnded(options_.index,
                           scheduling::UpstreamLoss::kLeasesExpired);
  }
  constexpr Millis kCheck{100};
  executor_.RunAfter(kCheck, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->CheckLeases();
  });
}

void UpstreamLink::AcknowledgeCompletions(int64_t number) {
  if (number <= completions_stored_) return;
  completions_stored_ = number;
  if (completions_stored_ < completions_reported_ || closed_) return;
  // Sends the renewal that was delayed until the completions were stored.
  renewal_due_ = false;
  RenewSoon(options_.renew_delay);
}

void UpstreamLink::Start(const scheduling::StartOrder& order) {
  if (closed_ || !reachable_ || !events_.MaySendOrders()) {
    return events_.OnStartReply(
        order, {.verdict = CallVerdict::kNotSent, .detail = "not reachable"});
  }
  leases_end_ =
      std::max(leases_end_, executor_.Now() + MaxLeaseDuration(options_.lease));
  const int64_t fence = fence_;
  tasks_.Start(options_.target,
               {.task = order.task,
                .attempt = order.attempt,
                .payload = order.payload,
                .lease_until_ms = LeaseUntil(),
                .fence = fence,
                .checkpoint = order.checkpoint,
                .ticket = order.ticket},
               adaptive_timeout_.timeout(),
               [weak = weak_from_this(), order, fence,
                sent = executor_.Now()](const ports::CallReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 self->RecordReply(sent, reply.verdict);
                 self->OnStartDone(order, fence, reply);
               });
}

void UpstreamLink::RecordReply(TimePoint sent, CallVerdict verdict) {
  if (verdict == CallVerdict::kUnknown) return adaptive_timeout_.AddTimeout();
  if (verdict == CallVerdict::kNotSent) return;
  adaptive_timeout_.AddSample(executor_.Now() - sent);
}

void UpstreamLink::OnStartDone(const scheduling::StartOrder& order,
                               int64_t fence, ports::CallReply reply) {
  if (reply.verdict == CallVerdict::kFenced && fence >= fence_) {
    events_.OnStartReply(order, reply);
    return events_.OnFenced(options_.index);
  }
  if (reply.verdict != CallVerdict::kUnknown) {
    return events_.OnStartReply(order, reply);
  }
  // The start may take effect seconds later. A higher fencing token prevents
  // that, and the inventory reported under it resolves the outcome.
  logging::Event(logging::Level::kWarning, "start without answer",
                 {{"upstream", options_.target.id},
                  {"task", TaskIdText(order.task)},
                  {"attempt", std::to_string(order.attempt)},
                  {"cause", reply.detail}});
  unresolved_starts_.insert_or_assign({order.task, order.attempt},
                                      UnresolvedStart{order, fence});
  RaiseFence();
}

void UpstreamLink::RaiseFence() {
  ++fence_;
  Renew(Millis(0));
}

void UpstreamLink::ResolveStarts(int64_t fence,
                                 const ports::RenewReply& reply) {
  for (auto at = unresolved_starts_.begin(); at != unresolved_starts_.end();) {
    const UnresolvedStart& start = at->second;
    if (start.fence >= fence) {
      ++at;
      continue;
    }
    const auto matches = [&](const auto& run) {
      return run.task == start.order.task && run.attempt == start.order.attempt;
    };
    const bool started =
        std::any_of(reply.running.begin(), reply.running.end(), matches) ||
        std::any_of(reply.ended.begin(), reply.ended.end(), matches);
    if (!started && reply.more_completions) {
      // Its completion may be among those that are not listed yet.
      ++at;
      continue;
    }
    const scheduling::StartOrder order = start.order;
    at = unresolved_starts_.erase(at);
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
                self->RecordReply(sent, reply.verdict);
                if (reply.verdict == CallVerdict::kDone) return;
                logging::Event(logging::Level::kInfo, "stop not confirmed",
                               {{"upstream", self->options_.target.id},
                                {"task", TaskIdText(task)},
                                {"cause", reply.detail}});
                self->events_.OnStopFailed(self->options_.index, task, attempt);
              });
}

}  // namespace mimosarail::fleet
