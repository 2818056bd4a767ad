#include "src/leadership/leadership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/leadership/leader_table.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::leadership {
namespace {

/// A follower whose last heartbeat is older than this is regarded as lost.
constexpr Millis kFollowerTimeout{1000};
/// Number of consecutive refused connections after which a leader is suspected.
constexpr int kMaxRefusedConnections = 2;
constexpr Millis kTick{50};
/// Pause between two queries for the current leader. A takeover after a
/// resignation takes some 30 ms; the pause is two ticks long.
constexpr Millis kPeerQueryInterval{100};
/// Interval at which other followers are asked whether the leader answers them,
/// and the number asked at a time. Asking all of 40 entries would take 6,000
/// calls a second.
constexpr Millis kIndirectProbeInterval{250};
constexpr size_t kIndirectProbeCount = 6;
/// Time after which a follower assumes that its leader knows all live entries:
/// ten heartbeats of each.
constexpr Millis kMemberDiscoveryTime{2000};
/// Pause after handing over, in which the other entry claims leadership.
constexpr Millis kLeaderCheckAfterHandOver{1000};
/// A suspension of the machine longer than this invalidates the lease; shorter
/// ones are within the leader lease.
constexpr Millis kSuspensionTolerance{200};

using faults::RecordSource;
using logging::Level;
using logging::Text;

}  // namespace

Leadership::Leadership(Executor& executor, ports::RecordStorePort& store,
                       EntryClientPort& peers,
                       faults::MalformedRecordReporter& malformed_records,
                       LeadershipOptions options, Events events)
    : executor_(executor),
      store_(store),
      peers_(peers),
      malformed_records_(malformed_records),
      options_(std::move(options)),
      events_(std::move(events)),
      predecessors_({.leader_lease = options_.leader_lease,
                     .max_store_outage = options_.max_store_outage}) {}

void Leadership::Start() {
  last_tick_ = executor_.Now();
  incarnation_ = last_tick_.time_since_epoch().count();
  Suspect(Suspicion::kUnresponsive, "start");
  RunEvery(executor_, kTick, [this] { Tick(); });
}

std::string Leadership::EncodeRecord(int64_t term,
                                     int32_t unstable_terms) const {
  wire::AnnounceCall record;
  record.term = term;
  record.leader = options_.member;
  record.loading = role_ != Role::kLeading || leader_loading_;
  record.stable = stable();
  record.unstable_terms = unstable_terms;
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

bool Leadership::stable() const {
  return role_ == Role::kLeading && !leader_loading_ &&
         executor_.Now() - serving_since_ >= options_.stable_after;
}

std::vector<wire::Member> Leadership::followers() const {
  std::vector<wire::Member> out;
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (now - follower.last_heartbeat < kFollowerTimeout) {
      out.push_back(follower.member);
    }
  }
  return out;
}

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

int64_t Leadership::ClockMs() const {
  return std::chrono::duration_cast<Millis>(executor_.Now().time_since_epoch())
      .count();
}

Leadership::CallStart Leadership::CallStartNow() const {
  return {.sent = executor_.Now(), .suspended = executor_.Suspended()};
}

void Leadership::NoteProcessPause() {
  const TimePoint now = executor_.Now();
  const TimePoint before = std::exchange(last_tick_, now);
  // A shorter pause is within the leader lease, like any other missing answer.
  if (now - before <= options_.leader_lease) return;
  logging::Event(
      Level::kWarning, "process paused",
      {{"for_ms",
        Text(std::chrono::duration_cast<Millis>(now - before).count())}});
  resumed_at_ = now;
}

