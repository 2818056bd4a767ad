#define BOOST_TEST_MODULE leader_partition
#include <boost/test/unit_test.hpp>

#include "tests/jobsim/job_cell.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{5000};
/// Time after a new leader's claim from which its predecessor gives no more
/// orders; the new leader relies on this.
constexpr Millis kPredecessorLease{2000};
constexpr Millis kFailoverTimeout{6000};
constexpr Millis kPollInterval{10};

/// Runs until an entry other than `before` leads; false if none does in time.
bool RunUntilNewLeader(JobCell& cell, const std::string& before) {
  const TimePoint limit = cell.clock().now() + kFailoverTimeout;
  while (cell.clock().now() < limit) {
    const std::string leader = cell.Leader();
    if (!leader.empty() && leader != before) return true;
    cell.RunFor(kPollInterval);
  }
  return false;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a leader whose lease is extended by a late answer of the
/// store: the answer confirms leadership only as of the time of the call.
BOOST_AUTO_TEST_CASE(DelayedStoreReplyDoesNotRenewLeadership) {
  constexpr Millis kReplyDelay{1450};
  constexpr int kMoments = 40;  // one renewal period
  constexpr Millis kStep{5};
  for (int moment = 0; moment < kMoments; ++moment) {
    BOOST_TEST_CONTEXT("partitioned after " << moment << " steps") {
      JobCell cell({});
      cell.RunFor(kStartupTime + moment * kStep);
      const std::string old = cell.Leader();
      StoreFaults& store = cell.store().faults();
      store.append_reply_delays[old] = kReplyDelay;
      cell.SetIsolated(old, true);
      std::set<std::string> island{old};
      for (const std::string& id : cell.upstreams().ids()) island.insert(id);
      cell.upstreams().SetPartition(island);
      cell.RunFor(Millis(500));
      cell.Submit(old, OneStepJob(1, 1, 1000));
      cell.RunFor(Millis(50));
      store.partitioned_entries.insert(old);
      BOOST_REQUIRE(RunUntilNewLeader(cell, old));
      cell.RunFor(kPredecessorLease);
      BOOST_TEST(!cell.entry(old)->leadership().lease_valid());
    }
  }
}

/// Guards against a task that runs at two upstreams: a partitioned leader must
/// not keep its lease by the heartbeats of one other entry in its partition
/// while the rest of the cell has another leader.
BOOST_AUTO_TEST_CASE(HeartbeatFromPartitionedEntryDoesNotConfirmLeader) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string old = cell.Leader();
  const TaskId task{1, 0, 0, 0};
  cell.upstreams().behavior(task).run_time = Millis(90000);
  cell.Submit(old, OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  const std::string upstream = cell.upstreams().UpstreamRunning(task);
  BOOST_REQUIRE(!upstream.empty());
  std::string other;
  for (const std::string& name : cell.names()) {
    if (name != old) other = name;
  }
  cell.SetPartition({old, other}, {upstream});
  BOOST_REQUIRE(RunUntilNewLeader(cell, old));
  // The heartbeats do not extend the lease however long the partition lasts.
  cell.RunFor(Millis(60000));
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
  // The part of the cell that reaches the store restarts the task.
  BOOST_TEST(cell.upstreams().Starts(task) == 2);
  cell.SetPartition({}, {});
  cell.RunFor(Millis(5000));
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

/// Guards against a task that runs at two upstreams because a partitioned
/// leader keeps its lease by few heartbeats right after a failover, when only
/// few entries have sent a heartbeat to the new leader.
BOOST_AUTO_TEST_CASE(EntriesWithoutHeartbeatToNewLeaderCountTowardMajority) {
  constexpr Millis kStep{20};
  constexpr int kMoments = 15;  // longer than one heartbeat interval
  for (int moment = 0; moment < kMoments; ++moment) {
    BOOST_TEST_CONTEXT("partitioned after " << moment << " steps") {
      JobCell cell({.entries = 6});
      cell.RunFor(kStartupTime);
      const std::string first = cell.Leader();
      const TaskId task{1, 0, 0, 0};
      cell.upstreams().behavior(task).run_time = Millis(90000);
      cell.Submit(first, OneStepJob(1, 1, 1000));
      cell.RunFor(Millis(500));
      const std::string upstream = cell.upstreams().UpstreamRunning(task);
      BOOST_REQUIRE(!upstream.empty());
      cell.Kill(first);
      BOOST_REQUIRE(RunUntilNewLeader(cell, first));
      const std::string old = cell.Leader();
      cell.RunFor(moment * kStep);
      BOOST_REQUIRE(cell.Leader() == old);
      std::string other;
      for (const std::string& name : cell.names()) {
        if (name != old && name != first) other = name;
      }
      cell.SetPartition({old, other}, {upstream});
      BOOST_REQUIRE(RunUntilNewLeader(cell, old));
      cell.RunFor(Millis(30000));
      BOOST_TEST(!cell.entry(old)->leadership().lease_valid());
      for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
    }
  }
}

/// Guards against a task that runs at two upstreams because a leader keeps its
/// lease by heartbeats while most entries, including the leader, are
/// partitioned from the store.
BOOST_AUTO_TEST_CASE(MajorityPartitionedFromStoreDoesNotConfirmLeader) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string old = cell.Leader();
  const TaskId task{1, 0, 0, 0};
  cell.upstreams().behavior(task).run_time = Millis(90000);
  cell.Submit(old, OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  const std::string upstream = cell.upstreams().UpstreamRunning(task);
  BOOST_REQUIRE(!upstream.empty());
  const std::vector<std::string> names = cell.names();
  std::set<std::string> island(names.begin(), names.end());
  island.erase(names.front() == old ? names.back() : names.front());
  cell.SetPartition(island, {upstream});
  BOOST_REQUIRE(RunUntilNewLeader(cell, old));
  cell.RunFor(Millis(20000));
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

/// Guards against a partitioned leader that reports a job as unknown although
/// its successor, which reaches the store, has accepted the job.
BOOST_AUTO_TEST_CASE(LeaderWithoutStoreDoesNotReportJobAsUnknown) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string old = cell.Leader();
  std::set<std::string> island{old};
  std::string outside;
  for (const std::string& name : cell.names()) {
    if (name == old) continue;
    if (outside.empty()) {
      outside = name;
    } else {
      island.insert(name);
    }
  }
  cell.SetPartition(island, {});
  BOOST_REQUIRE(RunUntilNewLeader(cell, old));
  cell.RunFor(Millis(4000));
  cell.Submit(outside, OneStepJob(2, 1, 1000));
  cell.RunFor(Millis(4000));
  BOOST_REQUIRE(cell.accepted(2));
  std::optional<coordinator::JobVerdict> verdict;
  cell.entry(old)->QueryState(2, Millis(2000), [&](const jobentry::JobAnswer& it) {
    verdict = it.verdict;
  });
  cell.RunFor(Millis(2500));
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict != coordinator::JobVerdict::kNoSuchJob));
}

