#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "src/cellconfig/cell_config_watcher.h"
#include "src/coordinator/coordinator.h"
#include "src/jobentry/job_service.h"
#include "src/jobentry/waiting_calls.h"
#include "src/leadership/leadership.h"

namespace mimosarail::jobentry {

struct JobEntryOptions {
  leadership::LeadershipOptions leadership;
  coordinator::CoordinatorOptions coordinator;
  cellconfig::CellConfigWatcherOptions config;
  /// Longest time that a call waits for a leader, unless its outcome is in
  /// doubt. A takeover takes about 1.2 s.
  Millis leader_wait_timeout{1300};
  /// Pause between the first two attempts to reach the leader.
  Millis first_retry_pause{50};
  /// Pause before a call is repeated at a leader that cannot reach the store.
  Millis store_retry_pause{150};
  /// An entry that shuts down answers its accepted calls within this time: the
  /// platform ends the process 6 s after it requested the stop.
  Millis shutdown_reply_timeout{4400};
  /// How long the result of a check whether the store serves this entry is
  /// reused.
  Millis store_check_max_age{500};
  /// Timeout of such a check.
  Millis store_check_timeout{450};
  /// Timeout of one call to the leader.
  Millis call_timeout{1000};
  /// Number of final states cached here, so that queries for them need no call
  /// to the leader.
  size_t max_final_states = 20000;
};

/// One entry instance: accepts callers' requests, forwards them to the leader,
/// calls the adviser on behalf of the leader, and runs the coordinator while it
/// is the leader itself. Has no threads or sockets of its own. Control thread
/// only.
class JobEntry final : public JobService, public coordinator::AdviceCaller {
 public:
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::CellConfigPort& config;
    ports::UpstreamListPort& list;
    ports::TaskPort& tasks;
    ports::AdvicePort& adviser;
    leadership::EntryClientPort& peers;
    metrics::Registry& metrics;
    /// Null where hosts have no API.
    ports::HostPort* hosts = nullptr;
    ports::WaveStatusPort* wave_status = nullptr;
  };

  JobEntry(Dependencies deps, JobEntryOptions options);
  ~JobEntry() override;

  void Start();
  /// Makes the entry unready and, if it leads, resigns leadership.
  void BeginShutdown();
  /// Rejects further advice calls of the leader; accepted ones are still
  /// answered.
  void StopAccepting() { accepting_stopped_ = true; }
  /// Advice calls that were accepted and not yet answered.
  int64_t advice_in_flight() const { return advice_in_flight_; }

  Route Find(const std::string& host, const std::string& path) override;
  void Submit(const wire::JobSpec& spec, Millis caller_timeout,
              JobDone done) override;
  void State(JobId id, Millis caller_timeout, JobDone done) override;
  void Cancel(JobId id, Millis caller_timeout, JobDone done) override;
  void Pending(const std::string& queue, Millis caller_timeout,
               JobDone done) override;
  bool Ready() override;

  void Ask(const std::string& entry_address, const StepId& step,
           const std::vector<std::string>& upstreams, Millis timeout,
           Callback<ports::Advice> done) override;

  /// Handlers of calls of other entries.
  wire::HeartbeatReply OnHeartbeat(const wire::HeartbeatCall& call);
  wire::AnnounceReply OnAnnounce(const wire::AnnounceCall& call);
  void OnSubmit(const wire::SubmitJobCall& call,
                std::function<void(wire::SubmitJobReply)> done);
  void OnState(const wire::JobStateCall& call,
               std::function<void(wire::JobStateReply)> done);
  void OnCancel(const wire::CancelJobCall& call,
                std::function<void(wire::CancelJobReply)> done);
  void OnPending(const wire::PendingJobsCall& call,
                 std::function<void(wire::PendingJobsReply)> done);
  void OnAdvise(const wire::AdviseCall& call,
                std::function<void(wire::AdviseReply)> done);

  const leadership::Leadership& leadership() const { return leadership_; }

 private:
  /// A call that is retried until the leader has answered it.
  template <typename Reply>
  struct Forwarded;

  void OnElected(int64_t term);
  void OnLeadershipLost();
  void RefreshLanes();
  /// Pools that the configuration names; null while none is known.
  const std::set<std::string>* KnownPools() const;
  void RememberFinalState(JobId id, JobState state);
  /// Time since the leader last answered a heartbeat, in ms, for the log.
  std::string LeaderHeartbeatAge() const;
  /// Checks whether the store serves this entry and passes the result to
  /// `done`.
  void CheckStore(std::function<void(bool served)> done);
  template <typename Reply>
  void Forward(std::shared_ptr<Forwarded<Reply>> call);

  Dependencies deps_;
  JobEntryOptions options_;
  WaitingCalls waiting_;
  faults::MalformedRecordReporter malformed_records_;
  cellconfig::CellConfigWatcher config_;
  leadership::Leadership leadership_;
  std::shared_ptr<coordinator::Coordinator> coordinator_;
  bool shutting_down_ = false;
  bool accepting_stopped_ = false;
  int64_t advice_in_flight_ = 0;
  /// When an entry that shuts down gives its last answers.
  TimePoint shutdown_reply_deadline_ = TimePoint::max();
  bool store_serves_ = true;
  bool store_check_running_ = false;
  TimePoint store_checked_at_{};
  std::vector<std::function<void(bool)>> store_check_waiters_;
  TimePoint last_leader_reply_{};
  std::unordered_map<JobId, JobState> final_states_;
  std::deque<JobId> final_order_;
};

}  // namespace mimosarail::jobentry
