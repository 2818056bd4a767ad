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
#include "tests/jobsim/link_fake.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::jobsim {

/// What one task of a test's job does when it runs.
struct TaskBehavior {
  Millis run_time{500};
  /// Number of runs of the task that fail, from the first one on.
  int failing_runs = 0;
  /// Each upstream that starts the task crashes after this delay.
  std::optional<Millis> crash_delay{};
  /// Number of starts of the task, from the first one on, that never arrive:
  /// the upstream crashes just before.
  int starts_lost_in_crashes = 0;
  /// Number of starts of the task, from the first one on, that are executed
  /// without a reply.
  int unanswered_starts = 0;
  /// The checkpoint that each run reports; empty for none.
  std::string checkpoint{};
};

/// Where the clock of an upstream's next incarnation begins, compared with that
/// of the previous one at the time of the restart.
enum class ClockStart { kAnywhere, kBehind, kAhead };

/// Faults of one upstream, set by tests.
struct UpstreamFaults {
  /// The upstream has ended with all of its runs. It never comes back under
  /// this id.
  bool terminated = false;
  /// The upstream keeps running, but no call reaches it.
  bool unreachable = false;
  /// Number of upcoming starts that are executed without a reply.
  int drop_start_replies = 0;
  /// Number of upcoming starts that are executed after `execution_delay`
  /// without a reply, by the incarnation that then serves under the id.
  int delayed_starts = 0;
  /// The same for renewals.
  int delayed_renewals = 0;
  Millis execution_delay{2500};
  /// Late calls do not outlive the incarnation that they were sent to.
  bool late_calls_end_in_restart = false;
  /// Starts and renewals that are sent or due while the upstream is down wait
  /// for its next restart, and are executed by the new incarnation.
  bool calls_wait_for_restart = false;
  /// Calls that have waited for a restart are answered, if their callers still
  /// wait.
  bool waiting_calls_answered = false;
  ClockStart next_clock = ClockStart::kAnywhere;
  /// Number of upcoming stops that never arrive.
  int drop_stops = 0;
  /// Number of upcoming replies to renewals that arrive `renew_reply_delay`
  /// late.
  int delayed_renew_replies = 0;
  Millis renew_reply_delay{1000};
  /// How long the upstream holds a renewal that waits.
  Millis long_poll_wait{50};
  /// Time from a stop to the end of the run.
  Millis stop_time{200};
};

/// All upstreams of a test's cluster, with checks of the calls that reach them.
/// A start that exceeds the capacity is executed and recorded as a violation.
class UpstreamsFake {
 public:
  explicit UpstreamsFake(sim::ManualClock& clock) : clock_(clock) {}

  void Add(const std::string& id, int32_t millicores, int32_t memory_mb);
  /// Changes the capacity of a running upstream.
  void Resize(const std::string& id, int32_t millicores) {
    upstreams_[id].millicores = millicores;
  }
  UpstreamFaults& faults(const std::string& id) {
    return upstreams_[id].faults;
  }
  /// The reading of the upstream's clock.
  int64_t ClockMs(const std::string& id) const {
    return ClockMs(upstreams_.at(id));
  }
  /// The highest fencing token that the upstream has seen.
  int64_t fence(const std::string& id) const { return upstreams_.at(id).fence; }
  /// Registers the specification of a job, which the checks of its tasks use.
  void RegisterJob(const wire::JobSpec& spec);
  /// A start that brings the account above this is recorded as a violation. No
  /// other accounts have a limit.
  void SetAccountLimit(const std::string& account, int64_t millicores) {
    account_limits_[account] = millicores;
  }
  /// What the account's tasks take now over all upstreams.
  int64_t AccountMillicores(const std::string& account) const;
  TaskBehavior& behavior(const TaskId& task) { return behaviors_[task]; }

