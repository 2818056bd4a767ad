// The placing half of Scheduler: which waiting tasks start where, and which
// advice is missing for it.

#include <algorithm>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Units looked at in one pass; the rest keeps for the next one. Bounds the
/// time of a pass when thousands wait.
constexpr int kUnitsPerPass = 300;
/// Part of all cores that gangs may wait for at a time. Those further back in
/// the queue start if there happens to be room for all of them, and spend no
/// call on finding out where to wait: their tickets would be too old when it is
/// their turn.
constexpr double kWaitedShare = 0.4;
/// Cost of standing outside of the rack of the data or of the gang, against
/// at most 1.5 for the worst fit.
constexpr double kOtherRackCost = 4;
constexpr double kMemoryWeight = 0.5;
/// Cost of taking room that a gang waits for; urgent work goes first but can
/// mostly go elsewhere as well.
constexpr double kAwaitedCost = 2;
/// A waiting gang's plan is made anew after this. Work ends after 0.6 s and
/// more, so that the room foreseen hardly changes meanwhile. Made in each pass,
/// up to 500 a second, plans took 18 % of the time of a leader of 540
/// upstreams; with looks for what to ask about (kAskLook) 62 %.
constexpr Millis kPlanAge{20};
/// What a waiting step is kept from is looked at again after this. It changes
/// with failures, which make it due at once, and with answers of the adviser.
constexpr Millis kExclusionAge{500};

int32_t Times(const Amount& room, const Amount& size) {
  int32_t fit = kMaxStepTasks;
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    if (size.of[d] <= 0) continue;
    fit = std::min(fit, std::max(0, room.of[d]) / size.of[d]);
  }
  return fit;
}

/// Tasks of a step that so much room takes at most.
int32_t MostTasks(const wire::StepSpec& step, const Amount& room) {
  const int32_t fit = Times(room, TaskRoom(step));
  return step.max_per_upstream > 0 ? std::min(fit, step.max_per_upstream) : fit;
}

double Share(int32_t part, int32_t whole) {
  return whole <= 0 ? 0.0 : static_cast<double>(part) / whole;
}

}  // namespace

bool Scheduler::Suits(UpstreamIndex upstream, const Entry& entry,
                      const wire::StepSpec& step) const {
  const ports::UpstreamEntry& it = pool_.at(upstream).entry;
  if (it.pool != entry.job.queue().pool) return false;
  return step.label.empty() || std::find(it.labels.begin(), it.labels.end(),
                                         step.label) != it.labels.end();
}

int32_t Scheduler::Fit(UpstreamIndex upstream, const Entry& entry,
                       const StepId& id, const Amount& room) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  int32_t fit = Times(room, TaskRoom(step));
  if (step.max_per_upstream > 0 && fit > 0) {
    fit = std::min(fit, step.max_per_upstream - pool_.HeldOf(upstream, id));
  }
  if (!entry.unit(id.occurrence, id.step).exclusion.trusts_suspects) {
    fit = std::min(fit, pool_.ProbesLeft(upstream));
  }
  return std::max(0, fit);
}

bool Scheduler::TakesAwaited(UpstreamIndex upstream, const Amount& size) const {
  const auto awaited = gang_reserved_.find(upstream);
  if (awaited == gang_reserved_.end()) return false;
  Amount left = pool_.at(upstream).free;
  left -= awaited->second;
  return !size.FitsIn(left);
}

double Scheduler::Score(UpstreamIndex upstream, const Entry& entry,
                        const wire::StepSpec& step) const {
  const Upstream& it = pool_.at(upstream);
  const Amount size = TaskRoom(step);
  const auto left = [&](Dimension d) {
    return Share(it.free[d] - size[d], it.capacity[d]);
  };
  double score =
      left(Dimension::kCores) + kMemoryWeight * left(Dimension::kMemory);
  if (!step.data_rack.empty() && it.entry.rack != step.data_rack) {
    score += kOtherRackCost;
  }
  if (entry.job.queue().priority == 0 && TakesAwaited(upstream, size)) {
    score += kAwaitedCost;
  }
  return score;
}

Amount Scheduler::RoomFor(const wire::StepSpec& step, UpstreamIndex upstream,
                          Amount room, TimePoint now,
                          const Reserved& reserved) const {
  const auto held_back = reserved.find(upstream);
  if (held_back == reserved.end()) return room;
  // What is over before the room is needed may use it meanwhile.
  if (ExpectedEnd(step, now) <= held_back->second.until) return room;
  room -= held_back->second.amount;
  return room;
}

