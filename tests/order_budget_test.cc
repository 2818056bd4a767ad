#define BOOST_TEST_MODULE order_budget
#include "src/coordinator/order_budget.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/jobentry/link_refusals.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::coordinator {
namespace {

using scheduling::AdviceBudget;
using scheduling::Orders;
using scheduling::Scheduler;
using scheduling::StartBudget;
using scheduling::StartOrder;

constexpr int64_t kThinLink = 250;    // 2 Mbit/s
constexpr int64_t kUsualLink = 1250;  // 10 Mbit/s
constexpr AdviceBudget kAdvice{.any = 50, .urgent_only = 5};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

/// A pool with ample capacity, and jobs that differ in their payloads.
class PlacementHarness {
 public:
  PlacementHarness() {
    for (int i = 0; i < 4; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {.millicores = 64000, .memory_mb = 256000};
      scheduler.pool().at(scheduler.pool().Update(entry)).reachable = true;
    }
    Orders none;
    scheduler.ResolveAll(kStart, none);
  }

  void Add(JobId id, int32_t priority, int32_t tasks, bool gang,
           size_t payload_bytes) {
    wire::JobSpec spec;
    spec.id = static_cast<int64_t>(id);
    spec.payload = std::string(payload_bytes, 'x');
    spec.queue.name = "q";
    spec.queue.pool = "pool";
    spec.queue.priority = priority;
    spec.queue.max_attempts = 2;
    wire::StepSpec step;
    step.tasks = tasks;
    step.millicores = 1000;
    step.memory_mb = 100;
    step.estimate_ms = 1000;
    step.gang = gang;
    spec.steps.push_back(step);
    scheduler.Add(spec, kStart, 0);
  }

  Orders Place(StartBudget starts) {
    Orders orders;
    scheduler.Place(kStart, kAdvice, orders, starts);
    return orders;
  }

  Scheduler scheduler{scheduling::SchedulerOptions{}};
};

int64_t TotalBytes(const Orders& orders) {
  int64_t bytes = 0;
  for (const StartOrder& start : orders.starts) {
    bytes += scheduling::StartBytes(start);
  }
  return bytes;
}

}  // namespace

/// Guards against a limit where the rate of the link is not configured.
BOOST_AUTO_TEST_CASE(UnknownLinkIsUnlimited) {
  OrderBudget budget(0);
  budget.Charge(LinkPurpose::kStarts, 1 << 30, kStart);
  const StartBudget starts = budget.Available(kStart);
  BOOST_TEST(!starts.limited);
  BOOST_TEST(starts.Permits(1 << 30));
  BOOST_TEST(budget.TimeUntil(1 << 30, kStart).count() == 0);
}

/// Guards against starts that use more than their share of the link, and
/// against a budget that accumulates without bound while idle.
BOOST_AUTO_TEST_CASE(StartsUseTheirShareOfTheLink) {
  OrderBudget budget(kThinLink);
  constexpr int64_t kBytes = 1750;
  int64_t sent = 0;
  TimePoint now = kStart + std::chrono::hours(10);
  const TimePoint end = now + Millis(10000);
  for (; now < end; now += Millis(5)) {
    while (budget.Available(now).Permits(kBytes)) {
      budget.Charge(LinkPurpose::kStarts, kBytes, now);
      sent += kBytes;
    }
  }
  const double share = static_cast<double>(sent) / (10 * 250e3);
  BOOST_TEST(share > 0.97 * kOrderShare);
  BOOST_TEST(share < 1.05 * kOrderShare);
}

/// Guards against a budget that leaves too little for renewals where these need
/// much of the link, or uses less of it than it could where they need little.
BOOST_AUTO_TEST_CASE(ShareDependsOnTheOtherMessages) {
  BOOST_TEST(OrderShare(kUsualLink, 0) == kMaxOrderShare);
  BOOST_TEST(OrderShare(kUsualLink, 1000000) == kMinOrderShare);
  BOOST_TEST(OrderShare(kThinLink, 75000) > 0.654);
  BOOST_TEST(OrderShare(kThinLink, 75000) < 0.656);
  OrderBudget budget(kThinLink);
  budget.SetControlRate(0, kStart);
  BOOST_TEST(budget.bytes_per_s() == 187500);
  OrderBudget unknown(0);
  unknown.SetControlRate(1000000, kStart);
  BOOST_TEST(!unknown.limited());
}

/// Guards against a gang larger than a full budget that never starts.
BOOST_AUTO_TEST_CASE(LargeGangLeadsToDebt) {
  OrderBudget budget(kThinLink);
  constexpr int64_t kGang = 200000;
  BOOST_TEST(budget.Available(kStart).Permits(kGang));
  budget.Charge(LinkPurpose::kStarts, kGang, kStart);
  BOOST_TEST(!budget.Available(kStart).Permits(1));
  const Millis wait = budget.TimeUntil(1, kStart);
  // 150 kB/s refill a debt of 200 kB - 37.5 kB.
  BOOST_TEST(wait.count() >= 1083);
  BOOST_TEST(wait.count() <= 1085);
  BOOST_TEST(!budget.Available(kStart + wait - Millis(2)).Permits(1));
  BOOST_TEST(budget.Available(kStart + wait).Permits(1));
}

