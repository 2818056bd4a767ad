#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "src/libs/base/executor.h"

namespace mimosarail::scenarios {

/// What each client of a crowd does on its connection.
struct CrowdBehavior {
  /// Sent once.
  std::string first;
  /// Sent again and again after `first`, unless it is empty.
  std::string repeated;
  /// Pause before each `repeated`.
  Millis pause{10};
  bool reads_answers = true;
  /// Pause before each read of at most 4 KiB.
  Millis read_pause{0};
  /// Connects again as soon as the connection is lost.
  bool reconnects = false;
};

/// Clients of a loopback port that share one behavior. A
/// client keeps its connection open until a write or read fails; the end of the
/// server's answers alone does not close it. Not thread-safe.
class Crowd {
 public:
  Crowd(int port, size_t clients, CrowdBehavior behavior);
  /// Closes all connections.
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Waits until each client has sent `first` or lost its connection.
  void WaitUntilSent(Millis limit) const;
  /// Waits until the server has closed all connections; returns how many are
  /// still open at the limit.
  size_t WaitUntilClosed(Millis limit) const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::scenarios
