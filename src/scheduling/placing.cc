// The part of Scheduler that places tasks: which waiting tasks start where, and
// for which gangs capacity is reserved.

#include <algorithm>

#include "src/scheduling/quarantine.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Fraction of all cores that may be reserved for waiting gangs at a time.
/// Gangs further back in the queue start only if there is free capacity for all
/// their tasks at once. They make no advice call to find out where to wait,
/// because the tickets would expire before their turn.
constexpr double kMaxReservedShare = 0.4;
/// Cost of running outside the rack of the step's data. Exceeds the cost of the
/// worst fit, which is 1.5.
constexpr double kOtherRackCost = 4;
/// Weight of free memory in the cost of a fit; free cores have a weight of 1.
constexpr double kMemoryWeight = 0.5;
/// Cost of an urgent task that uses capacity reserved for a waiting gang.
/// Urgent work goes first, but can usually run elsewhere.
constexpr double kGangReservationCost = 2;
/// The plan of a waiting gang is recomputed after this time. Tasks run for 0.6
/// s and more, so that the predicted capacity hardly changes meanwhile. There
/// are up to 500 passes a second. Recomputing plans in each one would take 18 %
/// of the time of a leader of 540 upstreams, and 62 % together with the checks
/// for missing advice (kAdviceCheckInterval).
constexpr Millis kPlanMaxAge{20};
/// Returns the size of the start of a task, without checkpoint and ticket.
int64_t TaskStartBytes(const Job& job) {
  return kStartOverheadBytes + static_cast<int64_t>(job.spec().payload.size());
}

double Fraction(int32_t part, int32_t whole) {
  return whole <= 0 ? 0.0 : static_cast<double>(part) / whole;
}

}  // namespace

int64_t StartBytes(const StartOrder& order) {
  return kStartOverheadBytes +
         static_cast<int64_t>(order.payload.size() + order.checkpoint.size() +
                              order.ticket.size());
}

bool Scheduler::Matches(UpstreamIndex upstream, const JobRecord& record,
                        const wire::StepSpec& step) const {
  const ports::UpstreamEntry& it = pool_.at(upstream).entry;
  if (it.pool != record.job.queue().pool) return false;
  return step.label.empty() || std::find(it.labels.begin(), it.labels.end(),
                                         step.label) != it.labels.end();
}

int32_t Scheduler::FittingTasks(UpstreamIndex upstream, const JobRecord& record,
                                const StepId& id, const Amount& free,
                                TimePoint now) const {
  const wire::StepSpec& step = record.job.step(id.step);
  int32_t fit = FitCount(free, TaskResources(step));
  if (step.max_per_upstream > 0 && fit > 0) {
    fit = std::min(fit,
                   step.max_per_upstream - pool_.ReservedTasks(upstream, id));
  }
  if (pool_.at(upstream).health.HoldsBack(id, now)) return 0;
  if (!record.step_state(id.occurrence, id.step).exclusion.allows_suspects) {
    fit = std::min(fit, pool_.MaxStarts(upstream, now));
  }
  return std::max(0, fit);
}

bool Scheduler::UsesGangReservation(UpstreamIndex upstream,
                                    const Amount& size) const {
  const auto gang_reserved = gang_reserved_.find(upstream);
  if (gang_reserved == gang_reserved_.end()) return false;
  Amount left = pool_.at(upstream).free;
  left -= gang_reserved->second;
  return !size.FitsIn(left);
}

double Scheduler::Score(UpstreamIndex upstream, const JobRecord& record,
                        const wire::StepSpec& step) const {
  const Upstream& it = pool_.at(upstream);
  const Amount size = TaskResources(step);
  const auto left_free = [&](Dimension d) {
    return Fraction(it.free[d] - size[d], it.capacity[d]);
  };
  double score = left_free(Dimension::kCores) +
                 kMemoryWeight * left_free(Dimension::kMemory);
  if (!step.data_rack.empty() && it.entry.rack != step.data_rack) {
    score += kOtherRackCost;
  }
  if (record.job.queue().priority == 0 && UsesGangReservation(upstream, size)) {
    score += kGangReservationCost;
  }
  return score;
}