/// Guards against a large append that stops all starts for many seconds.
BOOST_AUTO_TEST_CASE(DebtOfAppendsIsBounded) {
  OrderBudget budget(kThinLink);
  budget.Charge(LinkPurpose::kAppends, 10000000, kStart);
  BOOST_TEST(!budget.Available(kStart).Permits(1));
  BOOST_TEST(budget.TimeUntil(1, kStart) <= kMaxAppendDebt + Millis(1));
  // It never reduces a debt, either.
  budget.Charge(LinkPurpose::kStarts, 1000000, kStart);
  const Millis before = budget.TimeUntil(1, kStart);
  budget.Charge(LinkPurpose::kAppends, 1000, kStart);
  BOOST_TEST(budget.TimeUntil(1, kStart).count() == before.count());
}

/// Guards against backlogs that are judged by the whole rate while appends use
/// most of it.
BOOST_AUTO_TEST_CASE(AppendsReduceTheRateForStarts) {
  OrderBudget budget(kThinLink);
  BOOST_TEST(budget.StartBytesPerSecond(kStart) == budget.bytes_per_s());
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i, now += Millis(100)) {
    budget.Charge(LinkPurpose::kAppends, 7500, now);
  }
  const int64_t left = budget.StartBytesPerSecond(now);
  BOOST_TEST(left > 65000);
  BOOST_TEST(left < 85000);
  budget.Charge(LinkPurpose::kAppends, 10000000, now);
  BOOST_TEST(budget.StartBytesPerSecond(now) ==
             static_cast<int64_t>(kMinStartShare * 150000));
}

/// Guards against a budget that delays the usual load of a leader with 10
/// Mbit/s: 100 starts of 2 kB a second in groups of 20, and its appends.
BOOST_AUTO_TEST_CASE(UsualLinkDelaysNoStart) {
  OrderBudget budget(kUsualLink);
  constexpr int kGroup = 20;
  constexpr int64_t kBytes = 2000 + scheduling::kStartOverheadBytes;
  for (TimePoint now = kStart; now < kStart + Millis(60000);
       now += Millis(200)) {
    budget.Charge(LinkPurpose::kAppends, 20000, now);
    BOOST_REQUIRE(budget.Available(now).Permits(kGroup * kBytes));
    budget.Charge(LinkPurpose::kStarts, kGroup * kBytes, now);
  }
}

/// Guards against an exceeded budget, and against a pass that lets steps
/// further back use up what the first step waits for.
BOOST_AUTO_TEST_CASE(QueueOrderDecidesWhoUsesTheBudget) {
  PlacementHarness harness;
  harness.Add(1, 1, 10, false, 600);
  harness.Add(2, 0, 3, false, 1600);
  harness.Add(3, 2, 10, false, 0);
  const StartBudget budget{
      .limited = true, .bytes = 7500, .burst_bytes = 37500};
  const Orders orders = harness.Place(budget);
  // Three urgent starts of 2 kB, then one of 1 kB; a second one does not fit.
  BOOST_REQUIRE(orders.starts.size() == 4U);
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(orders.starts[i].task.job == 2U);
  }
  BOOST_TEST(orders.starts[3].task.job == 1U);
  BOOST_TEST(TotalBytes(orders) <= budget.bytes);
  BOOST_REQUIRE(orders.awaited_start_bytes.has_value());
  BOOST_TEST(*orders.awaited_start_bytes == 1000);
  BOOST_TEST(harness.scheduler.WaitingStartBytes().at(1) == 9000);
  BOOST_TEST(harness.scheduler.WaitingStartBytes().at(2) == 4000);
}

/// Guards against gangs that start in part, and against gangs larger than the
/// budget ever is that wait forever.
BOOST_AUTO_TEST_CASE(GangsStartWholeOrWait) {
  PlacementHarness harness;
  harness.Add(1, 0, 20, true, 1600);
  const Orders part =
      harness.Place({.limited = true, .bytes = 37499, .burst_bytes = 37500});
  BOOST_TEST(part.starts.empty());
  BOOST_REQUIRE(part.awaited_start_bytes.has_value());
  BOOST_TEST(*part.awaited_start_bytes == 37500);
  const Orders whole =
      harness.Place({.limited = true, .bytes = 37500, .burst_bytes = 37500});
  BOOST_TEST(whole.starts.size() == 20U);
  BOOST_TEST(!whole.awaited_start_bytes.has_value());
}

