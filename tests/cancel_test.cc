// Tests that the remaining runs of a final job are found on their upstreams and
// stopped, regardless of which entry started them and when the start took
// effect.

#define BOOST_TEST_MODULE cancel
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

/// Seeds that have failed before, kept as regression cases.
/// All but 374: the leader waited for the end of a run without a stop on its
/// way. Either the run was adopted, or started late, after its job had been
/// cancelled, so that no stop had been ordered; or the stop was lost and not
/// repeated. 374: a cancel was answered "no such job". The job had been
/// submitted just after the cancel and was accepted before that answer.
const std::vector<uint64_t> kRegressionSeeds{181, 277, 352, 374, 425, 444, 490,
                                             521, 608, 624, 653, 738, 752, 887};
constexpr uint64_t kDefaultSeedCount = 60;
/// How long the slowest upstreams wait before they answer a renewal without
/// news.
constexpr Millis kLongPollWait{1000};
/// How long the slowest upstreams take to stop a run.
constexpr Millis kStopTime{900};
/// Time until the lease of a run expires if it is not renewed.
constexpr Millis kLease{4000};

uint64_t SeedCount() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> out = kRegressionSeeds;
  for (uint64_t seed = 0; seed < SeedCount(); ++seed) out.push_back(seed);
  return out;
}

/// A cluster whose upstreams are slow to report and to stop runs.
class SlowCluster : public JobCluster {
 public:
  SlowCluster() : JobCluster({}) {
    for (const auto& id : upstreams().ids()) {
      upstreams().faults(id).long_poll_wait = kLongPollWait;
      upstreams().faults(id).stop_time = kStopTime;
    }
    RunFor(Millis(2000));
  }

  UpstreamFaults& faults(const std::string& id) {
    return upstreams().faults(id);
  }
  std::string Follower() {
    return Leader() == "entry-0" ? "entry-1" : "entry-0";
  }
  /// Submits a job of one long task and returns the upstream that runs it;
  /// empty if none does.
  std::string StartLongJob(JobId id) {
    upstreams().behavior({id, 0, 0, 0}).run_time = Millis(20000);
    Submit(Leader(), OneStepJob(id, 1, 1000));
    RunFor(Millis(100));
    return upstreams().UpstreamRunning({id, 0, 0, 0});
  }
  /// Submits such a job, but its upstream executes the start only after
  /// `execution_delay`. Returns the upstream that received the start.
  std::string StartLongJobLate(JobId id, Millis execution_delay) {
    for (const auto& up : upstreams().ids()) {
      faults(up).delayed_starts = 1;
      faults(up).execution_delay = execution_delay;
    }
    StartLongJob(id);
    std::string sent_to;
    for (const auto& up : upstreams().ids()) {
      if (faults(up).delayed_starts == 0) sent_to = up;
      faults(up).delayed_starts = 0;
    }
    return sent_to;
  }
  bool Runs(JobId id) {
    return !upstreams().UpstreamRunning({id, 0, 0, 0}).empty();
  }
  bool StopsWithin(JobId id, Millis limit) {
    RunFor(limit);
    return !Runs(id);
  }
};

/// Plays one random scenario of submits and cancels. Meanwhile entries are
/// restarted, paused or removed permanently, starts are executed 2 to 12 s
/// late, stops and replies are lost, and upstreams become unreachable or leave
/// the upstream list and return. The fakes check throughout that cancelled jobs
/// stop.
class CancelScenario {
 public:
  explicit CancelScenario(uint64_t seed) : random_(seed) {}

  void Play() {
    for (const auto& id : cluster_.upstreams().ids()) {
      list_records_[id] = cluster_.store().Records(kUpstreamTable).at(id);
      cluster_.upstreams().faults(id).long_poll_wait = Millis(50 + Pick(950));
      cluster_.upstreams().faults(id).stop_time = Millis(100 + Pick(800));
    }
    cluster_.RunFor(Millis(2000));
    constexpr int kSteps = 60;
    for (int i = 0; i < kSteps; ++i) {
      SubmitRandomJob();
      if (Chance(50)) cluster_.Cancel(RandomEntry(), jobs_[Pick(jobs_.size())]);
      if (Chance(35)) InjectFault();
      // Some periods without faults are long enough for the time bounds to be
      // checked.
      cluster_.RunFor(Chance(8) ? StartPeriodWithoutFaults()
                                : Millis(50 + Pick(400)));
    }
    EndFaults();
    cluster_.RunFor(Millis(6000));
    for (const JobId id : jobs_) cluster_.Cancel(RandomEntry(), id);
    cluster_.RunFor(Millis(9000));
    Check();
  }

