#define BOOST_TEST_MODULE job_fault_injection
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
/// 1549, 2931: a run succeeds on an unreachable upstream, and the lease expires
/// before the leader records the completion. Such a completion does not count,
/// but the check counted it.
/// 2059, 2550: one call is refused and a second one gets no answer because its
/// entry dies; the check counted both as refused.
const std::vector<uint64_t> kRegressionSeeds{1549, 2931, 2059, 2550};
constexpr uint64_t kDefaultSeedCount = 60;

uint64_t SeedCount() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> out = kRegressionSeeds;
  for (uint64_t i = 0; i < SeedCount(); ++i) out.push_back(1000 + i);
  return out;
}

/// Plays one random schedule: jobs of several shapes are submitted while
/// entries, the store and upstreams fail. All faults are cleared before its
/// end.
class FaultSchedule {
 public:
  explicit FaultSchedule(uint64_t seed) : random_(seed) {}

  void Play() {
    cluster_.RunFor(Millis(2000));
    constexpr int kSteps = 60;
    for (int i = 0; i < kSteps; ++i) {
      SubmitRandomJob();
      if (Chance(35)) InjectFault();
      cluster_.RunFor(Millis(50 + Pick(400)));
    }
    Heal();
    cluster_.RunFor(Millis(25000));
    Check();
  }

 private:
  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }

  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }
  std::string RandomUpstream() {
    const auto ids = cluster_.upstreams().ids();
    return ids[Pick(ids.size())];
  }

  void SubmitRandomJob() {
    const JobId id = 0xabc0000 + jobs_.size();
    const bool gang = Chance(25);
    wire::JobSpec spec =
        OneStepJob(id, 1 + static_cast<int32_t>(Pick(4)),
                   500 + 500 * static_cast<int32_t>(Pick(5)), gang);
    spec.queue.advised = Chance(50);
    spec.queue.ticket_valid_ms = 1500;
    if (Chance(30)) {
      wire::StepSpec second = spec.steps[0];
      second.gang = false;
      second.after = {0};
      spec.steps.push_back(second);
    }
    for (int32_t s = 0; s < static_cast<int32_t>(spec.steps.size()); ++s) {
      for (int32_t i = 0; i < spec.steps[static_cast<size_t>(s)].tasks; ++i) {
        auto& behavior = cluster_.upstreams().behavior({id, 0, s, i});
        behavior.run_time = Millis(100 + Pick(1500));
        behavior.failing_runs = Chance(4) ? 1 : 0;
      }
    }
    jobs_.push_back(id);
    cluster_.Submit(RandomEntry(), spec);
    // The caller may resend the job to another entry.
    if (Chance(20)) cluster_.Submit(RandomEntry(), spec);
    if (Chance(8)) cluster_.Cancel(RandomEntry(), jobs_[Pick(jobs_.size())]);
  }

  void InjectFault() {
    const std::string leader = cluster_.Leader();
    const std::string entry =
        Chance(50) && !leader.empty() ? leader : RandomEntry();
    switch (Pick(10)) {
      case 0:
        return cluster_.Restart(entry);
      case 1:
        return cluster_.Pause(entry);
      case 2:
        for (const auto& name : cluster_.names()) cluster_.Resume(name);
        return;
      case 3:
        return cluster_.SetIsolated(entry, Chance(60));
      case 4:
        cluster_.store().faults().down = Chance(50);
        return;
      case 5:
        if (Chance(60)) {
          cluster_.store().faults().partitioned_entries.insert(entry);
        } else {
          cluster_.store().faults().partitioned_entries.clear();
        }
        return;
      case 6:
        cluster_.store().faults().drop_replies = static_cast<int>(Pick(4));
        cluster_.store().faults().delayed_appends = static_cast<int>(Pick(2));
        return;
      case 7:
        cluster_.store().DropHistory();
        return;
      case 8:
        cluster_.upstreams().faults(RandomUpstream()).drop_start_replies = 2;
        cluster_.upstreams().faults(RandomUpstream()).delayed_starts = 1;
        return;
      default:
        cluster_.upstreams().faults(RandomUpstream()).unreachable = Chance(50);
    }
  }

  void Heal() {
    for (const auto& name : cluster_.names()) {
      cluster_.Resume(name);
      cluster_.SetIsolated(name, false);
    }
    cluster_.store().faults() = {};
    for (const auto& id : cluster_.upstreams().ids()) {
      cluster_.upstreams().faults(id) = {};
    }
  }

  void Check() {
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (const JobId id : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(state.has_value(),
                          "accepted but unknown: " << JobIdText(id));
      if (!state) continue;
      BOOST_CHECK_MESSAGE(IsFinal(*state),
                          "accepted but never finished: " << JobIdText(id));
      if (cluster_.cancelled(id) || *state != JobState::kComplete) continue;
      int done = 0;
      for (int32_t i = 0; i < 4; ++i) {
        done += cluster_.upstreams().DoneRuns({id, 0, 0, i});
      }
      BOOST_CHECK_MESSAGE(done > 0,
                          "complete without a run: " << JobIdText(id));
    }
  }

  std::mt19937_64 random_;
  JobCluster cluster_{{}};
  std::vector<JobId> jobs_;
};

