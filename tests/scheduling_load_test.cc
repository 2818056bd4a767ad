#define BOOST_TEST_MODULE scheduling_load
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

using ports::CallVerdict;
using ports::EndKind;

/// One kind of request in a load.
struct Kind {
  const char* queue;
  int32_t priority;
  bool gang;
  double per_second;
  double tasks;
  int32_t millicores;
  int32_t millis;
  /// Adviser: base time of a call, additional time for each upstream named,
  /// fraction of upstreams allowed.
  double advice_base;
  double advice_each;
  double allowed;
};

struct Load {
  int upstreams;
  int lanes;
  int urgent_lanes;
  std::vector<Kind> kinds;
  /// Calls Tick() regularly, so that steps that have missed their start yield
  /// to others.
  bool ticks = false;
};

struct WaitTimes {
  std::vector<int64_t> millis;
  int64_t Percentile(int percent) {
    std::sort(millis.begin(), millis.end());
    const size_t at = millis.size() * static_cast<size_t>(percent) / 100;
    return millis.empty() ? 0 : millis[std::min(at, millis.size() - 1)];
  }
};

/// Runs a load against the scheduler: arrivals, an adviser that serves one call
/// at a time for each lane, and upstreams that report progress and run tasks
/// for their real duration: half to one and a half times the estimate. The
/// members of a gang end together, each with its own pace.
class LoadSimulator {
 public:
  LoadSimulator(Load load, uint64_t seed)
      : load_(std::move(load)), random_(seed) {
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
      Arrive();
      EndTasks();
      AnswerAdvice();
      constexpr int kReportEvery = 50;
      if (step % kReportEvery == 0) Report();
      constexpr int kTickEvery = 5;
      if (load_.ticks && step % kTickEvery == 0) s_.Tick(now_, 0);
      Place();
    }
  }

  WaitTimes& waits(const std::string& queue) { return waits_[queue]; }
  int64_t calls(const std::string& queue) { return calls_[queue]; }
  int64_t steps(const std::string& queue) { return arrived_[queue]; }

 private:
  static constexpr Millis kStep{10};
  static constexpr Millis kValid{1500};

  struct Run {
    StartOrder start;
    TimePoint began;
    /// When its own part is done, and when the run ends.
    TimePoint own_end;
    TimePoint ends;
  };
  struct Call {
    TimePoint answered;
    AdviceOrder order;
    bool urgent_lane;
  };

  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void Arrive() {
    for (const Kind& kind : load_.kinds) {
      const double mean =
          kind.per_second * static_cast<double>(kStep.count()) / 1000;
      int count = std::poisson_distribution<int>(mean)(random_);
      while (count-- > 0) Submit(kind);
    }
  }

  void Submit(const Kind& kind) {
    wire::JobSpec spec;
    spec.id = next_++;
    spec.queue.name = kind.queue;
    spec.queue.pool = "pool";
    spec.queue.max_attempts = 2;
    spec.queue.slack_factor = 2;
    spec.queue.priority = kind.priority;
    spec.queue.advised = true;
    spec.queue.advice_base_ms = kind.advice_base;
    spec.queue.advice_each_ms = kind.advice_each;
    wire::StepSpec step;
    step.tasks = 1 + static_cast<int32_t>(Unit() * 2 * kind.tasks);
    step.millicores = kind.millicores;
    step.memory_mb = 1;
    step.estimate_ms = kind.millis;
    step.gang = kind.gang;
    spec.steps.push_back(step);
    const auto id = static_cast<JobId>(spec.id);
    submitted_at_[id] = now_;
    kind_[id] = &kind;
    ++arrived_[kind.queue];
    s_.Add(spec, now_, 0);
  }

  void EndTasks() {
    std::vector<Run> ended;
    std::erase_if(running_, [&](const Run& run) {
      if (run.ends > now_) return false;
      ended.push_back(run);
      return true;
    });
    for (const Run& run : ended) {
      Orders orders;
      s_.OnEnd(run.start.upstream,
               {.number = ++ends_,
                .task = run.start.task,
                .attempt = run.start.attempt,
                .kind = EndKind::kDone},
               now_, orders);
      BOOST_REQUIRE(orders.stops.empty());
    }
  }

  void Report() {
    std::map<UpstreamIndex, std::vector<ports::RunningTask>> lists;
    for (const Run& run : running_) {
      const std::chrono::duration<double> ran = now_ - run.began;
      const std::chrono::duration<double> whole = run.own_end - run.began;
      const int percent = static_cast<int>(100 * (ran / whole));
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

  void AnswerAdvice() {
    std::vector<Call> answered;
    std::erase_if(in_flight_, [&](const Call& call) {
      if (call.answered > now_) return false;
      answered.push_back(call);
      return true;
    });
    for (const Call& call : answered) {
      ports::Advice advice{.valid = kValid};
      const Kind& kind = *kind_.at(call.order.step.job);
      for (const std::string& name : call.order.upstreams) {
        if (Allowed(call.order.step, name, kind.allowed)) {
          advice.allowed.push_back({name, "t"});
        }
      }
      s_.OnAdvice(call.order, &advice, now_);
    }
  }

  /// Gives the same answer for a step each time it is asked.
  static bool Allowed(const StepId& step, const std::string& name,
                      double share) {
    const size_t mixed =
        std::hash<std::string>()(name + "/" + std::to_string(step.job));
    return static_cast<double>(mixed % 1000) < 1000 * share;
  }

  void Place() {
    int free = load_.lanes;
    int urgent = load_.urgent_lanes;
    for (const Call& call : in_flight_) --(call.urgent_lane ? urgent : free);
    Orders orders;
    s_.Place(now_, {.any = free, .urgent_only = urgent}, orders);
    for (const AdviceOrder& order : orders.advice) {
      ++calls_[kind_.at(order.step.job)->queue];
      const bool urgent_lane = order.priority == 0 && urgent > 0;
      if (urgent_lane) --urgent;
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
    const Kind& kind = *kind_.at(start.task.job);
    const auto submitted = submitted_at_.find(start.task.job);
    if (submitted != submitted_at_.end()) {
      const auto waited =
          std::chrono::duration_cast<Millis>(now_ - submitted->second);
      waits_[kind.queue].millis.push_back(waited.count());
      submitted_at_.erase(submitted);
    }
    const Millis own_end(static_cast<int64_t>(kind.millis * (0.5 + Unit())));
    Run run{start, now_, now_ + own_end, now_ + own_end};
    if (kind.gang) {
      for (Run& other : running_) {
        if (other.start.task.job != start.task.job) continue;
        run.ends = std::max(run.ends, other.ends);
      }
      for (Run& other : running_) {
        if (other.start.task.job == start.task.job) other.ends = run.ends;
      }
    }
    running_.push_back(run);
  }

  Load load_;
  std::mt19937_64 random_;
  Scheduler s_{SchedulerOptions{}};
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  int64_t next_ = 1;
  int64_t ends_ = 0;
  std::vector<Run> running_;
  std::vector<Call> in_flight_;
  std::map<JobId, TimePoint> submitted_at_;
  std::map<JobId, const Kind*> kind_;
  std::map<std::string, WaitTimes> waits_;
  std::map<std::string, int64_t> calls_;
  std::map<std::string, int64_t> arrived_;
};

/// A tenth of the largest deployment: renders in gangs, reports and pushes at
/// 80 % of all cores, with the correspondingly few lanes to the adviser.
Load HeavyLoad() {
  return {.upstreams = 70,
          .lanes = 6,
          .urgent_lanes = 2,
          .kinds = {{"render", 1, true, 1.2, 16, 4500, 4000, 455, 6.5, 0.25},
                    {"report", 2, false, 3.7, 20, 1700, 2200, 104, 1.43, 0.45},
                    {"push", 0, false, 22, 3, 2500, 800, 11.7, 0.17, 0.7}}};
}

}  // namespace

/// Renders and reports wait for a call to the adviser while a third of the
/// cores is idle: calls return too few upstreams, and calls of different steps
/// name the same ones. With calls sized by the mean rate, 90 of 100 renders
/// wait up to 14.3 s at 6.4 calls a step, reports 17.0 s (143 of 236 start at
/// all), pushes 40 ms. As implemented, it is 8.6 s at 2.1 calls, 0.35 s (229 of
/// 236) and 20 ms. Each bound lies between the two.
BOOST_AUTO_TEST_CASE(ScarceAdviceLeavesNoCoresIdle) {
  LoadSimulator simulator(HeavyLoad(), 7);
  simulator.Simulate(Millis(60000));
  for (const char* queue : {"push", "render", "report"}) {
    BOOST_TEST_MESSAGE(queue
                       << ": steps " << simulator.steps(queue) << ", calls "
                       << simulator.calls(queue) << ", started "
                       << simulator.waits(queue).millis.size() << ", wait p50 "
                       << simulator.waits(queue).Percentile(50) << " ms, p90 "
                       << simulator.waits(queue).Percentile(90) << " ms");
  }
  BOOST_TEST(simulator.waits("push").Percentile(90) <= 30);
  BOOST_TEST(simulator.waits("render").Percentile(90) <= 11000);
  BOOST_TEST(simulator.waits("report").Percentile(90) <= 2000);
  BOOST_TEST(simulator.waits("report").millis.size() >= 220U);
  BOOST_TEST(simulator.calls("render") <= 3 * simulator.steps("render"));
}

/// Renders in gangs, reports and pushes request more than all cores for a
/// minute. If the step nearest to its objective starts first, each render is
/// slightly late, renders that could still be in time wait behind those that
/// can't, and lateness persists: 85 of 455 renders (19 %) begin in time. If
/// renders that can still be in time go first, 261 of 484 (54 %) do. The bound
/// lies between the two.
BOOST_AUTO_TEST_CASE(MoreRendersStartInTimeUnderOverload) {
  size_t in_time = 0;
  size_t started = 0;
  int64_t asked = 0;
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    Load load = HeavyLoad();
    load.ticks = true;
    for (Kind& kind : load.kinds) kind.per_second *= 1.3;
    LoadSimulator simulator(load, seed);
    simulator.Simulate(Millis(60000));
    WaitTimes& waits = simulator.waits("render");
    // Half of the objective, which is twice the estimate, is left for waiting.
    in_time += static_cast<size_t>(
        std::count_if(waits.millis.begin(), waits.millis.end(),
                      [](int64_t millis) { return millis <= 4000; }));
    started += waits.millis.size();
    asked += simulator.steps("render");
    BOOST_TEST(simulator.waits("push").Percentile(90) <= 30);
  }
  BOOST_TEST_MESSAGE("renders: asked " << asked << ", started " << started
                                       << ", in time " << in_time);
  BOOST_TEST(3 * in_time >= static_cast<size_t>(asked));
}

}  // namespace mimosarail::scheduling
