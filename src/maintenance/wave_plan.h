#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/ports/host_port.h"

namespace mimosarail::maintenance {

/// How far one host of a wave is.
enum class HostMaintenancePhase {
  kPending,     ///< Nothing is under way for it.
  kRequested,   ///< Ordered; whether it has begun is not known.
  kInProgress,  ///< Begun; it has not been seen back since.
  kCompleted,   ///< Begun, and seen back.
  kExcluded,    ///< The platform does not take it for a host of the wave.
};

inline constexpr EnumTable kHostMaintenancePhaseNames{std::array{
    EnumName{HostMaintenancePhase::kPending, "due"},
    EnumName{HostMaintenancePhase::kRequested, "ordered"},
    EnumName{HostMaintenancePhase::kInProgress, "begun"},
    EnumName{HostMaintenancePhase::kCompleted, "over"},
    EnumName{HostMaintenancePhase::kExcluded, "excluded"},
}};

/// What runs on a host, and what taking it away would cost.
struct HostWork {
  /// Its upstream is known, listed, answers, and keeps no end that only it
  /// knows of: what follows is true.
  bool known = true;
  int32_t tasks = 0;
  /// Lasting tasks whose step bounds how many may be away: they are moved one
  /// after the other and never ended by the upkeep itself.
  int32_t budgeted_tasks = 0;
  /// When the last task that can't go on elsewhere is expected to end.
  Millis drained_in{0};
  int64_t millicores = 0;
};

struct HostView {
  std::string host;
  /// On the platform's list; one that is not has left for good.
  bool listed = true;
  ports::HostState state = ports::HostState::kUp;
  HostMaintenancePhase progress = HostMaintenancePhase::kPending;
  /// Nothing is sent to it for now: an order is under way, or one was refused
  /// a moment ago.
  bool on_hold = false;
  bool draining = false;
  Millis drained_for{0};
  HostWork work;
};

struct WaveView {
  int64_t wave = 0;
  size_t max_unavailable = 1;
  Millis time_left{0};
  /// How long an upkeep takes, until the host is seen back.
  Millis maintenance_duration{2000};
  /// Free cores, in thousandths, on upstreams that are not withheld.
  int64_t free_millicores = 0;
  std::vector<HostView> hosts;
};

struct WaveDecision {
  /// Hosts that get no new work. Holds every host in `start_maintenance` too.
  std::vector<std::string> drain;
  /// Of these, hosts whose work has had its time to end by itself: all of it is
  /// to be stopped.
  std::vector<std::string> evict;
  /// Hosts whose upkeep is to begin now. Nothing runs there: of what ends in
  /// the moment before an upkeep, the end may be believed here and lost there.
  std::vector<std::string> start_maintenance;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// For the log: hosts that drain, each with what it waits for.
  std::vector<std::string> drain_blockers;
  /// For the log: hosts that count as away, how many may be by the pace, how
  /// many are still due, and how long a drain may take.
  size_t away = 0;
  size_t pace = 0;
  size_t pending = 0;
  Millis drain_limit{0};
};

/// Says what is to be done next for one wave. Values in, decision out: no
/// clock, no I/O. Never lets more than `max_unavailable` hosts be away, an
/// order without an answer counted as away. Safe from any thread.
WaveDecision DecideWave(const WaveView& view);

}  // namespace mimosarail::maintenance
