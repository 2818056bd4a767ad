#include "src/configlog/config_log_client.h"

#include "src/libs/base/digest.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::configlog {
namespace {

constexpr Millis kPeerFetchInterval{500};
constexpr Millis kCheckpointCheckInterval{100};

}  // namespace

ConfigLogClient::ConfigLogClient(
    Executor& executor, ports::LogPort& log, PeerConfigSource& source,
    ConfigLogClientOptions options,
    std::function<std::vector<std::string>()> peer_addresses,
    std::function<void()> on_changed)
    : executor_(executor),
      log_(log),
      peer_source_(source),
      options_(std::move(options)),
      peer_addresses_(std::move(peer_addresses)),
      on_changed_(std::move(on_changed)),
      reader_(executor, log,
              {.stream = kConfigStream, .read_wait = options_.read_wait},
              [this](const wire::ReadReply& reply) { Consume(reply); }),
      recoverable_as_of_changed_at_(executor.Now()) {}

void ConfigLogClient::Start() {
  reader_.Start();
  RunEvery(executor_, kPeerFetchInterval, [this] { FetchFromPeers(); });
  RunEvery(executor_, kCheckpointCheckInterval,
           [this] { AppendCheckpointIfDue(); });
}

void ConfigLogClient::Consume(const wire::ReadReply& reply) {
  replica_.ApplyRead(reply.first_retained, reply.records);
  OnReplicaChanged();
}

void ConfigLogClient::OnReplicaChanged() {
  ResolvePublishes();
  if (replica_.recoverable_as_of() != last_recoverable_as_of_) {
    last_recoverable_as_of_ = replica_.recoverable_as_of();
    recoverable_as_of_changed_at_ = executor_.Now();
  }
  if (replica_.revision() == last_reported_revision_) return;
  last_reported_revision_ = replica_.revision();
  logging::Event(logging::Level::kInfo, "configuration_in_force",
                 {{"revision", std::to_string(last_reported_revision_)},
                  {"author", replica_.in_force().author}});
  on_changed_();
}

void ConfigLogClient::Publish(const std::string& text,
                              const std::string& author, int64_t base,
                              std::function<void(PublishResult)> done) {
  PublishResult refused{.state = PublishState::kRefusedHere};
  refused.entry.author = author;
  refused.entry.base = base;
  refused.entry.revision = replica_.revision();
  refused.entry.decision = Decision::kInvalid;
  Findings findings;
  if (!rules::RuleSet::Parse(text, findings)) {
    refused.entry.findings = findings.list();
    return done(std::move(refused));
  }
  const std::string id = options_.name + "-" +
                         std::to_string(options_.incarnation) + "-" +
                         std::to_string(++last_publish_number_);
  wire::ConfigRecord record;
  record.kind = wire::ConfigKind::kPublish;
  record.id = id;
  record.base = base;
  record.author = author;
  record.unix_ms = executor_.UnixMillis();
  record.text = text;
  pending_publishes_[id] = {
      .record = rpc::Encode(record),
      .expires_at = executor_.Now() + options_.publish_timeout,
      .done = std::move(done)};
  AppendPublish(id);
  executor_.RunAfter(options_.publish_timeout,
                     [this, id] { ExpirePublish(id); });
}

void ConfigLogClient::AppendPublish(const std::string& id) {
  const auto found = pending_publishes_.find(id);
  if (found == pending_publishes_.end()) return;
  wire::AppendCall call;
  call.stream = kConfigStream;
  call.records.push_back(found->second.record);
  ++appends_sent_;
  log_.Append(call, [this, id](const Result<wire::AppendReply>& reply) {
    if (reply.ok()) return;
    // The append may have taken effect. Appending the same id again is safe,
    // because replicas apply only the first record with this id.
    executor_.RunAfter(options_.append_retry_delay,
                       [this, id] { AppendPublish(id); });
  });
}

void ConfigLogClient::ExpirePublish(const std::string& id) {
  const auto found = pending_publishes_.find(id);
  if (found == pending_publishes_.end()) return;
  PublishResult result{.state = PublishState::kUnconfirmed};
  result.entry.id = id;
  result.entry.revision = replica_.revision();
  const auto done = std::move(found->second.done);
  pending_publishes_.erase(found);
  done(std::move(result));
}

void ConfigLogClient::ResolvePublishes() {
  for (auto it = pending_publishes_.begin(); it != pending_publishes_.end();) {
    const AuditEntry* entry = replica_.FindAuditEntry(it->first);
    if (entry == nullptr) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.done);
    it = pending_publishes_.erase(it);
    done({.state = PublishState::kDecided, .entry = *entry});
  }
}

/// Appends a checkpoint if the newest checkpoint or publish in the log is too
/// old. The log keeps records for a limited time only. Without checkpoints, the
/// configuration would expire together with its last publish, and an instance
/// that starts later would find none.
void ConfigLogClient::AppendCheckpointIfDue() {
  if (!replica_.revision_known() || replica_.revision() == 0 || !reader_.up()) {
    return;
  }
  // Without an extra delay all entries would append at the same moment. With a
  // delay derived from their names, the other entries read the checkpoint of
  // the first one and append none.
  const auto extra_delay = Millis(static_cast<int64_t>(
      Hash64(options_.name) %
      static_cast<uint64_t>(options_.checkpoint_interval.count() / 4 + 1)));
  if (executor_.Now() - recoverable_as_of_changed_at_ <
      options_.checkpoint_interval + extra_delay) {
    return;
  }
  recoverable_as_of_changed_at_ = executor_.Now();
  const Checkpoint& in_force = replica_.in_force();
  wire::ConfigRecord record;
  record.kind = wire::ConfigKind::kCheckpoint;
  record.id = in_force.id;
  record.base = in_force.revision;
  record.as_of = replica_.next_offset();
  record.author = in_force.author;
  record.unix_ms = in_force.unix_ms;
  record.text = in_force.text;
  wire::AppendCall call;
  call.stream = kConfigStream;
  call.records.push_back(rpc::Encode(record));
  ++appends_sent_;
  log_.Append(call, [](const Result<wire::AppendReply>&) {
    // If the append failed, the newest checkpoint in the log stays old, and a
    // later check appends again.
  });
}

void ConfigLogClient::FetchFromPeers() {
  const bool needed = !replica_.revision_known() || !reader_.up();
  if (!needed) return;
  for (const std::string& address : peer_addresses_()) {
    peer_source_.FetchConfig(
        address, [this](const Result<wire::ConfigFetchReply>& reply) {
          if (!reply.ok() || reply.value().revision == 0) return;
          const wire::ConfigFetchReply& fetched = reply.value();
          const bool adopted =
              replica_.AdoptFromPeer({.revision = fetched.revision,
                                      .as_of = fetched.as_of,
                                      .id = fetched.id,
                                      .author = fetched.author,
                                      .unix_ms = fetched.unix_ms,
                                      .text = fetched.text});
          if (!adopted) return;
          reader_.Seek(replica_.next_offset());
          OnReplicaChanged();
        });
  }
}

wire::ConfigFetchReply ConfigLogClient::MakeFetchReply() const {
  wire::ConfigFetchReply reply;
  // If this replica has missed records, its revision may be outdated and must
  // not be passed on to other entries.
  if (!replica_.revision_known()) return reply;
  const Checkpoint& in_force = replica_.in_force();
  reply.revision = in_force.revision;
  reply.as_of = replica_.next_offset();
  reply.id = in_force.id;
  reply.author = in_force.author;
  reply.unix_ms = in_force.unix_ms;
  reply.text = in_force.text;
  return reply;
}

}  // namespace mimosarail::configlog
