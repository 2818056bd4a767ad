#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/jobentry/job_entry.h"
#include "src/leadership/capacity_use.h"
#include "src/libs/metrics/metrics.h"
#include "tests/jobsim/host_fake.h"
#include "tests/jobsim/link_fake.h"
#include "tests/jobsim/store_fake.h"
#include "tests/jobsim/upstream_fake.h"

namespace mimosarail::jobsim {

class JobCluster;

/// The client of one entry for the other entries of the cluster.
class EntryClientFake final : public leadership::EntryClientPort {
 public:
  EntryClientFake(JobCluster& cluster, Executor& executor, std::string self)
      : cluster_(cluster), executor_(executor), self_(std::move(self)) {}

  void Heartbeat(const std::string& address, const wire::HeartbeatCall& call,
                 Millis timeout, Callback<wire::HeartbeatReply> done) override;
  void Announce(const std::string& address, const wire::AnnounceCall& call,
                Millis timeout, Callback<wire::AnnounceReply> done) override;
  void SubmitJob(const std::string& address, const wire::SubmitJobCall& call,
                 Millis timeout, Callback<wire::SubmitJobReply> done) override;
  void JobState(const std::string& address, const wire::JobStateCall& call,
                Millis timeout, Callback<wire::JobStateReply> done) override;
  void CancelJob(const std::string& address, const wire::CancelJobCall& call,
                 Millis timeout, Callback<wire::CancelJobReply> done) override;
  void PendingJobs(const std::string& address,
                   const wire::PendingJobsCall& call, Millis timeout,
                   Callback<wire::PendingJobsReply> done) override;
  void Advise(const std::string& address, const wire::AdviseCall& call,
              Millis timeout, Callback<wire::AdviseReply> done) override;

 private:
  /// The connections that a call uses: those of heartbeats and announcements,
  /// or those of all other calls.
  enum class Connections { kUrgent, kBulk };

  /// Sends a call of `bytes` on the wire to the entry at `address`; `serve`
  /// handles it there.
  template <typename Reply>
  void Call(const std::string& kind, const std::string& address, size_t bytes,
            Millis timeout, Callback<Reply> done,
            std::function<void(jobentry::JobEntry&, std::function<void(Reply)>)>
                serve,
            Connections connections = Connections::kBulk);

  JobCluster& cluster_;
  Executor& executor_;
  std::string self_;
};

struct JobClusterOptions {
  int entries = 4;
  int upstreams = 6;
  int32_t millicores = 8000;
  int32_t memory_mb = 16000;
  /// Processor share of an entry's machine in percent, by the entry's name; 100
  /// for the others.
  std::map<std::string, int32_t> fitness{};
  /// Names of the entries that every entry asks for the leader.
  std::vector<std::string> seeds{};
  /// Provides the host API; host-N initially runs up-N.
  bool hosts = false;
  /// How long after the crash of an upstream its list entry is removed, unless
  /// another incarnation has replaced it before.
  Millis list_entry_ttl{4000};
  /// When an entry that has expired is restored after its upstream can renew it
  /// again, with list_entries_expire.
  Millis relist_delay{1500};
  Millis replacement_delay{3000};
  /// How long after its restart the list entry of an upstream names the new
  /// incarnation.
  Millis restart_list_delay{0};
  bool replacement_at_new_address = false;
  /// Crashed upstreams restart under their ids, without a memory.
  bool restart_under_same_id = false;
  /// Calls to crashed upstreams time out instead of being refused.
  bool crash_silently = false;
  /// List entries expire, too, when their upstreams cannot renew them for
  /// list_entry_ttl: they are unreachable or paused, or the store is down.
  bool list_entries_expire = false;
  /// Rates of each direction of an entry's link, and of its processor.
  LinkRate link{};
  /// The same for the entries named here.
  std::map<std::string, LinkRate> links{};
  /// Calls to upstreams use the links, too.
  bool upstream_calls_use_link = false;
  /// The rate of its link that each entry is configured with; 0 for none.
  int64_t link_kb_per_s = 0;
  LinkRate processor{};
  /// Entries know the rate of their links, as with the setting link_mbps.
  bool link_rate_known = false;
  coordinator::AdmissionPolicy admission =
      coordinator::AdmissionPolicy::kCapacity;
};

enum class CallKind { kSubmit, kCancel };

/// One call of a caller and its result.
struct CallerCall {
  CallKind kind = CallKind::kSubmit;
  JobId job = 0;
  std::string entry;
  TimePoint sent{};
  /// The entry's process ended before it answered, or was not running.
  bool connection_lost = false;
  /// The entry's process was paused during the call.
  bool entry_paused = false;
  int answers = 0;
  /// When the call was answered or its connection was lost.
  TimePoint ended{};
  coordinator::JobVerdict verdict = coordinator::JobVerdict::kOutcomeUnknown;
  /// When the caller was told to return; 0 unless refused.
  Millis retry_after{0};
};

/// Complete entry instances over fakes of the platform and a manual clock.
class JobCluster {
 public:
  explicit JobCluster(JobClusterOptions options);
  ~JobCluster();

