#include "src/app/daemon.h"

#include <sys/resource.h>

#include <asio.hpp>
#include <cstdio>
#include <thread>

#include "src/callers/http_api.h"
#include "src/instance/instance.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/client.h"
#include "src/libs/rpc/server.h"
#include "src/peers/peer_server.h"
#include "src/peers/rpc_peers.h"
#include "src/peers/udp_heartbeats.h"
#include "src/ports/rpc_platform.h"
#include "src/shutdown/signal_deferral.h"

namespace mimosarail::app {
namespace {

using settings::Settings;

int64_t MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

instance::InstanceOptions MakeOptions(const Settings& s, int64_t incarnation) {
  instance::InstanceOptions out;
  out.membership = {.name = s.name,
                    .incarnation = incarnation,
                    .address = s.advertise.empty() ? s.listen : s.advertise,
                    .failure_domain = s.failure_domain,
                    .seeds = s.peers,
                    .heartbeat_interval = Millis(s.heartbeat_ms),
                    .suspect_after = Millis(s.suspect_ms),
                    .dead_after = Millis(s.dead_ms),
                    .return_after = Millis(s.return_ms)};
  out.seed = static_cast<uint64_t>(incarnation);
  out.session = {.controller = s.name,
                 .lease = Millis(s.lease_ms),
                 .max_delay = Millis(s.max_delay_ms),
                 .seed = out.seed};
  out.config = {.name = s.name,
                .incarnation = incarnation,
                .read_wait = Millis(s.log_read_wait_ms),
                .checkpoint_interval = Millis(s.checkpoint_ms)};
  out.intents = {.read_wait = Millis(s.log_read_wait_ms),
                 .group_commit = Millis(s.group_commit_ms),
                 .claim_wait = Millis(s.intent_wait_ms)};
  out.requests = {.self = s.name,
                  .incarnation = incarnation,
                  .outcome_window = Millis(s.outcome_window_ms),
                  .max_requests = static_cast<size_t>(s.max_requests),
                  .max_answer_bytes = s.max_answer_bytes,
                  .lease = Millis(s.lease_ms),
                  .max_delay = Millis(s.max_delay_ms),
                  .place_validity = Millis(s.dead_ms),
                  .seed = out.seed};
  out.list_refresh_interval = Millis(s.list_refresh_ms);
  out.cost_flush_interval = Millis(s.cost_flush_ms);
  out.shutdown_limit = Millis(s.shutdown_ms);
  return out;
}

/// Owns the components of a running daemon, in order of construction.
struct Daemon {
  explicit Daemon(const Settings& s, int64_t incarnation)
      : client(network_io),
        platform(client, executor,
                 {.log_address = s.log_address,
                  .list_address = s.list_address,
                  .call_timeout = Millis(s.call_timeout_ms)}),
        peers(client, executor, Millis(s.call_timeout_ms)),
        heartbeats(network_io, executor,
                   [this](const wire::Heartbeat& heartbeat) {
                     instance.OnHeartbeat(heartbeat);
                   }),
        server(network_io, {.metrics = &metrics}),
        instance({.executor = executor,
                  .upstreams = platform,
                  .log = platform,
                  .list = platform,
                  .peers = peers,
                  .config_source = peers,
                  .heartbeats = heartbeats,
                  .metrics = metrics},
                 MakeOptions(s, incarnation)),
        http(instance, executor, metrics,
             {.address = s.http_listen,
              .threads = s.http_threads,
              .max_body = s.http_max_body,
              .max_wait_ms = s.max_wait_ms,
              .update_metrics = [this] { UpdateMetrics(); }}) {}

  void UpdateMetrics() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) {
      return static_cast<double>(t.tv_sec) +
             static_cast<double>(t.tv_usec) / 1e6;
    };
    metrics.Set({.name = "cpu_seconds"},
                seconds(usage.ru_utime) + seconds(usage.ru_stime));
    metrics.Set({.name = "resident_max_kb"},
                static_cast<double>(usage.ru_maxrss));
    metrics.Set({.name = "control_bytes", .labels = {{"path", "calls_out"}}},
                static_cast<double>(client.bytes()));
    metrics.Set({.name = "control_bytes", .labels = {{"path", "calls_in"}}},
                static_cast<double>(server.bytes()));
    metrics.Set({.name = "control_bytes", .labels = {{"path", "heartbeats"}}},
                static_cast<double>(heartbeats.bytes()));
  }

  asio::io_context control{1};
  asio::io_context network_io;
  rpc::AsioExecutor executor{control};
  metrics::Registry metrics;
  rpc::Client client;
  ports::RpcPlatform platform;
  peers::RpcPeers peers;
  peers::UdpHeartbeats heartbeats;
  rpc::Server server;
  instance::Instance instance;
  callers::HttpApi http;
};

bool Listen(Daemon& daemon, const Settings& s) {
  peers::ServePeers(daemon.server, daemon.executor, daemon.instance);
  const auto tcp = daemon.server.Listen(s.listen);
  const auto udp = daemon.heartbeats.Listen(s.listen);
  for (const auto* result : {&tcp, &udp}) {
    if (result->ok()) continue;
    std::fprintf(stderr, "mimosaraild: %s\n", result->error().message.c_str());
    return false;
  }
  return true;
}

}  // namespace

int RunDaemon(const Settings& settings) {
  logging::Start(settings.name);
  const int64_t incarnation = MakeIncarnation();
  // Never destroyed: handlers that are pending at exit own connections of one
  // io_context and run on the other. Whichever is destroyed first leaves those
  // of the other with dangling references.
  static Daemon* const never_destroyed = new Daemon(settings, incarnation);
  Daemon& daemon = *never_destroyed;
  if (!Listen(daemon, settings)) return 1;
  const auto http = daemon.http.Start();
  if (!http.ok()) {
    std::fprintf(stderr, "mimosaraild: %s\n", http.error().message.c_str());
    return 1;
  }
  logging::Event(logging::Level::kInfo, "started",
                 {{"incarnation", std::to_string(incarnation)},
                  {"listen", settings.listen},
                  {"http", settings.http_listen}});
  const auto control_work = asio::make_work_guard(daemon.control);
  const auto network_work = asio::make_work_guard(daemon.network_io);
  std::vector<std::thread> network_threads;
  for (int64_t i = 0; i < settings.traffic_threads; ++i) {
    network_threads.emplace_back([&daemon] { daemon.network_io.run(); });
  }
  asio::signal_set signals(daemon.control, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code error, int) {
    if (error) return;
    daemon.instance.BeginShutdown([&daemon] {
      // Stopping the HTTP server waits until the running handlers have sent
      // their answers. The handlers wait for the control thread meanwhile, so
      // the server is stopped on another thread.
      std::thread([&daemon] {
        daemon.http.Stop();
        daemon.control.stop();
      }).detach();
    });
  });
  // Destroyed before the handlers: a repeated SIGTERM while the process exits
  // would end it with an error.
  const shutdown::SignalDelivery signal_delivery;
  daemon.instance.Start();
  daemon.control.run();
  daemon.network_io.stop();
  for (std::thread& thread : network_threads) thread.join();
  logging::Event(logging::Level::kInfo, "stopped");
  return 0;
}

}  // namespace mimosarail::app
