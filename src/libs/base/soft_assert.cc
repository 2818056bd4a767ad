#include "src/libs/base/soft_assert.h"

#include <atomic>
#include <cstdio>

namespace mimosarail {
namespace {
std::atomic<int64_t> failures{0};
}  // namespace

void ReportSoftAssert(const char* expression, const char* file, int line) {
  ++failures;
  std::fprintf(stderr, "soft assert failed: %s at %s:%d\n", expression, file,
               line);
}

int64_t SoftAssertFailures() { return failures.load(); }

}  // namespace mimosarail
