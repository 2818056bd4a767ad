// The part of Coordinator that applies AdmissionPolicy::kDeadline: it passes
// the load to Admission, and answers and reports what that decides.

#include <algorithm>
#include <cmath>

#include "src/coordinator/backlog_builder.h"
#include "src/coordinator/coordinator.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using placement::Dimension;

/// Time after which a caller retries a job that was refused because the store
/// is unavailable, without AdmissionPolicy::kDeadline.
constexpr int64_t kStoreRetryAfterMs = 1000;
/// Age from which the backlog is read again. Reading it costs as much as
/// a short placement pass, and it changes by at most this much of wait.
constexpr Millis kBacklogPeriod{100};
/// Number of queues that are summarized for other entries. Their names take
/// 2 KB of a heartbeat reply.
constexpr size_t kMaxSummarizedQueues = 64;
/// Number of pairs of queue and account, those with the most waiting work, that
/// have metrics or are logged.
constexpr size_t kMaxBacklogSeries = 100;
constexpr size_t kMaxLoggedBacklogs = 6;
/// Refusals this long ago count 1/e towards the callers that will return.
constexpr Millis kRefusalMemory{5000};
/// Number of waiting steps, from the front, for which free capacity is looked
/// for; each visits all upstreams.
constexpr int kMaxCapacityChecks = 10;
constexpr double kMillicoresPerCore = 1000;
constexpr double kMsPerSecond = 1000;

int64_t SteadyMs(TimePoint at) {
  return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
}

double CoreSeconds(double core_ms) { return core_ms / kMsPerSecond; }

/// Differs between the jobs of callers who number them one by one, and between
/// the attempts to submit the same job.
uint64_t SpreadSeed(JobId id, TimePoint now) {
  constexpr uint64_t kOddFactor = 0x9e3779b97f4a7c15ULL;
  return (static_cast<uint64_t>(id) * kOddFactor) ^
         static_cast<uint64_t>(SteadyMs(now));
}

NewJob ToNewJob(const wire::JobSpec& spec, TimePoint now) {
  const Job job(spec);
  NewJob out{.pool = spec.queue.pool,
             .queue = spec.queue.name,
             .account = spec.account,
             .priority = spec.queue.priority,
             .objective = job.Objective(),
             .exempt = job.timed(),
             .spread_seed = SpreadSeed(job.id(), now)};
  for (int32_t step = 0; step < job.steps(); ++step) {
    const wire::StepSpec& it = job.step(step);
    if (it.after.empty()) {
      out.ready_work += scheduling::EstimatedWork(it, it.tasks);
    }
    out.critical_path = std::max(out.critical_path, job.CriticalPathFrom(step));
    out.exempt = out.exempt || it.long_running;
  }
  out.latest_start_ms = SteadyMs(now + out.objective - job.CriticalPathFrom(0));
  return out;
}

}  // namespace

void Coordinator::UpdateBacklog() {
  if (options_.admission != AdmissionPolicy::kDeadline) return;
  const TimePoint now = deps_.executor.Now();
  if (now - backlog_read_at_ < kBacklogPeriod) return;
  backlog_read_at_ = now;
  Backlog backlog;
  scheduling::AccountLedger& accounts = scheduler_.pool().accounts();
  BacklogBuilder builder;
  int capacity_checks = kMaxCapacityChecks;
  for (const scheduling::WaitingStep& waiting : scheduler_.WaitingSteps()) {
    builder.Add(waiting);
    const wire::JobSpec& spec = waiting.job->spec();
    if (backlog.saturated.count(spec.queue.pool) > 0) continue;
    const wire::StepSpec& step = waiting.job->step(waiting.step);
    const int32_t permitted = accounts.FreeTasks(accounts.IndexOf(spec.account),
                                                 scheduling::TaskCharge(step));
    if (permitted < (step.gang ? step.tasks : 1)) continue;
    // A step that waits for advice or for the link, while capacity is free,
    // does not show how fast the pool works.
    if (!MaySendOrders() || capacity_checks == 0) continue;
    --capacity_checks;
    if (!scheduler_.HasFreeCapacityFor(spec, now)) {
      backlog.saturated.insert(spec.queue.pool);
    }
  }
  backlog.rows = builder.Rows();
  for (const auto& [id, submission] : pending_submissions_) {
    if (submission.waiting) backlog.rows.push_back(*submission.waiting);
  }
  for (const UpstreamIndex index : scheduler_.pool().all()) {
    const scheduling::Upstream& upstream = scheduler_.pool().at(index);
    if (!upstream.AcceptsWork()) continue;
    backlog.capacity[upstream.entry.pool] +=
        upstream.capacity[Dimension::kCores] / kMillicoresPerCore;
  }
  static const std::vector<ports::AccountConfig> kNoAccounts;
  const Accounts& configured = deps_.accounts();
  for (const ports::AccountConfig& account :
       configured ? *configured : kNoAccounts) {
    backlog.accounts[account.name] = {
        .limit_cores =
            static_cast<double>(account.limit.millicores) / kMillicoresPerCore,
        .weight = account.weight};
  }
  admission_.SetBacklog(std::move(backlog), now);
  LogRefusedQueues();
}

