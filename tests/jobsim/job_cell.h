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
#include "src/libs/metrics/metrics.h"
#include "tests/jobsim/host_fake.h"
#include "tests/jobsim/link_fake.h"
#include "tests/jobsim/store_fake.h"
#include "tests/jobsim/upstream_fake.h"

namespace mimosarail::jobsim {

class JobCell;

/// One entry's way to the other entries of the cell.
class PeerClientFake final : public leadership::JobPeerPort {
 public:
  PeerClientFake(JobCell& cell, Executor& executor, std::string self)
      : cell_(cell), executor_(executor), self_(std::move(self)) {}

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
  /// `bytes` of the call on the wire.
  template <typename Reply>
  void Call(const std::string& address, size_t bytes, Millis timeout,
            Callback<Reply> done,
            std::function<void(jobentry::JobEntry&, std::function<void(Reply)>)>
                serve);

  JobCell& cell_;
  Executor& executor_;
  std::string self_;
};

struct CellOptions {
  int entries = 4;
  int upstreams = 6;
  int32_t millicores = 8000;
  int32_t memory_mb = 16000;
  /// Processor share of an entry's machine in percent, by number; 100 else.
  std::map<std::string, int32_t> fitness{};
  /// Names of entries that each one asks for the leader.
  std::vector<std::string> seeds{};
  /// Hosts have an API: host-N is up-N at first.
  bool hosts = false;
  /// After a crash of an upstream its entry leaves the list after this, if
  /// another life has not taken its place before.
  Millis list_entry_ttl{4000};
  Millis replacement_delay{3000};
  bool replacement_at_new_address = false;
  /// Each way of an entry's link, and its processor.
  LinkRate link{};
  LinkRate processor{};
};

/// What a caller asked for.
enum class CallKind { kSubmit, kCancel };

/// One call of a caller, and what became of it.
struct CallerCall {
  CallKind kind = CallKind::kSubmit;
  JobId job = 0;
  std::string entry;
  TimePoint sent{};
  /// The entry's process ended before it had answered, or was not there.
  bool connection_lost = false;
  /// The entry's process stood still meanwhile.
  bool entry_paused = false;
  int answers = 0;
  /// When it was answered or broken off.
  TimePoint ended{};
  coordinator::JobVerdict verdict = coordinator::JobVerdict::kUnknown;
};

/// Whole entry instances over fakes of the platform and a manual clock.
class JobCell {
 public:
  explicit JobCell(CellOptions options);
  ~JobCell();

  /// A process with no memory of an earlier one takes the entry's place.
  void Restart(const std::string& entry);
  void Kill(const std::string& entry);
  void Pause(const std::string& entry);
  void Resume(const std::string& entry);
  /// Cuts the entry off from all other entries, both ways.
  void SetIsolated(const std::string& entry, bool isolated);
  /// From now on these entries and upstreams reach each other only, and not the
  /// store; with none, all reach all.
  void SetPartition(const std::set<std::string>& entries,
                    const std::set<std::string>& upstreams);
  /// Every call to or from the entry takes this much longer each way; its way
  /// to the store stays as it is.
  void SetPeerLatency(const std::string& entry, Millis way) {
    peer_latency_[entry] = way;
  }
  /// The entry that believes to lead with the highest term; empty if none.
  std::string Leader();
  std::vector<std::string> names() const;
  jobentry::JobEntry* entry(const std::string& name);

  /// Hands a job in at an entry and keeps what became of it.
  void Submit(const std::string& entry, wire::JobSpec spec);
  /// Asks for cancelling and keeps whether that was acknowledged.
  void Cancel(const std::string& entry, JobId id);
  /// State as any live entry tells it now; empty if none does in time.
  std::optional<JobState> State(JobId id);
  /// Asks one entry for the job's state. `done` runs once unless the entry's
  /// process ends before.
  void QueryState(const std::string& entry, JobId id,
                  std::function<void(jobentry::JobAnswer)> done);
  /// All calls of callers so far, in order.
  const std::vector<CallerCall>& calls() const { return calls_; }
  bool accepted(JobId id) const { return accepted_.count(id) > 0; }
  /// Somebody has asked for cancelling it, whatever came of that.
  bool cancel_called(JobId id) const { return cancels_.count(id) > 0; }
  bool cancelled(JobId id) const { return cancelled_.count(id) > 0; }
  /// Every call for cancelling it had an answer, whatever it was.
  bool cancel_answered(JobId id) const;
  /// Every call had an answer, whatever it was.
  bool answered(JobId id) const;
  /// Every answer was a refusal.
  bool refused(JobId id) const;

  /// Counters of the entry's process, as text; empty if none runs.
  std::string Metrics(const std::string& entry) const;

  void RunFor(Millis span) { clock_.RunFor(span); }
  /// Until the job is final as told by an entry, or the time is over.
  bool RunUntilFinal(JobId id, Millis limit);

  /// What the entry has sent to other entries and to the store so far.
  int64_t BytesSent(const std::string& entry) {
    return Machine(entry).out.bytes_transferred();
  }

  sim::ManualClock& clock() { return clock_; }
  StoreFake& store() { return store_; }
  UpstreamsFake& upstreams() { return upstreams_; }
  /// What the upstream's own entry in the list says.
  wire::UpstreamRecord ListEntry(int number) const;
  /// The same of any life of an upstream. Precondition: it was listed.
  const wire::UpstreamRecord& ListEntryOf(const std::string& id) const {
    return listed_.at(id);
  }
  HostsFake& hosts() { return hosts_; }
  /// Rules broken, as upstreams and callers saw it.
  std::vector<std::string> Violations() const;

 private:
  friend class PeerClientFake;
  struct Process;

  void Start(const std::string& name);
  MachineFake& Machine(const std::string& entry);
  /// Notes a call at an entry and tells its place among calls().
  size_t NoteCall(CallKind kind, const std::string& entry, JobId id);
  void NoteAnswer(size_t call, coordinator::JobVerdict verdict);
  void AddUpstream(int number);
  /// Lists the next life of an upstream that has crashed.
  void ReplaceUpstream(const std::string& crashed);
  /// Looks again and again whether anything is out of order, and whether what
  /// was cancelled is gone.
  void CheckPeriodically();
  bool HasActiveFault() const;

  CellOptions options_;
  sim::ManualClock clock_;
  StoreFake store_{clock_};
  UpstreamsFake upstreams_{clock_};
  HostsFake hosts_{clock_, store_, upstreams_};
  std::map<std::string, std::unique_ptr<Process>> processes_;
  /// Processes that were killed; their executors may still be pointed at.
  std::vector<std::unique_ptr<Process>> ended_;
  std::set<std::string> isolated_;
  std::set<std::string> partition_;
  std::map<std::string, Millis> peer_latency_;
  /// What the list says of each life of an upstream.
  std::map<std::string, wire::UpstreamRecord> listed_;
  int upstreams_created_ = 0;
  std::map<std::string, std::unique_ptr<MachineFake>> machines_;
  std::vector<CallerCall> calls_;
  std::set<JobId> accepted_;
  std::set<JobId> cancelled_;
  std::map<JobId, size_t> submits_;
  /// Calls for cancelling that were made and that were answered.
  std::map<JobId, size_t> cancels_;
  std::map<JobId, size_t> cancel_answers_;
  std::map<JobId, std::vector<coordinator::JobVerdict>> answers_;
};

/// A job of one step for the cell's only queue.
wire::JobSpec OneStepJob(JobId id, int32_t tasks, int32_t millicores,
                         bool gang = false);

}  // namespace mimosarail::jobsim
