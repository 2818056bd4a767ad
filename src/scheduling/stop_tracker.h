#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "src/jobs/job.h"
#include "src/libs/base/executor.h"
#include "src/ports/task_port.h"
#include "src/scheduling/orders.h"

namespace mimosarail::scheduling {

/// Decides when the stops of runs that should end are ordered, and ordered
/// again. Not thread-safe.
class StopTracker {
 public:
  /// A stop is ordered again if the end of the run is not reported within this
  /// time. A stop takes up to 0.9 s where tasks are slow to end.
  static constexpr Millis kRetryInterval{1200};
  /// A stop that may not have arrived is ordered again when a report at least
  /// this much later still lists the run. Without this delay, the stop would be
  /// repeated after each report, and an upstream with many ends reports often.
  static constexpr Millis kFailedStopRetryInterval{100};

  /// How a run that no job continues with comes to its end.
  struct Ending {
    StopReason reason = StopReason::kOrphaned;
    /// The run is expected to end without a stop.
    bool without_stop = false;
  };

  /// A stop of the run is ordered now.
  void NoteOrdered(UpstreamIndex upstream, const TaskId& task, int64_t attempt,
                   StopReason reason, TimePoint now);
  /// A stop of the run may not have arrived.
  void NoteFailed(UpstreamIndex upstream, const TaskId& task, int64_t attempt,
                  TimePoint now);
  /// A report lists a run that should end. `ending` is ignored unless that is
  /// new. Returns the stop if it is to be ordered now.
  std::optional<StopOrder> NoteListed(UpstreamIndex upstream,
                                      const ports::RunningTask& running,
                                      const Ending& ending, TimePoint now);
  /// The run has ended, or has never started.
  void Remove(UpstreamIndex upstream, const TaskId& task, int64_t attempt);
  /// All runs on the upstream have ended.
  void RemoveAll(UpstreamIndex upstream) { runs_.erase(upstream); }

 private:
  struct StopState {
    StopReason reason = StopReason::kOrphaned;
    /// A stop was ordered at least once.
    bool ordered = false;
    /// A report that lists the run at this time or later causes a stop order.
    TimePoint due{};
  };
  using StopStates = std::map<std::pair<TaskId, int64_t>, StopState>;

  /// By upstream, then by task and attempt.
  std::unordered_map<UpstreamIndex, StopStates> runs_;
};

}  // namespace mimosarail::scheduling
