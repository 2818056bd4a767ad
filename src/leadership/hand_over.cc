// The part of Leadership that gives leadership up to another entry.

#include "src/leadership/hand_over.h"

#include "src/leadership/leader_fitness.h"
#include "src/leadership/leader_table.h"
#include "src/leadership/leadership.h"
#include "src/libs/logging/log.h"

namespace mimosarail::leadership {
namespace {

/// Pause after a resignation, in which another entry claims leadership.
constexpr Millis kLeaderCheckAfterResignation{1000};

using logging::Level;
using logging::Text;

}  // namespace

bool NamedSuccessors::NamedRecently(const std::string& name,
                                    TimePoint now) const {
  const auto found = named_at_.find(name);
  return found != named_at_.end() && now - found->second < kRetryAfter;
}

void Leadership::HandOverIfUnfit() {
  if (options_.member.fitness >= options_.sufficient_fitness) return;
  const TimePoint now = executor_.Now();
  for (const auto& [name, follower] : followers_) {
    if (follower.member.fitness < options_.sufficient_fitness) continue;
    // Only an entry that follows this leader accepts its resignation.
    if (!follower.follows) continue;
    if (now - follower.last_heartbeat > kFollowerTimeout) continue;
    if (successors_.NamedRecently(name, now)) continue;
    return HandOver(wire::Member(follower.member));
  }
}

void Leadership::HandOver(const wire::Member& successor) {
  // Nobody may know the successor yet: it may have just been started, or all
  // entries may have. The resignation therefore names it, and goes to all known
  // entries, the successor first.
  std::vector<std::string> receivers{successor.address};
  for (const std::string& address : KnownAddresses()) {
    if (address != successor.address) receivers.push_back(address);
  }
  wire::AnnounceCall call;
  call.__set_successor(successor.name);
  successors_.Note(successor.name, executor_.Now());
  logging::Event(
      Level::kInfo, "handing over",
      {{"term", Text(term_)},
       {"fitness", Text(static_cast<int64_t>(options_.member.fitness))},
       {"successor", successor.name},
       {"successor_fitness", Text(static_cast<int64_t>(successor.fitness))},
       {"loading", leader_loading_ ? "yes" : "no"}});
  Resign(Role::kFollowing, "a fitter entry is there", receivers, call);
}

void Leadership::ResignForShutdown() {
  if (role_ != Role::kLeading) {
    role_ = Role::kShuttingDown;
    return;
  }
  std::vector<std::string> receivers;
  for (const wire::Member& member : followers()) {
    receivers.push_back(member.address);
  }
  Resign(Role::kShuttingDown, "this entry stops", receivers, {});
}

void Leadership::Resign(Role next_role, const std::string& cause,
                        const std::vector<std::string>& receivers,
                        wire::AnnounceCall call) {
  call.term = term_;
  call.leader = options_.member;
  call.resigned = true;
  members_.Assign(followers());
  role_ = next_role;
  leader_ = {};
  next_check_at_ = executor_.Now() + kLeaderCheckAfterResignation;
  logging::Event(Level::kInfo, "leadership resigned",
                 {{"term", Text(term_)}, {"cause", cause}});
  events_.on_leadership_lost();
  for (const std::string& address : receivers) {
    peers_.Announce(address, call, options_.heartbeat_timeout,
                    [](const Result<wire::AnnounceReply>&) {
                      // Entries that miss it learn of it by heartbeats.
                    });
  }
}

void Leadership::ReportToUnfitLeader() {
  // An entry that is shutting down can't take over.
  if (role_ != Role::kFollowing) return;
  if (options_.member.fitness < options_.sufficient_fitness) return;
  if (leader_.fitness >= options_.sufficient_fitness) return;
  // Not the periodic heartbeat: one to the former leader may be in flight until
  // its timeout, and the new leader would load meanwhile.
  peers_.Heartbeat(leader_.address, MakeHeartbeat(), options_.heartbeat_timeout,
                   [this, address = leader_.address, sent = executor_.Now()](
                       const Result<wire::HeartbeatReply>& reply) {
                     if (reply.ok()) OnHeartbeatReply(address, sent, reply);
                   });
}

}  // namespace mimosarail::leadership
