#define BOOST_TEST_MODULE admission
#include "src/coordinator/admission.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace mimosarail::coordinator {
namespace {

namespace data = boost::unit_test::data;
using scheduling::QueueOrder;
using scheduling::Timeliness;

constexpr double kCores = 100;
constexpr Millis kEstimate{1000};
/// Slack factor 1.5 and target 300 ms.
constexpr Millis kObjective{1800};

TimePoint At(int64_t ms) { return TimePoint{} + Millis(1000000 + ms); }
int64_t SteadyMs(TimePoint at) {
  return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
}

NewJob UrgentJob(TimePoint now) {
  return {.pool = "pool",
          .queue = "urgent",
          .ready_work = static_cast<double>(kEstimate.count()),
          .critical_path = kEstimate,
          .objective = kObjective,
          .latest_start_ms = SteadyMs(now + kObjective - kEstimate)};
}

/// `core_seconds` of urgent work that waits before every new urgent job.
Backlog UrgentBacklog(double core_seconds, const std::string& account = "") {
  Backlog out{.capacity = {{"pool", kCores}}};
  out.rows.push_back({.pool = "pool",
                      .queue = "urgent",
                      .account = account,
                      .work = core_seconds * 1000});
  return out;
}

bool NoFreeCapacity() { return false; }
bool HasFreeCapacity() { return true; }

AdmissionDecision DecideUrgent(Admission& admission, TimePoint now) {
  return admission.Decide(UrgentJob(now), NoFreeCapacity, now);
}

/// Makes the estimates of the urgent queue count as measured and right.
void NoteRightEstimates(Admission& admission) {
  for (int i = 0; i < 100; ++i) {
    admission.rates().NoteFinished("pool", "urgent", 1000, 1000);
  }
}

/// A pool with one queue in the order of arrival, whose callers' estimates are
/// wrong by a factor.
class QueueReplay {
 public:
  struct Replayed {
    int64_t arrived = 0;
    int64_t duration = 0;
    /// Start if accepted; start of the last job before it if refused.
    int64_t started = 0;
    bool refused = false;
    int64_t EndAfterArrival() const { return started + duration - arrived; }
  };

  explicit QueueReplay(std::function<double()> error)
      : error_(std::move(error)) {}

  /// Jobs arrive with `load` times the work that the pool can do.
  void Run(double load, int64_t span_ms, double mean_error) {
    const double per_ms =
        load * kCores / (mean_error * static_cast<double>(kEstimate.count()));
    for (const int64_t until = now_ + span_ms; now_ < until; now_ += kStep) {
      StartJobs();
      if (now_ % 100 == 0) PassBacklog();
      due_ += per_ms * kStep;
      for (; due_ >= 1; --due_) Arrive();
    }
  }
  void Drain() {
    while (!waiting_.empty()) {
      StartJobs();
      now_ += kStep;
    }
  }
  const std::vector<Replayed>& jobs() const { return jobs_; }

 private:
  static constexpr int64_t kStep = 10;

  bool HasFreeCore() const {
    return static_cast<double>(running_.size()) < kCores;
  }
  void StartJobs() {
    for (size_t i = 0; i < running_.size();) {
      if (running_[i].first > now_) {
        ++i;
        continue;
      }
      admission_.rates().NoteFinished("pool", "urgent",
                                      static_cast<double>(running_[i].second),
                                      static_cast<double>(kEstimate.count()));
      running_[i] = running_.back();
      running_.pop_back();
    }
    while (!waiting_.empty() && HasFreeCore()) {
      Replayed& job = jobs_[waiting_.front()];
      waiting_.pop_front();
      job.started = now_;
      running_.emplace_back(now_ + job.duration, job.duration);
    }
  }
  void PassBacklog() {
    Backlog backlog = UrgentBacklog(static_cast<double>(waiting_.size()));
    if (waiting_.empty()) backlog.rows.clear();
    if (!waiting_.empty()) backlog.saturated.insert("pool");
    admission_.SetBacklog(std::move(backlog), At(now_));
  }
  void Arrive() {
    Replayed job{.arrived = now_,
                 .duration = static_cast<int64_t>(
                     error_() * static_cast<double>(kEstimate.count()))};
    const size_t index = jobs_.size();
    const auto decision = admission_.Decide(
        UrgentJob(At(now_)), [this] { return HasFreeCore(); }, At(now_));
    job.refused = !decision.admit;
    if (job.refused) {
      refused_behind_.emplace_back(index, waiting_.back());
    } else {
      waiting_.push_back(index);
      admission_.AddAccepted(RowOf(UrgentJob(At(now_))));
    }
    jobs_.push_back(job);
  }

