#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/control/controller.h"
#include "src/execution/execution.h"
#include "src/membership/membership.h"
#include "src/placement/starvation_guard.h"
#include "src/placement/wait_queue.h"
#include "src/requests/intent_ledger.h"
#include "src/requests/peer_capacity.h"
#include "src/requests/peer_port.h"
#include "src/requests/record.h"
#include "src/requests/resolution.h"
#include "src/requests/retry_budget.h"
#include "src/rules/rule_set.h"

namespace mimosarail::requests {

struct RequestsOptions {
  std::string self;  ///< Name of this entry.
  int64_t incarnation = 0;
  /// How long the outcome of an ended request can be queried.
  Millis outcome_window{600000};
  /// Limits on the stored requests and on the answers of the ended ones.
  size_t max_requests = 20000;
  int64_t max_answer_bytes = 8 << 20;
  /// Duration of the lease of a task at its upstream.
  Millis lease{8000};
  /// Longest time between sending a call and its arrival.
  Millis max_delay{2000};
  /// The receiver refuses a placement call that is older than this.
  Millis place_validity{3000};
  Millis resolve_interval{300};
  uint64_t seed = 1;
};

/// An ended request, as passed to metrics and cost accounting.
struct EndedRequest {
  const Record& record;
  int64_t now_unix_ms = 0;
};

/// Result of a submission. If it was accepted, the outcome is to be queried
/// under `id`. Otherwise `outcome` says why it was refused or not run.
struct SubmitResult {
  bool accepted = false;
  std::string id;
  wire::Outcome outcome;
};

/// One request as shown to operators and callers.
struct RequestView {
  std::string id;
  std::string owner;
  Phase phase = Phase::kEnded;
  std::string status_message;  ///< Why it is in this phase; may be empty.
  std::string rule;
  int64_t revision = 0;
  std::string team;
  std::string work;
  int32_t attempts = 0;
  int64_t waited_ms = 0;
  std::vector<std::string> task_states;  ///< Phase and controller by task.
};

/// The other components of the entry that Requests uses.
struct RequestsContext {
  Executor& executor;
  PeerPort& peers;
  const membership::Membership& members;
  control::Controller& controller;
  execution::Execution& execution;
  IntentLedger& ledger;
  /// Returns the current rules, or null; the returned pointer keeps them alive.
  std::function<std::shared_ptr<const rules::RuleSet>()> rules;
  /// Returns the configuration revision of the current rules.
  std::function<int64_t()> revision;
  /// Whether this entry accepts new requests.
  std::function<bool()> accepting;
  std::function<void(const EndedRequest&)> on_ended;
  std::function<void(const Record&)> on_first_start;
};

/// The owner's side of requests: admits, queues, places and retries them,
/// resolves tasks of unknown state and reports outcomes. A request has one
/// owner, and only its owner starts attempts and determines the outcome.
/// Control thread only.
class Requests {
 public:
  Requests(RequestsContext context, RequestsOptions options);
  void Start();

  /// `spec.id` must be a valid key if `spec.keyed`, else empty.
  void Submit(wire::RequestSpec spec, std::function<void(SubmitResult)> done);
  /// Runs `done` when the request has ended, immediately if it already has.
  /// Returns false if the request is unknown here.
  bool Await(const std::string& id, OutcomeCallback done);
  /// Idempotent. Returns false if this entry does not own the request.
  bool Cancel(const std::string& id);
  /// Returns the ids of unfinished requests for which `matches` returns true.
  std::vector<std::string> Select(
      const std::function<bool(const Record&)>& matches) const;

  const Record* Find(const std::string& id) const;
  std::vector<RequestView> Views(size_t max_count) const;
  RequestView View(const Record& record) const;

  /// Adds what this entry knows about the request as its owner.
  void DescribeTo(const wire::FindCall& call, wire::FindReply& reply) const;
  /// Handles a controller's report on one task. Returns false if the request
  /// is unknown or was placed by an earlier process of this entry.
  bool OnReport(const wire::ReportCall& report);
  /// Peers were added or removed, or changed their state.
  void OnMembershipChanged();
  /// Schedules a placement pass, for example after capacity was released.
  void SchedulePlacementPass();
  /// Ends every request that is not placed at controllers.
  void AbandonWaiting(const std::string& reason);
  /// This process was paused long enough for other entries to have reclaimed
  /// its keys.
  void OnSelfPaused();

  size_t waiting() const { return queue_.size(); }
  size_t unfinished() const;
  /// Millicores and waiting requests by team, for requests owned here.
  std::map<std::string, wire::TeamUse> TeamUse() const;
  /// Returns the delay after which a refused caller should retry.
  int64_t RetryAfterMs() const;

 private:
  Record* FindMutable(const std::string& id);
  SubmitResult NotRun(const std::string& reason, int64_t retry_after_ms) const;
  std::optional<SubmitResult> CheckAdmission(const wire::RequestSpec& spec,
                                             const wire::Treatment& treatment,
                                             const rules::RuleSet& rules);
  /// Returns why the request would not fit even if the listed upstreams were
  /// empty, or an empty string if it would fit or none is listed.
  std::string CachedInfeasibleReason(const wire::RequestSpec& spec);
  std::string FindInfeasibleReason(const wire::RequestSpec& spec) const;
  int64_t TeamWaiting(const std::string& team) const;
  int64_t TeamMillicores(const std::string& team) const;

