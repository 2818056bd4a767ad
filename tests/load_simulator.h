#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {

using ports::CallVerdict;
using ports::EndKind;

/// A kind of job in a load, with the mean values of its jobs.
struct JobKind {
  const char* queue;
  int32_t priority;
  bool gang;
  double jobs_per_second;
  double tasks;
  int32_t millicores;
  int32_t run_time_ms;
  /// Duration of an advice call: base time, and time for each upstream named.
  double advice_base_ms;
  double advice_each_ms;
  /// Fraction of upstreams that the adviser allows.
  double allowed_fraction;
  /// The objective of a job: this many times the work, plus the target.
  double slack_factor = 2;
  int32_t target_ms = 0;
};

struct Load {
  int upstreams;
  int lanes;
  int urgent_lanes;
  std::vector<JobKind> kinds;
  /// Whether Tick() is called regularly, so that late steps move back in the
  /// queue.
  bool ticks = false;
  /// Speed of each upstream, repeated in turn. If empty, all upstreams are
  /// alike, and a run takes half to one and a half times its estimate.
  /// Otherwise the work of a job varies by `job_spread`, its estimate is wrong
  /// by up to `estimate_error`, its runs vary by 15 %, and `tail_fraction` of
  /// them take 7 times as long.
  std::vector<double> speeds = {};
  double job_spread = 1.5;
  double estimate_error = 2.5;
  double tail_fraction = 0.01;
};

struct WaitTimes {
  std::vector<int64_t> millis;
  int64_t Percentile(int percent) {
    std::sort(millis.begin(), millis.end());
    const size_t index = millis.size() * static_cast<size_t>(percent) / 100;
    return millis.empty() ? 0 : millis[std::min(index, millis.size() - 1)];
  }
};

/// Simulates a load on the scheduler: jobs that arrive at random, an adviser
/// that serves one call at a time for each lane, and upstreams that report
/// progress. The run time of a task is half to one and a half times its
/// estimate. Members of a gang progress at different rates and end together.
class LoadSimulator {
 public:
  explicit LoadSimulator(Load load, uint64_t seed,
                         SchedulerOptions options = {})
      : load_(std::move(load)), random_(seed), s_(options) {
    for (int i = 0; i < load_.upstreams; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {.millicores = 16000, .memory_mb = 1 << 20};
      s_.pool().at(s_.pool().Update(entry)).reachable = true;
    }
    Orders none;
    s_.ResolveAll(now_, none);
  }

  void Simulate(Millis span) {
    const TimePoint end = now_ + span;
    for (int step = 0; now_ < end; ++step) {
      now_ += kStep;
      SubmitArrivingJobs();
      EndRuns();
      AnswerAdviceCalls();
      constexpr int kReportEvery = 50;
      if (step % kReportEvery == 0) ReportProgress();
      constexpr int kTickEvery = 5;
      if (load_.ticks && step % kTickEvery == 0) s_.Tick(now_, 0);
      Place();
    }
  }

  WaitTimes& waits(const std::string& queue) { return waits_[queue]; }
  int64_t advice_calls(const std::string& queue) { return calls_[queue]; }
  int64_t arrived(const std::string& queue) { return arrived_[queue]; }
  /// Jobs submitted since CountFromNow() whose objective has passed, and how
  /// many of them ended in time.
  struct Punctuality {
    int64_t due = 0;
    int64_t in_time = 0;
    double fraction() const {
      return due == 0 ? 1
                      : static_cast<double>(in_time) / static_cast<double>(due);
    }
  };
  Punctuality punctuality(const std::string& queue) {
    Punctuality out;
    for (const auto& [id, objective] : objectives_) {
      if (objective.queue != queue || objective.due > now_) continue;
      ++out.due;
      if (objective.ended && *objective.ended <= objective.due) ++out.in_time;
    }
    return out;
  }
  void CountFromNow() { objectives_.clear(); }
  const Scheduler& scheduler() const { return s_; }
  TimePoint now() const { return now_; }

 private:
  static constexpr Millis kStep{10};
  static constexpr Millis kTicketValidity{1500};

