#include "tests/jobsim/upstream_fake.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/libs/base/digest.h"

namespace mimosarail::jobsim {
namespace {

using ports::CallVerdict;
using ports::EndKind;

constexpr Millis kNetworkDelay{1};
/// A longer lease is shortened to this.
constexpr Millis kMaxLease{10000};
/// Range of the first reading of an incarnation's clock.
constexpr int64_t kMinFirstClockMs = 1000000;
constexpr int64_t kMaxFirstClockMs = 10000000;
constexpr Millis kGangWaitTimeout{3000};
/// How long after its cancellation the tasks of a job may still start and run;
/// a run that starts late counts from its own start.
constexpr Millis kCancelBound{3000};
/// How long after kCancelBound the runs may take to end. Both bounds start
/// again with the last fault.
constexpr Millis kStopBound{900};
constexpr int kMaxAttempts = 2;
/// Maximum number of finished runs listed in one reply.
constexpr size_t kMaxCompletionsPerReply = 500;
/// A task that was running on this many upstreams when they crashed may be
/// started only kMaxStartsAfterCrashes more times.
constexpr int kCrashLimit = 3;
constexpr int kMaxStartsAfterCrashes = 2;
/// Sizes on the wire, with headers: a call without its payload, a reply without
/// its list of runs, and a row of that list.
constexpr size_t kCallBytes = 400;
constexpr size_t kReplyBytes = 250;
constexpr size_t kRunBytes = 60;

size_t ReplyBytes(const ports::CallReply&) { return kReplyBytes; }
size_t ReplyBytes(const ports::RenewReply& reply) {
  return kReplyBytes + kRunBytes * (reply.running.size() + reply.ended.size());
}

}  // namespace

void UpstreamsFake::Add(const std::string& id, int32_t millicores,
                        int32_t memory_mb) {
  Upstream& upstream = upstreams_[id];
  upstream.millicores = millicores;
  upstream.memory_mb = memory_mb;
  upstream.started_at = clock_.now();
  upstream.clock_zero =
      clock_.now() - Millis(FirstClockMs(id, ClockStart::kAnywhere, 0));
}

void UpstreamsFake::RegisterJob(const wire::JobSpec& spec) {
  specs_[static_cast<JobId>(spec.id)] = spec;
}

std::vector<std::string> UpstreamsFake::ids() const {
  std::vector<std::string> out;
  for (const auto& [id, upstream] : upstreams_) out.push_back(id);
  return out;
}

const wire::StepSpec* UpstreamsFake::StepOf(const TaskId& task) const {
  const auto spec = specs_.find(task.job);
  if (spec == specs_.end()) return nullptr;
  return &spec->second.steps[static_cast<size_t>(task.step)];
}

int64_t UpstreamsFake::ClockMs(const Upstream& upstream) const {
  return std::chrono::duration_cast<Millis>(clock_.now() - upstream.clock_zero)
      .count();
}

int64_t UpstreamsFake::FirstClockMs(const std::string& id, ClockStart start,
                                    int64_t former_ms) const {
  if (start == ClockStart::kBehind) return former_ms / 2;
  if (start == ClockStart::kAhead) return 2 * former_ms;
  const auto range = static_cast<uint64_t>(kMaxFirstClockMs - kMinFirstClockMs);
  const uint64_t hash = Hash64(id + "@" + std::to_string(former_ms));
  return kMinFirstClockMs + static_cast<int64_t>(hash % range);
}

int64_t UpstreamsFake::Incarnation(const std::string& id) const {
  if (!restart_under_same_id_) return 0;
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return 0;
  return sim::UnixMillisAt(found->second.started_at);
}

ports::CallReply UpstreamsFake::MakeReply(const std::string& id) const {
  return {.clock_ms = ClockMs(upstreams_.at(id))};
}

void UpstreamsFake::Restart(const std::string& id) {
  const Upstream crashed = upstreams_[id];
  const int64_t first_clock_ms =
      FirstClockMs(id, crashed.faults.next_clock, ClockMs(crashed));
  upstreams_[id] = {.faults = crashed.faults,
                    .millicores = crashed.millicores,
                    .memory_mb = crashed.memory_mb,
                    .started_at = clock_.now(),
                    .clock_zero = clock_.now() - Millis(first_clock_ms)};
  upstreams_[id].faults.terminated = false;
  upstreams_[id].faults.calls_wait_for_restart = false;
  for (const auto& call : crashed.waiting_for_restart) call();
}

bool UpstreamsFake::Reachable(const std::string& id, const std::string& entry) {
  called_.insert(id);
  if (crash_silently_ && CrashVerdict(id)) return false;
  return Connects(id, entry);
}

bool UpstreamsFake::Connects(const std::string& id,
                             const std::string& entry) const {
  if (partition_.count(id) != partition_.count(entry)) return false;
  const auto found = upstreams_.find(id);
  return found != upstreams_.end() && !found->second.faults.terminated &&
         !found->second.faults.unreachable && !found->second.paused;
}

bool UpstreamsFake::WaitsForRestart(const std::string& id,
                                    const std::string& entry) const {
  return Connects(id, entry) && CrashVerdict(id) &&
         upstreams_.at(id).faults.calls_wait_for_restart;
}

void UpstreamsFake::ExecuteLate(const std::string& id,
                                std::function<void()> call) {
  Upstream& upstream = upstreams_[id];
  if (!CrashVerdict(id)) {
    if (!upstream.paused) call();
    return;
  }
  if (!upstream.faults.calls_wait_for_restart) return;
  upstream.waiting_for_restart.push_back(std::move(call));
}

void UpstreamsFake::ExecuteAfterDelay(const std::string& id,
                                      std::function<void()> call) {
  const UpstreamFaults& faults = upstreams_[id].faults;
  const int64_t incarnation = Incarnation(id);
  const bool ends_in_restart = faults.late_calls_end_in_restart;
  clock_.At(clock_.now() + faults.execution_delay,
            [this, id, call = std::move(call), incarnation, ends_in_restart] {
              if (ends_in_restart && !Serves(id, incarnation)) return;
              ExecuteLate(id, call);
            });
}

bool UpstreamsFake::Connected(const std::string& id) const {
  const Upstream& upstream = upstreams_.at(id);
  return !upstream.faults.unreachable && !upstream.paused;
}

void UpstreamsFake::Resume(const std::string& id) {
  Upstream& upstream = upstreams_[id];
  upstream.paused = false;
  for (const auto& event : std::exchange(upstream.delayed_by_pause, {})) {
    event();
  }
}

bool UpstreamsFake::LosesStart(const std::string& id, const TaskId& task) {
  const auto behavior = behaviors_.find(task);
  if (behavior == behaviors_.end()) return false;
  if (behavior->second.starts_lost_in_crashes <= 0) return false;
  --behavior->second.starts_lost_in_crashes;
  Crash(id);
  return true;
}

bool UpstreamsFake::HasActiveFault() const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(), [](const auto& upstream) {
        const UpstreamFaults& faults = upstream.second.faults;
        return faults.unreachable || upstream.second.paused ||
               faults.drop_start_replies > 0 || faults.delayed_starts > 0 ||
               faults.delayed_renewals > 0 || faults.drop_stops > 0;
      });
}