std::optional<Millis> Coordinator::RefuseByDeadline(const wire::JobSpec& spec) {
  if (options_.admission != AdmissionPolicy::kDeadline) return std::nullopt;
  // Until the upstreams have reported what they run, capacity and backlog are
  // not known.
  if (!scheduler_.resolved() || deps_.configured_pools() == nullptr) {
    return std::nullopt;
  }
  UpdateBacklog();
  const TimePoint now = deps_.executor.Now();
  const NewJob job = ToNewJob(spec, now);
  if (!job.exempt && (newest_jobs_.size() < kMaxSummarizedQueues ||
                      newest_jobs_.count(job.queue) > 0)) {
    newest_jobs_[job.queue] = job;
  }
  const AdmissionDecision decision = admission_.Decide(
      job, [&] { return scheduler_.HasFreeCapacityFor(spec, now); }, now);
  if (decision.admit) return std::nullopt;
  const std::string cause(kRefusalCauseNames.Name(decision.cause));
  CountRefusedJob(cause, job.queue);
  logging::Event(Level::kInfo, "job refused",
                 {{"job", JobIdText(static_cast<JobId>(spec.id))},
                  {"queue", job.queue},
                  {"account", job.account},
                  {"cause", cause},
                  {"expected_wait_ms", Text(decision.wait.expected.count())},
                  {"least_wait_ms", Text(decision.wait.at_least.count())},
                  {"earliest_end_ms", Text(decision.earliest_end.count())},
                  {"deadline_ms", Text(decision.deadline.count())},
                  {"retry_after_ms", Text(decision.retry_after.count())}});
  return decision.retry_after;
}

void Coordinator::NoteAdmitted(const wire::JobSpec& spec) {
  if (options_.admission != AdmissionPolicy::kDeadline) return;
  const NewJob job = ToNewJob(spec, deps_.executor.Now());
  if (job.exempt) return;
  const BacklogRow row = RowOf(job);
  pending_submissions_[static_cast<JobId>(spec.id)].waiting = row;
  admission_.AddAccepted(row);
}

void Coordinator::LogRefusedQueues() {
  const TimePoint now = deps_.executor.Now();
  for (const auto& [key, refused] : admission_.TakeChanges(now)) {
    const auto& [queue, account] = key;
    const auto newest = newest_jobs_.find(queue);
    WaitEstimate wait;
    if (newest != newest_jobs_.end()) {
      NewJob job = newest->second;
      if (!account.empty()) job.account = account;
      wait = admission_.EstimateWait(job);
    }
    double waiting = 0;
    for (const BacklogRow& row : admission_.backlog().rows) {
      const bool own = account.empty() || row.account == account;
      if (row.queue == queue && own) waiting += row.work;
    }
    const std::string pool =
        newest == newest_jobs_.end() ? "" : newest->second.pool;
    const auto capacity = admission_.backlog().capacity.find(pool);
    const double cores =
        capacity == admission_.backlog().capacity.end() ? 0 : capacity->second;
    logging::Event(
        refused ? Level::kWarning : Level::kInfo,
        refused ? "queue refused" : "queue accepted again",
        {{"queue", queue},
         {"account", account},
         {"waiting_core_s", Text(std::llround(CoreSeconds(waiting)))},
         {"expected_wait_ms", Text(wait.expected.count())},
         {"cores", Text(std::llround(cores))},
         {"cores_worked",
          Text(std::llround(admission_.rates().Rate(pool, cores)))}});
  }
}

void Coordinator::NoteFinishedRun(UpstreamIndex upstream,
                                  const ports::EndedTask& end) {
  if (options_.admission != AdmissionPolicy::kDeadline) return;
  if (end.kind != ports::EndKind::kDone) return;
  const Job* job = scheduler_.Find(end.task.job);
  if (job == nullptr || !job->Has(end.task)) return;
  const wire::StepSpec& step = job->step(end.task.step);
  const scheduling::Reservations& reserved =
      scheduler_.pool().at(upstream).reservations;
  const auto run = reserved.find({end.task, end.attempt});
  if (step.long_running || run == reserved.end()) return;
  const TimePoint started = run->second.started_at.value_or(TimePoint{});
  if (started == TimePoint{}) return;
  const std::chrono::duration<double, std::milli> ran =
      deps_.executor.Now() - started;
  const double cores =
      scheduling::TaskResources(step)[Dimension::kCores] / kMillicoresPerCore;
  admission_.rates().NoteFinished(job->queue().pool, job->queue().name,
                                  cores * ran.count(),
                                  scheduling::EstimatedWork(step, 1));
}

