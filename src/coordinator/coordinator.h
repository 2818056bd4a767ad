#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jobs_types.h"
#include "src/coordinator/advice_lanes.h"
#include "src/coordinator/job_verdicts.h"
#include "src/fleet/upstream_link.h"
#include "src/journal/journal.h"
#include "src/libs/faults/malformed_record_reporter.h"
#include "src/libs/metrics/metrics.h"
#include "src/maintenance/wave_manager.h"
#include "src/ports/record_store_port.h"
#include "src/ports/task_port.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::coordinator {

struct CoordinatorOptions {
  int64_t term = 0;
  std::string table = "jobs";
  Millis lease{4000};
  /// How long an earlier leader may go on unseen.
  Millis previous_leader_timeout{2000};
  /// An upstream that is not listed and has not answered for this long, nor
  /// within its leases, is over. Cut off until then, it may still come back.
  Millis dead_upstream_timeout{5000};
  /// How often the list of upstreams is read. Nothing may start on a draining
  /// one 2 s after it said so.
  Millis list_period{250};
  /// Most jobs that wait; beyond it new ones are refused. One takes some 4 KB.
  size_t max_jobs = 20000;
  /// A store that has not answered an append for this long takes no new jobs.
  Millis append_stall_timeout{400};
  /// Jobs that wait behind an append are taken back after this, or after twice
  /// what the last append took: a store that is slow, at some 0.4 s an append,
  /// still takes them, one that is silent does not.
  Millis unsent_job_timeout{700};
  /// A caller whose job or cancel is not stored is told "unknown" after this.
  Millis reply_deadline{900};
  /// A final job's tasks may still be listed as running for this long.
  Millis spec_retention{15000};
  /// How long the state of a final job is told.
  Millis state_retention{150000};
  /// Name of this entry, as the platform's API of hosts is told.
  std::string holder;
  /// How long a host is away for its upkeep, and how many calls a second its
  /// API takes.
  Millis maintenance_duration{2000};
  double host_lists_per_s = 10;
  double host_orders_per_s = 10;
  /// Leaders that order the same host within this take turns, which is ruled
  /// out: a new one waits this long.
  Millis holder_lease{3000};
};

