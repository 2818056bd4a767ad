// The part of Scheduler that requests advice: which advice a waiting step is
// missing, and what the adviser's answers say.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// A failed call for advice is repeated after this time.
constexpr Millis kAdviceRetryDelay{150};
/// Maximum number of upstreams in one call for advice; the adviser's own limit.
constexpr int32_t kMaxUpstreamsPerCall = 100;
/// Maximum number of concurrent calls for advice for one gang; any other step
/// gets one. A gang of 120 tasks needs three calls of kMaxUpstreamsPerCall if
/// one upstream in four is allowed.
constexpr int32_t kMaxCallsPerGang = 3;
/// A gang that waits for capacity requests advice until the allowed upstreams,
/// if empty, could hold this many times its tasks. It can then choose the ones
/// that become free first.
constexpr double kChoiceFactor = 4;
/// Upstreams whose capacity becomes free within this time are asked about
/// first.
constexpr Millis kLearnHorizon{1500};
/// A step with nothing to ask about is checked again after this time. Free
/// capacity changes with each end, about 1,700 a second on 540 upstreams. A
/// step that waits for capacity loses at most this much time.
constexpr Millis kAskCheckInterval{20};
/// Lower bound of the assumed rate at which a queue's adviser allows upstreams.
constexpr double kMinRate = 0.05;

Millis CallTime(const wire::QueuePolicy& queue, size_t upstreams) {
  return Millis(static_cast<int64_t>(queue.advice_base_ms +
                                     queue.advice_each_ms *
                                         static_cast<double>(upstreams)));
}

}  // namespace

bool Scheduler::AdviceCallLeft(int32_t priority) const {
  if (priority == 0 && advice_left_.urgent_only > 0) return true;
  return advice_left_.any > 0;
}

bool Scheduler::TakeAdviceCall(int32_t priority) {
  if (!AdviceCallLeft(priority)) return false;
  if (priority == 0 && advice_left_.urgent_only > 0) {
    --advice_left_.urgent_only;
  } else {
    --advice_left_.any;
  }
  return true;
}

std::vector<UpstreamIndex> Scheduler::ChooseToRenew(const JobRecord& record,
                                                    const StepId& id,
                                                    const GangPlan& plan,
                                                    TimePoint now) const {
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  std::vector<UpstreamIndex> out;
  const TimePoint answered =
      now + CallTime(record.job.queue(), plan.places.size());
  const TimePoint start = std::max(plan.ready, answered) + kTicketMargin;
  for (const auto& [upstream, tasks] : plan.places) {
    if (advice.Ticket(upstream, start) == nullptr) out.push_back(upstream);
  }
  // If requested earlier, the tickets would expire while the gang waits for
  // capacity.
  const Millis call = CallTime(record.job.queue(), out.size());
  if (plan.ready > now + call) out.clear();
  return out;
}

std::vector<UpstreamIndex> Scheduler::ChooseToLearn(const JobRecord& record,
                                                    const StepId& id,
                                                    TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  const double rate = std::max(kMinRate, rates_.Rate(record.job.queue().name));
  const TimePoint soon = now + kLearnHorizon;
  const std::set<UpstreamIndex>& excluded =
      record.step_state(id.occurrence, id.step).exclusion.excluded;
  std::vector<std::tuple<int32_t, int32_t, UpstreamIndex>> unknown;
  double known = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Matches(upstream, record, step)) {
      continue;
    }
    if (excluded.count(upstream) > 0) continue;
    const int32_t whole =
        Fit(upstream, record, id, pool_.at(upstream).capacity);
    if (whole == 0) continue;
    const auto upstream_advice = advice.upstreams.find(upstream);
    if (upstream_advice != advice.upstreams.end()) {
      known += upstream_advice->second.allowed ? whole : 0;
    } else if (advice.pending.count(upstream) > 0) {
      known += rate * whole;
    } else {
      const int32_t fit =
          Fit(upstream, record, id, pool_.FreeAt(upstream, soon));
      unknown.emplace_back(-fit, -whole, upstream);
    }
  }
  std::vector<UpstreamIndex> out;
  if (known >= kChoiceFactor * step.tasks) return out;
  std::sort(unknown.begin(), unknown.end());
  if (unknown.size() > kMaxUpstreamsPerCall) {
    unknown.resize(kMaxUpstreamsPerCall);
  }
  for (const auto& [fit, whole, upstream] : unknown) out.push_back(upstream);
  return out;
}

