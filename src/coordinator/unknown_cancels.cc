#include "src/coordinator/unknown_cancels.h"

#include <utility>

#include "src/coordinator/admission.h"
#include "src/coordinator/job_replies.h"
#include "src/coordinator/reply_deadline.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

/// Callers whose cancellation is refused return within this time after the
/// oldest tombstones are dropped.
constexpr Millis kReturnWindow{10000};

}  // namespace

void UnknownCancels::Cancel(JobId id, const CallAccount& account,
                            journal::Journal& journal,
                            std::function<bool()> still_unknown, Done done) {
  if (!tombstones_.HasRoom(account)) return Refuse(id, account, done);
  // A submission that was sent before the cancellation may arrive after it, at
  // this leader or the next. And a leader whose process was paused does not
  // know the jobs that its successor has accepted meanwhile: only an append
  // that the store accepts under this leader's term proves that it has none.
  const TimePoint began = executor_.Now();
  ports::KeyedRecord record = tombstones_.Add(id, account, began);
  journal.Put(record.key, std::move(record.value));
  auto once =
      WithReplyDeadline(executor_, options_.reply_deadline, std::move(done),
                        CancelReply(JobVerdict::kOutcomeUnknown));
  journal.WhenStored([this, id, account, began, key = record.key,
                      still_unknown = std::move(still_unknown),
                      once = std::move(once)](bool stored) {
    // If the job was submitted meanwhile, the caller has to repeat the call.
    const bool no_such_job = stored && still_unknown();
    if (no_such_job) NoteAcknowledged(id, account, key, began);
    once(CancelReply(no_such_job ? JobVerdict::kNoSuchJob
                                 : JobVerdict::kOutcomeUnknown));
  });
}

void UnknownCancels::DropExpired(journal::Journal& journal) {
  for (const std::string& key : tombstones_.DropExpired(executor_.Now())) {
    journal.Remove(key);
  }
}

void UnknownCancels::Refuse(JobId id, const CallAccount& account,
                            const Done& done) {
  const Millis retry = SpreadReturnEvenly(
      tombstones_.TimeToRoom(account, executor_.Now()), kReturnWindow, id);
  metrics_.Count({.name = "cancels_refused"});
  logging::Event(
      Level::kWarning, "cancel refused",
      {{"job", JobIdText(id)},
       {"account", account.value_or("")},
       {"cause", "too many unknown jobs were cancelled"},
       {"tombstones", Text(static_cast<int64_t>(tombstones_.size()))},
       {"tombstone_bytes", Text(static_cast<int64_t>(tombstones_.bytes()))},
       {"retry_after_ms", Text(retry.count())}});
  done(CancelReply(JobVerdict::kRefused, retry.count()));
}

void UnknownCancels::NoteAcknowledged(JobId id, const CallAccount& account,
                                      const std::string& key, TimePoint began) {
  const auto took = std::chrono::duration_cast<Millis>(executor_.Now() - began);
  metrics_.Count({.name = "unknown_jobs_cancelled"});
  logging::Event(Level::kInfo, "unknown job cancelled",
                 {{"job", JobIdText(id)},
                  {"account", account.value_or("")},
                  {"term", Text(options_.tombstones.term)},
                  {"record", key},
                  {"stored_ms", Text(took.count())}});
}

}  // namespace mimosarail::coordinator
