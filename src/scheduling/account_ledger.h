#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/placement/amount.h"
#include "src/ports/cell_config_port.h"

namespace mimosarail::scheduling {

using placement::Amount;
using placement::Dimension;

/// Number of an account in an AccountLedger.
using AccountIndex = uint32_t;
/// Stands for jobs without an account, which have no limit.
inline constexpr AccountIndex kNoAccount = UINT32_MAX;

/// A sum of amounts over all upstreams, which exceeds the 32 bits of an Amount.
struct AmountSum {
  std::array<int64_t, placement::kDimensions> values{};

  int64_t operator[](Dimension d) const {
    return values[static_cast<size_t>(d)];
  }
  void Add(const Amount& amount, int64_t count = 1) {
    for (size_t d = 0; d < values.size(); ++d) {
      values[d] += count * amount.values[d];
    }
  }
  friend bool operator==(const AmountSum&, const AmountSum&) = default;
};

/// What one run counts towards the limit of its account.
struct RunCharge {
  AccountIndex account = kNoAccount;
  Amount size{};
  /// The run does not end by itself.
  bool long_running = false;
};

/// What the tasks of each client account take over all upstreams, and how much
/// more may start under the account's limit. A run is charged from its start
/// order until it certainly has ended. Not thread-safe.
class AccountLedger {
 public:
  /// Returns the index of the account, which is added if it is new; kNoAccount
  /// for an empty name.
  AccountIndex IndexOf(const std::string& name);
  /// Number of accounts seen so far; their indexes are below it.
  AccountIndex size() const { return static_cast<AccountIndex>(all_.size()); }
  /// Precondition for these: the index is below size().
  const std::string& name(AccountIndex account) const {
    return all_[account].name;
  }
  const AmountSum& charged(AccountIndex account) const {
    return all_[account].charged;
  }
  const ports::AccountLimit& limit(AccountIndex account) const {
    return all_[account].limit;
  }
  /// 0 for none.
  double weight(AccountIndex account) const { return all_[account].weight; }

  /// Takes over the limits and weights of these accounts; other accounts keep
  /// theirs. Before the first call, no task of any account may start.
  void SetLimits(const std::vector<ports::AccountConfig>& accounts);

  void Charge(const RunCharge& run) { Add(run, 1); }
  void Refund(const RunCharge& run) { Add(run, -1); }

  /// Runs that an earlier leader may have started, and that no upstream has
  /// reported yet, count as well.
  void ClearUnreported();
  void AddUnreported(AccountIndex account, const Amount& size, int64_t tasks);

  /// Returns how many further tasks of this size may start now.
  int32_t FreeTasks(AccountIndex account, const Amount& size) const;
  /// Whether the limit permits this many tasks at once if nothing else runs.
  bool EverFits(AccountIndex account, const Amount& size, int32_t tasks) const;
  /// Whether the limit permits this many tasks at once if, of what runs now,
  /// only the long-running tasks remain.
  bool FitsBesideLongRunning(AccountIndex account, const Amount& size,
                             int32_t tasks) const;

 private:
  void Add(const RunCharge& run, int64_t count);

  struct Account {
    std::string name;
    ports::AccountLimit limit;
    double weight = 0;
    AmountSum charged;
    /// The part of `charged` for long-running tasks.
    AmountSum long_running;
    AmountSum unreported;
  };

  std::vector<Account> all_;
  bool limits_known_ = false;
  std::unordered_map<std::string, AccountIndex> index_by_name_;
};

}  // namespace mimosarail::scheduling
