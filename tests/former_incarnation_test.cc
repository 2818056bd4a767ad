#define BOOST_TEST_MODULE former_incarnation
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{4000};
constexpr Millis kRestartDelay{600};
constexpr Millis kCutTime{9000};
/// After this time no call for an incarnation before the first is assumed.
constexpr Millis kStaleCallTime{30000};
constexpr Millis kStep{1};
/// Longer than a lease of the longest duration after a cut.
constexpr Millis kRunTime{20000};
/// Long enough for the task to run again after the last fault.
constexpr Millis kObservationTime{60000};
constexpr JobId kFillerJob = 1;
constexpr TaskId kTask{2, 0, 0, 0};

JobClusterOptions Options(Millis restart_list_delay) {
  return {.upstreams = 4,
          .replacement_delay = kRestartDelay,
          .restart_list_delay = restart_list_delay,
          .restart_under_same_id = true,
          .crash_silently = true};
}

/// A cluster that runs one task, whose upstreams restart under their ids and
/// are cut off.
class Scenario {
 public:
  explicit Scenario(bool clock_ahead, Millis restart_list_delay = Millis(0))
      : cluster(Options(restart_list_delay)), clock_ahead_(clock_ahead) {
    for (const std::string& id : cluster.upstreams().ids()) {
      faults(id).next_clock =
          clock_ahead ? ClockStart::kAhead : ClockStart::kBehind;
    }
    cluster.upstreams().behavior(kTask).run_time = kRunTime;
    cluster.RunFor(kStartupTime);
  }

  UpstreamFaults& faults(const std::string& id) {
    return cluster.upstreams().faults(id);
  }
  void RunFor(Millis span) { cluster.RunFor(span); }
  void CrashAll() {
    for (const std::string& id : cluster.upstreams().ids()) {
      cluster.upstreams().Crash(id);
    }
  }
  /// Restarts the upstream. Calls that are due meanwhile are executed by the
  /// new incarnation.
  void RestartWithCallsUnderway(const std::string& upstream) {
    faults(upstream).calls_wait_for_restart = true;
    cluster.upstreams().Crash(upstream);
    cluster.RunFor(kRestartDelay);
  }
  /// Restarts all upstreams. Starts that are sent meanwhile are executed by the
  /// new incarnations.
  void RestartAllWithStartsUnderway() {
    constexpr Millis kBetweenCrashAndStarts{100};
    for (const std::string& id : cluster.upstreams().ids()) {
      faults(id).calls_wait_for_restart = true;
    }
    CrashAll();
    cluster.RunFor(kBetweenCrashAndStarts);
    cluster.Submit("entry-0", OneStepJob(kFillerJob, 32, 1000));
    cluster.RunFor(kRestartDelay);
    for (const std::string& id : cluster.upstreams().ids()) {
      // Starts on the former clock are late for a clock that is ahead of it.
      BOOST_TEST((cluster.upstreams().Running(id) > 0) == !clock_ahead_);
    }
  }
  /// Kills the leader, whose successor never reaches the upstream.
  void CutDuringTakeoverAndCheck(const std::string& upstream) {
    cluster.Restart(cluster.Leader());
    CutAndCheck(upstream);
  }
  void SubmitTask() {
    cluster.Submit("entry-0", OneStepJob(kTask.job, 1, 1000));
  }
  /// Submits the task, and returns the upstream that has started it.
  std::string RunTask() {
    SubmitTask();
    std::string upstream;
    RunUntil([&] {
      upstream = cluster.upstreams().UpstreamRunning(kTask);
      return !upstream.empty();
    });
    return upstream;
  }
  /// Submits the task, whose start is executed `delay` later without a reply.
  /// Returns the upstream that the start was sent to.
  std::string RunTaskLate(Millis delay) {
    const auto ids = cluster.upstreams().ids();
    for (const std::string& id : ids) {
      faults(id).delayed_starts = 1;
      faults(id).execution_delay = delay;
    }
    SubmitTask();
    std::string upstream;
    RunUntil([&] {
      for (const std::string& id : ids) {
        if (faults(id).delayed_starts == 0) upstream = id;
      }
      return !upstream.empty();
    });
    for (const std::string& id : ids) faults(id).delayed_starts = 0;
    return upstream;
  }
  /// Runs until another leader has reached the upstream.
  void RunUntilReached(const std::string& upstream) {
    const int64_t fence = cluster.upstreams().fence(upstream);
    RunUntil([&] { return cluster.upstreams().fence(upstream) > fence; });
  }
  /// Cuts the upstream off for kCutTime, and checks as Check() does.
  void CutAndCheck(const std::string& upstream) {
    faults(upstream).unreachable = true;
    cluster.RunFor(kCutTime);
    faults(upstream).unreachable = false;
    Check();
  }
  template <typename Condition>
  void RunUntil(Condition condition) {
    constexpr int kMaxSteps = 20000;
    for (int i = 0; i < kMaxSteps && !condition(); ++i) cluster.RunFor(kStep);
    BOOST_REQUIRE(condition());
  }
  /// Checks that the task runs only once at a time, and completes.
  void Check() {
    cluster.RunFor(kObservationTime);
    for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
    const auto state = cluster.State(kTask.job);
    BOOST_TEST((state && *state == JobState::kComplete));
  }

