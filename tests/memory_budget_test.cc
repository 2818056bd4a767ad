#define BOOST_TEST_MODULE memory_budget
#include "src/coordinator/memory_budget.h"

#include <boost/test/unit_test.hpp>

#include "src/jobs/job_memory.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::kDefaultMemoryMb;
using coordinator::MemoryBudget;

/// A job that is due in an hour, with a payload and steps of the maximum size
/// and number.
wire::JobSpec LargeWaitingJob(JobId id) {
  wire::JobSpec spec = OneStepJob(id, 1, 10);
  spec.payload = std::string(kMaxPayloadBytes, 'p');
  spec.steps.resize(kMaxJobSteps, spec.steps[0]);
  spec.occurrences = 1;
  spec.first_due_ms = kMaxUnixMs;
  return spec;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against leaders that run out of memory because the jobs that they
/// accept are counted, whatever their size, and against an accepted job that is
/// not answered for after a takeover.
BOOST_AUTO_TEST_CASE(JobsBeyondMemoryAreRefusedAndAcceptedOnesKept) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  MemoryBudget budget;
  budget.SetMachineMemory(0);
  const size_t fitting = budget.bytes() / EstimatedJobBytes(LargeWaitingJob(1));
  const auto jobs = static_cast<JobId>(fitting + 10);
  for (JobId id = 1; id <= jobs; ++id) {
    cluster.Submit("entry-0", LargeWaitingJob(id));
    cluster.RunFor(Millis(100));
  }
  BOOST_TEST(cluster.accepted(1));
  BOOST_TEST(!cluster.accepted(jobs));
  size_t accepted = 0;
  for (JobId id = 1; id <= jobs; ++id) accepted += cluster.accepted(id) ? 1 : 0;
  BOOST_TEST(accepted <= fitting);
  BOOST_TEST(accepted + 2 >= fitting);
  for (const std::string& name : cluster.names()) cluster.Restart(name);
  cluster.RunFor(Millis(5000));
  BOOST_TEST((cluster.State(1) == JobState::kQueued));
}

/// Guards against a budget that does not hold on a machine that does not say
/// how much memory it has.
BOOST_AUTO_TEST_CASE(UnknownMemoryCountsAsSmallest) {
  MemoryBudget unknown;
  unknown.SetMachineMemory(0);
  MemoryBudget smallest;
  smallest.SetMachineMemory(kDefaultMemoryMb);
  MemoryBudget larger;
  larger.SetMachineMemory(2 * kDefaultMemoryMb);
  BOOST_TEST(unknown.bytes() == smallest.bytes());
  BOOST_TEST(larger.bytes() == 2 * smallest.bytes());
}

/// Guards against callers that are told to come back long before a job fits.
BOOST_AUTO_TEST_CASE(RetryFollowsRateOfRelease) {
  MemoryBudget budget;
  const TimePoint start{Millis(1000)};
  constexpr size_t kBytesPerS = 1000;
  constexpr size_t kSeconds = 200;
  for (size_t s = 0; s <= kSeconds; ++s) {
    budget.NoteReleased(s * kBytesPerS, start + std::chrono::seconds(s));
  }
  const Millis time = budget.TimeToRelease(10 * kBytesPerS);
  BOOST_TEST(time.count() >= 9500);
  BOOST_TEST(time.count() <= 10500);
  BOOST_TEST(MemoryBudget().TimeToRelease(1).count() == 60000);
}

}  // namespace mimosarail::jobsim
