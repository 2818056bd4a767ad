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

/// Sources of the records that this process reads and that another process, or
/// an earlier one, has written.
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

/// Reports malformed records, which cannot be used: one log line and one count
/// in the metric `bad_entries` for each record and cause. Each record and cause
/// is reported once, because the same record is read again about four times a
/// second: with every poll, every restart of a read and every heartbeat of its
/// writer. Not thread-safe.
class MalformedRecordReporter {
 public:
  /// `metrics` must outlive the reporter.
  explicit MalformedRecordReporter(metrics::Registry& metrics)
      : metrics_(metrics) {}

  /// Reports the record unless it has been reported with the same cause. `key`
  /// may contain any bytes.
  void Report(RecordSource source, std::string_view key,
              std::string_view cause);

  /// Maximum number of records and causes remembered as reported, about 200
  /// bytes each. The oldest is evicted first, and would be reported again.
  static constexpr size_t kMaxRemembered = 2000;

 private:
  using ReportKey = std::tuple<RecordSource, std::string, std::string>;

  metrics::Registry& metrics_;
  std::set<ReportKey> reported_;
  /// Elements of reported_ in the order in which they were reported.
  std::deque<std::set<ReportKey>::iterator> report_order_;
};

}  // namespace mimosarail::faults
