#define BOOST_TEST_MODULE leader_partition
#include <boost/test/unit_test.hpp>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{5000};
/// Time after a new leader's claim until which its predecessor may give orders.
/// The new leader relies on it.
constexpr Millis kPredecessorLease{2000};
constexpr Millis kFailoverTimeout{6000};
constexpr Millis kPollInterval{10};

/// Runs until an entry other than `old_leader` leads. Returns false if none
/// does within kFailoverTimeout.
bool RunUntilNewLeader(JobCluster& cluster, const std::string& old_leader) {
  const TimePoint limit = cluster.clock().now() + kFailoverTimeout;
  while (cluster.clock().now() < limit) {
    const std::string leader = cluster.Leader();
    if (!leader.empty() && leader != old_leader) return true;
    cluster.RunFor(kPollInterval);
  }
  return false;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a leader whose lease is extended by a late reply of the
/// store: the reply confirms leadership only as of the time of the call.
BOOST_AUTO_TEST_CASE(DelayedStoreReplyDoesNotRenewLeadership) {
  constexpr Millis kReplyDelay{1450};
  constexpr int kSteps = 40;  // one renewal period
  constexpr Millis kStep{5};
  for (int step = 0; step < kSteps; ++step) {
    BOOST_TEST_CONTEXT("partitioned after " << step << " steps") {
      JobCluster cluster({});
      cluster.RunFor(kStartupTime + step * kStep);
      const std::string old_leader = cluster.Leader();
      StoreFaults& store = cluster.store().faults();
      store.append_reply_delays[old_leader] = kReplyDelay;
      cluster.SetIsolated(old_leader, true);
      std::set<std::string> partition{old_leader};
      for (const std::string& id : cluster.upstreams().ids()) {
        partition.insert(id);
      }
      cluster.upstreams().SetPartition(partition);
      cluster.RunFor(Millis(500));
      cluster.Submit(old_leader, OneStepJob(1, 1, 1000));
      cluster.RunFor(Millis(50));
      store.partitioned_entries.insert(old_leader);
      BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
      cluster.RunFor(kPredecessorLease);
      BOOST_TEST(!cluster.entry(old_leader)->leadership().lease_valid());
    }
  }
}

/// Guards against a task that runs at two upstreams because a partitioned
/// leader keeps its lease by the heartbeats of one other entry in its
/// partition, while the rest of the cluster has another leader.
BOOST_AUTO_TEST_CASE(HeartbeatFromPartitionedEntryDoesNotConfirmLeader) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string old_leader = cluster.Leader();
  const TaskId task{1, 0, 0, 0};
  cluster.upstreams().behavior(task).run_time = Millis(90000);
  cluster.Submit(old_leader, OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  const std::string upstream = cluster.upstreams().UpstreamRunning(task);
  BOOST_REQUIRE(!upstream.empty());
  std::string other;
  for (const std::string& name : cluster.names()) {
    if (name != old_leader) other = name;
  }
  cluster.SetPartition({old_leader, other}, {upstream});
  BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
  // The heartbeats must not extend the lease however long the partition lasts.
  cluster.RunFor(Millis(60000));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
  // The part of the cluster that reaches the store restarts the task.
  BOOST_TEST(cluster.upstreams().Starts(task) == 2);
  cluster.SetPartition({}, {});
  cluster.RunFor(Millis(5000));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against a task that runs at two upstreams because a partitioned
/// leader keeps its lease by few heartbeats right after a failover, when only
/// few entries have sent a heartbeat to the new leader.
BOOST_AUTO_TEST_CASE(EntriesWithoutHeartbeatToNewLeaderCountTowardMajority) {
  constexpr Millis kStep{20};
  constexpr int kSteps = 15;  // longer than one heartbeat interval
  for (int step = 0; step < kSteps; ++step) {
    BOOST_TEST_CONTEXT("partitioned after " << step << " steps") {
      JobCluster cluster({.entries = 6});
      cluster.RunFor(kStartupTime);
      const std::string first = cluster.Leader();
      const TaskId task{1, 0, 0, 0};
      cluster.upstreams().behavior(task).run_time = Millis(90000);
      cluster.Submit(first, OneStepJob(1, 1, 1000));
      cluster.RunFor(Millis(500));
      const std::string upstream = cluster.upstreams().UpstreamRunning(task);
      BOOST_REQUIRE(!upstream.empty());
      cluster.Kill(first);
      BOOST_REQUIRE(RunUntilNewLeader(cluster, first));
      const std::string old_leader = cluster.Leader();
      cluster.RunFor(step * kStep);
      BOOST_REQUIRE(cluster.Leader() == old_leader);
      std::string other;
      for (const std::string& name : cluster.names()) {
        if (name != old_leader && name != first) other = name;
      }
      cluster.SetPartition({old_leader, other}, {upstream});
      BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
      cluster.RunFor(Millis(30000));
      BOOST_TEST(!cluster.entry(old_leader)->leadership().lease_valid());
      for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
    }
  }
}

/// Guards against a task that runs at two upstreams because a leader keeps its
/// lease by heartbeats while most entries, including the leader, are
/// partitioned from the store.
BOOST_AUTO_TEST_CASE(MajorityPartitionedFromStoreDoesNotConfirmLeader) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string old_leader = cluster.Leader();
  const TaskId task{1, 0, 0, 0};
  cluster.upstreams().behavior(task).run_time = Millis(90000);
  cluster.Submit(old_leader, OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  const std::string upstream = cluster.upstreams().UpstreamRunning(task);
  BOOST_REQUIRE(!upstream.empty());
  const std::vector<std::string> names = cluster.names();
  std::set<std::string> partition(names.begin(), names.end());
  partition.erase(names.front() == old_leader ? names.back() : names.front());
  cluster.SetPartition(partition, {upstream});
  BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
  cluster.RunFor(Millis(20000));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against a partitioned leader that reports a job as unknown although
/// its successor, which reaches the store, has accepted the job.
BOOST_AUTO_TEST_CASE(LeaderWithoutStoreDoesNotReportJobAsUnknown) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string old_leader = cluster.Leader();
  std::set<std::string> partition{old_leader};
  std::string outside;
  for (const std::string& name : cluster.names()) {
    if (name == old_leader) continue;
    if (outside.empty()) {
      outside = name;
    } else {
      partition.insert(name);
    }
  }
  cluster.SetPartition(partition, {});
  BOOST_REQUIRE(RunUntilNewLeader(cluster, old_leader));
  cluster.RunFor(Millis(4000));
  cluster.Submit(outside, OneStepJob(2, 1, 1000));
  cluster.RunFor(Millis(4000));
  BOOST_REQUIRE(cluster.accepted(2));
  std::optional<coordinator::JobVerdict> verdict;
  cluster.entry(old_leader)
      ->QueryState(
          2, std::nullopt, Millis(2000),
          [&](const jobentry::JobAnswer& it) { verdict = it.verdict; });
  cluster.RunFor(Millis(2500));
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict != coordinator::JobVerdict::kNoSuchJob));
}

