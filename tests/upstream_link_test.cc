#define BOOST_TEST_MODULE upstream_link
#include "src/fleet/upstream_link.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "tests/sim/manual_executor.h"

namespace mimosarail::fleet {
namespace {

using ports::CallVerdict;

constexpr JobId kJob = 1;
constexpr UpstreamIndex kIndex{0};
/// Maximum number of completions that an upstream lists in one reply.
constexpr int64_t kMaxListedCompletions = 500;

/// Calls to an upstream; the test case answers them in the order it wants.
class PendingCalls final : public ports::TaskPort {
 public:
  struct Renewal {
    ports::RenewCall call;
    std::function<void(ports::RenewReply)> done;
  };

  void Start(const ports::UpstreamTarget&, const ports::StartCall&, Millis,
             std::function<void(ports::CallReply)> done) override {
    starts.push_back(std::move(done));
  }
  void Stop(const ports::UpstreamTarget&, const TaskId&, int64_t, int64_t,
            Millis, std::function<void(ports::CallReply)>) override {}
  void Renew(const ports::UpstreamTarget&, const ports::RenewCall& call, Millis,
             std::function<void(ports::RenewReply)> done) override {
    renewals.push_back({call, std::move(done)});
  }

  std::vector<Renewal> renewals;
  std::vector<std::function<void(ports::CallReply)>> starts;
};

/// Records the running tasks, completions and start outcomes that the link
/// reports.
class RecordedEvents final : public UpstreamEvents {
 public:
  bool MaySendOrders() override { return true; }
  std::optional<TimePoint> PredecessorLeaseEnd() override { return {}; }
  TimePoint LastStoreConfirmation() override { return store_confirmation; }
  void OnReport(UpstreamIndex,
                const std::vector<ports::RunningTask>& running_now,
                const std::vector<ports::EndedTask>& new_completions) override {
    running = running_now;
    ended.insert(ended.end(), new_completions.begin(), new_completions.end());
  }
  void OnReachable(UpstreamIndex, bool reachable_now) override {
    reachable = reachable_now;
  }
  void OnAllRunsEnded(UpstreamIndex, scheduling::UpstreamLoss) override {
    ++times_all_runs_ended;
  }
  void OnLeasesExpired(UpstreamIndex,
                       const scheduling::RunSet& remaining_runs) override {
    held = remaining_runs;
  }
  void OnRestarted(UpstreamIndex, int64_t,
                   const scheduling::RunSet& remaining_runs) override {
    remaining = remaining_runs;
  }
  void OnStartReply(const scheduling::StartOrder&,
                    const ports::CallReply& reply) override {
    start_verdicts.push_back(reply.verdict);
  }
  void OnStopFailed(UpstreamIndex, const TaskId&, int64_t) override {}
  void OnFenced(UpstreamIndex) override {}

  TimePoint store_confirmation = TimePoint::max();
  std::vector<ports::RunningTask> running;
  std::vector<ports::EndedTask> ended;
  std::optional<scheduling::RunSet> remaining;
  std::optional<scheduling::RunSet> held;
  int times_all_runs_ended = 0;
  std::vector<CallVerdict> start_verdicts;
  bool reachable = false;
};

struct Fixture {
  sim::ManualClock clock;
  sim::ManualExecutor executor{clock};
  PendingCalls calls;
  RecordedEvents events;
  std::shared_ptr<UpstreamLink> link = std::make_shared<UpstreamLink>(
      executor, calls, events,
      UpstreamLinkOptions{.index = kIndex,
                          .target = {.address = "up:1", .id = "up"},
                          .first_fence = 1});

  /// Start time that the upstream reports; 0 for none.
  int64_t incarnation = 0;