std::optional<TimePoint> UpstreamsFake::CancelledAt(JobId job) const {
  const auto cancelled = cancelled_at_.find(job);
  if (cancelled == cancelled_at_.end()) return std::nullopt;
  const auto spec = specs_.find(job);
  std::optional<TimePoint> out;
  for (const auto& [account, at] : cancelled->second) {
    const bool may_cancel = !account || spec == specs_.end() ||
                            spec->second.account.empty() ||
                            spec->second.account == *account;
    if (may_cancel) out = std::min(out.value_or(at), at);
  }
  return out;
}

void UpstreamsFake::CheckSentStart(const TaskId& task) {
  const auto cancelled = CancelledAt(task.job);
  if (!cancelled) return;
  const TimePoint since = std::max(*cancelled, last_fault_at_);
  if (clock_.now() <= since + kCancelBound) return;
  violations_.push_back("start ordered after the job was cancelled: " +
                        TaskIdText(task));
}

void UpstreamsFake::CheckCancelled() {
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.faults.terminated) continue;
    for (const auto& [task, run] : upstream.running) {
      const auto cancelled = CancelledAt(task.job);
      if (!cancelled) continue;
      const TimePoint since =
          std::max({*cancelled, run.started, last_fault_at_});
      if (clock_.now() <= since + kCancelBound + kStopBound) continue;
      if (!reported_overruns_.insert(run.id).second) continue;
      violations_.push_back("still running after its job was cancelled: " +
                            TaskIdText(task) + " on " + id);
    }
  }
}

std::string UpstreamsFake::UpstreamRunning(const TaskId& task) const {
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.running.count(task) > 0) return id;
  }
  return {};
}