/// Everything that only the leader does, for one term: it takes jobs, keeps
/// them in the journal, holds the upstreams and carries out what the scheduler
/// decides. Made when a term begins and dropped when it ends. Control thread
/// only.
class Coordinator final : public fleet::UpstreamEvents,
                          public maintenance::HostWorkload,
                          public std::enable_shared_from_this<Coordinator> {
 public:
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::UpstreamListPort& list;
    ports::TaskPort& tasks;
    AdviceCaller& advice;
    metrics::Registry& metrics;
    faults::MalformedRecordReporter& bad_records;
    /// Pools that the configuration names; null while none is known.
    std::function<const std::set<std::string>*()> pools;
    /// Whether orders may be given now.
    std::function<bool()> lease_valid;
    /// Whether the store has lately said that nobody else leads.
    std::function<bool()> lease_confirmed_by_store;
    /// What is stored has been taken over: calls are taken from now on.
    std::function<void()> loaded;
    /// Another leader was found.
    std::function<void(const std::string& cause)> on_leadership_lost;
    /// Null where hosts have no API: then there is no maintenance.
    ports::HostPort* hosts = nullptr;
    ports::WaveStatusPort* wave_status = nullptr;
    std::function<const maintenance::WaveManager::Waves&()> waves{};
  };

  Coordinator(Dependencies deps, CoordinatorOptions options);

  void Start();
  /// Gives no orders any more. Whoever waits for an answer is told that it is
  /// not known, so that the next leader is asked.
  void Close();

  /// Entries that may be asked to call the adviser, this one among them.
  void SetLanes(const std::vector<std::string>& addresses);

  void Submit(const wire::JobSpec& spec,
              std::function<void(wire::SubmitJobReply)> done);
  wire::JobStateReply State(JobId id) const;
  void Cancel(JobId id, std::function<void(wire::CancelJobReply)> done);
  wire::PendingJobsReply Pending(const std::string& queue) const;

  TimePoint last_stored() const { return journal_->last_stored(); }
  /// When the append that was last stored had been sent for the first time.
  TimePoint last_stored_sent() const {
    return journal_->last_stored() - journal_->last_took();
  }
  bool loaded() const { return loaded_; }

  bool MayGiveOrders() override;
  void OnReport(UpstreamIndex upstream,
                const std::vector<ports::RunningTask>& running,
                const std::vector<ports::EndedTask>& ended) override;
  void OnReachable(UpstreamIndex upstream, bool reachable) override;
  void OnAllRunsEnded(UpstreamIndex upstream,
                      scheduling::UpstreamLoss why) override;
  void OnStartReply(const scheduling::StartOrder& order,
                    const ports::CallReply& reply) override;
  void OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                    int64_t attempt) override;
  void OnFenced(UpstreamIndex upstream) override;

  maintenance::HostWork WorkOn(const std::string& upstream) override;
  int64_t FreeMillicores() override;
  void SetCordoned(const std::set<std::string>& upstreams) override;
  void EvictTasks(const std::string& upstream, bool all) override;
  void OnUpstreamEnded(const std::string& upstream) override;
  bool MayOrder() override { return loaded_ && MayGiveOrders(); }

 private:
  /// A job whose record is on its way to the store.
  struct PendingSubmission {
    /// Tells this hand-in from an earlier one that was taken back.
    int64_t number = 0;
    std::vector<std::function<void(wire::SubmitJobReply)>> waiters;
  };
  /// An end of a job whose records could not be read when it was told.
  struct UnmatchedEnd {
    TaskId task;
    int64_t attempt = 0;
    bool failed = false;
  };
  struct InheritedClosure {
    /// The only jobs that may run something there.
    std::unordered_set<JobId> jobs;
    /// What it may have crashed with.
    scheduling::SuspectRuns runs;
  };
  struct FinalJob {
    JobState state = JobState::kComplete;
    TimePoint since{};
    bool spec_kept = false;
    /// It ended while this entry led; `since` is then when it did.
    bool ended_here = false;
  };

  void MakeWaveManager();
  void Load(const std::string& after);
  void OnPage(const std::string& after, const ports::NewestPage& page);
  /// `end_offset` is the end of the table when its last page was read.
  void OnLoaded(int64_t end_offset);
  void LoadRecord(const ports::KeyedRecord& record);
  /// Takes one record into the maps of what is loaded; the cause if it can't.
  std::string TakeRecord(const ports::KeyedRecord& record);
  std::string TakeUpstream(const ports::KeyedRecord& record);
  std::string TakeSpec(JobId id, const std::string& value);
  std::string TakeProgress(JobId id, const std::string& value);
  std::string TakeEnd(const ports::KeyedRecord& record);
  /// Puts kept ends into the progress of jobs that can be read again.
  void ApplyUnmatchedEnds();
  /// Keeps an end of a job whose records can't be read.
  void StoreUnmatchedEnd(const ports::EndedTask& end);
  void LoadJobs();
  void ReadList();
  void OnList(const ports::UpstreamListUpdate& update, bool whole);
  void OnEntry(const ports::UpstreamEntry& entry);
  void OnBadEntry(const ports::UpstreamEntry& entry);
  /// Whether the configuration or a job names the pool.
  bool IsPoolReferenced(const std::string& pool) const;
  /// Keeps the upstreams whose pool is named by now.
  void AdoptReferencedUpstreams();
  void KeepUpstream(const ports::UpstreamEntry& entry);
  void OpenLink(const ports::UpstreamEntry& entry);
  /// Stores that nothing new starts there, and what it may run at most.
  void CloseUpstream(UpstreamIndex upstream);
  /// Lets new work go there once that is stored.
  void ReopenUpstream(UpstreamIndex upstream);
  void CheckResolved();
  /// Jobs that upstreams which have not told what they run may run at most;
  /// none if that is not known of one of them.
  std::optional<std::unordered_set<JobId>> UncertainJobs() const;
  void Tick();
  /// Ends the lives of upstreams that have been silent and unlisted for long.
  void DropSilentUpstreams();
  void DropUpstream(UpstreamIndex upstream, scheduling::UpstreamLoss why);
  void DropFinalJobs();
  void ExplainWaiting();

  /// A reply that is given once: by the returned function, or `late` when the
  /// store has let the caller wait for `reply_deadline`.
  template <typename Reply>
  std::function<void(Reply)> WithReplyDeadline(std::function<void(Reply)> done,
                                               Reply late);
  JobVerdict VerdictOnUnknownJob() const;
  /// Tells all whose jobs are on their way to the store that it is not known
  /// what becomes of them.
  void FailPendingCallers();
  void OnJobStored(const wire::JobSpec& spec);
  /// Refuses the jobs that wait for a store that does not answer.
  void RefuseUnsent();
  void Finished(JobId id, JobState state);
  /// Writes what has changed and carries the orders out.
  void Pump(scheduling::Orders& orders);
  void StoreChanges();
  /// It is open, final or on its way to the store.
  bool Knows(JobId id) const;
  /// Answers that there is no such job, once it is sure that this entry still
  /// leads.
  void ReplyNoSuchJob(JobId id, std::function<void(wire::CancelJobReply)> done);
  void LogStop(const scheduling::StopOrder& stop);
  void LogLost(const scheduling::LostRun& run);
  void LogGivenUp(const scheduling::GivenUpTask& task);
  /// Tells of a run that nobody asked for and that is stopped now.
  void LogOrphanedRun(scheduling::StopOrder stop);
  void PlaceSoon();
  void PlaceNow();
  void SendAdvice(const scheduling::AdviceOrder& order);

  Dependencies deps_;
  CoordinatorOptions options_;
  scheduling::Scheduler scheduler_;
  std::shared_ptr<journal::Journal> journal_;
  /// Null where hosts have no API.
  std::shared_ptr<maintenance::WaveManager> waves_;
  AdviceLanes lanes_;
  bool closed_ = false;
  bool loaded_ = false;
  bool place_due_ = false;
  std::map<UpstreamIndex, std::shared_ptr<fleet::UpstreamLink>> links_;
  /// First fencing token of a link that is opened next.
  int64_t next_fence_ = 0;
  /// Upstreams that ended with their hosts' upkeep; the list may name them for
  /// some seconds still.
  std::set<std::string> ended_;
  std::unordered_map<JobId, PendingSubmission> pending_submissions_;
  int64_t submissions_ = 0;
  std::unordered_map<JobId, FinalJob> finals_;
  /// While loading: records whose partner has not come yet.
  std::unordered_map<JobId, wire::JobSpec> loaded_specs_;
  std::unordered_map<JobId, wire::ProgressRecord> loaded_progress_;
  std::unordered_map<JobId, std::vector<UnmatchedEnd>> unmatched_ends_;
  std::vector<ports::UpstreamEntry> loaded_upstreams_;
  /// Closed upstreams as an earlier leader left them, until they have told what
  /// they run.
  std::map<std::string, InheritedClosure> inherited_closures_;
  /// How often each was closed, so that a reopening can be overtaken.
  std::map<UpstreamIndex, int64_t> closings_;
  /// Jobs that still waited for an upstream when that was last looked at.
  size_t uncertain_ = 0;
  /// Jobs whose records were written in a form that this version can't read.
  /// They are neither run nor written here.
  std::unordered_set<JobId> unreadable_;
  /// Pools that jobs name; the configuration may not name them any more.
  std::set<std::string> job_pools_;
  /// Listed upstreams of pools that nothing names: nobody calls them.
  std::map<std::string, ports::UpstreamEntry> unreferenced_upstreams_;
  /// Before this, an upstream whose record can't be read may run tasks.
  TimePoint resolved_after_{};
  int64_t list_cursor_ = -1;
  bool list_known_ = false;
  TimePoint explained_at_{};
};

}  // namespace mimosarail::coordinator
