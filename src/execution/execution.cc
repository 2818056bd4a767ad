#include "src/execution/execution.h"

#include <algorithm>

#include "src/libs/base/digest.h"
#include "src/libs/base/soft_assert.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::execution {
namespace {

using wire::TaskEnd;

constexpr int kIndexDigits = 6;

std::string ZeroPadded(int32_t index) {
  std::string digits = std::to_string(index);
  return std::string(
             kIndexDigits - std::min<size_t>(kIndexDigits, digits.size()),
             '0') +
         digits;
}

TaskEnd::type ToTaskEnd(wire::TaskState::type state) {
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
  return request_id + "/" + std::to_string(attempt) + "/" + ZeroPadded(index);
}

placement::PlacementRequest MakePlacementRequest(
    const wire::AttemptContext& context, int32_t tasks, TimePoint now) {
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

Execution::Execution(
    Executor& executor, requests::PeerPort& peers, ExecutionOptions options,
    FindOwner find_owner,
    std::function<bool(const wire::ReportCall&)> report_locally,
    std::function<void()> capacity_changed)
    : executor_(executor),
      peers_(peers),
      options_(options),
      find_owner_(std::move(find_owner)),
      report_locally_(std::move(report_locally)),
      capacity_changed_(std::move(capacity_changed)),
      policy_(placement::MakeScoredPolicy(options.seed)) {}

void Execution::Start() {
  RunEvery(executor_, options_.report_retry, [this] { RetryReports(); });
}

bool Execution::IsFenced(const std::string& request_id, int32_t attempt) const {
  const auto found = fences_.find(request_id);
  return found != fences_.end() && attempt < found->second.below;
}

Execution::ManagedTask* Execution::FindTask(const std::string& task_id) {
  const auto found = tasks_.find(task_id);
  return found == tasks_.end() ? nullptr : &found->second;
}

wire::PlaceReply Execution::Place(const wire::PlaceCall& call) {
  const wire::RequestSpec& spec = call.context.spec;
  wire::PlaceReply reply;
  // This entry has answered the owner, or an entry that reclaims the request,
  // that it does not have this attempt and will not accept it. A delayed call
  // must not start it now.
  if (IsFenced(spec.id, call.attempt)) {
    reply.status = wire::PlaceStatus::kFenced;
    return reply;
  }
  const bool already_placed =
      std::any_of(call.indices.begin(), call.indices.end(), [&](int32_t index) {
        return tasks_.contains(TaskId(spec.id, call.attempt, index));
      });
  if (already_placed) {
    reply.status = wire::PlaceStatus::kAccepted;
    return reply;
  }
  const auto tasks = static_cast<int32_t>(call.indices.size());
  placement::PlacementRequest request =
      MakePlacementRequest(call.context, tasks, executor_.Now());
  request.urgent |= call.use_reserve;
  const auto upstreams = policy_->Place(controller_->capacity(), request);
  if (upstreams.empty()) {
    reply.status = wire::PlaceStatus::kNoRoom;
    reply.detail =
        placement::ExplainNoCapacity(controller_->capacity(), request);
    return reply;
  }
  StartOn(call, upstreams);
  reply.status = wire::PlaceStatus::kAccepted;
  return reply;
}

void Execution::StartOn(
    const wire::PlaceCall& call,
    const std::vector<placement::CapacityIndex>& upstreams) {
  const wire::RequestSpec& spec = call.context.spec;
  // The upstream returns the context to its next controller. The payload is
  // already part of the task.
  wire::AttemptContext context = call.context;
  context.spec.payload.clear();
  const std::string context_bytes = rpc::Encode(context);
  std::vector<std::pair<control::UpstreamSession*, wire::TaskSpec>> starts;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    control::UpstreamSession* session = controller_->SessionAt(upstreams[i]);
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
    ManagedTask& managed = tasks_[task.task_id];
    managed.context = context;
    managed.task = task;
    managed.task.payload.clear();
    managed.upstream = session->listed().name;
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
    // After a process pause this entry may still list upstreams that other
    // entries have attached since. Only control that the upstream confirmed
    // after the fence proves that no start of another term can follow.
    reply.attached = controller_->AttachedSince(fence.set_at);
  }
  const auto fence = fences_.find(call.request_id);
  if (fence != fences_.end()) reply.fence_below = fence->second.below;
  const std::string prefix = call.request_id + "/";
  for (auto it = tasks_.lower_bound(prefix);
       it != tasks_.end() && it->first.starts_with(prefix); ++it) {
    const ManagedTask& managed = it->second;
    wire::TaskReport report;
    report.attempt = managed.task.attempt;
    report.index = managed.task.index;
    report.ended = managed.ended;
    report.upstream = managed.upstream;
    report.tasks = managed.context.spec.tasks;
    if (managed.ended) report.report = managed.report;
    reply.tasks.push_back(std::move(report));
  }
}

bool Execution::Stop(const std::string& request_id) {
  bool any = false;
  const std::string prefix = request_id + "/";
  for (auto it = tasks_.lower_bound(prefix);
       it != tasks_.end() && it->first.starts_with(prefix); ++it) {
    ManagedTask& managed = it->second;
    if (managed.ended) continue;
    any = true;
    managed.stopping = true;
    control::UpstreamSession* session = controller_->Find(managed.upstream);
    if (session != nullptr) session->Stop({it->first});
  }
  return any;
}

bool Execution::Preempt(const wire::PlaceCall& call) {
  // For each upstream, selects the tasks with the least urgent priority whose
  // resources, together with the free capacity there, suffice for one task of
  // the call. Uses the upstream where the fewest tasks have to stop.
  const placement::PlacementRequest request =
      MakePlacementRequest(call.context, 1, executor_.Now());
  std::map<std::string, std::vector<const ManagedTask*>> by_upstream;
  for (const auto& [id, managed] : tasks_) {
    const bool preemptible =
        !managed.ended && !managed.stopping &&
        managed.context.spec.repeatable &&
        managed.context.spec.kind == wire::WorkKind::kBatch &&
        managed.context.treatment.priority > call.context.treatment.priority;
    if (preemptible) by_upstream[managed.upstream].push_back(&managed);
  }
  std::vector<std::string> best;
  std::string best_upstream;
  for (auto& [upstream, candidates] : by_upstream) {
    control::UpstreamSession* session = controller_->Find(upstream);
    if (session == nullptr || !session->usable()) continue;
    const placement::UpstreamCapacity& upstream_capacity =
        controller_->capacity().upstream(session->capacity_index());
    if (!placement::Allows(
            request, controller_->capacity().racks()[upstream_capacity.rack])) {
      continue;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const ManagedTask* a, const ManagedTask* b) {
                return a->context.treatment.priority >
                       b->context.treatment.priority;
              });
    placement::Amount freed = upstream_capacity.free;
    std::vector<std::string> victims;
    for (const ManagedTask* managed : candidates) {
      if (request.size.FitsIn(freed)) break;
      freed += placement::TaskAmount(managed->task.size);
      victims.push_back(managed->task.task_id);
    }
    if (!request.size.FitsIn(freed) || victims.empty()) continue;
    if (best.empty() || victims.size() < best.size()) {
      best = std::move(victims);
      best_upstream = upstream;
    }
  }
  if (best.empty()) return false;
  for (const std::string& id : best) tasks_[id].stopping = true;
  control::UpstreamSession* session = controller_->Find(best_upstream);
  session->Steer(wire::SteerAction::kCheckpoint, best, 0);
  session->Stop(best);
  return true;
}