  void Claim(const std::string& id);
  void OnClaimed(const std::string& id, std::optional<wire::Intent> winner);
  void ForwardToOwner(const std::string& id, const wire::Intent& winner);
  void OnForwarded(const std::string& id, const wire::Intent& winner,
                   const Result<wire::SubmitReply>& reply);
  void PollOwner(const std::string& id, const std::string& address);
  void Reclaim(Record& record, const wire::Intent& previous);

  void OnIntent(const wire::Intent& intent);
  void ClaimNextEpoch(Record& record, const std::string& status_message);
  void SetCountedWaiting(Record& record, bool counted);
  void SetCountedRunning(Record& record, bool counted);

  void Enqueue(Record& record);
  void RunPlacementPass();
  placement::VisitResult TryPlace(Record& record, bool use_reserve);
  bool PlaceHere(Record& record, const wire::PlaceCall& call);
  bool PlaceAtPeer(Record& record, const wire::PlaceCall& call,
                   const placement::PlacementRequest& request);
  void OnPlaceReply(const std::string& id, int32_t attempt,
                    const std::string& peer,
                    const placement::PlacementRequest& request,
                    const Result<wire::PlaceReply>& reply);
  wire::PlaceCall MakePlaceCall(const Record& record, bool use_reserve) const;
  void MarkRunning(Record& record, const std::string& controller,
                   int64_t incarnation, TaskPhase phase);
  void NoteStarted(Record& record);

  void ApplyReport(Record& record, const wire::ReportCall& report);
  void StopGang(Record& record);
  void SendStop(Record& record);
  void EvaluateAttempt(Record& record);
  void RetryOrEnd(Record& record);
  /// Adds the upstreams lost in this attempt to the count of each task that ran
  /// on one. Returns true if the count of a task is so high that the task is
  /// considered the cause.
  bool CountCrashes(Record& record);
  void NextAttempt(Record& record, Millis delay);

  void MarkUnresolved(Record& record, TaskRecord& task);
  void StartResolving(Record& record);
  void RunResolveRound(const std::string& id, int generation);
  void QueryEntries(const std::string& id, int32_t fence_below);
  void EvaluateAnswers(const std::string& id, int32_t fence_below,
                       const std::map<std::string, wire::FindReply>& answers);
  /// Abandons the reclaim of a key whose owner was only unreachable. Returns
  /// whether the owner is alive.
  bool ReturnToOwner(Record& record);
  void EvaluateReclaim(Record& record, int32_t fence_below,
                       const std::map<std::string, wire::FindReply>& answers);
  ResolutionInput MakeResolutionInput(
      const Record& record,
      const std::map<std::string, wire::FindReply>& answers, bool fenced) const;
  std::set<std::string> LiveEntries() const;

  void End(Record& record, wire::Verdict::type verdict,
           const std::string& reason, int64_t retry_after_ms = 0);
  void EndUnstarted(Record& record, const std::string& reason,
                    int64_t retry_after_ms);
  void EndDone(Record& record);
  void Finish(Record& record, wire::Outcome outcome);
  void SetExpiry(Record& record, TimePoint when);
  void Tick();
  void DiscardExpiredOutcomes();
  void RetainOutcome(Record& record);
  void CheckRunning(Record& record);

  RequestsContext context_;
  RequestsOptions options_;
  std::unordered_map<std::string, Record> records_;
  /// Ids of the unfinished requests by Record::serial.
  std::unordered_map<uint64_t, std::string> by_serial_;
  /// Expiry time and id of each request with a wait limit or deadline.
  std::set<std::pair<TimePoint, std::string>> expiries_;
  /// Time of the end and id of the ended requests, oldest first.
  std::deque<std::pair<TimePoint, std::string>> retained_outcomes_;
  placement::WaitQueue queue_;
  placement::StarvationGuard starvation_guard_;
  RetryBudget retry_budget_;
  PeerCapacity peer_capacity_;
  std::mt19937_64 random_;
  std::map<std::string, wire::TeamUse> own_team_use_;
  /// Results of FindInfeasibleReason() by ShapeOf(), for the version
  /// infeasible_list_version_ of the instance list.
  std::unordered_map<uint64_t, std::string> infeasible_reasons_;
  int64_t infeasible_list_version_ = -1;
  uint64_t next_serial_ = 0;
  int64_t next_id_ = 0;
  int64_t answer_bytes_ = 0;  ///< Total size of the retained answers.
  bool placement_pass_pending_ = false;
  double start_rate_ = 1.0;  ///< Starts per second, smoothed.
  TimePoint rate_since_{};   ///< Start of the interval being measured.
  int64_t rate_starts_ = 0;  ///< Starts since rate_since_.
};

/// Hash of size and placement constraints: equal for requests that fit on the
/// same upstreams.
uint64_t ShapeOf(const wire::RequestSpec& spec);

/// Digest of the whole specification. Two submissions with the same key are the
/// same request if their digests are equal.
std::string ContentDigest(const wire::RequestSpec& spec);

}  // namespace mimosarail::requests
