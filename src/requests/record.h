#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::requests {

/// Where a request stands at its owner.
enum class Phase {
  kClaiming,    ///< Its key is being claimed in the log.
  kReclaiming,  ///< Its former owner is gone; what it did is being settled.
  kWaiting,     ///< In the queue.
  kRunning,     ///< Given to controllers.
  kBackoff,     ///< Waits before its next attempt.
  kEnded,
};

std::string_view PhaseName(Phase phase);

enum class TaskPhase {
  kNone,      ///< Not asked for.
  kAsked,     ///< A controller was asked; no answer yet.
  kHeld,      ///< The holder has it.
  kSettling,  ///< Its holder is silent, gone, or has lost it.
  kEnded,
};

/// One task of the present attempt.
struct TaskRecord {
  TaskPhase phase = TaskPhase::kNone;
  std::string holder;
  int64_t holder_incarnation = 0;
  bool lapse_assumed = false;
  /// Its upstream has confirmed the start, as its controller said.
  bool began = false;
  /// Answers of this settlement round and earlier ones say nothing of it.
  int stale_round = 0;
  wire::ReportCall report;
};

using OutcomeCallback = std::function<void(const wire::Outcome&)>;

/// One request at its owner.
struct Record {
  wire::RequestSpec spec;
  std::string digest;  ///< Of the submitted content.
  wire::Treatment treatment;
  Phase phase = Phase::kWaiting;
  uint64_t serial = 0;
  int32_t epoch = 1;
  int32_t attempt = 0;
  int32_t attempts = 0;
  int32_t retries_left = 0;
  int32_t losses = 0;
  bool cancelled = false;
  TimePoint submitted{};
  TimePoint placed{};
  TimePoint expires{};
  Millis waited{0};
  bool started_once = false;
  std::string former_owner;
  int64_t former_incarnation = 0;
  bool foreign = false;          ///< Another entry owns the key, or owned it.
  bool ran = false;              ///< Some attempt started, or may have.
  bool counted_waiting = false;  ///< In the team's waiting requests.
  bool counted_running = false;  ///< In the team's cores.
  std::optional<int64_t> queue_key;
  std::string why;
  std::vector<TaskRecord> tasks;
  /// Upstreams that went with a running task of it, by the task's index.
  std::map<int32_t, int32_t> crashes;
  wire::Outcome outcome;
  TimePoint ended{};
  std::vector<OutcomeCallback> waiters;

  // Settlement of the present attempt, or of a former owner's.
  bool settling = false;
  int settle_loop = 0;
  int settle_round = 0;  ///< Rises through the record's life.
  int settle_first = 0;  ///< Round before the present settlement.
  TimePoint settle_since{};
  bool fenced_everywhere = false;
  TimePoint fenced_since{};
};

/// Attempts of one epoch of a key; the next epoch's numbers lie above.
inline constexpr int32_t kAttemptsPerEpoch = 1000;

}  // namespace mimosarail::requests