/// Guards against a leader that loses its lease and its running tasks in a
/// store outage because entries that ended before it still count toward the
/// majority.
BOOST_AUTO_TEST_CASE(EntriesStoppedBeforeStoreOutageDoNotCountTowardMajority) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string leader = cluster.Leader();
  const TaskId task{1, 0, 0, 0};
  cluster.upstreams().behavior(task).run_time = Millis(30000);
  cluster.Submit(leader, OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_REQUIRE(!cluster.upstreams().UpstreamRunning(task).empty());
  int stopped = 0;
  for (const std::string& name : cluster.names()) {
    if (name == leader || stopped == 2) continue;
    cluster.Kill(name);
    ++stopped;
  }
  cluster.RunFor(Millis(10000));
  cluster.store().faults().down = true;
  cluster.RunFor(Millis(12000));
  cluster.store().faults().down = false;
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(60000)));
  BOOST_TEST(cluster.upstreams().Starts(task) == 1);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against replacing a leader that does not know yet that its claim was
/// stored, because the store's reply is late.
BOOST_AUTO_TEST_CASE(LeaderNotYetAwareOfElectionIsNotReplaced) {
  constexpr Millis kReplyDelay{850};  // below the timeout of a claim
  int claims = 0;
  for (int number = 0; number < 6; ++number) {
    BOOST_TEST_CONTEXT("store replies to entry " << number << " are late") {
      JobCluster cluster({.entries = 6});
      cluster.RunFor(kStartupTime);
      const std::string first = cluster.Leader();
      const int64_t term = cluster.entry(first)->leadership().term();
      const std::string claimer = cluster.names()[static_cast<size_t>(number)];
      if (claimer == first) continue;
      cluster.store().faults().append_reply_delays[claimer] = kReplyDelay;
      cluster.Kill(first);
      std::string follower;
      const TimePoint limit = cluster.clock().now() + kFailoverTimeout;
      while (follower.empty() && cluster.clock().now() < limit) {
        cluster.RunFor(kPollInterval);
        for (const std::string& name : cluster.names()) {
          if (name == first || name == claimer) continue;
          if (cluster.entry(name)->leadership().term() > term) follower = name;
        }
      }
      BOOST_REQUIRE(!follower.empty());
      const wire::Member leader =
          cluster.entry(follower)->leadership().leader();
      if (leader.name != claimer) continue;  // another entry claimed first
      ++claims;
      cluster.store().faults().append_reply_delays.clear();
      cluster.RunFor(kStartupTime);
      BOOST_TEST(cluster.Leader() == claimer);
      BOOST_TEST(cluster.entry(claimer)->leadership().term() == term + 1);
    }
  }
  BOOST_TEST(claims > 0);
}

