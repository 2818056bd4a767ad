#pragma once

#include <cstddef>
#include <cstdint>

#include "src/libs/base/executor.h"

namespace mimosarail::coordinator {

/// Memory of a machine that does not say how much it has, in MB.
inline constexpr int64_t kDefaultMemoryMb = 120;

/// The bytes of memory that the state of all jobs may take, and how fast jobs
/// that end release it. Uses no clock, socket or log. Not thread-safe.
class MemoryBudget {
 public:
  /// Sets the memory of the smallest machine that may lead, in MB; 0 if it is
  /// not known.
  void SetMachineMemory(int64_t memory_mb);
  /// A quarter of that machine's memory. The rest is for the process itself,
  /// its connections, records on their way, and the tasks that run.
  size_t bytes() const { return bytes_; }

  /// Notes how many bytes have been released in all. Call regularly.
  void NoteReleased(size_t released_in_all, TimePoint now);
  /// Returns when this many bytes will have been released at the recent rate.
  Millis TimeToRelease(size_t bytes) const;

 private:
  size_t bytes_ = 0;
  size_t released_in_all_ = 0;
  TimePoint noted_at_{};
  double bytes_per_s_ = 0;
};

}  // namespace mimosarail::coordinator
