#define BOOST_TEST_MODULE scheduling
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "src/coordinator/advice_lanes.h"
#include "src/coordinator/job_table.h"
#include "src/coordinator/placement_pacing.h"
#include "src/libs/rpc/codec.h"
#include "src/scheduling/advice_call_size.h"
#include "src/scheduling/scheduler.h"
#include "tests/scheduler_harness.h"

namespace mimosarail::scheduling {
namespace {

using ports::CallVerdict;
using ports::EndKind;

}  // namespace

/// A step starts only after the one it depends on, and the job is complete
/// after the last one.
BOOST_AUTO_TEST_CASE(StepsRunInOrder) {
  SchedulerHarness harness(1);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(first.starts[0], EndKind::kDone);
  const Orders second = harness.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].task.step == 1);
  harness.EndRun(second.starts[0], EndKind::kDone);
  BOOST_TEST((harness.scheduler.Find(1)->state() == JobState::kComplete));
}

/// A stopped task must keep its resources until its end is reported. Otherwise
/// its upstream would be overcommitted meanwhile.
BOOST_AUTO_TEST_CASE(StoppedTaskHoldsResourcesUntilItsEnd) {
  SchedulerHarness harness(1);
  harness.scheduler.Add(Spec(1, 1, 16000), harness.now, 0);
  const Orders first = harness.Place();
  harness.scheduler.Add(Spec(2, 1, 16000), harness.now, 0);
  Orders cancel;
  BOOST_TEST(harness.scheduler.Cancel(1, harness.now, cancel));
  BOOST_REQUIRE_EQUAL(cancel.stops.size(), 1U);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(first.starts[0], EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// The capacity of an upstream shrinks below what its runs occupy. No task may
/// start there until all runs fit, including those that are being stopped, and
/// a new one fits as well. When the capacity grows again, more tasks start.
BOOST_AUTO_TEST_CASE(ShrunkUpstreamIsNotOvercommitted) {
  SchedulerHarness harness(1);
  harness.scheduler.Add(Spec(1, 4, 4000), harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 4U);
  ports::UpstreamEntry entry = harness.scheduler.pool().at(0).entry;
  entry.capacity.millicores = 8000;
  harness.scheduler.pool().Update(entry);
  harness.scheduler.Add(Spec(2, 2, 4000), harness.now, 0);
  harness.EndRun(first.starts[0], EndKind::kDone);
  BOOST_TEST(harness.Place().starts.empty());
  Orders cancel;
  BOOST_REQUIRE(harness.scheduler.Cancel(1, harness.now, cancel));
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(first.starts[1], EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(first.starts[2], EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.size() == 1U);
  entry.capacity.millicores = 16000;
  harness.scheduler.pool().Update(entry);
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// A task loses one upstream after another, none of them by a crash. It must
/// not fail permanently, and starts again each time.
BOOST_AUTO_TEST_CASE(OnlyCrashesCountAgainstATask) {
  constexpr int kUpstreams = 12;
  constexpr UpstreamLoss kOtherLosses[]{UpstreamLoss::kLeft,
                                        UpstreamLoss::kMaintenance,
                                        UpstreamLoss::kLeasesExpired};
  SchedulerHarness harness(kUpstreams);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  for (int i = 0; i < kUpstreams; ++i) {
    const Orders orders = harness.Place();
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    const UpstreamIndex lost = orders.starts[0].upstream;
    Orders more;
    harness.scheduler.OnAllRunsEnded(lost, kOtherLosses[i % 3], harness.now,
                                     more);
    harness.scheduler.pool().at(lost).reachable = false;
    harness.now += Millis(3000);
  }
  BOOST_TEST(!harness.scheduler.Find(1)->final());
}

/// An upstream answers again under its id after its leases have expired,
/// because it was partitioned. If it crashes later, only the runs at that time
/// count.
BOOST_AUTO_TEST_CASE(RunsFromBeforeAPartitionAreNotCountedAsCrashed) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  const UpstreamIndex partitioned = first.starts[0].upstream;
  Orders more;
  harness.scheduler.OnAllRunsEnded(partitioned, UpstreamLoss::kLeasesExpired,
                                   harness.now, more);
  harness.scheduler.OnRunning(partitioned, {}, harness.now, more);
  harness.scheduler.OnAllRunsEnded(partitioned, UpstreamLoss::kCrashed,
                                   harness.now, more);
  BOOST_TEST(harness.scheduler.Find(1)->task({1, 0, 0, 0}).crashes.empty());
}

/// A long-running task loses one upstream after another by crashes. Once a run
/// has lasted half a minute, earlier crashes must not count against the task
/// any more.
BOOST_AUTO_TEST_CASE(LongRunClearsEarlierCrashes) {
  constexpr int kCrashes = 12;
  SchedulerHarness harness(kCrashes);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps[0].long_running = true;
  harness.scheduler.Add(spec, harness.now, 0);
  for (int i = 0; i < kCrashes; ++i) {
    const Orders orders = harness.Place();
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    harness.now += Millis(31000);
    harness.ReportProgress(orders.starts[0], 100);
    const UpstreamIndex lost = orders.starts[0].upstream;
    Orders more;
    harness.scheduler.OnAllRunsEnded(lost, UpstreamLoss::kCrashed, harness.now,
                                     more);
    harness.scheduler.pool().at(lost).reachable = false;
  }
  BOOST_TEST(!harness.scheduler.Find(1)->final());
}

/// Guards against early crashes that add up although runs between them lasted.
BOOST_AUTO_TEST_CASE(LaterRunClearsCrashesThatItOutlasts) {
  constexpr int kCrashes = 4;
  const TaskId task{1, 0, 0, 0};
  SchedulerHarness harness(2 * kCrashes);
  const auto lose = [&](const StartOrder& start, UpstreamLoss why) {
    Orders orders;
    harness.scheduler.OnAllRunsEnded(start.upstream, why, harness.now, orders);
    harness.scheduler.pool().at(start.upstream).reachable = false;
  };
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps[0].long_running = true;
  harness.scheduler.Add(spec, harness.now, 0);
  for (int i = 0; i < kCrashes; ++i) {
    const Orders crashed = harness.Place();
    BOOST_REQUIRE_EQUAL(crashed.starts.size(), 1U);
    harness.now += Millis(10);
    lose(crashed.starts[0], UpstreamLoss::kCrashed);
    BOOST_TEST(!harness.scheduler.Find(1)->task(task).crashes.empty());
    const Orders lasting = harness.Place();
    BOOST_REQUIRE_EQUAL(lasting.starts.size(), 1U);
    harness.now += Millis(1000);
    harness.ReportProgress(lasting.starts[0], 100);
    BOOST_TEST(harness.scheduler.Find(1)->task(task).crashes.empty());
    lose(lasting.starts[0], UpstreamLoss::kLeft);
  }
  BOOST_TEST(!harness.scheduler.Find(1)->final());
}

/// Guards against a crash that counts against runs which were recorded before
/// the upstream answered again.
BOOST_AUTO_TEST_CASE(RecordedRunsDoNotCountOnceTheirUpstreamAnswers) {
  const TaskId task{1, 0, 0, 0};
  const SuspectRuns recorded{
      {{task, 5}, {.last_seen = Millis(20), .silent_after = Millis(40)}}};
  for (const bool answers : {false, true}) {
    SchedulerHarness harness(1);
    harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
    harness.scheduler.pool().at(0).suspect_runs = recorded;
    Orders orders;
    if (answers) harness.scheduler.OnRunning(0, {}, harness.now, orders);
    harness.scheduler.OnAllRunsEnded(0, UpstreamLoss::kCrashed, harness.now,
                                     orders);
    BOOST_TEST(harness.scheduler.Find(1)->task(task).crashes.empty() ==
               answers);
  }
}

/// Guards against a restart under the same id that does not count against the
/// runs it ended, or that counts against runs which it did not end.
BOOST_AUTO_TEST_CASE(OnlyRunsThatARestartEndedAreEvidence) {
  for (const bool remains : {false, true}) {
    SchedulerHarness harness(1);
    harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
    const Orders started = harness.Place();
    BOOST_REQUIRE_EQUAL(started.starts.size(), 1U);
    const StartOrder& start = started.starts[0];
    RunSet remaining;
    if (remains) remaining.emplace(start.task, start.attempt);
    Orders orders;
    harness.scheduler.OnRestarted(start.upstream, 2, remaining, harness.now,
                                  orders);
    const CrashEvidence& crashes =
        harness.scheduler.Find(1)->task(start.task).crashes;
    BOOST_TEST(crashes.empty() == remains);
    BOOST_TEST(!harness.scheduler.AwaitsFate("up-0"));
  }
}

/// Guards against a job that is shown as complete although its task has to run
/// again: a completion that was not acknowledged ends with the lease.
BOOST_AUTO_TEST_CASE(DoneRunWhoseLeaseExpiredStartsAgain) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder start = harness.Place().starts.at(0);
  Orders orders;
  harness.scheduler.OnAllRunsEnded(start.upstream, UpstreamLoss::kLeasesExpired,
                                   harness.now, orders);
  harness.EndRun(start, EndKind::kDone);
  BOOST_TEST((harness.scheduler.Find(1)->state() != JobState::kComplete));
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// Guards against two runs of a task at once: its run was taken for lost, and
/// is listed again before the task has started again. A stop takes a while.
BOOST_AUTO_TEST_CASE(ListedRunThatWasTakenForLostContinues) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder start = harness.Place().starts.at(0);
  Orders orders;
  harness.scheduler.OnAllRunsEnded(start.upstream, UpstreamLoss::kLeasesExpired,
                                   harness.now, orders);
  BOOST_TEST(harness.ReportProgress(start, 10) == 0U);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(start, EndKind::kDone);
  BOOST_TEST((harness.scheduler.Find(1)->state() == JobState::kComplete));
}

/// Guards against two runs of a task at once: a start that was resolved as not
/// started is executed by the next incarnation, before the task starts again.
BOOST_AUTO_TEST_CASE(LateStartOnTheNextIncarnationContinues) {
  SchedulerHarness harness(1);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  Orders orders;
  harness.scheduler.Place(harness.now, kAmpleBudget, orders);
  const StartOrder start = orders.starts.at(0);
  orders = {};
  harness.scheduler.OnStartReply(start, CallVerdict::kNotSent, harness.now,
                                 orders);
  harness.scheduler.OnRestarted(0, 2, {{start.task, start.attempt}},
                                harness.now, orders);
  BOOST_TEST(harness.ReportProgress(start, 10) == 0U);
  BOOST_TEST(harness.Place().starts.empty());
}

/// Guards against two runs of a task at once: one that was taken for lost is
/// listed while the next start is under way, and is still being stopped when
/// that start is refused.
BOOST_AUTO_TEST_CASE(RunListedDuringTheNextStartIsAwaited) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder earlier = harness.Place().starts.at(0);
  Orders orders;
  harness.scheduler.OnAllRunsEnded(
      earlier.upstream, UpstreamLoss::kLeasesExpired, harness.now, orders);
  harness.scheduler.pool().at(earlier.upstream).reachable = false;
  orders = {};
  harness.scheduler.Place(harness.now, kAmpleBudget, orders);
  const StartOrder refused = orders.starts.at(0);
  BOOST_TEST(harness.ReportProgress(earlier, 10) == 1U);
  harness.scheduler.OnStartReply(refused, CallVerdict::kNoCapacity, harness.now,
                                 orders);
  harness.now += Millis(500);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(earlier, EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// The same for two such runs, of which either ends first.
BOOST_DATA_TEST_CASE(TaskWaitsForTheEndOfAllItsEarlierRuns,
                     boost::unit_test::data::make({false, true}),
                     newer_ends_first) {
  SchedulerHarness harness(3);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  std::vector<StartOrder> earlier;
  Orders orders;
  for (int i = 0; i < 2; ++i) {
    const StartOrder start = harness.Place().starts.at(0);
    harness.scheduler.OnAllRunsEnded(
        start.upstream, UpstreamLoss::kLeasesExpired, harness.now, orders);
    harness.scheduler.pool().at(start.upstream).reachable = false;
    earlier.push_back(start);
  }
  orders = {};
  harness.scheduler.Place(harness.now, kAmpleBudget, orders);
  const StartOrder refused = orders.starts.at(0);
  for (const StartOrder& start : earlier) {
    BOOST_TEST(harness.ReportProgress(start, 10) == 1U);
    harness.scheduler.pool().at(start.upstream).reachable = true;
  }
  harness.scheduler.OnStartReply(refused, CallVerdict::kNoCapacity, harness.now,
                                 orders);
  harness.now += Millis(500);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(earlier[newer_ends_first ? 1 : 0], EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(earlier[newer_ends_first ? 0 : 1], EndKind::kStopped);
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// Guards against starts that are refused for their tickets: the upstream has
/// restarted while a call asked for them.
BOOST_AUTO_TEST_CASE(AdviceThatWasAskedBeforeARestartIsNotUsed) {
  SchedulerHarness harness(1);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.queue.advised = true;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders before = harness.Place();
  BOOST_REQUIRE_EQUAL(before.advice.size(), 1U);
  harness.now += Millis(100);
  Orders orders;
  harness.scheduler.OnRestarted(0, 2, {}, harness.now, orders);
  harness.now += Millis(100);
  ports::Advice advice{.allowed = {{"up-0", "of the previous incarnation"}},
                       .valid = Millis(60000)};
  harness.scheduler.OnAdvice(before.advice[0], &advice, harness.now);
  const Orders after = harness.Place();
  BOOST_TEST(after.starts.empty());
  BOOST_REQUIRE_EQUAL(after.advice.size(), 1U);
  advice.allowed = {{"up-0", "of this incarnation"}};
  harness.scheduler.OnAdvice(after.advice[0], &advice, harness.now);
  const Orders next = harness.Place();
  BOOST_REQUIRE_EQUAL(next.starts.size(), 1U);
  BOOST_TEST(next.starts[0].ticket == "of this incarnation");
}

/// Guards against runs that an earlier version has recorded and that count for
/// more, or less, than is known of them.
BOOST_AUTO_TEST_CASE(RunRecordsOfAnEarlierVersionAreRead) {
  wire::UpstreamRecord record;
  const TaskId task{7, 0, 1, 2};
  for (const bool early : {true, false}) {
    wire::RunRecord& run = record.runs.emplace_back();
    run.task = TaskIdText(task);
    run.attempt = early ? 5 : 6;
    run.early = early;
  }
  const SuspectRuns expected{
      {{task, 5}, {.last_seen = Millis(0), .silent_after = Millis(0)}},
      {{task, 6}, {.silent_after = CrashEvidence::kHarmlessRunTime}}};
  BOOST_TEST((coordinator::RunsFromRecord(record) == expected));
}

/// Another version of the program wrote the record of an unresponsive upstream.
/// Runs that can't be decoded are skipped, and the others count.
BOOST_AUTO_TEST_CASE(UnreadableRunRecordsAreSkipped) {
  wire::UpstreamRecord record;
  const TaskId task{7, 0, 1, 2};
  for (const auto& [name, attempt] :
       {std::pair<std::string, int64_t>{TaskIdText(task), 5},
        {"no task", 5},
        {TaskIdText(task), 0}}) {
    wire::RunRecord& run = record.runs.emplace_back();
    run.task = name;
    run.attempt = attempt;
    run.early = true;
    run.last_seen_ms = 20;
    run.silent_after_ms = 40;
  }
  const SuspectRuns expected{
      {{task, 5}, {.last_seen = Millis(20), .silent_after = Millis(40)}}};
  BOOST_TEST((coordinator::RunsFromRecord(record) == expected));
  BOOST_TEST((coordinator::ToRunRecords(expected).at(0) == record.runs.at(0)));
}

/// An upstream that fails every task at once looks idle and would attract all
/// work. After two consecutive failures it must be in backoff, and retries must
/// go to other upstreams.
BOOST_AUTO_TEST_CASE(FailingUpstreamIsBackedOff) {
  SchedulerHarness harness(3);
  std::map<UpstreamIndex, int> attempts;
  for (JobId id = 1; id <= 40; ++id) {
    harness.scheduler.Add(Spec(id, 1, 1000), harness.now, 0);
    for (const StartOrder& start : harness.Place().starts) {
      ++attempts[start.upstream];
      harness.EndRun(start,
                     start.upstream == 0 ? EndKind::kFailed : EndKind::kDone);
    }
    for (const StartOrder& start : harness.Place().starts) {
      BOOST_TEST(start.upstream != 0U);
      harness.EndRun(start, EndKind::kDone);
    }
    harness.now += Millis(20);
  }
  BOOST_TEST(attempts[0] <= 3);
}

/// A job fails when one of its tasks has failed as often as permitted, and
/// starts nothing more. An end that is reported twice counts once.
BOOST_AUTO_TEST_CASE(AttemptsAreCountedOnce) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const Orders first = harness.Place();
  harness.EndRun(first.starts[0], EndKind::kFailed);
  harness.EndRun(first.starts[0], EndKind::kFailed);
  BOOST_TEST(!harness.scheduler.Find(1)->final());
  const Orders second = harness.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].upstream != first.starts[0].upstream);
  harness.EndRun(second.starts[0], EndKind::kFailed);
  BOOST_TEST((harness.scheduler.Find(1)->state() == JobState::kFailed));
  BOOST_TEST(harness.Place().starts.empty());
}

/// Guards against a job that fails by ends that are no failures, of its current
/// runs or listed late.
BOOST_AUTO_TEST_CASE(OnlyFailuresCountAsAttempts) {
  constexpr int kRuns = 5;
  for (const EndKind kind : {EndKind::kStopped, EndKind::kLeaseExpired,
                             EndKind::kGangFailed, EndKind::kGangIncomplete}) {
    SchedulerHarness harness(4);
    harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
    std::vector<StartOrder> runs;
    for (int i = 0; i < kRuns; ++i) {
      const Orders orders = harness.Place();
      BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
      runs.push_back(orders.starts[0]);
      harness.EndRun(runs.back(), kind);
      harness.now += Millis(1000);
    }
    for (const StartOrder& run : runs) harness.EndRun(run, kind);
    BOOST_TEST(!harness.scheduler.Find(1)->final());
    BOOST_TEST(harness.scheduler.Find(1)->Failures(runs[0].task) == 0);
  }
}

/// Guards against a failure that is counted twice: by the leader that it was
/// reported to, and by the next one, whose upstream lists it again.
BOOST_AUTO_TEST_CASE(FailureReportedToTwoLeadersCountsOnce) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder run = harness.Place().starts.at(0);
  harness.EndRun(run, EndKind::kFailed);
  Scheduler next({.attempt_base = 200000});
  ports::UpstreamEntry entry{.id = "up-0", .pool = "pool"};
  entry.capacity = {.millicores = 16000, .memory_mb = 32000};
  const UpstreamIndex up = next.pool().Update(entry);
  next.pool().at(up).reachable = true;
  next.Load(Spec(1, 1, 1000), harness.scheduler.Find(1)->Progress(),
            harness.now, 0);
  Orders orders;
  const ports::EndedTask end{.number = 1,
                             .task = run.task,
                             .attempt = run.attempt,
                             .kind = EndKind::kFailed};
  next.OnEnd(up, end, harness.now, orders);
  next.ResolveAll(harness.now, orders);
  next.OnEnd(up, end, harness.now, orders);
  BOOST_TEST(!next.Find(1)->final());
  BOOST_TEST(next.Find(1)->Failures(run.task) == 1);
}

/// Guards against a gang that uses up its attempts at once, since each of its
/// members fails or ends with the one that fails.
BOOST_AUTO_TEST_CASE(FailureOfAllMembersOfAGangCountsOnce) {
  for (const EndKind others : {EndKind::kFailed, EndKind::kGangFailed}) {
    SchedulerHarness harness(4);
    wire::JobSpec spec = Spec(1, 4, 10000);
    spec.steps[0].gang = true;
    harness.scheduler.Add(spec, harness.now, 0);
    const Orders orders = harness.Place();
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 4U);
    harness.EndRun(orders.starts[2], EndKind::kFailed);
    for (const StartOrder& member : orders.starts) {
      harness.EndRun(member, others);
    }
    BOOST_TEST(!harness.scheduler.Find(1)->final());
    BOOST_TEST(harness.scheduler.Find(1)->Failures(orders.starts[3].task) == 1);
  }
}

