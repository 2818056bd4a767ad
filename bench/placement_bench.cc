// Compares the queue and the placement policy with baselines in the same run:
// seeded arrivals modelled on the users' loads, simulated time, and only a
// CapacityTable in place of upstreams.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "bench/arrivals.h"
#include "src/placement/policy.h"
#include "src/placement/starvation_guard.h"
#include "src/placement/wait_queue.h"

namespace mimosarail::bench {
namespace {

using placement::Amount;
using placement::CapacityIndex;
using placement::Dimension;

constexpr double kFailAfterSeconds = 0.01;
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(double seconds) {
  return kStart + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double>(seconds));
}

/// Queue order and placement policy under test.
struct Variant {
  std::string name;
  std::function<std::unique_ptr<placement::Policy>()> policy;
  /// Whether priorities, ageing, the reserve for urgent work and the starvation
  /// guard are used as in the product.
  bool product = false;
};

struct Results {
  std::map<JobKind, std::vector<double>> waits;
  /// Integral over time of the used share of the fullest dimension, and the
  /// time that it covers.
  double packed = 0;
  double packed_time = 0;
  int64_t decisions = 0;
  double decision_seconds = 0;
  int failures = 0;
  int unstarted = 0;
  int overcommits = 0;
};

/// Simulates one load with one variant. Times are in seconds.
class Simulation {
 public:
  Simulation(const Load& load, const Variant& variant, int racks, double cores,
             uint64_t seed)
      : load_(load),
        variant_(variant),
        policy_(variant.policy()),
        jobs_(MakeJobs(load, racks * 8 * cores, seed)) {
    for (int rack = 0; rack < racks; ++rack) {
      for (int i = 0; i < 8; ++i) {
        const auto millicores = static_cast<int32_t>(cores * 1000);
        const CapacityIndex upstream =
            capacity_.Add({.name = "u" + std::to_string(rack * 8 + i),
                           .rack = "r" + std::to_string(rack),
                           .failure_domain = "d" + std::to_string(rack % 3),
                           .capacity = {{millicores, millicores * 2,
                                         i == 0 ? 1 : 0, 64, 8}}});
        capacity_.SetUsable(upstream, true);
      }
    }
    const auto upstreams = static_cast<double>(capacity_.upstreams().size());
    failing_upstreams_ = static_cast<CapacityIndex>(load.failing * upstreams);
  }

  Results Run() {
    size_t next = 0;
    bool rack_outage = false;
    while (next < jobs_.size() || !running_.empty()) {
      double time = next < jobs_.size() ? jobs_[next].arrival_time : 1e18;
      if (!running_.empty()) time = std::min(time, running_.top().end_time);
      AdvanceTo(time);
      if (time > load_.seconds * 4) break;
      if (load_.rack_outage && !rack_outage && time > load_.seconds / 2) {
        rack_outage = true;
        LoseRack();
      }
      while (next < jobs_.size() && jobs_[next].arrival_time <= now_) {
        Enqueue(next++);
      }
      while (!running_.empty() && running_.top().end_time <= now_) EndNext();
      PlaceWaiting();
    }
    results_.unstarted = static_cast<int>(queue_.size());
    return results_;
  }

 private:
  struct Running {
    double end_time = 0;
    size_t job = 0;
    std::vector<CapacityIndex> upstreams;
    bool fails = false;
    uint64_t serial = 0;
    bool operator<(const Running& other) const {
      return end_time > other.end_time;
    }
  };

  void AdvanceTo(double time) {
    // Packing is measured only while jobs wait and others still arrive.
    if (queue_.size() > 0 && now_ < load_.seconds) {
      const double span = std::min(time, load_.seconds) - now_;
      const Amount free = capacity_.total_free();
      const Amount capacity = capacity_.total_capacity();
      double fullest = 0;
      for (const Dimension d :
           {Dimension::kCores, Dimension::kMemory, Dimension::kSlots}) {
        fullest =
            std::max(fullest, 1.0 - static_cast<double>(free[d]) / capacity[d]);
      }
      results_.packed += fullest * span;
      results_.packed_time += span;
    }
    now_ = time;
  }

