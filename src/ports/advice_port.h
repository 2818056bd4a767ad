#pragma once

#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// An upstream that may run a step, and the ticket that every start of the step
/// there must contain.
struct AdviceTicket {
  std::string upstream;
  std::string ticket;
};

struct Advice {
  std::vector<AdviceTicket> allowed;
  /// How long the tickets may be used.
  Millis valid{0};
};

/// The platform's advisor, which decides which upstreams may run a step.
/// Callbacks run on the control thread. Control thread only.
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  /// Asks which of `upstreams` may run `step`.
  virtual void RequestAdvice(const StepId& step,
                             const std::vector<std::string>& upstreams,
                             Millis timeout, Callback<Advice> done) = 0;
};

}  // namespace mimosarail::ports
