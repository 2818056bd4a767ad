#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/cellconfig/cell_config_watcher.h"
#include "src/coordinator/coordinator.h"
#include "src/jobentry/final_states.h"
#include "src/jobentry/job_service.h"
#include "src/jobentry/leader_load.h"
#include "src/jobentry/link_refusals.h"
#include "src/jobentry/store_check.h"
#include "src/jobentry/submission_intake.h"
#include "src/jobentry/waiting_calls.h"
#include "src/leadership/leadership.h"
#include "src/libs/base/pause_detector.h"

namespace mimosarail::jobentry {

struct JobEntryOptions {
  leadership::LeadershipOptions leadership;
  coordinator::CoordinatorOptions coordinator;
  cellconfig::CellConfigWatcherOptions config;
  AccessDirectoryOptions access;
  /// Longest time that a call waits for a leader's answer, unless its outcome
  /// is in doubt. A takeover takes about 1.2 s.
  Millis leader_wait_timeout{1300};
  /// Longest time that a submission is held here while its outcome is in doubt,
  /// however long its caller waits: the leader remembers for a limited time
  /// that a job was cancelled before it was submitted.
  Millis max_submission_hold = coordinator::kMaxSubmissionHold;
  /// Pause before the first retry of a call to the leader.
  Millis first_retry_pause{50};
  /// Pause before a call is repeated at a leader that cannot reach the store.
  Millis store_retry_pause{150};
  /// An entry that shuts down answers its accepted calls within this time,
  /// since the platform ends the process 6 s after it has requested the
  /// shutdown.
  Millis shutdown_reply_timeout{4400};
  /// How long the result of a check of the store is reused.
  Millis store_check_max_age{500};
  /// Timeout of a check of the store.
  Millis store_check_timeout{450};
  /// Timeout of one call to the leader.
  Millis call_timeout{1000};
  /// Number of final states cached here, so that queries for them need no call
  /// to the leader.
  size_t max_final_states = 20000;
};

/// Entry instance: accepts callers' requests, forwards them to the leader,
/// calls the adviser on behalf of the leader, and runs the coordinator while it
/// is the leader itself. Has no threads or sockets of its own. Control thread
/// only.
class JobEntry final : public JobService, public coordinator::AdviceCaller {
 public:
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::CellConfigPort& config;
    ports::UpstreamListPort& upstream_list;
    ports::TaskPort& task_port;
    ports::AdvicePort& adviser;
    leadership::EntryClientPort& peers;
    metrics::Registry& metrics;
    /// Null where hosts have no API.
    ports::HostPort* hosts = nullptr;
    /// Not null if `hosts` is not.
    ports::WaveStatusPort* wave_status = nullptr;
    /// See leadership::CapacityUse; may be empty.
    std::function<bool()> saturated{};
    /// Bytes that this process has allocated; may be empty.
    std::function<size_t()> heap_bytes{};
  };

  JobEntry(Dependencies deps, JobEntryOptions options);
  ~JobEntry() override;

  void Start();
  /// Makes the entry unready and, if it leads, resigns leadership.
  void BeginShutdown();
  /// Rejects further advice calls from the leader; accepted ones are still
  /// answered. Calls of other kinds are not affected.
  void StopAccepting() { accepting_stopped_ = true; }
  /// Advice calls that were accepted and not yet answered.
  int64_t advice_in_flight() const { return advice_in_flight_; }

  AccessView Access() const override { return access_.View(AccessTime()); }
  void Submit(const wire::JobSpec& spec, const Submitter& submitter,
              JobDone done) override;
  void QueryState(JobId id, const CallerAccount& account, Millis caller_timeout,
                  JobDone done) override;
  void Cancel(JobId id, const CallerAccount& account, Millis caller_timeout,
              JobDone done) override;
  void CountPending(const std::string& queue, Millis caller_timeout,
                    JobDone done) override;
  bool Ready() override;

  void RequestAdvice(const std::string& entry_address, const StepId& step,
                     const std::vector<std::string>& upstreams, Millis timeout,
                     Callback<ports::Advice> done) override;

  /// Handlers of calls from other entries.
  wire::HeartbeatReply OnHeartbeat(const wire::HeartbeatCall& call);
  wire::AnnounceReply OnAnnounce(const wire::AnnounceCall& call);
  /// `received` is when this process received the call.
  void OnSubmit(wire::SubmitJobCall call, TimePoint received,
                std::function<void(wire::SubmitJobReply)> done);
  void OnQueryState(const wire::JobStateCall& call,
                    std::function<void(wire::JobStateReply)> done);
  void OnCancel(const wire::CancelJobCall& call,
                std::function<void(wire::CancelJobReply)> done);
  void OnCountPending(const wire::PendingJobsCall& call,
                      std::function<void(wire::PendingJobsReply)> done);
  void OnAdvise(const wire::AdviseCall& call,
                std::function<void(wire::AdviseReply)> done);

  const leadership::Leadership& leadership() const { return leadership_; }

