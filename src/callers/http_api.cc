#include "src/callers/http_api.h"

#include <httplib.h>

#include <atomic>
#include <future>
#include <thread>

#include "src/callers/operator_json.h"
#include "src/callers/request_json.h"
#include "src/libs/json/object_reader.h"

namespace mimosarail::callers {
namespace {

using httplib::Request;
using httplib::Response;
using json::Json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kMillisPerSecond = 1000;
constexpr int kReadTimeoutSeconds = 5;
constexpr int kKeepAliveSeconds = 2;

void Reply(Response& response, int status, const Json& body) {
  response.status = status;
  response.set_content(
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
      "application/json");
}

void SetRetryAfter(Response& response, int64_t ms) {
  if (ms <= 0) return;
  const int64_t seconds = (ms + kMillisPerSecond - 1) / kMillisPerSecond;
  response.set_header("Retry-After", std::to_string(seconds));
}

void ReplyOutcome(Response& response, const std::string& id,
                  const wire::Outcome& outcome) {
  SetRetryAfter(response, outcome.retry_after_ms);
  Reply(response, HttpStatus(outcome), OutcomeJson(id, outcome));
}

void ReplyFindings(Response& response, const Findings& findings) {
  Reply(response, kBadRequest,
        {{"verdict", "refused"},
         {"reason", "the request is malformed"},
         {"findings", FindingsJson(findings)}});
}

}  // namespace

/// The reply of the control thread to a call.
template <typename T>
struct ControlReply {
  /// Empty if the control thread did not answer in time.
  std::optional<T> value{};
  /// If there is no value: whether the call may have been executed.
  bool started = false;

  explicit operator bool() const { return value.has_value(); }
  const T& operator*() const { return *value; }
  const T* operator->() const { return &*value; }
};

struct HttpApi::Private {
  Private(instance::Instance& instance_in, Executor& control_in,
          metrics::Registry& metrics_in, HttpApiOptions options_in)
      : instance(instance_in),
        control(control_in),
        metrics(metrics_in),
        options(std::move(options_in)) {}

  /// Runs `work` on the control thread and waits for the value that it passes
  /// to its argument, for at most the control timeout plus `extra_wait`. If the
  /// wait times out before `work` has started, `work` never runs. If it has
  /// started, it may still run after this function has returned, so it must own
  /// everything that it uses.
  template <typename T>
  ControlReply<T> CallControl(std::function<void(std::function<void(T)>)> work,
                              Millis extra_wait = Millis(0)) {
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    // The first to set it decides: the control thread then runs the work; this
    // thread, when its wait times out, cancels the work.
    auto claimed = std::make_shared<std::atomic<bool>>(false);
    control.Post([work = std::move(work), promise, claimed] {
      // If the wait has timed out, the client was told that the request did not
      // run, and may have sent it to another instance.
      if (claimed->exchange(true)) return;
      work([promise](T value) { promise->set_value(std::move(value)); });
    });
    if (future.wait_for(options.control_timeout + extra_wait) ==
        std::future_status::ready) {
      return {.value = future.get()};
    }
    return {.started = claimed->exchange(true)};
  }

  /// Replies with the JSON document that `view` builds on the control thread.
  void ReplyView(Response& response,
                 std::function<Json(instance::Instance&)> view) {
    const auto body = CallControl<Json>(
        [this, view = std::move(view)](auto done) { done(view(instance)); });
    if (body) return Reply(response, kOk, *body);
    ReplyBusy(response);
  }

  void ReplyBusy(Response& response) {
    SetRetryAfter(response, kMillisPerSecond);
    Reply(response, kUnavailable,
          {{"verdict", "unknown"}, {"reason", "this instance is too busy"}});
  }

