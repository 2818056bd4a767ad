#define BOOST_TEST_MODULE link_load
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr int kEntries = 8;
constexpr int kUpstreams = 24;
constexpr Millis kSettleTime{8000};
constexpr Millis kLoadTime{60000};
/// Time after the load for accepted jobs to end.
constexpr Millis kDrainTime{15000};
constexpr Millis kJobInterval{50};
constexpr int32_t kTasksPerJob = 3;
constexpr size_t kPayloadBytes = 1400;
/// How long an upstream holds a renewal.
constexpr Millis kLongPoll{300};
constexpr JobId kFirstJob = 0xb00000;
constexpr double kBytesPerKilobyte = 1000;

/// What a cluster served, and what became of its leaders.
struct LinkOutcome {
  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  /// Jobs of which all tasks were done by the end of the load.
  int served = 0;
  /// The same, including the time after the load.
  int ended = 0;
  int64_t terms = 0;
  int64_t lapsed_runs = 0;
  /// Bytes that the first leader has sent in a second of load.
  double bytes_per_s = 0;
  std::vector<std::string> violations;
};

/// Returns the sum of the entry's metrics whose names begin with `name_prefix`.
int64_t MetricOf(const JobCluster& cluster, const std::string& entry,
                 const std::string& name_prefix) {
  const std::string prefix = "\nmimosarail_" + name_prefix;
  const std::string text = "\n" + cluster.Metrics(entry);
  int64_t sum = 0;
  for (size_t at = text.find(prefix); at != std::string::npos;
       at = text.find(prefix, at + 1)) {
    const size_t end = text.find('\n', at + 1);
    const std::string line = text.substr(at + 1, end - at - 1);
    sum += std::atoll(line.substr(line.rfind(' ') + 1).c_str());
  }
  return sum;
}

/// Returns the same over all entries.
int64_t SumOfMetric(const JobCluster& cluster, const std::string& name_prefix) {
  int64_t sum = 0;
  for (const std::string& name : cluster.names()) {
    sum += MetricOf(cluster, name, name_prefix);
  }
  return sum;
}

bool AllTasksDone(JobCluster& cluster, JobId id) {
  for (int32_t task = 0; task < kTasksPerJob; ++task) {
    if (cluster.upstreams().DoneRuns({id, 0, 0, task}) == 0) return false;
  }
  return true;
}

int CountDone(JobCluster& cluster, int jobs) {
  int done = 0;
  for (int i = 0; i < jobs; ++i) {
    if (AllTasksDone(cluster, kFirstJob + static_cast<JobId>(i))) ++done;
  }
  return done;
}

/// Runs the load with links of this rate (0 for no limit). With `budget`, the
/// entries know the rate.
LinkOutcome RunLoad(double bytes_per_s, bool budget, Millis load_time) {
  JobCluster cluster(
      {.entries = kEntries,
       .upstreams = kUpstreams,
       .millicores = 16000,
       .memory_mb = 64000,
       .upstream_calls_use_link = true,
       .link_kb_per_s =
           budget ? static_cast<int64_t>(bytes_per_s / kBytesPerKilobyte) : 0});
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().faults(id).long_poll_wait = kLongPoll;
  }
  cluster.RunFor(kSettleTime);
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(!leader.empty());
  const int64_t term = cluster.entry(leader)->leadership().term();
  cluster.SetLinkRate({.bytes_per_s = bytes_per_s});
  cluster.RunFor(Millis(2000));
  const int64_t sent_before = cluster.BytesSent(leader);
  LinkOutcome out;
  const TimePoint end = cluster.clock().now() + load_time;
  while (cluster.clock().now() < end) {
    wire::JobSpec spec = OneStepJob(
        kFirstJob + static_cast<JobId>(out.submitted), kTasksPerJob, 500);
    spec.payload = std::string(kPayloadBytes, 'x');
    cluster.Submit("entry-" + std::to_string(out.submitted % kEntries), spec);
    ++out.submitted;
    cluster.RunFor(kJobInterval);
  }
  const std::chrono::duration<double> span = load_time;
  out.bytes_per_s =
      static_cast<double>(cluster.BytesSent(leader) - sent_before) /
      span.count();
  out.served = CountDone(cluster, out.submitted);
  cluster.RunFor(kDrainTime);
  out.ended = CountDone(cluster, out.submitted);
  for (int i = 0; i < out.submitted; ++i) {
    const JobId id = kFirstJob + static_cast<JobId>(i);
    if (cluster.accepted(id)) ++out.accepted;
    if (cluster.refused(id)) ++out.refused;
  }
  const std::string last = cluster.Leader();
  out.terms =
      last.empty() ? -1 : cluster.entry(last)->leadership().term() - term;
  out.lapsed_runs = SumOfMetric(cluster, "task_ends{how=\"lapsed\"}") +
                    SumOfMetric(cluster, "runs_lost");
  out.violations = cluster.Violations();
  return out;
}