Amount Scheduler::CapacityFor(const JobRecord& record, const StepId& id,
                              UpstreamIndex upstream, Amount free,
                              TimePoint now,
                              const PassReservations& reserved) const {
  const PassReservation* reservation = reserved.Find(upstream);
  if (reservation == nullptr) return free;
  // A task that ends before the gang needs the capacity may use it meanwhile.
  const auto& needs = record.step_state(id.occurrence, id.step).speed_needs;
  const TimePoint end =
      needs ? now + needs->RunTime(pool_.speeds().Factor(upstream))
            : ExpectedEnd(record.job.step(id.step), now);
  if (end <= reservation->needed_at) return free;
  free -= reservation->amount;
  return free;
}

std::vector<Candidate> Scheduler::Candidates(
    const JobRecord& record, const StepId& id, const StepAdvice& advice,
    TimePoint now, const PassReservations& reserved) const {
  std::vector<Candidate> out;
  const wire::StepSpec& step = record.job.step(id.step);
  const bool advised = record.job.queue().advised;
  const auto& needs = record.step_state(id.occurrence, id.step).speed_needs;
  const Amount size = TaskResources(step);
  const auto consider = [&](UpstreamIndex upstream) {
    if (FitCount(pool_.at(upstream).free, size) == 0) return;
    if (!pool_.Usable(upstream, now) || !Matches(upstream, record, step)) {
      return;
    }
    if (pool_.QuarantinedForOtherJob(upstream, record.job.id(), now)) return;
    const Amount free = CapacityFor(record, id, upstream,
                                    pool_.at(upstream).free, now, reserved);
    const int32_t fit = FittingTasks(upstream, record, id, free, now);
    if (fit == 0) return;
    double score = Score(upstream, record, step);
    if (needs) score += SpeedCost(*needs, pool_.speeds().Speed(upstream));
    out.push_back({upstream, fit, score});
  };
  if (!advised) {
    for (const UpstreamIndex upstream : pool_.all()) consider(upstream);
  } else {
    for (const auto& [upstream, upstream_advice] : advice.upstreams) {
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

void Scheduler::Place(TimePoint now, AdviceBudget budget, Orders& orders,
                      StartBudget starts) {
  advice_left_ = budget;
  starts_left_ = starts;
  int64_t total_millicores = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    total_millicores += pool_.at(upstream).capacity[Dimension::kCores];
  }
  PassReservations reserved(static_cast<int64_t>(
      kMaxReservedShare * static_cast<double>(total_millicores)));
  accounts_at_limit_.clear();
  if (options_.queue_order == QueueOrder::kDelayCost) {
    PlaceByDelayCost(now, reserved, orders);
  } else {
    PlaceFromFront(now, reserved, orders);
  }
  gang_reserved_.clear();
  gang_reserved_millicores_ = 0;
  for (const auto& [upstream, reservation] : reserved.by_upstream()) {
    gang_reserved_.emplace(upstream, reservation.amount);
    gang_reserved_millicores_ +=
        std::clamp(reservation.amount[Dimension::kCores], 0,
                   std::max(0, pool_.at(upstream).free[Dimension::kCores]));
  }
}

void Scheduler::PlaceFromFront(TimePoint now, PassReservations& reserved,
                               Orders& orders) {
  int visited = 0;
  for (auto at = queue_.begin(); at != queue_.end();) {
    if (accounts_at_limit_.count(at->account) > 0) {
      ++at;
      continue;
    }
    if (++visited > kMaxStepsPerPass) break;
    const StepId id = at->id;
    // Advances first: placing may remove this step, but no other one, from the
    // queue.
    ++at;
    PlaceStep(*jobs_.at(id.job), id, now, reserved, orders);
    if (orders.awaited_start_bytes) break;
  }
}

bool Scheduler::StartsPermitted(const JobRecord& record, int32_t tasks,
                                Orders& orders) {
  const int64_t needed = tasks * TaskStartBytes(record.job);
  if (starts_left_.Permits(needed)) return true;
  orders.awaited_start_bytes = starts_left_.Required(needed);
  return false;
}

std::map<int32_t, int64_t> Scheduler::WaitingStartBytes() const {
  std::map<int32_t, int64_t> out;
  for (const QueueKey& key : queue_) {
    const Job& job = jobs_.at(key.id.job)->job;
    out[job.queue().priority] +=
        job.step_counts(key.id.occurrence, key.id.step).waiting *
        TaskStartBytes(job);
  }
  return out;
}

bool Scheduler::PlaceStep(JobRecord& record, const StepId& id, TimePoint now,
                          PassReservations& reserved, Orders& orders) {
  const bool gang = record.job.step(id.step).gang;
  if (AccountBlocks(record, id)) return false;
  if (DelayedRestarts(record, id, now) ==
      record.job.step_counts(id.occurrence, id.step).waiting) {
    return false;
  }
  UpdateExclusion(record, id, now);
  UpdateSpeedNeeds(record, id, now);
  if (gang) {
    if (PlaceGang(record, id, now, reserved, orders)) return true;
  } else {
    PlaceTasks(record, id, now, reserved, orders);
    if (record.job.step_counts(id.occurrence, id.step).waiting == 0) {
      return true;
    }
  }
  if (orders.awaited_start_bytes) return false;
  const wire::StepSpec& step = record.job.step(id.step);
  const bool may_wait = gang && reserved.UseBudget(step);
  const GangPlan no_plan;
  const GangPlan& plan =
      may_wait ? UpdatePlan(record, id, now, reserved) : no_plan;
  if (record.job.queue().advised) {
    OrderAdvice(record, id, now, may_wait, plan, reserved, orders);
  }
  if (plan.found()) reserved.Reserve(step, plan);
  return false;
}

RunCharge Scheduler::ChargeOf(const JobRecord& record, int32_t step) {
  const wire::StepSpec& spec = record.job.step(step);
  return {.account = record.account,
          .size = TaskCharge(spec),
          .long_running = spec.long_running};
}

int32_t Scheduler::TasksWithinLimit(const JobRecord& record,
                                    const StepId& id) const {
  const int32_t waiting =
      record.job.step_counts(id.occurrence, id.step).waiting;
  return std::min(waiting,
                  pool_.accounts().FreeTasks(
                      record.account, TaskCharge(record.job.step(id.step))));
}

bool Scheduler::AccountBlocks(const JobRecord& record, const StepId& id) {
  if (record.account == kNoAccount) return false;
  const wire::StepSpec& step = record.job.step(id.step);
  const int32_t needed = step.gang ? step.tasks : 1;
  if (TasksWithinLimit(record, id) >= needed) return false;
  // The account's later steps wait too. Otherwise a wide gang would wait for as
  // long as small steps of its account keep taking what becomes free. A step
  // that does not fit even after all runs have ended that end by themselves
  // would block them forever.
  if (pool_.accounts().FitsBesideLongRunning(record.account, TaskCharge(step),
                                             needed)) {
    accounts_at_limit_.insert(record.account);
  }
  return true;
}

bool Scheduler::PlaceGang(JobRecord& record, const StepId& id, TimePoint now,
                          const PassReservations& reserved, Orders& orders) {
  const wire::StepSpec& step = record.job.step(id.step);
  StepState& step_state = record.step_state(id.occurrence, id.step);
  std::vector<Candidate> found =
      Candidates(record, id, step_state.advice, now, reserved);
  const auto& needs = step_state.speed_needs;
  if (needs) OrderBySpeed(step, *needs, found);
  if (step.one_rack) {
    // Uses the rack that fits the most tasks first, so that the gang normally
    // spans racks only if no single rack can take it.
    std::map<std::string, int32_t> free_by_rack;
    for (const auto& c : found) {
      free_by_rack[pool_.at(c.upstream).entry.rack] += c.fitting_tasks;
    }
    std::stable_sort(found.begin(), found.end(),
                     [&](const auto& a, const auto& b) {
                       return free_by_rack[pool_.at(a.upstream).entry.rack] >
                              free_by_rack[pool_.at(b.upstream).entry.rack];
                     });
  }
  RemoveExcluded(step_state.exclusion, found);
  int64_t total = 0;
  for (const Candidate& candidate : found) total += candidate.fitting_tasks;
  if (total < step.tasks) return false;
  if (needs && GangWaitsForFaster(record, id, found, now, reserved)) {
    return false;
  }
  if (!StartsPermitted(record, step.tasks, orders)) return false;
  if (HasCrashSuspect(record, id) &&
      !SelectForQuarantine(pool_, record.job.id(), step.tasks, found, now)) {
    return false;
  }
  const int64_t attempt =
      std::max(record.job.LastAttempt(id), options_.attempt_base) + 1;
  int32_t index = 0;
  for (const Candidate& candidate : found) {
    for (int32_t n = 0; n < candidate.fitting_tasks && index < step.tasks;
         ++n) {
      StartTask(record, {id.job, id.occurrence, id.step, index++},
                candidate.upstream, attempt, now, orders);
    }
  }
  UpdateQueued(record, id.occurrence, id.step);
  return true;
}

void Scheduler::PlaceTasks(JobRecord& record, const StepId& id, TimePoint now,
                           const PassReservations& reserved, Orders& orders) {
  const wire::StepSpec& step = record.job.step(id.step);
  const StepState& step_state = record.step_state(id.occurrence, id.step);
  std::vector<Candidate> found =
      Candidates(record, id, step_state.advice, now, reserved);
  // Candidates for tasks that have failed before.
  std::vector<Candidate> retry_candidates = found;
  RemoveExcluded(step_state.exclusion, retry_candidates);
  const auto first_fitting = [](std::vector<Candidate>& from) -> Candidate* {
    for (Candidate& candidate : from) {
      if (candidate.fitting_tasks > 0) return &candidate;
    }
    return nullptr;
  };
  const auto deduct_task = [](std::vector<Candidate>& from,
                              UpstreamIndex upstream) {
    for (Candidate& candidate : from) {
      if (candidate.upstream == upstream) --candidate.fitting_tasks;
    }
  };
  const auto& needs = step_state.speed_needs;
  int32_t may_start = TasksWithinLimit(record, id);
  for (int32_t i = 0; i < step.tasks && may_start > 0; ++i) {
    const TaskId task_id{id.job, id.occurrence, id.step, i};
    const Task& task = record.job.task(task_id);
    if (task.phase != TaskPhase::kWaiting || now < task.earliest_start ||
        AwaitsEvidence(task) || earlier_runs_.IsRunning(task_id, pool_)) {
      continue;
    }
    const bool retry = task.failures() > 0;
    const bool must_avoid =
        now < task.avoids_since + step_state.exclusion.max_avoidance;
    const bool avoids =
        retry && (must_avoid || first_fitting(retry_candidates) != nullptr);
    std::vector<Candidate>& from = avoids ? retry_candidates : found;
    const bool suspect = task.crashes.suspect();
    if (first_fitting(from) != nullptr && !StartsPermitted(record, 1, orders)) {
      break;
    }
    const Candidate* pick =
        suspect ? PickForQuarantine(pool_, record.job.id(), from, now)
                : first_fitting(from);
    // Other tasks may still find an upstream where this one found none.
    if (pick == nullptr && (retry || suspect)) continue;
    if (pick == nullptr) break;
    const UpstreamIndex upstream = pick->upstream;
    if (needs && WaitsForFaster(record, id, *needs, upstream, now)) {
      StepState& waiting = record.step_state(id.occurrence, id.step);
      if (!waiting.waits_for_faster_since) waiting.waits_for_faster_since = now;
      break;
    }
    StartTask(record, task_id, upstream,
              std::max(task.LastAttempt(), options_.attempt_base) + 1, now,
              orders);
    --may_start;
    deduct_task(found, upstream);
    deduct_task(retry_candidates, upstream);
  }
  UpdateQueued(record, id.occurrence, id.step);
}

void Scheduler::StartTask(JobRecord& record, const TaskId& id,
                          UpstreamIndex upstream, int64_t attempt,
                          TimePoint now, Orders& orders) {
  Job& job = record.job;
  Task& task = job.MutableTask(id);
  task.attempt = attempt;
  task.upstream = upstream;
  task.progressed_at = now;
  task.percent = 0;
  job.SetPhase(id, TaskPhase::kStarting);
  task.rate_base_time = {};
  task.expected_end = ExpectedEndOn(upstream, record, id.step, now);
  pool_.Reserve(upstream, id, attempt,
                {.amount = TaskResources(job.step(id.step)),
                 .charge = ChargeOf(record, id.step),
                 .expected_end = task.expected_end,
                 .reserved_at = now,
                 .resumed = !task.checkpoint.empty()});
  UpstreamHealth& health = pool_.at(upstream).health;
  if (IsAtFault(record, id.step_id())) {
    health.NoteStartOfFaultyStep(id.step_id(), now);
  } else {
    health.NoteStartOrdered(now);
  }
  StartOrder order{.upstream = upstream,
                   .task = id,
                   .attempt = attempt,
                   .payload = job.spec().payload,
                   .checkpoint = task.checkpoint};
  if (speeds_active_) order.speed_factor = pool_.speeds().Factor(upstream);
  const StepAdvice& advice = record.step_state(id.occurrence, id.step).advice;
  if (const std::string* ticket = advice.Ticket(upstream, now)) {
    order.ticket = *ticket;
  }
  starts_left_.bytes -= StartBytes(order);
  orders.starts.push_back(std::move(order));
}

const GangPlan& Scheduler::UpdatePlan(JobRecord& record, const StepId& id,
                                      TimePoint now,
                                      const PassReservations& reserved) {
  StepState& step_state = record.step_state(id.occurrence, id.step);
  if (now >= step_state.plan_valid_until) {
    step_state.plan = PlanFor(record, id, now, reserved);
    step_state.plan_valid_until = now + kPlanMaxAge;
  }
  return step_state.plan;
}

GangPlan Scheduler::PlanFor(const JobRecord& record, const StepId& id,
                            TimePoint now,
                            const PassReservations& reserved) const {
  const StepState& step_state = record.step_state(id.occurrence, id.step);
  const wire::StepSpec& step = record.job.step(id.step);
  const StepAdvice& advice = step_state.advice;
  const Amount size = TaskResources(step);
  std::vector<SlotTimes> slots;
  const auto consider = [&](UpstreamIndex upstream) {
    const Upstream& it = pool_.at(upstream);
    if (!it.AcceptsWork()) return;
    if (step_state.exclusion.excluded.count(upstream) > 0) return;
    if (!Matches(upstream, record, step)) return;
    const PassReservation* reservation = reserved.Find(upstream);
    const Amount blocked =
        reservation == nullptr ? Amount{} : reservation->amount;
    int32_t max_tasks =
        step.max_per_upstream > 0 ? step.max_per_upstream : step.tasks;
    if (!step_state.exclusion.allows_suspects) {
      max_tasks =
          std::min(max_tasks, std::max(1, pool_.MaxStarts(upstream, now)));
    }
    slots.push_back(FindSlots(pool_, upstream, size, blocked, max_tasks, now));
  };
  if (!record.job.queue().advised) {
    for (const UpstreamIndex upstream : pool_.all()) consider(upstream);
  } else {
    for (const auto& [upstream, upstream_advice] : advice.upstreams) {
      if (upstream_advice.allowed) consider(upstream);
    }
  }
  return step_state.speed_needs
             ? PlanBySpeed(slots, step.tasks, *step_state.speed_needs)
             : EarliestPlan(slots, step.tasks);
}

}  // namespace mimosarail::scheduling
