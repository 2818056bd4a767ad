// The paths of a refusal by deadline through entries, leader and store.

#define BOOST_TEST_MODULE admission_paths
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "src/coordinator/job_table.h"
#include "src/jobentry/leader_load.h"
#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::AdmissionPolicy;
using coordinator::JobVerdict;

constexpr Millis kStartupTime{2500};
constexpr Millis kAnswerTime{4000};

/// A cluster of six upstreams with 8 cores, each of which runs one of this
/// test's jobs at a time: 12 jobs/s.
class AdmissionCluster : public JobCluster {
 public:
  explicit AdmissionCluster(AdmissionPolicy policy = AdmissionPolicy::kDeadline)
      : JobCluster({.admission = policy}) {
    RunFor(kStartupTime);
  }

  /// An urgent job of 0.5 s that has a value for 1.5 s.
  static wire::JobSpec Job(JobId id) { return OneStepJob(id, 1, 8000); }

  /// Submits `per_s` jobs a second, each to the next entry.
  void SubmitForSeconds(int seconds, int per_s) {
    const Millis pause(1000 / per_s);
    for (int i = 0; i < seconds * per_s; ++i) {
      ++last_id_;
      Submit(names()[last_id_ % names().size()], Job(last_id_));
      RunFor(pause);
    }
  }
  JobId last_id() const { return last_id_; }
  std::string Follower() {
    for (const std::string& name : names()) {
      if (name != Leader() && entry(name) != nullptr) return name;
    }
    return {};
  }
  int CountRefused() const {
    int count = 0;
    for (JobId id = 1; id <= last_id_; ++id) count += refused(id) ? 1 : 0;
    return count;
  }
  /// The first refused job after `after`; 0 if there is none.
  JobId FirstRefused(JobId after = 0) const {
    for (JobId id = after + 1; id <= last_id_; ++id) {
      if (refused(id)) return id;
    }
    return 0;
  }
  const CallerCall& LastCall() const { return calls().back(); }
  void CheckNoViolations() const {
    for (const std::string& violation : Violations()) BOOST_ERROR(violation);
  }

 private:
  JobId last_id_ = 0;
};

}  // namespace

BOOST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_SUITE(AdmissionPaths)

// Guards against an overload in which all jobs are accepted and end late, and
// against accepted jobs that never end.
BOOST_AUTO_TEST_CASE(TwiceTheLoadFor20SecondsIsRefusedInPart) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(20, 24);
  cluster.RunFor(kAnswerTime);
  const int refused = cluster.CountRefused();
  BOOST_TEST_MESSAGE("refused " << refused << " of " << cluster.last_id());
  BOOST_TEST(refused > 60);
  BOOST_TEST(refused < 300);
  for (JobId id = 1; id <= cluster.last_id(); ++id) {
    BOOST_TEST(cluster.answered(id));
    BOOST_TEST((cluster.accepted(id) || cluster.refused(id)));
  }
  cluster.RunFor(Millis(20000));
  for (JobId id = 1; id <= cluster.last_id(); id += 20) {
    if (!cluster.accepted(id)) continue;
    BOOST_TEST((cluster.State(id) == JobState::kComplete));
  }
  BOOST_TEST(cluster.Metrics(cluster.Leader()).find("jobs_refused{") !=
             std::string::npos);
  cluster.CheckNoViolations();
}

// Guards against a flood of one account that lets jobs of others be refused.
BOOST_AUTO_TEST_CASE(FloodOfOneAccountRefusesOnlyItsOwnJobs) {
  AdmissionCluster cluster;
  cluster.PublishAccounts({{.name = "flood", .limit = {.millicores = 16000}},
                           {.name = "other", .limit = {.millicores = 32000}}});
  cluster.RunFor(Millis(2000));
  constexpr JobId kOther = 10000;
  for (JobId i = 1; i <= 240; ++i) {
    wire::JobSpec job = AdmissionCluster::Job(i);
    job.account = "flood";
    cluster.Submit(cluster.names()[i % cluster.names().size()], job);
    if (i % 10 == 0) {
      job = AdmissionCluster::Job(kOther + i);
      job.account = "other";
      cluster.Submit(cluster.Follower(), job);
    }
    cluster.RunFor(Millis(33));
  }
  cluster.RunFor(kAnswerTime);
  int refused = 0;
  for (JobId i = 1; i <= 240; ++i) {
    refused += cluster.refused(i) ? 1 : 0;
    if (i % 10 == 0) BOOST_TEST(cluster.accepted(kOther + i));
  }
  BOOST_TEST_MESSAGE("refused " << refused << " of 240 of the flood");
  BOOST_TEST(refused > 60);
  BOOST_TEST(
      cluster.Metrics(cluster.Leader())
          .find("jobs_refused{queue=\"q\",reason=\"account backlog\"}") !=
      std::string::npos);
  cluster.CheckNoViolations();
}

