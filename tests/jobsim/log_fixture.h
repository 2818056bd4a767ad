#pragma once

#include <cstdlib>

#include "src/libs/logging/log.h"

namespace mimosarail::jobsim {

/// Global fixture that prints the log lines of a run if MIMOSARAIL_TRACE is
/// set.
struct LogFixture {
  LogFixture() {
    if (std::getenv("MIMOSARAIL_TRACE") != nullptr) {
      logging::Start("schedule", logging::Level::kDebug);
    }
  }
  ~LogFixture() { logging::Stop(); }
};

}  // namespace mimosarail::jobsim
