#define BOOST_TEST_MODULE job_durability
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordinator/job_table.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::JobVerdict;

constexpr const char* kJobTable = "jobs";
constexpr uint64_t kDefaultSeedCount = 300;
constexpr uint64_t kFirstSeed = 7000;
/// Time until a leader serves after a start without faults.
constexpr Millis kStartupTime{2000};
/// Time within which all accepted jobs are final after the last fault is
/// cleared: task leases and the leader leases of earlier leaders expire, and
/// the waiting jobs run.
constexpr Millis kRecoveryTime{40000};
constexpr Millis kPollInterval{500};
/// Every entry answers within this time: it lets a caller wait for at most 3 s,
/// and one call to the leader takes at most 1 s.
constexpr Millis kAnswerLimit{4000};
/// A caller that gets no answer within this time asks another entry.
constexpr Millis kCallerTimeout{1500};
constexpr Millis kLeaderPollInterval{5};
constexpr Millis kLeaderWaitLimit{3000};
/// Time from the start of an entry's shutdown to the end of its process.
constexpr Millis kShutdownTime{5200};
constexpr int32_t kMillicores = 500;

/// Regression cases. In these scenarios, a cancel is answered "no such job" 20
/// ms before the submission of the job is answered. The submission may then
/// still take effect, so the job may run.
const std::vector<uint64_t> kRegressionSeeds{7482, 8628, 10595, 11580};

uint64_t SeedCount() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kDefaultSeedCount : std::strtoull(text, nullptr, 10);
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> out = kRegressionSeeds;
  for (uint64_t i = 0; i < SeedCount(); ++i) out.push_back(kFirstSeed + i);
  return out;
}

std::string CallText(const CallerCall& call) {
  return JobIdText(call.job) + " at " + call.entry;
}

/// A job that was acknowledged as accepted is stored, so that any later leader
/// finds it.
void CheckStored(JobCluster& cluster, JobId id) {
  const auto& records = cluster.store().Records(kJobTable);
  const bool stored = records.count(coordinator::SpecKey(id)) > 0 ||
                      records.count(coordinator::ProgressKey(id)) > 0;
  BOOST_CHECK_MESSAGE(stored, "accepted but not stored: " << JobIdText(id));
}

/// Each call gets exactly one answer in time, unless the process of the called
/// entry ended first. An answer may be late if that process was paused.
void CheckOneAnswerEach(const JobCluster& cluster) {
  for (const CallerCall& call : cluster.calls()) {
    const bool expected = !call.connection_lost;
    BOOST_CHECK_MESSAGE(call.answers <= 1,
                        "answered more than once: " << CallText(call));
    BOOST_CHECK_MESSAGE(!expected || call.answers == 1,
                        "never answered: " << CallText(call));
    const bool late = call.answers > 0 && !call.entry_paused &&
                      call.ended - call.sent > kAnswerLimit;
    BOOST_CHECK_MESSAGE(!late, "answered too late: " << CallText(call));
  }
}

/// No entry answers "no such job" to a cancel that was sent after the job had
/// been accepted.
void CheckNoAcceptedJobReportedUnknown(const JobCluster& cluster) {
  std::map<JobId, TimePoint> accepted_at;
  for (const CallerCall& call : cluster.calls()) {
    const bool confirmed =
        call.answers > 0 && call.verdict == JobVerdict::kConfirmed;
    if (call.kind != CallKind::kSubmit || !confirmed) continue;
    const auto [at, inserted] = accepted_at.emplace(call.job, call.ended);
    if (!inserted) at->second = std::min(at->second, call.ended);
  }
  for (const CallerCall& call : cluster.calls()) {
    if (call.kind != CallKind::kCancel || call.answers == 0) continue;
    if (call.verdict != JobVerdict::kNoSuchJob) continue;
    const auto at = accepted_at.find(call.job);
    const bool reported_unknown =
        at != accepted_at.end() && at->second <= call.sent;
    BOOST_CHECK_MESSAGE(!reported_unknown,
                        "accepted but reported unknown: " << CallText(call));
  }
}

/// Answers to queries for the state of a job, by entry and job.
using JobAnswers = std::map<std::pair<std::string, JobId>, jobentry::JobAnswer>;

