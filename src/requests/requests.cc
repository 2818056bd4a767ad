#include "src/requests/requests.h"

#include <algorithm>

#include "src/libs/base/digest.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/soft_assert.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"
#include "src/requests/task_words.h"

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
    EnumName{TaskPhase::kAsked, "asked"},
    EnumName{TaskPhase::kHeld, "held"},
    EnumName{TaskPhase::kSettling, "settling"},
    EnumName{TaskPhase::kEnded, "ended"},
}};

constexpr Millis kTick{100};
constexpr Millis kCheckEvery{1000};
constexpr Millis kFirstBackoff{200};
constexpr Millis kLongestBackoff{30000};
constexpr Millis kNotStartedPause{50};
constexpr int64_t kShortRetryMs = 1000;
constexpr int64_t kLongestRetryMs = 60000;
constexpr int32_t kMaxLosses = 10;
constexpr int32_t kLargeMillicores = 8000;
constexpr int kMinutesPerDay = 24 * 60;

bool Ran(wire::TaskEnd::type end) { return end != wire::TaskEnd::kNotStarted; }

uint64_t ShapeOf(const wire::RequestSpec& spec,
                 const wire::Treatment& treatment) {
  std::string text;
  for (const int32_t part :
       {spec.size.millicores, spec.size.memory_mb, spec.size.accelerators,
        spec.size.connections, spec.tasks, static_cast<int32_t>(treatment.goal),
        treatment.preempt ? 1 : 0}) {
    text += std::to_string(part) + ",";
  }
  for (const std::string& domain : spec.failure_domains) text += domain + ";";
  text += "|";
  for (const std::string& rack : spec.racks) text += rack + ";";
  return Hash64(text);
}

}  // namespace

std::string_view PhaseName(Phase phase) { return kPhaseNames.Name(phase); }

std::string ContentDigest(const wire::RequestSpec& spec) {
  return Digest(rpc::Encode(spec));
}

Requests::Requests(RequestsContext context, RequestsOptions options)
    : c_(std::move(context)),
      options_(std::move(options)),
      rooms_(c_.members, c_.controller),
      random_(options_.seed),
      rate_since_(c_.executor.Now()) {}

void Requests::Start() {
  c_.ledger.SetObserver(
      [this](const wire::Intent& intent) { OnIntent(intent); });
  RunEvery(c_.executor, kTick, [this] { Tick(); });
  RunEvery(c_.executor, kCheckEvery, [this] {
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

// ---- Admission

Submitted Requests::NotRun(const std::string& reason,
                           int64_t retry_after_ms) const {
  Submitted out;
  out.outcome.verdict = wire::Verdict::kNotRun;
  out.outcome.reason = reason;
  out.outcome.retry_after_ms = retry_after_ms;
  out.outcome.revision = c_.revision();
  return out;
}

int64_t Requests::RetryAfterMs() const {
  const double seconds =
      static_cast<double>(queue_.size()) / std::max(start_rate_, 0.1);
  return std::clamp(static_cast<int64_t>(seconds * 1000), kShortRetryMs,
                    kLongestRetryMs);
}

int64_t Requests::TeamWaiting(const std::string& team) const {
  int64_t waiting = 0;
  const auto own = own_use_.find(team);
  if (own != own_use_.end()) waiting = own->second.waiting;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last.teams) {
      if (use.team == team) waiting += use.waiting;
    }
  }
  return waiting;
}

int64_t Requests::TeamMillicores(const std::string& team) const {
  int64_t millicores = 0;
  const auto own = own_use_.find(team);
  if (own != own_use_.end()) millicores = own->second.millicores;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last.teams) {
      if (use.team == team) millicores += use.millicores;
    }
  }
  return millicores;
}

/// A job that no upstream of the list could ever hold must not wait for one.
std::string Requests::ImpossibleReason(const wire::RequestSpec& spec) const {
  const auto& listed = c_.controller.listed();
  if (listed.empty()) return "";
  placement::Room whole;
  for (const auto& [name, upstream] : listed) {
    const placement::RowId row = whole.Add(
        {.name = name,
         .rack = upstream.rack,
         .failure_domain = upstream.failure_domain,
         .capacity = placement::ToAmount(upstream.capacity, upstream.slots)});
    whole.SetUsable(row, true);
  }
  wire::AttemptContext context;
  context.spec = spec;
  const placement::Ask ask =
      execution::MakeAsk(context, spec.tasks, c_.executor.Now());
  const auto policy = placement::MakeFirstFitPolicy();
  if (!policy->Place(whole, ask).empty()) return "";
  return "no upstream could ever hold it, even empty: " +
         placement::ExplainNoRoom(whole, ask);
}