  void Enqueue(size_t index) {
    const Job& job = jobs_[index];
    placement::QueueItem item;
    item.id = index;
    item.priority = variant_.product ? job.priority : 4;
    item.team = variant_.product ? job.team : "all";
    item.since = At(job.arrival_time);
    item.core_seconds = variant_.product
                            ? job.size[Dimension::kCores] / 1000.0 * job.tasks *
                                  job.declared_run_time
                            : 0;
    item.shape = Shape(job);
    item.large = job.tasks > 1 || job.size[Dimension::kCores] >= 8000;
    item.declared_run_time =
        Millis(static_cast<int64_t>(job.declared_run_time * 1000));
    queue_.Push(item);
  }

  static uint64_t Shape(const Job& job) {
    uint64_t shape = static_cast<uint64_t>(job.tasks) * 7 +
                     (job.kind == JobKind::kService ? 1 : 0) +
                     (job.priority == 0 ? 2 : 0);
    for (const int32_t amount : job.size.values) {
      shape = shape * 1000003 + static_cast<uint64_t>(amount);
    }
    return shape;
  }

  placement::PlacementRequest PlacementRequestOf(size_t index) const {
    const Job& job = jobs_[index];
    placement::PlacementRequest request{
        .size = job.size, .tasks = job.tasks, .now = At(now_)};
    if (variant_.product) {
      request.spread = job.kind == JobKind::kService;
      request.group = request.spread ? 1 : 0;
      request.urgent = job.priority == 0 || guard_.IsReservedFor(index);
    } else {
      request.urgent = true;  // no reserve
    }
    return request;
  }

  void PlaceWaiting() {
    if (variant_.product) guard_.BeginPass(At(now_));
    queue_.VisitInOrder(At(now_), [&](const placement::QueueItem& item) {
      if (variant_.product && !guard_.MayStart(item)) {
        return placement::VisitResult::kSkipped;
      }
      const auto before = std::chrono::steady_clock::now();
      auto upstreams = policy_->Place(capacity_, PlacementRequestOf(item.id));
      results_.decision_seconds +=
          std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                        before)
              .count();
      ++results_.decisions;
      if (upstreams.empty()) {
        if (variant_.product) guard_.NoteBlocked(item);
        return placement::VisitResult::kBlocked;
      }
      Start(item.id, std::move(upstreams));
      return placement::VisitResult::kPlaced;
    });
    if (variant_.product) guard_.EndPass();
    CheckOvercommit();
  }

  void Start(size_t index, std::vector<CapacityIndex> upstreams) {
    const Job& job = jobs_[index];
    Running running{
        .job = index, .upstreams = std::move(upstreams), .serial = ++serial_};
    running.fails = std::any_of(
        running.upstreams.begin(), running.upstreams.end(),
        [&](CapacityIndex upstream) { return upstream < failing_upstreams_; });
    running.end_time =
        now_ + (running.fails ? kFailAfterSeconds : job.run_time);
    if (!running.fails) {
      results_.waits[job.kind].push_back(now_ - job.arrival_time);
    }
    running_.push(std::move(running));
  }

  void EndNext() {
    const Running running = running_.top();
    running_.pop();
    const Job& job = jobs_[running.job];
    bool lost = false;
    for (const CapacityIndex upstream : running.upstreams) {
      if (lost_upstreams_.contains(upstream)) {
        lost = true;
        continue;
      }
      capacity_.Release(upstream, job.size,
                        PlacementRequestOf(running.job).group);
      if (running.fails && upstream < failing_upstreams_) {
        capacity_.NoteFailure(upstream, At(now_));
      }
      if (!running.fails) capacity_.NoteSuccess(upstream);
    }
    if (!running.fails || lost) return;
    ++results_.failures;
    Enqueue(running.job);
  }

  void LoseRack() {
    for (const CapacityIndex upstream :
         std::vector<CapacityIndex>(capacity_.racks()[1].upstreams)) {
      lost_upstreams_.insert(upstream);
      capacity_.SetUsable(upstream, false);
    }
  }

