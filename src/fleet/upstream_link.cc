#include "src/fleet/upstream_link.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::fleet {
namespace {

using ports::CallVerdict;

/// The clock of an upstream may run 2 % slow; half a percent more for what the
/// estimate of its time may miss.
constexpr double kSlowestClock = 1.025;
constexpr Millis kLeaseSlack{50};
/// Pause after a renewal without an answer.
constexpr Millis kRetry{100};
/// Renewals without an answer in a row after which nothing new goes there.
constexpr int kUnreachableAfter = 2;
/// While ends are not safe yet (the store is slow or away) a renewal is
/// answered at once, so leases are renewed this often without waiting for more
/// ends. Each end is seen so much later at most. With a store that is 50 times
/// slower, 25 of 14,459 urgent jobs came too late to be of use, with 500 ms 39.
constexpr Millis kRenewWithoutStore{200};

}  // namespace

Millis MaxLeaseDuration(Millis lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(lease.count()) *
                                     kSlowestClock)) +
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
  // An earlier holder that was cut off from all else may have renewed leases
  // here, as long as ours, until it lost its trust in itself.
  leases_end_ = executor_.Now() + options_.previous_holder_timeout +
                MaxLeaseDuration(options_.lease);
  Renew(Millis(0));
  CheckLeases();
}

int64_t UpstreamLink::LeaseUntil() const {
  const auto since =
      std::chrono::duration_cast<Millis>(executor_.Now() - clock_at_);
  return clock_ms_ + since.count() + options_.lease.count();
}

void UpstreamLink::NoteClock(int64_t clock_ms) {
  // Dated when the answer came, not when the call went out: the upstream may
  // have read its clock as late as that, a second later for a renewal that
  // waited. Dated too early, leases would outlast the end that is counted on
  // here, and a task could run at two places.
  if (clock_ms <= clock_ms_) return;
  clock_ms_ = clock_ms;
  clock_at_ = executor_.Now();
}

void UpstreamLink::RenewSoon(Millis delay) {
  // One chain of renewals at a time: the last answer goes on with it.
  if (renewal_due_ || closed_ || outstanding_ > 0) return;
  renewal_due_ = true;
  executor_.RunAfter(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->closed_) return;
    self->renewal_due_ = false;
    if (self->outstanding_ > 0) return;
    self->Renew(self->reachable_ ? self->options_.wait : Millis(0));
  });
}

void UpstreamLink::Renew(Millis wait) {
  if (closed_) return;
  if (!events_.MayGiveOrders()) return RenewSoon(kRetry);
  ++outstanding_;
  const TimePoint sent = executor_.Now();
  // What was asked for bounds what may run there, also when the answer is
  // lost. An upstream that stopped answering is only asked what runs there:
  // with a lease in each of these calls its tasks would never count as ended.
  const bool extend = clock_ms_ > 0 && failures_ < kUnreachableAfter;
  if (extend) {
    leases_end_ =
        std::max(leases_end_, sent + MaxLeaseDuration(options_.lease));
  }
  const bool unsafe_ends = ends_durable_ < ends_reported_;
  const Millis waits = unsafe_ends ? Millis(0) : wait;
  const int64_t fence = fence_;
  const int64_t number = ++renewals_;
  tasks_.Renew(options_.target,
               {.fence = fence,
                .acked_ends = ends_durable_,
                .lease_until_ms = extend ? LeaseUntil() : 0,
                .wait = waits},
               adaptive_timeout_.limit() + waits,
               [weak = weak_from_this(), number, fence, sent, waits,
                acked_ends = ends_durable_](const ports::RenewReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 // One that waited for an end says nothing of a round trip.
                 if (waits == Millis(0)) {
                   self->RecordReply(sent, reply.call.verdict);
                 }
                 self->OnRenewReply(number, fence, acked_ends, reply);
               });
}

