#include "src/scheduling/account_shares.h"

#include <algorithm>
#include <array>

namespace mimosarail::scheduling {
namespace {

/// Number of bisections of the level; the shares are exact to 1e-9 of the
/// highest one.
constexpr int kBisections = 30;

/// Whether the accounts fit into the capacity if each gets its demand, but at
/// most the share of `level` times its weight.
bool Fits(const std::vector<AccountDemand>& accounts, const AmountSum& capacity,
          double level) {
  std::array<double, placement::kDimensions> sum{};
  for (const AccountDemand& account : accounts) {
    const double wanted = DominantShare(account.amount, capacity);
    if (wanted <= 0) continue;
    const double part = std::min(1.0, level * account.weight / wanted);
    for (size_t d = 0; d < sum.size(); ++d) {
      sum[d] += part * static_cast<double>(account.amount.values[d]);
    }
  }
  for (size_t d = 0; d < sum.size(); ++d) {
    if (capacity.values[d] <= 0) continue;
    if (sum[d] > static_cast<double>(capacity.values[d])) return false;
  }
  return true;
}

/// Whether all demands fit into the capacity together.
bool Suffices(const std::vector<AccountDemand>& accounts,
              const AmountSum& capacity) {
  AmountSum sum;
  for (const AccountDemand& account : accounts) {
    for (size_t d = 0; d < sum.values.size(); ++d) {
      sum.values[d] += account.amount.values[d];
    }
  }
  return DominantShare(sum, capacity) <= 1;
}

/// Returns the level at which every account with a weight gets its demand.
double HighestLevel(const std::vector<AccountDemand>& accounts,
                    const AmountSum& capacity) {
  double highest = 0;
  for (const AccountDemand& account : accounts) {
    if (account.weight <= 0) continue;
    highest = std::max(
        highest, DominantShare(account.amount, capacity) / account.weight);
  }
  return highest;
}

}  // namespace

double DominantShare(const AmountSum& amount, const AmountSum& capacity) {
  double share = 0;
  for (size_t d = 0; d < amount.values.size(); ++d) {
    if (capacity.values[d] <= 0) continue;
    share = std::max(share, static_cast<double>(amount.values[d]) /
                                static_cast<double>(capacity.values[d]));
  }
  return share;
}

AmountSum WithinLimit(const AmountSum& amount,
                      const ports::AccountLimit& limit) {
  double part = 1;
  const auto restrict_to = [&](int64_t max, Dimension d) {
    if (max <= 0 || amount[d] <= max) return;
    part = std::min(part,
                    static_cast<double>(max) / static_cast<double>(amount[d]));
  };
  restrict_to(limit.millicores, Dimension::kCores);
  restrict_to(limit.memory_mb, Dimension::kMemory);
  restrict_to(limit.accelerators, Dimension::kAccelerators);
  AmountSum out = amount;
  if (part >= 1) return out;
  for (int64_t& value : out.values) {
    value = static_cast<int64_t>(part * static_cast<double>(value));
  }
  return out;
}

std::vector<double> SharesDue(const std::vector<AccountDemand>& accounts,
                              const AmountSum& capacity) {
  std::vector<double> due(accounts.size(), kUnlimitedShare);
  double high = HighestLevel(accounts, capacity);
  if (high <= 0 || Suffices(accounts, capacity)) return due;
  if (!Fits(accounts, capacity, high)) {
    double low = 0;
    for (int i = 0; i < kBisections; ++i) {
      const double middle = (low + high) / 2;
      (Fits(accounts, capacity, middle) ? low : high) = middle;
    }
    high = low;
  }
  for (size_t i = 0; i < accounts.size(); ++i) {
    due[i] = std::min(kUnlimitedShare, high * accounts[i].weight);
  }
  return due;
}

}  // namespace mimosarail::scheduling
