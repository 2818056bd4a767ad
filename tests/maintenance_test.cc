#define BOOST_TEST_MODULE maintenance
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "platform/host_codec.h"
#include "src/libs/settings/job_settings.h"
#include "src/maintenance/wave_plan.h"
#include "src/maintenance/wave_records.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using maintenance::DecideWave;
using maintenance::HostMaintenancePhase;
using maintenance::HostView;
using maintenance::WaveDecision;
using maintenance::WaveView;
using ports::HostState;
using ports::HostVerdict;
using ports::WaveStatus;
using Names = std::vector<std::string>;

constexpr int64_t kWave = 4;
/// Seeds that have failed before; they always run. Some of the faults:
/// - 305: An order was refused (429), another host was ordered in its place,
///   and the leader crashed. The next leader found both hosts recorded as
///   ordered and ordered both again, so that two hosts were away where one may
///   be.
/// - 119: One leader ordered a host for a first wave. The next leader ordered
///   it for a second wave, and the first leader again, within the time in which
///   holders may not alternate. Only the wave that had ordered the host waited
///   for that time.
/// - 587, 810: A long-running task was moved by the maintenance, ran again, and
///   crashed. Shortly after, another task was stopped. The check still counted
///   the first task as unavailable because of the maintenance.
/// - 107: An order took effect after it had been treated as lost. The repeated
///   order was answered as begun, and the new upstream of the host was treated
///   as ended although it was running.
/// - 1095: An order of a crashed leader took effect seconds late, less than 3 s
///   before an order of the next leader. The two were sent more than 3 s apart,
///   but the check used the time of the effect.
const std::vector<uint64_t> kRegressionSeeds{305, 119, 587, 810, 107,
                                             39,  46,  291, 1095};
constexpr uint64_t kDefaultSeedCount = 40;