void Report(const std::string& name, const LinkOutcome& it) {
  BOOST_TEST_MESSAGE(name << ": submitted " << it.submitted << ", accepted "
                          << it.accepted << ", refused " << it.refused
                          << ", served " << it.served << ", ended " << it.ended
                          << ", terms " << it.terms << ", lapsed runs "
                          << it.lapsed_runs << ", sent "
                          << static_cast<int64_t>(it.bytes_per_s)
                          << " B/s, violations " << it.violations.size());
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a leader that is replaced because its own starts delay its
/// heartbeats and renewals. Its link carries a part of what the load needs.
BOOST_AUTO_TEST_CASE(FullLinkKeepsItsLeader) {
  const LinkOutcome free = RunLoad(0, false, Millis(20000));
  Report("no limit", free);
  BOOST_TEST(free.served > 0.95 * free.submitted);
  double last_served = 1;
  for (const double share : {1.0, 0.5, 0.3, 0.2}) {
    const LinkOutcome with = RunLoad(share * free.bytes_per_s, true, kLoadTime);
    Report("with budget, share " + std::to_string(share), with);
    const double served = static_cast<double>(with.served) / with.submitted;
    BOOST_TEST(with.terms == 0);
    BOOST_TEST(with.lapsed_runs == 0);
    BOOST_TEST(with.violations.empty());
    // Every accepted job ends.
    BOOST_TEST(with.ended >= with.accepted);
    BOOST_TEST(served >= 0.5 * share);
    BOOST_TEST(served <= last_served + 0.05);
    last_served = served;
  }
  // The same load without the budget, to show that it overloads the link.
  const LinkOutcome without =
      RunLoad(0.5 * free.bytes_per_s, false, Millis(20000));
  Report("without budget, share 0.5", without);
  BOOST_TEST(without.terms > 0);
  BOOST_TEST(without.served < 0.25 * without.submitted);
}

/// Prints what passes the link of a leader, by kind of message, for the table
/// in docs/CAPACITY.md. Guards against a kind that is not counted.
BOOST_AUTO_TEST_CASE(BytesByKindOfMessage) {
  constexpr int kJobs = 400;
  JobCluster cluster({.entries = kEntries,
                      .upstreams = kUpstreams,
                      .millicores = 16000,
                      .memory_mb = 64000,
                      .upstream_calls_use_link = true});
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().faults(id).long_poll_wait = kLongPoll;
  }
  cluster.RunFor(kSettleTime);
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(!leader.empty());
  std::map<std::string, metrics::Traffic::Totals> before;
  const auto key = [](const metrics::Traffic::Row& row) {
    return (row.direction == metrics::Direction::kIn ? "in  " : "out ") +
           row.kind;
  };
  for (const auto& row : cluster.Traffic(leader)) before[key(row)] = row.totals;
  const int64_t sent_before = cluster.BytesSent(leader);
  for (int i = 0; i < kJobs; ++i) {
    wire::JobSpec spec =
        OneStepJob(kFirstJob + static_cast<JobId>(i), kTasksPerJob, 500);
    spec.payload = std::string(kPayloadBytes, 'x');
    cluster.Submit("entry-" + std::to_string(i % kEntries), spec);
    cluster.RunFor(kJobInterval);
  }
  int64_t out = 0;
  for (const auto& row : cluster.Traffic(leader)) {
    const metrics::Traffic::Totals& earlier = before[key(row)];
    const int64_t bytes = row.totals.bytes - earlier.bytes;
    const int64_t messages = row.totals.messages - earlier.messages;
    if (row.direction == metrics::Direction::kOut) out += bytes;
    if (messages == 0) continue;
    BOOST_TEST_MESSAGE(key(row) << ": " << messages << " messages, " << bytes
                                << " bytes, " << bytes / kJobs << " a job");
  }
  const int64_t sent = cluster.BytesSent(leader) - sent_before;
  BOOST_TEST_MESSAGE("sent in all: " << sent << " bytes");
  BOOST_TEST(out <= sent);
  BOOST_TEST(static_cast<double>(out) > 0.98 * static_cast<double>(sent));
  cluster.RunFor(Millis(5000));
  cluster.Kill(leader);
  cluster.RunFor(Millis(5000));
  const std::string next = cluster.Leader();
  BOOST_REQUIRE(!next.empty());
  for (const auto& row : cluster.Traffic(next)) {
    if (row.kind == "page read") {
      BOOST_TEST_MESSAGE("takeover: " << row.totals.messages << " pages read, "
                                      << row.totals.bytes << " bytes, " << kJobs
                                      << " ended jobs");
    }
  }
}