  /// Replies to a submission that the control thread did not answer in time.
  void ReplySubmitTimeout(Response& response, const std::string& key,
                          bool started) {
    wire::Outcome outcome;
    outcome.verdict =
        started ? wire::Verdict::kUnknown : wire::Verdict::kNotRun;
    outcome.reason = "this instance is too busy";
    outcome.retry_after_ms = started ? 0 : kMillisPerSecond;
    ReplyOutcome(response, key, outcome);
  }

  /// Returns how long this call may wait. A waiting call occupies a thread.
  /// While more than half of the threads wait, further calls do not wait, so
  /// that the other threads stay free for short calls.
  Millis AllowedWait(const Request& request) {
    int64_t wait = 0;
    try {
      wait = std::stoll(request.get_param_value("wait_ms"));
    } catch (const std::exception&) {
      wait = 0;
    }
    wait = std::clamp<int64_t>(wait, 0, options.max_wait_ms);
    if (waiting_calls.load() > options.threads / 2) wait = 0;
    return Millis(wait);
  }

  /// Replies with the outcome of request `id`, or with the state
  /// `timeout_state` if the control thread does not answer in time.
  void Await(Response& response, const std::string& id, Millis wait,
             instance::LookupState timeout_state =
                 instance::LookupState::kUnreachable) {
    ++waiting_calls;
    const auto result = CallControl<instance::LookupResult>(
        [this, id, wait](auto done) {
          instance.lookup().Await(id, wait, std::move(done));
        },
        wait);
    --waiting_calls;
    if (!result) return ReplyLookup(response, id, {.state = timeout_state});
    ReplyLookup(response, id, *result);
  }

  void ReplyLookup(Response& response, const std::string& id,
                   const instance::LookupResult& result) {
    switch (result.state) {
      case instance::LookupState::kEnded:
        return ReplyOutcome(response, id, result.outcome);
      case instance::LookupState::kPending:
        response.set_header("Location", "/v1/requests/" + id);
        SetRetryAfter(response, kMillisPerSecond);
        return Reply(response, kAccepted,
                     {{"id", id},
                      {"verdict", "pending"},
                      {"owner", result.owner},
                      {"why", result.why}});
      case instance::LookupState::kUnknownId:
        return Reply(response, kNotFound,
                     {{"id", id},
                      {"verdict", "unknown"},
                      {"reason",
                       "no instance knows this id: it was never accepted, or "
                       "its outcome is no longer kept"}});
      case instance::LookupState::kUnreachable:
        SetRetryAfter(response, kMillisPerSecond);
        return Reply(response, kUnavailable,
                     {{"id", id},
                      {"verdict", "unknown"},
                      {"reason", "not every instance can be reached"}});
    }
  }

  void Submit(const Request& request, Response& response) {
    Findings findings;
    auto spec = ParseRequest(request.body, findings);
    if (!spec) return ReplyFindings(response, findings);
    if (!spec->keyed && request.has_header("Idempotency-Key")) {
      spec->id = request.get_header_value("Idempotency-Key");
      spec->keyed = true;
      if (!ValidKey(spec->id)) {
        findings.Add("Idempotency-Key", "must be 1 to 64 of A-Z a-z 0-9 . _ -");
        return ReplyFindings(response, findings);
      }
    }
    const std::string key = spec->id;
    const auto submitted = CallControl<requests::SubmitResult>(
        [this, spec = std::move(*spec)](auto done) {
          instance.requests().Submit(spec, std::move(done));
        });
    if (!submitted) return ReplySubmitTimeout(response, key, submitted.started);
    if (!submitted->accepted) {
      return ReplyOutcome(response, submitted->id, submitted->outcome);
    }
    Await(response, submitted->id, AllowedWait(request),
          instance::LookupState::kPending);
  }

  void Cancel(const std::string& id, Response& response) {
    const auto found = CallControl<bool>([this, id](auto done) {
      instance.lookup().Cancel(id, std::move(done));
    });
    if (!found) return ReplyBusy(response);
    if (!*found) {
      return Reply(response, kNotFound,
                   {{"id", id}, {"reason", "no instance owns this id"}});
    }
    Await(response, id, Millis(0));
  }

