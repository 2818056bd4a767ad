#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace mimosarail::scenarios {

/// A child process of a scenario; killed with it. Not thread-safe.
class Process {
 public:
  /// Starts `arguments`, standard error to `log_file`.
  Process(std::vector<std::string> arguments, const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// Waits for its end; the exit code, or minus the signal.
  int Wait();
  /// Whether it has not ended yet.
  bool Alive();

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int code_ = 0;
};

/// A port of the loopback address from the kernel, kept for this process and
/// its children.
int FreePort();

}  // namespace mimosarail::scenarios