/// The adviser allows only the upstream where the task has failed. When no
/// other upstream is left to ask about, the task must start there again, or it
/// would never run.
BOOST_AUTO_TEST_CASE(RetryReusesFailedUpstreamWhenNoOtherIsAllowed) {
  SchedulerHarness harness(2);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.queue.advised = true;
  harness.scheduler.Add(spec, harness.now, 0);
  const auto answer = [&](const Orders& orders) {
    ports::Advice advice{.allowed = {{"up-0", "t"}}, .valid = Millis(1500)};
    for (const AdviceOrder& ask : orders.advice) {
      harness.scheduler.OnAdvice(ask, &advice, harness.now);
    }
  };
  Orders orders;
  for (int i = 0; i < 5 && orders.starts.empty(); ++i) {
    orders = harness.Place();
    answer(orders);
  }
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
  harness.EndRun(orders.starts[0], EndKind::kFailed);
  bool again = false;
  for (int i = 0; i < 40 && !again; ++i) {
    harness.now += Millis(100);
    const Orders next = harness.Place();
    answer(next);
    again = !next.starts.empty();
  }
  BOOST_TEST(again);
}

/// A gang needs capacity for all its tasks at once. A stream of small jobs of
/// lower priority must not use up the capacity that becomes free for it.
BOOST_AUTO_TEST_CASE(AGangIsNotStarvedBySmallJobs) {
  SchedulerHarness harness(4);
  std::vector<StartOrder> running;
  const auto fill = [&](JobId id) {
    wire::JobSpec spec = Spec(id, 1, 4000);
    spec.queue.priority = 2;
    harness.scheduler.Add(spec, harness.now, 0);
  };
  JobId next = 100;
  for (int i = 0; i < 16; ++i) fill(next++);
  for (const auto& start : harness.Place().starts) running.push_back(start);
  wire::JobSpec gang = Spec(1, 2, 12000);
  gang.steps[0].gang = true;
  gang.queue.priority = 1;
  harness.scheduler.Add(gang, harness.now, 0);
  size_t gang_starts = 0;
  for (int i = 0; i < 30 && gang_starts == 0; ++i) {
    fill(next++);
    BOOST_REQUIRE(!running.empty());
    harness.EndRun(running.front(), EndKind::kDone);
    running.erase(running.begin());
    harness.now += Millis(50);
    for (const auto& start : harness.Place().starts) {
      if (start.task.job == 1) {
        ++gang_starts;
      } else {
        running.push_back(start);
      }
    }
  }
  BOOST_TEST(gang_starts == 2U);
}