  void CancelMany(const Request& request, Response& response) {
    Findings findings;
    const auto text = json::ParseText(request.body, findings);
    if (!text) return ReplyFindings(response, findings);
    json::ObjectReader reader(*text, text->value, "", findings);
    std::vector<std::string> ids;
    std::string team;
    std::string work;
    reader.Read("ids", ids);
    reader.Read("team", team, {1, 64});
    reader.Read("work", work, {1, 64});
    if (ids.empty() && team.empty() && work.empty()) {
      reader.Add("ids", "specify ids, team or work");
    }
    reader.Finish();
    if (!findings.empty()) return ReplyFindings(response, findings);
    const auto count =
        CallControl<size_t>([this, ids, team, work](auto done) mutable {
          auto& requests = instance.requests();
          if (!team.empty() || !work.empty()) {
            for (std::string& id : requests.Select([&](const auto& record) {
                   return (team.empty() || record.spec.team == team) &&
                          (work.empty() || record.spec.work == work);
                 })) {
              ids.push_back(std::move(id));
            }
          }
          size_t cancelled = 0;
          for (const std::string& id : ids) {
            cancelled += requests.Cancel(id) ? 1 : 0;
          }
          done(cancelled);
        });
    if (!count) return ReplyBusy(response);
    Reply(response, kOk, {{"cancelled", *count}});
  }

  void Publish(const Request& request, Response& response) {
    Findings findings;
    const auto text = json::ParseText(request.body, findings);
    if (!text) return ReplyFindings(response, findings);
    json::ObjectReader reader(*text, text->value, "", findings);
    std::string author;
    std::string rules_text;
    int64_t base = -1;
    reader.Read("author", author, {1, 128});
    reader.Read("base", base, {0, INT64_MAX});
    reader.Read("text", rules_text, {1, INT64_MAX});
    for (const char* key : {"author", "base", "text"}) {
      if (!reader.Has(key)) reader.Add(key, "is missing");
    }
    reader.Finish();
    if (!findings.empty()) return ReplyFindings(response, findings);
    constexpr Millis kPublishWait{10000};
    const auto result = CallControl<configlog::PublishResult>(
        [this, rules_text, author, base](auto done) {
          instance.config().Publish(rules_text, author, base, std::move(done));
        },
        kPublishWait);
    if (!result) return ReplyBusy(response);
    const auto [status, body] = PublishJson(*result);
    Reply(response, status, body);
  }

  void Cost(Response& response) {
    const auto result =
        CallControl<Result<std::vector<cost::DailyCost>>>([this](auto done) {
          cost::ReadDailyCosts(instance.log(), std::move(done));
        });
    if (!result) return ReplyBusy(response);
    if (!result->ok()) {
      SetRetryAfter(response, kMillisPerSecond);
      return Reply(response, kUnavailable,
                   {{"reason", "the log does not answer: " +
                                   result->error().code.message()}});
    }
    Reply(response, kOk, CostJson(result->value()));
  }

  void Ready(Response& response) {
    const auto blockers =
        CallControl<std::vector<std::string>>([this](auto done) {
          auto list = instance.ReadinessBlockers();
          if (list.empty() && !instance.ready()) list.emplace_back("starting");
          done(std::move(list));
        });
    if (!blockers) return ReplyBusy(response);
    Reply(response, blockers->empty() ? kOk : kUnavailable,
          {{"ready", blockers->empty()}, {"waits_for", *blockers}});
  }

  void Metrics(Response& response) {
    const auto updated = CallControl<bool>([this](auto done) {
      instance.UpdateGauges();
      done(true);
    });
    if (!updated) return ReplyBusy(response);
    if (options.update_metrics) options.update_metrics();
    response.set_content(metrics.Text(), "text/plain; version=0.0.4");
  }

