// Requests: task results, retries and failures.

#include <algorithm>

#include "src/libs/base/soft_assert.h"
#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {
namespace {

constexpr Millis kInitialBackoff{200};
constexpr Millis kMaxBackoff{30000};
/// Delay before the next attempt if no task of the last one was started.
constexpr Millis kNotStartedDelay{50};
/// Maximum number of lost or preempted attempts of a request that are repeated
/// without using up a retry.
constexpr int32_t kMaxLostAttempts = 10;
/// Number of crashed upstreams after which a task is considered their cause.
/// Each crash also ends the tasks of other requests that ran there.
constexpr int32_t kMaxCrashes = 3;

}  // namespace

bool Requests::OnReport(const wire::ReportCall& report) {
  if (report.owner_incarnation != options_.incarnation) return false;
  Record* record = FindMutable(report.request_id);
  if (record == nullptr) return false;
  if (report.attempt != record->attempt) return true;
  if (record->phase == Phase::kRunning) ApplyReport(*record, report);
  return true;
}

void Requests::ApplyReport(Record& record, const wire::ReportCall& report) {
  const auto index = static_cast<size_t>(report.index);
  MR_EXPECT(index < record.tasks.size(), return );
  TaskRecord& task = record.tasks[index];
  if (task.phase == TaskPhase::kEnded) return;
  if (report.result == wire::TaskEnd::kMoved ||
      report.result == wire::TaskEnd::kLapseAssumed) {
    // Not a final result: all entries must be queried for the task.
    MarkUnresolved(record, task);
    task.began |= report.began;
    task.upstream = report.upstream;
    task.lease_expiry_assumed |= report.result == wire::TaskEnd::kLapseAssumed;
    return StartResolving(record);
  }
  task.phase = TaskPhase::kEnded;
  task.report = report;
  if (report.result != wire::TaskEnd::kDone) StopGang(record);
  EvaluateAttempt(record);
}

/// Stops the remaining members of a gang after one member has ended without
/// an answer: a gang must not continue incomplete.
void Requests::StopGang(Record& record) {
  if (record.tasks.size() > 1) SendStop(record);
}

void Requests::SendStop(Record& record) {
  std::set<std::string> controllers;
  for (const TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kAccepted) controllers.insert(task.controller);
  }
  for (const std::string& controller : controllers) {
    if (controller == options_.self) {
      context_.execution.Stop(record.spec.id);
      continue;
    }
    const membership::Peer* peer = context_.members.Find(controller);
    if (peer == nullptr) continue;
    wire::CancelCall call;
    call.request_id = record.spec.id;
    call.attempt = record.attempt;
    // The reply is ignored: CheckRunning() repeats the call until the tasks
    // have ended.
    context_.peers.Cancel(peer->address, call,
                          [](const Result<wire::CancelReply>&) {});
  }
}

void Requests::EvaluateAttempt(Record& record) {
  const bool all_ended = std::all_of(
      record.tasks.begin(), record.tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kEnded; });
  if (!all_ended) return;
  record.resolving = false;
  SetCountedRunning(record, false);
  const bool done = std::all_of(
      record.tasks.begin(), record.tasks.end(), [](const TaskRecord& t) {
        return t.report.result == wire::TaskEnd::kDone;
      });
  if (done) return EndDone(record);
  RetryOrEnd(record);
}

bool Requests::CountCrashes(Record& record) {
  bool is_cause = false;
  for (size_t i = 0; i < record.tasks.size(); ++i) {
    const TaskRecord& task = record.tasks[i];
    if (task.report.result != wire::TaskEnd::kLost) continue;
    if (task.crash_unproved) continue;
    is_cause |= ++record.crashes[static_cast<int32_t>(i)] >= kMaxCrashes;
  }
  return is_cause;
}

void Requests::RetryOrEnd(Record& record) {
  bool ran = false;
  bool failed = false;
  std::string reason;
  for (const TaskRecord& task : record.tasks) {
    ran |= HadStarted(task.report.result);
    failed |= task.report.result == wire::TaskEnd::kFailed;
    if (task.report.result != wire::TaskEnd::kDone) {
      reason = task.report.upstream + ": " + task.report.reason;
    }
  }
  record.may_have_started |= ran;
  if (record.cancelled) {
    return End(
        record, wire::Verdict::kCancelled,
        ran ? "stopped after it had started" : "before it started: not run");
  }
  if (!ran) return NextAttempt(record, kNotStartedDelay);
  if (!record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "it started and did not finish, and is not repeatable (" +
                   reason + ")");
  }
  if (CountCrashes(record)) {
    return End(record, wire::Verdict::kUnknown,
               "several upstreams were lost while running it, and it may be "
               "the cause (" +
                   reason + ")");
  }
  if (!failed && ++record.lost_attempts <= kMaxLostAttempts) {
    // The attempt was lost with its upstream or preempted, which is not a
    // failure of the request.
    return NextAttempt(record, kInitialBackoff);
  }
  if (record.retries_left <= 0) {
    return End(record, wire::Verdict::kUnknown,
               "it failed and its retries are exhausted (" + reason + ")");
  }
  if (!retry_budget_.TryConsume(record.treatment.rule)) {
    return End(record, wire::Verdict::kUnknown,
               "it failed and the retry budget of its rule is exhausted (" +
                   reason + ")",
               RetryAfterMs());
  }
  --record.retries_left;
  const int used_retries = record.treatment.retries - record.retries_left;
  const Millis delay = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(used_retries, 10)));
  NextAttempt(record, delay / 2 + Millis(static_cast<int64_t>(
                                      random_() %
                                      static_cast<uint64_t>(delay.count()))));
}

void Requests::NextAttempt(Record& record, Millis delay) {
  ++record.attempt;
  record.phase = Phase::kBackoff;
  record.status_message = "waiting for its next attempt";
  context_.executor.RunAfter(
      delay, [this, id = record.spec.id, attempt = record.attempt] {
        Record* waiting = FindMutable(id);
        if (waiting == nullptr || waiting->phase != Phase::kBackoff) return;
        if (waiting->attempt == attempt) Enqueue(*waiting);
      });
}

}  // namespace mimosarail::requests