/// Stops the entries one after another, so that their shutdowns overlap, while
/// callers send to all of them and the leader, the store or links between
/// entries fail.
class RollingShutdown {
 public:
  explicit RollingShutdown(uint64_t seed) : random_(seed) {}

  void Play() {
    cluster_.RunFor(Millis(2000));
    for (const std::string& name : cluster_.names()) {
      BeginStop(name);
      RunFor(Millis(500 + Pick(3000)));
    }
    RunFor(kShutdownTime);
    cluster_.store().faults() = {};
    for (const auto& name : cluster_.names()) cluster_.SetIsolated(name, false);
    cluster_.RunFor(Millis(25000));
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (const JobId id : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(state && IsFinal(*state),
                          "accepted but never finished: " << JobIdText(id));
    }
  }

 private:
  static constexpr Millis kIntakeTime{2600};
  static constexpr Millis kShutdownTime{5200};
  static constexpr Millis kGap{100};

  struct Stopping {
    TimePoint since;
    std::vector<JobId> submitted;
    std::vector<JobId> cancelled;
  };

  uint64_t Pick(uint64_t below) { return random_() % below; }

  void BeginStop(const std::string& name) {
    cluster_.entry(name)->BeginShutdown();
    stopping_[name].since = cluster_.clock().now();
  }

  void RunFor(Millis span) {
    for (Millis passed{0}; passed < span; passed += kGap) {
      for (const std::string& name : cluster_.names()) SubmitAt(name);
      if (Pick(100) < 12) InjectFault();
      cluster_.RunFor(kGap);
      EndProcesses();
    }
  }

  void SubmitAt(const std::string& name) {
    const auto stopping = stopping_.find(name);
    const TimePoint now = cluster_.clock().now();
    if (stopping != stopping_.end() &&
        now - stopping->second.since >= kIntakeTime) {
      return;  // the entry accepts no more calls
    }
    const JobId id = 0xdef0000 + jobs_.size();
    jobs_.push_back(id);
    cluster_.upstreams().behavior({id, 0, 0, 0}).run_time =
        Millis(20 + Pick(100));
    cluster_.Submit(name, OneStepJob(id, 1, 500));
    if (stopping != stopping_.end()) stopping->second.submitted.push_back(id);
    if (Pick(100) >= 15) return;
    // No job is cancelled at two entries.
    const JobId other = jobs_[Pick(jobs_.size())];
    if (!cancelled_.insert(other).second) return;
    cluster_.Cancel(name, other);
    if (stopping != stopping_.end()) {
      stopping->second.cancelled.push_back(other);
    }
  }

  void EndProcesses() {
    const TimePoint now = cluster_.clock().now();
    for (auto at = stopping_.begin(); at != stopping_.end();) {
      if (now - at->second.since < kShutdownTime) {
        ++at;
        continue;
      }
      for (const JobId id : at->second.submitted) {
        BOOST_CHECK_MESSAGE(cluster_.answered(id),
                            "process ended with an open call: "
                                << JobIdText(id) << " at " << at->first);
      }
      for (const JobId id : at->second.cancelled) {
        BOOST_CHECK_MESSAGE(cluster_.cancel_answered(id),
                            "process ended with an open cancel: "
                                << JobIdText(id) << " at " << at->first);
      }
      cluster_.Restart(at->first);
      at = stopping_.erase(at);
    }
  }

  void InjectFault() {
    auto& store = cluster_.store().faults();
    const auto names = cluster_.names();
    const std::string& random_name = names[Pick(names.size())];
    switch (Pick(5)) {
      case 0:
        store.down = !store.down;
        return;
      case 1:
        return cluster_.SetIsolated(random_name, true);
      case 2:
        for (const auto& name : names) cluster_.SetIsolated(name, false);
        return;
      case 3:
        store.partitioned_entries.insert(random_name);
        return;
      default:
        store = {};
    }
  }

