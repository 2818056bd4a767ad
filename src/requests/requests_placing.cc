// Requests: the queue, and placing requests at controllers.

#include <algorithm>

#include "src/libs/base/soft_assert.h"
#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {
namespace {

/// A request whose tasks each need at least this much is large; see
/// QueueItem::large.
constexpr int32_t kLargeMillicores = 8000;

}  // namespace

void Requests::Enqueue(Record& record) {
  record.phase = Phase::kWaiting;
  record.owned_by_other_entry = false;
  record.status_message = "in the queue";
  record.tasks.assign(static_cast<size_t>(record.spec.tasks), TaskRecord{});
  const TimePoint wait_start = record.started_attempts == 0
                                   ? record.submitted_at
                                   : context_.executor.Now();
  TimePoint expiry = wait_start + Millis(record.treatment.wait_limit_ms);
  if (record.spec.deadline_ms > 0) {
    expiry =
        std::min(expiry, record.submitted_at + Millis(record.spec.deadline_ms));
  }
  SetExpiry(record, expiry);
  record.queue_key = queue_.Push(
      {.id = record.serial,
       .priority = record.treatment.priority,
       .team = record.spec.team,
       .since = record.submitted_at,
       .core_seconds = static_cast<double>(record.spec.size.millicores) *
                       static_cast<double>(record.spec.run_ms) *
                       record.spec.tasks / 1e6,
       .shape =
           ShapeOf(record.spec) * 4 +
           (record.treatment.goal == wire::PlacementGoal::kSpread ? 1 : 0) +
           (record.treatment.preempt ? 2 : 0),
       .large = record.spec.tasks > 1 ||
                record.spec.size.millicores >= kLargeMillicores,
       .declared_run_time = Millis(record.spec.run_ms)},
      record.queue_key);
  SetCountedWaiting(record, true);
  SchedulePlacementPass();
}

void Requests::SchedulePlacementPass() {
  if (placement_pass_pending_) return;
  placement_pass_pending_ = true;
  context_.executor.Post([this] {
    placement_pass_pending_ = false;
    RunPlacementPass();
  });
}

void Requests::RunPlacementPass() {
  starvation_guard_.BeginPass(context_.executor.Now());
  queue_.VisitInOrder(
      context_.executor.Now(), [&](const placement::QueueItem& item) {
        Record* record = FindMutable(by_serial_[item.id]);
        MR_EXPECT(record != nullptr && record->phase == Phase::kWaiting,
                  return placement::VisitResult::kPlaced);
        if (!starvation_guard_.MayStart(item)) {
          record->status_message =
              "capacity is reserved for a large request that has waited long";
          return placement::VisitResult::kSkipped;
        }
        const placement::VisitResult visit =
            TryPlace(*record, starvation_guard_.IsReservedFor(item.id));
        if (visit == placement::VisitResult::kBlocked) {
          starvation_guard_.NoteBlocked(item);
        }
        if (visit == placement::VisitResult::kPlaced) {
          SetCountedWaiting(*record, false);
        }
        return visit;
      });
  starvation_guard_.EndPass();
}