  /// Ends this incarnation at once. Its runs and all completions that no leader
  /// has acknowledged are lost. Its address refuses connections until another
  /// incarnation answers there, which `OnReplacement` reports.
  void Crash(const std::string& id);
  void OnReplacement(
      std::function<void(const std::string& id)> on_replacement) {
    on_replacement_ = std::move(on_replacement);
  }
  void OnCrash(std::function<void(const std::string& id)> on_crash) {
    on_crash_ = std::move(on_crash);
  }
  /// How long after a crash the next incarnation answers, and whether it has
  /// the address of the previous one or a new one.
  void SetReplacement(Millis after, bool at_new_address) {
    replacement_delay_ = after;
    replacement_at_new_address_ = at_new_address;
  }
  /// Lets crashed upstreams restart under their ids: they then report when they
  /// were started, have no memory, and count from the beginning again.
  void SetRestartUnderSameId() { restart_under_same_id_ = true; }
  bool restarts_under_same_id() const { return restart_under_same_id_; }
  /// Starts a new incarnation of an upstream that has ended.
  void Restart(const std::string& id);
  /// Lets calls to crashed upstreams time out instead of being refused.
  void SetCrashSilently() { crash_silently_ = true; }
  bool crashes_silently() const { return crash_silently_; }
  /// When the upstream was last started, in Unix ms; 0 unless upstreams restart
  /// under their ids.
  int64_t Incarnation(const std::string& id) const;
  /// Suspends the upstream's process. It answers nothing and ends no run, while
  /// its clock goes on and its leases expire.
  void Pause(const std::string& id) { upstreams_[id].paused = true; }
  void Resume(const std::string& id);
  /// Whether the upstream can renew its list entry.
  bool Connected(const std::string& id) const;
  /// Number of upstreams that have crashed while they ran the task.
  int Crashes(const TaskId& task) const;
  /// Number of upstreams that have crashed within this time of a start of the
  /// task.
  int CrashesWithin(const TaskId& task, Millis span) const;
  /// Number of runs of the task that have failed.
  int FailedRuns(const TaskId& task) const;
  /// Number of starts of the task.
  int Starts(const TaskId& task) const;

  /// Ends this incarnation together with its runs, on behalf of its host.
  void TerminateUpstream(const std::string& id);
  /// Checks that an order which ends all runs of the upstream ends no
  /// long-running task of a step that already has max_unavailable tasks
  /// unavailable.
  void CheckTerminationAllowed(const std::string& id);
  /// Counts the successful runs of the upstream whose completion no leader has
  /// acknowledged as lost.
  void DropUnacknowledgedCompletions(const std::string& id);
  /// Number of successful runs of the task, without those that
  /// DropUnacknowledgedCompletions() counted as lost.
  int DurableDoneRuns(const TaskId& task) const;
  /// Number of tasks that run on the upstream now.
  size_t Running(const std::string& id) const {
    return upstreams_.at(id).running.size();
  }

  ports::CallReply Start(const ports::UpstreamTarget& target,
                         const ports::StartCall& call);
  ports::CallReply Stop(const ports::UpstreamTarget& target, const TaskId& task,
                        int64_t attempt, int64_t fence);
  ports::RenewReply Renew(const ports::UpstreamTarget& target,
                          const ports::RenewCall& call);
  /// Records that a caller of this account, or one that may cancel the jobs of
  /// all accounts, got the answer that the job is cancelled or does not exist.
  void RecordCancelled(JobId job, const std::optional<std::string>& account) {
    cancelled_at_[job].emplace(account, clock_.now());
  }
  /// Records that a fault is active now; time bounds start again.
  void RecordFault() { last_fault_at_ = clock_.now(); }
  /// Whether any upstream has a fault that affects calls.
  bool HasActiveFault() const;
  /// Checks that an entry does not send a start of the task when its job was
  /// cancelled longer ago than the bound.
  void CheckSentStart(const TaskId& task);
  /// Checks that no task of a cancelled job runs past its bound.
  void CheckCancelled();
  /// Whether calls of the entry reach the upstream and replies come back.
  bool Reachable(const std::string& id, const std::string& entry);
  /// Partitions the network: `members` reach only each other. An empty set ends
  /// the partition.
  void SetPartition(std::set<std::string> members) {
    partition_ = std::move(members);
  }
  /// The verdict on a call to an upstream that has crashed; unset for others.
  std::optional<ports::CallVerdict> CrashVerdict(const std::string& id) const;
  /// Whether a call that was sent to this incarnation of the upstream still
  /// arrives there.
  bool Serves(const std::string& id, int64_t incarnation) const {
    return !CrashVerdict(id) && Incarnation(id) == incarnation &&
           !upstreams_.at(id).paused;
  }
  /// Whether a call of the entry to the upstream waits for its restart.
  bool WaitsForRestart(const std::string& id, const std::string& entry) const;
  /// Lets the incarnation that now serves under the id execute the call. While
  /// there is none, the call waits for the next one, or is lost.
  void ExecuteLate(const std::string& id, std::function<void()> call);
  /// Does the same after the upstream's `execution_delay`.
  void ExecuteAfterDelay(const std::string& id, std::function<void()> call);
  /// Whether the start is lost because the upstream crashes as it arrives.
  bool LosesStart(const std::string& id, const TaskId& task);
  /// Whether the start is executed without a reply.
  bool DropsStartReply(const std::string& id, const TaskId& task);
  sim::ManualClock& clock() { return clock_; }

