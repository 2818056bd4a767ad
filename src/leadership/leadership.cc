#include "src/leadership/leadership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/leadership/leader_table.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::leadership {
namespace {

/// A follower that has not greeted for this long is not counted on.
constexpr Millis kFollowerTimeout{1000};
/// Refused connections in a row after which a leader is suspected.
constexpr int kRefusals = 2;
constexpr Millis kTick{50};
/// Pause between two questions who leads: a take-over after a resignation takes
/// some 30 ms, two steps of the clock.
constexpr Millis kAskPeriod{100};
/// Other followers are asked this often whether the leader answers them, so
/// many at a time: with 40 entries more would be 6,000 calls a second.
constexpr Millis kWitnessPeriod{250};
constexpr size_t kWitnesses = 6;
/// A follower takes it that its leader has heard of all that live after this:
/// ten greetings of each.
constexpr Millis kTermKnown{2000};
/// After handing over, time for the other to claim.
constexpr Millis kLookAfterYield{1000};
/// A suspension longer than this is noticed; shorter ones are within the trust
/// of a leader.
constexpr Millis kSuspension{200};

using faults::RecordSource;
using logging::Level;
using logging::Text;

}  // namespace

Leadership::Leadership(Executor& executor, ports::RecordStorePort& store,
                       JobPeerPort& peers,
                       faults::MalformedRecordReporter& bad_records,
                       LeadershipOptions options, Events events)
    : executor_(executor),
      store_(store),
      peers_(peers),
      bad_records_(bad_records),
      options_(std::move(options)),
      events_(std::move(events)) {}

void Leadership::Start() {
  last_tick_ = executor_.Now();
  Suspect(Suspicion::kUnresponsive, "start");
  RunEvery(executor_, kTick, [this] { Tick(); });
}

std::string Leadership::Record(int64_t term, int32_t unstable_terms) const {
  wire::AnnounceCall record;
  record.term = term;
  record.leader = options_.member;
  record.loading = role_ != Role::kLeading || leader_loading_;
  record.stable = stable();
  record.unstable_terms = unstable_terms;
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
    if (now - follower.heard < kFollowerTimeout) out.push_back(follower.member);
  }
  return out;
}

bool Leadership::store_reachable() const {
  const TimePoint last = std::max(last_renewed_, events_.last_stored());
  // While the store is slow for all, whoever leads next is no better off.
  const Millis next = options_.renew_period + 2 * renewal_took_;
  return executor_.Now() - last <
         std::max(options_.store_unreachable_after, next);
}

bool Leadership::lease_confirmed_by_store() const {
  return lease_valid() && confirmed_.sent >= resumed_at_ &&
         executor_.Now() - last_confirmation() < options_.leader_lease;
}

bool Leadership::lease_valid() const {
  if (role_ != Role::kLeading) return false;
  // A machine that was suspended has missed time that its clock does not show;
  // somebody else may lead by now, which the next renewal tells.
  if (executor_.Suspended() - confirmed_.suspended > kSuspension) return false;
  const TimePoint now = executor_.Now();
  if (now - last_tick_ > options_.leader_lease)
    return false;  // it just stood still
  const bool confirmed = confirmed_.sent >= resumed_at_;
  return (confirmed && now - last_confirmation() < options_.leader_lease) ||
         HasFollowerQuorum();
}

TimePoint Leadership::last_confirmation() const {
  // Dated when it was read, a word of the store that was under way for a second
  // would count for longer than the next leader waits.
  return std::max(confirmed_.sent, events_.last_stored_sent());
}

bool Leadership::HasFollowerQuorum() const {
  const TimePoint now = executor_.Now();
  // What waited for a process that stood still says nothing of now: a greeting
  // counts if the store has answered since, or if it can't have been under way.
  const bool confirmed = confirmed_.sent >= resumed_at_;
  // Only while the store answers can an entry be counted out: one that is
  // behind a cut may have taken over, however long ago it was heard of.
  const TimePoint counted_from = last_confirmation() - options_.counted;
  size_t entries = 1;
  size_t following = 1;
  if (leading_since_ >= counted_from) entries += NotHeardOfYet();
  for (const auto& [name, follower] : followers_) {
    if (follower.heard < counted_from) continue;
    ++entries;
    const bool fresh =
        confirmed || follower.heard - resumed_at_ >= options_.heartbeat_timeout;
    if (fresh && now - follower.heard < options_.leader_lease) ++following;
  }
  return following > 1 && 2 * following > entries;
}

size_t Leadership::NotHeardOfYet() const {
  const std::vector<wire::Member>& known = members_.all();
  return static_cast<size_t>(
      std::count_if(known.begin(), known.end(), [this](const auto& member) {
        return member.name != options_.member.name &&
               followers_.count(member.name) == 0;
      }));
}

