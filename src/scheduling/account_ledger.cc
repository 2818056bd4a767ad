#include "src/scheduling/account_ledger.h"

#include <algorithm>

#include "src/jobs/job_state.h"

namespace mimosarail::scheduling {
namespace {

/// Returns how many tasks of this size the limit permits beside what is taken.
int32_t FitCount(const ports::AccountLimit& limit, const AmountSum& taken,
                 const Amount& size) {
  int64_t fit = kMaxStepTasks;
  const auto restrict_to = [&](int64_t max, Dimension d) {
    if (max <= 0 || size[d] <= 0) return;
    fit = std::min(fit, std::max<int64_t>(0, max - taken[d]) / size[d]);
  };
  restrict_to(limit.millicores, Dimension::kCores);
  restrict_to(limit.memory_mb, Dimension::kMemory);
  restrict_to(limit.accelerators, Dimension::kAccelerators);
  return static_cast<int32_t>(fit);
}

}  // namespace

AccountIndex AccountLedger::IndexOf(const std::string& name) {
  if (name.empty()) return kNoAccount;
  const auto [found, inserted] = index_by_name_.try_emplace(name, size());
  if (inserted) all_.push_back({.name = name});
  return found->second;
}

void AccountLedger::SetLimits(
    const std::vector<ports::AccountConfig>& accounts) {
  limits_known_ = true;
  for (const ports::AccountConfig& account : accounts) {
    const AccountIndex index = IndexOf(account.name);
    if (index == kNoAccount) continue;
    all_[index].limit = account.limit;
    all_[index].weight = account.weight;
  }
}

void AccountLedger::Add(const RunCharge& run, int64_t count) {
  if (run.account == kNoAccount) return;
  Account& account = all_[run.account];
  account.charged.Add(run.size, count);
  if (run.long_running) account.long_running.Add(run.size, count);
}

void AccountLedger::ClearUnreported() {
  for (Account& account : all_) account.unreported = {};
}

void AccountLedger::AddUnreported(AccountIndex account, const Amount& size,
                                  int64_t tasks) {
  if (account != kNoAccount) all_[account].unreported.Add(size, tasks);
}

int32_t AccountLedger::FreeTasks(AccountIndex account,
                                 const Amount& size) const {
  if (account == kNoAccount) return kMaxStepTasks;
  // An entry may be elected right after its start, before it has read the
  // configuration. It would start tasks far beyond the limits.
  if (!limits_known_) return 0;
  AmountSum taken = all_[account].charged;
  for (size_t d = 0; d < taken.values.size(); ++d) {
    taken.values[d] += all_[account].unreported.values[d];
  }
  return FitCount(all_[account].limit, taken, size);
}

bool AccountLedger::EverFits(AccountIndex account, const Amount& size,
                             int32_t tasks) const {
  return account == kNoAccount ||
         FitCount(all_[account].limit, {}, size) >= tasks;
}

bool AccountLedger::FitsBesideLongRunning(AccountIndex account,
                                          const Amount& size,
                                          int32_t tasks) const {
  return account == kNoAccount ||
         FitCount(all_[account].limit, all_[account].long_running, size) >=
             tasks;
}

}  // namespace mimosarail::scheduling
