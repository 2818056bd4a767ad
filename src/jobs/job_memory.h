#pragma once

#include <cstddef>

#include "jobs_types.h"

namespace mimosarail {

/// Memory that parts of a job's state take, with the overhead of their
/// allocations, in bytes.
inline constexpr size_t kTaskBytes = 304;
inline constexpr size_t kOpenStepBytes = 128;
/// A step that waits in the queue, with what the scheduler remembers about it.
inline constexpr size_t kQueuedStepBytes = 1024;
/// A job, apart from its spec and its steps.
inline constexpr size_t kJobBytes = 1024;
/// A job in a final state of which only the state is kept.
inline constexpr size_t kFinalJobBytes = 192;

/// Maximum number of first steps of its due occurrences that a job has in the
/// queue. Those of further occurrences follow as soon as these have started.
inline constexpr int32_t kMaxQueuedOccurrences = 16;

/// Returns the bytes of memory that the spec takes. Thread-safe.
size_t SpecMemoryBytes(const wire::JobSpec& spec);

/// Returns an estimate of the bytes of memory that the job takes while it is
/// open. Thread-safe.
size_t EstimatedJobBytes(const wire::JobSpec& spec);

}  // namespace mimosarail
