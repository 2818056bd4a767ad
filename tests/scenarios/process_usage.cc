#include "tests/scenarios/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace mimosarail::scenarios {
namespace {

constexpr size_t kBytesPerKb = 1024;
/// State of a listener in /proc/net/tcp. Its queue holds connections.
constexpr const char* kListening = "0A";
constexpr int kHex = 16;

std::string ProcPath(pid_t pid, const char* file) {
  return "/proc/" + std::to_string(pid) + "/" + file;
}

/// The second figure of "A:B".
size_t HexAfterColon(const std::string& pair) {
  return std::stoul(pair.substr(pair.find(':') + 1), nullptr, kHex);
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

// Columns: number, local address, remote address, state, send and receive
// queue; all figures are hexadecimal.
size_t UnreadBytes(int port) {
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  std::getline(connections, line);  // names of the columns
  size_t sum = 0;
  while (std::getline(connections, line)) {
    std::istringstream columns(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    columns >> number >> local >> remote >> state >> queues;
    const bool matches = state != kListening &&
                         HexAfterColon(local) == static_cast<size_t>(port);
    if (matches) sum += HexAfterColon(queues);
  }
  return sum;
}

}  // namespace mimosarail::scenarios