  std::mt19937_64 random_;
  JobCluster cluster_{{.seeds = {"entry-0", "entry-1", "entry-2"}}};
  std::vector<JobId> jobs_;
  std::set<JobId> cancelled_;
  std::map<std::string, Stopping> stopping_;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_DATA_TEST_CASE(InvariantsHoldUnderFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  BOOST_TEST_CONTEXT("seed " << seed) { FaultSchedule(seed).Play(); }
}

BOOST_DATA_TEST_CASE(RollingStopsAnswerAllAcceptedCalls,
                     boost::unit_test::data::xrange(SeedCount()), seed) {
  BOOST_TEST_CONTEXT("seed " << seed) { RollingShutdown(seed).Play(); }
}

/// A caller submits one job. It is stored, runs once and is reported as
/// complete.
BOOST_AUTO_TEST_CASE(JobRunsOnceWithoutFaults) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.Submit("entry-1", OneStepJob(7, 3, 1000));
  cluster.RunFor(Millis(200));
  BOOST_TEST(cluster.accepted(7));
  BOOST_TEST(cluster.RunUntilFinal(7, Millis(10000)));
  for (int32_t i = 0; i < 3; ++i) {
    BOOST_TEST(cluster.upstreams().DoneRuns({7, 0, 0, i}) == 1);
  }
  BOOST_TEST(cluster.Violations().empty());
}

/// A job is accepted, then all entries lose power at once and restart with
/// empty memory. The job must still be known, and its run must continue on its
/// upstream instead of starting a second time.
BOOST_AUTO_TEST_CASE(AcceptedJobSurvivesLossOfAllEntries) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({9, 0, 0, 0}).run_time = Millis(3000);
  cluster.Submit("entry-2", OneStepJob(9, 1, 1000));
  cluster.RunFor(Millis(100));
  BOOST_TEST(cluster.accepted(9));
  for (const auto& name : cluster.names()) cluster.Kill(name);
  cluster.RunFor(Millis(500));
  for (const auto& name : cluster.names()) cluster.Restart(name);
  BOOST_TEST(cluster.RunUntilFinal(9, Millis(12000)));
  BOOST_TEST(cluster.upstreams().starts() == 1);
  BOOST_TEST(cluster.Violations().empty());
}

/// A job fails permanently with the second failed run of its task. The leader
/// is lost after the two failures are listed but before they are stored. The
/// next leader learns of the second failure first and must still count both;
/// otherwise the task gets a third run.
BOOST_AUTO_TEST_CASE(FailuresAreCountedInAnyOrderAfterTakeover) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({11, 0, 0, 0}) = {.run_time = Millis(300),
                                                 .failing_runs = 9};
  cluster.Submit("entry-0", OneStepJob(11, 1, 1000));
  cluster.RunFor(Millis(150));
  // From now on the leader stores nothing and continues with its state in
  // memory.
  cluster.store().faults().partitioned_entries.insert(cluster.Leader());
  cluster.RunFor(Millis(20000));
  BOOST_TEST(cluster.Violations().empty());
  const auto state = cluster.State(11);
  BOOST_TEST(state.has_value());
  BOOST_TEST((state == JobState::kFailed));
  BOOST_TEST(cluster.upstreams().starts() == 2);
}

/// Guards against a failure that is counted twice, by two leaders or for two
/// members of a gang, and against other ends that are counted as failures. Each
/// task fails once less than permitted, while leaders change and upstreams are
/// cut off.
BOOST_DATA_TEST_CASE(EachFailureIsCountedOnce,
                     boost::unit_test::data::xrange(SeedCount()), seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&](uint64_t below) { return random() % below; };
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  constexpr JobId kJobs = 40;
  for (JobId id = 1; id <= kJobs; ++id) {
    const bool gang = pick(3) == 0;
    const int32_t tasks = gang ? 3 : 1 + static_cast<int32_t>(pick(3));
    for (int32_t i = 0; i < (gang ? 1 : tasks); ++i) {
      TaskBehavior& task = cluster.upstreams().behavior({id, 0, 0, i});
      task.failing_runs = 1;
      task.run_time = Millis(50 + pick(1500));
    }
    cluster.Submit("entry-0", OneStepJob(id, tasks, 500, gang));
    cluster.RunFor(Millis(200));
    const std::string leader = cluster.Leader();
    const auto upstreams = cluster.upstreams().ids();
    UpstreamFaults& upstream =
        cluster.upstreams().faults(upstreams[pick(upstreams.size())]);
    switch (pick(8)) {
      case 0:
        if (!leader.empty()) cluster.Restart(leader);
        break;
      case 1:
        cluster.store().faults().partitioned_entries.insert(leader);
        break;
      case 2:
        cluster.store().faults().partitioned_entries.clear();
        break;
      case 3:
        upstream.unreachable = !upstream.unreachable;
        break;
      case 4:
        upstream.drop_start_replies = 2;
        break;
      case 5:
        upstream.delayed_renew_replies = 2;
        break;
      case 6:
        upstream.drop_stops = 1;
        break;
      default:
        upstream = {};
    }
  }
  cluster.store().faults() = {};
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().faults(id) = {};
  }
  cluster.RunFor(Millis(30000));
  for (JobId id = 1; id <= kJobs; ++id) {
    if (!cluster.accepted(id)) continue;
    BOOST_CHECK_MESSAGE(cluster.State(id) == JobState::kComplete,
                        JobIdText(id) << " with seed " << seed);
  }
}