/// A gang has failed on the only upstream for which it has a ticket; a task of
/// another job has succeeded there since. Placing avoids that upstream as long
/// as there are others. If requesting advice counted on its ticket
/// nevertheless, the gang would wait forever while other upstreams are never
/// asked about.
BOOST_AUTO_TEST_CASE(FailedGangAsksAboutOtherUpstreams) {
  SchedulerHarness harness(10);
  wire::JobSpec spec = Spec(1, 2, 1000);
  spec.steps[0].gang = true;
  spec.queue.advised = true;
  spec.queue.max_attempts = 4;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders asked = harness.Place();
  BOOST_REQUIRE_EQUAL(asked.advice.size(), 1U);
  const std::string only = asked.advice[0].upstreams[0];
  const ports::Advice advice{.allowed = {{only, "ticket"}},
                             .valid = Millis(60000)};
  harness.scheduler.OnAdvice(asked.advice[0], &advice, harness.now);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  harness.EndRun(first.starts[0], EndKind::kFailed);
  harness.EndRun(first.starts[1], EndKind::kGangFailed);
  harness.scheduler.pool().at(first.starts[0].upstream).health.NoteSuccess();
  harness.now += Millis(500);
  const Orders again = harness.Place();
  BOOST_TEST(again.starts.empty());
  BOOST_REQUIRE_EQUAL(again.advice.size(), 1U);
  for (const std::string& name : again.advice[0].upstreams) {
    BOOST_TEST(name != only);
  }
}

