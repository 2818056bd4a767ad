// The part of Coordinator that serves callers: it accepts jobs and answers
// queries about them.

#include <algorithm>

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

/// Time after which a caller retries a job that was refused because the store
/// is unavailable or there are too many jobs.
constexpr int64_t kRetryAfterMs = 1000;

/// Time after which a caller retries a job that is too large for the limit of
/// its account: only operators can raise the limit.
constexpr int64_t kOverLimitRetryMs = 30000;

/// Time for which a count of pending jobs is reused: it visits all jobs, and
/// callers ask for it more often the longer the queue is.
constexpr Millis kPendingCountMaxAge{300};
/// Number of queues whose counts are kept.
constexpr size_t kMaxPendingCounts = 1000;

}  // namespace

void Coordinator::FailPendingSubmissions() {
  for (auto& [id, submission] : pending_submissions_) {
    for (auto& reply : submission.replies) {
      reply(SubmitReply(JobVerdict::kOutcomeUnknown));
    }
  }
  pending_submissions_.clear();
  pending_bytes_ = 0;
}

void Coordinator::Submit(const wire::JobSpec& spec,
                         std::function<void(wire::SubmitJobReply)> done) {
  const auto id = static_cast<JobId>(spec.id);
  if (!loaded_) return done(SubmitReply(JobVerdict::kNotLeading));
  if (!MayAccess(spec.account, id)) {
    return done(SubmitReply(JobVerdict::kIdInUse));
  }
  if (scheduler_.Find(id) != nullptr || final_jobs_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kConfirmed));
  }
  if (unreadable_jobs_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kUnreadable));
  }
  if (pending_submissions_.count(id) == 0) {
    const bool store_unavailable =
        journal_->stalled_for() > options_.append_stall_timeout;
    if (store_unavailable ||
        scheduler_.job_count() + pending_submissions_.size() >=
            options_.max_jobs) {
      logging::Event(
          Level::kWarning, "job refused",
          {{"job", JobIdText(id)},
           {"queue", spec.queue.name},
           {"cause", store_unavailable ? "the store does not answer"
                                       : "the job table is full"},
           {"store_stalled_ms", Text(journal_->stalled_for().count())},
           {"jobs", Text(static_cast<int64_t>(scheduler_.job_count()))}});
      CountRefusedJob(store_unavailable ? "store unavailable" : "job table",
                      spec.queue.name);
      return done(store_unavailable
                      ? SubmitReply(JobVerdict::kStoreUnavailable,
                                    StoreRetryAfterMs(id))
                      : SubmitReply(JobVerdict::kRefused, kRetryAfterMs));
    }
    if (!FitsAccountLimit(spec)) {
      logging::Event(Level::kWarning, "job refused",
                     {{"job", JobIdText(id)},
                      {"account", spec.account},
                      {"cause", "never fits the limit of its account"}});
      CountRefusedJob("account limit", spec.queue.name);
      return done(SubmitReply(JobVerdict::kOverLimit, kOverLimitRetryMs));
    }
    if (const auto refusal = RefuseForMemory(spec)) {
      return ReplyRefused(id, *refusal, std::move(done));
    }
    const auto cancelled_ago = unknown_cancels_.tombstones().AgeOf(
        id, spec.account, deps_.executor.Now());
    if (cancelled_ago) {
      return StoreAsCancelled(spec, *cancelled_ago, std::move(done));
    }
    if (const std::optional<Millis> retry = RefuseForLink(spec)) {
      wire::SubmitJobReply reply =
          SubmitReply(JobVerdict::kRefused, retry->count());
      reply.refuse_for_ms = EntryRefusalTime(*retry).count();
      return ReplyRefused(id, reply, std::move(done));
    }
    if (const auto retry_after = RefuseByDeadline(spec)) {
      return ReplyRefused(
          id, SubmitReply(JobVerdict::kRefused, retry_after->count()),
          std::move(done));
    }
    wire::JobSpec stored_spec = spec;
    stored_spec.accepted_unix_ms = deps_.executor.UnixMillis();
    std::string record = rpc::Encode(stored_spec);
    if (!IsStorable(SpecKey(id), record)) {
      // The store would refuse every append that contains this record, which
      // would block all records behind it.
      logging::Event(Level::kWarning, "job refused",
                     {{"job", JobIdText(id)},
                      {"cause", "its record is too large for the store"},
                      {"bytes", Text(static_cast<int64_t>(record.size()))}});
      CountRefusedJob("record too large", spec.queue.name);
      return done(SubmitReply(JobVerdict::kTooLarge));
    }
    journal_->Put(SpecKey(id), std::move(record));
    const int64_t number = ++last_submission_number_;
    pending_submissions_[id].submission_number = number;
    pending_submissions_[id].account = spec.account;
    pending_submissions_[id].queue = spec.queue.name;
    pending_submissions_[id].memory_bytes = EstimatedJobBytes(spec);
    pending_bytes_ += pending_submissions_[id].memory_bytes;
    NoteAdmitted(spec);
    journal_->WhenStored(
        [weak = weak_from_this(), stored_spec, id, number](bool stored) {
          const auto self = weak.lock();
          if (!stored || !self || self->closed_) return;
          const auto pending = self->pending_submissions_.find(id);
          if (pending == self->pending_submissions_.end()) return;
          if (pending->second.submission_number != number) return;
          self->OnJobStored(stored_spec);
        });
  }
  pending_submissions_[id].replies.push_back(WithReplyDeadline(
      deps_.executor, options_.reply_deadline, std::move(done),
      SubmitReply(JobVerdict::kOutcomeUnknown)));
}