/// An upstream leaves a start unanswered and executes it 2.5 s later. By then
/// the task runs elsewhere; the late start must be refused because of its fence
/// token.
BOOST_AUTO_TEST_CASE(LateStartIsFenced) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  for (const auto& id : cluster.upstreams().ids()) {
    cluster.upstreams().faults(id).delayed_starts = 1;
  }
  cluster.upstreams().behavior({13, 0, 0, 0}).run_time = Millis(4000);
  cluster.Submit("entry-0", OneStepJob(13, 1, 1000));
  BOOST_TEST(cluster.RunUntilFinal(13, Millis(30000)));
  BOOST_TEST(cluster.Violations().empty());
  BOOST_TEST(cluster.upstreams().DoneRuns({13, 0, 0, 0}) == 1);
}

/// The leader is paused for 5 s and resumes while it still considers itself the
/// leader. Another entry has taken over meanwhile, so no order of the resumed
/// leader may start a task.
BOOST_AUTO_TEST_CASE(PausedLeaderStartsNothingAfterResume) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  for (JobId id = 20; id < 30; ++id) {
    cluster.upstreams().behavior({id, 0, 0, 0}).run_time = Millis(1500);
    cluster.Submit("entry-3", OneStepJob(id, 1, 4000));
  }
  cluster.RunFor(Millis(120));
  const std::string paused = cluster.Leader();
  cluster.Pause(paused);
  cluster.RunFor(Millis(5000));
  BOOST_TEST(cluster.Leader() != paused);
  BOOST_TEST(!cluster.Leader().empty());
  cluster.Resume(paused);
  for (JobId id = 20; id < 30; ++id) {
    BOOST_TEST(cluster.RunUntilFinal(id, Millis(20000)));
  }
  BOOST_TEST(cluster.Violations().empty());
}

/// A caller cancels a job and is told that there is no such job, but the job
/// runs. The entry that received the cancel was the leader and was paused; the
/// next leader accepted the job meanwhile. On resuming, the entry answered from
/// its outdated state, before it learned that it was no longer the leader.
BOOST_AUTO_TEST_CASE(ResumedLeaderDoesNotReportJobAsUnknown) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string paused = cluster.Leader();
  cluster.Pause(paused);
  cluster.RunFor(Millis(5000));
  cluster.upstreams().behavior({69, 0, 0, 0}).run_time = Millis(9000);
  cluster.Submit(cluster.Leader(), OneStepJob(69, 1, 1000));
  cluster.RunFor(Millis(200));
  BOOST_REQUIRE(cluster.accepted(69));
  std::vector<coordinator::JobVerdict> verdicts;
  const auto note = [&verdicts](const jobentry::JobAnswer& answer) {
    verdicts.push_back(answer.verdict);
  };
  // Messages that arrived during the pause are read first.
  cluster.entry(paused)->Cancel(69, std::nullopt, Millis(3000), note);
  cluster.entry(paused)->QueryState(69, std::nullopt, Millis(3000), note);
  cluster.Resume(paused);
  cluster.RunFor(Millis(4000));
  BOOST_REQUIRE_EQUAL(verdicts.size(), 2U);
  for (const auto verdict : verdicts) {
    BOOST_TEST((verdict == coordinator::JobVerdict::kConfirmed));
  }
  BOOST_TEST(cluster.Violations().empty());
}

/// The same, but messages that arrived during the pause are read before the
/// cancel: heartbeats that the other entries sent before they missed the leader
/// and, at some moments, the reply to a renewal. Dated by the time of reading,
/// these messages renewed the leader lease, while the next leader's
/// announcement was lost.
BOOST_AUTO_TEST_CASE(MessagesQueuedForPausedLeaderDoNotConfirmIt) {
  constexpr int kPauseOffsets = 210;  // longer than one renewal period
  for (int offset = 0; offset < kPauseOffsets; offset += 3) {
    BOOST_TEST_CONTEXT("paused after " << 2000 + offset << " ms") {
      JobCluster cluster({});
      cluster.RunFor(Millis(2000 + offset));
      const std::string paused = cluster.Leader();
      cluster.Pause(paused);
      cluster.RunFor(Millis(600));
      cluster.SetIsolated(paused, true);
      cluster.RunFor(Millis(4400));
      cluster.SetIsolated(paused, false);
      cluster.upstreams().behavior({70, 0, 0, 0}).run_time = Millis(9000);
      cluster.Submit(cluster.Leader(), OneStepJob(70, 1, 1000));
      cluster.RunFor(Millis(200));
      BOOST_REQUIRE(cluster.accepted(70));
      cluster.Cancel(paused, 70);
      cluster.RunFor(Millis(1));
      cluster.Resume(paused);
      cluster.RunFor(Millis(4000));
      BOOST_TEST(cluster.cancelled(70));
      BOOST_TEST(cluster.Violations().empty());
    }
  }
}