void Leadership::Tick() {
  NoteProcessPause();
  const TimePoint now = executor_.Now();
  if (role_ == Role::kLeading) {
    const bool due = now - last_renewed_ >= options_.renew_period ||
                     confirmed_.sent < resumed_at_;
    if (due && !renewing_) Renew();
    // Another entry may have taken over without its announcement reaching this
    // one. While the store is unreachable, only another entry can report that,
    // and callers of this entry would be refused until then.
    if (!lease_valid()) QueryNextPeer();
    ReportExpiredFollowers();
    LogWhenSuperseded();
    return HandOverIfUnfit();
  }
  if (leader_.address.empty()) {
    QueryNextPeer();
    return Suspect(Suspicion::kUnresponsive, "no leader known");
  }
  if (now - last_answered_sent_ > options_.unresponsive_after) {
    SendIndirectProbes();
  }
  const bool unresponsive =
      now - last_answered_sent_ > options_.leader_suspect_after;
  if (unresponsive) Suspect(Suspicion::kUnresponsive, "leader does not answer");
  if (heartbeat_in_flight_) return;
  // A new leader announces itself once. An entry that missed the announcement
  // and cannot reach the store would send heartbeats to the dead leader forever
  // and refuse its callers, though other entries know the new leader.
  // Heartbeats alternate between the leader and another entry, since the leader
  // may be back.
  if (unresponsive && std::exchange(query_peers_next_, !query_peers_next_)) {
    return QueryNextPeer();
  }
  if (now - last_leader_answer_ >= options_.heartbeat_interval) {
    SendHeartbeat(leader_.address);
  }
}

void Leadership::QueryNextPeer() {
  const TimePoint now = executor_.Now();
  if (heartbeat_in_flight_ || now < next_query_at_) return;
  const std::vector<std::string> peers = KnownAddresses();
  if (peers.empty()) return;
  next_query_at_ = now + kPeerQueryInterval;
  // In turn: an entry that has ended must not keep this one from reaching those
  // that know the leader.
  SendHeartbeat(peers[queries_sent_++ % peers.size()]);
}

void Leadership::SendIndirectProbes() {
  const TimePoint now = executor_.Now();
  if (role_ != Role::kFollowing || now < next_probe_at_) return;
  next_probe_at_ = now + kIndirectProbeInterval;
  const wire::HeartbeatCall call = MakeHeartbeat();
  const std::vector<wire::Member>& members = members_.all();
  const size_t count = std::min(kIndirectProbeCount, members.size());
  for (size_t i = 0; i < count; ++i) {
    const std::string address =
        members[probes_sent_++ % members.size()].address;
    if (address == options_.member.address || address == leader_.address) {
      continue;
    }
    peers_.Heartbeat(address, call, options_.heartbeat_timeout,
                     [this, address, sent = executor_.Now()](
                         const Result<wire::HeartbeatReply>& reply) {
                       OnIndirectProbeReply(address, sent, reply);
                     });
  }
}

void Leadership::OnIndirectProbeReply(
    const std::string& address, TimePoint sent,
    const Result<wire::HeartbeatReply>& reply) {
  if (role_ != Role::kFollowing || !reply.ok()) return;
  const wire::HeartbeatReply& answer = reply.value();
  if (answer.term != term_ || answer.leading) {
    return OnHeartbeatReply(address, sent, reply);
  }
  votes_.Note(
      address, executor_.Now(),
      Millis(answer.leader_unresponsive_ms) >= options_.unresponsive_after);
}

bool Leadership::LeaderIsSlow(
    const std::optional<wire::AnnounceCall>& record) const {
  const TimePoint now = executor_.Now();
  return now - last_answered_sent_ >= options_.unresponsive_after &&
         now - following_since_ >=
             ElectionTimeout(options_.min_term_duration, record) &&
         votes_.HasMajority(now);
}

std::vector<std::string> Leadership::KnownAddresses() const {
  std::set<std::string> out(options_.seeds.begin(), options_.seeds.end());
  for (const wire::Member& member : members_.all()) {
    out.insert(member.address);
  }
  // Followers count however old their heartbeats are: an entry that lost
  // leadership while it was partitioned has had no recent heartbeats and may
  // know no other addresses.
  for (const auto& [name, follower] : followers_) {
    out.insert(follower.member.address);
  }
  out.insert(leader_.address);
  out.erase(options_.member.address);
  out.erase("");
  return {out.begin(), out.end()};
}

