// Requests: finding out what became of tasks whose controller is silent.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"
#include "src/requests/task_words.h"

namespace mimosarail::requests {

/// The answers of a round that is under way were given before this word came:
/// an entry that said "held here" may have lost the task since, and believing
/// it would leave the request running for ever in the owner's eyes.
void Requests::SetSettling(Record& record, TaskRecord& task) {
  task.phase = TaskPhase::kSettling;
  task.stale_round = record.settle_round;
}

void Requests::StartSettling(Record& record) {
  for (TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kAsked) SetSettling(record, task);
  }
  if (record.settling) return;
  record.settling = true;
  record.settle_first = record.settle_round;
  record.settle_since = c_.executor.Now();
  record.fenced_everywhere = false;
  record.why = "its controller is silent; asking the others";
  c_.executor.Post([this, id = record.spec.id, loop = ++record.settle_loop] {
    SettleRound(id, loop);
  });
}

void Requests::SettleRound(const std::string& id, int loop) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->settling) return;
  if (record->settle_loop != loop) return;
  ++record->settle_round;
  // Look first, fence later: a fence would have a running task stopped when
  // its upstream next changes hands.
  const bool old_enough =
      c_.executor.Now() - record->placed > options_.place_validity;
  const bool fence =
      record->settle_round > record->settle_first + 1 && old_enough;
  int32_t fence_below = 0;
  if (fence) {
    fence_below = record->phase == Phase::kReclaiming
                      ? record->epoch * kAttemptsPerEpoch
                      : record->attempt + 1;
  }
  CollectAnswers(id, fence_below);
}

std::set<std::string> Requests::ListedEntries() const {
  std::set<std::string> out;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state != membership::PeerState::kDead) out.insert(name);
  }
  return out;
}

void Requests::CollectAnswers(const std::string& id, int32_t fence_below) {
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
                    EvaluateSettlement(id, fence_below, round->answers);
                  });
  }
  if (round->open > 0) return;
  c_.executor.Post([this, id, fence_below, round] {
    EvaluateSettlement(id, fence_below, round->answers);
  });
}

SettlementInput Requests::MakeSettlementInput(
    const Record& record, const std::map<std::string, wire::FindReply>& answers,
    bool fenced) const {
  SettlementInput input;
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
  input.upstream_vanished = vanished >= since;
  input.vanished_surely_lapsed =
      c_.executor.Now() - vanished > options_.lease + options_.max_delay;
  return input;
}

void Requests::EvaluateSettlement(
    const std::string& id, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->settling) return;
  const TimePoint now = c_.executor.Now();
  const std::set<std::string> listed = ListedEntries();
  const bool answered_all = std::all_of(
      listed.begin(), listed.end(),
      [&](const std::string& name) { return answers.contains(name); });
  if (fence_below > 0 && answered_all && !record->fenced_everywhere) {
    record->fenced_everywhere = true;
    record->fenced_since = now;
  }
  const auto next = [this, id, loop = record->settle_loop] {
    c_.executor.RunAfter(options_.settle_every,
                         [this, id, loop] { SettleRound(id, loop); });
  };
  if (record->phase == Phase::kReclaiming) {
    EvaluateReclaim(*record, fence_below, answers);
    record = FindMutable(id);
    if (record != nullptr && record->settling) next();
    return;
  }
  SettlementInput input =
      MakeSettlementInput(*record, answers, fence_below > record->attempt);
  const bool lease_over =
      record->fenced_everywhere &&
      now - record->fenced_since > options_.lease + options_.max_delay;
  const int32_t attempt = record->attempt;
  for (size_t i = 0; i < record->tasks.size(); ++i) {
    TaskRecord& task = record->tasks[i];
    if (task.phase != TaskPhase::kSettling) continue;
    if (task.stale_round >= record->settle_round) continue;
    input.index = static_cast<int32_t>(i);
    input.lapse_proved = lease_over && task.lapse_assumed;
    input.began = task.began;
    const Settlement result = Settle(input);
    wire::ReportCall report = result.report;
    report.request_id = id;
    report.attempt = attempt;
    report.index = input.index;
    switch (result.result) {
      case SettlementResult::kWait:
        continue;
      case SettlementResult::kHeld: {
        task.phase = TaskPhase::kHeld;
        task.holder = result.holder;
        task.lapse_assumed = false;
        const membership::Peer* peer = c_.members.Find(result.holder);
        task.holder_incarnation =
            peer != nullptr ? peer->last.incarnation : options_.incarnation;
        continue;
      }
      case SettlementResult::kEnded:
        break;
      case SettlementResult::kNotStarted:
        report.result = wire::TaskEnd::kNotStarted;
        report.reason = "every entry and upstream says so";
        break;
      case SettlementResult::kGone:
        report.result = wire::TaskEnd::kLost;
        report.reason = "its upstream is gone";
        break;
    }
    ApplyReport(*record, report);
    if (record->phase != Phase::kRunning || record->attempt != attempt) return;
  }
  const bool open = std::any_of(
      record->tasks.begin(), record->tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kSettling; });
  record->settling = open;
  if (!open) {
    record->why = "";
    return;
  }
  // Whoever waits for a request that may not be repeated is told what is
  // known once every lease of it must have ended.
  const Millis patience = 3 * (options_.lease + options_.max_delay);
  if (!record->spec.repeatable && now - record->settle_since > patience) {
    return End(*record, wire::Verdict::kUnknown,
               "its controller is silent and it may have run");
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
  const WordsSummary words = SummariseWords(answers);
  if (words.running) {
    record.why = "running; its former owner is gone";
    return;
  }
  if (words.done()) return Finish(record, DoneOutcome(words));
  if (!words.ends.empty() && !record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner started it and is gone");
  }
  SettlementInput input = MakeSettlementInput(record, answers, fence_below > 0);
  input.attempt = -1;
  const Settlement result = Settle(input);
  // Absence proves that it does not run. It does not prove that it never ran:
  // its former owner may have taken the answer and had the end released.
  // An owner that is only cut off from here goes on: it may attach upstreams
  // anew after this sweep and start its next attempt beside ours.
  const bool gone =
      c_.members.SurelyGone(record.former_owner, record.former_incarnation);
  const bool settled =
      gone && (result.result == SettlementResult::kNotStarted ||
               result.result == SettlementResult::kGone);
  if (settled && record.spec.repeatable) {
    record.settling = false;
    record.ran = true;  // under its former owner, for all that is known
    record.phase = Phase::kClaiming;
    record.why = "its key is being claimed anew";
    return Claim(record.spec.id);
  }
  if (settled) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner is gone and it may have run");
  }
  const Millis patience = 3 * (options_.lease + options_.max_delay);
  if (c_.executor.Now() - record.settle_since > patience) {
    End(record, wire::Verdict::kUnknown,
        "its former owner is gone and not every upstream can be asked",
        kLongestRetryMs);
  }
}

}  // namespace mimosarail::requests
