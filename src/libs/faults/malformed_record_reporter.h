#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include "src/libs/base/enum_table.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::faults {

/// What others write and this process reads.
enum class RecordSource {
  kUpstreamList,
  kConfiguration,
  kJobs,
  kLeaders,
  kPeer
};

inline constexpr EnumTable kRecordSourceNames{std::array{
    EnumName{RecordSource::kUpstreamList, "upstream list"},
    EnumName{RecordSource::kConfiguration, "configuration"},
    EnumName{RecordSource::kJobs, "jobs"},
    EnumName{RecordSource::kLeaders, "leaders"},
    EnumName{RecordSource::kPeer, "peer"},
}};

/// Tells of entries that cannot be used: one log line and one count in the
/// metric `bad_entries` for each entry and cause. The same entry is read again
/// with every poll, every restart of a read and every heartbeat of its writer,
/// some four times a second. Not thread-safe.
class MalformedRecordReporter {
 public:
  /// The registry outlives it.
  explicit MalformedRecordReporter(metrics::Registry& metrics)
      : metrics_(metrics) {}

  /// `key` may hold any bytes.
  void Report(RecordSource source, std::string_view key,
              std::string_view cause);

  /// Entries and causes that are remembered as told, some 200 bytes each. The
  /// oldest is forgotten first, and would be told again.
  static constexpr size_t kMaxRemembered = 2000;

 private:
  using ReportKey = std::tuple<RecordSource, std::string, std::string>;

  metrics::Registry& metrics_;
  std::set<ReportKey> reported_;
  /// In the order in which they were told.
  std::deque<std::set<ReportKey>::iterator> order_;
};

}  // namespace mimosarail::faults
