#define BOOST_TEST_MODULE takeover_load
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "src/coordinator/job_table.h"
#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

/// The jobs that a new leader must load after a takeover, and the capacity that
/// it has for that.
struct Fleet {
  /// Jobs in the table; one in three is open, the others have ended.
  int jobs = 0;
  double link_bytes_per_s = 0;
  /// Processor time for each message, and bytes decoded per second.
  std::chrono::microseconds message_time{0};
  double processor_bytes_per_s = 0;
  /// Size of each job's payload.
  size_t payload_bytes = 300;
  friend std::ostream& operator<<(std::ostream& out, const Fleet& fleet) {
    return out << fleet.jobs << " jobs, link " << fleet.link_bytes_per_s
               << " B/s, " << fleet.message_time.count() << " us a message, "
               << fleet.processor_bytes_per_s << " B/s decoded, texts of "
               << fleet.payload_bytes << " B";
  }
};

constexpr double kSlowLink = 250e3;    // 2 Mbit/s
constexpr double kMediumLink = 2.5e6;  // 20 Mbit/s
constexpr double kFastLink = 25e6;     // 200 Mbit/s
constexpr std::chrono::microseconds kSlowMessage{500};
constexpr std::chrono::microseconds kFastMessage{100};
constexpr double kSlowDecoding = 2e6;
constexpr double kFastDecoding = 20e6;
/// A page of jobs with such payloads takes about 5 s over the slow link.
constexpr size_t kLargePayload = 4000;
constexpr int kEntries = 24;
constexpr Millis kStep{20};

const std::vector<Fleet> kFleets{
    {30, kSlowLink, kSlowMessage, kSlowDecoding},
    {30, kFastLink, kFastMessage, kFastDecoding},
    {1200, kSlowLink, kSlowMessage, kSlowDecoding},
    {1200, kSlowLink, kFastMessage, kFastDecoding},
    {1200, kMediumLink, kSlowMessage, kSlowDecoding},
    {1200, kFastLink, kFastMessage, kFastDecoding},
    {5000, kSlowLink, kSlowMessage, kSlowDecoding},
    {5000, kMediumLink, kSlowMessage, kSlowDecoding},
    {5000, kFastLink, kFastMessage, kFastDecoding},
    {1200, kSlowLink, kSlowMessage, kSlowDecoding, kLargePayload},
    {1200, kMediumLink, kFastMessage, kFastDecoding, kLargePayload},
};

/// Puts jobs of an earlier leader into the table. Returns their size in the
/// encoding of the store's replies.
size_t FillTable(JobCluster& cluster, int jobs, size_t payload_bytes) {
  size_t bytes = 0;
  const auto put = [&](const std::string& key, const std::string& value) {
    cluster.store().Put("jobs", key, value);
    bytes += key.size() + value.size() * 4 / 3;
  };
  for (int i = 0; i < jobs; ++i) {
    const JobId id = 0xfe00000 + static_cast<JobId>(i);
    wire::JobSpec spec = OneStepJob(id, 4, 1000);
    spec.payload = std::string(payload_bytes, 'x');
    const bool open = i % 3 == 0;
    wire::ProgressRecord progress;
    progress.state = static_cast<int32_t>(JobState::kComplete);
    if (open) {
      cluster.upstreams().RegisterJob(spec);
      put(coordinator::SpecKey(id), rpc::Encode(spec));
    } else {
      put(coordinator::ProgressKey(id), rpc::Encode(progress));
    }
  }
  return bytes;
}

/// Submits jobs at every entry until the first one is accepted. Returns the
/// time until then, or `limit` if it takes longer.
Millis TimeToServe(JobCluster& cluster, Millis limit) {
  JobId next = 0xca00000;
  const JobId first = next;
  for (Millis waited{0}; waited < limit; waited += kStep) {
    for (int i = 0; i < 2; ++i) {
      wire::JobSpec spec = OneStepJob(next, 3, 100);
      spec.payload = std::string(200, 'y');
      cluster.Submit("entry-" + std::to_string(next % kEntries), spec);
      ++next;
    }
    cluster.RunFor(kStep);
    for (JobId id = first; id < next; ++id) {
      if (cluster.accepted(id)) return waited + kStep;
    }
  }
  return limit;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a service that never recovers after all entries have lost
/// power together. The new leader loads the stored jobs over a slow link or
/// with a slow processor while callers of all entries wait. When these calls
/// were repeated at the loading leader, they used half of its link: its lease
/// renewals were late, and the next leader had to load everything again. The
/// leader must serve within four times the time that loading takes alone,
/// plus 3 s.
BOOST_DATA_TEST_CASE(NewLeaderServesInTimeOnSlowLinks,
                     boost::unit_test::data::make(kFleets), fleet) {
  JobCluster cluster({.entries = kEntries,
                      .upstreams = 6,
                      .link = {.bytes_per_s = fleet.link_bytes_per_s},
                      .processor = {.bytes_per_s = fleet.processor_bytes_per_s,
                                    .per_message = fleet.message_time}});
  const size_t bytes = FillTable(cluster, fleet.jobs, fleet.payload_bytes);
  for (const std::string& name : cluster.names()) cluster.Kill(name);
  cluster.RunFor(Millis(1000));
  for (const std::string& name : cluster.names()) cluster.Restart(name);
  const double loading_s =
      static_cast<double>(bytes) / fleet.link_bytes_per_s +
      static_cast<double>(bytes) / fleet.processor_bytes_per_s;
  constexpr double kMillisPerSecond = 1000;
  const Millis loading(static_cast<int64_t>(loading_s * kMillisPerSecond));
  const Millis bound = 4 * loading + Millis(3000);
  const Millis took = TimeToServe(cluster, bound + Millis(5000));
  BOOST_TEST_MESSAGE("served after " << took.count() << " ms; loading alone "
                                     << loading.count() << " ms, bound "
                                     << bound.count() << " ms");
  BOOST_TEST(took <= bound);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against heartbeat replies that overload the leader's link. With 97
/// entries the leader sent 1.5 MB/s of heartbeat replies over a link of 2.5
/// MB/s, and callers waited behind them: each reply listed all entries, so the
/// total grew with the square of their number. The bytes sent to one follower
/// must not grow with the number of followers.
BOOST_AUTO_TEST_CASE(HeartbeatReplySizeIsIndependentOfFleetSize) {
  const auto sent_to_each = [](int entries) {
    JobCluster cluster({.entries = entries, .upstreams = 2});
    cluster.RunFor(Millis(15000));
    const std::string leader = cluster.Leader();
    const int64_t before = cluster.BytesSent(leader);
    cluster.RunFor(Millis(10000));
    BOOST_TEST(cluster.Leader() == leader);
    return static_cast<double>(cluster.BytesSent(leader) - before) / entries;
  };
  const double few = sent_to_each(12);
  const double many = sent_to_each(96);
  BOOST_TEST_MESSAGE("bytes to each in 10 s: of 12 " << few << ", of 96 "
                                                     << many);
  BOOST_TEST(many <= 1.1 * few);
}

}  // namespace mimosarail::jobsim