  void RegisterHandlers() {
    server.Post("/v1/requests",
                [this](const auto& q, auto& r) { Submit(q, r); });
    server.Get("/v1/requests", [this](const auto&, auto& r) {
      ReplyView(r, [](instance::Instance& i) { return QueueJson(i); });
    });
    server.Get(R"(/v1/requests/([A-Za-z0-9._-]+))",
               [this](const Request& q, Response& r) {
                 Await(r, q.matches[1], AllowedWait(q));
               });
    server.Delete(
        R"(/v1/requests/([A-Za-z0-9._-]+))",
        [this](const Request& q, Response& r) { Cancel(q.matches[1], r); });
    server.Post("/v1/cancel",
                [this](const auto& q, auto& r) { CancelMany(q, r); });
    server.Get("/v1/instances", [this](const auto&, auto& r) {
      ReplyView(r, [](instance::Instance& i) { return InstancesJson(i); });
    });
    server.Get("/v1/upstreams", [this](const auto&, auto& r) {
      ReplyView(r, [](instance::Instance& i) { return UpstreamsJson(i); });
    });
    server.Get("/v1/rules", [this](const auto&, auto& r) {
      ReplyView(r, [](instance::Instance& i) { return RulesJson(i); });
    });
    server.Post("/v1/rules", [this](const auto& q, auto& r) { Publish(q, r); });
    server.Get("/v1/audit", [this](const auto&, auto& r) {
      ReplyView(r, [](instance::Instance& i) { return AuditJson(i); });
    });
    server.Get("/v1/cost", [this](const auto&, auto& r) { Cost(r); });
    server.Get("/metrics", [this](const auto&, auto& r) { Metrics(r); });
    server.Get("/healthz", [](const auto&, Response& r) {
      Reply(r, kOk, {{"alive", true}});
    });
    server.Get("/readyz", [this](const auto&, auto& r) { Ready(r); });
    server.set_error_handler([](const Request&, Response& r) {
      if (!r.body.empty()) return;
      Reply(r, r.status,
            {{"reason", "HTTP status " + std::to_string(r.status)}});
    });
  }

  instance::Instance& instance;
  Executor& control;
  metrics::Registry& metrics;
  HttpApiOptions options;
  httplib::Server server;
  std::atomic<int64_t> waiting_calls{0};
  std::thread listen_thread;
};

HttpApi::HttpApi(instance::Instance& instance, Executor& control,
                 metrics::Registry& metrics, HttpApiOptions options)
    : d_(std::make_unique<Private>(instance, control, metrics,
                                   std::move(options))) {}

HttpApi::~HttpApi() { Stop(); }

Result<uint16_t> HttpApi::Start() {
  const size_t colon = d_->options.address.rfind(':');
  const std::string host = d_->options.address.substr(0, colon);
  const int port = std::atoi(d_->options.address.c_str() + colon + 1);
  httplib::Server& server = d_->server;
  server.new_task_queue = [threads = d_->options.threads] {
    return new httplib::ThreadPool(static_cast<size_t>(threads));
  };
  server.set_payload_max_length(static_cast<size_t>(d_->options.max_body));
  server.set_read_timeout(kReadTimeoutSeconds);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_tcp_nodelay(true);
  // The library's default (SO_REUSEPORT) would let two daemons share a port by
  // mistake.
  server.set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  d_->RegisterHandlers();
  int bound = port;
  if (port == 0) {
    bound = server.bind_to_any_port(host);
  } else if (!server.bind_to_port(host, port)) {
    bound = -1;
  }
  if (bound <= 0) {
    return {Errc::kUnavailable, "cannot listen on " + d_->options.address};
  }
  d_->listen_thread = std::thread([this] { d_->server.listen_after_bind(); });
  return static_cast<uint16_t>(bound);
}

void HttpApi::Stop() {
  if (!d_->listen_thread.joinable()) return;
  d_->server.stop();
  d_->listen_thread.join();
}

}  // namespace mimosarail::callers
