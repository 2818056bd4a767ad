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

constexpr AdviceBudget kPlenty{.any = 50, .urgent_only = 5};

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

/// A scheduler over upstreams that do what they are told, with a hand clock.
class Bench {
 public:
  explicit Bench(int upstreams, int32_t millicores = 16000) {
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

  Orders Place(AdviceBudget budget = kPlenty) {
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

  /// The upstream tells how far a task is; how many stops that leads to.
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

/// A step waits for the one before it, and the job is complete after the last.
BOOST_AUTO_TEST_CASE(StepsRunInOrder) {
  Bench b(1);
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

/// Room is free when the end is listed: a stopped task still holds its own.
BOOST_AUTO_TEST_CASE(AStoppedTaskHoldsItsRoomUntilItsEnd) {
  Bench b(1);
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

/// An upstream's capacity shrinks below what it runs, and grows again: nothing
/// new goes there until what runs fits, and what is being stopped counts.
BOOST_AUTO_TEST_CASE(AnUpstreamThatHasShrunkIsNotOverfilled) {
  Bench b(1);
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

/// A task loses one upstream after another, none of them by a crash: it is
/// never given up, and starts again each time.
BOOST_AUTO_TEST_CASE(OnlyCrashesCountAgainstATask) {
  constexpr int kUpstreams = 12;
  constexpr UpstreamLoss kOtherLosses[]{UpstreamLoss::kLeft,
                                        UpstreamLoss::kMaintenance,
                                        UpstreamLoss::kLeasesExpired};
  Bench b(kUpstreams);
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

/// An upstream answers again under its id after its leases had run out: it was
/// cut off, and its end much later counts for what it runs then.
BOOST_AUTO_TEST_CASE(RunsFromBeforeAPartitionAreNotCountedAsCrashed) {
  Bench b(2);
  b.s.Add(Spec(1, 1, 1000), b.now, 0);
  const Orders first = b.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  const UpstreamIndex cut = first.starts[0].upstream;
  Orders more;
  b.s.OnUpstreamEmpty(cut, UpstreamLoss::kLeasesExpired, b.now, more);
  b.s.OnRunning(cut, {}, b.now, more);
  b.s.OnUpstreamEmpty(cut, UpstreamLoss::kCrashed, b.now, more);
  BOOST_TEST(b.s.Find(1)->task({1, 0, 0, 0}).crashes.total() == 0U);
}

/// A long task is lost with upstreams that crash now and then. Once it has run
/// for half a minute, what came before says nothing of it any more.
BOOST_AUTO_TEST_CASE(ALongRunClearsATaskOfEarlierCrashes) {
  constexpr int kCrashes = 12;
  Bench b(kCrashes);
  wire::JobSpec spec = Spec(1, 1, 1000);
  spec.steps[0].lasting = true;
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

/// A record of a silent upstream that another version wrote: what can be read
/// of its runs counts, the rest is left out.
BOOST_AUTO_TEST_CASE(RunsThatCannotBeReadAreLeftOut) {
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

/// A worker that fails all it starts looks idle. After two failures in a row it
/// rests, and the second tries go to upstreams that have not failed.
BOOST_AUTO_TEST_CASE(FailingUpstreamIsBackedOff) {
  Bench b(3);
  std::map<UpstreamIndex, int> tries;
  for (JobId id = 1; id <= 40; ++id) {
    b.s.Add(Spec(id, 1, 1000), b.now, 0);
    for (const StartOrder& start : b.Place().starts) {
      ++tries[start.upstream];
      b.End(start, start.upstream == 0 ? EndKind::kFailed : EndKind::kDone);
    }
    for (const StartOrder& start : b.Place().starts) {
      BOOST_TEST(start.upstream != 0U);
      b.End(start, EndKind::kDone);
    }
    b.now += Millis(20);
  }
  BOOST_TEST(tries[0] <= 3);
}

/// A job whose task has failed as often as allowed is failed, and starts no
/// more. The same end told twice counts once.
BOOST_AUTO_TEST_CASE(AttemptsAreCountedOnce) {
  Bench b(2);
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

/// A retry whose only allowed upstream is the one that failed it must still
/// run some day: it goes back there when nothing else is left to ask about.
BOOST_AUTO_TEST_CASE(RetryReusesFailedUpstreamWhenNoOtherIsAllowed) {
  Bench b(2);
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

/// A gang starts whole or not at all, and a stream of small jobs of lower
/// priority may not eat up the room that it waits for.
BOOST_AUTO_TEST_CASE(AGangIsNotStarvedBySmallJobs) {
  Bench b(4);
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

/// A gang failed on the only upstream that it has a ticket for, which other
/// jobs run well on since. Placing it again avoids that upstream as long as
/// there are others; asking must not count on its ticket either, or the gang
/// waits for ever beside upstreams that nobody has asked about.
BOOST_AUTO_TEST_CASE(AGangThatFailedAsksForOtherPlaces) {
  Bench b(10);
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

/// A render needs all of four upstreams, which come one after the other, and
/// the adviser takes half as long as its tickets are good. Each ticket was
/// asked for again only when it had run out, so that at any moment one was on
/// its way, and a render waited for 20 s beside twice the room that it needs.
/// Once all four are there, it starts within two calls.
BOOST_AUTO_TEST_CASE(TicketsOfAGangAreRenewedTogether) {
  constexpr Millis kValid{1500};
  constexpr Millis kCall{800};
  constexpr Millis kApart{575};
  constexpr int kUpstreams = 4;
  constexpr Millis kStep{5};
  Bench b(0);
  wire::JobSpec spec = Spec(1, kUpstreams, 10000);
  spec.steps[0].gang = true;
  spec.queue.advised = true;
  spec.queue.advice_base_ms = kCall.count();
  b.s.Add(spec, b.now, 0);
  const TimePoint begin = b.now;
  std::vector<std::pair<TimePoint, AdviceOrder>> calls;
  size_t started = 0;
  int there = 0;
  while (started == 0 && b.now - begin < Millis(20000)) {
    b.now += kStep;
    if (there < kUpstreams && b.now - begin >= there * kApart) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(there++);
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
  // The last upstream and both answers are each seen with the next step.
  BOOST_TEST(took <= (kUpstreams - 1) * kApart + 2 * kCall + 3 * kStep);
}

/// Not every member of a gang could be started: the others are told to stop,
/// and the gang starts anew only when all are gone, with a higher attempt.
BOOST_AUTO_TEST_CASE(PartiallyStartedGangIsStoppedAndRestarted) {
  Bench b(2);
  wire::JobSpec spec = Spec(1, 2, 10000);
  spec.steps[0].gang = true;
  b.s.Add(spec, b.now, 0);
  Orders orders;
  b.s.Place(b.now, kPlenty, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 2U);
  Orders more;
  b.s.OnStartReply(orders.starts[0], CallVerdict::kDone, b.now, more);
  b.s.OnStartReply(orders.starts[1], CallVerdict::kNotSent, b.now, more);
  BOOST_REQUIRE_EQUAL(more.stops.size(), 1U);
  BOOST_TEST(b.Place().starts.empty());
  b.End(orders.starts[0], EndKind::kStopped);
  const Orders anew = b.Place();
  BOOST_REQUIRE_EQUAL(anew.starts.size(), 2U);
  BOOST_TEST(anew.starts[0].attempt == anew.starts[1].attempt);
  BOOST_TEST(anew.starts[0].attempt > orders.starts[0].attempt);
}

/// A task on an upstream that stands still holds room for ever: its percent
/// does not move. It is stopped and runs elsewhere, without losing an attempt.
BOOST_AUTO_TEST_CASE(StalledTaskIsMoved) {
  Bench b(2);
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

/// A job is cancelled while it waits, and room comes free at the same moment:
/// the next pass starts nothing of it.
BOOST_AUTO_TEST_CASE(ACancelledJobLeavesTheQueue) {
  Bench b(1);
  b.s.Add(Spec(1, 2, 1000), b.now, 0);
  Orders orders;
  BOOST_TEST(b.s.Cancel(1, b.now, orders));
  BOOST_TEST(b.Place().starts.empty());
  BOOST_TEST(b.s.waiting_units() == 0);
}

/// An upstream lists a run of a job that nobody knows. It is stopped with the
/// first report and told of once, and the stop is repeated while the run stays:
/// not with each report, and sooner where it is known to have been lost.
BOOST_AUTO_TEST_CASE(AnUnknownRunIsStoppedAndToldOfOnce) {
  Bench b(1);
  const ports::RunningTask run{.task = {77, 0, 0, 0}, .attempt = 3};
  int stops = 0;
  int unasked = 0;
  const auto report = [&](Millis later) {
    b.now += later;
    Orders orders;
    b.s.OnRunning(0, {run}, b.now, orders);
    for (const StopOrder& stop : orders.stops) {
      ++stops;
      unasked += stop.unasked ? 1 : 0;
      BOOST_TEST((stop.reason == StopReason::kUnknownJob));
    }
  };
  report(Millis(0));
  BOOST_TEST(stops == 1);
  BOOST_TEST(unasked == 1);
  for (int i = 0; i < 11; ++i) report(Millis(100));
  BOOST_TEST(stops == 1);
  report(Millis(100));
  BOOST_TEST(stops == 2);
  b.s.OnStopFailed(0, run.task, run.attempt, b.now);
  report(Millis(50));
  BOOST_TEST(stops == 2);
  report(Millis(50));
  BOOST_TEST(stops == 3);
  BOOST_TEST(unasked == 1);
}

/// A start that had been given up is carried out after all: the upstream lists
/// another attempt than the one that counts. It alone is stopped, also once the
/// task is done. Of a gang that is done, the members' ends are on their way.
BOOST_AUTO_TEST_CASE(AnotherAttemptIsStopped) {
  Bench b(2);
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

/// A new leader is asked to cancel a job before the upstream has told what it
/// runs. The first report stops the run, with the cancel as the reason.
BOOST_AUTO_TEST_CASE(ARunToldOfAfterTheCancelIsStopped) {
  Bench fresh(1);
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
  BOOST_TEST(stop.unasked);
  BOOST_TEST((stop.since_end == Millis(250)));
}

/// A user's render is broken off seconds from its end and starts anew, again
/// and again. Members of a gang end together, so a fast one stands at 100 % for
/// as long as the slowest needs; it was taken to stand still.
BOOST_AUTO_TEST_CASE(FinishedGangMemberIsNotTakenForStalled) {
  Bench b(2);
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
  // The slow one does stand still now, and that breaks the gang.
  b.now += Millis(1600);
  BOOST_TEST(b.Report(first.starts[1], 49) == 2U);
}

/// A gang waits for room that does not come: that of another gang's fast member
/// was foreseen for the time when its own part is over, though it is held until
/// the slowest member ends.
BOOST_AUTO_TEST_CASE(RoomOfAGangIsForeseenByItsSlowest) {
  Bench b(2);
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
    return b.s.pool().FreeBy(first.starts[0].upstream,
                             b.now + span)[Dimension::kCores];
  };
  BOOST_TEST(free_in(Millis(4000)) == 6000);
  BOOST_TEST(free_in(Millis(5000)) == 16000);
}

/// A render that failed once waits for ever: room is held for it on the
/// upstream that failed it, where it may not go, and small jobs keep taking
/// what it could use. It waits for upstreams that have not failed it.
BOOST_AUTO_TEST_CASE(AGangThatFailedWaitsElsewhere) {
  Bench b(3);
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

/// A gang waits for two upstreams to come free, and pushes keep taking what is
/// free there already, though another upstream has room for them. Urgent work
/// goes first, but elsewhere where it can.
BOOST_AUTO_TEST_CASE(UrgentWorkAvoidsRoomReservedForGang) {
  Bench b(3);
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

/// A new leader that has not heard every upstream starts nothing that an
/// earlier one may have started; what it finds running it takes over.
BOOST_AUTO_TEST_CASE(ATakeoverAdoptsWhatRuns) {
  Scheduler s({.attempt_base = 200000});
  ports::UpstreamEntry entry{.id = "up-0", .pool = "pool"};
  entry.capacity = {.millicores = 16000, .memory_mb = 32000};
  const UpstreamIndex up = s.pool().Update(entry);
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  s.Load(Spec(1, 2, 1000), {}, now, 0);
  s.pool().at(up).reachable = true;
  Orders orders;
  s.Place(now, kPlenty, orders);
  BOOST_TEST(orders.starts.empty());
  s.OnRunning(up, {{.task = {1, 0, 0, 0}, .attempt = 100001}}, now, orders);
  s.ResolveAll(now, orders);
  s.Place(now, kPlenty, orders);
  BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
  BOOST_TEST(orders.starts[0].task.index == 1);
  BOOST_TEST(orders.starts[0].attempt > 200000);
}

/// Two failures that two upstreams tell a new leader in the wrong order both
/// count; with one of them lost the task would run a third time.
BOOST_AUTO_TEST_CASE(FailuresToldOutOfOrderBothCount) {
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

/// A failure of an earlier run counts also when a later run was adopted first.
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

/// An occurrence does not start before its time, however much room there is.
BOOST_AUTO_TEST_CASE(OccurrencesWaitForTheirTime) {
  Bench b(1);
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

/// Labels, the bound per upstream and draining upstreams are kept to.
BOOST_AUTO_TEST_CASE(PlacementConstraintsAreRespected) {
  Bench b(3);
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

/// The heaviest load: renders in gangs, reports and pushes at some 110 % of all
/// cores. Pushes go first: none waits longer than one pass while room is there,
/// and no upstream is ever given more than it holds.
BOOST_AUTO_TEST_CASE(UrgentWorkIsServedUnderOverload) {
  Bench b(48);
  struct Running {
    StartOrder start;
    TimePoint until;
  };
  std::vector<Running> running;
  std::map<JobId, TimePoint> came;
  Millis longest_push{0};
  JobId next = 1;
  const auto add = [&](int32_t priority, int32_t tasks, int32_t cores,
                       int32_t ms, bool gang) {
    wire::JobSpec spec = Spec(next, tasks, cores);
    spec.queue.priority = priority;
    spec.steps[0].estimate_ms = ms;
    spec.steps[0].gang = gang;
    came[next] = b.now;
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
      longest_push = std::max(longest_push, std::chrono::duration_cast<Millis>(
                                                b.now - came[start.task.job]));
    }
    for (const UpstreamIndex up : b.s.pool().all()) {
      BOOST_REQUIRE(b.s.pool().at(up).free[Dimension::kCores] >= 0);
    }
  }
  BOOST_TEST(longest_push.count() <= 100);
}

/// One call is enough nine times in ten: with seven upstreams of ten allowed,
/// three places need seven named, and certain ones no more than they are.
BOOST_AUTO_TEST_CASE(AdviceCallsSucceedNineTimesInTen) {
  const std::vector<AskOption> likely(40, {.fit = 1, .rate = 0.7});
  BOOST_TEST(AskCount(likely, 3, 100) == 7);
  const std::vector<AskOption> certain(40, {.fit = 1, .rate = 1});
  BOOST_TEST(AskCount(certain, 3, 100) == 3);
  const std::vector<AskOption> rare(40, {.fit = 1, .rate = 0.05});
  BOOST_TEST(AskCount(rare, 20, 100) == 40);
  BOOST_TEST(AskCount(rare, 20, 30) == 30);
}

/// Calls for urgent work find a lane while long calls hold all others.
BOOST_AUTO_TEST_CASE(UrgentAdviceHasItsLanes) {
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

/// Reports wait half a minute for a lane while most of those that are kept for
/// urgent work stand idle: a fixed share is too many where there are 36. What
/// is kept follows what urgent work used lately, up to that share.
BOOST_AUTO_TEST_CASE(KeptLanesFollowTheUrgentLoad) {
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

/// Guards against failures that make a job outgrow what the store takes.
BOOST_AUTO_TEST_CASE(FailuresOfTasksThatLastLeaveAJobStorable) {
  constexpr int32_t kTasks = 100;
  constexpr int64_t kFailures = 1000;  // of each, one a minute for 17 hours
  wire::JobSpec spec = Spec(1, kTasks, 100);
  spec.steps[0].lasting = true;
  Job job(spec);
  for (int32_t i = 0; i < kTasks; ++i) {
    for (int64_t n = 1; n <= kFailures; ++n) {
      job.CountFailure({1, 0, 0, i}, 300000 + n * kTasks + i);
    }
  }
  BOOST_TEST(rpc::Encode(job.Progress()).size() <=
             coordinator::kMaxRecordBytes);
}

/// Guards against checkpoints that make a job outgrow what the store takes.
BOOST_AUTO_TEST_CASE(CheckpointsOfManyTasksLeaveAJobStorable) {
  Job job(Spec(1, kMaxStepTasks, 100));
  for (int32_t i = 0; i < kMaxStepTasks; ++i) {
    job.task({1, 0, 0, i}).checkpoint = "00000bb87a21d94b";
  }
  BOOST_TEST(rpc::Encode(job.Progress()).size() <=
             coordinator::kMaxRecordBytes);
}

/// An entry whose call failed is spared for a while, then used again.
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
