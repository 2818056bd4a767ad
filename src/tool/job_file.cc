#include "src/tool/job_file.h"

#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/json/object_reader.h"

namespace mimosarail::tool {
namespace {

using json::Bounds;

constexpr Bounds kCountBounds{0, 1000000};
/// Bounds in ms of a time since 1970, up to the year 2100, and of durations.
constexpr Bounds kTimeBoundsMs{0, 4102444800000};
/// Bounds of the length of a text, in bytes.
constexpr Bounds kTextLengthBounds{1, 200};

void ReadStep(const json::JsonText& text, const json::Json& body,
              const std::string& path, Findings& findings,
              wire::StepSpec& step) {
  json::ObjectReader reader(text, body, path, findings);
  reader.Read("tasks", step.tasks, {1, kMaxStepTasks});
  reader.Read("millicores", step.millicores, kCountBounds);
  reader.Read("memory_mb", step.memory_mb, {0, 1 << 30});
  reader.Read("accelerators", step.accelerators, kCountBounds);
  reader.Read("estimate_ms", step.estimate_ms, kTimeBoundsMs);
  reader.Read("checkpoints", step.checkpoints);
  reader.Read("gang", step.gang);
  reader.Read("one_rack", step.one_rack);
  reader.Read("label", step.label, kTextLengthBounds);
  reader.Read("data_rack", step.data_rack, kTextLengthBounds);
  reader.Read("max_per_upstream", step.max_per_upstream, kCountBounds);
  reader.Read("lasting", step.long_running);
  if (const json::Json* after = reader.Array("after")) {
    for (const json::Json& step_number : *after) {
      // Numbers are compared as doubles: conversion to 32 bits would truncate
      // values from 2^32.
      if (!step_number.is_number_integer() || step_number.get<double>() < 0 ||
          step_number.get<double>() > kMaxStepTasks) {
        reader.Add("after", "must be a list of step numbers");
        break;
      }
      step.after.push_back(step_number.get<int32_t>());
    }
  }
  reader.Finish();
}

void ReadQueue(const json::JsonText& text, const json::Json& body,
               Findings& findings, wire::QueuePolicy& queue) {
  json::ObjectReader reader(text, body, "queue", findings);
  reader.Read("name", queue.name, kTextLengthBounds);
  reader.Read("pool", queue.pool, kTextLengthBounds);
  reader.Read("priority", queue.priority, {0, 1000});
  reader.Read("max_attempts", queue.max_attempts, {1, 1000});
  reader.Finish();
}

}  // namespace

std::optional<wire::JobSpec> ParseJobFile(const std::string& text,
                                          Findings& findings) {
  const auto parsed = json::ParseText(text, findings);
  if (!parsed) return std::nullopt;
  wire::JobSpec job;
  json::ObjectReader reader(*parsed, parsed->value, "", findings);
  std::string id;
  reader.Read("id", id, kTextLengthBounds);
  const auto job_id = ParseJobId(id);
  if (!job_id) reader.Add("id", "must be 16 lower-case hex digits");
  job.id = static_cast<int64_t>(job_id.value_or(0));
  reader.Read("payload", job.payload, {0, kMaxPayloadBytes});
  reader.Read("occurrences", job.occurrences, kCountBounds);
  reader.Read("first_due_ms", job.first_due_ms, kTimeBoundsMs);
  reader.Read("interval_ms", job.interval_ms, kTimeBoundsMs);
  if (const json::Json* queue = reader.Object("queue")) {
    ReadQueue(*parsed, *queue, findings, job.queue);
  }
  if (const json::Json* steps = reader.Array("steps")) {
    for (const json::Json& step : *steps) {
      const std::string path =
          "steps[" + std::to_string(job.steps.size()) + "]";
      ReadStep(*parsed, step, path, findings, job.steps.emplace_back());
    }
  }
  reader.Finish();
  CheckJob(job, findings);
  if (!findings.empty()) return std::nullopt;
  return job;
}

}  // namespace mimosarail::tool