std::vector<Scheduler::Candidate> Scheduler::Candidates(
    const Entry& entry, const StepId& id, const StepAdvice& advice,
    TimePoint now, const Reserved& reserved) const {
  std::vector<Candidate> out;
  const wire::StepSpec& step = entry.job.step(id.step);
  const bool advised = entry.job.queue().advised;
  const auto consider = [&](UpstreamIndex upstream) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) return;
    if (pool_.InQuarantineOfAnother(upstream, entry.job.id(), now)) return;
    const Amount room =
        RoomFor(step, upstream, pool_.at(upstream).free, now, reserved);
    const int32_t fit = Fit(upstream, entry, id, room);
    if (fit == 0) return;
    out.push_back({upstream, fit, Score(upstream, entry, step)});
  };
  if (!advised) {
    for (const UpstreamIndex upstream : pool_.all()) consider(upstream);
  } else {
    for (const auto& [upstream, said] : advice.upstreams) {
      if (advice.Ticket(upstream, now + kTicketMargin) != nullptr) {
        consider(upstream);
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::pair(a.score, a.upstream) < std::pair(b.score, b.upstream);
  });
  return out;
}

void Scheduler::Place(TimePoint now, AdviceBudget advice, Orders& orders) {
  advice_left_ = advice;
  Reserved reserved;
  int64_t cores = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    cores += pool_.at(upstream).capacity[Dimension::kCores];
  }
  waitable_ = static_cast<int64_t>(kWaitedShare * static_cast<double>(cores));
  int looked = 0;
  for (auto at = queue_.begin(); at != queue_.end();) {
    if (++looked > kUnitsPerPass) break;
    const StepId id = at->id;
    // Placing takes the unit itself out of the queue at most.
    ++at;
    PlaceUnit(*jobs_.at(id.job), id, now, reserved, orders);
  }
  gang_reserved_.clear();
  awaited_cores_ = 0;
  for (const auto& [upstream, held_back] : reserved) {
    gang_reserved_.emplace(upstream, held_back.amount);
    awaited_cores_ +=
        std::clamp(held_back.amount[Dimension::kCores], 0,
                   std::max(0, pool_.at(upstream).free[Dimension::kCores]));
  }
}

bool Scheduler::PlaceUnit(Entry& entry, const StepId& id, TimePoint now,
                          Reserved& reserved, Orders& orders) {
  const bool gang = entry.job.step(id.step).gang;
  UpdateExclusion(entry, id, now);
  if (gang) {
    if (PlaceGang(entry, id, now, reserved, orders)) return true;
  } else {
    PlaceTasks(entry, id, now, reserved, orders);
    if (entry.job.step_counts(id.occurrence, id.step).waiting == 0) return true;
  }
  const wire::StepSpec& step = entry.job.step(id.step);
  const bool may_wait = gang && TakeWaitingRoom(step);
  const GangPlan none;
  const GangPlan& plan = may_wait ? UpdatePlan(entry, id, now, reserved) : none;
  if (entry.job.queue().advised) {
    AskAdvice(entry, id, now, may_wait, plan, reserved, orders);
  }
  if (plan.found()) ReserveForGang(step, plan, reserved);
  return false;
}

void Scheduler::DropExcluded(const PlacementExclusion& exclusion,
                             std::vector<Candidate>& candidates) {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return exclusion.excluded.count(candidate.upstream) > 0;
  });
}

bool Scheduler::PlaceGang(Entry& entry, const StepId& id, TimePoint now,
                          const Reserved& reserved, Orders& orders) {
  const wire::StepSpec& step = entry.job.step(id.step);
  Unit& unit = entry.unit(id.occurrence, id.step);
  std::vector<Candidate> found =
      Candidates(entry, id, unit.advice, now, reserved);
  if (step.one_rack) {
    // The rack with the most room first; the gang may span racks only when no
    // single one can take it.
    std::map<std::string, int32_t> room;
    for (const auto& c : found) room[pool_.at(c.upstream).entry.rack] += c.fit;
    std::stable_sort(found.begin(), found.end(),
                     [&](const auto& a, const auto& b) {
                       return room[pool_.at(a.upstream).entry.rack] >
                              room[pool_.at(b.upstream).entry.rack];
                     });
  }
  DropExcluded(unit.exclusion, found);
  int64_t total = 0;
  for (const Candidate& candidate : found) total += candidate.fit;
  if (total < step.tasks) return false;
  if (HasCrashSuspect(entry, id) &&
      !KeepForQuarantine(entry, step, found, now)) {
    return false;
  }
  const int64_t attempt =
      std::max(entry.job.LastAttempt(id), options_.attempt_base) + 1;
  int32_t index = 0;
  for (const Candidate& candidate : found) {
    for (int32_t n = 0; n < candidate.fit && index < step.tasks; ++n) {
      StartTask(entry, {id.job, id.occurrence, id.step, index++},
                candidate.upstream, attempt, now, orders);
    }
  }
  Refresh(entry, id.occurrence, id.step);
  return true;
}

