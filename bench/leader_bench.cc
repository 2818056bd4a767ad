// Measures the cost of being the leader, without a network: complete entries
// over fakes of the platform, the upstreams and the links, under a steady load.
// Prints the processor time per task, including the fakes. Use it together with
// a profile (`perf record build/bench/leader_bench`).
// Usage: leader_bench [UPSTREAMS [SECONDS]]

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <random>

#include "tests/jobsim/job_cluster.h"

namespace mimosarail::bench {
namespace {

constexpr int kUpstreams = 540;
constexpr int kSeconds = 30;
constexpr Millis kStep{20};
constexpr int kStepsPerSecond = 50;

/// A type of job that users submit.
struct JobType {
  const char* queue;
  int32_t priority;
  bool gang;
  double per_second;
  int32_t tasks;
  int32_t millicores;
  int32_t millis;
  double advice_base_ms;
  double advice_each_ms;
};

/// Rates are for 540 upstreams with 16 cores; they scale with the number of
/// upstreams.
const std::vector<JobType> kJobTypes{
    {"render", 1, true, 7.3, 24, 4500, 5000, 455, 6.5},
    {"report", 2, false, 12.2, 22, 2800, 3400, 104, 1.43},
    {"push", 0, false, 135, 3, 3900, 640, 11.7, 0.17}};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void Submit(jobsim::JobCluster& cluster, const JobType& type, JobId id,
            std::mt19937_64& random) {
  wire::JobSpec spec =
      jobsim::OneStepJob(id, type.tasks, type.millicores, type.gang);
  spec.payload = std::string(200, 'x');
  spec.queue.name = type.queue;
  spec.queue.priority = type.priority;
  spec.queue.slack_factor = 2;
  spec.queue.advised = true;
  spec.queue.advice_base_ms = type.advice_base_ms;
  spec.queue.advice_each_ms = type.advice_each_ms;
  spec.queue.ticket_valid_ms = 1500;
  spec.steps[0].estimate_ms = type.millis;
  for (int32_t i = 0; i < type.tasks; ++i) {
    const auto run_time = static_cast<int64_t>(type.millis / 2) +
                          static_cast<int64_t>(random() % type.millis);
    cluster.upstreams().behavior({id, 0, 0, i}).run_time = Millis(run_time);
  }
  const auto names = cluster.names();
  cluster.Submit(names[random() % names.size()], spec);
}

int Run(int upstreams, int seconds) {
  jobsim::JobCluster cluster(
      {.entries = 12, .upstreams = upstreams, .millicores = 16000});
  cluster.RunFor(Millis(3000));
  std::mt19937_64 random(7);
  JobId next = 0x1000;
  int64_t tasks = 0;
  const double before = ProcessorSeconds();
  for (int step = 0; step < seconds * kStepsPerSecond; ++step) {
    for (const JobType& type : kJobTypes) {
      const double mean =
          type.per_second * upstreams / kUpstreams / kStepsPerSecond;
      int count = std::poisson_distribution<int>(mean)(random);
      for (; count > 0; --count) {
        Submit(cluster, type, next++, random);
        tasks += type.tasks;
      }
    }
    cluster.RunFor(kStep);
  }
  const double took = ProcessorSeconds() - before;
  constexpr double kMicros = 1e6;
  std::printf(
      "%d upstreams, %lld tasks in %d s: %.2f s of a core, %.0f us a "
      "task\n",
      upstreams, static_cast<long long>(tasks), seconds, took,
      kMicros * took / static_cast<double>(tasks));
  return 0;
}

}  // namespace
}  // namespace mimosarail::bench

int main(int argc, char** argv) {
  using namespace mimosarail::bench;  // NOLINT(google-build-using-namespace)
  const int upstreams = argc > 1 ? std::atoi(argv[1]) : kUpstreams;
  const int seconds = argc > 2 ? std::atoi(argv[2]) : kSeconds;
  return Run(upstreams, seconds);
}