/// A gang needs all of four upstreams, which appear one after the other, and an
/// advice call takes about half as long as a ticket is valid. If each ticket
/// were renewed only after it has expired, one would be missing at any moment,
/// and the gang would wait for 20 s and more although there is enough capacity.
/// Once all four upstreams are available, it must start within two calls.
BOOST_AUTO_TEST_CASE(TicketsOfAGangAreRenewedTogether) {
  constexpr Millis kValid{1500};
  constexpr Millis kCall{800};
  constexpr Millis kAppearanceInterval{575};
  constexpr int kUpstreams = 4;
  constexpr Millis kStep{5};
  SchedulerHarness harness(0);
  wire::JobSpec spec = Spec(1, kUpstreams, 10000);
  spec.steps[0].gang = true;
  spec.queue.advised = true;
  spec.queue.advice_base_ms = kCall.count();
  harness.scheduler.Add(spec, harness.now, 0);
  const TimePoint begin = harness.now;
  std::vector<std::pair<TimePoint, AdviceOrder>> calls;
  size_t started = 0;
  int available = 0;
  while (started == 0 && harness.now - begin < Millis(20000)) {
    harness.now += kStep;
    if (available < kUpstreams &&
        harness.now - begin >= available * kAppearanceInterval) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(available++);
      entry.pool = "pool";
      entry.capacity = {.millicores = 16000, .memory_mb = 32000};
      harness.scheduler.pool()
          .at(harness.scheduler.pool().Update(entry))
          .reachable = true;
    }
    std::erase_if(calls, [&](const auto& call) {
      if (call.first > harness.now) return false;
      ports::Advice advice{.valid = kValid};
      for (const std::string& name : call.second.upstreams) {
        advice.allowed.push_back({name, "ticket"});
      }
      harness.scheduler.OnAdvice(call.second, &advice, harness.now);
      return true;
    });
    const Orders orders = harness.Place();
    for (const AdviceOrder& order : orders.advice) {
      calls.emplace_back(harness.now + kCall, order);
    }
    started = orders.starts.size();
  }
  BOOST_TEST(started == static_cast<size_t>(kUpstreams));
  const auto took = std::chrono::duration_cast<Millis>(harness.now - begin);
  BOOST_TEST_MESSAGE("started after " << took.count() << " ms");
  // The last upstream and both answers are each noticed one step later.
  BOOST_TEST(took <=
             (kUpstreams - 1) * kAppearanceInterval + 2 * kCall + 3 * kStep);
}

