// Tests of placement: no upstream is overcommitted, gangs are placed completely
// or not at all, waiting requests age, failing upstreams are probed. Also tests
// the retry budget, the assignment of racks and the resolution of tasks.

#define BOOST_TEST_MODULE placement
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "src/membership/membership.h"
#include "src/membership/rack_assignment.h"
#include "src/placement/policy.h"
#include "src/placement/starvation_guard.h"
#include "src/placement/wait_queue.h"
#include "src/requests/resolution.h"
#include "src/requests/retry_budget.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::placement {
namespace {

const Amount kCapacity{{16000, 32000, 1, 64, 8}};

CapacityTable MakeTable(int racks, int per_rack) {
  CapacityTable table;
  for (int r = 0; r < racks; ++r) {
    for (int i = 0; i < per_rack; ++i) {
      const CapacityIndex upstream =
          table.Add({.name = "u" + std::to_string(r * 100 + i),
                     .rack = "r" + std::to_string(r),
                     .failure_domain = "d" + std::to_string(r % 3),
                     .capacity = kCapacity});
      table.SetUsable(upstream, true);
    }
  }
  return table;
}

Amount Size(int32_t millicores) { return {{millicores, 100, 0, 0, 1}}; }

std::unique_ptr<Policy> MakePolicy(int which) {
  switch (which) {
    case 0:
      return MakeScoredPolicy(1);
    case 1:
      return MakeFirstFitPolicy();
    case 2:
      return MakeRandomFitPolicy(1);
    default:
      return MakeBestOfTwoPolicy(1);
  }
}

}  // namespace

BOOST_DATA_TEST_CASE(no_policy_overcommits_or_leaks,
                     boost::unit_test::data::xrange(4), which) {
  CapacityTable table = MakeTable(4, 4);
  const auto policy = MakePolicy(which);
  std::mt19937 random(7);
  std::vector<std::pair<CapacityIndex, Amount>> running;
  for (int step = 0; step < 5000; ++step) {
    const Amount size = Size(static_cast<int32_t>(250 + random() % 9000));
    const int tasks = random() % 5 == 0 ? 3 : 1;
    const bool spread = random() % 2 == 0;
    for (const CapacityIndex upstream : policy->Place(
             table,
             {.size = size, .tasks = tasks, .spread = spread, .group = 5})) {
      running.emplace_back(upstream, size);
    }
    while (running.size() > 60) {
      const size_t i = random() % running.size();
      table.Release(running[i].first, running[i].second, 5);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const UpstreamCapacity& upstream : table.upstreams()) {
      for (const int32_t free : upstream.free.values) BOOST_REQUIRE(free >= 0);
    }
  }
  for (const auto& [upstream, size] : running) table.Release(upstream, size, 5);
  BOOST_TEST((table.total_free() == table.total_capacity()));
  BOOST_TEST(table.GroupTasksInDomain(5, "d0") == 0);
}

BOOST_AUTO_TEST_CASE(a_gang_is_placed_whole_or_not_at_all) {
  CapacityTable table = MakeTable(1, 2);
  const auto policy = MakeScoredPolicy(1);
  BOOST_TEST(policy->Place(table, {.size = Size(16000), .tasks = 3}).empty());
  BOOST_TEST((table.total_free() == table.total_capacity()));
  BOOST_TEST(policy->Place(table, {.size = Size(16000), .tasks = 2}).size() ==
             2U);
}

BOOST_AUTO_TEST_CASE(spread_uses_every_failure_domain) {
  CapacityTable table = MakeTable(3, 4);
  const auto policy = MakeScoredPolicy(1);
  std::set<std::string> domains;
  for (int i = 0; i < 3; ++i) {
    const auto upstreams =
        policy->Place(table, {.size = Size(1000), .spread = true, .group = 9});
    domains.insert(
        table.racks()[table.upstream(upstreams.at(0)).rack].failure_domain);
  }
  BOOST_TEST(domains.size() == 3U);
}

BOOST_AUTO_TEST_CASE(accelerators_are_kept_for_tasks_that_need_them) {
  CapacityTable table;
  const CapacityIndex with =
      table.Add({.name = "with", .rack = "r", .capacity = kCapacity});
  Amount plain = kCapacity;
  plain[Dimension::kAccelerators] = 0;
  const CapacityIndex without =
      table.Add({.name = "without", .rack = "r", .capacity = plain});
  table.SetUsable(with, true);
  table.SetUsable(without, true);
  const auto policy = MakeScoredPolicy(1);
  BOOST_TEST(policy->Place(table, {.size = Size(1000)}).at(0) == without);
}

