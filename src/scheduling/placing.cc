// The placing half of Scheduler: which waiting tasks start where, and which
// advice is missing for it.

#include <algorithm>
#include <cmath>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Units looked at in one pass; the rest keeps for the next one. Bounds the
/// time of a pass when thousands wait.
constexpr int kUnitsPerPass = 300;
/// A ticket must still be good for this long when a start is sent: it travels
/// and may wait for a connection.
constexpr Millis kTicketMargin{60};
/// Calls for advice that failed are repeated after this.
constexpr Millis kAskAgain{150};
/// A gang renews tickets for so much more than it needs, and is taken to have
/// room when it has so much more: some is lost while the call is under way.
constexpr double kGangRenewMargin = 1.5;
constexpr double kGangRoomMargin = 1.1;
/// Tickets that run out within this are renewed with the others. A call for a
/// gang takes 0.5 to 0.8 s.
constexpr Millis kGangTicketLeft{800};
/// Part of the room seen when a call goes out that is still there at its end.
constexpr double kRoomLeft = 0.8;
/// A gang asks about at least so many upstreams that the call takes half as
/// long again as the shortest one.
constexpr double kLeastGangAsk = 1.0;
constexpr double kLeastAdviceMs = 0.01;
/// Most upstreams that one call for advice names; the adviser takes 100. A
/// call for 50 takes 0.5 to 0.8 s where calls are longest, and tickets are good
/// for 1.5 s.
constexpr size_t kMostPerCall = 50;
/// An adviser that seems to allow less is asked as if it allowed this much.
constexpr double kLeastRate = 0.05;
/// So many standard deviations more than the mean is asked for: a second call
/// costs its whole base time again, a few upstreams more cost little.
constexpr double kAskDeviations = 1.3;
/// Room on allowed upstreams is renewed for this multiple of the need, since
/// some of it is taken while the call is under way.
constexpr double kRenewMargin = 1.3;
/// Part of all cores that waiting gangs together may hold back from others.
constexpr double kReservedShare = 0.4;
/// Cost of standing outside of the rack of the data or of the gang, against
/// at most 1.5 for the worst fit.
constexpr double kOtherRackCost = 4;
/// Cost of one multiple of slowness.
constexpr double kSlownessCost = 2;
constexpr double kMemoryWeight = 0.5;

int32_t Times(const Amount& room, const Amount& size) {
  int32_t fit = kMaxStepTasks;
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    if (size.of[d] <= 0) continue;
    fit = std::min(fit, std::max(0, room.of[d]) / size.of[d]);
  }
  return fit;
}

/// Sum of what upstreams would take if each were allowed with some rate.
struct Expectation {
  double mean = 0;
  double variance = 0;
  void Add(double rate, double fit) {
    mean += rate * fit;
    variance += rate * (1 - rate) * fit * fit;
  }
  double Likely(double deviations) const {
    return mean - deviations * std::sqrt(variance);
  }
};

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
  return std::max(0, std::min(fit, pool_.TrialsLeft(upstream)));
}

double Scheduler::Score(UpstreamIndex upstream,
                        const wire::StepSpec& step) const {
  const Upstream& it = pool_.at(upstream);
  const Amount size = TaskRoom(step);
  const auto left = [&](Dimension d) {
    return Share(it.free[d] - size[d], it.capacity[d]);
  };
  double score =
      left(Dimension::kCores) + kMemoryWeight * left(Dimension::kMemory);
  score += kSlownessCost * std::max(0.0, it.health.slowness - 1);
  if (!step.data_rack.empty() && it.entry.rack != step.data_rack) {
    score += kOtherRackCost;
  }
  return score;
}

