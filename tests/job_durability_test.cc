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
#include "tests/jobsim/job_cell.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

using coordinator::JobVerdict;

constexpr const char* kJobTable = "jobs";
constexpr uint64_t kFreshSeeds = 300;
constexpr uint64_t kFirstSeed = 7000;
/// Until somebody leads and serves after a calm start.
constexpr Millis kStartupTime{2000};
/// Until all that is owed is done once everything has healed: leases and trust
/// of earlier leaders run out, and what waits runs.
constexpr Millis kRecoveryTime{40000};
constexpr Millis kPollInterval{500};
/// Every entry has answered within this: callers wait 3 s, and one call to the
/// leader takes a second at most.
constexpr Millis kAnswerWait{4000};
/// A caller that has no answer by then asks elsewhere.
constexpr Millis kCallerPatience{1500};
constexpr Millis kLeaderLook{5};
constexpr Millis kLeaderWait{3000};
/// After this a stopping entry's process ends.
constexpr Millis kShutdown{5200};
constexpr int32_t kMillicores = 500;

/// Seeds that failed once, with what was seen. They stay.
/// 7482, 8628, 10595, 11580: a job was denied on its cancel 20 ms before the
/// call that handed it in was answered; the check took that call for over.
const std::vector<uint64_t> kFailedOnce{7482, 8628, 10595, 11580};

uint64_t SeedCount() {
  const char* text = std::getenv("MIMOSARAIL_SEEDS");
  return text == nullptr ? kFreshSeeds : std::strtoull(text, nullptr, 10);
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> out = kFailedOnce;
  for (uint64_t i = 0; i < SeedCount(); ++i) out.push_back(kFirstSeed + i);
  return out;
}

std::string CallText(const CallerCall& call) {
  return JobIdText(call.job) + " at " + call.entry;
}

/// What is answered as accepted is stored, whoever leads next.
void CheckStored(JobCell& cell, JobId id) {
  const auto& records = cell.store().Records(kJobTable);
  const bool stored = records.count(coordinator::SpecKey(id)) > 0 ||
                      records.count(coordinator::ProgressKey(id)) > 0;
  BOOST_CHECK_MESSAGE(stored, "accepted and not stored: " << JobIdText(id));
}

/// Each call has one answer in time, unless its entry's process ended before or
/// stood still.
void CheckOneAnswerEach(const JobCell& cell) {
  for (const CallerCall& call : cell.calls()) {
    const bool owed = !call.connection_lost;
    BOOST_CHECK_MESSAGE(call.answers <= 1,
                        "answered more than once: " << CallText(call));
    BOOST_CHECK_MESSAGE(!owed || call.answers == 1,
                        "never answered: " << CallText(call));
    const bool late = call.answers > 0 && !call.entry_paused &&
                      call.ended - call.sent > kAnswerWait;
    BOOST_CHECK_MESSAGE(!late, "answered too late: " << CallText(call));
  }
}

/// Nobody denies a job to a caller who asks for cancelling it after it has been
/// accepted.
void CheckNoneReportedUnknown(const JobCell& cell) {
  std::map<JobId, TimePoint> accepted_at;
  for (const CallerCall& call : cell.calls()) {
    const bool done = call.answers > 0 && call.verdict == JobVerdict::kDone;
    if (call.kind != CallKind::kSubmit || !done) continue;
    const auto [at, fresh] = accepted_at.emplace(call.job, call.ended);
    if (!fresh) at->second = std::min(at->second, call.ended);
  }
  for (const CallerCall& call : cell.calls()) {
    if (call.kind != CallKind::kCancel || call.answers == 0) continue;
    if (call.verdict != JobVerdict::kNoSuchJob) continue;
    const auto at = accepted_at.find(call.job);
    const bool denied = at != accepted_at.end() && at->second <= call.sent;
    BOOST_CHECK_MESSAGE(!denied,
                        "accepted and then denied: " << CallText(call));
  }
}

/// What each entry tells of each job.
using CountedBadEntries =
    std::map<std::pair<std::string, JobId>, jobentry::JobAnswer>;

