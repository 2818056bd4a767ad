// Requests: resolving the outcome of tasks whose controller is unresponsive.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"
#include "src/requests/task_summary.h"

namespace mimosarail::requests {

/// Marks a task whose controller is unresponsive or has lost it. Answers of the
/// round in flight are ignored for the task: an entry may have lost the task
/// after it answered that it controls it. If such an answer were accepted, the
/// request would stay in the running state forever.
void Requests::MarkUnresolved(Record& record, TaskRecord& task) {
  task.phase = TaskPhase::kResolving;
  task.stale_round = record.resolve_round;
}

void Requests::StartResolving(Record& record) {
  for (TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kSent) MarkUnresolved(record, task);
  }
  if (record.resolving) return;
  record.resolving = true;
  record.resolve_base_round = record.resolve_round;
  record.resolve_since = context_.executor.Now();
  record.fenced_everywhere = false;
  record.status_message =
      "its controller is unresponsive; querying the other entries";
  context_.executor.Post(
      [this, id = record.spec.id, generation = ++record.resolve_generation] {
        RunResolveRound(id, generation);
      });
}

void Requests::RunResolveRound(const std::string& id, int generation) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->resolving) return;
  if (record->resolve_generation != generation) return;
  ++record->resolve_round;
  // The first round only queries. A fence would stop a task that is still
  // running as soon as another entry attaches its upstream.
  const bool place_call_expired =
      context_.executor.Now() - record->placed_at > options_.place_validity;
  // An owner that is only partitioned from this entry continues its request,
  // and its placement calls must not be refused.
  const bool owner_may_live =
      record->phase == Phase::kReclaiming &&
      !context_.members.IsConfirmedDead(record->former_owner,
                                        record->former_incarnation);
  const bool fence = record->resolve_round > record->resolve_base_round + 1 &&
                     place_call_expired && !owner_may_live;
  int32_t fence_below = 0;
  if (fence) {
    fence_below = record->phase == Phase::kReclaiming
                      ? record->epoch * kAttemptsPerEpoch
                      : record->attempt + 1;
  }
  QueryEntries(id, fence_below);
}

std::set<std::string> Requests::LiveEntries() const {
  std::set<std::string> out;
  for (const auto& [name, peer] : context_.members.peers()) {
    if (peer.state != membership::PeerState::kDead) out.insert(name);
  }
  return out;
}

void Requests::QueryEntries(const std::string& id, int32_t fence_below) {
  struct Round {
    std::map<std::string, wire::FindReply> answers;
    size_t pending_replies = 0;
  };
  auto round = std::make_shared<Round>();
  wire::FindCall call;
  call.request_id = id;
  call.fence_below = fence_below;
  context_.execution.Find(call, round->answers[options_.self]);
  for (const auto& [name, peer] : context_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    ++round->pending_replies;
    context_.peers.Find(peer.address, call,
                        [this, id, fence_below, round,
                         name = name](const Result<wire::FindReply>& reply) {
                          if (reply.ok()) round->answers[name] = reply.value();
                          if (--round->pending_replies > 0) return;
                          EvaluateAnswers(id, fence_below, round->answers);
                        });
  }
  if (round->pending_replies > 0) return;
  context_.executor.Post([this, id, fence_below, round] {
    EvaluateAnswers(id, fence_below, round->answers);
  });
}

ResolutionInput Requests::MakeResolutionInput(
    const Record& record, const std::map<std::string, wire::FindReply>& answers,
    bool fenced) const {
  ResolutionInput input;
  input.attempt = record.attempt;
  input.answers = &answers;
  for (const auto& [name, listed] : context_.controller.listed()) {
    input.listed_upstreams.insert(name);
  }
  input.fenced = fenced;
  const TimePoint last_removal = context_.controller.last_delisting();
  const TimePoint since =
      record.phase == Phase::kReclaiming
          ? context_.executor.Now() - options_.outcome_window
          : record.placed_at;
  input.upstream_removed = last_removal >= since;
  input.removed_upstream_leases_expired =
      context_.executor.Now() - last_removal >
      options_.lease + options_.max_delay;
  return input;
}

