#include "src/tool/job_file.h"

#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/json/object_reader.h"

namespace mimosarail::tool {
namespace {

using json::Bounds;

constexpr Bounds kCount{0, 1000000};
constexpr Bounds kTimeMs{0, 4102444800000};
constexpr Bounds kText{1, 200};

void ReadStep(const json::JsonText& text, const json::Json& body,
              const std::string& path, Findings& findings,
              wire::StepSpec& step) {
  json::ObjectReader reader(text, body, path, findings);
  reader.Read("tasks", step.tasks, {1, kMaxStepTasks});
  reader.Read("millicores", step.millicores, kCount);
  reader.Read("memory_mb", step.memory_mb, {0, 1 << 30});
  reader.Read("accelerators", step.accelerators, kCount);
  reader.Read("estimate_ms", step.estimate_ms, kTimeMs);
  reader.Read("checkpoints", step.checkpoints);
  reader.Read("gang", step.gang);
  reader.Read("one_rack", step.one_rack);
  reader.Read("label", step.label, kText);
  reader.Read("data_rack", step.data_rack, kText);
  reader.Read("max_per_upstream", step.max_per_upstream, kCount);
  reader.Read("lasting", step.long_running);
  if (const json::Json* after = reader.Array("after")) {
    for (const json::Json& before : *after) {
      // Compared as a double: values from 2^32 must not be truncated to 32
      // bits.
      if (!before.is_number_integer() || before.get<double>() < 0 ||
          before.get<double>() > kMaxStepTasks) {
        reader.Add("after", "must be a list of step numbers");
        break;
      }
      step.after.push_back(before.get<int32_t>());
    }
  }
  reader.Finish();
}

void ReadQueue(const json::JsonText& text, const json::Json& body,
               Findings& findings, wire::QueuePolicy& queue) {
  json::ObjectReader reader(text, body, "queue", findings);
  reader.Read("name", queue.name, kText);
  reader.Read("pool", queue.pool, kText);
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
  reader.Read("id", id, kText);
  const auto job_id = ParseJobId(id);
  if (!job_id) reader.Add("id", "must be 16 lower-case hex digits");
  job.id = static_cast<int64_t>(job_id.value_or(0));
  reader.Read("payload", job.payload, {0, kMaxPayloadBytes});
  reader.Read("occurrences", job.occurrences, kCount);
  reader.Read("first_due_ms", job.first_due_ms, kTimeMs);
  reader.Read("interval_ms", job.interval_ms, kTimeMs);
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
