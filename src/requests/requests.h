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
#include "src/requests/peer_port.h"
#include "src/requests/peer_rooms.h"
#include "src/requests/record.h"
#include "src/requests/retry_budget.h"
#include "src/requests/settlement.h"
#include "src/rules/rule_set.h"

namespace mimosarail::requests {

struct RequestsOptions {
  std::string self;
  int64_t incarnation = 0;
  Millis outcome_window{600000};
  size_t max_requests = 20000;
  int64_t max_answer_bytes = 8 << 20;
  Millis lease{8000};
  Millis max_delay{2000};
  /// A placement call that is older than this is refused by its receiver.
  Millis place_validity{3000};
  Millis settle_every{300};
  uint64_t seed = 1;
};

/// What an ended request adds to the books.
struct Ended {
  const Record& record;
  int64_t now_unix_ms = 0;
};

/// Answer to a submission: taken (its outcome comes later under `id`), or the
/// outcome at once.
struct Submitted {
  bool taken = false;
  std::string id;
  wire::Outcome outcome;
};

/// What an operator or caller sees of one request.
struct RequestView {
  std::string id;
  std::string owner;
  Phase phase = Phase::kEnded;
  std::string why;
  std::string rule;
  int64_t revision = 0;
  std::string team;
  std::string work;
  int32_t attempts = 0;
  int64_t waited_ms = 0;
  std::vector<std::string> holders;
};

/// Everything that one entry's requests need of the rest of the entry.
struct RequestsContext {
  Executor& executor;
  PeerPort& peers;
  const membership::Membership& members;
  control::Controller& controller;
  execution::Execution& execution;
  IntentLedger& ledger;
  /// Rules in force, or null; a copy keeps them alive.
  std::function<std::shared_ptr<const rules::RuleSet>()> rules;
  std::function<int64_t()> revision;
  std::function<bool()> accepting;
  std::function<void(const Ended&)> on_ended;
  std::function<void(const Record&)> on_first_start;
};

/// Owner of requests: admits, queues, places, retries, settles and answers.
/// A request has one owner, and only its owner starts attempts and says how it
/// ended. Control thread only.
class Requests {
 public:
  Requests(RequestsContext context, RequestsOptions options);
  void Start();

  /// `spec.id` must be a valid key if `spec.keyed`, else empty.
  void Submit(wire::RequestSpec spec, std::function<void(Submitted)> done);
  /// Runs `done` when the request ended, at once if it has. False if it is
  /// not owned here.
  bool Await(const std::string& id, OutcomeCallback done);
  /// Idempotent. False if it is not owned here.
  bool Cancel(const std::string& id);
  /// Ids of requests that are not ended and that `matches`.
  std::vector<std::string> Select(
      const std::function<bool(const Record&)>& matches) const;

  const Record* Find(const std::string& id) const;
  std::vector<RequestView> Views(size_t most) const;
  RequestView View(const Record& record) const;

  /// Fills in what this entry knows as owner.
  void DescribeTo(const wire::FindCall& call, wire::FindReply& reply) const;
  /// The word of a controller on one task; false if the request is unknown.
  bool OnReport(const wire::ReportCall& report);
  /// Peers came, went or changed.
  void OnMembershipChanged();
  /// Room may have come free; placing follows soon.
  void RequestDrain();
  /// Ends every request that has not been given to a controller.
  void GiveUpWaiting(const std::string& reason);
  /// This process was paused for long: others may have taken its keys over.
  void OnSelfPaused();

  size_t waiting() const { return queue_.size(); }
  size_t unfinished() const;
  /// Millicores and waiting requests by team, as owned here.
  std::map<std::string, wire::TeamUse> TeamUse() const;
  /// When a refused caller should come back.
  int64_t RetryAfterMs() const;

 private:
  Record* FindMutable(const std::string& id);
  Submitted NotRun(const std::string& reason, int64_t retry_after_ms) const;
  std::optional<Submitted> CheckAdmission(const wire::RequestSpec& spec,
                                          const wire::Treatment& treatment,
                                          const rules::RuleSet& rules);
  std::string ImpossibleReason(const wire::RequestSpec& spec);
  std::string FindImpossible(const wire::RequestSpec& spec) const;
  int64_t TeamWaiting(const std::string& team) const;
  int64_t TeamMillicores(const std::string& team) const;

