#define BOOST_TEST_MODULE leader_load
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/coordinator/job_table.h"
#include "src/leadership/leader_fitness.h"
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

}  // namespace mimosarail::jobsim
