#define BOOST_TEST_MODULE failing_upstreams
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "tests/scheduler_harness.h"

namespace mimosarail::scheduling {
namespace {

using ports::EndKind;

/// A job must not wait longer than this while upstreams that may run it have
/// capacity for it twice over.
constexpr Millis kMaxIdleWait{3000};

/// A long-running task must not be down for longer than this while upstreams
/// that may run it have capacity for it twice over.
constexpr Millis kMaxServiceDown{9000};

/// How a run goes.
struct RunPlan {
  /// When the run ends; nullopt if it lasts.
  std::optional<Millis> ends_after{};
  EndKind how = EndKind::kDone;
};

RunPlan FailsAfter(Millis time) {
  return {.ends_after = time, .how = EndKind::kFailed};
}
RunPlan DoneAfter(Millis time) { return {.ends_after = time}; }
RunPlan Lasts() { return {}; }

/// Plays what the upstreams do with their starts, in steps of the harness's
/// clock.
class PlayedUpstreams {
 public:
  using Planner = std::function<RunPlan(const StartOrder&)>;

  PlayedUpstreams(int upstreams, Planner plan)
      : harness_(upstreams), plan_(std::move(plan)) {}

  void Add(const wire::JobSpec& spec) {
    added_[static_cast<JobId>(spec.id)] = harness_.now;
    harness_.scheduler.Add(spec, harness_.now, 0);
  }

  void Play(Millis span) {
    const TimePoint end = harness_.now + span;
    while (harness_.now < end) Step();
  }

  /// Plays until the job starts, for at most `limit`. Returns whether it has
  /// started.
  bool PlayUntilStarted(JobId job, Millis limit) {
    const TimePoint end = harness_.now + limit;
    while (harness_.now < end && starts(job) == 0) Step();
    return starts(job) > 0;
  }

  int starts(JobId job) const { return CountOf(starts_by_job_, job); }
  int starts_on(UpstreamIndex upstream) const {
    return CountOf(starts_by_upstream_, upstream);
  }
  int total_starts() const { return total_starts_; }
  /// Runs of the job that have not ended.
  int running(JobId job) const {
    return static_cast<int>(std::count_if(
        runs_.begin(), runs_.end(),
        [&](const Run& run) { return run.order.task.job == job; }));
  }
  /// Jobs that have failed.
  int failed_jobs() const {
    return static_cast<int>(
        std::count_if(added_.begin(), added_.end(), [&](const auto& job) {
          return harness_.scheduler.Find(job.first)->state() ==
                 JobState::kFailed;
        }));
  }
  /// The longest time from the end of a run of the job to the next start of
  /// the same task.
  Millis longest_restart(JobId job) const {
    const auto found = longest_restarts_.find(job);
    return found == longest_restarts_.end() ? Millis(0) : found->second;
  }
  SchedulerHarness& harness() { return harness_; }

 private:
  static constexpr Millis kStep{100};
  static constexpr int kStepsPerReport = 5;
  static constexpr Millis kStartup{500};

  struct Run {
    StartOrder order;
    RunPlan plan;
    TimePoint began;
  };

  template <typename Key>
  static int CountOf(const std::map<Key, int>& counts, Key key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  }

  void Step() {
    harness_.now += kStep;
    EndRuns();
    if (++steps_ % kStepsPerReport == 0) Report();
    for (const StartOrder& start : harness_.Place().starts) {
      ++total_starts_;
      ++starts_by_job_[start.task.job];
      ++starts_by_upstream_[start.upstream];
      NoteRestart(start);
      runs_.push_back({start, plan_(start), harness_.now});
    }
  }

  void NoteRestart(const StartOrder& start) {
    const auto ended = ended_at_.find(start.task);
    if (ended == ended_at_.end()) return;
    Millis& longest = longest_restarts_[start.task.job];
    longest = std::max(longest, std::chrono::duration_cast<Millis>(
                                    harness_.now - ended->second));
  }

  void EndRuns() {
    const std::vector<Run> before = std::move(runs_);
    runs_.clear();
    for (const Run& run : before) {
      if (!run.plan.ends_after ||
          harness_.now - run.began < *run.plan.ends_after) {
        runs_.push_back(run);
      } else {
        harness_.EndRun(run.order, run.plan.how);
        ended_at_[run.order.task] = harness_.now;
      }
    }
  }

  void Report() {
    for (const Run& run : runs_) {
      harness_.ReportProgress(run.order, Percent(run));
    }
  }

  int32_t Percent(const Run& run) const {
    constexpr int32_t kReady = 100;
    const auto ran =
        std::chrono::duration_cast<Millis>(harness_.now - run.began);
    if (!run.plan.ends_after) return ran >= kStartup ? kReady : 0;
    return static_cast<int32_t>(kReady * ran / *run.plan.ends_after);
  }

