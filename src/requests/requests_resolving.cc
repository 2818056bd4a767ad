// Requests: resolving the outcome of tasks whose controller is unresponsive.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"
#include "src/requests/task_summary.h"

namespace mimosarail::requests {

/// The answers of a round in flight predate this event. An entry that reported
/// the task as held there may have lost it since; accepting such an answer
/// would leave the request in the running state for ever.
void Requests::MarkUnresolved(Record& record, TaskRecord& task) {
  task.phase = TaskPhase::kResolving;
  task.stale_round = record.resolve_round;
}

void Requests::StartResolving(Record& record) {
  for (TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kRequested) MarkUnresolved(record, task);
  }
  if (record.resolving) return;
  record.resolving = true;
  record.resolve_base_round = record.resolve_round;
  record.resolve_since = c_.executor.Now();
  record.fenced_everywhere = false;
  record.why = "its controller is unresponsive; querying the other entries";
  c_.executor.Post([this, id = record.spec.id, loop = ++record.resolve_loop] {
    RunResolveRound(id, loop);
  });
}

void Requests::RunResolveRound(const std::string& id, int loop) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->resolving) return;
  if (record->resolve_loop != loop) return;
  ++record->resolve_round;
  // The first round only queries. A fence would cause a running task to be
  // stopped when its upstream is next attached by another entry.
  const bool old_enough =
      c_.executor.Now() - record->placed > options_.place_validity;
  const bool fence =
      record->resolve_round > record->resolve_base_round + 1 && old_enough;
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
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state != membership::PeerState::kDead) out.insert(name);
  }
  return out;
}

void Requests::QueryEntries(const std::string& id, int32_t fence_below) {
  struct Round {
    std::map<std::string, wire::FindReply> answers;
    size_t open = 0;
  };
  auto round = std::make_shared<Round>();
  wire::FindCall call;
  call.request_id = id;
  call.fence_below = fence_below;
  c_.execution.Find(call, round->answers[options_.self]);
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    ++round->open;
    c_.peers.Find(peer.address, call,
                  [this, id, fence_below, round,
                   name = name](const Result<wire::FindReply>& reply) {
                    if (reply.ok()) round->answers[name] = reply.value();
                    if (--round->open > 0) return;
                    EvaluateAnswers(id, fence_below, round->answers);
                  });
  }
  if (round->open > 0) return;
  c_.executor.Post([this, id, fence_below, round] {
    EvaluateAnswers(id, fence_below, round->answers);
  });
}

ResolutionInput Requests::MakeResolutionInput(
    const Record& record, const std::map<std::string, wire::FindReply>& answers,
    bool fenced) const {
  ResolutionInput input;
  input.attempt = record.attempt;
  input.answers = &answers;
  for (const auto& [name, listed] : c_.controller.listed()) {
    input.listed_upstreams.insert(name);
  }
  input.fenced = fenced;
  const TimePoint vanished = c_.controller.last_delisting();
  const TimePoint since = record.phase == Phase::kReclaiming
                              ? c_.executor.Now() - options_.outcome_window
                              : record.placed;
  input.upstream_removed = vanished >= since;
  input.removed_upstream_leases_expired =
      c_.executor.Now() - vanished > options_.lease + options_.max_delay;
  return input;
}

void Requests::EvaluateAnswers(
    const std::string& id, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->resolving) return;
  const TimePoint now = c_.executor.Now();
  const std::set<std::string> listed = LiveEntries();
  const bool answered_all = std::all_of(
      listed.begin(), listed.end(),
      [&](const std::string& name) { return answers.contains(name); });
  if (fence_below > 0 && answered_all && !record->fenced_everywhere) {
    record->fenced_everywhere = true;
    record->fenced_since = now;
  }
  const auto next = [this, id, loop = record->resolve_loop] {
    c_.executor.RunAfter(options_.resolve_interval,
                         [this, id, loop] { RunResolveRound(id, loop); });
  };
  if (record->phase == Phase::kReclaiming) {
    EvaluateReclaim(*record, fence_below, answers);
    record = FindMutable(id);
    if (record != nullptr && record->resolving) next();
    return;
  }
  ResolutionInput input =
      MakeResolutionInput(*record, answers, fence_below > record->attempt);
  const bool lease_over =
      record->fenced_everywhere &&
      now - record->fenced_since > options_.lease + options_.max_delay;
  const int32_t attempt = record->attempt;
  for (size_t i = 0; i < record->tasks.size(); ++i) {
    TaskRecord& task = record->tasks[i];
    if (task.phase != TaskPhase::kResolving) continue;
    if (task.stale_round >= record->resolve_round) continue;
    input.index = static_cast<int32_t>(i);
    input.lease_expiry_proved = lease_over && task.lease_expiry_assumed;
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
        task.phase = TaskPhase::kHeld;
        task.holder = result.holder;
        task.lease_expiry_assumed = false;
        const membership::Peer* peer = c_.members.Find(result.holder);
        task.holder_incarnation =
            peer != nullptr ? peer->last.incarnation : options_.incarnation;
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
        break;
    }
    ApplyReport(*record, report);
    if (record->phase != Phase::kRunning || record->attempt != attempt) return;
  }
  const bool open = std::any_of(
      record->tasks.begin(), record->tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kResolving; });
  record->resolving = open;
  if (!open) {
    record->why = "";
    return;
  }
  // The caller of a request that is not repeatable gets its answer once every
  // lease of the attempt must have expired.
  const Millis resolve_timeout = 3 * (options_.lease + options_.max_delay);
  if (!record->spec.repeatable &&
      now - record->resolve_since > resolve_timeout) {
    return End(*record, wire::Verdict::kUnknown,
               "its controller is unresponsive and it may have run");
  }
  next();
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
  const TaskSummary summary = SummarizeTasks(answers);
  if (summary.running) {
    record.why = "running; its former owner is dead";
    return;
  }
  if (summary.done()) return Finish(record, CombineAnswers(summary));
  if (!summary.results.empty() && !record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner started it and is dead");
  }
  ResolutionInput input = MakeResolutionInput(record, answers, fence_below > 0);
  input.attempt = -1;
  const Resolution result = ResolveTask(input);
  // Absence proves that the request is not running. It does not prove that it
  // never ran: the former owner may have received the answer and had the
  // result released. An owner that is only partitioned from this entry
  // continues: after this round it may attach upstreams again and start its
  // next attempt in parallel with the attempt of this entry.
  const bool owner_dead = c_.members.IsConfirmedDead(record.former_owner,
                                                     record.former_incarnation);
  const bool resolved =
      owner_dead && (result.result == ResolutionResult::kNotStarted ||
                     result.result == ResolutionResult::kNotRunning);
  if (resolved && record.spec.repeatable) {
    record.resolving = false;
    record.ran = true;  // the former owner may have run it
    record.phase = Phase::kClaiming;
    record.why = "its key is being claimed again";
    return Claim(record.spec.id);
  }
  if (resolved) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner is dead and it may have run");
  }
  const Millis resolve_timeout = 3 * (options_.lease + options_.max_delay);
  if (c_.executor.Now() - record.resolve_since > resolve_timeout) {
    End(record, wire::Verdict::kUnknown,
        "its former owner is dead and not every upstream is reachable",
        kMaxRetryMs);
  }
}

}  // namespace mimosarail::requests
