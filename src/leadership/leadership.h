#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/leadership/election_timeout.h"
#include "src/leadership/entry_client_port.h"
#include "src/leadership/hand_over.h"
#include "src/leadership/leader_check_pacing.h"
#include "src/leadership/leader_quorum.h"
#include "src/leadership/leader_timeout_votes.h"
#include "src/leadership/live_replacements.h"
#include "src/leadership/member_list.h"
#include "src/leadership/predecessor_leases.h"
#include "src/libs/faults/malformed_record_reporter.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::leadership {

struct LeadershipOptions {
  wire::Member member;
  std::string table = "leaders";
  /// Entries to ask for the leader while the store cannot be read.
  std::vector<std::string> seeds;
  /// A leader that has served for this long is stable.
  Millis stable_after{3000};
  /// Interval at which a follower sends heartbeats to the leader.
  Millis heartbeat_interval{200};
  Millis heartbeat_timeout{500};
  /// A leader that has not answered for this long is suspected. Three
  /// heartbeats.
  Millis leader_suspect_after{700};
  /// Interval at which the leader renews its record in the store.
  Millis renew_period{200};
  /// A suspected leader whose record stays unchanged for this long has lost
  /// leadership. Two renewal periods and a margin; twice the duration of the
  /// first read of the record is added.
  Millis election_timeout{450};
  /// The same for a leader that reports that it cannot reach the store.
  Millis election_timeout_store_lost{150};
  /// A leader that leaves most followers' heartbeats unanswered for this long
  /// is replaced even if it renews its record in the store. Two unanswered
  /// heartbeats; a shorter process pause does not justify a failover.
  Millis unresponsive_after{800};
  /// Minimum time for which a follower follows a leader before it replaces it
  /// as unresponsive although the leader renews its record. Doubles with each
  /// unstable term; see ElectionTimeout(). If the load is too high for any
  /// machine, another leader does no better, and each failover makes callers
  /// wait for some 0.3 s.
  Millis min_term_duration{3000};
  /// A leader without a successful store call for this long is replaced by an
  /// entry that can reach the store. If renewals are slow, the time is extended
  /// to the renewal period plus twice the last renewal's duration.
  Millis store_unreachable_after{700};
  /// A leader that has had no answer from the store and no heartbeats from most
  /// other entries for this long gives no more orders: another entry may have
  /// taken over without its knowledge.
  Millis leader_lease{2000};
  /// A leader without an answer from the store for this long gives no more
  /// orders, even if most other entries follow it. A successor that most
  /// entries do not follow waits this long before it runs the tasks of lost
  /// upstreams again.
  Millis max_store_outage{30000};
  /// An entry whose last heartbeat is older than this is left out of the quorum
  /// that the leader stores next.
  Millis member_expiry{8000};
  /// Fitness with which an entry can lead any deployment; see LeaderFitness().
  /// Leading 350 upstreams took 0.22 of a core.
  int32_t sufficient_fitness = 25;
  /// A leader whose configuration the store has not confirmed for this long
  /// takes over a newer one from a follower. Longer than two reads for changes,
  /// each of which waits 0.9 s.
  Millis config_stale_after{2200};
};

/// Elects the leader and tracks the current leader and its term. The end offset
/// of a table in the store decides elections: a claim is stored only if the
/// table is unchanged since the claimant read it, and the leader writes to it
/// continuously. Heartbeats between entries only indicate when the table is
/// worth reading. Control thread only.
class Leadership {
 public:
  struct Events {
    /// This entry has become the leader.
    std::function<void(int64_t term)> on_elected;
    /// This entry no longer leads.
    std::function<void()> on_leadership_lost;
    /// The current leader, this entry or another one, now takes calls.
    std::function<void()> on_leader_ready;
    /// A leader answered a heartbeat that was sent at `sent`.
    std::function<void(const wire::HeartbeatReply&, TimePoint sent)>
        on_heartbeat_reply;
    /// Version of the configuration that this entry has, and its document.
    std::function<int64_t()> config_version;
    std::function<std::string()> config_document;
    /// How long ago the store confirmed that it is the newest.
    std::function<Millis()> config_age;
    /// As leader: a follower has passed on its configuration, which is newer.
    std::function<void(const std::string& document)> on_config_offered;
    /// Time at which the newest stored append of the leader's own journal was
    /// confirmed.
    std::function<TimePoint()> last_stored;
    /// Time at which that append was sent.
    std::function<TimePoint()> last_stored_sent;
    /// Whether this process uses its capacity to the full; see CapacityUse. May
    /// be empty.
    std::function<bool()> saturated;
    /// As leader: the load, for followers. May be null.
    std::function<std::optional<wire::LoadSummary>()> load{};
  };

