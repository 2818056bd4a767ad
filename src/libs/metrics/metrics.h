#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace mimosarail::metrics {

/// "name" and its labels, as in `waiting_ms{rule="push"}`.
struct Series {
  std::string name;
  std::map<std::string, std::string> labels;
  friend bool operator<(const Series& a, const Series& b) {
    return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
  }
};

/// Counters, gauges and distributions of one process. Thread-safe.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  /// A counter only grows.
  void Count(const Series& series, int64_t by = 1);
  void Set(const Series& series, double value);
  /// Adds to a distribution: count, sum, p50, p99 and max are shown.
  /// Labels must be few: at most kMaxSeries distributions are kept, and
  /// observations of any further one are counted as dropped.
  void Observe(const Series& series, double value);

  /// The usual text format, sorted by name.
  std::string Text() const;

  static constexpr size_t kMaxSeries = 512;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::metrics