 private:
  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  /// Ends all faults; returns how long to go on without new ones.
  Millis StartPeriodWithoutFaults() {
    EndFaults();
    return Millis(4500);
  }

  std::string RandomEntry() {
    std::vector<std::string> remaining;
    for (const auto& name : cluster_.names()) {
      if (name != removed_) remaining.push_back(name);
    }
    return remaining[Pick(remaining.size())];
  }
  std::string RandomUpstream() {
    const auto ids = cluster_.upstreams().ids();
    return ids[Pick(ids.size())];
  }

  void SubmitRandomJob() {
    const JobId id = 0xcac0000 + jobs_.size();
    wire::JobSpec spec =
        OneStepJob(id, 1 + static_cast<int32_t>(Pick(3)),
                   500 + 500 * static_cast<int32_t>(Pick(3)), Chance(20));
    for (int32_t i = 0; i < spec.steps[0].tasks; ++i) {
      auto& behavior = cluster_.upstreams().behavior({id, 0, 0, i});
      behavior.run_time = Chance(40) ? Millis(30000) : Millis(100 + Pick(1500));
      behavior.failing_runs = Chance(4) ? 1 : 0;
    }
    jobs_.push_back(id);
    cluster_.Submit(RandomEntry(), spec);
  }

  void InjectFault() {
    const std::string leader = cluster_.Leader();
    const std::string entry =
        Chance(50) && !leader.empty() ? leader : RandomEntry();
    const std::string upstream = RandomUpstream();
    UpstreamFaults& faults = cluster_.upstreams().faults(upstream);
    switch (Pick(9)) {
      case 0:
        return cluster_.Restart(entry);
      case 1:
        if (!removed_.empty()) return;
        removed_ = entry;
        return cluster_.Kill(entry);
      case 2:
        return cluster_.Pause(entry);
      case 3:
        for (const auto& name : cluster_.names()) cluster_.Resume(name);
        return;
      case 4:
        faults.delayed_starts = 1 + static_cast<int>(Pick(2));
        faults.execution_delay = Millis(2000 + Pick(10000));
        return;
      case 5:
        faults.drop_stops = 1 + static_cast<int>(Pick(2));
        faults.drop_start_replies = static_cast<int>(Pick(2));
        return;
      case 6:
        faults.unreachable = Chance(60);
        return;
      case 7:
        return SetListed(upstream, Chance(50));
      default:
        cluster_.store().faults().drop_replies = static_cast<int>(Pick(3));
    }
  }

  void SetListed(const std::string& upstream, bool listed) {
    cluster_.store().Put(kUpstreamTable, upstream,
                         listed ? list_records_.at(upstream) : "");
  }

  void EndFaults() {
    for (const auto& name : cluster_.names()) cluster_.Resume(name);
    cluster_.store().faults() = {};
    for (const auto& id : cluster_.upstreams().ids()) {
      UpstreamFaults& faults = cluster_.upstreams().faults(id);
      faults = {.long_poll_wait = faults.long_poll_wait,
                .stop_time = faults.stop_time};
      SetListed(id, true);
    }
  }

  void Check() {
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (const JobId id : jobs_) {
      for (int32_t i = 0; i < 3; ++i) {
        if (!cluster_.cancelled(id)) continue;
        const std::string where =
            cluster_.upstreams().UpstreamRunning({id, 0, 0, i});
        BOOST_CHECK_MESSAGE(where.empty(), "cancelled but still runs on "
                                               << where << ": "
                                               << JobIdText(id));
      }
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(state && IsFinal(*state),
                          "accepted but never finished: " << JobIdText(id));
    }
  }