// Guards against refusals at a load that the pool can serve.
BOOST_AUTO_TEST_CASE(NothingIsRefusedBelowCapacity) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(20, 10);
  cluster.RunFor(kAnswerTime);
  BOOST_TEST(cluster.CountRefused() == 0);
}

// Guards against refusals with the default policy.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWithTheDefaultPolicy) {
  AdmissionCluster cluster(AdmissionPolicy::kCapacity);
  cluster.SubmitForSeconds(20, 24);
  cluster.RunFor(kAnswerTime);
  BOOST_TEST(cluster.CountRefused() == 0);
  const std::string metrics = cluster.Metrics(cluster.Leader());
  BOOST_TEST(metrics.find("expected_wait_ms") == std::string::npos);
}

// Guards against refusals of jobs that have no deadline.
BOOST_AUTO_TEST_CASE(JobsWithSetTimesOrLongRunningTasksAreAccepted) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(8, 30);
  BOOST_REQUIRE(cluster.CountRefused() > 0);
  constexpr JobId kExempt = 400000;
  for (JobId i = 1; i <= 20; ++i) {
    cluster.SubmitForSeconds(1, 30);
    wire::JobSpec job = AdmissionCluster::Job(kExempt + i);
    if (i % 2 == 0) {
      job.steps[0].long_running = true;
    } else {
      job.occurrences = 2;
      job.interval_ms = 1000;
      job.first_due_ms = 1;
    }
    cluster.Submit(cluster.Follower(), job);
    cluster.RunFor(Millis(200));
    BOOST_TEST(cluster.accepted(kExempt + i));
    if (i % 2 == 0) cluster.Cancel(cluster.Follower(), kExempt + i);
  }
  BOOST_TEST(cluster.CountRefused() > 150);
}

// Guards against a burst that is accepted as a whole, since its jobs are not in
// the scheduler's queue before they are stored.
BOOST_AUTO_TEST_CASE(BurstIsRefusedInPartWhileItIsStored) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(2, 24);
  cluster.store().faults().append_latency = Millis(300);
  const JobId before = cluster.last_id();
  cluster.SubmitForSeconds(1, 200);
  cluster.store().faults().append_latency = Millis(4);
  cluster.RunFor(kAnswerTime);
  int refused = 0;
  for (JobId id = before + 1; id <= cluster.last_id(); ++id) {
    refused += cluster.refused(id) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("refused " << refused << " of a burst of 200");
  BOOST_TEST(refused > 100);
  cluster.CheckNoViolations();
}

// Guards against a refused job that runs, or that can't be submitted again.
BOOST_AUTO_TEST_CASE(RefusedJobNeverStartsAndIsAcceptedLater) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(12, 24);
  cluster.RunFor(kAnswerTime);
  const JobId id = cluster.FirstRefused();
  BOOST_REQUIRE(id > 0U);
  BOOST_TEST(
      !cluster.store().Records("jobs").contains(coordinator::SpecKey(id)));
  cluster.RunFor(Millis(30000));
  BOOST_TEST(cluster.upstreams().Starts({id, 0, 0, 0}) == 0);
  cluster.CheckNoViolations();
  cluster.Submit(cluster.Follower(), AdmissionCluster::Job(id));
  cluster.RunFor(kAnswerTime);
  BOOST_TEST((cluster.LastCall().verdict == JobVerdict::kConfirmed));
  BOOST_TEST(cluster.RunUntilFinal(id, Millis(5000)));
  BOOST_TEST(cluster.upstreams().Starts({id, 0, 0, 0}) == 1);
}