void UpstreamsFake::Crash(const std::string& id) {
  Upstream& upstream = upstreams_[id];
  if (upstream.state != UpstreamState::kAlive) return;
  upstream.state = UpstreamState::kCrashed;
  upstream.paused = false;
  upstream.delayed_by_pause.clear();
  const std::map<TaskId, Run> lost = std::exchange(upstream.running, {});
  DropUnacknowledgedCompletions(id);
  for (const auto& [task, run] : lost) {
    crashes_[task].push_back(
        std::chrono::duration_cast<Millis>(clock_.now() - run.started));
    BreakGang(task, run.attempt);
  }
  if (on_crash_) on_crash_(id);
  clock_.At(clock_.now() + replacement_delay_, [this, id] {
    if (restart_under_same_id_) {
      Restart(id);
    } else if (!replacement_at_new_address_) {
      upstreams_[id].state = UpstreamState::kReplaced;
    }
    if (on_replacement_) on_replacement_(id);
  });
}

void UpstreamsFake::CrashIfRunning(const std::string& id, const TaskId& task,
                                   uint64_t run) {
  Upstream& upstream = upstreams_[id];
  const auto found = upstream.running.find(task);
  if (found == upstream.running.end() || found->second.id != run) return;
  if (!upstream.paused) return Crash(id);
  upstream.delayed_by_pause.emplace_back(
      [this, id, task, run] { CrashIfRunning(id, task, run); });
}

void UpstreamsFake::CrashLater(const std::string& id, const TaskId& task,
                               uint64_t run) {
  const auto behavior = behaviors_.find(task);
  if (behavior == behaviors_.end() || !behavior->second.crash_delay) return;
  clock_.At(clock_.now() + *behavior->second.crash_delay,
            [this, id, task, run] { CrashIfRunning(id, task, run); });
}

bool UpstreamsFake::DropsStartReply(const std::string& id, const TaskId& task) {
  const auto behavior = behaviors_.find(task);
  if (behavior != behaviors_.end() && behavior->second.unanswered_starts > 0) {
    --behavior->second.unanswered_starts;
    return true;
  }
  int& drop_start_replies = upstreams_[id].faults.drop_start_replies;
  if (drop_start_replies <= 0) return false;
  --drop_start_replies;
  return true;
}

int UpstreamsFake::Crashes(const TaskId& task) const {
  const auto found = crashes_.find(task);
  return found == crashes_.end() ? 0 : static_cast<int>(found->second.size());
}

int UpstreamsFake::CrashesWithin(const TaskId& task, Millis span) const {
  const auto found = crashes_.find(task);
  if (found == crashes_.end()) return 0;
  return static_cast<int>(
      std::count_if(found->second.begin(), found->second.end(),
                    [&](Millis lasted) { return lasted <= span; }));
}

int UpstreamsFake::FailedRuns(const TaskId& task) const {
  const auto found = failed_runs_.find(task);
  return found == failed_runs_.end() ? 0 : found->second;
}

int UpstreamsFake::Starts(const TaskId& task) const {
  const auto found = task_starts_.find(task);
  return found == task_starts_.end() ? 0 : found->second;
}

void UpstreamsFake::CheckCrashes(const TaskId& task) {
  const auto behavior = behaviors_.find(task);
  if (behavior == behaviors_.end() || !behavior->second.crash_delay) return;
  if (Crashes(task) < kCrashLimit) return;
  if (++starts_after_crashes_[task] <= kMaxStartsAfterCrashes) return;
  violations_.push_back("started again although it crashes its upstreams: " +
                        TaskIdText(task));
}

std::optional<CallVerdict> UpstreamsFake::CrashVerdict(
    const std::string& id) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return std::nullopt;
  if (found->second.state == UpstreamState::kReplaced) {
    return CallVerdict::kReplaced;
  }
  if (found->second.state == UpstreamState::kCrashed) {
    return CallVerdict::kNotSent;
  }
  return std::nullopt;
}

void UpstreamsFake::TerminateUpstream(const std::string& id) {
  upstreams_[id].faults.terminated = true;
  upstreams_[id].running.clear();
}

bool UpstreamsFake::IsWorking(const TaskId& task) const {
  for (const auto& [id, upstream] : upstreams_) {
    const auto run = upstream.running.find(task);
    if (run == upstream.running.end() || !run->second.working) continue;
    const auto behavior = behaviors_.find(task);
    const Millis startup = behavior == behaviors_.end()
                               ? TaskBehavior{}.run_time
                               : behavior->second.run_time;
    return clock_.now() - run->second.working_since >= startup;
  }
  return false;
}

void UpstreamsFake::CheckAvailable(const TaskId& task) {
  const wire::StepSpec* step = StepOf(task);
  if (step == nullptr || step->max_unavailable == 0 || !IsWorking(task)) return;
  int away = 0;
  for (int32_t i = 0; i < step->tasks; ++i) {
    const TaskId other{task.job, task.occurrence, task.step, i};
    if (i != task.index && ended_by_order_.count(other) > 0) ++away;
  }
  if (away >= step->max_unavailable) {
    violations_.push_back(
        "max_unavailable exceeded: " + TaskIdText(task) + ", " +
        std::to_string(away) + " other tasks unavailable at " +
        std::to_string(clock_.now().time_since_epoch() / Millis(1)));
  }
  ended_by_order_.insert(task);
}