  void Reply(size_t renewal, int64_t clock_ms,
             std::vector<ports::RunningTask> running,
             std::vector<ports::EndedTask> ended,
             bool more_completions = false) {
    ports::RenewReply reply;
    reply.call = {.verdict = CallVerdict::kDone,
                  .clock_ms = clock_ms,
                  .incarnation = incarnation};
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.more_completions = more_completions;
    calls.renewals.at(renewal).done(reply);
  }
};

TaskId TaskOf(int32_t index) { return {kJob, 0, 0, index}; }

ports::EndedTask DoneCompletion(int64_t number) {
  return {.number = number,
          .task = TaskOf(static_cast<int32_t>(number)),
          .attempt = 1,
          .kind = ports::EndKind::kDone};
}

std::vector<ports::EndedTask> DoneCompletions(int64_t first, int64_t last) {
  std::vector<ports::EndedTask> out;
  for (int64_t n = first; n <= last; ++n) out.push_back(DoneCompletion(n));
  return out;
}

}  // namespace

/// Guards against capacity that stays reserved forever: an older reply arrives
/// last and lists a run that has ended since.
BOOST_FIXTURE_TEST_CASE(OlderRenewReplyIsIgnored, Fixture) {
  link->Open();
  Reply(0, 1000, {}, {});
  const ports::RunningTask run{.task = TaskOf(1), .attempt = 1};
  Reply(1, 1010, {run}, {});
  clock.RunFor(Millis(50));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 3U);
  BOOST_REQUIRE(calls.renewals[2].call.wait > Millis(0));
  link->Start({.upstream = kIndex, .task = TaskOf(2), .attempt = 1});
  BOOST_REQUIRE_EQUAL(calls.starts.size(), 1U);
  calls.starts[0]({.verdict = CallVerdict::kUnknown});
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 4U);
  Reply(2, 1100, {}, {DoneCompletion(1)});
  BOOST_REQUIRE_EQUAL(events.ended.size(), 1U);
  BOOST_TEST(events.running.empty());
  Reply(3, 1050, {run}, {});
  BOOST_TEST(events.running.empty());
  // A reply that is newer by the upstream's clock resolves the start in doubt.
  clock.RunFor(Millis(50));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 5U);
  Reply(4, 1200, {}, {DoneCompletion(1)});
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kNotSent));
}

/// Guards against a second run of a completed task. The list of completions in
/// the reply is incomplete and lacks that of the task.
BOOST_FIXTURE_TEST_CASE(PartialCompletionListIsNotAnInventory, Fixture) {
  link->Open();
  Reply(0, 1000, {}, DoneCompletions(1, kMaxListedCompletions), true);
  BOOST_TEST(events.ended.size() == static_cast<size_t>(kMaxListedCompletions));
  BOOST_TEST(!link->reconciled());
  Reply(1, 1010, {}, DoneCompletions(1, kMaxListedCompletions), true);
  BOOST_TEST(!link->reconciled());
  link->AcknowledgeCompletions(0, kMaxListedCompletions);
  clock.RunFor(Millis(300));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 3U);
  BOOST_TEST(calls.renewals[2].call.acked_completions == kMaxListedCompletions);
  Reply(2, 1300, {},
        DoneCompletions(kMaxListedCompletions + 1, kMaxListedCompletions + 3));
  BOOST_TEST(events.ended.size() ==
             static_cast<size_t>(kMaxListedCompletions + 3));
  BOOST_TEST(link->reconciled());
}

/// Guards against a second start of a task whose first start had no reply. The
/// list of completions in the renewal reply is incomplete and lacks that of the
/// task.
BOOST_FIXTURE_TEST_CASE(StartStaysInDoubtWhileCompletionListIsPartial,
                        Fixture) {
  link->Open();
  Reply(0, 1000, {}, {});
  link->Start({.upstream = kIndex,
               .task = TaskOf(kMaxListedCompletions + 1),
               .attempt = 1});
  calls.starts.at(0)({.verdict = CallVerdict::kUnknown});
  const size_t fence_renewal = calls.renewals.size() - 1;
  Reply(fence_renewal, 1020, {}, DoneCompletions(1, kMaxListedCompletions),
        true);
  BOOST_TEST(events.start_verdicts.empty());
  if (fence_renewal > 1) {
    Reply(1, 1030, {}, DoneCompletions(1, kMaxListedCompletions), true);
  }
  link->AcknowledgeCompletions(0, kMaxListedCompletions);
  clock.RunFor(Millis(300));
  BOOST_REQUIRE(calls.renewals.size() > fence_renewal + 1);
  Reply(calls.renewals.size() - 1, 1300, {},
        DoneCompletions(kMaxListedCompletions + 1, kMaxListedCompletions + 1));
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kDone));
}