std::optional<Submitted> Requests::CheckAdmission(
    const wire::RequestSpec& spec, const wire::Treatment& treatment,
    const rules::RuleSet& rules) const {
  if (!treatment.refusal.empty()) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = treatment.refusal;
    return refused;
  }
  const std::string impossible = ImpossibleReason(spec);
  if (!impossible.empty()) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = impossible;
    return refused;
  }
  if (treatment.priority > 0 &&
      static_cast<int64_t>(queue_.size()) >= rules.max_waiting()) {
    return NotRun("too many requests wait", RetryAfterMs());
  }
  // Urgent work is shed last: it may use a quarter more of the queue.
  if (static_cast<int64_t>(queue_.size()) >=
      rules.max_waiting() + rules.max_waiting() / 4 + 1) {
    return NotRun("too many requests wait", RetryAfterMs());
  }
  const rules::TeamLimit* limit = rules.LimitOf(spec.team);
  if (limit != nullptr && limit->waiting &&
      TeamWaiting(spec.team) >= *limit->waiting) {
    return NotRun("the team's waiting quota is used up", RetryAfterMs());
  }
  if (limit != nullptr && limit->millicores &&
      static_cast<int64_t>(spec.size.millicores) * spec.tasks >
          *limit->millicores) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "larger than the team's whole quota";
    return refused;
  }
  return std::nullopt;
}

void Requests::Submit(wire::RequestSpec spec,
                      std::function<void(Submitted)> done) {
  const std::string digest = ContentDigest(spec);
  if (!spec.keyed) {
    spec.id = options_.self + "-" + std::to_string(options_.incarnation) + "-" +
              std::to_string(++next_id_);
  }
  Record* known = FindMutable(spec.id);
  if (known != nullptr && known->digest != digest) {
    Submitted refused{.id = spec.id};
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "the key is in use for a different request";
    return done(std::move(refused));
  }
  const bool again = known != nullptr && known->phase == Phase::kEnded &&
                     known->outcome.verdict == wire::Verdict::kNotRun;
  if (known != nullptr && !again) {
    return done({.taken = true, .id = spec.id});
  }
  const auto rules = c_.rules();
  if (!rules) return done(NotRun("no configuration yet", kShortRetryMs));
  if (!c_.accepting()) {
    return done(NotRun("this instance takes no work now", kShortRetryMs));
  }
  if (spec.keyed && !c_.ledger.ready()) {
    return done(NotRun("the log cannot be read", kShortRetryMs));
  }
  if (records_.size() >= options_.max_requests ||
      answer_bytes_ >= options_.max_answer_bytes) {
    return done(NotRun("too many requests are kept here", RetryAfterMs()));
  }
  const int32_t minute =
      static_cast<int32_t>(c_.executor.UnixMillis() / 60000 % kMinutesPerDay);
  const rules::Facts facts{.spec = &spec,
                           .waiting = static_cast<int64_t>(queue_.size()),
                           .minute_of_day = minute};
  wire::Treatment treatment = rules->Decide(facts).then;
  treatment.revision = c_.revision();
  if (auto refused = CheckAdmission(spec, treatment, *rules)) {
    refused->id = spec.id;
    refused->outcome.rule = treatment.rule;
    refused->outcome.revision = treatment.revision;
    return done(std::move(*refused));
  }
  const int32_t next_attempt = again ? known->attempt + 1 : 0;
  const int32_t epoch = again ? known->epoch : 1;
  Record& record = records_[spec.id];
  record = Record{};
  record.spec = std::move(spec);
  record.digest = digest;
  record.treatment = treatment;
  record.serial = ++next_serial_;
  record.submitted = c_.executor.Now();
  record.retries_left = treatment.retries;
  record.epoch = epoch;
  record.attempt = std::max(next_attempt, epoch * kAttemptsPerEpoch);
  by_serial_[record.serial] = record.spec.id;
  const std::string id = record.spec.id;
  if (record.spec.keyed) {
    SetExpiry(record, record.submitted + Millis(treatment.wait_limit_ms));
    record.phase = Phase::kClaiming;
    record.why = "its key is being claimed in the log";
    done({.taken = true, .id = id});
    return Claim(id);
  }
  Enqueue(record);
  done({.taken = true, .id = id});
}

// ---- Keys

void Requests::Claim(const std::string& id) {
  Record* record = FindMutable(id);
  if (record == nullptr) return;
  wire::Intent intent;
  intent.request_id = id;
  intent.epoch = record->epoch;
  intent.owner = options_.self;
  intent.owner_incarnation = options_.incarnation;
  intent.spec_digest = record->digest;
  c_.ledger.Claim(intent, [this, id](std::optional<wire::Intent> winner) {
    OnClaimed(id, std::move(winner));
  });
}

