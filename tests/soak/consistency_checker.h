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

/// The payload that the tasks of a job are started with.
std::string Payload(JobId id);

/// One job as its callers know it.
struct JobRecord {
  /// Body of the request that submits the job.
  std::string body;
  /// Number of tasks of each step; a step waits for the one before it.
  std::vector<int32_t> tasks;
  int submissions = 0;
  int refusals = 0;
  /// The first entry that confirmed the job as stored, and when; empty if none
  /// did.
  std::string accepted_by;
  TimePoint accepted_at{};
  bool cancel_requested = false;
  /// A caller that cancelled the job was told that it does not exist.
  bool denied = false;
  /// The first final state that an entry reported, and when; empty before.
  std::string final_state;
  TimePoint final_reported_at{};
  /// An upstream has started a task of the job.
  bool started = false;
};

/// Checks the answers that callers got and the runs of upstreams against the
/// rules of the service. A violated rule is a finding. Not thread-safe.
class ConsistencyChecker {
 public:
  /// `log` is the file that Log() writes to.
  explicit ConsistencyChecker(const std::string& log) : log_(log) {}

  void Log(const std::string& what);
  void AddFinding(const std::string& what);
  const std::vector<std::string>& findings() const { return findings_; }
  /// The job, the entry that accepted it and the time, as text.
  std::string Describe(JobId id) const;
  /// Time since the start of the run, as text.
  std::string ElapsedText(TimePoint at) const;

  std::map<JobId, JobRecord>& jobs() { return jobs_; }
  /// Checks a state that `entry` reported to a call sent at `sent`.
  void OnState(JobId id, const std::string& state, const std::string& entry,
               TimePoint sent);

  void OnStart(const std::string& upstream, const TaskId& task,
               const std::string& payload);
  /// A run ended. `completion_number` is the number of the completion if the
  /// run was successful, 0 otherwise.
  void OnEnd(const std::string& upstream, const TaskId& task,
             int64_t completion_number);
  /// A leader has acknowledged the completions up to `completion_number`.
  void OnAcknowledged(const std::string& upstream, int64_t completion_number);
  /// A run was lost in a crash of its upstream.
  void OnCrash(const TaskId& task) { ++tasks_[task].crashes; }
  /// Drops the completions that no leader has acknowledged: they no longer
  /// count.
  void OnLeaseExpired(const std::string& upstream) {
    Log("lease expired at " + upstream + ", completions not acknowledged: " +
        std::to_string(unacknowledged_[upstream].size()));
    unacknowledged_[upstream].clear();
  }
  /// As OnLeaseExpired(); completions are numbered from the beginning again.
  void OnRestarted(const std::string& upstream) {
    Log("restart of " + upstream);
    unacknowledged_[upstream].clear();
  }

 private:
  /// Checks that the account of a started task is within its limit.
  void CheckAccountLimit(const TaskId& task, const std::string& what);

  struct TaskStatus {
    std::set<std::string> runs_on;
    bool done = false;
    /// Number of upstreams that crashed while they ran the task.
    int crashes = 0;
    /// A leader has acknowledged a successful run.
    bool acknowledged = false;
  };
  /// A successful run that no leader has acknowledged.
  struct UnacknowledgedCompletion {
    TaskId task;
    bool started_again = false;
  };

  /// The highest number of crashes under one task of the job.
  int MostCrashes(JobId id) const;
  /// Whether all tasks of the step are done.
  bool IsStepDone(JobId job, int32_t step) const;

  TimePoint start_ = Clock::now();
  std::ofstream log_;
  std::vector<std::string> findings_;
  std::map<JobId, JobRecord> jobs_;
  std::map<TaskId, TaskStatus> tasks_;
  /// Number of running tasks by account.
  std::map<std::string, int> running_;
  /// By upstream and completion number.
  std::map<std::string, std::map<int64_t, UnacknowledgedCompletion>>
      unacknowledged_;
};

}  // namespace mimosarail::soak