uint64_t SeedCount() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> out = kRegressionSeeds;
  for (uint64_t i = 0; i < SeedCount(); ++i) out.push_back(i);
  return out;
}

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Returns a wave of three hosts without tasks. One host may be away at a time,
/// and a minute is left.
WaveView ThreeHosts() {
  WaveView out{.wave = kWave,
               .max_unavailable = 1,
               .time_left = Millis(60000),
               .free_millicores = 100000};
  for (const char* name : {"a", "b", "c"}) out.hosts.push_back({.host = name});
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(IdleHostStartsMaintenanceWhileNextDrains) {
  const WaveDecision decision = DecideWave(ThreeHosts());
  BOOST_TEST(decision.start_maintenance == Names({"a"}));
  BOOST_TEST(decision.drain == Names({"a", "b"}));
  BOOST_CHECK(decision.status == WaveStatus::kRunning);
}

/// Guards against too many hosts being away: while a host may be away for its
/// maintenance, no other host is ordered.
BOOST_AUTO_TEST_CASE(HostsAwayNeverExceedLimit) {
  struct Row {
    const char* description;
    HostMaintenancePhase phase;
    HostState state;
    bool listed;
    bool allows_another;
  };
  const std::vector<Row> rows{
      {"ordered, outcome unknown", HostMaintenancePhase::kRequested,
       HostState::kUp, true, false},
      {"ordered, and no longer listed", HostMaintenancePhase::kRequested,
       HostState::kUnknown, false, false},
      {"begun, still up in an old reading", HostMaintenancePhase::kInProgress,
       HostState::kUp, true, false},
      {"begun, away", HostMaintenancePhase::kInProgress,
       HostState::kMaintenance, true, false},
      {"begun by another party", HostMaintenancePhase::kPending,
       HostState::kMaintenance, true, false},
      {"seen back", HostMaintenancePhase::kCompleted, HostState::kUp, true,
       true},
      {"begun, left permanently", HostMaintenancePhase::kInProgress,
       HostState::kDown, false, true},
      {"crashed before its order", HostMaintenancePhase::kPending,
       HostState::kDown, true, true},
  };
  for (const Row& row : rows) {
    WaveView view = ThreeHosts();
    view.hosts[0].phase = row.phase;
    view.hosts[0].state = row.state;
    view.hosts[0].listed = row.listed;
    view.hosts[0].on_hold = row.phase == HostMaintenancePhase::kRequested;
    const WaveDecision decision = DecideWave(view);
    BOOST_TEST(
        decision.start_maintenance.size() == (row.allows_another ? 1U : 0U),
        row.description);
  }
}

/// Guards against a wave that is reported as complete before the maintenance of
/// every remaining host has begun.
BOOST_AUTO_TEST_CASE(CompleteOnlyWhenAllHaveBegun) {
  struct Row {
    const char* description;
    HostMaintenancePhase phase;
    HostState state;
    bool listed;
    bool complete;
  };
  const std::vector<Row> rows{
      {"pending", HostMaintenancePhase::kPending, HostState::kUp, true, false},
      {"crashed", HostMaintenancePhase::kPending, HostState::kDown, true,
       false},
      {"away for another wave", HostMaintenancePhase::kPending,
       HostState::kMaintenance, true, false},
      {"in doubt", HostMaintenancePhase::kRequested, HostState::kUp, true,
       false},
      {"in doubt, seen away", HostMaintenancePhase::kRequested,
       HostState::kMaintenance, true, false},
      {"begun", HostMaintenancePhase::kInProgress, HostState::kMaintenance,
       true, true},
      {"back", HostMaintenancePhase::kCompleted, HostState::kUp, true, true},
      {"left before its order", HostMaintenancePhase::kPending,
       HostState::kUnknown, false, true},
      {"not in the wave", HostMaintenancePhase::kExcluded, HostState::kUp, true,
       true},
  };
  for (const Row& row : rows) {
    WaveView view = ThreeHosts();
    for (HostView& host : view.hosts) {
      host.phase = HostMaintenancePhase::kCompleted;
    }
    view.hosts[1].phase = row.phase;
    view.hosts[1].state = row.state;
    view.hosts[1].listed = row.listed;
    const bool complete = DecideWave(view).status == WaveStatus::kComplete;
    BOOST_TEST(complete == row.complete, row.description);
  }
}

/// Guards against a wave that ends late: with much time left, one host is away
/// at a time; with little time left, as many as the limit allows.
BOOST_AUTO_TEST_CASE(PaceFollowsRemainingTime) {
  struct Row {
    Millis time_left;
    size_t started;
  };
  for (const Row& row : std::vector<Row>{{Millis(60000), 1},
                                         {Millis(10000), 2},
                                         {Millis(4000), 3},
                                         {Millis(0), 3}}) {
    WaveView view = ThreeHosts();
    view.max_unavailable = 3;
    view.time_left = row.time_left;
    BOOST_TEST(DecideWave(view).start_maintenance.size() == row.started,
               "time left " << row.time_left.count() << " ms");
  }
}

/// Guards against lost work: the maintenance waits for tasks that can't
/// continue elsewhere, as long as the time allows.
BOOST_AUTO_TEST_CASE(RunningWorkDecidesHostOrder) {
  WaveView view = ThreeHosts();
  view.hosts[0].work = {.tasks = 1, .drain_time = Millis(5000)};
  view.hosts[1].work = {.tasks = 3, .drain_time = Millis(300)};
  view.hosts[2].work = {.tasks = 2, .drain_time = Millis(4000)};
  WaveDecision decision = DecideWave(view);
  BOOST_TEST(decision.start_maintenance.empty());
  BOOST_TEST(decision.drain == Names({"b", "c"}));
  // A host that has begun to drain comes first.
  view.hosts[2].draining = true;
  view.hosts[2].draining_for = Millis(2000);
  BOOST_TEST(DecideWave(view).drain == Names({"c", "b"}));
  BOOST_TEST(DecideWave(view).evict.empty());
  // If the drain takes too long, the tasks are stopped so that the wave ends in
  // time. The maintenance does not begin before they have ended, even if no
  // time is left.
  view.hosts[2].draining_for = Millis(10000);
  BOOST_TEST(DecideWave(view).evict == Names({"c"}));
  view.time_left = Millis(0);
  BOOST_TEST(DecideWave(view).start_maintenance.empty());
  view.hosts[2].work = {};
  BOOST_TEST(DecideWave(view).start_maintenance == Names({"c"}));
  // Without reliable data about the tasks, they do not count as ended.
  view.hosts[2].work = {.known = false};
  BOOST_TEST(DecideWave(view).start_maintenance.empty());
}

/// Guards against hosts that drain in advance although there is no free
/// capacity elsewhere.
BOOST_AUTO_TEST_CASE(DrainInAdvanceNeedsFreeCapacity) {
  WaveView view = ThreeHosts();
  for (HostView& host : view.hosts) {
    host.work = {.tasks = 1, .drain_time = Millis(900), .millicores = 4000};
  }
  view.free_millicores = 1000;
  BOOST_TEST(DecideWave(view).drain == Names({"a"}));
  view.free_millicores = 9000;
  BOOST_TEST(DecideWave(view).drain == Names({"a", "b"}));
}

/// Guards against an order in doubt that blocks the wave: the order is repeated
/// although no other host may be away.
BOOST_AUTO_TEST_CASE(OrderInDoubtIsRepeated) {
  WaveView view = ThreeHosts();
  view.hosts[2].phase = HostMaintenancePhase::kRequested;
  BOOST_TEST(DecideWave(view).start_maintenance == Names({"c"}));
  view.hosts[2].on_hold = true;
  BOOST_TEST(DecideWave(view).start_maintenance.empty());
}

/// Guards against repeated orders that exceed the limit: if two hosts are
/// recorded as ordered where one may be away, their orders are repeated one
/// after the other.
BOOST_AUTO_TEST_CASE(RepeatedOrdersRespectLimit) {
  WaveView view = ThreeHosts();
  view.hosts[1].phase = HostMaintenancePhase::kRequested;
  view.hosts[2].phase = HostMaintenancePhase::kRequested;
  BOOST_TEST(DecideWave(view).start_maintenance == Names({"b"}));
  view.hosts[1].phase = HostMaintenancePhase::kInProgress;
  BOOST_TEST(DecideWave(view).start_maintenance.empty());
}

BOOST_AUTO_TEST_CASE(WaveRecordsRoundTrip) {
  const auto wave = maintenance::DecodeWave(
      Encode(maintenance::WaveRecord{.wave = 12,
                                     .status = WaveStatus::kComplete,
                                     .first_seen_unix_ms = 1796000000000}));
  BOOST_REQUIRE(wave.has_value());
  BOOST_TEST(wave->wave == 12);
  BOOST_CHECK(wave->status == WaveStatus::kComplete);
  BOOST_TEST(wave->first_seen_unix_ms == 1796000000000);
  const auto record = Encode(maintenance::HostRecord{
      .wave = 12, .host = "h/7", .begun = true, .upstream = "up"});
  BOOST_TEST(maintenance::IsHostKey(record.key));
  const auto host = maintenance::DecodeHost(record);
  BOOST_REQUIRE(host.has_value());
  BOOST_TEST(host->wave == 12);
  BOOST_TEST(host->host == "h/7");
  BOOST_TEST(host->begun);
  BOOST_TEST(host->upstream == "up");
  for (const ports::KeyedRecord& malformed :
       std::vector<ports::KeyedRecord>{{"w", "running 1"},
                                       {"w1", ""},
                                       {"w1", "running"},
                                       {"x1", "running 1"},
                                       {"wx", "complete 1"},
                                       {"w1", "stopped 1"}}) {
    BOOST_TEST(!maintenance::DecodeWave(malformed).has_value(),
               malformed.key << "=" << malformed.value);
  }
  for (const ports::KeyedRecord& malformed : std::vector<ports::KeyedRecord>{
           {"w1/", "ordered a"}, {"w1/h", ""}, {"wx/h", "begun a"}}) {
    BOOST_TEST(!maintenance::DecodeHost(malformed).has_value(),
               malformed.key << "=" << malformed.value);
  }
}

BOOST_AUTO_TEST_CASE(HostApiSettingsAreChecked) {
  const auto read = [](const std::string& more) {
    Findings findings;
    auto out = settings::ParseJobSettings(
        R"({"name": "e", "failure_domain": "d", "front_address": "1.2.3.4:1",)"
        R"("ready_address": "1.2.3.4:2", "peer_address": "1.2.3.4:3",)"
        R"("store_address": "1.2.3.4:4")" +
            more + "}",
        findings);
    BOOST_TEST_MESSAGE(findings.ToString());
    return out;
  };
  const auto without_host_api = read("");
  BOOST_REQUIRE(without_host_api.has_value());
  BOOST_TEST(without_host_api->hosts_address.empty());
  const auto with_host_api = read(
      R"(, "hosts_address": "1.2.3.4:5", "host_lists_per_s": 60.0,)"
      R"("host_orders_per_s": 0.5, "upkeep_s": 2, "holder_lease_ms": 3000)");
  BOOST_REQUIRE(with_host_api.has_value());
  BOOST_TEST(with_host_api->host_lists_per_100_s == 6000);
  BOOST_TEST(with_host_api->host_orders_per_100_s == 50);
  BOOST_TEST(with_host_api->maintenance_duration_centis == 200);
  BOOST_TEST(!read(R"(, "hosts_address": "nowhere")").has_value());
  BOOST_TEST(!read(R"(, "host_orders_per_s": -1)").has_value());
}

BOOST_AUTO_TEST_CASE(HostApiRepliesAreDecoded) {
  struct Row {
    int status;
    const char* body;
    HostVerdict verdict;
  };
  const std::vector<Row> rows{
      {200, "{}", HostVerdict::kDone},
      {200, "", HostVerdict::kDone},
      {409, R"({"reason":"fence"})", HostVerdict::kFenced},
      {409, R"({"reason":"busy"})", HostVerdict::kBusy},
      {409, R"({"reason":"wave"})", HostVerdict::kNotInWave},
      {409, "", HostVerdict::kBusy},
      {400, "{}", HostVerdict::kNoSuchHost},
      {429, "", HostVerdict::kRefused},
      {503, "", HostVerdict::kRefused},
      {500, "", HostVerdict::kUnknown},
      {404, "", HostVerdict::kUnknown},
  };
  for (const Row& row : rows) {
    const auto reply = platform::DecodeMaintenance(
        http::Response{.status = row.status, .body = row.body});
    BOOST_CHECK_MESSAGE(reply.verdict == row.verdict,
                        row.status << " " << row.body);
  }
  using Failed = Result<http::Response>;
  BOOST_CHECK(platform::DecodeMaintenance(Failed(Errc::kUnavailable)).verdict ==
              HostVerdict::kRefused);
  BOOST_CHECK(
      platform::DecodeMaintenance(Failed(Errc::kDisconnected)).verdict ==
      HostVerdict::kUnknown);
}

BOOST_AUTO_TEST_CASE(HostListsAreDecoded) {
  const auto read = [](const char* body) {
    return platform::DecodeHosts(http::Response{.status = 200, .body = body});
  };
  const auto page = read(
      R"({"machines":[{"machine":"m1","pool":"p","state":"upkeep","id":""},)"
      R"({"machine":"m2","pool":"p","state":"dozing","id":"w"}],)"
      R"("nextToken":"t"})");
  BOOST_REQUIRE(page.ok());
  BOOST_REQUIRE(page.value().hosts.size() == 2);
  BOOST_CHECK(page.value().hosts[0].state == HostState::kMaintenance);
  BOOST_CHECK(page.value().hosts[1].state == HostState::kUnknown);
  BOOST_TEST(page.value().hosts[1].upstream == "w");
  BOOST_TEST(page.value().next_page_token == "t");
  // Decoded as an empty list, these would mean that every host has left.
  for (const char* malformed :
       {"", "{}", "[]", R"({"machines":[{"pool":"p"}]})",
        R"({"machines":[{"machine":7}]})"}) {
    BOOST_TEST(!read(malformed).ok(), malformed);
  }
  BOOST_TEST(!platform::DecodeHosts(http::Response{.status = 429}).ok());
}

BOOST_AUTO_TEST_CASE(WavesAreDecoded) {
  const auto wave = platform::DecodeWave(
      R"({"wave":3,"machines":["m1","m2"],"durationS":20.5,"maxCount":2})");
  BOOST_REQUIRE(wave.ok());
  BOOST_TEST(wave.value().wave == 3);
  BOOST_TEST(wave.value().hosts == Names({"m1", "m2"}));
  BOOST_TEST(wave.value().duration.count() == 20500);
  BOOST_TEST(wave.value().max_unavailable == 2U);
  BOOST_TEST(!platform::DecodeWave(R"({"wave":3})").ok());
  BOOST_TEST(!platform::DecodeWave(R"({"machines":["m"]})").ok());
  BOOST_TEST(platform::WaveKey(3) == "wave/3");
  BOOST_TEST(!platform::IsWaveKey("config"));
  BOOST_TEST(platform::EncodeWaveStatus(WaveStatus::kComplete) ==
             R"({"state":"complete"})");
}

namespace {

JobClusterOptions WithHosts() { return {.hosts = true}; }

ports::WaveRequest Wave(int64_t number, Names hosts, size_t max_unavailable,
                        Millis duration = Millis(40000)) {
  return {.wave = number,
          .hosts = std::move(hosts),
          .duration = duration,
          .max_unavailable = max_unavailable};
}

const Names kAllHosts{"host-0", "host-1", "host-2",
                      "host-3", "host-4", "host-5"};

bool RunUntilComplete(JobCluster& cluster, int64_t wave, Millis limit) {
  const TimePoint until = cluster.clock().now() + limit;
  while (cluster.clock().now() < until) {
    cluster.RunFor(Millis(50));
    cluster.hosts().CheckStatus();
    if (cluster.hosts().Status(wave) == "complete") return true;
  }
  return false;
}

void CheckNoViolations(const JobCluster& cluster) {
  for (const std::string& violation : cluster.Violations()) {
    BOOST_ERROR(violation);
  }
}

}  // namespace

/// Operators request a wave over all hosts while nothing else happens. Each
/// host has its maintenance once, and the status is "running", then "complete".
BOOST_AUTO_TEST_CASE(WaveCompletesWithoutFaults) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  cluster.RunFor(Millis(600));
  BOOST_TEST(cluster.hosts().Status(kWave) == "running");
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(40000)));
  BOOST_TEST(cluster.hosts().begins() == 6);
  CheckNoViolations(cluster);
}