void Requests::OnClaimed(const std::string& id,
                         std::optional<wire::Intent> winner) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->phase != Phase::kClaiming) return;
  if (!winner) {
    // Our intent may still reach the log. That harms nobody: it makes this
    // entry the owner of a key that it has not started.
    return EndUnstarted(*record, "the log does not answer", kShortRetryMs * 2);
  }
  if (winner->spec_digest != record->digest) {
    return End(*record, wire::Verdict::kRefused,
               "the key is in use for a different request");
  }
  const bool ours = winner->owner == options_.self &&
                    winner->owner_incarnation == options_.incarnation;
  if (!ours) return FollowOwner(id, *winner);
  record->epoch = winner->epoch;
  record->attempt =
      std::max(record->attempt, winner->epoch * kAttemptsPerEpoch);
  Enqueue(*record);
}

void Requests::FollowOwner(const std::string& id, const wire::Intent& winner) {
  Record* record = FindMutable(id);
  if (record == nullptr) return;
  if (!c_.members.Lives(winner.owner, winner.owner_incarnation)) {
    return Reclaim(*record, winner);
  }
  record->foreign = true;
  const membership::Peer* owner = c_.members.Find(winner.owner);
  record->why = "owned by " + winner.owner;
  wire::SubmitCall call;
  call.spec = record->spec;
  c_.peers.Submit(owner->address, call,
                  [this, id, winner](const Result<wire::SubmitReply>& reply) {
                    OnHandedOver(id, winner, reply);
                  });
}

void Requests::OnHandedOver(const std::string& id, const wire::Intent& winner,
                            const Result<wire::SubmitReply>& reply) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->phase != Phase::kClaiming) return;
  if (reply.ok() && !reply.value().taken) {
    return End(*record, wire::Verdict::kNotRun,
               winner.owner + ": " + reply.value().refusal,
               reply.value().retry_after_ms);
  }
  const membership::Peer* owner = c_.members.Find(winner.owner);
  if (!reply.ok() || owner == nullptr) {
    c_.executor.RunAfter(kCheckEvery,
                         [this, id, winner] { FollowOwner(id, winner); });
    return;
  }
  PollOwner(id, owner->address);
}

/// The owner answers for the key; this entry only passes its answer on.
void Requests::PollOwner(const std::string& id, const std::string& address) {
  wire::FindCall call;
  call.request_id = id;
  call.wait_ms = kCheckEvery.count();
  c_.peers.Find(
      address, call, [this, id, address](const Result<wire::FindReply>& reply) {
        Record* record = FindMutable(id);
        if (record == nullptr || record->phase != Phase::kClaiming) return;
        if (reply.ok() && reply.value().owner == wire::OwnerState::kEnded) {
          return Finish(*record, reply.value().outcome);
        }
        if (reply.ok() && reply.value().owner != wire::OwnerState::kAbsent) {
          record->why = reply.value().why;
          return PollOwner(id, address);
        }
        // The owner is gone or was replaced: the claim in the log tells whether
        // its incarnation still lives.
        c_.executor.RunAfter(kCheckEvery, [this, id] {
          const wire::Intent* winner = c_.ledger.Find(id);
          if (winner != nullptr) OnClaimed(id, *winner);
        });
      });
}

/// The entry that won the key has died. What it started lives on at the
/// upstreams; only if it surely started nothing may the key be claimed anew.
void Requests::Reclaim(Record& record, const wire::Intent& lost) {
  record.foreign = true;
  record.phase = Phase::kReclaiming;
  record.epoch = lost.epoch + 1;
  record.former_owner = lost.owner;
  record.former_incarnation = lost.owner_incarnation;
  record.why = "its former owner is gone";
  StartSettling(record);
}

/// Reads along who claims keys: one that this entry still holds may have been
/// taken over while it was cut off from the others.
void Requests::OnIntent(const wire::Intent& intent) {
  Record* record = FindMutable(intent.request_id);
  if (record == nullptr || intent.epoch <= record->epoch) return;
  if (record->phase != Phase::kWaiting && record->phase != Phase::kBackoff) {
    return;
  }
  ClaimNextEpoch(*record, "its key was claimed by another entry");
}

void Requests::ClaimNextEpoch(Record& record, const std::string& why) {
  queue_.Remove(record.serial);
  CountWaiting(record, false);
  record.phase = Phase::kClaiming;
  record.why = why;
  ++record.epoch;
  record.attempt = std::max(record.attempt, record.epoch * kAttemptsPerEpoch);
  Claim(record.spec.id);
}

