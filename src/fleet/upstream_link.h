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
  /// First fencing token of this holder; it has the next kFenceSpan of them.
  int64_t first_fence = 0;
  /// How long what runs there goes on without a renewal. Shorter frees the
  /// tasks of a lost upstream sooner, longer survives longer gaps of control.
  Millis lease{4000};
  /// How long an earlier holder may go on renewing unseen.
  Millis previous_holder_timeout{2000};
  /// How long a renewal waits for an end.
  Millis wait{1000};
  /// Least time between two renewals, so that ends that come in a burst share
  /// one.
  Millis gap{25};
  /// Least and most time that a call which the upstream answers at once gets;
  /// between them it follows what the answers took. The least keeps a leader
  /// that is busy for two of its 50 ms ticks from doubting what it has sent;
  /// the most is what a machine that has turned several times slower needs.
  Millis min_timeout{100};
  Millis max_timeout{700};
};

/// Tokens that one holder may use at one upstream: one more for each start
/// whose answer was lost.
inline constexpr int64_t kFenceSpan = 1000000;

/// The longest that a lease runs by our clock.
Millis MaxLeaseDuration(Millis lease);

/// Told what one upstream says. Control thread only.
class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  /// Whether orders may be given now.
  virtual bool MayGiveOrders() = 0;
  /// What runs there and what ended. The first one is the whole inventory.
  virtual void OnReport(UpstreamIndex upstream,
                        const std::vector<ports::RunningTask>& running,
                        const std::vector<ports::EndedTask>& ended) = 0;
  virtual void OnReachable(UpstreamIndex upstream, bool reachable) = 0;
  /// Nothing that was started there runs any more. Unless it is for its leases
  /// the upstream will never come back under this id.
  virtual void OnAllRunsEnded(UpstreamIndex upstream,
                              scheduling::UpstreamLoss why) = 0;
  virtual void OnStartReply(const scheduling::StartOrder& order,
                            const ports::CallReply& reply) = 0;
  /// A stop was not sent or not answered; the run may go on.
  virtual void OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                            int64_t attempt) = 0;
  /// Somebody used a higher fencing token there.
  virtual void OnFenced(UpstreamIndex upstream) = 0;
};

/// The holder's side of one upstream: renews its leases, carries orders, and
/// finds out what became of those without an answer. Control thread only.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
 public:
  /// Everything given outlives the link's last callback; after Close() there
  /// is none.
  UpstreamLink(Executor& executor, ports::TaskPort& tasks,
               UpstreamEvents& events, UpstreamLinkOptions options);

  void Open();
  void Close() { closed_ = true; }

  void Start(const scheduling::StartOrder& order);
  void Stop(const TaskId& task, int64_t attempt);
  /// Ends up to this number are safe: the upstream may forget them.
  void AcknowledgeEnds(int64_t number);

  /// The highest token that it has used.
  int64_t fence() const { return fence_; }
  /// It does not answer, and nothing can run there any more.
  bool all_runs_ended() const { return all_runs_ended_; }
  /// What runs there is known, or can't be anything any more.
  bool reconciled() const { return inventory_received_ || all_runs_ended_; }
  /// The upstream has confirmed that it may forget every end that was reported.
  /// Before that an end is lost if the upstream ends, as if it had never been.
  bool all_ends_acknowledged() const {
    return ends_acknowledged_ >= ends_reported_;
  }

 private:
  struct UnresolvedStart {
    scheduling::StartOrder order;
    /// Token under which it was sent.
    int64_t fence;
  };

  void RenewSoon(Millis delay);
  void Renew(Millis wait);
  void OnRenewReply(int64_t number, int64_t fence, int64_t acked_ends,
                    const ports::RenewReply& reply);
  void OnRenewFailed(const ports::CallReply& reply);
  void OnStartDone(const scheduling::StartOrder& order, int64_t fence,
                   ports::CallReply reply);
  /// Learns from what became of a call that is answered at once.
  void RecordReply(TimePoint sent, ports::CallVerdict verdict);
  void RaiseFence();
  void ResolveStarts(int64_t fence, const ports::RenewReply& reply);
  void SetReachable(bool reachable);
  void CheckLeases();
  int64_t LeaseUntil() const;
  void NoteClock(int64_t clock_ms);

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
  /// Renewals sent, and the newest of them that was answered.
  int64_t renewals_ = 0;
  int64_t newest_answered_ = 0;
  /// Renewals without an answer yet; more than one when the fence was raised.
  int outstanding_ = 0;
  bool renewal_due_ = false;
  int failures_ = 0;
  /// The upstream's clock and when it was read here.
  int64_t clock_ms_ = 0;
  TimePoint clock_at_{};
  /// Nothing granted so far can run past this, on our clock.
  TimePoint leases_end_{};
  int64_t ends_reported_ = 0;
  int64_t ends_durable_ = 0;
  int64_t ends_acknowledged_ = 0;
  std::map<std::pair<TaskId, int64_t>, UnresolvedStart> unresolved_starts_;
};

}  // namespace mimosarail::fleet
