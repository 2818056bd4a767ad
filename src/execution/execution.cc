#include "src/execution/execution.h"

#include <algorithm>

#include "src/libs/base/digest.h"
#include "src/libs/base/soft_assert.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::execution {
namespace {

using wire::TaskEnd;

constexpr int kIndexDigits = 6;

std::string Padded(int32_t index) {
  std::string digits = std::to_string(index);
  return std::string(
             kIndexDigits - std::min<size_t>(kIndexDigits, digits.size()),
             '0') +
         digits;
}

TaskEnd::type EndOf(wire::TaskState::type state) {
  switch (state) {
    case wire::TaskState::kFinished:
      return TaskEnd::kDone;
    case wire::TaskState::kFailed:
      return TaskEnd::kFailed;
    case wire::TaskState::kStopped:
      return TaskEnd::kStopped;
    case wire::TaskState::kLapsed:
      return TaskEnd::kLapsed;
    case wire::TaskState::kRunning:
      break;
  }
  return TaskEnd::kLost;
}

}  // namespace

std::string TaskId(const std::string& request_id, int32_t attempt,
                   int32_t index) {
  return request_id + "/" + std::to_string(attempt) + "/" + Padded(index);
}

placement::Ask MakeAsk(const wire::AttemptContext& context, int32_t tasks,
                       TimePoint now) {
  const wire::RequestSpec& spec = context.spec;
  return {.size = placement::TaskAmount(spec.size),
          .tasks = tasks,
          .spread = context.treatment.goal == wire::PlacementGoal::kSpread,
          .group = Hash64(spec.work),
          .failure_domains = &spec.failure_domains,
          .racks = &spec.racks,
          .now = now,
          .urgent = context.treatment.priority == 0};
}

Execution::Execution(Executor& executor, requests::PeerPort& peers,
                     ExecutionOptions options, RouteTo route,
                     std::function<bool(const wire::ReportCall&)> report_here,
                     std::function<void()> room_changed)
    : executor_(executor),
      peers_(peers),
      options_(options),
      route_(std::move(route)),
      report_here_(std::move(report_here)),
      room_changed_(std::move(room_changed)),
      policy_(placement::MakeScoredPolicy(options.seed)) {}

void Execution::Start() {
  RunEvery(executor_, options_.report_retry, [this] { Sweep(); });
}

bool Execution::Fenced(const std::string& request_id, int32_t attempt) const {
  const auto found = fences_.find(request_id);
  return found != fences_.end() && attempt < found->second.below;
}

Execution::Held* Execution::FindHeld(const std::string& task_id) {
  const auto found = held_.find(task_id);
  return found == held_.end() ? nullptr : &found->second;
}

wire::PlaceReply Execution::Place(const wire::PlaceCall& call) {
  const wire::RequestSpec& spec = call.context.spec;
  wire::PlaceReply reply;
  // The owner, or an entry that took the request over, has been told that
  // this attempt is not here and never will be: a call that was delayed on
  // the way must not start it now.
  if (Fenced(spec.id, call.attempt)) {
    reply.status = wire::PlaceStatus::kFenced;
    return reply;
  }
  const bool held =
      std::any_of(call.indices.begin(), call.indices.end(), [&](int32_t index) {
        return held_.contains(TaskId(spec.id, call.attempt, index));
      });
  if (held) {
    reply.status = wire::PlaceStatus::kAccepted;
    return reply;
  }
  const auto tasks = static_cast<int32_t>(call.indices.size());
  placement::Ask ask = MakeAsk(call.context, tasks, executor_.Now());
  ask.urgent |= call.use_reserve;
  const auto rows = policy_->Place(controller_->room(), ask);
  if (rows.empty()) {
    reply.status = wire::PlaceStatus::kNoRoom;
    reply.detail = placement::ExplainNoRoom(controller_->room(), ask);
    return reply;
  }
  StartOn(call, rows);
  reply.status = wire::PlaceStatus::kAccepted;
  return reply;
}

void Execution::StartOn(const wire::PlaceCall& call,
                        const std::vector<placement::RowId>& rows) {
  const wire::RequestSpec& spec = call.context.spec;
  // The upstream carries the context back to whoever controls it next; the
  // payload is in the task already.
  wire::AttemptContext context = call.context;
  context.spec.payload.clear();
  const std::string context_bytes = rpc::Encode(context);
  std::vector<std::pair<control::UpstreamSession*, wire::TaskSpec>> starts;
  for (size_t i = 0; i < rows.size(); ++i) {
    control::UpstreamSession* session = controller_->OnRow(rows[i]);
    wire::TaskSpec task;
    task.task_id = TaskId(spec.id, call.attempt, call.indices[i]);
    task.request_id = spec.id;
    task.attempt = call.attempt;
    task.index = call.indices[i];
    task.size = spec.size;
    task.run_ms = spec.run_ms;
    task.work = spec.work;
    task.payload = spec.payload;
    task.context = context_bytes;
    Held& held = held_[task.task_id];
    held.context = context;
    held.task = task;
    held.task.payload.clear();
    held.upstream = session->listed().name;
    starts.emplace_back(session, std::move(task));
  }
  for (auto& [session, task] : starts) {
    ++starts_;
    session->Start(task);
  }
}

