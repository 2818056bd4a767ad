#pragma once

#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "src/libs/rpc/asio.h"
#include "tests/scenarios/process.h"
#include "tests/scenarios/relay.h"

namespace mimosarail::scenarios {

using nlohmann::json;

/// HTTP status and body; status 0 when there was no answer.
struct HttpReply {
  int status = 0;
  json body;
};

/// A cell of real processes: the platform's stand-ins, one process of upstreams
/// a rack, and entry instances behind relays. One thread.
class RealCell {
 public:
  /// `options`: entries, racks, upstreams_per_rack, cores, slots,
  /// retention_ms, and `settings` to add to every entry's.
  RealCell(const std::string& bin_dir, const json& options);
  ~RealCell();

  HttpReply Http(const std::string& process, const std::string& method,
                 const std::string& path, const json& body);
  /// Http() on a thread of its own; collect it with Result().
  int HttpLater(const std::string& process, const std::string& method,
                const std::string& path, const json& body);
  HttpReply Result(int handle);

  void Signal(const std::string& process, int signal);
  int Wait(const std::string& process);
  bool Alive(const std::string& process);
  /// Starts an entry that has ended again, as a new process.
  void Restart(const std::string& entry);
  /// Cuts or heals what others send to a process.
  void SetCut(const std::string& process, bool cut);
  /// Histories of all upstreams in one list.
  json History();
  const std::vector<std::string>& entries() const { return entries_; }
  int HttpPort(const std::string& process) const {
    return members_.at(process).http_port;
  }
  /// The last lines of every log, for a failed scenario.
  std::string Logs() const;

 private:
  struct Member {
    std::vector<std::string> arguments;
    std::string log;
    int http_port = 0;
    std::unique_ptr<Process> process;
    std::unique_ptr<Relay> relay;
  };
  void StartMember(const std::string& name);
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
  std::map<std::string, Member> members_;
  std::vector<std::string> entries_;
  std::vector<std::string> racks_;
  std::map<int, std::future<HttpReply>> pending_;
  int next_handle_ = 0;
  int log_port_ = 0;
  int list_port_ = 0;
};

}  // namespace mimosarail::scenarios
