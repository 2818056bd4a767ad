#include "src/leadership/leadership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/leadership/leader_fitness.h"
#include "src/leadership/leader_table.h"
#include "src/libs/logging/log.h"

namespace mimosarail::leadership {
namespace {

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

/// Timeout of the call that passes a configuration to the leader: a document of
/// 350 KB takes 1.4 s over a link of 2 Mbit/s. The leader asks one follower at
/// a time.
constexpr Millis kConfigTransferTimeout{3000};

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
                     .max_store_outage = options_.max_store_outage}),
      check_pacing_(options_.member.name) {}

void Leadership::Start() {
  last_tick_ = executor_.Now();
  incarnation_ = last_tick_.time_since_epoch().count();
  Suspect(Suspicion::kUnresponsive, "start");
  RunEvery(executor_, kTick, [this] { Tick(); });
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

int64_t Leadership::ClockMs() const {
  return std::chrono::duration_cast<Millis>(executor_.Now().time_since_epoch())
      .count();
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
  // A leader hands over to a fitter follower, which has to be able to claim.
  if (role_ == Role::kShuttingDown) call.caller.fitness = 0;
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

void Leadership::SendConfig(const std::string& address) {
  wire::HeartbeatCall call = MakeHeartbeat();
  call.config = events_.config_document();
  // Not one of the periodic heartbeats: these would be late until the document
  // is transferred, and the leader would be suspected.
  peers_.Heartbeat(address, call, kConfigTransferTimeout,
                   [address](const Result<wire::HeartbeatReply>& reply) {
                     logging::Event(
                         reply.ok() ? Level::kInfo : Level::kWarning,
                         "configuration passed to the leader",
                         {{"leader", address},
                          {"cause", reply.ok() ? "" : reply.error().message}});
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
  check_pacing_.Reset();
  leader_clock_ms_ = std::max(leader_clock_ms_, answer.clock_ms);
  if (!answer.loading) NoteLeaderReady();
  if (answer.config_wanted) SendConfig(address);
  members_.Apply(answer.members, answer.members_known);
  // By then every live entry has sent a heartbeat to the new leader.
  if (answer.members.empty() && now - following_since_ > kMemberDiscoveryTime) {
    members_.RemoveFromEarlierTerms();
  }
  events_.on_heartbeat_reply(answer, sent);
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
  successors_.OnNewLeader();
  check_pacing_.Reset();
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
  ReportToUnfitLeader();
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

void Leadership::ReportExpiredFollowers() {
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (now - follower.last_heartbeat >= kFollowerTimeout) changes_.Leave(name);
  }
}

int64_t Leadership::SmallestMemoryMb() const {
  int64_t smallest = options_.member.memory_mb;
  for (const auto& [name, follower] : followers_) {
    smallest = std::min<int64_t>(smallest, follower.member.memory_mb);
  }
  return std::max<int64_t>(0, smallest);
}

bool Leadership::IsPlausibleTerm(int64_t term, const std::string& peer) {
  if (term >= 0 && term <= kMaxTerm) return true;
  malformed_records_.Report(RecordSource::kPeer, peer, "term out of range");
  return false;
}

void Leadership::BecomeLeader(const Candidacy& candidacy,
                              const CallStart& start, int64_t end_offset) {
  const int32_t rank =
      FitnessRank(options_.member, members_.all(), leader_.address);
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
  successors_.OnNewLeader();
  replacements_.BeginTerm(candidacy.predecessor, candidacy.replaced_alive,
                          last_renewed_);
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
                  {"replaced_alive", Text(candidacy.replaced_alive)},
                  {"fitness", Text(options_.member.fitness)},
                  {"rank", Text(rank)},
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
    follower.member = call.caller;
    follower.last_heartbeat = now;
    follower.follows = call.term == term_;
    if (follower.follows) NoteFollowing(call, now);
    changes_.Join(call.caller);
  }
  reply.store_reachable = store_reachable();
  reply.clock_ms = ClockMs();
  reply.members_known = call.term == term_ ? call.members_known : 0;
  reply.members = changes_.After(reply.members_known);
  ExchangeConfig(call, reply);
  const auto load = events_.load ? events_.load() : std::nullopt;
  if (load) reply.__set_load(*load);
  return reply;
}

void Leadership::ExchangeConfig(const wire::HeartbeatCall& call,
                                wire::HeartbeatReply& reply) {
  if (!call.config.empty()) events_.on_config_offered(call.config);
  reply.config_version = events_.config_version();
  if (reply.config_version > call.config_version) {
    reply.config = events_.config_document();
  }
  const Millis age = events_.config_age();
  reply.__set_config_age_ms(age.count());
  // A leader that the store turns away would otherwise keep serving keys that
  // were revoked, although its followers know the newer configuration. One that
  // follows the store is about to learn of it anyway.
  const TimePoint now = executor_.Now();
  const bool caller_is_newer = !call.caller.address.empty() &&
                               call.config_version > reply.config_version;
  if (!caller_is_newer || age < options_.config_stale_after) return;
  if (now < next_config_request_at_) return;
  next_config_request_at_ = now + kConfigTransferTimeout;
  reply.config_wanted = true;
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
      if (call.__isset.successor) {
        successors_.Note(call.successor, executor_.Now());
      }
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
