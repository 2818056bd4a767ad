#define BOOST_TEST_MODULE upstream_takeover
#include <boost/test/unit_test.hpp>

#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cell.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kStartupTime{2000};
/// By then the leader has noticed that an upstream does not answer.
constexpr Millis kNoticed{2500};
/// A take-over after a kill, with the time in which a job starts.
constexpr Millis kTakeOver{2500};

/// How many tasks of the job run or have run to their end.
int Begun(JobCell& cell, JobId id, int32_t tasks) {
  int begun = 0;
  for (int32_t i = 0; i < tasks; ++i) {
    const TaskId task{id, 0, 0, i};
    if (!cell.upstreams().UpstreamRunning(task).empty() ||
        cell.upstreams().DoneRuns(task) > 0) {
      ++begun;
    }
  }
  return begun;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// An upstream is gone, which the leader has seen. Then the leader dies while
/// half of a job's tasks still wait for room. The next leader can't know what
/// the lost upstream runs and has to wait for its leases, 6 s; but none of
/// these tasks can be there, and their caller waits.
BOOST_AUTO_TEST_CASE(LostUpstreamDoesNotDelayUnstartedTasks) {
  JobCell cell({});
  cell.RunFor(kStartupTime);
  cell.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  const std::string lost = cell.upstreams().UpstreamRunning({1, 0, 0, 0});
  BOOST_REQUIRE(!lost.empty());
  cell.upstreams().faults(lost).unreachable = true;
  cell.RunFor(kNoticed);
  // Five upstreams are left, each with room for one of these at a time.
  constexpr int32_t kTasks = 10;
  for (int32_t i = 0; i < kTasks; ++i) {
    cell.upstreams().behavior({2, 0, 0, i}).run_time = Millis(1000);
  }
  cell.Submit("entry-0", OneStepJob(2, kTasks, 8000));
  cell.RunFor(Millis(200));
  BOOST_REQUIRE(Begun(cell, 2, kTasks) == kTasks / 2);
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeOver);
  BOOST_TEST(Begun(cell, 2, kTasks) == kTasks);
  // What runs behind the cut must not start anywhere else before its lease
  // has surely run out.
  BOOST_TEST(cell.upstreams().starts() == 1 + kTasks);
  BOOST_TEST(cell.RunUntilFinal(2, Millis(5000)));
  cell.RunFor(Millis(8000));
  BOOST_TEST(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) != "");
  BOOST_TEST(cell.Violations().empty());
}

/// An upstream was told to drain and is taken back into service. It is closed
/// in the store meanwhile; work must go there again.
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

/// An upstream did not answer for a while and is back. A job starts there; then
/// the leader dies and the upstream is cut off. Were it still marked as closed
/// in the store, the next leader would start the job's task a second time while
/// the first run goes on.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamIsAwaitedByNextLeader) {
  JobCell cell({.upstreams = 1});
  cell.RunFor(kStartupTime);
  cell.upstreams().faults("up-0").unreachable = true;
  cell.RunFor(kNoticed);
  cell.upstreams().faults("up-0").unreachable = false;
  cell.RunFor(Millis(1000));
  cell.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cell.Submit("entry-0", OneStepJob(1, 1, 1000));
  cell.RunFor(Millis(500));
  BOOST_REQUIRE(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  cell.upstreams().faults("up-0").unreachable = true;
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeOver);
  cell.upstreams().faults("up-0").unreachable = false;
  cell.RunFor(Millis(3000));
  BOOST_TEST(cell.upstreams().starts() == 1);
  BOOST_TEST(cell.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  BOOST_TEST(cell.Violations().empty());
}

/// The store is away when an upstream comes back. New work must wait until the
/// store has taken the reopening, or a later leader would trust the old record.
BOOST_AUTO_TEST_CASE(NoTaskStartsBeforeUpstreamRecoveryIsStored) {
  JobCell cell({.upstreams = 1});
  cell.RunFor(kStartupTime);
  cell.upstreams().faults("up-0").unreachable = true;
  cell.RunFor(kNoticed);
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

/// All upstreams shrink to a quarter, and the leader dies. What they could take
/// when they were first seen lies in the store; the next leader must not fill
/// them by that.
BOOST_AUTO_TEST_CASE(NewLeaderUsesCurrentUpstreamCapacity) {
  constexpr int kUpstreams = 4;
  constexpr int32_t kShrunk = 2000;
  JobCell cell({.upstreams = kUpstreams});
  cell.RunFor(kStartupTime);
  for (int i = 0; i < kUpstreams; ++i) {
    wire::UpstreamRecord entry = cell.ListEntry(i);
    entry.millicores = kShrunk;
    cell.store().Put(kUpstreamTable, entry.id, rpc::Encode(entry));
    cell.upstreams().Resize(entry.id, kShrunk);
  }
  cell.Kill(cell.Leader());
  cell.RunFor(kTakeOver);
  constexpr int32_t kTasks = 40;
  cell.Submit(cell.Leader(), OneStepJob(1, kTasks, 1000));
  BOOST_TEST(cell.RunUntilFinal(1, Millis(30000)));
  BOOST_TEST((cell.State(1) == JobState::kComplete));
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

}  // namespace mimosarail::jobsim
