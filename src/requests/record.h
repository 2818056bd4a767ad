#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::requests {

/// State of a request at its owner.
enum class Phase {
  kClaiming,    ///< The claim of its key in the log is pending.
  kReclaiming,  ///< Its former owner is dead; the state of its
                ///< tasks is being resolved.
  kWaiting,     ///< In the queue.
  kRunning,     ///< Placed at controllers.
  kBackoff,     ///< Waits for its next attempt.
  kEnded,
};

std::string_view PhaseName(Phase phase);

enum class TaskPhase {
  kNone,       ///< Not sent to a controller.
  kRequested,  ///< Sent to a controller; no reply yet.
  kHeld,       ///< Its holder, a controller, has accepted it.
  kResolving,  ///< Its holder is unresponsive, dead, or has lost it.
  kEnded,
};

/// One task of the current attempt.
struct TaskRecord {
  TaskPhase phase = TaskPhase::kNone;
  std::string holder;
  int64_t holder_incarnation = 0;
  bool lease_expiry_assumed = false;
  /// The upstream has confirmed the start, according to the controller.
  bool began = false;
  /// Answers of this round and of earlier rounds predate the current state of
  /// the task and are ignored.
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
  bool foreign = false;          ///< Another entry owns or owned the key.
  bool ran = false;              ///< An attempt has started or may have.
  bool counted_waiting = false;  ///< Counted in the team's waiting requests.
  bool counted_running = false;  ///< Counted in the team's cores.
  std::optional<int64_t> queue_key;
  std::string why;
  std::vector<TaskRecord> tasks;
  /// Number of upstreams lost while they ran a task of it, by task index.
  std::map<int32_t, int32_t> crashes;
  wire::Outcome outcome;
  TimePoint ended{};
  std::vector<OutcomeCallback> waiters;

  // State of resolving the current attempt, or the attempts of a former owner.
  bool resolving = false;
  int resolve_loop = 0;
  int resolve_round = 0;  ///< Never reset.
  /// Last round before the current resolving began.
  int resolve_base_round = 0;
  TimePoint resolve_since{};
  bool fenced_everywhere = false;
  TimePoint fenced_since{};
};

/// Attempt numbers reserved for one epoch of a key. The numbers of the next
/// epoch lie above them.
inline constexpr int32_t kAttemptsPerEpoch = 1000;

}  // namespace mimosarail::requests
