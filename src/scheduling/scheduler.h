#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/jobs/job.h"
#include "src/ports/task_port.h"
#include "src/scheduling/advice_state.h"
#include "src/scheduling/ask_size.h"
#include "src/scheduling/gang_plan.h"
#include "src/scheduling/orders.h"
#include "src/scheduling/upstream_pool.h"

namespace mimosarail::scheduling {

/// Returns when a run of this step that starts now is expected to end.
TimePoint ExpectedEnd(const wire::StepSpec& step, TimePoint now);

/// The work that keeps an upstream from being taken out of service.
struct UpstreamWork {
  int32_t tasks = 0;
  /// Long-running tasks of steps that limit how many may be unavailable.
  int32_t budgeted_tasks = 0;
  /// Time until the last task without checkpoints is expected to end. Not
  /// counted are long-running tasks, and tasks with checkpoints that
  /// EvictTasks() leaves because they end soon.
  Millis drain_time{0};
  int64_t millicores = 0;
};

struct SchedulerOptions {
  /// Attempt numbers start above this value, which exceeds every attempt number
  /// of earlier leaders.
  int64_t attempt_base = 0;
};

/// Queues jobs and decides which tasks start where, and when. It takes values
/// in and returns orders; it uses no clock, socket or log. Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options) : options_(options) {}

  UpstreamPool& pool() { return pool_; }
  const UpstreamPool& pool() const { return pool_; }

  /// Adds a new job. Precondition: CheckJob() accepts the job, and its id is
  /// unknown.
  void Add(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  /// Adds a job that an earlier leader may have started. Nothing of it starts
  /// until ResolveAll() or Resolve() has been called.
  void Load(const wire::JobSpec& spec, const wire::ProgressRecord& progress,
            TimePoint now, int64_t wall_ms);
  /// Called when every upstream has reported what it runs, or can no longer run
  /// anything.
  void ResolveAll(TimePoint now, Orders& orders) { Resolve({}, now, orders); }
  /// Like ResolveAll(), but called while some upstreams have not reported yet.
  /// Those upstreams can only run tasks of the jobs in `uncertain`, so nothing
  /// of these jobs starts yet. Call again whenever the set shrinks.
  void Resolve(const std::unordered_set<JobId>& uncertain, TimePoint now,
               Orders& orders);
  bool resolved() const { return resolved_; }

  const Job* Find(JobId id) const;
  size_t jobs() const { return jobs_.size(); }
  /// Whether the job is final and nothing of it runs any more.
  bool CanForget(JobId id) const;
  void Forget(JobId id);

  /// Returns false if the job is unknown or has ended.
  bool Cancel(JobId id, TimePoint now, Orders& orders);

  /// Handles the reply to a StartOrder; kUnknown leaves the task unchanged.
  void OnStartReply(const StartOrder& order, ports::CallVerdict verdict,
                    TimePoint now, Orders& orders);
  void OnEnd(UpstreamIndex upstream, const ports::EndedTask& end, TimePoint now,
             Orders& orders);
  void OnRunning(UpstreamIndex upstream,
                 const std::vector<ports::RunningTask>& running, TimePoint now,
                 Orders& orders);
  /// The stop may not have arrived. It is ordered again if a report that comes
  /// a moment later still lists the run.
  void OnStopFailed(UpstreamIndex upstream, const TaskId& task, int64_t attempt,
                    TimePoint now);
  /// Called when nothing runs on the upstream any more and it will not report
  /// results of its earlier runs.
  void OnUpstreamEmpty(UpstreamIndex upstream, UpstreamLoss why, TimePoint now,
                       Orders& orders);
  /// The runs with which an unresponsive upstream may have crashed.
  SuspectRuns RunsOf(UpstreamIndex upstream, TimePoint now) const;
  /// `advice` is null if the call failed; `asked` is the order as it was given.
  void OnAdvice(const AdviceOrder& asked, const ports::Advice* advice,
                TimePoint now);

  /// Marks the occurrences as due whose scheduled time is reached, and moves
  /// late steps back in the queue. `wall_ms` is Unix time in milliseconds.
  void Tick(TimePoint now, int64_t wall_ms);
  /// Starts what fits, and requests the advice that is missing.
  void Place(TimePoint now, AdviceBudget advice, Orders& orders);

  /// What runs on an upstream. Precondition: the index is in use.
  UpstreamWork WorkOn(UpstreamIndex upstream, TimePoint now) const;
  /// Stops tasks that can continue elsewhere from a checkpoint, unless they end
  /// soon. Stops long-running tasks when another upstream has capacity for
  /// them; if their step limits how many tasks may be unavailable, the limit is
  /// kept. The other tasks run to completion. With `all`, they are stopped too
  /// and lose their work; long-running tasks without a limit are then stopped
  /// even if there is no capacity elsewhere. Call again until the upstream is
  /// empty.
  void EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                  Orders& orders);

