// The part of Leadership that keeps the leader lease: it renews the leader's
// record and decides who confirms the leader.

#include <algorithm>
#include <utility>

#include "src/leadership/leader_table.h"
#include "src/leadership/leadership.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::leadership {
namespace {

/// A suspension of the machine longer than this invalidates the lease; shorter
/// ones are within the leader lease.
constexpr Millis kSuspensionTolerance{200};

using logging::Level;
using logging::Text;

}  // namespace

bool Leadership::store_reachable() const {
  const TimePoint last = std::max(last_renewed_, events_.last_stored());
  // While the store is slow for all entries, a new leader would do no better.
  const Millis next = options_.renew_period + 2 * renewal_duration_;
  return executor_.Now() - last <
         std::max(options_.store_unreachable_after, next);
}

bool Leadership::lease_confirmed_by_store() const {
  return lease_valid() && confirmed_.sent >= resumed_at_ &&
         executor_.Now() - last_confirmation() < options_.leader_lease;
}

bool Leadership::lease_valid() const {
  if (role_ != Role::kLeading) return false;
  // The clock does not show the time for which the machine was suspended.
  // Another entry may lead by now; the next renewal finds out.
  if (executor_.Suspended() - confirmed_.suspended > kSuspensionTolerance) {
    return false;
  }
  const TimePoint now = executor_.Now();
  if (now - last_tick_ > options_.leader_lease) {
    return false;  // the process was paused until now
  }
  const bool confirmed = confirmed_.sent >= resumed_at_;
  return (confirmed && now - last_confirmation() < options_.leader_lease) ||
         HasFollowerQuorum();
}

bool Leadership::state_current() const {
  // After a pause that was long enough for a successor to serve, this entry
  // would report completed jobs as running and accepted ones as unknown. The
  // store's reply to a later call, or heartbeats that answer to later replies,
  // show that it still leads. The first call after a pause may come before the
  // first tick.
  const bool paused =
      executor_.Now() - last_tick_ > options_.leader_suspect_after;
  if (paused || !lease_valid()) return false;
  return last_confirmation() >= replaceable_until_ ||
         quorum_.HasMajority(replaceable_until_, confirmed_.sent);
}

TimePoint Leadership::last_confirmation() const {
  // Counted from when the call was sent, not from when its answer was read: an
  // answer that was in flight for a second would otherwise confirm the lease
  // for longer than the next leader waits.
  return std::max(confirmed_.sent, events_.last_stored_sent());
}

bool Leadership::HasFollowerQuorum() const {
  const TimePoint now = executor_.Now();
  return now - last_confirmation() < options_.max_store_outage &&
         quorum_.HasMajority(now - options_.leader_lease, confirmed_.sent);
}

std::vector<std::string> Leadership::QuorumMembers() const {
  const TimePoint expired = executor_.Now() - options_.member_expiry;
  std::vector<std::string> out{options_.member.name};
  for (const auto& [name, follower] : followers_) {
    if (follower.last_heartbeat >= expired) out.push_back(name);
  }
  if (leading_since_ < expired) return out;
  // The other entries send their first heartbeats only now. Without them, the
  // quorum of a leader that is lost at once would be one that its successor
  // does not get half of.
  for (const wire::Member& member : members_.all()) {
    if (member.name != options_.member.name &&
        followers_.count(member.name) == 0) {
      out.push_back(member.name);
    }
  }
  return out;
}

bool Leadership::QuorumChangeDue(
    const std::vector<std::string>& members) const {
  // Until then, the stored quorum is that of an earlier leader, which may rely
  // on it.
  return predecessors_.superseded(executor_.Now()) &&
         !quorum_.IsStored(members);
}

Leadership::CallStart Leadership::CallStartNow() const {
  return {.sent = executor_.Now(), .suspended = executor_.Suspended()};
}

void Leadership::NoteProcessPause() {
  const TimePoint now = executor_.Now();
  const TimePoint before = std::exchange(last_tick_, now);
  if (now - before <= options_.leader_suspect_after) return;
  replaceable_until_ = now;
  logging::Event(
      Level::kWarning, "process paused",
      {{"for_ms",
        Text(std::chrono::duration_cast<Millis>(now - before).count())}});
  // A shorter pause is within the leader lease, like any other missing answer.
  if (now - before > options_.leader_lease) resumed_at_ = now;
}