// Guards against "not accepted" for a job that is accepted, at entries that
// know that its queue is refused.
BOOST_AUTO_TEST_CASE(RepeatOfAnAcceptedJobIsNeverRefused) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(10, 30);
  const JobId last = cluster.last_id();
  BOOST_REQUIRE(cluster.CountRefused() > 0);
  std::set<JobId> repeated;
  for (JobId id = 1; id <= last; ++id) {
    if (!cluster.accepted(id)) continue;
    repeated.insert(id);
    // Another entry than the one that accepted it.
    cluster.Submit(cluster.names()[(id + 1) % cluster.names().size()],
                   AdmissionCluster::Job(id));
    cluster.RunFor(Millis(5));
  }
  cluster.RunFor(kAnswerTime);
  std::set<JobId> confirmed_again;
  for (const CallerCall& call : cluster.calls()) {
    if (repeated.count(call.job) == 0) continue;
    BOOST_TEST((call.verdict == JobVerdict::kConfirmed));
  }
  cluster.CheckNoViolations();
}

// Guards against callers that all return 1 s after a store outage refused them.
BOOST_AUTO_TEST_CASE(CallersRefusedForTheStoreReturnSpreadOut) {
  AdmissionCluster cluster;
  cluster.store().faults().down = true;
  cluster.RunFor(Millis(600));
  const JobId first = cluster.last_id() + 1;
  cluster.SubmitForSeconds(3, 100);
  cluster.store().faults().down = false;
  cluster.RunFor(kAnswerTime);
  std::set<int64_t> returns;
  int refused = 0;
  for (const CallerCall& call : cluster.calls()) {
    if (call.job < first || call.verdict != JobVerdict::kRefused) continue;
    ++refused;
    returns.insert(call.retry_after.count() / 100);
    BOOST_TEST(call.retry_after >= Millis(1000));
    BOOST_TEST(call.retry_after <= coordinator::kMaxRetryAfter);
  }
  BOOST_TEST_MESSAGE(refused << " refused without the store, to return in "
                             << returns.size() << " different tenths");
  BOOST_TEST(refused > 50);
  BOOST_TEST(returns.size() >= 5U);
  // The store is back: the callers are served.
  cluster.RunFor(Millis(5000));
  cluster.Submit(cluster.Follower(), AdmissionCluster::Job(100000));
  cluster.RunFor(kAnswerTime);
  BOOST_TEST((cluster.LastCall().verdict == JobVerdict::kConfirmed));
  cluster.CheckNoViolations();
}

// Guards against other times of return with the default policy.
BOOST_AUTO_TEST_CASE(DefaultPolicyLetsAllCallersReturnAfterASecond) {
  AdmissionCluster cluster(AdmissionPolicy::kCapacity);
  cluster.store().faults().down = true;
  cluster.RunFor(Millis(600));
  cluster.SubmitForSeconds(3, 50);
  cluster.store().faults().down = false;
  cluster.RunFor(kAnswerTime);
  BOOST_TEST(cluster.CountRefused() > 20);
  for (const CallerCall& call : cluster.calls()) {
    if (call.verdict != JobVerdict::kRefused) continue;
    BOOST_TEST(call.retry_after.count() == 1000);
  }
}

// Guards against false refusals and lost jobs when the leader is lost during a
// flood. Its successor knows no rates.
BOOST_AUTO_TEST_CASE(LeaderLostInAFlood) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(8, 30);
  BOOST_TEST(cluster.CountRefused() > 0);
  const std::string lost = cluster.Leader();
  cluster.Kill(lost);
  cluster.SubmitForSeconds(8, 30);
  cluster.RunFor(kAnswerTime);
  const JobId after = cluster.FirstRefused(480 - 60);
  BOOST_TEST(after > 0U);
  cluster.RunFor(Millis(30000));
  for (JobId id = 1; id <= cluster.last_id(); id += 7) {
    if (!cluster.accepted(id)) continue;
    BOOST_TEST((cluster.State(id) == JobState::kComplete));
  }
  cluster.CheckNoViolations();
}

// Guards against a refusal by a leader whose process was paused, for a job that
// its successor has accepted meanwhile.
BOOST_AUTO_TEST_CASE(ResumedLeaderDoesNotRefuseAJobOfItsSuccessor) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(8, 30);
  const std::string old_leader = cluster.Leader();
  cluster.Pause(old_leader);
  cluster.RunFor(Millis(30000));
  BOOST_REQUIRE(cluster.Leader() != old_leader);
  const JobId id = 200000;
  cluster.Submit(cluster.Leader(), AdmissionCluster::Job(id));
  cluster.RunFor(kAnswerTime);
  BOOST_REQUIRE(cluster.accepted(id));
  cluster.Submit(old_leader, AdmissionCluster::Job(id));
  cluster.Resume(old_leader);
  cluster.RunFor(kAnswerTime);
  BOOST_TEST((cluster.LastCall().verdict == JobVerdict::kConfirmed));
  cluster.CheckNoViolations();
}