void UpstreamLink::OnRenewReply(int64_t number, int64_t fence,
                                int64_t acked_ends,
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
  // An answer that a newer one has overtaken lists what has ended since: taken
  // for the truth, it would hold room that no later end frees. Which is newer
  // the upstream's clock tells, whatever the order of the calls: one may have
  // waited there while a later one was answered.
  const bool overtaken =
      reply.call.clock_ms < clock_ms_ ||
      (reply.call.clock_ms == clock_ms_ && number < newest_answered_);
  if (overtaken) return RenewSoon(options_.gap);
  newest_answered_ = std::max(newest_answered_, number);
  // After this answer the lease can be named again, and is at once.
  const bool lease_due = clock_ms_ == 0 || failures_ >= kUnreachableAfter;
  failures_ = 0;
  ends_acknowledged_ = std::max(ends_acknowledged_, acked_ends);
  NoteClock(reply.call.clock_ms);
  all_runs_ended_ = false;
  // With a part of the ends only, a run that is in neither list may have ended:
  // taken for never started, it would run a second time.
  if (!reply.more_ends) inventory_received_ = true;
  ResolveStarts(fence, reply);
  std::vector<ports::EndedTask> fresh;
  for (const ports::EndedTask& end : reply.ended) {
    if (end.number > ends_reported_) fresh.push_back(end);
  }
  if (!fresh.empty()) ends_reported_ = fresh.back().number;
  events_.OnReport(options_.index, reply.running, fresh);
  if (closed_) return;
  SetReachable(true);
  if (lease_due) return Renew(Millis(0));
  const bool unsafe_ends = ends_durable_ < ends_reported_;
  // With ends that are not safe yet the answer would come at once again.
  RenewSoon(unsafe_ends ? kRenewWithoutStore : options_.gap);
}

void UpstreamLink::OnRenewFailed(const ports::CallReply& reply) {
  ++failures_;
  if (failures_ == kUnreachableAfter) {
    logging::Event(logging::Level::kWarning, "upstream does not answer",
                   {{"upstream", options_.target.id}, {"cause", reply.detail}});
  }
  if (failures_ >= kUnreachableAfter) SetReachable(false);
  RenewSoon(failures_ == 1 ? Millis(0) : kRetry);
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

void UpstreamLink::AcknowledgeEnds(int64_t number) {
  if (number <= ends_durable_) return;
  ends_durable_ = number;
  if (ends_durable_ < ends_reported_ || closed_) return;
  // The renewal that waited for this goes out now.
  renewal_due_ = false;
  RenewSoon(options_.gap);
}

void UpstreamLink::Start(const scheduling::StartOrder& order) {
  if (closed_ || !reachable_ || !events_.MayGiveOrders()) {
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
               adaptive_timeout_.limit(),
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
  // It may act seconds later. Under a higher token it cannot any more, and
  // what runs then is the truth.
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
    const UnresolvedStart& doubt = at->second;
    if (doubt.fence >= fence) {
      ++at;
      continue;
    }
    const auto same = [&](const auto& run) {
      return run.task == doubt.order.task && run.attempt == doubt.order.attempt;
    };
    const bool there =
        std::any_of(reply.running.begin(), reply.running.end(), same) ||
        std::any_of(reply.ended.begin(), reply.ended.end(), same);
    if (!there && reply.more_ends) {
      // Its end may be among those that aren't listed yet.
      ++at;
      continue;
    }
    const scheduling::StartOrder order = doubt.order;
    at = unresolved_starts_.erase(at);
    logging::Event(logging::Level::kInfo, "doubtful start settled",
                   {{"upstream", options_.target.id},
                    {"task", TaskIdText(order.task)},
                    {"started", there ? "yes" : "no"}});
    events_.OnStartReply(
        order, {.verdict = there ? CallVerdict::kDone : CallVerdict::kNotSent,
                .detail = "settled under a higher fence"});
  }
}

void UpstreamLink::Stop(const TaskId& task, int64_t attempt) {
  if (closed_) return;
  if (!events_.MayGiveOrders()) {
    return events_.OnStopFailed(options_.index, task, attempt);
  }
  tasks_.Stop(options_.target, task, attempt, fence_, adaptive_timeout_.limit(),
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
