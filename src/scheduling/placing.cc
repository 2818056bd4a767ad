// The placing half of Scheduler: which waiting tasks start where, and which
// advice is missing for it.

#include <algorithm>

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
/// Most upstreams that one call for advice may name.
constexpr size_t kMaxAsked = 100;
/// More is asked for than is needed by this factor, since rates are means.
constexpr double kAskMargin = 1.3;
/// Part of all cores that waiting gangs together may hold back from others.
constexpr double kReservedShare = 0.4;
/// Cost of standing outside of the rack of the data or of the gang, against
/// at most 1.5 for the worst fit.
constexpr double kOtherRackCost = 4;
constexpr double kMemoryWeight = 0.5;

int32_t Times(const Amount& room, const Amount& size) {
  int32_t fit = kMaxStepTasks;
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    if (size.of[d] <= 0) continue;
    fit = std::min(fit, std::max(0, room.of[d]) / size.of[d]);
  }
  return fit;
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
    std::stable_sort(found.begin(), found.end(),
                     [&](const auto& a, const auto& b) {
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
    const Task& task = entry.job.task({id.job, id.occurrence, id.step, i});
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
    const bool unknown =
        entry.job.queue().advised && advice.upstreams.count(upstream) == 0;
    const bool allowed = !entry.job.queue().advised || advice.Allowed(upstream);
    if (unknown || allowed) elsewhere += Times(it.capacity, TaskRoom(step));
  }
  if (elsewhere < (step.gang ? step.tasks : 1)) return;
  std::erase_if(found, [&](const Candidate& c) { return avoid(c.upstream); });
}

void Scheduler::StartTask(Entry& entry, const TaskId& id,
                          UpstreamIndex upstream, int64_t attempt,
                          TimePoint now, Orders& orders) {
  Job& job = entry.job;
  Task& task = job.task(id);
  task.attempt = attempt;
  task.upstream = upstream;
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
    const auto other = reserved.find(upstream);
    if (other != reserved.end()) {
      reserved_cores += other->second[Dimension::kCores];
    }
    if (entry.job.queue().advised && !advice.Allowed(upstream)) continue;
    if (!it.reachable || !it.listed || it.entry.draining) continue;
    if (!Suits(upstream, entry, step)) continue;
    Amount most = it.capacity;
    if (other != reserved.end()) most -= other->second;
    const int32_t fit = Times(most, size);
    if (fit == 0) continue;
    rooms.push_back({upstream, fit, it.free[Dimension::kCores]});
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
  for (const Room& room : rooms) {
    for (int32_t n = 0; n < room.whole && left > 0; ++n, --left) {
      reserved[room.upstream] += size;
    }
  }
}