std::vector<Scheduler::Candidate> Scheduler::Candidates(
    const Entry& entry, const StepId& id, const StepAdvice& advice,
    TimePoint now, const Reserved& reserved) const {
  std::vector<Candidate> out;
  const wire::StepSpec& step = entry.job.step(id.step);
  const bool advised = entry.job.queue().advised;
  const auto consider = [&](UpstreamIndex upstream) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) return;
    Amount room = pool_.at(upstream).free;
    const auto held_back = reserved.find(upstream);
    if (held_back != reserved.end()) room -= held_back->second;
    const int32_t fit = Fit(upstream, entry, id, room);
    if (fit == 0) return;
    out.push_back({upstream, fit, Score(upstream, step)});
  };
  if (!advised) {
    for (const UpstreamIndex upstream : pool_.all()) consider(upstream);
  } else {
    for (const auto& [upstream, said] : advice.upstreams) {
      if (said.allowed && said.valid_until > now + kTicketMargin) {
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
  int looked = 0;
  for (auto at = queue_.begin(); at != queue_.end();) {
    if (++looked > kUnitsPerPass) break;
    const StepId id = at->id;
    // Placing takes the unit itself out of the queue at most.
    ++at;
    PlaceUnit(*jobs_.at(id.job), id, now, reserved, orders);
  }
}

bool Scheduler::AdviceCallLeft(int32_t priority, Millis expected) const {
  if (priority == 0 && advice_left_.urgent_only > 0) return true;
  if (advice_left_.any == 0) return false;
  return expected <= kLongAdvice || advice_left_.long_calls > 0;
}

bool Scheduler::TakeAdviceCall(int32_t priority, Millis expected) {
  if (!AdviceCallLeft(priority, expected)) return false;
  if (priority == 0 && advice_left_.urgent_only > 0) {
    --advice_left_.urgent_only;
    return true;
  }
  --advice_left_.any;
  if (expected > kLongAdvice) --advice_left_.long_calls;
  return true;
}

bool Scheduler::PlaceUnit(Entry& entry, const StepId& id, TimePoint now,
                          Reserved& reserved, Orders& orders) {
  const bool gang = entry.job.step(id.step).gang;
  if (gang) {
    if (PlaceGang(entry, id, now, reserved, orders)) return true;
  } else {
    PlaceTasks(entry, id, now, reserved, orders);
    if (entry.job.run(id.occurrence, id.step).waiting == 0) return true;
  }
  if (entry.job.queue().advised) AskAdvice(entry, id, now, reserved, orders);
  if (gang) {
    ReserveForGang(entry, id, entry.unit(id.occurrence, id.step).advice,
                   reserved);
  }
  return false;
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
    std::stable_sort(found.begin(), found.end(), [&](const auto& a,
                                                     const auto& b) {
      return room[pool_.at(a.upstream).entry.rack] >
             room[pool_.at(b.upstream).entry.rack];
    });
  }
  AvoidFailures(entry, id, found);
  int64_t total = 0;
  for (const Candidate& candidate : found) total += candidate.fit;
  if (total < step.tasks) return false;
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
  AvoidFailures(entry, id, retries);
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
    const Candidate* pick = next(again ? retries : found);
    if (pick == nullptr && again) continue;
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

bool Scheduler::FailedOn(const Entry& entry, const StepId& id,
                         UpstreamIndex upstream) const {
  for (int32_t i = 0; i < entry.job.step(id.step).tasks; ++i) {
    const Task& task =
        entry.job.task({id.job, id.occurrence, id.step, i});
    if (task.failed_at == upstream) return true;
  }
  return false;
}

void Scheduler::AvoidFailures(const Entry& entry, const StepId& id,
                              std::vector<Candidate>& found) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  bool failed = false;
  for (int32_t i = 0; i < step.tasks && !failed; ++i) {
    failed = entry.job.task({id.job, id.occurrence, id.step, i}).failures() > 0;
  }
  if (!failed) return;
  const auto avoid = [&](UpstreamIndex upstream) {
    return pool_.at(upstream).health.streak > 0 ||
           FailedOn(entry, id, upstream);
  };
  // With nothing better to be had, now or by asking, anything will do: a step
  // that never tried again would wait for ever.
  const StepAdvice& advice =
      jobs_.at(id.job)->unit(id.occurrence, id.step).advice;
  int64_t elsewhere = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    if (!it.reachable || !it.listed || it.entry.draining) continue;
    if (avoid(upstream) || !Suits(upstream, entry, step)) continue;
    const bool unknown = entry.job.queue().advised &&
                         advice.upstreams.count(upstream) == 0;
    const bool allowed =
        !entry.job.queue().advised || advice.Allowed(upstream);
    if (unknown || allowed) elsewhere += Times(it.capacity, TaskRoom(step));
  }
  if (elsewhere < (step.gang ? step.tasks : 1)) return;
  std::erase_if(found,
                [&](const Candidate& c) { return avoid(c.upstream); });
}

