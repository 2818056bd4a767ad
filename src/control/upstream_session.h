#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/placement/capacity_table.h"
#include "src/ports/upstream_port.h"

namespace mimosarail::control {

struct SessionOptions {
  std::string controller;  ///< Name of this entry.
  Millis lease{8000};
  /// Longest time between sending a call and its arrival at the upstream.
  Millis max_delay{2000};
  /// Delay before the first retry of a failed attach; doubled after each
  /// further failure up to the maximum.
  Millis attach_retry{200};
  Millis attach_retry_max{2000};
  /// Delay before this entry attaches an upstream again after another
  /// controller has attached it; doubled after every further loss of control up
  /// to the maximum.
  Millis contention_backoff_initial{1000};
  Millis contention_backoff_max{30000};
  uint64_t seed = 1;
};

/// Receives the events of a session: tasks found in an inventory, results of
/// tasks and changes of capacity. Control thread only.
class SessionListener {
 public:
  virtual ~SessionListener() = default;
  /// A running task was found in the inventory. If this returns false, the task
  /// is stopped before any lease is renewed.
  virtual bool OnFound(const std::string& upstream,
                       const wire::TaskSpec& task) = 0;
  /// The upstream reports that the task ended. Call UpstreamSession::Release()
  /// once the owner has received the result.
  virtual void OnEnded(const std::string& upstream,
                       const wire::TaskStatus& status) = 0;
  /// Certain: the start did not and will not take effect.
  virtual void OnNotStarted(const std::string& upstream,
                            const wire::TaskSpec& task,
                            const std::string& reason) = 0;
  /// The task had started and is no longer in the inventory, not even as ended.
  virtual void OnLost(const std::string& upstream,
                      const wire::TaskSpec& task) = 0;
  /// The upstream was unresponsive for longer than the lease, so the lease of
  /// the task is assumed to have expired. If another controller has attached
  /// the upstream, it may know the actual result.
  virtual void OnLeaseAssumedExpired(const std::string& upstream,
                                     const wire::TaskSpec& task) = 0;
  /// This entry can no longer determine the result of the task, because another
  /// controller has attached the upstream or may do so. `started` is set if the
  /// upstream had confirmed the start.
  virtual void OnControlMoved(const std::string& upstream,
                              const wire::TaskSpec& task, bool started) = 0;
  /// Capacity was released, or the session became usable or unusable.
  virtual void OnCapacityChanged() = 0;
};

enum class SessionPhase {
  kIdle,       ///< Not attached: not preferred, or control was lost.
  kAttaching,  ///< Attaching, or waiting to attach again after a failed call.
  kReady,      ///< In control, inventory adopted.
};

std::string_view SessionPhaseName(SessionPhase phase);

/// Control of one upstream by this entry: attaches with increasing terms,
/// adopts the inventory before it starts tasks, renews all leases in one call
/// and resolves starts that are in doubt. Control thread only.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
 public:
  /// The executor, port, capacity table and listener must outlive it.
  UpstreamSession(Executor& executor, ports::UpstreamPort& port,
                  placement::CapacityTable& capacity, SessionListener& listener,
                  SessionOptions options, wire::ListedInstance listed);

  /// Sets whether this entry is the preferred controller. If it no longer is,
  /// it starts no new tasks, and renews the leases of running ones until
  /// another controller has attached.
  void SetPreferred(bool preferred);
  /// Sets whether this entry is in the minority; see Membership::InMinority().
  void SetMinority(bool minority) { minority_ = minority; }
  /// Applies a changed instance list entry, such as a new address or state.
  void Update(const wire::ListedInstance& listed);
  /// The upstream is no longer in the instance list.
  void SetDelisted() { delisted_ = true; }

  /// Starts a task. Preconditions: usable(), and the capacity of the task is
  /// reserved at capacity_index().
  void Start(const wire::TaskSpec& task);
  /// Asks the upstream to stop tasks. Their results are reported as usual.
  void Stop(const std::vector<std::string>& task_ids);
  void Steer(wire::SteerAction::type action,
             const std::vector<std::string>& task_ids, int32_t percent);
  /// The owner has received the result of the task; the upstream may discard
  /// it.
  void Release(const std::string& task_id);

  /// Whether new tasks may be started.
  bool usable() const;
  SessionPhase phase() const { return phase_; }
  /// Send time of the latest renewal that the upstream has confirmed. Proves
  /// that this entry was in control at some time after it.
  TimePoint last_confirmed_renewal() const { return last_confirmed_renewal_; }
  placement::CapacityIndex capacity_index() const { return capacity_index_; }
  const wire::ListedInstance& listed() const { return listed_; }
  int64_t term() const { return term_; }
  bool delisted() const { return delisted_; }
  /// Whether the session has nothing left to monitor and can be removed.
  bool finished() const;
  size_t running() const { return tasks_.size(); }

  /// Returns a hash of TaskSpec::work, used to spread tasks with equal work.
  static uint64_t GroupOf(const wire::TaskSpec& task);

 private:
  enum class TaskPhase { kStarting, kInDoubt, kRunning };
  struct Task {
    wire::TaskSpec spec;
    TaskPhase phase = TaskPhase::kStarting;
    /// The owner has been notified that the start is in doubt.
    bool reported_in_doubt = false;
  };

  void Attach();
  void AttachLater(Millis delay);
  void OnAttach(const Result<wire::AttachReply>& reply);
  void AdoptInventory(const wire::AttachReply& reply);
  void AdoptTask(const wire::TaskStatus& status,
                 std::vector<std::string>& unwanted);
  void StopUnwantedThenRenew(const std::vector<std::string>& unwanted);
  void Renew();
  void OnRenew(const Result<wire::RenewReply>& reply,
               const std::vector<std::string>& released, TimePoint sent);
  void OnStart(const std::string& task_id,
               const Result<wire::StartReply>& reply);
  void HandleTaskEnd(const wire::TaskStatus& status);
  void CollectAnswer(wire::TaskStatus status, int attempts_left);
  void LoseControl(int64_t term);
  void HandOver();
  std::map<std::string, Task> RemoveAllTasks();
  void LoseContact();
  void CheckLeaseExpiry();
  void RemoveTask(const std::string& task_id);
  void UpdateUsable();
  void RecordLeaseExtension();
  template <typename Reply>
  Callback<Reply> ForCurrentGeneration(
      std::function<void(const Result<Reply>&)> handle);

  Executor& executor_;
  ports::UpstreamPort& port_;
  placement::CapacityTable& capacity_;
  SessionListener& listener_;
  SessionOptions options_;
  wire::ListedInstance listed_;
  placement::CapacityIndex capacity_index_;
  SessionPhase phase_ = SessionPhase::kIdle;
  bool preferred_ = false;
  bool minority_ = false;
  bool delisted_ = false;
  bool attach_pending_ = false;
  int64_t term_ = 0;
  int64_t highest_seen_term_ = 0;
  /// Incremented with each attach and each loss of contact or control. Replies
  /// to calls of older generations are dropped.
  uint64_t generation_ = 0;
  Millis attach_retry_;
  Millis contention_backoff_;
  TimePoint contention_backoff_until_{};
  TimePoint last_lease_extension_{};
  TimePoint last_confirmed_renewal_{};
  /// Highest sequence of a result received under this term.
  int64_t last_result_sequence_ = 0;
  std::map<std::string, Task> tasks_;
  /// Ids of the tasks to release with the next renewal.
  std::vector<std::string> pending_releases_;
  std::mt19937_64 random_;
};

}  // namespace mimosarail::control
