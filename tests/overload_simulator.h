#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {

/// A queue with the mean values of its jobs.
struct OverloadQueue {
  std::string name;
  int32_t priority = 0;
  double gang_fraction = 0;
  double jobs_per_second = 0;
  double rate = 1;
  int32_t tasks = 1;
  int32_t run_time_ms = 0;
  int32_t millicores = 0;
  int32_t memory_mb = 0;
  double slack_factor = 1;
  int64_t target_ms = 0;
};

struct OverloadAccount {
  std::string name;
  /// Its part of the usual load, and its weight.
  double part = 0;
  /// Its limit, as a multiple of its usual use; 0 for none.
  double limit_factor = 0;
};

struct OverloadOptions {
  SchedulerOptions scheduler;
  uint64_t seed = 1;
  int upstreams = 20;
  std::vector<OverloadQueue> queues;
  std::vector<OverloadAccount> accounts;
  /// Estimates of callers are wrong by up to this factor, in either direction.
  double estimate_error = 2.5;
  /// This fraction of the jobs has twice as many tasks.
  double large_fraction = 0.05;
};

/// Mean value of jobs: 1 for each that ends within its objective, 0.2 up to
/// three times of it, and 0 later.
struct MeanValue {
  double sum = 0;
  int64_t jobs = 0;
  double mean() const {
    return jobs == 0 ? 1 : sum / static_cast<double>(jobs);
  }
};

/// Replays arrivals of jobs on a Scheduler, without advice and faults, and
/// records the value of each job to its caller. Checks at each instant that no
/// upstream is overcommitted and no account exceeds its limit. Not thread-safe.
class OverloadSimulator {
 public:
  explicit OverloadSimulator(OverloadOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    double usual_millicores = 0;
    double usual_memory_mb = 0;
    for (const OverloadQueue& queue : options_.queues) {
      const double tasks =
          queue.jobs_per_second * queue.tasks * queue.run_time_ms / 1000;
      usual_millicores += tasks * queue.millicores;
      usual_memory_mb += tasks * queue.memory_mb;
    }
    for (const OverloadAccount& account : options_.accounts) {
      const double limit = account.limit_factor * account.part;
      configs_.push_back(
          {.name = account.name,
           .weight = account.part,
           .limit = {.millicores = std::llround(limit * usual_millicores),
                     .memory_mb = std::llround(limit * usual_memory_mb)}});
      rates_.push_back(1);
    }
    StartScheduler();
    Orders none;
    scheduler_->ResolveAll(now_, none);
  }

  /// Sets how many times its usual load an account sends.
  void SetRate(size_t account, double factor) { rates_[account] = factor; }
  /// Sets how many times its usual load arrives for a queue.
  void SetQueueRate(size_t queue, double factor) {
    options_.queues[queue].rate = factor;
  }
  /// Whether the jobs that arrive from now on count in the values.
  void SetCounted(bool counted) { counted_ = counted; }

