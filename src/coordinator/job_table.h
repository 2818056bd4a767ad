#pragma once

#include <string>
#include <vector>

#include "jobs_types.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::coordinator {

/// Key prefixes of the table: the spec of a job, its progress, a task result of
/// a job whose other records can't be read, and an upstream that may run tasks
/// of this service.
inline constexpr char kSpecPrefix = 's';
inline constexpr char kProgressPrefix = 'p';
inline constexpr char kEndPrefix = 'e';
inline constexpr char kUpstreamPrefix = 'u';

/// Timeout of one read of the store.
inline constexpr Millis kStoreTimeout{1500};
/// Maximum size of a record with its key that the store accepts.
inline constexpr size_t kMaxRecordBytes = 256 << 10;

/// Pure functions that build keys and records. Thread-safe.
std::string SpecKey(JobId id);
std::string ProgressKey(JobId id);
std::string EndKey(const TaskId& task, int64_t attempt);
wire::UpstreamRecord ToRecord(const ports::UpstreamEntry& entry);
std::vector<wire::RunRecord> ToRecords(const scheduling::SuspectRuns& runs);
/// Returns the runs that the record holds, without the malformed ones.
scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record);
/// Converts a stored upstream. It counts as unlisted until the list names it.
ports::UpstreamEntry FromRecord(const wire::UpstreamRecord& record);

}  // namespace mimosarail::coordinator
