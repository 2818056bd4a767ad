#include "src/jobs/job_memory.h"

#include <algorithm>
#include <cstdint>

namespace mimosarail {
namespace {

/// Number of tasks of a job that are assumed to run, or to have failed, at the
/// same time. Those of larger jobs are limited by the upstreams.
constexpr int64_t kTasksWithState = 64;
constexpr int64_t kBitsPerByte = 8;

}  // namespace

size_t SpecMemoryBytes(const wire::JobSpec& spec) {
  size_t bytes = sizeof(spec) + spec.payload.capacity() +
                 spec.account.capacity() + spec.queue.name.capacity() +
                 spec.queue.pool.capacity();
  for (const wire::StepSpec& step : spec.steps) {
    bytes += sizeof(step) + step.label.capacity() + step.data_rack.capacity() +
             step.image.capacity() + step.after.capacity() * sizeof(int32_t);
  }
  return bytes;
}

size_t EstimatedJobBytes(const wire::JobSpec& spec) {
  int64_t tasks = 0;
  for (const wire::StepSpec& step : spec.steps) tasks += step.tasks;
  const int64_t steps = static_cast<int64_t>(spec.steps.size());
  const int64_t occurrences = std::max(1, spec.occurrences);
  const int64_t near = std::min<int64_t>(occurrences, 2);
  const int64_t open_tasks = tasks * near;
  const int64_t state =
      static_cast<int64_t>(kQueuedStepBytes + kOpenStepBytes) * steps * near +
      static_cast<int64_t>(kTaskBytes) * std::min(open_tasks, kTasksWithState) +
      static_cast<int64_t>(sizeof(void*)) * open_tasks +
      tasks * occurrences / kBitsPerByte;
  return kJobBytes + SpecMemoryBytes(spec) + static_cast<size_t>(state);
}

}  // namespace mimosarail
