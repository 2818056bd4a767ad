#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/fleet/adaptive_timeout.h"
#include "src/libs/base/executor.h"
#include "src/ports/task_port.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::fleet {

struct UpstreamLinkOptions {
  UpstreamIndex index = kNoUpstream;
  ports::UpstreamTarget target;
  /// First fencing token of this leader, which owns kFenceSpan tokens from
  /// there on.
  int64_t first_fence = 0;
  /// How long tasks at the upstream keep running without a renewal. With a
  /// shorter lease, the tasks of a lost upstream can be restarted elsewhere
  /// sooner. With a longer one, tasks survive a longer time without a leader or
  /// a connection.
  Millis lease{4000};
  /// How long an earlier leader may keep renewing leases undetected.
  Millis previous_leader_timeout{2000};
  /// How long a renewal waits at the upstream for a completion.
  Millis completion_wait{1000};
  /// Usual delay from the reply to a renewal to the next renewal, so that
  /// completions that arrive in a burst share one.
  Millis renew_delay{25};
  /// Bounds of the timeout of a call that the upstream answers at once; within
  /// them the timeout adapts to the reply times. The minimum keeps a leader
  /// that is busy for two of its 50 ms ticks from treating its own calls as in
  /// doubt; the maximum suits a machine that has become several times slower.
  Millis min_timeout{100};
  Millis max_timeout{700};
};

/// Number of fencing tokens that one leader may use at one upstream. Each start
/// without a reply consumes one.
inline constexpr int64_t kFenceSpan = 1000000;

/// Returns the longest time that a lease can last on the local clock.
Millis MaxLeaseDuration(Millis lease);

/// Receives the reports of one upstream. Control thread only.
class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  /// Whether orders may be sent now.
  virtual bool MaySendOrders() = 0;
  /// Reports all running tasks and the new completions. If the upstream has
  /// more completions than fit into one reply, later reports contain the rest;
  /// reconciled() becomes true only then.
  virtual void OnReport(UpstreamIndex upstream,
                        const std::vector<ports::RunningTask>& running,
                        const std::vector<ports::EndedTask>& ended) = 0;
  virtual void OnReachable(UpstreamIndex upstream, bool reachable) = 0;
  /// No task that was started there runs any more. Unless the reason is
  /// expired leases, the upstream never comes back under this id.
  virtual void OnAllRunsEnded(UpstreamIndex upstream,
                              scheduling::UpstreamLoss why) = 0;
  virtual void OnStartReply(const scheduling::StartOrder& order,
                            const ports::CallReply& reply) = 0;
  /// A stop was not sent or not answered; the run may continue.
  virtual void OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                            int64_t attempt) = 0;
  /// Another leader used a higher fencing token there.
  virtual void OnFenced(UpstreamIndex upstream) = 0;
};

/// The leader's connection to one upstream: renews the leases of its tasks,
/// sends orders, and determines the outcome of starts without a reply. Control
/// thread only.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
 public:
  /// The referenced objects must outlive the link's last callback; there is
  /// none after Close().
  UpstreamLink(Executor& executor, ports::TaskPort& tasks,
               UpstreamEvents& events, UpstreamLinkOptions options);

  void Open();
  void Close() { closed_ = true; }

  void Start(const scheduling::StartOrder& order);
  void Stop(const TaskId& task, int64_t attempt);
  /// Completions up to `number` are stored: the upstream may discard them.
  void AcknowledgeCompletions(int64_t number);

  /// The highest fencing token in use.
  int64_t fence() const { return fence_; }
  /// The upstream does not answer, and no task can run there any more.
  bool all_runs_ended() const { return all_runs_ended_; }
  /// The set of runs at the upstream is known, or is known to be empty.
  bool reconciled() const { return inventory_received_ || all_runs_ended_; }
  /// The upstream has confirmed the acknowledgement of every reported
  /// completion. A completion that is not acknowledged is lost if the upstream
  /// ends, as if it had never happened.
  bool all_completions_acknowledged() const {
    return completions_acknowledged_ >= completions_reported_;
  }

 private:
  struct UnresolvedStart {
    scheduling::StartOrder order;
    /// Fencing token under which it was sent.
    int64_t fence;
  };

  void RenewSoon(Millis delay);
  void Renew(Millis wait);
  void OnRenewReply(int64_t number, int64_t fence, int64_t acked_completions,
                    const ports::RenewReply& reply);
  void OnRenewFailed(const ports::CallReply& reply);
  void OnStartDone(const scheduling::StartOrder& order, int64_t fence,
                   ports::CallReply reply);
  /// Updates the adaptive timeout with the outcome of a call that the upstream
  /// answers at once.
  void RecordReply(TimePoint sent, ports::CallVerdict verdict);
  void RaiseFence();
  void ResolveStarts(int64_t fence, const ports::RenewReply& reply);
  void SetReachable(bool reachable);
  void CheckLeases();
  int64_t LeaseUntil() const;
  void RecordClock(int64_t clock_ms);

  Executor& executor_;
  ports::TaskPort& tasks_;
  UpstreamEvents& events_;
  UpstreamLinkOptions options_;
  int64_t fence_;
  AdaptiveTimeout adaptive_timeout_;
  bool closed_ = false;
  bool inventory_received_ = false;
  bool reachable_ = false;
  bool all_runs_ended_ = false;
  /// Number of renewals sent, and number of the newest one answered.
  int64_t renewals_ = 0;
  int64_t newest_answered_ = 0;
  /// Renewals in flight; more than one after the fence was raised.
  int outstanding_ = 0;
  bool renewal_due_ = false;
  int failures_ = 0;
  /// The upstream's clock, and the local time at which it was received.
  int64_t clock_ms_ = 0;
  TimePoint clock_received_at_{};
  /// No lease granted so far lasts beyond this, on the local clock.
  TimePoint leases_end_{};
  int64_t completions_reported_ = 0;
  int64_t completions_stored_ = 0;
  int64_t completions_acknowledged_ = 0;
  std::map<std::pair<TaskId, int64_t>, UnresolvedStart> unresolved_starts_;
};

}  // namespace mimosarail::fleet
