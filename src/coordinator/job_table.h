#pragma once

#include <string>
#include <vector>

#include "jobs_types.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::coordinator {

/// Key prefixes of the job table, by kind of record: the spec of a job, its
/// progress, the completion of a task whose job's records can't be read, and an
/// upstream that may run tasks of this service.
inline constexpr char kSpecPrefix = 's';
inline constexpr char kProgressPrefix = 'p';
inline constexpr char kCompletionPrefix = 'e';
inline constexpr char kUpstreamPrefix = 'u';

/// Timeout of one read of the job table or of the upstream list.
inline constexpr Millis kStoreReadTimeout{1500};
/// Maximum size of a record, including its key, that the store accepts.
inline constexpr size_t kMaxRecordBytes = 256 << 10;

/// Pure functions that build and read keys and records. Thread-safe.
std::string SpecKey(JobId id);
std::string ProgressKey(JobId id);
std::string CompletionKey(const TaskId& task, int64_t attempt);
wire::UpstreamRecord ToUpstreamRecord(const ports::UpstreamEntry& entry);
std::vector<wire::RunRecord> ToRunRecords(const scheduling::SuspectRuns& runs);
/// Returns the runs that the record holds, without the malformed ones.
scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record);
/// Converts the record of an upstream to an entry that counts as unlisted until
/// the list names the upstream.
ports::UpstreamEntry FromUpstreamRecord(const wire::UpstreamRecord& record);

}  // namespace mimosarail::coordinator