void Requests::CountWaiting(Record& record, bool on) {
  if (record.counted_waiting == on) return;
  record.counted_waiting = on;
  own_use_[record.spec.team].waiting += on ? 1 : -1;
}

void Requests::CountRunning(Record& record, bool on) {
  if (record.counted_running == on) return;
  record.counted_running = on;
  const int64_t millicores =
      static_cast<int64_t>(record.spec.size.millicores) * record.spec.tasks;
  own_use_[record.spec.team].millicores += on ? millicores : -millicores;
}

// ---- Queue and placement

void Requests::Enqueue(Record& record) {
  record.phase = Phase::kWaiting;
  record.foreign = false;
  record.why = "in the queue";
  record.tasks.assign(static_cast<size_t>(record.spec.tasks), TaskRecord{});
  const TimePoint from =
      record.attempts == 0 ? record.submitted : c_.executor.Now();
  TimePoint limit = from + Millis(record.treatment.wait_limit_ms);
  if (record.spec.deadline_ms > 0) {
    limit = std::min(limit, record.submitted + Millis(record.spec.deadline_ms));
  }
  SetExpiry(record, limit);
  record.queue_key = queue_.Push(
      {.id = record.serial,
       .priority = record.treatment.priority,
       .team = record.spec.team,
       .since = record.submitted,
       .core_seconds = static_cast<double>(record.spec.size.millicores) *
                       static_cast<double>(record.spec.run_ms) *
                       record.spec.tasks / 1e6,
       .shape = ShapeOf(record.spec, record.treatment),
       .large = record.spec.tasks > 1 ||
                record.spec.size.millicores >= kLargeMillicores,
       .declared = Millis(record.spec.run_ms)},
      record.queue_key);
  CountWaiting(record, true);
  RequestDrain();
}

void Requests::RequestDrain() {
  if (drain_pending_) return;
  drain_pending_ = true;
  c_.executor.Post([this] {
    drain_pending_ = false;
    Drain();
  });
}

void Requests::Drain() {
  guard_.BeginPass(c_.executor.Now());
  queue_.VisitInOrder(c_.executor.Now(), [&](const placement::QueueItem& item) {
    Record* record = FindMutable(by_serial_[item.id]);
    MR_EXPECT(record != nullptr && record->phase == Phase::kWaiting,
              return placement::Visit::kPlaced);
    if (!guard_.MayStart(item)) {
      record->why = "room is held for a large request that waited long";
      return placement::Visit::kSkipped;
    }
    const placement::Visit visit = TryPlace(*record, guard_.IsHeldFor(item.id));
    if (visit == placement::Visit::kBlocked) guard_.NoteBlocked(item);
    if (visit == placement::Visit::kPlaced) CountWaiting(*record, false);
    return visit;
  });
  guard_.EndPass();
}

wire::PlaceCall Requests::MakeCall(const Record& record,
                                   bool use_reserve) const {
  wire::PlaceCall call;
  call.context.spec = record.spec;
  call.context.treatment = record.treatment;
  call.context.owner = options_.self;
  call.context.owner_incarnation = options_.incarnation;
  call.attempt = record.attempt;
  call.use_reserve = use_reserve;
  for (int32_t i = 0; i < record.spec.tasks; ++i) call.indices.push_back(i);
  return call;
}

placement::Visit Requests::TryPlace(Record& record, bool use_reserve) {
  const auto rules = c_.rules();
  const rules::TeamLimit* limit =
      rules ? rules->LimitOf(record.spec.team) : nullptr;
  const int64_t wanted =
      static_cast<int64_t>(record.spec.size.millicores) * record.spec.tasks;
  if (limit != nullptr && limit->millicores &&
      TeamMillicores(record.spec.team) + wanted > *limit->millicores) {
    record.why = "team " + record.spec.team + " uses its quota of cores";
    return placement::Visit::kSkipped;
  }
  const wire::PlaceCall call = MakeCall(record, use_reserve);
  const placement::Ask ask =
      execution::MakeAsk(call.context, record.spec.tasks, c_.executor.Now());
  if (PlaceHere(record, call)) return placement::Visit::kPlaced;
  if (PlaceAtPeer(record, call, ask)) return placement::Visit::kPlaced;
  if (record.treatment.preempt) c_.execution.Preempt(call);
  return placement::Visit::kBlocked;
}

