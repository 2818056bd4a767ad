#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::requests {

/// The answers of all reachable entries about one task of an attempt.
struct ResolutionInput {
  int32_t attempt = 0;
  int32_t index = 0;
  /// Answers of this round by entry name, including this entry's own.
  const std::map<std::string, wire::FindReply>* answers = nullptr;
  /// Upstreams in the instance list.
  std::set<std::string> listed_upstreams;
  /// Whether every entry that answered in this round fenced the attempt.
  bool fenced = false;
  /// An upstream was removed from the instance list after the attempt was
  /// placed.
  bool upstream_removed = false;
  /// Since the latest removal of an upstream from the list, more time has
  /// passed than any lease lasts.
  bool removed_upstream_leases_expired = true;
  /// The controller assumed that the lease had expired, and more than one
  /// lease plus the maximum delay has passed since every entry was fenced.
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
  std::string controller;  ///< Of a running task: the entry that controls it.
  wire::ReportCall report;
};

/// Resolves the outcome of a task whose controller is unresponsive. Pure
/// function. Thread-safe.
Resolution ResolveTask(const ResolutionInput& input);

}  // namespace mimosarail::requests