Leadership::Asked Leadership::AskedNow() const {
  return {.sent = executor_.Now(), .suspended = executor_.Suspended()};
}

void Leadership::NoteProcessPause() {
  const TimePoint now = executor_.Now();
  const TimePoint before = std::exchange(last_tick_, now);
  // Less than that is within the trust of a leader, as any silence is.
  if (now - before <= options_.leader_lease) return;
  logging::Event(
      Level::kWarning, "stood still",
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
    // Another may have taken over while the announcement could not get here.
    // With the store out of reach nothing else would tell of it, and callers
    // here would be refused for as long.
    if (!lease_valid()) AskAround();
    NoteGoneFollowers();
    return YieldIfWeak();
  }
  if (leader_.address.empty()) {
    AskAround();
    return Suspect(Suspicion::kUnresponsive, "no leader known");
  }
  if (now - last_ack_sent_ > options_.unresponsive_after) SendIndirectProbes();
  const bool silent = now - last_ack_sent_ > options_.leader_suspect_after;
  if (silent) Suspect(Suspicion::kUnresponsive, "leader not heard of");
  if (heartbeat_in_flight_) return;
  // A next leader announces itself once. An entry that missed that and has lost
  // the store would greet a dead leader for ever, and refuse its callers though
  // the others know the living one. By turns, since the leader may be back.
  if (silent && std::exchange(others_next_, !others_next_)) return AskAround();
  if (now - last_heard_ >= options_.heartbeat_interval)
    SendHeartbeat(leader_.address);
}

void Leadership::AskAround() {
  const TimePoint now = executor_.Now();
  if (heartbeat_in_flight_ || now < ask_after_) return;
  const std::vector<std::string> others = KnownAddresses();
  if (others.empty()) return;
  ask_after_ = now + kAskPeriod;
  // In turn: one that is gone for good must not hide those that know.
  SendHeartbeat(others[asked_++ % others.size()]);
}

