namespace cpp mimosarail.wire

/** One step of a job: equal tasks that may start together. Sizes are per task. */
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
  /** All tasks start together and end together. */
  8: bool gang
  /** Slower when its tasks stand in more than one rack. */
  9: bool one_rack
  10: string label
  11: string data_rack
  /** Most tasks of the step on one upstream; 0 for no bound. */
  12: i32 max_per_upstream
  13: bool speculative
  /** Runs until the job is cancelled; started again however it ends. */
  14: bool lasting
  15: string image
  /** Bound of the tail of response times, in ms; 0 for none. */
  16: i64 target_ms
  /** Runs in what others leave over; its cores take no room. */
  17: bool filler
  18: i32 max_unavailable
}

/** What a queue said when the job was accepted. */
struct QueuePolicy {
  1: string name
  /** Pool of upstreams that may run its tasks. */
  2: string pool
  /** 0 goes first. */
  3: i32 priority
  /** Runs of a task that may fail before the job fails. */
  4: i32 max_attempts = 1
  /** Objective of a job: slack_factor x its longest chain + target_ms. */
  5: double slack_factor = 1
  6: i64 target_ms
  /** An adviser says which upstreams may run a step. */
  7: bool advised
  /** Time of one call for advice: base + each x upstreams, in ms. */
  8: double advice_base_ms
  9: double advice_each_ms
  /** How long a ticket is good for, in ms. */
  10: i64 ticket_valid_ms
}

struct JobSpec {
  1: i64 id
  2: string payload
  3: list<StepSpec> steps
  4: QueuePolicy queue
  /** Runs of all steps; 0 for one run as soon as possible. */
  5: i32 occurrences
  /** When the first one is due, in ms since 1970. */
  6: i64 first_due_ms
  7: i64 interval_ms
  /** Wall clock of the leader that took it; orders work, decides nothing else. */
  8: i64 accepted_unix_ms
}

/** What is known of one task beside "done". */
struct TaskRecord {
  /** Index among all tasks of the job. */
  1: i32 task
  /** Attempts that were counted as failures: an end may be told twice, and
   *  those of two upstreams in any order. */
  2: list<i64> failed_attempts
  3: string checkpoint
  /** Attempts with which their upstream crashed: in their first moments, and
   *  others. */
  4: list<i64> early_crashes
  5: list<i64> other_crashes
}

/** All that must survive of a job's progress; rewritten whole. */
struct ProgressRecord {
  1: i32 state
  /** One bit a task, set when it is done. */
  2: binary done
  3: list<TaskRecord> tasks
}

/** A run that an upstream was given before it fell silent. */
struct RunRecord {
  1: string task
  2: i64 attempt
  /** It had only just begun. */
  3: bool early
}

/** An upstream that may run tasks; kept until nothing can run there. */
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
  /** Nothing new starts there until a later record says otherwise. */
  10: bool closed
  /** While closed: the only jobs that may run something there. */
  11: list<i64> jobs
  /** While closed for its silence: what it may have crashed with. */
  12: list<RunRecord> runs
}

struct Member {
  1: string name
  2: string address
  /** Processor share of its machine in percent of a core. */
  3: i32 fitness = 100
  /** In a list of changes: it does not greet the leader any more. */
  4: bool gone
}

/** An entry greets the one that it takes for the leader. */
struct HeartbeatCall {
  1: Member caller
  2: i64 term
  3: i64 config_version
  /** Number of the last change of the leader's members that the caller knows
   *  of, in this term. */
  4: i64 members_known
}

struct HeartbeatReply {
  1: bool leading
  2: i64 term
  3: Member leader
  /** The leader's last write to the store succeeded lately. */
  4: bool store_reachable
  /** Changes of the leader's members after the one that the caller knows of;
   *  all of them, over some greetings. */
  5: list<Member> members
  /** The newest configuration, if the caller's is older. */
  6: i64 config_version
  7: binary config
  /** How long a follower has not heard of its leader, in ms. */
  8: i64 leader_unresponsive_ms
  /** The leader still takes over what is stored, and takes no calls. */
  9: bool loading
  /** Number of the last of these changes. */
  10: i64 members_known
}

/** A new leader makes itself known. */
struct AnnounceCall {
  1: i64 term
  2: Member leader
  /** The leader resigns: somebody else should take over at once. */
  3: bool resigned
  /** It still takes over what is stored, and takes no calls. */
  4: bool loading
  /** It has served for a while: should it fall silent, the next leader needs
   *  no more than the usual patience. */
  5: bool stable
  /** Terms right before this one, one after the other, that ended unsettled. */
  6: i32 unstable_terms
}
struct AnnounceReply { 1: i64 term }

struct SubmitJobCall { 1: JobSpec job }
struct SubmitJobReply {
  1: i32 verdict
  2: i64 retry_after_ms
}

struct JobStateCall { 1: i64 id }
struct JobStateReply {
  1: i32 verdict
  2: i32 state
}

struct CancelJobCall { 1: i64 id }
struct CancelJobReply { 1: i32 verdict }

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
