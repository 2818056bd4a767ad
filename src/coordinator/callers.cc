// The part of Coordinator that answers callers: jobs handed in, asked for and
// cancelled.

#include <algorithm>

#include "src/coordinator/coordinator.h"
#include "src/coordinator/job_table.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using scheduling::Orders;

/// Callers come back after this when the store is away.
constexpr int64_t kRetryAfterMs = 1000;

wire::SubmitJobReply SubmitReply(JobVerdict verdict, int64_t retry_after = 0) {
  wire::SubmitJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  reply.retry_after_ms = retry_after;
  return reply;
}

bool Storable(const std::string& key, const std::string& value) {
  return 1 + key.size() + value.size() <= kMaxRecordBytes;
}

wire::CancelJobReply CancelReply(JobVerdict verdict) {
  wire::CancelJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  return reply;
}

}  // namespace

void Coordinator::FailPendingCallers() {
  for (auto& [id, job] : pending_submissions_) {
    for (auto& waiter : job.waiters) waiter(SubmitReply(JobVerdict::kUnknown));
  }
  pending_submissions_.clear();
}

void Coordinator::Submit(const wire::JobSpec& spec,
                         std::function<void(wire::SubmitJobReply)> done) {
  const auto id = static_cast<JobId>(spec.id);
  if (!loaded_) return done(SubmitReply(JobVerdict::kNotLeading));
  if (scheduler_.Find(id) != nullptr || finals_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kDone));
  }
  if (unreadable_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kUnreadable));
  }
  const auto waiting = pending_submissions_.find(id);
  if (waiting == pending_submissions_.end()) {
    const bool store_away =
        journal_->stalled_for() > options_.append_stall_timeout;
    if (store_away ||
        scheduler_.jobs() + pending_submissions_.size() >= options_.max_jobs) {
      logging::Event(
          Level::kWarning, "job refused",
          {{"job", JobIdText(id)},
           {"store_stalled_ms", Text(journal_->stalled_for().count())},
           {"jobs", Text(static_cast<int64_t>(scheduler_.jobs()))}});
      return done(SubmitReply(
          store_away ? JobVerdict::kStoreUnavailable : JobVerdict::kRefused,
          kRetryAfterMs));
    }
    wire::JobSpec stored = spec;
    stored.accepted_unix_ms = deps_.executor.UnixMillis();
    std::string record = rpc::Encode(stored);
    if (!Storable(SpecKey(id), record)) {
      // The store would refuse each append with it, and so all behind it.
      logging::Event(Level::kWarning, "job refused",
                     {{"job", JobIdText(id)},
                      {"cause", "its record is too large for the store"},
                      {"bytes", Text(static_cast<int64_t>(record.size()))}});
      return done(SubmitReply(JobVerdict::kRefused, kRetryAfterMs));
    }
    journal_->Put(SpecKey(id), std::move(record));
    const int64_t number = ++submissions_;
    pending_submissions_[id].number = number;
    journal_->WhenStored(
        [weak = weak_from_this(), stored, id, number](bool kept) {
          const auto self = weak.lock();
          if (!kept || !self || self->closed_) return;
          const auto still = self->pending_submissions_.find(id);
          if (still == self->pending_submissions_.end()) return;
          if (still->second.number == number) self->OnJobStored(stored);
        });
  }
  pending_submissions_[id].waiters.push_back(
      WithReplyDeadline<wire::SubmitJobReply>(
          std::move(done), SubmitReply(JobVerdict::kUnknown)));
}

template <typename Reply>
std::function<void(Reply)> Coordinator::WithReplyDeadline(
    std::function<void(Reply)> done, Reply late) {
  auto answered = std::make_shared<bool>(false);
  auto once = [answered, done = std::move(done)](const Reply& reply) {
    if (std::exchange(*answered, true)) return;
    done(reply);
  };
  deps_.executor.RunAfter(options_.reply_deadline,
                          [once, late = std::move(late)] { once(late); });
  return once;
}

void Coordinator::RefuseUnsent() {
  const Millis patience =
      std::max(options_.unsent_job_timeout, 2 * journal_->last_took());
  if (journal_->stalled_for() <= patience) return;
  for (auto at = pending_submissions_.begin();
       at != pending_submissions_.end();) {
    if (!journal_->Withdraw(SpecKey(at->first))) {
      ++at;
      continue;
    }
    logging::Event(
        Level::kWarning, "job refused",
        {{"job", JobIdText(at->first)},
         {"cause", "taken back before it was sent to the store"},
         {"store_stalled_ms", Text(journal_->stalled_for().count())}});
    const auto waiters = std::move(at->second.waiters);
    at = pending_submissions_.erase(at);
    for (const auto& waiter : waiters) {
      waiter(SubmitReply(JobVerdict::kStoreUnavailable, kRetryAfterMs));
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
                  {"priority", Text(spec.queue.priority)},
                  {"steps", Text(static_cast<int64_t>(spec.steps.size()))},
                  {"term", Text(options_.term)}});
  const auto waiting = pending_submissions_.extract(id);
  if (!waiting.empty()) {
    for (auto& waiter : waiting.mapped().waiters) {
      waiter(SubmitReply(JobVerdict::kDone));
    }
  }
  scheduler_.Tick(deps_.executor.Now(), deps_.executor.UnixMillis());
  PlaceSoon();
}