  /// All arguments passed by reference outlive this object.
  Leadership(Executor& executor, ports::RecordStorePort& store,
             EntryClientPort& peers,
             faults::MalformedRecordReporter& malformed_records,
             LeadershipOptions options, Events events);

  void Start();
  /// Makes no more claims for leadership and, if this entry leads, resigns.
  /// This entry keeps following the current leader, so that its callers are
  /// served until it stops.
  void ResignForShutdown();
  /// Stops leading because another entry leads or must be assumed to lead.
  /// Nothing is announced. Does nothing if this entry does not lead.
  void StepDown(const std::string& cause);
  /// Notes that the stored state is loaded and announces to the other entries
  /// that this leader takes calls. Does nothing if this entry no longer leads.
  void MarkReady();

  bool leading() const { return role_ == Role::kLeading; }
  int64_t term() const { return term_; }
  /// Memory of the smallest machine among this entry and its followers, in MB;
  /// 0 if one of them does not say how much it has.
  int64_t SmallestMemoryMb() const;
  /// Whether this leader may still give orders; see
  /// LeadershipOptions::leader_lease.
  bool lease_valid() const;
  /// Whether the store itself has confirmed the lease within that time. Only
  /// then is it certain that no other entry has accepted jobs that this leader
  /// does not know.
  bool lease_confirmed_by_store() const;
  /// As leader: whether the lease is valid and, if the process was paused for
  /// long enough for another entry to take over, was confirmed again since.
  /// Until then, jobs may have been accepted or completed under a successor.
  bool state_current() const;
  /// As leader: send time of the newest call by which the store confirmed that
  /// no other entry leads.
  TimePoint last_confirmation() const;
  /// As leader: when the leases of all earlier leaders end; unset while that is
  /// not known. May become earlier. An earlier leader may lead on for that long
  /// in a part of the cell that the store does not answer.
  std::optional<TimePoint> predecessor_lease_end() const {
    return predecessors_.lease_end();
  }
  /// The leader known to this entry; its address is empty if there is none.
  const wire::Member& leader() const { return leader_; }
  /// Whether the leader is known and takes calls. A leader that is still
  /// loading refuses calls, and repeated calls use bandwidth of the link that
  /// it loads over.
  bool leader_ready() const {
    return !leader_.address.empty() && !leader_loading_;
  }
  /// Entries with a recent heartbeat to this leader; does not include itself.
  std::vector<wire::Member> followers() const;
  bool store_reachable() const;

  wire::HeartbeatReply OnHeartbeat(const wire::HeartbeatCall& call);
  wire::AnnounceReply OnAnnounce(const wire::AnnounceCall& call);

 private:
  enum class Role {
    kFollowing,     ///< Follows the leader and claims leadership if it fails.
    kLeading,       ///< Leads.
    kShuttingDown,  ///< Follows the leader, but no longer claims leadership.
  };

