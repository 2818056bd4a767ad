#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/leadership/election_timeout.h"
#include "src/leadership/job_peer_port.h"
#include "src/leadership/leader_timeout_votes.h"
#include "src/leadership/member_list.h"
#include "src/libs/faults/malformed_record_reporter.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::leadership {

struct LeadershipOptions {
  wire::Member member;
  std::string table = "leaders";
  /// Entries to ask for the leader while the store cannot be read.
  std::vector<std::string> seeds;
  /// A leader that has served for this long is settled.
  Millis stable_after{3000};
  /// How often a follower greets the leader.
  Millis heartbeat_interval{200};
  Millis heartbeat_timeout{500};
  /// A leader not heard of for this long is suspected. Three greetings.
  Millis leader_suspect_after{700};
  /// How often the leader renews its record in the store.
  Millis renew_period{200};
  /// A suspected leader whose record did not move for this long has lost its
  /// office. Two renewals; the store's own delay is added.
  Millis election_timeout{450};
  /// The same for a leader that says itself that it has lost the store.
  Millis election_timeout_store_lost{150};
  /// A leader that answers most followers' greetings no more for this long is
  /// replaced, though it renews its record in the store. Two greetings without
  /// an answer; a machine that stands still for less is not worth a take-over.
  Millis unresponsive_after{800};
  /// Not within this of the start of its term: where the load is too much for
  /// any machine another leader does no better, and each take-over makes
  /// callers wait for some 0.3 s.
  Millis least_term{3000};
  /// A leader that had no success at the store for this long is replaced by
  /// somebody who can reach it.
  Millis store_unreachable_after{700};
  /// Without a word from the store or most other entries for this long, a
  /// leader gives no orders any more: another may have taken over unseen.
  Millis leader_lease{2000};
  /// An entry that had not been heard of for this long when the store last
  /// answered is not counted among the others: it has ended, since a leader
  /// that most entries can't reach is replaced within some 5 s.
  Millis counted{8000};
  /// Processor share, in percent of a core, with which an entry can lead any
  /// deployment; to lead 350 upstreams took 0.22 of a core.
  int32_t enough_fitness = 25;
  /// A leader that turned out too weak hands over to an entry that is fit for
  /// it after this.
  Millis yield_after{1500};
};

/// Who leads, and in which term. The arbiter is the end of a table in the
/// store: a claim is stored only if nobody wrote since the claimant looked, and
/// the leader writes there all the time. Greetings between entries only say
/// when it is worth looking. Control thread only.
class Leadership {
 public:
  struct Events {
    /// This entry leads from now on.
    std::function<void(int64_t term)> on_elected;
    /// It does not lead any more.
    std::function<void()> on_leadership_lost;
    /// The leader, whoever it is, takes calls from now on.
    std::function<void()> on_leader_ready;
    /// A leader answered a greeting.
    std::function<void(const wire::HeartbeatReply&)> on_heartbeat_reply;
    /// Version of the configuration that is known here, and its document.
    std::function<int64_t()> config_version;
    std::function<std::string()> config_document;
    /// When the leader's own journal was last stored.
    std::function<TimePoint()> last_stored;
    /// When that append had been sent.
    std::function<TimePoint()> last_stored_sent;
  };

  /// Everything given outlives it.
  Leadership(Executor& executor, ports::RecordStorePort& store,
             JobPeerPort& peers, faults::MalformedRecordReporter& bad_records,
             LeadershipOptions options, Events events);

  void Start();
  /// Tells the others to take over at once, and claims nothing any more. Goes
  /// on following whoever leads, so that callers are served to the end.
  void Resign();
  /// Steps down, since somebody else was found to lead.
  void StepDown(const std::string& cause);
  /// What is stored has been taken over: tells the others that calls are taken
  /// from now on. Does nothing if this entry doesn't lead any more.
  void MarkReady();

  bool leading() const { return role_ == Role::kLeading; }
  int64_t term() const { return term_; }
  /// Whether orders may still be given; see LeadershipOptions::leader_lease.
  bool lease_valid() const;
  /// Whether the store itself has said so within that time: only then is it
  /// sure that no other entry has taken jobs that are not known here.
  bool lease_confirmed_by_store() const;
  /// The leader as far as is known; empty address if none is.
  const wire::Member& leader() const { return leader_; }
  /// Whether the leader is known and takes calls. A call to one that still
  /// loads is turned away, and its repeats take the link that it loads over.
  bool leader_ready() const {
    return !leader_.address.empty() && !leader_loading_;
  }
  /// Entries that have greeted this leader lately, without itself.
  std::vector<wire::Member> followers() const;
  bool store_reachable() const;

  wire::HeartbeatReply OnHeartbeat(const wire::HeartbeatCall& call);
  wire::AnnounceReply OnAnnounce(const wire::AnnounceCall& call);

 private:
  enum class Role { kFollowing, kLeading, kResigned };