/// A link to an upstream that has reported and acknowledged 40 completions in
/// its first incarnation.
struct RestartFixture : Fixture {
  static constexpr int64_t kFirst = 1000000;
  static constexpr int64_t kSecond = 2000000;

  RestartFixture() {
    incarnation = kFirst;
    link->Open();
    Reply(0, 5000, {}, DoneCompletions(1, 40));
    Reply(1, 5001, {}, DoneCompletions(1, 40));
    link->AcknowledgeCompletions(0, 40);
    clock.RunFor(Millis(50));
  }

  size_t last() const { return calls.renewals.size() - 1; }
};

/// Guards against completions of a new incarnation that are taken for known:
/// its numbers and its clock start again.
BOOST_FIXTURE_TEST_CASE(RestartedUpstreamIsReadFromTheBeginning,
                        RestartFixture) {
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 40);
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  BOOST_TEST(!link->reconciled());
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 0);
  BOOST_TEST(calls.renewals[last()].call.lease_until_ms == 0);
  const size_t before = events.ended.size();
  Reply(last(), 110, {}, DoneCompletions(1, 1));
  BOOST_REQUIRE(events.remaining);
  BOOST_TEST(events.remaining->size() == 1U);
  BOOST_TEST(events.ended.size() == before + 1);
  BOOST_TEST(link->reconciled());
}

/// Guards against a run on the new incarnation that starts a second time: the
/// start was meant for the previous one, and only its reply is late.
BOOST_FIXTURE_TEST_CASE(StartExecutedAfterARestartIsKept, RestartFixture) {
  link->Start({.upstream = kIndex, .task = TaskOf(50), .attempt = 1});
  const int64_t fence = calls.renewals[last()].call.fence;
  incarnation = kSecond;
  Reply(last(), 100, {{.task = TaskOf(50), .attempt = 1}}, {});
  // That report was made under the token of the start, so that others might
  // follow it.
  BOOST_TEST(!events.remaining);
  BOOST_TEST(calls.renewals[last()].call.fence == fence + 1);
  Reply(last(), 110, {{.task = TaskOf(50), .attempt = 1}}, {});
  BOOST_REQUIRE(events.remaining);
  BOOST_TEST(events.remaining->count({TaskOf(50), 1}) == 1U);
  calls.starts.at(0)({.verdict = CallVerdict::kDone});
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kDone));
}

/// Guards against a second run of a completed task: a successor that led before
/// the restart has stored its completion, and this leader does not know.
BOOST_FIXTURE_TEST_CASE(RunsAreLostOnlyOnceTheStoreConfirmsTheLeader,
                        RestartFixture) {
  events.store_confirmation = clock.now();
  clock.RunFor(Millis(10));
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  Reply(last(), 110, {}, {});
  BOOST_TEST(!events.remaining);
  clock.RunFor(Millis(200));
  events.store_confirmation = clock.now();
  Reply(last(), 310, {}, {});
  BOOST_TEST(events.remaining.has_value());
}

/// Guards against a second run of a task: a report under the token that earlier
/// starts carry does not list those that have yet to arrive.
BOOST_FIXTURE_TEST_CASE(ReportUnderAnEarlierTokenResolvesNoRestart,
                        RestartFixture) {
  const size_t old_renewal = last();
  link->OnListed("up:1", kSecond);
  incarnation = kSecond;
  Reply(old_renewal, 100, {}, {});
  BOOST_TEST(!events.remaining);
  Reply(old_renewal + 1, 110, {{.task = TaskOf(50), .attempt = 1}}, {});
  BOOST_REQUIRE(events.remaining);
  BOOST_TEST(events.remaining->size() == 1U);
}

