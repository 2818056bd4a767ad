#pragma once

#include <string>
#include <vector>

#include "jobs_types.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::coordinator {

/// Keys of the table: what a job is, how far it is, an end of one whose other
/// records can't be read, and which upstreams may run something of ours.
inline constexpr char kSpecPrefix = 's';
inline constexpr char kProgressPrefix = 'p';
inline constexpr char kEndPrefix = 'e';
inline constexpr char kUpstreamPrefix = 'u';

/// Limit of one read of the store.
inline constexpr Millis kStoreTimeout{1500};
/// Most bytes of a record with its key that the store takes.
inline constexpr size_t kMaxRecordBytes = 256 << 10;

/// These build keys and records from values alone: safe from any thread.
std::string SpecKey(JobId id);
std::string ProgressKey(JobId id);
std::string EndKey(const TaskId& task, int64_t attempt);
wire::UpstreamRecord ToRecord(const ports::UpstreamEntry& entry);
std::vector<wire::RunRecord> ToRecords(const scheduling::SuspectRuns& runs);
/// The runs that the record keeps; those that can't be read are left out.
scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record);
/// An upstream as a record keeps it; not listed until the list names it.
ports::UpstreamEntry FromRecord(const wire::UpstreamRecord& record);

}  // namespace mimosarail::coordinator
