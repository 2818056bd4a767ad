#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/ports/host_port.h"

namespace mimosarail::maintenance {

/// Phase of the maintenance of one host of a wave.
enum class HostMaintenancePhase {
  kPending,     ///< Its maintenance has not been ordered.
  kRequested,   ///< Ordered; in doubt whether the maintenance has begun.
  kInProgress,  ///< Begun; the host has not been seen back since.
  kCompleted,   ///< Begun, and the host was seen back.
  kExcluded,    ///< Not a host of the wave according to the platform.
};

inline constexpr EnumTable kHostMaintenancePhaseNames{std::array{
    EnumName{HostMaintenancePhase::kPending, "due"},
    EnumName{HostMaintenancePhase::kRequested, "ordered"},
    EnumName{HostMaintenancePhase::kInProgress, "begun"},
    EnumName{HostMaintenancePhase::kCompleted, "over"},
    EnumName{HostMaintenancePhase::kExcluded, "excluded"},
}};

/// The work on a host, and the cost of taking the host away.
struct HostWork {
  /// The other fields are reliable: the upstream of the host is known, listed
  /// and reachable, and holds no completion that it alone knows of.
  bool known = true;
  int32_t tasks = 0;
  /// Long-running tasks whose step limits how many may be unavailable: they are
  /// moved one after the other and never ended by the maintenance itself.
  int32_t budgeted_tasks = 0;
  /// Expected time until the last task that can't continue elsewhere ends.
  Millis drain_time{0};
  int64_t millicores = 0;
};

struct HostView {
  std::string host;
  /// On the platform's list; a host that is not has left permanently.
  bool listed = true;
  ports::HostState state = ports::HostState::kUp;
  HostMaintenancePhase phase = HostMaintenancePhase::kPending;
  /// No order may be sent to the host for now: one is in flight, or one was
  /// refused recently.
  bool on_hold = false;
  bool draining = false;
  Millis draining_for{0};
  HostWork work;
};

struct WaveView {
  int64_t wave = 0;
  size_t max_unavailable = 1;
  Millis time_left{0};
  /// Duration of one maintenance, until the host is seen back.
  Millis maintenance_duration{2000};
  /// Free cores, in thousandths, on upstreams that are not cordoned.
  int64_t free_millicores = 0;
  std::vector<HostView> hosts;
};

struct WaveDecision {
  /// Hosts that get no new work. Includes every host in `start_maintenance`.
  std::vector<std::string> drain;
  /// The subset of `drain` whose drain limit has passed: all their work is to
  /// be stopped.
  std::vector<std::string> evict;
  /// Hosts whose maintenance is to begin now. No task runs on them. Otherwise a
  /// task could complete right before the maintenance, and its completion could
  /// be recorded by the leader but lost on the host.
  std::vector<std::string> start_maintenance;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// For the log: draining hosts, each with the condition that it waits for.
  std::vector<std::string> drain_blockers;
  /// For the log: number of hosts that count as away, number that may be away
  /// according to the pace, number still pending, and the longest drain.
  size_t away = 0;
  size_t pace = 0;
  size_t pending = 0;
  Millis drain_limit{0};
};

/// Decides the next steps of one wave. A pure function: no clock, no I/O. Never
/// lets more than `max_unavailable` hosts be away; a host whose order has no
/// answer counts as away. A slot is one of the places for hosts that may be
/// away at a time. Thread-safe.
WaveDecision DecideWave(const WaveView& view);

}  // namespace mimosarail::maintenance
