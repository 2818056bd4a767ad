#pragma once

#include <memory>
#include <mutex>

#include "src/jobentry/access_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

struct AccessDirectoryOptions {
  /// A configuration that was confirmed as the newest within this time counts
  /// as current. Longer than two reads for changes, each of which waits 0.9 s:
  /// a read confirms as of when it was sent.
  Millis current_for{2200};
  /// Keys are refused while the configuration has not been confirmed for this
  /// long, since they may have been revoked. With 0, an entry that learns of no
  /// revocation keeps accepting the keys that it knows.
  Millis revocation_timeout{0};
};

/// What is known of queues and accounts at one moment.
struct AccessView {
  /// Null before the entry has a configuration.
  std::shared_ptr<const AccessTable> table;
  /// The table was recently confirmed as the newest, so that a key which it
  /// does not contain is invalid, and not perhaps newer than the table.
  bool current = false;
  /// Keys of the table can't be trusted; see revocation_timeout.
  bool revocations_unknown = false;
  /// How long ago the table was last confirmed, for the log.
  Millis age{0};
};

/// Passes the newest access table to the threads that serve callers.
/// Thread-safe.
class AccessDirectory {
 public:
  explicit AccessDirectory(AccessDirectoryOptions options)
      : options_(options) {}

  /// Replaces the table. It is not confirmed as the newest thereby.
  void Publish(std::shared_ptr<const AccessTable> table);
  /// The table was the newest one at this time.
  void Confirm(TimePoint when);
  AccessView View(TimePoint now) const;

 private:
  const AccessDirectoryOptions options_;
  mutable std::mutex mutex_;
  std::shared_ptr<const AccessTable> table_;
  TimePoint confirmed_at_{};
};

}  // namespace mimosarail::jobentry
