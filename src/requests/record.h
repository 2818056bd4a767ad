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
  kSent,       ///< Sent to a controller; no reply yet.
  kAccepted,   ///< Accepted by its controller.
  kResolving,  ///< Its controller is unresponsive, dead, or has lost it.
  kEnded,
};

/// One task of the current attempt.
struct TaskRecord {
  TaskPhase phase = TaskPhase::kNone;
  std::string controller;  ///< Entry that the task was sent to.
  int64_t controller_incarnation = 0;
  /// The controller assumes that the lease has expired.
  bool lease_expiry_assumed = false;
  /// Where it ran, if its controller has lost it; empty if that is unknown.
  std::string upstream;
  /// The upstream has confirmed the start, according to the controller.
  bool began = false;
  /// Answers of this resolving round and of earlier ones predate the current
  /// state of the task and are ignored.
  int stale_round = 0;
  /// The task counts as lost, but it is not known that its upstream crashed:
  /// its start was never confirmed, or the upstream is only unresponsive or has
  /// left as planned.
  bool crash_unproved = false;
  wire::ReportCall report;
};

using OutcomeCallback = std::function<void(const wire::Outcome&)>;

/// One request at its owner.
struct Record {
  wire::RequestSpec spec;
  std::string digest;  ///< Digest of the submitted content.
  wire::Treatment treatment;
  Phase phase = Phase::kWaiting;
  uint64_t serial = 0;           ///< Identifies the request in the queue.
  int32_t epoch = 1;             ///< Epoch of the claim of its key.
  int32_t attempt = 0;           ///< Number of the current or next attempt.
  int32_t started_attempts = 0;  ///< Attempts accepted by their controllers.
  int32_t retries_left = 0;
  int32_t lost_attempts = 0;  ///< Neither done nor failed: lost or preempted.
  bool cancelled = false;
  TimePoint submitted_at{};
  TimePoint placed_at{};
  TimePoint expires_at{};  ///< Wait limit or deadline while not running.
  Millis waited{0};        ///< From the submission to the first start.
  bool started_once = false;
  std::string former_owner;
  int64_t former_incarnation = 0;
  bool owned_by_other_entry = false;  ///< Another entry owns or owned the key.
  bool may_have_started = false;      ///< An attempt has started or may have.
  bool counted_waiting = false;  ///< Counted in the team's waiting requests.
  bool counted_running = false;  ///< Counted in the team's cores.
  std::optional<int64_t> queue_key;  ///< Keeps its place in the queue.
  std::string status_message;        ///< Why it is in this phase; may be empty.
  std::vector<TaskRecord> tasks;
  /// Number of upstreams known to have crashed while they ran a task of it, by
  /// task index.
  std::map<int32_t, int32_t> crashes;
  wire::Outcome outcome;
  TimePoint ended_at{};
  std::vector<OutcomeCallback> waiters;  ///< Called once it has ended.

  // State of resolving the current attempt, or the attempts of a former owner.
  bool resolving = false;
  /// Incremented with each start of resolving. Rounds scheduled by an earlier
  /// start are ignored.
  int resolve_generation = 0;
  int resolve_round = 0;  ///< Never reset.
  /// Value of resolve_round when the current resolving began.
  int resolve_base_round = 0;
  TimePoint resolve_since{};
  bool fenced_everywhere = false;  ///< All live entries have set the fence.
  TimePoint fenced_since{};
};

/// Attempt numbers reserved for one epoch of a key. The numbers of the next
/// epoch lie above them.
inline constexpr int32_t kAttemptsPerEpoch = 1000;

}  // namespace mimosarail::requests
