#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/configlog/config_replica.h"
#include "src/libs/base/executor.h"
#include "src/ports/stream_reader.h"

namespace mimosarail::configlog {

inline constexpr char kConfigStream[] = "config";

/// Fetches the configuration that is in force at a peer.
class PeerConfigSource {
 public:
  virtual ~PeerConfigSource() = default;
  virtual void FetchConfig(const std::string& address,
                           Callback<wire::ConfigFetchReply> done) = 0;
};

/// How a publish ended for its caller.
enum class PublishState {
  kDecided,      ///< Accepted or refused by its position in the log.
  kRefusedHere,  ///< Invalid; nothing was appended.
  kUnconfirmed,  ///< Not decided in time; may still come into force.
};

struct PublishResult {
  PublishState state = PublishState::kUnconfirmed;
  /// If decided, the audit entry of the record. If refused here, it contains
  /// the findings but no offset and no id. If unconfirmed, only the id and the
  /// revision in force are set.
  AuditEntry entry;
};

struct ConfigLogClientOptions {
  /// Name and incarnation of this entry; they make the ids of records unique.
  std::string name;
  int64_t incarnation = 0;
  Millis read_wait{1000};
  Millis checkpoint_interval{60000};
  Millis publish_timeout{5000};
  Millis append_retry_delay{1000};
};

/// Keeps this entry's replica of the configuration up to date by reading the
/// log, and from peers while the log is down. Publishes new configurations, and
/// appends checkpoints before the log removes the older records. Control thread
/// only.
class ConfigLogClient {
 public:
  /// `on_changed` runs when another revision has come into force.
  /// `peer_addresses` returns the addresses of the peers to fetch from.
  /// `executor`, `log` and `source` must outlive the client.
  ConfigLogClient(Executor& executor, ports::LogPort& log,
                  PeerConfigSource& source, ConfigLogClientOptions options,
                  std::function<std::vector<std::string>()> peer_addresses,
                  std::function<void()> on_changed);

  void Start();
  /// Appends `text` to the log as the successor of revision `base`. `done`
  /// receives the decision once the record has been read back from the log, or
  /// kUnconfirmed after the timeout.
  void Publish(const std::string& text, const std::string& author, int64_t base,
               std::function<void(PublishResult)> done);

  const ConfigReplica& replica() const { return replica_; }
  bool log_up() const { return reader_.up(); }
  int64_t appends() const { return appends_sent_; }
  int64_t reads() const { return reader_.reads(); }
  /// The reply to a peer that fetches the configuration; with revision 0 if the
  /// revision in force is not known.
  wire::ConfigFetchReply MakeFetchReply() const;

 private:
  struct PendingPublish {
    std::string record;
    TimePoint expires_at;
    std::function<void(PublishResult)> done;
  };

  void Consume(const wire::ReadReply& reply);
  void OnReplicaChanged();
  void ResolvePublishes();
  void AppendPublish(const std::string& id);
  void ExpirePublish(const std::string& id);
  void AppendCheckpointIfDue();
  void FetchFromPeers();

  Executor& executor_;
  ports::LogPort& log_;
  PeerConfigSource& peer_source_;
  ConfigLogClientOptions options_;
  std::function<std::vector<std::string>()> peer_addresses_;
  std::function<void()> on_changed_;
  ConfigReplica replica_;
  ports::StreamReader reader_;
  std::map<std::string, PendingPublish> pending_publishes_;
  int64_t last_reported_revision_ = 0;
  int64_t last_publish_number_ = 0;
  int64_t appends_sent_ = 0;
  int64_t last_recoverable_as_of_ = -1;
  /// When recoverable_as_of() last changed or a checkpoint was last appended.
  TimePoint recoverable_as_of_changed_at_{};
};

}  // namespace mimosarail::configlog