  /// Returns the jobs whose progress has changed since the last call.
  std::vector<JobId> TakeChanged();

  /// Number of accepted jobs of a queue of which no task has started. Jobs with
  /// scheduled times are not counted.
  int64_t Pending(const std::string& queue) const;
  /// The waiting steps of the jobs accepted first, each with an explanation of
  /// what it waits for; at most `most`.
  std::vector<std::pair<StepId, std::string>> ExplainWaiting(
      size_t most, TimePoint now) const;
  /// Waiting steps by priority and the utilization of the upstreams, for a log
  /// line.
  std::string DescribeLoad() const;
  int64_t waiting_steps() const { return static_cast<int64_t>(queue_.size()); }

 private:
  /// A stop is sent again if the end of the run is not listed within this time.
  /// A stop takes up to 0.9 s where tasks are slow to end.
  static constexpr Millis kStopRetryInterval{1200};

  /// The value that a step still has for its caller if it starts now.
  enum class Timeliness : uint8_t { kInTime, kLate, kWorthless };
  /// Position of a step in the queue: ordered by priority, then by the value
  /// that it still has for its caller, then by the latest start that keeps this
  /// value.
  struct QueueKey {
    int32_t priority = 0;
    Timeliness timeliness = Timeliness::kInTime;
    int64_t rank = 0;
    StepId id;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter's view of a default
    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };
  /// The upstreams that a waiting gang, or a task that has failed, may not use.
  /// Placing, requesting advice and planning must apply the same exclusion to a
  /// gang. Otherwise the gang requests advice on too few upstreams and waits
  /// forever although others are free (26 of 284 random pools).
  struct PlacementExclusion {
    /// Upstreams that a step with failures avoids: those where it failed, and
    /// those where other tasks fail. Empty if the remaining ones can't take the
    /// step.
    std::set<UpstreamIndex> excluded;
    /// Suspect upstreams may get more than one probe start. Otherwise too few
    /// upstreams are left for the gang, and with nothing else to run they would
    /// stay suspect.
    bool allows_suspects = false;
    /// The exclusion is valid until this time.
    TimePoint until{};
  };
  /// Scheduling state of one step of one occurrence.
  struct StepState {
    bool queued = false;
    QueueKey key;
    StepAdvice advice;
    PlacementExclusion exclusion;
    /// For a waiting gang: where and when it could start, as last planned.
    GangPlan plan;
    TimePoint plan_until{};
    /// Whether advice is needed is checked again after this time.
    TimePoint next_ask_check{};
    /// A member of the gang could not start, ended early, stalled, was lost or
    /// is being moved: all members have to end before the gang restarts.
    bool broken = false;
    TimePoint broken_since{};
    /// For a running gang: when it is expected to end.
    TimePoint expected_end{};
  };
  struct JobRecord {
    explicit JobRecord(const wire::JobSpec& spec) : job(spec) {}
    Job job;
    /// The acceptance time that the queue order is based on.
    TimePoint accepted{};
    /// Runs of this job may exist that no upstream has reported yet; nothing of
    /// it starts.
    bool may_have_unreported_runs = false;
    /// When the job became final; unset if it was final when loaded.
    std::optional<TimePoint> ended;
    /// Occurrences below this number are due.
    int32_t due = 0;
    std::vector<StepState> step_states;
    StepState& step_state(int32_t occurrence, int32_t step) {
      return step_states[StepStateAt(occurrence, step)];
    }
    const StepState& step_state(int32_t occurrence, int32_t step) const {
      return step_states[StepStateAt(occurrence, step)];
    }
    size_t StepStateAt(int32_t occurrence, int32_t step) const {
      return static_cast<size_t>(occurrence) *
                 static_cast<size_t>(job.steps()) +
             static_cast<size_t>(step);
    }
  };
  struct Candidate {
    UpstreamIndex upstream = kNoUpstream;
    int32_t fit = 0;
    double score = 0;
  };
  /// Capacity reserved during this pass, not available to later steps in the
  /// queue.
  struct PassReservation {
    Amount amount;
    /// Tasks that end before this time may use the capacity meanwhile.
    TimePoint until = TimePoint::max();
  };
  using Reserved = std::unordered_map<UpstreamIndex, PassReservation>;

