#include "src/coordinator/admission.h"

#include <algorithm>
#include <utility>

namespace mimosarail::coordinator {
namespace {

using scheduling::kWorthlessMultiple;
using scheduling::QueueOrder;
using scheduling::Timeliness;
using scheduling::ValueBand;

/// A queue that is not refused begins to be refused when the earliest end of a
/// job exceeds its deadline by this factor. From then on, all jobs beyond their
/// deadline are refused, so that a backlog near the limit does not change the
/// answer from one job to the next. Both conditions are on the safe side.
constexpr double kBeginFactor = 1.1;
/// A queue of which no job was refused for this long is not refused any more.
constexpr Millis kEndAfter{1000};
/// Number of parts into which the spread of returns is divided, one for each
/// priority. Lower priorities share the last part.
constexpr int32_t kPriorityParts = 3;
/// Without a known end of the cause, each waiting caller widens the window of
/// returns by this: 200 returns a second, of which a leader with a small link
/// can answer each.
constexpr Millis kWindowPerCaller{5};
constexpr Millis kMaxWindow{10000};

double ToMs(Clock::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

Millis FromMs(double ms) {
  // Far beyond every bound, and far below the range of the clock.
  constexpr double kMaxMs = 1e9;
  return Millis(static_cast<int64_t>(std::clamp(ms, 0.0, kMaxMs)));
}

ValueBand BandOf(int32_t priority, Timeliness timeliness, QueueOrder order,
                 double priority_price) {
  return order == QueueOrder::kDelayCost
             ? scheduling::DelayCostBand(priority, timeliness, priority_price)
             : scheduling::PriorityBand(priority, timeliness);
}

double SumOf(const std::vector<AccountDemand>& demands) {
  double sum = 0;
  for (const AccountDemand& demand : demands) sum += demand.work;
  return sum;
}

/// Maps a seed to [0, 1). The finalizer of MurmurHash3 mixes seeds that differ
/// in few bits.
double ToFraction(uint64_t seed) {
  seed ^= seed >> 33U;
  seed *= 0xff51afd7ed558ccdULL;
  seed ^= seed >> 33U;
  seed *= 0xc4ceb9fe1a85ec53ULL;
  seed ^= seed >> 33U;
  constexpr double kTwoTo53 = 9007199254740992.0;
  return static_cast<double>(seed >> 11U) / kTwoTo53;
}

/// Returns the time at `place`, in [0, 1), of the window, within the bounds.
Millis PlaceReturn(Millis first, Millis window, double place) {
  const Millis begin = std::clamp(first, kMinRetryAfter, kMaxRetryAfter);
  // A window that the upper bound cuts off would collect returns at the bound.
  const Millis span = std::clamp(window, Millis(0),
                                 kMaxRetryAfter - begin / 2 - kMinRetryAfter);
  const Millis from = std::min(begin, kMaxRetryAfter - span);
  return from + FromMs(ToMs(span) * place);
}

}  // namespace

BacklogRow RowOf(const NewJob& job) {
  return {.pool = job.pool,
          .queue = job.queue,
          .account = job.account,
          .priority = job.priority,
          .latest_start_ms = job.latest_start_ms,
          .work = job.ready_work};
}

bool IsAhead(const BacklogRow& row, const NewJob& job, QueueOrder order,
             double priority_price) {
  const ValueBand of_row =
      BandOf(row.priority, row.timeliness, order, priority_price);
  const ValueBand of_job =
      BandOf(job.priority, Timeliness::kInTime, order, priority_price);
  if (of_row != of_job) return of_row < of_job;
  return row.latest_start_ms <= job.latest_start_ms;
}

double TimeUntilCapacityLeft(std::vector<AccountDemand> demands, double rate) {
  const auto duration = [](const AccountDemand& demand) {
    return demand.limit_cores <= 0 ? 0 : demand.work / demand.limit_cores;
  };
  std::sort(demands.begin(), demands.end(), [&](const auto& a, const auto& b) {
    return duration(a) < duration(b);
  });
  // The demands that are not worked off yet take their limits. Those worked off
  // have taken their work.
  double open_limits = 0;
  double closed_work = 0;
  for (const AccountDemand& demand : demands) {
    if (demand.limit_cores > 0) {
      open_limits += demand.limit_cores;
    } else {
      closed_work += demand.work;
    }
  }
  if (closed_work <= 0 && open_limits < rate) return 0;
  for (size_t i = 0; i <= demands.size(); ++i) {
    if (open_limits < rate) {
      const double time = closed_work / (rate - open_limits);
      if (i == demands.size() || time <= duration(demands[i])) return time;
    }
    if (i == demands.size() || demands[i].limit_cores <= 0) continue;
    open_limits -= demands[i].limit_cores;
    closed_work += demands[i].work;
  }
  return closed_work / rate;
}

Millis SpreadReturn(Millis first, Millis window, int32_t priority,
                    uint64_t seed) {
  const int32_t part = std::clamp(priority, 0, kPriorityParts - 1);
  return PlaceReturn(first, window, (part + ToFraction(seed)) / kPriorityParts);
}

Millis SpreadReturnEvenly(Millis first, Millis window, uint64_t seed) {
  return PlaceReturn(first, window, ToFraction(seed));
}

Millis ReturnWindow(int64_t waiting_callers) {
  return std::clamp(kWindowPerCaller * std::max<int64_t>(0, waiting_callers),
                    kMinRetryAfter, kMaxWindow);
}

void Admission::SetBacklog(Backlog backlog, TimePoint now) {
  backlog_ = std::move(backlog);
  for (const auto& [pool, cores] : backlog_.capacity) {
    rates_.Update(pool, backlog_.saturated.count(pool) > 0, now);
  }
  factors_.clear();
  shares_.clear();
  account_indexes_.clear();
  figures_.clear();
  for (const BacklogRow& row : backlog_.rows) AddFigures(row);
}

void Admission::AddAccepted(const BacklogRow& row) {
  backlog_.rows.push_back(row);
  AddFigures(row);
}

size_t Admission::IndexOf(const std::string& account) {
  const auto [found, added] =
      account_indexes_.try_emplace(account, shares_.size());
  if (added) {
    const auto share = backlog_.accounts.find(account);
    shares_.push_back(share == backlog_.accounts.end() ? AccountShare{}
                                                       : share->second);
  }
  return found->second;
}

void Admission::AddFigures(const BacklogRow& row) {
  const auto [factors, added] = factors_.try_emplace(row.queue);
  if (added) factors->second = rates_.FactorsOf(row.queue);
  figures_.push_back({.account = IndexOf(row.account),
                      .expected_work = row.work * factors->second.expected,
                      .least_work = row.work * factors->second.at_least});
}

double Admission::CapacityOf(const std::string& pool) const {
  const auto found = backlog_.capacity.find(pool);
  return found == backlog_.capacity.end() ? 0 : found->second;
}

std::vector<size_t> Admission::RowsAhead(const NewJob& job) const {
  std::vector<size_t> out;
  for (size_t i = 0; i < backlog_.rows.size(); ++i) {
    const BacklogRow& row = backlog_.rows[i];
    if (row.pool == job.pool && IsAhead(row, job, order_, priority_price_)) {
      out.push_back(i);
    }
  }
  return out;
}

std::vector<AccountDemand> Admission::Demands(
    const std::vector<size_t>& rows, bool lower_bound,
    const std::function<bool(const BacklogRow&)>& matches) const {
  std::vector<AccountDemand> out(shares_.size());
  for (const size_t i : rows) {
    if (!matches(backlog_.rows[i])) continue;
    const RowFigures& figures = figures_[i];
    out[figures.account].work +=
        lower_bound ? figures.least_work : figures.expected_work;
  }
  for (size_t i = 0; i < out.size(); ++i) {
    out[i].limit_cores = shares_[i].limit_cores;
  }
  std::erase_if(out, [](const auto& demand) { return demand.work <= 0; });
  return out;
}

double Admission::ShareOf(const NewJob& job, double rate) const {
  if (order_ != QueueOrder::kDelayCost) return 0;
  const auto own = backlog_.accounts.find(job.account);
  if (own == backlog_.accounts.end() || own->second.weight <= 0) return 0;
  double weights =
      account_indexes_.count(job.account) > 0 ? 0 : own->second.weight;
  for (const AccountShare& share : shares_) weights += share.weight;
  return rate * own->second.weight / weights;
}

double Admission::PoolWait(const NewJob& job, const std::vector<size_t>& ahead,
                           bool lower_bound, double rate) const {
  const double all = TimeUntilCapacityLeft(
      Demands(ahead, lower_bound, [](const BacklogRow&) { return true; }),
      rate);
  const double share = ShareOf(job, rate);
  if (share <= 0 || all <= 0) return all;
  // Accounts above their share are served after the others among work of the
  // same value, so that the job waits at most for work of higher value, and
  // for its own account's work at its share.
  const double own =
      SumOf(Demands(ahead, lower_bound, [&](const BacklogRow& row) {
        return row.account == job.account && row.priority == job.priority;
      }));
  const std::vector<AccountDemand> higher = Demands(
      ahead, lower_bound,
      [&](const BacklogRow& row) { return row.priority != job.priority; });
  return std::min(all, TimeUntilCapacityLeft(higher, rate) + own / share);
}

double Admission::AccountWait(const NewJob& job,
                              const std::vector<size_t>& ahead,
                              bool lower_bound, double rate) const {
  const auto share = backlog_.accounts.find(job.account);
  if (share == backlog_.accounts.end()) return 0;
  const double limit = share->second.limit_cores;
  if (limit <= 0) return 0;
  const double work =
      SumOf(Demands(ahead, lower_bound, [&](const BacklogRow& row) {
        return row.account == job.account;
      }));
  return work / std::min(limit, rate);
}

WaitEstimate Admission::EstimateWait(const NewJob& job) const {
  const double capacity = CapacityOf(job.pool);
  if (capacity <= 0) return {};
  const std::vector<size_t> ahead = RowsAhead(job);
  if (ahead.empty()) return {};
  const double rate = rates_.Rate(job.pool, capacity);
  const double pool = PoolWait(job, ahead, false, rate);
  const double account = AccountWait(job, ahead, false, rate);
  const double at_least = std::max(PoolWait(job, ahead, true, rate),
                                   AccountWait(job, ahead, true, rate));
  WaitEstimate out{.expected = FromMs(std::max(pool, account)),
                   .at_least = FromMs(at_least)};
  if (out.expected > Millis(0)) {
    out.cause = account > pool ? RefusalCause::kAccountBacklog
                               : RefusalCause::kPoolBacklog;
  }
  return out;
}

AdmissionDecision Admission::Decide(
    const NewJob& job, const std::function<bool()>& has_free_capacity,
    TimePoint now) {
  AdmissionDecision out;
  // A job without an objective has no deadline either.
  if (job.exempt || job.objective <= Millis(0)) return out;
  out.wait = EstimateWait(job);
  out.deadline = kWorthlessMultiple * job.objective;
  out.earliest_end =
      out.wait.at_least + FromMs(ToMs(job.critical_path) / kEstimateError);
  if (out.wait.cause == RefusalCause::kNone) return out;
  const RefusedKey key{
      job.queue,
      out.wait.cause == RefusalCause::kAccountBacklog ? job.account : ""};
  const bool refusing = refusing_.count(key) > 0;
  const double limit = ToMs(out.deadline) * (refusing ? 1 : kBeginFactor);
  if (ToMs(out.earliest_end) <= limit || has_free_capacity()) return out;
  out.admit = false;
  out.cause = out.wait.cause;
  out.retry_after = RetryAfter(job, out);
  if (!refusing) changes_.emplace_back(key, true);
  refusing_[key] = now;
  return out;
}

Millis Admission::RetryAfter(const NewJob& job,
                             const AdmissionDecision& decision) const {
  // While nothing is admitted, the backlog shrinks by 1 ms in each ms.
  const Millis wait = decision.wait.expected;
  const Millis tolerable = decision.deadline - job.critical_path;
  const Millis first = std::max(Millis(0), wait - tolerable);
  const Millis retry = SpreadReturn(first, wait, job.priority, job.spread_seed);
  // A retry that ends after the deadline is useless. The caller's next job is
  // served as soon as the backlog is gone.
  if (retry + job.critical_path <= decision.deadline) return retry;
  return SpreadReturn(wait, wait, job.priority, job.spread_seed);
}

std::vector<std::pair<Admission::RefusedKey, bool>> Admission::TakeChanges(
    TimePoint now) {
  for (auto at = refusing_.begin(); at != refusing_.end();) {
    if (now - at->second < kEndAfter) {
      ++at;
      continue;
    }
    changes_.emplace_back(at->first, false);
    at = refusing_.erase(at);
  }
  return std::exchange(changes_, {});
}

}  // namespace mimosarail::coordinator