  std::mt19937_64 random_;
  JobCluster cluster_{{}};
  std::vector<JobId> jobs_;
  std::map<std::string, std::string> list_records_;
  std::string removed_;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Random scenarios of cancels under faults.
BOOST_DATA_TEST_CASE(CancelledJobsStopUnderFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  BOOST_TEST_CONTEXT("seed " << seed) { CancelScenario(seed).Play(); }
}

/// Guards against a cancelled job that occupies its upstream for another 4 s.
/// The leader fails, and the next leader receives the cancel before it can
/// reach the upstream. When it reaches the upstream, it must order the run to
/// stop. If it treated the run as already being stopped, it would wait for its
/// end in vain.
BOOST_AUTO_TEST_CASE(RunFoundAfterItsCancelIsStoppedAtOnce) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJob(1);
  BOOST_REQUIRE(!at.empty());
  const std::string first = cluster.Leader();
  const std::string other = cluster.Follower();
  cluster.faults(at).unreachable = true;
  cluster.Kill(first);
  cluster.Cancel(other, 1);
  cluster.RunFor(Millis(1800));
  BOOST_REQUIRE(cluster.cancelled(1));
  cluster.faults(at).unreachable = false;
  BOOST_TEST(cluster.Runs(1));
  BOOST_TEST(cluster.StopsWithin(1, Millis(1700)));
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a cancelled task that runs for another 4 s because the stop
/// of its run was lost. The leader must repeat the stop upon the next report
/// that lists the run. If it started to wait for the end only upon that report,
/// the stop would be repeated too late.
BOOST_AUTO_TEST_CASE(LostStopIsRepeatedAfterNextReport) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJob(2);
  BOOST_REQUIRE(!at.empty());
  cluster.faults(at).drop_stops = 1;
  cluster.Cancel(cluster.Follower(), 2);
  BOOST_TEST(cluster.StopsWithin(2, Millis(2900)));
  BOOST_TEST(cluster.cancelled(2));
  BOOST_TEST(cluster.Violations().empty());
}

/// A job is cancelled while the reply to its start is pending. Its upstream is
/// unreachable, so that neither the stop nor the higher fence arrives, and it
/// executes the start 2 s late. The run must be stopped upon the first report
/// that lists it.
BOOST_AUTO_TEST_CASE(DelayedStartOfCancelledJobIsStopped) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJobLate(3, Millis(2000));
  BOOST_REQUIRE(!at.empty());
  cluster.faults(at).unreachable = true;
  cluster.Cancel(cluster.Follower(), 3);
  cluster.RunFor(Millis(2100));
  BOOST_REQUIRE(cluster.cancelled(3));
  BOOST_TEST(cluster.Runs(3));
  cluster.faults(at).unreachable = false;
  BOOST_TEST(cluster.StopsWithin(3, Millis(1700)));
  BOOST_TEST(cluster.Violations().empty());
}

/// The leader sends a start and is removed permanently. The next leader can't
/// reach the upstream, and the job is cancelled at that leader. Only then is
/// the start executed, 2 s late. When the upstream is reachable and its
/// inventory lists the run, the next leader stops it and counts it once as
/// orphaned.
BOOST_AUTO_TEST_CASE(LateStartOfRemovedEntryIsStopped) {
  SlowCluster cluster;
  const std::string first = cluster.Leader();
  const std::string other = cluster.Follower();
  const std::string at = cluster.StartLongJobLate(4, Millis(2000));
  BOOST_REQUIRE(!at.empty());
  cluster.faults(at).unreachable = true;
  cluster.Kill(first);
  cluster.Cancel(other, 4);
  cluster.RunFor(Millis(2100));
  BOOST_REQUIRE(cluster.cancelled(4));
  BOOST_TEST(cluster.Runs(4));
  cluster.faults(at).unreachable = false;
  BOOST_TEST(cluster.StopsWithin(4, Millis(1700)));
  const std::string counters = cluster.Metrics(cluster.Leader());
  BOOST_TEST(counters.find("unasked_runs{why=\"job cancelled\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(cluster.Violations().empty());
}

/// The leader sends a start and is removed permanently. The start is due for
/// execution 3.5 s later, but the next leader can reach the upstream and raises
/// its fence with its first renewal. The start must be refused.
BOOST_AUTO_TEST_CASE(LateStartOfRemovedEntryIsFenced) {
  SlowCluster cluster;
  const std::string first = cluster.Leader();
  const std::string other = cluster.Follower();
  BOOST_REQUIRE(!cluster.StartLongJobLate(5, Millis(3500)).empty());
  cluster.Kill(first);
  cluster.Cancel(other, 5);
  cluster.RunFor(Millis(8000));
  BOOST_TEST(cluster.cancelled(5));
  BOOST_TEST(!cluster.Runs(5));
  // At most the start that the next leader ordered before it received the
  // cancel.
  BOOST_TEST(cluster.upstreams().starts() <= 1);
  BOOST_TEST(cluster.Violations().empty());
}

/// A cancel is acknowledged, and the leader fails before its stop arrives. The
/// next leader must load the cancel from the store and stop the run.
BOOST_AUTO_TEST_CASE(CancelSurvivesLeaderFailure) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJob(6);
  BOOST_REQUIRE(!at.empty());
  cluster.faults(at).drop_stops = 1;
  const std::string first = cluster.Leader();
  cluster.Cancel(first, 6);
  for (int i = 0; i < 100 && !cluster.cancelled(6); ++i) {
    cluster.RunFor(Millis(1));
  }
  BOOST_REQUIRE(cluster.cancelled(6));
  cluster.Kill(first);
  BOOST_TEST(cluster.StopsWithin(6, Millis(3900)));
  cluster.RunFor(Millis(6000));
  BOOST_TEST(cluster.upstreams().starts() == 1);
  BOOST_TEST(cluster.Violations().empty());
}

/// The specification of a cancelled job is no longer stored after a while. If
/// an upstream then reports a run of that job, the run must still be stopped.
BOOST_AUTO_TEST_CASE(RunOfRemovedJobIsStopped) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJob(7);
  BOOST_REQUIRE(!at.empty());
  cluster.Cancel(cluster.Follower(), 7);
  cluster.RunFor(Millis(20000));
  const int64_t lease_until_ms =
      cluster.upstreams().ClockMs(at) + kLease.count();
  cluster.upstreams().Start({.address = "", .id = at},
                            {.task = {7, 0, 0, 0},
                             .attempt = int64_t{1} << 40U,
                             .lease_until_ms = lease_until_ms,
                             .fence = cluster.upstreams().fence(at)});
  BOOST_REQUIRE(cluster.Runs(7));
  BOOST_TEST(cluster.StopsWithin(7, kLongPollWait + kStopTime + Millis(100)));
  const std::string counters = cluster.Metrics(cluster.Leader());
  BOOST_TEST(counters.find("unasked_runs{why=\"job cancelled\"} 1\n") !=
             std::string::npos);
}