/// Guards against a leader that loses its lease and its running tasks in a
/// store outage because entries that ended earlier still count toward the
/// majority.
BOOST_AUTO_TEST_CASE(EntriesStoppedBeforeStoreOutageDoNotCountTowardMajority) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string leader = cell.Leader();
  const TaskId task{1, 0, 0, 0};
  cell.upstreams().behavior(task).run_time = Millis(30000);
  cell.Submit(leader, OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  BOOST_REQUIRE(!cell.upstreams().UpstreamRunning(task).empty());
  int stopped = 0;
  for (const std::string& name : cell.names()) {
    if (name == leader || stopped == 2) continue;
    cell.Kill(name);
    ++stopped;
  }
  cell.RunFor(Millis(10000));
  cell.store().faults().down = true;
  cell.RunFor(Millis(12000));
  cell.store().faults().down = false;
  BOOST_TEST(cell.RunUntilFinal(1, Millis(60000)));
  BOOST_TEST(cell.upstreams().Starts(task) == 1);
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

/// Guards against replacing a leader that does not know yet that its claim was
/// stored, since the store's answer is late.
BOOST_AUTO_TEST_CASE(LeaderNotYetAwareOfElectionIsNotReplaced) {
  constexpr Millis kReplyDelay{850};  // below the timeout of a claim
  int claimed = 0;
  for (int number = 0; number < 6; ++number) {
    BOOST_TEST_CONTEXT("store replies to entry " << number << " are late") {
      JobCell cell({.entries = 6});
      cell.RunFor(kStartupTime);
      const std::string first = cell.Leader();
      const int64_t term = cell.entry(first)->leadership().term();
      const std::string claimer = cell.names()[static_cast<size_t>(number)];
      if (claimer == first) continue;
      cell.store().faults().append_reply_delays[claimer] = kReplyDelay;
      cell.Kill(first);
      std::string follower;
      const TimePoint limit = cell.clock().now() + kFailoverTimeout;
      while (follower.empty() && cell.clock().now() < limit) {
        cell.RunFor(kPollInterval);
        for (const std::string& name : cell.names()) {
          if (name == first || name == claimer) continue;
          if (cell.entry(name)->leadership().term() > term) follower = name;
        }
      }
      BOOST_REQUIRE(!follower.empty());
      const wire::Member leader = cell.entry(follower)->leadership().leader();
      if (leader.name != claimer) continue;  // another entry claimed first
      ++claimed;
      cell.store().faults().append_reply_delays.clear();
      cell.RunFor(kStartupTime);
      BOOST_TEST(cell.Leader() == claimer);
      BOOST_TEST(cell.entry(claimer)->leadership().term() == term + 1);
    }
  }
  BOOST_TEST(claimed > 0);
}

/// Guards against replacing a leader because the store becomes gradually slower
/// for all entries.
BOOST_AUTO_TEST_CASE(LeaderWithDelayedRenewalsIsNotReplaced) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string leader = cell.Leader();
  const int64_t term = cell.entry(leader)->leadership().term();
  constexpr Millis kStep{100};
  constexpr Millis kLatest{700};
  for (Millis late = kStep; late <= kLatest; late += kStep) {
    for (const std::string& name : cell.names()) {
      cell.store().faults().append_reply_delays[name] = late;
    }
    cell.RunFor(Millis(2000));
  }
  cell.RunFor(Millis(20000));
  BOOST_TEST(cell.entry(leader)->leadership().term() == term);
}