  JobCluster cluster;

 private:
  bool clock_ahead_;
};

/// Whether the clock of the next incarnation begins ahead of the former one.
const auto kClockAhead = boost::unit_test::data::make({false, true});

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a second run while the first goes on: a start for the former
/// incarnation has given the new one a lease on the former clock.
BOOST_DATA_TEST_CASE(TaskRunsOnceWhenARestartedUpstreamIsCutOff, kClockAhead,
                     clock_ahead) {
  Scenario scenario(clock_ahead);
  scenario.RestartAllWithStartsUnderway();
  scenario.RunFor(Millis(300));
  const std::string upstream = scenario.RunTask();
  scenario.RunFor(Millis(500));
  scenario.CutAndCheck(upstream);
}

/// The same where an answered renewal on the former clock found the restart.
BOOST_DATA_TEST_CASE(TaskRunsOnceAfterARenewalHasFoundTheRestart, kClockAhead,
                     clock_ahead) {
  Scenario scenario(clock_ahead, kCutTime);
  scenario.CrashAll();
  scenario.RunFor(Millis(2000));
  const std::string upstream = scenario.RunTask();
  scenario.RunFor(Millis(500));
  scenario.CutAndCheck(upstream);
}

/// The same for a leader that has never reached the upstream.
BOOST_DATA_TEST_CASE(TaskRunsOnceAfterARestartATakeoverAndACut, kClockAhead,
                     clock_ahead) {
  Scenario scenario(clock_ahead);
  scenario.RestartAllWithStartsUnderway();
  scenario.RunFor(Millis(100));
  const std::string upstream = scenario.RunTask();
  scenario.cluster.Restart(scenario.cluster.Leader());
  scenario.CutAndCheck(upstream);
}

/// The same for a leader that has just reached the upstream.
BOOST_DATA_TEST_CASE(TaskRunsOnceWhenANewLeaderLosesARestartedUpstream,
                     kClockAhead, clock_ahead) {
  Scenario scenario(clock_ahead);
  scenario.RestartAllWithStartsUnderway();
  scenario.RunFor(Millis(100));
  const std::string upstream = scenario.RunTask();
  scenario.cluster.Restart(scenario.cluster.Leader());
  scenario.RunUntilReached(upstream);
  scenario.RunFor(Millis(10));
  scenario.CutAndCheck(upstream);
}

/// The same where the list still names the former incarnation.
BOOST_AUTO_TEST_CASE(TakeoverCountsLeasesFromTheRestartThatWasResolved) {
  Scenario scenario(false, kCutTime);
  scenario.RunFor(kStaleCallTime);
  for (const std::string& id : scenario.cluster.upstreams().ids()) {
    scenario.faults(id).calls_wait_for_restart = true;
  }
  scenario.CrashAll();
  scenario.SubmitTask();
  scenario.RunFor(kRestartDelay);
  const std::string upstream =
      scenario.cluster.upstreams().UpstreamRunning(kTask);
  BOOST_REQUIRE(!upstream.empty());
  scenario.RunFor(Millis(1000));
  scenario.CutDuringTakeoverAndCheck(upstream);
}

/// The same where a new leader has heard of the restart before it was listed,
/// and dies in turn.
BOOST_AUTO_TEST_CASE(TakeoverCountsLeasesFromTheRestartInThePreviousTakeover) {
  constexpr Millis kListDelay{2000};
  Scenario scenario(false, kListDelay);
  scenario.RunFor(kStaleCallTime);
  for (const std::string& id : scenario.cluster.upstreams().ids()) {
    scenario.faults(id).calls_wait_for_restart = true;
  }
  scenario.CrashAll();
  scenario.cluster.Submit("entry-0", OneStepJob(kFillerJob, 32, 1000));
  scenario.RunFor(Millis(200));
  scenario.cluster.Restart(scenario.cluster.Leader());
  const std::string upstream = scenario.RunTask();
  scenario.cluster.store().Put(kUpstreamTable, upstream, "");
  scenario.CutDuringTakeoverAndCheck(upstream);
}

