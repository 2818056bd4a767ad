#include "src/coordinator/speed_report.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Text;

/// Upper bounds of the classes of the distribution, and their labels.
struct SpeedBound {
  double bound;
  const char* label;
};
constexpr SpeedBound kBounds[] = {{0.25, "0.25"}, {0.5, "0.5"}, {0.75, "0.75"},
                                  {0.9, "0.9"},   {1.1, "1.1"}, {1.35, "1.35"},
                                  {2, "2"},       {1e9, "+Inf"}};
constexpr size_t kSlowestReported = 10;
/// A speed is known from one run on; see SpeedEstimate::confidence.
constexpr double kMinConfidence = 0.5;
constexpr double kPercent = 100;

}  // namespace

void ReportSpeeds(const scheduling::UpstreamPool& pool, bool in_use,
                  TimePoint now, metrics::Registry& metrics) {
  std::vector<std::pair<double, UpstreamIndex>> known;
  for (const UpstreamIndex upstream : pool.all()) {
    if (!pool.at(upstream).listed) continue;
    const auto estimate = pool.speeds().Estimate(upstream, now);
    if (estimate.confidence < kMinConfidence) continue;
    known.emplace_back(estimate.factor, upstream);
  }
  std::sort(known.begin(), known.end());
  for (const SpeedBound& it : kBounds) {
    const auto count = std::count_if(
        known.begin(), known.end(),
        [&](const auto& speed) { return speed.first <= it.bound; });
    metrics.Set({.name = "upstream_speed", .labels = {{"le", it.label}}},
                static_cast<double>(count));
  }
  metrics.Set({.name = "upstream_speed_spread"}, pool.speeds().spread());
  metrics.Set({.name = "upstream_speeds_in_use"}, in_use ? 1 : 0);
  std::string slowest;
  for (size_t i = 0; i < kSlowestReported; ++i) {
    const double factor = i < known.size() ? known[i].first : 0;
    metrics.Set({.name = "upstream_speed_slowest",
                 .labels = {{"rank", Text(static_cast<int64_t>(i) + 1)}}},
                factor);
    if (i >= known.size()) continue;
    slowest += (slowest.empty() ? "" : " ") +
               pool.at(known[i].second).entry.id + ":" +
               Text(std::llround(factor * kPercent));
  }
  if (!in_use) return;
  logging::Event(logging::Level::kInfo, "speeds",
                 {{"known", Text(static_cast<int64_t>(known.size()))},
                  {"spread_percent",
                   Text(std::llround(pool.speeds().spread() * kPercent))},
                  {"slowest_percent", slowest}});
}

}  // namespace mimosarail::coordinator