  /// Violations of the rules so far, each with a description.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of successful runs of the task.
  int DoneRuns(const TaskId& task) const;
  int starts() const { return starts_; }
  /// The checkpoint that the last start of the task carried.
  std::string StartedFrom(const TaskId& task) const {
    const auto found = started_from_.find(task);
    return found == started_from_.end() ? "" : found->second;
  }
  /// Whether any entry ever called the upstream.
  bool WasCalled(const std::string& id) const { return called_.count(id) > 0; }
  /// The upstream that runs the task; empty if there is none.
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
    bool paused = false;
    /// What happens when the upstream is resumed, in order.
    std::vector<std::function<void()>> delayed_by_pause;
    std::vector<std::function<void()>> waiting_for_restart;
    int32_t millicores = 0;
    int32_t memory_mb = 0;
    int64_t fence = 0;
    int64_t last_completion = 0;
    /// Completions up to this number are discarded, also those to come.
    int64_t acked_completions = 0;
    TimePoint started_at{};
    /// When the upstream's clock read 0. No incarnation's clock begins there.
    TimePoint clock_zero{};
    TimePoint lease_end{};
    /// Number of the last completion before a lease expired.
    int64_t last_completion_before_expiry = 0;
    std::map<TaskId, Run> running;
    std::vector<ports::EndedTask> ended;
    std::map<TaskId, int64_t> last_attempt;
  };

  int64_t ClockMs(const Upstream& upstream) const;
  /// The first reading of the clock of the incarnation that begins now.
  /// `former_ms` is that of the previous incarnation, 0 for the first one.
  int64_t FirstClockMs(const std::string& id, ClockStart start,
                       int64_t former_ms) const;
  /// Whether the network between the entry and the upstream works.
  bool Connects(const std::string& id, const std::string& entry) const;
  ports::CallReply MakeReply(const std::string& id) const;
  void ExtendLease(Upstream& upstream, int64_t until_ms);
  void CheckStart(const std::string& id, const Upstream& upstream,
                  const ports::StartCall& call);
  void CheckAccountLimit(const ports::StartCall& call);
  /// Lets the task work, or its whole gang once all members have started.
  void BeginWork(const TaskId& task, int64_t attempt);
  void End(const std::string& id, const TaskId& task, uint64_t run,
           ports::EndKind kind);
  /// Ends the other working members of a gang after one member ended early.
  void BreakGang(const TaskId& task, int64_t attempt);
  /// Ends all runs of the upstream at the end of its current lease, unless the
  /// lease is extended before.
  void ScheduleLeaseExpiry(const std::string& id);
  const wire::StepSpec* StepOf(const TaskId& task) const;
  /// When a caller that may cancel the job was told that it is cancelled or
  /// does not exist; nothing if none was.
  std::optional<TimePoint> CancelledAt(JobId job) const;
  /// Whether the task has worked for at least the run time of its behavior. For
  /// a long-running task this is the time that it needs to become available.
  bool IsWorking(const TaskId& task) const;
  /// Checks that an order may end the task: at most max_unavailable tasks of
  /// its step are then unavailable.
  void CheckAvailable(const TaskId& task);
  /// Checks that a task which crashes its upstreams is not started too often.
  void CheckCrashes(const TaskId& task);
  void CrashLater(const std::string& id, const TaskId& task, uint64_t run);
  /// Crashes the upstream if it still executes the run, or once it is resumed.
  void CrashIfRunning(const std::string& id, const TaskId& task, uint64_t run);

  sim::ManualClock& clock_;
  std::map<std::string, Upstream> upstreams_;
  std::map<JobId, wire::JobSpec> specs_;
  std::map<std::string, int64_t> account_limits_;
  std::map<TaskId, TaskBehavior> behaviors_;
  std::map<TaskId, int> failed_runs_;
  std::map<TaskId, int> done_runs_;
  std::map<TaskId, int> lost_runs_;
  /// How long each run had lasted when its upstream crashed.
  std::map<TaskId, std::vector<Millis>> crashes_;
  std::map<TaskId, int> task_starts_;
  /// Starts of tasks that crash their upstreams, after the third crash.
  std::map<TaskId, int> starts_after_crashes_;
  std::function<void(const std::string& id)> on_replacement_;
  std::function<void(const std::string& id)> on_crash_;
  Millis replacement_delay_{3000};
  bool replacement_at_new_address_ = false;
  bool restart_under_same_id_ = false;
  bool crash_silently_ = false;
  /// Tasks with a successful run that a leader has acknowledged.
  std::set<TaskId> acknowledged_done_;
  std::set<JobId> ran_;
  std::set<std::string> called_;
  /// By the account of the caller, see RecordCancelled().
  std::map<JobId, std::map<std::optional<std::string>, TimePoint>>
      cancelled_at_;
  TimePoint last_fault_at_{};
  /// Runs already reported as outlasting the cancellation of their job.
  std::set<uint64_t> reported_overruns_;
  /// Tasks of steps with max_unavailable that were working when an order ended
  /// them and that do not work again yet.
  std::set<TaskId> ended_by_order_;
  std::vector<std::string> violations_;
  std::map<TaskId, std::string> started_from_;
  uint64_t last_run_ = 0;
  int starts_ = 0;
  std::set<std::string> partition_;
};

