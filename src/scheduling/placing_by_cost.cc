// The part of Scheduler that makes a placement pass with
// QueueOrder::kDelayCost: which steps the pass examines, and in which order.

#include <deque>

#include "src/scheduling/room_table.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::scheduling {
namespace {

/// Number of queue positions that a pass looks at from the front, and again
/// after the position at which the last pass ended. Bounds the duration of a
/// pass; a queue of any length is covered within several passes.
constexpr int kWindowSteps = 1000;
/// Of the steps that a pass examines, those from the front of the queue. The
/// others are for steps further back.
constexpr int kMaxStepsFromFront = 240;
/// The shares due to the accounts are recomputed after this time. They depend
/// on all waiting steps, and change little while tasks of 1 s and more run.
constexpr Millis kSharesMaxAge{100};
/// No upstream runs tasks faster than this many times the usual speed.
constexpr int kMaxSpeedFactor = 4;

}  // namespace

/// One placement pass. Steps of accounts over their share are put aside, and
/// come after the other steps of their band. Steps that certainly cannot start
/// are passed over.
class Scheduler::DelayCostPass {
 public:
  DelayCostPass(Scheduler& scheduler, TimePoint now, PassReservations& reserved,
                Orders& orders)
      : s_(scheduler), now_(now), reserved_(reserved), orders_(orders) {}

  void Run() {
    UpdateRoom();
    at_ = s_.queue_.begin();
    WalkWindow(kMaxStepsFromFront);
    if (at_ != s_.queue_.end() && s_.resume_after_ &&
        *at_ < *s_.resume_after_) {
      at_ = s_.queue_.upper_bound(*s_.resume_after_);
    }
    s_.resume_after_.reset();
    WalkWindow(kMaxStepsPerPass);
    if (at_ != s_.queue_.end()) s_.resume_after_ = last_;
    while (!put_aside_.empty() && visited_ < kMaxStepsPerPass &&
           !orders_.awaited_start_bytes) {
      VisitFirstPutAside();
    }
  }

 private:
  void UpdateRoom() {
    room_.Clear();
    const UpstreamPool& pool = s_.pool_;
    for (const UpstreamIndex upstream : pool.all()) {
      if (!pool.Usable(upstream, now_)) continue;
      RoomTable::Row row{.upstream = upstream, .free = pool.at(upstream).free};
      row.free_later = row.free;
      if (const PassReservation* reservation = reserved_.Find(upstream)) {
        row.free_later -= reservation->amount;
        row.reserved_from = reservation->needed_at;
      }
      room_.Add(row);
    }
  }

  void WalkWindow(int max_visited) {
    for (int n = 0; n < kWindowSteps && at_ != s_.queue_.end(); ++n) {
      if (visited_ >= max_visited || orders_.awaited_start_bytes) return;
      if (!put_aside_.empty() && put_aside_.front().band < at_->band) {
        VisitFirstPutAside();
        continue;
      }
      last_ = *at_;
      // Advances first: placing may remove this step, but no other one, from
      // the queue.
      ++at_;
      if (s_.accounts_at_limit_.count(last_.account) > 0) continue;
      if (last_.band != kAgedBand && s_.TakesItsShare(last_.account)) {
        put_aside_.push_back(last_);
        continue;
      }
      Visit(last_);
    }
  }

  void VisitFirstPutAside() {
    const QueueKey key = put_aside_.front();
    put_aside_.pop_front();
    if (s_.accounts_at_limit_.count(key.account) == 0) Visit(key);
  }

  void Visit(const QueueKey& key) {
    JobRecord& record = *s_.jobs_.at(key.id.job);
    if (s_.AccountBlocks(record, key.id) || CannotStart(record, key.id)) return;
    ++visited_;
    const size_t starts = orders_.starts.size();
    const bool placed = s_.PlaceStep(record, key.id, now_, reserved_, orders_);
    const bool may_have_reserved = !placed && record.job.step(key.id.step).gang;
    if (may_have_reserved || orders_.starts.size() > starts) UpdateRoom();
  }

  /// Whether placing the step would have no effect. A gang that may reserve
  /// capacity is always placed.
  bool CannotStart(const JobRecord& record, const StepId& id) {
    const wire::StepSpec& step = record.job.step(id.step);
    if (step.gang && reserved_.HasBudget()) return false;
    const int32_t needed = step.gang ? step.tasks : 1;
    // The earliest of the ends that placing may assume.
    const TimePoint end =
        std::min(ExpectedEnd(step, now_),
                 now_ + s_.ExpectedWork(record, id.step) / kMaxSpeedFactor);
    return room_.CountRoom(TaskResources(step), end, needed,
                           [&](UpstreamIndex upstream) {
                             return s_.Matches(upstream, record, step);
                           }) < needed;
  }

  Scheduler& s_;
  const TimePoint now_;
  PassReservations& reserved_;
  Orders& orders_;
  RoomTable room_;
  std::set<QueueKey>::const_iterator at_;
  /// The last step of the queue that was looked at.
  QueueKey last_;
  /// Steps of accounts over their share, in the order of the queue.
  std::deque<QueueKey> put_aside_;
  int visited_ = 0;
};

void Scheduler::PlaceByDelayCost(TimePoint now, PassReservations& reserved,
                                 Orders& orders) {
  UpdateShares(now);
  DelayCostPass(*this, now, reserved, orders).Run();
}

AmountSum Scheduler::UsableCapacity() const {
  AmountSum out;
  for (const UpstreamIndex upstream : pool_.all()) {
    const Upstream& it = pool_.at(upstream);
    if (it.AcceptsWork()) out.Add(it.capacity);
  }
  return out;
}

std::vector<AccountDemand> Scheduler::AccountDemands() const {
  const AccountLedger& accounts = pool_.accounts();
  std::vector<AccountDemand> out(accounts.size());
  for (AccountIndex i = 0; i < accounts.size(); ++i) {
    out[i] = {.weight = accounts.weight(i), .amount = accounts.charged(i)};
  }
  for (const QueueKey& key : queue_) {
    if (key.account == kNoAccount) continue;
    const Job& job = jobs_.at(key.id.job)->job;
    out[key.account].amount.Add(
        TaskCharge(job.step(key.id.step)),
        job.step_counts(key.id.occurrence, key.id.step).waiting);
  }
  for (AccountIndex i = 0; i < accounts.size(); ++i) {
    out[i].amount = WithinLimit(out[i].amount, accounts.limit(i));
  }
  return out;
}

void Scheduler::UpdateShares(TimePoint now) {
  if (now < shares_valid_until_) return;
  shares_valid_until_ = now + kSharesMaxAge;
  shared_capacity_ = UsableCapacity();
  shares_due_ = SharesDue(AccountDemands(), shared_capacity_);
}

bool Scheduler::TakesItsShare(AccountIndex account) const {
  if (account >= shares_due_.size()) return false;
  const double due = shares_due_[account];
  return due < kUnlimitedShare &&
         DominantShare(pool_.accounts().charged(account), shared_capacity_) >=
             due;
}

}  // namespace mimosarail::scheduling
