namespace cpp mimosarail.wire

/** One step of a job: identical tasks that may start together. Sizes are per task. */
struct StepSpec {
  1: i32 tasks = 1
  2: i32 millicores
  3: i32 memory_mb
  4: i32 accelerators
  /** Rough run time of a task, in ms; 0 if the caller gave none. */
  5: i64 estimate_ms
  /** Indexes of earlier steps that must be done first. */
  6: list<i32> after
  7: bool checkpoints
  /** All tasks start and end together. */
  8: bool gang
  /** Runs slower when its tasks are spread over more than one rack. */
  9: bool one_rack
  10: string label
  11: string data_rack
  /** Maximum number of tasks of the step on one upstream; 0 for no limit. */
  12: i32 max_per_upstream
  13: bool speculative
  /** Long-running: runs until the job is cancelled, and is started again
   *  whatever the result of a run. */
  14: bool long_running
  15: string image
  /** Target of the tail latency, in ms; 0 for none. */
  16: i64 target_ms
  /** Runs on cores that other tasks leave idle; its own cores are not
   *  reserved. */
  17: bool filler
  18: i32 max_unavailable
}

/** Policy of the job's queue at the time the job was accepted. */
struct QueuePolicy {
  1: string name
  /** Pool of upstreams that may run its tasks. */
  2: string pool
  /** 0 is the highest priority. */
  3: i32 priority
  /** Number of failed runs of a task after which the job fails. */
  4: i32 max_attempts = 1
  /** Objective of a job: slack_factor x its longest chain + target_ms. */
  5: double slack_factor = 1
  6: i64 target_ms
  /** An adviser decides which upstreams may run a step. */
  7: bool advised
  /** Estimated duration of one advice call: base + each x upstreams, in ms. */
  8: double advice_base_ms
  9: double advice_each_ms
  /** How long a ticket is valid, in ms. */
  10: i64 ticket_valid_ms
}

struct JobSpec {
  1: i64 id
  2: string payload
  3: list<StepSpec> steps
  4: QueuePolicy queue
  /** Number of runs of all steps; 0 for one run as soon as possible. */
  5: i32 occurrences
  /** When the first occurrence is due, in ms since 1970. */
  6: i64 first_due_ms
  7: i64 interval_ms
  /** Wall clock of the leader at acceptance; used only to order work. */
  8: i64 accepted_unix_ms
  /** Account that owns the job; empty if it has no owner. */
  9: string account
}

/** A run of a task during which its upstream may have crashed. */
struct CrashRecord {
  1: i64 attempt
  /** The upstream, and when its incarnation was started, in Unix ms; 0 if not
   *  reported. */
  2: string upstream
  3: i64 incarnation
  /** How long the run had lasted when the upstream last confirmed it. */
  4: i64 last_seen_ms
  /** Time from the order to start until the upstream stopped responding. */
  5: i64 silent_after_ms
  /** 0: unknown; 1: another incarnation answered; 2: away for long. */
  6: i32 fate
  /** Nothing else explains the crash. */
  7: bool sole_suspect
}

/** State of one task that is not done. */
struct TaskRecord {
  /** Index among all tasks of the job. */
  1: i32 task
  /** Attempts that were counted as failures. They are listed because a
   *  completion may be reported twice, and those of two upstreams in any
   *  order. */
  2: list<i64> failed_attempts
  3: string checkpoint
  /** Written by earlier versions, and ignored: attempts during which their
   *  upstream was believed to have crashed. */
  4: list<i64> early_crashes
  5: list<i64> other_crashes
  /** Number of earlier failures that are not in failed_attempts. */
  6: i32 unlisted_failures
  7: list<CrashRecord> crashes
}

/** The durable state of a job's progress; always rewritten as a whole. */
struct ProgressRecord {
  1: i32 state
  /** One bit per task, set when the task is done. */
  2: binary done
  3: list<TaskRecord> tasks
  /** In a final state: the account of the job, whose spec may be gone. */
  4: string account
}

/** A run that was started at an upstream before it stopped responding. */
struct RunRecord {
  1: string task
  2: i64 attempt
  /** The run had only just begun. */
  3: bool early
  /** As in CrashRecord. Negative if not known: the start was not confirmed. */
  4: i64 last_seen_ms = -1
  5: i64 silent_after_ms = -1
}

/** An upstream that may run tasks; stored until no task can run there. */
struct UpstreamRecord {
  1: string id
  2: string pool
  3: string address
  4: string failure_domain
  5: string rack
  6: list<string> labels
  7: i32 millicores
  8: i32 memory_mb
  9: i32 accelerators
  /** No new task starts there until a later record reopens the upstream. */
  10: bool closed
  /** While closed: the only jobs that may still have tasks there. */
  11: list<i64> jobs
  /** While closed because it is unresponsive: the runs during which it may have
   *  crashed. */
  12: list<RunRecord> runs
  /** When this incarnation was started, in Unix ms; 0 if not reported. */
  13: i64 incarnation
}

