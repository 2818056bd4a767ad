#include "tests/scenarios/process_cluster.h"

#include <httplib.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace mimosarail::scenarios {
namespace {

constexpr size_t kMaxLogLines = 40;

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

/// Short intervals, so that scenarios take seconds; every limit is generous.
json FastSettings() {
  return {{"heartbeat_ms", 100},     {"suspect_ms", 500},
          {"dead_ms", 1000},         {"return_ms", 500},
          {"list_refresh_ms", 200},  {"lease_ms", 6000},
          {"max_delay_ms", 500},     {"call_timeout_ms", 400},
          {"log_read_wait_ms", 500}, {"cost_flush_ms", 500},
          {"checkpoint_ms", 2000},   {"shutdown_ms", 15000}};
}

}  // namespace

ProcessCluster::ProcessCluster(const std::string& bin_dir, const json& options)
    : bin_dir_(bin_dir) {
  std::string pattern = "/tmp/mimosarail.XXXXXX";
  dir_ = mkdtemp(pattern.data());
  relay_thread_ = std::thread([this] { io_.run(); });
  const int entries = options.value("entries", 3);
  const int racks = options.value("racks", 3);
  log_port_ = FreePort();
  list_port_ = FreePort();
  json cluster = {{"entries", json::array()}, {"upstreams", json::array()}};
  std::vector<std::string> peers;
  std::map<std::string, int> target_ports;
  for (int i = 0; i < entries; ++i) {
    const int advertised = FreePort();
    peers.push_back(Loopback(advertised));
    cluster["entries"].push_back(
        {{"name", "entry-" + std::to_string(i)},
         {"address", peers.back()},
         {"failure_domain", "domain-" + std::to_string(i % 3)}});
  }
  for (int i = 0; i < racks; ++i) {
    const std::string name = "rack-" + std::to_string(i);
    const int port = FreePort();
    target_ports[name] = FreePort();
    racks_.push_back(name);
    processes_[name].relay =
        std::make_unique<Relay>(io_, port, target_ports[name]);
    cluster["upstreams"].push_back(
        {{"name", "up-" + std::to_string(i)},
         {"count", options.value("upstreams_per_rack", 2)},
         {"rack", name},
         {"failure_domain", "domain-" + std::to_string(i % 3)},
         {"address", Loopback(port)},
         {"cores", options.value("cores", 4)},
         {"memory_mb", 8000},
         {"slots", options.value("slots", 4)},
         {"connections", 16}});
  }
  WriteFile(dir_ + "/cell.json", cluster.dump());
  ManagedProcess& platform = processes_["platform"];
  platform.http_port = FreePort();
  platform.arguments = {bin_dir_ + "/tests/fakes/mimosarail_fakes",
                        "--cell",
                        dir_ + "/cell.json",
                        "--log",
                        Loopback(log_port_),
                        "--list",
                        Loopback(list_port_),
                        "--control",
                        Loopback(platform.http_port),
                        "--retention_ms",
                        std::to_string(options.value("retention_ms", 600000))};
  StartProcess("platform");
  for (size_t i = 0; i < racks_.size(); ++i) {
    ManagedProcess& rack = processes_[racks_[i]];
    rack.http_port = FreePort();
    rack.arguments = {bin_dir_ + "/tests/fakes/mimosarail_fakes",
                      "--cell",
                      dir_ + "/cell.json",
                      "--upstreams",
                      Loopback(target_ports[racks_[i]]),
                      "--upstreams_as",
                      cluster["upstreams"][i]["address"],
                      "--control",
                      Loopback(rack.http_port)};
    StartProcess(racks_[i]);
  }
  for (int i = 0; i < entries; ++i) AddEntry(i, options, peers);
}