  void Tick();
  /// Records a pause of this process that was longer than
  /// LeadershipOptions::leader_lease.
  void NoteProcessPause();
  /// Sends a heartbeat to the next of the other entries, to learn of a leader.
  /// Used when no leader is known or the known one does not answer.
  void QueryNextPeer();
  /// Asks some other followers whether the leader answers them.
  void SendIndirectProbes();
  void OnIndirectProbeReply(const std::string& address, TimePoint sent,
                            const Result<wire::HeartbeatReply>& reply);
  /// As leader: whether more than half of the stored quorum, including this
  /// entry, are known to still follow it. A single follower is not enough: an
  /// entry in the same partition may send heartbeats indefinitely while the
  /// rest of the cell has another leader.
  bool HasFollowerQuorum() const;
  /// As leader: the entries that the stored quorum should consist of.
  std::vector<std::string> QuorumMembers() const;
  /// As leader: whether the stored quorum has to be replaced by `members`.
  bool QuorumChangeDue(const std::vector<std::string>& members) const;
  /// This process's steady clock, as sent in heartbeat replies.
  int64_t ClockMs() const;
  /// Number of entries that may check the leader's record at the same time.
  size_t KnownEntries() const { return members_.all().size(); }
  /// Addresses of all entries known to this one, without its own and without
  /// duplicates.
  std::vector<std::string> KnownAddresses() const;
  /// As leader: gives the caller of a heartbeat the newest configuration, or
  /// takes it over from the caller.
  void ExchangeConfig(const wire::HeartbeatCall& call,
                      wire::HeartbeatReply& reply);
  /// Sends the configuration of this entry to the leader that asked for it.
  void SendConfig(const std::string& address);
  /// The heartbeat that this entry would send now.
  wire::HeartbeatCall MakeHeartbeat() const;
  void SendHeartbeat(const std::string& address);
  /// `sent` is the send time of the heartbeat.
  void OnHeartbeatReply(const std::string& address, TimePoint sent,
                        const Result<wire::HeartbeatReply>& reply);
  /// Follows this leader, unless a later term is known or it is this entry.
  void Follow(int64_t term, const wire::Member& leader, bool loading);
  /// Notes that the known leader has loaded. This holds for the rest of the
  /// term; late messages from before are ignored.
  void NoteLeaderReady();
  /// Announces this leader to all known entries.
  void AnnounceLeadership();
  /// Sends `call` to the receivers, a few at a time, while this entry leads in
  /// the call's term.
  void AnnounceInBatches(wire::AnnounceCall call,
                         std::vector<std::string> receivers);
  /// Why the leader is suspected.
  enum class Suspicion {
    kUnresponsive,       ///< It does not answer, or no leader is known.
    kStoreUnreachable,   ///< It reports that it cannot reach the store.
    kConnectionRefused,  ///< Its address refuses connections.
    kNotLeading,         ///< It has resigned or reports that it does not lead.
  };
  /// Whether the leader leaves this entry and most others without answers, its
  /// term has lasted long enough to replace it, and its successor would do
  /// better: the leader does not state that it is saturated, or a fitter entry
  /// is known.
  bool LeaderIsSlow(const std::optional<wire::AnnounceCall>& record) const;
  /// Logs the figures by which a slow leader is replaced.
  void LogSlowLeader(const std::optional<wire::AnnounceCall>& record) const;
  /// Logs the figures by which a leader is replaced that no longer renews its
  /// record.
  void LogUnchangedRecord(
      Suspicion suspicion,
      const std::optional<wire::AnnounceCall>& record) const;
  /// Consecutive replacements of live leaders before a term that follows this
  /// record; see LiveReplacementsBefore().
  int32_t ReplacementsBefore(
      const std::optional<wire::AnnounceCall>& record) const;
  /// Reads the leader record in the store. Claims leadership if the record
  /// stays unchanged for ElectionTimeoutFor(), or at once if the leader no
  /// longer leads. An entry that is shutting down only reads.
  void Suspect(Suspicion suspicion, const std::string& cause);
  Millis ElectionTimeoutFor(
      Suspicion suspicion,
      const std::optional<wire::AnnounceCall>& record) const;
  /// `end_at_first_read` is the end offset of the table at the first read of
  /// this check; unset in the first read.
  void CheckLeaderRecord(Suspicion suspicion,
                         std::optional<int64_t> end_at_first_read);
  void OnLeaderRecord(Suspicion suspicion,
                      std::optional<int64_t> end_at_first_read, TimePoint sent,
                      const Result<ports::NewestPage>& page);
  /// Delay of this entry's claim, which lets fitter entries claim first.
  Millis ClaimDelay() const;
  /// As leader that is not sufficiently fit: resigns as soon as a sufficiently
  /// fit entry follows it, be it before the stored state is loaded.
  void HandOverIfUnfit();
  /// Resigns in favour of this follower. Precondition: this entry leads.
  void HandOver(const wire::Member& successor);
  /// Sends a heartbeat to a new leader that is not sufficiently fit, if this
  /// entry is, so that the leader hands over before it loads.
  void ReportToUnfitLeader();
  /// Adds followers without recent heartbeats to the member changes as removed.
  void ReportExpiredFollowers();
  /// Stops leading and sends `call` as a resignation to `receivers`, so that
  /// they take over at once. `next_role` is the role of this entry after that.
  /// Precondition: this entry leads.
  void Resign(Role next_role, const std::string& cause,
              const std::vector<std::string>& receivers,
              wire::AnnounceCall call);
  /// What a claim of leadership is based on.
  struct Candidacy {
    int64_t term = 0;
    /// End of the table at which the claim is stored.
    int64_t end_offset = 0;
    int32_t unstable_terms = 0;
    /// See wire::AnnounceCall, and LiveReplacements::BeginTerm().
    int32_t replaced_alive = 0;
    std::string predecessor;
    /// The stored quorum; absent if there is none or it is unreadable.
    std::optional<wire::QuorumRecord> quorum;
  };
  void Claim(const Candidacy& candidacy);
  /// The moment at which a store call was sent. The answer confirms leadership
  /// as of this moment only: it may arrive late, when another entry leads.
  struct CallStart {
    TimePoint sent{};
    /// Total time that the machine had been suspended by then.
    Millis suspended{0};
  };
  CallStart CallStartNow() const;
  void OnClaim(const Candidacy& candidacy, const CallStart& start,
               const ports::AppendReply& reply);
  /// Ends the check of the leader record that Suspect() began. The next one
  /// begins after `pause` at the earliest.
  void EndLeaderCheck(Millis pause);
  /// Ends an inconclusive check; the next one begins after a pause.
  void RetryLeaderCheck();
  /// `end_offset` is the end of the table after the claim.
  void BecomeLeader(const Candidacy& candidacy, const CallStart& start,
                    int64_t end_offset);
  /// Whether this leader has served for LeadershipOptions::stable_after.
  bool stable() const;
  void Renew();
  struct Renewal {
    CallStart start;
    int64_t term = 0;
    /// The renewal contains a quorum.
    bool has_quorum = false;
  };
  void OnRenew(const Renewal& renewal, const ports::AppendReply& reply);
  /// As leader: notes that the caller of a heartbeat follows this entry.
  void NoteFollowing(const wire::HeartbeatCall& call, TimePoint now);
  /// As leader: logs once in a term that no earlier leader can be confirmed any
  /// more.
  void LogWhenSuperseded();
  /// Reads the table to find out whether a renewal that was not confirmed was
  /// stored or lost to another entry's claim.
  void ResolveRenewal();
  /// The leader record that this entry writes, encoded.
  std::string EncodeRecord(int64_t term, int32_t unstable_terms,
                           int32_t replaced_alive) const;
  /// The quorum record that this entry writes as leader, encoded.
  std::string EncodeQuorum(const std::vector<std::string>& members) const;
  /// The leader's record on a page of the table; empty if there is none that is
  /// plausible.
  std::optional<wire::AnnounceCall> FindLeaderRecord(
      const ports::NewestPage& page);
  /// The stored quorum on a page of the table; empty if there is none that is
  /// readable.
  std::optional<wire::QuorumRecord> FindQuorum(const ports::NewestPage& page);
  /// Whether a term received from another process is plausible; an implausible
  /// one is reported as malformed.
  bool IsPlausibleTerm(int64_t term, const std::string& peer);