BOOST_AUTO_TEST_CASE(constraints_are_met_and_the_closest_upstream_is_named) {
  CapacityTable table = MakeTable(3, 2);
  const auto policy = MakeScoredPolicy(1);
  const std::vector<std::string> domains{"d1"};
  const auto upstreams =
      policy->Place(table, {.size = Size(1000), .failure_domains = &domains});
  BOOST_TEST(
      table.racks()[table.upstream(upstreams.at(0)).rack].failure_domain ==
      "d1");
  const std::string why = ExplainNoCapacity(table, {.size = Size(17000)});
  BOOST_TEST(
      why.find("needs 17000 millicores, free 16000") != std::string::npos, why);
}

// Guards against an upstream that fails every task within a millisecond. It
// always looks idle, so without single probes it would attract all work of the
// cell and fail it.
BOOST_AUTO_TEST_CASE(an_upstream_that_fails_everything_gets_single_probes) {
  CapacityTable table = MakeTable(1, 1);
  const auto policy = MakeScoredPolicy(1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int placed = 0;
  for (int second = 0; second < 600; ++second) {
    now += std::chrono::seconds(1);
    const auto upstreams =
        policy->Place(table, {.size = Size(1000), .now = now});
    if (upstreams.empty()) continue;
    ++placed;
    table.NoteFailure(upstreams[0], now);
    table.Release(upstreams[0], Size(1000));
  }
  BOOST_TEST(placed < 30);
  BOOST_TEST(placed > 5);
  table.NoteSuccess(0);
  BOOST_TEST(policy->Place(table, {.size = Size(1000), .now = now}).size() ==
             1U);
}

// Guards against starvation of low priorities. One request of priority 6 waits
// while newer requests of priority 5 keep arriving. By priority alone it would
// stay queued for as long as they arrive.
BOOST_AUTO_TEST_CASE(waiting_requests_age_so_that_none_starves) {
  WaitQueue queue;
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  queue.Push({.id = 1, .priority = 6, .team = "a", .since = start, .shape = 1});
  TimePoint now = start;
  bool done = false;
  for (uint64_t id = 2; id < 1000 && !done; ++id) {
    now += std::chrono::seconds(10);
    queue.Push(
        {.id = id, .priority = 5, .team = "b", .since = now, .shape = id});
    bool placed_one = false;
    queue.VisitInOrder(now, [&](const QueueItem& item) {
      if (placed_one) return VisitResult::kStop;
      placed_one = true;
      done |= item.id == 1;
      return VisitResult::kPlaced;
    });
  }
  BOOST_TEST(done);
}

BOOST_AUTO_TEST_CASE(urgent_requests_first_then_order_of_arrival) {
  WaitQueue queue;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  queue.Push({.id = 1, .priority = 4, .since = now, .shape = 1});
  queue.Push({.id = 2, .priority = 4, .since = now + Millis(1), .shape = 2});
  queue.Push({.id = 3, .priority = 0, .since = now + Millis(2), .shape = 3});
  std::vector<uint64_t> order;
  queue.VisitInOrder(now, [&](const QueueItem& item) {
    order.push_back(item.id);
    return VisitResult::kBlocked;
  });
  BOOST_TEST((order == std::vector<uint64_t>{3, 1, 2}));
}

BOOST_AUTO_TEST_CASE(identical_blocked_requests_are_tried_once_per_pass) {
  WaitQueue queue;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (uint64_t id = 1; id <= 1000; ++id) {
    queue.Push({.id = id, .priority = 4, .since = now, .shape = id % 3});
  }
  int visits = 0;
  queue.VisitInOrder(now, [&](const QueueItem&) {
    ++visits;
    return VisitResult::kBlocked;
  });
  BOOST_TEST(visits == 3);
}

BOOST_AUTO_TEST_CASE(retries_are_a_share_of_starts) {
  requests::RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.NoteStart("rule");
    if (budget.TryConsume("rule")) ++retries;
  }
  BOOST_TEST(retries <= 210);
  BOOST_TEST(retries >= 190);
}

}  // namespace mimosarail::placement