void Coordinator::RefuseUnsentJobs() {
  const Millis stall_timeout = std::max(options_.unsent_job_timeout,
                                        2 * journal_->last_append_duration());
  if (journal_->stalled_for() <= stall_timeout) return;
  for (auto at = pending_submissions_.begin();
       at != pending_submissions_.end();) {
    if (!journal_->Withdraw(SpecKey(at->first))) {
      ++at;
      continue;
    }
    logging::Event(
        Level::kWarning, "job refused",
        {{"job", JobIdText(at->first)},
         {"cause", "withdrawn before it was sent to the store"},
         {"store_stalled_ms", Text(journal_->stalled_for().count())}});
    const JobId id = at->first;
    CountRefusedJob("store unavailable", at->second.queue);
    const auto replies = std::move(at->second.replies);
    pending_bytes_ -= at->second.memory_bytes;
    at = pending_submissions_.erase(at);
    for (const auto& reply : replies) {
      reply(SubmitReply(JobVerdict::kStoreUnavailable, StoreRetryAfterMs(id)));
    }
  }
}

void Coordinator::OnJobStored(const wire::JobSpec& spec) {
  const auto id = static_cast<JobId>(spec.id);
  job_pools_.insert(spec.queue.pool);
  scheduler_.Add(spec, deps_.executor.Now(), deps_.executor.UnixMillis());
  deps_.metrics.Count({.name = "jobs_accepted"});
  logging::Event(Level::kInfo, "job accepted",
                 {{"job", JobIdText(id)},
                  {"queue", spec.queue.name},
                  {"account", spec.account},
                  {"priority", Text(spec.queue.priority)},
                  {"steps", Text(static_cast<int64_t>(spec.steps.size()))},
                  {"term", Text(options_.term)}});
  ReplyAccepted(id);
  scheduler_.Tick(deps_.executor.Now(), deps_.executor.UnixMillis());
  SchedulePlacement();
}

void Coordinator::ReplyAccepted(JobId id) {
  const auto submission = pending_submissions_.extract(id);
  if (submission.empty()) return;
  pending_bytes_ -= submission.mapped().memory_bytes;
  for (auto& reply : submission.mapped().replies) {
    reply(SubmitReply(JobVerdict::kConfirmed));
  }
}

JobVerdict Coordinator::VerdictOnUnknownJob() const {
  // If the store has not confirmed the leader lease recently, a successor may
  // already have accepted jobs that are unknown here, even if other entries
  // still follow this leader. The caller's entry repeats the call and finds the
  // current leader.
  return deps_.lease_confirmed_by_store() ? JobVerdict::kNoSuchJob
                                          : JobVerdict::kNotLeading;
}

wire::JobStateReply Coordinator::QueryState(
    JobId id, const std::optional<std::string>& account) const {
  wire::JobStateReply reply;
  const auto answer = [&](JobVerdict verdict, JobState state) {
    reply.verdict = static_cast<int32_t>(verdict);
    reply.state = static_cast<int32_t>(state);
    return reply;
  };
  if (!loaded_) return answer(JobVerdict::kNotLeading, JobState::kQueued);
  // The same answer as for an unknown job, so that a guessed id tells nothing.
  if (!MayAccess(account, id)) {
    return answer(VerdictOnUnknownJob(), JobState::kQueued);
  }
  const auto final = final_jobs_.find(id);
  if (final != final_jobs_.end()) {
    if (final->second.state == JobState::kFailed) {
      reply.__set_reason(FailureReason(id, final->second));
    }
    return answer(JobVerdict::kConfirmed, final->second.state);
  }
  // A leader whose process was paused would report a job as running that its
  // successor has completed, or not know one that it has accepted. Final states
  // do not change.
  if (!deps_.state_current()) {
    return answer(JobVerdict::kNotLeading, JobState::kQueued);
  }
  if (unreadable_jobs_.count(id) > 0) {
    return answer(JobVerdict::kUnreadable, JobState::kQueued);
  }
  const Job* job = scheduler_.Find(id);
  if (job == nullptr) {
    // A job whose record is not stored yet is reported as queued. The caller
    // that submitted it has no answer yet.
    const bool pending = pending_submissions_.count(id) > 0;
    return answer(pending ? JobVerdict::kConfirmed : VerdictOnUnknownJob(),
                  JobState::kQueued);
  }
  // A final state is reported only once it is stored.
  return answer(JobVerdict::kConfirmed,
                job->started() ? JobState::kRunning : JobState::kQueued);
}

