#include "src/control/upstream_session.h"

#include <algorithm>
#include <utility>

#include "src/libs/base/digest.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/soft_assert.h"
#include "src/libs/logging/log.h"

namespace mimosarail::control {
namespace {

constexpr EnumTable kPhaseNames{std::array{
    EnumName{SessionPhase::kIdle, "idle"},
    EnumName{SessionPhase::kAttaching, "attaching"},
    EnumName{SessionPhase::kReady, "ready"},
}};

/// Number of renewals within one lease duration.
constexpr int kRenewalsPerLease = 3;
constexpr int kCollectAttempts = 3;

bool IsComplete(const wire::TaskStatus& status) {
  return static_cast<int64_t>(status.answer.size()) == status.answer_length &&
         Digest(status.answer) == status.answer_digest;
}

}  // namespace

std::string_view SessionPhaseName(SessionPhase phase) {
  return kPhaseNames.Name(phase);
}

uint64_t UpstreamSession::GroupOf(const wire::TaskSpec& task) {
  return Hash64(task.work);
}

UpstreamSession::UpstreamSession(Executor& executor, ports::UpstreamPort& port,
                                 placement::CapacityTable& capacity,
                                 SessionListener& listener,
                                 SessionOptions options,
                                 wire::ListedInstance listed)
    : executor_(executor),
      port_(port),
      capacity_(capacity),
      listener_(listener),
      options_(std::move(options)),
      listed_(std::move(listed)),
      attach_retry_(options_.attach_retry),
      contention_backoff_(options_.contention_backoff_initial),
      random_(options_.seed ^ Hash64(listed_.name)) {
  capacity_index_ = capacity_.Add(
      {.name = listed_.name,
       .rack = listed_.rack,
       .failure_domain = listed_.failure_domain,
       .capacity = placement::ToAmount(listed_.capacity, listed_.slots)});
}

bool UpstreamSession::usable() const {
  return phase_ == SessionPhase::kReady && preferred_ && !delisted_ &&
         listed_.state == wire::ListedState::kLive;
}

bool UpstreamSession::finished() const {
  if (!tasks_.empty() || preferred_) return false;
  return delisted_ || phase_ == SessionPhase::kIdle;
}

/// Wraps `handle` so that replies to calls made before the last attach or the
/// last loss of contact or control are dropped: a delayed renewal reply would
/// restore tasks that the new inventory has already resolved.
template <typename Reply>
Callback<Reply> UpstreamSession::ForCurrentGeneration(
    std::function<void(const Result<Reply>&)> handle) {
  return [weak = weak_from_this(), generation = generation_,
          handle = std::move(handle)](const Result<Reply>& reply) {
    const auto self = weak.lock();
    if (self && self->generation_ == generation) handle(reply);
  };
}

void UpstreamSession::SetPreferred(bool preferred) {
  if (preferred_ == preferred) return;
  preferred_ = preferred;
  UpdateUsable();
  if (preferred_ && phase_ == SessionPhase::kIdle) Attach();
}

void UpstreamSession::Update(const wire::ListedInstance& listed) {
  delisted_ = false;
  listed_ = listed;
  capacity_.SetCapacity(capacity_index_,
                        placement::ToAmount(listed.capacity, listed.slots));
  UpdateUsable();
}

void UpstreamSession::UpdateUsable() {
  const bool was_usable = capacity_.upstream(capacity_index_).usable;
  capacity_.SetUsable(capacity_index_, usable());
  if (was_usable != usable()) listener_.OnCapacityChanged();
}

void UpstreamSession::Attach() {
  // Attaching without being the preferred controller would take the upstream
  // from the entry that is. The owners of the tasks query that entry for them.
  if (!preferred_) return HandOver();
  phase_ = SessionPhase::kAttaching;
  UpdateUsable();
  ++generation_;
  // The term is also increased if the reply to the last attach was lost: that
  // attach may have taken effect, and only a higher term fences the calls sent
  // under its term.
  term_ = std::max(highest_seen_term_, term_) + 1;
  highest_seen_term_ = term_;
  wire::AttachCall call;
  call.upstream = listed_.name;
  call.controller = options_.controller;
  call.term = term_;
  port_.Attach(listed_.address, call,
               ForCurrentGeneration<wire::AttachReply>(
                   [this](const auto& reply) { OnAttach(reply); }));
}

void UpstreamSession::AttachLater(Millis delay) {
  if (attach_pending_) return;
  attach_pending_ = true;
  const auto jitter = Millis(static_cast<int64_t>(
      random_() % static_cast<uint64_t>(delay.count() / 2 + 1)));
  executor_.RunAfter(delay + jitter, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->attach_pending_ = false;
    self->CheckLeaseExpiry();
    if (self->phase_ != SessionPhase::kReady) self->Attach();
  });
}

