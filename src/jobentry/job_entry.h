#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "src/cellconfig/cell_config_follower.h"
#include "src/coordinator/coordinator.h"
#include "src/jobentry/job_service.h"
#include "src/jobentry/waiting_calls.h"
#include "src/leadership/leadership.h"

namespace mimosarail::jobentry {

struct JobEntryOptions {
  leadership::LeadershipOptions leadership;
  coordinator::CoordinatorOptions coordinator;
  cellconfig::FollowerOptions config;
  /// Longest that a caller waits for a leader: a takeover takes some 1.2 s.
  Millis leader_wait_timeout{1300};
  /// Pause between the first two tries to reach the leader.
  Millis retry{50};
  /// Pause before a leader that cannot reach the store is asked again.
  Millis store_retry{150};
  /// What a stopping entry took is answered within this: the platform ends
  /// the process 6 s after it asked for the stop.
  Millis shutdown_reply_deadline{4400};
  /// How long what is known of this entry's own way to the store is believed,
  /// and how long a look at it may take.
  Millis store_check_max_age{500};
  Millis store_check_timeout{450};
  /// Limit of one call to the leader.
  Millis call_timeout{1000};
  /// Final states remembered, so that they are told without the leader.
  size_t max_final_states = 20000;
};

/// One entry instance: takes callers' requests, hands them to the leader, calls
/// the adviser when the leader asks, and leads itself when it is its turn.
/// Without threads or sockets. Control thread only.
class JobEntry final : public JobService, public coordinator::AdviceCaller {
 public:
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::CellConfigPort& config;
    ports::UpstreamListPort& list;
    ports::TaskPort& tasks;
    ports::AdvicePort& adviser;
    leadership::JobPeerPort& peers;
    metrics::Registry& metrics;
    /// Null where hosts have no API.
    ports::HostPort* hosts = nullptr;
    ports::WaveStatusPort* wave_status = nullptr;
  };

  JobEntry(Dependencies deps, JobEntryOptions options);
  ~JobEntry() override;

  void Start();
  /// Not ready any more; hands leadership over.
  void BeginShutdown();
  /// Takes no call for advice of the leader any more; those that were taken are
  /// answered.
  void StopAccepting() { accepting_stopped_ = true; }
  /// Calls for advice that were taken and not yet answered.
  int64_t advice_in_flight() const { return advice_in_flight_; }

  Route Find(const std::string& host, const std::string& path) override;
  void Submit(const wire::JobSpec& spec, Millis limit, JobDone done) override;
  void State(JobId id, Millis limit, JobDone done) override;
  void Cancel(JobId id, Millis limit, JobDone done) override;
  void Pending(const std::string& queue, Millis limit, JobDone done) override;
  bool Ready() override;

  void Ask(const std::string& entry_address, const StepId& step,
           const std::vector<std::string>& upstreams, Millis timeout,
           Callback<ports::Advice> done) override;

  /// Calls of other entries.
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
  /// A call that is tried until the leader has answered it.
  template <typename Reply>
  struct Forwarded;

  void OnElected(int64_t term);
  void OnLeadershipLost();
  void RefreshLanes();
  /// Pools that the configuration names; null while none is known.
  const std::set<std::string>* KnownPools() const;
  void Remember(JobId id, JobState state);
  /// How long ago the leader answered a greeting, in ms, for the log.
  std::string LeaderHeartbeatAge() const;
  /// Runs `done` when it is known whether the store serves this entry.
  void CheckStore(std::function<void(bool served)> done);
  template <typename Reply>
  void Forward(std::shared_ptr<Forwarded<Reply>> call);

  Dependencies deps_;
  JobEntryOptions options_;
  WaitingCalls waiting_;
  faults::MalformedRecordReporter bad_records_;
  cellconfig::CellConfigFollower config_;
  leadership::Leadership leadership_;
  std::shared_ptr<coordinator::Coordinator> coordinator_;
  bool closing_ = false;
  bool accepting_stopped_ = false;
  int64_t advice_in_flight_ = 0;
  /// When a stopping entry gives its last answers.
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
