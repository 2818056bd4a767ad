#define BOOST_TEST_MODULE scheduling
#include <boost/test/unit_test.hpp>
#include <map>

#include "src/coordinator/advice_lanes.h"
#include "src/coordinator/job_table.h"
#include "src/libs/rpc/codec.h"
#include "src/scheduling/ask_size.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

using ports::CallVerdict;
using ports::EndKind;

constexpr AdviceBudget kAmpleBudget{.any = 50, .urgent_only = 5};

wire::JobSpec Spec(JobId id, int32_t tasks, int32_t millicores) {
  wire::JobSpec spec;
  spec.id = static_cast<int64_t>(id);
  spec.queue.name = "q";
  spec.queue.pool = "pool";
  spec.queue.max_attempts = 2;
  spec.queue.slack_factor = 2;
  wire::StepSpec step;
  step.tasks = tasks;
  step.millicores = millicores;
  step.memory_mb = 100;
  step.estimate_ms = 1000;
  spec.steps.push_back(step);
  return spec;
}

/// A scheduler over upstreams that carry out every order, with a clock that the
/// test sets.
class SchedulerHarness {
 public:
  explicit SchedulerHarness(int upstreams, int32_t millicores = 16000) {
    for (int i = 0; i < upstreams; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.rack = "r" + std::to_string(i / 8);
      entry.capacity = {.millicores = millicores, .memory_mb = 32000};
      const UpstreamIndex index = s.pool().Update(entry);
      s.pool().at(index).reachable = true;
    }
    Orders none;
    s.ResolveAll(now, none);
  }

  Orders Place(AdviceBudget budget = kAmpleBudget) {
    Orders orders;
    s.Place(now, budget, orders);
    for (const StartOrder& start : orders.starts) {
      Orders more;
      s.OnStartReply(start, CallVerdict::kDone, now, more);
    }
    return orders;
  }
  Orders End(const StartOrder& start, EndKind kind) {
    Orders orders;
    s.OnEnd(start.upstream,
            {.number = ++ends,
             .task = start.task,
             .attempt = start.attempt,
             .kind = kind},
            now, orders);
    return orders;
  }

  /// The upstream reports the progress of a task; returns the number of stops
  /// ordered.
  size_t Report(const StartOrder& start, int32_t percent) {
    Orders orders;
    s.OnRunning(
        start.upstream,
        {{.task = start.task, .attempt = start.attempt, .percent = percent}},
        now, orders);
    return orders.stops.size();
  }

  Scheduler s{SchedulerOptions{}};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int64_t ends = 0;
};

}  // namespace

/// A step starts only after the one it depends on, and the job is complete
/// after the last one.
BOOST_AUTO_TEST_CASE(StepsRunInOrder) {
  SchedulerHarness b(1);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  b.s.Add(spec, b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  BOOST_TEST(b.Place().starts.empty());
  b.End(first.starts[0], EndKind::kDone);
  const Orders second = b.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].task.step == 1);
  b.End(second.starts[0], EndKind::kDone);
  BOOST_TEST((b.s.Find(1)->state() == JobState::kComplete));
}

/// Overcommits an upstream if a stopped task releases its resources before its
/// end is listed.
BOOST_AUTO_TEST_CASE(StoppedTaskHoldsResourcesUntilItsEnd) {
  SchedulerHarness b(1);
  b.s.Add(Spec(1, 1, 16000), b.now, 0);
  const Orders first = b.Place();
  b.s.Add(Spec(2, 1, 16000), b.now, 0);
  Orders cancel;
  BOOST_TEST(b.s.Cancel(1, b.now, cancel));
  BOOST_REQUIRE_EQUAL(cancel.stops.size(), 1U);
  BOOST_TEST(b.Place().starts.empty());
  b.End(first.starts[0], EndKind::kStopped);
  BOOST_TEST(b.Place().starts.size() == 1U);
}

/// Overcommits an upstream whose capacity shrinks below what it runs. Nothing
/// new may start there until all runs fit, including those being stopped; once
/// the capacity grows again, new work starts.
BOOST_AUTO_TEST_CASE(ShrunkUpstreamIsNotOvercommitted) {
  SchedulerHarness b(1);
  b.s.Add(Spec(1, 4, 4000), b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 4U);
  ports::UpstreamEntry entry = b.s.pool().at(0).entry;
  entry.capacity.millicores = 8000;
  b.s.pool().Update(entry);
  b.s.Add(Spec(2, 2, 4000), b.now, 0);
  b.End(first.starts[0], EndKind::kDone);
  BOOST_TEST(b.Place().starts.empty());
  Orders cancel;
  BOOST_REQUIRE(b.s.Cancel(1, b.now, cancel));
  BOOST_TEST(b.Place().starts.empty());
  b.End(first.starts[1], EndKind::kStopped);
  BOOST_TEST(b.Place().starts.empty());
  b.End(first.starts[2], EndKind::kStopped);
  BOOST_TEST(b.Place().starts.size() == 1U);
  entry.capacity.millicores = 16000;
  b.s.pool().Update(entry);
  BOOST_TEST(b.Place().starts.size() == 1U);
}

