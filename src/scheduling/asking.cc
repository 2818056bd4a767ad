// The asking half of Scheduler: which advice is missing for a step that waits,
// and what the adviser's answers say.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Calls for advice that failed are repeated after this.
constexpr Millis kAskAgain{150};
/// Most upstreams that one call for advice may name; the adviser's own limit.
constexpr int32_t kMaxAsked = 100;
/// Calls for one step at a time. A gang of 120 with one upstream in four
/// allowed needs three full ones.
constexpr int32_t kMaxCalls = 3;
/// A gang that waits for room knows upstreams that could take it this many
/// times over when empty, so that it can choose those that are free first.
constexpr double kChoice = 4;
/// Those are asked about first that have room within this.
constexpr Millis kLearnAhead{1500};
/// A step for which there was nothing to ask about is looked at again after
/// this. What is free changes with each end, some 1,700 a second on 540
/// upstreams, and a step that waits for its room loses this much at most.
constexpr Millis kAskLook{20};
/// No queue's adviser is taken to be stricter than this.
constexpr double kLeastRate = 0.05;

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

std::vector<UpstreamIndex> Scheduler::ChooseRenewed(const Entry& entry,
                                                    const StepId& id,
                                                    const GangPlan& plan,
                                                    TimePoint now) const {
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  std::vector<UpstreamIndex> out;
  const TimePoint answered =
      now + CallTime(entry.job.queue(), plan.places.size());
  const TimePoint start = std::max(plan.ready, answered) + kTicketMargin;
  for (const auto& [upstream, tasks] : plan.places) {
    if (advice.Ticket(upstream, start) == nullptr) out.push_back(upstream);
  }
  // Asked any sooner, the tickets would age while the room is awaited.
  const Millis call = CallTime(entry.job.queue(), out.size());
  if (plan.ready > now + call) out.clear();
  return out;
}

std::vector<UpstreamIndex> Scheduler::ChooseLearned(const Entry& entry,
                                                    const StepId& id,
                                                    TimePoint now) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  const double rate = std::max(kLeastRate, rates_.Rate(entry.job.queue().name));
  const TimePoint soon = now + kLearnAhead;
  const std::set<UpstreamIndex>& excluded =
      entry.unit(id.occurrence, id.step).exclusion.excluded;
  std::vector<std::tuple<int32_t, int32_t, UpstreamIndex>> unknown;
  double known = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) continue;
    if (excluded.count(upstream) > 0) continue;
    const int32_t whole = Fit(upstream, entry, id, pool_.at(upstream).capacity);
    if (whole == 0) continue;
    const auto said = advice.upstreams.find(upstream);
    if (said != advice.upstreams.end()) {
      known += said->second.allowed ? whole : 0;
    } else if (advice.pending.count(upstream) > 0) {
      known += rate * whole;
    } else {
      const int32_t fit =
          Fit(upstream, entry, id, pool_.FreeBy(upstream, soon));
      unknown.emplace_back(-fit, -whole, upstream);
    }
  }
  std::vector<UpstreamIndex> out;
  if (known >= kChoice * step.tasks) return out;
  std::sort(unknown.begin(), unknown.end());
  if (unknown.size() > kMaxAsked) unknown.resize(kMaxAsked);
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
    const Entry& entry, const StepId& id, TimePoint now,
    const Reserved& reserved, double& expected) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  const double rate = std::max(kLeastRate, rates_.Rate(entry.job.queue().name));
  const std::set<UpstreamIndex>& excluded =
      entry.unit(id.occurrence, id.step).exclusion.excluded;
  const Amount size = TaskRoom(step);
  // A gang starts when the answer comes, and needs all of its tickets then. One
  // that has run out by then is renewed with what is missing: asked for when it
  // had run out, each ticket was gone for 0.5 s of 2 s, another one at each
  // moment, and a gang of 45 never held enough of them.
  const Millis call =
      step.gang
          ? CallTime(entry.job.queue(), std::min<size_t>(step.tasks, kMaxAsked))
          : Millis(0);
  const TimePoint good_at = now + call + kTicketMargin;
  std::vector<AskChoice> out;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) continue;
    const auto said = advice.upstreams.find(upstream);
    const bool known = said != advice.upstreams.end();
    if (known && !said->second.allowed) continue;
    if (step.gang && excluded.count(upstream) > 0) continue;
    const Amount room =
        RoomFor(step, upstream, pool_.at(upstream).free, now, reserved);
    const int32_t fit = Fit(upstream, entry, id, room);
    if (fit == 0) continue;
    const bool coming = advice.pending.count(upstream) > 0;
    const bool valid = advice.Ticket(upstream, good_at) != nullptr;
    const double sure = known ? 1 : rate;
    if (!coming && !valid) {
      out.push_back(
          {.upstream = upstream,
           .excluded = excluded.count(upstream) > 0,
           .awaited = TakesAwaited(upstream, size),
           .option = {.fit = fit * Unclaimed(upstream), .rate = sure}});
    } else if (coming || step.gang) {
      // Single tasks have already used what good tickets have room for.
      expected += sure * fit;
    }
  }
  std::sort(out.begin(), out.end(), [](const AskChoice& a, const AskChoice& b) {
    const auto order = [](const AskChoice& c) {
      return std::tuple(c.excluded, c.awaited, -c.option.rate, -c.option.fit,
                        c.upstream);
    };
    return order(a) < order(b);
  });
  return out;
}

