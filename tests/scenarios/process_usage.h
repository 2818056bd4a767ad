#pragma once

#include <sys/types.h>

#include <cstddef>

namespace mimosarail::scenarios {

/// Peak resident size of a process in bytes; 0 if it has ended.
size_t ResidentPeakBytes(pid_t pid);

/// Number of open file descriptors of a process; 0 if it has ended.
size_t OpenDescriptors(pid_t pid);

/// Bytes that the connections of a local port have received and their process
/// has not read.
size_t UnreadBytes(int port);

}  // namespace mimosarail::scenarios