/// A task loses one upstream after another, none of them by a crash. It must
/// not fail permanently, and starts again each time.
BOOST_AUTO_TEST_CASE(OnlyCrashesCountAgainstATask) {
  constexpr int kUpstreams = 12;
  constexpr UpstreamLoss kOtherLosses[]{UpstreamLoss::kLeft,
                                        UpstreamLoss::kMaintenance,
                                        UpstreamLoss::kLeasesExpired};
  SchedulerHarness b(kUpstreams);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  for (int i = 0; i < kUpstreams; ++i) {
    const Orders orders = b.Place();
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    const UpstreamIndex lost = orders.starts[0].upstream;
    Orders more;
    b.s.OnUpstreamEmpty(lost, kOtherLosses[i % 3], b.now, more);
    b.s.pool().at(lost).reachable = false;
    b.now += Millis(3000);
  }
  BOOST_TEST(!b.s.Find(1)->final());
}

/// An upstream answers again under its id after its leases had expired: it was
/// partitioned. A crash much later must count only against what it runs then.
BOOST_AUTO_TEST_CASE(RunsFromBeforeAPartitionAreNotCountedAsCrashed) {
  SchedulerHarness b(2);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  const UpstreamIndex partitioned = first.starts[0].upstream;
  Orders more;
  b.s.OnUpstreamEmpty(partitioned, UpstreamLoss::kLeasesExpired, b.now, more);
  b.s.OnRunning(partitioned, {}, b.now, more);
  b.s.OnUpstreamEmpty(partitioned, UpstreamLoss::kCrashed, b.now, more);
  BOOST_TEST(b.s.Find(1)->task({1, 0, 0, 0}).crashes.total() == 0U);
}

/// A long-running task is lost with upstreams that crash now and then. Once it
/// has run for half a minute, earlier crashes must not count against it any
/// more.
BOOST_AUTO_TEST_CASE(LongRunClearsEarlierCrashes) {
  constexpr int kCrashes = 12;
  SchedulerHarness b(kCrashes);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps[0].long_running = true;
  b.s.Add(spec, b.now, 0);
  for (int i = 0; i < kCrashes; ++i) {
    const Orders orders = b.Place();
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    b.now += Millis(31000);
    b.Report(orders.starts[0], 100);
    const UpstreamIndex lost = orders.starts[0].upstream;
    Orders more;
    b.s.OnUpstreamEmpty(lost, UpstreamLoss::kCrashed, b.now, more);
    b.s.pool().at(lost).reachable = false;
  }
  BOOST_TEST(!b.s.Find(1)->final());
}

/// Another version wrote the record of an unresponsive upstream. The runs that
/// can be read count; the others are skipped.
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
  }
  const SuspectRuns expected{{{task, 5}, true}};
  BOOST_TEST((coordinator::RunsFromRecord(record) == expected));
  BOOST_TEST((coordinator::ToRecords(expected).at(0) == record.runs.at(0)));
}

/// An upstream that fails every task looks idle and would attract all work.
/// After two consecutive failures it must be backed off, and retries must go to
/// upstreams that have not failed.
BOOST_AUTO_TEST_CASE(FailingUpstreamIsBackedOff) {
  SchedulerHarness b(3);
  std::map<UpstreamIndex, int> attempts;
  for (JobId id = 1; id <= 40; ++id) {
    b.s.Add(Spec(id, 1, 1000), b.now, 0);
    for (const StartOrder& start : b.Place().starts) {
      ++attempts[start.upstream];
      b.End(start, start.upstream == 0 ? EndKind::kFailed : EndKind::kDone);
    }
    for (const StartOrder& start : b.Place().starts) {
      BOOST_TEST(start.upstream != 0U);
      b.End(start, EndKind::kDone);
    }
    b.now += Millis(20);
  }
  BOOST_TEST(attempts[0] <= 3);
}

