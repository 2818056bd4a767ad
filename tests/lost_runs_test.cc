#define BOOST_TEST_MODULE lost_runs
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <numeric>
#include <ostream>
#include <random>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{2000};
constexpr JobId kJob = 1;
constexpr TaskId kTask{kJob, 0, 0, 0};
/// Longer than a lease, so that a run on a silent upstream does not complete.
constexpr Millis kLongRunTime{9000};
/// Longer than a lease and the time to live of a list entry.
constexpr Millis kCutTime{6800};
/// One more than the number of lost runs after which a task was given up that
/// had not caused them.
constexpr int kLosses = 6;
constexpr Millis kMaxWaitForStart{40000};
constexpr Millis kMaxTimeToComplete{60000};
/// Sufficient for five crashes in a row of upstreams that never answer again.
constexpr Millis kMaxTimeToGiveUp{150000};
/// Less than the time for which the states of jobs that have ended are kept.
constexpr Millis kDisturbanceTime{99000};
constexpr Millis kNever{3600000};
constexpr uint64_t kDefaultSeedCount = 20;

std::vector<uint64_t> Seeds() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  const uint64_t count =
      text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
  std::vector<uint64_t> out(count);
  std::iota(out.begin(), out.end(), 1);
  return out;
}

/// How an upstream stops answering without a crash.
enum class Silence { kCut, kPause };

void BeginSilence(JobCluster& cluster, const std::string& upstream,
                  Silence how) {
  if (how == Silence::kPause) return cluster.upstreams().Pause(upstream);
  cluster.upstreams().faults(upstream).unreachable = true;
}

void EndSilence(JobCluster& cluster, const std::string& upstream, Silence how) {
  if (how == Silence::kPause) return cluster.upstreams().Resume(upstream);
  cluster.upstreams().faults(upstream).unreachable = false;
}

void SilenceFor(JobCluster& cluster, const std::string& upstream, Silence how,
                Millis span) {
  BeginSilence(cluster, upstream, how);
  cluster.clock().At(cluster.clock().now() + span, [&cluster, upstream, how] {
    EndSilence(cluster, upstream, how);
  });
}

/// Waits for the starts of one task.
class StartWatch {
 public:
  StartWatch(JobCluster& cluster, const TaskId& task)
      : cluster_(cluster), task_(task) {}

  /// Runs until the task has been started again, and returns its upstream;
  /// empty if it is not started in time.
  std::string AwaitStart() {
    const TimePoint until = cluster_.clock().now() + kMaxWaitForStart;
    while (cluster_.clock().now() < until) {
      cluster_.RunFor(Millis(10));
      const int starts = cluster_.upstreams().Starts(task_);
      if (starts == seen_) continue;
      seen_ = starts;
      return cluster_.upstreams().UpstreamRunning(task_);
    }
    return {};
  }

 private:
  JobCluster& cluster_;
  TaskId task_;
  int seen_ = 0;
};

void RestartLeader(JobCluster& cluster) {
  const std::string leader = cluster.Leader();
  if (!leader.empty()) cluster.Restart(leader);
}

