#define BOOST_TEST_MODULE restarted_upstreams
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <numeric>
#include <random>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{2000};
/// Long enough for every job to end after the last fault.
constexpr Millis kObservationTime{40000};
constexpr uint64_t kDefaultSeedCount = 20;

std::vector<uint64_t> Seeds() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  const uint64_t count =
      text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
  std::vector<uint64_t> out(count);
  std::iota(out.begin(), out.end(), 1);
  return out;
}

void CheckComplete(JobCluster& cluster, JobId id) {
  const auto state = cluster.State(id);
  BOOST_CHECK_MESSAGE(state && *state == JobState::kComplete,
                      "accepted but not complete: " << JobIdText(id));
}

/// A cluster with upstreams that have completed enough tasks for the numbers of
/// their completions to be well above those of a new incarnation.
struct BusyCluster {
  explicit BusyCluster(JobClusterOptions options) : cluster(options) {
    cluster.RunFor(kStartupTime);
    for (JobId id = 0x1000; id < 0x1010; ++id) {
      cluster.upstreams().behavior({id, 0, 0, 0}).run_time = Millis(100);
      cluster.Submit("entry-0", OneStepJob(id, 6, 1000));
    }
    cluster.RunFor(Millis(4000));
  }
  JobCluster cluster;
};

JobClusterOptions RestartingUpstreams(bool crash_silently, Millis delay) {
  return {.upstreams = 2,
          .replacement_delay = delay,
          .restart_under_same_id = true,
          .crash_silently = crash_silently};
}

/// Which calls that were meant for its former incarnation an upstream executes.
enum class FormerCalls {
  /// None; no upstream is cut off either.
  kNone,
  /// Those sent so long after the crash that they acknowledge no completion.
  kSentWhileDown,
  /// These, and any call that is executed late.
  kAll
};

/// Plays one random scenario: upstreams crash, restart under their ids and are
/// cut off, alone or with their racks, while jobs are submitted, leaders change
/// and calls are executed late.
class RestartScenario {
 public:
  RestartScenario(uint64_t seed, FormerCalls former_calls)
      : random_(seed),
        former_calls_(former_calls),
        cluster_({.replacement_delay = Millis(200 + Pick(2500)),
                  .restart_under_same_id = true,
                  .crash_silently = Chance(70)}) {}

  void Run() {
    for (const std::string& id : cluster_.upstreams().ids()) {
      UpstreamFaults& faults = cluster_.upstreams().faults(id);
      faults.long_poll_wait = Millis(50 + Pick(950));
      faults.late_calls_end_in_restart = former_calls_ != FormerCalls::kAll;
    }
    cluster_.RunFor(kStartupTime);
    constexpr int kSteps = 300;
    for (int i = 0; i < kSteps; ++i) {
      if (Chance(SubmitPercent())) SubmitRandomJob();
      if (Chance(8)) InjectFault();
      cluster_.RunFor(Millis(100));
    }
    RepairFaults();
    cluster_.RunFor(kObservationTime);
    Check();
  }

