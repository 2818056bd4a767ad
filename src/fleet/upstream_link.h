#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/fleet/adaptive_timeout.h"
#include "src/fleet/task_leases.h"
#include "src/fleet/upstream_clock.h"
#include "src/libs/base/executor.h"
#include "src/ports/task_port.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::fleet {

struct UpstreamLinkOptions {
  UpstreamIndex index = kNoUpstream;
  ports::UpstreamTarget target;
  /// Start time of the upstream's incarnation, in Unix ms; 0 if unknown.
  int64_t incarnation = 0;
  /// First fencing token of this leader at this upstream. The leader may use
  /// kFenceSpan tokens from this one on.
  int64_t first_fence = 0;
  TaskLeaseOptions leases;
  /// How long the upstream may delay its reply to a renewal, to wait for a
  /// completion.
  Millis completion_wait{1000};
  /// Usual delay between the reply to a renewal and the next renewal. It lets
  /// one reply report all completions of a burst.
  Millis renew_delay{25};
  /// The same while nothing runs at the upstream and nothing was reported that
  /// it still has to discard.
  Millis idle_renew_delay{25};
  /// Bounds of the adaptive timeout of calls that the upstream answers at once.
  /// The minimum keeps a leader that is busy for two of its 50 ms ticks from
  /// treating its own calls as in doubt. The maximum suits a machine that has
  /// become several times slower.
  Millis min_timeout{100};
  Millis max_timeout{700};
};

/// Number of fencing tokens that one leader may use at one upstream. Each start
/// in doubt consumes one.
inline constexpr int64_t kFenceSpan = 1000000;

/// Receives the events of the upstream links, and decides whether they may send
/// orders. Control thread only.
class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  /// Whether starts, stops and renewals may be sent now.
  virtual bool MaySendOrders() = 0;
  /// When every earlier leader has stopped renewing task leases, at upstreams
  /// that this leader does not reach; unset while that is not known.
  virtual std::optional<TimePoint> PredecessorLeaseEnd() = 0;
  /// A time at which the store has confirmed that no other leader has taken
  /// over, the newest known.
  virtual TimePoint LastStoreConfirmation() = 0;
  /// `running` lists all running tasks, `ended` the completions that were not
  /// reported before. If the upstream has more completions than fit into one
  /// reply, later reports contain the rest; reconciled() becomes true only
  /// then.
  virtual void OnReport(UpstreamIndex upstream,
                        const std::vector<ports::RunningTask>& running,
                        const std::vector<ports::EndedTask>& ended) = 0;
  virtual void OnReachable(UpstreamIndex upstream, bool reachable) = 0;
  /// No task that was started at the upstream runs any more. Unless the reason
  /// is expired leases, this incarnation of the upstream never comes back.
  virtual void OnAllRunsEnded(UpstreamIndex upstream,
                              scheduling::UpstreamLoss reason) = 0;
  /// The leases of all runs at the upstream have expired but those in
  /// `remaining`: their starts are in doubt, and a later incarnation that this
  /// leader does not know may have executed them, with longer leases.
  /// OnReport(), OnRestarted() or OnAllRunsEnded() follows.
  virtual void OnLeasesExpired(UpstreamIndex upstream,
                               const scheduling::RunSet& remaining) = 0;
  /// The upstream has restarted under its id. Of the runs known there, only
  /// those in `remaining` exist; the others were lost with the previous
  /// incarnation. OnReport() and OnReachable() follow.
  virtual void OnRestarted(UpstreamIndex upstream, int64_t incarnation,
                           const scheduling::RunSet& remaining) = 0;
  virtual void OnStartReply(const scheduling::StartOrder& order,
                            const ports::CallReply& reply) = 0;
  /// A stop was not sent or not answered; the run may continue.
  virtual void OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                            int64_t attempt) = 0;
  /// Another leader has used a higher fencing token at the upstream.
  virtual void OnFenced(UpstreamIndex upstream) = 0;
};

