#pragma once

#include <source_location>

namespace mimosarail {

/// Counts and logs a broken internal expectation; the caller then recovers.
/// Safe from any thread.
void ReportSoftAssert(
    const char* expression,
    std::source_location where = std::source_location::current());

/// How many soft asserts failed so far; a metric. Safe from any thread.
long SoftAssertFailures();

}  // namespace mimosarail

/// Reports a broken expectation and runs `recovery` instead of aborting:
/// an entry with one odd request must go on serving all others.
#define MR_EXPECT(expression, recovery)          \
  if (!(expression)) {                           \
    ::mimosarail::ReportSoftAssert(#expression); \
    recovery;                                    \
  }                                              \
  static_assert(true, "take a semicolon")
