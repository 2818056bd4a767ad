// Requests: claiming a key, forwarding to its owner, and reclaiming it.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {

void Requests::Claim(const std::string& id) {
  Record* record = FindMutable(id);
  if (record == nullptr) return;
  wire::Intent intent;
  intent.request_id = id;
  intent.epoch = record->epoch;
  intent.owner = options_.self;
  intent.owner_incarnation = options_.incarnation;
  intent.spec_digest = record->digest;
  context_.ledger.Claim(intent, [this, id](std::optional<wire::Intent> winner) {
    OnClaimed(id, std::move(winner));
  });
}

void Requests::OnClaimed(const std::string& id,
                         std::optional<wire::Intent> winner) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->phase != Phase::kClaiming) return;
  if (!winner) {
    // The intent of this entry may still reach the log. That is harmless: this
    // entry then owns a key whose request it has not started.
    return EndUnstarted(*record,
                        "the log did not confirm the claim of its key in time",
                        kMinRetryAfterMs * 2);
  }
  if (winner->spec_digest != record->digest) {
    return End(*record, wire::Verdict::kRefused,
               "the key is in use for a different request");
  }
  const bool won = winner->owner == options_.self &&
                   winner->owner_incarnation == options_.incarnation;
  if (!won) return ForwardToOwner(id, *winner);
  record->epoch = winner->epoch;
  record->attempt =
      std::max(record->attempt, winner->epoch * kAttemptsPerEpoch);
  Enqueue(*record);
}

void Requests::ForwardToOwner(const std::string& id,
                              const wire::Intent& winner) {
  Record* record = FindMutable(id);
  if (record == nullptr) return;
  if (!context_.members.IsCurrentProcess(winner.owner,
                                         winner.owner_incarnation)) {
    return Reclaim(*record, winner);
  }
  record->owned_by_other_entry = true;
  const membership::Peer* owner = context_.members.Find(winner.owner);
  record->status_message = "owned by " + winner.owner;
  wire::SubmitCall call;
  call.spec = record->spec;
  context_.peers.Submit(
      owner->address, call,
      [this, id, winner](const Result<wire::SubmitReply>& reply) {
        OnForwarded(id, winner, reply);
      });
}

void Requests::OnForwarded(const std::string& id, const wire::Intent& winner,
                           const Result<wire::SubmitReply>& reply) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->phase != Phase::kClaiming) return;
  if (reply.ok() && !reply.value().taken) {
    return End(*record, wire::Verdict::kNotRun,
               winner.owner + ": " + reply.value().refusal,
               reply.value().retry_after_ms);
  }
  const membership::Peer* owner = context_.members.Find(winner.owner);
  if (!reply.ok() || owner == nullptr) {
    context_.executor.RunAfter(
        kCheckInterval, [this, id, winner] { ForwardToOwner(id, winner); });
    return;
  }
  PollOwner(id, owner->address);
}

/// The owner determines the outcome; this entry only forwards it.
void Requests::PollOwner(const std::string& id, const std::string& address) {
  wire::FindCall call;
  call.request_id = id;
  call.wait_ms = kCheckInterval.count();
  context_.peers.Find(
      address, call, [this, id, address](const Result<wire::FindReply>& reply) {
        Record* record = FindMutable(id);
        if (record == nullptr || record->phase != Phase::kClaiming) return;
        if (reply.ok() && reply.value().owner == wire::OwnerState::kEnded) {
          return Finish(*record, reply.value().outcome);
        }
        if (reply.ok() && reply.value().owner != wire::OwnerState::kAbsent) {
          record->status_message = reply.value().why;
          return PollOwner(id, address);
        }
        // The owner is unreachable or was restarted. The claim in the log names
        // the incarnation whose liveness decides what follows.
        context_.executor.RunAfter(kCheckInterval, [this, id] {
          const wire::Intent* winner = context_.ledger.Find(id);
          if (winner != nullptr) OnClaimed(id, *winner);
        });
      });
}

/// The entry that won the key is dead. Tasks that it started keep running on
/// the upstreams, so the key is claimed again only after its attempts have
/// been resolved.
void Requests::Reclaim(Record& record, const wire::Intent& previous) {
  record.owned_by_other_entry = true;
  record.phase = Phase::kReclaiming;
  record.epoch = previous.epoch + 1;
  record.former_owner = previous.owner;
  record.former_incarnation = previous.owner_incarnation;
  record.status_message = "its former owner is dead";
  StartResolving(record);
}

/// Observes the claims of all entries: a key that this entry still owns may
/// have been reclaimed while it was partitioned from the other entries.
void Requests::OnIntent(const wire::Intent& intent) {
  Record* record = FindMutable(intent.request_id);
  if (record == nullptr || intent.epoch <= record->epoch) return;
  if (record->phase != Phase::kWaiting && record->phase != Phase::kBackoff) {
    return;
  }
  ClaimNextEpoch(*record, "its key was claimed by another entry");
}

void Requests::ClaimNextEpoch(Record& record,
                              const std::string& status_message) {
  queue_.Remove(record.serial);
  SetCountedWaiting(record, false);
  record.phase = Phase::kClaiming;
  record.status_message = status_message;
  ++record.epoch;
  record.attempt = std::max(record.attempt, record.epoch * kAttemptsPerEpoch);
  Claim(record.spec.id);
}

void Requests::SetCountedWaiting(Record& record, bool counted) {
  if (record.counted_waiting == counted) return;
  record.counted_waiting = counted;
  own_team_use_[record.spec.team].waiting += counted ? 1 : -1;
}

void Requests::SetCountedRunning(Record& record, bool counted) {
  if (record.counted_running == counted) return;
  record.counted_running = counted;
  const int64_t millicores =
      static_cast<int64_t>(record.spec.size.millicores) * record.spec.tasks;
  own_team_use_[record.spec.team].millicores +=
      counted ? millicores : -millicores;
}

}  // namespace mimosarail::requests
