#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "src/libs/metrics/metrics.h"

namespace mimosarail::metrics {

enum class Direction { kIn, kOut };

/// Messages and bytes of one process by kind of message and direction, as
/// written to and read from sockets: what fills its link. Thread-safe.
class Traffic {
 public:
  struct Totals {
    int64_t messages = 0;
    int64_t bytes = 0;
  };
  struct Row {
    std::string kind;
    Direction direction = Direction::kIn;
    Totals totals;
  };

  /// Kinds must be few: what comes after kMaxKinds is counted as kOtherKind. A
  /// message that comes in parts counts with its last one.
  void Count(std::string_view kind, Direction direction, size_t bytes,
             int64_t messages = 1);

  /// All so far, by kind.
  std::vector<Row> Rows() const;

  /// What was counted since the last call of this, the most bytes first.
  std::vector<Row> TakeRecent();

  static constexpr size_t kMaxKinds = 64;
  static constexpr std::string_view kOtherKind = "other";

 private:
  struct Counted {
    Totals so_far;
    /// Up to the last TakeRecent().
    Totals taken;
  };
  using Counters = std::map<std::string, Counted, std::less<>>;

  /// Precondition: mutex_ is held.
  Counted& Find(std::string_view kind, Direction direction);

  mutable std::mutex mutex_;
  Counters in_;
  Counters out_;
};

/// Sets traffic_bytes and traffic_messages by message and direction.
void ExportTraffic(const Traffic& traffic, Registry& registry);

/// "KIND in MESSAGES/BYTES, ..." of the first `most` rows, for a log line.
std::string DescribeTraffic(const std::vector<Traffic::Row>& rows, size_t most);

/// Bytes of all rows of one direction.
int64_t TrafficBytes(const std::vector<Traffic::Row>& rows,
                     Direction direction);

}  // namespace mimosarail::metrics
