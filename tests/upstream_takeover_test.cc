#define BOOST_TEST_MODULE upstream_takeover
#include <boost/test/unit_test.hpp>

#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cell.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{2000};
/// Time within which the leader detects that an upstream does not answer.
constexpr Millis kDetectionTime{2500};
/// Duration of a takeover after a kill, including the start of a job.
constexpr Millis kTakeoverTime{2500};

/// Returns how many tasks of the job are running or done.
int StartedTasks(JobCell& cell, JobId id, int32_t tasks) {
  int started = 0;
  for (int32_t i = 0; i < tasks; ++i) {
    const TaskId task{id, 0, 0, i};
    if (!cell.upstreams().UpstreamRunning(task).empty() ||
        cell.upstreams().DoneRuns(task) > 0) {
      ++started;
    }
  }
  return started;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a takeover that delays tasks which a lost upstream cannot
/// run. The leader has detected the loss of an upstream and dies while half of
/// a job's tasks wait for free capacity. The next leader does not know what the
/// lost upstream runs and has to wait 6 s until its leases have expired. None
/// of the waiting tasks can run there, so they must start without this delay.
BOOST_AUTO_TEST_CASE(LostUpstreamDoesNotDelayUnstartedTasks) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  cell.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  const std::string lost = cell.upstreams().UpstreamRunning({1, 0, 0, 0});
  BOOST_REQUIRE(!lost.empty());
  cell.upstreams().faults(lost).unreachable = true;
  cell.RunFor(kDetectionTime);
  // Five upstreams remain, each with capacity for one of these tasks.
  constexpr int32_t kTasks = 10;
  for (int32_t i = 0; i < kTasks; ++i) {
    cell.upstreams().behavior({2, 0, 0, i}).run_time = Millis(1000);
  }
  cell.Submit("entry-0", OneStepJob(2, kTasks, 8000));
  cell.RunFor(Millis(200));
  BOOST_REQUIRE(StartedTasks(cell, 2, kTasks) == kTasks / 2);
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeoverTime);
  BOOST_TEST(StartedTasks(cell, 2, kTasks) == kTasks);
  // The task on the unreachable upstream must not start elsewhere before its
  // lease has certainly expired.
  BOOST_TEST(cell.upstreams().starts() == 1 + kTasks);
  BOOST_TEST(cell.RunUntilFinal(2, Millis(5000)));
  cell.RunFor(Millis(8000));
  BOOST_TEST(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) != "");
  BOOST_TEST(cell.Violations().empty());
}

/// Guards against an upstream that gets no work after its drain was cancelled.
/// The drain closes the upstream in the store. Tasks must start there again
/// once the list no longer names the upstream as draining.
BOOST_AUTO_TEST_CASE(UpstreamTakesWorkAfterDrainIsCancelled) {
  JobCell cell({.upstreams = 1});
  cell.RunFor(kStartupTime);
  wire::UpstreamRecord entry = cell.ListEntry(0);
  const std::string domain = entry.failure_domain;
  entry.failure_domain = "draining";
  cell.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  cell.RunFor(Millis(600));
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(1000));
  BOOST_TEST(cell.upstreams().starts() == 0);
  entry.failure_domain = domain;
  cell.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
  BOOST_TEST(cell.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cell.Violations().empty());
}

/// Guards against a second start of a task that is still running. An upstream
/// was unreachable for a while and has recovered, and a job starts there. Then
/// the leader dies and the upstream becomes unreachable again. If the upstream
/// were still stored as closed, the next leader would start the task elsewhere.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamIsAwaitedByNextLeader) {
  JobCell cell({.upstreams = 1});
  cell.RunFor(kStartupTime);
  cell.upstreams().faults("up-0").unreachable = true;
  cell.RunFor(kDetectionTime);
  cell.upstreams().faults("up-0").unreachable = false;
  cell.RunFor(Millis(1000));
  cell.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  BOOST_REQUIRE(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  cell.upstreams().faults("up-0").unreachable = true;
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeoverTime);
  cell.upstreams().faults("up-0").unreachable = false;
  cell.RunFor(Millis(3000));
  BOOST_TEST(cell.upstreams().starts() == 1);
  BOOST_TEST(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  BOOST_TEST(cell.Violations().empty());
}

/// Guards against tasks that run on an upstream which is stored as closed. The
/// store is unavailable when an upstream recovers. New tasks must wait until
/// the reopening is stored, since a later leader would otherwise act on the
/// outdated record.
BOOST_AUTO_TEST_CASE(NoTaskStartsBeforeUpstreamRecoveryIsStored) {
  JobCell cell({.upstreams = 1});
  cell.RunFor(kStartupTime);
  cell.upstreams().faults("up-0").unreachable = true;
  cell.RunFor(kDetectionTime);
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(200));
  BOOST_REQUIRE(cell.accepted(1));
  cell.store().faults().down = true;
  cell.RunFor(Millis(100));
  cell.upstreams().faults("up-0").unreachable = false;
  cell.RunFor(Millis(1500));
  BOOST_TEST(cell.upstreams().starts() == 0);
  cell.store().faults().down = false;
  BOOST_TEST(cell.RunUntilFinal(1, Millis(10000)));
  BOOST_TEST(cell.upstreams().DoneRuns({1, 0, 0, 0}) == 1);
  BOOST_TEST(cell.Violations().empty());
}

/// Guards against placement by outdated capacity. The capacity of all upstreams
/// is reduced to a quarter, and the leader dies. The job table holds the former
/// capacity, which the next leader must not use.
BOOST_AUTO_TEST_CASE(NewLeaderUsesCurrentUpstreamCapacity) {
  constexpr int kUpstreams = 4;
  constexpr int32_t kReducedMillicores = 2000;
  JobCell cell({.upstreams = kUpstreams});
  cell.RunFor(kStartupTime);
  for (int i = 0; i < kUpstreams; ++i) {
    wire::UpstreamRecord entry = cell.ListEntry(i);
    entry.millicores = kReducedMillicores;
    cell.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
    cell.upstreams().Resize(entry.id, kReducedMillicores);
  }
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeoverTime);
  constexpr int32_t kTasks = 40;
  cell.Submit(cell.Leader(), OneStepJob(1, kTasks, 1000));
  BOOST_TEST(cell.RunUntilFinal(1, Millis(30000)));
  BOOST_TEST((cell.State(1) == JobState::kComplete));
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

}  // namespace mimosarail::jobsim