  void Claim(const std::string& id);
  void OnClaimed(const std::string& id, std::optional<wire::Intent> winner);
  void FollowOwner(const std::string& id, const wire::Intent& winner);
  void OnHandedOver(const std::string& id, const wire::Intent& winner,
                    const Result<wire::SubmitReply>& reply);
  void PollOwner(const std::string& id, const std::string& address);
  void Reclaim(Record& record, const wire::Intent& lost);

  void OnIntent(const wire::Intent& intent);
  void ClaimNextEpoch(Record& record, const std::string& why);
  void CountWaiting(Record& record, bool on);
  void CountRunning(Record& record, bool on);

  void Enqueue(Record& record);
  void Drain();
  placement::Visit TryPlace(Record& record, bool use_reserve);
  bool PlaceHere(Record& record, const wire::PlaceCall& call);
  bool PlaceAtPeer(Record& record, const wire::PlaceCall& call,
                   const placement::Ask& ask);
  void OnPlaceReply(const std::string& id, int32_t attempt,
                    const std::string& peer, const placement::Ask& ask,
                    const Result<wire::PlaceReply>& reply);
  wire::PlaceCall MakeCall(const Record& record, bool use_reserve) const;
  void MarkRunning(Record& record, const std::string& holder,
                   int64_t incarnation, TaskPhase phase);
  void NoteStarted(Record& record);

  void ApplyReport(Record& record, const wire::ReportCall& report);
  void StopOthers(Record& record);
  void SendStop(Record& record);
  void EvaluateAttempt(Record& record);
  void RetryOrGiveUp(Record& record);
  /// Counts upstreams that were lost in this attempt; whether one task has lost
  /// so many that it is taken for the cause.
  bool CrashesUpstreams(Record& record);
  void NextAttempt(Record& record, Millis delay);

  void SetSettling(Record& record, TaskRecord& task);
  void StartSettling(Record& record);
  void SettleRound(const std::string& id, int loop);
  void CollectAnswers(const std::string& id, int32_t fence_below);
  void EvaluateSettlement(
      const std::string& id, int32_t fence_below,
      const std::map<std::string, wire::FindReply>& answers);
  void EvaluateReclaim(Record& record, int32_t fence_below,
                       const std::map<std::string, wire::FindReply>& answers);
  SettlementInput MakeSettlementInput(
      const Record& record,
      const std::map<std::string, wire::FindReply>& answers, bool fenced) const;
  std::set<std::string> ListedEntries() const;

  void End(Record& record, wire::Verdict::type verdict,
           const std::string& reason, int64_t retry_after_ms = 0);
  void EndUnstarted(Record& record, const std::string& reason,
                    int64_t retry_after_ms);
  void EndDone(Record& record);
  void Finish(Record& record, wire::Outcome outcome);
  void SetExpiry(Record& record, TimePoint when);
  void Tick();
  void ExpireOld();
  void Retain(Record& record);
  void CheckRunning(Record& record);

  RequestsContext c_;
  RequestsOptions options_;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<uint64_t, std::string> by_serial_;
  std::set<std::pair<TimePoint, std::string>> expiries_;
  std::deque<std::pair<TimePoint, std::string>> ended_;
  placement::WaitQueue queue_;
  placement::StarvationGuard guard_;
  RetryBudget budget_;
  PeerRooms rooms_;
  std::mt19937_64 random_;
  std::map<std::string, wire::TeamUse> own_use_;
  /// Verdicts of FindImpossible() by shape, for one version of the list.
  std::unordered_map<uint64_t, std::string> impossible_;
  int64_t impossible_version_ = -1;
  uint64_t next_serial_ = 0;
  int64_t next_id_ = 0;
  int64_t answer_bytes_ = 0;
  bool drain_pending_ = false;
  double start_rate_ = 1.0;
  TimePoint rate_since_{};
  int64_t rate_starts_ = 0;
};

/// Equal for requests that fit in the same places.
uint64_t ShapeOf(const wire::RequestSpec& spec);

/// Digest over what makes two submissions the same.
std::string ContentDigest(const wire::RequestSpec& spec);

}  // namespace mimosarail::requests