namespace mimosarail::membership {
namespace {

class DiscardingSender final : public HeartbeatSender {
 public:
  void Send(const std::string&, const wire::Heartbeat&) override {}
};

}  // namespace

// Racks are reassigned when an entry joins or leaves. Each reassigned rack
// needs a takeover, during which its control pauses.
BOOST_AUTO_TEST_CASE(racks_are_balanced_and_few_are_reassigned) {
  std::vector<RackInfo> racks;
  for (int i = 0; i < 60; ++i) {
    racks.push_back({"rack-" + std::to_string(i), "d" + std::to_string(i % 3)});
  }
  std::vector<ControllerInfo> entries;
  for (int i = 0; i < 6; ++i) {
    entries.push_back({"e" + std::to_string(i), "d" + std::to_string(i % 3)});
  }
  const auto before = AssignRacks(racks, entries);
  std::map<std::string, int> load;
  for (const auto& [rack, entry] : before) ++load[entry];
  for (const auto& [entry, count] : load) BOOST_TEST(count == 10);
  entries.erase(entries.begin() + 2);
  const auto after = AssignRacks(racks, entries);
  int moved = 0;
  for (const auto& [rack, entry] : before) {
    if (entry != "e2" && after.at(rack) != entry) ++moved;
  }
  BOOST_TEST(moved <= 10);
  std::reverse(racks.begin(), racks.end());
  std::reverse(entries.begin(), entries.end());
  BOOST_TEST((AssignRacks(racks, entries) == after));
}

/// Guards against an entry that is dead to the others although it answers: its
/// clock, the source of incarnation numbers, was set back before it restarted.
BOOST_AUTO_TEST_CASE(RestartedEntryIsKnownAfterItsClockWasSetBack) {
  constexpr int64_t kFormer = 2000;
  constexpr int64_t kRestarted = 1000;
  sim::ManualClock clock;
  sim::ManualExecutor executor{clock};
  DiscardingSender sender;
  const MembershipOptions options{.name = "a", .incarnation = 1};
  Membership self(
      executor, sender, options, [](wire::Heartbeat&) {}, [] {});
  self.Start();
  const auto receive = [&](int64_t incarnation, Millis span) {
    for (int64_t sequence = 1; span > Millis(0); ++sequence) {
      wire::Heartbeat heartbeat;
      heartbeat.name = "b";
      heartbeat.address = "b:1";
      heartbeat.incarnation = incarnation;
      heartbeat.sequence = sequence;
      self.Receive(heartbeat);
      clock.RunFor(options.heartbeat_interval);
      span -= options.heartbeat_interval;
    }
  };
  receive(kFormer, Millis(5000));
  BOOST_REQUIRE(self.IsCurrentProcess("b", kFormer));
  receive(kRestarted, options.dead_after + 2 * options.return_after);
  BOOST_TEST(self.IsCurrentProcess("b", kRestarted));
  BOOST_TEST(!self.IsConfirmedDead("b", kRestarted));
}

}  // namespace mimosarail::membership

namespace mimosarail::requests {
namespace {

/// The inputs and the expected result of one ResolveTask() call.
struct ResolutionCase {
  const char* name;
  bool reported_running;
  bool reported_moved;
  bool covered;
  bool fenced;
  bool upstream_removed;
  bool lease_expiry_proved;
  ResolutionResult expected;
};

std::ostream& operator<<(std::ostream& out, const ResolutionCase& c) {
  return out << c.name;
}

const std::vector<ResolutionCase> kResolutionCases{
    {"held by another entry", true, false, false, false, false, false,
     ResolutionResult::kRunning},
    {"moved, so its outcome is unknown", false, true, true, false, false, false,
     ResolutionResult::kWait},
    {"absent, not fenced", false, false, true, false, false, false,
     ResolutionResult::kWait},
    {"absent, an upstream not covered", false, false, false, true, false, false,
     ResolutionResult::kWait},
    {"absent, covered, fenced", false, false, true, true, false, false,
     ResolutionResult::kNotStarted},
    {"absent, but an upstream left with its inventory", false, false, true,
     true, true, false, ResolutionResult::kNotRunning},
    {"lease expiry proved, not covered", false, true, false, true, false, true,
     ResolutionResult::kNotRunning},
};

}  // namespace

BOOST_DATA_TEST_CASE(tasks_are_resolved_by_the_answers,
                     boost::unit_test::data::make(kResolutionCases), c) {
  std::map<std::string, wire::FindReply> answers;
  wire::FindReply& reply = answers["entry"];
  reply.attached = {"up-1"};
  if (c.covered) reply.attached.push_back("up-2");
  if (c.reported_running || c.reported_moved) {
    wire::TaskReport task;
    task.attempt = 7;
    task.ended = c.reported_moved;
    task.report.result = wire::TaskEnd::kMoved;
    reply.tasks.push_back(task);
  }
  const Resolution result =
      ResolveTask({.attempt = 7,
                   .answers = &answers,
                   .listed_upstreams = {"up-1", "up-2"},
                   .fenced = c.fenced,
                   .upstream_removed = c.upstream_removed,
                   .lease_expiry_proved = c.lease_expiry_proved});
  BOOST_TEST(static_cast<int>(result.result) == static_cast<int>(c.expected));
}

// Guards against an upstream that counts as crashed by a task, although the
// task may not have started there, or the upstream is only unresponsive.
BOOST_AUTO_TEST_CASE(only_a_started_task_shows_that_its_upstream_is_lost) {
  std::map<std::string, wire::FindReply> answers;
  answers["entry"].attached = {"up-1"};
  const auto upstream_lost = [&](bool began, bool covered) {
    const Resolution result =
        ResolveTask({.attempt = 7,
                     .answers = &answers,
                     .listed_upstreams = {covered ? "up-1" : "up-2"},
                     .fenced = true,
                     .upstream_removed = true,
                     .lease_expiry_proved = true,
                     .began = began});
    BOOST_TEST((result.result == ResolutionResult::kNotRunning));
    return result.upstream_lost;
  };
  BOOST_TEST(upstream_lost(true, true));
  BOOST_TEST(!upstream_lost(false, true));
  BOOST_TEST(!upstream_lost(true, false));
}

}  // namespace mimosarail::requests

