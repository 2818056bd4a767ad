#include "src/coordinator/job_table.h"

namespace mimosarail::coordinator {

std::string SpecKey(JobId id) { return kSpecPrefix + JobIdText(id); }
std::string ProgressKey(JobId id) { return kProgressPrefix + JobIdText(id); }

std::string CompletionKey(const TaskId& task, int64_t attempt) {
  return kCompletionPrefix + TaskIdText(task) + "." + std::to_string(attempt);
}

wire::UpstreamRecord ToUpstreamRecord(const ports::UpstreamEntry& entry) {
  wire::UpstreamRecord out;
  out.id = entry.id;
  out.pool = entry.pool;
  out.address = entry.address;
  out.failure_domain = entry.failure_domain;
  out.rack = entry.rack;
  out.labels = entry.labels;
  out.millicores = entry.capacity.millicores;
  out.memory_mb = entry.capacity.memory_mb;
  out.accelerators = entry.capacity.accelerators;
  return out;
}

std::vector<wire::RunRecord> ToRunRecords(const scheduling::SuspectRuns& runs) {
  std::vector<wire::RunRecord> out;
  for (const auto& [run, early] : runs) {
    wire::RunRecord& record = out.emplace_back();
    record.task = TaskIdText(run.first);
    record.attempt = run.second;
    record.early = early;
  }
  return out;
}

scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record) {
  scheduling::SuspectRuns out;
  for (const wire::RunRecord& run : record.runs) {
    const auto task = ParseTaskId(run.task);
    if (!task || run.attempt < 1) continue;
    out.emplace(std::pair(*task, run.attempt), run.early);
  }
  return out;
}

ports::UpstreamEntry FromUpstreamRecord(const wire::UpstreamRecord& record) {
  return {.id = record.id,
          .listed = false,
          .pool = record.pool,
          .address = record.address,
          .failure_domain = record.failure_domain,
          .rack = record.rack,
          .labels = record.labels,
          .capacity = {.millicores = record.millicores,
                       .memory_mb = record.memory_mb,
                       .accelerators = record.accelerators}};
}

}  // namespace mimosarail::coordinator