/// Guards against a takeover when the store becomes gradually slower for all
/// entries.
BOOST_AUTO_TEST_CASE(LeaderWithDelayedRenewalsIsNotReplaced) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string leader = cluster.Leader();
  const int64_t term = cluster.entry(leader)->leadership().term();
  constexpr Millis kStep{100};
  constexpr Millis kMaxDelay{700};
  for (Millis delay = kStep; delay <= kMaxDelay; delay += kStep) {
    for (const std::string& name : cluster.names()) {
      cluster.store().faults().append_reply_delays[name] = delay;
    }
    cluster.RunFor(Millis(2000));
  }
  cluster.RunFor(Millis(20000));
  BOOST_TEST(cluster.entry(leader)->leadership().term() == term);
}

/// Guards against repeated takeovers when the store suddenly becomes slow for
/// all entries.
BOOST_AUTO_TEST_CASE(SuddenStoreLatencyCausesAtMostOneTakeover) {
  for (const Millis delay : {Millis(500), Millis(700)}) {
    BOOST_TEST_CONTEXT("append replies delayed by " << delay.count() << " ms") {
      JobCluster cluster({});
      cluster.RunFor(kStartupTime);
      const std::string leader = cluster.Leader();
      const int64_t term = cluster.entry(leader)->leadership().term();
      for (const std::string& name : cluster.names()) {
        cluster.store().faults().append_reply_delays[name] = delay;
      }
      cluster.RunFor(Millis(20000));
      BOOST_TEST(cluster.entry(leader)->leadership().term() <= term + 1);
    }
  }
}

/// Guards against a leader that loses its lease and its running tasks when an
/// entry dies in a store outage, although most entries still follow the leader.
BOOST_AUTO_TEST_CASE(MajorityKeepsLeaderDuringStoreOutage) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string leader = cluster.Leader();
  const TaskId task{1, 0, 0, 0};
  cluster.upstreams().behavior(task).run_time = Millis(15000);
  cluster.Submit(leader, OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_REQUIRE(!cluster.upstreams().UpstreamRunning(task).empty());
  cluster.store().faults().down = true;
  for (const std::string& name : cluster.names()) {
    if (name == leader) continue;
    cluster.Kill(name);
    break;
  }
  cluster.RunFor(Millis(16000));
  cluster.store().faults().down = false;
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cluster.upstreams().Starts(task) == 1);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

}  // namespace mimosarail::jobsim