std::shared_ptr<CountedBadEntries> AskAll(JobCell& cell,
                                          const std::set<JobId>& jobs,
                                          Millis wait) {
  // An entry may answer after the test has looked.
  auto told = std::make_shared<CountedBadEntries>();
  for (const std::string& name : cell.names()) {
    for (const JobId id : jobs) {
      cell.QueryState(name, id, [told, name, id](jobentry::JobAnswer answer) {
        (*told)[{name, id}] = answer;
      });
    }
  }
  cell.RunFor(wait);
  return told;
}

bool AllFinal(JobCell& cell, const std::set<JobId>& jobs) {
  const auto told = AskAll(cell, jobs, kPollInterval);
  return told->size() == jobs.size() * cell.names().size() &&
         std::all_of(told->begin(), told->end(), [](const auto& row) {
           return row.second.verdict == JobVerdict::kDone &&
                  IsFinal(row.second.state);
         });
}

/// Every entry knows each of the jobs, and that it has ended.
void CheckAllFound(JobCell& cell, const std::set<JobId>& jobs,
                   const std::string& when) {
  const auto told = AskAll(cell, jobs, kAnswerWait);
  for (const std::string& name : cell.names()) {
    for (const JobId id : jobs) {
      const std::string what = JobIdText(id) + " at " + name + " " + when;
      const auto answer = told->find({name, id});
      BOOST_CHECK_MESSAGE(answer != told->end(), "no answer on " << what);
      if (answer == told->end()) continue;
      const JobVerdict verdict = answer->second.verdict;
      BOOST_CHECK_MESSAGE(verdict == JobVerdict::kDone,
                          "accepted and not known ("
                              << coordinator::kJobVerdictNames.Name(verdict)
                              << "): " << what);
      if (verdict != JobVerdict::kDone) continue;
      BOOST_CHECK_MESSAGE(IsFinal(answer->second.state),
                          "accepted and never ended: " << what);
      const bool wrong = answer->second.state != JobState::kComplete &&
                         !(answer->second.state == JobState::kCancelled &&
                           cell.cancel_called(id));
      BOOST_CHECK_MESSAGE(
          !wrong, "ended without cause as "
                      << kJobStateNames.Name(answer->second.state) << ": "
                      << what);
      const bool ran = cell.upstreams().DoneRuns({id, 0, 0, 0}) > 0;
      BOOST_CHECK_MESSAGE(ran || answer->second.state != JobState::kComplete,
                          "complete without a run: " << what);
    }
  }
}

/// Jobs of which a caller was told that they are accepted, or cancelled.
std::set<JobId> Accepted(const JobCell& cell) {
  std::set<JobId> out;
  for (const CallerCall& call : cell.calls()) {
    const bool owed = cell.accepted(call.job) || cell.cancelled(call.job);
    if (owed) out.insert(call.job);
  }
  return out;
}

/// The promises made to callers, once nothing fails any more: at once, and
/// again from what is stored alone.
void CheckInvariants(JobCell& cell) {
  for (const std::string& name : cell.names()) {
    if (cell.entry(name) == nullptr) cell.Restart(name);
  }
  cell.RunFor(kStartupTime);
  const std::set<JobId> jobs = Accepted(cell);
  const TimePoint until = cell.clock().now() + kRecoveryTime;
  while (cell.clock().now() < until && !AllFinal(cell, jobs)) {
    cell.RunFor(kPollInterval);
  }
  CheckAllFound(cell, jobs, "in the end");
  CheckOneAnswerEach(cell);
  CheckNoneReportedUnknown(cell);
  for (const std::string& name : cell.names()) cell.Restart(name);
  cell.RunFor(kStartupTime);
  CheckAllFound(cell, jobs, "after a restart of all");
  for (const std::string& what : cell.Violations()) BOOST_ERROR(what);
}

std::string SomeFollower(JobCell& cell, const std::string& leader) {
  for (const std::string& name : cell.names()) {
    if (name != leader && cell.entry(name) != nullptr) return name;
  }
  return {};
}

/// What became of all days together.
struct Counters {
  int64_t days = 0;
  int64_t accepted = 0;
  int64_t refused = 0;
  int64_t cancelled = 0;
  int64_t denied = 0;
  int64_t repeats = 0;
  int64_t connection_lost = 0;
  int64_t terms = 0;
  int64_t out_of_order = 0;
};
Counters tally;

