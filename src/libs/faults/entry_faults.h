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
enum class EntrySource {
  kUpstreamList,
  kConfiguration,
  kJobs,
  kLeaders,
  kPeer
};

inline constexpr EnumTable kEntrySourceNames{std::array{
    EnumName{EntrySource::kUpstreamList, "upstream list"},
    EnumName{EntrySource::kConfiguration, "configuration"},
    EnumName{EntrySource::kJobs, "jobs"},
    EnumName{EntrySource::kLeaders, "leaders"},
    EnumName{EntrySource::kPeer, "peer"},
}};

/// Tells of entries that cannot be used: one log line and one count in the
/// metric `bad_entries` for each entry and cause. The same entry is read again
/// with every poll, every restart of a read and every heartbeat of its writer,
/// some four times a second. Not thread-safe.
class EntryFaults {
 public:
  /// The registry outlives it.
  explicit EntryFaults(metrics::Registry& metrics) : metrics_(metrics) {}

  /// `key` may hold any bytes.
  void Tell(EntrySource source, std::string_view key, std::string_view cause);

  /// Entries and causes that are remembered as told, some 200 bytes each. The
  /// oldest is forgotten first, and would be told again.
  static constexpr size_t kMostRemembered = 2000;

 private:
  using Told = std::tuple<EntrySource, std::string, std::string>;

  metrics::Registry& metrics_;
  std::set<Told> told_;
  /// In the order in which they were told.
  std::deque<std::set<Told>::iterator> order_;
};

}  // namespace mimosarail::faults
