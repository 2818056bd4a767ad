#include "src/app/job_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "platform/host_client.h"
#include "platform/job_http_server.h"
#include "platform/store_client.h"
#include "platform/upstream_client.h"
#include "src/app/job_daemon_options.h"
#include "src/jobentry/entry_rpc_handlers.h"
#include "src/jobentry/job_entry.h"
#include "src/leadership/capacity_use.h"
#include "src/leadership/rpc_entry_client.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/heap_use.h"
#include "src/libs/base/thread_delays.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/shutdown/shutdown_plan.h"
#include "src/shutdown/signal_deferral.h"

namespace mimosarail::app {
namespace {

using logging::Level;
using settings::JobSettings;

constexpr EnumTable kLogLevels{std::array{
    EnumName{Level::kDebug, "debug"},
    EnumName{Level::kInfo, "info"},
    EnumName{Level::kWarning, "warning"},
    EnumName{Level::kError, "error"},
}};

/// Connections to each upstream: one carries long-polling renewals, the others
/// carry orders.
constexpr size_t kUpstreamConnections = 4;
constexpr size_t kStoreConnections = 8;
/// Longest time to receive a response of the store: a page of 1 MB takes 6 s
/// over a link of 2 Mbit/s, which it shares with other traffic.
constexpr Millis kMaxPageTime{20000};
/// The metrics endpoint serves a few collectors, which send no bodies.
constexpr size_t kMaxMetricsConnections = 64;
constexpr http::ServerLimits kMetricsLimits{.max_head_bytes = 8 << 10,
                                            .max_body_bytes = 1 << 10};
constexpr int kMetricsReceiveBufferBytes = 16 << 10;
constexpr size_t kAdviserConnections = 4;
/// Connections to the host API: one for a list and one for an order at the same
/// time.
constexpr size_t kHostsConnections = 2;
/// How often a shutdown checks whether all requests are answered.
constexpr Millis kShutdownCheckPeriod{50};
/// How often the traffic on the link is logged.
constexpr Millis kTrafficPeriod{2000};
/// Maximum number of message kinds in a log line about traffic: only a few
/// kinds account for most of it.
constexpr size_t kMaxTrafficKinds = 14;
/// How often the settings file is read again; it may change without a SIGHUP.
constexpr Millis kSettingsCheckPeriod{2000};

/// Processor time of the process.
double CpuSeconds(const rusage& usage) {
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Owns the components of a running daemon, in order of construction.
struct JobDaemon {
  explicit JobDaemon(const JobSettings& s)
      : store_http(network_io, {.max_connections = kStoreConnections,
                                .send_buffer_bytes = SendBufferBytes(s),
                                .max_response_time = kMaxPageTime,
                                .traffic = &traffic_counters,
                                .traffic_kind = platform::StoreTrafficKind}),
        upstream_http(network_io, {.max_connections = kUpstreamConnections,
                                   .traffic = &traffic_counters}),
        adviser_http(network_io, {.max_connections = kAdviserConnections,
                                  .traffic = &traffic_counters}),
        hosts_http(network_io, {.max_connections = kHostsConnections,
                                .traffic = &traffic_counters}),
        store(store_http, executor, s.store_address),
        upstreams(upstream_http, executor, {}),
        adviser(adviser_http, executor, s.adviser_address),
        hosts(hosts_http, executor, s.hosts_address),
        peer_client(network_io, &traffic_counters, SendBufferBytes(s)),
        urgent_peer_client(network_io, &traffic_counters),
        peers(peer_client, urgent_peer_client, executor),
        peer_server(network_io,
                    MakePeerServerOptions(s, traffic_counters, metrics)),
        capacity_use({.link_bytes_per_s = LinkBytesPerS(s),
                      .cpu_percent = s.cpu_percent}),
        entry({.executor = executor,
               .store = store,
               .config = store,
               .upstream_list = store,
               .task_port = upstreams,
               .adviser = adviser,
               .peers = peers,
               .metrics = metrics,
               .hosts = s.hosts_address.empty() ? nullptr : &hosts,
               .wave_status = &store,
               .saturated =
                   [this] { return capacity_use.saturated(executor.Now()); },
               .heap_bytes = AllocatedHeapBytes},
              MakeJobEntryOptions(s)),
        job_server(network_io, executor, entry,
                   {.address = s.front_address,
                    .ready_address = s.ready_address,
                    .max_connections = static_cast<size_t>(s.max_connections),
                    .request_memory_bytes = RequestMemoryBytes(s),
                    .receive_buffer_bytes = ReceiveBufferBytes(s),
                    .traffic = &traffic_counters,
                    .metrics = &metrics}),
        metrics_server(
            network_io,
            {.max_connections = kMaxMetricsConnections,
             .limits = kMetricsLimits,
             .receive_buffer_bytes = kMetricsReceiveBufferBytes,
             .traffic = &traffic_counters,
             .traffic_kind = "metrics",
             .metrics = &metrics},
            [this](const http::Request&, const http::Responder& respond) {
              UpdateMetrics();
              respond({.headers = {{"Content-Type", "text/plain"}},
                       .body = metrics.Text()});
            }) {}

  /// Measures the use of the link and the processor. Control thread only.
  void MeasureCapacityUse() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const std::vector<metrics::Traffic::Row> rows = traffic_counters.Rows();
    capacity_use.Update(
        {.bytes_in = metrics::TrafficBytes(rows, metrics::Direction::kIn),
         .bytes_out = metrics::TrafficBytes(rows, metrics::Direction::kOut),
         .cpu = Millis(static_cast<int64_t>(CpuSeconds(usage) * 1000))},
        executor.Now());
  }

  void UpdateMetrics() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    metrics.Set({.name = "cpu_seconds"}, CpuSeconds(usage));
    metrics.Set({.name = "resident_max_kb"},
                static_cast<double>(usage.ru_maxrss));
    metrics.Set({.name = "log_lines_dropped"},
                static_cast<double>(logging::Dropped()));
    metrics.Set({.name = "connections_opened", .labels = {{"to", "store"}}},
                static_cast<double>(store_http.connections_opened()));
    metrics.Set({.name = "connections_opened", .labels = {{"to", "upstreams"}}},
                static_cast<double>(upstream_http.connections_opened()));
    metrics.Set({.name = "open_requests"},
                static_cast<double>(job_server.open_requests()));
    metrics::ExportTraffic(traffic_counters, metrics);
  }

