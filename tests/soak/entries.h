#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "tests/scenarios/process.h"
#include "tests/soak/consistency_checker.h"
#include "tests/soak/faults.h"

namespace mimosarail::soak {

struct EntryOptions {
  std::string name;
  std::string daemon;
  /// Directory of the entry's settings and log.
  std::string folder;
  /// "ip:port" for callers and for other entries.
  std::string front;
  std::string peer;
  std::string store;
  std::vector<std::string> seeds;
  /// Turns on what is off by default: the order by cost of delay, admission by
  /// deadline, speeds of upstreams, and the rate of the link.
  bool overload_settings = false;
  /// Further settings of the entry.
  nlohmann::json settings = nlohmann::json::object();
};

/// "ip:port" that is reserved for this process and its children.
std::string FreeAddress();

/// One entry instance as a separate process, restarted at the same addresses.
/// Not thread-safe.
class Entry {
 public:
  explicit Entry(EntryOptions options);

  void Start();
  /// Sends SIGKILL, SIGTERM, SIGSTOP or SIGCONT to the process.
  void Signal(int signal);
  bool alive() { return process_->Alive(); }
  pid_t pid() const { return process_->pid(); }
  /// The process runs, is not paused, and was not asked to end.
  bool healthy() { return alive() && !paused_ && !shutdown_requested_; }
  /// Exit code of the process, or the negative number of the signal that ended
  /// it. Waits for the exit.
  int exit_code() { return process_->Wait(); }
  /// Describes the last exit of the process if it was not requested; empty
  /// otherwise. Waits for the exit.
  std::string UnexpectedExit();
  /// Last term in which the entry led, read from its log; 0 if none.
  int64_t last_term_led();

  const std::string& name() const { return options_.name; }
  const std::string& front() const { return options_.front; }
  bool paused() const { return paused_; }
  /// When the process was last started or got a signal other than SIGTERM.
  TimePoint last_fault_at() const { return last_fault_at_; }
  int incarnation() const { return incarnation_; }

 private:
  /// What the process has written since its start besides log lines, such as
  /// the report of a sanitizer. Limited in length.
  std::string ErrorOutput() const;
  std::string Path(const char* suffix) const;
  /// Size of the log file, which all processes of the entry append to; 0 if
  /// there is none yet.
  std::uintmax_t LogSize() const;

  EntryOptions options_;
  std::unique_ptr<scenarios::Process> process_;
  int incarnation_ = 0;
  bool paused_ = false;
  bool shutdown_requested_ = false;
  bool killed_ = false;
  TimePoint last_fault_at_{};
  std::uintmax_t log_size_at_start_ = 0;
  /// Offset up to which the log has been read.
  std::streamoff log_offset_ = 0;
  int64_t last_term_led_ = 0;
};

using Entries = std::vector<std::unique_ptr<Entry>>;

/// Sends overlapping signals to entries, preferably to the leader, and restarts
/// entries that have ended; all decisions follow from the seed. Executor's
/// thread only; all arguments must outlive the object.
class ProcessFaultInjector {
 public:
  ProcessFaultInjector(Executor& executor, ConsistencyChecker& checker,
                       Entries& entries, Millis max_interval, uint64_t seed)
      : executor_(executor),
        checker_(checker),
        entries_(entries),
        max_interval_(max_interval),
        random_(seed) {}

  void Start();
  /// Sends no further signals and resumes paused entries. Restarts continue.
  void End();
  void KillAll();
  size_t signals() const { return signals_; }

 private:
  /// The entry that last became the leader.
  Entry& Leader();
  void RestartEnded();
  void Restart(Entry& entry);
  void ScheduleNextFault();
  void InjectFault();
  void Signal(Entry& entry, int signal);
  /// Signals the entry after `delay`, unless its process was restarted.
  void SignalLater(Entry& entry, int signal, Millis delay);

  Executor& executor_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  /// Longest time between two signals.
  Millis max_interval_;
  SeededRandom random_;
  std::set<Entry*> restarting_;
  bool ending_ = false;
  size_t signals_ = 0;
};

}  // namespace mimosarail::soak