/// Guards against the cost of needless calls: without a wave, and without a
/// host API in the settings, none is made.
BOOST_AUTO_TEST_CASE(NoCallsWithoutWave) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(10000));
  BOOST_TEST(cluster.hosts().calls() == 0);
  BOOST_TEST(cluster.store().Records("status").empty());
  JobCluster without_host_api({});
  without_host_api.RunFor(Millis(3000));
  without_host_api.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  without_host_api.RunFor(Millis(10000));
  BOOST_TEST(without_host_api.hosts().calls() == 0);
  BOOST_TEST(without_host_api.store().Records("status").empty());
}

/// Guards against calls after the wave is complete, also by a new leader.
BOOST_AUTO_TEST_CASE(NoCallsAfterCompleteWave) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 3));
  BOOST_REQUIRE(RunUntilComplete(cluster, kWave, Millis(40000)));
  cluster.RunFor(Millis(500));
  const int calls = cluster.hosts().calls();
  cluster.RunFor(Millis(10000));
  cluster.Restart(cluster.Leader());
  cluster.RunFor(Millis(10000));
  BOOST_TEST(cluster.hosts().calls() == calls);
  BOOST_TEST(cluster.hosts().Status(kWave) == "complete");
}

/// The leader restarts repeatedly during a wave. The next leader continues the
/// wave: no host has its maintenance twice, and none is omitted.
BOOST_AUTO_TEST_CASE(NewLeaderContinuesWave) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1, Millis(60000)));
  for (int i = 0; i < 4; ++i) {
    cluster.RunFor(Millis(5200));
    cluster.hosts().CheckStatus();
    const std::string leader = cluster.Leader();
    if (!leader.empty()) cluster.Restart(leader);
  }
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  BOOST_TEST(cluster.hosts().begins() == 6);
  CheckNoViolations(cluster);
}