void Leadership::SendIndirectProbes() {
  const TimePoint now = executor_.Now();
  if (role_ != Role::kFollowing || now < witnesses_after_) return;
  witnesses_after_ = now + kWitnessPeriod;
  const wire::HeartbeatCall call = MakeHeartbeat();
  const std::vector<wire::Member>& members = members_.all();
  const size_t count = std::min(kWitnesses, members.size());
  for (size_t i = 0; i < count; ++i) {
    const std::string address =
        members[witnesses_asked_++ % members.size()].address;
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
  const wire::HeartbeatReply& hello = reply.value();
  if (hello.term != term_ || hello.leading) {
    return OnHeartbeatReply(address, sent, reply);
  }
  votes_.Note(
      address, executor_.Now(),
      Millis(hello.leader_unresponsive_ms) >= options_.unresponsive_after);
}

bool Leadership::LeaderIsSlow(
    const std::optional<wire::AnnounceCall>& record) const {
  const TimePoint now = executor_.Now();
  return now - last_ack_sent_ >= options_.unresponsive_after &&
         now - following_since_ >=
             ElectionTimeout(options_.least_term, record) &&
         votes_.HasMajority(now);
}

std::vector<std::string> Leadership::KnownAddresses() const {
  std::set<std::string> out(options_.seeds.begin(), options_.seeds.end());
  for (const wire::Member& member : members_.all()) {
    out.insert(member.address);
  }
  // However long ago they greeted: who led and lost its office while it was cut
  // off has heard of nobody lately, and may know no other.
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
  call.members_known = members_.number();
  return call;
}

void Leadership::SendHeartbeat(const std::string& address) {
  heartbeat_in_flight_ = true;
  const wire::HeartbeatCall call = MakeHeartbeat();
  peers_.Heartbeat(address, call, options_.heartbeat_timeout,
                   [this, address, sent = executor_.Now()](
                       const Result<wire::HeartbeatReply>& reply) {
                     heartbeat_in_flight_ = false;
                     const TimePoint before = last_heard_;
                     OnHeartbeatReply(address, sent, reply);
                     if (last_heard_ != before) last_ack_sent_ = sent;
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
  // What was asked before the leader was known may have been answered before it
  // led: its announcement overtakes that answer.
  const bool of_leader = address == leader_.address && sent >= following_since_;
  if (!reply.ok()) {
    if (!of_leader) return;
    // Nobody listens there any more: most likely the process has ended.
    const bool refused = reply.error().code == Errc::kUnavailable;
    refused_ = refused ? refused_ + 1 : 0;
    if (refused_ >= kRefusals) {
      Suspect(Suspicion::kEnded, "leader refuses connections");
    }
    return;
  }
  refused_ = 0;
  const wire::HeartbeatReply& hello = reply.value();
  if (!Plausible(hello.term, address)) return;
  if (hello.term > term_ || (hello.term == term_ && leader_.address.empty() &&
                             !hello.leader.address.empty())) {
    Follow(hello.term, hello.leader, hello.loading);
  }
  if (!hello.leading) {
    // The store names a leader before the answer to its claim has reached it.
    const bool may_not_know =
        hello.term < term_ &&
        executor_.Now() - following_since_ <= kStoreTimeout;
    if (of_leader && !may_not_know) {
      Suspect(Suspicion::kResigned,
              "the leader's address says that it does not lead");
    }
    return;
  }
  if (hello.term < term_) return;
  const TimePoint now = executor_.Now();
  last_heard_ = now;
  if (!hello.loading) NoteLeaderServes();
  members_.Take(hello.members, hello.members_known);
  // By then whoever lives has greeted the new leader.
  if (hello.members.empty() && now - following_since_ > kTermKnown) {
    members_.DropEarlier();
  }
  events_.on_heartbeat_reply(hello);
  if (!hello.store_reachable) {
    Suspect(Suspicion::kCutFromStore, "leader cannot reach the store");
  }
}

void Leadership::NoteLeaderServes() {
  if (std::exchange(leader_loading_, false)) events_.on_leader_ready();
}

void Leadership::Follow(int64_t term, const wire::Member& leader,
                        bool loading) {
  if (term < term_ || (term == term_ && leader.address == leader_.address)) {
    return;
  }
  // Others name this entry until they know a later leader. One that follows
  // itself greets nobody else and hands its callers to nobody; they waited in
  // vain until it ended.
  if (leader.address == options_.member.address) return;
  const bool led = role_ == Role::kLeading;
  term_ = term;
  leader_ = leader;
  leader_loading_ = true;
  last_heard_ = executor_.Now();
  last_ack_sent_ = last_heard_;
  following_since_ = last_heard_;
  members_.BeginTerm();
  votes_.Clear();
  refused_ = 0;
  logging::Event(Level::kInfo, "following",
                 {{"term", Text(term)},
                  {"leader", leader.name},
                  {"address", leader.address},
                  {"loading", loading ? "yes" : "no"}});
  if (led) {
    role_ = Role::kFollowing;
    events_.on_leadership_lost();
  }
  if (!loading) NoteLeaderServes();
}

void Leadership::StepDown(const std::string& cause) {
  if (role_ != Role::kLeading) return;
  logging::Event(Level::kWarning, "leadership lost",
                 {{"term", Text(term_)}, {"cause", cause}});
  role_ = Role::kFollowing;
  leader_ = {};
  look_after_ = executor_.Now() + kLookAgain;
  events_.on_leadership_lost();
}

void Leadership::Resign() {
  if (role_ == Role::kLeading) {
    return GiveUpOffice(Role::kResigned, "this entry stops");
  }
  role_ = Role::kResigned;
}

void Leadership::GiveUpOffice(Role role, const std::string& cause) {
  members_.Assign(followers());
  role_ = role;
  leader_ = {};
  look_after_ = executor_.Now() + kLookAfterYield;
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
                      // Those that do not hear it find out by greeting.
                    });
  }
}

void Leadership::NoteGoneFollowers() {
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (now - follower.heard >= kFollowerTimeout) changes_.Leave(name);
  }
}

void Leadership::YieldIfWeak() {
  if (options_.member.fitness >= options_.enough_fitness) return;
  if (executor_.Now() - leading_since_ < options_.yield_after) return;
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (follower.member.fitness < options_.enough_fitness) continue;
    if (now - follower.heard > kFollowerTimeout) continue;
    // The others must have heard of it too, or they claim before it can.
    if (now - follower.since < options_.leader_suspect_after) continue;
    return GiveUpOffice(Role::kFollowing, "a fitter entry is there");
  }
}

bool Leadership::Plausible(int64_t term, const std::string& peer) {
  if (term >= 0 && term <= kMaxTerm) return true;
  bad_records_.Report(RecordSource::kPeer, peer,
                      "names a term that nobody can have");
  return false;
}