wire::PlaceCall Requests::MakePlaceCall(const Record& record,
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

placement::VisitResult Requests::TryPlace(Record& record, bool use_reserve) {
  const auto rules = context_.rules();
  const rules::TeamLimit* limit =
      rules ? rules->LimitOf(record.spec.team) : nullptr;
  const int64_t wanted_millicores =
      static_cast<int64_t>(record.spec.size.millicores) * record.spec.tasks;
  if (limit != nullptr && limit->millicores &&
      TeamMillicores(record.spec.team) + wanted_millicores >
          *limit->millicores) {
    record.status_message =
        "team " + record.spec.team + " has exhausted its quota of cores";
    return placement::VisitResult::kSkipped;
  }
  const wire::PlaceCall call = MakePlaceCall(record, use_reserve);
  const placement::PlacementRequest request = execution::MakePlacementRequest(
      call.context, record.spec.tasks, context_.executor.Now());
  if (PlaceHere(record, call)) return placement::VisitResult::kPlaced;
  if (PlaceAtPeer(record, call, request)) {
    return placement::VisitResult::kPlaced;
  }
  if (record.treatment.preempt) context_.execution.Preempt(call);
  return placement::VisitResult::kBlocked;
}

bool Requests::PlaceHere(Record& record, const wire::PlaceCall& call) {
  // The record must be marked as running before the call, since the call may
  // already deliver the first reports of its tasks.
  MarkRunning(record, options_.self, options_.incarnation,
              TaskPhase::kAccepted);
  const wire::PlaceReply reply = context_.execution.Place(call);
  if (reply.status == wire::PlaceStatus::kAccepted) {
    NoteStarted(record);
    return true;
  }
  SetCountedRunning(record, false);
  record.phase = Phase::kWaiting;
  record.status_message = reply.status == wire::PlaceStatus::kFenced
                              ? "another entry is reclaiming it"
                              : reply.detail;
  record.tasks.assign(static_cast<size_t>(record.spec.tasks), TaskRecord{});
  return false;
}

bool Requests::PlaceAtPeer(Record& record, const wire::PlaceCall& call,
                           const placement::PlacementRequest& request) {
  const membership::Peer* peer = peer_capacity_.Choose(request);
  if (peer == nullptr) return false;
  wire::PlaceCall sent = call;
  sent.heartbeat_seen = peer->last_heartbeat.sequence;
  MarkRunning(record, peer->name, peer->last_heartbeat.incarnation,
              TaskPhase::kSent);
  peer_capacity_.NoteSent(peer->name, request);
  context_.peers.Place(
      peer->address, sent,
      [this, id = record.spec.id, attempt = record.attempt, name = peer->name,
       request](const Result<wire::PlaceReply>& reply) {
        OnPlaceReply(id, attempt, name, request, reply);
      });
  return true;
}

void Requests::MarkRunning(Record& record, const std::string& controller,
                           int64_t incarnation, TaskPhase phase) {
  record.phase = Phase::kRunning;
  record.placed_at = context_.executor.Now();
  record.resolving = false;
  record.fenced_everywhere = false;
  record.tasks.assign(static_cast<size_t>(record.spec.tasks),
                      TaskRecord{.phase = phase,
                                 .controller = controller,
                                 .controller_incarnation = incarnation});
  SetCountedRunning(record, true);
}

void Requests::NoteStarted(Record& record) {
  ++record.started_attempts;
  ++rate_starts_;
  retry_budget_.NoteStart(record.treatment.rule);
  SetExpiry(record, TimePoint::max());
  if (record.started_once) return;
  record.started_once = true;
  record.waited = std::chrono::duration_cast<Millis>(context_.executor.Now() -
                                                     record.submitted_at);
  context_.on_first_start(record);
}

void Requests::OnPlaceReply(const std::string& id, int32_t attempt,
                            const std::string& peer,
                            const placement::PlacementRequest& request,
                            const Result<wire::PlaceReply>& reply) {
  Record* record = FindMutable(id);
  if (record == nullptr || record->attempt != attempt ||
      record->phase != Phase::kRunning) {
    return;
  }
  const bool never_sent =
      !reply.ok() && reply.error().code == Errc::kUnavailable;
  if (!reply.ok() && !never_sent) return StartResolving(*record);
  if (reply.ok() && reply.value().status == wire::PlaceStatus::kAccepted) {
    for (TaskRecord& task : record->tasks) {
      if (task.phase == TaskPhase::kSent) task.phase = TaskPhase::kAccepted;
    }
    return NoteStarted(*record);
  }
  if (reply.ok() && reply.value().status == wire::PlaceStatus::kFenced) {
    return End(*record, wire::Verdict::kUnknown,
               "another entry has reclaimed the request; query its id for the "
               "outcome");
  }
  peer_capacity_.NoteRefused(
      peer, placement::PlacementRequest{.size = request.size,
                                        .tasks = request.tasks});
  SetCountedRunning(*record, false);
  if (record->cancelled) {
    return End(*record, wire::Verdict::kCancelled,
               "before it started: not run");
  }
  Enqueue(*record);
}

}  // namespace mimosarail::requests