void Requests::EvaluateAnswers(
    const std::string& id, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->resolving) return;
  const TimePoint now = context_.executor.Now();
  const std::set<std::string> live = LiveEntries();
  const bool answered_all = std::all_of(
      live.begin(), live.end(),
      [&](const std::string& name) { return answers.contains(name); });
  if (fence_below > 0 && answered_all && !record->fenced_everywhere) {
    record->fenced_everywhere = true;
    record->fenced_since = now;
  }
  const auto schedule_next_round = [this, id,
                                    generation = record->resolve_generation] {
    context_.executor.RunAfter(
        options_.resolve_interval,
        [this, id, generation] { RunResolveRound(id, generation); });
  };
  if (record->phase == Phase::kReclaiming) {
    EvaluateReclaim(*record, fence_below, answers);
    record = FindMutable(id);
    if (record != nullptr && record->resolving) schedule_next_round();
    return;
  }
  ResolutionInput input =
      MakeResolutionInput(*record, answers, fence_below > record->attempt);
  const bool leases_expired =
      record->fenced_everywhere &&
      now - record->fenced_since > options_.lease + options_.max_delay;
  const int32_t attempt = record->attempt;
  for (size_t i = 0; i < record->tasks.size(); ++i) {
    TaskRecord& task = record->tasks[i];
    if (task.phase != TaskPhase::kResolving) continue;
    if (task.stale_round >= record->resolve_round) continue;
    input.index = static_cast<int32_t>(i);
    input.lease_expiry_proved = leases_expired && task.lease_expiry_assumed;
    input.began = task.began;
    const Resolution result = ResolveTask(input);
    wire::ReportCall report = result.report;
    report.request_id = id;
    report.attempt = attempt;
    report.index = input.index;
    switch (result.result) {
      case ResolutionResult::kWait:
        continue;
      case ResolutionResult::kRunning: {
        task.phase = TaskPhase::kAccepted;
        task.controller = result.controller;
        task.lease_expiry_assumed = false;
        const membership::Peer* peer = context_.members.Find(result.controller);
        task.controller_incarnation = peer != nullptr
                                          ? peer->last_heartbeat.incarnation
                                          : options_.incarnation;
        continue;
      }
      case ResolutionResult::kEnded:
        break;
      case ResolutionResult::kNotStarted:
        report.result = wire::TaskEnd::kNotStarted;
        report.reason = "no entry or upstream has it";
        break;
      case ResolutionResult::kNotRunning:
        report.result = wire::TaskEnd::kLost;
        report.reason = "its upstream was lost";
        task.crash_unproved =
            !result.upstream_lost ||
            context_.controller.HasLeftAsPlanned(task.upstream);
        break;
    }
    ApplyReport(*record, report);
    if (record->phase != Phase::kRunning || record->attempt != attempt) return;
  }
  const bool unresolved = std::any_of(
      record->tasks.begin(), record->tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kResolving; });
  record->resolving = unresolved;
  if (!unresolved) {
    record->status_message = "";
    return;
  }
  // The caller of a request that is not repeatable gets the verdict "unknown"
  // once every lease of the attempt must have expired.
  const Millis resolve_timeout = 3 * (options_.lease + options_.max_delay);
  if (!record->spec.repeatable &&
      now - record->resolve_since > resolve_timeout) {
    return End(*record, wire::Verdict::kUnknown,
               "its controller is unresponsive and it may have run");
  }
  schedule_next_round();
}

bool Requests::ReturnToOwner(Record& record) {
  if (!context_.members.IsCurrentProcess(record.former_owner,
                                         record.former_incarnation)) {
    return false;
  }
  const wire::Intent* intent = context_.ledger.Find(record.spec.id);
  if (intent == nullptr || intent->owner != record.former_owner ||
      intent->owner_incarnation != record.former_incarnation) {
    return false;
  }
  record.resolving = false;
  record.phase = Phase::kClaiming;
  ForwardToOwner(record.spec.id, wire::Intent(*intent));
  return true;
}

void Requests::EvaluateReclaim(
    Record& record, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  for (const auto& [entry, reply] : answers) {
    if (entry != options_.self && reply.owner == wire::OwnerState::kEnded &&
        reply.outcome.verdict != wire::Verdict::kNotRun) {
      return Finish(record, reply.outcome);
    }
  }
  if (ReturnToOwner(record)) return;
  const TaskSummary summary = SummarizeTasks(answers);
  if (summary.running) {
    record.status_message = "running; its former owner is dead";
    return;
  }
  if (summary.done()) return Finish(record, CombineAnswers(summary));
  if (!summary.results.empty() && !record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner started it and is dead");
  }
  ResolutionInput input = MakeResolutionInput(record, answers, fence_below > 0);
  // Matches no task: the attempts of the former owner are evaluated above.
  input.attempt = -1;
  const Resolution result = ResolveTask(input);
  // A request that no entry or upstream has is not running. It may have run:
  // the former owner may have received its answer and released the result at
  // the upstream. The death of the former owner must be confirmed, because an
  // owner that is only partitioned from this entry continues: after this round
  // it may attach upstreams again and start its next attempt in parallel with
  // the attempt of this entry.
  const bool owner_dead = context_.members.IsConfirmedDead(
      record.former_owner, record.former_incarnation);
  const bool resolved =
      owner_dead && (result.result == ResolutionResult::kNotStarted ||
                     result.result == ResolutionResult::kNotRunning);
  if (resolved && record.spec.repeatable) {
    record.resolving = false;
    record.may_have_started = true;  // by the former owner
    record.phase = Phase::kClaiming;
    record.status_message = "its key is being claimed again";
    return Claim(record.spec.id);
  }
  if (resolved) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner is dead and it may have run");
  }
  const Millis resolve_timeout = 3 * (options_.lease + options_.max_delay);
  if (context_.executor.Now() - record.resolve_since > resolve_timeout) {
    End(record, wire::Verdict::kUnknown,
        "its former owner is dead and not every upstream is reachable",
        kMaxRetryAfterMs);
  }
}

}  // namespace mimosarail::requests
