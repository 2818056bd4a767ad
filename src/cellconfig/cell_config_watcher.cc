#include "src/cellconfig/cell_config_watcher.h"

#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::cellconfig {

using logging::Level;

namespace {

/// Number of accounts, for the log.
std::string AccountCount(const ports::CellConfig& config) {
  return config.accounts ? std::to_string(config.accounts->size()) : "none";
}

}  // namespace

CellConfigWatcher::CellConfigWatcher(
    Executor& executor, ports::CellConfigPort& port,
    faults::MalformedRecordReporter& malformed_records,
    CellConfigWatcherOptions options, Events events)
    : executor_(executor),
      port_(port),
      malformed_records_(malformed_records),
      options_(options),
      events_(std::move(events)) {}

void CellConfigWatcher::Start() { ReadNewest(); }

void CellConfigWatcher::RetryLater(void (CellConfigWatcher::*next)()) {
  executor_.RunAfter(options_.retry_delay, [this, next] { (this->*next)(); });
}

void CellConfigWatcher::ReadNewest() {
  port_.ReadNewest(options_.call_timeout + options_.read_wait,
                   [this, asked = TimeWithSuspension()](
                       const Result<ports::ConfigUpdate>& update) {
                     if (!update.ok()) {
                       logging::Event(Level::kWarning, "configuration not read",
                                      {{"cause", update.error().message}});
                       return RetryLater(&CellConfigWatcher::ReadNewest);
                     }
                     cursor_ = update.value().cursor;
                     ApplyWaves(update.value());
                     if (update.value().documents.empty()) {
                       return RetryLater(&CellConfigWatcher::ReadNewest);
                     }
                     ApplyDocuments(update.value());
                     events_.on_confirmed(asked);
                     ReadChange();
                   });
}

void CellConfigWatcher::ReadChange() {
  port_.ReadChange(
      cursor_, options_.read_wait, options_.read_wait + options_.call_timeout,
      [this, asked = TimeWithSuspension()](
          const Result<ports::ConfigUpdate>& update) {
        if (update.ok()) {
          if (!std::exchange(reachable_, true)) {
            logging::Event(Level::kInfo, "configuration followed again");
          }
          cursor_ = update.value().cursor;
          ApplyWaves(update.value());
          ApplyDocuments(update.value());
          events_.on_confirmed(asked);
          return ReadChange();
        }
        // The history at the cursor has been removed: only the newest state can
        // be read.
        if (update.error().code == Errc::kInvalid) return ReadNewest();
        if (std::exchange(reachable_, false)) {
          logging::Event(Level::kWarning, "configuration not followed",
                         {{"cause", update.error().message},
                          {"version", std::to_string(config_.version)}});
        }
        // At an unreadable record, every further read from the same cursor
        // would fail.
        const bool unreadable = update.error().code == Errc::kMalformed;
        RetryLater(unreadable ? &CellConfigWatcher::ReadNewest
                              : &CellConfigWatcher::ReadChange);
      });
}

void CellConfigWatcher::ApplyDocuments(const ports::ConfigUpdate& update) {
  // A malformed document may follow a valid one that this entry has not seen
  // yet; the valid one is then in force.
  for (const std::string& document : update.documents) {
    ApplyDocument(document, "store");
  }
}

void CellConfigWatcher::ApplyWaves(const ports::ConfigUpdate& update) {
  for (const ports::WaveRequest& wave : update.waves) {
    if (!waves_.insert_or_assign(wave.wave, wave).second) continue;
    logging::Event(Level::kInfo, "maintenance wave requested",
                   {{"wave", std::to_string(wave.wave)},
                    {"hosts", std::to_string(wave.hosts.size())},
                    {"most_at_once", std::to_string(wave.max_unavailable)},
                    {"duration_ms", std::to_string(wave.duration.count())}});
  }
}

void CellConfigWatcher::Offer(const std::string& document, const char* source) {
  ApplyDocument(document, source);
}

void CellConfigWatcher::ApplyDocument(const std::string& document,
                                      const char* source) {
  Result<ports::CellConfig> decoded = port_.Decode(document);
  if (!decoded.ok()) {
    return malformed_records_.Report(faults::RecordSource::kConfiguration,
                                     source, decoded.error().message);
  }
  if (decoded.value().version <= config_.version) return;
  logging::Event(Level::kInfo, "configuration in force",
                 {{"version", std::to_string(decoded.value().version)},
                  {"before", std::to_string(config_.version)},
                  {"queues", std::to_string(decoded.value().queues.size())},
                  {"accounts", AccountCount(decoded.value())},
                  {"source", source}});
  config_ = std::move(decoded.value());
  document_ = document;
  events_.on_changed();
}

}  // namespace mimosarail::cellconfig