/// A member of a gang could not be started. The others must be stopped. When
/// they have ended, the gang restarts with a higher attempt number.
BOOST_AUTO_TEST_CASE(PartiallyStartedGangIsStoppedAndRestarted) {
  SchedulerHarness harness(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  harness.scheduler.Add(spec, harness.now, 0);
  Orders orders;
  harness.scheduler.Place(harness.now, kAmpleBudget, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 2U);
  Orders more;
  harness.scheduler.OnStartReply(orders.starts[0], CallVerdict::kDone,
                                 harness.now, more);
  harness.scheduler.OnStartReply(orders.starts[1], CallVerdict::kNotSent,
                                 harness.now, more);
  BOOST_REQUIRE_EQUAL(more.stops.size(), 1U);
  BOOST_TEST(harness.Place().starts.empty());
  harness.EndRun(orders.starts[0], EndKind::kStopped);
  const Orders restarted = harness.Place();
  BOOST_REQUIRE_EQUAL(restarted.starts.size(), 2U);
  BOOST_TEST(restarted.starts[0].attempt == restarted.starts[1].attempt);
  BOOST_TEST(restarted.starts[0].attempt > orders.starts[0].attempt);
}

/// The percentage of a task does not change any more. The task would occupy its
/// resources forever, so it must be stopped and run elsewhere. This does not
/// count as a failure of the task.
BOOST_AUTO_TEST_CASE(StalledTaskIsMoved) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder start = harness.Place().starts.at(0);
  BOOST_TEST(harness.ReportProgress(start, 10) == 0U);
  harness.now += Millis(1000);
  BOOST_TEST(harness.ReportProgress(start, 20) == 0U);
  harness.now += Millis(1400);
  BOOST_TEST(harness.ReportProgress(start, 20) == 0U);
  harness.now += Millis(200);
  BOOST_TEST(harness.ReportProgress(start, 20) == 1U);
  harness.EndRun(start, EndKind::kStopped);
  const Orders again = harness.Place();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 1U);
  BOOST_TEST(again.starts[0].upstream != start.upstream);
}

/// Guards against a run that is stopped as stalled, and an upstream that gets
/// no starts for it, because the upstream was paused or cut off for a while.
BOOST_AUTO_TEST_CASE(TaskOfPausedUpstreamIsNotTakenForStalled) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder start = harness.Place().starts.at(0);
  BOOST_TEST(harness.ReportProgress(start, 10) == 0U);
  harness.now += Millis(500);
  BOOST_TEST(harness.ReportProgress(start, 20) == 0U);
  harness.now += Millis(200);
  harness.scheduler.pool().SetReachable(start.upstream, false, harness.now);
  harness.now += Millis(3000);
  BOOST_TEST(harness.ReportProgress(start, 20) == 0U);
  harness.scheduler.pool().SetReachable(start.upstream, true, harness.now);
  BOOST_TEST(!harness.scheduler.pool().at(start.upstream).health.suspect());
  // A task that makes no progress while its upstream answers is still stopped.
  size_t stops = 0;
  for (int i = 0; i < 4; ++i) {
    harness.now += Millis(400);
    stops += harness.ReportProgress(start, 20);
  }
  BOOST_TEST(stops == 1U);
}

/// A job is cancelled while it waits. The next pass must start no task of it,
/// although there is free capacity.
BOOST_AUTO_TEST_CASE(ACancelledJobLeavesTheQueue) {
  SchedulerHarness harness(1);
  harness.scheduler.Add(Spec(1, 2, 1000), harness.now, 0);
  Orders orders;
  BOOST_TEST(harness.scheduler.Cancel(1, harness.now, orders));
  BOOST_TEST(harness.Place().starts.empty());
  BOOST_TEST(harness.scheduler.waiting_steps() == 0);
}

/// An upstream reports a run of an unknown job. The run is ordered to stop upon
/// the first report and marked as orphaned once. The stop is repeated while the
/// run is still reported: not upon each report, but sooner if the stop may have
/// been lost.
BOOST_AUTO_TEST_CASE(UnknownRunIsStoppedAndReportedOnce) {
  SchedulerHarness harness(1);
  const ports::RunningTask run{.task = {77, 0, 0, 0}, .attempt = 3};
  int stops = 0;
  int orphaned = 0;
  const auto report = [&](Millis later) {
    harness.now += later;
    Orders orders;
    harness.scheduler.OnRunning(0, {run}, harness.now, orders);
    for (const StopOrder& stop : orders.stops) {
      ++stops;
      orphaned += stop.orphaned ? 1 : 0;
      BOOST_TEST((stop.reason == StopReason::kUnknownJob));
    }
  };
  report(Millis(0));
  BOOST_TEST(stops == 1);
  BOOST_TEST(orphaned == 1);
  for (int i = 0; i < 11; ++i) report(Millis(100));
  BOOST_TEST(stops == 1);
  report(Millis(100));
  BOOST_TEST(stops == 2);
  harness.scheduler.OnStopFailed(0, run.task, run.attempt, harness.now);
  report(Millis(50));
  BOOST_TEST(stops == 2);
  report(Millis(50));
  BOOST_TEST(stops == 3);
  BOOST_TEST(orphaned == 1);
}

/// A start that was abandoned is executed after all, so that an upstream
/// reports another attempt than the current one. Only that attempt must be
/// stopped, also when the task is done. The members of a completed gang are
/// stopped only if their ends are not reported in time.
BOOST_AUTO_TEST_CASE(AnotherAttemptIsStopped) {
  SchedulerHarness harness(2);
  harness.scheduler.Add(Spec(1, 1, 1000), harness.now, 0);
  const StartOrder start = harness.Place().starts.at(0);
  StartOrder other = start;
  other.upstream = 1 - start.upstream;
  other.attempt = start.attempt + 7;
  BOOST_TEST(harness.ReportProgress(start, 10) == 0U);
  BOOST_TEST(harness.ReportProgress(other, 10) == 1U);
  BOOST_TEST(harness.ReportProgress(start, 20) == 0U);
  harness.EndRun(start, EndKind::kDone);
  other.attempt += 1;
  BOOST_TEST(harness.ReportProgress(other, 10) == 1U);

  wire::JobSpec gang = Spec(2, 2, 1000);
  gang.steps[0].gang = true;
  harness.scheduler.Add(gang, harness.now, 0);
  const Orders both = harness.Place();
  BOOST_REQUIRE_EQUAL(both.starts.size(), 2U);
  harness.EndRun(both.starts[0], EndKind::kDone);
  BOOST_TEST(harness.ReportProgress(both.starts[1], 100) == 0U);
  harness.now += Millis(1200);
  BOOST_TEST(harness.ReportProgress(both.starts[1], 100) == 1U);
}