void UpstreamSession::OnAttach(const Result<wire::AttachReply>& reply) {
  if (!reply.ok()) {
    AttachLater(attach_retry_);
    attach_retry_ = std::min(attach_retry_ * 2, options_.attach_retry_max);
    return;
  }
  attach_retry_ = options_.attach_retry;
  if (reply.value().status != wire::CallStatus::kOk) {
    highest_seen_term_ = std::max(highest_seen_term_, reply.value().term);
    if (executor_.Now() < contention_backoff_until_) {
      return AttachLater(contention_backoff_);
    }
    return Attach();
  }
  phase_ = SessionPhase::kReady;
  logging::Event(logging::Level::kInfo, "upstream_attached",
                 {{"upstream", listed_.name},
                  {"term", std::to_string(term_)},
                  {"tasks", std::to_string(reply.value().inventory.size())}});
  AdoptInventory(reply.value());
}

/// Adopts the tasks that were started under older terms. Every start of an
/// older term is fenced from now on, so a start in doubt whose task is absent
/// from the inventory can no longer take effect.
void UpstreamSession::AdoptInventory(const wire::AttachReply& reply) {
  capacity_.SetCapacity(capacity_index_,
                        placement::ToAmount(reply.capacity, reply.slots));
  std::map<std::string, Task> before = RemoveAllTasks();
  last_result_sequence_ = 0;
  const uint64_t generation = generation_;
  std::vector<std::string> unwanted;
  for (const wire::TaskStatus& status : reply.inventory) {
    before.erase(status.spec.task_id);
    AdoptTask(status, unwanted);
  }
  for (const auto& [id, task] : before) {
    if (task.phase == TaskPhase::kRunning) {
      listener_.OnLost(listed_.name, task.spec);
    } else {
      listener_.OnNotStarted(listed_.name, task.spec,
                             "absent from the inventory after fencing");
    }
  }
  if (generation != generation_) return;
  StopUnwantedThenRenew(unwanted);
}

void UpstreamSession::AdoptTask(const wire::TaskStatus& status,
                                std::vector<std::string>& unwanted) {
  if (status.state != wire::TaskState::kRunning) {
    return HandleTaskEnd(status);
  }
  tasks_[status.spec.task_id] = {status.spec, TaskPhase::kRunning};
  capacity_.ForceReserve(capacity_index_,
                         placement::TaskAmount(status.spec.size),
                         GroupOf(status.spec));
  if (!listener_.OnFound(listed_.name, status.spec)) {
    unwanted.push_back(status.spec.task_id);
  }
}

/// The lease of a task whose attempt was abandoned must not be renewed: its
/// owner may have started it elsewhere once the lease was certain to have
/// expired.
void UpstreamSession::StopUnwantedThenRenew(
    const std::vector<std::string>& unwanted) {
  if (unwanted.empty()) {
    UpdateUsable();
    Renew();
    return listener_.OnCapacityChanged();
  }
  wire::SteerCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.action = wire::SteerAction::kStop;
  call.tasks = unwanted;
  port_.Steer(listed_.address, call,
              ForCurrentGeneration<wire::SteerReply>([this](const auto& reply) {
                if (!reply.ok()) return LoseContact();
                if (reply.value().status != wire::CallStatus::kOk) {
                  return LoseControl(reply.value().term);
                }
                UpdateUsable();
                Renew();
                listener_.OnCapacityChanged();
              }));
}

void UpstreamSession::RecordLeaseExtension() {
  last_lease_extension_ = executor_.Now();
}

void UpstreamSession::Renew() {
  wire::RenewCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.lease_ms = options_.lease.count();
  call.wait_ms = options_.lease.count() / kRenewalsPerLease;
  call.seen = last_result_sequence_;
  call.release = std::exchange(pending_releases_, {});
  RecordLeaseExtension();
  port_.Renew(listed_.address, call,
              ForCurrentGeneration<wire::RenewReply>(
                  [this, released = call.release, sent = executor_.Now()](
                      const auto& reply) { OnRenew(reply, released, sent); }));
}