/// The leader's connection to one upstream: sends orders, renews the leases of
/// the tasks there, and resolves starts in doubt: those without a reply, or
/// with one that may be of an incarnation which has not reported yet. Control
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
  /// Sets UpstreamLinkOptions::idle_renew_delay, from the next renewal on.
  void SetIdleRenewDelay(Millis delay) { options_.idle_renew_delay = delay; }
  /// The list of upstreams names this address and incarnation.
  void OnListed(const std::string& address, int64_t incarnation);
  /// Completions up to `number`, reported when the upstream had restarted
  /// `restarts` times, are stored: that incarnation may discard them.
  void AcknowledgeCompletions(int64_t restarts, int64_t number);

  /// Number of renewals sent.
  int64_t renewals_sent() const { return renewals_sent_; }
  /// How often the upstream has restarted under its id since the link exists.
  int64_t restarts() const { return restarts_; }

  /// The highest fencing token in use.
  int64_t fence() const { return fence_; }
  /// No task that was started at the upstream can run any more: all leases have
  /// expired, or the upstream has been replaced. Known only once the store has
  /// confirmed this leader since: a later leader that reaches the upstream
  /// renews its leases, or may have stored what has ended there.
  bool all_runs_ended() const { return all_runs_ended_; }
  /// The set of runs at the upstream is known, or is known to be empty.
  bool reconciled() const { return inventory_received_ || all_runs_ended_; }
  /// The upstream has confirmed the acknowledgement of every reported
  /// completion. If the upstream ends before it has received the
  /// acknowledgement of a completion, that completion counts as lost.
  bool all_completions_acknowledged() const {
    return last_acknowledged_completion_ >= last_reported_completion_;
  }

 private:
  struct SentRenewal {
    /// Renewals are numbered from 1 in the order of sending.
    int64_t number = 0;
    int64_t fence = 0;
    /// Value of restarts() when the renewal was sent.
    int64_t restarts = 0;
    int64_t acked_completions = 0;
  };

  struct SentStart {
    scheduling::StartOrder order;
    int64_t fence = 0;
    /// Value of restarts() when the start was sent.
    int64_t restarts = 0;
    TimePoint sent{};
    /// The clock that the end of the lease is a time on.
    UpstreamClock clock;
  };

  struct StartInDoubt {
    scheduling::StartOrder order;
    /// Fencing token under which the start was sent.
    int64_t fence = 0;
    std::string cause;
  };

  void ScheduleRenewal(Millis delay);
  void Renew(Millis completion_wait);
  void HandleRenewReply(const SentRenewal& renewal,
                        const ports::RenewReply& reply);
  void HandleRenewFailure(const ports::CallReply& reply);
  /// Those that were not reported before.
  std::vector<ports::EndedTask> NewCompletions(
      const std::vector<ports::EndedTask>& ended) const;
  /// Delay before the renewal that follows this report.
  Millis DelayAfter(const ports::RenewReply& reply) const;
  /// Whether the reply is that of a later incarnation than the one known. The
  /// link then starts over with that incarnation.
  bool CheckRestarted(const ports::CallReply& reply);
  /// The incarnation, unknown so far, is this one.
  void LearnIncarnation(int64_t incarnation);
  /// Forgets what was known of the previous incarnation. Its runs count until
  /// ResolveRestart().
  void BeginIncarnation(int64_t incarnation);
  /// Whether the reply decides which runs of the previous incarnation are lost.
  bool CanResolveRestart(int64_t fence, const ports::RenewReply& reply) const;
  void ResolveRestart(const ports::RenewReply& reply);
  /// Whether the upstream is surely still the incarnation of the last reply.
  bool IncarnationCertain() const;
  void LogLeasesExpired(const LeaseEnd& end) const;
  void LogOutdatedReply(bool outdated, const ports::RenewReply& reply);
  void HandleStartReply(const SentStart& start, const ports::CallReply& reply);
  /// Whether the reply is of the incarnation that the start was meant for, or a
  /// report tells what became of the start.
  bool AnsweredByKnownIncarnation(const SentStart& start,
                                  const ports::CallReply& reply) const;
  /// The start may be executed, or may have been, by an unknown incarnation.
  void NoteStartInDoubt(const SentStart& start, const std::string& cause);
  /// Updates the adaptive timeout with the outcome of a call that the upstream
  /// answers at once.
  void RecordReplyTime(TimePoint sent, ports::CallVerdict verdict);
  void RaiseFence();
  void ResolveStartsInDoubt(int64_t fence, const ports::RenewReply& reply);
  void SetReachable(bool reachable);
  /// Checks periodically whether all runs at the upstream have ended.
  void CheckAllRunsEnded();
  void NoteReplaced();
  /// Checks whether all leases granted so far have expired, those granted by
  /// earlier leaders included.
  void CheckLeases();
  /// Whether the leases that end then have expired.
  bool HaveExpired(const LeaseEnd& end) const;
  /// Whether a later incarnation that is not known may hold leases for starts
  /// in doubt.
  bool UnknownIncarnationMayHoldLeases() const;
  /// Reports that of all runs only the starts in doubt may continue.
  void HoldStartsInDoubt();
  /// When the incarnation began, on the local clock.
  TimePoint StartedAt(int64_t incarnation) const;
  int64_t LeaseEndOnUpstreamClock() const;

  Executor& executor_;
  ports::TaskPort& tasks_;
  UpstreamEvents& events_;
  UpstreamLinkOptions options_;
  int64_t fence_;
  AdaptiveTimeout adaptive_timeout_;
  bool opened_ = false;
  bool closed_ = false;
  bool inventory_received_ = false;
  bool reachable_ = false;
  bool all_runs_ended_ = false;
  /// All leases have expired but those of the starts in doubt.
  bool starts_held_ = false;
  /// Start time of the upstream's incarnation, in Unix ms; 0 if unknown.
  int64_t incarnation_;
  int64_t restarts_ = 0;
  /// Set from the detection of a restart until the runs that were lost with the
  /// previous incarnation are known.
  std::optional<TimePoint> restarted_at_;
  /// A previous incarnation has reported to this leader, so runs there may be
  /// known. Valid while `restarted_at_` is set.
  bool had_report_ = false;
  /// Every call to the previous incarnation had a lower fencing token.
  int64_t restart_fence_ = 0;
  /// When the upstream wrote the last report, by its clock, and how long this
  /// machine had been suspended until its arrival. A process that was paused
  /// reads reports that have waited for it: counted from their arrival, they
  /// would make a restarted upstream discard completions that nobody has seen.
  TimePoint last_report_at_{};
  Millis suspended_at_last_report_{0};
  /// A call has remained unanswered since the last report.
  bool call_unanswered_ = false;
  bool last_reply_outdated_ = false;
  /// When another process was first found at the upstream's address.
  std::optional<TimePoint> replaced_at_;
  int64_t renewals_sent_ = 0;
  int64_t newest_answered_renewal_ = 0;
  /// More than one only after the fencing token was raised: that renewal does
  /// not wait for the reply to the previous one.
  int renewals_in_flight_ = 0;
  bool renewal_scheduled_ = false;
  /// Number of pauses that a start has ended. A renewal that was scheduled
  /// before is not sent.
  int64_t ended_pauses_ = 0;
  /// Number of starts that were sent and not answered yet.
  int starts_in_flight_ = 0;
  int consecutive_failures_ = 0;
  /// The clock of this incarnation.
  UpstreamClock clock_;
  TaskLeases leases_;
  /// Numbers of the newest completions that were reported, that are stored, and
  /// whose acknowledgement the upstream has confirmed.
  int64_t last_reported_completion_ = 0;
  int64_t last_stored_completion_ = 0;
  int64_t last_acknowledged_completion_ = 0;
  std::map<std::pair<TaskId, int64_t>, StartInDoubt> starts_in_doubt_;
};

}  // namespace mimosarail::fleet