void Scheduler::PlaceTasks(Entry& entry, const StepId& id, TimePoint now,
                           const Reserved& reserved, Orders& orders) {
  const wire::StepSpec& step = entry.job.step(id.step);
  const Unit& unit = entry.unit(id.occurrence, id.step);
  std::vector<Candidate> found =
      Candidates(entry, id, unit.advice, now, reserved);
  std::vector<Candidate> retries = found;
  DropExcluded(unit.exclusion, retries);
  const auto next = [](std::vector<Candidate>& from) -> Candidate* {
    for (Candidate& candidate : from) {
      if (candidate.fit > 0) return &candidate;
    }
    return nullptr;
  };
  const auto take = [](std::vector<Candidate>& from, UpstreamIndex upstream) {
    for (Candidate& candidate : from) {
      if (candidate.upstream == upstream) --candidate.fit;
    }
  };
  for (int32_t i = 0; i < step.tasks; ++i) {
    const TaskId task_id{id.job, id.occurrence, id.step, i};
    const Task& task = entry.job.task(task_id);
    if (task.phase != TaskPhase::kWaiting) continue;
    const bool again = task.failures() > 0;
    std::vector<Candidate>& from = again ? retries : found;
    const bool suspect = task.crashes.suspect();
    const Candidate* pick =
        suspect ? PickForQuarantine(entry, from, now) : next(from);
    if (pick == nullptr && (again || suspect)) continue;
    if (pick == nullptr) break;
    const UpstreamIndex upstream = pick->upstream;
    StartTask(entry, task_id, upstream,
              std::max(task.LastAttempt(), options_.attempt_base) + 1, now,
              orders);
    take(found, upstream);
    take(retries, upstream);
  }
  Refresh(entry, id.occurrence, id.step);
}

Scheduler::StepFailures Scheduler::FailuresOf(const Entry& entry,
                                              const StepId& id) const {
  StepFailures out;
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    const Task& task = entry.job.task({id.job, id.occurrence, id.step, i});
    out.any = out.any || task.failures() > 0;
    if (task.failed_at != kNoUpstream) out.places.insert(task.failed_at);
  }
  return out;
}

void Scheduler::UpdateExclusion(Entry& entry, const StepId& id, TimePoint now) {
  const wire::StepSpec& step = entry.job.step(id.step);
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (now < unit.exclusion.until) return;
  StepFailures failures = FailuresOf(entry, id);
  if (!failures.any && !step.gang) return;
  unit.exclusion = {.until = now + kExclusionAge};
  std::set<UpstreamIndex>& excluded = failures.places;
  const bool advised = entry.job.queue().advised;
  int64_t elsewhere = 0;
  int64_t with_trials = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    if (!it.TakesWork() || !Suits(upstream, entry, step)) continue;
    const bool unknown = unit.advice.upstreams.count(upstream) == 0;
    if (advised && !unknown && !unit.advice.Allowed(upstream)) continue;
    const int32_t most = MostTasks(step, it.capacity);
    const bool suspect = it.health.consecutive_failures > 0;
    with_trials += suspect ? std::min(most, 1) : most;
    if (suspect) excluded.insert(upstream);
    if (excluded.count(upstream) == 0) elsewhere += most;
  }
  // With nothing better to be had, now or by asking, anything will do: a step
  // that never tried again would wait for ever.
  const int32_t needed = step.gang ? step.tasks : 1;
  if (failures.any && elsewhere >= needed) {
    unit.exclusion.excluded = std::move(excluded);
  }
  unit.exclusion.trusts_suspects = step.gang && with_trials < needed;
}

void Scheduler::StartTask(Entry& entry, const TaskId& id,
                          UpstreamIndex upstream, int64_t attempt,
                          TimePoint now, Orders& orders) {
  Job& job = entry.job;
  Task& task = job.task(id);
  task.attempt = attempt;
  task.upstream = upstream;
  task.progressed_at = now;
  task.percent = 0;
  job.SetPhase(id, TaskPhase::kStarting);
  task.rate_since = {};
  task.expected_end = ExpectedEnd(job.step(id.step), now);
  pool_.Reserve(upstream, id, attempt,
                {.amount = TaskRoom(job.step(id.step)),
                 .ends = task.expected_end,
                 .since = now});
  pool_.NoteStart(upstream);
  StartOrder order{.upstream = upstream,
                   .task = id,
                   .attempt = attempt,
                   .payload = job.spec().payload,
                   .checkpoint = task.checkpoint};
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  if (const std::string* ticket = advice.Ticket(upstream, now)) {
    order.ticket = *ticket;
  }
  orders.starts.push_back(std::move(order));
}