 public:
  /// Sets the starts that refused jobs would at best have had.
  void ResolveRefused() {
    for (const auto& [refused, before] : refused_behind_) {
      jobs_[refused].started = jobs_[before].started;
    }
  }

 private:
  std::function<double()> error_;
  Admission admission_{QueueOrder::kPriority, 2};
  int64_t now_ = 0;
  double due_ = 0;
  std::vector<Replayed> jobs_;
  std::deque<size_t> waiting_;
  /// Ends and durations of the running jobs.
  std::vector<std::pair<int64_t, int64_t>> running_;
  std::vector<std::pair<size_t, size_t>> refused_behind_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Decisions)

// Guards against jobs that are refused although the pool serves them in time.
BOOST_AUTO_TEST_CASE(RefusesOnlyBeyondTheDeadlineWithItsMargin) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  // A wait of 5.4 s would just end the value; the measured ratio has a margin.
  admission.SetBacklog(UrgentBacklog(kCores * 5.4), At(0));
  BOOST_TEST(DecideUrgent(admission, At(0)).admit);
  admission.SetBacklog(UrgentBacklog(kCores * 6.5), At(100));
  BOOST_TEST(DecideUrgent(admission, At(100)).admit);
  admission.SetBacklog(UrgentBacklog(kCores * 12), At(200));
  const AdmissionDecision refused = DecideUrgent(admission, At(200));
  BOOST_TEST(!refused.admit);
  BOOST_TEST((refused.cause == RefusalCause::kPoolBacklog));
  BOOST_TEST(refused.wait.expected.count() == 12000);
  BOOST_TEST(refused.deadline.count() == 5400);
}

// Guards against refusals while cores are idle, whatever waits.
BOOST_AUTO_TEST_CASE(NeverRefusesWhileCapacityIsFree) {
  Admission admission(QueueOrder::kPriority, 2);
  admission.SetBacklog(UrgentBacklog(kCores * 1000), At(0));
  const TimePoint now = At(0);
  BOOST_TEST(admission.Decide(UrgentJob(now), HasFreeCapacity, now).admit);
  BOOST_TEST(!admission.Decide(UrgentJob(now), NoFreeCapacity, now).admit);
}

// Guards against refusals of jobs that have no deadline, or of all jobs while
// the upstreams are not known.
BOOST_AUTO_TEST_CASE(NeverRefusesExemptJobs) {
  Admission admission(QueueOrder::kPriority, 2);
  admission.SetBacklog(UrgentBacklog(kCores * 1000), At(0));
  NewJob job = UrgentJob(At(0));
  job.exempt = true;
  BOOST_TEST(admission.Decide(job, NoFreeCapacity, At(0)).admit);
  job = UrgentJob(At(0));
  job.objective = Millis(0);
  BOOST_TEST(admission.Decide(job, NoFreeCapacity, At(0)).admit);
  Backlog unknown = UrgentBacklog(kCores * 1000);
  unknown.capacity.clear();
  admission.SetBacklog(unknown, At(100));
  BOOST_TEST(DecideUrgent(admission, At(100)).admit);
}

// Guards against an urgent job that is refused because of work behind it.
BOOST_AUTO_TEST_CASE(CountsOnlyWorkAheadInTheQueueOrder) {
  const NewJob urgent = UrgentJob(At(0));
  NewJob normal = urgent;
  normal.priority = 1;
  BacklogRow row{.priority = 1};
  BOOST_TEST(!IsAhead(row, urgent, QueueOrder::kPriority, 2));
  BOOST_TEST(IsAhead(row, normal, QueueOrder::kPriority, 2));
  row.timeliness = Timeliness::kLate;
  BOOST_TEST(!IsAhead(row, normal, QueueOrder::kPriority, 2));
  row.timeliness = Timeliness::kInTime;
  row.latest_start_ms = normal.latest_start_ms + 1;
  BOOST_TEST(!IsAhead(row, normal, QueueOrder::kPriority, 2));
  row = {.priority = 0, .timeliness = Timeliness::kWorthless};
  BOOST_TEST(IsAhead(row, normal, QueueOrder::kPriority, 2));
  // By cost of delay, work without value goes last.
  BOOST_TEST(!IsAhead(row, normal, QueueOrder::kDelayCost, 2));
  // Late work of priority 1 costs less than work in time of priority 2.
  row = {.priority = 1, .timeliness = Timeliness::kLate};
  NewJob low = urgent;
  low.priority = 2;
  BOOST_TEST(IsAhead(row, low, QueueOrder::kPriority, 2));
  BOOST_TEST(!IsAhead(row, low, QueueOrder::kDelayCost, 2));
}

