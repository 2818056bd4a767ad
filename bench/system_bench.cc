// Benchmarks real processes: request throughput and added latency, time without
// service after a process is killed or paused, time until published rules are
// in force at all entries, and cost when idle.
// Usage: system_bench BUILD_DIR [direct|peak|takeover|publish|rest]

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <thread>

#include "platform_types.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/client.h"
#include "tests/scenarios/process_cluster.h"

namespace mimosarail::bench {
namespace {

using nlohmann::json;
using scenarios::HttpReply;
using scenarios::ProcessCluster;
using Seconds = std::chrono::duration<double>;

const char* const kRules =
    R"({"rules": [{"name": "all", "then": {"priority": 4, "retries": 1}}]})";

double Now() {
  return Seconds(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double Percentile(std::vector<double> values, double p) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(p *
                                    static_cast<double>(values.size() - 1))];
}

template <typename State>
bool Eventually(const State& state, double limit_seconds = 60) {
  const double until = Now() + limit_seconds;
  while (Now() < until) {
    if (state()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

int64_t Revision(ProcessCluster& cluster, const std::string& entry) {
  const HttpReply reply = cluster.Http(entry, "GET", "/v1/rules", nullptr);
  return reply.status == 200 ? reply.body.value("revision", -1) : -1;
}

/// Names of the upstreams that the entry has attached.
std::vector<std::string> Attached(ProcessCluster& cluster,
                                  const std::string& entry) {
  std::vector<std::string> out;
  const HttpReply reply = cluster.Http(entry, "GET", "/v1/upstreams", nullptr);
  if (reply.status != 200) return out;
  for (const json& up : reply.body["upstreams"]) {
    if (up.value("phase", "") == "ready") out.push_back(up["name"]);
  }
  return out;
}

size_t TotalAttached(ProcessCluster& cluster) {
  size_t sum = 0;
  for (const auto& entry : cluster.entries()) {
    sum += Attached(cluster, entry).size();
  }
  return sum;
}

void WaitUntilReady(ProcessCluster& cluster, size_t upstreams) {
  Eventually([&] {
    cluster.Http("entry-0", "POST", "/v1/rules",
                 {{"author", "bench"}, {"base", 0}, {"text", kRules}});
    return Revision(cluster, "entry-0") >= 1;
  });
  Eventually([&] { return TotalAttached(cluster) >= upstreams; });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  Eventually([&] { return TotalAttached(cluster) == upstreams; });
}

json Request(int run_ms, const std::string& key) {
  json out = {{"team", "t"},        {"work", "w"},      {"cores", 0.1},
              {"memory_mb", 10},    {"run_ms", run_ms}, {"payload", "p"},
              {"repeatable", false}};
  if (!key.empty()) out["key"] = key;
  return out;
}

/// Measures the throughput of `clients` clients for `seconds`. Each client
/// sends one request after the other on one connection.
void MeasureThroughput(ProcessCluster& cluster, const std::vector<int>& ports,
                       const std::string& name, int clients, double seconds,
                       bool keyed) {
  std::vector<std::vector<double>> delays(static_cast<size_t>(clients));
  std::atomic<int> failed{0};
  std::atomic<int> serial{0};
  const double until = Now() + seconds;
  std::vector<std::thread> threads;
  for (int c = 0; c < clients; ++c) {
    threads.emplace_back([&, c] {
      httplib::Client client("127.0.0.1",
                             ports[static_cast<size_t>(c) % ports.size()]);
      client.set_keep_alive(true);
      client.set_tcp_nodelay(true);
      while (Now() < until) {
        const std::string key =
            keyed ? name + "-" + std::to_string(++serial) : "";
        const double before = Now();
        const auto reply =
            client.Post("/v1/requests?wait_ms=10000", Request(0, key).dump(),
                        "application/json");
        if (!reply || reply->status != 200) {
          ++failed;
          continue;
        }
        delays[static_cast<size_t>(c)].push_back(Now() - before);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  std::vector<double> all;
  for (const auto& list : delays) {
    all.insert(all.end(), list.begin(), list.end());
  }
  std::printf("%s.throughput=%.0f requests/s\n", name.c_str(),
              static_cast<double>(all.size()) / seconds);
  std::printf("%s.p50=%.2f ms\n", name.c_str(), 1000 * Percentile(all, 0.5));
  std::printf("%s.p99=%.2f ms\n", name.c_str(), 1000 * Percentile(all, 0.99));
  std::printf("%s.failed=%d requests\n", name.c_str(), failed.load());
  std::fflush(stdout);
  (void)cluster;
}

double Metric(ProcessCluster& cluster, const std::string& entry,
              const std::string& name) {
  const HttpReply reply = cluster.Http(entry, "GET", "/metrics", nullptr);
  const std::string text =
      reply.body.is_string() ? reply.body.get<std::string>() : "";
  double sum = 0;
  size_t at = 0;
  while ((at = text.find("mimosarail_" + name, at)) != std::string::npos) {
    const size_t space = text.find(' ', at);
    sum += std::atof(text.c_str() + space);
    at = space;
  }
  return sum;
}

struct Cost {
  double cpu = 0;
  double bytes = 0;
  double resident_kb = 0;
  double appends = 0;
};

Cost CostOf(ProcessCluster& cluster, const std::string& entry) {
  return {.cpu = Metric(cluster, entry, "cpu_seconds"),
          .bytes = Metric(cluster, entry, "control_bytes"),
          .resident_kb = Metric(cluster, entry, "resident_max_kb"),
          .appends = Metric(cluster, entry, "log_appends")};
}

void PrintCost(ProcessCluster& cluster, const std::string& name,
               const Cost& before, double seconds) {
  const Cost after = CostOf(cluster, "entry-0");
  std::printf("%s.cpu=%.3f %% of a core\n", name.c_str(),
              100 * (after.cpu - before.cpu) / seconds);
  std::printf("%s.bytes=%.2f KB/s\n", name.c_str(),
              (after.bytes - before.bytes) / seconds / 1000);
  std::printf("%s.appends=%.2f /s\n", name.c_str(),
              (after.appends - before.appends) / seconds);
  std::printf("%s.resident=%.1f MB\n", name.c_str(), after.resident_kb / 1024);
  std::fflush(stdout);
}

/// The default settings, instead of the shorter times of the scenarios.
json DefaultTimes() {
  return {{"heartbeat_ms", 500},      {"suspect_ms", 1500},
          {"dead_ms", 2500},          {"return_ms", 2000},
          {"list_refresh_ms", 1000},  {"lease_ms", 8000},
          {"max_delay_ms", 2000},     {"call_timeout_ms", 1000},
          {"log_read_wait_ms", 1000}, {"cost_flush_ms", 10000},
          {"checkpoint_ms", 60000},   {"shutdown_ms", 20000}};
}

/// Measures the cost of one daemon that neither starts nor ends tasks, with the
/// given numbers of entries, upstreams and running tasks.
void MeasureIdleCost(const std::string& bin, int entries, int racks,
                     int per_rack, int tasks) {
  ProcessCluster cluster(bin, {{"entries", entries},
                               {"racks", racks},
                               {"upstreams_per_rack", per_rack},
                               {"cores", 64},
                               {"slots", 64},
                               {"settings", DefaultTimes()}});
  WaitUntilReady(cluster,
                 static_cast<size_t>(racks) * static_cast<size_t>(per_rack));
  for (int i = 0; i < tasks; ++i) {
    cluster.Http("entry-0", "POST", "/v1/requests", Request(600000, ""));
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  constexpr double kSpanSeconds = 12;
  const Cost before = CostOf(cluster, "entry-0");
  std::this_thread::sleep_for(Seconds(kSpanSeconds));
  const std::string name = "rest." + std::to_string(entries) + "_entries." +
                           std::to_string(racks * per_rack) + "_upstreams." +
                           std::to_string(tasks) + "_tasks";
  std::printf("%s.attached=%zu upstreams\n", name.c_str(),
              Attached(cluster, "entry-0").size());
  PrintCost(cluster, name, before, kSpanSeconds);
}

/// Measures the latency of the fake upstream called directly, without a daemon:
/// a start, then the end reported by a renewal.
void MeasureDirectCalls(const std::string& bin) {
  asio::io_context io;
  rpc::AsioExecutor executor(io);
  rpc::Client client(io);
  const int port = scenarios::FreePort();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const std::string file = "/tmp/mimosarail_bench_cell.json";
  std::FILE* out = std::fopen(file.c_str(), "w");
  std::fprintf(
      out, R"({"upstreams": [{"name": "u", "rack": "r", "address": "%s"}]})",
      address.c_str());
  std::fclose(out);
  scenarios::Process fakes(
      {bin + "/tests/fakes/mimosarail_fakes", "--cell", file, "--upstreams",
       address, "--control",
       "127.0.0.1:" + std::to_string(scenarios::FreePort())},
      "/dev/null");
  std::thread thread([&io] {
    const auto work = asio::make_work_guard(io);
    io.run();
  });
  const auto call = [&](rpc::Method method, const auto& message, auto reply) {
    std::promise<bool> promise;
    rpc::CallTyped<decltype(reply)>(
        client, executor, address, method, message, Millis(5000),
        [&](const auto& result) { promise.set_value(result.ok()); });
    return promise.get_future().get();
  };
  wire::AttachCall attach;
  attach.upstream = "u";
  attach.controller = "bench";
  attach.term = 1;
  Eventually(
      [&] { return call(rpc::Method::kAttach, attach, wire::AttachReply()); });
  std::vector<double> delays;
  std::string last;
  for (int i = 0; i < 500; ++i) {
    wire::StartCall start;
    start.upstream = "u";
    start.term = 1;
    start.lease_ms = 10000;
    start.task.task_id = "t" + std::to_string(i);
    wire::RenewCall renew;
    renew.upstream = "u";
    renew.term = 1;
    renew.lease_ms = 10000;
    renew.wait_ms = 2000;
    renew.seen = i;
    if (!last.empty()) renew.release.push_back(last);
    const double before = Now();
    call(rpc::Method::kStart, start, wire::StartReply());
    call(rpc::Method::kRenew, renew, wire::RenewReply());
    delays.push_back(Now() - before);
    last = start.task.task_id;
  }
  io.stop();
  thread.join();
  std::printf("direct.p50=%.2f ms\n", 1000 * Percentile(delays, 0.5));
  std::printf("direct.p99=%.2f ms\n", 1000 * Percentile(delays, 0.99));
}

std::vector<int> HttpPorts(ProcessCluster& cluster) {
  std::vector<int> out;
  for (const auto& entry : cluster.entries()) {
    out.push_back(cluster.HttpPort(entry));
  }
  return out;
}

void MeasurePeak(const std::string& bin) {
  json settings = DefaultTimes();
  // The benchmark produces more outcomes within their retention period than the
  // default limits let a daemon keep.
  settings["max_requests"] = 1000000;
  settings["max_answer_bytes"] = 1 << 28;
  ProcessCluster cluster(bin, {{"entries", 6},
                               {"racks", 6},
                               {"upstreams_per_rack", 8},
                               {"cores", 16},
                               {"slots", 8},
                               {"settings", settings}});
  WaitUntilReady(cluster, 48);
  const auto ports = HttpPorts(cluster);
  MeasureThroughput(cluster, ports, "one_client", 1, 4, false);
  MeasureThroughput(cluster, ports, "one_client_keyed", 1, 4, true);
  Cost before = CostOf(cluster, "entry-0");
  MeasureThroughput(cluster, ports, "peak", 48, 6, false);
  PrintCost(cluster, "peak", before, 6);
  before = CostOf(cluster, "entry-0");
  MeasureThroughput(cluster, ports, "peak_keyed", 48, 6, true);
  PrintCost(cluster, "peak_keyed", before, 6);
}

/// Measures the time from the signal until all upstreams of the entry are
/// attached to other entries.
void MeasureTakeover(const std::string& bin, int signal,
                     const std::string& name) {
  ProcessCluster cluster(bin, {{"entries", 6},
                               {"racks", 6},
                               {"upstreams_per_rack", 8},
                               {"cores", 16},
                               {"slots", 8},
                               {"settings", DefaultTimes()}});
  WaitUntilReady(cluster, 48);
  const double before = Now();
  cluster.Signal("entry-5", signal);
  const bool done = Eventually([&] {
    size_t sum = 0;
    for (const auto& entry : cluster.entries()) {
      if (entry != "entry-5") sum += Attached(cluster, entry).size();
    }
    return sum >= 48;
  });
  std::printf("%s.without_service=%.2f s\n", name.c_str(),
              done ? Now() - before : -1.0);
  std::fflush(stdout);
}

double PublishEverywhere(ProcessCluster& cluster, int64_t base) {
  const double before = Now();
  cluster.HttpAsync(
      "entry-0", "POST", "/v1/rules",
      {{"author", "bench"},
       {"base", base},
       {"text", std::string(kRules) + "// " + std::to_string(base)}});
  const bool done = Eventually([&] {
    return std::all_of(cluster.entries().begin(), cluster.entries().end(),
                       [&](const std::string& entry) {
                         return Revision(cluster, entry) == base + 1;
                       });
  });
  return done ? Now() - before : -1;
}

void MeasurePublishing(const std::string& bin) {
  ProcessCluster cluster(bin, {{"entries", 6},
                               {"racks", 6},
                               {"upstreams_per_rack", 1},
                               {"settings", DefaultTimes()}});
  WaitUntilReady(cluster, 6);
  std::vector<double> times;
  for (int64_t base = 1; base <= 100; ++base) {
    times.push_back(PublishEverywhere(cluster, base));
  }
  std::printf("publish.everywhere_p50=%.1f ms\n",
              1000 * Percentile(times, 0.5));
  std::printf("publish.everywhere_max=%.1f ms\n", 1000 * Percentile(times, 1));
  cluster.Http("platform", "POST", "/fault/log", {{"down", true}});
  std::this_thread::sleep_for(std::chrono::seconds(8));
  cluster.Http("platform", "POST", "/fault/log", {{"down", false}});
  std::printf("publish.after_8s_outage=%.2f s\n",
              PublishEverywhere(cluster, 101));
  std::fflush(stdout);
}

}  // namespace
}  // namespace mimosarail::bench

int main(int argc, char** argv) {
  using namespace mimosarail::bench;  // NOLINT(google-build-using-namespace)
  const std::string bin = argc > 1 ? argv[1] : "build";
  const std::string only = argc > 2 ? argv[2] : "";
  const auto wanted = [&only](const std::string& part) {
    return only.empty() || only == part;
  };
  if (wanted("direct")) MeasureDirectCalls(bin);
  if (wanted("peak")) MeasurePeak(bin);
  if (wanted("takeover")) MeasureTakeover(bin, SIGKILL, "kill");
  if (wanted("takeover")) MeasureTakeover(bin, SIGSTOP, "freeze");
  if (wanted("publish")) MeasurePublishing(bin);
  if (!wanted("rest")) return 0;
  MeasureIdleCost(bin, 1, 1, 8, 0);
  MeasureIdleCost(bin, 1, 10, 8, 0);
  MeasureIdleCost(bin, 1, 10, 8, 400);
  MeasureIdleCost(bin, 6, 6, 1, 0);
  MeasureIdleCost(bin, 12, 12, 1, 0);
  return 0;
}
