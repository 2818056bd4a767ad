#define BOOST_TEST_MODULE job_memory
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>

#include "tests/scheduler_harness.h"

namespace {

/// Bytes requested by all allocations that are not freed yet.
size_t allocated_bytes = 0;

/// Precedes each allocation and holds its size.
constexpr size_t kHeaderBytes = alignof(std::max_align_t);

}  // namespace

void* operator new(size_t size) {
  void* block = std::malloc(size + kHeaderBytes);
  if (block == nullptr) throw std::bad_alloc();
  *static_cast<size_t*>(block) = size;
  allocated_bytes += size;
  return static_cast<char*>(block) + kHeaderBytes;
}

void operator delete(void* at) noexcept {
  if (at == nullptr) return;
  void* block = static_cast<char*>(at) - kHeaderBytes;
  allocated_bytes -= *static_cast<size_t*>(block);
  std::free(block);
}

void operator delete(void* at, size_t) noexcept { operator delete(at); }

namespace mimosarail::scheduling {
namespace {

constexpr int64_t kHourMs = 3600000;
constexpr int32_t kOccurrences = 1008;
constexpr int64_t kFirstDueMs = 1000;
constexpr size_t kMaxJobBytes = 8 << 10;

wire::JobSpec HourlyJob(JobId id) {
  wire::JobSpec spec = Spec(id, 2, 1400);
  spec.occurrences = kOccurrences;
  spec.first_due_ms = kFirstDueMs;
  spec.interval_ms = kHourMs;
  return spec;
}

int32_t QueuedSteps(const Scheduler& scheduler) {
  return static_cast<int32_t>(scheduler.waiting_steps());
}

}  // namespace

/// Guards against leaders that run out of memory, one after the other, because
/// accepted jobs take memory for occurrences that are due in weeks.
BOOST_AUTO_TEST_CASE(OccurrencesThatAreNotDueTakeNoMemory) {
  SchedulerHarness harness(1);
  constexpr size_t kJobs = 600;
  const size_t before = allocated_bytes;
  for (JobId id = 1; id <= kJobs; ++id) {
    harness.scheduler.Add(HourlyJob(id), harness.now, 0);
  }
  BOOST_TEST(allocated_bytes - before < kJobs * kMaxJobBytes);
}

/// Guards against a job that takes tens of megabytes before any of its tasks
/// has started.
BOOST_AUTO_TEST_CASE(TasksThatWaitTakeNoMemory) {
  SchedulerHarness harness(1);
  wire::JobSpec spec = Spec(1, kMaxStepTasks, 1000000);
  spec.steps.resize(kMaxJobTasks / kMaxStepTasks, spec.steps[0]);
  const size_t before = allocated_bytes;
  harness.scheduler.Add(spec, harness.now, 0);
  BOOST_TEST(allocated_bytes - before < 4 * kMaxJobBytes);
}

/// Guards against a recurring job that takes memory for each occurrence that
/// was missed while no upstream could run it.
BOOST_AUTO_TEST_CASE(MissedOccurrencesTakeLittleMemory) {
  SchedulerHarness harness(0);
  harness.scheduler.Add(HourlyJob(1), harness.now, 0);
  const size_t before = allocated_bytes;
  harness.scheduler.Tick(harness.now, kFirstDueMs + kOccurrences * kHourMs);
  BOOST_TEST(allocated_bytes - before < 4 * kMaxJobBytes);
  BOOST_TEST(QueuedSteps(harness.scheduler) > 0);
}

/// Guards against a new leader that queues all missed occurrences at once as
/// soon as the upstreams have reported what they run.
BOOST_AUTO_TEST_CASE(MissedOccurrencesTakeLittleMemoryAfterTakeover) {
  Scheduler scheduler({});
  const TimePoint now{Millis(1000)};
  scheduler.Load(HourlyJob(1), {}, now, 0);
  const size_t before = allocated_bytes;
  scheduler.Tick(now, kFirstDueMs + kOccurrences * kHourMs);
  Orders orders;
  scheduler.ResolveAll(now, orders);
  scheduler.Tick(now, kFirstDueMs + kOccurrences * kHourMs);
  BOOST_TEST(allocated_bytes - before < 4 * kMaxJobBytes);
  BOOST_TEST(QueuedSteps(scheduler) > 0);
}

/// Guards against occurrences that are forgotten because others of their job
/// were queued when they became due.
BOOST_AUTO_TEST_CASE(EachMissedOccurrenceRuns) {
  SchedulerHarness harness(4);
  constexpr int32_t kMissed = 100;
  wire::JobSpec spec = HourlyJob(1);
  spec.occurrences = kMissed;
  harness.scheduler.Add(spec, harness.now, 0);
  int32_t done = 0;
  for (int pass = 0; pass < kMissed; ++pass) {
    harness.scheduler.Tick(harness.now, kFirstDueMs + kMissed * kHourMs);
    for (const StartOrder& start : harness.Place().starts) {
      harness.EndRun(start, ports::EndKind::kDone);
      ++done;
    }
  }
  BOOST_TEST(done == 2 * kMissed);
  BOOST_TEST((harness.scheduler.Find(1)->state() == JobState::kComplete));
}

/// Guards against jobs that keep memory for each task that they have completed.
BOOST_AUTO_TEST_CASE(TasksThatAreDoneTakeNoMemory) {
  SchedulerHarness harness(20);
  const size_t before = allocated_bytes;
  harness.scheduler.Add(Spec(1, 2000, 100), harness.now, 0);
  int32_t done = 0;
  for (int pass = 0; pass < 200 && done < 1900; ++pass) {
    for (const StartOrder& start : harness.Place().starts) {
      harness.EndRun(start, ports::EndKind::kDone);
      ++done;
    }
    harness.scheduler.TakeChangedJobs();
  }
  BOOST_TEST(done >= 1900);
  BOOST_TEST(allocated_bytes - before < 8 * kMaxJobBytes);
}

/// Guards against a task's failures that grow into a record which the store
/// refuses, or that are forgotten before the job has used its attempts.
BOOST_AUTO_TEST_CASE(ManyFailuresAreCountedInBoundedMemory) {
  constexpr int32_t kFailures = 1000;
  const TaskId id{1, 0, 0, 0};
  Job job(Spec(1, 1, 100));
  for (int64_t attempt = 1; attempt <= kFailures; ++attempt) {
    BOOST_TEST(job.CountFailure(id, attempt));
    BOOST_TEST(!job.CountFailure(id, attempt));
  }
  BOOST_TEST(job.Failures(id) == kFailures);
  BOOST_TEST(job.task(id).failed_attempts.size() < 100);
  Job restored(Spec(1, 1, 100));
  restored.Restore(job.Progress());
  BOOST_TEST(restored.Failures(id) == kFailures);
  BOOST_TEST(!restored.CountFailure(id, kFailures));
}

}  // namespace mimosarail::scheduling