 private:
  /// A call that is retried until the leader has answered it or its deadline
  /// has passed.
  template <typename Reply>
  struct ForwardedCall;

  void OnElected(int64_t term);
  void OnLeadershipLost();
  /// Tells the coordinator which entries may call the adviser: this one and its
  /// followers.
  void RefreshLanes();
  /// Pools that the configuration names; null while no configuration is known.
  const std::set<std::string>* ConfiguredPools() const;
  /// A new version of the configuration is in force.
  void OnConfigChanged();
  void OnHeartbeatReply(const wire::HeartbeatReply& reply, TimePoint sent);
  /// Takes over the leader's load, and sets its metrics. `sent` is a time of
  /// AccessTime().
  void UpdateLoad(const wire::HeartbeatReply& reply, TimePoint sent);
  /// When a caller should return that this entry refuses without an answer from
  /// the leader. `queue` is empty unless the call submits a job.
  Millis RetryAfterWithoutAnswer(const std::string& queue);
  /// A clock that does not stop while the machine is suspended: keys may be
  /// revoked and callers may give up meanwhile. Thread-safe.
  TimePoint AccessTime() const {
    return deps_.executor.Now() + deps_.executor.Suspended();
  }
  /// When a caller should return that an overloaded leader refuses.
  Millis OverloadRetryAfter();
  /// Time since a leader last answered a heartbeat, in ms, for the log; "never"
  /// if none has.
  std::string LeaderHeartbeatAge() const;
  /// Returns a call with its deadlines.
  template <typename Reply>
  std::shared_ptr<ForwardedCall<Reply>> NewCall(std::string description,
                                                Millis caller_timeout) const;
  /// Runs the call at this entry if it leads, or else at the leader. Retries it
  /// as needed.
  template <typename Reply>
  void Forward(std::shared_ptr<ForwardedCall<Reply>> call);
  /// Logs how long a call was held here, unless its first try was answered.
  template <typename Reply>
  void LogIfRetried(const ForwardedCall<Reply>& call) const;

  /// Drops a submission that is read after a pause of this entry, and whose
  /// caller may have given up and cancelled the job. Answers that the outcome
  /// is unknown: an earlier try of the caller may have been accepted.
  void DropOutdated(const wire::JobSpec& spec, const Submitter& submitter,
                    Millis pause, const JobDone& done);
  /// Returns the time after which to retry if the job is to be refused since
  /// the leader's link is full; nothing if the job has to be forwarded.
  std::optional<Millis> LinkRetryAfter(const wire::JobSpec& spec) const;
  /// Forwards the submission if the leader knows the job: a caller that got no
  /// answer repeats a job that may have been accepted through another entry.
  /// Otherwise runs `if_unknown`. The query takes a fraction of the bytes of a
  /// submission.
  void ForwardIfKnown(const wire::JobSpec& spec, Millis timeout,
                      const JobDone& done, std::function<void()> if_unknown);
  /// Refuses the job unless the leader knows its id.
  void RefuseForLinkUnlessKnown(const wire::JobSpec& spec, Millis retry_after,
                                Millis timeout, const JobDone& done);
  void LogLinkRefusal(const wire::JobSpec& spec, Millis retry_after);
  /// Handles a submission as the leader, or rejects it.
  void HandleSubmission(SubmissionIntake::Submission submission);
  /// Answers a submission for which the leader has no time. A caller that
  /// repeats a job which is already accepted must not be told otherwise.
  void DropSubmission(const SubmissionIntake::Submission& submission);
  /// Submits the job to the leader.
  void ForwardSubmission(const wire::JobSpec& spec, Millis caller_timeout,
                         JobDone done);

  Dependencies deps_;
  JobEntryOptions options_;
  AccessDirectory access_;
  WaitingCalls waiting_calls_;
  SubmissionIntake intake_;
  faults::MalformedRecordReporter malformed_records_;
  cellconfig::CellConfigWatcher config_;
  leadership::Leadership leadership_;
  /// Null unless this entry leads.
  std::shared_ptr<coordinator::Coordinator> coordinator_;
  StoreCheck store_check_;
  FinalStates final_states_;
  bool shutting_down_ = false;
  bool accepting_stopped_ = false;
  int64_t advice_in_flight_ = 0;
  /// Time of AccessTime() by which this entry has to answer all calls; set when
  /// its shutdown begins.
  TimePoint shutdown_reply_deadline_ = TimePoint::max();
  TimePoint last_leader_reply_{};
  /// How long this machine had been suspended at that time.
  Millis suspended_at_last_leader_reply_{0};
  PauseDetector pauses_{AccessTime()};
  LinkRefusals link_refusals_;
  LeaderLoad load_;
  /// Calls refused here without an answer from the leader.
  uint64_t unanswered_refusals_ = 0;
  /// Submissions refused here as an overloaded leader.
  uint64_t overload_refusals_ = 0;
};

}  // namespace mimosarail::jobentry