void UpstreamSession::OnRenew(const Result<wire::RenewReply>& reply,
                              const std::vector<std::string>& released,
                              TimePoint sent) {
  if (!reply.ok()) {
    // Releasing a task twice has no effect. If it were never released, the
    // upstream would keep its result and run out of space.
    pending_releases_.insert(pending_releases_.end(), released.begin(),
                             released.end());
    return LoseContact();
  }
  if (reply.value().status != wire::CallStatus::kOk) {
    return LoseControl(reply.value().term);
  }
  contention_backoff_ = options_.contention_backoff_initial;
  last_confirmed_renewal_ = sent;
  for (const wire::TaskStatus& status : reply.value().ended) {
    HandleTaskEnd(status);
  }
  Renew();
}

void UpstreamSession::Start(const wire::TaskSpec& task) {
  MR_EXPECT(phase_ == SessionPhase::kReady,
            return listener_.OnNotStarted(listed_.name, task,
                                          "upstream is not attached"));
  tasks_[task.task_id] = {task, TaskPhase::kStarting};
  wire::StartCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.lease_ms = options_.lease.count();
  call.task = task;
  RecordLeaseExtension();
  port_.Start(listed_.address, call,
              ForCurrentGeneration<wire::StartReply>(
                  [this, id = task.task_id](const auto& reply) {
                    OnStart(id, reply);
                  }));
}

void UpstreamSession::OnStart(const std::string& task_id,
                              const Result<wire::StartReply>& reply) {
  const auto found = tasks_.find(task_id);
  // The task may have ended before the reply arrived.
  if (found == tasks_.end()) return;
  if (!reply.ok() && reply.error().code != Errc::kUnavailable) {
    // The start is in doubt: the capacity stays reserved until an attach with a
    // higher term resolves it.
    found->second.phase = TaskPhase::kInDoubt;
    return LoseContact();
  }
  if (reply.ok() && reply.value().status == wire::CallStatus::kOk) {
    found->second.phase = TaskPhase::kRunning;
    return;
  }
  const wire::TaskSpec spec = found->second.spec;
  RemoveTask(task_id);
  if (!reply.ok()) {
    listener_.OnNotStarted(listed_.name, spec, reply.error().message);
    return LoseContact();
  }
  listener_.OnNotStarted(listed_.name, spec, "refused by the upstream");
  if (reply.value().status == wire::CallStatus::kStaleTerm) {
    LoseControl(reply.value().term);
  }
}

void UpstreamSession::RemoveTask(const std::string& task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;
  capacity_.Release(capacity_index_,
                    placement::TaskAmount(found->second.spec.size),
                    GroupOf(found->second.spec));
  tasks_.erase(found);
}

void UpstreamSession::HandleTaskEnd(const wire::TaskStatus& status) {
  last_result_sequence_ = std::max(last_result_sequence_, status.sequence);
  const bool answered = status.state == wire::TaskState::kFinished;
  if (answered && !IsComplete(status)) {
    return CollectAnswer(status, kCollectAttempts);
  }
  RemoveTask(status.spec.task_id);
  if (answered) capacity_.NoteSuccess(capacity_index_);
  if (status.state == wire::TaskState::kFailed) {
    capacity_.NoteFailure(capacity_index_, executor_.Now());
  }
  listener_.OnEnded(listed_.name, status);
  listener_.OnCapacityChanged();
}

/// Fetches an answer that was too long for the renewal reply or arrived
/// truncated, until its length and digest match. A truncated answer is never
/// reported.
void UpstreamSession::CollectAnswer(wire::TaskStatus status,
                                    int attempts_left) {
  if (attempts_left == 0) {
    status.state = wire::TaskState::kLapsed;
    status.answer.clear();
    return HandleTaskEnd(status);
  }
  wire::CollectCall call;
  call.upstream = listed_.name;
  call.task_id = status.spec.task_id;
  port_.Collect(listed_.address, call,
                ForCurrentGeneration<wire::CollectReply>(
                    [this, status = std::move(status),
                     attempts_left](const auto& reply) mutable {
                      if (reply.ok() && reply.value().found) {
                        status.answer = reply.value().answer;
                        if (IsComplete(status)) return HandleTaskEnd(status);
                      }
                      CollectAnswer(std::move(status), attempts_left - 1);
                    }));
}

