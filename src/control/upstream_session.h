#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/placement/room.h"
#include "src/ports/upstream_port.h"

namespace mimosarail::control {

struct SessionOptions {
  std::string controller;  ///< Name of this entry.
  Millis lease{8000};
  Millis max_delay{2000};
  Millis attach_retry{200};
  Millis attach_retry_longest{2000};
  Millis contest_first{1000};
  Millis contest_longest{30000};
  uint64_t seed = 1;
};

/// Learns what becomes of the tasks of a session. Control thread only.
class SessionListener {
 public:
  virtual ~SessionListener() = default;
  /// A running task was found in the inventory. False has it stopped before
  /// any lease is renewed.
  virtual bool OnFound(const std::string& upstream,
                       const wire::TaskSpec& task) = 0;
  /// Upstream's word: the task ended. Release() it once its end is safe.
  virtual void OnEnded(const std::string& upstream,
                       const wire::TaskStatus& status) = 0;
  /// Certain: the start did not and will not take effect.
  virtual void OnNotStarted(const std::string& upstream,
                            const wire::TaskSpec& task,
                            const std::string& reason) = 0;
  /// It had started and is gone without an end in the inventory.
  virtual void OnLost(const std::string& upstream,
                      const wire::TaskSpec& task) = 0;
  /// The upstream was silent past the lease; another controller may know more.
  virtual void OnLapseAssumed(const std::string& upstream,
                              const wire::TaskSpec& task) = 0;
  /// Another controller has taken the upstream. `began`: the upstream had
  /// confirmed the start.
  virtual void OnMoved(const std::string& upstream, const wire::TaskSpec& task,
                       bool began) = 0;
  /// Room came free, or the session became usable or unusable.
  virtual void OnRoomChanged() = 0;
};

enum class SessionPhase {
  kIdle,       ///< Not wanted here.
  kAttaching,  ///< Wanted; control or the inventory is missing.
  kReady,      ///< In control, inventory counted in.
};

std::string_view SessionPhaseName(SessionPhase phase);

/// Control of one upstream by this entry: attach with a rising term, count the
/// inventory in before anything starts, renew all leases in one call, settle
/// doubtful starts. Control thread only.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
 public:
  /// The ports, room and listener outlive it.
  UpstreamSession(Executor& executor, ports::UpstreamPort& port,
                  placement::Room& room, SessionListener& listener,
                  SessionOptions options, wire::ListedInstance listed);

  /// Whether this entry is the preferred controller. Losing preference stops
  /// new starts; leases are renewed until another controller has attached.
  void SetPreferred(bool preferred);
  /// Whether this entry hears only a minority of the others.
  void SetMinority(bool minority) { minority_ = minority; }
  /// Takes over what the instance list says now (address, leaving).
  void Update(const wire::ListedInstance& listed);
  /// The instance list no longer has the upstream.
  void SetDelisted() { delisted_ = true; }

  /// Starts a task whose room is reserved on row(). Precondition: usable().
  void Start(const wire::TaskSpec& task);
  /// Asks the upstream to stop tasks; their ends come as usual.
  void Stop(const std::vector<std::string>& task_ids);
  void Steer(wire::SteerAction::type action,
             const std::vector<std::string>& task_ids, int32_t percent);
  /// The end of the task is known where it matters; the upstream may forget it.
  void Release(const std::string& task_id);

  bool usable() const;
  SessionPhase phase() const { return phase_; }
  /// Send time of the latest renewal that the upstream has answered under the
  /// present term; proves control at some moment after it.
  TimePoint confirmed_since() const { return confirmed_since_; }
  placement::RowId row() const { return row_; }
  const wire::ListedInstance& listed() const { return listed_; }
  int64_t term() const { return term_; }
  bool delisted() const { return delisted_; }
  /// Nothing of it is left to watch.
  bool finished() const;
  size_t running() const { return tasks_.size(); }

  /// Hash that spreads tasks of one team and work apart.
  static uint64_t GroupOf(const wire::TaskSpec& task);

 private:
  enum class TaskPhase { kStarting, kDoubtful, kRunning };
  struct Task {
    wire::TaskSpec spec;
    TaskPhase phase = TaskPhase::kStarting;
    bool told = false;  ///< The owner knows that the start is in doubt.
  };

  void Attach();
  void AttachLater(Millis delay);
  void OnAttach(const Result<wire::AttachReply>& reply);
  void Count(const wire::AttachReply& reply);
  void CountStatus(const wire::TaskStatus& status,
                   std::vector<std::string>& unwanted);
  void StopBeforeRenew(const std::vector<std::string>& unwanted);
  void Renew();
  void OnRenew(const Result<wire::RenewReply>& reply,
               const std::vector<std::string>& released, TimePoint sent);
  void OnStart(const std::string& task_id,
               const Result<wire::StartReply>& reply);
  void HandleEnd(const wire::TaskStatus& status);
  void CollectEnd(wire::TaskStatus status, int attempts_left);
  void LoseControl(int64_t term);
  void MoveAway();
  std::map<std::string, Task> TakeTasks();
  void LoseContact();
  void CheckLapse();
  void Drop(const std::string& task_id);
  void UpdateUsable();
  void NoteExtension();
  template <typename Reply>
  Callback<Reply> Guard(std::function<void(const Result<Reply>&)> handle);

  Executor& executor_;
  ports::UpstreamPort& port_;
  placement::Room& room_;
  SessionListener& listener_;
  SessionOptions options_;
  wire::ListedInstance listed_;
  placement::RowId row_;
  SessionPhase phase_ = SessionPhase::kIdle;
  bool preferred_ = false;
  bool minority_ = false;
  bool delisted_ = false;
  bool attach_pending_ = false;
  int64_t term_ = 0;
  int64_t seen_term_ = 0;
  /// Rises with each attach and loss; callbacks of older calls are dropped.
  uint64_t era_ = 0;
  Millis attach_retry_;
  Millis contest_;
  TimePoint contest_until_{};
  TimePoint last_extension_{};
  TimePoint confirmed_since_{};
  int64_t seen_end_ = 0;  ///< Highest sequence of an end under this term.
  std::map<std::string, Task> tasks_;
  std::vector<std::string> release_;
  std::mt19937_64 random_;
};

}  // namespace mimosarail::control