// Guards against a flood of one account, held back by its limit, that lets the
// jobs of other accounts be refused.
BOOST_AUTO_TEST_CASE(FloodOfALimitedAccountRefusesOnlyThatAccount) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  Backlog backlog = UrgentBacklog(kCores * 100, "flood");
  backlog.accounts["flood"] = {.limit_cores = 40};
  backlog.accounts["other"] = {.limit_cores = 40};
  admission.SetBacklog(backlog, At(0));
  NewJob job = UrgentJob(At(0));
  job.account = "other";
  BOOST_TEST(admission.Decide(job, NoFreeCapacity, At(0)).admit);
  BOOST_TEST(admission.EstimateWait(job).expected.count() == 0);
  job.account = "flood";
  const AdmissionDecision refused =
      admission.Decide(job, NoFreeCapacity, At(0));
  BOOST_TEST(!refused.admit);
  BOOST_TEST((refused.cause == RefusalCause::kAccountBacklog));
  BOOST_TEST(refused.wait.expected.count() == 250000);
}

// Guards against a flood of an account above its share that lets the jobs of
// an account within its share be refused, where shares apply.
BOOST_AUTO_TEST_CASE(FloodAboveItsShareDoesNotRefuseOtherAccounts) {
  Admission admission(QueueOrder::kDelayCost, 2);
  NoteRightEstimates(admission);
  Backlog backlog = UrgentBacklog(kCores * 100, "flood");
  backlog.accounts["flood"] = {.weight = 1};
  backlog.accounts["other"] = {.weight = 1};
  admission.SetBacklog(backlog, At(0));
  NewJob job = UrgentJob(At(0));
  job.account = "other";
  BOOST_TEST(admission.Decide(job, NoFreeCapacity, At(0)).admit);
  job.account = "flood";
  BOOST_TEST(!admission.Decide(job, NoFreeCapacity, At(0)).admit);
}