  JobRecord* FindJobRecord(JobId id);
  JobRecord& Insert(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  void RefreshAll(JobRecord& record);
  void Refresh(JobRecord& record, int32_t occurrence, int32_t step);
  void Dequeue(StepState& step_state);
  /// The queue position of a waiting step with this timeliness.
  static QueueKey KeyOf(const JobRecord& record, const StepId& id,
                        Timeliness timeliness);
  /// Moves a step back in the queue when the latest start that its queue
  /// position is based on has passed.
  void DemoteMissed(TimePoint now);
  void MarkChanged(const JobRecord& record) {
    changed_.insert(record.job.id());
  }

  void TaskDone(JobRecord& record, const TaskId& id, TimePoint now);
  void TaskFailed(JobRecord& record, UpstreamIndex upstream, const TaskId& id,
                  int64_t attempt, TimePoint now, Orders& orders);
  void ReturnToWaiting(JobRecord& record, const TaskId& id, TimePoint now);
  /// Releases the runs that were lost there; their tasks wait for another
  /// start.
  void ReleaseLostRuns(UpstreamIndex upstream, UpstreamLoss why, TimePoint now,
                       Orders& orders);
  /// Counts the crash of an upstream against its runs, and fails the jobs whose
  /// tasks are considered its cause.
  void CountCrash(const SuspectRuns& runs, TimePoint now, Orders& orders);
  void FailPermanently(JobRecord& record, const TaskId& id, TimePoint now,
                       Orders& orders);
  /// A report lists the run: clears the suspicions that this disproves.
  void ClearSuspicion(JobRecord& record, UpstreamIndex upstream,
                      const ports::RunningTask& running);
  void BreakGang(JobRecord& record, const StepId& id, TimePoint now,
                 Orders& orders);
  void StopAll(JobRecord& record, StopReason reason, TimePoint now,
               Orders& orders);
  void StopTask(JobRecord& record, const TaskId& id, StopReason reason,
                TimePoint now, Orders& orders);
  void Finish(JobRecord& record, JobState state, TimePoint now);
  /// Accounts for a listed run, and adopts it if no run of the task is known.
  void AccountForRun(JobRecord& record, UpstreamIndex upstream,
                     const ports::RunningTask& running, TimePoint now);
  /// `record` is null if the job is unknown.
  void StopUnwanted(const JobRecord* record, UpstreamIndex upstream,
                    const ports::RunningTask& running, TimePoint now,
                    Orders& orders);
  /// How a run is evicted for maintenance of its upstream's host.
  enum class EvictionMode {
    kRunToCompletion,
    kFromCheckpoint,
    kLongRunningUnlimited,
    kLongRunningLimited
  };
  static EvictionMode EvictionModeOf(const wire::StepSpec& step);
  void EvictTask(JobRecord& record, const TaskId& id,
                 const Reservation& reservation, bool all, TimePoint now,
                 Orders& orders);
  void EvictGang(JobRecord& record, const StepId& id, StopReason reason,
                 TimePoint now, Orders& orders);
  /// Number of other tasks of the step that are not ready.
  int32_t OthersUnavailable(const JobRecord& record, const TaskId& id) const;
  bool HasCapacityElsewhere(const JobRecord& record, const TaskId& id,
                            TimePoint now) const;
  void CheckStall(JobRecord& record, UpstreamIndex upstream,
                  const ports::RunningTask& running, TimePoint now,
                  Orders& orders);
  void Adopt(JobRecord& record, UpstreamIndex upstream,
             const ports::RunningTask& running, TimePoint now);

  int32_t Fit(UpstreamIndex upstream, const JobRecord& record, const StepId& id,
              const Amount& free) const;
  bool Matches(UpstreamIndex upstream, const JobRecord& record,
               const wire::StepSpec& step) const;
  /// Whether one more task of this size would use capacity reserved for a
  /// waiting gang.
  bool UsesGangReservation(UpstreamIndex upstream, const Amount& size) const;
  double Score(UpstreamIndex upstream, const JobRecord& record,
               const wire::StepSpec& step) const;
  std::vector<Candidate> Candidates(const JobRecord& record, const StepId& id,
                                    const StepAdvice& advice, TimePoint now,
                                    const Reserved& reserved) const;
  std::string Explain(const JobRecord& record, const StepId& id,
                      TimePoint now) const;
  bool TakeAdviceCall(int32_t priority);
  bool AdviceCallLeft(int32_t priority) const;
  bool PlaceStep(JobRecord& record, const StepId& id, TimePoint now,
                 Reserved& reserved, Orders& orders);
  static void DropExcluded(const PlacementExclusion& exclusion,
                           std::vector<Candidate>& candidates);
  bool PlaceGang(JobRecord& record, const StepId& id, TimePoint now,
                 const Reserved& reserved, Orders& orders);
  bool HasCrashSuspect(const JobRecord& record, const StepId& id) const;
  /// Chooses the candidate for a suspect task and begins a quarantine on it.
  /// Returns it, or null if no candidate has capacity or the task first has to
  /// wait until the runs of other jobs recently started there have lasted for
  /// kEarlyWindow.
  Candidate* PickForQuarantine(const JobRecord& record,
                               std::vector<Candidate>& from, TimePoint now);
  /// The same for a gang: reduces `found` to the upstreams to start on, and
  /// returns whether the gang may start now. Precondition: `found` has capacity
  /// for the gang.
  bool SelectForQuarantine(const JobRecord& record, const wire::StepSpec& step,
                           std::vector<Candidate>& found, TimePoint now);
  /// Keeps new tasks of other jobs off an upstream for a while.
  void BeginQuarantine(UpstreamIndex upstream, JobId job, TimePoint now);
  void PlaceTasks(JobRecord& record, const StepId& id, TimePoint now,
                  const Reserved& reserved, Orders& orders);
  /// Recomputes the exclusion of a step once the current one has expired.
  void UpdateExclusion(JobRecord& record, const StepId& id, TimePoint now);
  void StartTask(JobRecord& record, const TaskId& id, UpstreamIndex upstream,
                 int64_t attempt, TimePoint now, Orders& orders);
  /// Returns the plan of the step, recomputed if it is too old.
  const GangPlan& UpdatePlan(JobRecord& record, const StepId& id, TimePoint now,
                             const Reserved& reserved);
  /// Where and when a waiting gang could start, as far as is known now.
  GangPlan PlanFor(const JobRecord& record, const StepId& id, TimePoint now,
                   const Reserved& reserved) const;
  /// Whether the gang may reserve capacity to wait for; deducts its cores.
  bool TakeReservationBudget(const wire::StepSpec& step);
  static void ReserveForGang(const wire::StepSpec& step, const GangPlan& plan,
                             Reserved& reserved);
  /// The capacity that is left for a step after reservations are subtracted.
  Amount CapacityFor(const wire::StepSpec& step, UpstreamIndex upstream,
                     Amount free, TimePoint now,
                     const Reserved& reserved) const;
  struct StepFailures {
    bool any = false;
    /// Upstreams where a task of the step failed last.
    std::set<UpstreamIndex> places;
  };
  StepFailures FailuresOf(const JobRecord& record, const StepId& id) const;
  /// `may_wait`: a gang without sufficient free capacity may learn where to
  /// wait for it.
  void AskAdvice(JobRecord& record, const StepId& id, TimePoint now,
                 bool may_wait, const GangPlan& plan, const Reserved& reserved,
                 Orders& orders);
  /// An upstream that a call for advice to start a step could name.
  struct AskChoice {
    UpstreamIndex upstream = kNoUpstream;
    /// See PlacementExclusion.
    bool excluded = false;
    /// The capacity there is reserved for a waiting gang.
    bool gang_reserved = false;
    AskOption option;
  };
  /// The upstreams worth asking about, best first. `expected`: number of tasks
  /// for which pending answers and valid tickets provide capacity.
  std::vector<AskChoice> AskChoices(const JobRecord& record, const StepId& id,
                                    TimePoint now, const Reserved& reserved,
                                    double& expected) const;
  std::vector<UpstreamIndex> ChooseToStart(const JobRecord& record,
                                           const StepId& id, TimePoint now,
                                           const Reserved& reserved) const;
  std::vector<UpstreamIndex> ChooseToLearn(const JobRecord& record,
                                           const StepId& id,
                                           TimePoint now) const;
  /// The fraction of an upstream's free cores that no pending call counts on.
  double Unclaimed(UpstreamIndex upstream) const;
  std::vector<UpstreamIndex> ChooseToRenew(const JobRecord& record,
                                           const StepId& id,
                                           const GangPlan& plan,
                                           TimePoint now) const;
  void UpdateExpectedEnd(JobRecord& record, UpstreamIndex upstream,
                         const ports::RunningTask& running, TimePoint now);
  void UpdateExpectedGangEnd(JobRecord& record, const StepId& id);

  SchedulerOptions options_;
  UpstreamPool pool_;
  bool resolved_ = false;
  std::unordered_map<JobId, std::unique_ptr<JobRecord>> jobs_;
  std::set<QueueKey> queue_;
  std::unordered_set<JobId> changed_;
  std::multimap<int64_t, StepId> due_;
  /// What is left of the budget in the current pass.
  AdviceBudget advice_left_;
  /// Millicores that gangs further back in the queue may still reserve in the
  /// current pass.
  int64_t reservable_millicores_ = 0;
  /// Capacity that steps with pending advice calls are likely to take; other
  /// steps ask about it last.
  std::unordered_map<UpstreamIndex, Amount> claimed_;
  /// Capacity that the last pass reserved for gangs.
  std::unordered_map<UpstreamIndex, Amount> gang_reserved_;
  /// Free millicores among that capacity.
  int64_t gang_reserved_millicores_ = 0;
  AllowanceRates rates_;
  /// State of the stop of one run.
  struct StopNote {
    StopReason reason = StopReason::kOrphaned;
    bool ordered = false;
    /// The stop is ordered when a report lists the run at this time or later.
    TimePoint due{};
  };
  /// By upstream, then by task and attempt. Erased when the run ends.
  std::unordered_map<UpstreamIndex,
                     std::map<std::pair<TaskId, int64_t>, StopNote>>
      stops_;
};

}  // namespace mimosarail::scheduling