/// A job whose task has failed as often as allowed is failed and starts nothing
/// more. The same end reported twice counts once.
BOOST_AUTO_TEST_CASE(AttemptsAreCountedOnce) {
  SchedulerHarness b(2);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  const Orders first = b.Place();
  b.End(first.starts[0], EndKind::kFailed);
  b.End(first.starts[0], EndKind::kFailed);
  BOOST_TEST(!b.s.Find(1)->final());
  const Orders second = b.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].upstream != first.starts[0].upstream);
  b.End(second.starts[0], EndKind::kFailed);
  BOOST_TEST((b.s.Find(1)->state() == JobState::kFailed));
  BOOST_TEST(b.Place().starts.empty());
}

/// The only upstream that a retry is allowed on is the one where the task
/// failed. The task must return there when no other upstream is left to ask
/// about, or it would never run.
BOOST_AUTO_TEST_CASE(RetryReusesFailedUpstreamWhenNoOtherIsAllowed) {
  SchedulerHarness b(2);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.queue.advised = true;
  b.s.Add(spec, b.now, 0);
  const auto answer = [&](const Orders& orders) {
    ports::Advice advice{.allowed = {{"up-0", "t"}}, .valid = Millis(1500)};
    for (const AdviceOrder& ask : orders.advice) {
      b.s.OnAdvice(ask, &advice, b.now);
    }
  };
  Orders orders;
  for (int i = 0; i < 5 && orders.starts.empty(); ++i) {
    orders = b.Place();
    answer(orders);
  }
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
  b.End(orders.starts[0], EndKind::kFailed);
  bool again = false;
  for (int i = 0; i < 40 && !again; ++i) {
    b.now += Millis(100);
    const Orders next = b.Place();
    answer(next);
    again = !next.starts.empty();
  }
  BOOST_TEST(again);
}

/// A gang starts as a whole or not at all. A stream of small jobs of lower
/// priority must not use up the capacity reserved for it.
BOOST_AUTO_TEST_CASE(AGangIsNotStarvedBySmallJobs) {
  SchedulerHarness b(4);
  std::vector<StartOrder> running;
  const auto fill = [&](JobId id) {
    wire::JobSpec spec = Spec(id, 1, 4000);
    spec.queue.priority = 2;
    b.s.Add(spec, b.now, 0);
  };
  JobId next = 100;
  for (int i = 0; i < 16; ++i) fill(next++);
  for (const auto& start : b.Place().starts) running.push_back(start);
  wire::JobSpec gang = Spec(1, 2, 12000);
  gang.steps[0].gang = true;
  gang.queue.priority = 1;
  b.s.Add(gang, b.now, 0);
  size_t gang_starts = 0;
  for (int i = 0; i < 30 && gang_starts == 0; ++i) {
    fill(next++);
    BOOST_REQUIRE(!running.empty());
    b.End(running.front(), EndKind::kDone);
    running.erase(running.begin());
    b.now += Millis(50);
    for (const auto& start : b.Place().starts) {
      if (start.task.job == 1) {
        ++gang_starts;
      } else {
        running.push_back(start);
      }
    }
  }
  BOOST_TEST(gang_starts == 2U);
}

/// A gang failed on the only upstream for which it has a ticket; other jobs run
/// well there since. Placing avoids that upstream as long as there are others.
/// If requesting advice counts on its ticket nevertheless, the gang waits
/// forever beside upstreams that were never asked about.
BOOST_AUTO_TEST_CASE(FailedGangAsksAboutOtherUpstreams) {
  SchedulerHarness b(10);
  wire::JobSpec spec = Spec(1, 2, 1000);
  spec.steps[0].gang = true;
  spec.queue.advised = true;
  spec.queue.max_attempts = 4;
  b.s.Add(spec, b.now, 0);
  const Orders asked = b.Place();
  BOOST_REQUIRE_EQUAL(asked.advice.size(), 1U);
  const std::string only = asked.advice[0].upstreams[0];
  const ports::Advice advice{.allowed = {{only, "ticket"}},
                             .valid = Millis(60000)};
  b.s.OnAdvice(asked.advice[0], &advice, b.now);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  b.End(first.starts[0], EndKind::kFailed);
  b.End(first.starts[1], EndKind::kGangFailed);
  b.s.pool().NoteSuccess(first.starts[0].upstream);
  b.now += Millis(500);
  const Orders again = b.Place();
  BOOST_TEST(again.starts.empty());
  BOOST_REQUIRE_EQUAL(again.advice.size(), 1U);
  for (const std::string& name : again.advice[0].upstreams) {
    BOOST_TEST(name != only);
  }
}

