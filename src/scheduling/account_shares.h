#pragma once

#include <vector>

#include "src/scheduling/account_ledger.h"

namespace mimosarail::scheduling {

/// What an account could use now if it had all capacity to itself.
struct AccountDemand {
  /// 0 for none: such an account gets what the others leave.
  double weight = 0;
  /// What its tasks take, and what those that wait would take, within its
  /// limit.
  AmountSum amount;
};

/// The share of an account that may take all that it wants.
inline constexpr double kUnlimitedShare = 1;

/// Returns the fraction of the capacity in that dimension of which the amount
/// takes the largest fraction (the dominant resource). Dimensions without
/// capacity do not count. Thread-safe.
double DominantShare(const AmountSum& amount, const AmountSum& capacity);

/// Returns an amount that is reduced in proportion until it is within the
/// limit. Thread-safe.
AmountSum WithinLimit(const AmountSum& amount,
                      const ports::AccountLimit& limit);

/// Returns the share of the dominant resource that is due to each account. If
/// the capacity suffices for all demands, or no account has a weight, each may
/// take all that it wants. Otherwise shares are in proportion to the weights,
/// as large as possible: what an account does not want is due to the others
/// (weighted max-min fairness). Thread-safe.
std::vector<double> SharesDue(const std::vector<AccountDemand>& accounts,
                              const AmountSum& capacity);

}  // namespace mimosarail::scheduling
