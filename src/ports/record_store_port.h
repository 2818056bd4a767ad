#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// One record of a table. An empty value removes the key.
struct KeyedRecord {
  std::string key;
  std::string value;
  /// Why the record is malformed; empty for a valid record. Key and value of a
  /// malformed record are set as far as they are known.
  std::string decode_error{};
};

/// Identity under which a writer appends. The store refuses an append with an
/// epoch below one that it has seen from the writer of that name. An append
/// with a repeated sequence number has no effect.
struct WriterIdentity {
  std::string name;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

struct AppendCall {
  std::string table;
  std::vector<KeyedRecord> records;
  std::optional<WriterIdentity> writer;
  /// Appends only if the table ends exactly at this offset.
  std::optional<int64_t> expected_end_offset;
};

enum class AppendVerdict {
  kStored,
  kFenced,         ///< A writer with a higher epoch has taken over.
  kOutOfSequence,  ///< Another writer uses the same epoch.
  kConflict,       ///< The table does not end where `expected_end_offset` says.
  kRefused,        ///< Nothing was done.
  kUnknown,        ///< May have been stored, or may be stored later.
};

struct AppendReply {
  AppendVerdict verdict = AppendVerdict::kUnknown;
  int64_t end_offset = 0;
  std::string detail;
};

/// One page of the newest records of a table.
struct NewestPage {
  std::vector<KeyedRecord> records;
  /// The table has more records, with keys above `last_key`.
  bool more = false;
  std::string last_key{};
  int64_t end_offset = 0;
};

/// The result of one read of the log behind a table.
struct TailReply {
  /// Records before this offset have been removed; if it is above the requested
  /// offset, some records were missed.
  int64_t start_offset = 0;
  int64_t end_offset = 0;
  std::vector<KeyedRecord> records;
};

/// The platform's store of tables. A table is a log of records; the newest
/// record of each key applies.
/// Callbacks run on the control thread. Control thread only.
class RecordStorePort {
 public:
  virtual ~RecordStorePort() = default;
  virtual void Append(const AppendCall& call, Millis timeout,
                      std::function<void(AppendReply)> done) = 0;
  /// Reads the newest records with keys above `after`, in key order. `timeout`
  /// limits the time without incoming data, not the duration of the whole read.
  /// The implementation may limit that separately.
  virtual void ReadNewest(const std::string& table, const std::string& after,
                          Millis timeout, Callback<NewestPage> done) = 0;
  /// Reads records from an offset on; waits up to `wait` for the first one.
  virtual void ReadTail(const std::string& table, int64_t from, Millis wait,
                        Millis timeout, Callback<TailReply> done) = 0;
};

}  // namespace mimosarail::ports