/// The same where the restart was listed, but the leader never reached the new
/// incarnation either.
BOOST_AUTO_TEST_CASE(TakeoverCountsLeasesFromAnUnresolvedRestart) {
  Scenario scenario(false);
  scenario.RunFor(kStaleCallTime);
  const auto ids = scenario.cluster.upstreams().ids();
  for (const std::string& id : ids) {
    scenario.faults(id).calls_wait_for_restart = true;
  }
  scenario.CrashAll();
  scenario.SubmitTask();
  std::string upstream;
  scenario.RunUntil([&] {
    upstream = scenario.cluster.upstreams().UpstreamRunning(kTask);
    return !upstream.empty();
  });
  scenario.faults(upstream).unreachable = true;
  scenario.RunFor(Millis(1000));
  scenario.cluster.store().Put(kUpstreamTable, upstream, "");
  scenario.CutDuringTakeoverAndCheck(upstream);
}

/// Guards against a second run of a task whose start is in doubt: an
/// incarnation that has not answered yet executes it.
BOOST_DATA_TEST_CASE(StartInDoubtRunsOnceOnAnIncarnationThatNeverAnswered,
                     kClockAhead, clock_ahead) {
  Scenario scenario(clock_ahead);
  const std::string upstream = scenario.RunTaskLate(Millis(1500));
  scenario.cluster.upstreams().Crash(upstream);
  scenario.CutAndCheck(upstream);
}

/// The same while nothing has told the leader of the restart.
BOOST_DATA_TEST_CASE(StartInDoubtRunsOnceOnAnUnknownIncarnation, kClockAhead,
                     clock_ahead) {
  Scenario scenario(clock_ahead, kCutTime);
  const std::string upstream = scenario.RunTaskLate(Millis(1500));
  scenario.cluster.upstreams().Crash(upstream);
  scenario.CutAndCheck(upstream);
}

/// Guards against a second run while the first goes on: an incarnation that the
/// leader does not know has answered the start, and is cut off.
BOOST_AUTO_TEST_CASE(TaskStartedOnAnUnknownIncarnationRunsOnce) {
  Scenario scenario(false, kCutTime);
  scenario.CrashAll();
  scenario.RunFor(kRestartDelay + Millis(50));
  const std::string upstream = scenario.RunTask();
  scenario.RunFor(Millis(5));
  scenario.CutAndCheck(upstream);
}

/// The same for a leader that did not send the start, and has never reached the
/// upstream.
BOOST_AUTO_TEST_CASE(StartInDoubtOfThePredecessorRunsOnce) {
  Scenario scenario(false, kCutTime);
  scenario.RunFor(kStaleCallTime);
  const std::string upstream = scenario.RunTaskLate(Millis(1500));
  scenario.cluster.upstreams().Crash(upstream);
  scenario.RunFor(Millis(1000));
  scenario.cluster.Restart(scenario.cluster.Leader());
  scenario.CutAndCheck(upstream);
}

/// Guards against a second run of a task whose start was resolved as not
/// executed: the next incarnation has seen no fencing token, and executes it.
BOOST_AUTO_TEST_CASE(ResolvedStartIsStoppedBeforeTheTaskStartsElsewhere) {
  Scenario scenario(false);
  const std::string upstream = scenario.RunTaskLate(Millis(1500));
  scenario.RunFor(Millis(1000));
  scenario.RestartWithCallsUnderway(upstream);
  scenario.Check();
}

/// The same while the task already runs elsewhere.
BOOST_AUTO_TEST_CASE(ResolvedStartIsNotExecutedWhileTheTaskRunsElsewhere) {
  Scenario scenario(false);
  const std::string upstream = scenario.RunTaskLate(Millis(6500));
  scenario.RunFor(Millis(1000));
  scenario.RestartWithCallsUnderway(upstream);
  scenario.RunFor(Millis(4500));
  BOOST_TEST(scenario.cluster.upstreams().UpstreamRunning(kTask) != upstream);
  scenario.RestartWithCallsUnderway(upstream);
  scenario.Check();
}

/// The same while the next incarnation is cut off.
BOOST_AUTO_TEST_CASE(ResolvedStartIsNotExecutedByAnIncarnationThatIsCutOff) {
  Scenario scenario(false);
  const std::string upstream = scenario.RunTaskLate(Millis(3000));
  scenario.RunFor(Millis(1000));
  scenario.cluster.upstreams().Crash(upstream);
  scenario.CutAndCheck(upstream);
}

/// Guards against leases on the clock of the former incarnation, whose reply
/// arrives after the restart.
BOOST_DATA_TEST_CASE(LateReplyOfTheFormerIncarnationSetsNoLease, kClockAhead,
                     clock_ahead) {
  Scenario scenario(clock_ahead);
  for (const std::string& id : scenario.cluster.upstreams().ids()) {
    scenario.faults(id).delayed_renew_replies = 2;
    scenario.faults(id).renew_reply_delay = Millis(2500);
  }
  scenario.RunFor(Millis(100));
  scenario.CrashAll();
  scenario.RunFor(Millis(3000));
  const std::string upstream = scenario.RunTask();
  scenario.RunFor(Millis(500));
  scenario.CutAndCheck(upstream);
}

}  // namespace mimosarail::jobsim