double Scheduler::Unclaimed(UpstreamIndex upstream) const {
  const auto claim = claimed_.find(upstream);
  if (claim == claimed_.end()) return 1;
  const int32_t free = pool_.at(upstream).free[Dimension::kCores];
  const int32_t claimed = claim->second[Dimension::kCores];
  if (claimed <= 0) return 1;
  if (claimed >= free) return 0;
  return 1 - static_cast<double>(claimed) / free;
}

std::vector<Scheduler::AskChoice> Scheduler::AskChoices(
    const JobRecord& record, const StepId& id, TimePoint now,
    const Reserved& reserved, double& expected) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  const double rate = std::max(kMinRate, rates_.Rate(record.job.queue().name));
  const std::set<UpstreamIndex>& excluded =
      record.step_state(id.occurrence, id.step).exclusion.excluded;
  const Amount size = TaskResources(step);
  // A gang starts when the answer arrives, and needs valid tickets for all its
  // tasks at that moment. A ticket that expires before then is renewed together
  // with the missing ones. If each ticket were renewed only after it expired,
  // it would be missing for 0.5 s of every 2 s, each at a different moment, and
  // a gang of 45 would never hold enough tickets at once.
  const Millis call =
      step.gang ? CallTime(record.job.queue(),
                           std::min<size_t>(step.tasks, kMaxUpstreamsPerCall))
                : Millis(0);
  const TimePoint needed_at = now + call + kTicketMargin;
  std::vector<AskChoice> out;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Matches(upstream, record, step)) {
      continue;
    }
    const auto upstream_advice = advice.upstreams.find(upstream);
    const bool known = upstream_advice != advice.upstreams.end();
    if (known && !upstream_advice->second.allowed) continue;
    if (step.gang && excluded.count(upstream) > 0) continue;
    const Amount free =
        CapacityFor(step, upstream, pool_.at(upstream).free, now, reserved);
    const int32_t fit = Fit(upstream, record, id, free);
    if (fit == 0) continue;
    const bool pending = advice.pending.count(upstream) > 0;
    const bool valid = advice.Ticket(upstream, needed_at) != nullptr;
    const double probability = known ? 1 : rate;
    if (!pending && !valid) {
      out.push_back(
          {.upstream = upstream,
           .excluded = excluded.count(upstream) > 0,
           .gang_reserved = UsesGangReservation(upstream, size),
           .option = {.fit = fit * Unclaimed(upstream), .rate = probability}});
    } else if (pending || step.gang) {
      // Single tasks have already used the capacity for which there are valid
      // tickets.
      expected += probability * fit;
    }
  }
  std::sort(out.begin(), out.end(), [](const AskChoice& a, const AskChoice& b) {
    const auto order = [](const AskChoice& c) {
      return std::tuple(c.excluded, c.gang_reserved, -c.option.rate,
                        -c.option.fit, c.upstream);
    };
    return order(a) < order(b);
  });
  return out;
}

std::vector<UpstreamIndex> Scheduler::ChooseToStart(
    const JobRecord& record, const StepId& id, TimePoint now,
    const Reserved& reserved) const {
  double expected = 0;
  const std::vector<AskChoice> choices =
      AskChoices(record, id, now, reserved, expected);
  std::vector<AskOption> options;
  options.reserve(choices.size());
  double most = expected;
  for (const AskChoice& choice : choices) {
    options.push_back(choice.option);
    most += choice.option.rate * choice.option.fit;
  }
  const double need = record.job.step_counts(id.occurrence, id.step).waiting;
  // A partial gang is of no use.
  if (record.job.step(id.step).gang && most < need) return {};
  const auto count = static_cast<size_t>(
      AskCount(options, need - expected, kMaxUpstreamsPerCall));
  std::vector<UpstreamIndex> out;
  for (size_t i = 0; i < count; ++i) out.push_back(choices[i].upstream);
  return out;
}

