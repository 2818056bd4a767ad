// The part of Scheduler that orders advice calls for waiting steps and stores
// the adviser's answers.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Time for which a step makes no further advice call after a failed one.
constexpr Millis kAdviceRetryDelay{150};
/// Maximum number of upstreams in one advice call; a limit of the adviser.
constexpr int32_t kMaxUpstreamsPerCall = 100;
/// Maximum number of concurrent advice calls for a gang; any other step makes
/// one at a time. A gang of 120 tasks needs three calls of kMaxUpstreamsPerCall
/// if one upstream in four is allowed.
constexpr int32_t kMaxCallsPerGang = 3;
/// A gang that waits for capacity requests advice until the allowed upstreams,
/// if empty, could run this many times its tasks. It can then choose those that
/// become free first.
constexpr double kLearnCapacityFactor = 4;
/// A gang that waits for capacity asks first about the upstreams that will have
/// the most free capacity after this time.
constexpr Millis kLearnHorizon{1500};
/// A step with nothing to ask about is checked again after this time. Checking
/// it after each end of a run would be too often: there are about 1,700 a
/// second on 540 upstreams. The delay costs a step at most this much time.
constexpr Millis kAdviceCheckInterval{20};
/// Lower bound of the assumed rate at which a queue's adviser allows upstreams.
constexpr double kMinAllowanceRate = 0.05;

Millis EstimatedCallTime(const wire::QueuePolicy& queue, size_t upstreams) {
  return Millis(static_cast<int64_t>(queue.advice_base_ms +
                                     queue.advice_each_ms *
                                         static_cast<double>(upstreams)));
}

}  // namespace

bool Scheduler::HasAdviceCallLeft(int32_t priority) const {
  if (priority == 0 && advice_left_.urgent_only > 0) return true;
  return advice_left_.any > 0;
}

bool Scheduler::UseAdviceCall(int32_t priority) {
  if (!HasAdviceCallLeft(priority)) return false;
  if (priority == 0 && advice_left_.urgent_only > 0) {
    --advice_left_.urgent_only;
  } else {
    --advice_left_.any;
  }
  return true;
}

std::vector<UpstreamIndex> Scheduler::SelectForRenewal(const JobRecord& record,
                                                       const StepId& id,
                                                       const GangPlan& plan,
                                                       TimePoint now) const {
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  std::vector<UpstreamIndex> out;
  const TimePoint answered_at =
      now +
      EstimatedCallTime(record.job.queue(), plan.tasks_by_upstream.size());
  const TimePoint start = std::max(plan.ready_at, answered_at) + kTicketMargin;
  for (const auto& [upstream, tasks] : plan.tasks_by_upstream) {
    if (advice.Ticket(upstream, start) == nullptr) out.push_back(upstream);
  }
  // Tickets that are requested any earlier would expire while the gang waits
  // for capacity.
  const Millis call_time = EstimatedCallTime(record.job.queue(), out.size());
  if (plan.ready_at > now + call_time) out.clear();
  return out;
}

