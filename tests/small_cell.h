#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {

/// A scheduler with few upstreams, without advice; time passes only by
/// Advance(). Not thread-safe.
class SmallCell {
 public:
  explicit SmallCell(QueueOrder order, int upstreams = 2)
      : order_(order), upstreams_(upstreams) {
    ReplaceScheduler();
    ResolveAll();
  }

  /// Continues with a new scheduler, which knows the jobs, and not what runs.
  void ReplaceScheduler() {
    scheduler_ =
        std::make_unique<Scheduler>(SchedulerOptions{.queue_order = order_});
    for (int i = 0; i < upstreams_; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {.millicores = 64000, .memory_mb = 256000};
      scheduler().pool().at(scheduler().pool().Update(entry)).reachable = true;
    }
    for (const wire::JobSpec& spec : specs_) {
      scheduler().Load(spec, {}, now_, 0);
    }
  }

  /// Reports to the scheduler what runs on all upstreams.
  void ReportRunning() {
    std::map<UpstreamIndex, std::vector<ports::RunningTask>> lists;
    for (const StartOrder& run : running_) {
      lists[run.upstream].push_back(
          {.task = run.task, .attempt = run.attempt, .percent = 1});
    }
    Orders orders;
    for (const auto& [upstream, list] : lists) {
      scheduler().OnRunning(upstream, list, now_, orders);
    }
    BOOST_TEST(orders.stops.empty());
  }

  void ResolveAll() {
    Orders orders;
    scheduler().ResolveAll(now_, orders);
    BOOST_TEST(orders.stops.empty());
  }

  struct JobOptions {
    int32_t priority = 1;
    int32_t tasks = 1;
    int32_t millicores = 1000;
    int64_t estimate_ms = 10000;
    bool gang = false;
    double slack_factor = 1000;
    std::string account{};
  };

  JobId Add(const JobOptions& options) {
    wire::JobSpec spec;
    spec.id = next_job_++;
    spec.account = options.account;
    spec.queue.name = "q" + std::to_string(options.priority);
    spec.queue.pool = "pool";
    spec.queue.priority = options.priority;
    spec.queue.max_attempts = 1;
    spec.queue.slack_factor = options.slack_factor;
    wire::StepSpec step;
    step.tasks = options.tasks;
    step.millicores = options.millicores;
    step.memory_mb = 1;
    step.estimate_ms = options.estimate_ms;
    step.gang = options.gang;
    spec.steps.push_back(step);
    scheduler().Add(spec, now_, 0);
    specs_.push_back(spec);
    return static_cast<JobId>(spec.id);
  }

  /// Makes one pass; returns the jobs whose tasks start, in order.
  std::vector<JobId> Place() {
    scheduler().Tick(now_, 0);
    Orders orders;
    scheduler().Place(now_, {}, orders);
    std::vector<JobId> out;
    for (const StartOrder& start : orders.starts) {
      Orders none;
      scheduler().OnStartReply(start, ports::CallVerdict::kDone, now_, none);
      out.push_back(start.task.job);
      running_.push_back(start);
    }
    return out;
  }

  /// Ends all runs of the job.
  void End(JobId job) {
    std::erase_if(running_, [&](const StartOrder& run) {
      if (run.task.job != job) return false;
      Orders none;
      scheduler().OnEnd(run.upstream,
                        {.number = ++ends_,
                         .task = run.task,
                         .attempt = run.attempt,
                         .kind = ports::EndKind::kDone},
                        now_, none);
      return true;
    });
  }

  void Advance(Millis span) { now_ += span; }
  Scheduler& scheduler() { return *scheduler_; }

 private:
  const QueueOrder order_;
  const int upstreams_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<wire::JobSpec> specs_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  int64_t next_job_ = 1;
  int64_t ends_ = 0;
  std::vector<StartOrder> running_;
};

}  // namespace mimosarail::scheduling
