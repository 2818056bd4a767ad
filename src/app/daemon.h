#pragma once

#include "src/libs/settings/settings.h"

namespace mimosarail::app {

/// Runs one entry instance until it has shut down after SIGTERM or SIGINT;
/// returns the exit code. Precondition: called once, from the main thread,
/// before any other thread was started.
int RunDaemon(const settings::Settings& settings);

}  // namespace mimosarail::app