/// Guards against losing accepted jobs when a later append overtakes theirs.
BOOST_AUTO_TEST_CASE(OvertakenAppendLosesNoAcceptedJob) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.store().faults().append_latency = Millis(200);
  cluster.Kill(cluster.Leader());
  cluster.RunFor(Millis(3000));
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(!leader.empty());
  cluster.store().faults().append_request_delays["jobs"] = {Millis(400),
                                                            Millis(100)};
  constexpr JobId kJobs = 6;
  for (JobId id = 1; id <= kJobs; ++id) {
    for (int32_t i = 0; i < 2; ++i) {
      cluster.upstreams().behavior({id, 0, 0, i}).run_time = Millis(20000);
    }
    cluster.Submit(leader, OneStepJob(id, 2, 1000));
    cluster.RunFor(Millis(60));
  }
  cluster.RunFor(Millis(1500));
  cluster.store().faults().append_latency = Millis(4);
  cluster.Kill(leader);
  cluster.RunFor(Millis(4000));
  for (JobId id = 1; id <= kJobs; ++id) {
    if (!cluster.accepted(id)) continue;
    BOOST_TEST(cluster.State(id).has_value(), "accepted but lost: " << id);
  }
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against a job whose record can never be stored blocking all others.
BOOST_AUTO_TEST_CASE(JobTooLargeForStoreDoesNotBlockOthers) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  wire::JobSpec large = OneStepJob(1, 1, 1000);
  large.steps[0].data_rack = std::string(300 << 10, 'r');
  cluster.Submit("entry-1", large);
  cluster.RunFor(Millis(100));
  cluster.Submit("entry-2", OneStepJob(2, 1, 1000));
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.refused(1));
  BOOST_TEST(!cluster.upstreams().HasRun(1));
  BOOST_TEST(cluster.accepted(2));
  BOOST_TEST(cluster.RunUntilFinal(2, Millis(3000)));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// The store is unavailable: a new job is refused and must then never run.
/// Callers get the refusal within the entry's own time limit instead of at
/// their deadline.
BOOST_AUTO_TEST_CASE(JobRefusedDuringStoreOutageNeverRuns) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.store().faults().down = true;
  // The leader detects the outage by the first unanswered append.
  cluster.Submit("entry-1", OneStepJob(30, 1, 1000));
  cluster.RunFor(Millis(1000));
  cluster.Submit("entry-1", OneStepJob(31, 1, 1000));
  cluster.RunFor(Millis(1500));
  BOOST_TEST(cluster.refused(31));
  cluster.store().faults().down = false;
  cluster.RunFor(Millis(10000));
  BOOST_TEST(!cluster.upstreams().HasRun(31));
  BOOST_TEST(cluster.Violations().empty());
}

/// The store stops responding. A job submitted shortly afterwards waits behind
/// an unanswered append. It was answered "unknown" at its caller's deadline,
/// although no part of it had been sent. It must be refused well before the
/// deadline, may be submitted again, and must never run because of the refused
/// submission alone.
BOOST_AUTO_TEST_CASE(UnsentJobIsRefusedBeforeItsDeadline) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.store().faults().down = true;
  cluster.Submit("entry-1", OneStepJob(32, 1, 1000));
  cluster.RunFor(Millis(100));
  cluster.Submit("entry-1", OneStepJob(33, 1, 1000));
  cluster.Submit("entry-2", OneStepJob(34, 1, 1000));
  cluster.RunFor(Millis(1300));
  BOOST_TEST(cluster.refused(33));
  BOOST_TEST(cluster.refused(34));
  cluster.store().faults().down = false;
  cluster.RunFor(Millis(2000));
  cluster.Submit("entry-3", OneStepJob(34, 1, 1000));
  BOOST_TEST(cluster.RunUntilFinal(34, Millis(10000)));
  BOOST_TEST(!cluster.upstreams().HasRun(33));
  BOOST_TEST(cluster.Violations().empty());
}

/// A caller's cancel is never acknowledged although its record is stored: a
/// callback registered along with a job that was withdrawn before it was sent
/// waited for the next append, and none came. The callback must wait only for
/// the append in flight.
BOOST_AUTO_TEST_CASE(WithdrawnJobDoesNotBlockOtherRecords) {
  sim::ManualClock clock;
  StoreFake store(clock);
  sim::ManualExecutor executor(clock);
  StoreClientFake access(store, executor, "entry-0");
  const auto journal = std::make_shared<journal::Journal>(
      executor, access,
      journal::JournalOptions{.table = "jobs", .writer = "leader", .epoch = 1},
      [] {});
  journal->Open([] {});
  clock.RunFor(Millis(100));
  store.faults().down = true;
  journal->Put("first", "a");
  clock.RunFor(Millis(100));
  journal->Put("second", "b");
  bool notified = false;
  journal->WhenStored([&notified](bool stored) { notified = stored; });
  BOOST_TEST(!journal->Withdraw("first"));
  BOOST_TEST(journal->Withdraw("second"));
  clock.RunFor(Millis(3000));
  BOOST_TEST(!notified);
  store.faults().down = false;
  clock.RunFor(Millis(3000));
  BOOST_TEST(notified);
  BOOST_TEST(store.Records("jobs").count("first") == 1U);
  BOOST_TEST(store.Records("jobs").count("second") == 0U);
}

