include "platform.thrift"
namespace cpp mimosarail.wire

enum WorkKind { kService = 0, kBatch = 1, kGang = 2 }

struct RequestSpec {
  1: string id
  2: bool keyed
  3: string team
  4: WorkKind kind = WorkKind.kBatch
  5: string work
  6: i32 tasks = 1
  7: platform.Resources size
  8: bool repeatable
  /** Relative to the submission; 0 for none. */
  9: i64 deadline_ms
  /** Run time as declared by the caller; only an estimate. */
  10: i64 run_ms
  11: bool urgent
  12: list<string> failure_domains
  13: list<string> racks
  14: binary payload
}

enum PlacementGoal { kPack = 0, kSpread = 1 }

/** How to treat a request according to the first matching rule. */
struct Treatment {
  1: string rule
  2: i64 revision
  3: i32 priority
  4: PlacementGoal goal
  5: i64 wait_limit_ms
  6: i32 retries
  7: bool preempt
  8: string refusal
}

enum Verdict { kDone = 0, kNotRun = 1, kUnknown = 2, kRefused = 3, kCancelled = 4 }

/** The final outcome of a request. */
struct Outcome {
  1: Verdict verdict
  2: string reason
  /** Delay after which the caller may retry; 0 if not specified. */
  3: i64 retry_after_ms
  4: binary answer
  5: string digest
  6: string rule
  7: i64 revision
  8: i64 waited_ms
  9: i64 ran_ms
  10: i64 cost_nanos
  11: i32 attempts
}

/** Restores an attempt at a new controller; carried as TaskSpec.context. */
struct AttemptContext {
  1: RequestSpec spec
  2: Treatment treatment
  3: string owner
  4: i64 owner_incarnation
}

/** Asks a controller to start all of these tasks of an attempt, or none. */
struct PlaceCall {
  1: AttemptContext context
  2: i32 attempt
  3: list<i32> indices
  /** Latest heartbeat of the controller that the owner has received. It shows
   *  the age of the call, so that a delayed call is refused. */
  4: i64 heartbeat_seen
  /** May use the capacity reserved for urgent work. */
  5: bool use_reserve
}
enum PlaceStatus { kAccepted = 0, kNoRoom = 1, kNotReady = 2, kFenced = 3 }
struct PlaceReply { 1: PlaceStatus status 2: string detail }

/** Result of one task of an attempt, as reported by its controller. */
enum TaskEnd {
  /** It finished with a complete answer. */
  kDone = 0
  /** It ran and failed. */
  kFailed = 1
  /** The upstream reports that it started and no longer exists, without an
   *  answer. */
  kLost = 2
  /** It never started and cannot start. */
  kNotStarted = 3
  /** It was stopped on request after it had started. */
  kStopped = 4
  /** The upstream has been unresponsive for longer than any lease; only the
   *  owner may draw a conclusion. */
  kLapseAssumed = 5
  /** Another controller has attached the upstream. */
  kMoved = 6
  /** The upstream reports that it ended the task because its lease expired. */
  kLapsed = 7
}
struct ReportCall {
  1: string request_id
  2: i32 attempt
  3: i32 index
  4: TaskEnd result
  5: string reason
  6: binary answer
  7: string digest
  8: i64 ran_ms
  9: string upstream
  10: i64 owner_incarnation
  /** The upstream had confirmed the start; for results that do not imply it. */
  11: bool began
}
struct ReportReply { 1: bool taken }

enum OwnerState { kAbsent = 0, kWaiting = 1, kRunning = 2, kEnded = 3 }
struct TaskReport { 1: i32 attempt 2: i32 index 3: bool ended 4: ReportCall report 5: string upstream 6: i32 tasks }
/** Asks an entry what it knows about a request. A positive fence_below also
 *  makes the entry refuse all attempts with a lower number from then on. */
struct FindCall { 1: string request_id 2: i32 fence_below 3: i64 wait_ms }
struct FindReply {
  1: OwnerState owner
  2: string why
  3: Outcome outcome
  4: list<TaskReport> tasks
  /** Upstreams whose inventory this entry has read under its current terms. */
  5: list<string> attached
  6: i32 fence_below
}
/** Forwards a keyed submission to the entry that owns its key. */
struct SubmitCall { 1: RequestSpec spec }
struct SubmitReply { 1: bool taken 2: string refusal 3: i64 retry_after_ms }
struct CancelCall { 1: string request_id 2: i32 attempt }
struct CancelReply { 1: bool known }

/** Claims the right to start a keyed request. The intent with the lowest offset
 *  wins its epoch. */
struct Intent {
  1: string request_id
  2: i32 epoch
  3: string owner
  4: i64 owner_incarnation
  5: string spec_digest
}
struct IntentBatch { 1: list<Intent> intents }

/** Sums of an entry for one rule, revision and team since its last record. */
struct CostLine {
  1: string rule
  2: i64 revision
  3: string team
  4: i64 requests
  5: i64 cost_nanos
  6: i64 waited_ms
}
struct CostBatch { 1: string entry 2: i64 unix_ms 3: list<CostLine> lines 4: i64 number }
