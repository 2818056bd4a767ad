#include "src/coordinator/coordinator.h"

#include <algorithm>
#include <cmath>

#include "src/coordinator/job_table.h"
#include "src/coordinator/speed_report.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using scheduling::Orders;

constexpr Millis kTickPeriod{50};
/// Interval at which the load is logged, with the reasons why steps wait.
constexpr Millis kLoadLogPeriod{2000};
/// Number of steps, those that have waited longest, whose reason is logged.
constexpr size_t kMaxExplainedSteps = 4;
/// Number of accounts, those with the most waiting steps, that are logged.
constexpr size_t kMaxLoggedAccounts = 4;
/// Number of accounts, the first ones by name, that have metrics.
constexpr size_t kMaxAccountSeries = 50;
/// Added to the expected duration of an adviser call to obtain its timeout.
constexpr Millis kAdviceTimeoutMargin{600};

/// Attempt numbers reserved for each term, so that the attempts of a later
/// leader have higher numbers than all earlier ones.
constexpr int64_t kAttemptsPerTerm = 100000;

/// The scheduler's options for this term.
scheduling::SchedulerOptions SchedulerOptionsFor(
    const CoordinatorOptions& options) {
  scheduling::SchedulerOptions out = options.scheduler;
  out.attempt_base = options.term * kAttemptsPerTerm;
  return out;
}

/// The factor in percent; empty while speeds are not in use.
std::string SpeedPercent(const std::optional<double>& factor) {
  constexpr double kPercent = 100;
  return factor ? Text(std::llround(*factor * kPercent)) : "";
}

}  // namespace

Coordinator::Coordinator(Dependencies deps, CoordinatorOptions options)
    : deps_(std::move(deps)),
      options_(std::move(options)),
      scheduler_(SchedulerOptionsFor(options_)),
      order_budget_(options_.link_kb_per_s),
      next_fence_(options_.term * fleet::kFenceSpan),
      unknown_cancels_(
          deps_.executor, deps_.metrics,
          {.tombstones = {.term = options_.term,
                          .retention = options_.tombstone_retention},
           .reply_deadline = options_.reply_deadline}),
      admission_(options_.scheduler.queue_order,
                 options_.scheduler.priority_price) {
  journal_ = std::make_shared<journal::Journal>(
      deps_.executor, deps_.store,
      journal::JournalOptions{
          .table = options_.table, .writer = "leader", .epoch = options_.term},
      [this] { deps_.on_leadership_lost("the journal was fenced"); });
  if (deps_.hosts != nullptr) MakeWaveManager();
}

void Coordinator::MakeWaveManager() {
  wave_manager_ = std::make_shared<maintenance::WaveManager>(
      maintenance::WaveManager::Dependencies{
          .executor = deps_.executor,
          .store = deps_.store,
          .hosts = *deps_.hosts,
          .wave_status = *deps_.wave_status,
          .journal = journal_,
          .workload = *this,
          .metrics = deps_.metrics,
          .waves = deps_.requested_waves,
          .on_leadership_lost = deps_.on_leadership_lost},
      maintenance::WaveManagerOptions{
          .holder = options_.holder,
          .term = options_.term,
          .maintenance_duration = options_.maintenance_duration,
          .lists_per_s = options_.host_lists_per_s,
          .orders_per_s = options_.host_orders_per_s,
          .host_holder_timeout = options_.host_holder_timeout});
}

void Coordinator::Start() {
  OnAccountsChanged();
  journal_->Open([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed_) self->LoadPage("");
  });
}

void Coordinator::Close() {
  closed_ = true;
  journal_->Close();
  if (wave_manager_) wave_manager_->Close();
  for (auto& [index, link] : links_) link->Close();
  FailPendingSubmissions();
}

