// The part of JobEntry that decides whether a submission is passed on.

#include <algorithm>

#include "src/jobentry/job_entry.h"
#include "src/libs/logging/log.h"

namespace mimosarail::jobentry {

using coordinator::JobVerdict;
using logging::Level;

std::optional<Millis> JobEntry::LinkRetryAfter(
    const wire::JobSpec& spec) const {
  // The leader judges its own jobs by its present backlog.
  if (coordinator_) return std::nullopt;
  return link_refusals_.RetryAfter(spec.queue.priority, deps_.executor.Now());
}

void JobEntry::ForwardIfKnown(const wire::JobSpec& spec, Millis timeout,
                              const JobDone& done,
                              std::function<void()> if_unknown) {
  const TimePoint deadline = AccessTime() + timeout;
  QueryState(
      static_cast<JobId>(spec.id), std::nullopt, timeout,
      [this, spec, deadline, done,
       if_unknown = std::move(if_unknown)](const JobAnswer& answer) {
        if (answer.verdict == JobVerdict::kConfirmed ||
            answer.verdict == JobVerdict::kUnreadable) {
          const auto remaining =
              std::chrono::duration_cast<Millis>(deadline - AccessTime());
          return ForwardSubmission(spec, std::max(Millis(0), remaining), done);
        }
        if (answer.verdict == JobVerdict::kNoSuchJob) {
          return if_unknown();
        }
        done({.verdict = JobVerdict::kOutcomeUnknown});
      });
}

void JobEntry::RefuseForLinkUnlessKnown(const wire::JobSpec& spec,
                                        Millis retry_after, Millis timeout,
                                        const JobDone& done) {
  // Without an answer the job can neither be refused nor sent: its bytes would
  // add to those that delay the answers.
  ForwardIfKnown(spec, timeout, done, [this, spec, retry_after, done] {
    LogLinkRefusal(spec, retry_after);
    done({.verdict = JobVerdict::kRefused, .retry_after = retry_after});
  });
}

void JobEntry::LogLinkRefusal(const wire::JobSpec& spec, Millis retry_after) {
  deps_.metrics.Count(
      {.name = "jobs_refused",
       .labels = {{"reason", "link"}, {"queue", spec.queue.name}}});
  logging::Event(Level::kWarning, "job refused",
                 {{"job", JobIdText(static_cast<JobId>(spec.id))},
                  {"cause", "the leader's link is full"},
                  {"priority", std::to_string(spec.queue.priority)},
                  {"retry_after_ms", std::to_string(retry_after.count())}});
}

void JobEntry::DropOutdated(const wire::JobSpec& spec,
                            const Submitter& submitter, Millis pause,
                            const JobDone& done) {
  deps_.metrics.Count({.name = "outdated_submissions"});
  logging::Event(Level::kWarning, "outdated submission dropped",
                 {{"job", JobIdText(static_cast<JobId>(spec.id))},
                  {"queue", spec.queue.name},
                  {"paused_ms", std::to_string(pause.count())},
                  {"client_closed", submitter.closed ? "yes" : "no"}});
  done({.verdict = JobVerdict::kOutcomeUnknown});
}

void JobEntry::Submit(const wire::JobSpec& spec, const Submitter& submitter,
                      JobDone done) {
  const Millis pause = pauses_.RecentPause(AccessTime());
  if (submitter.closed && pause > Millis(0)) {
    return DropOutdated(spec, submitter, pause, done);
  }
  const Millis timeout =
      std::min(submitter.timeout, options_.max_submission_hold);
  if (pause > coordinator::kMaxEntryPause) {
    // The job may have been cancelled longer ago than the leader remembers.
    return ForwardIfKnown(spec, timeout, done,
                          [this, spec, submitter, pause, done] {
                            DropOutdated(spec, submitter, pause, done);
                          });
  }
  if (const std::optional<Millis> retry = LinkRetryAfter(spec)) {
    return RefuseForLinkUnlessKnown(spec, *retry, timeout, done);
  }
  ForwardSubmission(spec, timeout, std::move(done));
}

}  // namespace mimosarail::jobentry
