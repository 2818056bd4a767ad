namespace cpp mimosarail.wire

/** Resources that an upstream offers or a task needs. */
struct Resources {
  1: i32 millicores
  2: i32 memory_mb
  3: i32 accelerators
  4: i32 connections
}

enum ListedRole { kEntry = 0, kUpstream = 1 }
enum ListedState { kLive = 0, kLeaving = 1 }

struct ListedInstance {
  1: string name
  2: ListedRole role
  3: string address
  4: string failure_domain
  5: string rack
  6: Resources capacity
  7: i32 slots
  8: ListedState state
}

/** Contains the reader's version; an unchanged list is not sent again. */
struct ListCall { 1: i64 known_version }
struct ListReply { 1: list<ListedInstance> instances 2: i64 version 3: bool unchanged }

/** A task for an upstream; `context` is opaque to the upstream. */
struct TaskSpec {
  1: string task_id
  2: string request_id
  3: i32 attempt
  4: i32 index
  5: Resources size
  6: i64 run_ms
  7: string work
  8: binary payload
  9: binary context
}

enum TaskState { kRunning = 0, kFinished = 1, kFailed = 2, kLapsed = 3, kStopped = 4 }

struct TaskStatus {
  1: TaskSpec spec
  2: TaskState state
  3: i64 answer_length
  4: string answer_digest
  5: binary answer
  6: i64 ran_ms
  /** Increases with every completion at this upstream; 0 while the task runs. */
  7: i64 sequence
}

enum CallStatus { kOk = 0, kStaleTerm = 1, kRefused = 2 }

struct AttachCall { 1: string upstream 2: string controller 3: i64 term }
struct AttachReply {
  1: CallStatus status
  2: i64 term
  3: string holder
  4: list<TaskStatus> inventory
  5: Resources capacity
  6: i32 slots
}
struct StartCall { 1: string upstream 2: i64 term 3: i64 lease_ms 4: TaskSpec task }
struct StartReply { 1: CallStatus status 2: i64 term }
/** Renews every lease of the upstream, releases ended tasks, and waits for
 *  completions whose sequence is above `seen`. */
struct RenewCall {
  1: string upstream
  2: i64 term
  3: i64 lease_ms
  4: list<string> release
  5: i64 wait_ms
  6: i64 seen
}
struct RenewReply { 1: CallStatus status 2: i64 term 3: list<TaskStatus> ended }
enum SteerAction { kStop = 0, kCheckpoint = 1, kThrottle = 2 }
struct SteerCall {
  1: string upstream
  2: i64 term
  3: SteerAction action
  4: list<string> tasks
  5: i32 percent
}
struct SteerReply { 1: CallStatus status 2: i64 term }
struct InventoryCall { 1: string upstream }
struct InventoryReply { 1: i64 term 2: list<TaskStatus> tasks }
struct UsageCall { 1: string upstream }
struct UsageReply { 1: Resources used 2: i64 age_ms }
struct CollectCall { 1: string upstream 2: string task_id }
struct CollectReply { 1: bool found 2: binary answer 3: i64 length 4: string digest }

struct LogRecord { 1: i64 offset 2: binary data }
struct AppendCall { 1: string stream 2: list<binary> records }
struct AppendReply { 1: i64 first_offset }
struct ReadCall { 1: string stream 2: i64 start 3: i32 max_records 4: i64 wait_ms }
struct ReadReply { 1: i64 first_retained 2: i64 upper 3: list<LogRecord> records }
