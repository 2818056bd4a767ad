#include "src/requests/requests.h"

#include <algorithm>

#include "src/libs/base/digest.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/rpc/codec.h"
#include "src/requests/limits.h"

namespace mimosarail::requests {
namespace {

constexpr EnumTable kPhaseNames{std::array{
    EnumName{Phase::kClaiming, "claiming its key"},
    EnumName{Phase::kReclaiming, "settling its former owner"},
    EnumName{Phase::kWaiting, "waiting"},
    EnumName{Phase::kRunning, "running"},
    EnumName{Phase::kBackoff, "waiting to retry"},
    EnumName{Phase::kEnded, "ended"},
}};

constexpr EnumTable kTaskPhaseNames{std::array{
    EnumName{TaskPhase::kNone, "not asked"},
    EnumName{TaskPhase::kSent, "asked"},
    EnumName{TaskPhase::kAccepted, "held"},
    EnumName{TaskPhase::kResolving, "settling"},
    EnumName{TaskPhase::kEnded, "ended"},
}};

constexpr Millis kTickInterval{100};

}  // namespace

std::string_view PhaseName(Phase phase) { return kPhaseNames.Name(phase); }

std::string ContentDigest(const wire::RequestSpec& spec) {
  return Digest(rpc::Encode(spec));
}

uint64_t ShapeOf(const wire::RequestSpec& spec) {
  std::string text;
  for (const int32_t part :
       {spec.size.millicores, spec.size.memory_mb, spec.size.accelerators,
        spec.size.connections, spec.tasks}) {
    text += std::to_string(part) + ",";
  }
  for (const std::string& domain : spec.failure_domains) text += domain + ";";
  text += "|";
  for (const std::string& rack : spec.racks) text += rack + ";";
  return Hash64(text);
}

Requests::Requests(RequestsContext context, RequestsOptions options)
    : context_(std::move(context)),
      options_(std::move(options)),
      peer_capacity_(context_.members, context_.controller),
      random_(options_.seed),
      rate_since_(context_.executor.Now()) {}

void Requests::Start() {
  context_.ledger.SetObserver(
      [this](const wire::Intent& intent) { OnIntent(intent); });
  RunEvery(context_.executor, kTickInterval, [this] { Tick(); });
  RunEvery(context_.executor, kCheckInterval, [this] {
    for (auto& [id, record] : records_) {
      if (record.phase == Phase::kRunning) CheckRunning(record);
    }
  });
}

Record* Requests::FindMutable(const std::string& id) {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

const Record* Requests::Find(const std::string& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

void Requests::End(Record& record, wire::Verdict::type verdict,
                   const std::string& reason, int64_t retry_after_ms) {
  wire::Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = reason;
  outcome.retry_after_ms = retry_after_ms;
  Finish(record, std::move(outcome));
}

/// Reports "not run" for a request that never started and that no other entry
/// may have started, else "unknown".
void Requests::EndUnstarted(Record& record, const std::string& reason,
                            int64_t retry_after_ms) {
  const bool certain = !record.may_have_started && !record.owned_by_other_entry;
  End(record, certain ? wire::Verdict::kNotRun : wire::Verdict::kUnknown,
      reason, retry_after_ms);
}

void Requests::EndDone(Record& record) {
  wire::Outcome outcome;
  outcome.verdict = wire::Verdict::kDone;
  const auto rules = context_.rules();
  for (const TaskRecord& task : record.tasks) {
    outcome.answer += task.report.answer;
    outcome.ran_ms = std::max(outcome.ran_ms, task.report.ran_ms);
    if (rules) {
      outcome.cost_nanos += rules->Cost(record.spec.size, task.report.ran_ms);
    }
  }
  outcome.digest = Digest(outcome.answer);
  Finish(record, std::move(outcome));
}

void Requests::Finish(Record& record, wire::Outcome outcome) {
  queue_.Remove(record.serial);
  SetCountedWaiting(record, false);
  SetCountedRunning(record, false);
  if (outcome.rule.empty()) {
    outcome.rule = record.treatment.rule;
    outcome.revision = record.treatment.revision;
    outcome.waited_ms = record.waited.count();
    outcome.attempts = record.started_attempts;
  }
  record.phase = Phase::kEnded;
  record.resolving = false;
  record.status_message = "";
  record.outcome = std::move(outcome);
  record.ended_at = context_.executor.Now();
  record.tasks.clear();
  record.spec.payload.clear();
  SetExpiry(record, TimePoint::max());
  RetainOutcome(record);
  // The owner counts the request and its cost. An entry that forwards the
  // owner's answer must not count it again.
  if (!record.owned_by_other_entry) {
    context_.on_ended(
        {.record = record, .now_unix_ms = context_.executor.UnixMillis()});
  }
  const std::vector<OutcomeCallback> waiters = std::move(record.waiters);
  record.waiters.clear();
  const wire::Outcome copy = record.outcome;
  for (const OutcomeCallback& waiter : waiters) waiter(copy);
}

void Requests::RetainOutcome(Record& record) {
  answer_bytes_ += static_cast<int64_t>(record.outcome.answer.size());
  by_serial_.erase(record.serial);
  retained_outcomes_.emplace_back(record.ended_at, record.spec.id);
}

void Requests::SetExpiry(Record& record, TimePoint when) {
  expiries_.erase({record.expires_at, record.spec.id});
  record.expires_at = when;
  if (when != TimePoint::max()) expiries_.emplace(when, record.spec.id);
}

void Requests::Tick() {
  const TimePoint now = context_.executor.Now();
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    Record* record = FindMutable(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
    if (record == nullptr || record->phase == Phase::kRunning ||
        record->phase == Phase::kEnded) {
      continue;
    }
    // No task of the request is running. An earlier attempt may have run, so
    // "not run" is reported only if no attempt was started.
    EndUnstarted(*record,
                 "wait limit or deadline reached: " + record->status_message,
                 RetryAfterMs());
  }
  DiscardExpiredOutcomes();
  const auto span = std::chrono::duration_cast<Millis>(now - rate_since_);
  if (span >= kCheckInterval) {
    const double rate = static_cast<double>(rate_starts_) * 1000.0 /
                        static_cast<double>(span.count());
    start_rate_ = 0.7 * start_rate_ + 0.3 * rate;
    rate_since_ = now;
    rate_starts_ = 0;
  }
  if (queue_.size() > 0) SchedulePlacementPass();
}

void Requests::DiscardExpiredOutcomes() {
  const TimePoint now = context_.executor.Now();
  while (!retained_outcomes_.empty() &&
         now - retained_outcomes_.front().first > options_.outcome_window) {
    const auto [at, id] = retained_outcomes_.front();
    retained_outcomes_.pop_front();
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.phase != Phase::kEnded ||
        found->second.ended_at != at) {
      continue;
    }
    answer_bytes_ -= static_cast<int64_t>(found->second.outcome.answer.size());
    records_.erase(found);
  }
}

void Requests::CheckRunning(Record& record) {
  if (record.cancelled) SendStop(record);
  bool controller_lost = false;
  for (TaskRecord& task : record.tasks) {
    if (task.phase != TaskPhase::kAccepted) continue;
    if (context_.members.IsCurrentProcess(task.controller,
                                          task.controller_incarnation)) {
      continue;
    }
    MarkUnresolved(record, task);
    controller_lost = true;
  }
  if (controller_lost) StartResolving(record);
}

void Requests::OnMembershipChanged() {
  for (auto& [id, record] : records_) {
    if (record.phase == Phase::kRunning) CheckRunning(record);
  }
  SchedulePlacementPass();
}

/// While this process was paused, other entries may have declared it dead,
/// fenced its keys and claimed them. Each waiting keyed request is claimed
/// again before any task of it starts.
void Requests::OnSelfPaused() {
  std::vector<std::string> ids;
  for (const auto& [id, record] : records_) {
    const bool waiting =
        record.phase == Phase::kWaiting || record.phase == Phase::kBackoff;
    if (record.spec.keyed && waiting) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    // Claiming the next epoch determines the owner: an entry that has reclaimed
    // the key in the meantime has already won that epoch.
    ClaimNextEpoch(records_[id],
                   "claiming its key again after a process pause");
  }
}

void Requests::AbandonWaiting(const std::string& reason) {
  for (const std::string& id : Select([](const Record& record) {
         return record.phase != Phase::kRunning;
       })) {
    EndUnstarted(records_[id], reason, kMinRetryAfterMs);
  }
}

bool Requests::Await(const std::string& id, OutcomeCallback done) {
  Record* record = FindMutable(id);
  if (record == nullptr) return false;
  if (record->phase == Phase::kEnded) {
    done(record->outcome);
    return true;
  }
  record->waiters.push_back(std::move(done));
  return true;
}

bool Requests::Cancel(const std::string& id) {
  Record* record = FindMutable(id);
  if (record == nullptr) return false;
  switch (record->phase) {
    case Phase::kEnded:
      return true;
    case Phase::kWaiting:
    case Phase::kBackoff:
      End(*record, wire::Verdict::kCancelled,
          !record->may_have_started ? "before it started: not run"
                                    : "between two attempts");
      return true;
    case Phase::kClaiming:
    case Phase::kReclaiming:
      // Another entry may own the key; only its owner can cancel it.
      return false;
    case Phase::kRunning:
      record->cancelled = true;
      SendStop(*record);
      return true;
  }
  return true;
}

std::vector<std::string> Requests::Select(
    const std::function<bool(const Record&)>& matches) const {
  std::vector<std::string> out;
  for (const auto& [id, record] : records_) {
    if (record.phase != Phase::kEnded && matches(record)) out.push_back(id);
  }
  return out;
}

RequestView Requests::View(const Record& record) const {
  RequestView view{.id = record.spec.id,
                   .owner = options_.self,
                   .phase = record.phase,
                   .status_message = record.status_message,
                   .rule = record.treatment.rule,
                   .revision = record.treatment.revision,
                   .team = record.spec.team,
                   .work = record.spec.work,
                   .attempts = record.started_attempts,
                   .waited_ms = record.waited.count()};
  if (!record.started_once) {
    view.waited_ms = std::chrono::duration_cast<Millis>(
                         context_.executor.Now() - record.submitted_at)
                         .count();
  }
  for (const TaskRecord& task : record.tasks) {
    view.task_states.push_back(std::string(kTaskPhaseNames.Name(task.phase)) +
                               " at " + task.controller);
  }
  return view;
}

std::vector<RequestView> Requests::Views(size_t max_count) const {
  std::vector<RequestView> out;
  for (const auto& [id, record] : records_) {
    if (record.phase == Phase::kEnded) continue;
    if (out.size() >= max_count) break;
    out.push_back(View(record));
  }
  return out;
}

void Requests::DescribeTo(const wire::FindCall& call,
                          wire::FindReply& reply) const {
  const Record* record = Find(call.request_id);
  // This entry forwards the request to another owner, or its own claim is
  // pending. Its answer must not be mistaken for that of the owner.
  if (record == nullptr || record->phase == Phase::kClaiming ||
      record->phase == Phase::kReclaiming) {
    return;
  }
  reply.why = record->status_message;
  reply.owner = wire::OwnerState::kWaiting;
  if (record->phase == Phase::kRunning) {
    reply.owner = wire::OwnerState::kRunning;
  }
  if (record->phase == Phase::kEnded) {
    reply.owner = wire::OwnerState::kEnded;
    reply.outcome = record->outcome;
  }
}

size_t Requests::unfinished() const {
  return static_cast<size_t>(std::count_if(
      records_.begin(), records_.end(),
      [](const auto& entry) { return entry.second.phase != Phase::kEnded; }));
}

std::map<std::string, wire::TeamUse> Requests::TeamUse() const {
  std::map<std::string, wire::TeamUse> out;
  for (const auto& [team, use] : own_team_use_) {
    if (use.waiting == 0 && use.millicores == 0) continue;
    out[team] = use;
    out[team].team = team;
  }
  return out;
}

}  // namespace mimosarail::requests