  /// Kills the entry's process and starts a new one, with empty memory.
  void Restart(const std::string& entry);
  void Kill(const std::string& entry);
  void Pause(const std::string& entry);
  void Resume(const std::string& entry);
  bool paused(const std::string& entry) const;
  /// Makes the entry and all other entries unreachable for each other.
  void SetIsolated(const std::string& entry, bool isolated);
  /// Partitions the network: these entries and upstreams reach only each other,
  /// and not the store. Empty sets end the partition.
  void SetPartition(const std::set<std::string>& entries,
                    const std::set<std::string>& upstreams);
  /// Adds `one_way` to each direction of every call to or from the entry. Calls
  /// to the store keep their delay.
  void SetPeerLatency(const std::string& entry, Millis one_way) {
    peer_latency_[entry] = one_way;
  }
  /// The running entry with the highest term among those that act as leader;
  /// empty if there is none.
  std::string Leader();
  std::vector<std::string> names() const;
  jobentry::JobEntry* entry(const std::string& name);

  /// Submits a job to an entry and records the answer.
  void Submit(const std::string& entry, wire::JobSpec spec);
  /// Asks an entry to cancel the job and records the answer.
  void Cancel(const std::string& entry, JobId id,
              const jobentry::CallerAccount& account = std::nullopt);
  /// State of the job as reported by any running entry; empty if none answers
  /// in time.
  std::optional<JobState> State(JobId id);
  /// Why the job has failed, as the leader tells operators; empty if it tells
  /// nothing.
  std::string FailureReason(JobId id);
  /// Asks one entry for the job's state. `done` runs once unless the entry's
  /// process ends before.
  void QueryState(const std::string& entry, JobId id,
                  std::function<void(jobentry::JobAnswer)> done,
                  const jobentry::CallerAccount& account = std::nullopt);
  /// Puts a configuration with these accounts in force.
  void PublishAccounts(const std::vector<ports::AccountConfig>& accounts) {
    store_.Put(kConfigTable, "config",
               ConfigDocument(++config_version_, accounts));
  }
  /// All calls of callers so far, in order.
  const std::vector<CallerCall>& calls() const { return calls_; }
  bool accepted(JobId id) const { return accepted_.count(id) > 0; }
  /// Whether a caller has asked to cancel the job, whatever the result.
  bool cancel_called(JobId id) const { return cancel_calls_.count(id) > 0; }
  bool cancelled(JobId id) const { return cancelled_.count(id) > 0; }
  /// Whether every call to cancel the job was answered, whatever the answer.
  bool cancel_answered(JobId id) const;
  /// Whether every submission of the job was answered, whatever the answer.
  bool answered(JobId id) const;
  /// Whether every submission of the job was answered by a refusal,
  /// final or not.
  bool refused(JobId id) const;

  /// Metrics of the entry's process as text; empty if it does not run.
  std::string Metrics(const std::string& entry) const;

  void RunFor(Millis span) { clock_.RunFor(span); }
  /// Runs until an entry reports a final state of the job, or for `limit`.
  bool RunUntilFinal(JobId id, Millis limit);