/// One random day of callers who hand in jobs at all entries and repeat what
/// was not answered, while leaders and the store fail.
class FaultScenario {
 public:
  explicit FaultScenario(uint64_t seed) : random_(seed) {
    cell_.store().Seed(seed + 1);
  }

  void Play() {
    cell_.RunFor(kStartupTime);
    if (Chance(50)) SlowStore();
    constexpr int kSteps = 80;
    for (int i = 0; i < kSteps; ++i) {
      SubmitSome(1 + Pick(3));
      if (Chance(30)) Fault();
      Pass(Millis(50 + Pick(250)));
    }
    Heal();
    // Callers go on until each knows what became of its job.
    constexpr int kLastSteps = 20;
    for (int i = 0; i < kLastSteps; ++i) Pass(Millis(200));
    CheckInvariants(cell_);
    CheckCancels();
    CheckDenied();
    Count();
  }

 private:
  /// A job of one caller: where it stands with it.
  struct SubmittedJob {
    wire::JobSpec spec;
    /// Its newest call, among the cell's.
    size_t call = 0;
    TimePoint again_at{};
    bool settled = false;
  };

  uint64_t Pick(uint64_t below) { return random_() % below; }
  bool Chance(uint64_t percent) { return Pick(100) < percent; }
  std::string SomeEntry() {
    const auto names = cell_.names();
    return names[Pick(names.size())];
  }
  TimePoint Now() { return cell_.clock().now(); }

  void SubmitSome(uint64_t count) {
    for (uint64_t i = 0; i < count; ++i) {
      const JobId id = 0xace0000 + submitted_jobs_.size();
      SubmittedJob job;
      job.spec = OneStepJob(id, 1, kMillicores);
      cell_.upstreams().behavior({id, 0, 0, 0}).run_time =
          Millis(50 + Pick(600));
      submitted_jobs_.push_back(job);
      Send(submitted_jobs_.back());
    }
  }

  void Send(SubmittedJob& job) {
    job.call = cell_.calls().size();
    job.again_at = {};
    denied_.erase(static_cast<JobId>(job.spec.id));
    cell_.Submit(SomeEntry(), job.spec);
  }

  /// Time goes on, and callers look at their answers.
  void Pass(Millis span) {
    const TimePoint until = Now() + span;
    constexpr Millis kStep{25};
    while (Now() < until) {
      cell_.RunFor(kStep);
      if (cell_.store().faults().append_latency > kQuick) {
        cell_.upstreams().RecordFault();
      }
      for (SubmittedJob& job : submitted_jobs_) Look(job);
      NoteCancels();
      NoteDenied();
      if (Chance(3)) CancelSome();
    }
  }

  void Look(SubmittedJob& job) {
    if (job.again_at != TimePoint{}) {
      if (Now() >= job.again_at) SubmitAgain(job);
      return;
    }
    if (job.settled) return;
    const CallerCall& call = cell_.calls()[job.call];
    const bool silent =
        call.answers == 0 && Now() - call.sent > kCallerPatience;
    const bool unknown =
        call.answers > 0 && call.verdict == JobVerdict::kUnknown;
    if (call.connection_lost || unknown || silent) {
      job.again_at = Now() + Millis(Pick(300));
    } else if (call.answers > 0) {
      Settle(job, call.verdict);
    }
  }

  void Settle(SubmittedJob& job, JobVerdict verdict) {
    job.settled = true;
    const bool done = verdict == JobVerdict::kDone;
    if (done) CheckStored(cell_, static_cast<JobId>(job.spec.id));
    // A repeat comes seconds after the answer, or the caller tries once more.
    if (done && Chance(10)) job.again_at = Now() + Millis(Pick(5000));
    if (done || Chance(40)) return;
    job.settled = false;
    job.again_at = Now() + Millis(300 + Pick(1500));
  }

  void SubmitAgain(SubmittedJob& job) {
    const auto id = static_cast<JobId>(job.spec.id);
    const bool ran_unasked = cell_.refused(id) && cell_.upstreams().HasRun(id);
    BOOST_CHECK_MESSAGE(!ran_unasked, "refused, and ran: " << JobIdText(id));
    Send(job);
  }

  /// All clients return at once, each with what it has no answer to.
  void ReturnAtOnce() {
    for (SubmittedJob& job : submitted_jobs_) {
      if (!job.settled) Send(job);
    }
    SubmitSome(10);
  }