std::vector<UpstreamIndex> Scheduler::SelectForLearning(const JobRecord& record,
                                                        const StepId& id,
                                                        TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  const double allowance_rate = std::max(
      kMinAllowanceRate, allowance_rates_.Rate(record.job.queue().name));
  const TimePoint soon = now + kLearnHorizon;
  const std::set<UpstreamIndex>& excluded =
      record.step_state(id.occurrence, id.step).exclusion.excluded;
  const Amount size = TaskResources(step);
  /// An upstream that no call has asked about.
  struct NotAsked {
    UpstreamIndex upstream = kNoUpstream;
    int32_t fit_if_empty = 0;
    int32_t fit_soon = 0;
  };
  std::vector<NotAsked> not_asked;
  // Number of tasks that the allowed upstreams could run if empty, plus the
  // expected number for the upstreams whose answer is pending.
  double allowed_tasks = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (FitCount(pool_.at(upstream).capacity, size) == 0) continue;
    if (!pool_.Usable(upstream, now) || !Matches(upstream, record, step)) {
      continue;
    }
    if (excluded.count(upstream) > 0) continue;
    const int32_t fit_if_empty =
        FittingTasks(upstream, record, id, pool_.at(upstream).capacity, now);
    if (fit_if_empty == 0) continue;
    const auto upstream_advice = advice.upstreams.find(upstream);
    if (upstream_advice != advice.upstreams.end()) {
      allowed_tasks += upstream_advice->second.allowed ? fit_if_empty : 0;
    } else if (advice.pending.count(upstream) > 0) {
      allowed_tasks += allowance_rate * fit_if_empty;
    } else {
      not_asked.push_back({.upstream = upstream, .fit_if_empty = fit_if_empty});
    }
  }
  std::vector<UpstreamIndex> out;
  if (allowed_tasks >= kLearnCapacityFactor * step.tasks) return out;
  for (NotAsked& it : not_asked) {
    it.fit_soon = FittingTasks(it.upstream, record, id,
                               pool_.FreeAt(it.upstream, soon), now);
  }
  const auto most =
      not_asked.begin() +
      std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(not_asked.size()),
                               kMaxUpstreamsPerCall);
  std::partial_sort(not_asked.begin(), most, not_asked.end(),
                    [](const NotAsked& a, const NotAsked& b) {
                      const auto order = [](const NotAsked& it) {
                        return std::tuple(-it.fit_soon, -it.fit_if_empty,
                                          it.upstream);
                      };
                      return order(a) < order(b);
                    });
  for (auto at = not_asked.begin(); at != most; ++at) {
    out.push_back(at->upstream);
  }
  return out;
}

double Scheduler::UnclaimedFraction(UpstreamIndex upstream) const {
  const auto claim = claimed_.find(upstream);
  if (claim == claimed_.end()) return 1;
  const int32_t free = pool_.at(upstream).free[Dimension::kCores];
  const int32_t claimed = claim->second[Dimension::kCores];
  if (claimed <= 0) return 1;
  if (claimed >= free) return 0;
  return 1 - static_cast<double>(claimed) / free;
}

