#define BOOST_TEST_MODULE upstream_takeover
#include <boost/test/unit_test.hpp>
#include <functional>

#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{2000};
/// Time within which the leader detects that an upstream does not answer.
constexpr Millis kDetectionTime{2500};
/// Duration of a takeover after a kill, including the start of a job.
constexpr Millis kTakeoverTime{2500};

/// Returns how many tasks of the job are running or done.
int StartedTasks(JobCluster& cluster, JobId id, int32_t tasks) {
  int started = 0;
  for (int32_t i = 0; i < tasks; ++i) {
    const TaskId task{id, 0, 0, i};
    if (!cluster.upstreams().UpstreamRunning(task).empty() ||
        cluster.upstreams().DoneRuns(task) > 0) {
      ++started;
    }
  }
  return started;
}

/// Lets an upstream restart with a quarter of its capacity, and checks that no
/// task starts there before its new list entry, also after `takeover`.
void CheckNoWorkBeforeListEntry(
    const std::function<void(JobCluster&)>& takeover) {
  constexpr int32_t kReducedMillicores = 2000;
  constexpr int32_t kTasks = 8;
  JobCluster cluster({.upstreams = 1,
                      .replacement_delay = Millis(600),
                      .restart_under_same_id = true});
  cluster.upstreams().OnReplacement([&](const std::string& id) {
    cluster.upstreams().Resize(id, kReducedMillicores);
  });
  cluster.RunFor(kStartupTime);
  cluster.upstreams().Crash("up-0");
  cluster.Submit("entry-0", OneStepJob(1, kTasks, 1000));
  cluster.RunFor(Millis(2500));
  takeover(cluster);
  BOOST_TEST(cluster.upstreams().starts() == 0);
  wire::UpstreamRecord entry = cluster.ListEntry(0);
  entry.millicores = kReducedMillicores;
  cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(20000)));
  BOOST_TEST((cluster.State(1) == JobState::kComplete));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a takeover that delays tasks which a lost upstream cannot
/// run. The leader has detected the loss of an upstream and dies while half of
/// a job's tasks wait for free capacity. The next leader does not know what the
/// lost upstream runs and has to wait 6 s until its leases have expired. None
/// of the waiting tasks can run there, so they must start without this delay.
BOOST_AUTO_TEST_CASE(LostUpstreamDoesNotDelayUnstartedTasks) {
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  const std::string lost = cluster.upstreams().UpstreamRunning({1, 0, 0, 0});
  BOOST_REQUIRE(!lost.empty());
  cluster.upstreams().faults(lost).unreachable = true;
  cluster.RunFor(kDetectionTime);
  // Five upstreams remain, each with capacity for one of these tasks.
  constexpr int32_t kTasks = 10;
  for (int32_t i = 0; i < kTasks; ++i) {
    cluster.upstreams().behavior({2, 0, 0, i}).run_time = Millis(1000);
  }
  cluster.Submit("entry-0", OneStepJob(2, kTasks, 8000));
  cluster.RunFor(Millis(200));
  BOOST_REQUIRE(StartedTasks(cluster, 2, kTasks) == kTasks / 2);
  cluster.Kill(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  BOOST_TEST(StartedTasks(cluster, 2, kTasks) == kTasks);
  // The task on the unreachable upstream must not start elsewhere before its
  // lease has certainly expired.
  BOOST_TEST(cluster.upstreams().starts() == 1 + kTasks);
  BOOST_TEST(cluster.RunUntilFinal(2, Millis(5000)));
  cluster.RunFor(Millis(8000));
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) != "");
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against an upstream that gets no work after its drain was cancelled.
/// The drain closes the upstream in the store. Tasks must start there again
/// once the list no longer names the upstream as draining.
BOOST_AUTO_TEST_CASE(UpstreamTakesWorkAfterDrainIsCancelled) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(kStartupTime);
  wire::UpstreamRecord entry = cluster.ListEntry(0);
  const std::string domain = entry.failure_domain;
  entry.failure_domain = "draining";
  cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  cluster.RunFor(Millis(600));
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(1000));
  BOOST_TEST(cluster.upstreams().starts() == 0);
  entry.failure_domain = domain;
  cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a second start of a task that is still running. An upstream
/// was unreachable for a while and has recovered, and a job starts there. Then
/// the leader dies and the upstream becomes unreachable again. If the upstream
/// were still stored as closed, the next leader would start the task elsewhere.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamIsAwaitedByNextLeader) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().faults("up-0").unreachable = true;
  cluster.RunFor(kDetectionTime);
  cluster.upstreams().faults("up-0").unreachable = false;
  cluster.RunFor(Millis(1000));
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_REQUIRE(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  cluster.upstreams().faults("up-0").unreachable = true;
  cluster.Kill(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  cluster.upstreams().faults("up-0").unreachable = false;
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.upstreams().starts() == 1);
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against tasks that run on an upstream which is stored as closed. The
/// store is unavailable when an upstream recovers. New tasks must wait until
/// the reopening is stored, since a later leader would otherwise act on the
/// outdated record.
BOOST_AUTO_TEST_CASE(NoTaskStartsBeforeUpstreamRecoveryIsStored) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().faults("up-0").unreachable = true;
  cluster.RunFor(kDetectionTime);
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(200));
  BOOST_REQUIRE(cluster.accepted(1));
  cluster.store().faults().down = true;
  cluster.RunFor(Millis(100));
  cluster.upstreams().faults("up-0").unreachable = false;
  cluster.RunFor(Millis(1500));
  BOOST_TEST(cluster.upstreams().starts() == 0);
  cluster.store().faults().down = false;
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(10000)));
  BOOST_TEST(cluster.upstreams().DoneRuns({1, 0, 0, 0}) == 1);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against placement by outdated capacity. The capacity of all upstreams