void Scheduler::StartTask(Entry& entry, const TaskId& id,
                          UpstreamIndex upstream, int64_t attempt,
                          TimePoint now, Orders& orders) {
  Job& job = entry.job;
  Task& task = job.task(id);
  task.attempt = attempt;
  task.upstream = upstream;
  task.started = now;
  task.moved = now;
  task.percent = 0;
  job.SetPhase(id, TaskPhase::kStarting);
  pool_.Hold(upstream, id, attempt, TaskRoom(job.step(id.step)));
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

void Scheduler::ReserveForGang(const Entry& entry, const StepId& id,
                               const StepAdvice& advice, Reserved& reserved) {
  const wire::StepSpec& step = entry.job.step(id.step);
  const Amount size = TaskRoom(step);
  struct Room {
    UpstreamIndex upstream;
    int32_t now;
    int32_t whole;
    int32_t free_cores;
  };
  std::vector<Room> rooms;
  int64_t whole = 0;
  int64_t all_cores = 0;
  int64_t reserved_cores = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    all_cores += it.capacity[Dimension::kCores];
    Amount free = it.free;
    Amount most = it.capacity;
    const auto other = reserved.find(upstream);
    if (other != reserved.end()) {
      reserved_cores += other->second[Dimension::kCores];
      free -= other->second;
      most -= other->second;
    }
    if (entry.job.queue().advised && !advice.Allowed(upstream)) continue;
    if (!it.reachable || !it.listed || it.entry.draining) continue;
    if (!Suits(upstream, entry, step)) continue;
    const int32_t fit = Times(most, size);
    if (fit == 0) continue;
    rooms.push_back(
        {upstream, Times(free, size), fit, free[Dimension::kCores]});
    whole += fit;
  }
  const int64_t wanted =
      static_cast<int64_t>(step.tasks) * size[Dimension::kCores];
  const auto limit =
      static_cast<int64_t>(kReservedShare * static_cast<double>(all_cores));
  if (whole < step.tasks || reserved_cores + wanted > limit) return;
  // Those with the most room come first, so that the choice stays the same
  // from pass to pass while their room grows.
  std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) {
    return std::pair(-a.free_cores, a.upstream) <
           std::pair(-b.free_cores, b.upstream);
  });
  int32_t left = step.tasks;
  // Room that is there is held first; what is missing has to drain.
  for (const Room& room : rooms) {
    for (int32_t n = 0; n < room.whole && left > 0; ++n, --left) {
      reserved[room.upstream] += size;
    }
  }
}

struct Scheduler::AdviceNeed {
  struct Choice {
    UpstreamIndex upstream;
    int32_t now_fit;
    int32_t whole_fit;
  };
  /// Allowed, with a ticket that has run out.
  std::vector<Choice> expired;
  /// Never asked about.
  std::vector<Choice> unknown;
  /// Tasks that fit now where there is a good ticket.
  double have_now = 0;
  /// Tasks that fit now, or at best, where the step is allowed.
  double known_now = 0;
  double known_whole = 0;
};

Scheduler::AdviceNeed Scheduler::FindAdviceNeed(
    const Entry& entry, const StepId& id, TimePoint now,
    const Reserved& reserved) const {
  AdviceNeed out;
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice =
      jobs_.at(id.job)->unit(id.occurrence, id.step).advice;
  // What failed a task of the step is no place for its next try, as long as
  // others are left to ask about.
  const bool retry_elsewhere = std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex upstream) {
        return pool_.Usable(upstream, now) && Suits(upstream, entry, step) &&
               (advice.upstreams.count(upstream) == 0 ||
                advice.Allowed(upstream)) &&
               !FailedOn(entry, id, upstream);
      });
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) continue;
    const Upstream& it = pool_.at(upstream);
    Amount room = it.free;
    const auto held_back = reserved.find(upstream);
    if (held_back != reserved.end()) room -= held_back->second;
    const int32_t whole_fit = Fit(upstream, entry, id, it.capacity);
    const auto said = advice.upstreams.find(upstream);
    if (said == advice.upstreams.end()) {
      const auto asked_for = asked_room_.find(upstream);
      if (asked_for != asked_room_.end()) room -= asked_for->second;
      out.unknown.push_back(
          {upstream, Fit(upstream, entry, id, room), whole_fit});
      continue;
    }
    if (!said->second.allowed) continue;
    if (FailedOn(entry, id, upstream) && retry_elsewhere) continue;
    const AdviceNeed::Choice choice{upstream, Fit(upstream, entry, id, room),
                                    whole_fit};
    out.known_whole += choice.whole_fit;
    out.known_now += choice.now_fit;
    const Millis margin = step.gang ? kGangTicketLeft : kTicketMargin;
    if (said->second.valid_until > now + margin) {
      out.have_now += choice.now_fit;
    } else {
      out.expired.push_back(choice);
    }
  }
  const auto by_room = [](const auto& a, const auto& b) {
    return std::tuple(-a.now_fit, -a.whole_fit, a.upstream) <
           std::tuple(-b.now_fit, -b.whole_fit, b.upstream);
  };
  std::sort(out.expired.begin(), out.expired.end(), by_room);
  std::sort(out.unknown.begin(), out.unknown.end(), by_room);
  return out;
}