bool Coordinator::IsJobKnown(JobId id) const {
  return scheduler_.Find(id) != nullptr || final_jobs_.count(id) > 0 ||
         pending_submissions_.count(id) > 0;
}

const std::string& Coordinator::OwnerOf(JobId id) const {
  static const std::string kNoOwner;
  if (const Job* job = scheduler_.Find(id)) return job->spec().account;
  const auto final = final_jobs_.find(id);
  if (final != final_jobs_.end()) return final->second.account;
  const auto pending = pending_submissions_.find(id);
  return pending == pending_submissions_.end() ? kNoOwner
                                               : pending->second.account;
}

bool Coordinator::MayAccess(const std::optional<std::string>& account,
                            JobId id) const {
  const std::string& owner = OwnerOf(id);
  return !account || owner.empty() || owner == *account;
}

bool Coordinator::FitsAccountLimit(const wire::JobSpec& spec) {
  scheduling::AccountLedger& accounts = scheduler_.pool().accounts();
  const scheduling::AccountIndex account = accounts.IndexOf(spec.account);
  return std::all_of(
      spec.steps.begin(), spec.steps.end(), [&](const wire::StepSpec& step) {
        return accounts.EverFits(account, scheduling::TaskCharge(step),
                                 step.gang ? step.tasks : 1);
      });
}

void Coordinator::OnAccountsChanged() {
  if (deps_.configured_pools() == nullptr) return;
  scheduler_.SetAccounts(
      deps_.accounts().value_or(std::vector<ports::AccountConfig>()));
  SchedulePlacement();
}

void Coordinator::ReplyRefused(JobId id, const wire::SubmitJobReply& refusal,
                               std::function<void(wire::SubmitJobReply)> done) {
  // As in UnknownCancels::Cancel(): a successor may have accepted this id, and
  // then a refusal, which says that the job does not run, would be false. This
  // append changes nothing, since an unknown job has no progress record.
  journal_->Remove(ProgressKey(id));
  auto once = WithReplyDeadline(deps_.executor, options_.reply_deadline,
                                std::move(done),
                                SubmitReply(JobVerdict::kOutcomeUnknown));
  journal_->WhenStored([weak = weak_from_this(), id, refusal,
                        once = std::move(once)](bool stored) {
    const auto self = weak.lock();
    // If the job was submitted again meanwhile and accepted, the caller has to
    // repeat the call.
    const bool refused =
        stored && self && !self->closed_ && !self->IsJobKnown(id);
    once(refused ? refusal : SubmitReply(JobVerdict::kOutcomeUnknown));
  });
}

JobVerdict Coordinator::VerdictOnUnhandled(const wire::JobSpec& spec) const {
  const auto id = static_cast<JobId>(spec.id);
  if (!loaded_) return JobVerdict::kNotLeading;
  if (!MayAccess(spec.account, id)) return JobVerdict::kIdInUse;
  if (scheduler_.Find(id) != nullptr || final_jobs_.count(id) > 0) {
    return JobVerdict::kConfirmed;
  }
  if (unreadable_jobs_.count(id) > 0) return JobVerdict::kUnreadable;
  if (pending_submissions_.count(id) > 0) return JobVerdict::kOutcomeUnknown;
  // See VerdictOnUnknownJob().
  return deps_.lease_confirmed_by_store() ? JobVerdict::kOverloaded
                                          : JobVerdict::kNotLeading;
}

wire::PendingJobsReply Coordinator::CountPending(const std::string& queue) {
  wire::PendingJobsReply reply;
  const bool current = loaded_ && deps_.state_current();
  reply.verdict = static_cast<int32_t>(current ? JobVerdict::kConfirmed
                                               : JobVerdict::kNotLeading);
  const TimePoint now = deps_.executor.Now();
  if (pending_counts_.size() > kMaxPendingCounts) pending_counts_.clear();
  PendingCount& count = pending_counts_[queue];
  if (now - count.counted_at >= kPendingCountMaxAge) {
    count = {.jobs = scheduler_.PendingJobs(queue), .counted_at = now};
  }
  reply.pending = count.jobs;
  return reply;
}

}  // namespace mimosarail::coordinator
