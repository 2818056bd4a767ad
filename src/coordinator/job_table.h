#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs_types.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::coordinator {

/// Key prefixes of the job table, by kind of record: the spec of a job, its
/// progress, a part of the progress of a job with many tasks, the completion of
/// a task whose job's records can't be read, an upstream that may run tasks of
/// this service, and cancellations of unknown jobs. The journal writes records
/// in the order of their keys, so the parts of a job's progress are stored
/// before the progress that leaves their tasks out.
inline constexpr char kSpecPrefix = 's';
inline constexpr char kProgressPrefix = 'p';
inline constexpr char kProgressPartPrefix = 'n';
inline constexpr char kCompletionPrefix = 'e';
inline constexpr char kUpstreamPrefix = 'u';
inline constexpr char kTombstonePrefix = 'c';

/// Timeout of one read of the job table or of the upstream list.
inline constexpr Millis kStoreReadTimeout{1500};
/// Maximum size of a record, including its key, that the store accepts.
inline constexpr size_t kMaxRecordBytes = 256 << 10;

/// Pure functions that build and read keys and records. Thread-safe.
std::string SpecKey(JobId id);
std::string ProgressKey(JobId id);
std::string ProgressPartKey(JobId id, size_t part);
/// The job and the number of the part that the key names; empty if it is not
/// the key of a part.
std::optional<std::pair<JobId, size_t>> ParseProgressPartKey(
    std::string_view key);
std::string UpstreamKey(const std::string& id);
std::string CompletionKey(const TaskId& task, int64_t attempt);
/// `number` counts the records of the leader with this term.
std::string TombstoneKey(int64_t term, int64_t number);
/// Whether the store takes a record of this key and value.
bool IsStorable(const std::string& key, const std::string& value);
/// Encodes progress or a part of it. Leaves out the checkpoints if the store
/// would not take the record with them; the tasks then start from their
/// beginning after a takeover.
std::string EncodeProgress(const std::string& key, wire::ProgressRecord record);
/// Encodes the record of an upstream. If the store would not take the lists of
/// a closed upstream, the record says that the upstream is open, so that the
/// next leader treats every job as one that may have tasks there.
std::string EncodeUpstream(wire::UpstreamRecord record);
wire::UpstreamRecord ToUpstreamRecord(const ports::UpstreamEntry& entry);
std::vector<wire::RunRecord> ToRunRecords(const scheduling::SuspectRuns& runs);
/// Returns the runs that the record holds, without the malformed ones.
scheduling::SuspectRuns RunsFromRecord(const wire::UpstreamRecord& record);
/// Converts the record of an upstream to an entry that counts as unlisted until
/// the list names the upstream.
ports::UpstreamEntry FromUpstreamRecord(const wire::UpstreamRecord& record);

}  // namespace mimosarail::coordinator
