#pragma once

#include <functional>
#include <optional>
#include <string>

#include "jobs_types.h"
#include "src/coordinator/cancel_tombstones.h"
#include "src/journal/journal.h"
#include "src/libs/base/executor.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::coordinator {

struct UnknownCancelsOptions {
  CancelTombstonesOptions tombstones;
  /// A caller gets an answer within this time.
  Millis reply_deadline{900};
};

/// Cancels jobs that the leader does not know, and keeps a tombstone for each.
/// Control thread only.
class UnknownCancels {
 public:
  using CallAccount = CancelTombstones::CallAccount;
  using Done = std::function<void(wire::CancelJobReply)>;

  /// The referenced objects must outlive this one.
  UnknownCancels(Executor& executor, metrics::Registry& metrics,
                 const UnknownCancelsOptions& options)
      : executor_(executor),
        metrics_(metrics),
        options_(options),
        tombstones_(options.tombstones) {}

  /// Replies that there is no such job once a tombstone is stored, or refuses
  /// the call if there is no room for another one. `still_unknown` tells then
  /// whether the leader still does not know the job; it returns false if this
  /// object is gone. `done` runs once.
  void Cancel(JobId id, const CallAccount& account, journal::Journal& journal,
              std::function<bool()> still_unknown, Done done);
  /// Drops the tombstones that are not needed any more, also from the store.
  void DropExpired(journal::Journal& journal);

  CancelTombstones& tombstones() { return tombstones_; }
  const CancelTombstones& tombstones() const { return tombstones_; }

 private:
  void Refuse(JobId id, const CallAccount& account, const Done& done);
  /// Logs and counts an acknowledged cancellation, whose tombstone is in the
  /// record with this key.
  void NoteAcknowledged(JobId id, const CallAccount& account,
                        const std::string& key, TimePoint began);

  Executor& executor_;
  metrics::Registry& metrics_;
  UnknownCancelsOptions options_;
  CancelTombstones tombstones_;
};

}  // namespace mimosarail::coordinator