JobVerdict Coordinator::VerdictOnUnknownJob() const {
  // Without the store's word this leader may have a successor, which took jobs
  // that are not known here, whatever other entries say. The caller's entry
  // asks again, and finds who leads.
  return deps_.lease_confirmed_by_store() ? JobVerdict::kNoSuchJob
                                          : JobVerdict::kNotLeading;
}

wire::JobStateReply Coordinator::State(JobId id) const {
  wire::JobStateReply reply;
  const auto answer = [&](JobVerdict verdict, JobState state) {
    reply.verdict = static_cast<int32_t>(verdict);
    reply.state = static_cast<int32_t>(state);
    return reply;
  };
  if (!loaded_) return answer(JobVerdict::kNotLeading, JobState::kQueued);
  const auto final = finals_.find(id);
  if (final != finals_.end()) {
    return answer(JobVerdict::kDone, final->second.state);
  }
  if (unreadable_.count(id) > 0) {
    return answer(JobVerdict::kUnreadable, JobState::kQueued);
  }
  const Job* job = scheduler_.Find(id);
  if (job == nullptr) {
    // Its record is on the way to the store; the caller does not know yet.
    const bool coming = pending_submissions_.count(id) > 0;
    return answer(coming ? JobVerdict::kDone : VerdictOnUnknownJob(),
                  JobState::kQueued);
  }
  // A final state is shown only when it is stored.
  return answer(JobVerdict::kDone,
                job->started() ? JobState::kRunning : JobState::kQueued);
}

void Coordinator::Cancel(JobId id,
                         std::function<void(wire::CancelJobReply)> done) {
  if (!loaded_) return done(CancelReply(JobVerdict::kNotLeading));
  if (finals_.count(id) > 0) return done(CancelReply(JobVerdict::kDone));
  if (pending_submissions_.count(id) > 0)
    return done(CancelReply(JobVerdict::kUnknown));
  if (unreadable_.count(id) > 0) {
    return done(CancelReply(JobVerdict::kUnreadable));
  }
  if (scheduler_.Find(id) == nullptr)
    return ReplyNoSuchJob(id, std::move(done));
  Orders orders;
  scheduler_.Cancel(id, deps_.executor.Now(), orders);
  deps_.metrics.Count({.name = "jobs_cancelled"});
  Pump(orders);
  auto once = WithReplyDeadline<wire::CancelJobReply>(
      std::move(done), CancelReply(JobVerdict::kUnknown));
  journal_->WhenStored([once = std::move(once)](bool stored) {
    once(CancelReply(stored ? JobVerdict::kDone : JobVerdict::kUnknown));
  });
}

bool Coordinator::Knows(JobId id) const {
  return scheduler_.Find(id) != nullptr || finals_.count(id) > 0 ||
         pending_submissions_.count(id) > 0;
}

void Coordinator::ReplyNoSuchJob(
    JobId id, std::function<void(wire::CancelJobReply)> done) {
  // A leader that stood still wakes up without the jobs that its successor has
  // taken. Its caller would take "no such job" for the end of one that runs on.
  // Only an append under its own term shows that nobody has succeeded it; this
  // one changes nothing, since there is no progress of such a job.
  journal_->Remove(ProgressKey(id));
  auto once = WithReplyDeadline<wire::CancelJobReply>(
      std::move(done), CancelReply(JobVerdict::kUnknown));
  journal_->WhenStored([weak = weak_from_this(), id,
                        once = std::move(once)](bool stored) {
    const auto self = weak.lock();
    // Handed in meanwhile, it is there now: the caller asks again.
    const bool denied = stored && self && !self->closed_ && !self->Knows(id);
    once(CancelReply(denied ? JobVerdict::kNoSuchJob : JobVerdict::kUnknown));
  });
}

wire::PendingJobsReply Coordinator::Pending(const std::string& queue) const {
  wire::PendingJobsReply reply;
  reply.verdict = static_cast<int32_t>(loaded_ ? JobVerdict::kDone
                                               : JobVerdict::kNotLeading);
  reply.pending = scheduler_.Pending(queue);
  return reply;
}

}  // namespace mimosarail::coordinator
