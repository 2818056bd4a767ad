// The part of UpstreamLink that sends starts and stops, and resolves the starts
// in doubt.

#include <algorithm>

#include "src/fleet/upstream_link.h"
#include "src/libs/logging/log.h"

namespace mimosarail::fleet {

using ports::CallVerdict;

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
  const SentStart start{.order = order,
                        .fence = fence_,
                        .restarts = restarts_,
                        .sent = executor_.Now(),
                        .clock = clock_};
  tasks_.Start(options_.target,
               {.task = order.task,
                .attempt = order.attempt,
                .payload = order.payload,
                .lease_until_ms = LeaseEndOnUpstreamClock(),
                .fence = fence_,
                .checkpoint = order.checkpoint,
                .ticket = order.ticket},
               adaptive_timeout_.timeout(),
               [weak = weak_from_this(), start](const ports::CallReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->closed_) return;
                 --self->starts_in_flight_;
                 self->RecordReplyTime(start.sent, reply.verdict);
                 self->HandleStartReply(start, reply);
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

void UpstreamLink::HandleStartReply(const SentStart& start,
                                    const ports::CallReply& reply) {
  CheckRestarted(reply);
  if (reply.verdict == CallVerdict::kFenced && start.fence >= fence_) {
    events_.OnStartReply(start.order, reply);
    return events_.OnFenced(options_.index);
  }
  // The start may still take effect seconds later. A higher fencing token
  // prevents that, and the inventory reported under it resolves the start.
  if (reply.verdict == CallVerdict::kUnknown) {
    logging::Event(logging::Level::kWarning, "start without answer",
                   {{"upstream", options_.target.id},
                    {"task", TaskIdText(start.order.task)},
                    {"attempt", std::to_string(start.order.attempt)},
                    {"cause", reply.detail}});
    return NoteStartInDoubt(start, reply.detail);
  }
  const bool executed = reply.verdict == CallVerdict::kDone;
  if (executed && !AnsweredByKnownIncarnation(start, reply)) {
    const int64_t expected_ms = start.clock.EstimateAt(executor_.Now());
    logging::Event(logging::Level::kWarning, "start answered on another clock",
                   {{"upstream", options_.target.id},
                    {"task", TaskIdText(start.order.task)},
                    {"attempt", std::to_string(start.order.attempt)},
                    {"clock_ms", std::to_string(reply.clock_ms)},
                    {"expected_clock_ms", std::to_string(expected_ms)}});
    return NoteStartInDoubt(start, "answered on another clock");
  }
  events_.OnStartReply(start.order, reply);
}

bool UpstreamLink::AnsweredByKnownIncarnation(
    const SentStart& start, const ports::CallReply& reply) const {
  // An upstream that does not report its start has a new id when it restarts.
  if (incarnation_ == 0 || reply.incarnation == incarnation_) return true;
  // The report that resolves a restart lists the start if it was executed.
  if (start.restarts != restarts_) return true;
  return start.clock.Continues(reply.clock_ms, start.sent, executor_.Now());
}

void UpstreamLink::NoteStartInDoubt(const SentStart& start,
                                    const std::string& cause) {
  starts_in_doubt_.insert_or_assign(
      {start.order.task, start.order.attempt},
      StartInDoubt{.order = start.order, .fence = start.fence, .cause = cause});
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
