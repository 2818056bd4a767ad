// The part of Coordinator that logs what the scheduler has decided, and why
// jobs have failed.

#include <algorithm>

#include "src/coordinator/coordinator.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

/// One run that is evidence that its task crashes upstreams, for a log line.
std::vector<logging::Field> DescribeCrash(const TaskId& task,
                                          const SuspectedCrash& crash) {
  return {{"task", TaskIdText(task)},
          {"attempt", Text(crash.attempt)},
          {"upstream", crash.upstream},
          {"incarnation", Text(crash.incarnation)},
          {"fate", std::string(kUpstreamFateNames.Name(crash.fate))},
          {"last_seen_ms", Text(crash.last_seen.count())},
          {"silent_after_ms", Text(crash.silent_after.count())},
          {"sole_suspect", crash.sole_suspect ? "yes" : "no"}};
}

}  // namespace

void Coordinator::LogDelayedRestart(const scheduling::DelayedRestart& restart) {
  deps_.metrics.Count({.name = "restarts_delayed"});
  logging::Event(Level::kInfo, "restart delayed",
                 {{"task", TaskIdText(restart.task)},
                  {"failures", Text(static_cast<int64_t>(restart.failures))},
                  {"delay_ms", Text(restart.delay.count())}});
}

void Coordinator::LogHealthChange(const scheduling::HealthEvent& event) {
  const std::string change(scheduling::kHealthChangeNames.Name(event.change));
  deps_.metrics.Count(
      {.name = "upstream_health_changes", .labels = {{"to", change}}});
  logging::Event(Level::kInfo, "upstream health",
                 {{"upstream", scheduler_.pool().at(event.upstream).entry.id},
                  {"health", change},
                  {"task", TaskIdText(event.task)},
                  {"failures", Text(static_cast<int64_t>(event.failures))},
                  {"backoff_ms", Text(event.backoff.count())}});
}

void Coordinator::LogPermanentlyFailed(
    const scheduling::PermanentlyFailedTask& task) {
  deps_.metrics.Count({.name = "tasks_given_up"});
  const auto early =
      std::count_if(task.crashes.begin(), task.crashes.end(),
                    [](const SuspectedCrash& it) { return it.early(); });
  logging::Event(Level::kWarning, "task given up",
                 {{"job", JobIdText(task.task.job)},
                  {"task", TaskIdText(task.task)},
                  {"early_crashes", Text(early)},
                  {"other_crashes",
                   Text(static_cast<int64_t>(task.crashes.size()) - early)}});
  for (const SuspectedCrash& crash : task.crashes) {
    const CountedRun run = ToCountedRun(task.task, crash);
    std::vector<logging::Field> fields = DescribeCrash(task.task, crash);
    fields.push_back({"how", "lost with its upstream"});
    fields.push_back(
        {"said_by", std::string(kEndSourceNames.Name(run.source))});
    fields.push_back({"why", std::string(kCountReasonNames.Name(run.reason))});
    logging::Event(Level::kWarning, "crash counted", fields);
  }
}

void Coordinator::NoteFailedRun(UpstreamIndex upstream,
                                const ports::EndedTask& end) {
  if (end.kind != ports::EndKind::kFailed) return;
  const Job* job = scheduler_.Find(end.task.job);
  if (job == nullptr || job->final() || !job->Has(end.task)) return;
  if (job->step(end.task.step).long_running) return;
  const ports::UpstreamEntry& entry = scheduler_.pool().at(upstream).entry;
  failed_runs_.Add(job->FailureKeeper(end.task),
                   {.task = end.task,
                    .attempt = end.attempt,
                    .upstream = entry.id,
                    .incarnation = entry.incarnation,
                    .source = EndSource::kReport});
}

void Coordinator::ReportJobFailure(JobFailure failure) {
  deps_.metrics.Count({.name = "jobs_failed",
                       .labels = {{"cause", std::string(kFailureCauseNames.Name(
                                                failure.cause))}}});
  LogJobFailure(failure);
  job_failures_.Add(std::move(failure));
}

std::string Coordinator::FailureReason(JobId id, const FinalJob& job) const {
  const JobFailure* failure = job_failures_.Find(id);
  if (failure != nullptr) return FailureText(*failure);
  return job.ended_in_this_term ? "no longer kept, see the log"
                                : "decided by an earlier leader, see its log";
}

void Coordinator::LogEvidence(const scheduling::EvidenceEvent& event) {
  const std::string change(scheduling::kEvidenceChangeNames.Name(event.change));
  deps_.metrics.Count(
      {.name = "crash_evidence", .labels = {{"change", change}}});
  std::vector<logging::Field> fields = DescribeCrash(event.task, event.crash);
  fields.push_back({"change", change});
  logging::Event(Level::kInfo, "crash evidence", fields);
}

void Coordinator::LogLostRun(const scheduling::LostRun& run) {
  const std::string why(scheduling::kUpstreamLossNames.Name(run.reason));
  const auto ago = [](const std::optional<Millis>& span) {
    return span ? Text(span->count()) : "never";
  };
  deps_.metrics.Count({.name = "runs_lost", .labels = {{"why", why}}});
  logging::Event(Level::kInfo, "run lost with its upstream",
                 {{"task", TaskIdText(run.task)},
                  {"attempt", Text(run.attempt)},
                  {"upstream", scheduler_.pool().at(run.upstream).entry.id},
                  {"why", why},
                  {"began_ms_ago", ago(run.since_start)},
                  {"listed_ms_ago", ago(run.since_last_listed)}});
}

void Coordinator::LogStop(const scheduling::StopOrder& stop) {
  logging::Event(
      Level::kInfo, "stop",
      {{"task", TaskIdText(stop.task)},
       {"attempt", Text(stop.attempt)},
       {"upstream", scheduler_.pool().at(stop.upstream).entry.id},
       {"why", std::string(scheduling::kStopReasonNames.Name(stop.reason))}});
}

void Coordinator::LogOrphanedRun(scheduling::StopOrder stop) {
  // The scheduler removes a final job before its state is dropped here. For
  // such a job, the reason is derived from that state.
  const auto final = final_jobs_.find(stop.task.job);
  const bool removed_by_scheduler =
      stop.reason == scheduling::StopReason::kUnknownJob &&
      final != final_jobs_.end();
  if (removed_by_scheduler) {
    stop.reason = scheduling::ReasonToStop(final->second.state);
    if (final->second.ended_in_this_term) {
      stop.since_job_end = std::chrono::duration_cast<Millis>(
          deps_.executor.Now() - final->second.final_since);
    }
  }
  const std::string why(scheduling::kStopReasonNames.Name(stop.reason));
  deps_.metrics.Count({.name = "unasked_runs", .labels = {{"why", why}}});
  logging::Event(
      Level::kWarning, "unasked run stopped",
      {{"job", JobIdText(stop.task.job)},
       {"task", TaskIdText(stop.task)},
       {"attempt", Text(stop.attempt)},
       {"upstream", scheduler_.pool().at(stop.upstream).entry.id},
       {"why", why},
       {"job_ended_ms_ago",
        stop.since_job_end ? Text(stop.since_job_end->count()) : "not known"}});
}

}  // namespace mimosarail::coordinator
