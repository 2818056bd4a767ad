// The part of Leadership that checks a suspected leader's record and claims
// leadership.

#include <algorithm>

#include "src/leadership/leader_fitness.h"
#include "src/leadership/leader_table.h"
#include "src/leadership/leadership.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::leadership {
namespace {

/// Claim delay of an entry without any fitness, which lets fitter entries claim
/// first. For other entries the delay is proportional to the fitness that they
/// lack.
constexpr Millis kClaimDelay{500};
/// The same while no other entry is known: the processes of machines that are
/// powered on together start within half a second of each other.
constexpr Millis kInitialClaimDelay{1500};

using faults::RecordSource;
using logging::Level;
using logging::Text;

}  // namespace

Millis Leadership::ClaimDelay() const {
  const int32_t missing = options_.sufficient_fitness - options_.member.fitness;
  if (missing <= 0) return Millis(0);
  const Millis delay = kClaimDelay * missing / options_.sufficient_fitness;
  // The entry that the last leader has handed over to is fitter.
  if (!successors_.current().empty()) return delay;
  const std::vector<wire::Member>& members = members_.all();
  if (members.empty()) {
    return kInitialClaimDelay * missing / options_.sufficient_fitness;
  }
  const bool fitter_known =
      FitnessRank(options_.member, members, leader_.address) > 1;
  return fitter_known ? delay : Millis(0);
}

void Leadership::Suspect(Suspicion suspicion, const std::string& cause) {
  if (role_ == Role::kLeading || checking_leader_) return;
  if (executor_.Now() < next_check_at_) return;
  checking_leader_ = true;
  suspected_term_ = term_;
  logging::Event(
      Level::kInfo, "leader suspected",
      {{"term", Text(term_)}, {"leader", leader_.name}, {"cause", cause}});
  const bool may_claim = role_ != Role::kShuttingDown;
  const Millis delay = (may_claim ? ClaimDelay() : Millis(0)) +
                       check_pacing_.FirstDelay(KnownEntries());
  if (delay == Millis(0)) return CheckLeaderRecord(suspicion, std::nullopt);
  executor_.RunAfter(
      delay, [this, suspicion] { CheckLeaderRecord(suspicion, std::nullopt); });
}

void Leadership::CheckLeaderRecord(Suspicion suspicion,
                                   std::optional<int64_t> end_at_first_read) {
  // Another entry leads by now: the suspicion was of an earlier leader.
  if (term_ != suspected_term_) return EndLeaderCheck(Millis(0));
  const TimePoint sent = executor_.Now();
  store_.ReadNewest(options_.table, "", kStoreTimeout,
                    [this, suspicion, end_at_first_read,
                     sent](const Result<ports::NewestPage>& page) {
                      OnLeaderRecord(suspicion, end_at_first_read, sent, page);
                    });
}

Millis Leadership::ElectionTimeoutFor(
    Suspicion suspicion,
    const std::optional<wire::AnnounceCall>& record) const {
  switch (suspicion) {
    case Suspicion::kUnresponsive:
      return UnresponsiveTimeout(options_.election_timeout, record);
    case Suspicion::kStoreUnreachable:
      return ElectionTimeout(options_.election_timeout_store_lost, record);
    case Suspicion::kConnectionRefused:
      return options_.election_timeout;
    case Suspicion::kNotLeading:
      break;
  }
  return Millis(0);
}

void Leadership::EndLeaderCheck(Millis pause) {
  checking_leader_ = false;
  next_check_at_ = executor_.Now() + pause;
}

void Leadership::RetryLeaderCheck() {
  EndLeaderCheck(check_pacing_.NextPause(KnownEntries()));
}

