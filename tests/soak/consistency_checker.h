#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail::soak {

/// What the tasks of a job are started with.
std::string Payload(JobId id);

/// One job as its callers know it.
struct JobRecord {
  /// Body of the request that hands it in.
  std::string body;
  /// Tasks of each step; a step waits for the one before it.
  std::vector<int32_t> tasks;
  int submissions = 0;
  int refusals = 0;
  /// Which entry told that it is stored, and when; empty if none did.
  std::string accepted_by;
  TimePoint accepted_at{};
  bool cancel_asked = false;
  /// The final state that it was shown in; empty before.
  std::string final_state;
  bool started = false;
};

/// What callers were told of jobs and what upstreams ran, held against the
/// rules of the service. Findings are what breaks one. Not thread-safe.
class ConsistencyChecker {
 public:
  /// `log` gets what Log() is given.
  explicit ConsistencyChecker(const std::string& log) : log_(log) {}

  void Log(const std::string& what);
  void AddFinding(const std::string& what);
  const std::vector<std::string>& findings() const { return findings_; }
  /// A job and who accepted it when, as text.
  std::string Describe(JobId id) const;
  /// Time since the start of the run, as text.
  std::string ElapsedText(TimePoint at) const;

  std::map<JobId, JobRecord>& jobs() { return jobs_; }
  /// A caller was shown this state by `entry`.
  void OnState(JobId id, const std::string& state, const std::string& entry);

  void OnStart(const std::string& upstream, const TaskId& task,
               const std::string& payload);
  /// `done` is the number of an end "done" of that upstream, 0 for others.
  void OnEnd(const std::string& upstream, const TaskId& task, int64_t done);
  /// Ends up to `number` were taken note of.
  void OnAcknowledged(const std::string& upstream, int64_t number);
  /// Ends that nobody has taken note of count as never told.
  void OnLeaseExpired(const std::string& upstream) {
    unacknowledged_[upstream].clear();
  }

 private:
  struct TaskFacts {
    std::set<std::string> runs_on;
    bool done = false;
    /// An end "done" was taken note of.
    bool noted = false;
  };
  /// An end "done" of which nobody has taken note.
  struct UnacknowledgedEnd {
    TaskId task;
    bool started_again = false;
  };

  /// Whether all tasks of the step are done.
  bool Done(JobId job, int32_t step) const;

  TimePoint start_ = Clock::now();
  std::ofstream log_;
  std::vector<std::string> findings_;
  std::map<JobId, JobRecord> jobs_;
  std::map<TaskId, TaskFacts> tasks_;
  std::map<std::string, std::map<int64_t, UnacknowledgedEnd>> unacknowledged_;
};

}  // namespace mimosarail::soak