/// Guards against completions that are discarded unread: the upstream may have
/// restarted while a call remained unanswered.
BOOST_FIXTURE_TEST_CASE(NothingIsAcknowledgedWhileARestartIsPossible,
                        RestartFixture) {
  calls.renewals[last()].done({.call = {.verdict = CallVerdict::kUnknown}});
  clock.RunFor(Millis(1));
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 0);
  Reply(last(), 5100, {}, {});
  clock.RunFor(Millis(50));
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 40);
  // A renewal in flight may have been lost with the upstream.
  link->Start({.upstream = kIndex, .task = TaskOf(50), .attempt = 1});
  calls.starts.at(0)({.verdict = CallVerdict::kUnknown});
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 0);
}

/// Guards against completions that are discarded unread: the leader was paused
/// between a report and its next renewal, and the upstream has restarted.
BOOST_FIXTURE_TEST_CASE(NothingIsAcknowledgedAfterAPause, RestartFixture) {
  Reply(last(), 5100, {}, {});
  const size_t before = last();
  executor.Pause();
  clock.RunFor(Millis(3000));
  executor.Resume();
  clock.RunFor(Millis(50));
  BOOST_REQUIRE(last() > before);
  BOOST_TEST(calls.renewals[before + 1].call.acked_completions == 0);
}

/// Guards against completions that are discarded unread: the leader was paused
/// while a report waited for it, and the upstream has restarted.
BOOST_FIXTURE_TEST_CASE(NothingIsAcknowledgedAfterAReportThatWaited,
                        RestartFixture) {
  clock.RunFor(Millis(3000));
  Reply(last(), 5020, {}, {});
  clock.RunFor(Millis(50));
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 0);
  Reply(last(), 8100, {}, {});
  clock.RunFor(Millis(50));
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 40);
}

/// Guards against completions that are discarded unread: those of the previous
/// incarnation are stored only now.
BOOST_FIXTURE_TEST_CASE(LateAcknowledgementIsOfThePreviousIncarnation,
                        RestartFixture) {
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  Reply(last(), 110, {}, {});
  link->AcknowledgeCompletions(0, 60);
  Reply(last(), 120, {}, {});
  clock.RunFor(Millis(50));
  BOOST_TEST(calls.renewals[last()].call.acked_completions == 0);
  BOOST_TEST(link->restarts() == 1);
}

/// Guards against a live incarnation that is dropped: another upstream answers
/// at the address of the previous one.
BOOST_FIXTURE_TEST_CASE(PreviousAddressTellsNothingOfTheNewIncarnation,
                        RestartFixture) {
  const size_t old_renewal = last();
  link->OnListed("up:2", kSecond);
  calls.renewals[old_renewal].done({.call = {CallVerdict::kReplaced}});
  const size_t before = last();
  incarnation = kSecond;
  Reply(before, 100, {}, {});
  clock.RunFor(Millis(300));
  BOOST_TEST(last() > before);
  BOOST_TEST(link->reconciled());
}

/// Guards against a live incarnation that is taken for ended: a report of the
/// previous one arrives after it.
BOOST_FIXTURE_TEST_CASE(ReportOfAnEarlierIncarnationIsIgnored, RestartFixture) {
  const size_t old_renewal = last();
  link->OnListed("up:2", kSecond);
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  BOOST_TEST(link->reconciled());
  incarnation = kFirst;
  const size_t reported = events.ended.size();
  Reply(old_renewal, 9000, {}, DoneCompletions(41, 42));
  BOOST_TEST(events.ended.size() == reported);
  BOOST_TEST(link->restarts() == 1);
}

/// Guards against starts and leases at an incarnation whose ends are not read:
/// its start is earlier than the known one, since its wall clock was set back.
BOOST_FIXTURE_TEST_CASE(IncarnationWithAnEarlierStartIsUnreachable,
                        RestartFixture) {
  BOOST_REQUIRE(events.reachable);
  incarnation = kFirst - 1;
  Reply(last(), 100, {}, {});
  clock.RunFor(Millis(100));
  Reply(last(), 200, {}, {});
  BOOST_TEST(!events.reachable);
  clock.RunFor(Millis(200));
  BOOST_TEST(calls.renewals[last()].call.lease_until_ms == 0);
  incarnation = kFirst;
  Reply(last(), 9000, {}, {});
  BOOST_TEST(events.reachable);
}

