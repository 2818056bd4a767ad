#include "src/libs/metrics/traffic.h"

#include <algorithm>

namespace mimosarail::metrics {
namespace {

std::string DirectionName(Direction direction) {
  return direction == Direction::kIn ? "in" : "out";
}

}  // namespace

Traffic::Counted& Traffic::Find(std::string_view kind, Direction direction) {
  Counters& counters = direction == Direction::kIn ? in_ : out_;
  const auto found = counters.find(kind);
  if (found != counters.end()) return found->second;
  const bool full = counters.size() >= kMaxKinds;
  return counters[std::string(full ? kOtherKind : kind)];
}

void Traffic::Count(std::string_view kind, Direction direction, size_t bytes,
                    int64_t messages) {
  const std::lock_guard lock(mutex_);
  Totals& totals = Find(kind, direction).so_far;
  totals.messages += messages;
  totals.bytes += static_cast<int64_t>(bytes);
}

std::vector<Traffic::Row> Traffic::Rows() const {
  const std::lock_guard lock(mutex_);
  std::vector<Row> out;
  for (const auto& [kind, counted] : in_) {
    out.push_back({kind, Direction::kIn, counted.so_far});
  }
  for (const auto& [kind, counted] : out_) {
    out.push_back({kind, Direction::kOut, counted.so_far});
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Row& a, const Row& b) { return a.kind < b.kind; });
  return out;
}

std::vector<Traffic::Row> Traffic::TakeRecent() {
  const std::lock_guard lock(mutex_);
  std::vector<Row> out;
  const auto take = [&out](Counters& counters, Direction direction) {
    for (auto& [kind, counted] : counters) {
      const Totals since{counted.so_far.messages - counted.taken.messages,
                         counted.so_far.bytes - counted.taken.bytes};
      if (since.bytes > 0) out.push_back({kind, direction, since});
      counted.taken = counted.so_far;
    }
  };
  take(in_, Direction::kIn);
  take(out_, Direction::kOut);
  std::stable_sort(out.begin(), out.end(), [](const Row& a, const Row& b) {
    return a.totals.bytes > b.totals.bytes;
  });
  return out;
}

void ExportTraffic(const Traffic& traffic, Registry& registry) {
  for (const Traffic::Row& row : traffic.Rows()) {
    const std::map<std::string, std::string> labels{
        {"message", row.kind}, {"direction", DirectionName(row.direction)}};
    registry.Set({.name = "traffic_bytes", .labels = labels},
                 static_cast<double>(row.totals.bytes));
    registry.Set({.name = "traffic_messages", .labels = labels},
                 static_cast<double>(row.totals.messages));
  }
}

std::string DescribeTraffic(const std::vector<Traffic::Row>& rows,
                            size_t max_rows) {
  std::string out;
  for (size_t i = 0; i < std::min(max_rows, rows.size()); ++i) {
    const Traffic::Row& row = rows[i];
    if (!out.empty()) out += ", ";
    out += row.kind + " " + DirectionName(row.direction) + " " +
           std::to_string(row.totals.messages) + "/" +
           std::to_string(row.totals.bytes);
  }
  return out;
}

int64_t TrafficBytes(const std::vector<Traffic::Row>& rows,
                     Direction direction) {
  int64_t bytes = 0;
  for (const Traffic::Row& row : rows) {
    if (row.direction == direction) bytes += row.totals.bytes;
  }
  return bytes;
}

}  // namespace mimosarail::metrics
