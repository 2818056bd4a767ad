#include "src/coordinator/job_failures.h"

#include <algorithm>

#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

/// Number of runs that FailureText() names, the newest ones.
constexpr size_t kMaxRunsInText = 8;

EndSource SourceOf(UpstreamFate fate) {
  return fate == UpstreamFate::kMissing ? EndSource::kMissing
                                        : EndSource::kLaterIncarnation;
}

/// All counted runs, with those that are not listed one by one.
int64_t CountRuns(const JobFailure& failure) {
  return static_cast<int64_t>(failure.runs.size()) + failure.unlisted;
}

std::string RunText(const CountedRun& run) {
  std::string out = "attempt " + std::to_string(run.attempt);
  if (!run.upstream.empty()) {
    out += " on " + run.upstream + " incarnation " +
           std::to_string(run.incarnation);
  }
  return out + " (" + std::string(kCountReasonNames.Name(run.reason)) + ", " +
         std::string(kEndSourceNames.Name(run.source)) + ")";
}

}  // namespace

void FailedRuns::Add(const TaskId& keeper, const CountedRun& run) {
  const Key key(keeper, run.attempt);
  if (!runs_.emplace(key, run).second) return;
  by_age_.push_back(key);
  if (by_age_.size() <= max_runs_) return;
  runs_.erase(by_age_.front());
  by_age_.pop_front();
  any_dropped_ = true;
}

CountedRun FailedRuns::Find(const TaskId& keeper, int64_t attempt) const {
  const auto found = runs_.find({keeper, attempt});
  if (found != runs_.end()) return found->second;
  return {.task = keeper,
          .attempt = attempt,
          .source =
              any_dropped_ ? EndSource::kForgotten : EndSource::kEarlierLeader};
}

void JobFailures::Add(JobFailure failure) {
  const JobId id = failure.task.job;
  if (!failures_.insert_or_assign(id, std::move(failure)).second) return;
  by_age_.push_back(id);
  if (by_age_.size() <= max_jobs_) return;
  failures_.erase(by_age_.front());
  by_age_.pop_front();
}

const JobFailure* JobFailures::Find(JobId id) const {
  const auto found = failures_.find(id);
  return found == failures_.end() ? nullptr : &found->second;
}

JobFailure ExplainFailedAttempts(const Job& job, const TaskId& task,
                                 const FailedRuns& seen) {
  const TaskId keeper = job.FailureKeeper(task);
  const Task& counted = job.task(keeper);
  JobFailure out{.task = task,
                 .cause = FailureCause::kAttempts,
                 .max_attempts = job.queue().max_attempts,
                 .unlisted = counted.unlisted_failures};
  for (const int64_t attempt : counted.failed_attempts) {
    out.runs.push_back(seen.Find(keeper, attempt));
  }
  return out;
}

CountedRun ToCountedRun(const TaskId& task, const SuspectedCrash& crash) {
  return {.task = task,
          .attempt = crash.attempt,
          .upstream = crash.upstream,
          .incarnation = crash.incarnation,
          .source = SourceOf(crash.fate),
          .reason = crash.early() ? CountReason::kEarlyCrash
                                  : CountReason::kLaterCrash};
}

JobFailure ExplainCrashes(const scheduling::PermanentlyFailedTask& task) {
  JobFailure out{.task = task.task, .cause = FailureCause::kCrashes};
  for (const SuspectedCrash& crash : task.crashes) {
    out.runs.push_back(ToCountedRun(task.task, crash));
  }
  return out;
}

std::string FailureText(const JobFailure& failure) {
  std::string out = "task " + TaskIdText(failure.task) + ": " +
                    std::string(kFailureCauseNames.Name(failure.cause)) + ", " +
                    std::to_string(CountRuns(failure));
  if (failure.max_attempts > 0) {
    out += " of " + std::to_string(failure.max_attempts);
  }
  const size_t named = std::min(failure.runs.size(), kMaxRunsInText);
  const int64_t unnamed = CountRuns(failure) - static_cast<int64_t>(named);
  std::string separator = ": ";
  if (unnamed > 0) {
    out += separator + std::to_string(unnamed) + " earlier ones";
    separator = ", ";
  }
  for (auto run = failure.runs.end() - static_cast<int64_t>(named);
       run != failure.runs.end(); ++run) {
    out += separator + RunText(*run);
    separator = ", ";
  }
  return out;
}

void LogJobFailure(const JobFailure& failure) {
  logging::Event(
      Level::kWarning, "job failed",
      {{"job", JobIdText(failure.task.job)},
       {"task", TaskIdText(failure.task)},
       {"cause", std::string(kFailureCauseNames.Name(failure.cause))},
       {"counted", Text(CountRuns(failure))},
       {"max_attempts", Text(static_cast<int64_t>(failure.max_attempts))}});
  // The scheduler's owner logs each crash with its evidence.
  if (failure.cause == FailureCause::kCrashes) return;
  for (const CountedRun& run : failure.runs) {
    logging::Event(Level::kWarning, "failure counted",
                   {{"task", TaskIdText(run.task)},
                    {"attempt", Text(run.attempt)},
                    {"upstream", run.upstream},
                    {"incarnation", Text(run.incarnation)},
                    {"how", "failed"},
                    {"said_by", std::string(kEndSourceNames.Name(run.source))},
                    {"why", std::string(kCountReasonNames.Name(run.reason))}});
  }
}

}  // namespace mimosarail::coordinator
