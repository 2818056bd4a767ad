#pragma once

#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// An upstream that may run a step, and the ticket that its starts carry.
struct AdviceTicket {
  std::string upstream;
  std::string ticket;
};

struct Advice {
  std::vector<AdviceTicket> allowed;
  Millis valid{0};
};

/// Asks which upstreams may run a step. Callbacks run on the control thread.
/// Control thread only.
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  virtual void RequestAdvice(const StepId& step,
                             const std::vector<std::string>& upstreams,
                             Millis timeout, Callback<Advice> done) = 0;
};

}  // namespace mimosarail::ports