  void CancelSome() {
    const SubmittedJob& job = submitted_jobs_[Pick(submitted_jobs_.size())];
    cancels_.push_back(cell_.calls().size());
    cell_.Cancel(SomeEntry(), static_cast<JobId>(job.spec.id));
  }

  /// Whether a call that hands the job in may have had an effect after this
  /// call for cancelling it was answered.
  bool HandInOpen(size_t cancel) const {
    const auto& calls = cell_.calls();
    const JobId id = calls[cancel].job;
    for (size_t i = 0; i < calls.size(); ++i) {
      const CallerCall& call = calls[i];
      if (call.job != id || call.kind != CallKind::kSubmit) continue;
      const bool ended = call.answers > 0 || call.connection_lost;
      if (!ended || call.ended > calls[cancel].ended || i > cancel) return true;
    }
    return false;
  }

  /// Keeps what was denied to a caller who asked for cancelling it: it starts
  /// no more until it is handed in again.
  void NoteDenied() {
    std::erase_if(cancels_, [this](size_t at) {
      const CallerCall& call = cell_.calls()[at];
      if (call.answers == 0) return call.connection_lost;
      const bool denied = call.verdict == JobVerdict::kNoSuchJob;
      if (denied && !HandInOpen(at)) {
        denied_[call.job] = cell_.upstreams().Starts({call.job, 0, 0, 0});
      }
      return true;
    });
  }

  void CheckDenied() {
    tally.denied += static_cast<int64_t>(denied_.size());
    for (const auto& [id, starts] : denied_) {
      BOOST_CHECK_MESSAGE(
          cell_.upstreams().Starts({id, 0, 0, 0}) == starts,
          "denied on its cancel, and started: " << JobIdText(id));
    }
  }

  /// Keeps which jobs were told to be cancelled before a run of them had ended.
  void NoteCancels() {
    for (const SubmittedJob& job : submitted_jobs_) {
      const auto id = static_cast<JobId>(job.spec.id);
      if (!cell_.cancelled(id) || !told_cancelled_.insert(id).second) continue;
      if (cell_.upstreams().DoneRuns({id, 0, 0, 0}) > 0) continue;
      cancelled_for_good_.insert(id);
    }
  }

  void CheckCancels() {
    for (const JobId id : cancelled_for_good_) {
      BOOST_CHECK_MESSAGE(
          cell_.State(id) == JobState::kCancelled,
          "told to be cancelled, and is not: " << JobIdText(id));
    }
  }

  void Count() {
    ++tally.days;
    for (const SubmittedJob& job : submitted_jobs_) {
      const auto id = static_cast<JobId>(job.spec.id);
      tally.accepted += cell_.accepted(id) ? 1 : 0;
      tally.refused += cell_.refused(id) ? 1 : 0;
    }
    for (const CallerCall& call : cell_.calls()) {
      tally.connection_lost += call.connection_lost ? 1 : 0;
      tally.repeats += call.kind == CallKind::kSubmit ? 1 : 0;
    }
    tally.repeats -= static_cast<int64_t>(submitted_jobs_.size());
    tally.cancelled += static_cast<int64_t>(cancelled_for_good_.size());
    tally.terms += cell_.entry(cell_.Leader())->leadership().term();
    tally.out_of_order += cell_.store().out_of_order();
  }

  void Restart(const std::string& name) {
    stopping_.erase(name);
    cell_.Restart(name);
  }

  void RestartLater(const std::string& name, Millis after) {
    cell_.clock().At(Now() + after, [this, name] {
      if (!healed_) Restart(name);
    });
  }

  /// An entry loses its office in one of several ways.
  void Depose(const std::string& name) {
    switch (Pick(5)) {
      case 0:
      case 1:
        cell_.Kill(name);
        return RestartLater(name, Millis(100 + Pick(2000)));
      case 2:
        cell_.Pause(name);
        return cell_.clock().At(Now() + Millis(300 + Pick(4000)),
                                [this, name] { cell_.Resume(name); });
      case 3:
        cell_.SetIsolated(name, true);
        return cell_.clock().At(Now() + Millis(300 + Pick(3000)), [this, name] {
          cell_.SetIsolated(name, false);
        });
      default:
        if (cell_.entry(name) == nullptr) return;
        cell_.entry(name)->BeginShutdown();
        stopping_.insert(name);
        RestartLater(name, kShutdown);
    }
  }

