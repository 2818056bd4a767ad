// The part of Leadership that looks into a suspected leader and claims the
// lead.

#include <algorithm>

#include "src/leadership/leader_table.h"
#include "src/leadership/leadership.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::leadership {
namespace {

/// A machine with no processor at all would let better ones claim first by this
/// much, others by the part that they lack of enough.
constexpr Millis kClaimDelay{500};
/// The same where nobody is known yet: processes of machines that get power
/// together start within half a second of each other.
constexpr Millis kFreshDelay{1500};

using faults::RecordSource;
using logging::Level;
using logging::Text;

}  // namespace

Millis Leadership::ClaimDelay() const {
  const int32_t fitness = options_.member.fitness;
  const int32_t missing = options_.enough_fitness - fitness;
  if (missing <= 0) return Millis(0);
  const auto better = [&](const wire::Member& other) {
    return other.fitness > fitness && other.address != leader_.address;
  };
  const std::vector<wire::Member>& members = members_.all();
  if (members.empty()) {
    return kFreshDelay * missing / options_.enough_fitness;
  }
  if (std::none_of(members.begin(), members.end(), better)) return Millis(0);
  return kClaimDelay * missing / options_.enough_fitness;
}

void Leadership::Suspect(Suspicion suspicion, const std::string& cause) {
  if (role_ == Role::kLeading || looking_) return;
  if (executor_.Now() < look_after_) return;
  looking_ = true;
  suspected_term_ = term_;
  logging::Event(
      Level::kInfo, "leader suspected",
      {{"term", Text(term_)}, {"leader", leader_.name}, {"cause", cause}});
  const Millis delay = role_ == Role::kResigned ? Millis(0) : ClaimDelay();
  if (delay == Millis(0)) return Look(suspicion, std::nullopt);
  executor_.RunAfter(delay,
                     [this, suspicion] { Look(suspicion, std::nullopt); });
}

void Leadership::Look(Suspicion suspicion, std::optional<int64_t> seen_end) {
  // Somebody else leads by now: the suspicion was of an earlier leader.
  if (term_ != suspected_term_) return EndLook(Millis(0));
  const TimePoint asked = executor_.Now();
  store_.ReadNewest(options_.table, "", kStoreTimeout,
                    [this, suspicion, seen_end,
                     asked](const Result<ports::NewestPage>& page) {
                      OnLook(suspicion, seen_end, asked, page);
                    });
}

Millis Leadership::ElectionTimeoutFor(
    Suspicion suspicion,
    const std::optional<wire::AnnounceCall>& record) const {
  switch (suspicion) {
    case Suspicion::kUnresponsive:
      return ElectionTimeout(options_.election_timeout, record);
    case Suspicion::kCutFromStore:
      return ElectionTimeout(options_.election_timeout_store_lost, record);
    case Suspicion::kEnded:
      return options_.election_timeout;
    case Suspicion::kResigned:
      break;
  }
  return Millis(0);
}

void Leadership::EndLook(Millis pause) {
  looking_ = false;
  look_after_ = executor_.Now() + pause;
}

