#pragma once

#include <asio.hpp>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/scenarios/process.h"
#include "tests/scenarios/relay.h"

namespace mimosarail::scenarios {

using nlohmann::json;

/// HTTP status and body; status 0 if there was no answer.
struct HttpReply {
  int status = 0;
  json body;
};

/// A cluster of real processes: "platform" with the fakes of the log and the
/// instance list, "rack-N" with the fake upstreams of one rack, and "entry-N".
/// Traffic to racks and entries passes through relays. Must be used by one
/// thread.
class ProcessCluster {
 public:
  /// `options`: entries, racks, upstreams_per_rack, cores, slots,
  /// retention_ms, and `settings`, which override those of every entry.
  ProcessCluster(const std::string& bin_dir, const json& options);
  ~ProcessCluster();

  HttpReply Http(const std::string& process, const std::string& method,
                 const std::string& path, const json& body);
  /// Http() on a separate thread; returns a handle for Result().
  int HttpAsync(const std::string& process, const std::string& method,
                const std::string& path, const json& body);
  HttpReply Result(int handle);

  void Signal(const std::string& process, int signal);
  int Wait(const std::string& process);
  bool Alive(const std::string& process);
  /// Kills the process of an entry and starts a new one.
  void Restart(const std::string& entry);
  /// Blocks or unblocks the traffic that other processes send to `process`.
  void SetInboundBlocked(const std::string& process, bool blocked);
  /// The histories of all upstreams in one list.
  json History();
  const std::vector<std::string>& entries() const { return entries_; }
  int HttpPort(const std::string& process) const {
    return processes_.at(process).http_port;
  }
  /// The last lines of every log, printed when a scenario fails.
  std::string Logs() const;

 private:
  struct ManagedProcess {
    std::vector<std::string> arguments;
    std::string log;
    int http_port = 0;
    std::unique_ptr<Process> process;
    std::unique_ptr<Relay> relay;
  };
  void StartProcess(const std::string& name);
  void AddEntry(int i, const json& options,
                const std::vector<std::string>& peers);
  static HttpReply Send(int port, const std::string& method,
                        const std::string& path, const json& body);

  std::string bin_dir_;
  std::string dir_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::thread relay_thread_;
  std::map<std::string, ManagedProcess> processes_;
  std::vector<std::string> entries_;
  std::vector<std::string> racks_;
  std::map<int, std::future<HttpReply>> pending_;
  int next_handle_ = 0;
  int log_port_ = 0;
  int list_port_ = 0;
};

}  // namespace mimosarail::scenarios
