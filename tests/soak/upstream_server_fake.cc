#include "tests/soak/upstream_server_fake.h"

#include <algorithm>
#include <string_view>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

/// Enough capacity for all tasks at once.
constexpr int64_t kCapacityMillicores = 64000;
constexpr Millis kMinRunTime{20};
constexpr Millis kMaxRunTime{300};
/// Share of runs that last long enough to be lost to several silent upstreams,
/// and how long they last at most.
constexpr size_t kLongRunPercent = 2;
constexpr Millis kMaxLongRunTime{4000};
constexpr int64_t kMaxLeaseMs = 6000;
constexpr int64_t kMaxWaitMs = 2000;
constexpr Millis kLeaseCheckInterval{50};
/// Interval at which a lease renewal that waits for an answer checks whether a
/// task has ended.
constexpr Millis kReportPollInterval{10};
constexpr size_t kMaxBody = 1 << 20;
constexpr size_t kMaxCompletionsPerReply = 500;
constexpr int kReportedProgressPercent = 50;

/// A call to an upstream that is down stays without a reply until its caller
/// has certainly timed out.
constexpr Millis kUnansweredTimeout{10000};
/// Latest time that an upstream shows right after its start, in ms.
constexpr Millis kMaxInitialClock{5000};

http::Response JsonResponse(int status, const Json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump()};
}

}  // namespace

UpstreamServerFake::UpstreamServerFake(asio::io_context& io, Executor& executor,
                                       ConsistencyChecker& checker,
                                       std::string id, CallFaultOptions faults,
                                       uint64_t seed)
    : executor_(executor),
      checker_(checker),
      id_(std::move(id)),
      faults_(executor, faults, seed),
      random_(seed),
      server_(io, {.limits = {.max_body_bytes = kMaxBody}},
              [this](const http::Request& request, http::Responder respond) {
                HandleRequest(request, std::move(respond));
              }) {
  BeginIncarnation();
}

void UpstreamServerFake::BeginIncarnation() {
  started_at_ = Clock::now();
  start_unix_ms_ = executor_.UnixMillis();
  initial_clock_ = random_.Between(Millis(1), kMaxInitialClock);
}

void UpstreamServerFake::Restart(Millis downtime,
                                 std::function<void()> restarted) {
  if (down_) return;
  down_ = true;
  paused_until_ = {};
  ++incarnation_;
  for (const auto& [task, attempt] : running_) {
    checker_.OnCrash(*ParseTaskId(task));
    checker_.OnEnd(id_, *ParseTaskId(task), 0);
  }
  checker_.OnRestarted(id_);
  running_.clear();
  last_attempt_.clear();
  unacknowledged_.clear();
  fence_ = 0;
  lease_end_ms_ = 0;
  expired_lease_end_ms_ = 0;
  last_completion_number_ = 0;
  acknowledged_ = 0;
  executor_.RunAfter(downtime, [this, restarted = std::move(restarted)] {
    down_ = false;
    BeginIncarnation();
    restarted();
  });
}

void UpstreamServerFake::CutOff(Millis span) {
  cut_off_until_ = Clock::now() + span;
}

void UpstreamServerFake::Pause(Millis span) {
  paused_until_ = Clock::now() + span;
}

void UpstreamServerFake::EndSilence() {
  cut_off_until_ = {};
  paused_until_ = {};
}

Millis UpstreamServerFake::PauseLeft() const {
  const auto left = std::chrono::ceil<Millis>(paused_until_ - Clock::now());
  return std::max(left, Millis(0));
}

int64_t UpstreamServerFake::ClockMs() const {
  return (std::chrono::duration_cast<Millis>(Clock::now() - started_at_) +
          initial_clock_)
      .count();
}

http::Response UpstreamServerFake::Answer(int status, Json body) const {
  body["clockMs"] = ClockMs();
  return JsonResponse(status, body);
}

http::Response UpstreamServerFake::Refuse(const char* reason) const {
  return Answer(409, {{"reason", reason}});
}

bool UpstreamServerFake::Start() {
  const auto port = server_.Listen("127.0.0.1:0");
  if (!port.ok()) return false;
  address_ = "127.0.0.1:" + std::to_string(port.value());
  RunEvery(executor_, kLeaseCheckInterval, [this] { ExpireLease(); });
  return true;
}

std::string UpstreamServerFake::ListEntry(const std::string& pool) const {
  return Json{{"service", pool},
              {"addr", address_},
              {"zone", "zone-a"},
              {"state", "ready"},
              {"born", start_unix_ms_},
              {"sequence", 1},
              {"labels", {"plain", "rack-" + id_}},
              {"capacity", {{"cpu", kCapacityMillicores}}}}
      .dump();
}

void UpstreamServerFake::HandleRequest(const http::Request& request,
                                       http::Responder respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return respond(Answer(400));
  if (http::FindHeader(request.headers, "X-Expect-Instance") != id_) {
    return respond(Answer(421));
  }
  if (!down_ && !IsCutOff() && PauseLeft() > Millis(0)) {
    return executor_.RunAfter(
        PauseLeft(), [this, request, respond, incarnation = incarnation_] {
          if (incarnation == incarnation_) HandleRequest(request, respond);
        });
  }
  if (down_ || IsCutOff()) {
    return executor_.RunAfter(kUnansweredTimeout, [respond] {
      respond(JsonResponse(504, Json::object()));
    });
  }
  faults_.Deliver(
      [this, body, path = request.target,
       incarnation = incarnation_](const http::Responder& back) {
        // The order is forgotten with the incarnation that held it.
        if (incarnation != incarnation_ || IsCutOff()) return;
        if (path == "/hold") return RenewLease(body, back);
        if (path == "/run-start") return back(StartTask(body));
        back(path == "/run-stop" ? StopTask(body) : Answer(404));
      },
      std::move(respond));
}

