#define BOOST_TEST_MODULE dropped_upstreams
#include "src/coordinator/dropped_upstreams.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

using coordinator::DroppedUpstream;
using coordinator::DroppedUpstreams;
using scheduling::UpstreamLoss;

constexpr Millis kStartupTime{2000};
/// Longer than leases and the time until an unlisted upstream is dropped.
constexpr Millis kAwayTime{15000};

void CheckMetric(JobCluster& cluster, const std::string& line, bool present) {
  const std::string metrics = cluster.Metrics(cluster.Leader());
  BOOST_CHECK_MESSAGE(
      (metrics.find(line) != std::string::npos) == present,
      line << (present ? " is not in: " : " is in: ") << metrics);
}

/// Removes the upstream from the list, as its entry lapses while it is cut off.
void CutOff(JobCluster& cluster, const std::string& id) {
  cluster.upstreams().faults(id).unreachable = true;
  cluster.store().Put(kUpstreamTable, id, "");
}

/// An upstream is dropped, and nothing tells that it was only cut off.
BOOST_AUTO_TEST_CASE(AnswerInTheSameIncarnationIsCounted) {
  JobCluster cluster({.restart_under_same_id = true});
  cluster.RunFor(kStartupTime);
  CutOff(cluster, "up-1");
  cluster.RunFor(kAwayTime);
  CheckMetric(cluster, "upstreams_dropped{why=\"leases over\"} 1", true);
  CheckMetric(cluster, "dropped_upstreams_back", false);
  cluster.upstreams().faults("up-1").unreachable = false;
  cluster.store().Put(kUpstreamTable, "up-1",
                      rpc::Encode(cluster.ListEntryOf("up-1")));
  cluster.RunFor(Millis(2000));
  CheckMetric(cluster, "dropped_upstreams_back{why=\"leases over\"} 1", true);
  BOOST_TEST(cluster.Violations().empty());
}

/// An upstream that has crashed is taken for one that was only cut off.
BOOST_AUTO_TEST_CASE(AnswerInALaterIncarnationIsNotCounted) {
  JobCluster cluster({.restart_under_same_id = true, .crash_silently = true});
  cluster.RunFor(kStartupTime);
  const int64_t incarnation = cluster.upstreams().Incarnation("up-1");
  CutOff(cluster, "up-1");
  cluster.RunFor(kAwayTime);
  cluster.upstreams().faults("up-1").unreachable = false;
  cluster.upstreams().Crash("up-1");
  cluster.RunFor(kAwayTime);
  BOOST_TEST(cluster.upstreams().Incarnation("up-1") > incarnation);
  CheckMetric(cluster, "upstreams_dropped{why=\"leases over\"} 1", true);
  CheckMetric(cluster, "dropped_upstreams_back", false);
  BOOST_TEST(cluster.Violations().empty());
}

DroppedUpstream DroppedAt(int64_t ms) {
  return {.incarnation = 7,
          .why = UpstreamLoss::kUnreachable,
          .dropped_at = TimePoint(Millis(ms))};
}

/// The next incarnation of an upstream is taken for the dropped one.
BOOST_AUTO_TEST_CASE(OnlyTheSameIncarnationIsReturned) {
  DroppedUpstreams dropped;
  dropped.Add("up-1", DroppedAt(1));
  BOOST_TEST(!dropped.TakeAnswering("up-2", 7).has_value());
  BOOST_TEST((dropped.TakeAnswering("up-1", 7) == DroppedAt(1)));
  BOOST_TEST(!dropped.TakeAnswering("up-1", 7).has_value());
  dropped.Add("up-1", DroppedAt(2));
  BOOST_TEST(!dropped.TakeAnswering("up-1", 8).has_value());
  BOOST_TEST(dropped.size() == 0U);
}

/// The memory of a leader grows with each upstream that leaves.
BOOST_AUTO_TEST_CASE(DroppedUpstreamsAreLimited) {
  DroppedUpstreams dropped(2);
  dropped.Add("up-1", DroppedAt(1));
  dropped.Add("up-2", DroppedAt(2));
  dropped.Add("up-3", DroppedAt(3));
  BOOST_TEST(dropped.size() == 2U);
  BOOST_TEST(!dropped.TakeAnswering("up-1", 7).has_value());
  BOOST_TEST(dropped.TakeAnswering("up-3", 7).has_value());
}

}  // namespace
}  // namespace mimosarail::jobsim
