#pragma once

#include <cstdint>

namespace mimosarail {

/// Counts a violated internal expectation and prints it to standard error; the
/// caller then recovers. Thread-safe.
void ReportSoftAssert(const char* expression, const char* file, int line);

/// Number of soft asserts that have failed, exported as a metric. Thread-safe.
int64_t SoftAssertFailures();

}  // namespace mimosarail

/// Reports a violated expectation and runs `recovery` instead of aborting: one
/// unexpected request must not keep an entry from serving the others.
#define MR_EXPECT(expression, recovery)                              \
  if (!(expression)) {                                               \
    ::mimosarail::ReportSoftAssert(#expression, __FILE__, __LINE__); \
    recovery;                                                        \
  }                                                                  \
  static_assert(true, "requires a semicolon")