void Execution::Find(const wire::FindCall& call, wire::FindReply& reply) {
  if (call.fence_below > 0) {
    Fence& fence = fences_[call.request_id];
    if (call.fence_below > fence.below) {
      fence.below = call.fence_below;
      fence.set_at = executor_.Now();
    }
    // A process that was paused believes that it controls what others have
    // taken since. Only control that the upstream confirmed after the fence
    // proves that no start of another term is still to come.
    reply.attached = controller_->AttachedSince(fence.set_at);
  }
  const auto fence = fences_.find(call.request_id);
  if (fence != fences_.end()) reply.fence_below = fence->second.below;
  const std::string prefix = call.request_id + "/";
  for (auto it = held_.lower_bound(prefix);
       it != held_.end() && it->first.starts_with(prefix); ++it) {
    const Held& held = it->second;
    wire::TaskWord word;
    word.attempt = held.task.attempt;
    word.index = held.task.index;
    word.ended = held.ended;
    word.upstream = held.upstream;
    word.tasks = held.context.spec.tasks;
    if (held.ended) word.report = held.report;
    reply.tasks.push_back(std::move(word));
  }
}

bool Execution::Stop(const std::string& request_id) {
  bool any = false;
  const std::string prefix = request_id + "/";
  for (auto it = held_.lower_bound(prefix);
       it != held_.end() && it->first.starts_with(prefix); ++it) {
    Held& held = it->second;
    if (held.ended) continue;
    any = true;
    held.stopping = true;
    control::UpstreamSession* session = controller_->Find(held.upstream);
    if (session != nullptr) session->Stop({it->first});
  }
  return any;
}

bool Execution::Preempt(const wire::PlaceCall& call) {
  // The least urgent repeatable tasks on one upstream whose room, together
  // with what is free there, holds one task of the call.
  const placement::Ask ask = MakeAsk(call.context, 1, executor_.Now());
  std::map<std::string, std::vector<const Held*>> by_upstream;
  for (const auto& [id, held] : held_) {
    const bool may =
        !held.ended && !held.stopping && held.context.spec.repeatable &&
        held.context.spec.kind == wire::WorkKind::kBatch &&
        held.context.treatment.priority > call.context.treatment.priority;
    if (may) by_upstream[held.upstream].push_back(&held);
  }
  std::vector<std::string> best;
  std::string best_upstream;
  for (auto& [upstream, candidates] : by_upstream) {
    control::UpstreamSession* session = controller_->Find(upstream);
    if (session == nullptr || !session->usable()) continue;
    const placement::Row& row = controller_->room().row(session->row());
    if (!placement::Allows(ask, controller_->room().racks()[row.rack])) {
      continue;
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const Held* a, const Held* b) {
          return a->context.treatment.priority > b->context.treatment.priority;
        });
    placement::Amount room = row.free;
    std::vector<std::string> victims;
    for (const Held* held : candidates) {
      if (ask.size.FitsIn(room)) break;
      room += placement::TaskAmount(held->task.size);
      victims.push_back(held->task.task_id);
    }
    if (!ask.size.FitsIn(room) || victims.empty()) continue;
    if (best.empty() || victims.size() < best.size()) {
      best = std::move(victims);
      best_upstream = upstream;
    }
  }
  if (best.empty()) return false;
  for (const std::string& id : best) held_[id].stopping = true;
  control::UpstreamSession* session = controller_->Find(best_upstream);
  session->Steer(wire::SteerAction::kCheckpoint, best, 0);
  session->Stop(best);
  return true;
}

std::vector<std::string> Execution::HeldOn(const std::string& upstream) const {
  std::vector<std::string> out;
  for (const auto& [id, held] : held_) {
    if (held.upstream == upstream && !held.ended) out.push_back(id);
  }
  return out;
}

bool Execution::OnFound(const std::string& upstream,
                        const wire::TaskSpec& task) {
  Held& held = held_[task.task_id];
  held.task = task;
  held.task.payload.clear();
  held.upstream = upstream;
  held.ended = false;
  held.serial = ++last_serial_;
  rpc::DecodeInto(task.context, held.context);
  return !Fenced(task.request_id, task.attempt) && !held.stopping;
}

