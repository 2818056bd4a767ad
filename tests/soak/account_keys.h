#pragma once

#include <cstdint>
#include <string>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail::soak {

/// How often the operator replaces one key of each account.
inline constexpr Millis kKeyRotationPeriod{2000};
/// What the tasks of an account with a limit may take at a time.
inline constexpr int kAccountMillicores = 2400;
inline constexpr int kTaskMillicores = 400;

/// The account of a job, by its id.
std::string AccountOf(JobId id);
/// The account that a job does not belong to.
std::string OtherAccount(JobId id);

/// Whether what the account runs at a time is limited.
bool HasLimit(const std::string& account);

/// The keys of the accounts, which the operator replaces again and again. Not
/// thread-safe.
class AccountKeys {
 public:
  /// Replaces the oldest key of each account. Callers use the new one from the
  /// next rotation on.
  void Rotate() { ++generation_; }
  /// The configuration with the keys in force now.
  std::string Config(const std::string& host, const std::string& prefix,
                     const std::string& pool) const;
  /// A key that has been in force for at least one rotation, and stays so for
  /// another.
  std::string Valid(const std::string& account) const {
    return Key(account, generation_ - 1);
  }
  /// A key that was revoked at least two rotations ago.
  std::string Revoked(const std::string& account) const {
    return Key(account, generation_ - kKeysInForce - 2);
  }

 private:
  static constexpr int64_t kKeysInForce = 3;

  static std::string Key(const std::string& account, int64_t generation);

  int64_t generation_ = 10;
};

}  // namespace mimosarail::soak
