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

/// Leases are renewed this many times within their length.
constexpr int kRenewalsPerLease = 3;
constexpr int kCollectAttempts = 3;

bool Whole(const wire::TaskStatus& status) {
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
                                 placement::Room& room,
                                 SessionListener& listener,
                                 SessionOptions options,
                                 wire::ListedInstance listed)
    : executor_(executor),
      port_(port),
      room_(room),
      listener_(listener),
      options_(std::move(options)),
      listed_(std::move(listed)),
      attach_retry_(options_.attach_retry),
      contest_(options_.contest_first),
      random_(options_.seed ^ Hash64(listed_.name)) {
  row_ = room_.Add(
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

/// Callbacks of calls made before the last attach or loss of control must not
/// touch the present state: a renewal reply that was on its way would bring
/// back tasks that the new inventory has already settled.
template <typename Reply>
Callback<Reply> UpstreamSession::Guard(
    std::function<void(const Result<Reply>&)> handle) {
  return [weak = weak_from_this(), era = era_,
          handle = std::move(handle)](const Result<Reply>& reply) {
    const auto self = weak.lock();
    if (self && self->era_ == era) handle(reply);
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
  room_.SetCapacity(row_, placement::ToAmount(listed.capacity, listed.slots));
  UpdateUsable();
}

void UpstreamSession::UpdateUsable() {
  const bool was = room_.row(row_).usable;
  room_.SetUsable(row_, usable());
  if (was != usable()) listener_.OnRoomChanged();
}

void UpstreamSession::Attach() {
  // Attaching without being preferred would take the upstream from the entry
  // that is; the owners of the tasks find them there.
  if (!preferred_) return MoveAway();
  phase_ = SessionPhase::kAttaching;
  UpdateUsable();
  ++era_;
  // Also after a lost reply: that attach may have taken effect, and only a
  // higher term fences what was sent under it.
  term_ = std::max(seen_term_, term_) + 1;
  seen_term_ = term_;
  wire::AttachCall call;
  call.upstream = listed_.name;
  call.controller = options_.controller;
  call.term = term_;
  port_.Attach(
      listed_.address, call,
      Guard<wire::AttachReply>([this](const auto& reply) { OnAttach(reply); }));
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
    self->CheckLapse();
    if (self->phase_ != SessionPhase::kReady) self->Attach();
  });
}

void UpstreamSession::OnAttach(const Result<wire::AttachReply>& reply) {
  if (!reply.ok()) {
    AttachLater(attach_retry_);
    attach_retry_ = std::min(attach_retry_ * 2, options_.attach_retry_longest);
    return;
  }
  attach_retry_ = options_.attach_retry;
  if (reply.value().status != wire::CallStatus::kOk) {
    seen_term_ = std::max(seen_term_, reply.value().term);
    if (executor_.Now() < contest_until_) return AttachLater(contest_);
    return Attach();
  }
  phase_ = SessionPhase::kReady;
  logging::Event(logging::Level::kInfo, "upstream_attached",
                 {{"upstream", listed_.name},
                  {"term", std::to_string(term_)},
                  {"tasks", std::to_string(reply.value().inventory.size())}});
  Count(reply.value());
}

/// Counts in what the old terms left behind. Every start of an older term is
/// fenced from here on, so a doubtful start that is absent never will happen.
void UpstreamSession::Count(const wire::AttachReply& reply) {
  room_.SetCapacity(row_, placement::ToAmount(reply.capacity, reply.slots));
  std::map<std::string, Task> before = TakeTasks();
  seen_end_ = 0;
  const uint64_t era = era_;
  std::vector<std::string> unwanted;
  for (const wire::TaskStatus& status : reply.inventory) {
    before.erase(status.spec.task_id);
    CountStatus(status, unwanted);
  }
  for (const auto& [id, task] : before) {
    if (task.phase == TaskPhase::kRunning) {
      listener_.OnLost(listed_.name, task.spec);
    } else {
      listener_.OnNotStarted(listed_.name, task.spec, "absent after fencing");
    }
  }
  if (era != era_) return;
  StopBeforeRenew(unwanted);
}

void UpstreamSession::CountStatus(const wire::TaskStatus& status,
                                  std::vector<std::string>& unwanted) {
  if (status.state != wire::TaskState::kRunning) {
    return HandleEnd(status);
  }
  tasks_[status.spec.task_id] = {status.spec, TaskPhase::kRunning};
  room_.ForceTake(row_, placement::TaskAmount(status.spec.size),
                  GroupOf(status.spec));
  if (!listener_.OnFound(listed_.name, status.spec)) {
    unwanted.push_back(status.spec.task_id);
  }
}

/// A task whose attempt was given up must not have its lease renewed: its
/// owner may have started it elsewhere once the lease was sure to be over.
void UpstreamSession::StopBeforeRenew(
    const std::vector<std::string>& unwanted) {
  if (unwanted.empty()) {
    UpdateUsable();
    Renew();
    return listener_.OnRoomChanged();
  }
  wire::SteerCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.action = wire::SteerAction::kStop;
  call.tasks = unwanted;
  port_.Steer(listed_.address, call,
              Guard<wire::SteerReply>([this](const auto& reply) {
                if (!reply.ok()) return LoseContact();
                if (reply.value().status != wire::CallStatus::kOk) {
                  return LoseControl(reply.value().term);
                }
                UpdateUsable();
                Renew();
                listener_.OnRoomChanged();
              }));
}

void UpstreamSession::NoteExtension() { last_extension_ = executor_.Now(); }

void UpstreamSession::Renew() {
  wire::RenewCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.lease_ms = options_.lease.count();
  call.wait_ms = options_.lease.count() / kRenewalsPerLease;
  call.seen = seen_end_;
  call.release = std::exchange(release_, {});
  NoteExtension();
  port_.Renew(listed_.address, call,
              Guard<wire::RenewReply>(
                  [this, released = call.release, sent = executor_.Now()](
                      const auto& reply) { OnRenew(reply, released, sent); }));
}

void UpstreamSession::OnRenew(const Result<wire::RenewReply>& reply,
                              const std::vector<std::string>& released,
                              TimePoint sent) {
  if (!reply.ok()) {
    // Releasing twice does no harm; not releasing would fill the upstream.
    release_.insert(release_.end(), released.begin(), released.end());
    return LoseContact();
  }
  if (reply.value().status != wire::CallStatus::kOk) {
    return LoseControl(reply.value().term);
  }
  contest_ = options_.contest_first;
  confirmed_since_ = sent;
  for (const wire::TaskStatus& status : reply.value().ended) {
    HandleEnd(status);
  }
  Renew();
}

void UpstreamSession::Start(const wire::TaskSpec& task) {
  MR_EXPECT(phase_ == SessionPhase::kReady,
            return listener_.OnNotStarted(listed_.name, task, "not attached"));
  tasks_[task.task_id] = {task, TaskPhase::kStarting};
  wire::StartCall call;
  call.upstream = listed_.name;
  call.term = term_;
  call.lease_ms = options_.lease.count();
  call.task = task;
  NoteExtension();
  port_.Start(
      listed_.address, call,
      Guard<wire::StartReply>([this, id = task.task_id](const auto& reply) {
        OnStart(id, reply);
      }));
}

void UpstreamSession::OnStart(const std::string& task_id,
                              const Result<wire::StartReply>& reply) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;  // it ended before the reply came
  if (!reply.ok() && reply.error().code != Errc::kUnavailable) {
    // Neither running nor free: the room stays reserved, and attaching with a
    // higher term settles it.
    found->second.phase = TaskPhase::kDoubtful;
    return LoseContact();
  }
  if (reply.ok() && reply.value().status == wire::CallStatus::kOk) {
    found->second.phase = TaskPhase::kRunning;
    return;
  }
  const wire::TaskSpec spec = found->second.spec;
  Drop(task_id);
  if (!reply.ok()) {
    listener_.OnNotStarted(listed_.name, spec, reply.error().message);
    return LoseContact();
  }
  listener_.OnNotStarted(listed_.name, spec, "refused by the upstream");
  if (reply.value().status == wire::CallStatus::kStaleTerm) {
    LoseControl(reply.value().term);
  }
}