bool Requests::PlaceHere(Record& record, const wire::PlaceCall& call) {
  // The tasks must be known as asked for before the call: their first reports
  // may come from inside it.
  MarkRunning(record, options_.self, options_.incarnation, TaskPhase::kHeld);
  const wire::PlaceReply reply = c_.execution.Place(call);
  if (reply.status == wire::PlaceStatus::kAccepted) {
    NoteStarted(record);
    return true;
  }
  CountRunning(record, false);
  record.phase = Phase::kWaiting;
  record.why = reply.status == wire::PlaceStatus::kFenced
                   ? "another entry is taking it over"
                   : reply.detail;
  record.tasks.assign(static_cast<size_t>(record.spec.tasks), TaskRecord{});
  return false;
}

bool Requests::PlaceAtPeer(Record& record, const wire::PlaceCall& call,
                           const placement::Ask& ask) {
  const membership::Peer* peer = rooms_.Choose(ask);
  if (peer == nullptr) return false;
  wire::PlaceCall sent = call;
  sent.heartbeat_seen = peer->last.sequence;
  MarkRunning(record, peer->name, peer->last.incarnation, TaskPhase::kAsked);
  rooms_.NoteSent(peer->name, ask);
  c_.peers.Place(
      peer->address, sent,
      [this, id = record.spec.id, attempt = record.attempt, name = peer->name,
       ask](const Result<wire::PlaceReply>& reply) {
        OnPlaceReply(id, attempt, name, ask, reply);
      });
  return true;
}

void Requests::MarkRunning(Record& record, const std::string& holder,
                           int64_t incarnation, TaskPhase phase) {
  record.phase = Phase::kRunning;
  record.placed = c_.executor.Now();
  record.settling = false;
  record.fenced_everywhere = false;
  record.tasks.assign(
      static_cast<size_t>(record.spec.tasks),
      TaskRecord{
          .phase = phase, .holder = holder, .holder_incarnation = incarnation});
  CountRunning(record, true);
}

void Requests::NoteStarted(Record& record) {
  ++record.attempts;
  ++rate_starts_;
  budget_.NoteStart(record.treatment.rule);
  SetExpiry(record, TimePoint::max());
  if (record.started_once) return;
  record.started_once = true;
  record.waited =
      std::chrono::duration_cast<Millis>(c_.executor.Now() - record.submitted);
  c_.on_first_start(record);
}

void Requests::OnPlaceReply(const std::string& id, int32_t attempt,
                            const std::string& peer, const placement::Ask& ask,
                            const Result<wire::PlaceReply>& reply) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->attempt != attempt ||
      record->phase != Phase::kRunning) {
    return;
  }
  const bool never_sent =
      !reply.ok() && reply.error().code == Errc::kUnavailable;
  if (!reply.ok() && !never_sent) return StartSettling(*record);
  if (reply.ok() && reply.value().status == wire::PlaceStatus::kAccepted) {
    for (TaskRecord& task : record->tasks) {
      if (task.phase == TaskPhase::kAsked) task.phase = TaskPhase::kHeld;
    }
    return NoteStarted(*record);
  }
  if (reply.ok() && reply.value().status == wire::PlaceStatus::kFenced) {
    return End(*record, wire::Verdict::kUnknown,
               "another entry has taken the request over; ask again by id");
  }
  rooms_.NoteRefused(peer,
                     placement::Ask{.size = ask.size, .tasks = ask.tasks});
  CountRunning(*record, false);
  if (record->cancelled) {
    return End(*record, wire::Verdict::kCancelled,
               "before it started: not run");
  }
  Enqueue(*record);
}

// ---- Ends of tasks

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

// ---- Settlement

/// The answers of a round that is under way were given before this word came:
/// an entry that said "held here" may have lost the task since, and believing
/// it would leave the request running for ever in the owner's eyes.
void Requests::SetSettling(Record& record, TaskRecord& task) {
  task.phase = TaskPhase::kSettling;
  task.stale_round = record.settle_round;
}

void Requests::StartSettling(Record& record) {
  for (TaskRecord& task : record.tasks) {
    if (task.phase == TaskPhase::kAsked) SetSettling(record, task);
  }
  if (record.settling) return;
  record.settling = true;
  record.settle_first = record.settle_round;
  record.settle_since = c_.executor.Now();
  record.fenced_everywhere = false;
  record.why = "its controller is silent; asking the others";
  c_.executor.Post([this, id = record.spec.id, loop = ++record.settle_loop] {
    SettleRound(id, loop);
  });
}

void Requests::SettleRound(const std::string& id, int loop) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->settling) return;
  if (record->settle_loop != loop) return;
  ++record->settle_round;
  // Look first, fence later: a fence would have a running task stopped when
  // its upstream next changes hands.
  const bool old_enough =
      c_.executor.Now() - record->placed > options_.place_validity;
  const bool fence =
      record->settle_round > record->settle_first + 1 && old_enough;
  int32_t fence_below = 0;
  if (fence) {
    fence_below = record->phase == Phase::kReclaiming
                      ? record->epoch * kAttemptsPerEpoch
                      : record->attempt + 1;
  }
  CollectAnswers(id, fence_below);
}

