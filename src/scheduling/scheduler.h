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

/// When a run of this step that starts now is expected to end.
TimePoint ExpectedEnd(const wire::StepSpec& step, TimePoint now);

/// What stands in the way of taking an upstream out of service.
struct UpstreamWork {
  int32_t tasks = 0;
  /// Lasting tasks of steps that bound how many may be away.
  int32_t budgeted_tasks = 0;
  /// When the last task that EvictTasks() leaves to its end is expected to end.
  Millis drained_in{0};
  int64_t millicores = 0;
};

struct SchedulerOptions {
  /// Attempts are numbered from here, above all that an earlier leader used.
  int64_t attempt_base = 0;
};

/// Queueing and placing of jobs: which tasks start where, and when. Values in,
/// orders out; no clock, socket or log inside. Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options) : options_(options) {}

  UpstreamPool& pool() { return pool_; }
  const UpstreamPool& pool() const { return pool_; }

  /// Takes a new job. Precondition: CheckJob() found nothing; id not known.
  void Add(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  /// Takes a job that an earlier leader may have started: nothing of it starts
  /// until ResolveAll().
  void Load(const wire::JobSpec& spec, const wire::ProgressRecord& progress,
            TimePoint now, int64_t wall_ms);
  /// Every upstream has told what it runs, or cannot run anything any more.
  void ResolveAll(TimePoint now, Orders& orders) { Resolve({}, now, orders); }
  /// The same but for upstreams that run nothing but tasks of `uncertain`:
  /// those jobs go on waiting. To be called again when there are fewer.
  void Resolve(const std::unordered_set<JobId>& uncertain, TimePoint now,
               Orders& orders);
  bool resolved() const { return resolved_; }

  const Job* Find(JobId id) const;
  size_t jobs() const { return jobs_.size(); }
  /// Final, and nothing of it runs any more.
  bool Forgettable(JobId id) const;
  void Forget(JobId id);

  /// False if the job is unknown or has ended.
  bool Cancel(JobId id, TimePoint now, Orders& orders);

  /// Answer to a StartOrder; kUnknown leaves the task as it is.
  void OnStartReply(const StartOrder& order, ports::CallVerdict verdict,
                    TimePoint now, Orders& orders);
  void OnEnd(UpstreamIndex upstream, const ports::EndedTask& end, TimePoint now,
             Orders& orders);
  void OnRunning(UpstreamIndex upstream,
                 const std::vector<ports::RunningTask>& running, TimePoint now,
                 Orders& orders);
  /// A stop may not have got there: it is ordered again if a report that comes
  /// a moment later still lists the run.
  void OnStopFailed(UpstreamIndex upstream, const TaskId& task, int64_t attempt,
                    TimePoint now);
  /// Nothing runs there any more, and nothing of it will be told.
  void OnUpstreamEmpty(UpstreamIndex upstream, UpstreamLoss why, TimePoint now,
                       Orders& orders);
  /// What an upstream that has fallen silent may crash with.
  SuspectRuns RunsOf(UpstreamIndex upstream, TimePoint now) const;
  /// `advice` null when the call failed; `asked` as ordered.
  void OnAdvice(const AdviceOrder& asked, const ports::Advice* advice,
                TimePoint now);

  /// Occurrences that have come due. `wall_ms` since 1970.
  void Tick(TimePoint now, int64_t wall_ms);
  /// Starts what fits, and asks for the advice that is missing.
  void Place(TimePoint now, AdviceBudget advice, Orders& orders);

  /// What runs on an upstream. Precondition: the index is in use.
  UpstreamWork WorkOn(UpstreamIndex upstream, TimePoint now) const;
  /// Stops what goes on from its checkpoint elsewhere, and lasting tasks, of
  /// these no more at a time than their step allows to be away. The rest is
  /// left to its end, or with `all` stopped as well, its work lost. To be
  /// called again until the upstream is empty.
  void EvictTasks(UpstreamIndex upstream, bool all, TimePoint now,
                  Orders& orders);

  /// Jobs whose progress has changed since the last call.
  std::vector<JobId> TakeChanged();

  /// Accepted jobs of a queue of which no task has started; jobs with set
  /// times are not counted.
  int64_t Pending(const std::string& queue) const;
  /// The steps that have waited longest past their latest sensible start, with
  /// what they wait for; at most `most`.
  std::vector<std::pair<StepId, std::string>> ExplainWaiting(
      size_t most, TimePoint now) const;
  /// Waiting steps by priority, and how full the upstreams are, for a log line.
  std::string DescribeLoad() const;
  int64_t waiting_units() const { return static_cast<int64_t>(queue_.size()); }

 private:
  /// A stop whose end is not listed after this is sent again; a stop takes up
  /// to 0.9 s where tasks are slow to end.
  static constexpr Millis kStopRetryInterval{1200};

  /// What its caller can still get from a step that starts now.
  enum class Outlook : uint8_t { kInTime, kLate, kWorthless };
  /// Place of a step in the queue: priority, then what its caller can still
  /// get, then the latest start that keeps it.
  struct UnitKey {
    int32_t priority = 0;
    Outlook outlook = Outlook::kInTime;
    int64_t rank = 0;
    StepId id;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter's view of a default
    friend auto operator<=>(const UnitKey&, const UnitKey&) = default;
  };
  /// What a waiting step is kept from. Placing, asking and planning go by the
  /// same: where one of them counted on places that another left out, a gang
  /// asked about too few others and waited for ever beside free upstreams (26
  /// of 284 random pools).
  struct PlacementExclusion {
    /// Where a step that has failed before does not go: upstreams that failed
    /// it, and those that fail others. Empty if the rest can't take it.
    std::set<UpstreamIndex> excluded;
    /// Suspects get more than one trial: else there are too few for the gang,
    /// and with nothing else to run they would stay suspects.
    bool trusts_suspects = false;
    /// Of use until this.
    TimePoint until{};
  };
  struct Unit {
    bool queued = false;
    UnitKey key;
    StepAdvice advice;
    PlacementExclusion exclusion;
    /// As a gang that waits: where and when it could start, as looked at last.
    GangPlan plan;
    TimePoint plan_until{};
    /// Whether there is something to ask about is looked at again after this.
    TimePoint ask_look_after{};
    /// The gang lost a member: the rest is to end before it starts anew.
    bool aborting = false;
    TimePoint abort_since{};
    /// As a gang that runs: when it is expected to end.
    TimePoint foreseen{};
  };
  struct Entry {
    explicit Entry(const wire::JobSpec& spec) : job(spec) {}
    Job job;
    /// When the present queue order counts it as accepted.
    TimePoint accepted{};
    bool uncertain = false;
    /// When it became final; unset if it was loaded so.
    std::optional<TimePoint> ended;
    /// Occurrences below this have come due.
    int32_t due = 0;
    std::vector<Unit> units;
    Unit& unit(int32_t occurrence, int32_t step) {
      return units[UnitAt(occurrence, step)];
    }
    const Unit& unit(int32_t occurrence, int32_t step) const {
      return units[UnitAt(occurrence, step)];
    }
    size_t UnitAt(int32_t occurrence, int32_t step) const {
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
  /// Room held back from what comes later in the queue, for this pass.
  struct HeldBack {
    Amount amount;
    /// What ends before this may use it all the same.
    TimePoint until = TimePoint::max();
  };
  using Reserved = std::unordered_map<UpstreamIndex, HeldBack>;

  Entry* FindEntry(JobId id);
  Entry& Insert(const wire::JobSpec& spec, TimePoint now, int64_t wall_ms);
  void RefreshAll(Entry& entry);
  void Refresh(Entry& entry, int32_t occurrence, int32_t step);
  void Dequeue(Unit& unit);
  /// Where a waiting step stands in the queue if its outlook is this.
  static UnitKey KeyOf(const Entry& entry, const StepId& id, Outlook outlook);
  /// Moves back what has missed the start that its place in the queue is for.
  void DropMissed(TimePoint now);
  void Changed(const Entry& entry) { changed_.insert(entry.job.id()); }

  void TaskDone(Entry& entry, const TaskId& id, TimePoint now);
  void TaskFailed(Entry& entry, UpstreamIndex upstream, const TaskId& id,
                  int64_t attempt, TimePoint now, Orders& orders);
  void BackToWaiting(Entry& entry, const TaskId& id, TimePoint now);
  /// What ran there waits for another start.
  void LoseRuns(UpstreamIndex upstream, UpstreamLoss why, TimePoint now,
                Orders& orders);
  /// Counts the crash of an upstream under what it ran, and gives up what is
  /// taken for its cause.
  void CountCrash(const SuspectRuns& runs, TimePoint now, Orders& orders);
  void GiveUp(Entry& entry, const TaskId& id, TimePoint now, Orders& orders);
  /// A report lists the run: clears what it shows to be unfounded.
  void ClearSuspicion(Entry& entry, UpstreamIndex upstream,
                      const ports::RunningTask& running);
  void AbortGang(Entry& entry, const StepId& id, TimePoint now, Orders& orders);
  void StopAll(Entry& entry, StopReason reason, TimePoint now, Orders& orders);
  void StopTask(Entry& entry, const TaskId& id, StopReason reason,
                TimePoint now, Orders& orders);
  void Finish(Entry& entry, JobState state, TimePoint now);
  /// Counts a listed run in, and takes it over where nothing is known of it.
  void TakeIn(Entry& entry, UpstreamIndex upstream,
              const ports::RunningTask& running, TimePoint now);
  /// `entry` null when the job is not known.
  void StopUnwanted(const Entry* entry, UpstreamIndex upstream,
                    const ports::RunningTask& running, TimePoint now,
                    Orders& orders);
  /// How a run makes way for its upstream's upkeep.
  enum class EvictionMode { kByItsEnd, kFromCheckpoint, kLasting, kBound };
  static EvictionMode EvictionModeOf(const wire::StepSpec& step);
  void EvictTask(Entry& entry, const TaskId& id, const Reservation& room,
                 bool all, TimePoint now, Orders& orders);
  void EvictGang(Entry& entry, const StepId& id, StopReason reason,
                 TimePoint now, Orders& orders);
  /// Other tasks of the same step that are not at work.
  int32_t OthersAway(const Entry& entry, const TaskId& id) const;
  bool RoomElsewhere(const Entry& entry, const TaskId& id, TimePoint now) const;
  void CheckStall(Entry& entry, UpstreamIndex upstream,
                  const ports::RunningTask& running, TimePoint now,
                  Orders& orders);
  void Adopt(Entry& entry, UpstreamIndex upstream,
             const ports::RunningTask& running, TimePoint now);

  int32_t Fit(UpstreamIndex upstream, const Entry& entry, const StepId& id,
              const Amount& room) const;
  bool Suits(UpstreamIndex upstream, const Entry& entry,
             const wire::StepSpec& step) const;
  /// Whether one more task of this size would take room that a gang waits for.
  bool TakesAwaited(UpstreamIndex upstream, const Amount& size) const;
  double Score(UpstreamIndex upstream, const Entry& entry,
               const wire::StepSpec& step) const;
  std::vector<Candidate> Candidates(const Entry& entry, const StepId& id,
                                    const StepAdvice& advice, TimePoint now,
                                    const Reserved& reserved) const;
  std::string Explain(const Entry& entry, const StepId& id,
                      TimePoint now) const;
  bool TakeAdviceCall(int32_t priority);
  bool AdviceCallLeft(int32_t priority) const;
  bool PlaceUnit(Entry& entry, const StepId& id, TimePoint now,
                 Reserved& reserved, Orders& orders);
  static void DropExcluded(const PlacementExclusion& exclusion,
                           std::vector<Candidate>& candidates);
  bool PlaceGang(Entry& entry, const StepId& id, TimePoint now,
                 const Reserved& reserved, Orders& orders);
  bool HasCrashSuspect(const Entry& entry, const StepId& id) const;
  /// The candidate on which a suspected task starts now; null if it has to wait
  /// until what has just begun there has shown that it does no harm.
  Candidate* PickForQuarantine(const Entry& entry, std::vector<Candidate>& from,
                               TimePoint now);
  /// The same for a gang: leaves those on which it is to start, and tells
  /// whether it may now. Precondition: together they have room for the gang.
  bool KeepForQuarantine(const Entry& entry, const wire::StepSpec& step,
                         std::vector<Candidate>& found, TimePoint now);
  /// Keeps what is new of other jobs away from an upstream for a while.
  void BeginQuarantine(UpstreamIndex upstream, JobId job, TimePoint now);
  void PlaceTasks(Entry& entry, const StepId& id, TimePoint now,
                  const Reserved& reserved, Orders& orders);
  /// Looks anew at what a step is kept from, once that is due.
  void UpdateExclusion(Entry& entry, const StepId& id, TimePoint now);
  void StartTask(Entry& entry, const TaskId& id, UpstreamIndex upstream,
                 int64_t attempt, TimePoint now, Orders& orders);
  /// The unit's plan, made anew where it is too old.
  const GangPlan& UpdatePlan(Entry& entry, const StepId& id, TimePoint now,
                             const Reserved& reserved);
  /// Where and when a waiting gang could start, by what is known now.
  GangPlan PlanFor(const Entry& entry, const StepId& id, TimePoint now,
                   const Reserved& reserved) const;
  /// Whether the gang may look for room to wait for; counts its cores.
  bool TakeWaitingRoom(const wire::StepSpec& step);
  static void ReserveForGang(const wire::StepSpec& step, const GangPlan& plan,
                             Reserved& reserved);
  /// Room for a step once what is held back from it is taken off.
  Amount RoomFor(const wire::StepSpec& step, UpstreamIndex upstream,
                 Amount room, TimePoint now, const Reserved& reserved) const;
  struct StepFailures {
    bool any = false;
    /// Upstreams where a task of the step failed last.
    std::set<UpstreamIndex> places;
  };
  StepFailures FailuresOf(const Entry& entry, const StepId& id) const;
  /// `may_wait`: a gang without room enough may learn where to wait for it.
  void AskAdvice(Entry& entry, const StepId& id, TimePoint now, bool may_wait,
                 const GangPlan& plan, const Reserved& reserved,
                 Orders& orders);
  /// An upstream that a call to start a step could name.
  struct AskChoice {
    UpstreamIndex upstream = kNoUpstream;
    /// See PlacementExclusion.
    bool excluded = false;
    /// A gang waits for the room.
    bool awaited = false;
    AskOption option;
  };
  /// The upstreams worth asking about, best first. `expected`: tasks that
  /// answers under way and good tickets have room for.
  std::vector<AskChoice> AskChoices(const Entry& entry, const StepId& id,
                                    TimePoint now, const Reserved& reserved,
                                    double& expected) const;
  std::vector<UpstreamIndex> ChooseAsked(const Entry& entry, const StepId& id,
                                         TimePoint now,
                                         const Reserved& reserved) const;
  std::vector<UpstreamIndex> ChooseLearned(const Entry& entry, const StepId& id,
                                           TimePoint now) const;
  /// Part of an upstream's free cores that no call under way counts on.
  double Unclaimed(UpstreamIndex upstream) const;
  std::vector<UpstreamIndex> ChooseRenewed(const Entry& entry, const StepId& id,
                                           const GangPlan& plan,
                                           TimePoint now) const;
  void ForeseeEnd(Entry& entry, UpstreamIndex upstream,
                  const ports::RunningTask& running, TimePoint now);
  void ForeseeGang(Entry& entry, const StepId& id);

  SchedulerOptions options_;
  UpstreamPool pool_;
  bool resolved_ = false;
  std::unordered_map<JobId, std::unique_ptr<Entry>> jobs_;
  std::set<UnitKey> queue_;
  std::unordered_set<JobId> changed_;
  std::multimap<int64_t, StepId> due_;
  /// What is left of the budget in the present pass.
  AdviceBudget advice_left_;
  /// Cores, in thousandths, that gangs further back in the queue may still wait
  /// for in the present pass.
  int64_t waitable_ = 0;
  /// Room that steps whose calls for advice are under way are likely to take;
  /// others ask about it last.
  std::unordered_map<UpstreamIndex, Amount> claimed_;
  /// Room that the last pass held back for gangs.
  std::unordered_map<UpstreamIndex, Amount> gang_reserved_;
  /// Free cores among that room, in thousandths.
  int64_t awaited_cores_ = 0;
  AllowanceRates rates_;
  /// What is known of the stop of one run.
  struct StopNote {
    StopReason reason = StopReason::kOrphaned;
    bool ordered = false;
    /// It is ordered when a report lists the run at this time or later.
    TimePoint due{};
  };
  /// By upstream, then by task and attempt. Dropped with the run's end.
  std::unordered_map<UpstreamIndex,
                     std::map<std::pair<TaskId, int64_t>, StopNote>>
      stops_;
};

}  // namespace mimosarail::scheduling