/// An order gets no reply and takes effect 5 s later, after its leader has
/// crashed. Until then its host counts as away, so that no other host is
/// ordered; the next leader repeats the order under its own token, which
/// resolves it.
BOOST_AUTO_TEST_CASE(DelayedOrderOfEarlierLeaderCountsAsAway) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().faults().delayed_orders = 1;
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1));
  cluster.RunFor(Millis(800));
  BOOST_REQUIRE(cluster.hosts().faults().delayed_orders == 0);
  cluster.Restart(cluster.Leader());
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  BOOST_TEST(cluster.hosts().begins() == 6);
  CheckNoViolations(cluster);
}

/// Three orders are carried out but their replies are lost. The wave completes
/// all the same, and no more hosts than allowed are away.
BOOST_AUTO_TEST_CASE(LostRepliesAreResolved) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().faults().drop_replies = 3;
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  BOOST_TEST(cluster.hosts().begins() == 6);
  CheckNoViolations(cluster);
}

/// The API is unresponsive for 8 s and then refuses five calls. It is retried
/// with increasing backoff, and the wave continues when the API is back.
BOOST_AUTO_TEST_CASE(UnavailableApiIsRetriedWithBackoff) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().faults().down = true;
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  cluster.RunFor(Millis(8000));
  BOOST_TEST(cluster.hosts().calls() <= 5);
  cluster.hosts().faults().down = false;
  cluster.hosts().faults().throttled_calls = 5;
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  CheckNoViolations(cluster);
}