/// A render needs all of four upstreams, which appear one after the other, and
/// an advice call takes half as long as a ticket is valid. If each ticket is
/// renewed only after it has expired, one is missing at any moment, and the
/// render waits for 20 s beside twice the capacity that it needs. Once all four
/// upstreams are available, it must start within two calls.
BOOST_AUTO_TEST_CASE(TicketsOfAGangAreRenewedTogether) {
  constexpr Millis kValid{1500};
  constexpr Millis kCall{800};
  constexpr Millis kApart{575};
  constexpr int kUpstreams = 4;
  constexpr Millis kStep{5};
  SchedulerHarness b(0);
  wire::JobSpec spec = Spec(1, kUpstreams, 10000);
  spec.steps[0].gang = true;
  spec.queue.advised = true;
  spec.queue.advice_base_ms = kCall.count();
  b.s.Add(spec, b.now, 0);
  const TimePoint begin = b.now;
  std::vector<std::pair<TimePoint, AdviceOrder>> calls;
  size_t started = 0;
  int available = 0;
  while (started == 0 && b.now - begin < Millis(20000)) {
    b.now += kStep;
    if (available < kUpstreams && b.now - begin >= available * kApart) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(available++);
      entry.pool = "pool";
      entry.capacity = {.millicores = 16000, .memory_mb = 32000};
      b.s.pool().at(b.s.pool().Update(entry)).reachable = true;
    }
    std::erase_if(calls, [&](const auto& call) {
      if (call.first > b.now) return false;
      ports::Advice advice{.valid = kValid};
      for (const std::string& name : call.second.upstreams) {
        advice.allowed.push_back({name, "ticket"});
      }
      b.s.OnAdvice(call.second, &advice, b.now);
      return true;
    });
    const Orders orders = b.Place();
    for (const AdviceOrder& order : orders.advice) {
      calls.emplace_back(b.now + kCall, order);
    }
    started = orders.starts.size();
  }
  BOOST_TEST(started == static_cast<size_t>(kUpstreams));
  const auto took = std::chrono::duration_cast<Millis>(b.now - begin);
  BOOST_TEST_MESSAGE("started after " << took.count() << " ms");
  // The last upstream and both answers are each noticed one step later.
  BOOST_TEST(took <= (kUpstreams - 1) * kApart + 2 * kCall + 3 * kStep);
}

