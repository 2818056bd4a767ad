#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/instance/instance.h"
#include "tests/fakes/instance_list_fake.h"
#include "tests/fakes/log_server_fake.h"
#include "tests/fakes/upstream_server_fake.h"
#include "tests/sim/manual_executor.h"
#include "tests/sim/network.h"

namespace mimosarail::sim {

class EntryPorts;

/// One simulated entry process: a real Instance over simulated ports.
struct EntryProcess {
  std::string name;
  int64_t incarnation = 0;
  std::unique_ptr<ManualExecutor> executor;
  std::unique_ptr<EntryPorts> ports;
  std::unique_ptr<metrics::Registry> metrics;
  std::unique_ptr<instance::Instance> instance;
  /// Highest configuration revision seen so far.
  int64_t newest_revision = 0;
};

/// What a caller has learned about one submission.
struct SubmitResult {
  std::string id;
  bool answered = false;  ///< `outcome` is final.
  bool found = true;      ///< False if a lookup found no such request.
  wire::Outcome outcome;
};

struct ClusterOptions {
  uint64_t seed = 1;
  int entries = 3;
  int racks = 3;
  int upstreams_per_rack = 2;
  int32_t millicores = 4000;
  Millis retention{3600000};
};

/// A simulated cluster: entries, upstreams, the log server and the instance
/// list, all run by one manual clock. It only delivers messages and injects
/// faults; all behavior is in the real Instance and in the fakes.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();

  EntryProcess& entry_process(int i) { return *entries_.at(EntryName(i)); }
  int entry_count() const { return options_.entries; }
  static std::string EntryName(int i) { return "entry-" + std::to_string(i); }
  static std::string UpstreamName(int rack, int i) {
    return "up-" + std::to_string(rack) + "-" + std::to_string(i);
  }
  fakes::UpstreamServerFake& upstream(const std::string& name) {
    return *upstreams_.at(name);
  }
  ManualExecutor& upstream_executor(const std::string& name) {
    return *upstream_executors_.at(name);
  }
  std::vector<std::string> upstream_names() const;
  fakes::LogServerFake& log() { return *log_; }
  fakes::InstanceListFake& list() { return *list_; }
  ManualClock& clock() { return clock_; }
  Network& network() { return network_; }
  const fakes::History& history() const { return history_; }

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

  /// The current process of an entry, or null if the name is unknown.
  EntryProcess* Find(const std::string& name);
  /// Finds an entry process by its address in the instance list.
  EntryProcess* FindByAddress(const std::string& address);

 private:
  friend class EntryPorts;
  void StartEntry(int i);
  void CheckRevisions();

  ClusterOptions options_;
  ManualClock clock_;
  Network network_;
  fakes::History history_;
  ManualExecutor platform_executor_{clock_};
  std::unique_ptr<fakes::LogServerFake> log_;
  std::unique_ptr<fakes::InstanceListFake> list_;
  std::map<std::string, std::unique_ptr<ManualExecutor>> upstream_executors_;
  std::map<std::string, std::unique_ptr<fakes::UpstreamServerFake>> upstreams_;
  std::map<std::string, std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<EntryProcess>> replaced_entries_;
  int64_t next_incarnation_ = 1;

 public:
  /// Names of entries whose revision decreased; must stay empty.
  std::vector<std::string> revision_regressions;
};

/// Returns a small repeatable request; tests modify it as needed.
wire::RequestSpec MakeSpec(const std::string& work, int64_t run_ms);

}  // namespace mimosarail::sim