void CheckRules(JobCluster& cluster) {
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

void CheckCompletes(JobCluster& cluster, JobId id) {
  cluster.RunUntilFinal(id, kMaxTimeToComplete);
  const auto state = cluster.State(id);
  BOOST_CHECK_MESSAGE(state != JobState::kFailed,
                      "shown as failed: " << JobIdText(id));
  BOOST_CHECK_MESSAGE(state == JobState::kComplete,
                      "not complete: " << JobIdText(id));
  CheckRules(cluster);
}

void CheckRuns(JobCluster& cluster, const TaskId& task) {
  const auto state = cluster.State(task.job);
  BOOST_CHECK_MESSAGE(state && !IsFinal(*state),
                      "long-running job has ended: " << JobIdText(task.job));
  BOOST_CHECK_MESSAGE(!cluster.upstreams().UpstreamRunning(task).empty(),
                      "not running: " << TaskIdText(task));
}

/// The job has to be given up soon, and none of its tasks may be started too
/// often until then.
void CheckGivenUp(JobCluster& cluster, JobId id) {
  cluster.RunUntilFinal(id, kMaxTimeToGiveUp);
  const auto state = cluster.State(id);
  BOOST_CHECK_MESSAGE(state == JobState::kFailed,
                      "not given up: " << JobIdText(id));
  CheckRules(cluster);
}

wire::JobSpec LongRunningJob(JobId id) {
  wire::JobSpec spec = OneStepJob(id, 1, 1000);
  spec.steps[0].long_running = true;
  return spec;
}

/// One way in which the upstreams of a harmless task stop answering.
struct SilenceCase {
  const char* name;
  Silence how;
  /// How long the task has run when its upstream stops answering.
  Millis after;
  Millis span;
};

std::ostream& operator<<(std::ostream& out, const SilenceCase& it) {
  return out << it.name;
}

const std::vector<SilenceCase> kSilences{
    {"cut as the run starts", Silence::kCut, Millis(20), kCutTime},
    {"cut after 1 s", Silence::kCut, Millis(1000), kCutTime},
    {"paused for 4 s", Silence::kPause, Millis(20), Millis(4000)},
    {"paused for 6 s", Silence::kPause, Millis(20), Millis(6000)},
    {"paused for 8 s", Silence::kPause, Millis(20), Millis(8000)},
    {"paused after 1 s", Silence::kPause, Millis(1000), Millis(8000)},
};

/// How crashed upstreams are replaced.
struct ReplacementCase {
  const char* name;
  JobClusterOptions options;
};

std::ostream& operator<<(std::ostream& out, const ReplacementCase& it) {
  return out << it.name;
}

const std::vector<ReplacementCase> kReplacements{
    {"at the same address", {.upstreams = 16}},
    {"under the same id", {.upstreams = 16, .restart_under_same_id = true}},
    {"late", {.upstreams = 16, .replacement_delay = Millis(7000)}},
    {"at a new address", {.upstreams = 16, .replacement_at_new_address = true}},
    {"after a silent crash", {.upstreams = 16, .crash_silently = true}},
    {"late after a silent crash",
     {.upstreams = 16,
      .replacement_delay = Millis(7000),
      .crash_silently = true}},
    {"never", {.upstreams = 16, .replacement_delay = kNever}},
    {"never after a silent crash",
     {.upstreams = 16, .replacement_delay = kNever, .crash_silently = true}},
};

/// How long after its start a task crashes its upstream.
const std::vector<int64_t> kCrashDelaysMs{10, 1500};

/// Cuts off one upstream after another that does not run the task, and
/// optionally restarts leaders.
class Disturbances {
 public:
  Disturbances(JobCluster& cluster, const TaskId& task)
      : cluster_(cluster), task_(task) {}

  void RunFor(Millis span, bool restart_leaders) {
    constexpr Millis kInterval{9000};
    for (Millis passed{0}; passed < span; passed += kInterval) {
      CutNext();
      cluster_.RunFor(kInterval / 2);
      if (restart_leaders) RestartLeader(cluster_);
      cluster_.RunFor(kInterval / 2);
    }
  }

 private:
  void CutNext() {
    const auto ids = cluster_.upstreams().ids();
    for (size_t tries = 0; tries < ids.size(); ++tries) {
      const std::string& id = ids[next_++ % ids.size()];
      if (cluster_.upstreams().CrashVerdict(id)) continue;
      if (cluster_.upstreams().UpstreamRunning(task_) == id) continue;
      return SilenceFor(cluster_, id, Silence::kCut, kCutTime);
    }
  }

  JobCluster& cluster_;
  TaskId task_;
  size_t next_ = 0;
};

/// Plays one random scenario in which both promises have to hold: tasks that
/// crash their upstreams are given up, and no other task is. Crashes, cuts,
/// pauses, lost list entries, outages of the store, unanswered starts and
/// restarts of leaders overlap.
class PromiseScenario {
 public:
  explicit PromiseScenario(uint64_t seed)
      : random_(seed), options_(RandomOptions()), cluster_(options_) {}

  void Play() {
    cluster_.RunFor(kStartupTime);
    constexpr int kSteps = 250;
    for (int i = 0; i < kSteps; ++i) {
      if (Chance(60)) SubmitRandomJob();
      if (Chance(12)) InjectFault();
      cluster_.RunFor(Millis(50 + Pick(250)));
    }
    Settle();
    Check();
  }

 private:
  enum class Kind { kSingle, kGang, kLongRunning };
  struct SubmittedJob {
    Kind kind = Kind::kSingle;
    int32_t tasks = 0;
    int32_t max_attempts = 0;
    bool crashing = false;
    /// The final state that the job was shown in, if any.
    std::optional<JobState> final_state{};
  };

  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }

  JobClusterOptions RandomOptions() {
    constexpr std::array kDelays{Millis(500), Millis(3000), Millis(7000)};
    return {.upstreams = 20,
            .replacement_delay = kDelays.at(Pick(kDelays.size())),
            .replacement_at_new_address = Chance(25),
            .restart_under_same_id = Chance(40),
            .crash_silently = Chance(50),
            .list_entries_expire = true};
  }

  void Note(const std::string& what) {
    const auto ms = cluster_.clock().now().time_since_epoch() / Millis(1);
    events_.push_back(std::to_string(ms) + " " + what);
  }

  void SubmitRandomJob() {
    const JobId id = 0x100 + jobs_.size();
    SubmittedJob job{.tasks = static_cast<int32_t>(1 + Pick(4))};
    const uint64_t kind = Pick(100);
    if (kind < 20) job.kind = Kind::kGang;
    if (kind >= 95) job.kind = Kind::kLongRunning;
    wire::JobSpec spec =
        OneStepJob(id, job.tasks, 500, job.kind == Kind::kGang);
    spec.steps[0].long_running = job.kind == Kind::kLongRunning;
    job.max_attempts = spec.queue.max_attempts;
    const Millis longest = Chance(20) ? kLongRunTime : Millis(2000);
    for (int32_t i = 0; i < job.tasks; ++i) {
      TaskBehavior& behavior = cluster_.upstreams().behavior({id, 0, 0, i});
      behavior.run_time =
          Millis(100 + Pick(static_cast<uint64_t>(longest.count())));
      if (Chance(5)) behavior.starts_lost_in_crashes = 1;
      if (Chance(5)) behavior.unanswered_starts = static_cast<int>(1 + Pick(3));
      if (job.kind == Kind::kSingle && Chance(5)) behavior.failing_runs = 1;
    }
    job.crashing = Chance(4);
    if (job.crashing) {
      const auto index = static_cast<int32_t>(Pick(job.tasks));
      const Millis delay(10 + Pick(31));
      // Each of its runs is known to have begun: the others are not evidence.
      cluster_.upstreams().behavior({id, 0, 0, index}) = {.crash_delay = delay};
      Note("crashing task " + TaskIdText({id, 0, 0, index}) + " submitted");
    }
    jobs_[id] = job;
    cluster_.Submit("entry-" + std::to_string(Pick(4)), spec);
  }

  void InjectFault() {
    const auto ids = cluster_.upstreams().ids();
    const std::string& upstream = ids[Pick(ids.size())];
    const bool alive = !cluster_.upstreams().CrashVerdict(upstream);
    switch (Pick(6)) {
      case 0:
        Note("crash of " + upstream);
        return cluster_.upstreams().Crash(upstream);
      case 1:
      case 2:
        Note("cut of " + upstream);
        return SilenceFor(cluster_, upstream, Silence::kCut,
                          Millis(2000 + Pick(8000)));
      case 3:
        if (!alive) return;
        Note("pause of " + upstream);
        return SilenceFor(cluster_, upstream, Silence::kPause,
                          Millis(4000 + Pick(4000)));
      case 4:
        Note("store outage");
        cluster_.store().faults().down = true;
        cluster_.clock().At(cluster_.clock().now() + Millis(500 + Pick(5000)),
                            [this] { cluster_.store().faults().down = false; });
        return;
      default:
        Note("restart of the leader " + cluster_.Leader());
        return RestartLeader(cluster_);
    }
  }

  /// Waits for all faults to end, and until all jobs are final that have to
  /// become final.
  void Settle() {
    constexpr Millis kLongestFault{10000};
    constexpr Millis kInterval{10000};
    // Sufficient for the fate of upstreams that never answer again to be
    // decided several times in a row.
    constexpr Millis kMaxSettleTime{180000};
    cluster_.RunFor(kLongestFault);
    const TimePoint until = cluster_.clock().now() + kMaxSettleTime;
    while (cluster_.clock().now() < until && !AllFinal()) {
      cluster_.RunFor(kInterval);
    }
    // Long-running tasks that were lost last have to be started again.
    cluster_.RunFor(kInterval + kInterval);
    AllFinal();
  }

  /// Queries the jobs that are not final yet. Returns whether all are final but
  /// for the long-running ones.
  bool AllFinal() {
    bool all = true;
    for (auto& [id, job] : jobs_) {
      if (!cluster_.accepted(id) || job.final_state) continue;
      const auto state = cluster_.State(id);
      if (state && IsFinal(*state)) job.final_state = state;
      all = all && (job.final_state || Lasts(job));
    }
    return all;
  }

  static bool Lasts(const SubmittedJob& job) {
    return job.kind == Kind::kLongRunning && !job.crashing;
  }

  /// Whether the rules allow the job to be shown as failed.
  bool MayFail(JobId id, const SubmittedJob& job) {
    if (job.crashing) return true;
    for (int32_t i = 0; i < job.tasks; ++i) {
      const TaskId task{id, 0, 0, i};
      const bool failed =
          cluster_.upstreams().FailedRuns(task) >= job.max_attempts;
      if (failed && job.kind != Kind::kLongRunning) return true;
      // Two upstreams that happened to crash just as the task started show the
      // same as two that the task crashed.
      if (cluster_.upstreams().CrashesWithin(task, Millis(300)) >= 2) {
        return true;
      }
    }
    return false;
  }

  void Check() {
    for (const std::string& what : cluster_.Violations()) Report(what);
    for (const auto& [id, job] : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const bool failed = job.final_state == JobState::kFailed;
      if (failed && !MayFail(id, job)) {
        Report("shown as failed without a cause: " + JobIdText(id));
      }
      if (!Lasts(job) && !job.final_state) {
        Report("accepted but never final: " + JobIdText(id));
      }
      for (int32_t i = 0; Lasts(job) && !failed && i < job.tasks; ++i) {
        const TaskId task{id, 0, 0, i};
        if (!cluster_.upstreams().UpstreamRunning(task).empty()) continue;
        Report("not running: " + TaskIdText(task));
      }
    }
    if (!reported_) return;
    BOOST_TEST_MESSAGE("replaced after "
                       << options_.replacement_delay.count() << " ms"
                       << (options_.crash_silently ? ", silently" : "")
                       << (options_.restart_under_same_id ? ", same id" : "")
                       << (options_.replacement_at_new_address ? ", new address"
                                                               : ""));
    for (const std::string& event : events_) BOOST_TEST_MESSAGE(event);
  }

  void Report(const std::string& what) {
    reported_ = true;
    BOOST_ERROR(what);
  }

  std::mt19937_64 random_;
  JobClusterOptions options_;
  JobCluster cluster_;
  std::map<JobId, SubmittedJob> jobs_;
  std::vector<std::string> events_;
  bool reported_ = false;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a job shown as failed because the upstreams of a harmless
/// task stopped answering for a while and lost their list entries.
BOOST_DATA_TEST_CASE(SilentUpstreamsAreNotCountedAsCrashed,
                     boost::unit_test::data::make(kSilences), silence) {
  JobCluster cluster({.upstreams = 8, .list_entries_expire = true});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(silence.after);
    SilenceFor(cluster, at, silence.how, silence.span);
    // A pause shorter than a lease ends no run.
    if (silence.span > Millis(4000)) continue;
    cluster.RunFor(silence.span);
    if (cluster.upstreams().UpstreamRunning(kTask) == at) break;
  }
  CheckCompletes(cluster, kJob);
}