  void Simulate(Millis span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      now_ += kStep;
      Arrive();
      EndRuns();
      if (++steps_ % kTickEvery == 0) scheduler_->Tick(now_, 0);
      Place();
    }
  }

  /// No further job arrives until all are done. Fails if that takes more than
  /// 20 minutes.
  void Drain() {
    std::fill(rates_.begin(), rates_.end(), 0);
    const TimePoint deadline = now_ + std::chrono::minutes(20);
    while (!open_.empty() && now_ < deadline) Simulate(Millis(1000));
    BOOST_TEST(open_.empty());
  }

  /// Replaces the scheduler by a new one, which learns from reports of the
  /// upstreams what runs.
  void ReplaceScheduler() {
    const std::unique_ptr<Scheduler> old = std::move(scheduler_);
    options_.scheduler.attempt_base += 1000;
    StartScheduler();
    for (const auto& [id, open] : open_) {
      scheduler_->Load(open.spec, old->Find(id)->Progress(), now_, 0);
    }
    Place();
    BOOST_TEST(starts_in_last_pass_ == 0);
    std::map<UpstreamIndex, std::vector<ports::RunningTask>> lists;
    for (const Run& run : running_) {
      lists[run.start.upstream].push_back(
          {.task = run.start.task, .attempt = run.start.attempt, .percent = 1});
    }
    Orders orders;
    for (const auto& [upstream, list] : lists) {
      scheduler_->OnRunning(upstream, list, now_, orders);
    }
    BOOST_TEST(orders.stops.empty());
    scheduler_->ResolveAll(now_, orders);
  }

  /// The mean value of the counted jobs of one queue; of some accounts if any
  /// are named. 1 if there are none.
  double Value(const std::string& queue,
               const std::set<std::string>& accounts = {}) const {
    MeanValue mean;
    for (const auto& [key, value] : values_) {
      if (key.first != queue) continue;
      if (!accounts.empty() && accounts.count(key.second) == 0) continue;
      mean.sum += value.sum;
      mean.jobs += value.jobs;
    }
    return mean.mean();
  }
  /// The mean of Value() over all queues.
  double ValueOfAll(const std::set<std::string>& accounts = {}) const {
    double sum = 0;
    for (const OverloadQueue& queue : options_.queues) {
      sum += Value(queue.name, accounts);
    }
    return sum / static_cast<double>(options_.queues.size());
  }

  /// The load of the account, as the scheduler reports it.
  AccountLoad LoadOf(const std::string& account) const {
    for (const AccountLoad& load : scheduler_->AccountLoads()) {
      if (load.name == account) return load;
    }
    return {};
  }
  /// What the tasks of the account take.
  int64_t MillicoresOf(const std::string& account) const {
    const auto found = used_.find(account);
    return found == used_.end() ? 0 : found->second;
  }
  /// The longest wait of a job of the queue for its first start.
  Millis LongestWait(const std::string& queue) const {
    const auto found = longest_wait_.find(queue);
    return found == longest_wait_.end() ? Millis(0) : found->second;
  }

 private:
  static constexpr Millis kStep{20};
  static constexpr int kTickEvery = 5;
  static constexpr int64_t kMillicores = 64000;

  struct OpenJob {
    wire::JobSpec spec;
    const OverloadQueue* queue = nullptr;
    TimePoint accepted_at;
    Millis run_time{0};
    bool counted = false;
    bool started = false;
  };
  struct Run {
    StartOrder start;
    TimePoint end;
    int64_t millicores = 0;
    std::string account;
  };

  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void StartScheduler() {
    scheduler_ = std::make_unique<Scheduler>(options_.scheduler);
    if (!configs_.empty()) scheduler_->SetAccounts(configs_);
    for (int i = 0; i < options_.upstreams; ++i) {
      ports::UpstreamEntry entry;
      entry.id = "up-" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {.millicores = kMillicores, .memory_mb = 256000};
      scheduler_->pool().at(scheduler_->pool().Update(entry)).reachable = true;
    }
  }

  void Arrive() {
    for (const OverloadQueue& queue : options_.queues) {
      for (size_t i = 0; i < options_.accounts.size(); ++i) {
        const double mean = rates_[i] * options_.accounts[i].part * queue.rate *
                            queue.jobs_per_second *
                            static_cast<double>(kStep.count()) / 1000;
        if (mean <= 0) continue;
        int count = std::poisson_distribution<int>(mean)(random_);
        while (count-- > 0) Submit(queue, options_.accounts[i].name);
      }
    }
  }

  void Submit(const OverloadQueue& queue, const std::string& account) {
    OpenJob open{.queue = &queue, .accepted_at = now_, .counted = counted_};
    open.run_time = Millis(static_cast<int64_t>(
        queue.run_time_ms * (0.6 + 0.8 * RandomFraction())));
    const double error =
        std::pow(options_.estimate_error, 2 * RandomFraction() - 1);
    wire::JobSpec& spec = open.spec;
    spec.id = next_job_++;
    spec.account = account;
    spec.queue.name = queue.name;
    spec.queue.pool = "pool";
    spec.queue.max_attempts = 3;
    spec.queue.priority = queue.priority;
    spec.queue.slack_factor = queue.slack_factor;
    spec.queue.target_ms = queue.target_ms;
    wire::StepSpec step;
    step.tasks = queue.tasks;
    if (RandomFraction() < options_.large_fraction) step.tasks *= 2;
    step.millicores =
        static_cast<int32_t>(queue.millicores * (0.75 + RandomFraction() / 2));
    step.memory_mb =
        static_cast<int32_t>(queue.memory_mb * (0.75 + RandomFraction() / 2));
    step.estimate_ms = static_cast<int64_t>(
        error * static_cast<double>(open.run_time.count()));
    step.gang = RandomFraction() < queue.gang_fraction;
    spec.steps.push_back(step);
    scheduler_->Add(spec, now_, 0);
    open_.emplace(static_cast<JobId>(spec.id), std::move(open));
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
      scheduler_->OnEnd(run.start.upstream,
                        {.number = ++reported_ends_,
                         .task = run.start.task,
                         .attempt = run.start.attempt,
                         .kind = ports::EndKind::kDone},
                        now_, orders);
      BOOST_REQUIRE(orders.stops.empty());
      used_[run.account] -= run.millicores;
    }
    for (const Run& run : ended) {
      const auto open = open_.find(run.start.task.job);
      const Job* job = scheduler_->Find(run.start.task.job);
      if (open == open_.end() || job == nullptr || !job->final()) continue;
      CountValue(open->second);
      open_.erase(open);
    }
  }

  void CountValue(const OpenJob& open) {
    if (!open.counted) return;
    const auto objective = std::chrono::duration<double, std::milli>(
        open.queue->slack_factor * static_cast<double>(open.run_time.count()) +
        static_cast<double>(open.queue->target_ms));
    const auto taken = now_ - open.accepted_at;
    MeanValue& value = values_[{open.queue->name, open.spec.account}];
    ++value.jobs;
    if (taken <= objective) {
      value.sum += 1;
    } else if (taken <= 3 * objective) {
      value.sum += 0.2;
    }
  }

  void Place() {
    Orders orders;
    scheduler_->Place(now_, {}, orders);
    starts_in_last_pass_ = orders.starts.size();
    for (const StartOrder& start : orders.starts) Start(start);
    for (const UpstreamIndex upstream : scheduler_->pool().all()) {
      const Amount& free = scheduler_->pool().at(upstream).free;
      BOOST_REQUIRE(free[Dimension::kCores] >= 0);
      BOOST_REQUIRE(free[Dimension::kMemory] >= 0);
    }
    for (const ports::AccountConfig& account : configs_) {
      if (account.limit.millicores == 0) continue;
      BOOST_REQUIRE(MillicoresOf(account.name) <= account.limit.millicores);
    }
  }

  void Start(const StartOrder& start) {
    Orders none;
    scheduler_->OnStartReply(start, ports::CallVerdict::kDone, now_, none);
    OpenJob& open = open_.at(start.task.job);
    if (!open.started) {
      Millis& longest = longest_wait_[open.queue->name];
      longest = std::max(
          longest, std::chrono::duration_cast<Millis>(now_ - open.accepted_at));
    }
    open.started = true;
    const wire::StepSpec& step = open.spec.steps[0];
    running_.push_back(
        {start, now_ + open.run_time, step.millicores, open.spec.account});
    used_[open.spec.account] += step.millicores;
  }

  OverloadOptions options_;
  std::mt19937_64 random_;
  std::vector<ports::AccountConfig> configs_;
  std::vector<double> rates_;
  std::unique_ptr<Scheduler> scheduler_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  bool counted_ = false;
  int64_t next_job_ = 1;
  int64_t reported_ends_ = 0;
  int64_t steps_ = 0;
  size_t starts_in_last_pass_ = 0;
  std::map<JobId, OpenJob> open_;
  std::vector<Run> running_;
  std::map<std::string, int64_t> used_;
  std::map<std::pair<std::string, std::string>, MeanValue> values_;
  std::map<std::string, Millis> longest_wait_;
};

}  // namespace mimosarail::scheduling