void Scheduler::AskAdvice(Entry& entry, const StepId& id, TimePoint now,
                          const Reserved& reserved, Orders& orders) {
  Unit& unit = entry.unit(id.occurrence, id.step);
  StepAdvice& advice = unit.advice;
  if (advice.asking || now < advice.ask_after) return;
  const Millis shortest(static_cast<int64_t>(entry.job.queue().advice_base_ms));
  if (!AdviceCallLeft(entry.job.queue().priority, shortest)) return;
  const wire::QueuePolicy& queue = entry.job.queue();
  const wire::StepSpec& step = entry.job.step(id.step);
  struct Choice {
    UpstreamIndex upstream;
    int32_t now_fit;
    int32_t whole_fit;
  };
  // What failed a task of the step is no place for its next try, as long as
  // others are left to ask about.
  const bool retry_elsewhere = std::any_of(
      pool_.all().begin(), pool_.all().end(), [&](UpstreamIndex upstream) {
        return pool_.Usable(upstream, now) && Suits(upstream, entry, step) &&
               (advice.upstreams.count(upstream) == 0 ||
                advice.Allowed(upstream)) &&
               !FailedOn(entry, id, upstream);
      });
  std::vector<Choice> expired;
  std::vector<Choice> unknown;
  double have_now = 0;
  double known_whole = 0;
  double known_now = 0;
  for (const UpstreamIndex upstream : pool_.all()) {
    if (!pool_.Usable(upstream, now) || !Suits(upstream, entry, step)) continue;
    const Upstream& it = pool_.at(upstream);
    Amount room = it.free;
    const auto held_back = reserved.find(upstream);
    if (held_back != reserved.end()) room -= held_back->second;
    const Choice choice{upstream, Fit(upstream, entry, id, room),
                        Fit(upstream, entry, id, it.capacity)};
    const auto said = advice.upstreams.find(upstream);
    if (said == advice.upstreams.end()) {
      unknown.push_back(choice);
      continue;
    }
    if (!said->second.allowed) continue;
    if (FailedOn(entry, id, upstream) && retry_elsewhere) continue;
    known_whole += choice.whole_fit;
    known_now += choice.now_fit;
    if (said->second.valid_until > now + kTicketMargin) {
      have_now += choice.now_fit;
    } else {
      expired.push_back(choice);
    }
  }
  const auto by_room = [](const Choice& a, const Choice& b) {
    return std::tuple(-a.now_fit, -a.whole_fit, a.upstream) <
           std::tuple(-b.now_fit, -b.whole_fit, b.upstream);
  };
  std::sort(expired.begin(), expired.end(), by_room);
  std::sort(unknown.begin(), unknown.end(), by_room);
  const double need = entry.job.run(id.occurrence, id.step).waiting;
  const double rate = std::max(0.05, rates_.Rate(queue.name));
  AdviceOrder order{
      .step = id, .priority = queue.priority, .rank = unit.key.rank};
  double expect = have_now;
  const bool worth_renewing = !step.gang || known_now >= need;
  for (const Choice& choice : expired) {
    if (!worth_renewing || choice.now_fit == 0 || expect >= need) break;
    order.upstreams.push_back(pool_.at(choice.upstream).entry.id);
    expect += choice.now_fit;
  }
  // A gang has to know enough upstreams that could take it whole; room on them
  // is then held back for it. Others go by the room that is there now.
  double expect_whole = known_whole;
  for (const Choice& choice : unknown) {
    if (order.upstreams.size() >= kMaxAsked) break;
    const bool for_now = choice.now_fit > 0 && expect < need * kAskMargin;
    const bool for_later =
        step.gang && choice.whole_fit > 0 && expect_whole < need * kAskMargin;
    if (!for_now && !for_later) break;
    order.upstreams.push_back(pool_.at(choice.upstream).entry.id);
    expect += rate * choice.now_fit;
    expect_whole += rate * choice.whole_fit;
  }
  if (order.upstreams.empty()) return;
  order.expected = Millis(static_cast<int64_t>(
      queue.advice_base_ms +
      queue.advice_each_ms * static_cast<double>(order.upstreams.size())));
  if (!TakeAdviceCall(queue.priority, order.expected)) return;
  advice.asking = true;
  orders.advice.push_back(std::move(order));
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
                    std::to_string(step.tasks) + (step.gang ? " (gang)" : "") +
                    ", upstreams " + std::to_string(suits) + ", usable " +
                    std::to_string(usable) + ", room for " +
                    std::to_string(fit_now);
  if (!entry.job.queue().advised) return out;
  return out + ", asked " + std::to_string(advice.upstreams.size()) +
         ", allowed " + std::to_string(allowed) + " with room for " +
         std::to_string(fit_allowed) + ", tickets " + std::to_string(tickets) +
         (advice.asking ? ", asking" : "");
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

void Scheduler::OnAdvice(const AdviceOrder& asked, const ports::Advice* advice,
                         TimePoint now) {
  Entry* entry = FindEntry(asked.step.job);
  if (entry == nullptr) return;
  StepAdvice& known =
      entry->unit(asked.step.occurrence, asked.step.step).advice;
  known.asking = false;
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