/// The orders of a leader are refused, and it crashes. The next leader sends no
/// order for 3 s. If two leaders ordered the same host alternately within that
/// time, the host would have two alternating holders.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsForEarlierLeadersOrdersToExpire) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1));
  while (cluster.hosts().lists() < 2) cluster.RunFor(Millis(5));
  cluster.hosts().faults().throttled_calls = 100;
  cluster.RunFor(Millis(600));
  BOOST_REQUIRE(cluster.hosts().orders() > 0);
  cluster.Restart(cluster.Leader());
  cluster.hosts().faults() = {};
  while (cluster.Leader().empty()) cluster.RunFor(Millis(5));
  const int orders = cluster.hosts().orders();
  cluster.RunFor(HostsFake::kHolderLease - Millis(100));
  BOOST_TEST(cluster.hosts().orders() == orders);
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(40000)));
  CheckNoViolations(cluster);
}

/// Guards against a leader that repeats a stored order while the store does not
/// answer it: another leader may order the same host.
BOOST_AUTO_TEST_CASE(LeaderWithoutStoreRepeatsNoOrders) {
  constexpr Millis kLeaderLease{2000};
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1));
  while (cluster.hosts().lists() < 2) cluster.RunFor(Millis(5));
  cluster.hosts().faults().throttled_calls = 1000;
  cluster.RunFor(Millis(600));
  BOOST_REQUIRE(cluster.hosts().orders() > 0);
  cluster.store().faults().down = true;
  cluster.RunFor(kLeaderLease + Millis(100));
  const int orders = cluster.hosts().orders();
  cluster.RunFor(Millis(12000));
  BOOST_TEST(cluster.hosts().orders() == orders);
  cluster.store().faults().down = false;
  cluster.hosts().faults() = {};
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  CheckNoViolations(cluster);
}

