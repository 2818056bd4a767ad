#define BOOST_TEST_MODULE upstream_link
#include "src/fleet/upstream_link.h"

#include <boost/test/unit_test.hpp>

#include "tests/sim/manual_executor.h"

namespace mimosarail::fleet {
namespace {

using ports::CallVerdict;

constexpr JobId kJob = 1;
constexpr UpstreamIndex kIndex{0};
/// So many ends an upstream lists in one answer.
constexpr int64_t kEndsAnAnswer = 500;

/// Calls to an upstream, which the test answers when and as it likes.
class HeldCalls final : public ports::TaskPort {
 public:
  struct Renewal {
    ports::RenewCall call;
    std::function<void(ports::RenewReply)> done;
  };

  void Start(const ports::UpstreamTarget&, const ports::StartTask&, Millis,
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

/// What the link has told.
class Told final : public UpstreamEvents {
 public:
  bool MayGiveOrders() override { return true; }
  void OnReport(UpstreamIndex, const std::vector<ports::RunningTask>& now,
                const std::vector<ports::EndedTask>& fresh) override {
    running = now;
    ended.insert(ended.end(), fresh.begin(), fresh.end());
  }
  void OnReachable(UpstreamIndex, bool) override {}
  void OnAllRunsEnded(UpstreamIndex, scheduling::UpstreamLoss) override {}
  void OnStartReply(const scheduling::StartOrder&,
                    const ports::CallReply& reply) override {
    starts.push_back(reply.verdict);
  }
  void OnStopFailed(UpstreamIndex, const TaskId&, int64_t) override {}
  void OnFenced(UpstreamIndex) override {}

  std::vector<ports::RunningTask> running;
  std::vector<ports::EndedTask> ended;
  std::vector<CallVerdict> starts;
};

struct Fixture {
  sim::ManualClock clock;
  sim::ManualExecutor executor{clock};
  HeldCalls calls;
  Told told;
  std::shared_ptr<UpstreamLink> link = std::make_shared<UpstreamLink>(
      executor, calls, told,
      UpstreamLinkOptions{.index = kIndex,
                          .target = {.address = "up:1", .id = "up"},
                          .first_fence = 1});

  void Answer(size_t renewal, int64_t clock_ms,
              std::vector<ports::RunningTask> running,
              std::vector<ports::EndedTask> ended, bool more_ends = false) {
    ports::RenewReply reply;
    reply.call = {.verdict = CallVerdict::kDone, .clock_ms = clock_ms};
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.more_ends = more_ends;
    calls.renewals.at(renewal).done(reply);
  }
};

TaskId TaskOf(int32_t index) { return {kJob, 0, 0, index}; }

ports::EndedTask DoneEnd(int64_t number) {
  return {.number = number,
          .task = TaskOf(static_cast<int32_t>(number)),
          .attempt = 1,
          .kind = ports::EndKind::kDone};
}

std::vector<ports::EndedTask> DoneEnds(int64_t first, int64_t last) {
  std::vector<ports::EndedTask> out;
  for (int64_t n = first; n <= last; ++n) out.push_back(DoneEnd(n));
  return out;
}

}  // namespace

/// Guards against room held for good by an older answer that comes last.
BOOST_FIXTURE_TEST_CASE(OlderRenewReplyIsIgnored, Fixture) {
  link->Open();
  Answer(0, 1000, {}, {});
  const ports::RunningTask run{.task = TaskOf(1), .attempt = 1};
  Answer(1, 1010, {run}, {});
  clock.RunFor(Millis(50));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 3U);
  BOOST_REQUIRE(calls.renewals[2].call.wait > Millis(0));
  link->Start({.upstream = kIndex, .task = TaskOf(2), .attempt = 1});
  BOOST_REQUIRE_EQUAL(calls.starts.size(), 1U);
  calls.starts[0]({.verdict = CallVerdict::kUnknown});
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 4U);
  Answer(2, 1100, {}, {DoneEnd(1)});
  BOOST_REQUIRE_EQUAL(told.ended.size(), 1U);
  BOOST_TEST(told.running.empty());
  Answer(3, 1050, {run}, {});
  BOOST_TEST(told.running.empty());
  // The start in doubt is settled by an answer that is newer by the clock.
  clock.RunFor(Millis(50));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 5U);
  Answer(4, 1200, {}, {DoneEnd(1)});
  BOOST_REQUIRE_EQUAL(told.starts.size(), 1U);
  BOOST_TEST((told.starts[0] == CallVerdict::kNotSent));
}

/// Guards against a second run of a task that ended beyond the listed ends.
BOOST_FIXTURE_TEST_CASE(PartialEndListIsNotAnInventory, Fixture) {
  link->Open();
  Answer(0, 1000, {}, DoneEnds(1, kEndsAnAnswer), true);
  BOOST_TEST(told.ended.size() == static_cast<size_t>(kEndsAnAnswer));
  BOOST_TEST(!link->reconciled());
  Answer(1, 1010, {}, DoneEnds(1, kEndsAnAnswer), true);
  BOOST_TEST(!link->reconciled());
  link->AcknowledgeEnds(kEndsAnAnswer);
  clock.RunFor(Millis(300));
  BOOST_REQUIRE_EQUAL(calls.renewals.size(), 3U);
  BOOST_TEST(calls.renewals[2].call.acked_ends == kEndsAnAnswer);
  Answer(2, 1300, {}, DoneEnds(kEndsAnAnswer + 1, kEndsAnAnswer + 3));
  BOOST_TEST(told.ended.size() == static_cast<size_t>(kEndsAnAnswer + 3));
  BOOST_TEST(link->reconciled());
}

/// Guards against a second start of a task that ended beyond them.
BOOST_FIXTURE_TEST_CASE(StartIsUnresolvedWhenEndListIsTruncated, Fixture) {
  link->Open();
  Answer(0, 1000, {}, {});
  link->Start(
      {.upstream = kIndex, .task = TaskOf(kEndsAnAnswer + 1), .attempt = 1});
  calls.starts.at(0)({.verdict = CallVerdict::kUnknown});
  const size_t raised = calls.renewals.size() - 1;
  Answer(raised, 1020, {}, DoneEnds(1, kEndsAnAnswer), true);
  BOOST_TEST(told.starts.empty());
  if (raised > 1) Answer(1, 1030, {}, DoneEnds(1, kEndsAnAnswer), true);
  link->AcknowledgeEnds(kEndsAnAnswer);
  clock.RunFor(Millis(300));
  BOOST_REQUIRE(calls.renewals.size() > raised + 1);
  Answer(calls.renewals.size() - 1, 1300, {},
         DoneEnds(kEndsAnAnswer + 1, kEndsAnAnswer + 1));
  BOOST_REQUIRE_EQUAL(told.starts.size(), 1U);
  BOOST_TEST((told.starts[0] == CallVerdict::kDone));
}

}  // namespace mimosarail::fleet