void UpstreamSession::Stop(const std::vector<std::string>& task_ids) {
  Steer(wire::SteerAction::kStop, task_ids, 0);
}

void UpstreamSession::Steer(wire::SteerAction::type action,
                            const std::vector<std::string>& task_ids,
                            int32_t percent) {
  if (phase_ != SessionPhase::kReady || task_ids.empty()) return;
  wire::SteerCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.action = action;
  call.tasks = task_ids;
  call.percent = percent;
  port_.Steer(listed_.address, call,
              ForCurrentGeneration<wire::SteerReply>([this](const auto& reply) {
                if (!reply.ok()) return LoseContact();
                if (reply.value().status == wire::CallStatus::kStaleTerm) {
                  LoseControl(reply.value().term);
                }
              }));
}

void UpstreamSession::Release(const std::string& task_id) {
  pending_releases_.push_back(task_id);
}

/// Another controller has attached with a higher term and is now responsible
/// for the tasks of the upstream. This entry no longer renews their leases or
/// determines their results.
void UpstreamSession::LoseControl(int64_t term) {
  highest_seen_term_ = std::max(highest_seen_term_, term);
  logging::Event(logging::Level::kInfo, "upstream_moved",
                 {{"upstream", listed_.name}, {"term", std::to_string(term)}});
  HandOver();
  if (!preferred_) return;
  // Two entries with different views of the membership would take the upstream
  // from each other repeatedly, and the outcome of its tasks could never be
  // resolved. Each of them therefore waits longer after every loss of control,
  // and an entry that is probably partitioned uses the maximum backoff at once.
  if (minority_) contention_backoff_ = options_.contention_backoff_max;
  contention_backoff_until_ = executor_.Now() + contention_backoff_;
  AttachLater(contention_backoff_);
  contention_backoff_ =
      std::min(contention_backoff_ * 2, options_.contention_backoff_max);
}

void UpstreamSession::HandOver() {
  ++generation_;
  phase_ = SessionPhase::kIdle;
  pending_releases_.clear();
  const std::map<std::string, Task> tasks = RemoveAllTasks();
  UpdateUsable();
  for (const auto& [id, task] : tasks) {
    listener_.OnControlMoved(listed_.name, task.spec,
                             task.phase == TaskPhase::kRunning);
  }
}

std::map<std::string, UpstreamSession::Task> UpstreamSession::RemoveAllTasks() {
  std::map<std::string, Task> tasks = std::exchange(tasks_, {});
  for (const auto& [id, task] : tasks) {
    capacity_.Release(capacity_index_, placement::TaskAmount(task.spec.size),
                      GroupOf(task.spec));
  }
  return tasks;
}

void UpstreamSession::LoseContact() {
  ++generation_;
  phase_ = SessionPhase::kAttaching;
  UpdateUsable();
  for (auto& [id, task] : tasks_) {
    if (task.phase == TaskPhase::kStarting) task.phase = TaskPhase::kInDoubt;
  }
  AttachLater(Millis(0));
}

/// While the upstream is unresponsive, the leases of its tasks expire by its
/// own clock: at the latest one lease duration after the last call that could
/// extend them has arrived. A start without a reply is different: it may be
/// queued unread in a paused upstream and take effect when that resumes, at any
/// later time. Its capacity stays reserved until an attach resolves it, and its
/// owner is notified so that it queries the other entries.
void UpstreamSession::CheckLeaseExpiry() {
  if (phase_ == SessionPhase::kReady || tasks_.empty()) return;
  const auto latest_expiry =
      last_lease_extension_ + options_.lease + options_.max_delay;
  if (executor_.Now() <= latest_expiry) return;
  std::vector<wire::TaskSpec> expired;
  std::vector<wire::TaskSpec> in_doubt;
  for (auto& [id, task] : tasks_) {
    if (task.phase == TaskPhase::kRunning) {
      expired.push_back(task.spec);
    } else if (!task.reported_in_doubt) {
      task.reported_in_doubt = true;
      in_doubt.push_back(task.spec);
    }
  }
  for (const wire::TaskSpec& task : expired) {
    RemoveTask(task.task_id);
    listener_.OnLeaseAssumedExpired(listed_.name, task);
  }
  for (const wire::TaskSpec& task : in_doubt) {
    listener_.OnControlMoved(listed_.name, task, false);
  }
}

}  // namespace mimosarail::control
