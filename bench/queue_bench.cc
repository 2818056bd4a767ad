// Cost of a placement pass with many waiting steps: upstreams are nearly full,
// the queue begins with tasks that have no room anywhere and with gangs.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

constexpr int kUpstreams = 350;
constexpr int kPasses = 400;
constexpr int kAccounts = 20;

wire::JobSpec SpecOf(int64_t id, std::mt19937_64& random) {
  const auto below = [&](int n) { return static_cast<int>(random() % n); };
  wire::JobSpec spec;
  spec.id = id;
  spec.account = "account-" + std::to_string(below(kAccounts));
  spec.queue.pool = "pool";
  spec.queue.max_attempts = 2;
  wire::StepSpec step;
  const int kind = below(100);
  spec.queue.priority = kind < 4 ? 1 : 2;
  spec.queue.name = kind < 4 ? "ensemble-reprocess" : "rain-blend";
  spec.queue.slack_factor = 1000;
  step.gang = kind < 4;
  step.tasks = step.gang ? 20 : 25;
  step.millicores = step.gang ? 13500 + below(9000) : 5200 + below(3400);
  step.memory_mb = 4 * step.millicores;
  step.estimate_ms = 1000 + below(9000);
  spec.steps.push_back(step);
  return spec;
}

/// Returns the mean duration of a pass in microseconds.
double MeasurePass(QueueOrder order, int steps, uint64_t& order_hash) {
  std::mt19937_64 random(7);
  Scheduler scheduler({.queue_order = order});
  std::vector<ports::AccountConfig> accounts;
  for (int i = 0; i < kAccounts; ++i) {
    accounts.push_back(
        {.name = "account-" + std::to_string(i), .weight = 1.0 + i % 4});
  }
  scheduler.SetAccounts(accounts);
  for (int i = 0; i < kUpstreams; ++i) {
    ports::UpstreamEntry entry;
    entry.id = "up-" + std::to_string(i);
    entry.pool = "pool";
    entry.capacity = {.millicores = 64000, .memory_mb = 256000};
    scheduler.pool().at(scheduler.pool().Update(entry)).reachable = true;
  }
  Orders orders;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  scheduler.ResolveAll(now, orders);
  int64_t id = 1;
  std::vector<StartOrder> running;
  const auto place = [&] {
    Orders out;
    scheduler.Place(now, {}, out);
    for (const StartOrder& start : out.starts) {
      order_hash = order_hash * 1099511628211U +
                   uint64_t{start.upstream} * 31U +
                   static_cast<uint64_t>(start.task.job) * 7U +
                   static_cast<uint64_t>(start.task.index);
      Orders none;
      scheduler.OnStartReply(start, ports::CallVerdict::kDone, now, none);
      running.push_back(start);
    }
  };
  while (running.size() < 3000 && id < 2000) {
    scheduler.Add(SpecOf(id++, random), now, 0);
    place();
  }
  while (scheduler.waiting_steps() < steps) {
    scheduler.Add(SpecOf(id++, random), now, 0);
  }
  std::chrono::duration<double, std::micro> spent{};
  for (int pass = 0; pass < kPasses; ++pass) {
    now += Millis(2);
    // About 1,700 tasks end in a second.
    for (int n = 0; n < 3 && !running.empty(); ++n) {
      const size_t index = random() % running.size();
      Orders none;
      scheduler.OnEnd(running[index].upstream,
                      {.number = pass * 3 + n + 1,
                       .task = running[index].task,
                       .attempt = running[index].attempt,
                       .kind = ports::EndKind::kDone},
                      now, none);
      running[index] = running.back();
      running.pop_back();
    }
    if (pass % 25 == 0) scheduler.Tick(now, 0);
    const auto begin = std::chrono::steady_clock::now();
    place();
    spent += std::chrono::steady_clock::now() - begin;
  }
  return spent.count() / kPasses;
}

int Main() {
  for (const QueueOrder order :
       {QueueOrder::kPriority, QueueOrder::kDelayCost}) {
    for (const int steps : {300, 1000, 3000, 10000}) {
      uint64_t hash = 0;
      const double micros = MeasurePass(order, steps, hash);
      std::cout << kQueueOrderNames.Name(order) << ": " << steps
                << " waiting steps, " << static_cast<int>(micros)
                << " us a pass, starts " << std::hex << hash << std::dec
                << "\n";
    }
  }
  return 0;
}

}  // namespace
}  // namespace mimosarail::scheduling

int main() { return mimosarail::scheduling::Main(); }