 private:
  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }

  bool WithCuts() const { return former_calls_ != FormerCalls::kNone; }
  uint64_t SubmitPercent() const { return WithCuts() ? 30 : 60; }
  uint64_t LongestRunMs() { return WithCuts() && Chance(30) ? 15000 : 2000; }

  void SubmitRandomJob() {
    const JobId id = 0x100 + jobs_++;
    const auto tasks = static_cast<int32_t>(1 + Pick(5));
    wire::JobSpec spec = OneStepJob(id, tasks, 1000, Chance(25));
    spec.queue.advised = Chance(50);
    spec.queue.ticket_valid_ms = 1500;
    for (int32_t i = 0; i < tasks; ++i) {
      cluster_.upstreams().behavior({id, 0, 0, i}).run_time =
          Millis(100 + Pick(LongestRunMs()));
    }
    cluster_.Submit("entry-" + std::to_string(Pick(4)), spec);
  }

  /// The first ones of InjectFault(); the last three of them are crashes.
  static constexpr uint64_t kFaultsWithoutCuts = 9;

  void InjectFault() {
    const auto ids = cluster_.upstreams().ids();
    const std::string& upstream = ids[Pick(ids.size())];
    UpstreamFaults& faults = cluster_.upstreams().faults(upstream);
    const std::string leader = cluster_.Leader();
    switch (Pick(WithCuts() ? 20 : kFaultsWithoutCuts)) {
      case 0:
        if (!leader.empty()) cluster_.Restart(leader);
        return;
      case 1:
        faults.drop_start_replies = static_cast<int>(1 + Pick(3));
        return;
      case 2:
        faults.delayed_starts = static_cast<int>(1 + Pick(2));
        if (WithCuts()) faults.execution_delay = Millis(500 + Pick(11500));
        return;
      case 3:
        cluster_.store().faults().down = !cluster_.store().faults().down;
        return;
      case 4:
        for (const std::string& id : ids) {
          if (Chance(50)) cluster_.upstreams().Crash(id);
        }
        return;
      case 5:
        return LosePower();
      case 6:
        if (!WithCuts()) return cluster_.upstreams().Crash(upstream);
        faults.delayed_renewals = static_cast<int>(1 + Pick(3));
        faults.execution_delay = Millis(500 + Pick(11500));
        return;
      case 7:
        if (!WithCuts()) return cluster_.upstreams().Crash(upstream);
        if (!leader.empty()) KillForAWhile(leader);
        return;
      case 8:
        if (!WithCuts()) return cluster_.upstreams().Crash(upstream);
        return Cut(upstream, CutTime());
      case 9:
        return CutRack();
      case 10:
      case 11:
      case 12:
      case 13:
        return CrashWithCallsUnderway(upstream);
      default:
        CrashAndCutRack();
    }
  }

  Millis CutTime() { return Millis(1000 + Pick(11000)); }

  void KillForAWhile(const std::string& entry) {
    cluster_.Kill(entry);
    cluster_.clock().At(cluster_.clock().now() + Millis(Pick(6000)),
                        [this, entry] { cluster_.Restart(entry); });
  }

  void Cut(const std::string& upstream, Millis span) {
    cluster_.upstreams().faults(upstream).unreachable = true;
    cluster_.clock().At(cluster_.clock().now() + span, [this, upstream] {
      cluster_.upstreams().faults(upstream).unreachable = false;
    });
  }

  std::vector<std::string> RandomRack() {
    const auto ids = cluster_.upstreams().ids();
    const std::string rack = cluster_.ListEntryOf(ids[Pick(ids.size())]).rack;
    std::vector<std::string> out;
    for (const std::string& id : ids) {
      if (cluster_.ListEntryOf(id).rack == rack) out.push_back(id);
    }
    return out;
  }

  void CutRack() {
    const Millis span = CutTime();
    for (const std::string& id : RandomRack()) Cut(id, span);
  }

  /// The rack is cut off up to 4 s after its upstreams have crashed.
  void CrashAndCutRack() {
    const Millis delay(Pick(4000));
    const Millis span = CutTime();
    for (const std::string& id : RandomRack()) {
      CrashWithCallsUnderway(id);
      cluster_.clock().At(cluster_.clock().now() + delay,
                          [this, id, span] { Cut(id, span); });
    }
  }

  void CrashWithCallsUnderway(const std::string& upstream) {
    /// Later than this after a report, a renewal acknowledges nothing.
    constexpr Millis kAcknowledging{400};
    UpstreamsFake& upstreams = cluster_.upstreams();
    const bool wait = Chance(50);
    const bool all = former_calls_ == FormerCalls::kAll;
    upstreams.faults(upstream).waiting_calls_answered = Chance(50);
    upstreams.Crash(upstream);
    const int64_t incarnation = upstreams.Incarnation(upstream);
    cluster_.clock().At(
        cluster_.clock().now() + (all ? Millis(0) : kAcknowledging),
        [&upstreams, upstream, wait, incarnation] {
          const bool restarted = upstreams.Incarnation(upstream) != incarnation;
          upstreams.faults(upstream).calls_wait_for_restart =
              wait && !restarted;
        });
  }

  /// All entries and all upstreams end at the same moment.
  void LosePower() {
    for (const std::string& id : cluster_.upstreams().ids()) {
      cluster_.upstreams().Crash(id);
    }
    for (const std::string& entry : cluster_.names()) cluster_.Restart(entry);
  }

  void RepairFaults() {
    cluster_.store().faults().down = false;
    for (const std::string& id : cluster_.upstreams().ids()) {
      UpstreamFaults& faults = cluster_.upstreams().faults(id);
      faults.drop_start_replies = 0;
      faults.delayed_starts = 0;
      faults.delayed_renewals = 0;
    }
  }

  void Check() {
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (JobId id = 0x100; id < 0x100 + jobs_; ++id) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(state && IsFinal(*state),
                          "accepted but never finished: " << JobIdText(id));
    }
  }

  std::mt19937_64 random_;
  FormerCalls former_calls_;
  JobCluster cluster_;
  JobId jobs_ = 0;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a second run of a completed task: its upstream restarted, and