/// is reduced to a quarter, and the leader dies. The job table holds the former
/// capacity, which the next leader must not use.
BOOST_AUTO_TEST_CASE(NewLeaderUsesCurrentUpstreamCapacity) {
  constexpr int kUpstreams = 4;
  constexpr int32_t kReducedMillicores = 2000;
  JobCluster cluster({.upstreams = kUpstreams});
  cluster.RunFor(kStartupTime);
  for (int i = 0; i < kUpstreams; ++i) {
    wire::UpstreamRecord entry = cluster.ListEntry(i);
    entry.millicores = kReducedMillicores;
    cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
    cluster.upstreams().Resize(entry.id, kReducedMillicores);
  }
  cluster.Kill(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  constexpr int32_t kTasks = 40;
  cluster.Submit(cluster.Leader(), OneStepJob(1, kTasks, 1000));
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(30000)));
  BOOST_TEST((cluster.State(1) == JobState::kComplete));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against placement by the capacity of a previous incarnation: an
/// upstream restarts smaller under its id, and answers before it is listed.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsNoWorkBeforeItsListEntry) {
  CheckNoWorkBeforeListEntry([](JobCluster&) {});
}

/// The same for the next leader, which finds the restart in the job table.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsNoWorkFromTheNextLeader) {
  CheckNoWorkBeforeListEntry([](JobCluster& cluster) {
    cluster.Kill(cluster.Leader());
    cluster.RunFor(kTakeoverTime);
  });
}

/// Guards against a takeover that waits for a new upstream, which no earlier
/// leader knew, as long as for one that has restarted.
BOOST_AUTO_TEST_CASE(NewUpstreamThatNeverAnswersDelaysNoLoadedJob) {
  constexpr Millis kLeaderLease{2000};
  constexpr Millis kMaxDelay = kTakeoverTime + kLeaderLease + Millis(5000);
  JobCluster cluster({.upstreams = 1, .restart_under_same_id = true});
  cluster.RunFor(kStartupTime);
  cluster.upstreams().faults("up-0").unreachable = true;
  cluster.RunFor(kDetectionTime);
  cluster.Submit("entry-0", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(200));
  BOOST_REQUIRE(cluster.accepted(1));
  cluster.upstreams().faults("up-0").unreachable = false;
  cluster.Kill(cluster.Leader());
  wire::UpstreamRecord entry = cluster.ListEntry(0);
  entry.id = "new-0";
  cluster.upstreams().Add(entry.id, entry.millicores, entry.memory_mb);
  cluster.upstreams().faults(entry.id).unreachable = true;
  entry.incarnation = cluster.upstreams().Incarnation(entry.id);
  cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  cluster.RunFor(kMaxDelay);
  BOOST_TEST(cluster.upstreams().starts() == 1);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against tasks above the capacity of upstreams that shrink while they
/// are busy, in a burst of jobs and over a takeover, and against jobs that wait
/// on after the capacity has grown back.
BOOST_AUTO_TEST_CASE(ShrunkUpstreamsAreNotOverloadedInABurst) {
  constexpr int kUpstreams = 8;
  constexpr int kShrinking = 4;
  constexpr int32_t kMillicores = 8000;
  constexpr int32_t kReducedMillicores = 4400;
  constexpr JobId kJobs = 30;
  JobCluster cluster({.upstreams = kUpstreams, .millicores = kMillicores});
  cluster.RunFor(kStartupTime);
  const auto resize = [&](int32_t millicores) {
    for (int i = 0; i < kShrinking; ++i) {
      wire::UpstreamRecord entry = cluster.ListEntry(i);
      entry.millicores = millicores;
      cluster.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
      cluster.upstreams().Resize(entry.id, millicores);
    }
  };
  const auto submit = [&](JobId first, JobId last) {
    for (JobId id = first; id <= last; ++id) {
      cluster.Submit("entry-0", OneStepJob(id, 4, 1500, id % 5 == 0));
      cluster.RunFor(Millis(50));
    }
  };
  submit(1, kJobs / 3);
  // Tasks in flight may still start by the former capacity.
  cluster.RunFor(Millis(1000));
  resize(kReducedMillicores);
  cluster.RunFor(Millis(400));
  submit(kJobs / 3 + 1, 2 * kJobs / 3);
  cluster.Kill(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  submit(2 * kJobs / 3 + 1, kJobs);
  resize(kMillicores);
  for (JobId id = 1; id <= kJobs; ++id) {
    if (!cluster.accepted(id)) continue;
    BOOST_TEST(cluster.RunUntilFinal(id, Millis(20000)));
    BOOST_TEST((cluster.State(id) == JobState::kComplete));
  }
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

}  // namespace mimosarail::jobsim
