#include "src/jobs/job_state.h"

#include <algorithm>

#include "src/jobs/crash_evidence.h"
#include "src/libs/base/utf8.h"

namespace mimosarail {
namespace {

void CheckDuration(const std::string& field, int64_t ms, Findings& findings) {
  if (ms >= 0 && ms <= kMaxSpecDurationMs) return;
  findings.Add(field, "must be 0 to " + std::to_string(kMaxSpecDurationMs));
}

void CheckCrash(const wire::CrashRecord& crash, Findings& findings) {
  if (crash.attempt < 1) findings.Add("crashes", "attempts must be 1 or more");
  if (crash.upstream.empty()) findings.Add("crashes", "upstream is missing");
  CheckDuration("crashes.last_seen_ms", crash.last_seen_ms, findings);
  CheckDuration("crashes.silent_after_ms", crash.silent_after_ms, findings);
  if (crash.fate < 0 ||
      crash.fate > static_cast<int32_t>(UpstreamFate::kMissing)) {
    findings.Add("crashes", std::to_string(crash.fate) + " is not a fate");
  }
}

/// The comparison rejects NaN as well.
void CheckUpTo(const std::string& field, double value, double max,
               Findings& findings) {
  if (value >= 0 && value <= max) return;
  findings.Add(field, "must be 0 to " + std::to_string(max));
}

void CheckStep(const wire::StepSpec& step, size_t at, Findings& findings) {
  const std::string field = "steps[" + std::to_string(at) + "]";
  if (step.tasks < 1 || step.tasks > kMaxStepTasks) {
    findings.Add(field + ".tasks",
                 "must be 1 to " + std::to_string(kMaxStepTasks));
  }
  for (const int32_t size :
       {step.millicores, step.memory_mb, step.accelerators}) {
    if (size >= 0 && size <= kMaxTaskSize) continue;
    findings.Add(field, "sizes must be 0 to " + std::to_string(kMaxTaskSize));
    break;
  }
  CheckDuration(field + ".estimate_ms", step.estimate_ms, findings);
  CheckDuration(field + ".target_ms", step.target_ms, findings);
  if (step.max_per_upstream < 0 || step.max_unavailable < 0) {
    findings.Add(field, "bounds must not be negative");
  }
  for (const int32_t before : step.after) {
    if (before < 0 || before >= static_cast<int32_t>(at)) {
      findings.Add(field + ".after", "must name earlier steps");
    }
  }
}

}  // namespace

void CheckJob(const wire::JobSpec& spec, Findings& findings) {
  if (spec.steps.empty()) findings.Add("steps", "must not be empty");
  if (spec.payload.size() > kMaxPayloadBytes) {
    findings.Add("payload",
                 "longer than " + std::to_string(kMaxPayloadBytes) + " bytes");
  }
  if (!IsUtf8(spec.payload)) findings.Add("payload", "must be UTF-8");
  if (spec.steps.size() > kMaxJobSteps) {
    findings.Add("steps", "more than " + std::to_string(kMaxJobSteps));
  }
  if (spec.occurrences < 0 || spec.occurrences > kMaxJobTasks) {
    findings.Add("occurrences", "must be 0 to " + std::to_string(kMaxJobTasks));
  }
  if (spec.first_due_ms < 0 || spec.first_due_ms > kMaxUnixMs) {
    findings.Add("first_due_ms", "must be 0 to " + std::to_string(kMaxUnixMs));
  }
  CheckDuration("interval_ms", spec.interval_ms, findings);
  int64_t tasks = 0;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    CheckStep(spec.steps[i], i, findings);
    tasks += std::clamp(spec.steps[i].tasks, 0, kMaxStepTasks);
  }
  tasks *= std::clamp(spec.occurrences, 1, kMaxJobTasks);
  if (tasks > kMaxJobTasks) {
    findings.Add("steps", "more than " + std::to_string(kMaxJobTasks) +
                              " tasks over all occurrences");
  }
}

void CheckStoredJob(const wire::JobSpec& spec, Findings& findings) {
  CheckJob(spec, findings);
  const wire::QueuePolicy& queue = spec.queue;
  if (queue.pool.empty()) findings.Add("queue.pool", "is missing");
  if (queue.max_attempts < 1) {
    findings.Add("queue.max_attempts", "must be 1 or more");
  }
  CheckUpTo("queue.slack_factor", queue.slack_factor, kMaxSlackFactor,
            findings);
  CheckUpTo("queue.advice_base_ms", queue.advice_base_ms, kMaxAdviceCallMs,
            findings);
  CheckUpTo("queue.advice_each_ms", queue.advice_each_ms, kMaxAdviceCallMs,
            findings);
  CheckDuration("queue.target_ms", queue.target_ms, findings);
  CheckDuration("queue.ticket_valid_ms", queue.ticket_valid_ms, findings);
  if (spec.accepted_unix_ms < 0 || spec.accepted_unix_ms > kMaxUnixMs) {
    findings.Add("accepted_unix_ms",
                 "must be 0 to " + std::to_string(kMaxUnixMs));
  }
}

void CheckProgress(const wire::ProgressRecord& record, Findings& findings) {
  if (!IsJobState(record.state)) {
    findings.Add("state", std::to_string(record.state) + " is not a job state");
  }
  for (const wire::TaskRecord& task : record.tasks) {
    if (task.task < 0 || task.task >= kMaxJobTasks) {
      findings.Add("tasks", "task index " + std::to_string(task.task) +
                                " is out of range");
    }
    if (task.unlisted_failures < 0 ||
        task.unlisted_failures > kMaxUnlistedFailures) {
      findings.Add("tasks", "unlisted failures must be 0 to " +
                                std::to_string(kMaxUnlistedFailures));
    }
    for (const auto* attempts :
         {&task.failed_attempts, &task.early_crashes, &task.other_crashes}) {
      if (std::any_of(attempts->begin(), attempts->end(),
                      [](int64_t attempt) { return attempt < 1; })) {
        findings.Add("tasks", "attempts must be 1 or more");
      }
    }
    for (const wire::CrashRecord& crash : task.crashes) {
      CheckCrash(crash, findings);
    }
  }
}

void CheckProgressMatchesJob(const wire::JobSpec& spec,
                             const wire::ProgressRecord& record,
                             Findings& findings) {
  // The record of a job in a final state has neither field, and a job whose
  // progress was never stored has no record.
  if (record.done.empty() && record.tasks.empty()) return;
  constexpr int64_t kBitsPerByte = 8;
  int64_t tasks = 0;
  for (const wire::StepSpec& step : spec.steps) tasks += step.tasks;
  tasks *= std::max(1, spec.occurrences);
  const int64_t bytes = (tasks + kBitsPerByte - 1) / kBitsPerByte;
  if (static_cast<int64_t>(record.done.size()) != bytes) {
    findings.Add("done", "must have " + std::to_string(bytes) + " bytes");
  }
  for (const wire::TaskRecord& task : record.tasks) {
    if (task.task >= tasks) {
      findings.Add("tasks", "task index " + std::to_string(task.task) +
                                " is out of range");
    }
  }
}

}  // namespace mimosarail