void UpstreamsFake::CheckTerminationAllowed(const std::string& id) {
  for (const auto& [task, run] : upstreams_[id].running) CheckAvailable(task);
}

void UpstreamsFake::DropUnacknowledgedCompletions(const std::string& id) {
  for (const ports::EndedTask& end : upstreams_[id].ended) {
    if (end.kind == EndKind::kDone) ++lost_runs_[end.task];
  }
}

int UpstreamsFake::DurableDoneRuns(const TaskId& task) const {
  const auto lost = lost_runs_.find(task);
  return DoneRuns(task) - (lost == lost_runs_.end() ? 0 : lost->second);
}

int UpstreamsFake::DoneRuns(const TaskId& task) const {
  const auto found = done_runs_.find(task);
  return found == done_runs_.end() ? 0 : found->second;
}

void UpstreamsFake::ExtendLease(Upstream& upstream, int64_t until_ms) {
  const TimePoint requested_end = upstream.clock_zero + Millis(until_ms);
  const TimePoint max_end = clock_.now() + kMaxLease;
  upstream.lease_end =
      std::max(upstream.lease_end, std::min(requested_end, max_end));
}

int64_t UpstreamsFake::AccountMillicores(const std::string& account) const {
  int64_t sum = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.faults.terminated) continue;
    for (const auto& [task, run] : upstream.running) {
      const auto spec = specs_.find(task.job);
      if (spec == specs_.end() || spec->second.account != account) continue;
      sum += StepOf(task)->millicores;
    }
  }
  return sum;
}

void UpstreamsFake::CheckAccountLimit(const ports::StartCall& call) {
  const auto spec = specs_.find(call.task.job);
  if (spec == specs_.end()) return;
  const auto limit = account_limits_.find(spec->second.account);
  if (limit == account_limits_.end()) return;
  const int64_t sum =
      AccountMillicores(limit->first) + StepOf(call.task)->millicores;
  if (sum <= limit->second) return;
  violations_.push_back(
      "limit of account " + limit->first + " exceeded by " +
      TaskIdText(call.task) + ": " + std::to_string(sum) + " of " +
      std::to_string(limit->second) + " at " +
      std::to_string(clock_.now().time_since_epoch() / Millis(1)));
}

void UpstreamsFake::CheckStart(const std::string& id, const Upstream& upstream,
                               const ports::StartCall& call) {
  const std::string what = TaskIdText(call.task) + " on " + id;
  started_from_[call.task] = call.checkpoint;
  int32_t cores = 0;
  int32_t memory = 0;
  const auto add = [&](const TaskId& task) {
    const wire::StepSpec* step = StepOf(task);
    if (step == nullptr) return;
    cores += step->millicores;
    memory += step->memory_mb;
  };
  add(call.task);
  for (const auto& [task, run] : upstream.running) add(task);
  if (cores > upstream.millicores || memory > upstream.memory_mb) {
    violations_.push_back("capacity exceeded: " + what);
  }
  CheckAccountLimit(call);
  CheckCrashes(call.task);
  for (const auto& [other_id, other] : upstreams_) {
    if (other.faults.terminated) continue;
    if (other.running.count(call.task) > 0) {
      violations_.push_back("task runs twice: " + what + " and on " + other_id);
    }
  }
  if (acknowledged_done_.count(call.task) > 0) {
    violations_.push_back("started after its completion was acknowledged: " +
                          what);
  }
  if (failed_runs_[call.task] >= kMaxAttempts) {
    violations_.push_back("too many attempts: " + what);
  }
  const wire::StepSpec* step = StepOf(call.task);
  if (step == nullptr) {
    violations_.push_back("started without being requested: " + what);
    return;
  }
  for (const int32_t before : step->after) {
    const auto& spec = specs_.at(call.task.job);
    const wire::StepSpec& required_step =
        spec.steps[static_cast<size_t>(before)];
    int done = 0;
    for (int32_t i = 0; i < required_step.tasks; ++i) {
      const TaskId task{call.task.job, call.task.occurrence, before, i};
      done += DoneRuns(task) > 0 ? 1 : 0;
    }
    // One completed member of a gang counts for the whole gang.
    if (done < (required_step.gang ? 1 : required_step.tasks)) {
      violations_.push_back(
          "started before the steps it depends on were done: " + what);
    }
  }
}