  std::string AwaitLeader() {
    const TimePoint until = Now() + kLeaderWait;
    while (cell_.Leader().empty() && Now() < until) cell_.RunFor(kLeaderLook);
    return cell_.Leader();
  }

  /// Each next leader loses its office before it has loaded, or just after.
  void DeposeInSeries() {
    const uint64_t times = 2 + Pick(3);
    for (uint64_t i = 0; i < times; ++i) {
      const std::string leader = AwaitLeader();
      if (leader.empty()) return;
      cell_.RunFor(Millis(Pick(120)));
      Depose(leader);
      SubmitSome(Pick(3));
    }
  }

  void LoseAll() {
    for (const std::string& name : cell_.names()) cell_.Kill(name);
    cell_.RunFor(Millis(300 + Pick(1200)));
    for (const std::string& name : cell_.names()) Restart(name);
    cell_.RunFor(Millis(Pick(800)));
    ReturnAtOnce();
    if (!Chance(50)) return;
    AwaitLeader();
    cell_.RunFor(Millis(Pick(100)));
    ReturnAtOnce();
  }

  void SlowStore() {
    StoreFaults& store = cell_.store().faults();
    store.append_latency = Millis(60 + Pick(Chance(30) ? 940 : 240));
    store.jitter = Millis(150 + Pick(500));
    store.refused_percent = Chance(30) ? Pick(30) : 0;
  }

  void QuickStore() {
    StoreFaults& store = cell_.store().faults();
    store.append_latency = kQuick;
    store.jitter = Millis(0);
    store.refused_percent = 0;
  }

  void Fault() {
    StoreFaults& store = cell_.store().faults();
    const std::string leader = cell_.Leader();
    switch (Pick(13)) {
      case 0:
      case 1:
      case 2:
      case 3:
        return SlowStore();
      case 4:
        return QuickStore();
      case 5:
        store.drop_replies = static_cast<int>(Pick(4));
        return;
      case 6:
        store.delayed_appends = static_cast<int>(1 + Pick(2));
        store.execution_delay = Millis(100 + Pick(3500));
        return;
      case 7:
        store.partitioned_entries.insert(
            leader.empty() || Chance(50) ? SomeEntry() : leader);
        return;
      case 8:
        store.partitioned_entries.clear();
        store.down = false;
        return;
      case 9:
        store.down = Chance(50);
        return;
      case 10:
        return Chance(40) ? LoseAll() : DeposeInSeries();
      default:
        return Depose(leader.empty() ? SomeEntry() : leader);
    }
  }

  void Heal() {
    healed_ = true;
    cell_.store().faults() = {};
    for (const std::string& name : cell_.names()) {
      cell_.Resume(name);
      cell_.SetIsolated(name, false);
      const bool stops = stopping_.count(name) > 0;
      if (stops || cell_.entry(name) == nullptr) Restart(name);
    }
  }

  static constexpr Millis kQuick{4};

  std::mt19937_64 random_;
  JobCell cell_{{}};
  std::vector<SubmittedJob> submitted_jobs_;
  std::set<JobId> told_cancelled_;
  std::set<JobId> cancelled_for_good_;
  /// Calls for cancelling without an answer yet.
  std::vector<size_t> cancels_;
  /// Jobs that were denied, and how often they had started by then.
  std::map<JobId, int> denied_;
  /// Entries that were told to stop and have not been started again.
  std::set<std::string> stopping_;
  bool healed_ = false;
};

/// Callers hand in a job at a follower every few milliseconds.
void HandInFor(JobCell& cell, JobId first, Millis span, Millis run_time) {
  constexpr Millis kGap{20};
  const std::string entry = SomeFollower(cell, cell.Leader());
  for (Millis passed{0}; passed < span; passed += kGap) {
    cell.upstreams().behavior({first, 0, 0, 0}).run_time = run_time;
    cell.Submit(entry, OneStepJob(first++, 1, kMillicores));
    cell.RunFor(kGap);
  }
}

void AwaitLeader(JobCell& cell) {
  const TimePoint until = cell.clock().now() + kLeaderWait;
  while (cell.Leader().empty() && cell.clock().now() < until) {
    cell.RunFor(kLeaderLook);
  }
  BOOST_REQUIRE(!cell.Leader().empty());
}

