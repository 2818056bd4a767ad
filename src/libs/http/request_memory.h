#pragma once

#include <cstddef>

#include "src/libs/base/line_interval.h"
#include "src/libs/base/receive_budget.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::http {

/// The budget of a server for the requests of its callers. Counts and logs what
/// is closed and refused.
class RequestMemory : public ReceiveBudget {
 public:
  /// Does not count if `metrics` is null.
  RequestMemory(size_t budget_bytes, metrics::Registry* metrics)
      : ReceiveBudget(budget_bytes, [this](Overrun what) { Note(what); }),
        metrics_(metrics) {}

 private:
  void Note(Overrun overrun);

  metrics::Registry* metrics_;
  LineInterval lines_;
};

}  // namespace mimosarail::http
