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
#include "src/scheduling/account_shares.h"
#include "src/scheduling/advice_call_size.h"
#include "src/scheduling/advice_state.h"
#include "src/scheduling/candidate.h"
#include "src/scheduling/earlier_runs.h"
#include "src/scheduling/gang_plan.h"
#include "src/scheduling/job_record.h"
#include "src/scheduling/load_summary.h"
#include "src/scheduling/orders.h"
#include "src/scheduling/pass_reservations.h"
#include "src/scheduling/placement_exclusion.h"
#include "src/scheduling/scheduler_options.h"
#include "src/scheduling/silent_upstreams.h"
#include "src/scheduling/speed_choice.h"
#include "src/scheduling/step_queue.h"
#include "src/scheduling/stop_tracker.h"
#include "src/scheduling/task_durations.h"
#include "src/scheduling/upstream_pool.h"
#include "src/scheduling/waiting_work.h"

namespace mimosarail::scheduling {

/// Number of steps that a pass examines, from the front of the queue unless
/// QueueOrder::kDelayCost is set. Bounds the duration of a pass when thousands
/// of steps wait.
inline constexpr int kMaxStepsPerPass = 300;

/// A long-running task that reports this percentage is ready to serve.
inline constexpr int32_t kReadyPercent = 100;

/// Returns when a run of this step that starts now is expected to end;
/// TimePoint::max() if it is long-running. Thread-safe.
TimePoint ExpectedEnd(const wire::StepSpec& step, TimePoint now);

/// Queues jobs and decides which tasks start where, and when. It does no I/O
/// and reads no clock: the owner passes in events and the time, and carries out
/// the orders that are returned. Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options) : options_(options) {}

  UpstreamPool& pool() { return pool_; }
  const UpstreamPool& pool() const { return pool_; }

  /// Takes over the limits and weights of the accounts; in force from the next
  /// pass on.
  void SetAccounts(const std::vector<ports::AccountConfig>& accounts) {
    pool_.accounts().SetLimits(accounts);
    shares_valid_until_ = {};
  }