/// Guards against leases that last too long: a late reply of the previous
/// incarnation would set the clock that they are asked for on.
BOOST_FIXTURE_TEST_CASE(LateReplyOfThePreviousIncarnationSetsNoClock,
                        RestartFixture) {
  const size_t old_renewal = last();
  link->OnListed("up:1", kSecond);
  const size_t first_renewal = last();
  BOOST_TEST(calls.renewals[first_renewal].call.lease_until_ms == 0);
  incarnation = kFirst;
  Reply(old_renewal, 9000, {}, {});
  incarnation = kSecond;
  Reply(first_renewal, 100, {}, {});
  const int64_t lease_end = 100 + UpstreamLinkOptions{}.leases.lease.count();
  BOOST_TEST(calls.renewals[last()].call.lease_until_ms == lease_end);
}

/// Guards against maintenance of a host whose upstream has unacknowledged
/// completions: a renewal that was sent to the previous incarnation, and
/// executed by the new one, tells nothing of what that one has acknowledged.
BOOST_FIXTURE_TEST_CASE(AcknowledgementToThePreviousIncarnationConfirmsNothing,
                        RestartFixture) {
  const size_t old_renewal = last();
  BOOST_REQUIRE_EQUAL(calls.renewals[old_renewal].call.acked_completions, 40);
  link->OnListed("up:1", kSecond);
  incarnation = kSecond;
  Reply(last(), 100, {{.task = TaskOf(1), .attempt = 1}}, {});
  BOOST_REQUIRE(link->reconciled());
  Reply(old_renewal, 110, {}, DoneCompletions(1, 1));
  BOOST_REQUIRE_EQUAL(events.ended.size(), 41U);
  BOOST_TEST(!link->all_completions_acknowledged());
}

/// Guards against completions and leases that wait for the timeout of a renewal
/// that was sent to the previous incarnation.
BOOST_FIXTURE_TEST_CASE(NewIncarnationIsRenewedBeforeAnOldRenewalFails,
                        RestartFixture) {
  link->OnListed("up:1", kSecond);
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  Reply(last(), 110, {}, {});
  const size_t before = last();
  clock.RunFor(Millis(100));
  BOOST_TEST(last() > before);
}

/// Guards against a live incarnation that counts as unreachable, since calls to
/// the previous one have failed.
BOOST_FIXTURE_TEST_CASE(FailedCallsToThePreviousIncarnationAreNotCounted,
                        RestartFixture) {
  // A start in doubt raises the fencing token, with a renewal of its own.
  link->Start({.upstream = kIndex, .task = TaskOf(50), .attempt = 1});
  calls.starts.at(0)({.verdict = CallVerdict::kUnknown});
  const size_t second_old = last();
  const size_t first_old = second_old - 1;
  link->OnListed("up:1", kSecond);
  incarnation = kSecond;
  Reply(last(), 100, {}, {});
  BOOST_REQUIRE(events.reachable);
  for (const size_t renewal : {first_old, second_old}) {
    calls.renewals[renewal].done({.call = {.verdict = CallVerdict::kUnknown}});
  }
  BOOST_TEST(events.reachable);
}

/// A link to an upstream that reports nothing more after a start.
struct StartFixture : Fixture {
  static constexpr int64_t kFirst = 1000000;
  static constexpr int64_t kClockMs = 5000;
  static constexpr Millis kReplyTime{2};
  /// Longer than the leases that the leader asks for.
  static constexpr Millis kAfterLeases{4500};
  /// Longer than any lease that a call for this incarnation gives a later one.
  static constexpr Millis kAfterStaleCalls{23000};
  const scheduling::RunSet kRun{{TaskOf(50), 1}};