/// Guards against a job shown as failed because the upstreams crashed to which
/// starts of its task had been sent. None of these starts arrived.
BOOST_DATA_TEST_CASE(StartsWithoutAnswerAreNotCounted,
                     boost::unit_test::data::make(kReplacements), replacement) {
  JobClusterOptions options = replacement.options;
  options.list_entries_expire = true;
  JobCluster cluster(options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).starts_lost_in_crashes = kLosses;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  CheckCompletes(cluster, kJob);
}

/// Guards against a job shown as failed because upstreams crashed after the
/// leases of its runs there had expired. No run existed when they crashed.
BOOST_AUTO_TEST_CASE(RunsThatLapsedBeforeTheCrashAreNotCounted) {
  JobCluster cluster({.upstreams = 16, .list_entries_expire = true});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    // The cuts have nothing to do with the starts of the task.
    cluster.RunFor(Millis(1000) + i * Millis(500));
    BeginSilence(cluster, at, Silence::kCut);
    cluster.clock().At(cluster.clock().now() + Millis(5500),
                       [&cluster, at] { cluster.upstreams().Crash(at); });
  }
  CheckCompletes(cluster, kJob);
}

/// Guards against a job shown as failed because upstreams crashed after they
/// had answered again and listed the ends of its runs.
BOOST_AUTO_TEST_CASE(RunsThatLapsedAndWereListedAreNotCounted) {
  JobCluster cluster({.upstreams = 16, .list_entries_expire = true});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(Millis(20));
    SilenceFor(cluster, at, Silence::kCut, kCutTime);
    cluster.clock().At(cluster.clock().now() + kCutTime + Millis(2000),
                       [&cluster, at] {
                         const bool runs_again =
                             cluster.upstreams().UpstreamRunning(kTask) == at;
                         if (!runs_again) cluster.upstreams().Crash(at);
                       });
  }
  CheckCompletes(cluster, kJob);
}

