#define BOOST_TEST_MODULE recovery_load
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "src/leadership/leader_fitness.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr int kEntries = 97;
constexpr int kFitEntries = 15;
constexpr int kUpstreams = 540;
constexpr LinkRate kThinLink{.bytes_per_s = 2.5e6};
constexpr LinkRate kWideLink{.bytes_per_s = 25e6};
constexpr JobId kFirstJob = 0x100000;
constexpr Millis kStep{20};
/// 150 jobs a second, of five tasks each.
constexpr int kJobsPerStep = 3;
constexpr int32_t kTasksPerJob = 5;
/// Callers wait this long for an answer.
constexpr Millis kCallerTimeout{3000};
/// The processes of machines that are powered on together start within this.
constexpr int kMaxStartDelayMs = 500;

std::string NameOf(int entry) { return "entry-" + std::to_string(entry); }

JobClusterOptions LargeCell(std::chrono::microseconds per_message) {
  JobClusterOptions out{.entries = kEntries,
                        .upstreams = kUpstreams,
                        .millicores = 16000,
                        .memory_mb = 32000,
                        .link = kThinLink,
                        .upstream_calls_use_link = true,
                        .processor = {.per_message = per_message}};
  for (int i = 0; i < kEntries; ++i) {
    const bool fit = i < kFitEntries;
    out.fitness[NameOf(i)] = fit ? leadership::LeaderFitness(50, 200)
                                 : leadership::LeaderFitness(12, 20);
    if (fit) out.links[NameOf(i)] = kWideLink;
  }
  return out;
}

/// A large cell whose callers submit jobs to entries at random.
class LoadedCell {
 public:
  LoadedCell(std::chrono::microseconds per_message, uint64_t seed)
      : cluster_(LargeCell(per_message)), random_(seed) {
    cluster_.RunFor(Millis(6000));
  }

  void Load(Millis span) {
    for (Millis past{0}; past < span; past += kStep) {
      for (int i = 0; i < kJobsPerStep; ++i) Submit();
      cluster_.RunFor(kStep);
    }
  }

  /// All machines lose power for a second, and come back in any order.
  void LosePower() {
    for (int i = 0; i < kEntries; ++i) cluster_.Kill(NameOf(i));
    cluster_.RunFor(Millis(1000));
    std::vector<std::pair<int, int>> starts;
    for (int i = 0; i < kEntries; ++i) {
      starts.emplace_back(static_cast<int>(random_() % kMaxStartDelayMs), i);
    }
    std::sort(starts.begin(), starts.end());
    int now_ms = 0;
    for (const auto& [at_ms, entry] : starts) {
      cluster_.RunFor(Millis(at_ms - std::exchange(now_ms, at_ms)));
      cluster_.Restart(NameOf(entry));
    }
  }

  /// Loads the cell for a while. Returns the share of the jobs submitted then
  /// that is accepted before their callers give up.
  double AcceptedShare(Millis span) {
    const JobId first = next_;
    Load(span);
    const JobId end = next_;
    Load(kCallerTimeout);
    int accepted = 0;
    for (JobId id = first; id < end; ++id) {
      if (cluster_.accepted(id)) ++accepted;
    }
    return accepted / static_cast<double>(end - first);
  }

  JobCluster& cluster() { return cluster_; }

 private:
  void Submit() {
    wire::JobSpec job = OneStepJob(next_++, kTasksPerJob, 3000);
    job.payload = std::string(200, 'x');
    cluster_.upstreams().RegisterJob(job);
    cluster_.Submit(NameOf(static_cast<int>(random_() % kEntries)), job);
  }

  JobCluster cluster_;
  std::mt19937_64 random_;
  JobId next_ = kFirstJob;
};

/// Bound of the platform: the share of what is sent later than 15 s after the
/// return of the machines that has to be served.
constexpr double kMinShare = 0.25;
constexpr Millis kRecoveryTime{15000};

double ShareAfterRecovery(std::chrono::microseconds per_message,
                          uint64_t seed) {
  LoadedCell cell(per_message, seed);
  cell.Load(Millis(4000));
  cell.LosePower();
  cell.Load(kRecoveryTime);
  const double share = cell.AcceptedShare(Millis(4000));
  BOOST_TEST_MESSAGE("seed " << seed << ": " << share);
  return share;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a large cell that stays away after a loss of all power.
BOOST_AUTO_TEST_CASE(LargeCellServesAfterLossOfAllPower) {
  for (const uint64_t seed : {1, 2}) {
    LoadedCell cell(std::chrono::microseconds(150), seed);
    cell.Load(Millis(4000));
    cell.LosePower();
    cell.Load(Millis(8000));
    const double share = cell.AcceptedShare(Millis(4000));
    BOOST_TEST_MESSAGE("seed " << seed << ": " << share);
    BOOST_TEST(share >= 0.9);
    BOOST_TEST(cell.cluster().Violations().empty());
  }
}

/// Guards against a cell that stays away after a loss of all power because its
/// leader's processor is full.
BOOST_AUTO_TEST_CASE(FullCellServesAfterLossOfAllPower) {
  for (const uint64_t seed : {1, 2}) {
    BOOST_TEST(ShareAfterRecovery(std::chrono::microseconds(400), seed) >=
               kMinShare);
  }
}

/// The same with a processor that can't carry the load.
BOOST_AUTO_TEST_CASE(OverloadedCellServesAfterLossOfAllPower) {
  for (const uint64_t seed : {1, 2, 3}) {
    BOOST_TEST(ShareAfterRecovery(std::chrono::microseconds(500), seed) >=
               kMinShare);
  }
}

}  // namespace mimosarail::jobsim
