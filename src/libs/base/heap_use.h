#pragma once

#include <malloc.h>

#include <cstddef>

namespace mimosarail {

/// Returns the bytes that this process has allocated and not freed; 0 where the
/// allocator does not say so. Thread-safe.
inline size_t AllocatedHeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace mimosarail