  /// Adds a new job. Precondition: CheckJob() accepts the job, and its id is
  /// unknown.
  void Add(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  /// Adds a job that an earlier leader may have started. Unless resolved() is
  /// set, no task of it starts until ResolveAll() or Resolve() permits it.
  void Load(const wire::JobSpec& spec, const wire::ProgressRecord& progress,
            TimePoint now, int64_t wall_ms);
  /// Every upstream has reported what it runs, or can no longer run anything:
  /// all jobs may start tasks.
  void ResolveAll(TimePoint now, Orders& orders) { Resolve({}, now, orders); }
  /// Like ResolveAll(), but some upstreams have not reported yet. They can only
  /// run tasks of the jobs in `uncertain`, and no task of these jobs starts
  /// yet. Call again whenever the set shrinks.
  void Resolve(const std::unordered_set<JobId>& uncertain, TimePoint now,
               Orders& orders);
  /// Whether ResolveAll() or Resolve() has been called.
  bool resolved() const { return resolved_; }

  /// Returns null if the job is unknown.
  const Job* Find(JobId id) const;
  /// Bytes of memory that the jobs take or are expected to take while they are
  /// open. What a job really takes replaces its estimate if it is more.
  size_t memory_bytes() const { return memory_bytes_; }
  /// Bytes by which memory_bytes() has ever been reduced, in all.
  size_t released_bytes() const { return released_bytes_; }
  /// Updates memory_bytes() for a job whose tasks have changed.
  void UpdateMemory(JobId id);
  size_t job_count() const { return jobs_.size(); }
  /// Whether the job is final and no task of it is active.
  bool CanRemove(JobId id) const;
  void Remove(JobId id);

  /// Cancels the job and stops its runs. Returns false if the job is unknown or
  /// final.
  bool Cancel(JobId id, TimePoint now, Orders& orders);

  /// Handles the reply to a StartOrder; kUnknown leaves the task unchanged.
  void OnStartReply(const StartOrder& order, ports::CallVerdict verdict,
                    TimePoint now, Orders& orders);
  /// An upstream reports the end of a run. The same end may be reported twice.
  void OnEnd(UpstreamIndex upstream, const ports::EndedTask& end, TimePoint now,
             Orders& orders);
  /// An upstream reports runs that have not ended, with their progress.
  void OnRunning(UpstreamIndex upstream,
                 const std::vector<ports::RunningTask>& running, TimePoint now,
                 Orders& orders);
  /// A stop may not have arrived. It is ordered again if a report at least
  /// StopTracker::kFailedStopRetryInterval later still lists the run.
  void OnStopFailed(UpstreamIndex upstream, const TaskId& task, int64_t attempt,
                    TimePoint now);
  /// All runs on the upstream have ended, and their results will not be
  /// reported.
  void OnAllRunsEnded(UpstreamIndex upstream, UpstreamLoss why, TimePoint now,
                      Orders& orders);
  /// The leases on the upstream have expired, except those of the runs in
  /// `remaining`.
  void OnLeasesExpired(UpstreamIndex upstream, const RunSet& remaining,
                       TimePoint now, Orders& orders);
  /// The upstream has restarted under its id. All runs there have ended, and
  /// their results will not be reported, except those in `remaining`.
  void OnRestarted(UpstreamIndex upstream, int64_t incarnation,
                   const RunSet& remaining, TimePoint now, Orders& orders);
  /// Returns the runs that a crash of the upstream ended or would end.
  SuspectRuns SuspectRunsOn(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the upstream may have been crashed by a task, and its fate is not
  /// known.
  bool AwaitsFate(const std::string& upstream) const;
  /// Assumes that upstreams have crashed that have been missing for long. Call
  /// regularly.
  void CheckMissingUpstreams(TimePoint now, Orders& orders);
  /// The call for `order` has ended. `advice` is null if it failed.
  void OnAdvice(const AdviceOrder& order, const ports::Advice* advice,
                TimePoint now);

  /// Makes occurrences available whose scheduled time is reached, and moves
  /// late steps back in the queue. `wall_ms` is Unix time in milliseconds. Call
  /// regularly.
  void Tick(TimePoint now, int64_t wall_ms);
  /// Makes one pass over the queue: starts the waiting tasks that fit, and
  /// orders the advice calls that are needed, within the budget. The pass ends
  /// at the first step that could start but exceeds `starts`, so that steps
  /// further back do not use up what it waits for.
  void Place(TimePoint now, AdviceBudget budget, Orders& orders,
             StartBudget starts = {});

  /// Returns the bytes of the starts that wait in the queue, by priority.
  std::map<int32_t, int64_t> WaitingStartBytes() const;

  /// Summarizes what runs on an upstream. Precondition: the index is in use.
  UpstreamWork WorkOn(UpstreamIndex upstream, TimePoint now) const;
  /// Stops tasks so that the host of the upstream can be taken out of service.
  /// Call again until the upstream is empty. Which tasks are stopped:
  /// - Tasks with checkpoints, unless they end soon. They continue elsewhere.
  /// - Long-running tasks, once another upstream has capacity for them. A limit
  ///   of their step on the number of unavailable tasks is kept.
  /// - All other tasks run to completion.
  /// With `all`, every task that is not long-running is stopped, and loses its
  /// work unless it has a checkpoint. Long-running tasks without a limit are
  /// stopped even if there is no capacity elsewhere.
  void EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                  Orders& orders);

  /// Returns the jobs whose stored progress is outdated: those that have
  /// changed since the last call.
  std::vector<JobId> TakeChangedJobs();

  /// Returns how many jobs of a queue wait for their first start. Jobs with
  /// scheduled times are not counted.
  int64_t PendingJobs(const std::string& queue) const;
  /// Returns up to `max_steps` waiting steps of the jobs accepted first, each
  /// with an explanation of what it waits for.
  std::vector<std::pair<StepId, std::string>> ExplainWaiting(
      size_t max_steps, TimePoint now) const;
  /// Describes the utilization of the upstreams and the number of waiting steps
  /// by priority, for a log line.
  std::string DescribeLoad() const;
  /// Returns the load of every account that has had a job in this term or is in
  /// the configuration, those with the most waiting steps first.
  std::vector<AccountLoad> AccountLoads() const;
  /// Whether measured speeds are in use; see
  /// SchedulerOptions::upstream_speed_spread.
  bool speeds_in_use() const { return speeds_active_; }
  int64_t waiting_steps() const { return static_cast<int64_t>(queue_.size()); }
  /// Returns the waiting steps in the order of the queue.
  std::vector<WaitingStep> WaitingSteps() const;
  /// Whether tasks of a job that is not added yet could start now on free
  /// capacity, apart from advice and from capacity reserved for waiting gangs:
  /// one task, or a whole gang, of a step without predecessors.
  bool HasFreeCapacityFor(const wire::JobSpec& spec, TimePoint now);

 private:
  /// A run that failed or stalled, or whose start failed.
  struct FailedRun {
    UpstreamIndex upstream = kNoUpstream;
    TaskId task;
    int64_t attempt = 0;
    /// How long it is known to have run.
    Millis lasted{0};
  };

  JobRecord* FindJobRecord(JobId id);
  /// Adds the job, without queueing its steps.
  JobRecord& Insert(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  /// Calls UpdateQueued() for all steps of the job that may be queued.
  void UpdateAllQueued(JobRecord& record);
  /// Calls UpdateQueued() for the steps of one occurrence.
  void UpdateOccurrence(JobRecord& record, int32_t occurrence);
  /// Makes occurrences available whose scheduled time is reached, as long as
  /// few first steps of the job are queued: those of a job that can't start
  /// would take memory for each missed time. Then notes when to call again.
  void OpenDueOccurrences(JobRecord& record, int64_t wall_ms);
  /// Calls OpenDueOccurrences() for the jobs whose next occurrence is due.
  void OpenDueOccurrences(TimePoint now, int64_t wall_ms);
  static DueTime NextDue(const Job& job, int32_t occurrence);
  /// Releases what is known of a step that is done.
  static void ReleaseStep(JobRecord& record, int32_t occurrence, int32_t step);
  /// Queues the step if tasks of it may start, otherwise removes it from the
  /// queue. Call after each change that may affect this.
  void UpdateQueued(JobRecord& record, int32_t occurrence, int32_t step);
  void Dequeue(JobRecord& record, StepState& step_state);
  /// Returns the queue position of a waiting step with this timeliness.
  QueueKey KeyOf(const JobRecord& record, const StepId& id,
                 Timeliness timeliness) const;
  /// Moves steps back in the queue whose latest start has passed.
  void DemoteLateSteps(TimePoint now);
  /// Replaces the position of a waiting step in the queue.
  void Requeue(const QueueKey& from, const QueueKey& to);
  /// With QueueOrder::kDelayCost: moves the step to the front that has waited
  /// longest beyond what any of its value needs, if it has waited too long.
  void PromoteAgedStep(TimePoint now);
  /// Returns when a waiting step has waited too long.
  static TimePoint DueAt(const JobRecord& record, const StepId& id);
  static TimePoint AgedAt(const JobRecord& record, const StepId& id);
  /// Sums up the tasks that may run without having been reported, for the
  /// limits of their accounts.
  void CountUnreportedRuns();
  /// Returns what each run of a task of the step is charged.
  static RunCharge ChargeOf(const JobRecord& record, int32_t step);
  /// Returns how many waiting tasks of the step its account's limit permits.
  int32_t TasksWithinLimit(const JobRecord& record, const StepId& id) const;
  /// Whether the step has to wait because of its account's limit. If so, the
  /// account's later steps wait as well in this pass.
  bool AccountBlocks(const JobRecord& record, const StepId& id);
  /// The progress of the job has to be stored again.
  void MarkChanged(const JobRecord& record) {
    changed_.insert(record.job.id());
  }

  /// A task has succeeded, and with it its whole gang.
  void TaskDone(JobRecord& record, const TaskId& id, TimePoint now);
  /// Counts a failed run. Fails the job if none of its permitted attempts is
  /// left.
  void TaskFailed(JobRecord& record, const FailedRun& run, TimePoint now,
                  Orders& orders);
  /// A run, or its start, shows that the upstream fails; see
  /// UpstreamHealth::NoteFailure().
  void NoteUpstreamFailure(const FailedRun& run, TimePoint now, int weight,
                           Orders& orders);
  void NoteUpstreamSuccess(UpstreamIndex upstream, const TaskId& task,
                           Orders& orders);
  /// Decides whether a failure of a task counts against its upstream, or
  /// whether the task or its step has failed so often that it is at fault
  /// itself. Delays the restart of a long-running task that fails again and
  /// again.
  void BlameForFailure(JobRecord& record, const FailedRun& run, TimePoint now,
                       Orders& orders);
  /// Whether the step has failed so often that its failures do not count
  /// against upstreams.
  bool IsAtFault(const JobRecord& record, const StepId& id) const;
  /// Returns how many waiting tasks of the step may not start yet; see
  /// Task::earliest_start.
  int32_t DelayedRestarts(const JobRecord& record, const StepId& id,
                          TimePoint now) const;
  /// A report lists the current run of a task. If it has lasted long enough,
  /// its upstream is healthy, and the task no longer fails.
  void NoteRunAtWork(JobRecord& record, UpstreamIndex upstream,
                     const ports::RunningTask& running, TimePoint now,
                     Orders& orders);
  /// A run of the task has succeeded.
  static void ResetFailureStreaks(JobRecord& record, const TaskId& id);
  /// The task has no run any more and waits for another start.
  void ReturnToWaiting(JobRecord& record, const TaskId& id, TimePoint now);
  /// Returns the runs on the upstream that count as lost, apart from those in
  /// `remaining`, and forgets those that an earlier leader has recorded.
  SuspectRuns TakeSuspectRuns(UpstreamIndex upstream, const RunSet& remaining,
                              TimePoint now);
  /// Releases the reservations on the upstream, except those of the runs in
  /// `remaining`. Tasks whose runs were lost wait for another start.
  void ReleaseLostRuns(UpstreamIndex upstream, UpstreamLoss why,
                       const RunSet& remaining, TimePoint now, Orders& orders);
  /// Forgets the adviser's answers about the upstream: tickets are valid for
  /// one incarnation only.
  void DropAdvice(UpstreamIndex upstream);
  /// What is learned of the fate of an upstream changes the evidence.
  using FateUpdate = std::function<void(CrashEvidence&, const TaskId&)>;

  /// Adds the loss of these runs to the evidence against their tasks.
  void AddEvidence(UpstreamIndex upstream, const SuspectRuns& runs,
                   UpstreamFate fate, TimePoint now, Orders& orders);
  /// Applies the update to the evidence against each task that ran on the
  /// upstream when it became unresponsive.
  void UpdateEvidence(const std::string& upstream, const FateUpdate& update,
                      TimePoint now, Orders& orders);
  /// The upstream is known or assumed to have crashed.
  void ConfirmCrash(const std::string& upstream, UpstreamFate fate,
                    TimePoint now, Orders& orders);
  /// The upstream has left as planned.
  void WithdrawEvidence(const std::string& upstream, TimePoint now,
                        Orders& orders);
  /// The upstream answers as the incarnation that the pool knows.
  void NoteAnswer(UpstreamIndex upstream, TimePoint now, Orders& orders);
  /// Registers the evidence of a job that an earlier leader has stored.
  void RegisterEvidence(const JobRecord& record, TimePoint now);
  bool IsListed(const std::string& upstream) const;
  /// Whether there is any evidence against the task, and its job is not final.
  bool HasEvidence(const TaskId& id) const;
  /// Fails the job if the task is shown to crash its upstreams.
  void FailIfCrashing(JobRecord& record, const TaskId& id, TimePoint now,
                      Orders& orders);
  /// Whether a start of the task has to wait until the fate of its earlier
  /// upstreams is known: it would be shown to crash them.
  bool AwaitsEvidence(const Task& task) const;
  /// A report lists a run of the task. What happened sooner after a start no
  /// longer counts.
  void RemoveOutlastedEvidence(JobRecord& record, UpstreamIndex upstream,
                               const ports::RunningTask& running,
                               Orders& orders);
  /// Stops all members of a gang, so that it restarts as a whole.
  void StopGang(JobRecord& record, const StepId& id, StopReason reason,
                TimePoint now, Orders& orders);
  /// Does this for a gang that can't succeed.
  void BreakGang(JobRecord& record, const StepId& id, TimePoint now,
                 Orders& orders);
  /// Stops all runs of the job.
  void StopAll(JobRecord& record, StopReason reason, TimePoint now,
               Orders& orders);
  /// Orders to stop the current run of a task, unless that was ordered before.
  void StopTask(JobRecord& record, const TaskId& id, StopReason reason,
                TimePoint now, Orders& orders);
  /// Sets a final state and removes the job from the queue.
  void FinishJob(JobRecord& record, JobState state, TimePoint now);
  /// Reserves the resources of a reported run. Adopts the run if its task waits
  /// and the job may have runs that were not reported yet.
  void AccountForRun(JobRecord& record, UpstreamIndex upstream,
                     const ports::RunningTask& running, TimePoint now);
  /// Orders to stop a reported run that no job continues with, unless it is
  /// expected to end by itself or was ordered to stop a short time ago.
  /// `record` is null if the job is unknown.
  void StopUnwanted(const JobRecord* record, UpstreamIndex upstream,
                    const ports::RunningTask& running, TimePoint now,
                    Orders& orders);
  /// Does what EvictTasks() describes for one run.
  void EvictTask(JobRecord& record, const TaskId& id,
                 const Reservation& reservation, bool all, TimePoint now,
                 Orders& orders);
  /// Stops all members of a gang that is not broken yet, so that it restarts as
  /// a whole.
  void EvictGang(JobRecord& record, const StepId& id, StopReason reason,
                 TimePoint now, Orders& orders);
  /// Returns how many other tasks of the step are not ready.
  int32_t OthersUnavailable(const JobRecord& record, const TaskId& id) const;
  /// Whether the task could start now on an upstream, considering free capacity
  /// but not advice.
  bool HasCapacityElsewhere(const JobRecord& record, const TaskId& id,
                            TimePoint now) const;
  /// Takes over the progress of a reported run that its job continues with.
  /// Stops the run, or its whole gang, if it is stalled; stops a member of a
  /// broken gang that does not end by itself.
  void UpdateCurrentRun(JobRecord& record, UpstreamIndex upstream,
                        const ports::RunningTask& running, TimePoint now,
                        Orders& orders);
  /// Makes a reported run, started by an earlier leader, the current run of its
  /// task.
  void AdoptRun(JobRecord& record, UpstreamIndex upstream,
                const ports::RunningTask& running, TimePoint now);

  /// Returns how many tasks of the step may start with `free` capacity, given
  /// its limit per upstream and the upstream's health.
  int32_t FittingTasks(UpstreamIndex upstream, const JobRecord& record,
                       const StepId& id, const Amount& free,
                       TimePoint now) const;
  /// Whether the upstream belongs to the pool of the queue and has the label
  /// that the step requires.
  bool Matches(UpstreamIndex upstream, const JobRecord& record,
               const wire::StepSpec& step) const;
  /// Whether one more task of this size would use capacity reserved for a
  /// waiting gang.
  bool UsesGangReservation(UpstreamIndex upstream, const Amount& size) const;
  /// Rates the upstream for one more task of the step; lower is better. Prefers
  /// upstreams that the task fills up, in the rack of its data.
  double Score(UpstreamIndex upstream, const JobRecord& record,
               const wire::StepSpec& step) const;
  /// Returns the upstreams on which tasks of the step could start now, best
  /// first. For an advised queue, these are upstreams with a valid ticket.
  std::vector<Candidate> Candidates(const JobRecord& record, const StepId& id,
                                    const StepAdvice& advice, TimePoint now,
                                    const PassReservations& reserved) const;
  /// Explains what a waiting step waits for, for a log line.
  std::string Explain(const JobRecord& record, const StepId& id,
                      TimePoint now) const;
  /// Deducts one call from the budget of this pass; false if none is left.
  bool UseAdviceCall(int32_t priority);
  bool HasAdviceCallLeft(int32_t priority) const;
  /// Whether `tasks` starts of the step may be ordered within the budget of the
  /// current pass. If not, the pass ends.
  bool StartsPermitted(const JobRecord& record, int32_t tasks, Orders& orders);
  /// Starts tasks of the step; orders advice and reserves capacity for those
  /// that can't start yet. Returns whether no task is left waiting.
  bool PlaceStep(JobRecord& record, const StepId& id, TimePoint now,
                 PassReservations& reserved, Orders& orders);
  static void RemoveExcluded(const PlacementExclusion& exclusion,
                             std::vector<Candidate>& candidates);
  /// Starts all tasks of the gang, or none. Returns whether they start.
  bool PlaceGang(JobRecord& record, const StepId& id, TimePoint now,
                 const PassReservations& reserved, Orders& orders);
  /// Places steps from the front of the queue, up to a number of them.
  void PlaceFromFront(TimePoint now, PassReservations& reserved,
                      Orders& orders);
  /// A pass with QueueOrder::kDelayCost (placing_by_cost.cc).
  class DelayCostPass;
  void PlaceByDelayCost(TimePoint now, PassReservations& reserved,
                        Orders& orders);
  /// Recomputes the shares due to the accounts if they are too old.
  void UpdateShares(TimePoint now);
  /// Returns what each account's tasks take and would take.
  std::vector<AccountDemand> AccountDemands() const;
  /// Returns the capacity of all upstreams that accept work.
  AmountSum UsableCapacity() const;
  /// Whether the account takes its share or more while capacity is short.
  bool TakesItsShare(AccountIndex account) const;
  /// Whether any task of the step is suspected of crashing upstreams.
  bool HasCrashSuspect(const JobRecord& record, const StepId& id) const;
  /// Starts as many tasks of the step as possible. Precondition: the step is no
  /// gang.
  void PlaceTasks(JobRecord& record, const StepId& id, TimePoint now,
                  const PassReservations& reserved, Orders& orders);
  /// Recomputes the exclusion of a step once the current one has expired.
  void UpdateExclusion(JobRecord& record, const StepId& id, TimePoint now);
  /// Orders to start a task, and reserves its resources.
  void StartTask(JobRecord& record, const TaskId& id, UpstreamIndex upstream,
                 int64_t attempt, TimePoint now, Orders& orders);
  /// Returns the plan of the gang, recomputed if it is too old.
  const GangPlan& UpdatePlan(JobRecord& record, const StepId& id, TimePoint now,
                             const PassReservations& reserved);
  /// Returns where and when a waiting gang could start, as far as is known now.
  GangPlan PlanFor(const JobRecord& record, const StepId& id, TimePoint now,
                   const PassReservations& reserved) const;
  /// Returns how much of the free capacity the step may use, given the
  /// reservations of gangs before it in the queue.
  Amount CapacityFor(const JobRecord& record, const StepId& id,
                     UpstreamIndex upstream, Amount free, TimePoint now,
                     const PassReservations& reserved) const;
  StepFailures FailuresOf(const JobRecord& record, const StepId& id) const;
  /// Orders an advice call for the step if one is needed and permitted. With
  /// `may_wait`, a gang without sufficient free capacity may ask on which
  /// upstreams it may wait for it.
  void OrderAdvice(JobRecord& record, const StepId& id, TimePoint now,
                   bool may_wait, const GangPlan& plan,
                   const PassReservations& reserved, Orders& orders);
  /// An upstream with free capacity about which an advice call could ask.
  struct RankedCandidate {
    UpstreamIndex upstream = kNoUpstream;
    /// See PlacementExclusion.
    bool excluded = false;
    /// The capacity there is reserved for a waiting gang.
    bool gang_reserved = false;
    /// Default unless speeds are in use.
    SpeedRank speed;
    AdviceCandidate candidate;
  };
  /// Returns the upstreams with free capacity about which to ask. As many as
  /// one call can name are in order, the best first; the others follow. Adds to
  /// `expected_tasks` how many tasks pending answers will probably allow, and
  /// for a gang also how many tasks valid tickets allow.
  std::vector<RankedCandidate> RankAdviceCandidates(
      const JobRecord& record, const StepId& id, TimePoint now,
      const PassReservations& reserved, double& expected_tasks) const;
  /// Ranks the speeds of upstreams for a gang that needs this many tasks.
  void RankForGangAdvice(const SpeedNeeds& needs, double tasks,
                         std::vector<RankedCandidate>& ranked) const;
  /// Returns the upstreams to ask about so that tasks can start; empty if no
  /// call is of use.
  std::vector<UpstreamIndex> SelectForStart(
      const JobRecord& record, const StepId& id, TimePoint now,
      const PassReservations& reserved) const;
  /// Returns the upstreams to ask about so that a gang knows where to wait for
  /// capacity; empty if it knows enough.
  std::vector<UpstreamIndex> SelectForLearning(const JobRecord& record,
                                               const StepId& id,
                                               TimePoint now) const;
  /// Returns the fraction of an upstream's free cores that no step with a
  /// pending advice call is likely to take.
  double UnclaimedFraction(UpstreamIndex upstream) const;
  /// Returns the planned upstreams whose tickets would expire before the gang
  /// starts; empty while it is too early to renew them.
  std::vector<UpstreamIndex> SelectForRenewal(const JobRecord& record,
                                              const StepId& id,
                                              const GangPlan& plan,
                                              TimePoint now) const;
  /// Predicts the end of a run from its rate of progress.
  void UpdateExpectedEnd(JobRecord& record, UpstreamIndex upstream,
                         const ports::RunningTask& running, TimePoint now);
  /// Sets the expected end of all members of a gang to that of the slowest one.
  void UpdateExpectedGangEnd(JobRecord& record, const StepId& id);

  /// Updates the estimated speeds, and decides whether they are used.
  void UpdateSpeeds(TimePoint now);
  /// Observes the duration of a run. To be called before its reservation is
  /// released.
  void ObserveEnd(const JobRecord& record, UpstreamIndex upstream,
                  const ports::EndedTask& end, TimePoint now);
  /// Observes the rate of progress of a current run. To be called before the
  /// new progress is stored.
  void ObserveProgress(const JobRecord& record, UpstreamIndex upstream,
                       const ports::RunningTask& running, TimePoint now);
  /// Returns the expected run time of a task of the step at the usual speed;
  /// the caller's estimate unless speeds are in use.
  Millis ExpectedWork(const JobRecord& record, int32_t step) const;
  /// Whether the durations of runs are observed.
  bool MeasuresRuns() const;
  /// Returns the expected run time of a task of the step by the runs of its
  /// queue.
  Millis ObservedWork(const JobRecord& record, int32_t step) const;
  struct StepTimes {
    /// See Job::Objective() and Job::CriticalPathFrom().
    Millis objective;
    Millis path;
  };
  /// Returns the job's objective and its critical path from the step. They
  /// follow from the caller's estimates, which are replaced by what was
  /// observed, on the assumption that those of all steps are wrong by the same
  /// factor.
  StepTimes ObservedTimes(const JobRecord& record, int32_t step) const;
  /// Returns when a run that starts now is expected to end. The same as
  /// ExpectedEnd() unless speeds are in use.
  TimePoint ExpectedEndOn(UpstreamIndex upstream, const JobRecord& record,
                          int32_t step, TimePoint now) const;
  /// Returns for how long a run may make no progress before it is stalled.
  Millis StallLimit(const JobRecord& record, UpstreamIndex upstream,
                    int32_t step, TimePoint now) const;
  /// Returns nullopt unless speeds are in use and matter to the step.
  std::optional<SpeedNeeds> SpeedNeedsOf(const JobRecord& record,
                                         const StepId& id, TimePoint now) const;
  /// Updates StepState::speed_needs if it is too old.
  void UpdateSpeedNeeds(JobRecord& record, const StepId& id, TimePoint now);
  /// Orders the candidates for a gang so that it takes those of similar speed.
  void OrderBySpeed(const wire::StepSpec& step, const SpeedNeeds& needs,
                    std::vector<Candidate>& found) const;
  /// Whether a running task has a checkpoint and would end much earlier on a
  /// faster upstream that has capacity for it.
  bool IsWorthMoving(const JobRecord& record, UpstreamIndex upstream,
                     const TaskId& id, TimePoint now) const;
  /// Returns the plan with the earliest expected end of a gang, which depends
  /// on its slowest upstream.
  GangPlan PlanBySpeed(const std::vector<SlotTimes>& slots, int32_t tasks,
                       const SpeedNeeds& needs) const;
  /// Returns the lowest speed factor in a plan. Precondition: plan.found().
  double SlowestIn(const GangPlan& plan) const;
  /// Whether a gang that could start on these candidates, taken in order, waits
  /// instead: it would be late there, and its plan is in time.
  bool GangWaitsForFaster(JobRecord& record, const StepId& id,
                          const std::vector<Candidate>& found, TimePoint now,
                          const PassReservations& reserved);
  /// Whether an urgent task that would be late on this upstream waits, since a
  /// faster one is expected to be free soon.
  bool WaitsForFaster(const JobRecord& record, const StepId& id,
                      const SpeedNeeds& needs, UpstreamIndex upstream,
                      TimePoint now) const;

  SchedulerOptions options_;
  /// Speeds are in use; see SchedulerOptions::upstream_speed_spread.
  bool speeds_active_ = false;
  TaskDurations durations_;
  UpstreamPool pool_;
  bool resolved_ = false;
  std::unordered_map<JobId, std::unique_ptr<JobRecord>> jobs_;
  std::set<QueueKey> queue_;
  /// Accounts whose steps wait for the limit in the current pass.
  std::set<AccountIndex> accounts_at_limit_;
  /// The share due to each account, as of the last UpdateShares(), and the
  /// capacity of which it is a share.
  std::vector<double> shares_due_;
  AmountSum shared_capacity_;
  TimePoint shares_valid_until_{};
  /// The last step that the last pass looked at, unless it reached the end of
  /// the queue.
  std::optional<QueueKey> resume_after_;
  /// No step is promoted by PromoteAgedStep() before this time.
  TimePoint next_promotion_{};
  /// The jobs with JobRecord::counts_as_unreported set. Some may have been
  /// removed, or have it no longer.
  std::unordered_set<JobId> unreported_jobs_;
  /// Jobs whose progress has to be stored again.
  std::unordered_set<JobId> changed_;
  /// The jobs that have further occurrences, by the time of the next one.
  std::set<DueTime> due_times_;
  size_t memory_bytes_ = 0;
  size_t released_bytes_ = 0;
  /// Advice calls that may still be ordered in the current pass.
  AdviceBudget advice_left_;
  /// Bytes of starts that may still be ordered in the current pass.
  StartBudget starts_left_;
  /// Capacity that steps with pending advice calls are likely to take. Other
  /// steps prefer to ask about other upstreams.
  std::unordered_map<UpstreamIndex, Amount> claimed_;
  /// Capacity that the last pass reserved for gangs.
  std::unordered_map<UpstreamIndex, Amount> gang_reserved_;
  /// The free part of gang_reserved_, in millicores.
  int64_t gang_reserved_millicores_ = 0;
  AllowanceRates allowance_rates_;
  StopTracker stops_;
  SilentUpstreams silent_upstreams_;
  EarlierRuns earlier_runs_;
};

}  // namespace mimosarail::scheduling