void Leadership::OnLeaderRecord(Suspicion suspicion,
                                std::optional<int64_t> end_at_first_read,
                                TimePoint sent,
                                const Result<ports::NewestPage>& page) {
  if (role_ == Role::kLeading || term_ != suspected_term_) {
    return EndLeaderCheck(Millis(0));
  }
  if (!page.ok()) {
    logging::Event(Level::kWarning, "leader record not read",
                   {{"cause", page.error().message}});
    return RetryLeaderCheck();
  }
  const std::optional<wire::AnnounceCall> record =
      FindLeaderRecord(page.value());
  const int64_t end = page.value().end_offset;
  const TimePoint now = executor_.Now();
  const bool may_claim = role_ == Role::kFollowing;
  Candidacy candidacy{.term = 1, .end_offset = end};
  if (end == 0 && may_claim) return Claim(candidacy);
  candidacy.quorum = FindQuorum(page.value());
  if (record && (record->term > term_ ||
                 (record->term == term_ && leader_.address.empty()))) {
    const bool own = record->leader.address == options_.member.address;
    // The record is this entry's own, from before a restart: no other entry
    // leads.
    if (own && may_claim) {
      term_ = record->term;
      candidacy.term = record->term + 1;
      candidacy.unstable_terms = UnstableTerms(record);
      return Claim(candidacy);
    }
    Follow(record->term, record->leader, record->loading);
    return EndLeaderCheck(own ? kLeaderCheckRetry : Millis(0));
  }
  // Each claim appends one record to the table, so no term can exceed the end
  // offset. Where the record is unreadable, a term above the end offset is
  // above every earlier term. If terms started from 1 again, the fence would
  // refuse each leader whose term was already used, one after the other.
  const int64_t last_term = record ? record->term : std::max(term_, end);
  if (!may_claim) return RetryLeaderCheck();
  const bool not_leading = suspicion == Suspicion::kNotLeading;
  const bool store_lost = suspicion == Suspicion::kStoreUnreachable;
  // A leader that no longer leads, or whose process has exited, was not
  // replaced because of a short election timeout, so its term does not lengthen
  // the next timeout.
  const bool ended_by_itself =
      not_leading || suspicion == Suspicion::kConnectionRefused;
  candidacy.term = last_term + 1;
  candidacy.unstable_terms =
      ended_by_itself ? UnstableTerms(record) : UnstableTermsAfter(record);
  candidacy.replaced_alive = ReplacementsBefore(record);
  if (last_answered_sent_ > sent && !not_leading && !store_lost) {
    return EndLeaderCheck(check_pacing_.NextPause(
        KnownEntries()));  // The leader answered meanwhile.
  }
  if (not_leading) return Claim(candidacy);
  if (end_at_first_read && *end_at_first_read == end) {
    if (!ended_by_itself && record) candidacy.predecessor = record->leader.name;
    LogUnchangedRecord(suspicion, record);
    return Claim(candidacy);
  }
  if (end_at_first_read && LeaderIsSlow(record)) {
    ++candidacy.replaced_alive;
    LogSlowLeader(record);
    return Claim(candidacy);
  }
  // The leader has renewed its record meanwhile.
  if (end_at_first_read) return RetryLeaderCheck();
  const auto delay = std::chrono::duration_cast<Millis>(now - sent);
  executor_.RunAfter(
      ElectionTimeoutFor(suspicion, record) + 2 * delay,
      [this, suspicion, end] { CheckLeaderRecord(suspicion, end); });
}

std::optional<wire::AnnounceCall> Leadership::FindLeaderRecord(
    const ports::NewestPage& page) {
  std::optional<wire::AnnounceCall> out;
  for (const ports::KeyedRecord& row : page.records) {
    if (row.key != kLeaderKey) continue;
    const auto record = rpc::Decode<wire::AnnounceCall>(row.value);
    if (!row.decode_error.empty() || !record.ok()) {
      malformed_records_.Report(RecordSource::kLeaders, row.key,
                                "does not decode");
      continue;
    }
    const int64_t term = record.value().term;
    if (term < 1 || term > std::min(kMaxTerm, page.end_offset) ||
        record.value().leader.address.empty()) {
      malformed_records_.Report(RecordSource::kLeaders, row.key,
                                "leader address missing or term out of range");
      continue;
    }
    out = record.value();
  }
  return out;
}

std::optional<wire::QuorumRecord> Leadership::FindQuorum(
    const ports::NewestPage& page) {
  for (const ports::KeyedRecord& row : page.records) {
    if (row.key != kQuorumKey) continue;
    auto quorum = rpc::Decode<wire::QuorumRecord>(row.value);
    if (row.decode_error.empty() && quorum.ok() &&
        !quorum.value().members.empty()) {
      return std::move(quorum.value());
    }
    malformed_records_.Report(RecordSource::kLeaders, row.key,
                              "does not decode or names no members");
  }
  return std::nullopt;
}

void Leadership::Claim(const Candidacy& candidacy) {
  const std::string record = EncodeRecord(
      candidacy.term, candidacy.unstable_terms, candidacy.replaced_alive);
  logging::Event(
      Level::kInfo, "claiming",
      {{"term", Text(candidacy.term)},
       {"leader", leader_.name},
       {"fitness", Text(options_.member.fitness)},
       {"rank",
        Text(FitnessRank(options_.member, members_.all(), leader_.address))},
       {"entries", Text(static_cast<int64_t>(members_.all().size()))}});
  store_.Append({.table = options_.table,
                 .records = {{kLeaderKey, record}},
                 .expected_end_offset = candidacy.end_offset},
                kStoreTimeout,
                [this, candidacy,
                 start = CallStartNow()](const ports::AppendReply& reply) {
                  OnClaim(candidacy, start, reply);
                });
}

void Leadership::OnClaim(const Candidacy& candidacy, const CallStart& start,
                         const ports::AppendReply& reply) {
  if (reply.verdict != ports::AppendVerdict::kStored ||
      role_ != Role::kFollowing || candidacy.term <= term_) {
    // The claim was lost or is in doubt: the next check of the leader record
    // shows whether it was stored.
    logging::Event(Level::kInfo, "claim not won",
                   {{"term", Text(candidacy.term)}, {"cause", reply.detail}});
    return RetryLeaderCheck();
  }
  EndLeaderCheck(Millis(0));
  BecomeLeader(candidacy, start, reply.end_offset);
}

}  // namespace mimosarail::leadership
