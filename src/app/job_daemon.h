#pragma once

#include <string>

#include "src/libs/settings/job_settings.h"

namespace mimosarail::app {

/// Runs one entry instance on the users' platform until SIGTERM or SIGINT;
/// returns the exit code. The file `settings_path` is read again on SIGHUP and
/// periodically; its changes are logged, but take effect only at the next
/// start. Precondition: called once, from the main thread, before any other
/// thread was started.
int RunJobDaemon(const settings::JobSettings& settings,
                 const std::string& settings_path);

}  // namespace mimosarail::app
