// The part of Coordinator that cancels jobs, also those that it does not know.

#include <utility>

#include "src/coordinator/admission.h"
#include "src/coordinator/coordinator.h"
#include "src/coordinator/job_replies.h"
#include "src/coordinator/job_table.h"
#include "src/coordinator/reply_deadline.h"
#include "src/jobs/job_memory.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using scheduling::Orders;

/// Callers whose cancellation is refused return within this time after the
/// oldest tombstones are dropped.
constexpr Millis kCancelReturnWindow{10000};

}  // namespace

void Coordinator::Cancel(JobId id, const std::optional<std::string>& account,
                         std::function<void(wire::CancelJobReply)> done) {
  if (!loaded_) return done(CancelReply(JobVerdict::kNotLeading));
  // Handled like an unknown job, so that the answer does not tell whether the
  // job exists.
  if (!MayAccess(account, id)) {
    return CancelUnknownJob(id, account, std::move(done));
  }
  if (final_jobs_.count(id) > 0) {
    return done(CancelReply(JobVerdict::kConfirmed));
  }
  if (pending_submissions_.count(id) > 0) {
    return done(CancelReply(JobVerdict::kOutcomeUnknown));
  }
  if (unreadable_jobs_.count(id) > 0) {
    return done(CancelReply(JobVerdict::kUnreadable));
  }
  if (scheduler_.Find(id) == nullptr) {
    return CancelUnknownJob(id, account, std::move(done));
  }
  Orders orders;
  scheduler_.Cancel(id, deps_.executor.Now(), orders);
  deps_.metrics.Count({.name = "jobs_cancelled"});
  ExecuteOrders(orders);
  auto once = WithReplyDeadline(deps_.executor, options_.reply_deadline,
                                std::move(done),
                                CancelReply(JobVerdict::kOutcomeUnknown));
  journal_->WhenStored([once = std::move(once)](bool stored) {
    once(CancelReply(stored ? JobVerdict::kConfirmed
                            : JobVerdict::kOutcomeUnknown));
  });
}

void Coordinator::CancelUnknownJob(
    JobId id, const std::optional<std::string>& account,
    std::function<void(wire::CancelJobReply)> done) {
  if (!tombstones_.HasRoom(account)) {
    return RefuseCancel(id, account, done);
  }
  // A submission that was sent before the cancellation may arrive after it, at
  // this leader or the next. And a leader whose process was paused does not
  // know the jobs that its successor has accepted meanwhile: only an append
  // that the store accepts under this leader's term proves that it has none.
  const TimePoint began = deps_.executor.Now();
  ports::KeyedRecord record = tombstones_.Add(id, account, began);
  journal_->Put(record.key, std::move(record.value));
  auto once = WithReplyDeadline(deps_.executor, options_.reply_deadline,
                                std::move(done),
                                CancelReply(JobVerdict::kOutcomeUnknown));
  journal_->WhenStored([weak = weak_from_this(), id, account, began,
                        key = record.key, once = std::move(once)](bool stored) {
    const auto self = weak.lock();
    // If the job was submitted meanwhile, the caller has to repeat the call.
    const bool no_such_job =
        stored && self && !self->closed_ &&
        !(self->IsJobKnown(id) && self->MayAccess(account, id));
    if (no_such_job) self->NoteUnknownCancel(id, account, key, began);
    once(CancelReply(no_such_job ? JobVerdict::kNoSuchJob
                                 : JobVerdict::kOutcomeUnknown));
  });
}

void Coordinator::RefuseCancel(
    JobId id, const std::optional<std::string>& account,
    const std::function<void(wire::CancelJobReply)>& done) {
  const Millis retry =
      SpreadReturnEvenly(tombstones_.TimeToRoom(account, deps_.executor.Now()),
                         kCancelReturnWindow, id);
  deps_.metrics.Count({.name = "cancels_refused"});
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

void Coordinator::NoteUnknownCancel(JobId id,
                                    const std::optional<std::string>& account,
                                    const std::string& key, TimePoint began) {
  const auto took =
      std::chrono::duration_cast<Millis>(deps_.executor.Now() - began);
  deps_.metrics.Count({.name = "unknown_jobs_cancelled"});
  logging::Event(Level::kInfo, "unknown job cancelled",
                 {{"job", JobIdText(id)},
                  {"account", account.value_or("")},
                  {"term", Text(options_.term)},
                  {"record", key},
                  {"stored_ms", Text(took.count())}});
}

void Coordinator::StoreAsCancelled(
    const wire::JobSpec& spec, Millis cancelled_ago,
    std::function<void(wire::SubmitJobReply)> done) {
  const auto id = static_cast<JobId>(spec.id);
  deps_.metrics.Count({.name = "cancelled_jobs_submitted"});
  logging::Event(Level::kInfo, "cancelled job submitted",
                 {{"job", JobIdText(id)},
                  {"queue", spec.queue.name},
                  {"account", spec.account},
                  {"cancelled_ms_ago", Text(cancelled_ago.count())},
                  {"answer", "accepted as cancelled"}});
  wire::ProgressRecord record;
  record.state = static_cast<int32_t>(JobState::kCancelled);
  record.account = spec.account;
  journal_->Put(ProgressKey(id), rpc::Encode(record));
  const int64_t number = ++last_submission_number_;
  PendingSubmission& pending = pending_submissions_[id];
  pending.submission_number = number;
  pending.account = spec.account;
  pending.queue = spec.queue.name;
  pending.memory_bytes = kFinalJobBytes;
  pending_bytes_ += kFinalJobBytes;
  pending.replies.push_back(WithReplyDeadline(
      deps_.executor, options_.reply_deadline, std::move(done),
      SubmitReply(JobVerdict::kOutcomeUnknown)));
  journal_->WhenStored([weak = weak_from_this(), id, number](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) self->OnStoredAsCancelled(id, number);
  });
}

void Coordinator::OnStoredAsCancelled(JobId id, int64_t submission_number) {
  const auto pending = pending_submissions_.find(id);
  if (pending == pending_submissions_.end()) return;
  if (pending->second.submission_number != submission_number) return;
  final_jobs_[id] = {.state = JobState::kCancelled,
                     .account = pending->second.account,
                     .final_since = deps_.executor.Now(),
                     .ended_in_this_term = true};
  ReplyAccepted(id);
}

}  // namespace mimosarail::coordinator