std::vector<std::string> Execution::RunningTasksOn(
    const std::string& upstream) const {
  std::vector<std::string> out;
  for (const auto& [id, managed] : tasks_) {
    if (managed.upstream == upstream && !managed.ended) out.push_back(id);
  }
  return out;
}

bool Execution::OnFound(const std::string& upstream,
                        const wire::TaskSpec& task) {
  ManagedTask& managed = tasks_[task.task_id];
  managed.task = task;
  managed.task.payload.clear();
  managed.upstream = upstream;
  managed.ended = false;
  managed.serial = ++last_serial_;
  rpc::DecodeInto(task.context, managed.context);
  return !IsFenced(task.request_id, task.attempt) && !managed.stopping;
}

void Execution::OnEnded(const std::string& upstream,
                        const wire::TaskStatus& status) {
  End(upstream, status.spec, ToTaskEnd(status.state), "", &status);
}

void Execution::OnNotStarted(const std::string& upstream,
                             const wire::TaskSpec& task,
                             const std::string& reason) {
  End(upstream, task, TaskEnd::kNotStarted, reason, nullptr);
}

void Execution::OnLost(const std::string& upstream,
                       const wire::TaskSpec& task) {
  End(upstream, task, TaskEnd::kLost,
      "no longer in the inventory of the upstream", nullptr);
}