void Coordinator::ReportBacklog() {
  if (options_.admission != AdmissionPolicy::kDeadline) return;
  using Pair = std::pair<std::string, std::string>;
  std::map<Pair, double> work;
  for (const BacklogRow& row : admission_.backlog().rows) {
    work[{row.queue, row.account}] += row.work;
  }
  std::vector<std::pair<double, Pair>> most;
  for (const auto& [pair, amount] : work) most.emplace_back(amount, pair);
  std::sort(most.rbegin(), most.rend());
  if (most.size() > kMaxBacklogSeries) most.resize(kMaxBacklogSeries);
  const TimePoint now = deps_.executor.Now();
  const auto set = [&](const Pair& pair, double core_s, double wait_ms) {
    const std::map<std::string, std::string> labels{{"queue", pair.first},
                                                    {"account", pair.second}};
    deps_.metrics.Set({.name = "waiting_core_seconds", .labels = labels},
                      core_s);
    deps_.metrics.Set({.name = "expected_wait_ms", .labels = labels}, wait_ms);
  };
  for (const Pair& pair : std::exchange(reported_backlogs_, {})) {
    set(pair, 0, 0);
  }
  for (size_t i = 0; i < most.size(); ++i) {
    const auto& [amount, pair] = most[i];
    const auto newest = newest_jobs_.find(pair.first);
    Millis wait{0};
    if (newest != newest_jobs_.end()) {
      NewJob job = newest->second;
      job.account = pair.second;
      job.latest_start_ms = SteadyMs(now + job.objective - job.critical_path);
      wait = admission_.EstimateWait(job).expected;
    }
    reported_backlogs_.insert(pair);
    set(pair, CoreSeconds(amount), static_cast<double>(wait.count()));
    if (i >= kMaxLoggedBacklogs) continue;
    logging::Event(
        Level::kInfo, "work waits",
        {{"queue", pair.first},
         {"account", pair.second},
         {"waiting_core_s", Text(std::llround(CoreSeconds(amount)))},
         {"expected_wait_ms", Text(wait.count())},
         {"refused",
          admission_.Refuses(pair.first, pair.second) ? "yes" : "no"}});
  }
}

std::optional<wire::LoadSummary> Coordinator::SummarizeLoad() const {
  const bool known = options_.admission == AdmissionPolicy::kDeadline &&
                     loaded_ && backlog_read_at_ != TimePoint{};
  if (!known) return std::nullopt;
  const TimePoint now = deps_.executor.Now();
  wire::LoadSummary out;
  out.age_ms =
      std::chrono::duration_cast<Millis>(now - backlog_read_at_).count();
  for (const auto& [queue, newest] : newest_jobs_) {
    NewJob job = newest;
    job.latest_start_ms = SteadyMs(now + job.objective - job.critical_path);
    const WaitEstimate wait = admission_.EstimateWait(job);
    wire::QueueLoad row;
    row.queue = queue;
    row.expected_wait_ms = wait.expected.count();
    row.refused = admission_.Refuses(queue);
    row.retry_after_ms = SpreadReturn(wait.expected, Millis(0), 0, 0).count();
    out.queues.push_back(std::move(row));
  }
  return out;
}

void Coordinator::CountRefusedJob(const std::string& reason,
                                  const std::string& queue) {
  deps_.metrics.Count({.name = "jobs_refused",
                       .labels = {{"reason", reason}, {"queue", queue}}});
}

int64_t Coordinator::StoreRetryAfterMs(JobId id) {
  if (options_.admission != AdmissionPolicy::kDeadline) {
    return kStoreRetryAfterMs;
  }
  const TimePoint now = deps_.executor.Now();
  const std::chrono::duration<double> passed = now - store_refused_at_;
  const std::chrono::duration<double> memory = kRefusalMemory;
  store_refusals_ = 1 + store_refusals_ * std::exp(-(passed / memory));
  store_refused_at_ = now;
  return SpreadReturnEvenly(Millis(kStoreRetryAfterMs),
                            ReturnWindow(std::llround(store_refusals_)),
                            SpreadSeed(id, now))
      .count();
}

}  // namespace mimosarail::coordinator
