#define BOOST_TEST_MODULE leader_load
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/coordinator/job_table.h"
#include "src/leadership/capacity_use.h"
#include "src/leadership/election_timeout.h"
#include "src/leadership/leader_check_pacing.h"
#include "src/leadership/leader_fitness.h"
#include "src/leadership/live_replacements.h"
#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using leadership::LeaderFitness;

constexpr double kThinLinkMbps = 10;
constexpr double kWideLinkMbps = 200;
constexpr LinkRate kThinLink{.bytes_per_s = 1.25e6};
constexpr LinkRate kWideLink{.bytes_per_s = 25e6};
const int32_t kFit = LeaderFitness(50, kWideLinkMbps);
const int32_t kUnfit = LeaderFitness(30, kThinLinkMbps);
constexpr Millis kStep{10};

/// Four entries with 0.3 core and 10 Mbit/s, and entry-4 and entry-5 with 0.5
/// core and 200 Mbit/s.
JobClusterOptions MixedEntries() {
  JobClusterOptions out{.entries = 6, .link = kThinLink};
  for (int i = 0; i < 4; ++i) {
    out.fitness["entry-" + std::to_string(i)] = kUnfit;
  }
  for (const char* fit : {"entry-4", "entry-5"}) {
    out.fitness[fit] = kFit;
    out.links[fit] = kWideLink;
  }
  return out;
}

bool IsFit(const std::string& entry) {
  return entry == "entry-4" || entry == "entry-5";
}

/// Puts open jobs of an earlier leader into the table, 2.5 kB each.
void FillTable(JobCluster& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    const JobId id = 0xfe00000 + static_cast<JobId>(i);
    wire::JobSpec spec = OneStepJob(id, 1, 1000);
    spec.payload = std::string(1800, 'x');
    cluster.upstreams().RegisterJob(spec);
    cluster.store().Put("jobs", coordinator::SpecKey(id), rpc::Encode(spec));
  }
}

/// Names of the entries that lead during `span`, in order.
std::vector<std::string> LeadersDuring(JobCluster& cluster, Millis span) {
  std::vector<std::string> out;
  for (Millis past{0}; past < span; past += kStep) {
    cluster.RunFor(kStep);
    const std::string leader = cluster.Leader();
    if (leader.empty()) continue;
    if (out.empty() || out.back() != leader) out.push_back(leader);
  }
  return out;
}

/// Runs until an entry serves as leader. Returns how long it takes, or `limit`
/// if longer.
Millis TimeToReady(JobCluster& cluster, Millis limit) {
  Millis waited{0};
  while (waited < limit) {
    cluster.RunFor(kStep);
    waited += kStep;
    const std::string leader = cluster.Leader();
    if (leader.empty()) continue;
    if (cluster.entry(leader)->leadership().leader_ready()) break;
  }
  return waited;
}

