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
enum class UpkeepProgress {
  kDue,       ///< Nothing is under way for it.
  kOrdered,   ///< Ordered; whether it has begun is not known.
  kBegun,     ///< Begun; it has not been seen back since.
  kOver,      ///< Begun, and seen back.
  kExcluded,  ///< The platform does not take it for a host of the wave.
};

inline constexpr EnumTable kUpkeepProgressNames{std::array{
    EnumName{UpkeepProgress::kDue, "due"},
    EnumName{UpkeepProgress::kOrdered, "ordered"},
    EnumName{UpkeepProgress::kBegun, "begun"},
    EnumName{UpkeepProgress::kOver, "over"},
    EnumName{UpkeepProgress::kExcluded, "excluded"},
}};

/// What runs on a host, and what taking it away would cost.
struct HostWork {
  /// Its upstream is known, listed, answers, and keeps no end that only it
  /// knows of: what follows is true.
  bool known = true;
  int32_t tasks = 0;
  /// Lasting tasks whose step bounds how many may be away: they are moved one
  /// after the other and never ended by the upkeep itself.
  int32_t bound_tasks = 0;
  /// When the last task that can't go on elsewhere is expected to end.
  Millis drained_in{0};
  int64_t millicores = 0;
};

struct HostView {
  std::string host;
  /// On the platform's list; one that is not has left for good.
  bool listed = true;
  ports::HostState state = ports::HostState::kUp;
  UpkeepProgress progress = UpkeepProgress::kDue;
  /// Nothing is sent to it for now: an order is under way, or one was refused
  /// a moment ago.
  bool waits = false;
  bool draining = false;
  Millis drained_for{0};
  HostWork work;
};

struct WaveView {
  int64_t wave = 0;
  size_t most_at_once = 1;
  Millis time_left{0};
  /// How long an upkeep takes, until the host is seen back.
  Millis upkeep{2000};
  /// Free cores, in thousandths, on upstreams that are not withheld.
  int64_t free_millicores = 0;
  std::vector<HostView> hosts;
};

struct WaveDecision {
  /// Hosts that get no new work. Holds every host in `send` too.
  std::vector<std::string> drain;
  /// Of these, hosts whose work has had its time to end by itself: all of it is
  /// to be stopped.
  std::vector<std::string> clear;
  /// Hosts whose upkeep is to begin now. Nothing runs there: of what ends in
  /// the moment before an upkeep, the end may be believed here and lost there.
  std::vector<std::string> send;
  ports::WaveStatus status = ports::WaveStatus::kRunning;
  /// For the log: hosts that drain, each with what it waits for.
  std::vector<std::string> waits;
  /// For the log: hosts that count as away, how many may be by the pace, how
  /// many are still due, and how long a drain may take.
  size_t away = 0;
  size_t pace = 0;
  size_t due = 0;
  Millis drain_limit{0};
};

/// Says what is to be done next for one wave. Values in, decision out: no
/// clock, no I/O. Never lets more than `most_at_once` hosts be away, an order
/// without an answer counted as away. Safe from any thread.
WaveDecision DecideWave(const WaveView& view);

}  // namespace mimosarail::maintenance
