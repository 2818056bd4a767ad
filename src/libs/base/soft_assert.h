#pragma once

#include <cstdint>

namespace mimosarail {

/// Counts and reports a broken internal expectation; the caller then recovers.
/// Safe from any thread.
void ReportSoftAssert(const char* expression, const char* file, int line);

/// How many soft asserts failed so far; a metric. Safe from any thread.
int64_t SoftAssertFailures();

}  // namespace mimosarail

/// Reports a broken expectation and runs `recovery` instead of aborting:
/// an entry with one odd request must go on serving all others.
#define MR_EXPECT(expression, recovery)                              \
  if (!(expression)) {                                               \
    ::mimosarail::ReportSoftAssert(#expression, __FILE__, __LINE__); \
    recovery;                                                        \
  }                                                                  \
  static_assert(true, "take a semicolon")
