#include "src/libs/metrics/metrics.h"

// Boost 1.74 uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <mutex>

namespace mimosarail::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.9, 0.99};

using Distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

std::string Quoted(const std::string& value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' ? ' ' : c;
  }
  return out + "\"";
}

std::string Line(const std::string& name,
                 const std::map<std::string, std::string>& labels,
                 double value) {
  std::string out = "mimosarail_" + name;
  std::string separator = "{";
  for (const auto& [label, text] : labels) {
    out += separator + label + "=" + Quoted(text);
    separator = ",";
  }
  if (!labels.empty()) out += "}";
  std::array<char, 40> number{};
  std::snprintf(number.data(), number.size(), " %.10g\n", value);
  return out + number.data();
}

}  // namespace

struct Registry::Private {
  mutable std::mutex mutex;
  std::map<Series, int64_t> counters;
  std::map<Series, double> gauges;
  std::map<Series, Distribution> distributions;
  int64_t dropped = 0;
};

Registry::Registry() : d_(std::make_unique<Private>()) {}
Registry::~Registry() = default;

void Registry::Count(const Series& series, int64_t by) {
  std::lock_guard lock(d_->mutex);
  d_->counters[series] += by;
}

void Registry::Set(const Series& series, double value) {
  std::lock_guard lock(d_->mutex);
  d_->gauges[series] = value;
}

void Registry::Observe(const Series& series, double value) {
  std::lock_guard lock(d_->mutex);
  auto found = d_->distributions.find(series);
  if (found == d_->distributions.end()) {
    if (d_->distributions.size() >= kMaxSeries) {
      ++d_->dropped;
      return;
    }
    found =
        d_->distributions
            .emplace(series, Distribution(acc::extended_p_square_probabilities =
                                              kQuantiles))
            .first;
  }
  found->second(value);
}

std::string Registry::Text() const {
  std::lock_guard lock(d_->mutex);
  std::string out;
  for (const auto& [series, value] : d_->counters) {
    out += Line(series.name, series.labels, static_cast<double>(value));
  }
  for (const auto& [series, value] : d_->gauges) {
    out += Line(series.name, series.labels, value);
  }
  for (const auto& [series, set] : d_->distributions) {
    for (const double quantile : kQuantiles) {
      auto labels = series.labels;
      labels["quantile"] = std::to_string(quantile).substr(0, 4);
      out += Line(series.name, labels,
                  acc::quantile(set, acc::quantile_probability = quantile));
    }
    out += Line(series.name + "_count", series.labels,
                static_cast<double>(acc::count(set)));
    out += Line(series.name + "_sum", series.labels, acc::sum(set));
    out += Line(series.name + "_max", series.labels, acc::max(set));
  }
  out += Line("dropped_observations", {}, static_cast<double>(d_->dropped));
  return out;
}

}  // namespace mimosarail::metrics