/// Guards against idle upstreams that take much of a thin link, and against
/// fewer renewals where the rate of the link is unknown.
BOOST_AUTO_TEST_CASE(IdleUpstreamsTakeLessOfAThinLink) {
  const auto renewals_per_s = [](int64_t link_kb_per_s) {
    JobCluster cluster({.entries = kEntries,
                        .upstreams = kUpstreams,
                        .upstream_calls_use_link = true,
                        .link_kb_per_s = link_kb_per_s});
    for (const std::string& id : cluster.upstreams().ids()) {
      cluster.upstreams().faults(id).long_poll_wait = Millis(1000);
    }
    const auto sent = [&cluster](const std::string& entry) {
      for (const auto& row : cluster.Traffic(entry)) {
        if (row.kind == "renew") return row.totals.messages;
      }
      return int64_t{0};
    };
    cluster.RunFor(kSettleTime);
    const std::string leader = cluster.Leader();
    const int64_t before = sent(leader);
    cluster.RunFor(Millis(20000));
    const std::chrono::duration<double> span = Millis(20000);
    return static_cast<double>(sent(leader) - before) / span.count();
  };
  const double unknown = renewals_per_s(0);
  const double thin = renewals_per_s(36);
  BOOST_TEST_MESSAGE("renewals a second of " << kUpstreams
                                             << " idle upstreams: " << unknown
                                             << ", on a thin link " << thin);
  BOOST_TEST(unknown > 0.9 * kUpstreams);
  BOOST_TEST(thin < 0.55 * kUpstreams);
}

/// Guards against "not accepted" for an accepted job: its caller got no answer
/// and repeats it through an entry that refuses jobs itself meanwhile.
BOOST_AUTO_TEST_CASE(AcceptedJobIsNotRefusedByAnotherEntry) {
  JobCluster cluster({.entries = kEntries,
                      .upstreams = kUpstreams,
                      .millicores = 16000,
                      .memory_mb = 64000,
                      .upstream_calls_use_link = true,
                      .link_kb_per_s = 50});
  for (const std::string& id : cluster.upstreams().ids()) {
    cluster.upstreams().faults(id).long_poll_wait = kLongPoll;
  }
  cluster.RunFor(kSettleTime);
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(!leader.empty());
  cluster.SetLinkRate({.bytes_per_s = 50 * kBytesPerKilobyte});
  const std::string refusing = leader == "entry-1" ? "entry-2" : "entry-1";
  const auto submit = [&](const std::string& entry, JobId id) {
    wire::JobSpec spec = OneStepJob(id, kTasksPerJob, 500);
    spec.payload = std::string(kPayloadBytes, 'x');
    cluster.Submit(entry, spec);
  };
  const JobId first = kFirstJob;
  submit(leader, first);
  cluster.RunFor(Millis(1000));
  BOOST_REQUIRE(cluster.accepted(first));
  const auto refused_there = [&] {
    return MetricOf(cluster, refusing, "jobs_refused{");
  };
  JobId next = first + 1;
  for (; next < first + 2000 && refused_there() == 0; ++next) {
    submit("entry-" + std::to_string(next % kEntries), next);
    cluster.RunFor(kJobInterval);
  }
  BOOST_REQUIRE(refused_there() > 0);
  // Its other calls are answered while it still refuses jobs.
  cluster.RunFor(Millis(300));
  const int64_t before = refused_there();
  submit(refusing, first);
  cluster.RunFor(Millis(300));
  BOOST_TEST(refused_there() == before);
}

}  // namespace mimosarail::jobsim
