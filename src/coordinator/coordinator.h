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
#include "src/coordinator/admission.h"
#include "src/coordinator/advice_lanes.h"
#include "src/coordinator/coordinator_options.h"
#include "src/coordinator/dropped_upstreams.h"
#include "src/coordinator/job_failures.h"
#include "src/coordinator/job_verdicts.h"
#include "src/coordinator/kept_state.h"
#include "src/coordinator/memory_budget.h"
#include "src/coordinator/order_budget.h"
#include "src/coordinator/placement_pacing.h"
#include "src/coordinator/unknown_cancels.h"
#include "src/fleet/upstream_link.h"
#include "src/journal/journal.h"
#include "src/libs/faults/malformed_record_reporter.h"
#include "src/libs/logging/log.h"
#include "src/libs/metrics/metrics.h"
#include "src/maintenance/wave_manager.h"
#include "src/ports/record_store_port.h"
#include "src/ports/task_port.h"
#include "src/ports/upstream_list_port.h"
#include "src/scheduling/scheduler.h"

namespace mimosarail::coordinator {

/// The accounts of the configuration; unset if it has none.
using Accounts = std::optional<std::vector<ports::AccountConfig>>;

/// Performs the leader's work for one term: it accepts jobs, stores them in the
/// journal, manages the links to the upstreams and executes the decisions of
/// the scheduler. Created when a term begins and destroyed when it ends.
/// Control thread only.
class Coordinator final : public fleet::UpstreamEvents,
                          public maintenance::HostWorkload,
                          public std::enable_shared_from_this<Coordinator> {
 public:
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::UpstreamListPort& upstream_list;
    ports::TaskPort& task_port;
    AdviceCaller& advice_caller;
    metrics::Registry& metrics;
    faults::MalformedRecordReporter& malformed_records;
    /// Pools that the configuration names; null while no configuration is
    /// known.
    std::function<const std::set<std::string>*()> configured_pools;
    /// The accounts of the newest known configuration.
    std::function<const Accounts&()> accounts;
    /// Whether the leader lease is valid. Orders may be given only then.
    std::function<bool()> leader_lease_valid;
    /// Whether the store has recently confirmed that no other entry leads.
    std::function<bool()> lease_confirmed_by_store;
    /// Whether no other entry can have taken over during a pause of this
    /// process.
    std::function<bool()> state_current;
    /// Newest known time at which the store has confirmed the lease.
    std::function<TimePoint()> last_store_confirmation;
    /// When the leases of all earlier leaders end; unset while not known.
    std::function<std::optional<TimePoint>()> predecessor_lease_end;
    /// Called when the stored state is loaded. Callers are served from then on.
    std::function<void()> on_loaded;
    /// Called when another leader is detected.
    std::function<void(const std::string& cause)> on_leadership_lost;
    /// Null where hosts have no API. Then there is no host maintenance.
    ports::HostPort* hosts = nullptr;
    /// Not null if `hosts` is not.
    ports::WaveStatusPort* wave_status = nullptr;
    /// Returns the waves that operators have requested, as known now.
    std::function<const maintenance::WaveManager::Waves&()> requested_waves{};
    /// Memory of the smallest machine that may lead, in MB; 0 if unknown. May
    /// be empty, like the next one.
    std::function<int64_t()> smallest_memory_mb{};
    /// Bytes that this process has allocated.
    std::function<size_t()> heap_bytes{};
  };

  Coordinator(Dependencies deps, CoordinatorOptions options);

  void Start();
  /// Stops giving orders. Callers that wait for an answer get the verdict
  /// kOutcomeUnknown, so that their calls are repeated at the next leader.
  void Close();

  /// The accounts of the configuration have changed.
  void OnAccountsChanged();

  /// Sets the entries that may call the adviser, including this one.
  void SetLanes(const std::vector<std::string>& addresses);

