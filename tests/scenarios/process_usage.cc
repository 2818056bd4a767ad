#include "tests/scenarios/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace mimosarail::scenarios {
namespace {

constexpr size_t kBytesPerKb = 1024;

std::string ProcPath(pid_t pid, const char* file) {
  return "/proc/" + std::to_string(pid) + "/" + file;
}

}  // namespace

size_t ResidentPeakBytes(pid_t pid) {
  std::ifstream status(ProcPath(pid, "status"));
  std::string word;
  while (status >> word) {
    if (word != "VmHWM:") continue;
    size_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes * kBytesPerKb;
  }
  return 0;
}

size_t OpenDescriptors(pid_t pid) {
  std::error_code ended;
  const std::filesystem::directory_iterator files(ProcPath(pid, "fd"), ended);
  if (ended) return 0;
  return static_cast<size_t>(std::distance(begin(files), end(files)));
}

}  // namespace mimosarail::scenarios
