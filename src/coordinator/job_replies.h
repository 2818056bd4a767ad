#pragma once

#include <cstdint>

#include "jobs_types.h"
#include "src/coordinator/job_verdicts.h"

namespace mimosarail::coordinator {

/// Replies to calls about jobs. `retry_after_ms`: when a refused caller should
/// return. Thread-safe.
inline wire::SubmitJobReply SubmitReply(JobVerdict verdict,
                                        int64_t retry_after_ms = 0) {
  wire::SubmitJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  reply.retry_after_ms = retry_after_ms;
  return reply;
}

inline wire::CancelJobReply CancelReply(JobVerdict verdict,
                                        int64_t retry_after_ms = 0) {
  wire::CancelJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  reply.retry_after_ms = retry_after_ms;
  return reply;
}

}  // namespace mimosarail::coordinator