/// A job is cancelled while it waits for free capacity. No task of it may start
/// when capacity becomes free, nor under the next leader.
BOOST_AUTO_TEST_CASE(JobCancelledBeforeItsStartNeverRuns) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({8, 0, 0, 0}).run_time = Millis(3000);
  cluster.Submit("entry-0", OneStepJob(8, 1, 8000));
  cluster.RunFor(Millis(100));
  cluster.Submit("entry-0", OneStepJob(9, 1, 8000));
  cluster.RunFor(Millis(100));
  cluster.Cancel("entry-1", 9);
  cluster.RunFor(Millis(100));
  BOOST_REQUIRE(cluster.cancelled(9));
  cluster.RunFor(Millis(4000));
  BOOST_TEST(!cluster.upstreams().HasRun(9));
  cluster.Kill(cluster.Leader());
  cluster.RunFor(Millis(4000));
  BOOST_TEST(!cluster.upstreams().HasRun(9));
  BOOST_TEST(cluster.Violations().empty());
}

/// An upstream leaves the upstream list while it runs a task, and the leader
/// fails. The next leader must know the upstream from the stored upstream
/// records and stop the run.
BOOST_AUTO_TEST_CASE(RunOnUnlistedUpstreamIsStopped) {
  SlowCluster cluster;
  const std::string at = cluster.StartLongJob(10);
  BOOST_REQUIRE(!at.empty());
  cluster.store().Put(kUpstreamTable, at, "");
  cluster.RunFor(Millis(500));
  const std::string other = cluster.Follower();
  cluster.Kill(cluster.Leader());
  cluster.Cancel(other, 10);
  BOOST_TEST(cluster.StopsWithin(10, Millis(3900)));
  BOOST_TEST(cluster.cancelled(10));
  BOOST_TEST(cluster.Violations().empty());
}

/// One task of a job fails too often, and the stop of the other task is lost.
/// The job is reported as failed, and its remaining run must be stopped
/// nevertheless.
BOOST_AUTO_TEST_CASE(RemainingTasksOfFailedJobAreStopped) {
  SlowCluster cluster;
  cluster.upstreams().behavior({11, 0, 0, 0}).run_time = Millis(20000);
  cluster.upstreams().behavior({11, 0, 0, 1}) = {.run_time = Millis(100),
                                                 .failing_runs = 9};
  cluster.Submit(cluster.Follower(), OneStepJob(11, 2, 1000));
  cluster.RunFor(Millis(50));
  const std::string at = cluster.upstreams().UpstreamRunning({11, 0, 0, 0});
  BOOST_REQUIRE(!at.empty());
  cluster.faults(at).drop_stops = 1;
  BOOST_REQUIRE(cluster.RunUntilFinal(11, Millis(6000)));
  BOOST_TEST((cluster.State(11) == JobState::kFailed));
  BOOST_TEST(cluster.StopsWithin(11, Millis(2900)));
}