/// Guards against a job shown as failed because its task takes 9 s and each
/// upstream that runs it crashes after 6 s for a reason of its own.
BOOST_DATA_TEST_CASE(CrashesLongAfterTheStartAreNotCounted,
                     boost::unit_test::data::make(kReplacements), replacement) {
  JobCluster cluster(replacement.options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(Millis(6000));
    cluster.upstreams().Crash(at);
  }
  CheckCompletes(cluster, kJob);
}

/// The same with a long-running task, which has to run in the end.
BOOST_DATA_TEST_CASE(CrashesOfLongRunningTasksAreNotCounted,
                     boost::unit_test::data::make(kReplacements), replacement) {
  JobCluster cluster(replacement.options);
  cluster.RunFor(kStartupTime);
  cluster.Submit("entry-0", LongRunningJob(kJob));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(Millis(6000));
    cluster.upstreams().Crash(at);
  }
  BOOST_CHECK(!starts.AwaitStart().empty());
  CheckRuns(cluster, kTask);
  CheckRules(cluster);
}

/// Guards against a job shown as failed because of what earlier leaders assumed
/// of upstreams that answer the next one.
BOOST_AUTO_TEST_CASE(UpstreamsThatAnswerTheNextLeaderAreNotCounted) {
  JobCluster cluster({.upstreams = 8, .list_entries_expire = true});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  // Cuts overlap, so that a leader lives through every other one.
  for (int i = 0; i < 2 * kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(Millis(20));
    SilenceFor(cluster, at, Silence::kCut, Millis(10000));
    cluster.clock().At(cluster.clock().now() + Millis(8500),
                       [&cluster] { RestartLeader(cluster); });
  }
  CheckCompletes(cluster, kJob);
}