void Scheduler::AskAdvice(JobRecord& record, const StepId& id, TimePoint now,
                          bool may_wait, const GangPlan& plan,
                          const Reserved& reserved, Orders& orders) {
  StepState& step_state = record.step_state(id.occurrence, id.step);
  StepAdvice& advice = step_state.advice;
  const wire::QueuePolicy& queue = record.job.queue();
  const wire::StepSpec& step = record.job.step(id.step);
  if (advice.calls >= (step.gang ? kMaxCallsPerGang : 1)) return;
  if (now < advice.ask_after || now < step_state.next_ask_check) return;
  if (!AdviceCallLeft(queue.priority)) return;
  std::vector<UpstreamIndex> asked = ChooseToStart(record, id, now, reserved);
  // A gang without sufficient capacity learns where it may run, and waits
  // there.
  AdvicePurpose purpose = AdvicePurpose::kStart;
  if (asked.empty() && may_wait) {
    asked = ChooseToLearn(record, id, now);
    purpose = AdvicePurpose::kLearn;
  }
  if (asked.empty() && plan.found() && advice.calls == 0) {
    asked = ChooseToRenew(record, id, plan, now);
    purpose = AdvicePurpose::kRenew;
  }
  if (asked.empty()) {
    step_state.next_ask_check = now + kAskCheckInterval;
    return;
  }
  if (!TakeAdviceCall(queue.priority)) return;
  AdviceOrder order{.purpose = purpose, .step = id, .priority = queue.priority};
  order.expected = CallTime(queue, asked.size());
  const auto named = static_cast<int32_t>(asked.size());
  const int32_t waiting =
      record.job.step_counts(id.occurrence, id.step).waiting;
  const Amount size = TaskResources(step);
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    order.claim.values[d] =
        static_cast<int32_t>(static_cast<int64_t>(size.values[d]) *
                             std::min(waiting, named) / named);
  }
  for (const UpstreamIndex upstream : asked) {
    order.upstreams.push_back(pool_.at(upstream).entry.id);
    advice.pending.insert(upstream);
    claimed_[upstream] += order.claim;
  }
  ++advice.calls;
  orders.advice.push_back(std::move(order));
}

void Scheduler::OnAdvice(const AdviceOrder& asked, const ports::Advice* advice,
                         TimePoint now) {
  for (const std::string& name : asked.upstreams) {
    const UpstreamIndex upstream = pool_.Find(name);
    if (upstream != kNoUpstream) claimed_[upstream] -= asked.claim;
  }
  JobRecord* record = FindJobRecord(asked.step.job);
  if (record == nullptr) return;
  StepState& step_state =
      record->step_state(asked.step.occurrence, asked.step.step);
  step_state.plan_until = {};
  step_state.next_ask_check = {};
  StepAdvice& known = step_state.advice;
  --known.calls;
  std::unordered_map<std::string, const ports::AdviceTicket*> allowed;
  if (advice == nullptr) {
    known.ask_after = now + kAdviceRetryDelay;
  } else {
    for (const auto& ticket : advice->allowed) {
      allowed.emplace(ticket.upstream, &ticket);
    }
  }
  double first_answers = 0;
  double first_allowed = 0;
  for (const std::string& name : asked.upstreams) {
    const UpstreamIndex upstream = pool_.Find(name);
    if (upstream == kNoUpstream) continue;
    known.pending.erase(upstream);
    if (advice == nullptr) continue;
    const auto found = allowed.find(name);
    const bool first = known.upstreams.find(upstream) == known.upstreams.end();
    UpstreamAdvice& upstream_advice = known.upstreams[upstream];
    upstream_advice.allowed = found != allowed.end();
    first_answers += first ? 1 : 0;
    if (!upstream_advice.allowed) continue;
    first_allowed += first ? 1 : 0;
    upstream_advice.ticket = found->second->ticket;
    upstream_advice.valid_until = now + advice->valid;
  }
  rates_.Note(record->job.queue().name, first_answers, first_allowed);
}

}  // namespace mimosarail::scheduling