/// A new leader receives a cancel of a job before the upstream has reported
/// what it runs. The run must be stopped upon the first report, with the
/// cancellation as the reason.
BOOST_AUTO_TEST_CASE(RunReportedAfterCancelIsStopped) {
  SchedulerHarness fresh(1);
  Scheduler scheduler{SchedulerOptions{}};
  scheduler.pool().Update(fresh.scheduler.pool().at(0).entry);
  scheduler.Load(Spec(1, 1, 1000), {}, fresh.now, 0);
  Orders orders;
  BOOST_TEST(scheduler.Cancel(1, fresh.now, orders));
  BOOST_TEST(orders.stops.empty());
  fresh.now += Millis(250);
  scheduler.OnRunning(0, {{.task = {1, 0, 0, 0}, .attempt = 1}}, fresh.now,
                      orders);
  BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
  const StopOrder& stop = orders.stops[0];
  BOOST_TEST((stop.reason == StopReason::kCancelled));
  BOOST_TEST(stop.orphaned);
  BOOST_TEST((stop.since_job_end == Millis(250)));
}

/// The members of a gang end together, so that a fast one stays at 100 % until
/// the slowest one is done. If the fast member were treated as stalled, the
/// gang would be broken seconds before its end and restart again and again.
BOOST_AUTO_TEST_CASE(FinishedGangMemberIsNotTakenForStalled) {
  SchedulerHarness harness(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  for (int32_t percent = 10; percent < 50; ++percent) {
    BOOST_TEST(harness.ReportProgress(first.starts[0], 100) == 0U);
    BOOST_TEST(harness.ReportProgress(first.starts[1], percent) == 0U);
    harness.now += Millis(200);
  }
  // Now the slow member is stalled, and that breaks the gang.
  harness.now += Millis(1600);
  BOOST_TEST(harness.ReportProgress(first.starts[1], 49) == 2U);
}

/// A fast member of a gang occupies its capacity until the slowest member ends.
/// If the capacity were predicted to become free when the member's own part is
/// done, another gang would plan to start there and wait in vain.
BOOST_AUTO_TEST_CASE(GangCapacityIsPredictedFromSlowestMember) {
  SchedulerHarness harness(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  harness.ReportProgress(first.starts[0], 10);
  harness.ReportProgress(first.starts[1], 1);
  harness.now += Millis(500);
  harness.ReportProgress(first.starts[1], 11);
  harness.ReportProgress(first.starts[0], 100);
  const auto free_in = [&](Millis span) {
    return harness.scheduler.pool().FreeAt(
        first.starts[0].upstream, harness.now + span)[Dimension::kCores];
  };
  BOOST_TEST(free_in(Millis(4000)) == 6000);
  BOOST_TEST(free_in(Millis(5000)) == 16000);
}

/// Capacity for a gang that has failed must be reserved on upstreams where it
/// has not failed. If it were reserved where the gang has failed and may not
/// start, small jobs would take all other capacity, and the gang would wait
/// forever.
BOOST_AUTO_TEST_CASE(FailedGangWaitsForOtherUpstreams) {
  SchedulerHarness harness(3);
  wire::JobSpec gang = Spec(1, 1, 12000);
  gang.steps[0].tasks = 2;
  gang.steps[0].gang = true;
  gang.steps[0].max_per_upstream = 1;
  gang.queue.priority = 1;
  harness.scheduler.Add(gang, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  const UpstreamIndex failed_upstream = first.starts[0].upstream;
  wire::JobSpec fill = Spec(2, 2, 8000);
  fill.queue.priority = 2;
  harness.scheduler.Add(fill, harness.now, 0);
  std::vector<StartOrder> running = harness.Place().starts;
  BOOST_REQUIRE_EQUAL(running.size(), 2U);
  harness.EndRun(first.starts[1], EndKind::kGangFailed);
  harness.EndRun(first.starts[0], EndKind::kFailed);
  size_t gang_starts = 0;
  JobId next = 3;
  for (int i = 0; i < 60 && gang_starts == 0; ++i) {
    wire::JobSpec small = Spec(next++, 1, 6000);
    small.queue.priority = 2;
    harness.scheduler.Add(small, harness.now, 0);
    harness.now += Millis(100);
    if (!running.empty()) {
      harness.EndRun(running.front(), EndKind::kDone);
      running.erase(running.begin());
    }
    for (const auto& start : harness.Place().starts) {
      if (start.task.job != 1) {
        running.push_back(start);
        continue;
      }
      ++gang_starts;
      BOOST_TEST(start.upstream != failed_upstream);
    }
  }
  BOOST_TEST(gang_starts == 2U);
}

/// A gang waits for capacity on two upstreams, and another upstream has
/// capacity for urgent work. Urgent work goes first, but must start on the
/// other upstream instead of taking what is already free for the gang.
BOOST_AUTO_TEST_CASE(UrgentWorkAvoidsCapacityReservedForGang) {
  SchedulerHarness harness(3);
  for (const UpstreamIndex up : {0U, 1U}) {
    harness.scheduler.pool().at(up).entry.labels = {"a"};
  }
  wire::JobSpec fill = Spec(1, 2, 8000);
  fill.steps[0].label = "a";
  fill.steps[0].max_per_upstream = 1;
  harness.scheduler.Add(fill, harness.now, 0);
  harness.scheduler.Add(Spec(2, 1, 6000), harness.now, 0);
  BOOST_REQUIRE_EQUAL(harness.Place().starts.size(), 3U);
  wire::JobSpec gang = Spec(3, 2, 12000);
  gang.steps[0].gang = true;
  gang.steps[0].label = "a";
  gang.queue.priority = 1;
  harness.scheduler.Add(gang, harness.now, 0);
  BOOST_TEST(harness.Place().starts.empty());
  harness.scheduler.Add(Spec(4, 1, 4000), harness.now, 0);
  const Orders urgent = harness.Place();
  BOOST_REQUIRE_EQUAL(urgent.starts.size(), 1U);
  BOOST_TEST(urgent.starts[0].upstream == 2U);
}

/// Until every upstream has reported to a new leader, the leader starts nothing
/// that an earlier leader may have started. It adopts the runs that are
/// reported.
BOOST_AUTO_TEST_CASE(NewLeaderAdoptsRunningTasks) {
  Scheduler scheduler({.attempt_base = 200000});
  ports::UpstreamEntry entry{.id = "up-0", .pool = "pool"};
  entry.capacity = {.millicores = 16000, .memory_mb = 32000};
  const UpstreamIndex up = scheduler.pool().Update(entry);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  scheduler.Load(Spec(1, 2, 1000), {}, now, 0);
  scheduler.pool().at(up).reachable = true;
  Orders orders;
  scheduler.Place(now, kAmpleBudget, orders);
  BOOST_TEST(orders.starts.empty());
  scheduler.OnRunning(up, {{.task = {1, 0, 0, 0}, .attempt = 100001}}, now,
                      orders);
  scheduler.ResolveAll(now, orders);
  scheduler.Place(now, kAmpleBudget, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
  BOOST_TEST(orders.starts[0].task.index == 1);
  BOOST_TEST(orders.starts[0].attempt > 200000);
}

/// Guards against two runs of a task at once: a new leader has taken the leases
/// of an upstream to have expired, and the upstream lists a run after all.
BOOST_AUTO_TEST_CASE(NewLeaderContinuesWithARunThatItTookForLost) {
  Scheduler scheduler({.attempt_base = 200000});
  ports::UpstreamEntry entry{.id = "up-0", .pool = "pool"};
  entry.capacity = {.millicores = 16000, .memory_mb = 32000};
  const UpstreamIndex up = scheduler.pool().Update(entry);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  scheduler.Load(Spec(1, 1, 1000), {}, now, 0);
  Orders orders;
  scheduler.ResolveAll(now, orders);
  scheduler.pool().at(up).reachable = true;
  scheduler.OnRunning(up, {{.task = {1, 0, 0, 0}, .attempt = 100001}}, now,
                      orders);
  scheduler.Place(now, kAmpleBudget, orders);
  BOOST_TEST(orders.stops.empty());
  BOOST_TEST(orders.starts.empty());
}

/// Two upstreams report one failure each to a new leader, the later failure
/// first. Both must count, or the task would run a third time.
BOOST_AUTO_TEST_CASE(FailuresReportedOutOfOrderBothCount) {
  Scheduler scheduler({.attempt_base = 200000});
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (const char* id : {"up-0", "up-1"}) {
    ports::UpstreamEntry entry{.id = id, .pool = "pool"};
    entry.capacity = {.millicores = 16000, .memory_mb = 32000};
    scheduler.pool().at(scheduler.pool().Update(entry)).reachable = true;
  }
  scheduler.Load(Spec(1, 1, 1000), {}, now, 0);
  Orders orders;
  const TaskId task{1, 0, 0, 0};
  scheduler.OnEnd(1, {.number = 1, .task = task, .attempt = 100002}, now,
                  orders);
  scheduler.OnEnd(0, {.number = 1, .task = task, .attempt = 100001}, now,
                  orders);
  BOOST_TEST((scheduler.Find(1)->state() == JobState::kFailed));
}

/// A failure of an earlier run counts even if a later run was adopted first.
BOOST_AUTO_TEST_CASE(AFailureBeforeAnAdoptedRunCounts) {
  Scheduler scheduler({.attempt_base = 200000});
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (const char* id : {"up-0", "up-1"}) {
    ports::UpstreamEntry entry{.id = id, .pool = "pool"};
    scheduler.pool().at(scheduler.pool().Update(entry)).reachable = true;
  }
  scheduler.Load(Spec(1, 1, 1000), {}, now, 0);
  Orders orders;
  const TaskId task{1, 0, 0, 0};
  scheduler.OnRunning(1, {{.task = task, .attempt = 100002}}, now, orders);
  scheduler.OnEnd(0, {.number = 1, .task = task, .attempt = 100001}, now,
                  orders);
  scheduler.OnEnd(1, {.number = 1, .task = task, .attempt = 100002}, now,
                  orders);
  BOOST_TEST((scheduler.Find(1)->state() == JobState::kFailed));
}

/// An occurrence does not start before its scheduled time, even if there is
/// free capacity.
BOOST_AUTO_TEST_CASE(OccurrencesWaitForTheirTime) {
  SchedulerHarness harness(1);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.occurrences = 2;
  spec.first_due_ms = 5000;
  spec.interval_ms = 1000;
  harness.scheduler.Add(spec, harness.now, 0);
  harness.scheduler.Tick(harness.now, 4999);
  BOOST_TEST(harness.Place().starts.empty());
  harness.scheduler.Tick(harness.now, 5000);
  BOOST_TEST(harness.Place().starts.size() == 1U);
  harness.scheduler.Tick(harness.now, 6000);
  const Orders second = harness.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].task.occurrence == 1);
}

/// Labels, the limit per upstream and draining upstreams are respected.
BOOST_AUTO_TEST_CASE(PlacementConstraintsAreRespected) {
  SchedulerHarness harness(3);
  harness.scheduler.pool().at(0).entry.labels = {"a", "r0"};
  harness.scheduler.pool().at(1).entry.labels = {"a", "r0"};
  harness.scheduler.pool().at(1).entry.draining = true;
  wire::JobSpec spec = Spec(1, 5, 1000);
  spec.steps[0].label = "a";
  spec.steps[0].max_per_upstream = 2;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders orders = harness.Place();
  BOOST_TEST(orders.starts.size() == 2U);
  for (const StartOrder& start : orders.starts) {
    BOOST_TEST(start.upstream == 0U);
  }
}

/// Gangs and other jobs request about 110 % of all cores. Jobs of priority 0 go
/// first: none of them waits longer than 100 ms, and no upstream is ever
/// overcommitted.
BOOST_AUTO_TEST_CASE(UrgentWorkIsServedUnderOverload) {
  SchedulerHarness harness(48);
  struct Running {
    StartOrder start;
    TimePoint until;
  };
  std::vector<Running> running;
  std::map<JobId, TimePoint> accepted_at;
  Millis longest_urgent_wait{0};
  JobId next = 1;
  const auto add = [&](int32_t priority, int32_t tasks, int32_t cores,
                       int32_t ms, bool gang) {
    wire::JobSpec spec = Spec(next, tasks, cores);
    spec.queue.priority = priority;
    spec.steps[0].estimate_ms = ms;
    spec.steps[0].gang = gang;
    accepted_at[next] = harness.now;
    harness.scheduler.Add(spec, harness.now, 0);
    ++next;
  };
  constexpr Millis kStep{20};
  for (int i = 0; i < 1000; ++i) {
    harness.now += kStep;
    if (i % 17 == 0) add(1, 8, 4500, 4000, true);
    if (i % 7 == 0) add(2, 10, 1000, 2200, false);
    add(0, 2, 1400, 800, false);
    std::erase_if(running, [&](const Running& r) {
      if (r.until > harness.now) return false;
      harness.EndRun(r.start, EndKind::kDone);
      return true;
    });
    for (const StartOrder& start : harness.Place().starts) {
      const wire::StepSpec& step =
          harness.scheduler.Find(start.task.job)->step(0);
      running.push_back({start, harness.now + Millis(step.estimate_ms)});
      if (harness.scheduler.Find(start.task.job)->queue().priority != 0) {
        continue;
      }
      longest_urgent_wait = std::max(
          longest_urgent_wait, std::chrono::duration_cast<Millis>(
                                   harness.now - accepted_at[start.task.job]));
    }
    for (const UpstreamIndex up : harness.scheduler.pool().all()) {
      BOOST_REQUIRE(harness.scheduler.pool().at(up).free[Dimension::kCores] >=
                    0);
    }
  }
  BOOST_TEST(longest_urgent_wait.count() <= 100);
}

/// An advice call must allow enough upstreams nine times in ten. If seven of
/// ten upstreams are allowed on average, a call for three tasks names seven. If
/// all are certain to be allowed, it names no more than three.
BOOST_AUTO_TEST_CASE(AdviceCallsSucceedNineTimesInTen) {
  const std::vector<AdviceCandidate> likely(
      40, {.tasks = 1, .allow_probability = 0.7});
  BOOST_TEST(AdviceCallSize(likely, 3, 100) == 7);
  const std::vector<AdviceCandidate> certain(
      40, {.tasks = 1, .allow_probability = 1});
  BOOST_TEST(AdviceCallSize(certain, 3, 100) == 3);
  const std::vector<AdviceCandidate> rare(
      40, {.tasks = 1, .allow_probability = 0.05});
  BOOST_TEST(AdviceCallSize(rare, 20, 100) == 40);
  BOOST_TEST(AdviceCallSize(rare, 20, 30) == 30);
}

/// Calls for urgent work find a free lane while other calls occupy all lanes
/// that are open to them.
BOOST_AUTO_TEST_CASE(UrgentAdviceHasReservedLanes) {
  coordinator::AdviceLanes lanes;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  lanes.SetEntries({"a", "b", "c", "d", "e", "f", "g"}, now);
  int taken = 0;
  while (!lanes.Acquire(1, now).empty()) ++taken;
  BOOST_TEST(taken == 5);
  BOOST_TEST(lanes.Budget(now).any == 0);
  BOOST_TEST(lanes.Budget(now).urgent_only == 2);
  BOOST_TEST(!lanes.Acquire(0, now).empty());
}

/// With 36 lanes, a fixed share reserved for urgent work is too large: other
/// calls wait half a minute for a lane while most reserved lanes are idle. The
/// number of reserved lanes must follow the recent urgent load, up to that
/// share.
BOOST_AUTO_TEST_CASE(ReservedLanesFollowUrgentLoad) {
  coordinator::AdviceLanes lanes;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::vector<std::string> entries;
  for (int i = 0; i < 36; ++i) entries.push_back("entry-" + std::to_string(i));
  lanes.SetEntries(entries, now);
  BOOST_TEST(lanes.Budget(now).urgent_only == 2);
  std::vector<std::string> taken;
  for (int i = 0; i < 6; ++i) taken.push_back(lanes.Acquire(0, now));
  lanes.Budget(now);
  for (const std::string& lane : taken) lanes.Release(lane, false, now);
  now += Millis(1000);
  BOOST_TEST(lanes.Budget(now).urgent_only == 8);
  now += Millis(60000);
  BOOST_TEST(lanes.Budget(now).urgent_only == 3);
  for (int i = 0; i < 36; ++i) lanes.Acquire(0, now);
  BOOST_TEST(lanes.Budget(now).any == 0);
  BOOST_TEST(lanes.Budget(now).urgent_only == 0);
}

/// Failures of long-running tasks must not make the progress record of a job
/// larger than the store accepts.
BOOST_AUTO_TEST_CASE(FailuresOfLongRunningTasksLeaveAJobStorable) {
  constexpr int32_t kTasks = 100;
  // Failures of each task: one a minute for 17 hours.
  constexpr int64_t kFailures = 1000;
  wire::JobSpec spec = Spec(1, kTasks, 100);
  spec.steps[0].long_running = true;
  Job job(spec);
  for (int32_t i = 0; i < kTasks; ++i) {
    for (int64_t n = 1; n <= kFailures; ++n) {
      job.CountFailure({1, 0, 0, i}, 300000 + n * kTasks + i);
    }
  }
  BOOST_TEST(rpc::Encode(job.Progress()).size() <=
             coordinator::kMaxRecordBytes);
}

/// Checkpoints must not make the progress record of a job larger than the store
/// accepts.
BOOST_AUTO_TEST_CASE(CheckpointsOfManyTasksLeaveAJobStorable) {
  Job job(Spec(1, kMaxStepTasks, 100));
  for (int32_t i = 0; i < kMaxStepTasks; ++i) {
    job.MutableTask({1, 0, 0, i}).checkpoint = "00000bb87a21d94b";
  }
  BOOST_TEST(rpc::Encode(job.Progress()).size() <=
             coordinator::kMaxRecordBytes);
}

/// A lane whose call failed is not used for kFailureBackoff, then used again.
BOOST_AUTO_TEST_CASE(FailedAdviceLaneIsBackedOff) {
  coordinator::AdviceLanes lanes;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  lanes.SetEntries({"a"}, now);
  BOOST_TEST(lanes.Acquire(1, now) == "a");
  lanes.Release("a", true, now);
  BOOST_TEST(lanes.Acquire(1, now).empty());
  now += coordinator::AdviceLanes::kFailureBackoff;
  BOOST_TEST(lanes.Acquire(1, now) == "a");
}

/// Guards against placement passes that take the whole control thread.
BOOST_AUTO_TEST_CASE(PlacementPassesLeaveTimeForOtherWork) {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  coordinator::PlacementPacing pacing;
  BOOST_TEST((pacing.DelayAt(start) == coordinator::PlacementPacing::kDelay));
  pacing.NotePass(start, start + Millis(10));
  BOOST_TEST((pacing.DelayAt(start + Millis(10)) == Millis(30)));
  BOOST_TEST((pacing.DelayAt(start + Millis(25)) == Millis(15)));
  BOOST_TEST((pacing.DelayAt(start + Millis(100)) ==
              coordinator::PlacementPacing::kDelay));
  pacing.NotePass(start, start + Millis(900));
  BOOST_TEST((pacing.DelayAt(start + Millis(900)) == Millis(40)));
}

}  // namespace mimosarail::scheduling