  /// Logs how far the threads are behind and the processor time since the
  /// previous call. Control thread only.
  void LogProcessorUse() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const double cpu = CpuSeconds(usage);
    const auto cpu_ms = static_cast<int64_t>(
        (cpu - std::exchange(logged_cpu_seconds, cpu)) * 1000);
    const QueueDelays delays = thread_delays.TakeMax();
    metrics.Observe({.name = "queue_delay_ms", .labels = {{"of", "control"}}},
                    static_cast<double>(delays.control.count()));
    metrics.Observe({.name = "queue_delay_ms", .labels = {{"of", "network"}}},
                    static_cast<double>(delays.network.count()));
    logging::Event(
        Level::kInfo, "processor",
        {{"cpu_ms", logging::Text(cpu_ms)},
         {"control_delay_ms", logging::Text(delays.control.count())},
         {"network_delay_ms", logging::Text(delays.network.count())}});
  }

  /// Logs the traffic since the previous call. Control thread only.
  void LogTraffic() {
    const std::vector<metrics::Traffic::Row> rows =
        traffic_counters.TakeRecent();
    if (rows.empty()) return;
    logging::Event(
        Level::kInfo, "traffic",
        {{"bytes_in",
          logging::Text(metrics::TrafficBytes(rows, metrics::Direction::kIn))},
         {"bytes_out",
          logging::Text(metrics::TrafficBytes(rows, metrics::Direction::kOut))},
         {"most", metrics::DescribeTraffic(rows, kMaxTrafficKinds)}});
  }

  asio::io_context control{1};
  asio::io_context network_io{1};
  rpc::AsioExecutor executor{control};
  rpc::AsioExecutor network_executor{network_io};
  ThreadDelays thread_delays{executor, network_executor};
  double logged_cpu_seconds = 0;
  metrics::Registry metrics;
  metrics::Traffic traffic_counters;
  http::Client store_http;
  http::Client upstream_http;
  http::Client adviser_http;
  http::Client hosts_http;
  platform::StoreClient store;
  platform::UpstreamClient upstreams;
  platform::UpstreamClient adviser;
  platform::HostClient hosts;
  rpc::Client peer_client;
  rpc::Client urgent_peer_client;
  leadership::RpcEntryClient peers;
  rpc::Server peer_server;
  leadership::CapacityUse capacity_use;
  jobentry::JobEntry entry;
  platform::JobHttpServer job_server;
  http::Server metrics_server;
};

bool Listen(JobDaemon& daemon, const JobSettings& s) {
  jobentry::RegisterEntryHandlers(daemon.peer_server, daemon.executor,
                                  daemon.entry);
  const auto report = [](const Error& error) {
    logging::Event(Level::kError, "cannot listen", {{"cause", error.message}});
    std::fprintf(stderr, "mimosaraild: %s\n", error.message.c_str());
    return false;
  };
  const auto peers = daemon.peer_server.Listen(s.peer_address);
  if (!peers.ok()) return report(peers.error());
  const auto job_server = daemon.job_server.Start();
  if (!job_server.ok()) return report(job_server.error());
  if (s.metrics_address.empty()) return true;
  const auto metrics = daemon.metrics_server.Listen(s.metrics_address);
  return metrics.ok() || report(metrics.error());
}

/// Carries out the steps of the shutdown plan. Control thread only.
class ShutdownSequence {
 public:
  ShutdownSequence(JobDaemon& daemon, shutdown::ShutdownOptions options)
      : daemon_(daemon), options_(options) {}

  void Begin() {
    began_ = daemon_.executor.Now();
    LogProgress("stopping");
    daemon_.entry.BeginShutdown();
    daemon_.job_server.BeginShutdown();
    Advance();
  }

