#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/ports/host_port.h"

namespace mimosarail::maintenance {

/// Phase of a host's maintenance within a wave.
enum class HostMaintenancePhase {
  kPending,     ///< The maintenance has not been ordered.
  kRequested,   ///< Ordered; in doubt whether it has begun.
  kInProgress,  ///< Begun; the host has not come back yet.
  kCompleted,   ///< Begun, and the host has come back.
  kExcluded,    ///< The platform reports that the host is not in the wave.
};

inline constexpr EnumTable kHostMaintenancePhaseNames{std::array{
    EnumName{HostMaintenancePhase::kPending, "due"},
    EnumName{HostMaintenancePhase::kRequested, "ordered"},
    EnumName{HostMaintenancePhase::kInProgress, "begun"},
    EnumName{HostMaintenancePhase::kCompleted, "over"},
    EnumName{HostMaintenancePhase::kExcluded, "excluded"},
}};

/// The tasks on a host, which must end or move before its maintenance.
struct HostWork {
  /// The other fields are reliable: the upstream of the host is listed and
  /// reachable, and it has no completion left that is not acknowledged.
  bool known = true;
  /// The upstream answers, so the host exists, whatever the host list says.
  bool reachable = false;
  int32_t tasks = 0;
  /// The long-running tasks among them whose step limits how many of its tasks
  /// may be unavailable. They are moved only within that limit, and never ended
  /// by the maintenance itself.
  int32_t budgeted_tasks = 0;
  /// Expected time until the last task that can't continue elsewhere ends.
  Millis drain_time{0};
  /// Cores of the tasks, in thousandths.
  int64_t millicores = 0;
};

/// One host of a wave, as input of the decision.
struct HostView {
  std::string host;
  /// Whether the host is on the platform's list, or its upstream answers. A
  /// host for which neither holds has left permanently.
  bool listed = true;
  ports::HostState state = ports::HostState::kUp;
  HostMaintenancePhase phase = HostMaintenancePhase::kPending;
  /// No order may be sent to the host for now: one is being stored or is in
  /// flight, or one was refused recently.
  bool on_hold = false;
  bool draining = false;
  Millis draining_for{0};
  HostWork work;
};

/// One wave, as input of the decision.
struct WaveView {
  /// Number of the wave.
  int64_t wave = 0;
  /// How many hosts of the wave may be away for maintenance at a time.
  size_t max_unavailable = 1;
  Millis time_left{0};
  /// How long a host is away for its maintenance.
  Millis maintenance_duration{2000};
  /// Free cores, in thousandths, on upstreams that are not cordoned.
  int64_t free_millicores = 0;
  std::vector<HostView> hosts;
};

/// The next steps of a wave.
struct WaveDecision {
  /// Hosts that get no new tasks. Includes every host in `start_maintenance`.
  std::vector<std::string> drain;
  /// The subset of `drain` whose drain limit has passed: all their tasks are to
  /// be stopped.
  std::vector<std::string> evict;
  /// Hosts whose maintenance is to begin now. No task runs on them: a task
  /// could otherwise complete right before the maintenance, and its completion
  /// could be recorded by the leader but lost on the host.
  std::vector<std::string> start_maintenance;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// For the log: draining hosts, each with the reason why its maintenance does
  /// not begin yet.
  std::vector<std::string> drain_blockers;
  /// For the log: number of hosts that count as away.
  size_t unavailable_count = 0;
  /// For the log: number of hosts that have to be away at a time to finish the
  /// wave in the planned time; at most `max_unavailable`.
  size_t target_unavailable = 0;
  /// For the log: number of hosts whose maintenance has yet to begin.
  size_t pending_count = 0;
  /// For the log: how long a host may wait for its tasks to end.
  Millis drain_limit{0};
};

/// Decides the next steps of one wave. A pure function: no clock, no I/O. Never
/// lets more than `max_unavailable` hosts be away; a host whose order is in
/// doubt counts as away. Thread-safe.
WaveDecision DecideWave(const WaveView& view);

}  // namespace mimosarail::maintenance
