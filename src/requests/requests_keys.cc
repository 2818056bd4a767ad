// Requests: claiming a key, following its owner, reclaiming it.

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
  c_.ledger.Claim(intent, [this, id](std::optional<wire::Intent> winner) {
    OnClaimed(id, std::move(winner));
  });
}

void Requests::OnClaimed(const std::string& id,
                         std::optional<wire::Intent> winner) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->phase != Phase::kClaiming) return;
  if (!winner) {
    // The intent of this entry may still reach the log. It is then harmless:
    // this entry owns a key whose request it has not started.
    return EndUnstarted(*record,
                        "the log did not confirm the claim of its key in time",
                        kMinRetryMs * 2);
  }
  if (winner->spec_digest != record->digest) {
    return End(*record, wire::Verdict::kRefused,
               "the key is in use for a different request");
  }
  const bool ours = winner->owner == options_.self &&
                    winner->owner_incarnation == options_.incarnation;
  if (!ours) return FollowOwner(id, *winner);
  record->epoch = winner->epoch;
  record->attempt =
      std::max(record->attempt, winner->epoch * kAttemptsPerEpoch);
  Enqueue(*record);
}

void Requests::FollowOwner(const std::string& id, const wire::Intent& winner) {
  Record* record = FindMutable(id);
  if (record == nullptr) return;
  if (!c_.members.IsCurrentProcess(winner.owner, winner.owner_incarnation)) {
    return Reclaim(*record, winner);
  }
  record->foreign = true;
  const membership::Peer* owner = c_.members.Find(winner.owner);
  record->why = "owned by " + winner.owner;
  wire::SubmitCall call;
  call.spec = record->spec;
  c_.peers.Submit(owner->address, call,
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
  const membership::Peer* owner = c_.members.Find(winner.owner);
  if (!reply.ok() || owner == nullptr) {
    c_.executor.RunAfter(kCheckInterval,
                         [this, id, winner] { FollowOwner(id, winner); });
    return;
  }
  PollOwner(id, owner->address);
}

/// The owner determines the outcome; this entry only forwards it.
void Requests::PollOwner(const std::string& id, const std::string& address) {
  wire::FindCall call;
  call.request_id = id;
  call.wait_ms = kCheckInterval.count();
  c_.peers.Find(
      address, call, [this, id, address](const Result<wire::FindReply>& reply) {
        Record* record = FindMutable(id);
        if (record == nullptr || record->phase != Phase::kClaiming) return;
        if (reply.ok() && reply.value().owner == wire::OwnerState::kEnded) {
          return Finish(*record, reply.value().outcome);
        }
        if (reply.ok() && reply.value().owner != wire::OwnerState::kAbsent) {
          record->why = reply.value().why;
          return PollOwner(id, address);
        }
        // The owner is unreachable or was restarted. The claim in the log names
        // the incarnation whose liveness decides what follows.
        c_.executor.RunAfter(kCheckInterval, [this, id] {
          const wire::Intent* winner = c_.ledger.Find(id);
          if (winner != nullptr) OnClaimed(id, *winner);
        });
      });
}

/// The entry that won the key is dead. Tasks that it started keep running on
/// the upstreams, so the key is claimed again only after its attempts have
/// been resolved.
void Requests::Reclaim(Record& record, const wire::Intent& previous) {
  record.foreign = true;
  record.phase = Phase::kReclaiming;
  record.epoch = previous.epoch + 1;
  record.former_owner = previous.owner;
  record.former_incarnation = previous.owner_incarnation;
  record.why = "its former owner is dead";
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

void Requests::ClaimNextEpoch(Record& record, const std::string& why) {
  queue_.Remove(record.serial);
  CountWaiting(record, false);
  record.phase = Phase::kClaiming;
  record.why = why;
  ++record.epoch;
  record.attempt = std::max(record.attempt, record.epoch * kAttemptsPerEpoch);
  Claim(record.spec.id);
}

void Requests::CountWaiting(Record& record, bool on) {
  if (record.counted_waiting == on) return;
  record.counted_waiting = on;
  own_use_[record.spec.team].waiting += on ? 1 : -1;
}

void Requests::CountRunning(Record& record, bool on) {
  if (record.counted_running == on) return;
  record.counted_running = on;
  const int64_t millicores =
      static_cast<int64_t>(record.spec.size.millicores) * record.spec.tasks;
  own_use_[record.spec.team].millicores += on ? millicores : -millicores;
}

}  // namespace mimosarail::requests
