#pragma once

#include <cstdlib>

#include "src/libs/logging/log.h"

namespace mimosarail::jobsim {

/// MIMOSARAIL_TRACE=1 prints the log lines of a run. A global fixture.
struct Trace {
  Trace() {
    if (std::getenv("MIMOSARAIL_TRACE") != nullptr) {
      logging::Start("schedule", logging::Level::kDebug);
    }
  }
  ~Trace() { logging::Stop(); }
};

}  // namespace mimosarail::jobsim