/// discarded the completion by an acknowledgement meant for its predecessor.
BOOST_DATA_TEST_CASE(CompletionsOfARestartedUpstreamAreRead,
                     boost::unit_test::data::make({false, true}),
                     crash_silently) {
  BusyCluster busy(RestartingUpstreams(crash_silently, Millis(500)));
  JobCluster& cluster = busy.cluster;
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().Crash(id);
  }
  cluster.RunFor(Millis(800));
  for (JobId id = 1; id <= 4; ++id) {
    cluster.Submit("entry-0", OneStepJob(id, 4, 1000));
  }
  cluster.RunFor(Millis(20000));
  for (JobId id = 1; id <= 4; ++id) CheckComplete(cluster, id);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against a task that never runs again: its upstream restarted within a
/// renewal, and no report of the new incarnation lists the run.
BOOST_DATA_TEST_CASE(RunsOnARestartedUpstreamAreRestarted,
                     boost::unit_test::data::make({false, true}),
                     crash_silently) {
  BusyCluster busy(RestartingUpstreams(crash_silently, Millis(500)));
  JobCluster& cluster = busy.cluster;
  for (JobId id = 1; id <= 2; ++id) {
    for (int32_t i = 0; i < 4; ++i) {
      cluster.upstreams().behavior({id, 0, 0, i}).run_time = Millis(3000);
    }
    cluster.Submit("entry-0", OneStepJob(id, 4, 1000));
  }
  cluster.RunFor(Millis(1000));
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().Crash(id);
  }
  cluster.RunFor(Millis(20000));
  for (JobId id = 1; id <= 2; ++id) CheckComplete(cluster, id);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against lost jobs and second runs while upstreams restart under their
/// ids, leaders change, and starts get no reply or execute late.
BOOST_DATA_TEST_CASE(RestartsWithoutCutsBreakNoRule,
                     boost::unit_test::data::make(Seeds()), seed) {
  RestartScenario(seed, FormerCalls::kNone).Run();
}

/// Guards against lost jobs and second runs while upstreams restart under their
/// ids and are cut off, leaders change, and calls get no reply or execute late.
BOOST_DATA_TEST_CASE(RestartsUnderTheSameIdBreakNoRule,
                     boost::unit_test::data::make(Seeds()), seed) {
  RestartScenario(seed, FormerCalls::kSentWhileDown).Run();
}

/// The same where any late call may reach the next incarnation.
BOOST_DATA_TEST_CASE(LateCallsAtTheNextIncarnationBreakNoRule,
                     boost::unit_test::data::make(Seeds()), seed) {
  RestartScenario(seed, FormerCalls::kAll).Run();
}

}  // namespace mimosarail::jobsim