// Guards against a wait that ignores when limited accounts leave capacity.
BOOST_AUTO_TEST_CASE(CapacityIsLeftOnceEnoughDemandsAreWorkedOff) {
  BOOST_TEST(TimeUntilCapacityLeft({}, 10) == 0);
  BOOST_TEST(TimeUntilCapacityLeft({{.work = 100}}, 10) == 10);
  BOOST_TEST(TimeUntilCapacityLeft({{.work = 100, .limit_cores = 5}}, 10) == 0);
  // Both take 8 of 10 cores until the first is worked off, and the second
  // leaves 2 of them then.
  const double time = TimeUntilCapacityLeft(
      {{.work = 80, .limit_cores = 8}, {.work = 800, .limit_cores = 8}}, 10);
  BOOST_TEST(time == 40, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(TimeUntilCapacityLeft(
                 {{.work = 50}, {.work = 100, .limit_cores = 5}}, 10) == 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Hysteresis)

// Guards against a queue that alternates between refused and accepted, with a
// log line each, while its backlog varies near the limit.
BOOST_AUTO_TEST_CASE(BacklogNearTheLimitDoesNotFlap) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  std::mt19937 random(1);
  std::uniform_real_distribution<double> noise(-0.08, 0.08);
  const auto count_changes = [&](int64_t from, int64_t to) {
    size_t changes = 0;
    for (int64_t ms = from; ms < to; ms += 100) {
      // The limit is an earliest end of 5.4 s: a wait of 6.25 s.
      const double wait = 6.25 * (1 + noise(random));
      admission.SetBacklog(UrgentBacklog(kCores * wait), At(ms));
      DecideUrgent(admission, At(ms));
      changes += admission.TakeChanges(At(ms)).size();
    }
    return changes;
  };
  BOOST_TEST(count_changes(0, 30000) == 0U);
  admission.SetBacklog(UrgentBacklog(kCores * 20), At(30000));
  BOOST_TEST(!DecideUrgent(admission, At(30000)).admit);
  BOOST_TEST(count_changes(30100, 60000) == 1U);
  BOOST_TEST(admission.Refuses("urgent"));
}

// Guards against a queue that stays refused after its backlog is gone.
BOOST_AUTO_TEST_CASE(EndsOnceNoJobIsRefusedForASecond) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  admission.SetBacklog(UrgentBacklog(kCores * 20), At(0));
  BOOST_TEST(!DecideUrgent(admission, At(0)).admit);
  const auto began = admission.TakeChanges(At(0));
  BOOST_REQUIRE(began.size() == 1U);
  BOOST_TEST(began[0].first.first == "urgent");
  BOOST_TEST(began[0].second);
  BOOST_TEST(admission.Refuses("urgent"));
  admission.SetBacklog(UrgentBacklog(kCores), At(100));
  BOOST_TEST(DecideUrgent(admission, At(100)).admit);
  BOOST_TEST(admission.TakeChanges(At(900)).empty());
  const auto ended = admission.TakeChanges(At(1000));
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(!ended[0].second);
  BOOST_TEST(!admission.Refuses("urgent"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Returns)

// Guards against refused callers that return at the same moment.
BOOST_AUTO_TEST_CASE(CallersReturnSpreadOverTheTimeOfTheBacklog) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  admission.SetBacklog(UrgentBacklog(kCores * 12), At(0));
  std::vector<int> per_quarter_second(200);
  for (uint64_t i = 0; i < 1000; ++i) {
    NewJob job = UrgentJob(At(0));
    job.spread_seed = i;
    const auto decision = admission.Decide(job, NoFreeCapacity, At(0));
    BOOST_REQUIRE(!decision.admit);
    BOOST_TEST(decision.retry_after >= kMinRetryAfter);
    BOOST_TEST(decision.retry_after <= kMaxRetryAfter);
    ++per_quarter_second[static_cast<size_t>(decision.retry_after.count() /
                                             250)];
  }
  // Priority 0 has 4 s, so that an even spread has 62 in each quarter.
  BOOST_TEST(*std::max_element(per_quarter_second.begin(),
                               per_quarter_second.end()) <= 120);
}

// Guards against low priorities that return first and fill the pool again.
BOOST_AUTO_TEST_CASE(UrgentCallersReturnFirst) {
  const Millis first{1000};
  const Millis window{6000};
  for (uint64_t seed = 0; seed < 100; ++seed) {
    const Millis urgent = SpreadReturn(first, window, 0, seed);
    const Millis normal = SpreadReturn(first, window, 1, seed + 1);
    const Millis low = SpreadReturn(first, window, 2, seed + 2);
    BOOST_TEST(urgent >= first);
    BOOST_TEST(urgent <= normal);
    BOOST_TEST(normal <= low);
    BOOST_TEST(low <= first + window);
  }
}

// Guards against a return that is out of bounds, or piles up at a bound.
BOOST_AUTO_TEST_CASE(ReturnsAreBoundedAndSpreadAtTheBounds) {
  for (const Millis first :
       {Millis(-5), Millis(0), Millis(29000), Millis(10000000)}) {
    for (const Millis window : {Millis(-1), Millis(0), Millis(100000000)}) {
      for (uint64_t seed = 0; seed < 50; ++seed) {
        const Millis retry = SpreadReturn(first, window, 1, seed);
        BOOST_TEST(retry >= kMinRetryAfter);
        BOOST_TEST(retry <= kMaxRetryAfter);
      }
    }
  }
  std::set<int64_t> returns;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    returns.insert(
        SpreadReturn(Millis(100000), Millis(100000), 0, seed).count());
  }
  BOOST_TEST(returns.size() > 45U);
}

// Guards against a retry that comes too late to have a value, at a time when
// new jobs are refused as well.
BOOST_AUTO_TEST_CASE(UselessRetryIsPutOffUntilANewJobIsServed) {
  Admission admission(QueueOrder::kPriority, 2);
  NoteRightEstimates(admission);
  admission.SetBacklog(UrgentBacklog(kCores * 14), At(0));
  // The first return that could be served is at 14 - 4.4 = 9.6 s, after the
  // deadline of 5.4 s.
  const auto decision = DecideUrgent(admission, At(0));
  BOOST_REQUIRE(!decision.admit);
  BOOST_TEST(decision.retry_after.count() >= 14000);
}