/// Guards against a harmless task that is given up because the leader dies with
/// each of its upstreams, and the next leader counts what it did not see.
BOOST_AUTO_TEST_CASE(HarmlessTasksSurviveLeadersThatDieWithTheirUpstreams) {
  JobCluster cluster({.upstreams = 16});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).run_time = kLongRunTime;
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  StartWatch starts(cluster, kTask);
  for (int i = 0; i < kLosses; ++i) {
    const std::string at = starts.AwaitStart();
    if (at.empty()) break;
    cluster.RunFor(Millis(6000));
    cluster.upstreams().Crash(at);
    RestartLeader(cluster);
  }
  CheckCompletes(cluster, kJob);
}

/// Guards against a crashing task that is started too often because the leader
/// dies between one of the crashes and its count.
BOOST_DATA_TEST_CASE(CrashingTasksAreGivenUpAlthoughALeaderDies,
                     boost::unit_test::data::make({1, 2, 3}) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     fatal_crash, delay_ms) {
  JobCluster cluster({.upstreams = 16});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.upstreams().behavior(kTask).run_time = Millis(5000);
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  bool leader_died = false;
  constexpr int kSteps = 1500;
  for (int i = 0; i < kSteps && !leader_died; ++i) {
    cluster.RunFor(Millis(20));
    const bool crashed = cluster.upstreams().Crashes(kTask) == fatal_crash;
    if (!crashed) continue;
    RestartLeader(cluster);
    leader_died = true;
  }
  CheckGivenUp(cluster, kJob);
}