/// The first host crashes between the reading of the list and its order, so
/// that the order is refused. Its record is removed before the next host is
/// ordered: a leader that found both records would treat both hosts as ordered.
BOOST_AUTO_TEST_CASE(RefusedOrderLeavesNoRecord) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1));
  while (cluster.hosts().lists() < 2) cluster.RunFor(Millis(5));
  cluster.hosts().Crash("host-0", Millis(8000));
  const auto recorded = [&](const std::string& host) {
    const auto key =
        KeyOf(maintenance::HostRecord{.wave = kWave, .host = host});
    return cluster.store().Records("jobs").count(key) > 0;
  };
  bool refused_recorded = false;
  const TimePoint until = cluster.clock().now() + Millis(4000);
  while (cluster.clock().now() < until && !recorded("host-1")) {
    cluster.RunFor(Millis(5));
    refused_recorded = refused_recorded || recorded("host-0");
  }
  BOOST_TEST(refused_recorded);
  BOOST_TEST(recorded("host-1"));
  BOOST_TEST(!recorded("host-0"));
}

/// A host of the wave leaves permanently, and another one crashes and comes
/// back as another upstream. The wave waits for the second host only.
BOOST_AUTO_TEST_CASE(WaveIgnoresRemovedHostsAndWaitsForReplacedOnes) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().Leave("host-3");
  cluster.hosts().Crash("host-4", Millis(15000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  BOOST_TEST(!RunUntilComplete(cluster, kWave, Millis(14000)));
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(30000)));
  BOOST_TEST(cluster.hosts().begins() == 5);
  CheckNoViolations(cluster);
}

/// Guards against a wave that is reported as complete although a host has not
/// had its maintenance: the host list lacks the host for a while.
BOOST_AUTO_TEST_CASE(WaveWaitsForHostMissingFromTheList) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1));
  cluster.RunFor(Millis(1000));
  cluster.hosts().faults().unlisted = {"host-5"};
  BOOST_TEST(!RunUntilComplete(cluster, kWave, Millis(20000)));
  BOOST_TEST(cluster.hosts().begins() == 5);
  cluster.hosts().faults().unlisted.clear();
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(30000)));
  BOOST_TEST(cluster.hosts().begins() == 6);
  CheckNoViolations(cluster);
}

/// Jobs and gangs run while all hosts have their maintenance. Every job
/// completes, each task is done once, and hosts are drained before their
/// maintenance.
BOOST_AUTO_TEST_CASE(JobsAndGangsCompleteDuringWave) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 1, Millis(60000)));
  std::vector<JobId> jobs;
  for (JobId id = 100; id < 160; ++id) {
    const bool gang = id % 4 == 0;
    cluster.upstreams().behavior({id, 0, 0, 0}).run_time =
        Millis(200 + 40 * (id % 30));
    cluster.Submit("entry-1", OneStepJob(id, gang ? 4 : 2, 1500, gang));
    jobs.push_back(id);
    cluster.RunFor(Millis(300));
    cluster.hosts().CheckStatus();
  }
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(60000)));
  cluster.RunFor(Millis(10000));
  for (const JobId id : jobs) {
    const auto state = cluster.State(id);
    BOOST_CHECK_MESSAGE(state == JobState::kComplete, JobIdText(id));
    BOOST_TEST(cluster.upstreams().DoneRuns({id, 0, 0, 0}) == 1);
  }
  CheckNoViolations(cluster);
}

/// Guards against upstreams that never get work again: they return from the
/// maintenance of their hosts under the ids that they had.
BOOST_AUTO_TEST_CASE(UpstreamsUnderTheirIdsGetWorkAfterMaintenance) {
  JobCluster cluster({.hosts = true, .restart_under_same_id = true});
  // Long enough for the host list to show each host in maintenance.
  cluster.hosts().faults().maintenance_overrun = Millis(2000);
  cluster.RunFor(Millis(3000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 2));
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(40000)));
  cluster.RunFor(Millis(3000));
  // The gang takes the room of all six upstreams.
  cluster.Submit("entry-0", OneStepJob(1, 24, 2000, true));
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(10000)));
  BOOST_TEST((cluster.State(1) == JobState::kComplete));
  CheckNoViolations(cluster);
}

