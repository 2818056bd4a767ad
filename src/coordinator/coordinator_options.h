#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/coordinator/admission_policy.h"
#include "src/coordinator/cancel_tombstones.h"
#include "src/fleet/task_leases.h"
#include "src/scheduling/scheduler_options.h"

namespace mimosarail::coordinator {

struct CoordinatorOptions {
  /// Term of this leader.
  int64_t term = 0;
  /// Its attempt_base is derived from the term.
  scheduling::SchedulerOptions scheduler;
  AdmissionPolicy admission = AdmissionPolicy::kCapacity;
  /// Rate of each direction of this machine's link, in kilobytes per second; 0
  /// if it is unknown. Starts use only a part of it; see order_budget.h.
  int64_t link_kb_per_s = 0;
  /// Table of the store that holds the jobs.
  std::string table = "jobs";
  /// Leases of the tasks at the upstreams, as opposed to the leader lease.
  fleet::TaskLeaseOptions task_leases;
  /// An upstream counts as ended if it is not listed, has not answered for this
  /// long and has no valid lease. Before that it may be only unreachable and
  /// recover.
  Millis unresponsive_upstream_timeout{5000};
  /// Pause between reads of the list of upstreams. The list has to be read
  /// often enough that no task starts on an upstream later than 2 s after it
  /// has reported that it drains.
  Millis upstream_list_period{250};
  /// Maximum number of jobs kept in memory, including those not stored yet.
  /// Further jobs are refused. MemoryBudget limits
  /// their bytes.
  size_t max_jobs = 20000;
  /// New jobs are refused once the store has not answered an append for this
  /// long.
  Millis append_stall_timeout{400};
  /// A job that waits behind an unanswered append is refused after this, or
  /// after twice the duration of the last append if that is longer. Jobs are
  /// thus still accepted with a slow store, at about 0.4 s for each append, but
  /// not with an unresponsive one.
  Millis unsent_job_timeout{700};
  /// A caller whose job or cancellation is not confirmed as stored within this
  /// time gets the verdict kOutcomeUnknown.
  Millis reply_deadline{900};
  /// Minimum time for which the spec of a final job is kept, since upstreams
  /// may still report its tasks as running.
  Millis spec_retention{15000};
  /// Minimum time for which the state of a final job can be queried.
  Millis state_retention{150000};
  /// How long the cancellation of an unknown job is remembered: longer than a
  /// submission can be late.
  Millis tombstone_retention = kTombstoneRetention;
  /// Name under which this entry calls the platform's host API.
  std::string holder;
  /// How long a host is unavailable during its maintenance.
  Millis maintenance_duration{2000};
  /// Maximum rates of list calls and of orders that the host API accepts.
  double host_lists_per_s = 10;
  double host_orders_per_s = 10;
  /// Two leaders must not give orders to the same host within this time of each
  /// other. A new leader that finds stored orders waits this long before its
  /// first order.
  Millis host_holder_timeout{3000};
};

}  // namespace mimosarail::coordinator