 private:
  void Advance() {
    const shutdown::ShutdownProgress progress{
        .elapsed = Elapsed(),
        .open_requests = daemon_.job_server.open_requests() +
                         daemon_.entry.advice_in_flight(),
        .connections = daemon_.job_server.connections(),
        .accepting_stopped = accepting_stopped_};
    switch (shutdown::NextAction(options_, progress)) {
      case shutdown::ShutdownAction::kContinue:
        break;
      case shutdown::ShutdownAction::kStopAccepting:
        StopAccepting();
        break;
      case shutdown::ShutdownAction::kEnd:
        daemon_.job_server.LogOpenRequests();
        LogProgress("ending");
        return daemon_.control.stop();
    }
    daemon_.executor.RunAfter(kShutdownCheckPeriod, [this] { Advance(); });
  }

  void StopAccepting() {
    if (std::exchange(stop_requested_, true)) return;
    LogProgress("intake ends");
    daemon_.entry.StopAccepting();
    daemon_.job_server.StopAccepting([this] {
      daemon_.executor.Post([this] { accepting_stopped_ = true; });
    });
  }

  void LogProgress(const char* what) {
    logging::Event(
        Level::kInfo, what,
        {{"waited_ms", std::to_string(Elapsed().count())},
         {"open_requests", std::to_string(daemon_.job_server.open_requests())},
         {"connections", std::to_string(daemon_.job_server.connections())}});
  }

  Millis Elapsed() const {
    return std::chrono::duration_cast<Millis>(daemon_.executor.Now() - began_);
  }

  JobDaemon& daemon_;
  shutdown::ShutdownOptions options_;
  TimePoint began_{};
  bool stop_requested_ = false;
  bool accepting_stopped_ = false;
};

std::string ReadText(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/// Logs changes of the settings file, which take effect at the next start.
/// Control thread only.
class SettingsWatcher {
 public:
  explicit SettingsWatcher(std::string path)
      : path_(std::move(path)), text_(ReadText(path_)) {}

  void Check(const char* cause) {
    std::string text = ReadText(path_);
    if (text.empty() || text == text_) return;
    text_ = std::move(text);
    Findings findings;
    const bool valid = settings::ParseJobSettings(text_, findings).has_value();
    logging::Event(valid ? Level::kInfo : Level::kError, "settings changed",
                   {{"cause", cause},
                    {"in_force", "with the next start"},
                    {"findings", findings.ToString()}});
  }

 private:
  std::string path_;
  std::string text_;
};

/// Checks the settings file on each SIGHUP. Both arguments must outlive the
/// control thread's work.
void WatchHangup(asio::signal_set& hangup, SettingsWatcher& watcher) {
  hangup.async_wait([&](std::error_code error, int) {
    if (error) return;
    watcher.Check("SIGHUP");
    WatchHangup(hangup, watcher);
  });
}

}  // namespace

int RunJobDaemon(const JobSettings& settings,
                 const std::string& settings_path) {
  std::signal(SIGPIPE, SIG_IGN);
  logging::Start(settings.name,
                 kLogLevels.Find(settings.log_level).value_or(Level::kInfo));
  // The daemon is never destroyed. Pending handlers own connections of one
  // io_context and timers of the other. If calls are open at exit, destroying
  // either context first leaves the handlers of the other with dangling
  // references, and the process crashes in free().
  static JobDaemon* const never_destroyed = new JobDaemon(settings);
  JobDaemon& daemon = *never_destroyed;
  if (!Listen(daemon, settings)) return 1;
  logging::Event(Level::kInfo, "started",
                 {{"front", settings.front_address},
                  {"peers", settings.peer_address},
                  {"failure_domain", settings.failure_domain},
                  {"store", settings.store_address}});
  const auto control_work = asio::make_work_guard(daemon.control);
  const auto network_work = asio::make_work_guard(daemon.network_io);
  std::thread network_thread([&daemon] { daemon.network_io.run(); });
  asio::signal_set signals(daemon.control, SIGTERM, SIGINT);
  ShutdownSequence sequence(
      daemon, {.unready_period = Millis(settings.unready_period_ms),
               .max_duration = Millis(settings.shutdown_ms)});
  signals.async_wait([&](std::error_code error, int) {
    if (!error) sequence.Begin();
  });
  SettingsWatcher watcher(settings_path);
  asio::signal_set hangup(daemon.control, SIGHUP);
  WatchHangup(hangup, watcher);
  // Destroyed before the handlers: a repeated SIGTERM while the process exits
  // would end it with an error.
  const shutdown::SignalDelivery signal_delivery;
  RunEvery(daemon.executor, kSettingsCheckPeriod,
           [&watcher] { watcher.Check("look"); });
  RunEvery(daemon.executor, kTrafficPeriod, [&daemon] {
    daemon.LogProcessorUse();
    daemon.LogTraffic();
  });
  daemon.thread_delays.Start();
  RunEvery(daemon.executor, leadership::CapacityUse::kPeriod,
           [&daemon] { daemon.MeasureCapacityUse(); });
  daemon.entry.Start();
  daemon.control.run();
  daemon.network_io.stop();
  network_thread.join();
  logging::Event(Level::kInfo, "stopped");
  logging::Stop();
  return 0;
}

}  // namespace mimosarail::app