namespace mimosarail::placement {

// Guards against starvation of gangs. A gang needs eight slots at once, while
// jobs of one slot take each slot that becomes free. Without the guard the gang
// waits for as long as they keep arriving.
BOOST_AUTO_TEST_CASE(small_jobs_do_not_starve_a_gang) {
  CapacityTable table = MakeTable(1, 1);
  WaitQueue queue;
  StarvationGuard guard;
  const auto policy = MakeScoredPolicy(1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  uint64_t id = 1;
  std::vector<std::pair<TimePoint, Amount>> running;
  const Amount small{{1000, 100, 0, 0, 1}};
  bool gang_started = false;
  for (int second = 0; second < 3600 && !gang_started; ++second) {
    now += std::chrono::seconds(1);
    if (second == 30) {
      queue.Push(
          {.id = 1, .priority = 4, .since = now, .shape = 1, .large = true});
    }
    queue.Push({.id = ++id, .priority = 4, .since = now, .shape = 2});
    while (!running.empty() && running.front().first <= now) {
      table.Release(0, running.front().second);
      running.erase(running.begin());
    }
    guard.BeginPass(now);
    queue.VisitInOrder(now, [&](const QueueItem& item) {
      if (!guard.MayStart(item)) return VisitResult::kSkipped;
      const int tasks = item.large ? 8 : 1;
      const auto upstreams =
          policy->Place(table, {.size = small, .tasks = tasks, .urgent = true});
      if (upstreams.empty()) {
        guard.NoteBlocked(item);
        return VisitResult::kBlocked;
      }
      gang_started |= item.large;
      running.emplace_back(now + std::chrono::seconds(20), small);
      return VisitResult::kPlaced;
    });
    guard.EndPass();
  }
  BOOST_TEST(gang_started);
}

BOOST_AUTO_TEST_CASE(work_that_is_not_urgent_leaves_a_reserve) {
  CapacityTable table = MakeTable(2, 4);
  const auto policy = MakeScoredPolicy(1);
  int placed = 0;
  while (!policy->Place(table, {.size = Size(500)}).empty()) ++placed;
  BOOST_TEST(placed == 63);  // of 64 slots
  BOOST_TEST(policy->Place(table, {.size = Size(500), .urgent = true}).size() ==
             1U);
}

}  // namespace mimosarail::placement

namespace mimosarail::placement {

// A policy may choose an upstream on which the task does not fit; the
// reservation itself must be refused.
BOOST_AUTO_TEST_CASE(a_reservation_that_does_not_fit_is_refused) {
  CapacityTable table = MakeTable(1, 1);
  BOOST_TEST(!table.Reserve(0, Size(16001)));
  BOOST_TEST(table.Reserve(0, Size(16000)));
  BOOST_TEST(!table.Reserve(0, Size(1)));
  BOOST_TEST(table.upstream(0).tasks == 1);
}

}  // namespace mimosarail::placement
