#include "tests/fakes/upstream_server_fake.h"

#include <cstdlib>

#include "src/libs/base/digest.h"

namespace mimosarail::fakes {
namespace {

/// Time from the start of a task that crashes the instance to the crash.
constexpr Millis kCrashDelay{10};
/// Time from a crash to the restart of the instance.
constexpr Millis kRestartDelay{1000};

constexpr Millis kTickInterval{10};
constexpr size_t kMaxInlineAnswerBytes = 16384;

/// Returns the value of "name=value" in a payload, or `fallback`.
int64_t Parameter(const std::string& payload, const std::string& name,
                  int64_t fallback) {
  const size_t at = payload.find(name + "=");
  if (at == std::string::npos) return fallback;
  return std::atoll(payload.c_str() + at + name.size() + 1);
}

/// Returns the answer of a task. It contains the request and the task, so that
/// an answer delivered to the wrong request is detected.
std::string MakeAnswer(const wire::TaskSpec& task) {
  std::string out = task.work + " of " + task.request_id + " #" +
                    std::to_string(task.index) + ": " + task.payload;
  const auto size =
      static_cast<size_t>(Parameter(task.payload, "answer_bytes", 0));
  while (out.size() < size) out += static_cast<char>('a' + out.size() % 26);
  return out;
}

int64_t ToMs(TimePoint time) {
  return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

const char* StateName(wire::TaskState::type state) {
  switch (state) {
    case wire::TaskState::kRunning:
      return "running";
    case wire::TaskState::kFinished:
      return "finished";
    case wire::TaskState::kFailed:
      return "failed";
    case wire::TaskState::kLapsed:
      return "lapsed";
    case wire::TaskState::kStopped:
      return "stopped";
  }
  return "?";
}

}  // namespace

UpstreamServerFake::UpstreamServerFake(Executor& executor, History& history,
                                       wire::ListedInstance self)
    : executor_(executor), history_(history), self_(std::move(self)) {
  RunEvery(executor_, kTickInterval, [this] { Tick(); });
}

int64_t UpstreamServerFake::NowMs() const { return ToMs(executor_.Now()); }

void UpstreamServerFake::Log(const char* event, const wire::TaskSpec& task,
                             int64_t at_ms) {
  history_.Add({{"event", event},
                {"upstream", self_.name},
                {"term", term_},
                {"holder", holder_},
                {"task", task.task_id},
                {"request", task.request_id},
                {"attempt", task.attempt},
                {"index", task.index},
                {"millicores", task.size.millicores},
                {"memory_mb", task.size.memory_mb},
                {"accelerators", task.size.accelerators},
                {"connections", task.size.connections}},
               at_ms);
}

template <typename Reply>
void UpstreamServerFake::Send(const ReplyCallback<Reply>& done,
                              const Reply& reply) {
  if (faults_.reply_delay_ms == 0) return done(reply);
  executor_.RunAfter(Millis(faults_.reply_delay_ms),
                     [done, reply] { done(reply); });
}

std::vector<wire::TaskStatus> UpstreamServerFake::Snapshot() const {
  std::vector<wire::TaskStatus> out;
  for (const auto& [id, task] : tasks_) out.push_back(task.status);
  return out;
}

void UpstreamServerFake::Attach(const wire::AttachCall& call,
                                ReplyCallback<wire::AttachReply> done) {
  if (faults_.down) return;
  Tick();
  wire::AttachReply reply;
  const bool repeated = call.term == term_ && call.controller == holder_;
  if (call.term <= term_ && !repeated) {
    reply.status = wire::CallStatus::kStaleTerm;
    reply.term = term_;
    reply.holder = holder_;
    return Send(done, reply);
  }
  reply.status = wire::CallStatus::kOk;
  reply.term = call.term;
  reply.inventory = Snapshot();
  reply.capacity = self_.capacity;
  reply.slots = self_.slots;
  if (repeated) return Send(done, reply);
  term_ = call.term;
  holder_ = call.controller;
  history_.Add({{"event", "attach"},
                {"upstream", self_.name},
                {"term", term_},
                {"holder", holder_}},
               NowMs());
  if (pending_poll_) {
    wire::RenewReply stale;
    stale.status = wire::CallStatus::kStaleTerm;
    stale.term = term_;
    const auto poller = std::exchange(pending_poll_, nullptr);
    poller(stale);
  }
  Send(done, reply);
}

void UpstreamServerFake::Start(const wire::StartCall& call,
                               ReplyCallback<wire::StartReply> done) {
  if (faults_.down) return;
  if (faults_.drop_starts > 0) {
    --faults_.drop_starts;
    return;
  }
  wire::StartReply reply;
  reply.term = term_;
  if (call.term != term_) {
    Log("start_fenced", call.task);
    reply.status = wire::CallStatus::kStaleTerm;
    return Send(done, reply);
  }
  if (released_.contains(call.task.task_id)) {
    reply.status = wire::CallStatus::kRefused;
    return Send(done, reply);
  }
  if (!tasks_.contains(call.task.task_id)) {
    Task& task = tasks_[call.task.task_id];
    task.status.spec = call.task;
    task.started = executor_.Now();
    const int64_t declared = static_cast<int64_t>(
        static_cast<double>(call.task.run_ms) * faults_.run_factor);
    const bool fails =
        faults_.fail_all || Parameter(call.task.payload, "fail", 0) != 0;
    task.ends =
        task.started +
        Millis(fails ? 1 : Parameter(call.task.payload, "actual_ms", declared));
    task.lease_until = task.started + Millis(call.lease_ms);
    // Detects the end immediately instead of at the next tick.
    executor_.RunAfter(
        std::chrono::duration_cast<Millis>(task.ends - task.started),
        [this] { Tick(); });
    Log("start", call.task);
    if (Parameter(call.task.payload, "crash", 0) != 0) {
      executor_.RunAfter(kCrashDelay, [this] { Crash(); });
      executor_.RunAfter(kCrashDelay + kRestartDelay, [this] { Restart(); });
    }
  }
  reply.status = wire::CallStatus::kOk;
  if (faults_.drop_start_replies > 0) {
    --faults_.drop_start_replies;
    return;
  }
  Send(done, reply);
}

void UpstreamServerFake::Renew(const wire::RenewCall& call,
                               ReplyCallback<wire::RenewReply> done) {
  if (faults_.down) return;
  Tick();
  wire::RenewReply reply;
  reply.term = term_;
  if (call.term != term_) {
    reply.status = wire::CallStatus::kStaleTerm;
    return Send(done, reply);
  }
  const TimePoint until = executor_.Now() + Millis(call.lease_ms);
  for (auto& [id, task] : tasks_) {
    if (task.status.state == wire::TaskState::kRunning) {
      task.lease_until = until;
    }
  }
  for (const std::string& id : call.release) {
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    if (found->second.status.state == wire::TaskState::kRunning) continue;
    released_.insert(id);
    tasks_.erase(found);
  }
  if (faults_.drop_renew_replies > 0) {
    --faults_.drop_renew_replies;
    return;
  }
  pending_poll_ = [this, done](const wire::RenewReply& r) { Send(done, r); };
  const uint64_t poll = ++last_poll_id_;
  poll_seen_sequence_ = call.seen;
  NotifyPoller();
  if (!pending_poll_) return;
  executor_.RunAfter(Millis(call.wait_ms), [this, poll] {
    if (poll != last_poll_id_ || !pending_poll_) return;
    wire::RenewReply empty;
    empty.status = wire::CallStatus::kOk;
    empty.term = term_;
    const auto poller = std::exchange(pending_poll_, nullptr);
    poller(empty);
  });
}

void UpstreamServerFake::NotifyPoller() {
  if (!pending_poll_ || faults_.down) return;
  wire::RenewReply reply;
  reply.status = wire::CallStatus::kOk;
  reply.term = term_;
  for (auto& [id, task] : tasks_) {
    if (task.status.sequence <= poll_seen_sequence_) continue;
    reply.ended.push_back(task.status);
  }
  if (reply.ended.empty()) return;
  const auto poller = std::exchange(pending_poll_, nullptr);
  poller(reply);
}

void UpstreamServerFake::Steer(const wire::SteerCall& call,
                               ReplyCallback<wire::SteerReply> done) {
  if (faults_.down) return;
  wire::SteerReply reply;
  reply.term = term_;
  if (call.term != term_) {
    reply.status = wire::CallStatus::kStaleTerm;
    return Send(done, reply);
  }
  reply.status = wire::CallStatus::kOk;
  if (call.action == wire::SteerAction::kStop) {
    for (const std::string& id : call.tasks) {
      const auto found = tasks_.find(id);
      if (found == tasks_.end()) continue;
      if (found->second.status.state != wire::TaskState::kRunning) continue;
      EndTask(found->second, wire::TaskState::kStopped);
    }
  }
  Send(done, reply);
  NotifyPoller();
}

void UpstreamServerFake::Inventory(const wire::InventoryCall&,
                                   ReplyCallback<wire::InventoryReply> done) {
  if (faults_.down) return;
  wire::InventoryReply reply;
  reply.term = term_;
  reply.tasks = Snapshot();
  Send(done, reply);
}

void UpstreamServerFake::Usage(const wire::UsageCall&,
                               ReplyCallback<wire::UsageReply> done) {
  if (faults_.down) return;
  wire::UsageReply reply;
  for (const auto& [id, task] : tasks_) {
    if (task.status.state != wire::TaskState::kRunning) continue;
    reply.used.millicores += task.status.spec.size.millicores;
    reply.used.memory_mb += task.status.spec.size.memory_mb;
  }
  Send(done, reply);
}

void UpstreamServerFake::Collect(const wire::CollectCall& call,
                                 ReplyCallback<wire::CollectReply> done) {
  if (faults_.down) return;
  wire::CollectReply reply;
  const auto found = tasks_.find(call.task_id);
  if (found != tasks_.end() &&
      found->second.status.state == wire::TaskState::kFinished) {
    reply.found = true;
    reply.answer = MakeAnswer(found->second.status.spec);
    reply.length = found->second.status.answer_length;
    reply.digest = found->second.status.answer_digest;
  }
  Send(done, reply);
}

void UpstreamServerFake::EndTask(Task& task, wire::TaskState::type state) {
  task.status.state = state;
  task.status.sequence = ++last_sequence_;
  task.status.ran_ms =
      std::chrono::duration_cast<Millis>(executor_.Now() - task.started)
          .count();
  if (state == wire::TaskState::kFinished) {
    std::string answer = MakeAnswer(task.status.spec);
    task.status.answer_length = static_cast<int64_t>(answer.size());
    task.status.answer_digest = Digest(answer);
    if (answer.size() <= kMaxInlineAnswerBytes) {
      task.status.answer = std::move(answer);
    }
  }
  // A paused instance detects the expiry only when it resumes, but the task did
  // not run after its lease.
  const bool lapsed = state == wire::TaskState::kLapsed;
  Log(StateName(state), task.status.spec,
      lapsed ? ToMs(task.lease_until) : NowMs());
}

void UpstreamServerFake::Tick() {
  const TimePoint now = executor_.Now();
  for (auto& [id, task] : tasks_) {
    if (task.status.state != wire::TaskState::kRunning) continue;
    // An instance that resumes after a pause may find both times passed; the
    // lease is checked first.
    if (now >= task.lease_until) {
      EndTask(task, wire::TaskState::kLapsed);
    } else if (now >= task.ends) {
      const bool fails = faults_.fail_all ||
                         Parameter(task.status.spec.payload, "fail", 0) != 0;
      EndTask(task,
              fails ? wire::TaskState::kFailed : wire::TaskState::kFinished);
    }
  }
  NotifyPoller();
}

void UpstreamServerFake::Crash() {
  faults_.down = true;
  for (auto& [id, task] : tasks_) {
    if (task.status.state == wire::TaskState::kRunning) {
      Log("died", task.status.spec);
    }
  }
  tasks_.clear();
  pending_poll_ = nullptr;
  // The term is kept because the same instance restarts; a replacement would
  // have a new name.
}

void UpstreamServerFake::Restart() { faults_.down = false; }

}  // namespace mimosarail::fakes