std::shared_ptr<JobAnswers> QueryAllEntries(JobCluster& cluster,
                                            const std::set<JobId>& jobs,
                                            Millis wait) {
  // Shared, because an entry may answer after this function has returned.
  auto answers_by_entry = std::make_shared<JobAnswers>();
  for (const std::string& name : cluster.names()) {
    for (const JobId id : jobs) {
      cluster.QueryState(
          name, id, [answers_by_entry, name, id](jobentry::JobAnswer answer) {
            (*answers_by_entry)[{name, id}] = answer;
          });
    }
  }
  cluster.RunFor(wait);
  return answers_by_entry;
}

bool AllFinal(JobCluster& cluster, const std::set<JobId>& jobs) {
  const auto answers_by_entry = QueryAllEntries(cluster, jobs, kPollInterval);
  return answers_by_entry->size() == jobs.size() * cluster.names().size() &&
         std::all_of(answers_by_entry->begin(), answers_by_entry->end(),
                     [](const auto& row) {
                       return row.second.verdict == JobVerdict::kConfirmed &&
                              IsFinal(row.second.state);
                     });
}

/// Every entry knows each of the jobs and reports it as final.
void CheckAllFound(JobCluster& cluster, const std::set<JobId>& jobs,
                   const std::string& when) {
  const auto answers_by_entry = QueryAllEntries(cluster, jobs, kAnswerLimit);
  for (const std::string& name : cluster.names()) {
    for (const JobId id : jobs) {
      const std::string subject = JobIdText(id) + " at " + name + " " + when;
      const auto answer = answers_by_entry->find({name, id});
      BOOST_CHECK_MESSAGE(answer != answers_by_entry->end(),
                          "no answer on " << subject);
      if (answer == answers_by_entry->end()) continue;
      const JobVerdict verdict = answer->second.verdict;
      BOOST_CHECK_MESSAGE(verdict == JobVerdict::kConfirmed,
                          "accepted but unknown ("
                              << coordinator::kJobVerdictNames.Name(verdict)
                              << "): " << subject);
      if (verdict != JobVerdict::kConfirmed) continue;
      BOOST_CHECK_MESSAGE(IsFinal(answer->second.state),
                          "accepted but never finished: " << subject);
      const bool unexplained = answer->second.state != JobState::kComplete &&
                               !(answer->second.state == JobState::kCancelled &&
                                 cluster.cancel_called(id));
      BOOST_CHECK_MESSAGE(
          !unexplained, "ended without a cause as "
                            << kJobStateNames.Name(answer->second.state) << ": "
                            << subject);
      const bool ran = cluster.upstreams().DoneRuns({id, 0, 0, 0}) > 0;
      BOOST_CHECK_MESSAGE(ran || answer->second.state != JobState::kComplete,
                          "complete without a run: " << subject);
    }
  }
}

/// Jobs that were acknowledged to a caller as accepted or as cancelled.
std::set<JobId> AcceptedJobs(const JobCluster& cluster) {
  std::set<JobId> out;
  for (const CallerCall& call : cluster.calls()) {
    const bool acknowledged =
        cluster.accepted(call.job) || cluster.cancelled(call.job);
    if (acknowledged) out.insert(call.job);
  }
  return out;
}

