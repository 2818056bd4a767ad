#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/instance/instance.h"
#include "tests/sim/manual_executor.h"
#include "tests/sim/network.h"
#include "tests/standins/instance_list_fake.h"
#include "tests/standins/log_server_fake.h"
#include "tests/standins/upstream_server_fake.h"

namespace mimosarail::sim {

class NodePorts;

/// One simulated entry process: a real Instance over simulated ports.
struct Node {
  std::string name;
  int64_t incarnation = 0;
  std::unique_ptr<ManualExecutor> executor;
  std::unique_ptr<NodePorts> ports;
  std::unique_ptr<metrics::Registry> metrics;
  std::unique_ptr<instance::Instance> instance;
  int64_t newest_revision = 0;
  bool left = false;
};

/// The reply to a caller about one submission.
struct SubmitResult {
  std::string id;
  bool answered = false;
  bool found = true;
  wire::Outcome outcome;
};

struct CellOptions {
  uint64_t seed = 1;
  int entries = 3;
  int racks = 3;
  int upstreams_per_rack = 2;
  int32_t millicores = 4000;
  Millis retention{3600000};
};

/// A simulated cluster: entries, upstreams, the log server and the instance
/// list, all under one manual clock. Models no cluster behavior itself: it only
/// delivers messages and turns faults on and off.
class Cell {
 public:
  explicit Cell(CellOptions options);
  ~Cell();

  Node& node(int i) { return *nodes_.at(EntryName(i)); }
  int entries() const { return options_.entries; }
  static std::string EntryName(int i) { return "entry-" + std::to_string(i); }
  static std::string UpstreamName(int rack, int i) {
    return "up-" + std::to_string(rack) + "-" + std::to_string(i);
  }
  standins::UpstreamServerFake& upstream(const std::string& name) {
    return *upstreams_.at(name);
  }
  ManualExecutor& upstream_executor(const std::string& name) {
    return *upstream_executors_.at(name);
  }
  std::vector<std::string> upstream_names() const;
  standins::LogServerFake& log() { return *log_; }
  standins::InstanceListFake& list() { return *list_; }
  ManualClock& clock() { return clock_; }
  Network& network() { return network_; }
  const standins::History& history() const { return history_; }

  /// Kills the process of an entry; callers that wait there get no reply.
  void Kill(int i);
  /// Starts a new process under the entry's name.
  void Restart(int i);

  void Run(Millis span);
  /// Runs until `done` holds, for at most `limit`; returns whether it holds.
  bool RunUntil(const std::function<bool()>& done, Millis limit);
  /// Publishes the default rules and waits until every entry is ready and
  /// every upstream attached.
  bool WaitUntilReady();
  bool AllAttached();

  /// Submits at an entry; the result is filled in when the caller gets its
  /// reply.
  std::shared_ptr<SubmitResult> Submit(int entry, wire::RequestSpec spec);
  /// Queries an entry for the outcome of request `id`.
  std::shared_ptr<SubmitResult> Lookup(int entry, const std::string& id,
                                       Millis wait);
  /// Publishes rules that contain `comment` and are based on revision `base`.
  std::shared_ptr<configlog::PublishResult> Publish(int entry, int64_t base,
                                                    const std::string& comment);

  Node* Find(const std::string& name);
  /// Finds a node by its address in the instance list.
  Node* ByAddress(const std::string& address);

 private:
  friend class NodePorts;
  void StartNode(int i);
  void CheckRevisions();

  CellOptions options_;
  ManualClock clock_;
  Network network_;
  standins::History history_;
  ManualExecutor platform_executor_{clock_};
  std::unique_ptr<standins::LogServerFake> log_;
  std::unique_ptr<standins::InstanceListFake> list_;
  std::map<std::string, std::unique_ptr<ManualExecutor>> upstream_executors_;
  std::map<std::string, std::unique_ptr<standins::UpstreamServerFake>>
      upstreams_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> dead_;
  int64_t next_incarnation_ = 1;

 public:
  /// Names of entries whose revision decreased; must stay empty.
  std::vector<std::string> revision_regressions;
};

/// A small request that may be run more than once; tests modify it as needed.
wire::RequestSpec MakeSpec(const std::string& work, int64_t run_ms);

}  // namespace mimosarail::sim