std::vector<Scheduler::RankedCandidate> Scheduler::RankAdviceCandidates(
    const JobRecord& record, const StepId& id, TimePoint now,
    const PassReservations& reserved, double& expected_tasks) const {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  const double allowance_rate = std::max(
      kMinAllowanceRate, allowance_rates_.Rate(record.job.queue().name));
  const std::set<UpstreamIndex>& excluded =
      record.step_state(id.occurrence, id.step).exclusion.excluded;
  const Amount size = TaskResources(step);
  // A gang starts when the answer arrives, and needs valid tickets for all its
  // tasks at that moment. A ticket that expires before that is renewed together
  // with the missing ones. If each ticket were renewed only after it expired,
  // each would be missing for 0.5 s of every 2 s, at different times, and a
  // gang of 45 would never have enough valid tickets at once.
  const Millis call_time =
      step.gang ? EstimatedCallTime(
                      record.job.queue(),
                      std::min<size_t>(step.tasks, kMaxUpstreamsPerCall))
                : Millis(0);
  const TimePoint needed_at = now + call_time + kTicketMargin;
  const auto& needs = record.step_state(id.occurrence, id.step).speed_needs;
  std::vector<RankedCandidate> out;
  for (const UpstreamIndex upstream : pool_.all()) {
    // Most upstreams of a busy pool have no room, so this goes first.
    if (FitCount(pool_.at(upstream).free, size) == 0) continue;
    if (!pool_.Usable(upstream, now) || !Matches(upstream, record, step)) {
      continue;
    }
    const auto upstream_advice = advice.upstreams.find(upstream);
    const bool known = upstream_advice != advice.upstreams.end();
    if (known && !upstream_advice->second.allowed) continue;
    if (step.gang && excluded.count(upstream) > 0) continue;
    const Amount free = CapacityFor(record, id, upstream,
                                    pool_.at(upstream).free, now, reserved);
    const int32_t fit = FittingTasks(upstream, record, id, free, now);
    if (fit == 0) continue;
    const bool pending = advice.pending.count(upstream) > 0;
    const bool valid = advice.Ticket(upstream, needed_at) != nullptr;
    const double probability = known ? 1 : allowance_rate;
    if (!pending && !valid) {
      const SpeedRank speed =
          needs ? RankSpeed(*needs, pool_.speeds().Speed(upstream))
                : SpeedRank{};
      out.push_back({.upstream = upstream,
                     .excluded = excluded.count(upstream) > 0,
                     .gang_reserved = UsesGangReservation(upstream, size),
                     .speed = speed,
                     .candidate = {.tasks = fit * UnclaimedFraction(upstream),
                                   .allow_probability = probability}});
    } else if (pending || step.gang) {
      // For tasks that are not part of a gang, valid tickets are not counted:
      // such tasks have already started on that capacity.
      expected_tasks += probability * fit;
    }
  }
  if (needs && step.gang) {
    RankForGangAdvice(*needs, step.tasks - expected_tasks, out);
  }
  // No call names more of them.
  const auto named = out.begin() + std::min<std::ptrdiff_t>(
                                       static_cast<std::ptrdiff_t>(out.size()),
                                       kMaxUpstreamsPerCall);
  std::partial_sort(out.begin(), named, out.end(),
                    [](const RankedCandidate& a, const RankedCandidate& b) {
                      const auto order = [](const RankedCandidate& c) {
                        return std::tuple(c.excluded, c.speed.late,
                                          c.gang_reserved, c.speed.rank,
                                          -c.candidate.allow_probability,
                                          -c.candidate.tasks, c.upstream);
                      };
                      return order(a) < order(b);
                    });
  return out;
}

void Scheduler::RankForGangAdvice(const SpeedNeeds& needs, double tasks,
                                  std::vector<RankedCandidate>& ranked) const {
  std::vector<GangOption> options;
  options.reserve(ranked.size());
  for (const RankedCandidate& it : ranked) {
    options.push_back(
        {.factor = pool_.speeds().Factor(it.upstream),
         .tasks = it.candidate.allow_probability * it.candidate.tasks});
  }
  const double slowest = SlowestForGang(std::move(options), tasks, needs);
  for (RankedCandidate& it : ranked) {
    it.speed = {.rank =
                    RankForGang(slowest, pool_.speeds().Speed(it.upstream))};
  }
}

std::vector<UpstreamIndex> Scheduler::SelectForStart(
    const JobRecord& record, const StepId& id, TimePoint now,
    const PassReservations& reserved) const {
  double expected_tasks = 0;
  const std::vector<RankedCandidate> ranked =
      RankAdviceCandidates(record, id, now, reserved, expected_tasks);
  std::vector<AdviceCandidate> candidates;
  candidates.reserve(ranked.size());
  double max_expected_tasks = expected_tasks;
  for (const RankedCandidate& it : ranked) {
    candidates.push_back(it.candidate);
    max_expected_tasks += it.candidate.allow_probability * it.candidate.tasks;
  }
  const double needed_tasks = TasksWithinLimit(record, id);
  // Advice for a part of a gang is of no use.
  if (record.job.step(id.step).gang && max_expected_tasks < needed_tasks) {
    return {};
  }
  const auto count = static_cast<size_t>(AdviceCallSize(
      candidates, needed_tasks - expected_tasks, kMaxUpstreamsPerCall));
  std::vector<UpstreamIndex> out;
  for (size_t i = 0; i < count; ++i) out.push_back(ranked[i].upstream);
  return out;
}

