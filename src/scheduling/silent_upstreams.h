#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/job.h"
#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// The unresponsive upstreams that tasks may have crashed, by id, each with
/// these tasks. An upstream stays until its fate is certain, or no task is
/// suspected any more. Not thread-safe.
class SilentUpstreams {
 public:
  /// An upstream that is unresponsive and not listed for this long is assumed
  /// to have crashed. Much longer than it takes to be listed again after an
  /// outage of the store.
  static constexpr Millis kMissingTime{20000};

  bool empty() const { return upstreams_.empty(); }
  bool Contains(const std::string& upstream) const {
    return upstreams_.count(upstream) > 0;
  }
  /// Returns the tasks that may have crashed the upstream.
  std::set<TaskId> TasksOf(const std::string& upstream) const;
  /// Whether the upstream may have been crashed by a task, and is not assumed
  /// to have crashed.
  bool AwaitsFate(const std::string& upstream) const;

  /// The task may have crashed the upstream. `since` is when the upstream
  /// became unresponsive, or when this leader learned of it; ignored if the
  /// upstream awaits its fate.
  void Add(const std::string& upstream, const TaskId& task, TimePoint since);
  /// The fate of the upstream is certain.
  void Remove(const std::string& upstream) { upstreams_.erase(upstream); }
  /// Removes the tasks that are not suspected any more, and the upstreams
  /// without any other task.
  void RemoveTasks(const std::function<bool(const TaskId&)>& is_cleared);
  /// Whether any upstream awaits its fate.
  bool AnyAwaitsFate() const;
  /// Assumes that the upstreams have crashed that are unresponsive and not
  /// listed for kMissingTime on end. Returns them, each only once. Call
  /// regularly.
  std::vector<std::string> AssumeCrashes(
      const std::function<bool(const std::string&)>& is_listed, TimePoint now);

 private:
  struct SilentUpstream {
    /// Since when it is unresponsive and not listed.
    TimePoint since{};
    bool assumed_crashed = false;
    std::set<TaskId> tasks;
  };

  std::map<std::string, SilentUpstream> upstreams_;
};

}  // namespace mimosarail::scheduling