const GangPlan& Scheduler::UpdatePlan(Entry& entry, const StepId& id,
                                      TimePoint now, const Reserved& reserved) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  if (now >= unit.plan_until) {
    unit.plan = PlanFor(entry, id, now, reserved);
    unit.plan_until = now + kPlanAge;
  }
  return unit.plan;
}

GangPlan Scheduler::PlanFor(const Entry& entry, const StepId& id, TimePoint now,
                            const Reserved& reserved) const {
  const Unit& unit = entry.unit(id.occurrence, id.step);
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice = unit.advice;
  const Amount size = TaskRoom(step);
  std::vector<SlotTimes> slots;
  const auto consider = [&](UpstreamIndex upstream) {
    const Upstream& it = pool_.at(upstream);
    if (!it.TakesWork()) return;
    if (unit.exclusion.excluded.count(upstream) > 0) return;
    if (!Suits(upstream, entry, step)) return;
    const auto held_back = reserved.find(upstream);
    const Amount blocked =
        held_back == reserved.end() ? Amount{} : held_back->second.amount;
    int32_t most =
        step.max_per_upstream > 0 ? step.max_per_upstream : step.tasks;
    if (!unit.exclusion.trusts_suspects) {
      most = std::min(most, std::max(1, pool_.ProbesLeft(upstream)));
    }
    slots.push_back(FindSlots(pool_, upstream, size, blocked, most, now));
  };
  if (!entry.job.queue().advised) {
    for (const UpstreamIndex upstream : pool_.all()) consider(upstream);
  } else {
    for (const auto& [upstream, said] : advice.upstreams) {
      if (said.allowed) consider(upstream);
    }
  }
  return EarliestPlan(slots, step.tasks);
}

bool Scheduler::TakeWaitingRoom(const wire::StepSpec& step) {
  if (waitable_ <= 0) return false;
  waitable_ -=
      static_cast<int64_t>(step.tasks) * TaskRoom(step)[Dimension::kCores];
  return true;
}

void Scheduler::ReserveForGang(const wire::StepSpec& step, const GangPlan& plan,
                               Reserved& reserved) {
  const Amount size = TaskRoom(step);
  for (const auto& [upstream, tasks] : plan.places) {
    HeldBack& held_back = reserved[upstream];
    for (int32_t n = 0; n < tasks; ++n) held_back.amount += size;
    held_back.until = std::min(held_back.until, plan.ready);
  }
}

std::string Scheduler::Explain(const Entry& entry, const StepId& id,
                               TimePoint now) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  int suits = 0;
  int usable = 0;
  int allowed = 0;
  int tickets = 0;
  int64_t fit_now = 0;
  int64_t fit_allowed = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!Suits(upstream, entry, step)) continue;
    ++suits;
    if (!pool_.Usable(upstream, now)) continue;
    ++usable;
    const int32_t fit = Fit(upstream, entry, id, pool_.at(upstream).free);
    fit_now += fit;
    if (!advice.Allowed(upstream)) continue;
    ++allowed;
    fit_allowed += fit;
    if (advice.Ticket(upstream, now) != nullptr) ++tickets;
  }
  const StepCounts& run = entry.job.step_counts(id.occurrence, id.step);
  std::string out = "waiting " + std::to_string(run.waiting) + " of " +
                    std::to_string(step.tasks) + (step.gang ? " (gang)" : "") +
                    ", upstreams " + std::to_string(suits) + ", usable " +
                    std::to_string(usable) + ", room for " +
                    std::to_string(fit_now);
  if (!entry.job.queue().advised) return out;
  return out + ", asked " + std::to_string(advice.upstreams.size()) +
         ", allowed " + std::to_string(allowed) + " with room for " +
         std::to_string(fit_allowed) + ", tickets " + std::to_string(tickets) +
         (advice.calls > 0 ? ", asking" : "");
}

std::vector<std::pair<StepId, std::string>> Scheduler::ExplainWaiting(
    size_t most, TimePoint now) const {
  std::vector<UnitKey> oldest(queue_.begin(), queue_.end());
  std::sort(oldest.begin(), oldest.end(), [&](const auto& a, const auto& b) {
    return std::pair(jobs_.at(a.id.job)->accepted, a.id) <
           std::pair(jobs_.at(b.id.job)->accepted, b.id);
  });
  if (oldest.size() > most) oldest.resize(most);
  std::vector<std::pair<StepId, std::string>> out;
  for (const UnitKey& key : oldest) {
    out.emplace_back(key.id, Explain(*jobs_.at(key.id.job), key.id, now));
  }
  return out;
}

}  // namespace mimosarail::scheduling