/// Guards against a task that is started on one upstream after another and
/// crashes each of them, however these are replaced.
BOOST_DATA_TEST_CASE(CrashingTasksAreGivenUp,
                     boost::unit_test::data::make(kReplacements) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     replacement, delay_ms) {
  JobCluster cluster(replacement.options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.upstreams().behavior(kTask).run_time = Millis(5000);
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  CheckGivenUp(cluster, kJob);
}

/// The same with a long-running task, which has no limit of attempts.
BOOST_DATA_TEST_CASE(CrashingLongRunningTasksAreGivenUp,
                     boost::unit_test::data::make(kReplacements) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     replacement, delay_ms) {
  JobCluster cluster(replacement.options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.Submit("entry-0", LongRunningJob(kJob));
  CheckGivenUp(cluster, kJob);
}

/// The same while other upstreams are cut off and lose their list entries.
BOOST_DATA_TEST_CASE(CrashingTasksAreGivenUpDuringCuts,
                     boost::unit_test::data::make(kReplacements) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     replacement, delay_ms) {
  JobClusterOptions options = replacement.options;
  options.list_entries_expire = true;
  JobCluster cluster(options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.upstreams().behavior(kTask).run_time = Millis(5000);
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  Disturbances(cluster, kTask).RunFor(kDisturbanceTime, false);
  CheckGivenUp(cluster, kJob);
}

/// The same while leaders restart every 9 s, too.
BOOST_DATA_TEST_CASE(CrashingTasksAreGivenUpDuringCutsAndTakeovers,
                     boost::unit_test::data::make(kReplacements) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     replacement, delay_ms) {
  JobClusterOptions options = replacement.options;
  options.list_entries_expire = true;
  JobCluster cluster(options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.upstreams().behavior(kTask).run_time = Millis(5000);
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  Disturbances(cluster, kTask).RunFor(kDisturbanceTime, true);
  CheckGivenUp(cluster, kJob);
}

/// Guards against jobs that are given up along with a crashing task whose
/// upstreams they share: single tasks, a gang, and a long-running task.
BOOST_DATA_TEST_CASE(NeighboursOfACrashingTaskAreNotGivenUp,
                     boost::unit_test::data::make(kReplacements) *
                         boost::unit_test::data::make(kCrashDelaysMs),
                     replacement, delay_ms) {
  constexpr JobId kGang = 2;
  constexpr JobId kLongRunning = 3;
  constexpr JobId kFirstSingle = 4;
  constexpr JobId kSingles = 12;
  JobClusterOptions options = replacement.options;
  options.list_entries_expire = true;
  options.upstreams = 8;
  JobCluster cluster(options);
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior(kTask).crash_delay = Millis(delay_ms);
  cluster.upstreams().behavior(kTask).run_time = Millis(5000);
  cluster.Submit("entry-0", OneStepJob(kJob, 1, 1000));
  cluster.Submit("entry-0", OneStepJob(kGang, 4, 1000, true));
  cluster.Submit("entry-0", LongRunningJob(kLongRunning));
  for (JobId id = kFirstSingle; id < kFirstSingle + kSingles; ++id) {
    cluster.upstreams().behavior({id, 0, 0, 0}).run_time = Millis(3000);
    cluster.Submit("entry-0", OneStepJob(id, 1, 1000));
  }
  for (int32_t i = 0; i < 4; ++i) {
    cluster.upstreams().behavior({kGang, 0, 0, i}).run_time = Millis(3000);
  }
  Disturbances(cluster, kTask).RunFor(kDisturbanceTime, false);
  CheckGivenUp(cluster, kJob);
  CheckCompletes(cluster, kGang);
  CheckRuns(cluster, {kLongRunning, 0, 0, 0});
  for (JobId id = kFirstSingle; id < kFirstSingle + kSingles; ++id) {
    CheckCompletes(cluster, id);
  }
}

/// Random scenarios in which faults of all kinds overlap: no harmless job is
/// given up, and every crashing one is.
BOOST_DATA_TEST_CASE(OnlyCrashingTasksAreGivenUp,
                     boost::unit_test::data::make(Seeds()), seed) {
  PromiseScenario(seed).Play();
}

}  // namespace mimosarail::jobsim
