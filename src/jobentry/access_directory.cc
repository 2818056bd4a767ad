#include "src/jobentry/access_directory.h"

#include <algorithm>
#include <utility>

namespace mimosarail::jobentry {

void AccessDirectory::Publish(std::shared_ptr<const AccessTable> table) {
  const std::lock_guard lock(mutex_);
  // The previous table is released after the lock.
  table_.swap(table);
}

void AccessDirectory::Confirm(TimePoint when) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, when);
}

AccessView AccessDirectory::View(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const auto age = std::chrono::duration_cast<Millis>(now - confirmed_at_);
  return {.table = table_,
          .current = age <= options_.current_for,
          .revocations_unknown = options_.revocation_timeout > Millis(0) &&
                                 age > options_.revocation_timeout,
          .age = age};
}

}  // namespace mimosarail::jobentry
