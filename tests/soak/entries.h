#pragma once

#include <cstdint>
#include <memory>
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
  /// Folder of settings and logs.
  std::string folder;
  /// "ip:port" of callers and of other entries.
  std::string front;
  std::string peer;
  std::string store;
  std::vector<std::string> seeds;
};

/// "ip:port" that stays free for this process and its children.
std::string FreeAddress();

/// One entry instance as a process of its own, started again and again at the
/// same addresses. Not thread-safe.
class Entry {
 public:
  explicit Entry(EntryOptions options);

  void Start();
  /// SIGKILL, SIGTERM, SIGSTOP or SIGCONT.
  void Signal(int signal);
  bool alive() { return process_->Alive(); }
  /// It runs, and nobody has told it to end.
  bool healthy() { return alive() && !stopped_ && !stop_requested_; }
  /// How its last life ended, if by itself; empty if it was told to.
  std::string UnexpectedExit();
  /// Read from the log; 0 if it has not led yet.
  int64_t last_term_led();

  const std::string& name() const { return options_.name; }
  const std::string& front() const { return options_.front; }
  bool stopped() const { return stopped_; }
  /// When it was last started, or got a signal other than SIGTERM.
  TimePoint last_fault_at() const { return last_fault_at_; }
  int incarnation() const { return life_; }

 private:
  std::string Path(const char* suffix) const;

  EntryOptions options_;
  std::unique_ptr<scenarios::Process> process_;
  int life_ = 0;
  bool stopped_ = false;
  bool stop_requested_ = false;
  bool killed_ = false;
  TimePoint last_fault_at_{};
  std::streamoff log_read_ = 0;
  int64_t last_term_led_ = 0;
};

using Entries = std::vector<std::unique_ptr<Entry>>;

/// Signals to entries that overlap, the leader first, and restarts of those
/// that have ended, as drawn from a seed. Executor's thread only; what it is
/// given outlives it.
class ProcessFaultInjector {
 public:
  ProcessFaultInjector(Executor& executor, ConsistencyChecker& checker,
                       Entries& entries, uint64_t seed)
      : executor_(executor),
        checker_(checker),
        entries_(entries),
        random_(seed) {}

  void Start();
  /// No further signals; those that stand still go on. Restarts go on.
  void End();
  void KillAll();
  size_t signals() const { return signals_; }

 private:
  /// The entry that led last.
  Entry& Leader();
  void Watch();
  void Restart(Entry& entry);
  void Next();
  void InjectFault();
  void Signal(Entry& entry, int signal);
  /// Signals it again after `delay`, if it lives on.
  void SignalLater(Entry& entry, int signal, Millis delay);

  Executor& executor_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  SeededRandom random_;
  std::set<Entry*> restarting_;
  bool ending_ = false;
  size_t signals_ = 0;
};

}  // namespace mimosarail::soak
