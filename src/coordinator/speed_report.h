#pragma once

#include "src/libs/base/executor.h"
#include "src/libs/metrics/metrics.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::coordinator {

/// Sets the metrics of the upstreams' speeds: the distribution of the factors,
/// their spread, and the ten lowest ones. Logs the ten slowest upstreams if the
/// speeds are in use. Only the upstreams whose speed is known are counted.
void ReportSpeeds(const scheduling::UpstreamPool& pool, bool in_use,
                  TimePoint now, metrics::Registry& metrics);

}  // namespace mimosarail::coordinator