// Guards against an entry that does not learn the leader's load, or keeps an
// old summary when it is cut off.
BOOST_AUTO_TEST_CASE(EntryCutOffFromTheLeaderStillAnswers) {
  AdmissionCluster cluster;
  cluster.SubmitForSeconds(8, 30);
  const std::string follower = cluster.Follower();
  BOOST_TEST(cluster.Metrics(follower).find("leader_refuses{queue=\"q\"} 1") !=
             std::string::npos);
  cluster.SetIsolated(follower, true);
  cluster.RunFor(Millis(1500));
  cluster.Submit(follower, AdmissionCluster::Job(300000));
  cluster.RunFor(kAnswerTime);
  const CallerCall& call = cluster.LastCall();
  BOOST_TEST(call.answers == 1);
  BOOST_TEST((call.verdict == JobVerdict::kRefused ||
              call.verdict == JobVerdict::kOutcomeUnknown));
  BOOST_TEST(cluster.upstreams().Starts({300000, 0, 0, 0}) == 0);
  cluster.SetIsolated(follower, false);
  cluster.RunFor(Millis(3000));
  cluster.CheckNoViolations();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Picture)

wire::LoadSummary Summary(int64_t age_ms, int64_t retry_after_ms = 5000) {
  wire::QueueLoad row;
  row.queue = "q";
  row.refused = true;
  row.retry_after_ms = retry_after_ms;
  wire::LoadSummary out;
  out.age_ms = age_ms;
  out.queues = {row};
  return out;
}

// Guards against a summary that is used for longer than 1 s, or although it is
// of an earlier leader.
BOOST_AUTO_TEST_CASE(IsUsedOnlyWhileFreshAndOfTheCurrentTerm) {
  const TimePoint sent = TimePoint{} + Millis(100000);
  jobentry::LeaderLoad load;
  BOOST_TEST(!load.Find("q", 3, sent));
  load.Update(Summary(100), 3, sent);
  BOOST_TEST(load.Find("q", 3, sent + Millis(899)).has_value());
  BOOST_TEST(!load.Find("q", 3, sent + Millis(900)));
  BOOST_TEST(!load.Find("q", 4, sent));
  BOOST_TEST(!load.Find("other", 3, sent));
  // A reply that was overtaken, of this leader or an earlier one.
  load.Update(Summary(0, 1), 3, sent - Millis(200));
  load.Update(Summary(0, 1), 2, sent + Millis(200));
  BOOST_TEST(load.Find("q", 3, sent)->retry_after_ms == 5000);
  load.Clear();
  BOOST_TEST(!load.Find("q", 3, sent));
}

// Guards against a peer that sends an unbounded summary, or an age that would
// make an old one look new.
BOOST_AUTO_TEST_CASE(BoundsWhatAPeerSends) {
  const TimePoint sent = TimePoint{} + Millis(100000);
  jobentry::LeaderLoad load;
  wire::LoadSummary large = Summary(-1000000);
  for (int i = 0; i < 1000; ++i) {
    large.queues.push_back(large.queues.front());
    large.queues.back().queue = "q" + std::to_string(i);
  }
  load.Update(large, 3, sent);
  BOOST_TEST(load.queues().size() == jobentry::LeaderLoad::kMaxQueues);
  BOOST_TEST(!load.Find("q", 3, sent + Millis(1000)));
}

// Guards against fields of the heartbeat reply that the codec does not carry,
// and against leaders of earlier versions, which send no load.
BOOST_AUTO_TEST_CASE(SummaryPassesTheWire) {
  wire::HeartbeatReply reply;
  reply.term = 7;
  const std::string without = rpc::Encode(reply);
  reply.__set_load(Summary(123));
  wire::HeartbeatReply read;
  BOOST_REQUIRE(rpc::DecodeInto(rpc::Encode(reply), read));
  BOOST_TEST((read == reply));
  BOOST_TEST(bool{read.__isset.load});
  BOOST_TEST(read.load.age_ms == 123);
  BOOST_TEST(read.load.queues.at(0).retry_after_ms == 5000);
  BOOST_TEST(read.load.queues.at(0).refused);
  wire::HeartbeatReply earlier;
  BOOST_REQUIRE(rpc::DecodeInto(without, earlier));
  BOOST_TEST(!bool{earlier.__isset.load});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mimosarail::jobsim