/// The client of one entry for the upstreams.
class UpstreamClientFake final : public ports::TaskPort,
                                 public ports::AdvicePort {
 public:
  /// All arguments must outlive the client. Without a machine, messages use no
  /// link.
  UpstreamClientFake(UpstreamsFake& upstreams, Executor& executor,
                     std::string entry, MachineFake* machine = nullptr)
      : upstreams_(upstreams),
        executor_(executor),
        entry_(std::move(entry)),
        machine_(machine) {}

  void Start(const ports::UpstreamTarget& target, const ports::StartCall& call,
             Millis timeout,
             std::function<void(ports::CallReply)> done) override;
  void Stop(const ports::UpstreamTarget& target, const TaskId& task,
            int64_t attempt, int64_t fence, Millis timeout,
            std::function<void(ports::CallReply)> done) override;
  void Renew(const ports::UpstreamTarget& target, const ports::RenewCall& call,
             Millis timeout,
             std::function<void(ports::RenewReply)> done) override;
  void RequestAdvice(const StepId& step,
                     const std::vector<std::string>& upstreams, Millis timeout,
                     Callback<ports::Advice> done) override;

 private:
  /// Sends `bytes` over the link, runs `call`, and receives the reply that it
  /// passes on. `time_out` is the reply if that takes longer than `timeout`.
  template <typename Reply>
  void OverLink(const std::string& kind, size_t bytes, Millis timeout,
                const Reply& time_out, std::function<void(Reply)> done,
                std::function<void(std::function<void(Reply)>)> call);
  void DoStart(const ports::UpstreamTarget& target,
               const ports::StartCall& call, Millis timeout,
               const std::function<void(ports::CallReply)>& done);
  void DoStop(const ports::UpstreamTarget& target, const TaskId& task,
              int64_t attempt, int64_t fence, Millis timeout,
              const std::function<void(ports::CallReply)>& done);
  void DoRenew(const ports::UpstreamTarget& target,
               const ports::RenewCall& call, Millis timeout,
               const std::function<void(ports::RenewReply)>& done);
  /// Lets the next incarnation of the upstream execute the call.
  template <typename Reply>
  void CallAfterRestart(const std::string& id, Millis timeout,
                        std::function<Reply()> execute, const Reply& time_out,
                        std::function<void(Reply)> done);

  UpstreamsFake& upstreams_;
  Executor& executor_;
  std::string entry_;
  MachineFake* machine_;
};

}  // namespace mimosarail::jobsim