void Execution::OnLeaseAssumedExpired(const std::string& upstream,
                                      const wire::TaskSpec& task) {
  End(upstream, task, TaskEnd::kLapseAssumed,
      "upstream unresponsive for longer than the lease", nullptr, true);
}

void Execution::OnControlMoved(const std::string& upstream,
                               const wire::TaskSpec& task, bool began) {
  End(upstream, task, TaskEnd::kMoved,
      "another controller has attached the upstream", nullptr, began);
}

void Execution::End(const std::string& upstream, const wire::TaskSpec& task,
                    TaskEnd::type end, const std::string& reason,
                    const wire::TaskStatus* status, bool began) {
  ManagedTask& managed = tasks_[task.task_id];
  if (managed.ended && managed.report.result == TaskEnd::kDone) return;
  if (managed.task.task_id.empty()) {
    // The result was found in the inventory of a newly attached upstream.
    managed.task = task;
    managed.task.payload.clear();
    rpc::DecodeInto(task.context, managed.context);
  }
  managed.upstream = upstream;
  managed.ended = true;
  managed.serial = ++last_serial_;
  managed.ended_at = executor_.Now();
  wire::ReportCall& report = managed.report;
  report = wire::ReportCall();
  report.request_id = task.request_id;
  report.attempt = task.attempt;
  report.index = task.index;
  report.result = end;
  report.reason = reason;
  report.upstream = upstream;
  report.began = began;
  managed.upstream_stores_result = status != nullptr;
  report.owner_incarnation = managed.context.owner_incarnation;
  if (status != nullptr) {
    report.answer = status->answer;
    report.digest = status->answer_digest;
    report.ran_ms = status->ran_ms;
  }
  Report(task.task_id);
}

void Execution::Report(const std::string& task_id) {
  ManagedTask* managed = FindTask(task_id);
  if (managed == nullptr || !managed->ended || managed->reporting) return;
  const OwnerLocation owner =
      find_owner_(managed->context.owner, managed->context.owner_incarnation);
  if (owner.is_self) {
    const uint64_t serial = managed->serial;
    return OnReported(task_id, serial, report_locally_(managed->report));
  }
  if (!owner.alive) return;
  managed->reporting = true;
  ++reports_;
  peers_.Report(owner.address, managed->report,
                [this, task_id, serial = managed->serial](
                    const Result<wire::ReportReply>& reply) {
                  ManagedTask* reported = FindTask(task_id);
                  if (reported == nullptr) return;
                  reported->reporting = false;
                  if (reply.ok()) {
                    OnReported(task_id, serial, reply.value().taken);
                  }
                });
}

void Execution::OnReported(const std::string& task_id, uint64_t serial,
                           bool received) {
  const ManagedTask* managed = FindTask(task_id);
  // The state may have changed while the report was in flight. For example, the
  // task is running again if its upstream moved to another controller and back.
  if (!received || managed == nullptr || managed->serial != serial) return;
  Forget(task_id);
}

/// Discards the task and releases its result at the upstream. Must not be
/// called before the owner has the result, unless the result is older than
/// end_retention: only the inventory of the upstream survives a crash of this
/// entry.
void Execution::Forget(const std::string& task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;
  control::UpstreamSession* session = controller_->Find(found->second.upstream);
  // A task whose lease expiry was only assumed, or whose upstream moved to
  // another controller, may still run there. Releasing it would discard its
  // later result before that is reported.
  if (session != nullptr && found->second.upstream_stores_result) {
    session->Release(task_id);
  }
  tasks_.erase(found);
}

/// Reports each result again that its owner has not received. Discards results
/// and fences that are older than end_retention.
void Execution::RetryReports() {
  const TimePoint now = executor_.Now();
  std::vector<std::string> expired;
  std::vector<std::string> due;
  for (const auto& [id, managed] : tasks_) {
    if (!managed.ended) continue;
    (now - managed.ended_at > options_.end_retention ? expired : due)
        .push_back(id);
  }
  for (const std::string& id : expired) Forget(id);
  for (const std::string& id : due) Report(id);
  std::erase_if(fences_, [&](const auto& entry) {
    return now - entry.second.set_at > options_.end_retention;
  });
}

}  // namespace mimosarail::execution