/// The newest term that any running entry knows.
int64_t Term(JobCluster& cluster) {
  int64_t term = 0;
  for (const std::string& name : cluster.names()) {
    jobentry::JobEntry* entry = cluster.entry(name);
    if (entry != nullptr) term = std::max(term, entry->leadership().term());
  }
  return term;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a fitness that counts the processor alone: a machine with 0.3
/// core and 10 Mbit/s then ranks with one that loads in a tenth of the time.
BOOST_AUTO_TEST_CASE(FitnessCountsProcessorAndLink) {
  for (const int cpu : {0, 9, 12, 25, 30, 50, 100, 6400}) {
    BOOST_TEST(LeaderFitness(cpu, 0) == cpu);
    BOOST_TEST(LeaderFitness(cpu, 100) == cpu);
    BOOST_TEST(LeaderFitness(cpu, 200) == cpu);
    BOOST_TEST(LeaderFitness(cpu, 1000) == cpu);
  }
  BOOST_TEST(LeaderFitness(50, 200) >= 25);
  BOOST_TEST(LeaderFitness(30, 10) <= 5);
  BOOST_TEST(LeaderFitness(30, 10) > LeaderFitness(9, 10));
  BOOST_TEST(LeaderFitness(9, 10) > LeaderFitness(0, 10));
  for (int mbps = 1; mbps < 1000; ++mbps) {
    BOOST_TEST(LeaderFitness(50, mbps) <= LeaderFitness(50, mbps + 1));
    BOOST_TEST(LeaderFitness(1, mbps) == 1);
  }
  BOOST_TEST(LeaderFitness(50, 0.01) == 1);
}

/// Guards against a leader on a link of 10 Mbit/s that claims some milliseconds
/// before a fitter entry, and then loads for seconds. The leader is lost at
/// different moments within a heartbeat interval, so that each entry is the
/// first to notice once.
BOOST_AUTO_TEST_CASE(FitEntryClaimsBeforeUnfitOneThatNoticedFirst) {
  constexpr int kMoments = 20;
  for (int moment = 0; moment < kMoments; ++moment) {
    BOOST_TEST_CONTEXT("lost at moment " << moment) {
      JobClusterOptions options = MixedEntries();
      options.links.clear();  // the fit ones are not faster to notice
      JobCluster cluster(options);
      for (const char* fit : {"entry-4", "entry-5"}) {
        cluster.SetPeerLatency(fit, Millis(5));
      }
      FillTable(cluster, 400);
      cluster.RunFor(Millis(6000 + 10 * moment));
      const std::string first = cluster.Leader();
      BOOST_REQUIRE(IsFit(first));
      if (moment % 2 == 0) {
        cluster.Kill(first);
      } else {
        cluster.Pause(first);
      }
      const auto leaders = LeadersDuring(cluster, Millis(3000));
      BOOST_REQUIRE(leaders.size() == 1);
      BOOST_TEST(IsFit(leaders.front()));
    }
  }
}

/// Guards against a long wait for fit entries that are dead as well: at most
/// 0.5 s more than an entry takes that waits for nobody.
BOOST_AUTO_TEST_CASE(UnfitEntriesLeadWhenAllFitOnesAreDead) {
  const auto time_to_lead = [](JobClusterOptions options) {
    JobCluster cluster(std::move(options));
    cluster.RunFor(Millis(6000));
    for (const char* fit : {"entry-4", "entry-5"}) cluster.Kill(fit);
    return TimeToReady(cluster, Millis(10000));
  };
  JobClusterOptions alike = MixedEntries();
  for (const char* name : {"entry-0", "entry-1", "entry-2", "entry-3"}) {
    alike.fitness[name] = kFit;
  }
  const Millis usual = time_to_lead(alike);
  const Millis unfit = time_to_lead(MixedEntries());
  BOOST_TEST_MESSAGE("usual " << usual.count() << " ms, unfit " << unfit.count()
                              << " ms");
  BOOST_TEST(unfit <= usual + Millis(500));
}

/// Guards against a delay of entries that are all equally unfit. The median
/// over one heartbeat interval is compared, since the time depends on the
/// moment.
BOOST_AUTO_TEST_CASE(EquallyUnfitEntriesDoNotWait) {
  const auto median_time_to_lead = [](int32_t fitness) {
    JobClusterOptions options{.entries = 4, .link = kThinLink};
    for (int i = 0; i < 4; ++i) {
      options.fitness["entry-" + std::to_string(i)] = fitness;
    }
    std::vector<Millis> times;
    for (Millis moment{0}; moment < Millis(200); moment += kStep) {
      JobCluster cluster(options);
      cluster.RunFor(Millis(6000) + moment);
      cluster.Kill(cluster.Leader());
      times.push_back(TimeToReady(cluster, Millis(10000)));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
  };
  const Millis fit = median_time_to_lead(kFit);
  const Millis unfit = median_time_to_lead(kUnfit);
  BOOST_TEST_MESSAGE("fit " << fit.count() << " ms, unfit " << unfit.count()
                            << " ms");
  BOOST_TEST(unfit <= fit + Millis(100));
}

/// Guards against an unfit leader that loads 5 MB over 10 Mbit/s, some 5 s,
/// although a fit entry has just started to follow it; and against leadership
/// that bounces between them.
BOOST_AUTO_TEST_CASE(UnfitLeaderHandsOverBeforeItHasLoaded) {
  JobCluster cluster(MixedEntries());
  for (const char* fit : {"entry-4", "entry-5"}) cluster.Kill(fit);
  FillTable(cluster, 2000);
  while (cluster.Leader().empty()) cluster.RunFor(kStep);
  const int64_t before = Term(cluster);
  cluster.RunFor(Millis(300));
  cluster.Restart("entry-4");
  const auto leaders = LeadersDuring(cluster, Millis(400));
  BOOST_REQUIRE(!leaders.empty());
  BOOST_TEST(leaders.back() == "entry-4");
  BOOST_TEST(TimeToReady(cluster, Millis(10000)) <= Millis(1500));
  cluster.RunFor(Millis(5000));
  BOOST_TEST(cluster.Leader() == "entry-4");
  BOOST_TEST(Term(cluster) == before + 1);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against leadership that passes from one unfit entry to the next while
/// the only fit entry follows and cannot reach the store.
BOOST_AUTO_TEST_CASE(SuccessorWithoutStoreIsNotNamedAgainAtOnce) {
  JobClusterOptions options = MixedEntries();
  JobCluster cluster(options);
  cluster.RunFor(Millis(6000));
  cluster.store().faults().partitioned_entries = {"entry-4", "entry-5"};
  cluster.RunFor(Millis(3000));
  BOOST_REQUIRE(!IsFit(cluster.Leader()));
  const int64_t before = Term(cluster);
  cluster.RunFor(Millis(9000));
  BOOST_TEST(Term(cluster) - before <= 2);
  cluster.store().faults().partitioned_entries.clear();
  cluster.RunFor(Millis(12000));
  BOOST_TEST(IsFit(cluster.Leader()));
  BOOST_TEST(cluster.Violations().empty());
}

/// Callers' load on a cluster of 20 entries.
struct ServedLoad {
  int64_t terms = 0;
  int submitted = 0;
  int accepted = 0;
  double leader_bytes_per_s = 0;
};

/// Submits jobs of 2 kB at followers for 60 s, 200 a second. All links carry
/// `bytes_per_s`; 0 means no limit.
ServedLoad ServeFor60Seconds(double bytes_per_s) {
  constexpr int kEntries = 20;
  constexpr int kJobsPerStep = 2;
  JobCluster cluster({.entries = kEntries,
                      .upstreams = 20,
                      .link = {.bytes_per_s = bytes_per_s},
                      .link_rate_known = true});
  cluster.RunFor(Millis(6000));
  const int64_t term_before = Term(cluster);
  const std::string leader = cluster.Leader();
  const int64_t bytes_before =
      std::max(cluster.BytesSent(leader), cluster.BytesReceived(leader));
  ServedLoad out;
  JobId next = 1;
  for (Millis past{0}; past < Millis(60000); past += kStep) {
    for (int i = 0; i < kJobsPerStep; ++i) {
      wire::JobSpec spec = OneStepJob(next, 1, 1000);
      spec.payload = std::string(2000, 'x');
      cluster.Submit("entry-" + std::to_string(next % kEntries), spec);
      ++next;
    }
    cluster.RunFor(kStep);
  }
  out.terms = Term(cluster) - term_before;
  out.leader_bytes_per_s =
      static_cast<double>(
          std::max(cluster.BytesSent(leader), cluster.BytesReceived(leader)) -
          bytes_before) /
      60;
  for (JobId id = 1; id < next; ++id) {
    ++out.submitted;
    if (cluster.accepted(id)) ++out.accepted;
  }
  BOOST_TEST(cluster.Violations().empty());
  return out;
}

/// Guards against replacing a leader whose link is full, again and again, by
/// leaders that are as full.
BOOST_AUTO_TEST_CASE(FullLeaderStaysLeader) {
  const ServedLoad unlimited = ServeFor60Seconds(0);
  BOOST_TEST(unlimited.terms == 0);
  BOOST_TEST_MESSAGE("needs " << unlimited.leader_bytes_per_s << " B/s");
  for (const double share : {1.0, 0.5, 0.3, 0.2}) {
    BOOST_TEST_CONTEXT("link carries " << share << " of the need") {
      const ServedLoad served =
          ServeFor60Seconds(share * unlimited.leader_bytes_per_s);
      BOOST_TEST_MESSAGE("link carries "
                         << share << " of the need: " << served.terms
                         << " further terms, accepted " << served.accepted
                         << " of " << served.submitted);
      BOOST_TEST(served.terms == 0);
    }
  }
}

/// Guards against replacing a leader that answers late because its link is
/// full, unless a fitter entry is known. SlowLeaderIsReplaced in
/// high_latency_test covers the leader on a machine that has become slow.
BOOST_AUTO_TEST_CASE(SaturatedSlowLeaderIsReplacedOnlyByFitterEntry) {
  // 20 submissions of 2 kB a second use more than 0.7 of this link.
  constexpr LinkRate kUsedLink{.bytes_per_s = 55e3};
  const auto stays_leader = [&](int32_t fitness_of_others) {
    JobClusterOptions options{
        .entries = 5, .link = kUsedLink, .link_rate_known = true};
    for (int i = 0; i < 5; ++i) {
      options.fitness["entry-" + std::to_string(i)] = fitness_of_others;
    }
    options.fitness["entry-0"] = 50;
    JobCluster cluster(options);
    JobId next = 1;
    const auto run = [&](Millis span) {
      for (Millis past{0}; past < span; past += Millis(50)) {
        wire::JobSpec spec = OneStepJob(next, 1, 100);
        spec.payload = std::string(2000, 'x');
        cluster.Submit("entry-1", spec);
        ++next;
        cluster.RunFor(Millis(50));
      }
    };
    run(Millis(6000));
    BOOST_REQUIRE(cluster.Leader() == "entry-0");
    cluster.SetPeerLatency("entry-0", Millis(500));
    run(Millis(10000));
    return cluster.Leader() == "entry-0";
  };
  BOOST_TEST(stays_leader(50));
  BOOST_TEST(!stays_leader(100));
}

/// Guards against a leader that states to be full because of its load on a wide
/// link, or that does not state it on a full one.
BOOST_AUTO_TEST_CASE(CapacityUseComparesWithTheStatedLimits) {
  const auto saturated_at = [](leadership::CapacityLimits limits,
                               leadership::ResourceTotals per_s) {
    leadership::CapacityUse use(limits);
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    use.Update({}, start);
    use.Update(per_s, start + Millis(1000));
    BOOST_TEST(!use.saturated(start + Millis(3100)));
    return use.saturated(start + Millis(1100));
  };
  const leadership::CapacityLimits thin{.link_bytes_per_s = 250000,
                                        .cpu_percent = 25};
  BOOST_TEST(saturated_at(thin, {.bytes_in = 180000}));
  BOOST_TEST(saturated_at(thin, {.bytes_out = 180000}));
  BOOST_TEST(!saturated_at(thin, {.bytes_in = 150000, .bytes_out = 150000}));
  BOOST_TEST(saturated_at(thin, {.cpu = Millis(220)}));
  // A process with a share of 0.25 that was always ready to run: 415 ms in 2 s.
  BOOST_TEST(saturated_at(thin, {.cpu = Millis(207)}));
  // A machine at half of its speed.
  BOOST_TEST(!saturated_at(thin, {.cpu = Millis(125)}));
  BOOST_TEST(!saturated_at(thin, {.cpu = Millis(180)}));
  BOOST_TEST(!saturated_at({.cpu_percent = 25},
                           {.bytes_in = 1 << 30, .cpu = Millis(250)}));
}

/// Guards against hundreds of entries that read the record of the same
/// suspected leader at the same time: at a fixed pause of 150 ms, 300 entries
/// read it some 1,000 times a second here. A few entries read it as often as
/// before.
BOOST_AUTO_TEST_CASE(ReadsOfTheLeaderRecordAreSpread) {
  constexpr Millis kElectionTimeout{450};
  constexpr Millis kSpan{10000};
  constexpr Millis kWindow{100};
  const auto most_reads = [&](size_t entries, Millis from) {
    std::map<int64_t, int> reads;  // by window
    for (size_t i = 0; i < entries; ++i) {
      leadership::LeaderCheckPacing pacing("entry-" + std::to_string(i));
      Millis at = pacing.FirstDelay(entries);
      while (at < kSpan) {
        ++reads[at / kWindow];
        ++reads[(at + kElectionTimeout) / kWindow];
        at += kElectionTimeout + pacing.NextPause(entries);
      }
    }
    int most = 0;
    for (const auto& [window, count] : reads) {
      if (window >= from / kWindow) most = std::max(most, count);
    }
    return most;
  };
  BOOST_TEST(most_reads(300, Millis(0)) <= 150);
  BOOST_TEST(most_reads(300, Millis(2000)) <= 60);
  leadership::LeaderCheckPacing few("entry-0");
  BOOST_TEST(few.FirstDelay(32) == Millis(0));
  BOOST_TEST(few.NextPause(32) == Millis(150));
  BOOST_TEST(few.NextPause(32) == Millis(150));
}

/// Guards against live leaders, stable ones too, that are replaced one after
/// the other at a constant rate. The first two replacements cost nothing.
BOOST_AUTO_TEST_CASE(ReplacementsOfLiveLeadersBecomeRarer) {
  constexpr Millis kBase{3000};
  wire::AnnounceCall record;
  record.stable = true;
  const auto timeout = [&](int32_t replaced) {
    record.replaced_alive = replaced;
    return leadership::ElectionTimeout(kBase, record);
  };
  BOOST_TEST(timeout(0) == kBase);
  BOOST_TEST(timeout(1) == kBase);
  BOOST_TEST(timeout(2) == 2 * kBase);
  BOOST_TEST(timeout(3) == 4 * kBase);
  BOOST_TEST(timeout(1000) == 16 * kBase);
  BOOST_TEST(timeout(-1000) == kBase);
  record.replaced_alive = 3;
  BOOST_TEST(leadership::LiveReplacementsBefore(record, Millis(59000)) == 3);
  BOOST_TEST(leadership::LiveReplacementsBefore(record, Millis(60000)) == 0);

  const TimePoint start = TimePoint() + std::chrono::hours(1);
  leadership::LiveReplacements replacements;
  replacements.BeginTerm("old", 1, start);
  BOOST_TEST(!replacements.OnHeartbeat("other", start));
  BOOST_TEST(replacements.OnHeartbeat("old", start + Millis(500)));
  BOOST_TEST(!replacements.OnHeartbeat("old", start + Millis(700)));
  BOOST_TEST(replacements.count(start + Millis(700)) == 2);
  replacements.BeginTerm("old", 1, start);
  BOOST_TEST(!replacements.OnHeartbeat("old", start + Millis(9000)));
  BOOST_TEST(replacements.count(start + Millis(59000)) == 1);
  // A long term forgets them, so that the next takeover is not delayed.
  BOOST_TEST(replacements.count(start + Millis(60000)) == 0);
}

}  // namespace mimosarail::jobsim