std::vector<UpstreamIndex> Scheduler::ChooseAsked(
    const Entry& entry, const StepId& id, TimePoint now,
    const Reserved& reserved) const {
  double expected = 0;
  const std::vector<AskChoice> choices =
      AskChoices(entry, id, now, reserved, expected);
  std::vector<AskOption> options;
  options.reserve(choices.size());
  double most = expected;
  for (const AskChoice& choice : choices) {
    options.push_back(choice.option);
    most += choice.option.rate * choice.option.fit;
  }
  const double need = entry.job.step_counts(id.occurrence, id.step).waiting;
  // Half a gang is of no use.
  if (entry.job.step(id.step).gang && most < need) return {};
  const auto count =
      static_cast<size_t>(AskCount(options, need - expected, kMaxAsked));
  std::vector<UpstreamIndex> out;
  for (size_t i = 0; i < count; ++i) out.push_back(choices[i].upstream);
  return out;
}

void Scheduler::AskAdvice(Entry& entry, const StepId& id, TimePoint now,
                          bool may_wait, const GangPlan& plan,
                          const Reserved& reserved, Orders& orders) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  StepAdvice& advice = unit.advice;
  const wire::QueuePolicy& queue = entry.job.queue();
  const wire::StepSpec& step = entry.job.step(id.step);
  if (advice.calls >= (step.gang ? kMaxCalls : 1)) return;
  if (now < advice.ask_after || now < unit.ask_look_after) return;
  if (!AdviceCallLeft(queue.priority)) return;
  std::vector<UpstreamIndex> asked = ChooseAsked(entry, id, now, reserved);
  // A gang without room enough learns where it may go, and waits there.
  AdvicePurpose purpose = AdvicePurpose::kStart;
  if (asked.empty() && may_wait) {
    asked = ChooseLearned(entry, id, now);
    purpose = AdvicePurpose::kLearn;
  }
  if (asked.empty() && plan.found() && advice.calls == 0) {
    asked = ChooseRenewed(entry, id, plan, now);
    purpose = AdvicePurpose::kRenew;
  }
  if (asked.empty()) {
    unit.ask_look_after = now + kAskLook;
    return;
  }
  if (!TakeAdviceCall(queue.priority)) return;
  AdviceOrder order{.purpose = purpose, .step = id, .priority = queue.priority};
  order.expected = CallTime(queue, asked.size());
  const auto named = static_cast<int32_t>(asked.size());
  const int32_t waiting = entry.job.step_counts(id.occurrence, id.step).waiting;
  const Amount size = TaskRoom(step);
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    order.claim.of[d] = static_cast<int32_t>(static_cast<int64_t>(size.of[d]) *
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
  Entry* entry = FindEntry(asked.step.job);
  if (entry == nullptr) return;
  Unit& unit = entry->unit(asked.step.occurrence, asked.step.step);
  unit.plan_until = {};
  unit.ask_look_after = {};
  StepAdvice& known = unit.advice;
  --known.calls;
  std::unordered_map<std::string, const ports::AdviceTicket*> allowed;
  if (advice == nullptr) {
    known.ask_after = now + kAskAgain;
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
    UpstreamAdvice& said = known.upstreams[upstream];
    said.allowed = found != allowed.end();
    first_answers += first ? 1 : 0;
    if (!said.allowed) continue;
    first_allowed += first ? 1 : 0;
    said.ticket = found->second->ticket;
    said.valid_until = now + advice->valid;
  }
  rates_.Note(entry->job.queue().name, first_answers, first_allowed);
}

}  // namespace mimosarail::scheduling