/// Guards against a leader that steps down when the list entry of an upstream
/// expires and returns; each time, callers would be refused for a second. The
/// fence of the upstream was raised for a start in doubt. If the leader
/// reconnected with its first fencing token, it would be refused and conclude
/// that another entry leads.
BOOST_AUTO_TEST_CASE(ReturningUpstreamDoesNotDeposeLeader) {
  SlowCluster cluster;
  for (const auto& id : cluster.upstreams().ids()) {
    cluster.faults(id).drop_start_replies = 1;
  }
  const std::string at = cluster.StartLongJob(12);
  BOOST_REQUIRE(!at.empty());
  for (const auto& id : cluster.upstreams().ids()) {
    cluster.faults(id).drop_start_replies = 0;
  }
  cluster.RunFor(Millis(2000));
  cluster.Cancel(cluster.Follower(), 12);
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  const int64_t term = cluster.entry(leader)->leadership().term();
  const std::string record = cluster.store().Records(kUpstreamTable).at(at);
  cluster.store().Put(kUpstreamTable, at, "");
  cluster.faults(at).unreachable = true;
  cluster.RunFor(Millis(7000));
  cluster.faults(at).unreachable = false;
  cluster.store().Put(kUpstreamTable, at, record);
  cluster.RunFor(Millis(4000));
  BOOST_TEST(cluster.Leader() == leader);
  BOOST_TEST(cluster.entry(leader)->leadership().term() == term);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a cancel that is answered "no such job" while the job runs
/// for another 20 s. The entry that receives the cancel was the leader and was
/// paused. It resumes with outdated state after another entry has become the
/// leader and accepted the job.
BOOST_AUTO_TEST_CASE(FormerLeaderDoesNotReportJobAsUnknown) {
  SlowCluster cluster;
  const std::string paused = cluster.Leader();
  // The successor's announcement is lost.
  cluster.SetIsolated(paused, true);
  cluster.Pause(paused);
  for (int i = 0; i < 400 && cluster.Leader().empty(); ++i) {
    cluster.RunFor(Millis(10));
  }
  BOOST_REQUIRE(cluster.Leader() != paused);
  BOOST_REQUIRE(!cluster.StartLongJob(13).empty());
  cluster.SetIsolated(paused, false);
  cluster.Resume(paused);
  cluster.Cancel(paused, 13);
  cluster.RunFor(Millis(4500));
  BOOST_TEST(cluster.cancelled(13));
  BOOST_TEST(!cluster.Runs(13));
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a cancel that is answered "no such job" although the job has
/// been accepted before that answer, and runs for 20 s. The caller submits the
/// job at one entry and cancels it at another at the same time, and the cancel
/// arrives first.
BOOST_AUTO_TEST_CASE(CancelConcurrentWithSubmitIsNotReportedAsUnknown) {
  SlowCluster cluster;
  cluster.upstreams().behavior({14, 0, 0, 0}).run_time = Millis(20000);
  cluster.Cancel(cluster.Follower(), 14);
  cluster.RunFor(Millis(2));
  cluster.Submit(cluster.Leader(), OneStepJob(14, 1, 1000));
  cluster.RunFor(Millis(4500));
  BOOST_TEST(cluster.accepted(14));
  BOOST_TEST(cluster.cancelled(14));
  BOOST_TEST(!cluster.Runs(14));
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a job that waits forever although an upstream is idle. A
/// later reply to a renewal overtakes an earlier one, which still lists a task
/// whose end has been reported meanwhile. The leader must not reserve the
/// resources of that task again.
BOOST_AUTO_TEST_CASE(OutdatedRenewReplyHoldsNoCapacity) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(Millis(2000));
  UpstreamFaults& faults = cluster.upstreams().faults("up-0");
  cluster.upstreams().behavior({15, 0, 0, 0}).run_time = Millis(1700);
  cluster.upstreams().behavior({16, 0, 0, 0}).run_time = Millis(2000);
  cluster.Submit("entry-0", OneStepJob(15, 1, 4000));
  cluster.RunFor(Millis(1400));
  faults.delayed_renew_replies = 1;
  // The start of the second job is in doubt after 0.7 s, and a second renewal
  // is sent.
  faults.drop_start_replies = 1;
  cluster.Submit("entry-0", OneStepJob(16, 1, 1000));
  cluster.RunFor(Millis(3000));
  cluster.Submit("entry-0", OneStepJob(17, 1, 6000));
  BOOST_TEST(cluster.RunUntilFinal(17, Millis(5000)));
  const std::string counters = cluster.Metrics(cluster.Leader());
  BOOST_TEST(counters.find("unasked_runs") == std::string::npos);
  BOOST_TEST(cluster.Violations().empty());
}

}  // namespace mimosarail::jobsim
