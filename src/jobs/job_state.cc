#include "src/jobs/job_state.h"

#include <algorithm>

namespace mimosarail {
namespace {

void CheckStep(const wire::StepSpec& step, size_t at, Findings& findings) {
  const std::string place = "steps[" + std::to_string(at) + "]";
  if (step.tasks < 1 || step.tasks > kMaxStepTasks) {
    findings.Add(place + ".tasks",
                 "must be 1 to " + std::to_string(kMaxStepTasks));
  }
  if (step.millicores < 0 || step.memory_mb < 0 || step.accelerators < 0) {
    findings.Add(place, "sizes must not be negative");
  }
  for (const int32_t before : step.after) {
    if (before < 0 || before >= static_cast<int32_t>(at)) {
      findings.Add(place + ".after", "must name earlier steps");
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
  if (spec.occurrences < 0) findings.Add("occurrences", "must be 0 or more");
  int64_t tasks = 0;
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    CheckStep(spec.steps[i], i, findings);
    tasks += spec.steps[i].tasks;
  }
  tasks *= std::max<int64_t>(1, spec.occurrences);
  if (tasks > kMaxJobTasks) {
    findings.Add("steps", "more than " + std::to_string(kMaxJobTasks) +
                              " tasks over all occurrences");
  }
}

}  // namespace mimosarail
