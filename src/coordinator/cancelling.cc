// The part of Coordinator that cancels jobs, also those that it does not know.

#include <utility>

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
  auto still_unknown = [weak = weak_from_this(), id, account] {
    const auto self = weak.lock();
    return self && !self->closed_ &&
           !(self->IsJobKnown(id) && self->MayAccess(account, id));
  };
  unknown_cancels_.Cancel(id, account, *journal_, std::move(still_unknown),
                          std::move(done));
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
