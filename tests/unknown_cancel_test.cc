// Tests that a job does not run once its cancellation is acknowledged, although
// its submission reaches the leader only afterwards.

#define BOOST_TEST_MODULE unknown_cancel
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

namespace data = boost::unit_test::data;

using coordinator::JobVerdict;

constexpr JobId kJob = 0xabc00;
constexpr Millis kStartupTime{2000};
/// Time in which a call is answered while no fault is active.
constexpr Millis kAnswerTime{200};
/// Time in which a job that is accepted starts and ends.
constexpr Millis kRunTime{3000};
constexpr Millis kTakeoverTime{4000};

uint64_t SeedCount() {
  constexpr uint64_t kDefaultSeedCount = 60;
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

wire::JobSpec JobOf(JobId id, const std::string& account = "") {
  wire::JobSpec out = OneStepJob(id, 1, 500);
  out.account = account;
  return out;
}

/// A cluster that is ready for calls.
class ReadyCluster : public JobCluster {
 public:
  explicit ReadyCluster(const JobClusterOptions& options = {})
      : JobCluster(options) {
    RunFor(kStartupTime);
  }

  /// A running entry that does not lead.
  std::string Follower() {
    const std::string leader = Leader();
    for (const auto& name : names()) {
      if (name != leader && entry(name) != nullptr) return name;
    }
    return {};
  }
  /// Cancels the job and returns the answer.
  JobVerdict CancelNow(const std::string& entry, JobId id,
                       const jobentry::CallerAccount& account = std::nullopt) {
    return Await(calls().size(), [&] { Cancel(entry, id, account); });
  }
  JobVerdict SubmitNow(const std::string& entry, const wire::JobSpec& spec) {
    return Await(calls().size(), [&] { Submit(entry, spec); });
  }
  JobVerdict StateNow(JobId id) {
    JobVerdict out = JobVerdict::kOutcomeUnknown;
    QueryState(Follower(), id, [&](const jobentry::JobAnswer& answer) {
      out = answer.verdict;
    });
    RunFor(kAnswerTime);
    return out;
  }
  /// The value of a metric of the leader; nothing if it has none.
  std::optional<double> LeaderMetric(const std::string& name) {
    const std::string text = "\n" + Metrics(Leader());
    const std::string start = "\nmimosarail_" + name + " ";
    const size_t at = text.find(start);
    if (at == std::string::npos) return std::nullopt;
    return std::strtod(text.c_str() + at + start.size(), nullptr);
  }
  size_t StoredRecords() { return store().Records("jobs").size(); }

 private:
  template <typename Call>
  JobVerdict Await(size_t index, Call call) {
    call();
    RunFor(kAnswerTime);
    return calls()[index].answers > 0 ? calls()[index].verdict
                                      : JobVerdict::kOutcomeUnknown;
  }
};

/// Submits the job at the leader and cancels it at another entry, one of them
/// `delay` after the other.
void Cross(ReadyCluster& cluster, bool cancel_first, Millis delay) {
  const std::string other = cluster.Follower();
  if (cancel_first) cluster.Cancel(other, kJob);
  if (!cancel_first) cluster.Submit(cluster.Leader(), JobOf(kJob));
  cluster.RunFor(delay);
  if (cancel_first) cluster.Submit(cluster.Leader(), JobOf(kJob));
  if (!cancel_first) cluster.Cancel(other, kJob);
  cluster.RunFor(Millis(1500));
}

/// Submits the job at the leader, which refuses it since the store does not
/// answer.
void SubmitWhileStoreIsDown(ReadyCluster& cluster) {
  constexpr Millis kStallTime{500};
  constexpr Millis kRefusalTime{470};
  cluster.store().faults().down = true;
  cluster.Submit(cluster.Leader(), JobOf(kJob + 1));
  cluster.RunFor(kStallTime);
  const size_t index = cluster.calls().size();
  cluster.Submit(cluster.Leader(), JobOf(kJob));
  cluster.RunFor(kRefusalTime);
  BOOST_REQUIRE((cluster.calls()[index].verdict == JobVerdict::kRefused));
  cluster.store().faults() = {};
}

void CheckNeverRuns(ReadyCluster& cluster, JobId id) {
  cluster.RunFor(kRunTime);
  BOOST_CHECK_MESSAGE(!cluster.upstreams().HasRun(id),
                      "ran after it was cancelled: " << JobIdText(id));
  BOOST_TEST(cluster.Violations().empty());
}

/// Plays one random scenario: jobs are submitted, cancelled before or after
/// that at other entries, and submitted again by late copies, while entries are
/// paused or restarted and the store fails.
class UnknownCancelScenario {
 public:
  explicit UnknownCancelScenario(uint64_t seed) : random_(seed) {}

  void Play() {
    constexpr int kSteps = 60;
    for (int step = 0; step < kSteps; ++step) {
      Call();
      if (Chance(25)) InjectFault();
      if (Chance(15)) EndFaults();
      RunFor(Millis(20 + Pick(400)));
    }
    EndFaults();
    RunFor(Millis(6000));
    for (const auto& [id, job] : jobs_) {
      if (!job.cancelled || Chance(50)) continue;
      cluster_.Submit(RandomEntry(), JobOf(id));
    }
    RunFor(Millis(6000));
    Check();
  }

 private:
  struct TrackedJob {
    bool cancelled = false;
    /// Starts when a caller was told that there is no such job.
    std::optional<int> starts_when_denied;
  };

  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }
  JobId RandomJob() {
    auto at = jobs_.begin();
    std::advance(at, Pick(jobs_.size()));
    return at->first;
  }

  void Call() {
    constexpr JobId kFirstJob = 0xdec0000;
    if (jobs_.empty() || Chance(50)) jobs_[kFirstJob + jobs_.size()];
    const JobId id = Chance(50) ? jobs_.rbegin()->first : RandomJob();
    if (Chance(60)) return cluster_.Submit(RandomEntry(), JobOf(id));
    jobs_[id].cancelled = true;
    cluster_.Cancel(RandomEntry(), id);
  }

  void InjectFault() {
    StoreFaults& store = cluster_.store().faults();
    switch (Pick(5)) {
      case 0:
        return cluster_.Pause(RandomEntry());
      case 1:
        return cluster_.Restart(RandomEntry());
      case 2:
        if (!cluster_.Leader().empty()) cluster_.Restart(cluster_.Leader());
        return;
      case 3:
        store.drop_replies = static_cast<int>(Pick(3));
        return;
      default:
        store.down = Chance(30);
    }
  }

  void EndFaults() {
    for (const auto& name : cluster_.names()) cluster_.Resume(name);
    cluster_.store().faults() = {};
  }

  void RunFor(Millis span) {
    constexpr Millis kSlice{10};
    for (Millis passed{0}; passed < span; passed += kSlice) {
      cluster_.RunFor(kSlice);
      NoteDenials();
    }
  }

  void NoteDenials() {
    for (; !cluster_.calls().empty() && noted_ < cluster_.calls().size();
         ++noted_) {
      open_.insert(noted_);
    }
    std::erase_if(open_, [this](size_t index) {
      const CallerCall& call = cluster_.calls()[index];
      if (call.answers == 0) return call.connection_lost;
      std::optional<int>& starts = jobs_[call.job].starts_when_denied;
      if (call.verdict == JobVerdict::kNoSuchJob && !starts) {
        starts = cluster_.upstreams().Starts({call.job, 0, 0, 0});
      }
      return true;
    });
  }

  void Check() {
    for (const std::string& what : cluster_.Violations()) BOOST_ERROR(what);
    for (const auto& [id, job] : jobs_) {
      BOOST_TEST_CONTEXT("job " << JobIdText(id)) {
        const int starts = cluster_.upstreams().Starts({id, 0, 0, 0});
        BOOST_TEST(starts == job.starts_when_denied.value_or(starts));
        if (!cluster_.accepted(id)) continue;
        const auto state = cluster_.State(id);
        BOOST_REQUIRE(state.has_value());
        BOOST_TEST(IsFinal(*state));
        if (!job.cancelled) BOOST_TEST((*state == JobState::kComplete));
      }
    }
    constexpr JobId kNewJob = 0xfeed;
    cluster_.Submit(RandomEntry(), JobOf(kNewJob));
    RunFor(kRunTime);
    BOOST_TEST((cluster_.State(kNewJob) == JobState::kComplete));
  }

  std::mt19937_64 random_;
  ReadyCluster cluster_;
  std::map<JobId, TrackedJob> jobs_;
  /// Calls that are not answered yet, by index, and the number of known calls.
  std::set<size_t> open_;
  size_t noted_ = 0;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Random scenarios: no job starts after its caller was told that there is
/// none, and a job that nobody cancelled is not affected.
BOOST_DATA_TEST_CASE(CancelledJobsDoNotStartUnderFaults,
                     data::xrange(SeedCount()), seed) {
  BOOST_TEST_CONTEXT("seed " << seed) { UnknownCancelScenario(seed).Play(); }
}

/// Guards against a job that runs because its submission arrives after its
/// acknowledged cancellation.
BOOST_AUTO_TEST_CASE(LateSubmissionOfCancelledJobDoesNotRun) {
  ReadyCluster cluster;
  BOOST_REQUIRE((cluster.CancelNow("entry-1", kJob) == JobVerdict::kNoSuchJob));
  cluster.RunFor(Millis(1500));
  cluster.Submit("entry-2", JobOf(kJob));
  CheckNeverRuns(cluster, kJob);
  BOOST_TEST(cluster.answered(kJob));
}

/// Guards against an entry that was paused with a submission and passes it on
/// after the job was cancelled elsewhere.
BOOST_AUTO_TEST_CASE(SubmissionAtPausedEntryDoesNotRunAfterCancellation) {
  ReadyCluster cluster;
  const std::string paused = cluster.Follower();
  cluster.Pause(paused);
  cluster.Submit(paused, JobOf(kJob));
  cluster.RunFor(Millis(3000));
  BOOST_REQUIRE((cluster.CancelNow("entry-3", kJob) == JobVerdict::kNoSuchJob));
  cluster.RunFor(Millis(1000));
  cluster.Resume(paused);
  CheckNeverRuns(cluster, kJob);
}

/// Guards against an entry that passes on a submission that it reads after a
/// pause, although its caller has given up meanwhile.
BOOST_AUTO_TEST_CASE(SubmissionReadAfterItsCallerGaveUpIsDropped) {
  ReadyCluster cluster;
  const std::string paused = cluster.Follower();
  cluster.Pause(paused);
  cluster.Submit(paused, JobOf(kJob));
  cluster.RunFor(Millis(3500));
  cluster.Resume(paused);
  cluster.RunFor(kRunTime);
  BOOST_TEST(!cluster.upstreams().HasRun(kJob));
  BOOST_TEST((cluster.calls().front().verdict == JobVerdict::kOutcomeUnknown));
  BOOST_TEST(
      (cluster.SubmitNow(paused, JobOf(kJob + 1)) == JobVerdict::kConfirmed));
}

/// Guards against a cancellation that only the leader which acknowledged it
/// knows.
BOOST_AUTO_TEST_CASE(CancellationOfUnknownJobSurvivesTakeovers) {
  ReadyCluster cluster;
  BOOST_REQUIRE((cluster.CancelNow("entry-1", kJob) == JobVerdict::kNoSuchJob));
  for (int i = 0; i < 2; ++i) {
    cluster.Restart(cluster.Leader());
    cluster.RunFor(kTakeoverTime);
  }
  cluster.Submit("entry-2", JobOf(kJob));
  CheckNeverRuns(cluster, kJob);
  BOOST_TEST(cluster.answered(kJob));
}

/// Guards against a leader that forgets a cancellation for the many that
/// follow.
BOOST_AUTO_TEST_CASE(ManyFurtherCancellationsDisplaceNone) {
  constexpr int kCancels = 20000;
  constexpr int kCancelsAtOnce = 400;
  ReadyCluster cluster;
  BOOST_REQUIRE((cluster.CancelNow("entry-1", kJob) == JobVerdict::kNoSuchJob));
  for (JobId i = 1; i <= kCancels; ++i) {
    cluster.Cancel("entry-2", kJob + i);
    if (i % kCancelsAtOnce == 0) cluster.RunFor(kAnswerTime);
  }
  cluster.Submit("entry-2", JobOf(kJob));
  CheckNeverRuns(cluster, kJob);
}

/// Guards against a submission that arrives while its cancellation is being
/// stored, or the other way round, and then runs.
BOOST_DATA_TEST_CASE(SubmissionThatCrossesCancellationDoesNotRun,
                     data::xrange(0, 60, 2) * data::make({false, true}),
                     delay_ms, cancel_first) {
  ReadyCluster cluster;
  Cross(cluster, cancel_first, Millis(delay_ms));
  BOOST_TEST(cluster.cancel_answered(kJob));
  BOOST_TEST(cluster.answered(kJob));
  BOOST_TEST((cluster.State(kJob) == JobState::kCancelled));
  cluster.RunFor(kRunTime);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against an entry that repeats a submission in doubt until after the
/// job's cancellation. No entry is paused here.
BOOST_AUTO_TEST_CASE(SubmissionHeldByItsEntryDoesNotRunAfterCancellation) {
  ReadyCluster cluster;
  const std::string holder = cluster.Follower();
  cluster.SetIsolated(holder, true);
  cluster.Submit(holder, JobOf(kJob));
  cluster.RunFor(Millis(1100));
  BOOST_REQUIRE((cluster.CancelNow("entry-3", kJob) == JobVerdict::kNoSuchJob));
  cluster.SetIsolated(holder, false);
  CheckNeverRuns(cluster, kJob);
}

/// Guards against an acknowledgement of a cancellation that the next leader
/// does not know, since the store had not confirmed it.
BOOST_AUTO_TEST_CASE(CancellationIsAcknowledgedOnlyOnceStored) {
  ReadyCluster cluster;
  cluster.store().faults().down = true;
  cluster.Cancel(cluster.Follower(), kJob);
  cluster.RunFor(Millis(1200));
  BOOST_TEST(!cluster.cancel_answered(kJob));
  cluster.Kill(cluster.Leader());
  cluster.RunFor(Millis(1000));
  cluster.store().faults().down = false;
  cluster.RunFor(kTakeoverTime);
  cluster.Submit(cluster.Follower(), JobOf(kJob));
  cluster.RunFor(kRunTime);
  const bool acknowledged =
      cluster.calls().front().verdict == JobVerdict::kNoSuchJob;
  BOOST_TEST(cluster.upstreams().HasRun(kJob) == !acknowledged);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a cancellation that is stored without an answer, and then
/// lost or stored again as another one.
BOOST_AUTO_TEST_CASE(LostAnswerOfTheStoreLosesNoCancellation) {
  ReadyCluster cluster;
  cluster.store().faults().drop_replies = 1;
  cluster.Cancel(cluster.Follower(), kJob);
  cluster.RunFor(Millis(2500));
  BOOST_TEST((cluster.calls().front().verdict == JobVerdict::kNoSuchJob));
  cluster.Kill(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  cluster.Submit(cluster.Follower(), JobOf(kJob));
  CheckNeverRuns(cluster, kJob);
}

/// Guards against a job that nobody submitted and that callers are shown, and
/// against one that is counted as pending.
BOOST_AUTO_TEST_CASE(CancelledIdIsShownOnlyOnceSubmitted) {
  ReadyCluster cluster;
  BOOST_TEST((cluster.CancelNow("entry-1", kJob) == JobVerdict::kNoSuchJob));
  BOOST_TEST((cluster.StateNow(kJob) == JobVerdict::kNoSuchJob));
  BOOST_TEST((cluster.CancelNow("entry-2", kJob) == JobVerdict::kNoSuchJob));
  BOOST_TEST(
      (cluster.SubmitNow("entry-1", JobOf(kJob)) == JobVerdict::kConfirmed));
  BOOST_TEST((cluster.State(kJob) == JobState::kCancelled));
  BOOST_TEST((cluster.CancelNow("entry-3", kJob) == JobVerdict::kConfirmed));
  std::optional<int64_t> pending;
  cluster.entry(cluster.Leader())
      ->CountPending("q", kAnswerTime, [&](const jobentry::JobAnswer& answer) {
        pending = answer.pending;
      });
  cluster.RunFor(kAnswerTime);
  BOOST_TEST((pending == 0));
  const std::string metrics = cluster.Metrics(cluster.Leader());
  BOOST_TEST(metrics.find("jobs_accepted") == std::string::npos);
  BOOST_TEST(metrics.find("jobs_ended") == std::string::npos);
  BOOST_TEST((cluster.LeaderMetric("cancelled_jobs_submitted") == 1));
  cluster.Restart(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  BOOST_TEST((cluster.State(kJob) == JobState::kCancelled));
}

/// Guards against tombstones that stay in the store or in the leader's memory
/// for ever.
BOOST_AUTO_TEST_CASE(CancellationIsForgottenAfterItsRetention) {
  ReadyCluster cluster;
  const size_t records = cluster.StoredRecords();
  BOOST_REQUIRE((cluster.CancelNow("entry-1", kJob) == JobVerdict::kNoSuchJob));
  BOOST_TEST(cluster.StoredRecords() == records + 1);
  cluster.Restart(cluster.Leader());
  cluster.RunFor(kTakeoverTime);
  BOOST_TEST((cluster.LeaderMetric("cancel_tombstones") == 1));
  cluster.RunFor(coordinator::kTombstoneRetention);
  BOOST_TEST(cluster.StoredRecords() == records);
  BOOST_TEST((cluster.LeaderMetric("cancel_tombstones") == 0));
}

/// Guards against an account that keeps another's job from running, or learns
/// that it exists, by cancelling its id.
BOOST_AUTO_TEST_CASE(ForeignCancellationAffectsNoJobAndTellsNothing) {
  constexpr JobId kUnknownJob = 0xabc01;
  ReadyCluster cluster;
  constexpr int64_t kMillicores = 100000;
  cluster.PublishAccounts(
      {{.name = "red", .keys = {"r"}, .limit = {.millicores = kMillicores}},
       {.name = "blue", .keys = {"b"}, .limit = {.millicores = kMillicores}}});
  cluster.RunFor(kStartupTime);
  const auto time_of = [&](JobId id) {
    const size_t index = cluster.calls().size();
    BOOST_TEST(
        (cluster.CancelNow("entry-1", id, "red") == JobVerdict::kNoSuchJob));
    return cluster.calls()[index].ended - cluster.calls()[index].sent;
  };
  const auto unknown = time_of(kJob);
  cluster.Submit("entry-1", JobOf(kJob, "blue"));
  cluster.RunFor(kAnswerTime);
  const auto known = time_of(kJob);
  BOOST_TEST((known == unknown));
  BOOST_TEST((time_of(kUnknownJob) == unknown));
  cluster.RunFor(kRunTime);
  BOOST_TEST((cluster.State(kJob) == JobState::kComplete));
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against cancellations without limit that take a leader's memory, keep
/// jobs from running, or displace acknowledged ones.
BOOST_AUTO_TEST_CASE(FloodOfCancellationsIsRefusedAndDisplacesNothing) {
  constexpr int kSeconds = 60;
  constexpr int kCancelsPerSecond = 667;
  constexpr JobId kFlood = 0xf100d0000;
  ReadyCluster cluster;
  const int64_t appends_before = cluster.store().appends();
  for (int second = 0; second < kSeconds; ++second) {
    cluster.Submit("entry-1", JobOf(kJob + static_cast<JobId>(second)));
    for (int i = 0; i < kCancelsPerSecond; ++i) {
      const int n = second * kCancelsPerSecond + i;
      cluster.Cancel("entry-" + std::to_string(n % 4),
                     kFlood + static_cast<JobId>(n));
      if (i % 67 == 0) cluster.RunFor(Millis(100));
    }
  }
  cluster.RunFor(kRunTime);
  for (int second = 0; second < kSeconds; ++second) {
    const JobId id = kJob + static_cast<JobId>(second);
    BOOST_TEST((cluster.State(id) == JobState::kComplete));
  }
  constexpr int64_t kMaxAppendsPerSecond = 60;
  BOOST_TEST(cluster.store().appends() - appends_before <
             kMaxAppendsPerSecond * (kSeconds + 10));
  size_t refused = 0;
  size_t acknowledged = 0;
  for (size_t i = 0, calls = cluster.calls().size(); i < calls; ++i) {
    const CallerCall call = cluster.calls()[i];
    if (call.kind != CallKind::kCancel) continue;
    const bool was_refused = call.verdict == JobVerdict::kRefused;
    refused += was_refused ? 1 : 0;
    if (was_refused) BOOST_REQUIRE(call.retry_after > Millis(0));
    if (was_refused || ++acknowledged % 100 != 0) continue;
    BOOST_REQUIRE((call.verdict == JobVerdict::kNoSuchJob));
    if (call.sent + Millis(50000) < cluster.clock().now()) continue;
    cluster.Submit("entry-1", JobOf(call.job));
  }
  cluster.RunFor(kRunTime);
  BOOST_TEST(refused > 0U);
  BOOST_TEST(acknowledged > 20000U);
  BOOST_TEST(cluster.Violations().empty());
}

/// Guards against a caller that is told that its job never runs while an
/// earlier try of it, which got no answer, is still at a paused entry.
BOOST_AUTO_TEST_CASE(RefusedJobIsNotRunByAPausedEntry) {
  ReadyCluster cluster;
  const std::string paused = cluster.Follower();
  cluster.Pause(paused);
  cluster.Submit(paused, JobOf(kJob));
  cluster.RunFor(Millis(3000));
  SubmitWhileStoreIsDown(cluster);
  cluster.RunFor(kStartupTime);
  cluster.Resume(paused);
  cluster.RunFor(kRunTime);
  BOOST_TEST(!cluster.upstreams().HasRun(kJob));
}

/// The same with an earlier try that its entry repeats, since its outcome is in
/// doubt. Its caller has left.
BOOST_AUTO_TEST_CASE(RefusedJobIsNotRunByAnEarlierTry) {
  ReadyCluster cluster;
  const std::string holder = cluster.Follower();
  cluster.SetIsolated(holder, true);
  cluster.Submit(holder, JobOf(kJob));
  SubmitWhileStoreIsDown(cluster);
  cluster.SetIsolated(holder, false);
  cluster.RunFor(kRunTime);
  BOOST_TEST(!cluster.upstreams().HasRun(kJob));
}

/// Guards against a submission that was paused at its entry for longer than the
/// leader remembers that its job was cancelled. Its caller still waits.
BOOST_AUTO_TEST_CASE(SubmissionReadAfterALongPauseIsDropped) {
  ReadyCluster cluster;
  const std::string paused = cluster.Follower();
  cluster.Pause(paused);
  cluster.RunFor(coordinator::kTombstoneRetention + Millis(5000));
  cluster.Submit(paused, JobOf(kJob));
  cluster.Resume(paused);
  cluster.RunFor(kRunTime);
  BOOST_TEST((cluster.calls().front().verdict == JobVerdict::kOutcomeUnknown));
  BOOST_TEST(!cluster.upstreams().HasRun(kJob));
}

/// Guards against an entry that repeats a submission in doubt for as long as
/// its caller claims to wait, after the cancellation is forgotten.
BOOST_AUTO_TEST_CASE(SubmissionInDoubtIsHeldForALimitedTime) {
  constexpr Millis kHour{3600 * 1000};
  ReadyCluster cluster;
  const std::string holder = cluster.Follower();
  cluster.SetIsolated(holder, true);
  JobVerdict verdict = JobVerdict::kConfirmed;
  cluster.entry(holder)->Submit(
      JobOf(kJob), {.timeout = kHour},
      [&](const jobentry::JobAnswer& answer) { verdict = answer.verdict; });
  cluster.RunFor(coordinator::kMaxSubmissionHold + Millis(1000));
  BOOST_TEST((verdict == JobVerdict::kOutcomeUnknown));
  cluster.SetIsolated(holder, false);
  cluster.RunFor(kRunTime);
  BOOST_TEST(!cluster.upstreams().HasRun(kJob));
}

}  // namespace mimosarail::jobsim
