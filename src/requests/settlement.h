#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::requests {

/// What was asked of every reachable entry about one task of an attempt.
struct SettlementInput {
  int32_t attempt = 0;
  int32_t index = 0;
  /// Answers of this sweep by entry name, this entry's own among them.
  const std::map<std::string, wire::FindReply>* answers = nullptr;
  /// Upstreams in the instance list.
  std::set<std::string> listed_upstreams;
  /// Whether every answer of the sweep set a fence above the attempt.
  bool fenced = false;
  /// An upstream left the list since the attempt was placed.
  bool upstream_vanished = false;
  /// The last upstream to leave the list did so longer ago than any lease.
  bool vanished_surely_lapsed = true;
  /// The controller gave the upstream up, and since every entry was fenced
  /// more than a lease and the longest delay have passed.
  bool lapse_proved = false;
  /// Its upstream had confirmed the start.
  bool began = false;
};

enum class SettlementResult {
  kWait,        ///< Not enough is known; ask again.
  kHeld,        ///< An entry holds the running task.
  kEnded,       ///< Its end is known.
  kNotStarted,  ///< Certain: it never started and cannot start any more.
  kGone,        ///< Certain: it does not run; it may have run.
};

struct Settlement {
  SettlementResult result = SettlementResult::kWait;
  std::string holder;
  wire::ReportCall report;
};

/// Decides from the answers what became of a task whose controller is silent.
/// Pure; safe from any thread.
Settlement Settle(const SettlementInput& input);

}  // namespace mimosarail::requests
