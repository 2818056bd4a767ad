#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs_types.h"
#include "src/ports/advice_port.h"
#include "src/ports/task_port.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::jobsim {

/// What one task of a test's job does when it runs.
struct TaskBehavior {
  Millis run_time{500};
  /// So many of its runs fail.
  int failing_runs = 0;
  /// Each upstream that starts it crashes this much later.
  std::optional<Millis> crash_delay{};
};

/// Faults of one upstream, switched by tests.
struct UpstreamFaults {
  /// Gone with all that it ran; never comes back under this id.
  bool terminated = false;
  /// Runs on, but no call gets through.
  bool unreachable = false;
  /// So many starts are carried out and not answered.
  int drop_start_replies = 0;
  /// So many starts are carried out this much later and not answered.
  int delayed_starts = 0;
  Millis execution_delay{2500};
  /// So many stops never get there.
  int drop_stops = 0;
  /// So many answers to renewals come this much after they were given.
  int delayed_renew_replies = 0;
  Millis renew_reply_delay{1000};
  /// How long a renewal that waits is held, and a stop takes.
  Millis long_poll_wait{50};
  Millis stop_time{200};
};

/// All upstreams of a test's cell, and the checks of what they see. They trust
/// what they are told: room is not guarded.
class UpstreamsFake {
 public:
  explicit UpstreamsFake(sim::ManualClock& clock) : clock_(clock) {}

  void Add(const std::string& id, int32_t millicores, int32_t memory_mb);
  /// What it may run changes while it runs.
  void Resize(const std::string& id, int32_t millicores) {
    upstreams_[id].millicores = millicores;
  }
  UpstreamFaults& faults(const std::string& id) {
    return upstreams_[id].faults;
  }
  /// The highest fencing token that it has seen.
  int64_t fence(const std::string& id) const { return upstreams_.at(id).fence; }
  /// The job that tasks belong to, and how its tasks behave.
  void RegisterJob(const wire::JobSpec& spec);
  TaskBehavior& behavior(const TaskId& task) { return behaviors_[task]; }

  /// This life of it is over at once, with all that ran there and all ends that
  /// nobody took note of. Its address refuses connections until another life
  /// answers there, which `OnReplacement` is told of.
  void Crash(const std::string& id);
  void OnReplacement(
      std::function<void(const std::string& id)> on_replacement) {
    on_replacement_ = std::move(on_replacement);
  }
  void OnCrash(std::function<void(const std::string& id)> crash) {
    crash_ = std::move(crash);
  }
  /// How long after a crash another life answers, and whether at the address of
  /// the one before or elsewhere.
  void SetReplacement(Millis after, bool elsewhere) {
    replacement_delay_ = after;
    replacement_at_new_address_ = elsewhere;
  }
  /// Upstreams that have crashed while they ran the task.
  int Crashes(const TaskId& task) const;
  /// How often the task was started.
  int Starts(const TaskId& task) const;

  /// Its host ended this life of it, with all that ran there.
  void TerminateUpstream(const std::string& id);
  /// Checks that an order which ends all there ends no lasting task of a step
  /// that has as many away already as it allows.
  void CheckTerminationAllowed(const std::string& id);
  /// Ends "done" there that nobody took note of are lost with the upstream.
  void DropUnacknowledgedEnds(const std::string& id);
  /// Runs that ended "done" and were not lost so.
  int DurableDoneRuns(const TaskId& task) const;
  /// Tasks that run there now.
  size_t Running(const std::string& id) const {
    return upstreams_.at(id).running.size();
  }

  ports::CallReply Start(const ports::UpstreamTarget& target,
                         const ports::StartTask& call);
  ports::CallReply Stop(const ports::UpstreamTarget& target, const TaskId& task,
                        int64_t attempt, int64_t fence);
  ports::RenewReply Renew(const ports::UpstreamTarget& target,
                          const ports::RenewCall& call);
  /// Whoever asked was told that the job is cancelled, or that there is none.
  void NoteCancelled(JobId job) { cancelled_at_.emplace(job, clock_.now()); }
  /// Something is out of order now; time bounds begin anew.
  void RecordFault() { last_fault_at_ = clock_.now(); }
  /// Some upstream is disturbed by its faults.
  bool HasActiveFault() const;
  /// An order to start is on its way: none of a job cancelled long ago.
  void CheckStartOrder(const TaskId& task);
  /// Nothing of a cancelled job runs on past its bound.
  void CheckCancelled();
  /// Whether a call of this entry gets there and back.
  bool Reachable(const std::string& id, const std::string& entry);
  /// The entries and upstreams named reach each other and nobody else does;
  /// with none, all reach all.
  void SetPartition(std::set<std::string> island) {
    partition_ = std::move(island);
  }
  /// What a call to an upstream that has crashed is answered; unset for others.
  std::optional<ports::CallVerdict> CrashVerdict(const std::string& id) const;
  sim::ManualClock& clock() { return clock_; }