void Scheduler::OrderAdvice(JobRecord& record, const StepId& id, TimePoint now,
                            bool may_wait, const GangPlan& plan,
                            const PassReservations& reserved, Orders& orders) {
  StepState& step_state = record.step_state(id.occurrence, id.step);
  StepAdvice& advice = step_state.advice;
  const wire::QueuePolicy& queue = record.job.queue();
  const wire::StepSpec& step = record.job.step(id.step);
  if (advice.calls_in_flight >= (step.gang ? kMaxCallsPerGang : 1)) return;
  if (now < advice.earliest_next_call) return;
  if (now < step_state.next_advice_check) return;
  if (!HasAdviceCallLeft(queue.priority)) return;
  std::vector<UpstreamIndex> asked = SelectForStart(record, id, now, reserved);
  // A gang without sufficient capacity asks where it may run, and waits there.
  AdvicePurpose purpose = AdvicePurpose::kStart;
  if (asked.empty() && may_wait) {
    asked = SelectForLearning(record, id, now);
    purpose = AdvicePurpose::kLearn;
  }
  if (asked.empty() && plan.found() && advice.calls_in_flight == 0) {
    asked = SelectForRenewal(record, id, plan, now);
    purpose = AdvicePurpose::kRenew;
  }
  if (asked.empty()) {
    step_state.next_advice_check = now + kAdviceCheckInterval;
    return;
  }
  if (!UseAdviceCall(queue.priority)) return;
  AdviceOrder order{.purpose = purpose,
                    .step = id,
                    .asked_at = now,
                    .priority = queue.priority};
  order.expected = EstimatedCallTime(queue, asked.size());
  const auto upstream_count = static_cast<int32_t>(asked.size());
  const int32_t waiting = TasksWithinLimit(record, id);
  const Amount size = TaskResources(step);
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    order.claim.values[d] = static_cast<int32_t>(
        static_cast<int64_t>(size.values[d]) *
        std::min(waiting, upstream_count) / upstream_count);
  }
  for (const UpstreamIndex upstream : asked) {
    order.upstreams.push_back(pool_.at(upstream).entry.id);
    advice.pending.insert(upstream);
    claimed_[upstream] += order.claim;
  }
  ++advice.calls_in_flight;
  orders.advice.push_back(std::move(order));
}

void Scheduler::OnAdvice(const AdviceOrder& order, const ports::Advice* advice,
                         TimePoint now) {
  for (const std::string& name : order.upstreams) {
    const UpstreamIndex upstream = pool_.Find(name);
    if (upstream != kNoUpstream) claimed_[upstream] -= order.claim;
  }
  JobRecord* record = FindJobRecord(order.step.job);
  if (record == nullptr) return;
  const auto step = record->step_states.find(
      record->StepStateIndex(order.step.occurrence, order.step.step));
  // The job has ended meanwhile.
  if (step == record->step_states.end()) return;
  StepState& step_state = step->second;
  step_state.plan_valid_until = {};
  step_state.next_advice_check = {};
  StepAdvice& known = step_state.advice;
  --known.calls_in_flight;
  std::unordered_map<std::string, const ports::AdviceTicket*> allowed;
  if (advice == nullptr) {
    known.earliest_next_call = now + kAdviceRetryDelay;
  } else {
    for (const auto& ticket : advice->allowed) {
      allowed.emplace(ticket.upstream, &ticket);
    }
  }
  double first_answers = 0;
  double first_allowed = 0;
  for (const std::string& name : order.upstreams) {
    const UpstreamIndex upstream = pool_.Find(name);
    if (upstream == kNoUpstream) continue;
    known.pending.erase(upstream);
    if (advice == nullptr) continue;
    // A ticket is valid for one incarnation only.
    if (pool_.at(upstream).known_since > order.asked_at) continue;
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
  allowance_rates_.Add(record->job.queue().name, first_answers, first_allowed);
  if (record->job.StepDone(order.step.occurrence, order.step.step)) {
    ReleaseStep(*record, order.step.occurrence, order.step.step);
  }
}

}  // namespace mimosarail::scheduling