  void Tick();
  /// Notes that this process did not run for longer than
  /// LeadershipOptions::leader_lease.
  void NoteProcessPause();
  /// Greets another entry in turn, since no leader is known, or none that still
  /// answers.
  void AskAround();
  /// Asks some other followers whether the leader answers them.
  void SendIndirectProbes();
  void OnIndirectProbeReply(const std::string& address, TimePoint sent,
                            const Result<wire::HeartbeatReply>& reply);
  /// As leader: whether more than half of the entries, this one among them, are
  /// known to follow it still. One that is cut off as this one may greet it for
  /// ever, while the rest of the cell has another leader.
  bool HasFollowerQuorum() const;
  /// Entries that were known when this one claimed and have not greeted it.
  size_t NotHeardOfYet() const;
  /// As leader: when the newest call that the store answered had been sent.
  TimePoint last_confirmation() const;
  /// Whether the leader leaves this entry and most others waiting, late enough
  /// in its term.
  bool LeaderIsSlow(const std::optional<wire::AnnounceCall>& record) const;
  /// Every entry that was ever heard of, without this one, each once.
  std::vector<std::string> KnownAddresses() const;
  /// The greeting that this entry would send now.
  wire::HeartbeatCall MakeHeartbeat() const;
  void SendHeartbeat(const std::string& address);
  /// `sent` is when the greeting was.
  void OnHeartbeatReply(const std::string& address, TimePoint sent,
                        const Result<wire::HeartbeatReply>& reply);
  void Follow(int64_t term, const wire::Member& leader, bool loading);
  /// The known leader has loaded. Within a term that stays so, whatever comes
  /// late from before.
  void NoteLeaderServes();
  /// Announces this leader to all that are known.
  void AnnounceLead();
  /// What speaks against the leader.
  enum class Suspicion {
    kUnresponsive,  ///< No answer of it was heard, or nobody is known to lead.
    kCutFromStore,  ///< It says itself that it does not reach the store.
    kEnded,         ///< Its address refuses connections.
    kResigned,      ///< It says itself that it does not lead.
  };
  /// Looks at the store who leads. Claims if the leader's record stands still
  /// for ElectionTimeoutFor(), at once if it has resigned; a resigned entry
  /// only looks.
  void Suspect(Suspicion suspicion, const std::string& cause);
  Millis ElectionTimeoutFor(
      Suspicion suspicion,
      const std::optional<wire::AnnounceCall>& record) const;
  void Look(Suspicion suspicion, std::optional<int64_t> seen_end);
  void OnLook(Suspicion suspicion, std::optional<int64_t> seen_end,
              TimePoint asked, const Result<ports::NewestPage>& page);
  /// How long this entry lets better ones claim first.
  Millis ClaimDelay() const;
  void YieldIfWeak();
  /// Tells followers that fell silent as gone.
  void NoteGoneFollowers();
  void GiveUpOffice(Role role, const std::string& cause);
  void Claim(int64_t term, int64_t end_offset, int32_t unstable_terms);
  /// What the store answers holds as of when it was asked: the answer may be
  /// late, and another may lead by then.
  struct Asked {
    TimePoint sent{};
    /// How long the machine had been suspended by then.
    Millis suspended{0};
  };
  Asked AskedNow() const;
  void OnClaim(int64_t term, int32_t unstable_terms, const Asked& asked,
               const ports::AppendReply& reply);
  void EndLook(Millis pause);
  void Lead(int64_t term, int32_t unstable_terms, const Asked& asked,
            int64_t end_offset);
  /// Whether this leader has served for LeadershipOptions::stable_after.
  bool stable() const;
  void Renew();
  void OnRenew(const Asked& asked, const ports::AppendReply& reply);
  void SettleRenewal();
  std::string Record(int64_t term, int32_t unstable_terms) const;
  /// The leader's record on a page of the table; empty if there is none that
  /// can be true.
  std::optional<wire::AnnounceCall> LeaderIn(const ports::NewestPage& page);
  /// Whether a term from another process can be true; told if not.
  bool Plausible(int64_t term, const std::string& peer);

  Executor& executor_;
  ports::RecordStorePort& store_;
  JobPeerPort& peers_;
  faults::MalformedRecordReporter& bad_records_;
  LeadershipOptions options_;
  Events events_;
  Role role_ = Role::kFollowing;
  int64_t term_ = 0;
  wire::Member leader_;
  /// As far as is known here; of this entry's own term, if it leads.
  bool leader_loading_ = false;
  TimePoint last_heard_{};
  /// When the newest greeting that the leader answered was sent.
  TimePoint last_ack_sent_{};
  bool heartbeat_in_flight_ = false;
  TimePoint ask_after_{};
  size_t asked_ = 0;
  LeaderTimeoutVotes votes_;
  TimePoint witnesses_after_{};
  size_t witnesses_asked_ = 0;
  TimePoint following_since_{};
  /// While the leader is silent: whether the next question goes to another.
  bool others_next_ = true;
  bool looking_ = false;
  /// Term of the leader that is looked into.
  int64_t suspected_term_ = 0;
  TimePoint look_after_{};
  int refused_ = 0;
  /// As leader: see AnnounceCall.
  int32_t unstable_terms_ = 0;
  TimePoint serving_since_{};
  /// As leader: end of the table as this entry last wrote it.
  int64_t end_offset_ = 0;
  bool renewing_ = false;
  TimePoint last_renewed_{};
  /// How long the last renewal took that was stored, or the claim.
  Millis renewal_took_{0};
  /// When the newest renewal that was stored, or the claim, had been sent, and
  /// how long the machine had been suspended by then.
  Asked confirmed_;
  TimePoint last_tick_{};
  /// End of the last time that this process stood still.
  TimePoint resumed_at_{};
  struct Follower {
    wire::Member member;
    TimePoint heard;
    /// First heard of in this term.
    TimePoint since;
  };
  std::map<std::string, Follower> followers_;
  TimePoint leading_since_{};
  /// As leader: the followers, as they are told of each other.
  MemberChanges changes_;
  /// What the leader has told of its followers.
  KnownMembers members_;
};

}  // namespace mimosarail::leadership