  struct Run {
    StartOrder start;
    TimePoint started_at;
    /// When the task's own part is done.
    TimePoint own_end;
    /// When the run ends: for a gang, when the slowest member is done.
    TimePoint end;
  };
  struct Objective {
    std::string queue;
    TimePoint due;
    std::optional<TimePoint> ended;
  };
  struct Call {
    TimePoint answered_at;
    AdviceOrder order;
    bool urgent_lane;
  };

  /// Returns a random number between 0 and 1.
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void SubmitArrivingJobs() {
    for (const JobKind& kind : load_.kinds) {
      const double mean =
          kind.jobs_per_second * static_cast<double>(kStep.count()) / 1000;
      int count = std::poisson_distribution<int>(mean)(random_);
      while (count-- > 0) Submit(kind);
    }
  }

  void Submit(const JobKind& kind) {
    wire::JobSpec spec;
    spec.id = next_job_++;
    spec.queue.name = kind.queue;
    spec.queue.pool = "pool";
    spec.queue.max_attempts = 2;
    spec.queue.slack_factor = 2;
    spec.queue.priority = kind.priority;
    spec.queue.advised = true;
    spec.queue.advice_base_ms = kind.advice_base_ms;
    spec.queue.advice_each_ms = kind.advice_each_ms;
    wire::StepSpec step;
    step.tasks = 1 + static_cast<int32_t>(RandomFraction() * 2 * kind.tasks);
    step.millicores = kind.millicores;
    step.memory_mb = 1;
    step.estimate_ms = kind.run_time_ms;
    step.gang = kind.gang;
    spec.steps.push_back(step);
    const auto id = static_cast<JobId>(spec.id);
    if (!load_.speeds.empty()) SetWork(kind, spec);
    submitted_at_[id] = now_;
    kind_by_job_[id] = &kind;
    ++arrived_[kind.queue];
    s_.Add(spec, now_, 0);
  }

  /// Returns a random factor between 1 / limit and limit.
  double RandomFactor(double limit) {
    return std::pow(limit, 2 * RandomFraction() - 1);
  }

  void SetWork(const JobKind& kind, wire::JobSpec& spec) {
    const auto id = static_cast<JobId>(spec.id);
    const double work_ms = kind.run_time_ms * RandomFactor(load_.job_spread);
    work_ms_[id] = work_ms;
    spec.queue.slack_factor = kind.slack_factor;
    spec.queue.target_ms = kind.target_ms;
    spec.accepted_unix_ms = 0;
    wire::StepSpec& step = spec.steps.front();
    step.tasks = static_cast<int32_t>(kind.tasks);
    step.estimate_ms =
        static_cast<int32_t>(work_ms * RandomFactor(load_.estimate_error));
    const Millis objective(static_cast<int64_t>(kind.slack_factor * work_ms) +
                           kind.target_ms);
    objectives_[id] = {.queue = kind.queue, .due = now_ + objective};
  }

  /// Returns how long a run takes.
  Millis RunTime(const JobKind& kind, const StartOrder& start) {
    if (load_.speeds.empty()) {
      return Millis(
          static_cast<int64_t>(kind.run_time_ms * (0.5 + RandomFraction())));
    }
    const double speed = load_.speeds[start.upstream % load_.speeds.size()];
    const double noise =
        std::exp(std::normal_distribution<double>(0, 0.15)(random_));
    const double tail = RandomFraction() < load_.tail_fraction ? 7 : 1;
    return Millis(static_cast<int64_t>(work_ms_.at(start.task.job) * noise *
                                       tail / speed));
  }

  void EndRuns() {
    std::vector<Run> ended;
    std::erase_if(running_, [&](const Run& run) {
      if (run.end > now_) return false;
      ended.push_back(run);
      return true;
    });
    for (const Run& run : ended) {
      Orders orders;
      s_.OnEnd(run.start.upstream,
               {.number = ++reported_ends_,
                .task = run.start.task,
                .attempt = run.start.attempt,
                .kind = EndKind::kDone},
               now_, orders);
      BOOST_REQUIRE(orders.stops.empty());
      const auto objective = objectives_.find(run.start.task.job);
      if (objective == objectives_.end() || objective->second.ended) continue;
      if (s_.Find(run.start.task.job)->final()) objective->second.ended = now_;
    }
  }