ports::CallReply UpstreamsFake::Start(const ports::UpstreamTarget& target,
                                      const ports::StartCall& call) {
  Upstream& upstream = upstreams_[target.id];
  ports::CallReply reply = MakeReply(target.id);
  if (call.fence < upstream.fence) {
    reply.verdict = CallVerdict::kFenced;
    return reply;
  }
  upstream.fence = call.fence;
  if (call.lease_until_ms <= reply.clock_ms) {
    reply.verdict = CallVerdict::kLeaseExpired;
    return reply;
  }
  int64_t& last = upstream.last_attempt[call.task];
  if (call.attempt <= last) {
    reply.verdict = CallVerdict::kStale;
    return reply;
  }
  CheckStart(target.id, upstream, call);
  last = call.attempt;
  ++starts_;
  ++task_starts_[call.task];
  ran_.insert(call.task.job);
  const uint64_t run = ++last_run_;
  upstream.running[call.task] = {
      .attempt = call.attempt, .id = run, .started = clock_.now()};
  ExtendLease(upstream, call.lease_until_ms);
  ScheduleLeaseExpiry(target.id);
  BeginWork(call.task, call.attempt);
  CrashLater(target.id, call.task, run);
  const wire::StepSpec* step = StepOf(call.task);
  if (step != nullptr && step->gang) {
    clock_.At(clock_.now() + kGangWaitTimeout,
              [this, id = target.id, task = call.task, run] {
                const auto& running = upstreams_[id].running;
                const auto found = running.find(task);
                if (found == running.end() || found->second.id != run) return;
                if (!found->second.working) {
                  End(id, task, run, EndKind::kGangIncomplete);
                }
              });
  }
  reply.verdict = CallVerdict::kDone;
  return reply;
}

void UpstreamsFake::BeginWork(const TaskId& task, int64_t attempt) {
  const wire::StepSpec* step = StepOf(task);
  const bool gang = step != nullptr && step->gang;
  std::vector<std::pair<std::string, TaskId>> members;
  for (auto& [id, upstream] : upstreams_) {
    for (auto& [other, run] : upstream.running) {
      if (run.attempt != attempt || run.working || upstream.faults.terminated) {
        continue;
      }
      if (other == task || (gang && other.step_id() == task.step_id())) {
        members.emplace_back(id, other);
      }
    }
  }
  if (gang && static_cast<int32_t>(members.size()) < step->tasks) return;
  // The members of a gang end together with the slowest one. If one fails, the
  // others end with it.
  Millis run_time{0};
  bool any_fails = false;
  for (const auto& [id, member] : members) {
    run_time = std::max(run_time, behaviors_[member].run_time);
    any_fails =
        any_fails || failed_runs_[member] < behaviors_[member].failing_runs;
  }
  for (const auto& [id, member] : members) {
    Run& run = upstreams_[id].running[member];
    run.working = true;
    run.working_since = clock_.now();
    const bool fails = failed_runs_[member] < behaviors_[member].failing_runs;
    if (any_fails && !fails) continue;
    if (step != nullptr && step->long_running) {
      // The task works again, so an earlier order that ended it no longer
      // counts against the budget.
      clock_.At(clock_.now() + run_time, [this, member = member] {
        if (IsWorking(member)) ended_by_order_.erase(member);
      });
      continue;
    }
    clock_.At(clock_.now() + run_time,
              [this, id = id, member = member, run = run.id, fails] {
                End(id, member, run, fails ? EndKind::kFailed : EndKind::kDone);
              });
  }
}

void UpstreamsFake::End(const std::string& id, const TaskId& task, uint64_t run,
                        EndKind kind) {
  Upstream& upstream = upstreams_[id];
  const auto found = upstream.running.find(task);
  if (found == upstream.running.end() || found->second.id != run) return;
  if (upstream.faults.terminated) return;
  if (upstream.paused && kind != EndKind::kLeaseExpired) {
    upstream.delayed_by_pause.emplace_back(
        [this, id, task, run, kind] { End(id, task, run, kind); });
    return;
  }
  const int64_t attempt = found->second.attempt;
  upstream.running.erase(found);
  if (kind == EndKind::kFailed) ++failed_runs_[task];
  if (kind == EndKind::kDone) ++done_runs_[task];
  if (++upstream.last_completion <= upstream.acked_completions) {
    // Acknowledged before it happened, by a leader that counts on from an
    // earlier incarnation.
    if (kind == EndKind::kDone) acknowledged_done_.insert(task);
  } else {
    upstream.ended.push_back({.number = upstream.last_completion,
                              .task = task,
                              .attempt = attempt,
                              .kind = kind});
  }
  if (kind != EndKind::kDone) BreakGang(task, attempt);
}