wire::HeartbeatCall Leadership::MakeHeartbeat() const {
  wire::HeartbeatCall call;
  call.caller = options_.member;
  call.term = term_;
  call.config_version = events_.config_version();
  call.members_known = members_.last_number();
  call.incarnation = incarnation_;
  call.leader_clock_ms = leader_clock_ms_;
  return call;
}

void Leadership::SendHeartbeat(const std::string& address) {
  heartbeat_in_flight_ = true;
  const wire::HeartbeatCall call = MakeHeartbeat();
  peers_.Heartbeat(address, call, options_.heartbeat_timeout,
                   [this, address, sent = executor_.Now()](
                       const Result<wire::HeartbeatReply>& reply) {
                     heartbeat_in_flight_ = false;
                     const TimePoint before = last_leader_answer_;
                     OnHeartbeatReply(address, sent, reply);
                     if (last_leader_answer_ != before) {
                       last_answered_sent_ = sent;
                     }
                   });
}

void Leadership::OnHeartbeatReply(const std::string& address, TimePoint sent,
                                  const Result<wire::HeartbeatReply>& reply) {
  if (role_ == Role::kLeading) {
    if (reply.ok() && reply.value().term > term_) {
      StepDown("another entry knows a later term");
      Follow(reply.value().term, reply.value().leader, reply.value().loading);
    }
    return;
  }
  // An entry may have answered a heartbeat before it became the leader, and its
  // announcement may have arrived before that answer. A refused connection or
  // an answer that denies leadership therefore counts against the leader only
  // if its heartbeat was sent since this entry began to follow the leader.
  const bool of_leader = address == leader_.address && sent >= following_since_;
  if (!reply.ok()) {
    if (!of_leader) return;
    // No process listens at the address: most likely the leader has ended.
    const bool refused = reply.error().code == Errc::kUnavailable;
    refused_connections_ = refused ? refused_connections_ + 1 : 0;
    if (refused_connections_ >= kMaxRefusedConnections) {
      Suspect(Suspicion::kConnectionRefused, "leader refuses connections");
    }
    return;
  }
  refused_connections_ = 0;
  const wire::HeartbeatReply& answer = reply.value();
  if (!IsPlausibleTerm(answer.term, address)) return;
  if (answer.term > term_ || (answer.term == term_ && leader_.address.empty() &&
                              !answer.leader.address.empty())) {
    Follow(answer.term, answer.leader, answer.loading);
  }
  if (!answer.leading) {
    // This entry may have read the new leader's record before the store's
    // answer to the claim reached the new leader. Until then, that entry does
    // not know that it leads.
    const bool may_not_know =
        answer.term < term_ &&
        executor_.Now() - following_since_ <= kStoreTimeout;
    if (of_leader && !may_not_know) {
      Suspect(
          Suspicion::kNotLeading,
          "the entry at the leader's address reports that it does not lead");
    }
    return;
  }
  if (answer.term < term_) return;
  const TimePoint now = executor_.Now();
  last_leader_answer_ = now;
  leader_clock_ms_ = std::max(leader_clock_ms_, answer.clock_ms);
  if (!answer.loading) NoteLeaderReady();
  members_.Apply(answer.members, answer.members_known);
  // By then every live entry has sent a heartbeat to the new leader.
  if (answer.members.empty() && now - following_since_ > kMemberDiscoveryTime) {
    members_.RemoveFromEarlierTerms();
  }
  events_.on_heartbeat_reply(answer);
  if (!answer.store_reachable) {
    Suspect(Suspicion::kStoreUnreachable, "leader cannot reach the store");
  }
}

void Leadership::NoteLeaderReady() {
  if (std::exchange(leader_loading_, false)) events_.on_leader_ready();
}

