#define BOOST_TEST_MODULE partition_fault_injection
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "src/leadership/leader_quorum.h"
#include "src/leadership/leadership.h"
#include "src/leadership/predecessor_leases.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using leadership::LeaderQuorum;
using leadership::PredecessorLeases;

constexpr Millis kStartupTime{5000};
constexpr Millis kFailoverTimeout{6000};
const Millis kMaxStoreOutage = leadership::LeadershipOptions{}.max_store_outage;
/// Leader lease and task lease, with margins for clock drift and polling.
constexpr Millis kLeasesEnd{8000};
const TaskId kTask{1, 0, 0, 0};

uint64_t SeedCount() {
  constexpr uint64_t kDefaultSeedCount = 60;
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

/// Starts a task that runs for longer than the test. Returns its upstream.
std::string StartLongTask(JobCluster& cluster) {
  cluster.upstreams().behavior(kTask).run_time = Millis(90000);
  cluster.Submit(cluster.Leader(), OneStepJob(kTask.job, 1, 1000));
  cluster.RunFor(Millis(500));
  std::string upstream = cluster.upstreams().UpstreamRunning(kTask);
  BOOST_REQUIRE(!upstream.empty());
  return upstream;
}

/// Runs until an entry other than `old_leader` leads. Returns false if none
/// does within kFailoverTimeout.
bool RunUntilNewLeader(JobCluster& cluster, const std::string& old_leader) {
  const TimePoint limit = cluster.clock().now() + kFailoverTimeout;
  while (cluster.clock().now() < limit) {
    const std::string leader = cluster.Leader();
    if (!leader.empty() && leader != old_leader) return true;
    cluster.RunFor(Millis(10));
  }
  return false;
}

/// The entries other than `leader`, at most `count` of them.
std::set<std::string> Others(JobCluster& cluster, const std::string& leader,
                             size_t count) {
  std::set<std::string> out;
  for (const std::string& name : cluster.names()) {
    if (name != leader && out.size() < count) out.insert(name);
  }
  return out;
}

void CheckNoViolations(const JobCluster& cluster) {
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Plays one random schedule: the network splits again and again, each time
/// with the leader and other random entries and upstreams on the side that the
/// store does not answer, while entries restart, pause and are lost. All faults
/// are cleared before its end.
class PartitionSchedule {
 public:
  explicit PartitionSchedule(uint64_t seed)
      : random_(seed), cluster_({.entries = 3 + static_cast<int>(seed % 5)}) {}

  void Play() {
    cluster_.RunFor(kStartupTime);
    constexpr int kSplits = 5;
    for (int i = 0; i < kSplits; ++i) {
      SubmitJobs();
      Split();
      const uint64_t faults = Pick(5);
      for (uint64_t k = 0; k < faults; ++k) {
        cluster_.RunFor(Millis(Pick(3000)));
        InjectFault();
        SubmitJobs();
      }
      cluster_.RunFor(Millis(Pick(15000)));
      if (Chance(80)) cluster_.SetPartition({}, {});
      for (const std::string& name : cluster_.names()) cluster_.Resume(name);
      cluster_.RunFor(Millis(Pick(3000)));
    }
    Heal();
    cluster_.RunFor(Millis(30000));
    CheckNoViolations(cluster_);
    for (const JobId id : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_TEST((state && IsFinal(*state)), "job " << id << " has not ended");
    }
  }

 private:
  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }

  void SubmitJobs() {
    const uint64_t count = 1 + Pick(3);
    for (uint64_t i = 0; i < count; ++i) {
      const JobId id = 1 + jobs_.size();
      const auto tasks = 1 + static_cast<int32_t>(Pick(3));
      for (int32_t k = 0; k < tasks; ++k) {
        cluster_.upstreams().behavior({id, 0, 0, k}).run_time =
            Millis(500 + Pick(12000));
      }
      cluster_.Submit(RandomEntry(), OneStepJob(id, tasks, 1000, Chance(20)));
      jobs_.push_back(id);
    }
  }

  void Split() {
    std::set<std::string> cut;
    const std::string leader = cluster_.Leader();
    if (!leader.empty()) cut.insert(leader);
    for (const std::string& name : cluster_.names()) {
      if (Chance(60)) cut.insert(name);
    }
    std::set<std::string> upstreams;
    for (const std::string& id : cluster_.upstreams().ids()) {
      if (Chance(50)) upstreams.insert(id);
    }
    cluster_.SetPartition(cut, upstreams);
  }

  void InjectFault() {
    switch (Pick(7)) {
      case 0:
        return Split();
      case 6: {
        const auto ids = cluster_.upstreams().ids();
        return cluster_.upstreams().Crash(ids[Pick(ids.size())]);
      }
      case 1:
        return cluster_.Restart(RandomEntry());
      case 2:
        return cluster_.Pause(RandomEntry());
      case 3:
        return cluster_.Kill(RandomEntry());
      case 4:
        cluster_.store().faults().down = Chance(50);
        return;
      default:
        cluster_.store().faults().drop_replies = static_cast<int>(Pick(4));
    }
  }

  void Heal() {
    cluster_.SetPartition({}, {});
    cluster_.store().faults() = {};
    for (const std::string& name : cluster_.names()) {
      cluster_.Resume(name);
      if (cluster_.entry(name) == nullptr) cluster_.Restart(name);
    }
  }

  std::mt19937_64 random_;
  JobCluster cluster_;
  std::vector<JobId> jobs_;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against tasks that run twice, and accepted jobs that never end, when
/// the leader and other entries are cut off from the store.
BOOST_DATA_TEST_CASE(SplitCellRunsNoTaskTwice,
                     boost::unit_test::data::xrange(SeedCount()), seed) {
  PartitionSchedule(seed).Play();
}

/// Guards against a task that runs at two upstreams, whichever entries are on
/// the leader's side of a partition and whatever their number.
BOOST_AUTO_TEST_CASE(EverySplitRunsTaskOnce) {
  for (int entries = 2; entries <= 7; ++entries) {
    for (size_t cut = 0; cut + 1 < static_cast<size_t>(entries); ++cut) {
      BOOST_TEST_CONTEXT(entries << " entries, " << cut
                                 << " partitioned with the leader") {
        JobCluster cluster({.entries = entries});
        cluster.RunFor(kStartupTime);
        const std::string old_leader = cluster.Leader();
        const std::string upstream = StartLongTask(cluster);
        std::set<std::string> partition = Others(cluster, old_leader, cut);
        partition.insert(old_leader);
        cluster.SetPartition(partition, {upstream});
        BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
        cluster.RunFor(kMaxStoreOutage + 2 * kLeasesEnd);
        CheckNoViolations(cluster);
        BOOST_TEST(cluster.upstreams().Starts(kTask) == 2);
        cluster.SetPartition({}, {});
        cluster.RunFor(kStartupTime);
        CheckNoViolations(cluster);
      }
    }
  }
}

/// Guards against a partitioned leader that is confirmed by a restarted entry,
/// which does not know that it has followed the new leader.
BOOST_AUTO_TEST_CASE(RestartedEntryDoesNotConfirmFormerLeader) {
  for (const Millis moment :
       {Millis(100), Millis(400), Millis(1500), Millis(2500), Millis(4000)}) {
    BOOST_TEST_CONTEXT("restarted after " << moment.count() << " ms") {
      JobCluster cluster({.entries = 5});
      cluster.RunFor(kStartupTime);
      const std::string old_leader = cluster.Leader();
      const std::string upstream = StartLongTask(cluster);
      std::set<std::string> partition = Others(cluster, old_leader, 2);
      const std::string moving = *partition.begin();
      partition.erase(moving);
      partition.insert(old_leader);
      cluster.SetPartition(partition, {upstream});
      BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
      cluster.RunFor(moment);
      cluster.Restart(moving);
      partition.insert(moving);
      cluster.SetPartition(partition, {upstream});
      cluster.RunFor(Millis(15000));
      CheckNoViolations(cluster);
    }
  }
}

/// Guards against a second successor that does not know on whom the partitioned
/// leader relies, because the first one has replaced the stored quorum.
BOOST_AUTO_TEST_CASE(SecondSuccessorWaitsForFirstLeader) {
  constexpr Millis kUntilAbsentMembersExpire{9000};
  JobCluster cluster({.entries = 6});
  cluster.RunFor(kStartupTime);
  const std::string first = cluster.Leader();
  const std::string upstream = StartLongTask(cluster);
  std::set<std::string> partition = Others(cluster, first, 3);
  partition.insert(first);
  cluster.SetPartition(partition, {upstream});
  BOOST_REQUIRE(RunUntilNewLeader(cluster, first));
  cluster.RunFor(kUntilAbsentMembersExpire);
  const std::string second = cluster.Leader();
  cluster.Kill(second);
  BOOST_REQUIRE(RunUntilNewLeader(cluster, second));
  cluster.RunFor(kMaxStoreOutage + 2 * kLeasesEnd);
  CheckNoViolations(cluster);
  BOOST_TEST(cluster.upstreams().Starts(kTask) == 2);
}

/// Guards against a leader that relies on a quorum which it has sent, but which
/// the store does not hold: its successor asks the members of an earlier one.
BOOST_AUTO_TEST_CASE(UnstoredQuorumDoesNotConfirmLeader) {
  constexpr Millis kUntilAbsentMembersExpire{9000};
  constexpr Millis kUntilAllFollow{1500};
  constexpr Millis kStep{20};
  constexpr Millis kLastMoment{500};
  for (Millis moment{0}; moment <= kLastMoment; moment += kStep) {
    BOOST_TEST_CONTEXT("partitioned after " << moment.count() << " ms") {
      JobCluster cluster({.entries = 7});
      cluster.RunFor(kStartupTime);
      const std::vector<std::string> names = cluster.names();
      const std::string first = cluster.Leader();
      const std::string upstream = StartLongTask(cluster);
      // The quorum that the first leader stores consists of three entries.
      const std::set<std::string> absent = Others(cluster, first, 4);
      for (const std::string& name : absent) cluster.Kill(name);
      cluster.RunFor(kUntilAbsentMembersExpire);
      const std::string delayed =
          *std::find_if(names.begin(), names.end(), [&](const auto& name) {
            return name != first && absent.count(name) == 0;
          });
      cluster.Kill(first);
      cluster.Pause(delayed);
      for (const std::string& name : absent) cluster.Restart(name);
      BOOST_REQUIRE(RunUntilNewLeader(cluster, first));
      cluster.RunFor(kUntilAllFollow);
      cluster.Resume(delayed);
      cluster.RunFor(moment);
      std::set<std::string> partition = absent;
      partition.insert(cluster.Leader());
      cluster.SetPartition(partition, {upstream});
      cluster.Restart(first);
      cluster.RunFor(kMaxStoreOutage + 2 * kLeasesEnd);
      CheckNoViolations(cluster);
    }
  }
}

/// Guards against a partitioned leader that starts a completed task again: the
/// task's upstream was out of its reach when it completed the task for the new
/// leader, and has crashed and been replaced since.
BOOST_AUTO_TEST_CASE(ReplacedUpstreamDoesNotRestartCompletedTask) {
  JobCluster cluster({.entries = 5});
  cluster.RunFor(kStartupTime);
  const std::string old_leader = cluster.Leader();
  cluster.upstreams().behavior(kTask).run_time = Millis(6000);
  cluster.Submit(old_leader, OneStepJob(kTask.job, 1, 1000));
  cluster.RunFor(Millis(500));
  const std::string upstream = cluster.upstreams().UpstreamRunning(kTask);
  BOOST_REQUIRE(!upstream.empty());
  const std::string other = upstream == "up-1" ? "up-2" : "up-1";
  std::set<std::string> partition = Others(cluster, old_leader, 2);
  partition.insert(old_leader);
  cluster.SetPartition(partition, {other});
  BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
  cluster.RunFor(Millis(8000));
  BOOST_REQUIRE_EQUAL(cluster.upstreams().DoneRuns(kTask), 1);
  cluster.upstreams().Crash(upstream);
  cluster.RunFor(Millis(3500));
  cluster.SetPartition(partition, {other, upstream});
  cluster.RunFor(Millis(10000));
  BOOST_TEST(cluster.upstreams().Starts(kTask) == 1);
  CheckNoViolations(cluster);
}

/// Guards against a task that never runs again because most entries were lost
/// together with its upstream.
BOOST_AUTO_TEST_CASE(LastEntryRestartsLostTasks) {
  JobCluster cluster({.entries = 6});
  cluster.RunFor(kStartupTime);
  const std::string last = cluster.names().front() == cluster.Leader()
                               ? cluster.names().back()
                               : cluster.names().front();
  const std::string upstream = StartLongTask(cluster);
  for (const std::string& name : cluster.names()) {
    if (name != last) cluster.Kill(name);
  }
  cluster.upstreams().faults(upstream).unreachable = true;
  cluster.RunFor(kFailoverTimeout + kMaxStoreOutage + kLeasesEnd);
  BOOST_TEST(cluster.upstreams().Starts(kTask) == 2);
  CheckNoViolations(cluster);
}

/// Guards against running tasks that are lost because the store is unavailable
/// for longer than the leader lease, and against a leader that never gives up.
BOOST_AUTO_TEST_CASE(LeaderOutlastsStoreOutageUpToLimit) {
  JobCluster cluster({.entries = 5});
  cluster.RunFor(kStartupTime);
  const std::string leader = cluster.Leader();
  const std::string upstream = StartLongTask(cluster);
  cluster.store().faults().down = true;
  cluster.RunFor(kMaxStoreOutage - Millis(1000));
  BOOST_TEST(cluster.entry(leader)->leadership().lease_valid());
  BOOST_TEST(cluster.upstreams().UpstreamRunning(kTask) == upstream);
  cluster.RunFor(Millis(2000));
  BOOST_TEST(!cluster.entry(leader)->leadership().lease_valid());
  cluster.store().faults().down = false;
  cluster.RunFor(kStartupTime);
  BOOST_TEST(!cluster.upstreams().UpstreamRunning(kTask).empty());
  CheckNoViolations(cluster);
}

/// Guards against a leader that is confirmed by the smaller of two quorums of
/// which the store may hold either.
BOOST_AUTO_TEST_CASE(QuorumInDoubtIsRequiredToo) {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  LeaderQuorum quorum;
  quorum.BeginTerm("a");
  quorum.OnHeartbeat("b", 1, now);
  BOOST_TEST(!quorum.HasMajority(now, now));
  quorum.OnSent({"a", "b"});
  BOOST_TEST(!quorum.HasMajority(now, now));
  quorum.OnSent({"a", "b", "c", "d", "e"});
  quorum.OnStored();
  quorum.OnSent({"a", "b", "c"});
  BOOST_TEST(!quorum.HasMajority(now, now));
  quorum.OnHeartbeat("c", 1, now);
  BOOST_TEST(quorum.HasMajority(now, now));
  quorum.OnHeartbeat("c", 2, now + Millis(1));
  BOOST_TEST(!quorum.HasMajority(now, now));
  quorum.OnStored();
  BOOST_TEST(quorum.IsStored({"c", "b", "a"}));
  BOOST_TEST(quorum.HasMajority(now, now));
}

/// Guards against a leader that is confirmed by a heartbeat that was on its way
/// for longer than the lease.
BOOST_AUTO_TEST_CASE(HeartbeatCountsFromReplyThatItAnswers) {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  LeaderQuorum quorum;
  quorum.BeginTerm("a");
  quorum.OnSent({"a", "b", "c"});
  quorum.OnStored();
  quorum.OnHeartbeat("b", 1, now - Millis(5000));
  BOOST_TEST(!quorum.HasMajority(now - Millis(2000), now));
  quorum.OnHeartbeat("b", 1, now - Millis(1000));
  BOOST_TEST(quorum.HasMajority(now - Millis(2000), now));
}

/// Guards against a successor that takes tasks over before at least half of the
/// quorum follows it, or from a quorum that it cannot read.
BOOST_AUTO_TEST_CASE(SuccessorNeedsHalfOfStoredQuorum) {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const Millis lease{2000};
  const Millis outage{30000};
  wire::QuorumRecord quorum;
  quorum.members = {"a", "b", "c", "d", "e"};
  quorum.max_store_outage_ms = outage.count();
  PredecessorLeases leases({.leader_lease = lease, .max_store_outage = outage});
  leases.BeginTerm(quorum);
  leases.OnFollower("b", now);
  leases.OnFollower("b", now);
  leases.OnFollower("new", now);
  leases.OnFollower("c", now);
  BOOST_TEST(!leases.lease_end().has_value());
  leases.OnFenced(now);
  BOOST_TEST(!leases.superseded(now + outage));
  BOOST_TEST(leases.superseded(now + 2 * outage));
  leases.OnFollower("d", now + Millis(500));
  BOOST_TEST(leases.superseded(now + Millis(500)));
  BOOST_TEST((leases.lease_end() == now + Millis(500) + lease));
  leases.BeginTerm(std::nullopt);
  leases.OnFollower("b", now);
  leases.OnFenced(now);
  BOOST_TEST(!leases.superseded(now + outage));
  leases.BeginFirstTerm();
  leases.OnFenced(now);
  BOOST_TEST(leases.superseded(now));
}

}  // namespace mimosarail::jobsim
