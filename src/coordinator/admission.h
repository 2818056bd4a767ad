#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordinator/work_rates.h"
#include "src/libs/base/enum_table.h"
#include "src/scheduling/queue_order.h"
#include "src/scheduling/waiting_work.h"

namespace mimosarail::coordinator {

/// Waiting work of one queue and account with the same place in the queue
/// order. Work is in core-milliseconds, as estimated by the callers.
struct BacklogRow {
  std::string pool;
  std::string queue;
  std::string account;
  int32_t priority = 0;
  scheduling::Timeliness timeliness = scheduling::Timeliness::kInTime;
  /// Latest start of all of this work, in ms of the steady clock.
  int64_t latest_start_ms = 0;
  double work = 0;
};

/// What an account may use.
struct AccountShare {
  /// Cores that its tasks may take at a time; 0 for no limit.
  double limit_cores = 0;
  /// Share of the capacity when all is in use; 0 for none.
  double weight = 0;
};

/// The load of all pools, as of one moment.
struct Backlog {
  std::vector<BacklogRow> rows;
  /// Cores of the upstreams of each pool.
  std::map<std::string, double> capacity;
  std::map<std::string, AccountShare> accounts;
  /// Pools in which work waits that the limits of its accounts permit to start.
  std::set<std::string> saturated;
};

/// A job that is submitted.
struct NewJob {
  std::string pool;
  std::string queue;
  std::string account;
  int32_t priority = 0;
  /// Estimated work of the tasks that may start at once, in core-milliseconds.
  double ready_work = 0;
  /// Estimated duration of its longest chain of steps.
  Millis critical_path{0};
  /// See Job::Objective().
  Millis objective{0};
  /// Latest start of its first step with which it is in time, in ms of the
  /// steady clock.
  int64_t latest_start_ms = 0;
  /// The job has set times or long-running tasks: it is never refused.
  bool exempt = false;
  /// A number that differs between jobs. It determines the place of the job's
  /// return within the spread.
  uint64_t spread_seed = 0;
};

enum class RefusalCause : uint8_t {
  kNone,
  /// The work ahead of the job takes the capacity of the pool for too long.
  kPoolBacklog,
  /// The waiting work of its own account takes the account's limit for too
  /// long.
  kAccountBacklog,
};

inline constexpr EnumTable kRefusalCauseNames{std::array{
    EnumName{RefusalCause::kNone, "none"},
    EnumName{RefusalCause::kPoolBacklog, "pool backlog"},
    EnumName{RefusalCause::kAccountBacklog, "account backlog"},
}};

/// An estimate of how long a job has to wait for its first start.
struct WaitEstimate {
  Millis expected{0};
  /// The real wait is at least this, however wrong the estimates are within
  /// kEstimateError.
  Millis at_least{0};
  /// What the job would wait for.
  RefusalCause cause = RefusalCause::kNone;
};

/// The decision about a job, with the figures that led to it.
struct AdmissionDecision {
  bool admit = true;
  RefusalCause cause = RefusalCause::kNone;
  WaitEstimate wait{};
  /// Earliest end of the job, and the end after which it has no value, both
  /// from now.
  Millis earliest_end{0};
  Millis deadline{0};
  /// Set if the job is refused.
  Millis retry_after{0};
};

/// Bounds of a Retry-After. Callers that come back at once only repeat the
/// refusal. Callers retry up to four times, so that a longer pause than the
/// upper bound would outlast most of them; the backlog may be gone by then.
inline constexpr Millis kMinRetryAfter{500};
inline constexpr Millis kMaxRetryAfter{30000};

/// Returns the waiting work of a job that is accepted. Thread-safe.
BacklogRow RowOf(const NewJob& job);

/// Whether this row is served before a new job. With QueueOrder::kDelayCost,
/// work goes by price of its priority x remaining value. Thread-safe.
bool IsAhead(const BacklogRow& row, const NewJob& job,
             scheduling::QueueOrder order, double priority_price);

/// Work of one account that is waiting for capacity.
struct AccountDemand {
  double work = 0;
  /// Cores that it can take at most; 0 for no limit.
  double limit_cores = 0;
};

/// Returns when, in ms, capacity is left over for further work, if the demands
/// are served at `rate` cores, each within its limit. A demand above its limit
/// does not delay others for longer than its share of the capacity lasts.
/// Precondition: rate > 0. Thread-safe.
double TimeUntilCapacityLeft(std::vector<AccountDemand> demands, double rate);

/// Returns how long after now a refused caller should return: `first` at the
/// earliest, spread over `window` by priority and by `seed`. Lower priority
/// numbers get the earlier part. Bounded. Thread-safe.
Millis SpreadReturn(Millis first, Millis window, int32_t priority,
                    uint64_t seed);

/// Like SpreadReturn(), but all priorities share the whole window.
Millis SpreadReturnEvenly(Millis first, Millis window, uint64_t seed);

/// Returns the window over which to spread the return of callers refused for a
/// cause that ends at an unknown time, given how many wait already.
/// Thread-safe.
Millis ReturnWindow(int64_t waiting_callers);

/// Decides which new jobs are refused because they cannot end while they have a
/// value. Uses no clock, socket or log. Not thread-safe.
class Admission {
 public:
  Admission(scheduling::QueueOrder order, double priority_price)
      : order_(order), priority_price_(priority_price) {}