std::set<std::string> Requests::ListedEntries() const {
  std::set<std::string> out;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state != membership::PeerState::kDead) out.insert(name);
  }
  return out;
}

void Requests::CollectAnswers(const std::string& id, int32_t fence_below) {
  struct Round {
    std::map<std::string, wire::FindReply> answers;
    size_t open = 0;
  };
  auto round = std::make_shared<Round>();
  wire::FindCall call;
  call.request_id = id;
  call.fence_below = fence_below;
  c_.execution.Find(call, round->answers[options_.self]);
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    ++round->open;
    c_.peers.Find(peer.address, call,
                  [this, id, fence_below, round,
                   name = name](const Result<wire::FindReply>& reply) {
                    if (reply.ok()) round->answers[name] = reply.value();
                    if (--round->open > 0) return;
                    EvaluateSettlement(id, fence_below, round->answers);
                  });
  }
  if (round->open > 0) return;
  c_.executor.Post([this, id, fence_below, round] {
    EvaluateSettlement(id, fence_below, round->answers);
  });
}

SettlementInput Requests::MakeSettlementInput(
    const Record& record, const std::map<std::string, wire::FindReply>& answers,
    bool fenced) const {
  SettlementInput input;
  input.attempt = record.attempt;
  input.answers = &answers;
  for (const auto& [name, listed] : c_.controller.listed()) {
    input.listed_upstreams.insert(name);
  }
  input.listed_entries = ListedEntries();
  input.fenced = fenced;
  const TimePoint vanished = c_.controller.last_delisting();
  const TimePoint since = record.phase == Phase::kReclaiming
                              ? c_.executor.Now() - options_.outcome_window
                              : record.placed;
  input.upstream_vanished = vanished >= since;
  input.vanished_surely_lapsed =
      c_.executor.Now() - vanished > options_.lease + options_.max_delay;
  return input;
}

void Requests::EvaluateSettlement(
    const std::string& id, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  Record* record = FindMutable(id);
  if (record == nullptr || !record->settling) return;
  const TimePoint now = c_.executor.Now();
  const std::set<std::string> listed = ListedEntries();
  const bool answered_all = std::all_of(
      listed.begin(), listed.end(),
      [&](const std::string& name) { return answers.contains(name); });
  if (fence_below > 0 && answered_all && !record->fenced_everywhere) {
    record->fenced_everywhere = true;
    record->fenced_since = now;
  }
  const auto next = [this, id, loop = record->settle_loop] {
    c_.executor.RunAfter(options_.settle_every,
                         [this, id, loop] { SettleRound(id, loop); });
  };
  if (record->phase == Phase::kReclaiming) {
    EvaluateReclaim(*record, fence_below, answers);
    record = FindMutable(id);
    if (record != nullptr && record->settling) next();
    return;
  }
  SettlementInput input =
      MakeSettlementInput(*record, answers, fence_below > record->attempt);
  const bool lease_over =
      record->fenced_everywhere &&
      now - record->fenced_since > options_.lease + options_.max_delay;
  const int32_t attempt = record->attempt;
  for (size_t i = 0; i < record->tasks.size(); ++i) {
    TaskRecord& task = record->tasks[i];
    if (task.phase != TaskPhase::kSettling) continue;
    if (task.stale_round >= record->settle_round) continue;
    input.index = static_cast<int32_t>(i);
    input.lapse_proved = lease_over && task.lapse_assumed;
    const Settlement result = Settle(input);
    wire::ReportCall report = result.report;
    report.request_id = id;
    report.attempt = attempt;
    report.index = input.index;
    switch (result.result) {
      case SettlementResult::kWait:
        continue;
      case SettlementResult::kHeld: {
        task.phase = TaskPhase::kHeld;
        task.holder = result.holder;
        task.lapse_assumed = false;
        const membership::Peer* peer = c_.members.Find(result.holder);
        task.holder_incarnation =
            peer != nullptr ? peer->last.incarnation : options_.incarnation;
        continue;
      }
      case SettlementResult::kEnded:
        break;
      case SettlementResult::kNotStarted:
        report.result = wire::TaskEnd::kNotStarted;
        report.reason = "every entry and upstream says so";
        break;
      case SettlementResult::kGone:
        report.result = wire::TaskEnd::kLost;
        report.reason = "its upstream is gone";
        break;
    }
    ApplyReport(*record, report);
    if (record->phase != Phase::kRunning || record->attempt != attempt) return;
  }
  const bool open = std::any_of(
      record->tasks.begin(), record->tasks.end(),
      [](const TaskRecord& t) { return t.phase == TaskPhase::kSettling; });
  record->settling = open;
  if (!open) {
    record->why = "";
    return;
  }
  // Whoever waits for a request that may not be repeated is told what is
  // known once every lease of it must have ended.
  const Millis patience = 3 * (options_.lease + options_.max_delay);
  if (!record->spec.repeatable && now - record->settle_since > patience) {
    return End(*record, wire::Verdict::kUnknown,
               "its controller is silent and it may have run");
  }
  next();
}