/// A stopping entry accepts a job that it can't forward because it is
/// partitioned from the leader. Its process ended with the call open, and the
/// caller saw the connection break. The entry must give a final answer before
/// it exits.
BOOST_AUTO_TEST_CASE(StoppingEntryAnswersAllAcceptedCalls) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string stopping =
      cluster.Leader() == "entry-0" ? "entry-1" : "entry-0";
  cluster.entry(stopping)->BeginShutdown();
  cluster.RunFor(Millis(3000));
  cluster.SetIsolated(stopping, true);
  cluster.Submit(stopping, OneStepJob(36, 1, 1000));
  cluster.RunFor(Millis(1500));
  BOOST_TEST(cluster.answered(36));
}

/// Callers of a stopping entry see their connections close without an answer.
/// The entry was the leader and resigned while the store was down, so that for
/// a moment there was no leader. The entry to which it then sent a heartbeat
/// still named it as the leader, and it followed itself. The next leader's
/// announcement did not reach it, and it forwarded every later request to
/// itself.
BOOST_AUTO_TEST_CASE(StoppingLeaderFindsItsSuccessor) {
  JobCluster cluster({.seeds = {"entry-0", "entry-1", "entry-2"}});
  cluster.RunFor(Millis(2000));
  const std::string stopping = cluster.Leader();
  cluster.store().faults().down = true;
  cluster.entry(stopping)->BeginShutdown();
  cluster.RunFor(Millis(1300));
  cluster.SetIsolated(stopping, true);
  cluster.store().faults().down = false;
  while (cluster.Leader().empty()) cluster.RunFor(Millis(50));
  BOOST_REQUIRE(cluster.Leader() != stopping);
  cluster.RunFor(Millis(50));
  cluster.SetIsolated(stopping, false);
  cluster.RunFor(Millis(500));
  cluster.Submit(stopping, OneStepJob(61, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_TEST(cluster.accepted(61));
}

/// A caller cancels a job and sees the connection close without an answer. The
/// entry that received the cancel was the leader and was stopped while the
/// cancel's record was on its way to a slow store. When it lost leadership, it
/// dropped all callbacks that waited for the record.
BOOST_AUTO_TEST_CASE(CancelAtResigningLeaderIsAnswered) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  cluster.upstreams().behavior({64, 0, 0, 0}).run_time = Millis(9000);
  cluster.Submit(leader, OneStepJob(64, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_REQUIRE(cluster.accepted(64));
  cluster.store().faults().down = true;
  cluster.Cancel(leader, 64);
  cluster.RunFor(Millis(50));
  cluster.entry(leader)->BeginShutdown();
  cluster.RunFor(Millis(5000));
  BOOST_TEST(cluster.cancel_answered(64));
}

/// A caller cancels a job while the store is unresponsive. The leader kept its
/// own callers waiting for as long as that lasted, far beyond their deadlines.
BOOST_AUTO_TEST_CASE(CancelIsAnsweredWithinItsDeadline) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  cluster.upstreams().behavior({66, 0, 0, 0}).run_time = Millis(9000);
  cluster.Submit(leader, OneStepJob(66, 1, 1000));
  cluster.RunFor(Millis(500));
  cluster.store().faults().down = true;
  for (const auto& name : cluster.names()) {
    if (name != leader) cluster.Kill(name);
  }
  cluster.Cancel(leader, 66);
  cluster.RunFor(Millis(4000));
  BOOST_TEST(cluster.cancel_answered(66));
}

/// A stopping entry accepts a job and holds it until it is too late to forward
/// it. Its leader had died, the next leader's announcement was lost, and an
/// entry that may not claim leadership did not search for another leader
/// either.
BOOST_AUTO_TEST_CASE(StoppingFollowerFindsNewLeaderAfterLeaderFailure) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  const std::string stopping = leader == "entry-0" ? "entry-1" : "entry-0";
  cluster.entry(stopping)->BeginShutdown();
  cluster.SetIsolated(stopping, true);
  cluster.Kill(leader);
  cluster.RunFor(Millis(2000));
  BOOST_REQUIRE(!cluster.Leader().empty());
  cluster.SetIsolated(stopping, false);
  cluster.RunFor(Millis(1000));
  cluster.Submit(stopping, OneStepJob(62, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_TEST(cluster.accepted(62));
}

/// Callers of one entry are refused while it is partitioned from the store,
/// although a leader exists and is reachable. The leader that the entry
/// followed had died, the next leader's only announcement was lost, and the
/// entry kept sending heartbeats to the dead one: only an entry without any
/// leader asked the other entries. The same applies to stopping and serving
/// entries.
BOOST_AUTO_TEST_CASE(FollowerOfDeadLeaderAsksOtherEntries) {
  for (const bool stopping_entry : {false, true}) {
    BOOST_TEST_CONTEXT((stopping_entry ? "stopping" : "serving")) {
      JobCluster cluster({});
      cluster.RunFor(Millis(2000));
      const std::string leader = cluster.Leader();
      const std::string follower = leader == "entry-0" ? "entry-1" : "entry-0";
      if (stopping_entry) cluster.entry(follower)->BeginShutdown();
      cluster.store().faults().partitioned_entries.insert(follower);
      cluster.SetIsolated(follower, true);
      cluster.Kill(leader);
      cluster.RunFor(Millis(2000));
      BOOST_REQUIRE(!cluster.Leader().empty());
      cluster.SetIsolated(follower, false);
      cluster.RunFor(Millis(1000));
      cluster.Submit(follower, OneStepJob(67, 1, 1000));
      cluster.RunFor(Millis(500));
      BOOST_TEST(cluster.accepted(67));
    }
  }
}

/// Callers of a former leader are refused while it is partitioned from the
/// store, although its successor is reachable. The successor took over while
/// the former leader was partitioned from the other entries as well, and its
/// only announcement was lost. Deposed by an upstream, the former leader had
/// dropped its list of followers and had no entry to ask; with no upstream to
/// report the newer term, it continued as the leader.
BOOST_AUTO_TEST_CASE(FormerLeaderDiscoversItsSuccessor) {
  for (const int upstreams : {6, 0}) {
    BOOST_TEST_CONTEXT(upstreams << " upstreams") {
      JobCluster cluster({.upstreams = upstreams});
      cluster.RunFor(Millis(2000));
      const std::string first = cluster.Leader();
      cluster.store().faults().partitioned_entries.insert(first);
      cluster.SetIsolated(first, true);
      cluster.RunFor(Millis(4000));
      BOOST_REQUIRE(cluster.Leader() != first);
      cluster.SetIsolated(first, false);
      cluster.RunFor(Millis(1000));
      BOOST_TEST(!cluster.entry(first)->leadership().leading());
      cluster.Submit(first, OneStepJob(68, 1, 1000));
      cluster.RunFor(Millis(500));
      BOOST_TEST(cluster.accepted(68));
      BOOST_TEST(cluster.Violations().empty());
    }
  }
}

/// An entry starts while it is partitioned from the store, and the first of its
/// seeds, the entries that it may ask for the leader, is down permanently. The
/// entry asked that seed repeatedly and never the next one, and refused its
/// callers all the while.
BOOST_AUTO_TEST_CASE(UnreachableSeedIsSkipped) {
  JobCluster cluster({.seeds = {"entry-0", "entry-1", "entry-2"}});
  cluster.RunFor(Millis(2000));
  cluster.Kill("entry-0");
  cluster.RunFor(Millis(3000));
  BOOST_REQUIRE(!cluster.Leader().empty());
  const std::string started =
      cluster.Leader() == "entry-3" ? "entry-2" : "entry-3";
  cluster.store().faults().partitioned_entries.insert(started);
  cluster.Restart(started);
  cluster.RunFor(Millis(3000));
  cluster.Submit(started, OneStepJob(63, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_TEST(cluster.accepted(63));
}

/// A job starts late while entries are stopped one after another. The leader
/// kept requesting advice through a stopping entry, whose process ended with
/// the call open: the shutdown did not wait for advice in flight, and the entry
/// accepted calls until its process ended. The adviser's work was lost.
BOOST_AUTO_TEST_CASE(StoppingEntryReturnsAdviceInFlight) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string name =
      cluster.Leader() == "entry-0" ? "entry-1" : "entry-0";
  jobentry::JobEntry& stopping = *cluster.entry(name);
  wire::AdviseCall call;
  call.upstreams = {"up-0"};
  call.timeout_ms = 1000;
  std::vector<int32_t> verdicts;
  const auto note = [&verdicts](const wire::AdviseReply& reply) {
    verdicts.push_back(reply.verdict);
  };
  stopping.BeginShutdown();
  stopping.OnAdvise(call, note);
  BOOST_TEST(stopping.advice_in_flight() == 1);
  stopping.StopAccepting();
  // The leader learns at once that it has to ask another entry.
  stopping.OnAdvise(call, note);
  BOOST_REQUIRE_EQUAL(verdicts.size(), 1U);
  BOOST_TEST(verdicts[0] != 0);
  cluster.RunFor(Millis(100));
  BOOST_REQUIRE_EQUAL(verdicts.size(), 2U);
  BOOST_TEST(verdicts[1] == 0);
  BOOST_TEST(stopping.advice_in_flight() == 0);
}

/// Only the leader is partitioned from the store. A job submitted at that
/// moment is not refused: another entry becomes the leader before the caller's
/// deadline.
BOOST_AUTO_TEST_CASE(JobIsAcceptedWhenLeaderLosesTheStore) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string first = cluster.Leader();
  cluster.store().faults().partitioned_entries.insert(first);
  cluster.RunFor(Millis(600));
  const std::string other = first == "entry-0" ? "entry-1" : "entry-0";
  cluster.Submit(other, OneStepJob(35, 1, 1000));
  cluster.RunFor(Millis(3000));
  BOOST_TEST(!cluster.refused(35));
  BOOST_TEST(cluster.accepted(35));
  BOOST_TEST(cluster.Leader() != first);
  BOOST_TEST(cluster.RunUntilFinal(35, Millis(10000)));
  BOOST_TEST(cluster.Violations().empty());
}

/// One member of a gang fails: the other members are aborted, and the whole
/// gang restarts with one attempt number, never as a mixture of two attempts.
BOOST_AUTO_TEST_CASE(FailedGangRestartsAsAWhole) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({40, 0, 0, 1}) = {.run_time = Millis(200),
                                                 .failing_runs = 1};
  cluster.Submit("entry-0", OneStepJob(40, 4, 3000, true));
  BOOST_TEST(cluster.RunUntilFinal(40, Millis(15000)));
  BOOST_TEST((cluster.State(40) == JobState::kComplete));
  BOOST_TEST(cluster.Violations().empty());
}

/// An upstream dies with a task, and the only sign is that it stops responding.
/// The task may start elsewhere only once its lease has certainly expired, and
/// then must.
BOOST_AUTO_TEST_CASE(TaskOfDeadUpstreamRunsElsewhere) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({50, 0, 0, 0}).run_time = Millis(2000);
  cluster.Submit("entry-0", OneStepJob(50, 1, 1000));
  cluster.RunFor(Millis(300));
  const std::string at = cluster.upstreams().UpstreamRunning({50, 0, 0, 0});
  BOOST_REQUIRE(!at.empty());
  cluster.upstreams().faults(at).terminated = true;
  cluster.RunFor(Millis(3500));
  BOOST_TEST(cluster.upstreams().starts() == 1);
  BOOST_TEST(cluster.RunUntilFinal(50, Millis(15000)));
  BOOST_TEST(cluster.upstreams().starts() == 2);
  BOOST_TEST(cluster.Violations().empty());
}

/// The leader is stopped for maintenance: another entry becomes the leader
/// within half a second, without waiting for the election timeout.
BOOST_AUTO_TEST_CASE(ResigningLeaderIsReplacedAtOnce) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string first = cluster.Leader();
  cluster.entry(first)->BeginShutdown();
  cluster.RunFor(Millis(500));
  BOOST_TEST(!cluster.Leader().empty());
  BOOST_TEST(cluster.Leader() != first);
}