void Leadership::OnLook(Suspicion suspicion, std::optional<int64_t> seen_end,
                        TimePoint asked,
                        const Result<ports::NewestPage>& page) {
  if (role_ == Role::kLeading || term_ != suspected_term_) {
    return EndLook(Millis(0));
  }
  if (!page.ok()) {
    logging::Event(Level::kWarning, "leader record not read",
                   {{"cause", page.error().message}});
    return EndLook(kLookAgain);
  }
  const std::optional<wire::AnnounceCall> record = LeaderIn(page.value());
  const int64_t end = page.value().end_offset;
  const TimePoint now = executor_.Now();
  const bool may_claim = role_ == Role::kFollowing;
  if (end == 0 && may_claim) return Claim(1, end, 0);
  if (record && (record->term > term_ ||
                 (record->term == term_ && leader_.address.empty()))) {
    const bool own = record->leader.address == options_.member.address;
    // Its own record of an earlier life: nobody else leads.
    if (own && may_claim) {
      term_ = record->term;
      return Claim(record->term + 1, end, UnstableTerms(record));
    }
    Follow(record->term, record->leader, record->loading);
    return EndLook(own ? kLookAgain : Millis(0));
  }
  // Each claim takes one record of the table, so no term was ever above its
  // end: where the record can't be read, a claim above that end is above every
  // earlier term. One from 1 again would be fenced once for each of them.
  const int64_t last_term = record ? record->term : std::max(term_, end);
  if (!may_claim) return EndLook(kLookAgain);
  const bool certain = suspicion == Suspicion::kResigned;
  const bool admitted = suspicion == Suspicion::kCutFromStore;
  // Who has ended or resigned was not replaced for want of patience.
  const bool gone = certain || suspicion == Suspicion::kEnded;
  const int32_t unsettled =
      gone ? UnstableTerms(record) : UnstableTermsAfter(record);
  if (last_ack_sent_ > asked && !certain && !admitted) {
    return EndLook(kLookAgain);  // the leader was heard of meanwhile
  }
  if (certain || (seen_end && *seen_end == end)) {
    return Claim(last_term + 1, end, unsettled);
  }
  if (seen_end && LeaderIsSlow(record)) {
    // A machine that has turned slow renews its record all the same, while
    // callers wait for seconds: 608 of 20,835 requests came too late to be of
    // use, 93 with this. Its own clock does not show it, as the work queues up
    // in its sockets; only those that wait for it know. One of them alone may
    // be cut off, or slow itself. The claim is fenced like any other.
    logging::Event(Level::kWarning, "leader is slow",
                   {{"term", Text(term_)},
                    {"leader", leader_.name},
                    {"cause", "most entries wait for its answers"}});
    return Claim(last_term + 1, end, unsettled);
  }
  if (seen_end) return EndLook(kLookAgain);  // it is alive at the store
  const auto delay = std::chrono::duration_cast<Millis>(now - asked);
  executor_.RunAfter(ElectionTimeoutFor(suspicion, record) + 2 * delay,
                     [this, suspicion, end] { Look(suspicion, end); });
}

std::optional<wire::AnnounceCall> Leadership::LeaderIn(
    const ports::NewestPage& page) {
  std::optional<wire::AnnounceCall> out;
  for (const ports::KeyedRecord& kept : page.records) {
    if (kept.key != kLeaderKey) continue;
    const auto record = rpc::Decode<wire::AnnounceCall>(kept.value);
    if (!kept.decode_error.empty() || !record.ok()) {
      bad_records_.Report(RecordSource::kLeaders, kept.key, "does not decode");
      continue;
    }
    const int64_t term = record.value().term;
    if (term < 1 || term > std::min(kMaxTerm, page.end_offset) ||
        record.value().leader.address.empty()) {
      bad_records_.Report(
          RecordSource::kLeaders, kept.key,
          "names no leader, or a term that nobody can have had");
      continue;
    }
    out = record.value();
  }
  return out;
}

void Leadership::Claim(int64_t term, int64_t end_offset,
                       int32_t unstable_terms) {
  store_.Append({.table = options_.table,
                 .records = {{kLeaderKey, Record(term, unstable_terms)}},
                 .expected_end_offset = end_offset},
                kStoreTimeout,
                [this, term, unstable_terms,
                 asked = AskedNow()](const ports::AppendReply& reply) {
                  OnClaim(term, unstable_terms, asked, reply);
                });
}

void Leadership::OnClaim(int64_t term, int32_t unstable_terms,
                         const Asked& asked, const ports::AppendReply& reply) {
  if (reply.verdict != ports::AppendVerdict::kStored ||
      role_ != Role::kFollowing || term <= term_) {
    // Lost, or in doubt: the next look finds out, own record or not.
    logging::Event(Level::kInfo, "claim not won",
                   {{"term", Text(term)}, {"cause", reply.detail}});
    return EndLook(kLookAgain);
  }
  EndLook(Millis(0));
  Lead(term, unstable_terms, asked, reply.end_offset);
}

}  // namespace mimosarail::leadership