void Leadership::Lead(int64_t term, int32_t unstable_terms, const Asked& asked,
                      int64_t end_offset) {
  role_ = Role::kLeading;
  term_ = term;
  unstable_terms_ = unstable_terms;
  leader_ = options_.member;
  leader_loading_ = true;
  end_offset_ = end_offset;
  last_renewed_ = executor_.Now();
  leading_since_ = last_renewed_;
  renewal_took_ =
      std::chrono::duration_cast<Millis>(last_renewed_ - asked.sent);
  confirmed_ = asked;
  followers_.clear();
  changes_.Clear();
  changes_.Join(options_.member);
  logging::Event(
      Level::kInfo, "leading",
      {{"term", Text(term)}, {"unsettled_terms", Text(unstable_terms)}});
  AnnounceLead();
  events_.on_elected(term);
}

void Leadership::MarkReady() {
  if (role_ != Role::kLeading) return;
  serving_since_ = executor_.Now();
  const auto took =
      std::chrono::duration_cast<Millis>(serving_since_ - leading_since_);
  logging::Event(Level::kInfo, "serving",
                 {{"term", Text(term_)}, {"loading_ms", Text(took.count())}});
  NoteLeaderServes();
  AnnounceLead();
}

void Leadership::AnnounceLead() {
  wire::AnnounceCall call;
  call.term = term_;
  call.leader = options_.member;
  call.loading = leader_loading_;
  for (const std::string& address : KnownAddresses()) {
    peers_.Announce(address, call, options_.heartbeat_timeout,
                    [](const Result<wire::AnnounceReply>&) {
                      // Those that do not hear it find the record.
                    });
  }
}

void Leadership::Renew() {
  renewing_ = true;
  store_.Append({.table = options_.table,
                 .records = {{kLeaderKey, Record(term_, unstable_terms_)}},
                 .expected_end_offset = end_offset_},
                kStoreTimeout,
                [this, asked = AskedNow()](const ports::AppendReply& reply) {
                  OnRenew(asked, reply);
                });
}

void Leadership::OnRenew(const Asked& asked, const ports::AppendReply& reply) {
  renewing_ = false;
  if (role_ != Role::kLeading) return;
  if (reply.verdict == ports::AppendVerdict::kStored) {
    end_offset_ = reply.end_offset;
    last_renewed_ = executor_.Now();
    renewal_took_ =
        std::chrono::duration_cast<Millis>(last_renewed_ - asked.sent);
    confirmed_ = asked;
    return;
  }
  // A conflict is another's claim or an own renewal whose answer was lost.
  SettleRenewal();
}

void Leadership::SettleRenewal() {
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
                      const auto record = LeaderIn(page.value());
                      if (record && record->term > term_) {
                        StepDown("the store names a later leader");
                        return Follow(record->term, record->leader,
                                      record->loading);
                      }
                      // The next renewal overwrites what can't be read.
                      end_offset_ = page.value().end_offset;
                    });
}

wire::HeartbeatReply Leadership::OnHeartbeat(const wire::HeartbeatCall& call) {
  wire::HeartbeatReply reply;
  if (Plausible(call.term, call.caller.name) && call.term > term_ &&
      role_ == Role::kLeading) {
    StepDown("a follower knows a later term");
  }
  reply.leading = leading();
  reply.term = term_;
  reply.leader = leader_;
  reply.loading = leader_loading_;
  if (!leading()) {
    const auto silent =
        std::chrono::duration_cast<Millis>(executor_.Now() - last_ack_sent_);
    reply.leader_unresponsive_ms = leader_.address.empty() ? 0 : silent.count();
    return reply;
  }
  // Operators' tools ask without an address of their own.
  if (!call.caller.address.empty()) {
    const TimePoint now = executor_.Now();
    auto& follower = followers_.try_emplace(call.caller.name).first->second;
    if (now - follower.heard > kFollowerTimeout) follower.since = now;
    follower.member = call.caller;
    follower.heard = now;
    changes_.Join(call.caller);
  }
  reply.store_reachable = store_reachable();
  reply.members_known = call.term == term_ ? call.members_known : 0;
  reply.members = changes_.After(reply.members_known);
  reply.config_version = events_.config_version();
  if (reply.config_version > call.config_version) {
    reply.config = events_.config_document();
  }
  return reply;
}

wire::AnnounceReply Leadership::OnAnnounce(const wire::AnnounceCall& call) {
  wire::AnnounceReply reply;
  if (!Plausible(call.term, call.leader.name)) {
    reply.term = term_;
    return reply;
  }
  if (call.resigned) {
    if (call.term == term_ && call.leader.address == leader_.address) {
      look_after_ = {};
      Suspect(Suspicion::kResigned, "the leader has resigned");
    }
  } else {
    Follow(call.term, call.leader, call.loading);
    const bool known =
        call.term == term_ && call.leader.address == leader_.address;
    if (known && !call.loading) NoteLeaderServes();
  }
  reply.term = term_;
  return reply;
}

}  // namespace mimosarail::leadership