  /// Rules broken so far, each with what was seen.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Runs that ended "done", by task.
  int DoneRuns(const TaskId& task) const;
  int starts() const { return starts_; }
  /// Whether anybody ever called it.
  bool WasCalled(const std::string& id) const { return called_.count(id) > 0; }
  /// The upstream that runs the task; empty if none does.
  std::string UpstreamRunning(const TaskId& task) const;
  bool HasRun(JobId job) const { return ran_.count(job) > 0; }
  std::vector<std::string> ids() const;

 private:
  enum class UpstreamState { kAlive, kCrashed, kReplaced };
  struct Run {
    int64_t attempt = 0;
    uint64_t id = 0;
    TimePoint started{};
    bool working = false;
    TimePoint working_since{};
  };
  struct Upstream {
    UpstreamFaults faults;
    UpstreamState state = UpstreamState::kAlive;
    int32_t millicores = 0;
    int32_t memory_mb = 0;
    int64_t fence = 0;
    int64_t last_end = 0;
    TimePoint lease_end{};
    /// Ends up to this number came before a lease ran out.
    int64_t last_end_before_expiry = 0;
    std::map<TaskId, Run> running;
    std::vector<ports::EndedTask> ended;
    std::map<TaskId, int64_t> last_attempt;
  };

  int64_t ClockMs() const;
  void ExtendLease(Upstream& upstream, int64_t until_ms);
  void CheckStart(const std::string& id, const Upstream& upstream,
                  const ports::StartTask& call);
  void BeginWork(const TaskId& task, int64_t attempt);
  void End(const std::string& id, const TaskId& task, uint64_t run,
           ports::EndKind kind);
  /// The other members that work end with one that ended early.
  void BreakGang(const TaskId& task, int64_t attempt);
  void ExpireLease(const std::string& id);
  const wire::StepSpec* StepOf(const TaskId& task) const;
  bool IsWorking(const TaskId& task) const;
  void CheckAvailable(const TaskId& task);
  void CheckCrashes(const TaskId& task);
  void CrashLater(const std::string& id, const TaskId& task, uint64_t run);

  sim::ManualClock& clock_;
  std::map<std::string, Upstream> upstreams_;
  std::map<JobId, wire::JobSpec> specs_;
  std::map<TaskId, TaskBehavior> behaviors_;
  std::map<TaskId, int> failed_runs_;
  std::map<TaskId, int> done_runs_;
  std::map<TaskId, int> lost_runs_;
  std::map<TaskId, int> crashes_;
  std::map<TaskId, int> task_starts_;
  /// Starts of tasks that crash their upstreams, after the third crash.
  std::map<TaskId, int> starts_after_crashes_;
  std::function<void(const std::string& id)> on_replacement_;
  std::function<void(const std::string& id)> crash_;
  Millis replacement_delay_{3000};
  bool replacement_at_new_address_ = false;
  /// Ends "done" that a leader has taken note of, in tasks.
  std::set<TaskId> acknowledged_done_;
  std::set<JobId> ran_;
  std::set<std::string> called_;
  std::map<JobId, TimePoint> cancelled_at_;
  TimePoint last_fault_at_{};
  /// Runs that were found to outlast the cancelling of their job.
  std::set<uint64_t> reported_overruns_;
  /// Bound tasks that were at work when an order ended them.
  std::set<TaskId> ended_by_order_;
  std::vector<std::string> violations_;
  uint64_t last_run_ = 0;
  int starts_ = 0;
  std::set<std::string> partition_;
};

/// One entry's way to the upstreams.
class UpstreamClientFake final : public ports::TaskPort,
                                 public ports::AdvicePort {
 public:
  /// Everything given outlives it.
  UpstreamClientFake(UpstreamsFake& upstreams, Executor& executor,
                     std::string entry)
      : upstreams_(upstreams), executor_(executor), entry_(std::move(entry)) {}

  void Start(const ports::UpstreamTarget& target, const ports::StartTask& call,
             Millis timeout,
             std::function<void(ports::CallReply)> done) override;
  void Stop(const ports::UpstreamTarget& target, const TaskId& task,
            int64_t attempt, int64_t fence, Millis timeout,
            std::function<void(ports::CallReply)> done) override;
  void Renew(const ports::UpstreamTarget& target, const ports::RenewCall& call,
             Millis timeout,
             std::function<void(ports::RenewReply)> done) override;
  void Ask(const StepId& step, const std::vector<std::string>& upstreams,
           Millis timeout, Callback<ports::Advice> done) override;

 private:
  UpstreamsFake& upstreams_;
  Executor& executor_;
  std::string entry_;
};

}  // namespace mimosarail::jobsim