/// Not all members of a gang could be started. The started ones must be
/// stopped, and the gang restarts only when all of them have ended, with a
/// higher attempt.
BOOST_AUTO_TEST_CASE(PartiallyStartedGangIsStoppedAndRestarted) {
  SchedulerHarness b(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  b.s.Add(spec, b.now, 0);
  Orders orders;
  b.s.Place(b.now, kAmpleBudget, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 2U);
  Orders more;
  b.s.OnStartReply(orders.starts[0], CallVerdict::kDone, b.now, more);
  b.s.OnStartReply(orders.starts[1], CallVerdict::kNotSent, b.now, more);
  BOOST_REQUIRE_EQUAL(more.stops.size(), 1U);
  BOOST_TEST(b.Place().starts.empty());
  b.End(orders.starts[0], EndKind::kStopped);
  const Orders restarted = b.Place();
  BOOST_REQUIRE_EQUAL(restarted.starts.size(), 2U);
  BOOST_TEST(restarted.starts[0].attempt == restarted.starts[1].attempt);
  BOOST_TEST(restarted.starts[0].attempt > orders.starts[0].attempt);
}

/// A task on a stalled upstream would hold its resources forever: its
/// percentage does not change. It must be stopped and run elsewhere, without
/// losing an attempt.
BOOST_AUTO_TEST_CASE(StalledTaskIsMoved) {
  SchedulerHarness b(2);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  const StartOrder start = b.Place().starts.at(0);
  BOOST_TEST(b.Report(start, 10) == 0U);
  b.now += Millis(1000);
  BOOST_TEST(b.Report(start, 20) == 0U);
  b.now += Millis(1400);
  BOOST_TEST(b.Report(start, 20) == 0U);
  b.now += Millis(200);
  BOOST_TEST(b.Report(start, 20) == 1U);
  b.End(start, EndKind::kStopped);
  const Orders again = b.Place();
  BOOST_REQUIRE_EQUAL(again.starts.size(), 1U);
  BOOST_TEST(again.starts[0].upstream != start.upstream);
}

/// A job is cancelled while it waits, and capacity becomes free at the same
/// moment. The next pass must start nothing of it.
BOOST_AUTO_TEST_CASE(ACancelledJobLeavesTheQueue) {
  SchedulerHarness b(1);
  b.s.Add(Spec(1, 2, 1000), b.now, 0);
  Orders orders;
  BOOST_TEST(b.s.Cancel(1, b.now, orders));
  BOOST_TEST(b.Place().starts.empty());
  BOOST_TEST(b.s.waiting_steps() == 0);
}

/// An upstream lists a run of an unknown job. The run is stopped with the first
/// report and reported once. The stop is repeated while the run remains listed:
/// not with each report, but sooner if the stop is known to have been lost.
BOOST_AUTO_TEST_CASE(UnknownRunIsStoppedAndReportedOnce) {
  SchedulerHarness b(1);
  const ports::RunningTask run{.task = {77, 0, 0, 0}, .attempt = 3};
  int stops = 0;
  int orphaned = 0;
  const auto report = [&](Millis later) {
    b.now += later;
    Orders orders;
    b.s.OnRunning(0, {run}, b.now, orders);
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
  b.s.OnStopFailed(0, run.task, run.attempt, b.now);
  report(Millis(50));
  BOOST_TEST(stops == 2);
  report(Millis(50));
  BOOST_TEST(stops == 3);
  BOOST_TEST(orphaned == 1);
}

/// An abandoned start is carried out after all, so an upstream lists another
/// attempt than the current one. Only that attempt must be stopped, also once
/// the task is done. The members of a completed gang are not stopped at first,
/// because their ends are already on the way.
BOOST_AUTO_TEST_CASE(AnotherAttemptIsStopped) {
  SchedulerHarness b(2);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  const StartOrder start = b.Place().starts.at(0);
  StartOrder other = start;
  other.upstream = 1 - start.upstream;
  other.attempt = start.attempt + 7;
  BOOST_TEST(b.Report(start, 10) == 0U);
  BOOST_TEST(b.Report(other, 10) == 1U);
  BOOST_TEST(b.Report(start, 20) == 0U);
  b.End(start, EndKind::kDone);
  other.attempt += 1;
  BOOST_TEST(b.Report(other, 10) == 1U);

  wire::JobSpec gang = Spec(2, 2, 1000);
  gang.steps[0].gang = true;
  b.s.Add(gang, b.now, 0);
  const Orders both = b.Place();
  BOOST_REQUIRE_EQUAL(both.starts.size(), 2U);
  b.End(both.starts[0], EndKind::kDone);
  BOOST_TEST(b.Report(both.starts[1], 100) == 0U);
  b.now += Millis(1200);
  BOOST_TEST(b.Report(both.starts[1], 100) == 1U);
}

/// A new leader is asked to cancel a job before the upstream has reported what
/// it runs. The first report must stop the run, with the cancellation as the
/// reason.
BOOST_AUTO_TEST_CASE(RunReportedAfterCancelIsStopped) {
  SchedulerHarness fresh(1);
  Scheduler s{SchedulerOptions{}};
  s.pool().Update(fresh.s.pool().at(0).entry);
  s.Load(Spec(1, 1, 1000), {}, fresh.now, 0);
  Orders orders;
  BOOST_TEST(s.Cancel(1, fresh.now, orders));
  BOOST_TEST(orders.stops.empty());
  fresh.now += Millis(250);
  s.OnRunning(0, {{.task = {1, 0, 0, 0}, .attempt = 1}}, fresh.now, orders);
  BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
  const StopOrder& stop = orders.stops[0];
  BOOST_TEST((stop.reason == StopReason::kCancelled));
  BOOST_TEST(stop.orphaned);
  BOOST_TEST((stop.since_end == Millis(250)));
}

/// Members of a gang end together, so a fast one stays at 100 % until the
/// slowest is done. If that member is taken for stalled, a render is broken
/// seconds from its end and restarts again and again.
BOOST_AUTO_TEST_CASE(FinishedGangMemberIsNotTakenForStalled) {
  SchedulerHarness b(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  b.s.Add(spec, b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  for (int32_t percent = 10; percent < 50; ++percent) {
    BOOST_TEST(b.Report(first.starts[0], 100) == 0U);
    BOOST_TEST(b.Report(first.starts[1], percent) == 0U);
    b.now += Millis(200);
  }
  // Now the slow member is stalled, and that breaks the gang.
  b.now += Millis(1600);
  BOOST_TEST(b.Report(first.starts[1], 49) == 2U);
}

/// The capacity of another gang's fast member is predicted to be free when its
/// own part is done, although it is held until the slowest member ends. A gang
/// that plans on it waits for capacity that does not become free.
BOOST_AUTO_TEST_CASE(GangCapacityIsPredictedFromSlowestMember) {
  SchedulerHarness b(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  b.s.Add(spec, b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  b.Report(first.starts[0], 10);
  b.Report(first.starts[1], 1);
  b.now += Millis(500);
  b.Report(first.starts[1], 11);
  b.Report(first.starts[0], 100);
  const auto free_in = [&](Millis span) {
    return b.s.pool().FreeAt(first.starts[0].upstream,
                             b.now + span)[Dimension::kCores];
  };
  BOOST_TEST(free_in(Millis(4000)) == 6000);
  BOOST_TEST(free_in(Millis(5000)) == 16000);
}

/// A render that failed once waits forever if capacity is reserved for it on
/// the upstream where it failed and may not run, while small jobs keep taking
/// what it could use. The reservation must be on upstreams where it has not
/// failed.
BOOST_AUTO_TEST_CASE(FailedGangWaitsForOtherUpstreams) {
  SchedulerHarness b(3);
  wire::JobSpec gang = Spec(1, 1, 12000);
  gang.steps[0].tasks = 2;
  gang.steps[0].gang = true;
  gang.steps[0].max_per_upstream = 1;
  gang.queue.priority = 1;
  b.s.Add(gang, b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  const UpstreamIndex failed_at = first.starts[0].upstream;
  wire::JobSpec fill = Spec(2, 2, 8000);
  fill.queue.priority = 2;
  b.s.Add(fill, b.now, 0);
  std::vector<StartOrder> running = b.Place().starts;
  BOOST_REQUIRE_EQUAL(running.size(), 2U);
  b.End(first.starts[1], EndKind::kGangFailed);
  b.End(first.starts[0], EndKind::kFailed);
  size_t gang_starts = 0;
  JobId next = 3;
  for (int i = 0; i < 60 && gang_starts == 0; ++i) {
    wire::JobSpec small = Spec(next++, 1, 6000);
    small.queue.priority = 2;
    b.s.Add(small, b.now, 0);
    b.now += Millis(100);
    if (!running.empty()) {
      b.End(running.front(), EndKind::kDone);
      running.erase(running.begin());
    }
    for (const auto& start : b.Place().starts) {
      if (start.task.job != 1) {
        running.push_back(start);
        continue;
      }
      ++gang_starts;
      BOOST_TEST(start.upstream != failed_at);
    }
  }
  BOOST_TEST(gang_starts == 2U);
}

/// A gang waits for two upstreams, and pushes keep taking what is already free
/// there, although another upstream has capacity for them. Urgent work goes
/// first, but must run elsewhere where it can.
BOOST_AUTO_TEST_CASE(UrgentWorkAvoidsRoomReservedForGang) {
  SchedulerHarness b(3);
  for (const UpstreamIndex up : {0U, 1U}) {
    b.s.pool().at(up).entry.labels = {"a"};
  }
  wire::JobSpec fill = Spec(1, 2, 8000);
  fill.steps[0].label = "a";
  fill.steps[0].max_per_upstream = 1;
  b.s.Add(fill, b.now, 0);
  b.s.Add(Spec(2, 1, 6000), b.now, 0);
  BOOST_REQUIRE_EQUAL(b.Place().starts.size(), 3U);
  wire::JobSpec gang = Spec(3, 2, 12000);
  gang.steps[0].gang = true;
  gang.steps[0].label = "a";
  gang.queue.priority = 1;
  b.s.Add(gang, b.now, 0);
  BOOST_TEST(b.Place().starts.empty());
  b.s.Add(Spec(4, 1, 4000), b.now, 0);
  const Orders urgent = b.Place();
  BOOST_REQUIRE_EQUAL(urgent.starts.size(), 1U);
  BOOST_TEST(urgent.starts[0].upstream == 2U);
}

/// A new leader that has not heard from every upstream starts nothing that an
/// earlier leader may have started. It adopts the runs that it finds.
BOOST_AUTO_TEST_CASE(NewLeaderAdoptsRunningTasks) {
  Scheduler s({.attempt_base = 200000});
  ports::UpstreamEntry entry{.id = "up-0", .pool = "pool"};
  entry.capacity = {.millicores = 16000, .memory_mb = 32000};
  const UpstreamIndex up = s.pool().Update(entry);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  s.Load(Spec(1, 2, 1000), {}, now, 0);
  s.pool().at(up).reachable = true;
  Orders orders;
  s.Place(now, kAmpleBudget, orders);
  BOOST_TEST(orders.starts.empty());
  s.OnRunning(up, {{.task = {1, 0, 0, 0}, .attempt = 100001}}, now, orders);
  s.ResolveAll(now, orders);
  s.Place(now, kAmpleBudget, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
  BOOST_TEST(orders.starts[0].task.index == 1);
  BOOST_TEST(orders.starts[0].attempt > 200000);
}

/// Two upstreams report one failure each to a new leader, in the wrong order.
/// Both must count; if one is lost, the task runs a third time.
BOOST_AUTO_TEST_CASE(FailuresReportedOutOfOrderBothCount) {
  Scheduler s({.attempt_base = 200000});
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (const char* id : {"up-0", "up-1"}) {
    ports::UpstreamEntry entry{.id = id, .pool = "pool"};
    entry.capacity = {.millicores = 16000, .memory_mb = 32000};
    s.pool().at(s.pool().Update(entry)).reachable = true;
  }
  s.Load(Spec(1, 1, 1000), {}, now, 0);
  Orders orders;
  const TaskId task{1, 0, 0, 0};
  s.OnEnd(1, {.number = 1, .task = task, .attempt = 100002}, now, orders);
  s.OnEnd(0, {.number = 1, .task = task, .attempt = 100001}, now, orders);
  BOOST_TEST((s.Find(1)->state() == JobState::kFailed));
}

/// A failure of an earlier run counts even if a later run was adopted first.
BOOST_AUTO_TEST_CASE(AFailureBeforeAnAdoptedRunCounts) {
  Scheduler s({.attempt_base = 200000});
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (const char* id : {"up-0", "up-1"}) {
    ports::UpstreamEntry entry{.id = id, .pool = "pool"};
    s.pool().at(s.pool().Update(entry)).reachable = true;
  }
  s.Load(Spec(1, 1, 1000), {}, now, 0);
  Orders orders;
  const TaskId task{1, 0, 0, 0};
  s.OnRunning(1, {{.task = task, .attempt = 100002}}, now, orders);
  s.OnEnd(0, {.number = 1, .task = task, .attempt = 100001}, now, orders);
  s.OnEnd(1, {.number = 1, .task = task, .attempt = 100002}, now, orders);
  BOOST_TEST((s.Find(1)->state() == JobState::kFailed));
}

/// An occurrence does not start before its time, even if there is free
/// capacity.
BOOST_AUTO_TEST_CASE(OccurrencesWaitForTheirTime) {
  SchedulerHarness b(1);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.occurrences = 2;
  spec.first_due_ms = 5000;
  spec.interval_ms = 1000;
  b.s.Add(spec, b.now, 0);
  b.s.Tick(b.now, 4999);
  BOOST_TEST(b.Place().starts.empty());
  b.s.Tick(b.now, 5000);
  BOOST_TEST(b.Place().starts.size() == 1U);
  b.s.Tick(b.now, 6000);
  const Orders second = b.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  BOOST_TEST(second.starts[0].task.occurrence == 1);
}

/// Labels, the limit per upstream and draining upstreams are respected.
BOOST_AUTO_TEST_CASE(PlacementConstraintsAreRespected) {
  SchedulerHarness b(3);
  b.s.pool().at(0).entry.labels = {"a", "r0"};
  b.s.pool().at(1).entry.labels = {"a", "r0"};
  b.s.pool().at(1).entry.draining = true;
  wire::JobSpec spec = Spec(1, 5, 1000);
  spec.steps[0].label = "a";
  spec.steps[0].max_per_upstream = 2;
  b.s.Add(spec, b.now, 0);
  const Orders orders = b.Place();
  BOOST_TEST(orders.starts.size() == 2U);
  for (const StartOrder& start : orders.starts) {
    BOOST_TEST(start.upstream == 0U);
  }
}

/// Overload: renders in gangs, reports and pushes at about 110 % of all cores.
/// Pushes go first: none waits longer than one pass while there is capacity,
/// and no upstream is ever overcommitted.
BOOST_AUTO_TEST_CASE(UrgentWorkIsServedUnderOverload) {
  SchedulerHarness b(48);
  struct Running {
    StartOrder start;
    TimePoint until;
  };
  std::vector<Running> running;
  std::map<JobId, TimePoint> accepted_at;
  Millis longest_push{0};
  JobId next = 1;
  const auto add = [&](int32_t priority, int32_t tasks, int32_t cores,
                       int32_t ms, bool gang) {
    wire::JobSpec spec = Spec(next, tasks, cores);
    spec.queue.priority = priority;
    spec.steps[0].estimate_ms = ms;
    spec.steps[0].gang = gang;
    accepted_at[next] = b.now;
    b.s.Add(spec, b.now, 0);
    ++next;
  };
  constexpr Millis kStep{20};
  for (int i = 0; i < 1000; ++i) {
    b.now += kStep;
    if (i % 17 == 0) add(1, 8, 4500, 4000, true);
    if (i % 7 == 0) add(2, 10, 1000, 2200, false);
    add(0, 2, 1400, 800, false);
    std::erase_if(running, [&](const Running& r) {
      if (r.until > b.now) return false;
      b.End(r.start, EndKind::kDone);
      return true;
    });
    for (const StartOrder& start : b.Place().starts) {
      const wire::StepSpec& step = b.s.Find(start.task.job)->step(0);
      running.push_back({start, b.now + Millis(step.estimate_ms)});
      if (b.s.Find(start.task.job)->queue().priority != 0) continue;
      longest_push =
          std::max(longest_push, std::chrono::duration_cast<Millis>(
                                     b.now - accepted_at[start.task.job]));
    }
    for (const UpstreamIndex up : b.s.pool().all()) {
      BOOST_REQUIRE(b.s.pool().at(up).free[Dimension::kCores] >= 0);
    }
  }
  BOOST_TEST(longest_push.count() <= 100);
}

/// One call must be sufficient nine times in ten: with seven of ten upstreams
/// allowed, three tasks need seven upstreams named; if all are certain to be
/// allowed, no more than the three needed.
BOOST_AUTO_TEST_CASE(AdviceCallsSucceedNineTimesInTen) {
  const std::vector<AskOption> likely(40, {.fit = 1, .rate = 0.7});
  BOOST_TEST(AskCount(likely, 3, 100) == 7);
  const std::vector<AskOption> certain(40, {.fit = 1, .rate = 1});
  BOOST_TEST(AskCount(certain, 3, 100) == 3);
  const std::vector<AskOption> rare(40, {.fit = 1, .rate = 0.05});
  BOOST_TEST(AskCount(rare, 20, 100) == 40);
  BOOST_TEST(AskCount(rare, 20, 30) == 30);
}

/// Calls for urgent work find a lane while long calls occupy all others.
BOOST_AUTO_TEST_CASE(UrgentAdviceHasReservedLanes) {
  coordinator::AdviceLanes lanes;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  lanes.SetEntries({"a", "b", "c", "d", "e", "f", "g"}, now);
  int taken = 0;
  while (!lanes.Take(1, now).empty()) ++taken;
  BOOST_TEST(taken == 5);
  BOOST_TEST(lanes.Budget(now).any == 0);
  BOOST_TEST(lanes.Budget(now).urgent_only == 2);
  BOOST_TEST(!lanes.Take(0, now).empty());
}

/// Reports wait half a minute for a lane while most of the lanes reserved for
/// urgent work are idle: a fixed share is too large with 36 lanes. The reserve
/// must follow the recent urgent load, up to that share.
BOOST_AUTO_TEST_CASE(ReservedLanesFollowUrgentLoad) {
  coordinator::AdviceLanes lanes;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::vector<std::string> entries;
  for (int i = 0; i < 36; ++i) entries.push_back("entry-" + std::to_string(i));
  lanes.SetEntries(entries, now);
  BOOST_TEST(lanes.Budget(now).urgent_only == 2);
  std::vector<std::string> taken;
  for (int i = 0; i < 6; ++i) taken.push_back(lanes.Take(0, now));
  lanes.Budget(now);
  for (const std::string& lane : taken) lanes.Free(lane, false, now);
  now += Millis(1000);
  BOOST_TEST(lanes.Budget(now).urgent_only == 8);
  now += Millis(60000);
  BOOST_TEST(lanes.Budget(now).urgent_only == 3);
  for (int i = 0; i < 36; ++i) lanes.Take(0, now);
  BOOST_TEST(lanes.Budget(now).any == 0);
  BOOST_TEST(lanes.Budget(now).urgent_only == 0);
}

/// Failures must not make the record of a job larger than the store accepts.
BOOST_AUTO_TEST_CASE(FailuresOfLongRunningTasksLeaveAJobStorable) {
  constexpr int32_t kTasks = 100;
  constexpr int64_t kFailures =
      1000;  // of each task: one a minute for 17 hours
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

/// Checkpoints must not make the record of a job larger than the store accepts.
BOOST_AUTO_TEST_CASE(CheckpointsOfManyTasksLeaveAJobStorable) {
  Job job(Spec(1, kMaxStepTasks, 100));
  for (int32_t i = 0; i < kMaxStepTasks; ++i) {
    job.task({1, 0, 0, i}).checkpoint = "00000bb87a21d94b";
  }
  BOOST_TEST(rpc::Encode(job.Progress()).size() <=
             coordinator::kMaxRecordBytes);
}

/// An entry whose call failed is not used for a while, then used again.
BOOST_AUTO_TEST_CASE(FailedAdviceLaneIsBackedOff) {
  coordinator::AdviceLanes lanes;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  lanes.SetEntries({"a"}, now);
  BOOST_TEST(lanes.Take(1, now) == "a");
  lanes.Free("a", true, now);
  BOOST_TEST(lanes.Take(1, now).empty());
  now += coordinator::AdviceLanes::kFailureBackoff;
  BOOST_TEST(lanes.Take(1, now) == "a");
}

}  // namespace mimosarail::scheduling