std::vector<UpstreamIndex> Scheduler::ChooseForTasks(const AdviceNeed& found,
                                                     double need, double rate) {
  std::vector<UpstreamIndex> wanted;
  double expect = found.have_now;
  for (const auto& choice : found.expired) {
    if (choice.now_fit == 0 || expect >= need * kRenewMargin) break;
    wanted.push_back(choice.upstream);
    expect += choice.now_fit;
  }
  Expectation now_fit{.mean = expect};
  for (const auto& choice : found.unknown) {
    if (choice.now_fit == 0 || now_fit.Likely(kAskDeviations) >= need) break;
    wanted.push_back(choice.upstream);
    now_fit.Add(rate, choice.now_fit);
  }
  return wanted;
}

std::vector<UpstreamIndex> Scheduler::ChooseForGang(
    const AdviceNeed& found, double need, double rate,
    const wire::QueuePolicy& queue) {
  std::vector<UpstreamIndex> wanted;
  // All tickets have to be good at once. Each call therefore renews, for some
  // ms each, every one that the gang counts on.
  double renewed = 0;
  for (const auto& choice : found.expired) {
    if (choice.now_fit == 0 || renewed >= need * kGangRenewMargin) break;
    wanted.push_back(choice.upstream);
    renewed += choice.now_fit;
  }
  if (found.known_now >= need * kGangRoomMargin) return wanted;
  // The gang has to know enough upstreams that have room now, or could at
  // least take it whole; room on them is then held back for it.
  const double taken_meanwhile = kRoomLeft * rate;
  Expectation now_fit{.mean = found.known_now};
  Expectation whole_fit{.mean = found.known_whole};
  const auto least = static_cast<size_t>(
      kLeastGangAsk * queue.advice_base_ms /
      std::max(queue.advice_each_ms, kLeastAdviceMs));
  std::vector<UpstreamIndex> unknown;
  for (const auto& choice : found.unknown) {
    const bool for_now = choice.now_fit > 0 &&
                         (now_fit.Likely(kAskDeviations) < need ||
                          unknown.size() < least);
    const bool for_later = choice.whole_fit > 0 &&
                           whole_fit.Likely(kAskDeviations) < need;
    if (!for_now && !for_later) break;
    unknown.push_back(choice.upstream);
    now_fit.Add(taken_meanwhile, choice.now_fit);
    whole_fit.Add(rate, choice.whole_fit);
  }
  const bool enough_later = found.known_whole >= need * kGangRenewMargin;
  if (now_fit.mean < need && enough_later) {
    // Not even with these could it start: it waits for room that is held back.
    return found.known_now >= need ? wanted : std::vector<UpstreamIndex>{};
  }
  wanted.insert(wanted.end(), unknown.begin(), unknown.end());
  return wanted;
}

void Scheduler::AskAdvice(Entry& entry, const StepId& id, TimePoint now,
                          const Reserved& reserved, Orders& orders) {
  const StepAdvice& advice = entry.unit(id.occurrence, id.step).advice;
  if (advice.asking > 0 || now < advice.ask_after) return;
  const wire::QueuePolicy& queue = entry.job.queue();
  const wire::StepSpec& step = entry.job.step(id.step);
  const Millis shortest(static_cast<int64_t>(queue.advice_base_ms));
  if (!AdviceCallLeft(queue.priority, shortest)) return;
  const AdviceNeed found = FindAdviceNeed(entry, id, now, reserved);
  const double need = entry.job.run(id.occurrence, id.step).waiting;
  const double rate = std::max(kLeastRate, rates_.Rate(queue.name));
  const std::vector<UpstreamIndex> wanted =
      step.gang ? ChooseForGang(found, need, rate, queue)
                : ChooseForTasks(found, need, rate);
  if (!wanted.empty()) SendAsks(entry, id, wanted, orders);
}