/// Guards against a second run of a task: a late reading of the host list shows
/// a host in maintenance whose upstream is back, with tasks, under its id.
BOOST_AUTO_TEST_CASE(LateHostListDropsNoReturnedUpstream) {
  for (Millis overrun(0); overrun <= Millis(4000); overrun += Millis(100)) {
    JobCluster cluster(
        {.upstreams = 2, .hosts = true, .restart_under_same_id = true});
    cluster.hosts().faults().maintenance_overrun = overrun;
    cluster.hosts().faults().latency = Millis(1500);
    cluster.RunFor(Millis(3000));
    cluster.hosts().RequestWave(Wave(kWave, {"host-0", "host-1"}, 1));
    constexpr JobId kJobs = 24;
    for (JobId id = 1; id <= kJobs; ++id) {
      cluster.upstreams().behavior({id, 0, 0, 0}).run_time = Millis(1500);
      cluster.Submit("entry-0", OneStepJob(id, 1, 6000));
    }
    cluster.RunFor(Millis(30000));
    for (JobId id = 1; id <= kJobs; ++id) {
      BOOST_CHECK_MESSAGE(cluster.State(id) == JobState::kComplete,
                          JobIdText(id) << " after " << overrun.count());
    }
    CheckNoViolations(cluster);
  }
}

/// A task that takes long and saves no checkpoint runs on a host whose drain
/// limit has passed. It is stopped before the maintenance and started
/// elsewhere. If the maintenance ended it, it could restart only after its
/// lease (4 s), and a completion right before the maintenance would be recorded
/// by the leader and lost on the host.
BOOST_AUTO_TEST_CASE(HostIsDrainedBeforeMaintenance) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  cluster.upstreams().behavior({7, 0, 0, 0}).run_time = Millis(30000);
  cluster.Submit("entry-1", OneStepJob(7, 1, 6000));
  cluster.RunFor(Millis(300));
  const std::string before = cluster.upstreams().UpstreamRunning({7, 0, 0, 0});
  BOOST_REQUIRE(!before.empty());
  const std::string host = "host-" + before.substr(before.find('-') + 1);
  cluster.hosts().RequestWave(Wave(kWave, {host}, 1, Millis(1000)));
  BOOST_REQUIRE(RunUntilComplete(cluster, kWave, Millis(3000)));
  cluster.RunFor(Millis(300));
  const std::string after = cluster.upstreams().UpstreamRunning({7, 0, 0, 0});
  BOOST_TEST(!after.empty());
  BOOST_TEST(after != before);
  CheckNoViolations(cluster);
}

/// A long-running job of four tasks allows one to be unavailable. Its tasks are
/// moved one after the other, each running again before the next one stops.
BOOST_AUTO_TEST_CASE(LongRunningTasksMoveOneAtATime) {
  JobCluster cluster(WithHosts());
  cluster.RunFor(Millis(3000));
  wire::JobSpec spec = OneStepJob(500, 4, 3000);
  spec.steps[0].long_running = true;
  spec.steps[0].max_unavailable = 1;
  spec.steps[0].max_per_upstream = 2;
  cluster.Submit("entry-1", spec);
  cluster.RunFor(Millis(4000));
  cluster.hosts().RequestWave(Wave(kWave, kAllHosts, 3, Millis(60000)));
  BOOST_TEST(RunUntilComplete(cluster, kWave, Millis(90000)));
  cluster.RunFor(Millis(6000));
  for (int32_t i = 0; i < 4; ++i) {
    BOOST_TEST(!cluster.upstreams().UpstreamRunning({500, 0, 0, i}).empty());
  }
  CheckNoViolations(cluster);
}

namespace {

/// One random schedule with waves: jobs, long-running jobs and gangs run while
/// entries, the store, the host API and hosts fail. All faults end before the
/// final check.
class WaveSchedule {
 public:
  explicit WaveSchedule(uint64_t seed) : random_(seed) {}

  void Execute() {
    cluster_.RunFor(Millis(2500));
    SubmitLongRunning();
    constexpr int kSteps = 90;
    for (int i = 0; i < kSteps; ++i) {
      if (i == 10 || i == 40) RequestWave();
      SubmitRandomJob();
      if (Chance(25)) InjectFault();
      Run(Millis(50 + Pick(500)));
    }
    EndFaults();
    Run(Millis(75000));
    Check();
  }

 private:
  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }

  /// Runs for `span`, and checks the status that operators see every 50 ms.
  void Run(Millis span) {
    constexpr Millis kPollInterval{50};
    for (Millis passed{0}; passed < span; passed += kPollInterval) {
      cluster_.RunFor(kPollInterval);
      cluster_.hosts().CheckStatus();
    }
  }

  void RequestWave() {
    Names hosts;
    for (const std::string& host : kAllHosts) {
      if (Chance(70)) hosts.push_back(host);
    }
    ++waves_;
    cluster_.hosts().RequestWave(
        Wave(waves_, hosts, 1 + Pick(3), Millis(8000 + Pick(30000))));
  }