void UpstreamsFake::BreakGang(const TaskId& task, int64_t attempt) {
  const wire::StepSpec* step = StepOf(task);
  if (step == nullptr || !step->gang) return;
  for (auto& [other_id, other] : upstreams_) {
    std::vector<std::pair<TaskId, uint64_t>> broken;
    for (const auto& [member, member_run] : other.running) {
      if (member.step_id() == task.step_id() && member_run.working &&
          member_run.attempt == attempt) {
        broken.emplace_back(member, member_run.id);
      }
    }
    for (const auto& [member, member_run] : broken) {
      End(other_id, member, member_run, EndKind::kGangFailed);
    }
  }
}

void UpstreamsFake::ScheduleLeaseExpiry(const std::string& id) {
  const TimePoint due = upstreams_[id].lease_end;
  clock_.At(due, [this, id, due] {
    Upstream& upstream = upstreams_[id];
    if (upstream.lease_end > due) return;
    std::vector<std::pair<TaskId, uint64_t>> all;
    for (const auto& [task, run] : upstream.running) {
      all.emplace_back(task, run.id);
    }
    // Completions before the expiry that no leader has acknowledged no longer
    // count.
    upstream.last_completion_before_expiry = upstream.last_completion;
    for (const auto& [task, run] : all) {
      End(id, task, run, EndKind::kLeaseExpired);
    }
  });
}

ports::CallReply UpstreamsFake::Stop(const ports::UpstreamTarget& target,
                                     const TaskId& task, int64_t attempt,
                                     int64_t fence) {
  Upstream& upstream = upstreams_[target.id];
  ports::CallReply reply = MakeReply(target.id);
  if (fence < upstream.fence) {
    reply.verdict = CallVerdict::kFenced;
    return reply;
  }
  upstream.fence = fence;
  int64_t& last = upstream.last_attempt[task];
  last = std::max(last, attempt);
  const auto found = upstream.running.find(task);
  if (found != upstream.running.end() && found->second.attempt <= attempt) {
    CheckAvailable(task);
    clock_.At(clock_.now() + upstream.faults.stop_time,
              [this, id = target.id, task, run = found->second.id] {
                End(id, task, run, EndKind::kStopped);
              });
  }
  reply.verdict = CallVerdict::kDone;
  return reply;
}

ports::RenewReply UpstreamsFake::Renew(const ports::UpstreamTarget& target,
                                       const ports::RenewCall& call) {
  Upstream& upstream = upstreams_[target.id];
  ports::RenewReply reply;
  reply.call = MakeReply(target.id);
  if (call.fence < upstream.fence) {
    reply.call.verdict = CallVerdict::kFenced;
    return reply;
  }
  upstream.fence = call.fence;
  reply.call.verdict = CallVerdict::kDone;
  // Only lists of runs name the incarnation.
  reply.call.incarnation = Incarnation(target.id);
  if (call.lease_until_ms > 0) {
    ExtendLease(upstream, call.lease_until_ms);
    ScheduleLeaseExpiry(target.id);
  }
  for (const ports::EndedTask& end : upstream.ended) {
    if (end.number <= call.acked_completions && end.kind == EndKind::kDone &&
        end.number > upstream.last_completion_before_expiry) {
      acknowledged_done_.insert(end.task);
    }
  }
  upstream.acked_completions =
      std::max(upstream.acked_completions, call.acked_completions);
  std::erase_if(upstream.ended, [&](const ports::EndedTask& end) {
    return end.number <= call.acked_completions;
  });
  for (const auto& [task, run] : upstream.running) {
    const auto worked =
        std::chrono::duration_cast<Millis>(clock_.now() - run.working_since);
    const int32_t percent =
        run.working ? static_cast<int32_t>(std::min<int64_t>(
                          100, 100 * worked.count() /
                                   behaviors_[task].run_time.count()))
                    : 0;
    reply.running.push_back({.task = task,
                             .attempt = run.attempt,
                             .checkpoint = behaviors_[task].checkpoint,
                             .percent = percent});
  }
  const size_t listed =
      std::min(upstream.ended.size(), kMaxCompletionsPerReply);
  reply.ended.assign(upstream.ended.begin(),
                     upstream.ended.begin() + static_cast<ptrdiff_t>(listed));
  reply.more_completions = listed == kMaxCompletionsPerReply;
  return reply;
}

template <typename Reply>
void UpstreamClientFake::OverLink(
    const std::string& kind, size_t bytes, Millis timeout,
    const Reply& time_out, std::function<void(Reply)> done,
    std::function<void(std::function<void(Reply)>)> call) {
  if (machine_ == nullptr) return call(std::move(done));
  auto answered = std::make_shared<bool>(false);
  const auto deliver = [answered, done](const Reply& reply) {
    if (!std::exchange(*answered, true)) done(reply);
  };
  executor_.RunAfter(timeout, [deliver, time_out] { deliver(time_out); });
  machine_->traffic.Count(kind, metrics::Direction::kOut, bytes);
  const auto on_reply = [this, kind, deliver](const Reply& reply) {
    machine_->traffic.Count(kind + " reply", metrics::Direction::kIn,
                            ReplyBytes(reply));
    machine_->Receive(ReplyBytes(reply), [this, deliver, reply] {
      executor_.RunAfter(Millis(0), [deliver, reply] { deliver(reply); });
    });
  };
  machine_->out.Transfer(bytes, [call, on_reply] { call(on_reply); });
}