void Requests::EvaluateReclaim(
    Record& record, int32_t fence_below,
    const std::map<std::string, wire::FindReply>& answers) {
  for (const auto& [entry, reply] : answers) {
    if (entry != options_.self && reply.owner == wire::OwnerState::kEnded &&
        reply.outcome.verdict != wire::Verdict::kNotRun) {
      return Finish(record, reply.outcome);
    }
  }
  const WordsSummary words = SummariseWords(answers);
  if (words.running) {
    record.why = "running; its former owner is gone";
    return;
  }
  if (words.done()) return Finish(record, DoneOutcome(words));
  if (!words.ends.empty() && !record.spec.repeatable) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner started it and is gone");
  }
  SettlementInput input = MakeSettlementInput(record, answers, fence_below > 0);
  input.attempt = -1;
  const Settlement result = Settle(input);
  // Absence proves that it does not run. It does not prove that it never ran:
  // its former owner may have taken the answer and had the end released.
  // An owner that is only cut off from here goes on: it may attach upstreams
  // anew after this sweep and start its next attempt beside ours.
  const bool gone =
      c_.members.SurelyGone(record.former_owner, record.former_incarnation);
  const bool settled =
      gone && (result.result == SettlementResult::kNotStarted ||
               result.result == SettlementResult::kGone);
  if (settled && record.spec.repeatable) {
    record.settling = false;
    record.ran = true;  // under its former owner, for all that is known
    record.phase = Phase::kClaiming;
    record.why = "its key is being claimed anew";
    return Claim(record.spec.id);
  }
  if (settled) {
    return End(record, wire::Verdict::kUnknown,
               "its former owner is gone and it may have run");
  }
  const Millis patience = 3 * (options_.lease + options_.max_delay);
  if (c_.executor.Now() - record.settle_since > patience) {
    End(record, wire::Verdict::kUnknown,
        "its former owner is gone and not every upstream can be asked",
        kLongestRetryMs);
  }
}

// ---- Ends of requests

void Requests::End(Record& record, wire::Verdict::type verdict,
                   const std::string& reason, int64_t retry_after_ms) {
  wire::Outcome outcome;
  outcome.verdict = verdict;
  outcome.reason = reason;
  outcome.retry_after_ms = retry_after_ms;
  Finish(record, std::move(outcome));
}

/// "Not run" is said only of what never started and that no other entry may
/// have started.
void Requests::EndUnstarted(Record& record, const std::string& reason,
                            int64_t retry_after_ms) {
  const bool certain = !record.ran && !record.foreign;
  End(record, certain ? wire::Verdict::kNotRun : wire::Verdict::kUnknown,
      reason, retry_after_ms);
}

void Requests::EndDone(Record& record) {
  wire::Outcome outcome;
  outcome.verdict = wire::Verdict::kDone;
  const auto rules = c_.rules();
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
  CountWaiting(record, false);
  CountRunning(record, false);
  if (outcome.rule.empty()) {
    outcome.rule = record.treatment.rule;
    outcome.revision = record.treatment.revision;
    outcome.waited_ms = record.waited.count();
    outcome.attempts = record.attempts;
  }
  record.phase = Phase::kEnded;
  record.settling = false;
  record.why = "";
  record.outcome = std::move(outcome);
  record.ended = c_.executor.Now();
  record.tasks.clear();
  record.spec.payload.clear();
  SetExpiry(record, TimePoint::max());
  Retain(record);
  // The owner counts the request and its cost; passing its answer on must not
  // count it again.
  if (!record.foreign) {
    c_.on_ended({.record = record, .now_unix_ms = c_.executor.UnixMillis()});
  }
  const std::vector<OutcomeCallback> waiters = std::move(record.waiters);
  record.waiters.clear();
  const wire::Outcome copy = record.outcome;
  for (const OutcomeCallback& waiter : waiters) waiter(copy);
}

void Requests::Retain(Record& record) {
  answer_bytes_ += static_cast<int64_t>(record.outcome.answer.size());
  by_serial_.erase(record.serial);
  ended_.emplace_back(record.ended, record.spec.id);
}