/// All machines power on together, and the first process up is on the weakest
/// machine. As the leader, it took 3 s to load the accepted jobs, and callers
/// waited. It must hand over leadership as soon as a fitter entry is known.
BOOST_AUTO_TEST_CASE(LessFitLeaderHandsOver) {
  JobCluster cluster(
      {.entries = 3,
       .fitness = {{"entry-0", 12}, {"entry-1", 12}, {"entry-2", 50}}});
  cluster.Kill("entry-2");
  cluster.RunFor(Millis(3000));
  BOOST_TEST((cluster.Leader() == "entry-0" || cluster.Leader() == "entry-1"));
  cluster.Submit("entry-1", OneStepJob(60, 1, 1000));
  cluster.Restart("entry-2");
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.Leader() == "entry-2");
  BOOST_TEST(cluster.RunUntilFinal(60, Millis(10000)));
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.Leader() == "entry-2");
  BOOST_TEST(cluster.Violations().empty());
}

/// If no fitter entry is known, weak entries replace a dead leader at once.
BOOST_AUTO_TEST_CASE(UnfitEntriesElectLeaderWithoutDelay) {
  JobCluster cluster(
      {.entries = 3,
       .fitness = {{"entry-0", 12}, {"entry-1", 12}, {"entry-2", 12}}});
  cluster.RunFor(Millis(4000));
  const std::string first = cluster.Leader();
  BOOST_REQUIRE(!first.empty());
  cluster.Kill(first);
  cluster.RunFor(Millis(1600));
  BOOST_TEST(!cluster.Leader().empty());
}

}  // namespace mimosarail::jobsim