template <typename Reply>
void UpstreamClientFake::CallAfterRestart(const std::string& id, Millis timeout,
                                          std::function<Reply()> execute,
                                          const Reply& time_out,
                                          std::function<void(Reply)> done) {
  auto answered = std::make_shared<bool>(false);
  executor_.RunAfter(timeout, [answered, time_out, done] {
    if (!std::exchange(*answered, true)) done(time_out);
  });
  upstreams_.ExecuteLate(id, [this, id, execute, answered, done] {
    const Reply reply = execute();
    if (!upstreams_.faults(id).waiting_calls_answered) return;
    executor_.RunAfter(kNetworkDelay, [answered, reply, done] {
      if (!std::exchange(*answered, true)) done(reply);
    });
  });
}

void UpstreamClientFake::Start(const ports::UpstreamTarget& target,
                               const ports::StartCall& call, Millis timeout,
                               std::function<void(ports::CallReply)> done) {
  upstreams_.CheckSentStart(call.task);
  OverLink<ports::CallReply>(
      "start",
      kCallBytes + call.payload.size() + call.checkpoint.size() +
          call.ticket.size(),
      timeout, {.verdict = CallVerdict::kUnknown, .detail = "no answer"},
      std::move(done), [this, target, call, timeout](const auto& reply) {
        DoStart(target, call, timeout, reply);
      });
}

void UpstreamClientFake::DoStart(
    const ports::UpstreamTarget& target, const ports::StartCall& call,
    Millis timeout, const std::function<void(ports::CallReply)>& done) {
  UpstreamFaults& faults = upstreams_.faults(target.id);
  const ports::CallReply no_answer{.verdict = CallVerdict::kUnknown,
                                   .detail = "no answer"};
  const auto time_out = [&] {
    executor_.RunAfter(timeout, [done, no_answer] { done(no_answer); });
  };
  if (upstreams_.WaitsForRestart(target.id, entry_)) {
    return CallAfterRestart<ports::CallReply>(
        target.id, timeout,
        [this, target, call] { return upstreams_.Start(target, call); },
        no_answer, done);
  }
  if (!upstreams_.Reachable(target.id, entry_)) return time_out();
  if (const auto verdict = upstreams_.CrashVerdict(target.id)) {
    return executor_.RunAfter(2 * kNetworkDelay, [done, verdict] {
      done({.verdict = *verdict, .detail = "Connection refused"});
    });
  }
  if (upstreams_.LosesStart(target.id, call.task)) return time_out();
  const int64_t incarnation = upstreams_.Incarnation(target.id);
  const auto execute = [this, target, call, incarnation] {
    // A call in flight when the upstream crashes gets no reply, and is
    // forgotten with all else that the incarnation knew.
    if (!upstreams_.Serves(target.id, incarnation)) return ports::CallReply{};
    return upstreams_.Start(target, call);
  };
  if (faults.delayed_starts > 0) {
    --faults.delayed_starts;
    upstreams_.ExecuteAfterDelay(
        target.id, [this, target, call] { upstreams_.Start(target, call); });
    return time_out();
  }
  const bool reply_dropped = upstreams_.DropsStartReply(target.id, call.task);
  auto reply = std::make_shared<ports::CallReply>();
  upstreams_.clock().At(upstreams_.clock().now() + kNetworkDelay,
                        [execute, reply] { *reply = execute(); });
  if (reply_dropped) return time_out();
  executor_.RunAfter(2 * kNetworkDelay, [done, reply] { done(*reply); });
}

void UpstreamClientFake::Stop(const ports::UpstreamTarget& target,
                              const TaskId& task, int64_t attempt,
                              int64_t fence, Millis timeout,
                              std::function<void(ports::CallReply)> done) {
  OverLink<ports::CallReply>(
      "stop", kCallBytes, timeout,
      {.verdict = CallVerdict::kUnknown, .detail = "no answer"},
      std::move(done),
      [this, target, task, attempt, fence, timeout](const auto& reply) {
        DoStop(target, task, attempt, fence, timeout, reply);
      });
}