void Requests::SetExpiry(Record& record, TimePoint when) {
  expiries_.erase({record.expires, record.spec.id});
  record.expires = when;
  if (when != TimePoint::max()) expiries_.emplace(when, record.spec.id);
}

void Requests::Tick() {
  const TimePoint now = c_.executor.Now();
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    Record* record = FindMutable(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
    if (record == nullptr || record->phase == Phase::kRunning ||
        record->phase == Phase::kEnded) {
      continue;
    }
    // Nothing of it runs now. An earlier attempt may have, so "not run" is
    // only said if none was started.
    EndUnstarted(*record, "gave up waiting: " + record->why, RetryAfterMs());
  }
  ExpireOld();
  const auto span = std::chrono::duration_cast<Millis>(now - rate_since_);
  if (span >= kCheckEvery) {
    const double rate = static_cast<double>(rate_starts_) * 1000.0 /
                        static_cast<double>(span.count());
    start_rate_ = 0.7 * start_rate_ + 0.3 * rate;
    rate_since_ = now;
    rate_starts_ = 0;
  }
  if (queue_.size() > 0) RequestDrain();
}

void Requests::ExpireOld() {
  const TimePoint now = c_.executor.Now();
  while (!ended_.empty() &&
         now - ended_.front().first > options_.outcome_window) {
    const auto [at, id] = ended_.front();
    ended_.pop_front();
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.phase != Phase::kEnded ||
        found->second.ended != at) {
      continue;
    }
    answer_bytes_ -= static_cast<int64_t>(found->second.outcome.answer.size());
    records_.erase(found);
  }
}

void Requests::CheckRunning(Record& record) {
  if (record.cancelled) SendStop(record);
  bool silent = false;
  for (TaskRecord& task : record.tasks) {
    if (task.phase != TaskPhase::kHeld) continue;
    if (c_.members.Lives(task.holder, task.holder_incarnation)) continue;
    SetSettling(record, task);
    silent = true;
  }
  if (silent) StartSettling(record);
}

void Requests::OnMembershipChanged() {
  for (auto& [id, record] : records_) {
    if (record.phase == Phase::kRunning) CheckRunning(record);
  }
  RequestDrain();
}

/// While this process was paused, others may have found it dead, fenced its
/// keys and claimed them anew. What waits here is checked against the fences
/// of the others before anything of it starts.
void Requests::OnSelfPaused() {
  std::vector<std::string> ids;
  for (const auto& [id, record] : records_) {
    const bool waiting =
        record.phase == Phase::kWaiting || record.phase == Phase::kBackoff;
    if (record.spec.keyed && waiting) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    // Claiming the next epoch settles who goes on: an entry that took the key
    // over meanwhile has won that epoch already.
    ClaimNextEpoch(records_[id], "checking its key after a pause");
  }
}

void Requests::GiveUpWaiting(const std::string& reason) {
  for (const std::string& id : Select([](const Record& record) {
         return record.phase != Phase::kRunning;
       })) {
    EndUnstarted(records_[id], reason, kShortRetryMs);
  }
}

// ---- Views

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
          !record->ran ? "before it started: not run" : "between two attempts");
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
                   .why = record.why,
                   .rule = record.treatment.rule,
                   .revision = record.treatment.revision,
                   .team = record.spec.team,
                   .work = record.spec.work,
                   .attempts = record.attempts,
                   .waited_ms = record.waited.count()};
  if (!record.started_once) {
    view.waited_ms =
        std::chrono::duration_cast<Millis>(c_.executor.Now() - record.submitted)
            .count();
  }
  for (const TaskRecord& task : record.tasks) {
    view.holders.push_back(std::string(kTaskPhaseNames.Name(task.phase)) +
                           " at " + task.holder);
  }
  return view;
}

std::vector<RequestView> Requests::Views(size_t most) const {
  std::vector<RequestView> out;
  for (const auto& [id, record] : records_) {
    if (record.phase == Phase::kEnded) continue;
    if (out.size() >= most) break;
    out.push_back(View(record));
  }
  return out;
}

void Requests::DescribeTo(const wire::FindCall& call,
                          wire::FindReply& reply) const {
  const Record* record = Find(call.request_id);
  // A record that only follows another owner, or waits to become one, must
  // not be taken for the owner's word.
  if (record == nullptr || record->phase == Phase::kClaiming ||
      record->phase == Phase::kReclaiming) {
    return;
  }
  reply.why = record->why;
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
  for (const auto& [team, use] : own_use_) {
    if (use.waiting == 0 && use.millicores == 0) continue;
    out[team] = use;
    out[team].team = team;
  }
  return out;
}

}  // namespace mimosarail::requests