void ProcessCluster::AddEntry(int i, const json& options,
                              const std::vector<std::string>& peers) {
  const std::string name = "entry-" + std::to_string(i);
  entries_.push_back(name);
  ManagedProcess& entry = processes_[name];
  entry.http_port = FreePort();
  const int port = FreePort();
  const std::string& advertised = peers[static_cast<size_t>(i)];
  entry.relay = std::make_unique<Relay>(
      io_, std::atoi(advertised.substr(advertised.rfind(':') + 1).c_str()),
      port);
  json settings = FastSettings();
  settings["name"] = name;
  settings["failure_domain"] = "domain-" + std::to_string(i % 3);
  settings["listen"] = Loopback(port);
  settings["advertise"] = advertised;
  settings["http_listen"] = Loopback(entry.http_port);
  settings["log_address"] = Loopback(log_port_);
  settings["list_address"] = Loopback(list_port_);
  settings["peers"] = peers;
  settings.update(options.value("settings", json::object()));
  const std::string file = dir_ + "/" + name + ".json";
  WriteFile(file, settings.dump());
  entry.arguments = {bin_dir_ + "/src/app/mimosaraild", "--settings", file};
  StartProcess(name);
}

ProcessCluster::~ProcessCluster() {
  for (auto& [name, managed] : processes_) {
    managed.process.reset();
    managed.relay.reset();
  }
  work_.reset();
  io_.stop();
  relay_thread_.join();
  std::filesystem::remove_all(dir_);
}

void ProcessCluster::StartProcess(const std::string& name) {
  ManagedProcess& managed = processes_[name];
  managed.log = dir_ + "/" + name + ".log";
  managed.process = std::make_unique<Process>(managed.arguments, managed.log);
}

HttpReply ProcessCluster::Send(int port, const std::string& method,
                               const std::string& path, const json& body) {
  constexpr int kReadSeconds = 90;
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(kReadSeconds);
  httplib::Request request;
  request.method = method;
  request.path = path;
  // A string is sent unchanged, so that scenarios can send malformed texts.
  if (body.is_string()) {
    request.body = body.get<std::string>();
  } else if (!body.is_null()) {
    request.body = body.dump();
  }
  const auto result = client.send(request);
  if (!result) return {};
  HttpReply reply{.status = result->status};
  reply.body = json::parse(result->body, nullptr, false);
  if (reply.body.is_discarded()) reply.body = result->body;
  if (reply.body.is_object() && result->has_header("Retry-After")) {
    reply.body["retry_after_header"] = result->get_header_value("Retry-After");
  }
  return reply;
}

HttpReply ProcessCluster::Http(const std::string& process,
                               const std::string& method,
                               const std::string& path, const json& body) {
  return Send(processes_.at(process).http_port, method, path, body);
}

int ProcessCluster::HttpAsync(const std::string& process,
                              const std::string& method,
                              const std::string& path, const json& body) {
  const int port = processes_.at(process).http_port;
  pending_[++next_handle_] = std::async(
      std::launch::async,
      [port, method, path, body] { return Send(port, method, path, body); });
  return next_handle_;
}

HttpReply ProcessCluster::Result(int handle) {
  return pending_.at(handle).get();
}

void ProcessCluster::Signal(const std::string& process, int signal) {
  processes_.at(process).process->Signal(signal);
}

int ProcessCluster::Wait(const std::string& process) {
  return processes_.at(process).process->Wait();
}

bool ProcessCluster::Alive(const std::string& process) {
  return processes_.at(process).process->Alive();
}

void ProcessCluster::Restart(const std::string& entry) {
  Signal(entry, SIGKILL);
  Wait(entry);
  StartProcess(entry);
}

void ProcessCluster::SetInboundBlocked(const std::string& process,
                                       bool blocked) {
  processes_.at(process).relay->SetInboundBlocked(blocked);
}

json ProcessCluster::History() {
  json all = json::array();
  for (const std::string& rack : racks_) {
    const HttpReply reply = Http(rack, "POST", "/history", json::object());
    if (!reply.body.is_array()) continue;
    for (const json& event : reply.body) all.push_back(event);
  }
  return all;
}

std::string ProcessCluster::Logs() const {
  std::string out;
  for (const auto& [name, managed] : processes_) {
    std::ifstream file(managed.log);
    std::string line;
    std::vector<std::string> lines;
    while (std::getline(file, line)) lines.push_back(line);
    const size_t first =
        lines.size() > kMaxLogLines ? lines.size() - kMaxLogLines : 0;
    for (size_t i = first; i < lines.size(); ++i) {
      out += name + ": " + lines[i] + "\n";
    }
  }
  return out;
}

}  // namespace mimosarail::scenarios
