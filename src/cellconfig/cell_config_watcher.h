#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/faults/malformed_record_reporter.h"
#include "src/ports/cell_config_port.h"

namespace mimosarail::cellconfig {

struct CellConfigWatcherOptions {
  /// How long one read waits for a change. A connection that has stopped
  /// responding is detected within this time plus the call timeout, well before
  /// a change must be in force (2 s).
  Millis read_wait{900};
  /// Timeout of a call, in addition to the time for which it waits.
  Millis call_timeout{500};
  Millis retry_delay{150};
};

/// Keeps the newest configuration of the cell. The version never decreases: an
/// older version than the known one is ignored, wherever it comes from. A
/// document that does not decode leaves the current one in force. Control
/// thread only.
class CellConfigWatcher {
 public:
  struct Events {
    /// A new version is in force.
    std::function<void()> on_changed;
    /// When the store was asked, there was no version that this entry does not
    /// know by now. The time includes the time for which the machine was
    /// suspended.
    std::function<void(TimePoint asked)> on_confirmed;
  };

  /// The executor, the port and the reporter outlive this object.
  CellConfigWatcher(Executor& executor, ports::CellConfigPort& port,
                    faults::MalformedRecordReporter& malformed_records,
                    CellConfigWatcherOptions options, Events events);

  void Start();
  /// Puts a document that another entry passed on in force, if it is newer.
  void Offer(const std::string& document, const char* source);

  /// Whether the store answered this entry's last read for changes.
  bool reachable() const { return reachable_; }
  /// Whether this entry has a configuration.
  bool known() const { return config_.version > 0; }
  const ports::CellConfig& config() const { return config_; }
  /// The document from which config() was decoded; empty if there is none.
  const std::string& document() const { return document_; }
  /// All requested maintenance waves, by number.
  const std::map<int64_t, ports::WaveRequest>& waves() const { return waves_; }

 private:
  void ReadNewest();
  void ReadChange();
  void ApplyDocuments(const ports::ConfigUpdate& update);
  /// Puts a document in force if it decodes and is newer than the current one.
  void ApplyDocument(const std::string& document, const char* source);
  void ApplyWaves(const ports::ConfigUpdate& update);
  TimePoint TimeWithSuspension() const {
    return executor_.Now() + executor_.Suspended();
  }
  void RetryLater(void (CellConfigWatcher::*next)());

  Executor& executor_;
  ports::CellConfigPort& port_;
  faults::MalformedRecordReporter& malformed_records_;
  CellConfigWatcherOptions options_;
  Events events_;
  ports::CellConfig config_;
  std::string document_;
  std::map<int64_t, ports::WaveRequest> waves_;
  int64_t cursor_ = 0;
  bool reachable_ = true;
};

}  // namespace mimosarail::cellconfig