void Scheduler::SendAsks(Entry& entry, const StepId& id,
                         const std::vector<UpstreamIndex>& wanted,
                         Orders& orders) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  const wire::QueuePolicy& queue = entry.job.queue();
  // One call for all of them would take so long that its first tickets run out
  // before the next call ends: several lanes share them.
  const size_t calls = (wanted.size() + kMostPerCall - 1) / kMostPerCall;
  const size_t per_call = (wanted.size() + calls - 1) / calls;
  // What the step will take, spread over all that are asked.
  Amount use = TaskRoom(entry.job.step(id.step));
  const double each = entry.job.run(id.occurrence, id.step).waiting /
                      static_cast<double>(wanted.size());
  for (int32_t& part : use.of) {
    part = static_cast<int32_t>(static_cast<double>(part) * each);
  }
  for (size_t from = 0; from < wanted.size(); from += per_call) {
    const size_t count = std::min(per_call, wanted.size() - from);
    AdviceOrder order{
        .step = id,
        .priority = queue.priority,
        .rank = unit.key.rank,
        .expected = Millis(static_cast<int64_t>(
            queue.advice_base_ms +
            queue.advice_each_ms * static_cast<double>(count))),
        .expected_use = use};
    if (!TakeAdviceCall(queue.priority, order.expected)) return;
    for (size_t i = from; i < from + count; ++i) {
      order.upstreams.push_back(pool_.at(wanted[i]).entry.id);
      order.asked.push_back(wanted[i]);
    }
    ++unit.advice.asking;
    NoteAsked(order, 1);
    orders.advice.push_back(std::move(order));
  }
}

std::string Scheduler::Explain(const Entry& entry, const StepId& id,
                               TimePoint now) const {
  const wire::StepSpec& step = entry.job.step(id.step);
  const StepAdvice& advice =
      jobs_.at(id.job)->unit(id.occurrence, id.step).advice;
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
  const StepRun& run = entry.job.run(id.occurrence, id.step);
  std::string out = "waiting " + std::to_string(run.waiting) + " of " +
                    std::to_string(step.tasks) +
                    (step.gang ? " (gang)" : "") + ", upstreams " +
                    std::to_string(suits) + ", usable " +
                    std::to_string(usable) + ", room for " +
                    std::to_string(fit_now);
  if (!entry.job.queue().advised) return out;
  return out + ", asked " + std::to_string(advice.upstreams.size()) +
         ", allowed " + std::to_string(allowed) + " with room for " +
         std::to_string(fit_allowed) + ", tickets " + std::to_string(tickets) +
         (advice.asking > 0 ? ", asking" : "");
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

void Scheduler::NoteAsked(const AdviceOrder& order, int sign) {
  for (const UpstreamIndex upstream : order.asked) {
    Amount share = order.expected_use;
    for (int32_t& part : share.of) part *= sign;
    Amount& claimed = asked_room_[upstream];
    claimed += share;
    if (claimed == Amount{}) asked_room_.erase(upstream);
  }
}

void Scheduler::OnAdvice(const AdviceOrder& asked, const ports::Advice* advice,
                         TimePoint now) {
  NoteAsked(asked, -1);
  Entry* entry = FindEntry(asked.step.job);
  if (entry == nullptr) return;
  StepAdvice& known =
      entry->unit(asked.step.occurrence, asked.step.step).advice;
  --known.asking;
  if (advice == nullptr) {
    known.ask_after = now + kAskAgain;
    return;
  }
  double first_answers = 0;
  double first_allowed = 0;
  std::unordered_map<std::string, const ports::AdviceTicket*> allowed;
  for (const auto& ticket : advice->allowed) {
    allowed.emplace(ticket.upstream, &ticket);
  }
  for (const std::string& name : asked.upstreams) {
    const UpstreamIndex upstream = pool_.Find(name);
    if (upstream == kNoUpstream) continue;
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
