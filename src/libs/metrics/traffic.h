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

/// Counts the messages and bytes that one process writes to and reads from
/// sockets, by kind of message and direction: the load on its network link.
/// Thread-safe.
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

  /// Adds to the totals of a kind. Use few kinds: those beyond the first
  /// kMaxKinds are counted as kOtherKind. A message that arrives in parts is
  /// counted with its last part, its bytes with each part.
  void Count(std::string_view kind, Direction direction, size_t bytes,
             int64_t messages = 1);

  /// Totals since the start, sorted by kind.
  std::vector<Row> Rows() const;

  /// Totals since the previous call of TakeRecent(), sorted by bytes in
  /// descending order.
  std::vector<Row> TakeRecent();

  static constexpr size_t kMaxKinds = 64;
  static constexpr std::string_view kOtherKind = "other";

 private:
  struct Counted {
    Totals so_far;
    /// Value of so_far at the last TakeRecent().
    Totals taken;
  };
  using Counters = std::map<std::string, Counted, std::less<>>;

  /// Precondition: mutex_ is held.
  Counted& Find(std::string_view kind, Direction direction);

  mutable std::mutex mutex_;
  Counters in_;
  Counters out_;
};

/// Sets the gauges traffic_bytes and traffic_messages for each kind of message
/// and direction.
void ExportTraffic(const Traffic& traffic, Registry& registry);

/// Text "KIND in MESSAGES/BYTES, ..." of the first `max_rows` rows, for a log
/// line.
std::string DescribeTraffic(const std::vector<Traffic::Row>& rows,
                            size_t max_rows);

/// Sum of the bytes of all rows with that direction.
int64_t TrafficBytes(const std::vector<Traffic::Row>& rows,
                     Direction direction);

}  // namespace mimosarail::metrics
