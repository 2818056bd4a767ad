#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/configlog/config_fold.h"
#include "src/libs/base/executor.h"
#include "src/ports/stream_reader.h"

namespace mimosarail::configlog {

inline constexpr char kConfigStream[] = "config";

/// Fetches from a peer the configuration that is in force there.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;
  virtual void FetchConfig(const std::string& address,
                           Callback<wire::ConfigFetchReply> done) = 0;
};

enum class PublishState { kDecided, kRefusedHere, kUnconfirmed };

/// The result of a publish. The content of `entry` depends on `state`.
/// kDecided: the audit entry of the record. kRefusedHere: the findings; nothing
/// was appended. kUnconfirmed: only the id and the revision in force; the
/// record may still come into force.
struct PublishResult {
  PublishState state = PublishState::kUnconfirmed;
  AuditEntry entry;
};

struct ConfigLogClientOptions {
  std::string name;  ///< Name of this entry; makes record ids unique.
  int64_t incarnation = 0;
  Millis read_wait{1000};
  Millis checkpoint_every{60000};
  Millis publish_wait{5000};
  Millis append_retry{1000};
};

/// Keeps the configuration in force up to date: reads the log, publishes,
/// appends checkpoints before the log's retention ends, and fetches the
/// configuration from peers when the log is down. Control thread only.
class ConfigLogClient {
 public:
  /// `changed` runs when another revision came into force. `peers` returns the
  /// addresses of the peers to fetch from. The ports outlive it.
  ConfigLogClient(Executor& executor, ports::LogPort& log, ConfigSource& source,
                  ConfigLogClientOptions options,
                  std::function<std::vector<std::string>()> peers,
                  std::function<void()> changed);

  void Start();
  /// Appends `text` as the successor of revision `base`, and learns the
  /// decision by reading the record back from the log.
  void Publish(const std::string& text, const std::string& author, int64_t base,
               std::function<void(PublishResult)> done);

  const ConfigFold& fold() const { return fold_; }
  bool log_up() const { return reader_.up(); }
  int64_t appends() const { return appends_; }
  int64_t reads() const { return reader_.reads(); }
  /// The reply to a peer that fetches the configuration.
  wire::ConfigFetchReply Describe() const;

 private:
  struct Publishing {
    std::string record;
    TimePoint until;
    std::function<void(PublishResult)> done;
  };

  void Consume(const wire::ReadReply& reply);
  void OnFoldChanged();
  void ResolvePublishes();
  void AppendPublish(const std::string& id);
  void ExpirePublish(const std::string& id);
  void CheckpointIfOld();
  void FetchFromPeers();

  Executor& executor_;
  ports::LogPort& log_;
  ConfigSource& source_;
  ConfigLogClientOptions options_;
  std::function<std::vector<std::string>()> peers_;
  std::function<void()> changed_;
  ConfigFold fold_;
  ports::StreamReader reader_;
  std::map<std::string, Publishing> publishing_;
  int64_t last_revision_ = 0;
  int64_t next_id_ = 0;
  int64_t appends_ = 0;
  int64_t checkpoint_seen_ = -1;
  TimePoint checkpoint_seen_at_{};
};

}  // namespace mimosarail::configlog