  /// Bytes that the entry has sent so far to other entries, to the store and,
  /// with upstream_calls_use_link, to upstreams.
  int64_t BytesSent(const std::string& entry) {
    return Machine(entry).out.bytes_transferred();
  }
  /// Bytes that the entry has received in the same way.
  int64_t BytesReceived(const std::string& entry) {
    return Machine(entry).in.bytes_transferred();
  }

  /// What has passed the entry's link so far, by kind of message.
  std::vector<metrics::Traffic::Row> Traffic(const std::string& entry) {
    return Machine(entry).traffic.Rows();
  }

  /// Changes the rate of both directions of every entry's link.
  void SetLinkRate(LinkRate rate);

  sim::ManualClock& clock() { return clock_; }
  StoreFake& store() { return store_; }
  UpstreamsFake& upstreams() { return upstreams_; }
  /// The record of the initial upstream up-`number` in the upstream list.
  wire::UpstreamRecord ListEntry(int number) const;
  /// The list entry of any incarnation of an upstream. Precondition: the
  /// incarnation has been listed.
  const wire::UpstreamRecord& ListEntryOf(const std::string& id) const {
    return list_entries_.at(id);
  }
  HostsFake& hosts() { return hosts_; }
  /// Violations of the rules that upstreams, hosts and callers observed.
  std::vector<std::string> Violations() const;

 private:
  friend class EntryClientFake;
  struct Process;

  void Start(const std::string& name);
  MachineFake& Machine(const std::string& entry);
  /// Rate of each direction of the entry's link.
  LinkRate LinkOf(const std::string& entry) const;
  /// Records a call at an entry and returns its index in calls().
  size_t RecordCall(CallKind kind, const std::string& entry, JobId id);
  void RecordAnswer(size_t call, const jobentry::JobAnswer& answer);
  void AddUpstream(int number);
  /// Lists the next incarnation of an upstream that has crashed.
  void ReplaceUpstream(const std::string& crashed);
  /// Lists the incarnation of a restarted upstream after restart_list_delay.
  void ListRestarted(const wire::UpstreamRecord& record);
  /// Checks periodically whether a fault is active, and whether the tasks of
  /// cancelled jobs have ended.
  void CheckPeriodically();
  bool HasActiveFault() const;
  /// Removes the list entries that have expired, and restores those that are
  /// renewed again.
  void UpdateListEntries();

  /// Whether an upstream renews its list entry.
  struct ListRenewal {
    bool renewing = true;
    TimePoint since{};
    bool listed = true;
  };

  JobClusterOptions options_;
  sim::ManualClock clock_;
  StoreFake store_{clock_};
  UpstreamsFake upstreams_{clock_};
  HostsFake hosts_{clock_, store_, upstreams_};
  std::map<std::string, std::unique_ptr<Process>> processes_;
  /// Processes that were killed; pending callbacks still point at their
  /// executors.
  std::vector<std::unique_ptr<Process>> killed_processes_;
  std::set<std::string> isolated_;
  std::set<std::string> partition_;
  std::map<std::string, Millis> peer_latency_;
  /// The list entry of each incarnation of an upstream.
  std::map<std::string, wire::UpstreamRecord> list_entries_;
  std::map<std::string, ListRenewal> list_renewals_;
  int replacements_created_ = 0;
  int64_t config_version_ = 1;
  std::map<std::string, std::unique_ptr<MachineFake>> machines_;
  std::vector<CallerCall> calls_;
  std::set<JobId> accepted_;
  std::set<JobId> cancelled_;
  /// Number of submissions of each job to running entries.
  std::map<JobId, size_t> submissions_;
  /// Number of calls to cancel each job, and of answers to them.
  std::map<JobId, size_t> cancel_calls_;
  std::map<JobId, size_t> cancel_answers_;
  std::map<JobId, std::vector<coordinator::JobVerdict>> submission_answers_;
};

/// A job with one step for the cluster's only queue.
wire::JobSpec OneStepJob(JobId id, int32_t tasks, int32_t millicores,
                         bool gang = false);

}  // namespace mimosarail::jobsim
