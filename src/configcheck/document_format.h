#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mimosarail::configcheck {

/// Members of a queue that findings refer to; kQueue is the queue as a whole.
enum class QueueField {
  kQueue,
  kName,
  kHost,
  kPrefix,
  kOpen,
  kSlackFactor,
  kTicketValidity,
};

/// Members of an account that findings refer to; kAccount is the account as a
/// whole.
enum class AccountField {
  kAccount,
  kName,
  kKeys,
  kWeight,
  kLimit,
  kMillicores,
  kMemory,
  kAccelerators,
};

/// What the check has to know about the format of the document: the places of
/// members in its own words, and which keys callers can send. Indexes are
/// positions in the document's lists. Implementations are thread-safe.
class DocumentFormat {
 public:
  virtual ~DocumentFormat() = default;
  virtual std::string VersionPlace() const = 0;
  /// The list of accounts, and the list of pools.
  virtual std::string AccountsPlace() const = 0;
  virtual std::string PoolsPlace() const = 0;
  virtual std::string QueuePlace(size_t queue, QueueField field) const = 0;
  virtual std::string AccountPlace(size_t account,
                                   AccountField field) const = 0;
  virtual std::string KeyPlace(size_t account, size_t key) const = 0;
  /// Whether a call can carry the key.
  virtual bool IsSendableKey(std::string_view key) const = 0;
};

}  // namespace mimosarail::configcheck