  void SubmitLongRunning() {
    wire::JobSpec spec = OneStepJob(0x1a500, 3, 1500);
    spec.steps[0].long_running = true;
    spec.steps[0].max_unavailable = 1 + static_cast<int32_t>(Pick(2));
    cluster_.Submit(RandomEntry(), spec);
  }

  void SubmitRandomJob() {
    const JobId id = 0xabc0000 + jobs_.size();
    const bool gang = Chance(25);
    wire::JobSpec spec =
        OneStepJob(id, 1 + static_cast<int32_t>(Pick(3)),
                   500 + 500 * static_cast<int32_t>(Pick(4)), gang);
    spec.steps[0].checkpoints = Chance(40);
    for (int32_t i = 0; i < spec.steps[0].tasks; ++i) {
      cluster_.upstreams().behavior({id, 0, 0, i}).run_time =
          Millis(100 + Pick(2500));
    }
    jobs_.push_back(id);
    specs_[id] = spec;
    cluster_.Submit(RandomEntry(), spec);
  }

  void InjectFault() {
    const std::string leader = cluster_.Leader();
    const std::string entry =
        Chance(60) && !leader.empty() ? leader : RandomEntry();
    auto& api = cluster_.hosts().faults();
    auto& store = cluster_.store().faults();
    switch (Pick(11)) {
      case 0:
        return cluster_.Restart(entry);
      case 1:
        return cluster_.Pause(entry);
      case 2:
        for (const auto& name : cluster_.names()) cluster_.Resume(name);
        return;
      case 3:
        return cluster_.SetIsolated(entry, Chance(60));
      case 4:
        store.down = Chance(40);
        return;
      case 5:
        store.drop_replies = static_cast<int>(Pick(4));
        store.delayed_appends = static_cast<int>(Pick(2));
        return;
      case 6:
        api.down = Chance(50);
        return;
      case 7:
        api.throttled_calls = static_cast<int>(Pick(6));
        api.latency = Chance(30) ? Millis(1000) : Millis(20);
        return;
      case 8:
        api.drop_replies = static_cast<int>(Pick(3));
        return;
      case 9:
        api.delayed_orders = static_cast<int>(Pick(3));
        api.execution_delay = Millis(2000 + Pick(10000));
        return;
      default:
        return InjectHostFault();
    }
  }

  void InjectHostFault() {
    const std::string& host = kAllHosts[Pick(kAllHosts.size())];
    if (Chance(80)) {
      cluster_.hosts().Crash(host, Millis(1500 + Pick(5000)));
    } else if (!host_left_) {
      host_left_ = true;
      cluster_.hosts().Leave(host);
    }
  }

  void EndFaults() {
    for (const auto& name : cluster_.names()) {
      cluster_.Resume(name);
      cluster_.SetIsolated(name, false);
    }
    cluster_.store().faults() = {};
    cluster_.hosts().faults() = {};
  }

  void Check() {
    CheckNoViolations(cluster_);
    for (int64_t wave = 1; wave <= waves_; ++wave) {
      BOOST_CHECK_MESSAGE(
          cluster_.hosts().Status(wave) == "complete",
          "wave " << wave << " is \"" << cluster_.hosts().Status(wave) << "\"");
    }
    for (const JobId id : jobs_) {
      if (!cluster_.accepted(id)) continue;
      const auto state = cluster_.State(id);
      BOOST_CHECK_MESSAGE(
          state && IsFinal(*state),
          "accepted, but not in a final state: " << JobIdText(id));
      if (state == JobState::kComplete) CheckDone(id);
    }
  }

  /// Checks that each task, or one task of a gang, has a durable completion.
  void CheckDone(JobId id) {
    const wire::StepSpec& step = specs_.at(id).steps[0];
    int done = 0;
    for (int32_t i = 0; i < step.tasks; ++i) {
      if (cluster_.upstreams().DurableDoneRuns({id, 0, 0, i}) > 0) ++done;
    }
    BOOST_CHECK_MESSAGE(
        done >= (step.gang ? 1 : step.tasks),
        "complete without the completions of its tasks: " << JobIdText(id));
  }

  std::mt19937_64 random_;
  JobCluster cluster_{WithHosts()};
  std::vector<JobId> jobs_;
  std::map<JobId, wire::JobSpec> specs_;
  int64_t waves_ = 0;
  bool host_left_ = false;
};

}  // namespace

BOOST_DATA_TEST_CASE(WavesCompleteDespiteFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  BOOST_TEST_CONTEXT("seed " << seed) { WaveSchedule(seed).Execute(); }
}

}  // namespace mimosarail::jobsim