/// The leader is gone and another one's turn has come; it may load still.
void ReplaceLeader(JobCell& cell) {
  cell.Kill(cell.Leader());
  AwaitLeader(cell);
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against answers that a change of leaders or a bad store makes untrue.
BOOST_DATA_TEST_CASE(RepliesToCallersStayTrueUnderFaults,
                     boost::unit_test::data::make(Seeds()), seed) {
  FaultScenario day(seed);
  BOOST_TEST_CONTEXT("seed " << seed) { day.Play(); }
}

/// The days above do what they are for.
BOOST_AUTO_TEST_CASE(FaultScenariosInjectEnoughFaults) {
  BOOST_TEST_MESSAGE("days " << tally.days << ", accepted " << tally.accepted
                             << ", refused " << tally.refused << ", cancelled "
                             << tally.cancelled << ", denied " << tally.denied
                             << ", repeats " << tally.repeats << ", broken off "
                             << tally.connection_lost << ", terms "
                             << tally.terms << ", appends out of order "
                             << tally.out_of_order);
  BOOST_TEST(tally.accepted >= 100 * tally.days);
  BOOST_TEST(tally.refused >= 2 * tally.days);
  BOOST_TEST(tally.cancelled >= tally.days);
  BOOST_TEST(tally.denied >= tally.days);
  BOOST_TEST(tally.repeats >= 20 * tally.days);
  BOOST_TEST(tally.connection_lost >= 10 * tally.days);
  BOOST_TEST(tally.terms >= 6 * tally.days);
  BOOST_TEST(tally.out_of_order >= tally.days);
}

/// Guards against accepted jobs lost with an append that is overtaken.
BOOST_AUTO_TEST_CASE(OvertakenFirstAppendOfTermLosesNoJob) {
  constexpr Millis kUsual{75};
  constexpr Millis kLong{700};
  JobCell cell({});
  cell.RunFor(kStartupTime);
  StoreFaults& store = cell.store().faults();
  store.append_latency = 2 * kUsual;
  cell.Kill(cell.Leader());
  store.append_request_delays[kJobTable] = {kUsual, kLong, kUsual};
  AwaitLeader(cell);
  HandInFor(cell, 0xfa0000, Millis(2000), Millis(5000));
  store = {};
  const std::set<JobId> accepted = Accepted(cell);
  BOOST_TEST(!accepted.empty());
  for (const JobId id : accepted) CheckStored(cell, id);
  // What only this leader's memory holds goes with it.
  ReplaceLeader(cell);
  CheckInvariants(cell);
}

/// Guards against a second run, or no answer, when a leader dies storing.
BOOST_AUTO_TEST_CASE(AJobStoredByALeaderThatDiesIsAccepted) {
  constexpr JobId kJob = 0xfb0000;
  JobCell cell({});
  cell.RunFor(kStartupTime);
  cell.store().faults().append_latency = Millis(400);
  cell.Submit(SomeFollower(cell, cell.Leader()),
              OneStepJob(kJob, 1, kMillicores));
  const std::string key = coordinator::SpecKey(kJob);
  while (cell.store().Records(kJobTable).count(key) == 0) {
    cell.RunFor(kLeaderLook);
  }
  BOOST_REQUIRE(!cell.accepted(kJob));
  ReplaceLeader(cell);
  cell.store().faults() = {};
  cell.RunFor(kStartupTime);
  BOOST_TEST(cell.accepted(kJob));
  CheckInvariants(cell);
  BOOST_TEST(cell.upstreams().Starts({kJob, 0, 0, 0}) == 1);
}

/// Guards against accepted jobs lost with leaders that only loaded.
BOOST_AUTO_TEST_CASE(JobsSurviveLeadersThatFailWhileLoading) {
  constexpr Millis kStandstill{4000};
  for (const bool wakes : {false, true}) {
    BOOST_TEST_CONTEXT((wakes ? "stands still" : "killed")) {
      JobCell cell({});
      cell.RunFor(kStartupTime);
      HandInFor(cell, 0xfc0000, Millis(400), Millis(5000));
      const size_t before = Accepted(cell).size();
      BOOST_REQUIRE(before > 0U);
      cell.store().faults().append_latency = Millis(400);
      ReplaceLeader(cell);
      const std::string second = cell.Leader();
      cell.RunFor(Millis(100));
      BOOST_REQUIRE(!cell.entry(second)->leadership().leader_ready());
      if (wakes) {
        cell.Pause(second);
        cell.RunFor(Millis(1));
      } else {
        cell.Kill(second);
      }
      AwaitLeader(cell);
      const std::string third = cell.Leader();
      BOOST_REQUIRE(third != second);
      HandInFor(cell, 0xfd0000, Millis(600), Millis(200));
      cell.RunFor(kStandstill);
      cell.Resume(second);
      cell.store().faults() = {};
      cell.RunFor(kStartupTime);
      BOOST_TEST(Accepted(cell).size() > before);
      CheckInvariants(cell);
    }
  }
}

/// Guards against a repeat that runs twice with an earlier leader's append.
BOOST_DATA_TEST_CASE(ResubmittedJobRunsOnceDespiteDelayedAppend,
                     boost::unit_test::data::xrange(300, 4200, 300) *
                         boost::unit_test::data::make({false, true}),
                     late_ms, wakes) {
  constexpr JobId kRepeated = 0xfe0000;
  constexpr JobId kUndone = 0xfe0001;
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string first = cell.Leader();
  const std::string entry = SomeFollower(cell, first);
  const wire::JobSpec repeated = OneStepJob(kRepeated, 1, kMillicores);
  const wire::JobSpec undone = OneStepJob(kUndone, 1, kMillicores);
  cell.upstreams().behavior({kUndone, 0, 0, 0}).run_time = Millis(9000);
  cell.store().faults().append_request_delays[kJobTable] = {Millis(late_ms)};
  cell.Submit(first, repeated);
  cell.Submit(first, undone);
  cell.RunFor(Millis(100));
  wakes ? cell.Pause(first) : cell.Kill(first);
  cell.RunFor(Millis(1));
  AwaitLeader(cell);
  BOOST_REQUIRE(cell.Leader() != first);
  cell.Submit(entry, repeated);
  cell.Submit(entry, undone);
  cell.RunFor(Millis(800));
  BOOST_TEST(cell.accepted(kRepeated));
  BOOST_TEST(cell.accepted(kUndone));
  cell.Cancel(entry, kUndone);
  cell.RunFor(Millis(late_ms));
  BOOST_TEST(cell.cancelled(kUndone));
  cell.Resume(first);
  cell.RunFor(kStartupTime);
  CheckInvariants(cell);
  BOOST_TEST((cell.State(kUndone) == JobState::kCancelled));
  BOOST_TEST(cell.upstreams().Starts({kRepeated, 0, 0, 0}) == 1);
}

/// Guards against a job that is denied, as it was stored late, and then runs.
BOOST_DATA_TEST_CASE(NewLeaderLoadsRecordsStoredBeforeItsFence,
                     boost::unit_test::data::xrange(1000, 1600, 20), late_ms) {
  constexpr JobId kJob = 0xff0000;
  constexpr Millis kFence{150};
  JobCell cell({});
  cell.RunFor(kStartupTime);
  const std::string first = cell.Leader();
  cell.upstreams().behavior({kJob, 0, 0, 0}).run_time = Millis(9000);
  cell.store().faults().append_request_delays[kJobTable] = {Millis(late_ms),
                                                            kFence};
  cell.Submit(first, OneStepJob(kJob, 1, kMillicores));
  cell.RunFor(Millis(30));
  cell.Pause(first);
  cell.RunFor(Millis(1));
  AwaitLeader(cell);
  BOOST_REQUIRE(cell.Leader() != first);
  cell.RunFor(kStartupTime);
  cell.Cancel(cell.Leader(), kJob);
  cell.RunFor(kStartupTime);
  const JobVerdict verdict = cell.calls().back().verdict;
  BOOST_TEST(
      (verdict == JobVerdict::kDone || verdict == JobVerdict::kNoSuchJob));
  const int starts = cell.upstreams().Starts({kJob, 0, 0, 0});
  cell.Kill(first);
  CheckInvariants(cell);
  BOOST_TEST(cell.upstreams().Starts({kJob, 0, 0, 0}) == starts);
}

}  // namespace mimosarail::jobsim