/// Guards against capacity that is reserved for starts that wait for the
/// budget.
BOOST_AUTO_TEST_CASE(WaitingStartsReserveNothing) {
  PlacementHarness harness;
  harness.Add(1, 0, 20, true, 1600);
  harness.Add(2, 0, 20, false, 1600);
  harness.Place({.limited = true, .bytes = 0, .burst_bytes = 37500});
  for (const UpstreamIndex upstream : harness.scheduler.pool().all()) {
    BOOST_TEST(harness.scheduler.pool().at(upstream).reservations.empty());
  }
}

/// Guards against starts that are withheld though the link is not limited.
BOOST_AUTO_TEST_CASE(UnlimitedBudgetStartsAll) {
  PlacementHarness harness;
  harness.Add(1, 0, 20, true, 100000);
  harness.Add(2, 1, 20, false, 100000);
  const Orders orders = harness.Place({});
  BOOST_TEST(orders.starts.size() == 40U);
  BOOST_TEST(!orders.awaited_start_bytes.has_value());
}

/// Guards against renewals of idle upstreams that fill a thin link, and against
/// pauses on links that carry them easily.
BOOST_AUTO_TEST_CASE(IdleUpstreamsPauseOnThinLinksOnly) {
  constexpr Millis kWait{1000};
  BOOST_TEST(IdleRenewPause(0, 3000, kWait).count() == 0);
  BOOST_TEST(IdleRenewPause(25000, 3000, kWait).count() == 0);
  BOOST_TEST(IdleRenewPause(kUsualLink, 300, kWait).count() == 0);
  // 100 renewals of 400 B take 1.6 s on a tenth of 250 kB/s.
  BOOST_TEST(IdleRenewPause(kThinLink, 100, kWait).count() == 600);
  BOOST_TEST(IdleRenewPause(kThinLink, 3000, kWait).count() ==
             kMaxIdleRenewPause.count());
}

/// Guards against refusals on links that are not full, and against accepted
/// jobs that wait longer for the link than their callers would.
BOOST_AUTO_TEST_CASE(JobsAreRefusedOnlyBehindALongBacklog) {
  StartBacklog backlog{.limited_for = Millis(2000),
                       .waiting_bytes = 150000,
                       .bytes_per_s = 150000};
  BOOST_TEST(!RetryAfterBacklog(backlog).has_value());
  backlog.waiting_bytes = 450000;
  BOOST_TEST(!RetryAfterBacklog(backlog).has_value());
  backlog.waiting_bytes = 600000;
  BOOST_REQUIRE(RetryAfterBacklog(backlog).has_value());
  BOOST_TEST(RetryAfterBacklog(backlog)->count() == 4000);
  backlog.waiting_bytes = 1000000000;
  BOOST_TEST(RetryAfterBacklog(backlog)->count() == kMaxLinkRetry.count());
  backlog.limited_for = kFullLinkDelay - Millis(1);
  BOOST_TEST(!RetryAfterBacklog(backlog).has_value());
  // No limit is known.
  BOOST_TEST(!RetryAfterBacklog({.limited_for = Millis(2000),
                                 .waiting_bytes = 1000000000,
                                 .bytes_per_s = 0})
                  .has_value());
}

/// Guards against a backlog in which every urgent job is late.
BOOST_AUTO_TEST_CASE(JobsThatWouldBeLateAreRefused) {
  const StartBacklog backlog{.limited_for = Millis(2000),
                             .waiting_bytes = 100000,
                             .bytes_per_s = 100000};
  BOOST_TEST(RetryAfterBacklog(backlog, Millis(700)).has_value());
  BOOST_TEST(!RetryAfterBacklog(backlog, Millis(1100)).has_value());
  BOOST_TEST(!RetryAfterBacklog(backlog, Millis(60000)).has_value());
  // A job without any slack is accepted while little waits.
  const StartBacklog small{.limited_for = Millis(2000),
                           .waiting_bytes = 20000,
                           .bytes_per_s = 100000};
  BOOST_TEST(!RetryAfterBacklog(small, Millis(0)).has_value());
}

/// Guards against entries that refuse urgent jobs because of others, or refuse
/// long after the leader's link is free again.
BOOST_AUTO_TEST_CASE(EntriesRefuseOnlyLessUrgentJobsAndBriefly) {
  jobentry::LinkRefusals refusals;
  BOOST_TEST(!refusals.RetryAfter(0, kStart).has_value());
  refusals.Note(1, Millis(0), Millis(4000), kStart);
  BOOST_TEST(!refusals.RetryAfter(1, kStart).has_value());
  refusals.Note(1, Millis(60000), Millis(4000), kStart);
  BOOST_TEST(!refusals.RetryAfter(0, kStart + Millis(100)).has_value());
  BOOST_REQUIRE(refusals.RetryAfter(1, kStart + Millis(100)).has_value());
  BOOST_TEST(refusals.RetryAfter(1, kStart + Millis(100))->count() == 3900);
  BOOST_TEST(refusals.RetryAfter(2, kStart + Millis(100))->count() == 3900);
  BOOST_TEST(!refusals.RetryAfter(2, kStart + Millis(1000)).has_value());
}

}  // namespace mimosarail::coordinator