void Coordinator::Tick() {
  if (closed_) return;
  scheduler_.Tick(deps_.executor.Now(), deps_.executor.UnixMillis());
  DropUnresponsiveUpstreams();
  ResolveWhenRunningTasksKnown();
  RefuseUnsentJobs();
  DropFinalJobs();
  unknown_cancels_.DropExpired(*journal_);
  UpdateMemoryBudget();
  UpdateBacklog();
  ReportLoad();
  SchedulePlacement();
  deps_.executor.RunAfter(kTickPeriod, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

void Coordinator::ReportLoad() {
  const TimePoint now = deps_.executor.Now();
  if (now - load_logged_at_ < kLoadLogPeriod) return;
  load_logged_at_ = now;
  deps_.metrics.Set({.name = "waiting_steps"},
                    static_cast<double>(scheduler_.waiting_steps()));
  deps_.metrics.Set({.name = "jobs_kept"},
                    static_cast<double>(scheduler_.job_count()));
  const scheduling::AdviceBudget lanes = lanes_.Budget(now);
  logging::Event(Level::kInfo, "load",
                 {{"load", scheduler_.DescribeLoad()},
                  {"lanes_free", Text(lanes.any)},
                  {"urgent_lanes_free", Text(lanes.urgent_only)}});
  ReportMemory();
  ReportUpstreams(now);
  ReportAccounts();
  if (options_.scheduler.upstream_speed_spread > 0) {
    ReportSpeeds(scheduler_.pool(), scheduler_.speeds_in_use(), now,
                 deps_.metrics);
  }
  ReportBacklog();
  for (const auto& [step, why] :
       scheduler_.ExplainWaiting(kMaxExplainedSteps, now)) {
    logging::Event(Level::kInfo, "step waits",
                   {{"step", StepIdText(step)}, {"why", why}});
  }
}

void Coordinator::ReportUpstreams(TimePoint now) {
  const scheduling::UpstreamPool& pool = scheduler_.pool();
  std::map<scheduling::UpstreamState, int64_t> counts;
  for (const UpstreamIndex index : pool.all()) ++counts[pool.State(index, now)];
  for (const auto& [state, name] : scheduling::kUpstreamStateNames) {
    deps_.metrics.Set(
        {.name = "upstreams", .labels = {{"state", std::string(name)}}},
        static_cast<double>(counts[state]));
  }
}

void Coordinator::ReportAccounts() {
  std::vector<scheduling::AccountLoad> loads = scheduler_.AccountLoads();
  for (size_t i = 0; i < std::min(loads.size(), kMaxLoggedAccounts); ++i) {
    if (loads[i].waiting_steps == 0) break;
    logging::Event(Level::kInfo, "account waits",
                   {{"account", loads[i].name},
                    {"millicores", Text(loads[i].millicores)},
                    {"limit_millicores", Text(loads[i].limit_millicores)},
                    {"waiting_steps", Text(loads[i].waiting_steps)}});
  }
  std::sort(loads.begin(), loads.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  if (loads.size() > kMaxAccountSeries) loads.resize(kMaxAccountSeries);
  for (const scheduling::AccountLoad& load : loads) {
    const std::map<std::string, std::string> labels{{"account", load.name}};
    deps_.metrics.Set({.name = "account_millicores", .labels = labels},
                      static_cast<double>(load.millicores));
    deps_.metrics.Set({.name = "account_limit_millicores", .labels = labels},
                      static_cast<double>(load.limit_millicores));
    deps_.metrics.Set({.name = "account_waiting_steps", .labels = labels},
                      static_cast<double>(load.waiting_steps));
  }
}

void Coordinator::DropFinalJobs() {
  const TimePoint now = deps_.executor.Now();
  for (auto at = final_jobs_.begin(); at != final_jobs_.end();) {
    auto& [id, job] = *at;
    if (job.spec_stored && now - job.final_since > options_.spec_retention &&
        (scheduler_.Find(id) == nullptr || scheduler_.CanRemove(id))) {
      scheduler_.Remove(id);
      journal_->Remove(SpecKey(id));
      job.spec_stored = false;
    }
    if (!job.spec_stored && now - job.final_since > options_.state_retention) {
      journal_->Remove(ProgressKey(id));
      at = final_jobs_.erase(at);
    } else {
      ++at;
    }
  }
}

void Coordinator::SetLanes(const std::vector<std::string>& addresses) {
  lanes_.SetEntries(addresses, deps_.executor.Now());
}

void Coordinator::ExecuteOrders(Orders& orders) {
  StoreChanges();
  for (const scheduling::StopOrder& stop : orders.stops) {
    const auto link = links_.find(stop.upstream);
    if (link == links_.end()) continue;
    if (stop.orphaned) {
      LogOrphanedRun(stop);
    } else {
      LogStop(stop);
    }
    link->second->Stop(stop.task, stop.attempt);
  }
  for (const scheduling::StartOrder& start : orders.starts) {
    const auto link = links_.find(start.upstream);
    if (link == links_.end()) continue;
    deps_.metrics.Count({.name = "task_starts"});
    logging::Event(Level::kInfo, "start",
                   {{"task", TaskIdText(start.task)},
                    {"attempt", Text(start.attempt)},
                    {"upstream", scheduler_.pool().at(start.upstream).entry.id},
                    {"checkpoint", start.checkpoint},
                    {"speed_percent", SpeedPercent(start.speed_factor)}});
    link->second->Start(start);
  }
  for (const scheduling::AdviceOrder& order : orders.advice) {
    RequestAdvice(order);
  }
  for (const scheduling::LostRun& run : orders.lost) LogLostRun(run);
  for (const scheduling::EvidenceEvent& event : orders.evidence) {
    LogEvidence(event);
  }
  for (const scheduling::PermanentlyFailedTask& task :
       orders.permanently_failed) {
    LogPermanentlyFailed(task);
    ReportJobFailure(ExplainCrashes(task));
  }
  for (const TaskId& task : orders.attempts_exhausted) {
    const Job* job = scheduler_.Find(task.job);
    if (job == nullptr) continue;
    ReportJobFailure(ExplainFailedAttempts(*job, task, failed_runs_));
  }
  for (const scheduling::HealthEvent& event : orders.health) {
    LogHealthChange(event);
  }
  for (const scheduling::DelayedRestart& restart : orders.delayed_restarts) {
    LogDelayedRestart(restart);
  }
}

void Coordinator::StoreChanges() {
  for (const JobId id : scheduler_.TakeChangedJobs()) {
    const Job* job = scheduler_.Find(id);
    if (job == nullptr) continue;
    StoreProgress(*job);
    scheduler_.UpdateMemory(id);
    if (!job->final() || final_jobs_.count(id) > 0) continue;
    journal_->WhenStored(
        [weak = weak_from_this(), id, state = job->state()](bool stored) {
          const auto self = weak.lock();
          if (stored && self && !self->closed_) self->OnJobFinished(id, state);
        });
  }
}

void Coordinator::StoreProgress(const Job& job) {
  const JobId id = job.id();
  if (!job.final() && job.progress_parts() > 0) {
    std::vector<std::string>& parts = progress_parts_[id];
    parts.resize(job.progress_parts());
    for (size_t part = 0; part < parts.size(); ++part) {
      const std::string key = ProgressPartKey(id, part);
      const wire::ProgressRecord record = job.ProgressPart(part);
      std::string value =
          record.tasks.empty() ? "" : EncodeProgress(key, record);
      if (value == parts[part]) continue;
      journal_->Put(key, value);
      parts[part] = std::move(value);
    }
  }
  const std::string key = ProgressKey(id);
  journal_->Put(key, EncodeProgress(key, job.Progress()));
}

void Coordinator::RemoveProgressParts(JobId id) {
  const auto found = progress_parts_.find(id);
  if (found == progress_parts_.end()) return;
  for (size_t part = 0; part < found->second.size(); ++part) {
    if (found->second[part].empty()) continue;
    journal_->Remove(ProgressPartKey(id, part));
  }
  progress_parts_.erase(found);
}

void Coordinator::OnJobFinished(JobId id, JobState state) {
  final_jobs_[id] = {.state = state,
                     .account = OwnerOf(id),
                     .final_since = deps_.executor.Now(),
                     .spec_stored = true,
                     .ended_in_this_term = true};
  RemoveProgressParts(id);
  deps_.metrics.Count(
      {.name = "jobs_ended",
       .labels = {{"state", std::string(kJobStateNames.Name(state))}}});
  logging::Event(Level::kInfo, "job ended",
                 {{"job", JobIdText(id)},
                  {"state", std::string(kJobStateNames.Name(state))}});
}

void Coordinator::SchedulePlacement() {
  if (placement_scheduled_ || closed_) return;
  placement_scheduled_ = true;
  const Millis delay = placement_pacing_.DelayAt(deps_.executor.Now());
  deps_.executor.RunAfter(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->RunPlacement();
  });
}

void Coordinator::RunPlacement() {
  placement_scheduled_ = false;
  if (!MaySendOrders() || !loaded_) return;
  const TimePoint now = deps_.executor.Now();
  Orders orders;
  scheduler_.Place(now, lanes_.Budget(now), orders, AvailableForStarts(now));
  ChargeStarts(orders, now);
  ExecuteOrders(orders);
  placement_pacing_.NotePass(now, deps_.executor.Now());
}

void Coordinator::RequestAdvice(const scheduling::AdviceOrder& order) {
  const std::string lane = lanes_.Acquire(order.priority, deps_.executor.Now());
  if (lane.empty()) {
    return scheduler_.OnAdvice(order, nullptr, deps_.executor.Now());
  }
  logging::Event(
      Level::kDebug, "advice requested",
      {{"step", StepIdText(order.step)},
       {"entry", lane},
       {"upstreams", Text(static_cast<int64_t>(order.upstreams.size()))},
       {"expected_ms", Text(order.expected.count())}});
  deps_.advice_caller.RequestAdvice(
      lane, order.step, order.upstreams, order.expected + kAdviceTimeoutMargin,
      [weak = weak_from_this(), order,
       lane](const Result<ports::Advice>& advice) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        const TimePoint now = self->deps_.executor.Now();
        self->lanes_.Release(lane, !advice.ok(), now);
        if (!advice.ok()) {
          logging::Event(Level::kWarning, "advice failed",
                         {{"step", StepIdText(order.step)},
                          {"entry", lane},
                          {"cause", advice.error().message}});
        }
        if (advice.ok()) {
          logging::Event(
              Level::kInfo, "advice received",
              {{"step", StepIdText(order.step)},
               {"to", std::string(
                          scheduling::kAdvicePurposeNames.Name(order.purpose))},
               {"asked", Text(static_cast<int64_t>(order.upstreams.size()))},
               {"allowed",
                Text(static_cast<int64_t>(advice.value().allowed.size()))},
               {"valid_ms", Text(advice.value().valid.count())}});
        }
        self->scheduler_.OnAdvice(order,
                                  advice.ok() ? &advice.value() : nullptr, now);
        // The lane is free again, and the advice may allow the step to start.
        self->SchedulePlacement();
      });
}

}  // namespace mimosarail::coordinator
