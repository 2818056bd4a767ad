#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace mimosarail::metrics {

/// A metric name and its labels, as in `waiting_ms{rule="push"}`.
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

  /// Adds to a counter, which never decreases.
  void Count(const Series& series, int64_t by = 1);
  /// Sets a gauge.
  void Set(const Series& series, double value);
  /// Adds a value to a distribution; its count, sum, maximum and the quantiles
  /// 0.5, 0.9 and 0.99 are exported. Use few label values: at most kMaxSeries
  /// distributions are kept, and observations of further ones are only counted
  /// as dropped.
  void Observe(const Series& series, double value);

  /// All metrics in Prometheus text format: counters, gauges, distributions,
  /// each sorted by name.
  std::string Text() const;

  static constexpr size_t kMaxSeries = 512;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::metrics