  /// Accepts a job. `done` runs once, with kConfirmed only if the job is
  /// stored.
  void Submit(const wire::JobSpec& spec,
              std::function<void(wire::SubmitJobReply)> done);
  /// Verdict on a submission that the leader has no time to handle.
  JobVerdict VerdictOnUnhandled(const wire::JobSpec& spec) const;
  /// With an account, a job that belongs to another one is reported as unknown,
  /// here and in Cancel().
  wire::JobStateReply QueryState(
      JobId id, const std::optional<std::string>& account) const;
  /// Cancels a job. `done` runs once, with kConfirmed only if a final state of
  /// the job is stored, and with kNoSuchJob only if it is stored that the job
  /// must not run if it is submitted later.
  void Cancel(JobId id, const std::optional<std::string>& account,
              std::function<void(wire::CancelJobReply)> done);
  /// Counts the accepted jobs of the queue of which no task has started.
  wire::PendingJobsReply CountPending(const std::string& queue);
  /// What new jobs of each queue meet, for the other entries; nullopt unless
  /// jobs are refused by deadline and the figures are known.
  std::optional<wire::LoadSummary> SummarizeLoad() const;

  /// When the store last confirmed an append.
  TimePoint last_stored() const { return journal_->last_stored(); }
  /// When the last confirmed append was first sent.
  TimePoint last_stored_sent() const {
    return journal_->last_stored() - journal_->last_append_duration();
  }
  bool loaded() const { return loaded_; }

  bool MaySendOrders() override;
  std::optional<TimePoint> PredecessorLeaseEnd() override {
    return deps_.predecessor_lease_end();
  }
  TimePoint LastStoreConfirmation() override {
    return deps_.last_store_confirmation();
  }
  void OnReport(UpstreamIndex upstream,
                const std::vector<ports::RunningTask>& running,
                const std::vector<ports::EndedTask>& ended) override;
  void OnReachable(UpstreamIndex upstream, bool reachable) override;
  void OnAllRunsEnded(UpstreamIndex upstream,
                      scheduling::UpstreamLoss why) override;
  void OnLeasesExpired(UpstreamIndex upstream,
                       const scheduling::RunSet& remaining) override;
  void OnRestarted(UpstreamIndex upstream, int64_t incarnation,
                   const scheduling::RunSet& remaining) override;
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
  /// A stored order may be repeated. Without the store's confirmation, a
  /// successor may order the same host, and the two would order it in turns.
  bool MayOrderMaintenance() override {
    return loaded_ && !closed_ && deps_.lease_confirmed_by_store();
  }

 private:
  void MakeWaveManager();
  /// Reads the page of the job table that follows the key `after`.
  void LoadPage(const std::string& after);
  void OnPageRead(const std::string& after, const ports::NewestPage& page);
  /// Takes over the loaded state and begins to serve. `end_offset` is the end
  /// of the table when its last page was read.
  void FinishLoading(int64_t end_offset);
  /// Decodes a record; reports it if it is malformed.
  void LoadRecord(const ports::KeyedRecord& record);
  /// Decodes a record into the maps of loaded state. Returns why it is
  /// malformed, or an empty string.
  std::string DecodeRecord(const ports::KeyedRecord& record);
  std::string DecodeUpstream(const ports::KeyedRecord& record);
  std::string DecodeSpec(JobId id, const std::string& value);
  std::string DecodeProgress(JobId id, const std::string& value);
  std::string DecodeProgressPart(const ports::KeyedRecord& record);
  /// Adds the loaded parts to the loaded progress of their jobs, and removes
  /// those of jobs that have ended.
  void MergeProgressParts();
  std::string DecodeUnmatchedCompletion(const ports::KeyedRecord& record);
  /// Merges unmatched completions into the progress of those jobs whose records
  /// can now be read.
  void ApplyUnmatchedCompletions();
  /// Stores a completion if the records of its job cannot be read.
  void StoreUnmatchedCompletion(const ports::EndedTask& completion);
  /// Passes the loaded jobs to the scheduler.
  void LoadJobs();
  void ReadUpstreamList();
  /// `whole` is set if the update names all upstreams, and not only changes.
  void OnUpstreamList(const ports::UpstreamListUpdate& update, bool whole);
  void OnListEntry(const ports::UpstreamEntry& entry);
  void OnMalformedListEntry(const ports::UpstreamEntry& entry);
  /// Whether the configuration or a job names the pool.
  bool IsPoolReferenced(const std::string& pool) const;
  /// Adopts the listed upstreams whose pool the configuration or a job names.
  void AdoptReferencedUpstreams();
  /// Stores the upstream's record, then uses the upstream.
  void AdoptUpstream(const ports::UpstreamEntry& entry);
  /// Adds the upstream to the pool and opens a link to it once the records put
  /// so far are stored.
  void OpenLink(const ports::UpstreamEntry& entry);
  /// Closes the upstream to new work and stores which jobs may still have tasks
  /// there.
  void CloseUpstream(UpstreamIndex upstream);
  /// Jobs that may have tasks on the upstream.
  std::set<JobId> JobsOn(UpstreamIndex upstream) const;
  /// Stores the record of the upstream in the job table.
  void StoreUpstream(UpstreamIndex upstream);
  /// Opens the upstream to new work once the reopening is stored.
  void ReopenUpstream(UpstreamIndex upstream);
  /// Tells the scheduler which jobs are uncertain, as soon as UncertainJobs()
  /// is known, and again when their number changes.
  void ResolveWhenRunningTasksKnown();
  /// Whether all leases that earlier leaders granted have expired, if none
  /// lasts longer than `longest`.
  bool EarlierLeasesExpired(Millis longest) const;
  /// Whether an upstream whose record can't be read may run tasks.
  bool UnreadableUpstreamMayRunTasks() const;
  /// Jobs that may have tasks on upstreams which have not reported their
  /// running tasks yet; nullopt if the jobs of one such upstream are unknown.
  std::optional<std::unordered_set<JobId>> UncertainJobs() const;
  /// Does the periodic work and schedules the next tick.
  void Tick();
  /// Drops upstreams that are unlisted, have no valid lease and have been
  /// unresponsive for `unresponsive_upstream_timeout`.
  void DropUnresponsiveUpstreams();
  void DropUpstream(UpstreamIndex upstream, scheduling::UpstreamLoss why);
  /// Logs the answer of an upstream that was dropped although it has not ended.
  void NoteAnswerOfDropped(UpstreamIndex upstream);
  /// Drops the specs and then the states of final jobs after their retention
  /// times.
  void DropFinalJobs();
  /// Sets the metrics of the load; logs the load and why steps wait.
  void ReportLoad();
  /// Sets the metrics of how many upstreams may get starts.
  void ReportUpstreams(TimePoint now);
  void ReportAccounts();