struct Member {
  1: string name
  2: string address
  /** CPU share on its machine, in percent of a core. */
  3: i32 fitness = 100
  /** In a list of changes: the member no longer sends heartbeats. */
  4: bool removed
  /** Memory that its process may take, in MB; 0 if it is not known. */
  5: i32 memory_mb
}

/** Heartbeat of an entry to the entry that it believes to be the leader. */
struct HeartbeatCall {
  1: Member caller
  2: i64 term
  3: i64 config_version
  /** Number of the last change of the leader's member list that the caller
   *  knows, in this term. */
  4: i64 members_known
  /** Distinguishes this process of the caller from earlier ones of the same
   *  name. */
  5: i64 incarnation
  /** `clock_ms` of the newest reply that the caller got from the leader of this
   *  term; 0 if there is none. The caller followed that leader then. */
  6: i64 leader_clock_ms
  /** The newest configuration that the caller knows; only in the call that
   *  follows a reply with config_wanted. */
  7: binary config
}

/** What new jobs of one queue meet now. */
struct QueueLoad {
  1: string queue
  /** Expected time to the first start of a new job. */
  2: i64 expected_wait_ms
  /** New jobs are refused, since they would end too late to be of value. */
  3: bool refused
  /** When to submit a refused job again. */
  4: i64 retry_after_ms
}

struct LoadSummary {
  /** How old the figures were when the leader replied. */
  1: i64 age_ms
  /** At most 64 queues. */
  2: list<QueueLoad> queues
}

struct HeartbeatReply {
  1: bool leading
  2: i64 term
  3: Member leader
  /** The leader has recently written to the store successfully. */
  4: bool store_reachable
  /** Changes of the leader's member list after the one that the caller knows;
   *  a long list is split over several heartbeats. */
  5: list<Member> members
  /** The newest configuration, if the caller's is older. */
  6: i64 config_version
  7: binary config
  /** How long the leader has not responded to the replying follower, in ms. */
  8: i64 leader_unresponsive_ms
  /** The leader is still loading the stored state, and accepts no calls. */
  9: bool loading
  /** Number of the last change in `members`. */
  10: i64 members_known
  /** The leader's steady clock when it replied. */
  11: i64 clock_ms
  /** The leader does not learn of configurations from the store and knows an
   *  older one than the caller, who should send it. */
  12: bool config_wanted
  /** How long ago, in ms, the store confirmed to the leader that config_version
   *  was the newest. */
  13: optional i64 config_age_ms
  /** Unset unless the leader refuses jobs by deadline. */
  14: optional LoadSummary load
}

/** A new leader announces itself, or a leader resigns. */
struct AnnounceCall {
  1: i64 term
  2: Member leader
  /** The leader resigns: another entry should take over at once. */
  3: bool resigned
  /** The leader is still loading the stored state, and accepts no calls. */
  4: bool loading
  /** The leader has served for some time: if it stops responding, the normal
   *  election timeout applies. */
  5: bool stable
  /** Number of consecutive terms right before this one that ended unstable. */
  6: i32 unstable_terms
  /** In a resignation: the fitter follower that the leader hands over to. */
  7: optional string successor
  /** Number of consecutive terms right before this one whose leaders were
   *  replaced while alive, and which were shorter than a minute. */
  8: i32 replaced_alive
  /** The leader uses its link or its processor share to the full. */
  9: bool saturated
}
struct AnnounceReply { 1: i64 term }

struct SubmitJobCall { 1: JobSpec job }
struct SubmitJobReply {
  1: i32 verdict
  2: i64 retry_after_ms
  /** With a refusal for lack of capacity of the leader's link: how long, in ms,
   *  the calling entry refuses jobs that are not more urgent itself. */
  3: i64 refuse_for_ms
}

/** `account`: on whose behalf the call is made; empty for a queue whose calls
 *  need no key. Unset if calls are not authenticated. */
struct JobStateCall {
  1: i64 id
  2: optional string account
}
struct JobStateReply {
  1: i32 verdict
  2: i32 state
  /** Why the job has failed, for operators. */
  3: optional string reason
}

struct CancelJobCall {
  1: i64 id
  2: optional string account
}
struct CancelJobReply {
  1: i32 verdict
  2: i64 retry_after_ms
}

struct PendingJobsCall { 1: string queue }
struct PendingJobsReply {
  1: i32 verdict
  2: i64 pending
}

struct AdviseCall {
  1: i64 job
  2: i32 occurrence
  3: i32 step
  4: list<string> upstreams
  5: i64 timeout_ms
}
struct Ticket {
  1: string upstream
  2: string ticket
}
struct AdviseReply {
  1: i32 verdict
  2: list<Ticket> allowed
  3: i64 valid_ms
}

/** The entries of which a majority may confirm the leader while it gets no
 *  answer from the store. */
struct QuorumRecord {
  /** Term of the leader that stored this record. */
  1: i64 term
  /** Names of the entries, the leader included. */
  2: list<string> members
  /** How long after the store's last confirmation the entries may do so. */
  3: i64 max_store_outage_ms
}