  SchedulerHarness harness_;
  Planner plan_;
  std::vector<Run> runs_;
  std::map<JobId, TimePoint> added_;
  std::map<JobId, int> starts_by_job_;
  std::map<UpstreamIndex, int> starts_by_upstream_;
  std::map<TaskId, TimePoint> ended_at_;
  std::map<JobId, Millis> longest_restarts_;
  int total_starts_ = 0;
  int steps_ = 0;
};

constexpr JobId kService = 1000;

/// A service with one long-running task on each of as many upstreams.
wire::JobSpec Service(int tasks) {
  wire::JobSpec spec = Spec(kService, tasks, 1000);
  spec.steps[0].long_running = true;
  spec.steps[0].max_per_upstream = 1;
  return spec;
}

}  // namespace

/// Guards against upstreams that get no more work once a long-running task has
/// failed there and was started again.
BOOST_AUTO_TEST_CASE(RestartedServiceLeavesRoomForJobs) {
  constexpr int kUpstreams = 16;
  PlayedUpstreams cell(kUpstreams, [](const StartOrder& start) {
    if (start.task.job != kService) return DoneAfter(Millis(500));
    return start.attempt > 1
               ? Lasts()
               : FailsAfter(Millis(3000 + 100 * start.task.index));
  });
  cell.Add(Service(kUpstreams));
  cell.Play(Millis(12000));
  BOOST_TEST(cell.running(kService) == kUpstreams);
  for (const JobId job : {1, 2, 3}) {
    cell.Add(Spec(job, 1, 1000));
    BOOST_TEST(cell.PlayUntilStarted(job, kMaxIdleWait));
  }
}

/// Guards against an upstream that gets no more work while a long task that
/// started there after a failure runs.
BOOST_AUTO_TEST_CASE(LongTaskAfterAFailureLeavesRoomForJobs) {
  PlayedUpstreams cell(1, [](const StartOrder& start) {
    if (start.task.job == 1) return FailsAfter(Millis(200));
    return DoneAfter(Millis(start.task.job == 2 ? 600000 : 500));
  });
  wire::JobSpec failing = Spec(1, 1, 1000);
  failing.queue.max_attempts = 1;
  cell.Add(failing);
  cell.Play(Millis(300));
  wire::JobSpec lengthy = Spec(2, 1, 1000);
  lengthy.steps[0].estimate_ms = 600000;
  cell.Add(lengthy);
  BOOST_TEST(cell.PlayUntilStarted(2, kMaxIdleWait));
  cell.Add(Spec(3, 1, 1000));
  BOOST_TEST(cell.PlayUntilStarted(3, kMaxIdleWait));
}

/// Guards against upstreams that stay suspect for ever when only long-running
/// tasks run there: a gang that needs several tasks on each would not start.
BOOST_AUTO_TEST_CASE(LastingRunsProveTheirUpstreams) {
  constexpr int kUpstreams = 4;
  constexpr Millis kFailsAfter{4000};
  PlayedUpstreams cell(kUpstreams, [&](const StartOrder& start) {
    if (start.task.job != kService) return DoneAfter(Millis(500));
    return start.attempt > 1 ? Lasts() : FailsAfter(kFailsAfter);
  });
  cell.Add(Service(kUpstreams));
  cell.Play(kFailsAfter + Millis(1000));
  for (const UpstreamIndex upstream : cell.harness().scheduler.pool().all()) {
    BOOST_TEST(cell.harness().scheduler.pool().at(upstream).health.suspect());
  }
  cell.Play(kFailsAfter * FailureStreak::kProofFactor + Millis(1000));
  for (const UpstreamIndex upstream : cell.harness().scheduler.pool().all()) {
    BOOST_TEST(!cell.harness().scheduler.pool().at(upstream).health.suspect());
  }
}

/// Guards against a run that proves its upstream before it has outlasted those
/// that failed there, and against one that would have to last for hours.
BOOST_AUTO_TEST_CASE(ProofTimeFollowsTheFailedRuns) {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const auto proof_time = [&](Millis failed_after) {
    UpstreamHealth health;
    health.NoteFailure(start, failed_after);
    const TimePoint run = start + Millis(1);
    Millis lasted{0};
    while (lasted <= 2 * FailureStreak::kMaxProofTime &&
           !health.NoteAtWork(run, run + lasted)) {
      lasted += Millis(1000);
    }
    return lasted;
  };
  BOOST_TEST((proof_time(Millis(100)) == FailureStreak::kMinProofTime));
  BOOST_TEST((proof_time(Millis(10000)) == Millis(20000)));
  BOOST_TEST(
      (proof_time(std::chrono::hours(5)) == FailureStreak::kMaxProofTime));
}

/// Guards against a run from before the last failure, or one whose task stands
/// still, that proves its upstream.
BOOST_AUTO_TEST_CASE(OnlyLaterProgressProvesAnUpstream) {
  SchedulerHarness harness(1);
  wire::JobSpec spec = Spec(1, 2, 1000);
  spec.queue.max_attempts = 10;
  spec.steps[0].estimate_ms = 600000;
  harness.scheduler.Add(spec, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 2U);
  harness.now += Millis(100);
  harness.EndRun(first.starts[1], EndKind::kFailed);
  const UpstreamHealth& health = harness.scheduler.pool().at(0).health;
  harness.now += FailureStreak::kMaxProofTime;
  harness.ReportProgress(first.starts[0], 10);
  BOOST_TEST(health.suspect());
  const Orders second = harness.Place();
  BOOST_REQUIRE_EQUAL(second.starts.size(), 1U);
  harness.now += FailureStreak::kMaxProofTime;
  harness.ReportProgress(second.starts[0], 0);
  BOOST_TEST(health.suspect());
  harness.ReportProgress(second.starts[0], 1);
  BOOST_TEST(!health.suspect());
}

/// Guards against an upstream that gets no more work because the start that
/// would have proved it was never answered and its run never listed.
BOOST_AUTO_TEST_CASE(UnansweredProbeLeavesRoomForJobs) {
  SchedulerHarness harness(1);
  wire::JobSpec failing = Spec(1, 1, 1000);
  failing.queue.max_attempts = 1;
  harness.scheduler.Add(failing, harness.now, 0);
  const Orders first = harness.Place();
  BOOST_REQUIRE_EQUAL(first.starts.size(), 1U);
  harness.EndRun(first.starts[0], EndKind::kFailed);
  harness.scheduler.Add(Spec(2, 1, 1000), harness.now, 0);
  Orders unanswered;
  harness.scheduler.Place(harness.now, kAmpleBudget, unanswered);
  BOOST_REQUIRE_EQUAL(unanswered.starts.size(), 1U);
  harness.scheduler.Add(Spec(3, 1, 1000), harness.now, 0);
  harness.now += kMaxIdleWait;
  BOOST_TEST(harness.Place().starts.size() == 1U);
}

/// Guards against an upstream that fails all tasks, early or late in their
/// runs, and uses up the attempts of many jobs. It looks idle while the others
/// are nearly full.
BOOST_DATA_TEST_CASE(FailingUpstreamGetsFewStarts,
                     boost::unit_test::data::make({100, 1000, 3000, 10000}),
                     fails_after_ms) {
  constexpr UpstreamIndex kFailing = 0;
  constexpr int kUpstreams = 4;
  constexpr int kCapacity = 16000;
  constexpr Millis kArrivalInterval{100};
  constexpr JobId kJobs = 1200;
  const Millis run_time(fails_after_ms * 5 / 4);
  const int64_t load = kCapacity * (kUpstreams - 1) * 9 / 10;
  const int64_t size = std::min<int64_t>(
      kCapacity, load * kArrivalInterval.count() / run_time.count());
  PlayedUpstreams cell(kUpstreams, [&](const StartOrder& start) {
    return start.upstream == kFailing ? FailsAfter(Millis(fails_after_ms))
                                      : DoneAfter(run_time);
  });
  int first_starts = 0;
  for (JobId id = 1; id <= kJobs; ++id) {
    wire::JobSpec spec = Spec(id, 1, static_cast<int32_t>(size));
    spec.steps[0].estimate_ms = run_time.count();
    cell.Add(spec);
    cell.Play(kArrivalInterval);
    if (kArrivalInterval * id < run_time) {
      first_starts = cell.starts_on(kFailing);
    }
  }
  // Once its first tasks have failed, it gets at most a tenth of its share.
  const int share = cell.total_starts() / kUpstreams;
  BOOST_TEST(cell.starts_on(kFailing) - first_starts <= share / 10);
  BOOST_TEST(cell.failed_jobs() == 0);
}

/// Guards against a service that never stops failing and keeps its upstreams in
/// backoff, or takes each start that they get before jobs of lower priority.
BOOST_DATA_TEST_CASE(ServiceThatAlwaysFailsLeavesRoomForJobs,
                     boost::unit_test::data::make({1, 4, 16}) *
                         boost::unit_test::data::make({100, 2500, 7000}) *
                         boost::unit_test::data::make({false, true}),
                     upstreams, fails_after_ms, many) {
  PlayedUpstreams cell(upstreams, [&](const StartOrder& start) {
    return start.task.job == kService ? FailsAfter(Millis(fails_after_ms))
                                      : DoneAfter(Millis(500));
  });
  wire::JobSpec service = Service(many ? 75 * upstreams : upstreams);
  if (many) service.steps[0].max_per_upstream = 0;
  if (many) service.steps[0].millicores = 100;
  cell.Add(service);
  Millis longest_wait{0};
  for (JobId job = 1; job <= 40; ++job) {
    wire::JobSpec spec = Spec(job, 1, 1000);
    spec.queue.priority = 1;
    cell.Play(Millis(3000));
    cell.Add(spec);
    const TimePoint since = cell.harness().now;
    cell.PlayUntilStarted(job, Millis(20000));
    const auto waited =
        std::chrono::duration_cast<Millis>(cell.harness().now - since);
    longest_wait = std::max(longest_wait, waited);
  }
  BOOST_TEST(longest_wait.count() <= kMaxIdleWait.count());
  BOOST_TEST(cell.longest_restart(kService).count() <= kMaxServiceDown.count());
}

/// Guards against an upstream that fails all tasks and uses up the attempts of
/// a job with many of them, whose first tasks fail before any has succeeded.
BOOST_DATA_TEST_CASE(FailingUpstreamGetsFewTasksOfOneJob,
                     boost::unit_test::data::make({1000, 10000}), run_time_ms) {
  constexpr UpstreamIndex kFailing = 0;
  constexpr int kUpstreams = 4;
  constexpr int kTasks = 400;
  PlayedUpstreams cell(kUpstreams, [&](const StartOrder& start) {
    return start.upstream == kFailing ? FailsAfter(Millis(100))
                                      : DoneAfter(Millis(run_time_ms));
  });
  wire::JobSpec spec = Spec(1, kTasks, 1000);
  spec.steps[0].estimate_ms = run_time_ms;
  cell.Add(spec);
  cell.Play(Millis(run_time_ms * 15));
  // Beside the tasks that start there at once, before any has failed.
  constexpr int kAtOnce = 16;
  constexpr int kShare = kTasks / kUpstreams;
  BOOST_TEST(cell.starts_on(kFailing) - kAtOnce <= kShare / 5);
  BOOST_TEST(cell.failed_jobs() == 0);
}

/// Guards against a failed task that never runs again: the upstream of its
/// failure is free, and the other one is filled by a task that runs for long or
/// for ever.
BOOST_DATA_TEST_CASE(FailedTaskReturnsToTheOnlyUpstreamWithRoom,
                     boost::unit_test::data::make({true, false}) *
                         boost::unit_test::data::make({1, 2}),
                     filler_lasts, gang_tasks) {
  constexpr JobId kFiller = 1;
  constexpr JobId kJob = 2;
  const bool gang = gang_tasks > 1;
  PlayedUpstreams cell(1 + gang_tasks, [&](const StartOrder& start) {
    if (start.task.job == kFiller) return Lasts();
    if (start.attempt > 1) return DoneAfter(Millis(500));
    return start.task.index == 0 ? FailsAfter(Millis(300))
                                 : RunPlan{Millis(300), EndKind::kGangFailed};
  });
  wire::JobSpec filler = Spec(kFiller, 1, 15000);
  filler.steps[0].long_running = filler_lasts;
  filler.steps[0].estimate_ms = 600000;
  cell.Add(filler);
  cell.Play(Millis(1000));
  wire::JobSpec job = Spec(kJob, gang_tasks, 2000);
  job.steps[0].gang = gang;
  job.steps[0].max_per_upstream = 1;
  cell.Add(job);
  cell.Play(Millis(500) + kMaxIdleWait);
  BOOST_TEST(cell.starts(kJob) == 2 * gang_tasks);
}

/// Guards against a task of a service that is no longer started after some
/// failures, because the upstreams of the other tasks count as alternatives.
BOOST_AUTO_TEST_CASE(FailingTaskOfAServiceRunsAgainEachTime) {
  constexpr int kTasks = 4;
  constexpr int kFailures = 10;
  int failed = 0;
  PlayedUpstreams cell(2 * kTasks, [&](const StartOrder& start) {
    const bool fails = start.task.index == 0 && failed++ < kFailures;
    return fails ? FailsAfter(Millis(3000)) : Lasts();
  });
  cell.Add(Service(kTasks));
  cell.Play(kFailures * (kMaxServiceDown + Millis(3000)));
  BOOST_TEST(failed > kFailures);
  BOOST_TEST(cell.running(kService) == kTasks);
  BOOST_TEST(cell.longest_restart(kService).count() <= kMaxServiceDown.count());
}

}  // namespace mimosarail::scheduling
