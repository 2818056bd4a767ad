#pragma once

#include <cstdint>
#include <vector>

#include "src/scheduling/upstream_speeds.h"

namespace mimosarail::scheduling {

/// What a waiting step needs of the speed of its upstreams.
struct SpeedNeeds {
  /// The step has the most urgent priority.
  bool urgent = false;
  bool gang = false;
  /// Expected run time of a task on an upstream of the usual speed.
  Millis work{0};
  /// Time until the task has to end so that its job is in time.
  Millis time_left{0};

  /// Expected run time on an upstream with this speed factor.
  Millis RunTime(double factor) const {
    return Millis(
        static_cast<int64_t>(static_cast<double>(work.count()) / factor));
  }
};

/// Whether a task that starts now on an upstream with this speed factor is
/// expected to end too late. Thread-safe.
bool LateAt(const SpeedNeeds& needs, double factor);

/// How much an upstream of this speed suits a step. Thread-safe.
///
/// An urgent step prefers fast upstreams. Another step prefers the slowest
/// ones on which it is in time and leaves the fast ones free. A step that is
/// late on any upstream leaves the fast ones free too.
struct SpeedRank {
  /// The step is late there though another speed would do.
  bool late = false;
  /// Lower is better. Upstreams of nearly the same speed have the same rank.
  int32_t rank = 0;
};
SpeedRank RankSpeed(const SpeedNeeds& needs, const UpstreamSpeed& speed);

/// Returns the same as a cost to be added to that of a fit. Thread-safe.
double SpeedCost(const SpeedNeeds& needs, const UpstreamSpeed& speed);

/// Upstreams on which tasks of a gang could start.
struct GangOption {
  double factor = 1;
  /// Number of tasks that can probably start there.
  double tasks = 0;
};

/// Returns the lowest speed factor that a gang of this many tasks should use;
/// 0 if the options are too few. A gang ends with its slowest task, and a
/// faster upstream waits for it. Of the ranges of speeds with capacity for the
/// gang, the one is chosen that wastes least among those that are in time, the
/// slower one if they are about equal. If none is in time, the one that ends
/// first. Thread-safe.
double SlowestForGang(std::vector<GangOption> options, double tasks,
                      const SpeedNeeds& needs);

/// Returns the order in which a gang takes upstreams, lower first: those of its
/// slowest speed and above, slowest first, then those below. Thread-safe.
int32_t RankForGang(double slowest, const UpstreamSpeed& speed);

}  // namespace mimosarail::scheduling