void UpstreamClientFake::DoStop(
    const ports::UpstreamTarget& target, const TaskId& task, int64_t attempt,
    int64_t fence, Millis timeout,
    const std::function<void(ports::CallReply)>& done) {
  int& drop_stops = upstreams_.faults(target.id).drop_stops;
  if (!upstreams_.Reachable(target.id, entry_) || drop_stops > 0) {
    drop_stops = std::max(0, drop_stops - 1);
    return executor_.RunAfter(timeout, [done] {
      done({.verdict = CallVerdict::kUnknown, .detail = "no answer"});
    });
  }
  if (const auto verdict = upstreams_.CrashVerdict(target.id)) {
    return executor_.RunAfter(2 * kNetworkDelay, [done, verdict] {
      done({.verdict = *verdict, .detail = "Connection refused"});
    });
  }
  upstreams_.clock().At(upstreams_.clock().now() + kNetworkDelay, [=, this] {
    if (upstreams_.CrashVerdict(target.id)) return;
    upstreams_.Stop(target, task, attempt, fence);
  });
  executor_.RunAfter(2 * kNetworkDelay,
                     [done] { done({.verdict = CallVerdict::kDone}); });
}

void UpstreamClientFake::Renew(const ports::UpstreamTarget& target,
                               const ports::RenewCall& call, Millis timeout,
                               std::function<void(ports::RenewReply)> done) {
  ports::RenewReply time_out;
  time_out.call = {.verdict = CallVerdict::kUnknown, .detail = "no answer"};
  OverLink<ports::RenewReply>("renew", kCallBytes, timeout, time_out,
                              std::move(done),
                              [this, target, call, timeout](const auto& reply) {
                                DoRenew(target, call, timeout, reply);
                              });
}

void UpstreamClientFake::DoRenew(
    const ports::UpstreamTarget& target, const ports::RenewCall& call,
    Millis timeout, const std::function<void(ports::RenewReply)>& done) {
  ports::RenewReply no_answer;
  no_answer.call = {.verdict = CallVerdict::kUnknown, .detail = "no answer"};
  const auto time_out = [&] {
    executor_.RunAfter(timeout, [done, no_answer] { done(no_answer); });
  };
  const auto renew = [this, target, call] {
    return upstreams_.Renew(target, call);
  };
  if (upstreams_.WaitsForRestart(target.id, entry_)) {
    return CallAfterRestart<ports::RenewReply>(target.id, timeout, renew,
                                               no_answer, done);
  }
  if (!upstreams_.Reachable(target.id, entry_)) return time_out();
  const int64_t incarnation = upstreams_.Incarnation(target.id);
  if (const auto verdict = upstreams_.CrashVerdict(target.id)) {
    return executor_.RunAfter(2 * kNetworkDelay, [done, verdict] {
      ports::RenewReply reply;
      reply.call = {.verdict = *verdict, .detail = "Connection refused"};
      done(reply);
    });
  }
  auto reply = std::make_shared<ports::RenewReply>();
  UpstreamFaults& faults = upstreams_.faults(target.id);
  if (faults.delayed_renewals > 0) {
    --faults.delayed_renewals;
    upstreams_.ExecuteAfterDelay(target.id, renew);
    return time_out();
  }
  const Millis delay =
      call.wait > Millis(0) ? faults.long_poll_wait : kNetworkDelay;
  Millis back = kNetworkDelay;
  if (faults.delayed_renew_replies > 0) {
    --faults.delayed_renew_replies;
    back += faults.renew_reply_delay;
  }
  const auto answered = std::make_shared<bool>(false);
  upstreams_.clock().At(
      upstreams_.clock().now() + delay,
      [this, id = target.id, renew, reply, answered, incarnation] {
        *answered = upstreams_.Serves(id, incarnation);
        if (*answered) *reply = renew();
      });
  executor_.RunAfter(delay + back, [=, this] {
    if (*answered || !upstreams_.crashes_silently()) return done(*reply);
    executor_.RunAfter(std::max(Millis(0), timeout - delay - back),
                       [done, reply] { done(*reply); });
  });
}

void UpstreamClientFake::RequestAdvice(
    const StepId& step, const std::vector<std::string>& upstreams, Millis,
    Callback<ports::Advice> done) {
  constexpr Millis kAdviceDelay{10};
  ports::Advice advice;
  advice.valid = Millis(1500);
  for (const std::string& upstream : upstreams) {
    // Allows at least every other upstream, so that every job can be placed.
    const bool even = (upstream.back() - '0') % 2 == 0;
    const bool allowed = even || Hash64(upstream + StepIdText(step)) % 3 != 0;
    if (allowed) advice.allowed.push_back({upstream, "ticket"});
  }
  executor_.RunAfter(kAdviceDelay, [done, advice] { done(advice); });
}

}  // namespace mimosarail::jobsim
