#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "src/jobs/job.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// A listed run that its job does not continue with, and that is stopped.
struct EarlierRun {
  UpstreamIndex upstream = kNoUpstream;
  int64_t attempt = 0;
};

/// The earlier runs of each task that has some. Not thread-safe.
class EarlierRuns {
 public:
  bool empty() const { return runs_.empty(); }
  void Note(const TaskId& task, const EarlierRun& run) {
    runs_[task].insert_or_assign(run.attempt, run.upstream);
  }
  /// The run has ended.
  void Forget(const TaskId& task, int64_t attempt) {
    const auto runs = runs_.find(task);
    if (runs == runs_.end()) return;
    runs->second.erase(attempt);
    if (runs->second.empty()) runs_.erase(runs);
  }
  /// Whether the task has one that still takes resources.
  bool IsRunning(const TaskId& task, const UpstreamPool& pool) const {
    const auto runs = runs_.find(task);
    if (runs == runs_.end()) return false;
    const auto is_reserved = [&](const auto& run) {
      const auto& [attempt, upstream] = run;
      return pool.at(upstream).reservations.count({task, attempt}) > 0;
    };
    return std::any_of(runs->second.begin(), runs->second.end(), is_reserved);
  }

 private:
  /// Upstreams by attempt.
  std::map<TaskId, std::map<int64_t, UpstreamIndex>> runs_;
};

}  // namespace mimosarail::scheduling
