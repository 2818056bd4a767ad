#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace mimosarail::scenarios {

/// A child process of a scenario, killed by the destructor. Not thread-safe.
class Process {
 public:
  /// Starts `arguments` with standard output and standard error appended to
  /// `log_file`. The child inherits no other file descriptors.
  Process(std::vector<std::string> arguments, const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// Waits until the process ends; returns the exit code, or the negative
  /// signal number.
  int Wait();
  /// Whether the process has not ended yet.
  bool Alive();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int code_ = 0;
};

/// Returns a free port of the loopback address, reserved for this process and
/// its children.
int FreePort();

}  // namespace mimosarail::scenarios
