#pragma once

#include <cstdlib>

#include "src/libs/logging/log.h"

namespace mimosarail::jobsim {

/// MIMOSARAIL_TRACE=1 prints the log lines of a run. A global fixture.
struct LogFixture {
  LogFixture() {
    if (std::getenv("MIMOSARAIL_TRACE") != nullptr) {
      logging::Start("schedule", logging::Level::kDebug);
    }
  }
  ~LogFixture() { logging::Stop(); }
};

}  // namespace mimosarail::jobsim