void Leadership::Follow(int64_t term, const wire::Member& leader,
                        bool loading) {
  if (term < term_ || (term == term_ && leader.address == leader_.address)) {
    return;
  }
  // Other entries name this one as the leader until they know a later leader.
  // An entry that followed itself would send heartbeats to no other entry and
  // could not forward calls: its callers would wait until the process ended.
  if (leader.address == options_.member.address) return;
  const bool was_leading = role_ == Role::kLeading;
  term_ = term;
  leader_ = leader;
  leader_loading_ = true;
  last_leader_answer_ = executor_.Now();
  last_answered_sent_ = last_leader_answer_;
  following_since_ = last_leader_answer_;
  leader_clock_ms_ = 0;
  members_.BeginTerm();
  votes_.Clear();
  refused_connections_ = 0;
  logging::Event(Level::kInfo, "following",
                 {{"term", Text(term)},
                  {"leader", leader.name},
                  {"address", leader.address},
                  {"loading", loading ? "yes" : "no"}});
  if (was_leading) {
    role_ = Role::kFollowing;
    events_.on_leadership_lost();
  }
  if (!loading) NoteLeaderReady();
}

void Leadership::StepDown(const std::string& cause) {
  if (role_ != Role::kLeading) return;
  logging::Event(Level::kWarning, "leadership lost",
                 {{"term", Text(term_)}, {"cause", cause}});
  role_ = Role::kFollowing;
  leader_ = {};
  next_check_at_ = executor_.Now() + kLeaderCheckRetry;
  events_.on_leadership_lost();
}

void Leadership::ResignForShutdown() {
  if (role_ == Role::kLeading) {
    return Resign(Role::kShuttingDown, "this entry stops");
  }
  role_ = Role::kShuttingDown;
}

void Leadership::Resign(Role next_role, const std::string& cause) {
  members_.Assign(followers());
  role_ = next_role;
  leader_ = {};
  next_check_at_ = executor_.Now() + kLeaderCheckAfterHandOver;
  logging::Event(Level::kInfo, "leadership resigned",
                 {{"term", Text(term_)}, {"cause", cause}});
  events_.on_leadership_lost();
  wire::AnnounceCall call;
  call.term = term_;
  call.leader = options_.member;
  call.resigned = true;
  for (const wire::Member& member : followers()) {
    peers_.Announce(member.address, call, options_.heartbeat_timeout,
                    [](const Result<wire::AnnounceReply>&) {
                      // Entries that miss it learn of it by heartbeats.
                    });
  }
}

void Leadership::ReportExpiredFollowers() {
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (now - follower.last_heartbeat >= kFollowerTimeout) changes_.Leave(name);
  }
}

void Leadership::HandOverIfUnfit() {
  if (options_.member.fitness >= options_.sufficient_fitness) return;
  if (executor_.Now() - leading_since_ < options_.hand_over_after) return;
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (follower.member.fitness < options_.sufficient_fitness) continue;
    if (now - follower.last_heartbeat > kFollowerTimeout) continue;
    // The other followers must know the fitter entry too, or they claim before
    // it can.
    if (now - follower.heartbeats_since < options_.leader_suspect_after) {
      continue;
    }
    return Resign(Role::kFollowing, "a fitter entry is there");
  }
}

bool Leadership::IsPlausibleTerm(int64_t term, const std::string& peer) {
  if (term >= 0 && term <= kMaxTerm) return true;
  malformed_records_.Report(RecordSource::kPeer, peer, "term out of range");
  return false;
}

void Leadership::BecomeLeader(const Candidacy& candidacy,
                              const CallStart& start, int64_t end_offset) {
  role_ = Role::kLeading;
  term_ = candidacy.term;
  unstable_terms_ = candidacy.unstable_terms;
  leader_ = options_.member;
  leader_loading_ = true;
  end_offset_ = end_offset;
  last_renewed_ = executor_.Now();
  leading_since_ = last_renewed_;
  renewal_duration_ =
      std::chrono::duration_cast<Millis>(last_renewed_ - start.sent);
  confirmed_ = start;
  followers_.clear();
  changes_.Clear();
  changes_.Join(options_.member);
  superseded_logged_ = false;
  quorum_.BeginTerm(options_.member.name);
  if (candidacy.end_offset == 0) {
    predecessors_.BeginFirstTerm();
  } else {
    predecessors_.BeginTerm(candidacy.quorum);
  }
  predecessors_.OnFollower(options_.member.name, last_renewed_);
  const auto quorum_size =
      candidacy.quorum
          ? Text(static_cast<int64_t>(candidacy.quorum->members.size()))
          : "not known";
  logging::Event(Level::kInfo, "leading",
                 {{"term", Text(term_)},
                  {"unsettled_terms", Text(unstable_terms_)},
                  {"predecessor_quorum", quorum_size}});
  AnnounceLeadership();
  events_.on_elected(term_);
}