std::string Leadership::EncodeRecord(int64_t term, int32_t unstable_terms,
                                     int32_t replaced_alive) const {
  wire::AnnounceCall record;
  record.term = term;
  record.leader = options_.member;
  record.loading = role_ != Role::kLeading || leader_loading_;
  record.stable = stable();
  record.unstable_terms = unstable_terms;
  record.replaced_alive = replaced_alive;
  record.saturated = events_.saturated && events_.saturated();
  return rpc::Encode(record);
}

std::string Leadership::EncodeQuorum(
    const std::vector<std::string>& members) const {
  wire::QuorumRecord record;
  record.term = term_;
  record.members = members;
  record.max_store_outage_ms = options_.max_store_outage.count();
  return rpc::Encode(record);
}

void Leadership::Renew() {
  renewing_ = true;
  std::vector<ports::KeyedRecord> records{
      {kLeaderKey, EncodeRecord(term_, unstable_terms_,
                                replacements_.count(executor_.Now()))}};
  const std::vector<std::string> members = QuorumMembers();
  const Renewal renewal{.start = CallStartNow(),
                        .term = term_,
                        .has_quorum = QuorumChangeDue(members)};
  if (renewal.has_quorum) {
    quorum_.OnSent(members);
    records.push_back({kQuorumKey, EncodeQuorum(members)});
  }
  store_.Append({.table = options_.table,
                 .records = std::move(records),
                 .expected_end_offset = end_offset_},
                kStoreTimeout,
                [this, renewal](const ports::AppendReply& reply) {
                  OnRenew(renewal, reply);
                });
}

void Leadership::OnRenew(const Renewal& renewal,
                         const ports::AppendReply& reply) {
  renewing_ = false;
  if (role_ != Role::kLeading || renewal.term != term_) return;
  if (reply.verdict == ports::AppendVerdict::kStored) {
    if (renewal.has_quorum) {
      quorum_.OnStored();
      logging::Event(
          Level::kInfo, "quorum stored",
          {{"term", Text(term_)},
           {"members", Text(static_cast<int64_t>(quorum_.newest_size()))}});
    }
    end_offset_ = reply.end_offset;
    last_renewed_ = executor_.Now();
    renewal_duration_ =
        std::chrono::duration_cast<Millis>(last_renewed_ - renewal.start.sent);
    confirmed_ = renewal.start;
    return;
  }
  // A conflict means that another entry has claimed, or that an earlier renewal
  // was stored and its answer lost.
  ResolveRenewal();
}

void Leadership::ResolveRenewal() {
  renewing_ = true;
  const int64_t term = term_;
  store_.ReadNewest(options_.table, "", kStoreTimeout,
                    [this, term](const Result<ports::NewestPage>& page) {
                      renewing_ = false;
                      if (role_ != Role::kLeading || term != term_) return;
                      if (!page.ok()) {
                        logging::Event(Level::kWarning, "renewal in doubt",
                                       {{"cause", page.error().message}});
                        return;
                      }
                      const auto record = FindLeaderRecord(page.value());
                      if (record && record->term > term_) {
                        StepDown("the store names a later leader");
                        return Follow(record->term, record->leader,
                                      record->loading);
                      }
                      // The next renewal overwrites an unreadable record.
                      end_offset_ = page.value().end_offset;
                    });
}

void Leadership::NoteFollowing(const wire::HeartbeatCall& call, TimePoint now) {
  predecessors_.OnFollower(call.caller.name, now);
  if (replacements_.OnHeartbeat(call.caller.name, now)) {
    // "leader record unchanged" of this entry states for how long it was not.
    logging::Event(
        Level::kWarning, "leader replaced while alive",
        {{"term", Text(term_)},
         {"leader", call.caller.name},
         {"cause", "its record was not renewed in time"},
         {"heartbeat_after_ms",
          Text(std::chrono::duration_cast<Millis>(now - leading_since_)
                   .count())},
         {"replaced_alive", Text(replacements_.count(now))}});
  }
  const int64_t since_reply_ms = ClockMs() - call.leader_clock_ms;
  if (call.leader_clock_ms <= 0 || since_reply_ms < 0) return;
  quorum_.OnHeartbeat(call.caller.name, call.incarnation,
                      now - Millis(since_reply_ms));
}

void Leadership::LogWhenSuperseded() {
  const TimePoint now = executor_.Now();
  if (superseded_logged_ || !predecessors_.superseded(now)) return;
  superseded_logged_ = true;
  const auto took = std::chrono::duration_cast<Millis>(now - leading_since_);
  logging::Event(
      Level::kInfo, "earlier leaders superseded",
      {{"term", Text(term_)},
       {"after_ms", Text(took.count())},
       {"followers", Text(static_cast<int64_t>(followers().size()))}});
}

}  // namespace mimosarail::leadership
