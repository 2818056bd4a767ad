#include "src/libs/base/soft_assert.h"

#include <atomic>
#include <cstdio>

namespace mimosarail {
namespace {
std::atomic<long> failures{0};
}  // namespace

void ReportSoftAssert(const char* expression, std::source_location where) {
  ++failures;
  std::fprintf(stderr, "soft assert failed: %s at %s:%u\n", expression,
               where.file_name(), where.line());
}

long SoftAssertFailures() { return failures.load(); }

}  // namespace mimosarail