  void OpenAndStart(int64_t reported_incarnation) {
    incarnation = reported_incarnation;
    events.store_confirmation = clock.now();
    link->Open();
    Reply(0, kClockMs, {}, {});
    link->Start({.upstream = kIndex, .task = TaskOf(50), .attempt = 1});
    clock.RunFor(kReplyTime);
  }
  void AnswerStart(int64_t clock_ms) {
    calls.starts.at(0)({.verdict = CallVerdict::kDone, .clock_ms = clock_ms});
  }
  void FailStart() { calls.starts.at(0)({.verdict = CallVerdict::kUnknown}); }
  /// Lets time pass in which no renewal is answered.
  void CutOffFor(Millis span) {
    constexpr Millis kStep{50};
    for (Millis passed{0}; passed < span; passed += kStep) {
      while (unanswered < calls.renewals.size()) {
        const auto fail = calls.renewals[unanswered++].done;
        fail({.call = {.verdict = CallVerdict::kUnknown}});
      }
      clock.RunFor(kStep);
      events.store_confirmation = clock.now();
    }
  }
  /// Answers the renewals in flight; only the last one has the highest token.
  void ReportAgain(std::vector<ports::RunningTask> running) {
    while (unanswered < calls.renewals.size()) {
      Reply(unanswered++, kClockMs + 30000 + ++reports, running, {});
    }
  }

  /// The first renewal without an answer.
  size_t unanswered = 1;
  int64_t reports = 0;
};

/// Guards against two runs of a task at once: an incarnation that the leader
/// does not know has executed its start, with a longer lease.
BOOST_FIXTURE_TEST_CASE(StartInDoubtIsHeldWhenTheLeasesHaveExpired,
                        StartFixture) {
  OpenAndStart(kFirst);
  FailStart();
  CutOffFor(kAfterLeases);
  BOOST_REQUIRE(events.held);
  BOOST_TEST((*events.held == kRun));
  BOOST_TEST(!link->all_runs_ended());
  CutOffFor(kAfterStaleCalls - kAfterLeases);
  BOOST_TEST(events.times_all_runs_ended == 1);
  BOOST_TEST(link->all_runs_ended());
}

/// The same where that incarnation has answered the start.
BOOST_FIXTURE_TEST_CASE(StartAnsweredOnAnotherClockIsHeld, StartFixture) {
  OpenAndStart(kFirst);
  AnswerStart(kClockMs / 2);
  BOOST_TEST(events.start_verdicts.empty());
  BOOST_TEST(calls.renewals.back().call.fence == 2);
  CutOffFor(kAfterLeases);
  BOOST_REQUIRE(events.held);
  BOOST_TEST((*events.held == kRun));
}

/// Guards against a start that stays in doubt although the known incarnation
/// lists it.
BOOST_FIXTURE_TEST_CASE(StartAnsweredOnAnotherClockIsResolvedByTheNextReport,
                        StartFixture) {
  OpenAndStart(kFirst);
  AnswerStart(10 * kClockMs);
  BOOST_TEST(events.start_verdicts.empty());
  ReportAgain({{.task = TaskOf(50), .attempt = 1}});
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kDone));
}

/// Guards against tasks that wait for longer than the lease without need.
BOOST_FIXTURE_TEST_CASE(StartAnsweredByTheKnownIncarnationIsNotHeld,
                        StartFixture) {
  OpenAndStart(kFirst);
  AnswerStart(kClockMs + 1);
  BOOST_TEST(events.start_verdicts.size() == 1U);
  CutOffFor(kAfterLeases);
  BOOST_TEST(!events.held);
  BOOST_TEST(events.times_all_runs_ended == 1);
}

/// The same for an upstream that has a new id when it restarts.
BOOST_FIXTURE_TEST_CASE(NothingIsHeldWithoutAStartTime, StartFixture) {
  OpenAndStart(0);
  FailStart();
  CutOffFor(kAfterLeases);
  BOOST_TEST(!events.held);
  BOOST_TEST(events.times_all_runs_ended == 1);
}

BOOST_FIXTURE_TEST_CASE(AnyAnswerConfirmsAStartWithoutAStartTime,
                        StartFixture) {
  OpenAndStart(0);
  AnswerStart(kClockMs / 2);
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kDone));
}