/// Guards against repeated failovers when the store becomes slow for all
/// entries at once.
BOOST_AUTO_TEST_CASE(SuddenStoreLatencyCausesAtMostOneTakeover) {
  for (const Millis late : {Millis(500), Millis(700)}) {
    BOOST_TEST_CONTEXT("append replies delayed by " << late.count() << " ms") {
      JobCell cell({});
      cell.RunFor(kStartupTime);
      const std::string leader = cell.Leader();
      const int64_t term = cell.entry(leader)->leadership().term();
      for (const std::string& name : cell.names()) {
        cell.store().faults().append_reply_delays[name] = late;
      }
      cell.RunFor(Millis(20000));
      BOOST_TEST(cell.entry(leader)->leadership().term() <= term + 1);
    }
  }
}

/// Guards against a leader that loses its lease and its running tasks in a
/// store outage when one entry dies, although most entries still follow it.
BOOST_AUTO_TEST_CASE(MajorityKeepsLeaderDuringStoreOutage) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string leader = cell.Leader();
  const TaskId task{1, 0, 0, 0};
  cell.upstreams().behavior(task).run_time = Millis(15000);
  cell.Submit(leader, OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  BOOST_REQUIRE(!cell.upstreams().UpstreamRunning(task).empty());
  cell.store().faults().down = true;
  for (const std::string& name : cell.names()) {
    if (name == leader) continue;
    cell.Kill(name);
    break;
  }
  cell.RunFor(Millis(16000));
  cell.store().faults().down = false;
  BOOST_TEST(cell.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cell.upstreams().Starts(task) == 1);
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

}  // namespace mimosarail::jobsim