  void ReportProgress() {
    std::map<UpstreamIndex, std::vector<ports::RunningTask>> lists;
    for (const Run& run : running_) {
      const std::chrono::duration<double> elapsed = now_ - run.started_at;
      const std::chrono::duration<double> run_time =
          run.own_end - run.started_at;
      const int percent = static_cast<int>(100 * (elapsed / run_time));
      lists[run.start.upstream].push_back({.task = run.start.task,
                                           .attempt = run.start.attempt,
                                           .percent = std::min(100, percent)});
    }
    for (const auto& [upstream, list] : lists) {
      Orders orders;
      s_.OnRunning(upstream, list, now_, orders);
      BOOST_REQUIRE(orders.stops.empty());
    }
  }

  void AnswerAdviceCalls() {
    std::vector<Call> answered;
    std::erase_if(in_flight_, [&](const Call& call) {
      if (call.answered_at > now_) return false;
      answered.push_back(call);
      return true;
    });
    for (const Call& call : answered) {
      ports::Advice advice{.valid = kTicketValidity};
      const JobKind& kind = *kind_by_job_.at(call.order.step.job);
      for (const std::string& name : call.order.upstreams) {
        if (IsAllowed(call.order.step, name, kind.allowed_fraction)) {
          advice.allowed.push_back({name, "t"});
        }
      }
      s_.OnAdvice(call.order, &advice, now_);
    }
  }

  /// Whether the adviser allows the upstream for the step; always the same for
  /// both.
  static bool IsAllowed(const StepId& step, const std::string& name,
                        double allowed_fraction) {
    const size_t hash =
        std::hash<std::string>()(name + "/" + std::to_string(step.job));
    return static_cast<double>(hash % 1000) < 1000 * allowed_fraction;
  }

  void Place() {
    int free_lanes = load_.lanes;
    int free_urgent_lanes = load_.urgent_lanes;
    for (const Call& call : in_flight_) {
      --(call.urgent_lane ? free_urgent_lanes : free_lanes);
    }
    Orders orders;
    s_.Place(now_, {.any = free_lanes, .urgent_only = free_urgent_lanes},
             orders);
    for (const AdviceOrder& order : orders.advice) {
      ++calls_[kind_by_job_.at(order.step.job)->queue];
      const bool urgent_lane = order.priority == 0 && free_urgent_lanes > 0;
      if (urgent_lane) --free_urgent_lanes;
      in_flight_.push_back({now_ + order.expected, order, urgent_lane});
    }
    for (const StartOrder& start : orders.starts) Start(start);
    for (const UpstreamIndex upstream : s_.pool().all()) {
      BOOST_REQUIRE(s_.pool().at(upstream).free[Dimension::kCores] >= 0);
    }
  }

  void Start(const StartOrder& start) {
    Orders none;
    s_.OnStartReply(start, CallVerdict::kDone, now_, none);
    const JobKind& kind = *kind_by_job_.at(start.task.job);
    const auto submitted = submitted_at_.find(start.task.job);
    if (submitted != submitted_at_.end()) {
      const auto waited =
          std::chrono::duration_cast<Millis>(now_ - submitted->second);
      waits_[kind.queue].millis.push_back(waited.count());
      submitted_at_.erase(submitted);
    }
    const Millis own_end = RunTime(kind, start);
    Run run{start, now_, now_ + own_end, now_ + own_end};
    if (kind.gang) {
      for (Run& other : running_) {
        if (other.start.task.job != start.task.job) continue;
        run.end = std::max(run.end, other.end);
      }
      for (Run& other : running_) {
        if (other.start.task.job == start.task.job) other.end = run.end;
      }
    }
    running_.push_back(run);
  }

  Load load_;
  std::mt19937_64 random_;
  Scheduler s_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  int64_t next_job_ = 1;
  int64_t reported_ends_ = 0;
  std::vector<Run> running_;
  std::vector<Call> in_flight_;
  std::map<JobId, TimePoint> submitted_at_;
  std::map<JobId, const JobKind*> kind_by_job_;
  std::map<JobId, double> work_ms_;
  std::map<JobId, Objective> objectives_;
  std::map<std::string, WaitTimes> waits_;
  std::map<std::string, int64_t> calls_;
  std::map<std::string, int64_t> arrived_;
};

}  // namespace mimosarail::scheduling