/// Guards against a held start whose task waits on although its upstream
/// answers again.
BOOST_FIXTURE_TEST_CASE(HeldStartIsResolvedByALaterReport, StartFixture) {
  OpenAndStart(kFirst);
  FailStart();
  CutOffFor(kAfterLeases);
  BOOST_REQUIRE(events.held);
  ReportAgain({});
  BOOST_REQUIRE_EQUAL(events.start_verdicts.size(), 1U);
  BOOST_TEST((events.start_verdicts[0] == CallVerdict::kNotSent));
  // Lost again, the upstream holds nothing.
  events.held.reset();
  CutOffFor(kAfterLeases);
  BOOST_TEST(!events.held);
  BOOST_TEST(events.times_all_runs_ended == 1);
}

/// Guards against a job that is shown as complete although its task has to run
/// again: the lease expired before its completion was acknowledged.
BOOST_FIXTURE_TEST_CASE(CompletionBeforeALeaseExpiryDoesNotCount, Fixture) {
  link->Open();
  std::vector<ports::EndedTask> ended = DoneCompletions(1, 3);
  ended[1].kind = ports::EndKind::kLeaseExpired;
  Reply(0, 1000, {}, ended);
  BOOST_REQUIRE_EQUAL(events.ended.size(), 3U);
  BOOST_TEST((events.ended[0].kind == ports::EndKind::kLeaseExpired));
  BOOST_TEST((events.ended[2].kind == ports::EndKind::kDone));
}

/// The same where the expiry does not fit into the reply with the completion.
BOOST_FIXTURE_TEST_CASE(CompletionBeforeALeaseExpiryInTheNextReplyDoesNotCount,
                        Fixture) {
  link->Open();
  Reply(0, 1000, {}, DoneCompletions(1, kMaxListedCompletions), true);
  link->AcknowledgeCompletions(0, kMaxListedCompletions);
  clock.RunFor(Millis(300));
  std::vector<ports::EndedTask> expiry{
      DoneCompletion(kMaxListedCompletions + 1)};
  expiry[0].kind = ports::EndKind::kLeaseExpired;
  Reply(calls.renewals.size() - 1, 1300, {}, expiry);
  BOOST_REQUIRE(link->reconciled());
  const bool counted = std::any_of(
      events.ended.begin(), events.ended.end(),
      [](const auto& end) { return end.kind == ports::EndKind::kDone; });
  BOOST_TEST(!counted);
}

/// Guards against ends that are reported late: a task starts at an upstream
/// between two renewals that are far apart, since nothing ran there.
BOOST_FIXTURE_TEST_CASE(StartEndsThePauseOfAnIdleUpstream, Fixture) {
  link->SetIdleRenewDelay(Millis(1000));
  link->Open();
  Reply(0, 1000, {}, {});
  Reply(1, 1010, {}, {});
  clock.RunFor(Millis(500));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 2U);
  link->Start({.upstream = kIndex, .task = TaskOf(1), .attempt = 1});
  clock.RunFor(Millis(30));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 3U);
  calls.starts.at(0)({.verdict = CallVerdict::kDone, .clock_ms = 1550});
  // The upstream is not idle while the task runs, nor until it has discarded
  // the completion.
  Reply(2, 1600, {{.task = TaskOf(1), .attempt = 1}}, {});
  clock.RunFor(Millis(30));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 4U);
  Reply(3, 1700, {}, {DoneCompletion(1)});
  link->AcknowledgeCompletions(0, 1);
  clock.RunFor(Millis(30));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 5U);
  BOOST_TEST(calls.renewals[4].call.acked_completions == 1);
  clock.RunFor(Millis(300));
  Reply(4, 2100, {}, {});
  clock.RunFor(Millis(900));
  BOOST_TEST(calls.renewals.size() == 5U);
  clock.RunFor(Millis(200));
  BOOST_TEST(calls.renewals.size() == 6U);
}

}  // namespace mimosarail::fleet