  WorkRates& rates() { return rates_; }
  const WorkRates& rates() const { return rates_; }
  /// Takes over the newest figures, and the rate at which each pool has
  /// finished work since the last call.
  void SetBacklog(Backlog backlog, TimePoint now);
  const Backlog& backlog() const { return backlog_; }
  /// Adds a job that was accepted and is not in the backlog yet.
  void AddAccepted(const BacklogRow& row);

  /// Returns how long the job would wait if it were accepted now.
  WaitEstimate EstimateWait(const NewJob& job) const;

  /// Decides about a job. `has_free_capacity` returns whether a task of the job
  /// could start now; it is called only for a job that would be refused.
  AdmissionDecision Decide(const NewJob& job,
                           const std::function<bool()>& has_free_capacity,
                           TimePoint now);

  /// The queue, and the account if its own backlog is the cause.
  using RefusedKey = std::pair<std::string, std::string>;
  /// Returns those that began or ended to be refused since the last call, with
  /// whether they are refused now.
  std::vector<std::pair<RefusedKey, bool>> TakeChanges(TimePoint now);
  /// Whether jobs of the queue are refused because of the pool's backlog or,
  /// with an account, because of that account's.
  bool Refuses(const std::string& queue,
               const std::string& account = "") const {
    return refusing_.count({queue, ""}) > 0 ||
           refusing_.count({queue, account}) > 0;
  }

 private:
  /// What is derived from one row of the backlog.
  struct RowFigures {
    /// Index in shares_.
    size_t account = 0;
    double expected_work = 0;
    double least_work = 0;
  };
  /// Returns the index of the account in shares_.
  size_t IndexOf(const std::string& account);
  void AddFigures(const BacklogRow& row);
  /// Indexes of the rows in the job's pool that are served before it.
  std::vector<size_t> RowsAhead(const NewJob& job) const;
  /// A demand of each account by those of these rows that match.
  std::vector<AccountDemand> Demands(
      const std::vector<size_t>& rows, bool lower_bound,
      const std::function<bool(const BacklogRow&)>& matches) const;
  /// Wait for the pool's capacity, in ms.
  double PoolWait(const NewJob& job, const std::vector<size_t>& ahead,
                  bool lower_bound, double rate) const;
  /// Wait for the limit of the job's account, in ms.
  double AccountWait(const NewJob& job, const std::vector<size_t>& ahead,
                     bool lower_bound, double rate) const;
  /// Returns the job's share of `rate` in cores; 0 if no shares apply.
  double ShareOf(const NewJob& job, double rate) const;
  Millis RetryAfter(const NewJob& job, const AdmissionDecision& decision) const;
  /// Cores of the pool; 0 if none of its upstreams is known.
  double CapacityOf(const std::string& pool) const;

  scheduling::QueueOrder order_;
  double priority_price_;
  WorkRates rates_;
  Backlog backlog_;
  /// For each row of the backlog.
  std::vector<RowFigures> figures_;
  std::map<std::string, WorkFactors> factors_;
  /// The accounts that have rows.
  std::vector<AccountShare> shares_;
  std::map<std::string, size_t> account_indexes_;
  /// Those that are refused, with the time of the last refusal.
  std::map<RefusedKey, TimePoint> refusing_;
  std::vector<std::pair<RefusedKey, bool>> changes_;
};

}  // namespace mimosarail::coordinator
