// The part of JobEntry that serves calls of other entries.

#include <algorithm>

#include "src/jobentry/job_entry.h"
#include "src/libs/logging/log.h"

namespace mimosarail::jobentry {
namespace {

using coordinator::JobVerdict;
using logging::Level;

/// Callers that an overloaded leader refuses return after this, spread over the
/// window that follows.
constexpr Millis kOverloadRetryAfter{1000};
constexpr Millis kOverloadReturnWindow{3000};
/// Longest timeout of an advice call that another entry may request.
constexpr Millis kMaxAdviceTimeout{60000};

wire::AdviseReply ToReply(const Result<ports::Advice>& advice) {
  wire::AdviseReply reply;
  if (!advice.ok()) {
    reply.verdict = static_cast<int32_t>(JobVerdict::kOutcomeUnknown);
    return reply;
  }
  reply.valid_ms = advice.value().valid.count();
  for (const ports::AdviceTicket& ticket : advice.value().allowed) {
    wire::Ticket out;
    out.upstream = ticket.upstream;
    out.ticket = ticket.ticket;
    reply.allowed.push_back(std::move(out));
  }
  return reply;
}

/// The account on whose behalf the call is made. Entries of earlier versions
/// and operators' tools set none.
template <typename Call>
CallerAccount AccountOf(const Call& call) {
  if (!call.__isset.account) return std::nullopt;
  return call.account;
}

}  // namespace

Millis JobEntry::OverloadRetryAfter() {
  constexpr uint64_t kOddFactor = 0x9e3779b97f4a7c15ULL;
  return coordinator::SpreadReturnEvenly(kOverloadRetryAfter,
                                         kOverloadReturnWindow,
                                         ++overload_refusals_ * kOddFactor);
}

wire::HeartbeatReply JobEntry::OnHeartbeat(const wire::HeartbeatCall& call) {
  return leadership_.OnHeartbeat(call);
}

wire::AnnounceReply JobEntry::OnAnnounce(const wire::AnnounceCall& call) {
  return leadership_.OnAnnounce(call);
}

void JobEntry::OnSubmit(wire::SubmitJobCall call, TimePoint received,
                        std::function<void(wire::SubmitJobReply)> done) {
  wire::SubmitJobReply reply;
  Findings findings;
  CheckStoredJob(call.job, findings);
  if (!findings.empty()) {
    // The entry that accepted the job has checked it, but an entry of another
    // version may apply other rules.
    malformed_records_.Report(faults::RecordSource::kPeer,
                              JobIdText(static_cast<JobId>(call.job.id)),
                              findings.ToString());
    reply.verdict = static_cast<int32_t>(JobVerdict::kRefused);
    return done(reply);
  }
  if (!coordinator_) {
    reply.verdict = static_cast<int32_t>(JobVerdict::kNotLeading);
    return done(reply);
  }
  intake_.Add(
      {.call = std::move(call), .done = std::move(done), .received = received});
}

void JobEntry::HandleSubmission(SubmissionIntake::Submission submission) {
  if (coordinator_) {
    return coordinator_->Submit(submission.call.job,
                                std::move(submission.done));
  }
  wire::SubmitJobReply reply;
  reply.verdict = static_cast<int32_t>(JobVerdict::kNotLeading);
  submission.done(reply);
}

void JobEntry::DropSubmission(const SubmissionIntake::Submission& submission) {
  const wire::JobSpec& job = submission.call.job;
  const JobVerdict verdict = coordinator_
                                 ? coordinator_->VerdictOnUnhandled(job)
                                 : JobVerdict::kNotLeading;
  wire::SubmitJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  if (verdict != JobVerdict::kOverloaded) return submission.done(reply);
  reply.retry_after_ms = OverloadRetryAfter().count();
  const auto waited = std::chrono::duration_cast<Millis>(deps_.executor.Now() -
                                                         submission.received);
  deps_.metrics.Count(
      {.name = "jobs_refused",
       .labels = {{"reason", "leader overloaded"}, {"queue", job.queue.name}}});
  logging::Event(Level::kWarning, "job refused",
                 {{"job", JobIdText(static_cast<JobId>(job.id))},
                  {"cause", "the leader is behind with its work"},
                  {"priority", std::to_string(job.queue.priority)},
                  {"waited_ms", std::to_string(waited.count())},
                  {"waiting", std::to_string(intake_.size())},
                  {"retry_after_ms", std::to_string(reply.retry_after_ms)}});
  submission.done(reply);
}

void JobEntry::OnQueryState(const wire::JobStateCall& call,
                            std::function<void(wire::JobStateReply)> done) {
  if (coordinator_) {
    return done(
        coordinator_->QueryState(static_cast<JobId>(call.id), AccountOf(call)));
  }
  wire::JobStateReply reply;
  reply.verdict = static_cast<int32_t>(JobVerdict::kNotLeading);
  done(reply);
}

void JobEntry::OnCancel(const wire::CancelJobCall& call,
                        std::function<void(wire::CancelJobReply)> done) {
  if (coordinator_) {
    return coordinator_->Cancel(static_cast<JobId>(call.id), AccountOf(call),
                                std::move(done));
  }
  wire::CancelJobReply reply;
  reply.verdict = static_cast<int32_t>(JobVerdict::kNotLeading);
  done(reply);
}

void JobEntry::OnCountPending(
    const wire::PendingJobsCall& call,
    std::function<void(wire::PendingJobsReply)> done) {
  if (coordinator_) return done(coordinator_->CountPending(call.queue));
  wire::PendingJobsReply reply;
  reply.verdict = static_cast<int32_t>(JobVerdict::kNotLeading);
  done(reply);
}

void JobEntry::OnAdvise(const wire::AdviseCall& call,
                        std::function<void(wire::AdviseReply)> done) {
  // The adviser takes up to a second. This process would have exited by then,
  // and the step would have waited in vain.
  if (accepting_stopped_) return done(ToReply(Errc::kUnavailable));
  ++advice_in_flight_;
  deps_.adviser.RequestAdvice(
      {static_cast<JobId>(call.job), call.occurrence, call.step},
      call.upstreams,
      std::clamp(Millis(call.timeout_ms), Millis(0), kMaxAdviceTimeout),
      [this, done = std::move(done)](const Result<ports::Advice>& advice) {
        --advice_in_flight_;
        done(ToReply(advice));
      });
}

}  // namespace mimosarail::jobentry
