#pragma once

#include <cstddef>
#include <cstdint>

#include "src/jobentry/job_entry.h"
#include "src/libs/metrics/metrics.h"
#include "src/libs/metrics/traffic.h"
#include "src/libs/rpc/server.h"
#include "src/libs/settings/job_settings.h"

/// Options of the components of a daemon, from its settings. All functions are
/// thread-safe.
namespace mimosarail::app {

jobentry::JobEntryOptions MakeJobEntryOptions(const settings::JobSettings& s);

/// Options of the server between entries. `traffic` and `metrics` must outlive
/// the server.
rpc::ServerOptions MakePeerServerOptions(const settings::JobSettings& s,
                                         metrics::Traffic& traffic,
                                         metrics::Registry& metrics);

/// Returns what the link of this instance carries; 0 if that is not known.
int64_t LinkBytesPerS(const settings::JobSettings& s);

/// Returns the size of the send buffers of connections that carry bulk, over
/// the link of this instance; 0 leaves it to the system. What waits in these
/// buffers is ahead of heartbeats and renewals on the link. The system lets a
/// buffer grow to some megabytes, which a link of 2 Mbit/s takes seconds to
/// send.
int SendBufferBytes(const settings::JobSettings& s);

/// Returns the memory that callers' requests may take.
size_t RequestMemoryBytes(const settings::JobSettings& s);

/// Returns the size of the receive buffer of a caller's connection. The kernel
/// doubles it, so that the buffers of all connections take a quarter of the
/// memory at most, as long as the smallest buffer is not larger.
int ReceiveBufferBytes(const settings::JobSettings& s);

}  // namespace mimosarail::app