  Executor& executor_;
  ports::RecordStorePort& store_;
  EntryClientPort& peers_;
  faults::MalformedRecordReporter& malformed_records_;
  LeadershipOptions options_;
  Events events_;
  Role role_ = Role::kFollowing;
  int64_t term_ = 0;
  wire::Member leader_;
  /// Whether the known leader is still loading, be it this entry or another.
  bool leader_loading_ = false;
  /// When the leader last answered, or when this entry began to follow it.
  TimePoint last_leader_answer_{};
  /// Send time of the newest heartbeat that the leader answered, or when this
  /// entry began to follow it.
  TimePoint last_answered_sent_{};
  /// See wire::HeartbeatCall.
  int64_t incarnation_ = 0;
  int64_t leader_clock_ms_ = 0;
  /// As leader: a follower is not asked for its configuration before this time.
  TimePoint next_config_request_at_{};
  TimePoint next_query_at_{};
  size_t queries_sent_ = 0;
  LeaderTimeoutVotes votes_;
  TimePoint next_probe_at_{};
  size_t probes_sent_ = 0;
  TimePoint following_since_{};
  /// While the leader is unresponsive: whether the next heartbeat goes to
  /// another entry.
  bool query_peers_next_ = true;
  bool heartbeat_in_flight_ = false;
  bool checking_leader_ = false;
  /// Term of the suspected leader.
  int64_t suspected_term_ = 0;
  TimePoint next_check_at_{};
  int refused_connections_ = 0;
  /// As leader: see wire::AnnounceCall.
  int32_t unstable_terms_ = 0;
  TimePoint serving_since_{};
  /// As leader: end of the table as this entry last wrote it.
  int64_t end_offset_ = 0;
  bool renewing_ = false;
  /// As leader: see LogWhenSuperseded().
  bool superseded_logged_ = false;
  TimePoint last_renewed_{};
  /// Duration of the newest stored renewal, or of the claim.
  Millis renewal_duration_{0};
  /// Start of the newest stored renewal, or of the claim.
  CallStart confirmed_;
  TimePoint last_tick_{};
  /// End of the last process pause.
  TimePoint resumed_at_{};
  /// End of the last pause in which another entry may have taken over.
  TimePoint replaceable_until_{};
  struct Follower {
    wire::Member member;
    TimePoint last_heartbeat;
    /// Its newest heartbeat was of this leader's term.
    bool follows = false;
  };
  std::map<std::string, Follower> followers_;
  TimePoint leading_since_{};
  NamedSuccessors successors_;
  LiveReplacements replacements_;
  LeaderQuorum quorum_;
  PredecessorLeases predecessors_;
  LeaderCheckPacing check_pacing_;
  /// As leader: changes of the followers, to be sent to all of them.
  MemberChanges changes_;
  /// Entries known from the leader's heartbeat answers.
  KnownMembers members_;
};

}  // namespace mimosarail::leadership