  void CheckOvercommit() {
    for (const placement::UpstreamCapacity& upstream : capacity_.upstreams()) {
      for (const int32_t free : upstream.free.values) {
        if (free < 0) ++results_.overcommits;
      }
    }
  }

  Load load_;
  Variant variant_;
  std::unique_ptr<placement::Policy> policy_;
  std::vector<Job> jobs_;
  placement::CapacityTable capacity_;
  placement::WaitQueue queue_;
  placement::StarvationGuard guard_;
  std::priority_queue<Running> running_;
  std::set<CapacityIndex> lost_upstreams_;
  double now_ = 0;
  CapacityIndex failing_upstreams_ = 0;
  uint64_t serial_ = 0;
  Results results_;
};

double Percentile(std::vector<double> values, double p) {
  if (values.empty()) return 0;
  const auto at =
      static_cast<size_t>(p * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

double MaxWait(const Results& results) {
  double longest = 0;
  for (const auto& [kind, waits] : results.waits) {
    longest = std::max(longest, Percentile(waits, 1.0));
  }
  return longest;
}

const char* KindName(JobKind kind) {
  switch (kind) {
    case JobKind::kUrgent:
      return "urgent";
    case JobKind::kBatch:
      return "batch";
    case JobKind::kGang:
      return "gang";
    case JobKind::kService:
      return "service";
  }
  return "?";
}

void PrintResults(const std::string& load, const std::string& name,
                  const Results& results) {
  const std::string prefix = load + "." + name + ".";
  for (const auto& [kind, waits] : results.waits) {
    for (const auto& [label, p] :
         {std::pair("p50", 0.5), std::pair("p99", 0.99),
          std::pair("max", 1.0)}) {
      std::printf("%swait_%s_%s=%.3f s\n", prefix.c_str(), KindName(kind),
                  label, Percentile(waits, p));
    }
  }
  std::printf(
      "%spacking_while_waiting=%.4f share\n", prefix.c_str(),
      results.packed_time > 0 ? results.packed / results.packed_time : 0);
  std::printf(
      "%sdecision=%.2f us\n", prefix.c_str(),
      1e6 * results.decision_seconds / static_cast<double>(results.decisions));
  std::printf("%sfailed_tries=%d tasks\n", prefix.c_str(), results.failures);
  std::printf("%snever_started=%d jobs\n", prefix.c_str(), results.unstarted);
  std::printf("%sovercommits=%d upstreams\n", prefix.c_str(),
              results.overcommits);
}

void RunLoad(const Load& load, int racks, double cores) {
  const std::vector<Variant> variants{
      {"first_fit", [] { return placement::MakeFirstFitPolicy(); }},
      {"random_fit", [] { return placement::MakeRandomFitPolicy(3); }},
      {"best_of_two", [] { return placement::MakeBestOfTwoPolicy(3); }},
      {"product", [] { return placement::MakeScoredPolicy(3); }, true}};
  double best_urgent = 1e18;
  double best_packing = 0;
  double best_max = 1e18;
  for (const Variant& variant : variants) {
    const Results results = Simulation(load, variant, racks, cores, 42).Run();
    PrintResults(load.name, variant.name, results);
    const double urgent = Percentile(results.waits.at(JobKind::kUrgent), 0.99);
    const double packing =
        results.packed_time > 0 ? results.packed / results.packed_time : 0;
    if (!variant.product) {
      best_urgent = std::min(best_urgent, urgent);
      best_packing = std::max(best_packing, packing);
      best_max = std::min(best_max, MaxWait(results));
      continue;
    }
    std::printf("%s.ratio.urgent_p99=%.3f of best baseline\n",
                load.name.c_str(),
                best_urgent > 0 ? urgent / best_urgent
                : urgent > 0    ? 999.0
                                : 1.0);
    std::printf("%s.ratio.packing=%.3f of best baseline\n", load.name.c_str(),
                best_packing > 0 ? packing / best_packing : 1);
    std::printf("%s.ratio.longest_wait=%.3f of best baseline\n",
                load.name.c_str(), MaxWait(results) / std::max(best_max, 1e-9));
  }
}

/// Measures the time of one decision with `upstreams` upstreams and `running`
/// running tasks.
void DecisionSpeed(int upstreams, int running) {
  placement::CapacityTable table;
  for (int i = 0; i < upstreams; ++i) {
    const CapacityIndex upstream =
        table.Add({.name = "u" + std::to_string(i),
                   .rack = "r" + std::to_string(i / 8),
                   .failure_domain = "d" + std::to_string(i / 8 % 16),
                   .capacity = {{32000, 65536, i % 4 == 0 ? 4 : 0, 64, 16}}});
    table.SetUsable(upstream, true);
  }
  const auto policy = placement::MakeScoredPolicy(1);
  std::mt19937_64 random(5);
  const auto make_request = [&] {
    const int32_t cores = 1 << (random() % 3);
    const bool service = random() % 5 == 0;
    return placement::PlacementRequest{
        .size = {{cores * 1000, cores * 2048, 0, 1, 1}},
        .spread = service,
        .group = service ? 1 + random() % 200 : 0,
        .urgent = true};
  };
  std::vector<std::pair<CapacityIndex, placement::PlacementRequest>> placed;
  for (int i = 0; i < running; ++i) {
    const placement::PlacementRequest request = make_request();
    for (const CapacityIndex upstream : policy->Place(table, request)) {
      placed.emplace_back(upstream, request);
    }
  }
  std::vector<double> micros;
  constexpr int kDecisions = 50000;
  for (int i = 0; i < kDecisions; ++i) {
    const size_t ended = random() % placed.size();
    table.Release(placed[ended].first, placed[ended].second.size,
                  placed[ended].second.group);
    const placement::PlacementRequest request = make_request();
    const auto before = std::chrono::steady_clock::now();
    const auto chosen = policy->Place(table, request);
    micros.push_back(std::chrono::duration<double, std::micro>(
                         std::chrono::steady_clock::now() - before)
                         .count());
    if (chosen.empty()) {
      placed[ended] = placed.back();
      placed.pop_back();
    } else {
      placed[ended] = {chosen[0], request};
    }
  }
  double sum = 0;
  for (const double m : micros) sum += m;
  const std::string prefix = "decision." + std::to_string(upstreams) + ".";
  std::printf("%srunning=%zu tasks\n", prefix.c_str(), placed.size());
  std::printf("%smean=%.2f us\n", prefix.c_str(), sum / kDecisions);
  std::printf("%sp99=%.2f us\n", prefix.c_str(), Percentile(micros, 0.99));
  std::printf("%srate=%.0f decisions/s on one core\n", prefix.c_str(),
              1e6 * kDecisions / sum);
}

}  // namespace
}  // namespace mimosarail::bench

int main() {
  using mimosarail::bench::Load;
  for (const Load& load : std::vector<Load>{
           {.name = "mixed_70", .utilisation = 0.7},
           {.name = "mixed_90", .utilisation = 0.9},
           {.name = "mixed_110", .utilisation = 1.1},
           {.name = "push_burst", .utilisation = 0.9, .burst = true},
           {.name = "overnight", .utilisation = 0.9, .overnight = true},
           {.name = "gangs", .utilisation = 0.95, .gang_share = 0.3},
           {.name = "wrong_sizes", .utilisation = 0.9, .declared_spread = 5},
           {.name = "failing_10", .utilisation = 0.8, .failing = 0.1},
           {.name = "rack_lost", .utilisation = 0.8, .rack_outage = true}}) {
    mimosarail::bench::RunLoad(load, 6, 16);
  }
  mimosarail::bench::RunLoad({.name = "dalmatia_110", .utilisation = 1.1}, 6,
                             32);
  mimosarail::bench::DecisionSpeed(48, 400);
  mimosarail::bench::DecisionSpeed(480, 4400);
  mimosarail::bench::DecisionSpeed(3400, 31000);
  return 0;
}
