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
  /// Term of this leader.
  int64_t term = 0;
  /// Table of the store that holds the jobs.
  std::string table = "jobs";
  /// Duration of the task leases at the upstreams; not the leader lease.
  Millis lease{4000};
  /// How long an earlier leader may keep giving orders without being noticed.
  Millis previous_leader_timeout{2000};
  /// An upstream counts as ended if it is not listed, has not answered for this
  /// long and has no valid lease. Until then it may be merely unreachable, and
  /// come back.
  Millis unresponsive_upstream_timeout{5000};
  /// Interval between reads of the list of upstreams. No task may start on a
  /// draining upstream later than 2 s after it has reported that it drains.
  Millis list_period{250};
  /// Maximum number of jobs kept in memory, those not stored yet included; new
  /// ones are refused beyond it. A job takes about 4 KB.
  size_t max_jobs = 20000;
  /// New jobs are refused once the store has not answered an append for this
  /// long.
  Millis append_stall_timeout{400};
  /// Jobs that wait behind an unanswered append are withdrawn after this, or
  /// after twice the duration of the last append if that is longer. A slow
  /// store, at about 0.4 s an append, thus still takes them; an unresponsive
  /// one does not.
  Millis unsent_job_timeout{700};
  /// A caller whose job or cancellation is not stored within this time gets
  /// the verdict "unknown".
  Millis reply_deadline{900};
  /// How long the spec of a final job is kept, since its tasks may still be
  /// listed as running.
  Millis spec_retention{15000};
  /// How long the state of a final job can be queried.
  Millis state_retention{150000};
  /// Name under which this entry calls the platform's host API.
  std::string holder;
  /// How long a host is unavailable during its maintenance.
  Millis maintenance_duration{2000};
  /// Rates of calls that the host API accepts.
  double host_lists_per_s = 10;
  double host_orders_per_s = 10;
  /// Two leaders must not give orders to the same host within this time of each
  /// other, so a new leader waits this long.
  Millis host_holder_timeout{3000};
};

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
    ports::UpstreamListPort& list;
    ports::TaskPort& tasks;
    AdviceCaller& advice;
    metrics::Registry& metrics;
    faults::MalformedRecordReporter& malformed_records;
    /// Pools that the configuration names; null while none is known.
    std::function<const std::set<std::string>*()> pools;
    /// Whether the leader lease is valid, so that orders may be given now.
    std::function<bool()> leader_lease_valid;
    /// Whether the store has recently confirmed that no other entry leads.
    std::function<bool()> lease_confirmed_by_store;
    /// Called when the stored state is loaded; calls are accepted from then on.
    std::function<void()> on_loaded;
    /// Called when another leader is detected.
    std::function<void(const std::string& cause)> on_leadership_lost;
    /// Null where hosts have no API: then there is no maintenance.
    ports::HostPort* hosts = nullptr;
    ports::WaveStatusPort* wave_status = nullptr;
    std::function<const maintenance::WaveManager::Waves&()> waves{};
  };

  Coordinator(Dependencies deps, CoordinatorOptions options);

  void Start();
  /// Stops giving orders. Callers that wait for an answer get the verdict
  /// "unknown", so that their calls are repeated at the next leader.
  void Close();

  /// Sets the entries that may call the adviser, including this one.
  void SetLanes(const std::vector<std::string>& addresses);

  void Submit(const wire::JobSpec& spec,
              std::function<void(wire::SubmitJobReply)> done);
  wire::JobStateReply State(JobId id) const;
  void Cancel(JobId id, std::function<void(wire::CancelJobReply)> done);
  wire::PendingJobsReply Pending(const std::string& queue) const;

  TimePoint last_stored() const { return journal_->last_stored(); }
  /// When the last stored append was sent for the first time.
  TimePoint last_stored_sent() const {
    return journal_->last_stored() - journal_->last_append_duration();
  }
  bool loaded() const { return loaded_; }

  bool MaySendOrders() override;
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
  bool MayOrderMaintenance() override { return loaded_ && MaySendOrders(); }

 private:
  /// A job whose record is not stored yet.
  struct PendingSubmission {
    /// Distinguishes this submission from an earlier, withdrawn one of the job.
    int64_t number = 0;
    std::vector<std::function<void(wire::SubmitJobReply)>> waiters;
  };
  /// The result of a task whose job's records could not be read when the
  /// upstream reported it.
  struct UnmatchedCompletion {
    TaskId task;
    int64_t attempt = 0;
    bool failed = false;
  };
  /// What an earlier leader stored about an upstream that it closed.
  struct InheritedClosure {
    /// The only jobs that may have tasks running there.
    std::unordered_set<JobId> jobs;
    /// The runs that were there if the upstream has crashed.
    scheduling::SuspectRuns runs;
  };
  struct FinalJob {
    JobState state = JobState::kComplete;
    TimePoint since{};
    bool spec_stored = false;
    /// The job ended in this term; `since` is then the time of its end.
    bool ended_here = false;
  };

  void MakeWaveManager();
  void Load(const std::string& after);
  void OnPage(const std::string& after, const ports::NewestPage& page);
  /// `end_offset` is the end of the table when its last page was read.
  void OnLoaded(int64_t end_offset);
  void LoadRecord(const ports::KeyedRecord& record);
  /// Decodes one record into the maps of loaded state. Returns why it is
  /// malformed, or an empty string.
  std::string DecodeRecord(const ports::KeyedRecord& record);
  std::string DecodeUpstream(const ports::KeyedRecord& record);
  std::string DecodeSpec(JobId id, const std::string& value);
  std::string DecodeProgress(JobId id, const std::string& value);
  std::string DecodeUnmatchedCompletion(const ports::KeyedRecord& record);
  /// Merges unmatched completions into the progress of jobs that can be read
  /// again.
  void ApplyUnmatchedCompletions();
  /// Stores a completion if the records of its job cannot be read.
  void StoreUnmatchedCompletion(const ports::EndedTask& end);
  void LoadJobs();
  void ReadList();
  void OnList(const ports::UpstreamListUpdate& update, bool whole);
  void OnEntry(const ports::UpstreamEntry& entry);
  void OnMalformedEntry(const ports::UpstreamEntry& entry);
  /// Whether the configuration or a job names the pool.
  bool IsPoolReferenced(const std::string& pool) const;
  /// Adopts the listed upstreams whose pool is named by now.
  void AdoptReferencedUpstreams();
  void AdoptUpstream(const ports::UpstreamEntry& entry);
  void OpenLink(const ports::UpstreamEntry& entry);
  /// Closes the upstream to new work and stores which jobs may still have tasks
  /// there.
  void CloseUpstream(UpstreamIndex upstream);
  /// Opens the upstream to new work once the reopening is stored.
  void ReopenUpstream(UpstreamIndex upstream);
  /// Passes the uncertain jobs to the scheduler, once UncertainJobs() knows
  /// them, and again when their number changes.
  void ResolveIfAllReported();
  /// Jobs that may have tasks on upstreams which have not reported their
  /// running tasks yet; nullopt if that is unknown for one of these upstreams.
  std::optional<std::unordered_set<JobId>> UncertainJobs() const;
  void Tick();
  /// Drops upstreams that are unlisted and have been unresponsive for
  /// `unresponsive_upstream_timeout`.
  void DropUnresponsiveUpstreams();
  void DropUpstream(UpstreamIndex upstream, scheduling::UpstreamLoss why);
  void DropFinalJobs();
  /// Sets the metrics of the load; logs the load and why steps wait.
  void LogLoadAndWaits();

  /// Returns a function that passes its reply to `done`. `done` runs only once:
  /// after `reply_deadline` without a confirmation of the store it gets `late`.
  template <typename Reply>
  std::function<void(Reply)> WithReplyDeadline(std::function<void(Reply)> done,
                                               Reply late);
  JobVerdict VerdictOnUnknownJob() const;
  /// Replies "unknown" to all callers whose jobs are not stored yet.
  void FailPendingCallers();
  void OnJobStored(const wire::JobSpec& spec);
  /// Withdraws and refuses the jobs that wait for an unresponsive store.
  void RefuseUnsentJobs();
  void OnJobFinished(JobId id, JobState state);
  /// Stores the changes of jobs and executes the orders.
  void ExecuteOrders(scheduling::Orders& orders);
  void StoreChanges();
  /// Whether the job is open, final or about to be stored.
  bool Knows(JobId id) const;
  /// Replies that there is no such job, once the store has confirmed that this
  /// entry still leads.
  void ReplyNoSuchJob(JobId id, std::function<void(wire::CancelJobReply)> done);
  void LogStop(const scheduling::StopOrder& stop);
  void LogLostRun(const scheduling::LostRun& run);
  void LogPermanentlyFailed(const scheduling::PermanentlyFailedTask& task);
  /// Logs the stop of an orphaned run, which no valid order accounts for.
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
  /// First fencing token of the next link to be opened.
  int64_t next_fence_ = 0;
  /// Upstreams that ended with the maintenance of their hosts; the list may
  /// still name them for some seconds.
  std::set<std::string> ended_upstreams_;
  std::unordered_map<JobId, PendingSubmission> pending_submissions_;
  int64_t submissions_ = 0;
  std::unordered_map<JobId, FinalJob> final_records_;
  /// While loading: records read so far, to be matched by job in LoadJobs().
  std::unordered_map<JobId, wire::JobSpec> loaded_specs_;
  std::unordered_map<JobId, wire::ProgressRecord> loaded_progress_;
  std::unordered_map<JobId, std::vector<UnmatchedCompletion>>
      unmatched_completions_;
  std::vector<ports::UpstreamEntry> loaded_upstreams_;
  /// Upstreams that an earlier leader closed, until they have reported their
  /// running tasks.
  std::map<std::string, InheritedClosure> inherited_closures_;
  /// Number of times each upstream was closed. ReopenUpstream() compares it to
  /// detect that the upstream was closed again before the reopening was stored.
  std::map<UpstreamIndex, int64_t> close_counts_;
  /// Number of jobs that waited for an upstream's report at the last check.
  size_t uncertain_count_ = 0;
  /// Jobs whose records this version can't read. They are neither run nor
  /// overwritten here.
  std::unordered_set<JobId> unreadable_jobs_;
  /// Pools that jobs name; the configuration may no longer name them.
  std::set<std::string> job_pools_;
  /// Listed upstreams of pools that neither the configuration nor a job names.
  /// They are not called.
  std::map<std::string, ports::UpstreamEntry> unreferenced_upstreams_;
  /// Time at which the last lease of an upstream whose record can't be read has
  /// certainly expired. Until then it may run tasks.
  TimePoint unreadable_leases_end_{};
  int64_t list_cursor_ = -1;
  bool list_known_ = false;
  TimePoint load_logged_at_{};
};

}  // namespace mimosarail::coordinator