  /// Verdict on a query for a job that this leader does not know.
  JobVerdict VerdictOnUnknownJob() const;
  /// Replies kOutcomeUnknown to all callers whose jobs are not stored yet.
  void FailPendingSubmissions();
  void OnJobStored(const wire::JobSpec& spec);
  /// Withdraws and refuses the jobs that wait for an unresponsive store.
  void RefuseUnsentJobs();
  /// Called when the final state of a job is stored.
  void OnJobFinished(JobId id, JobState state);
  /// Stores the changes of jobs and executes the scheduler's orders.
  void ExecuteOrders(scheduling::Orders& orders);
  /// Stores the progress of the jobs that have changed.
  void StoreChanges();
  /// Stores the job's progress, and those of its parts that have changed.
  void StoreProgress(const Job& job);
  /// Removes the parts of the job's progress. Precondition: its final state is
  /// stored, or its spec is not.
  void RemoveProgressParts(JobId id);
  /// Whether the job is open, final or about to be stored.
  bool IsJobKnown(JobId id) const;
  /// The account of a known job; empty if the job has none or is unknown.
  const std::string& OwnerOf(JobId id) const;
  /// Whether calls of this account may see the job, if it is known.
  bool MayAccess(const std::optional<std::string>& account, JobId id) const;
  /// Whether each step of the job could start under the limit of its account.
  bool FitsAccountLimit(const wire::JobSpec& spec);
  /// Returns when to retry a new job that is refused because it can't end while
  /// it has a value; nullopt if it is not refused. Always nullopt with
  /// AdmissionPolicy::kCapacity.
  std::optional<Millis> RefuseByDeadline(const wire::JobSpec& spec);
  /// Bytes of memory that all jobs take or are expected to take.
  size_t StateBytes() const;
  void UpdateMemoryBudget();
  /// Returns nothing if the job fits the memory that is left. Otherwise logs
  /// that it is refused, and returns the reply.
  std::optional<wire::SubmitJobReply> RefuseForMemory(
      const wire::JobSpec& spec);
  void ReportMemory();
  /// Counts the work of a job that is about to be stored.
  void NoteAdmitted(const wire::JobSpec& spec);
  /// Replies that the job is refused, once the store has confirmed that this
  /// entry still leads.
  void ReplyRefused(JobId id, const wire::SubmitJobReply& refusal,
                    std::function<void(wire::SubmitJobReply)> done);
  /// Passes the current backlog to admission_, unless that happened recently.
  void UpdateBacklog();
  /// Logs which queues began or ended to be refused.
  void LogRefusedQueues();
  /// Notes for admission_ how much work a successful run has done.
  void NoteFinishedRun(UpstreamIndex upstream, const ports::EndedTask& end);
  /// Sets the metrics of waiting work by queue and account, and logs them.
  void ReportBacklog();
  void CountRefusedJob(const std::string& reason, const std::string& queue);
  /// When a caller refused for lack of the store should return, in ms.
  int64_t StoreRetryAfterMs(JobId id);
  /// Cancels a job that the leader does not know, or that belongs to another
  /// account. Replies that there is no such job once a tombstone is stored.
  void CancelUnknownJob(JobId id, const std::optional<std::string>& account,
                        std::function<void(wire::CancelJobReply)> done);
  /// Accepts a job that was cancelled before, and never runs it.
  void StoreAsCancelled(const wire::JobSpec& spec, Millis cancelled_ago,
                        std::function<void(wire::SubmitJobReply)> done);
  void OnStoredAsCancelled(JobId id, int64_t submission_number);
  /// Replies to the callers of a submission that is stored.
  void ReplyAccepted(JobId id);
  void LogStop(const scheduling::StopOrder& stop);
  void LogLostRun(const scheduling::LostRun& run);
  void LogEvidence(const scheduling::EvidenceEvent& event);
  void LogPermanentlyFailed(const scheduling::PermanentlyFailedTask& task);
  /// Notes the run if its failure counts against its job.
  void NoteFailedRun(UpstreamIndex upstream, const ports::EndedTask& end);
  /// Logs and keeps why a job has failed.
  void ReportJobFailure(JobFailure failure);
  /// Why a job is shown as failed, in words.
  std::string FailureReason(JobId id, const FinalJob& job) const;
  void LogHealthChange(const scheduling::HealthEvent& event);
  void LogDelayedRestart(const scheduling::DelayedRestart& restart);
  /// Logs the stop of an orphaned run, which no valid order accounts for.
  void LogOrphanedRun(scheduling::StopOrder stop);
  /// Schedules a placement pass, unless one is scheduled.
  void SchedulePlacement();
  void RunPlacement();
  /// Charges the bytes that are sent for a purpose to the budget of the link.
  void ChargeLink(LinkPurpose purpose, int64_t bytes, TimePoint now);
  /// Returns the starts that fit on the link now, after the appends since the
  /// last call.
  scheduling::StartBudget AvailableForStarts(TimePoint now);
  /// Charges the starts of a placement pass. If others had to wait, schedules
  /// the next pass for when the budget is refilled.
  void ChargeStarts(const scheduling::Orders& orders, TimePoint now);
  /// Estimates the rate of the messages that no order causes.
  void UpdateControlRate(TimePoint now);
  /// Sets the pauses between renewals of idle upstreams by their number.
  void UpdateIdleRenewals();
  /// Starts do not wait for the budget any more.
  void EndLinkLimit(TimePoint now);
  /// The starts that go before those of a new job with this priority.
  StartBacklog BacklogBefore(int32_t priority, TimePoint now);
  /// The figures that decide on the limit, for a log line.
  std::vector<logging::Field> LinkInputs(int32_t priority, TimePoint now);
  /// Returns nothing if the starts of a new job can soon be sent. Otherwise
  /// logs that it is refused, and returns the time after which to retry.
  std::optional<Millis> RefuseForLink(const wire::JobSpec& spec);
  /// Calls the adviser through a free lane and passes its advice to the
  /// scheduler.
  void RequestAdvice(const scheduling::AdviceOrder& order);

