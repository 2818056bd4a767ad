#include "src/coordinator/job_table.h"

#include <charconv>

#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

constexpr char kPartSeparator = '.';

void LogShortened(const std::string& key, const std::string& value,
                  const char* left_out) {
  logging::Event(logging::Level::kWarning, "record shortened",
                 {{"key", key},
                  {"bytes", std::to_string(value.size())},
                  {"limit", std::to_string(kMaxRecordBytes)},
                  {"left_out", left_out}});
}

/// A record of an earlier version tells only whether the run had just begun.
scheduling::SuspectRun ToSuspectRun(const wire::RunRecord& run) {
  if (run.silent_after_ms >= 0) {
    scheduling::SuspectRun out{.silent_after = Millis(run.silent_after_ms)};
    if (run.last_seen_ms >= 0) out.last_seen = Millis(run.last_seen_ms);
    return out;
  }
  if (run.early) return {.last_seen = Millis(0), .silent_after = Millis(0)};
  return {.silent_after = CrashEvidence::kHarmlessRunTime};
}

}  // namespace

bool IsStorable(const std::string& key, const std::string& value) {
  constexpr size_t kKeyLengthBytes = 1;
  return kKeyLengthBytes + key.size() + value.size() <= kMaxRecordBytes;
}

std::string SpecKey(JobId id) { return kSpecPrefix + JobIdText(id); }
std::string ProgressKey(JobId id) { return kProgressPrefix + JobIdText(id); }

std::string ProgressPartKey(JobId id, size_t part) {
  return kProgressPartPrefix + JobIdText(id) + kPartSeparator +
         std::to_string(part);
}

std::optional<std::pair<JobId, size_t>> ParseProgressPartKey(
    std::string_view key) {
  const size_t separator = key.find(kPartSeparator);
  if (separator == std::string_view::npos || key[0] != kProgressPartPrefix) {
    return std::nullopt;
  }
  const auto id = ParseJobId(key.substr(1, separator - 1));
  const std::string_view digits = key.substr(separator + 1);
  const char* const end = digits.data() + digits.size();
  size_t part = 0;
  const auto parsed = std::from_chars(digits.data(), end, part);
  constexpr size_t kMaxParts = kMaxJobTasks / kTasksPerProgressPart + 1;
  const bool valid =
      parsed.ec == std::errc() && parsed.ptr == end && part < kMaxParts;
  if (!id || !valid) return std::nullopt;
  return std::pair(*id, part);
}

std::string EncodeProgress(const std::string& key,
                           wire::ProgressRecord record) {
  std::string out = rpc::Encode(record);
  if (IsStorable(key, out)) return out;
  LogShortened(key, out, "checkpoints");
  for (wire::TaskRecord& task : record.tasks) task.checkpoint.clear();
  return rpc::Encode(record);
}

std::string EncodeUpstream(wire::UpstreamRecord record) {
  const std::string key = UpstreamKey(record.id);
  std::string out = rpc::Encode(record);
  if (IsStorable(key, out)) return out;
  LogShortened(key, out, "jobs and runs of a closed upstream");
  record.closed = false;
  record.jobs.clear();
  record.runs.clear();
  return rpc::Encode(record);
}

std::string UpstreamKey(const std::string& id) { return kUpstreamPrefix + id; }

std::string CompletionKey(const TaskId& task, int64_t attempt) {
  return kCompletionPrefix + TaskIdText(task) + "." + std::to_string(attempt);
}

std::string TombstoneKey(int64_t term, int64_t number) {
  return kTombstonePrefix + std::to_string(term) + "." + std::to_string(number);
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
  out.incarnation = entry.incarnation;
  return out;
}

std::vector<wire::RunRecord> ToRunRecords(const scheduling::SuspectRuns& runs) {
  std::vector<wire::RunRecord> out;
  for (const auto& [run, suspect] : runs) {
    wire::RunRecord& record = out.emplace_back();
    record.task = TaskIdText(run.first);
    record.attempt = run.second;
    record.early =
        suspect.last_seen && suspect.silent_after < CrashEvidence::kEarlyWindow;
    if (suspect.last_seen) record.last_seen_ms = suspect.last_seen->count();
    record.silent_after_ms = suspect.silent_after.count();
  }
  return out;
}

scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record) {
  scheduling::SuspectRuns out;
  for (const wire::RunRecord& run : record.runs) {
    const auto task = ParseTaskId(run.task);
    if (!task || run.attempt < 1) continue;
    out.emplace(std::pair(*task, run.attempt), ToSuspectRun(run));
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
                       .accelerators = record.accelerators},
          .incarnation = record.incarnation};
}

}  // namespace mimosarail::coordinator
