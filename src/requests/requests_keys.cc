// Requests: who owns a key, following its owner, reclaiming it.

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
    // Our intent may still reach the log. That harms nobody: it makes this
    // entry the owner of a key that it has not started.
    return EndUnstarted(*record, "the log does not answer", kShortRetryMs * 2);
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
  if (!c_.members.Lives(winner.owner, winner.owner_incarnation)) {
    return Reclaim(*record, winner);
  }
  record->foreign = true;
  const membership::Peer* owner = c_.members.Find(winner.owner);
  record->why = "owned by " + winner.owner;
  wire::SubmitCall call;
  call.spec = record->spec;
  c_.peers.Submit(owner->address, call,
                  [this, id, winner](const Result<wire::SubmitReply>& reply) {
                    OnHandedOver(id, winner, reply);
                  });
}

void Requests::OnHandedOver(const std::string& id, const wire::Intent& winner,
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
    c_.executor.RunAfter(kCheckEvery,
                         [this, id, winner] { FollowOwner(id, winner); });
    return;
  }
  PollOwner(id, owner->address);
}

/// The owner answers for the key; this entry only passes its answer on.
void Requests::PollOwner(const std::string& id, const std::string& address) {
  wire::FindCall call;
  call.request_id = id;
  call.wait_ms = kCheckEvery.count();
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
        // The owner is gone or was replaced: the claim in the log tells whether
        // its incarnation still lives.
        c_.executor.RunAfter(kCheckEvery, [this, id] {
          const wire::Intent* winner = c_.ledger.Find(id);
          if (winner != nullptr) OnClaimed(id, *winner);
        });
      });
}

/// The entry that won the key has died. What it started lives on at the
/// upstreams; only if it surely started nothing may the key be claimed anew.
void Requests::Reclaim(Record& record, const wire::Intent& lost) {
  record.foreign = true;
  record.phase = Phase::kReclaiming;
  record.epoch = lost.epoch + 1;
  record.former_owner = lost.owner;
  record.former_incarnation = lost.owner_incarnation;
  record.why = "its former owner is gone";
  StartSettling(record);
}

/// Reads along who claims keys: one that this entry still holds may have been
/// taken over while it was cut off from the others.
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
