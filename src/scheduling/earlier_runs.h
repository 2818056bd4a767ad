#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "src/jobs/job.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// A run that was listed while its task waited, and that is stopped.
struct EarlierRun {
  UpstreamIndex upstream = kNoUpstream;
  int64_t attempt = 0;
};

/// The earlier run of each task that has one. Not thread-safe.
class EarlierRuns {
 public:
  bool empty() const { return runs_.empty(); }
  /// Replaces the one known so far.
  void Note(const TaskId& task, const EarlierRun& run) { runs_[task] = run; }
  /// The run has ended.
  void Forget(const TaskId& task, int64_t attempt) {
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.attempt == attempt) runs_.erase(run);
  }
  /// Whether the task has one that still takes resources.
  bool IsRunning(const TaskId& task, const UpstreamPool& pool) const {
    const auto run = runs_.find(task);
    if (run == runs_.end()) return false;
    const auto& [upstream, attempt] = run->second;
    return pool.at(upstream).reservations.count({task, attempt}) > 0;
  }

 private:
  std::map<TaskId, EarlierRun> runs_;
};

}  // namespace mimosarail::scheduling
