// Requests: ends of tasks, retries, giving up.

#include <algorithm>

#include "src/libs/base/soft_assert.h"
#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {
namespace {

constexpr Millis kFirstBackoff{200};
constexpr Millis kLongestBackoff{30000};
constexpr Millis kNotStartedPause{50};
constexpr int32_t kMaxLosses = 10;
/// Upstreams that may be lost under one task. Each takes with it what others
/// run there.
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
    // Not an end: only asking all entries tells where the task is now.
    SetSettling(record, task);
    task.began |= report.began;
    task.lapse_assumed |= report.result == wire::TaskEnd::kLapseAssumed;
    return StartSettling(record);
  }
  task.phase = TaskPhase::kEnded;
  task.report = report;
  if (report.result != wire::TaskEnd::kDone) StopOthers(record);
  EvaluateAttempt(record);
}

/// A gang whose member is gone is no gang: the others must not go on alone.
void Requests::StopOthers(Record& record) {
  if (record.tasks.size() > 1) SendStop(record);
}

void Requests::SendStop(Record& record) {
  std::set<std::string> holders;
  for (const TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kHeld) holders.insert(task.holder);
  }
  for (const std::string& holder : holders) {
    if (holder == options_.self) {
      c_.execution.Stop(record.spec.id);
      continue;
    }
    const membership::Peer* peer = c_.members.Find(holder);
    if (peer == nullptr) continue;
    wire::CancelCall call;
    call.request_id = record.spec.id;
    call.attempt = record.attempt;
    c_.peers.Cancel(peer->address, call, [](const Result<wire::CancelReply>&) {
      // Sent again with each check until the tasks have ended.
    });
  }
}

void Requests::EvaluateAttempt(Record& record) {
  const bool all = std::all_of(
      record.tasks.begin(), record.tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kEnded; });
  if (!all) return;
  record.settling = false;
  CountRunning(record, false);
  const bool done = std::all_of(
      record.tasks.begin(), record.tasks.end(), [](const TaskRecord& t) {
        return t.report.result == wire::TaskEnd::kDone;
      });
  if (done) return EndDone(record);
  RetryOrGiveUp(record);
}

bool Requests::CrashesUpstreams(Record& record) {
  bool many = false;
  for (size_t i = 0; i < record.tasks.size(); ++i) {
    if (record.tasks[i].report.result != wire::TaskEnd::kLost) continue;
    many |= ++record.crashes[static_cast<int32_t>(i)] >= kMaxCrashes;
  }
  return many;
}

void Requests::RetryOrGiveUp(Record& record) {
  bool ran = false;
  bool failed = false;
  std::string reason;
  for (const TaskRecord& task : record.tasks) {
    ran |= Ran(task.report.result);
    failed |= task.report.result == wire::TaskEnd::kFailed;
    if (task.report.result != wire::TaskEnd::kDone) {
      reason = task.report.upstream + ": " + task.report.reason;
    }
  }
  record.ran |= ran;
  if (record.cancelled) {
    return End(
        record, wire::Verdict::kCancelled,
        ran ? "stopped after it had started" : "before it started: not run");
  }
  if (!ran) return NextAttempt(record, kNotStartedPause);
  if (!record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "it started and did not finish, and may not be repeated (" +
                   reason + ")");
  }
  if (CrashesUpstreams(record)) {
    return End(record, wire::Verdict::kUnknown,
               "upstreams were lost under it again and again: it may be what "
               "crashes them (" +
                   reason + ")");
  }
  if (!failed && ++record.losses <= kMaxLosses) {
    // Lost with its upstream, or stopped to make way: not the request's fault.
    return NextAttempt(record, kFirstBackoff);
  }
  if (record.retries_left <= 0) {
    return End(record, wire::Verdict::kUnknown,
               "it failed and its retries are used up (" + reason + ")");
  }
  if (!budget_.Take(record.treatment.rule)) {
    return End(
        record, wire::Verdict::kUnknown,
        "it failed and the retry budget of its rule is spent (" + reason + ")",
        RetryAfterMs());
  }
  --record.retries_left;
  const int used = record.treatment.retries - record.retries_left;
  const Millis delay =
      std::min(kLongestBackoff, kFirstBackoff * (1 << std::min(used, 10)));
  NextAttempt(record, delay / 2 + Millis(static_cast<int64_t>(
                                      random_() %
                                      static_cast<uint64_t>(delay.count()))));
}

void Requests::NextAttempt(Record& record, Millis delay) {
  ++record.attempt;
  record.phase = Phase::kBackoff;
  record.why = "waits before its next attempt";
  c_.executor.RunAfter(
      delay, [this, id = record.spec.id, attempt = record.attempt] {
        Record* again = FindMutable(id);
        if (again == nullptr || again->phase != Phase::kBackoff) return;
        if (again->attempt == attempt) Enqueue(*again);
      });
}

}  // namespace mimosarail::requests