void Leadership::MarkReady() {
  if (role_ != Role::kLeading) return;
  serving_since_ = executor_.Now();
  predecessors_.OnFenced(serving_since_);
  const auto took =
      std::chrono::duration_cast<Millis>(serving_since_ - leading_since_);
  logging::Event(Level::kInfo, "serving",
                 {{"term", Text(term_)}, {"loading_ms", Text(took.count())}});
  NoteLeaderReady();
  AnnounceLeadership();
}

void Leadership::AnnounceLeadership() {
  wire::AnnounceCall call;
  call.term = term_;
  call.leader = options_.member;
  call.loading = leader_loading_;
  for (const std::string& address : KnownAddresses()) {
    peers_.Announce(address, call, options_.heartbeat_timeout,
                    [](const Result<wire::AnnounceReply>&) {
                      // Entries that miss it read the leader record.
                    });
  }
}

void Leadership::Renew() {
  renewing_ = true;
  std::vector<ports::KeyedRecord> records{
      {kLeaderKey, EncodeRecord(term_, unstable_terms_)}};
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

wire::HeartbeatReply Leadership::OnHeartbeat(const wire::HeartbeatCall& call) {
  wire::HeartbeatReply reply;
  if (IsPlausibleTerm(call.term, call.caller.name) && call.term > term_ &&
      role_ == Role::kLeading) {
    StepDown("a follower knows a later term");
  }
  reply.leading = leading();
  reply.term = term_;
  reply.leader = leader_;
  reply.loading = leader_loading_;
  if (!leading()) {
    const auto unresponsive_for = std::chrono::duration_cast<Millis>(
        executor_.Now() - last_answered_sent_);
    reply.leader_unresponsive_ms =
        leader_.address.empty() ? 0 : unresponsive_for.count();
    return reply;
  }
  // Operators' tools send heartbeats without an address of their own.
  if (!call.caller.address.empty()) {
    const TimePoint now = executor_.Now();
    auto& follower = followers_.try_emplace(call.caller.name).first->second;
    if (now - follower.last_heartbeat > kFollowerTimeout) {
      follower.heartbeats_since = now;
    }
    follower.member = call.caller;
    follower.last_heartbeat = now;
    if (call.term == term_) NoteFollowing(call, now);
    changes_.Join(call.caller);
  }
  reply.store_reachable = store_reachable();
  reply.clock_ms = ClockMs();
  reply.members_known = call.term == term_ ? call.members_known : 0;
  reply.members = changes_.After(reply.members_known);
  reply.config_version = events_.config_version();
  if (reply.config_version > call.config_version) {
    reply.config = events_.config_document();
  }
  return reply;
}

void Leadership::NoteFollowing(const wire::HeartbeatCall& call, TimePoint now) {
  predecessors_.OnFollower(call.caller.name, now);
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

wire::AnnounceReply Leadership::OnAnnounce(const wire::AnnounceCall& call) {
  wire::AnnounceReply reply;
  if (!IsPlausibleTerm(call.term, call.leader.name)) {
    reply.term = term_;
    return reply;
  }
  if (call.resigned) {
    if (call.term == term_ && call.leader.address == leader_.address) {
      next_check_at_ = {};
      Suspect(Suspicion::kNotLeading, "the leader has resigned");
    }
  } else {
    Follow(call.term, call.leader, call.loading);
    const bool known =
        call.term == term_ && call.leader.address == leader_.address;
    if (known && !call.loading) NoteLeaderReady();
  }
  reply.term = term_;
  return reply;
}

}  // namespace mimosarail::leadership