bool UpstreamServerFake::AcceptsFence(const Json& body) {
  ExpireLease();
  const int64_t fence = body.value("fenceToken", int64_t{0});
  if (fence < fence_) return false;
  fence_ = fence;
  const int64_t requested_end = body.value("deadlineMs", int64_t{0});
  lease_end_ms_ =
      std::max(lease_end_ms_, std::min(requested_end, ClockMs() + kMaxLeaseMs));
  return true;
}

http::Response UpstreamServerFake::StartTask(const Json& body) {
  if (!AcceptsFence(body)) return Refuse("fence");
  if (body.value("deadlineMs", int64_t{0}) <= ClockMs()) return Refuse("late");
  const std::string task = body.value("task", "");
  const int64_t attempt = body.value("attempt", int64_t{0});
  const auto id = ParseTaskId(task);
  if (!id || attempt <= 0) return Answer(400);
  const auto run = running_.find(task);
  if (run != running_.end() && run->second == attempt) return Answer(200);
  if (attempt <= last_attempt_[task]) return Refuse("old");
  if (run != running_.end()) return Refuse("room");
  last_attempt_[task] = attempt;
  running_[task] = attempt;
  checker_.OnStart(id_, *id, body.value("spec", ""));
  const Millis longest =
      random_.Percent(kLongRunPercent) ? kMaxLongRunTime : kMaxRunTime;
  executor_.RunAfter(random_.Between(kMinRunTime, longest),
                     [this, task, attempt] { Complete(task, attempt); });
  return Answer(200);
}

http::Response UpstreamServerFake::StopTask(const Json& body) {
  if (!AcceptsFence(body)) return Refuse("fence");
  const std::string task = body.value("task", "");
  const int64_t attempt = body.value("attempt", int64_t{0});
  last_attempt_[task] = std::max(last_attempt_[task], attempt);
  Finish(task, attempt, "stopped");
  return Answer(200);
}

void UpstreamServerFake::Complete(const std::string& task, int64_t attempt) {
  const Millis pause = PauseLeft();
  if (pause > Millis(0)) {
    return executor_.RunAfter(
        pause, [this, task, attempt] { Complete(task, attempt); });
  }
  ExpireLease();
  Finish(task, attempt, "done");
}

void UpstreamServerFake::Finish(const std::string& task, int64_t attempt,
                                const char* how) {
  const auto run = running_.find(task);
  if (run == running_.end() || run->second != attempt) return;
  running_.erase(run);
  ++last_completion_number_;
  unacknowledged_[last_completion_number_] = {last_completion_number_, task,
                                              attempt, how, ""};
  const bool done = std::string_view(how) == "done";
  checker_.OnEnd(id_, *ParseTaskId(task), done ? last_completion_number_ : 0);
  DiscardAcknowledged();
}

void UpstreamServerFake::DiscardAcknowledged() {
  unacknowledged_.erase(unacknowledged_.begin(),
                        unacknowledged_.upper_bound(acknowledged_));
  checker_.OnAcknowledged(id_, acknowledged_);
}

void UpstreamServerFake::ExpireLease() {
  if (lease_end_ms_ == expired_lease_end_ms_ || ClockMs() < lease_end_ms_) {
    return;
  }
  expired_lease_end_ms_ = lease_end_ms_;
  checker_.OnLeaseExpired(id_);
  const auto all = running_;
  for (const auto& [task, attempt] : all) Finish(task, attempt, "lapsed");
}

void UpstreamServerFake::RenewLease(const Json& body,
                                    const http::Responder& respond) {
  if (!AcceptsFence(body)) return respond(Refuse("fence"));
  acknowledged_ = std::max(acknowledged_, body.value("ackCursor", int64_t{0}));
  DiscardAcknowledged();
  const int64_t wait = std::min(body.value("waitMs", int64_t{0}), kMaxWaitMs);
  Report(Clock::now() + Millis(wait), respond);
}

void UpstreamServerFake::Report(TimePoint limit,
                                const http::Responder& respond) {
  if (IsCutOff()) return;
  const bool waits = unacknowledged_.empty() && Clock::now() < limit;
  if (waits || PauseLeft() > Millis(0)) {
    return executor_.RunAfter(
        kReportPollInterval,
        [this, limit, respond, incarnation = incarnation_] {
          if (incarnation == incarnation_) Report(limit, respond);
        });
  }
  Json running = Json::array();
  for (const auto& [task, attempt] : running_) {
    running.push_back({task, attempt, "", kReportedProgressPercent});
  }
  Json finished = Json::array();
  for (const auto& [number, row] : unacknowledged_) {
    if (finished.size() < kMaxCompletionsPerReply) finished.push_back(row);
  }
  respond(Answer(200, {{"running", running},
                       {"finished", finished},
                       {"born", start_unix_ms_}}));
}

}  // namespace mimosarail::soak