void UpstreamSession::Drop(const std::string& task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end()) return;
  room_.Give(row_, placement::TaskAmount(found->second.spec.size),
             GroupOf(found->second.spec));
  tasks_.erase(found);
}

void UpstreamSession::HandleEnd(const wire::TaskStatus& status) {
  seen_end_ = std::max(seen_end_, status.sequence);
  const bool answered = status.state == wire::TaskState::kFinished;
  if (answered && !Whole(status)) return CollectEnd(status, kCollectAttempts);
  Drop(status.spec.task_id);
  if (answered) room_.NoteSuccess(row_);
  if (status.state == wire::TaskState::kFailed) {
    room_.NoteFailure(row_, executor_.Now());
  }
  listener_.OnEnded(listed_.name, status);
  listener_.OnRoomChanged();
}

/// The answer was too long for the reply, or came cut: fetch it until length
/// and digest agree. A cut answer is never handed on.
void UpstreamSession::CollectEnd(wire::TaskStatus status, int attempts_left) {
  if (attempts_left == 0) {
    status.state = wire::TaskState::kLapsed;
    status.answer.clear();
    return HandleEnd(status);
  }
  wire::CollectCall call;
  call.upstream = listed_.name;
  call.task_id = status.spec.task_id;
  port_.Collect(
      listed_.address, call,
      Guard<wire::CollectReply>([this, status = std::move(status),
                                 attempts_left](const auto& reply) mutable {
        if (reply.ok() && reply.value().found) {
          status.answer = reply.value().answer;
          if (Whole(status)) return HandleEnd(status);
        }
        CollectEnd(std::move(status), attempts_left - 1);
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
              Guard<wire::SteerReply>([this](const auto& reply) {
                if (!reply.ok()) return LoseContact();
                if (reply.value().status == wire::CallStatus::kStaleTerm) {
                  LoseControl(reply.value().term);
                }
              }));
}

void UpstreamSession::Release(const std::string& task_id) {
  release_.push_back(task_id);
}

/// Another controller attached with a higher term: whatever runs there is its
/// business now. This entry neither renews nor judges it any more.
void UpstreamSession::LoseControl(int64_t term) {
  seen_term_ = std::max(seen_term_, term);
  logging::Event(logging::Level::kInfo, "upstream_moved",
                 {{"upstream", listed_.name}, {"term", std::to_string(term)}});
  MoveAway();
  if (!preferred_) return;
  // Two entries whose views differ would take the upstream from each other
  // without end, and no settlement could finish; each waits longer after every
  // loss, and one that is probably cut off itself yields at once.
  if (minority_) contest_ = options_.contest_longest;
  contest_until_ = executor_.Now() + contest_;
  AttachLater(contest_);
  contest_ = std::min(contest_ * 2, options_.contest_longest);
}

void UpstreamSession::MoveAway() {
  ++era_;
  phase_ = SessionPhase::kIdle;
  release_.clear();
  const std::map<std::string, Task> tasks = TakeTasks();
  UpdateUsable();
  for (const auto& [id, task] : tasks) {
    listener_.OnMoved(listed_.name, task.spec,
                      task.phase == TaskPhase::kRunning);
  }
}

std::map<std::string, UpstreamSession::Task> UpstreamSession::TakeTasks() {
  std::map<std::string, Task> tasks = std::exchange(tasks_, {});
  for (const auto& [id, task] : tasks) {
    room_.Give(row_, placement::TaskAmount(task.spec.size), GroupOf(task.spec));
  }
  return tasks;
}

void UpstreamSession::LoseContact() {
  ++era_;
  phase_ = SessionPhase::kAttaching;
  UpdateUsable();
  for (auto& [id, task] : tasks_) {
    if (task.phase == TaskPhase::kStarting) task.phase = TaskPhase::kDoubtful;
  }
  AttachLater(Millis(0));
}

/// With the upstream silent, the leases of what runs there end by its own
/// clock: at the latest when the last call that could extend one has arrived
/// and run out. A start without a reply is different: it may lie unread in a
/// frozen upstream and take effect when that wakes, however late. It stays
/// reserved until an attach settles it; its owner is told to look around.
void UpstreamSession::CheckLapse() {
  if (phase_ == SessionPhase::kReady || tasks_.empty()) return;
  const auto horizon = last_extension_ + options_.lease + options_.max_delay;
  if (executor_.Now() <= horizon) return;
  std::vector<wire::TaskSpec> lapsed;
  std::vector<wire::TaskSpec> doubtful;
  for (auto& [id, task] : tasks_) {
    if (task.phase == TaskPhase::kRunning) {
      lapsed.push_back(task.spec);
    } else if (!task.told) {
      task.told = true;
      doubtful.push_back(task.spec);
    }
  }
  for (const wire::TaskSpec& task : lapsed) {
    Drop(task.task_id);
    listener_.OnLapseAssumed(listed_.name, task);
  }
  for (const wire::TaskSpec& task : doubtful) {
    listener_.OnMoved(listed_.name, task, false);
  }
}

}  // namespace mimosarail::control
