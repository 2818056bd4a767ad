// The part of Coordinator that keeps the state of jobs within the memory of the
// smallest machine that may lead.

#include "src/coordinator/coordinator.h"
#include "src/jobs/job_memory.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

/// Part of the budget for the state of jobs that tombstones may take beside it.
constexpr size_t kTombstoneDivisor = 16;

}  // namespace

size_t Coordinator::StateBytes() const {
  return scheduler_.memory_bytes() + pending_bytes_ + journal_->queued_bytes() +
         final_jobs_.size() * kFinalJobBytes;
}

void Coordinator::UpdateMemoryBudget() {
  memory_budget_.SetMachineMemory(
      deps_.smallest_memory_mb ? deps_.smallest_memory_mb() : 0);
  const Accounts& accounts = deps_.accounts();
  unknown_cancels_.tombstones().SetLimits(
      memory_budget_.bytes() / kTombstoneDivisor,
      accounts ? accounts->size() : 0);
  memory_budget_.NoteReleased(scheduler_.released_bytes(),
                              deps_.executor.Now());
}

std::optional<wire::SubmitJobReply> Coordinator::RefuseForMemory(
    const wire::JobSpec& spec) {
  const size_t needed = EstimatedJobBytes(spec);
  const size_t used = StateBytes();
  const size_t budget = memory_budget_.bytes();
  if (used + needed <= budget) return std::nullopt;
  wire::SubmitJobReply reply;
  const bool too_large = needed > budget;
  const Millis retry =
      too_large ? Millis(0)
                : memory_budget_.TimeToRelease(used + needed - budget);
  reply.verdict = static_cast<int32_t>(too_large ? JobVerdict::kTooLarge
                                                 : JobVerdict::kRefused);
  reply.retry_after_ms = retry.count();
  CountRefusedJob(too_large ? "too large" : "memory", spec.queue.name);
  logging::Event(
      Level::kWarning, "job refused",
      {{"job", JobIdText(static_cast<JobId>(spec.id))},
       {"queue", spec.queue.name},
       {"cause", too_large ? "it never fits the memory of a leader"
                           : "the state of jobs takes all its memory"},
       {"needed_bytes", Text(static_cast<int64_t>(needed))},
       {"used_bytes", Text(static_cast<int64_t>(used))},
       {"budget_bytes", Text(static_cast<int64_t>(budget))},
       {"retry_after_ms", Text(retry.count())}});
  return reply;
}

void Coordinator::ReportMemory() {
  const CancelTombstones& tombstones = unknown_cancels_.tombstones();
  const size_t heap = deps_.heap_bytes ? deps_.heap_bytes() : 0;
  const auto set = [this](const char* of, size_t bytes) {
    deps_.metrics.Set({.name = "memory_bytes", .labels = {{"of", of}}},
                      static_cast<double>(bytes));
  };
  set("jobs", scheduler_.memory_bytes());
  set("state", StateBytes());
  set("budget", memory_budget_.bytes());
  set("tombstones", tombstones.bytes());
  deps_.metrics.Set({.name = "cancel_tombstones"},
                    static_cast<double>(tombstones.size()));
  set("heap", heap);
  logging::Event(
      Level::kInfo, "memory",
      {{"jobs", Text(static_cast<int64_t>(scheduler_.job_count()))},
       {"state_bytes", Text(static_cast<int64_t>(StateBytes()))},
       {"tombstone_bytes", Text(static_cast<int64_t>(tombstones.bytes()))},
       {"budget_bytes", Text(static_cast<int64_t>(memory_budget_.bytes()))},
       {"heap_bytes", Text(static_cast<int64_t>(heap))}});
}

}  // namespace mimosarail::coordinator
