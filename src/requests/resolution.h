#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::requests {

/// What is known about one task of an attempt, from the answers of all
/// reachable entries and from the instance list.
struct ResolutionInput {
  int32_t attempt = 0;  ///< A negative number matches no task.
  int32_t index = 0;
  /// Answers of this round by entry name, including this entry's own.
  const std::map<std::string, wire::FindReply>* answers = nullptr;
  /// Upstreams in the instance list.
  std::set<std::string> listed_upstreams;
  /// Whether every entry that answered in this round fenced the attempt.
  bool fenced = false;
  /// An upstream was removed from the instance list after the attempt was
  /// placed or, if the request is being reclaimed, within the outcome window.
  bool upstream_removed = false;
  /// The leases of removed upstreams have expired: more than one lease plus the
  /// maximum delay has passed since the latest removal from the list.
  bool removed_upstream_leases_expired = true;
  /// The controller assumed that the lease had expired, and more than one lease
  /// plus the maximum delay has passed since all live entries set the fence.
  bool lease_expiry_proved = false;
  /// The upstream had confirmed the start of the task.
  bool began = false;
};

enum class ResolutionResult {
  kWait,        ///< Too little is known; ask again.
  kRunning,     ///< An entry controls the running task.
  kEnded,       ///< The result of the task is known.
  kNotStarted,  ///< Certain: it never started and cannot start.
  kNotRunning,  ///< Certain: it is not running; it may have run.
};

struct Resolution {
  ResolutionResult result = ResolutionResult::kWait;
  std::string controller;   ///< Of a running task: the entry that controls it.
  wire::ReportCall report;  ///< Of an ended task: its result.
  /// Of a task that is not running: it had started, and its upstream has
  /// restarted or is gone. Otherwise the upstream may only be unresponsive.
  bool upstream_lost = false;
};

/// Resolves the outcome of a task whose controller is unresponsive. Pure
/// function. Thread-safe.
Resolution ResolveTask(const ResolutionInput& input);

}  // namespace mimosarail::requests