  Dependencies deps_;
  CoordinatorOptions options_;
  scheduling::Scheduler scheduler_;
  std::shared_ptr<journal::Journal> journal_;
  /// Null where hosts have no API.
  std::shared_ptr<maintenance::WaveManager> wave_manager_;
  MemoryBudget memory_budget_;
  /// Bytes of memory of the jobs that are not stored yet.
  size_t pending_bytes_ = 0;
  AdviceLanes lanes_;
  OrderBudget order_budget_;
  /// Bytes of appends that were charged to the budget.
  int64_t append_bytes_charged_ = 0;
  /// Since when each pass has left starts waiting for the budget.
  std::optional<TimePoint> starts_limited_since_;
  /// Whether the last logged change is that the link limits starts.
  bool link_full_ = false;
  int64_t link_refusals_ = 0;
  bool refill_scheduled_ = false;
  /// When the rate of other messages was last estimated, the renewals sent
  /// until then, and the estimate.
  std::optional<TimePoint> control_rate_at_;
  int64_t renewals_sent_ = 0;
  std::optional<int64_t> control_bytes_per_s_;
  /// Bytes of the waiting starts by priority, with those of jobs submitted
  /// since they were summed up.
  std::map<int32_t, int64_t> waiting_start_bytes_;
  TimePoint backlog_summed_at_{};
  bool closed_ = false;
  bool loaded_ = false;
  bool placement_scheduled_ = false;
  PlacementPacing placement_pacing_;
  std::map<UpstreamIndex, std::shared_ptr<fleet::UpstreamLink>> links_;
  /// Those of `links_` that the job table did not contain when it was loaded.
  std::set<UpstreamIndex> added_upstreams_;
  /// First fencing token of the next link to be opened.
  int64_t next_fence_ = 0;
  /// Upstreams that ended with the maintenance of their hosts; the list may
  /// still name them for some seconds.
  std::set<std::string> ended_upstreams_;
  std::unordered_map<JobId, PendingSubmission> pending_submissions_;
  int64_t last_submission_number_ = 0;
  std::unordered_map<JobId, FinalJob> final_jobs_;
  UnknownCancels unknown_cancels_;
  DroppedUpstreams dropped_upstreams_;
  FailedRuns failed_runs_;
  JobFailures job_failures_;
  /// The stored parts of the progress of open jobs with many tasks, as last put
  /// into the journal; empty strings for parts without a record.
  std::unordered_map<JobId, std::vector<std::string>> progress_parts_;
  /// Records read so far while loading, matched by job in LoadJobs().
  std::unordered_map<JobId, wire::JobSpec> loaded_specs_;
  std::unordered_map<JobId, wire::ProgressRecord> loaded_progress_;
  std::unordered_map<JobId, std::vector<wire::TaskRecord>> loaded_task_states_;
  std::unordered_map<JobId, std::vector<UnmatchedCompletion>>
      unmatched_completions_;
  std::vector<ports::UpstreamEntry> loaded_upstreams_;
  size_t open_jobs_loaded_ = 0;
  /// Closures by earlier leaders, by upstream id. Each one is kept until the
  /// upstream is reachable.
  std::map<std::string, InheritedClosure> inherited_closures_;
  /// Number of times each upstream was stored as closed. ReopenUpstream()
  /// compares it to detect that this happened again before the reopening was
  /// stored.
  std::map<UpstreamIndex, int64_t> close_counts_;
  /// Number of jobs in UncertainJobs() when the scheduler was last told.
  size_t uncertain_job_count_ = 0;
  /// Jobs whose records this version can't read. They are neither run nor
  /// overwritten here.
  std::unordered_set<JobId> unreadable_jobs_;
  /// Pools that jobs name; the configuration may no longer name them.
  std::set<std::string> job_pools_;
  /// Listed upstreams of pools that neither the configuration nor a job names.
  /// They are not called.
  std::map<std::string, ports::UpstreamEntry> unreferenced_upstreams_;
  /// The record of an upstream can't be read. It may run tasks until all leases
  /// granted by earlier leaders have expired.
  bool has_unreadable_upstream_ = false;
  /// Position in the changes of the upstream list; negative if the whole list
  /// has to be read.
  int64_t list_cursor_ = -1;
  /// Whether the whole upstream list was read in this term.
  bool list_known_ = false;
  TimePoint load_logged_at_{};
  Admission admission_;
  TimePoint backlog_read_at_{};
  /// The newest job of each queue, which stands for the next one.
  std::map<std::string, NewJob> newest_jobs_;
  /// Queues and accounts that have metrics of their waiting work.
  std::set<std::pair<std::string, std::string>> reported_backlogs_;
  /// Results of CountPending() by queue.
  struct PendingCount {
    int64_t jobs = 0;
    TimePoint counted_at{};
  };
  std::map<std::string, PendingCount> pending_counts_;
  /// Callers refused for lack of the store, over the last few seconds.
  double store_refusals_ = 0;
  TimePoint store_refused_at_{};
};

}  // namespace mimosarail::coordinator