/// Checks the guarantees given to callers after all faults have ended: first
/// with the running entries, then after a restart of all entries, which have
/// only the stored state.
void CheckInvariants(JobCluster& cluster) {
  for (const std::string& name : cluster.names()) {
    if (cluster.entry(name) == nullptr) cluster.Restart(name);
  }
  cluster.RunFor(kStartupTime);
  const std::set<JobId> jobs = AcceptedJobs(cluster);
  const TimePoint until = cluster.clock().now() + kRecoveryTime;
  while (cluster.clock().now() < until && !AllFinal(cluster, jobs)) {
    cluster.RunFor(kPollInterval);
  }
  CheckAllFound(cluster, jobs, "after recovery");
  CheckOneAnswerEach(cluster);
  CheckNoAcceptedJobReportedUnknown(cluster);
  for (const std::string& name : cluster.names()) cluster.Restart(name);
  cluster.RunFor(kStartupTime);
  CheckAllFound(cluster, jobs, "after a restart of all entries");
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

std::string AnyFollower(JobCluster& cluster, const std::string& leader) {
  for (const std::string& name : cluster.names()) {
    const bool serves = cluster.entry(name) != nullptr && !cluster.paused(name);
    if (name != leader && serves) return name;
  }
  return {};
}

/// Totals over all scenarios.
struct ScenarioTotals {
  int64_t scenarios = 0;
  int64_t accepted = 0;
  int64_t refused = 0;
  int64_t cancelled = 0;
  int64_t reported_unknown = 0;
  int64_t repeats = 0;
  int64_t connection_lost = 0;
  int64_t terms = 0;
  int64_t out_of_order = 0;
};
ScenarioTotals totals;

/// Runs one random scenario: callers submit jobs at all entries and repeat
/// unanswered calls, while leaders and the store fail.
class FaultScenario {
 public:
  explicit FaultScenario(uint64_t seed) : random_(seed) {
    cluster_.store().Seed(seed + 1);
  }

  void Run() {
    cluster_.RunFor(kStartupTime);
    if (Chance(50)) SlowDownStore();
    constexpr int kSteps = 80;
    for (int i = 0; i < kSteps; ++i) {
      SubmitJobs(1 + Pick(3));
      if (Chance(30)) InjectFault();
      RunCallersFor(Millis(50 + Pick(250)));
    }
    ClearFaults();
    // Callers continue until each of them knows the outcome of its job.
    constexpr int kLastSteps = 20;
    for (int i = 0; i < kLastSteps; ++i) RunCallersFor(Millis(200));
    CheckInvariants(cluster_);
    CheckCancels();
    CheckReportedUnknown();
    AddToTotals();
  }

 private:
  /// A job of one caller, with the state of its submission.
  struct SubmittedJob {
    wire::JobSpec spec;
    /// Index of its latest call among the calls of the cluster.
    size_t call = 0;
    TimePoint retry_at{};
    bool resolved = false;
  };

  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string RandomEntry() {
    const auto names = cluster_.names();
    return names[Pick(names.size())];
  }
  TimePoint Now() { return cluster_.clock().now(); }

  void SubmitJobs(uint64_t count) {
    for (uint64_t i = 0; i < count; ++i) {
      const JobId id = 0xace0000 + submitted_jobs_.size();
      SubmittedJob job;
      job.spec = OneStepJob(id, 1, kMillicores);
      cluster_.upstreams().behavior({id, 0, 0, 0}).run_time =
          Millis(50 + Pick(600));
      submitted_jobs_.push_back(job);
      SendSubmit(submitted_jobs_.back());
    }
  }

  void SendSubmit(SubmittedJob& job) {
    job.call = cluster_.calls().size();
    job.retry_at = {};
    reported_unknown_.erase(static_cast<JobId>(job.spec.id));
    cluster_.Submit(RandomEntry(), job.spec);
  }

  /// Advances the time while callers process their answers.
  void RunCallersFor(Millis span) {
    const TimePoint until = Now() + span;
    constexpr Millis kStep{25};
    while (Now() < until) {
      cluster_.RunFor(kStep);
      if (cluster_.store().faults().append_latency > kUsualAppendLatency) {
        cluster_.upstreams().RecordFault();
      }
      for (SubmittedJob& job : submitted_jobs_) ProcessAnswer(job);
      RecordCancelled();
      RecordReportedUnknown();
      if (Chance(3)) CancelRandomJob();
    }
  }

  void ProcessAnswer(SubmittedJob& job) {
    if (job.retry_at != TimePoint{}) {
      if (Now() >= job.retry_at) Resubmit(job);
      return;
    }
    if (job.resolved) return;
    const CallerCall& call = cluster_.calls()[job.call];
    const bool timed_out =
        call.answers == 0 && Now() - call.sent > kCallerTimeout;
    const bool unknown =
        call.answers > 0 && call.verdict == JobVerdict::kOutcomeUnknown;
    if (call.connection_lost || unknown || timed_out) {
      job.retry_at = Now() + Millis(Pick(300));
    } else if (call.answers > 0) {
      HandleVerdict(job, call.verdict);
    }
  }

  void HandleVerdict(SubmittedJob& job, JobVerdict verdict) {
    job.resolved = true;
    const bool confirmed = verdict == JobVerdict::kConfirmed;
    if (confirmed) CheckStored(cluster_, static_cast<JobId>(job.spec.id));
    // The caller repeats an accepted job seconds after the answer, or retries a
    // refused one.
    if (confirmed && Chance(10)) job.retry_at = Now() + Millis(Pick(5000));
    if (confirmed || Chance(40)) return;
    job.resolved = false;
    job.retry_at = Now() + Millis(300 + Pick(1500));
  }

  void Resubmit(SubmittedJob& job) {
    const auto id = static_cast<JobId>(job.spec.id);
    const bool ran_although_refused =
        cluster_.refused(id) && cluster_.upstreams().HasRun(id);
    BOOST_CHECK_MESSAGE(!ran_although_refused,
                        "refused but ran: " << JobIdText(id));
    SendSubmit(job);
  }

  /// All callers resubmit their unresolved jobs at once and submit new ones.
  void ResubmitAllAtOnce() {
    for (SubmittedJob& job : submitted_jobs_) {
      if (!job.resolved) SendSubmit(job);
    }
    SubmitJobs(10);
  }

  void CancelRandomJob() {
    const SubmittedJob& job = submitted_jobs_[Pick(submitted_jobs_.size())];
    pending_cancels_.push_back(cluster_.calls().size());
    cluster_.Cancel(RandomEntry(), static_cast<JobId>(job.spec.id));
  }

  /// Records the jobs whose cancel was answered "no such job". Such a job must
  /// not start, whichever of its submissions is still on its way.
  void RecordReportedUnknown() {
    std::erase_if(pending_cancels_, [this](size_t at) {
      const CallerCall& call = cluster_.calls()[at];
      if (call.answers == 0) return call.connection_lost;
      if (call.verdict == JobVerdict::kNoSuchJob) {
        reported_unknown_.emplace(
            call.job, cluster_.upstreams().Starts({call.job, 0, 0, 0}));
      }
      return true;
    });
  }

  void CheckReportedUnknown() {
    totals.reported_unknown += static_cast<int64_t>(reported_unknown_.size());
    for (const auto& [id, starts] : reported_unknown_) {
      BOOST_CHECK_MESSAGE(
          cluster_.upstreams().Starts({id, 0, 0, 0}) == starts,
          "reported unknown on cancel but started: " << JobIdText(id));
    }
  }

  /// Records jobs that were acknowledged as cancelled before any run of theirs
  /// had completed.
  void RecordCancelled() {
    for (const SubmittedJob& job : submitted_jobs_) {
      const auto id = static_cast<JobId>(job.spec.id);
      if (!cluster_.cancelled(id)) continue;
      if (!acknowledged_cancels_.insert(id).second) continue;
      if (cluster_.upstreams().DoneRuns({id, 0, 0, 0}) > 0) continue;
      cancelled_before_completion_.insert(id);
    }
  }

  void CheckCancels() {
    for (const JobId id : cancelled_before_completion_) {
      BOOST_CHECK_MESSAGE(
          cluster_.State(id) == JobState::kCancelled,
          "acknowledged as cancelled but is not: " << JobIdText(id));
    }
  }

  void AddToTotals() {
    ++totals.scenarios;
    for (const SubmittedJob& job : submitted_jobs_) {
      const auto id = static_cast<JobId>(job.spec.id);
      totals.accepted += cluster_.accepted(id) ? 1 : 0;
      totals.refused += cluster_.refused(id) ? 1 : 0;
    }
    for (const CallerCall& call : cluster_.calls()) {
      totals.connection_lost += call.connection_lost ? 1 : 0;
      totals.repeats += call.kind == CallKind::kSubmit ? 1 : 0;
    }
    totals.repeats -= static_cast<int64_t>(submitted_jobs_.size());
    totals.cancelled +=
        static_cast<int64_t>(cancelled_before_completion_.size());
    totals.terms += cluster_.entry(cluster_.Leader())->leadership().term();
    totals.out_of_order += cluster_.store().out_of_order();
  }

  void Restart(const std::string& name) {
    shutting_down_.erase(name);
    cluster_.Restart(name);
  }

  void RestartLater(const std::string& name, Millis after) {
    cluster_.clock().At(Now() + after, [this, name] {
      if (!faults_cleared_) Restart(name);
    });
  }

  /// Makes an entry unable to lead: kills, pauses, isolates or shuts it down.
  void FailEntry(const std::string& name) {
    switch (Pick(5)) {
      case 0:
      case 1:
        cluster_.Kill(name);
        return RestartLater(name, Millis(100 + Pick(2000)));
      case 2:
        cluster_.Pause(name);
        return cluster_.clock().At(Now() + Millis(300 + Pick(4000)),
                                   [this, name] { cluster_.Resume(name); });
      case 3:
        cluster_.SetIsolated(name, true);
        return cluster_.clock().At(
            Now() + Millis(300 + Pick(3000)),
            [this, name] { cluster_.SetIsolated(name, false); });
      default:
        if (cluster_.entry(name) == nullptr) return;
        cluster_.entry(name)->BeginShutdown();
        shutting_down_.insert(name);
        RestartLater(name, kShutdownTime);
    }
  }

  std::string AwaitLeader() {
    const TimePoint until = Now() + kLeaderWaitLimit;
    while (cluster_.Leader().empty() && Now() < until) {
      cluster_.RunFor(kLeaderPollInterval);
    }
    return cluster_.Leader();
  }

  /// Each successive leader fails before or just after it has loaded the stored
  /// state.
  void FailSuccessiveLeaders() {
    const uint64_t times = 2 + Pick(3);
    for (uint64_t i = 0; i < times; ++i) {
      const std::string leader = AwaitLeader();
      if (leader.empty()) return;
      cluster_.RunFor(Millis(Pick(120)));
      FailEntry(leader);
      SubmitJobs(Pick(3));
    }
  }

  void RestartAll() {
    for (const std::string& name : cluster_.names()) cluster_.Kill(name);
    cluster_.RunFor(Millis(300 + Pick(1200)));
    for (const std::string& name : cluster_.names()) Restart(name);
    cluster_.RunFor(Millis(Pick(800)));
    ResubmitAllAtOnce();
    if (!Chance(50)) return;
    AwaitLeader();
    cluster_.RunFor(Millis(Pick(100)));
    ResubmitAllAtOnce();
  }

  void SlowDownStore() {
    StoreFaults& store = cluster_.store().faults();
    store.append_latency = Millis(60 + Pick(Chance(30) ? 940 : 240));
    store.jitter = Millis(150 + Pick(500));
    store.refused_percent = Chance(30) ? Pick(30) : 0;
  }

  void RestoreStoreSpeed() {
    StoreFaults& store = cluster_.store().faults();
    store.append_latency = kUsualAppendLatency;
    store.jitter = Millis(0);
    store.refused_percent = 0;
  }

  void InjectFault() {
    StoreFaults& store = cluster_.store().faults();
    const std::string leader = cluster_.Leader();
    switch (Pick(13)) {
      case 0:
      case 1:
      case 2:
      case 3:
        return SlowDownStore();
      case 4:
        return RestoreStoreSpeed();
      case 5:
        store.drop_replies = static_cast<int>(Pick(4));
        return;
      case 6:
        store.delayed_appends = static_cast<int>(1 + Pick(2));
        store.execution_delay = Millis(100 + Pick(3500));
        return;
      case 7:
        store.partitioned_entries.insert(
            leader.empty() || Chance(50) ? RandomEntry() : leader);
        return;
      case 8:
        store.partitioned_entries.clear();
        store.down = false;
        return;
      case 9:
        store.down = Chance(50);
        return;
      case 10:
        return Chance(40) ? RestartAll() : FailSuccessiveLeaders();
      default:
        return FailEntry(leader.empty() ? RandomEntry() : leader);
    }
  }

  void ClearFaults() {
    faults_cleared_ = true;
    cluster_.store().faults() = {};
    for (const std::string& name : cluster_.names()) {
      cluster_.Resume(name);
      cluster_.SetIsolated(name, false);
      const bool shutting_down = shutting_down_.count(name) > 0;
      if (shutting_down || cluster_.entry(name) == nullptr) Restart(name);
    }
  }

  static constexpr Millis kUsualAppendLatency{4};

  std::mt19937_64 random_;
  JobCluster cluster_{{}};
  std::vector<SubmittedJob> submitted_jobs_;
  std::set<JobId> acknowledged_cancels_;
  std::set<JobId> cancelled_before_completion_;
  /// Indexes of the cancels not yet answered, among the calls of the cluster.
  std::vector<size_t> pending_cancels_;
  /// Jobs whose cancel was answered "no such job", with the number of their
  /// starts by then.
  std::map<JobId, int> reported_unknown_;
  /// Entries that are shutting down and have not been restarted.
  std::set<std::string> shutting_down_;
  bool faults_cleared_ = false;
};

/// Submits a new job at a follower every 20 ms, with ids from `first`.
void SubmitJobsFor(JobCluster& cluster, JobId first, Millis span,
                   Millis run_time) {
  constexpr Millis kSubmitInterval{20};
  const std::string entry = AnyFollower(cluster, cluster.Leader());
  for (Millis passed{0}; passed < span; passed += kSubmitInterval) {
    cluster.upstreams().behavior({first, 0, 0, 0}).run_time = run_time;
    cluster.Submit(entry, OneStepJob(first++, 1, kMillicores));
    cluster.RunFor(kSubmitInterval);
  }
}

void AwaitLeader(JobCluster& cluster) {
  const TimePoint until = cluster.clock().now() + kLeaderWaitLimit;
  while (cluster.Leader().empty() && cluster.clock().now() < until) {
    cluster.RunFor(kLeaderPollInterval);
  }
  BOOST_REQUIRE(!cluster.Leader().empty());
}

/// Kills the leader and waits for the next one, which may still be loading.
void ReplaceLeader(JobCluster& cluster) {
  cluster.Kill(cluster.Leader());
  AwaitLeader(cluster);
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against answers to callers that become wrong later, through a change
/// of leader or a fault of the store.
BOOST_DATA_TEST_CASE(RepliesToCallersHoldUnderFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  FaultScenario scenario(seed);
  BOOST_TEST_CONTEXT("seed " << seed) { scenario.Run(); }
}

/// The scenarios above must cover enough of each outcome and fault.
BOOST_AUTO_TEST_CASE(FaultScenariosInjectEnoughFaults) {
  BOOST_TEST_MESSAGE("scenarios "
                     << totals.scenarios << ", accepted " << totals.accepted
                     << ", refused " << totals.refused << ", cancelled "
                     << totals.cancelled << ", reported unknown "
                     << totals.reported_unknown << ", repeats "
                     << totals.repeats << ", connections lost "
                     << totals.connection_lost << ", terms " << totals.terms
                     << ", appends out of order " << totals.out_of_order);
  BOOST_TEST(totals.accepted >= 100 * totals.scenarios);
  BOOST_TEST(totals.refused >= 2 * totals.scenarios);
  BOOST_TEST(totals.cancelled >= totals.scenarios);
  BOOST_TEST(totals.reported_unknown >= totals.scenarios);
  BOOST_TEST(totals.repeats >= 20 * totals.scenarios);
  BOOST_TEST(totals.connection_lost >= 10 * totals.scenarios);
  BOOST_TEST(totals.terms >= 6 * totals.scenarios);
  BOOST_TEST(totals.out_of_order >= totals.scenarios);
}

/// Guards against losing accepted jobs when a later append overtakes the first
/// append of a leader's term.
BOOST_AUTO_TEST_CASE(OvertakenFirstAppendOfTermLosesNoAcceptedJob) {
  constexpr Millis kUsualDelay{75};
  constexpr Millis kLongDelay{700};
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  StoreFaults& store = cluster.store().faults();
  store.append_latency = 2 * kUsualDelay;
  cluster.Kill(cluster.Leader());
  store.append_request_delays[kJobTable] = {kUsualDelay, kLongDelay,
                                            kUsualDelay};
  AwaitLeader(cluster);
  SubmitJobsFor(cluster, 0xfa0000, Millis(2000), Millis(5000));
  store = {};
  const std::set<JobId> accepted = AcceptedJobs(cluster);
  BOOST_TEST(!accepted.empty());
  for (const JobId id : accepted) CheckStored(cluster, id);
  // Whatever only this leader holds in memory is lost with it.
  ReplaceLeader(cluster);
  CheckInvariants(cluster);
}

/// Guards against a second run or a missing answer when a leader dies between
/// storing a job and answering its caller.
BOOST_AUTO_TEST_CASE(JobStoredByDyingLeaderIsAccepted) {
  constexpr JobId kJob = 0xfb0000;
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  cluster.store().faults().append_latency = Millis(400);
  cluster.Submit(AnyFollower(cluster, cluster.Leader()),
                 OneStepJob(kJob, 1, kMillicores));
  const std::string key = coordinator::SpecKey(kJob);
  while (cluster.store().Records(kJobTable).count(key) == 0) {
    cluster.RunFor(kLeaderPollInterval);
  }
  BOOST_REQUIRE(!cluster.accepted(kJob));
  ReplaceLeader(cluster);
  cluster.store().faults() = {};
  cluster.RunFor(kStartupTime);
  BOOST_TEST(cluster.accepted(kJob));
  CheckInvariants(cluster);
  BOOST_TEST(cluster.upstreams().Starts({kJob, 0, 0, 0}) == 1);
}

/// Guards against losing accepted jobs when a leader is killed or paused while
/// it still loads the stored state.
BOOST_AUTO_TEST_CASE(JobsSurviveLeadersThatFailWhileLoading) {
  constexpr Millis kPauseTime{4000};
  for (const bool resumes : {false, true}) {
    BOOST_TEST_CONTEXT((resumes ? "paused" : "killed")) {
      JobCluster cluster({});
      cluster.RunFor(kStartupTime);
      SubmitJobsFor(cluster, 0xfc0000, Millis(400), Millis(5000));
      const size_t before = AcceptedJobs(cluster).size();
      BOOST_REQUIRE(before > 0U);
      cluster.store().faults().append_latency = Millis(400);
      ReplaceLeader(cluster);
      const std::string second = cluster.Leader();
      cluster.RunFor(Millis(100));
      BOOST_REQUIRE(!cluster.entry(second)->leadership().leader_ready());
      if (resumes) {
        cluster.Pause(second);
        cluster.RunFor(Millis(1));
      } else {
        cluster.Kill(second);
      }
      AwaitLeader(cluster);
      const std::string third = cluster.Leader();
      BOOST_REQUIRE(third != second);
      SubmitJobsFor(cluster, 0xfd0000, Millis(600), Millis(200));
      cluster.RunFor(kPauseTime);
      cluster.Resume(second);
      cluster.store().faults() = {};
      cluster.RunFor(kStartupTime);
      BOOST_TEST(AcceptedJobs(cluster).size() > before);
      CheckInvariants(cluster);
    }
  }
}

/// Guards against a former leader that answers from outdated state when its
/// process resumes: it reports a completed job as running, or does not know a
/// job that its successor has accepted.
BOOST_DATA_TEST_CASE(ResumedLeaderDoesNotAnswerFromOutdatedState,
                     boost::unit_test::data::xrange(1400, 3600, 100),
                     paused_ms) {
  constexpr JobId kCompletedJob = 0xfb0000;
  constexpr JobId kNewJob = 0xfb0001;
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string first = cluster.Leader();
  cluster.upstreams().behavior({kCompletedJob, 0, 0, 0}).run_time = Millis(900);
  cluster.Submit(first, OneStepJob(kCompletedJob, 1, kMillicores));
  cluster.RunFor(Millis(500));
  // The successor's announcement is lost.
  cluster.SetIsolated(first, true);
  cluster.Pause(first);
  const TimePoint resume_at = cluster.clock().now() + Millis(paused_ms);
  while (cluster.Leader() == first || cluster.Leader().empty()) {
    cluster.RunFor(kLeaderPollInterval);
  }
  const std::string second = cluster.Leader();
  cluster.Submit(second, OneStepJob(kNewJob, 1, kMillicores));
  while (cluster.clock().now() < resume_at) cluster.RunFor(Millis(10));
  const auto state = cluster.State(kCompletedJob);
  BOOST_REQUIRE((state && *state == JobState::kComplete));
  const bool accepted = cluster.accepted(kNewJob);
  std::map<JobId, jobentry::JobAnswer> answers;
  for (const JobId id : {kCompletedJob, kNewJob}) {
    cluster.QueryState(first, id, [&answers, id](const auto& answer) {
      answers[id] = answer;
    });
  }
  cluster.SetIsolated(first, false);
  cluster.Resume(first);
  cluster.RunFor(kStartupTime);
  BOOST_REQUIRE_EQUAL(answers.size(), 2U);
  BOOST_TEST((answers[kCompletedJob].state == JobState::kComplete));
  if (accepted) {
    BOOST_TEST((answers[kNewJob].verdict == JobVerdict::kConfirmed));
  }
}

/// Guards against a second run of a resubmitted job when an append of an
/// earlier leader takes effect late.
BOOST_DATA_TEST_CASE(ResubmittedJobRunsOnceDespiteDelayedAppend,
                     boost::unit_test::data::xrange(300, 4200, 300) *
                         boost::unit_test::data::make({false, true}),
                     delay_ms, resumes) {
  constexpr JobId kRepeatedJob = 0xfe0000;
  constexpr JobId kCancelledJob = 0xfe0001;
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string first = cluster.Leader();
  const std::string entry = AnyFollower(cluster, first);
  const wire::JobSpec repeated_job = OneStepJob(kRepeatedJob, 1, kMillicores);
  const wire::JobSpec cancelled_job = OneStepJob(kCancelledJob, 1, kMillicores);
  cluster.upstreams().behavior({kCancelledJob, 0, 0, 0}).run_time =
      Millis(9000);
  cluster.store().faults().append_request_delays[kJobTable] = {
      Millis(delay_ms)};
  cluster.Submit(first, repeated_job);
  cluster.Submit(first, cancelled_job);
  cluster.RunFor(Millis(100));
  resumes ? cluster.Pause(first) : cluster.Kill(first);
  cluster.RunFor(Millis(1));
  AwaitLeader(cluster);
  BOOST_REQUIRE(cluster.Leader() != first);
  cluster.Submit(entry, repeated_job);
  cluster.Submit(entry, cancelled_job);
  cluster.RunFor(Millis(800));
  BOOST_TEST(cluster.accepted(kRepeatedJob));
  BOOST_TEST(cluster.accepted(kCancelledJob));
  cluster.Cancel(entry, kCancelledJob);
  cluster.RunFor(Millis(delay_ms));
  BOOST_TEST(cluster.cancelled(kCancelledJob));
  cluster.Resume(first);
  cluster.RunFor(kStartupTime);
  CheckInvariants(cluster);
  BOOST_TEST((cluster.State(kCancelledJob) == JobState::kCancelled));
  BOOST_TEST(cluster.upstreams().Starts({kRepeatedJob, 0, 0, 0}) == 1);
}

/// Guards against a job that runs after its cancel was answered "no such job".
/// Its record is stored late, close to the time when the new leader fences the
/// earlier one.
BOOST_DATA_TEST_CASE(NewLeaderLoadsRecordsStoredBeforeItsFence,
                     boost::unit_test::data::xrange(1000, 1600, 20), delay_ms) {
  constexpr JobId kJob = 0xff0000;
  constexpr Millis kFenceDelay{150};
  JobCluster cluster({});
  cluster.RunFor(kStartupTime);
  const std::string first = cluster.Leader();
  cluster.upstreams().behavior({kJob, 0, 0, 0}).run_time = Millis(9000);
  cluster.store().faults().append_request_delays[kJobTable] = {Millis(delay_ms),
                                                               kFenceDelay};
  cluster.Submit(first, OneStepJob(kJob, 1, kMillicores));
  cluster.RunFor(Millis(30));
  cluster.Pause(first);
  cluster.RunFor(Millis(1));
  AwaitLeader(cluster);
  BOOST_REQUIRE(cluster.Leader() != first);
  cluster.RunFor(kStartupTime);
  cluster.Cancel(cluster.Leader(), kJob);
  cluster.RunFor(kStartupTime);
  const JobVerdict verdict = cluster.calls().back().verdict;
  BOOST_TEST(
      (verdict == JobVerdict::kConfirmed || verdict == JobVerdict::kNoSuchJob));
  const int starts = cluster.upstreams().Starts({kJob, 0, 0, 0});
  cluster.Kill(first);
  CheckInvariants(cluster);
  BOOST_TEST(cluster.upstreams().Starts({kJob, 0, 0, 0}) == starts);
}

}  // namespace mimosarail::jobsim
