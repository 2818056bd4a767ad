#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "src/placement/amount.h"
#include "src/placement/wait_queue.h"

namespace mimosarail::bench {

/// Kinds of jobs that users submit.
enum class JobKind { kUrgent, kBatch, kGang, kService };

struct Job {
  JobKind kind = JobKind::kBatch;
  placement::Amount size;
  int tasks = 1;
  int priority = 4;
  double arrival_time = 0;       ///< Seconds.
  double run_time = 0;           ///< Seconds, actual.
  double declared_run_time = 0;  ///< Seconds, as the caller declares.
  std::string team;
  bool repeatable = true;
};

/// Parameters of a load modelled on that of a user.
struct Load {
  std::string name;
  double utilisation = 0.9;  ///< Offered core-seconds / capacity.
  double seconds = 3600;
  /// Declared run times are 0.3 to this many times the actual ones if this is
  /// above 1, else exact.
  double declared_spread = 1;
  bool burst = false;        ///< 400 urgent jobs within 0.5 s, halfway.
  bool overnight = false;    ///< Half of the batch jobs in one minute.
  double gang_share = 0.1;   ///< Share of gangs in the core-seconds.
  double failing = 0;        ///< Share of upstreams that fail all tasks.
  bool rack_outage = false;  ///< One rack is lost halfway.
};

/// Generates the jobs of a load on `cores` cores, in order of arrival. The same
/// seed gives the same jobs.
inline std::vector<Job> MakeJobs(const Load& load, double cores,
                                 uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto uniform = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  std::vector<Job> jobs;
  const double target = load.utilisation * cores * load.seconds;
  double offered = 0;
  while (offered < target) {
    Job job;
    const double pick = uniform(0, 1);
    job.arrival_time = uniform(0, load.seconds);
    if (pick < 0.5) {
      job.kind = JobKind::kUrgent;
      job.size = {{500, 256, 0, 1, 1}};
      job.run_time = uniform(0.2, 3);
      job.priority = 0;
      job.team = "field";
      job.repeatable = false;
    } else if (pick < 0.5 + 0.06 * load.gang_share / 0.1) {
      job.kind = JobKind::kGang;
      job.tasks = 4 + static_cast<int>(random() % 13);
      job.size = {{4000, 6000, 0, 1, 1}};
      job.run_time = uniform(30, 120);
      job.priority = 3;
      job.team = "studio";
    } else if (pick < 0.6) {
      job.kind = JobKind::kService;
      job.size = {{1000, 2000, 0, 4, 1}};
      job.run_time = uniform(300, 900);
      job.priority = 2;
      job.team = "portal";
    } else {
      job.kind = JobKind::kBatch;
      const int cores_each = 1 << (random() % 4);
      const int gb_per_core = 1 + static_cast<int>(random() % 3);
      job.size = {
          {cores_each * 1000, cores_each * gb_per_core * 1024, 0, 1, 1}};
      if (random() % 50 == 0) job.size[placement::Dimension::kAccelerators] = 1;
      job.run_time = uniform(10, 180);
      job.priority = 4 + static_cast<int>(random() % 3);
      job.team = "batch-" + std::to_string(random() % 6);
      if (load.overnight && random() % 2 == 0) {
        job.arrival_time = uniform(0, 60);
      }
    }
    job.declared_run_time = job.run_time;
    if (load.declared_spread > 1) {
      job.declared_run_time *= uniform(0.3, load.declared_spread);
    }
    offered += job.size[placement::Dimension::kCores] / 1000.0 * job.tasks *
               job.run_time;
    jobs.push_back(job);
  }
  if (load.burst) {
    for (int i = 0; i < 400; ++i) {
      Job job;
      job.kind = JobKind::kUrgent;
      job.size = {{500, 256, 0, 1, 1}};
      job.run_time = uniform(0.2, 1);
      job.declared_run_time = job.run_time;
      job.arrival_time = load.seconds / 2 + uniform(0, 0.5);
      job.priority = 0;
      job.team = "field";
      job.repeatable = false;
      jobs.push_back(job);
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const Job& a, const Job& b) {
    return a.arrival_time < b.arrival_time;
  });
  return jobs;
}

}  // namespace mimosarail::bench