void Execution::OnEnded(const std::string& upstream,
                        const wire::TaskStatus& status) {
  End(upstream, status.spec, EndOf(status.state), "", &status);
}

void Execution::OnNotStarted(const std::string& upstream,
                             const wire::TaskSpec& task,
                             const std::string& reason) {
  End(upstream, task, TaskEnd::kNotStarted, reason, nullptr);
}

void Execution::OnLost(const std::string& upstream,
                       const wire::TaskSpec& task) {
  End(upstream, task, TaskEnd::kLost, "gone from the inventory", nullptr);
}

void Execution::OnLapseAssumed(const std::string& upstream,
                               const wire::TaskSpec& task) {
  End(upstream, task, TaskEnd::kLapseAssumed, "upstream silent past the lease",
      nullptr, true);
}

void Execution::OnMoved(const std::string& upstream, const wire::TaskSpec& task,
                        bool began) {
  End(upstream, task, TaskEnd::kMoved, "another controller has the upstream",
      nullptr, began);
}

void Execution::End(const std::string& upstream, const wire::TaskSpec& task,
                    TaskEnd::type end, const std::string& reason,
                    const wire::TaskStatus* status, bool began) {
  Held& held = held_[task.task_id];
  if (held.ended && held.report.result == TaskEnd::kDone) return;
  if (held.task.task_id.empty()) {
    // An end found in the inventory of an upstream that was taken over.
    held.task = task;
    held.task.payload.clear();
    rpc::DecodeInto(task.context, held.context);
  }
  held.upstream = upstream;
  held.ended = true;
  held.serial = ++last_serial_;
  held.ended_at = executor_.Now();
  wire::ReportCall& report = held.report;
  report = wire::ReportCall();
  report.request_id = task.request_id;
  report.attempt = task.attempt;
  report.index = task.index;
  report.result = end;
  report.reason = reason;
  report.upstream = upstream;
  report.began = began;
  held.kept_upstream = status != nullptr;
  report.owner_incarnation = held.context.owner_incarnation;
  if (status != nullptr) {
    report.answer = status->answer;
    report.digest = status->answer_digest;
    report.ran_ms = status->ran_ms;
  }
  Report(task.task_id);
}

void Execution::Report(const std::string& task_id) {
  Held* held = FindHeld(task_id);
  if (held == nullptr || !held->ended || held->reporting) return;
  const OwnerRoute route =
      route_(held->context.owner, held->context.owner_incarnation);
  if (route.self) {
    const uint64_t serial = held->serial;
    return OnReported(task_id, serial, report_here_(held->report));
  }
  if (!route.alive) return;
  held->reporting = true;
  ++reports_;
  peers_.Report(route.address, held->report,
                [this, task_id, serial = held->serial](
                    const Result<wire::ReportReply>& reply) {
                  Held* reported = FindHeld(task_id);
                  if (reported == nullptr) return;
                  reported->reporting = false;
                  if (reply.ok()) {
                    OnReported(task_id, serial, reply.value().taken);
                  }
                });
}

void Execution::OnReported(const std::string& task_id, uint64_t serial,
                           bool taken) {
  const Held* held = FindHeld(task_id);
  // The word may have changed while the report was on its way: an upstream
  // that moved away and came back has the task running again.
  if (!taken || held == nullptr || held->serial != serial) return;
  Forget(task_id);
}

/// Only now may the upstream forget the end: until the owner has it, the
/// upstream's inventory is what survives the death of this entry.
void Execution::Forget(const std::string& task_id) {
  const auto found = held_.find(task_id);
  if (found == held_.end()) return;
  control::UpstreamSession* session = controller_->Find(found->second.upstream);
  // A task that only was assumed lapsed, or moved away, may still run there:
  // releasing it would have its later end forgotten before it is told.
  if (session != nullptr && found->second.kept_upstream) {
    session->Release(task_id);
  }
  held_.erase(found);
}

void Execution::Sweep() {
  const TimePoint now = executor_.Now();
  std::vector<std::string> old;
  std::vector<std::string> due;
  for (const auto& [id, held] : held_) {
    if (!held.ended) continue;
    (now - held.ended_at > options_.keep_ends ? old : due).push_back(id);
  }
  for (const std::string& id : old) Forget(id);
  for (const std::string& id : due) Report(id);
  std::erase_if(fences_, [&](const auto& entry) {
    return now - entry.second.set_at > options_.keep_ends;
  });
}

}  // namespace mimosarail::execution