// Guards against a window that does not grow with the callers to return.
BOOST_AUTO_TEST_CASE(WindowGrowsWithWaitingCallers) {
  BOOST_TEST(ReturnWindow(0).count() == kMinRetryAfter.count());
  BOOST_TEST(ReturnWindow(1000).count() == 5000);
  BOOST_TEST(ReturnWindow(1000000).count() == 10000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Rates)

// Guards against a rate taken from times in which there was little to do.
BOOST_AUTO_TEST_CASE(OnlySaturatedTimesLowerTheRate) {
  WorkRates rates;
  BOOST_TEST(rates.Rate("pool", kCores) == kCores);
  for (int64_t ms = 0; ms < 60000; ms += 100) {
    rates.NoteFinished("pool", "q", 500, 500);
    rates.Update("pool", false, At(ms));
  }
  BOOST_TEST(rates.Rate("pool", kCores) == kCores);
  for (int64_t ms = 60000; ms < 120000; ms += 100) {
    rates.NoteFinished("pool", "q", 5000, 5000);
    rates.Update("pool", true, At(ms));
  }
  // 50 of 100 cores, and the full capacity with the weight of 5 s.
  BOOST_TEST(rates.Rate("pool", kCores) > 50);
  BOOST_TEST(rates.Rate("pool", kCores) < 65);
}

// Guards against few runs, or runs beyond the stated error, that decide.
BOOST_AUTO_TEST_CASE(RatioToEstimatesNeedsRunsAndIsBounded) {
  WorkRates rates;
  for (int i = 0; i < 20; ++i) rates.NoteFinished("pool", "q", 100, 1000);
  BOOST_TEST(rates.FactorsOf("q").expected == 1);
  BOOST_TEST(rates.FactorsOf("q").at_least == 1 / kEstimateError);
  for (int i = 0; i < 40; ++i) rates.NoteFinished("pool", "q", 100, 1000);
  BOOST_TEST(rates.FactorsOf("q").expected == 1 / kEstimateError);
  for (int i = 0; i < 2000; ++i) rates.NoteFinished("pool", "q", 9000, 1000);
  BOOST_TEST(rates.FactorsOf("q").expected == kEstimateError);
  BOOST_TEST(rates.FactorsOf("other").expected == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Overload)

/// Guards against refusals of jobs that would have been in time, and against an
/// overload without refusals, with estimates that are wrong by up to 2.5.
/// -1 stands for errors that differ between the jobs.
BOOST_DATA_TEST_CASE(TwiceTheLoadFor20Seconds,
                     data::make({0.4, 1.0, 2.5, -1.0}), error) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> exponent(-1, 1);
  QueueReplay replay([&] {
    return error > 0 ? error : std::pow(kEstimateError, exponent(random));
  });
  // The mean of 2.5^x for x in [-1, 1].
  const double mean =
      error > 0 ? error : (2.5 - 0.4) / (2 * std::log(kEstimateError));
  replay.Run(0.8, 10000, mean);
  replay.Run(2.0, 20000, mean);
  replay.Run(0.5, 20000, mean);
  replay.Drain();
  replay.ResolveRefused();
  int refused = 0;
  int refused_in_time = 0;
  int refused_in_light_load = 0;
  int64_t longest_wait = 0;
  for (const auto& job : replay.jobs()) {
    if (!job.refused) {
      longest_wait = std::max(longest_wait, job.started - job.arrived);
      continue;
    }
    ++refused;
    if (job.arrived < 10000) ++refused_in_light_load;
    // The caller's objective by the true duration of its job.
    const double objective = 1.5 * static_cast<double>(job.duration) + 300;
    if (static_cast<double>(job.EndAfterArrival()) <= objective) {
      ++refused_in_time;
    }
  }
  BOOST_TEST_MESSAGE("estimate error " << error << ": refused " << refused
                                       << " of " << replay.jobs().size()
                                       << ", longest wait of an accepted job "
                                       << longest_wait << " ms");
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused_in_light_load == 0);
  BOOST_TEST(refused_in_time == 0);
  // Without refusals, the last job of the overload waits for 20 s.
  BOOST_TEST(longest_wait < 16000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mimosarail::coordinator
