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
    Executor& executor, ports::LogPort& log, ConfigSource& source,
    ConfigLogClientOptions options,
    std::function<std::vector<std::string>()> peers,
    std::function<void()> changed)
    : executor_(executor),
      log_(log),
      source_(source),
      options_(std::move(options)),
      peers_(std::move(peers)),
      changed_(std::move(changed)),
      reader_(executor, log,
              {.stream = kConfigStream, .read_wait = options_.read_wait},
              [this](const wire::ReadReply& reply) { Consume(reply); }),
      checkpoint_seen_at_(executor.Now()) {}

void ConfigLogClient::Start() {
  reader_.Start();
  RunEvery(executor_, kPeerFetchInterval, [this] { FetchFromPeers(); });
  RunEvery(executor_, kCheckpointCheckInterval, [this] { CheckpointIfOld(); });
}

void ConfigLogClient::Consume(const wire::ReadReply& reply) {
  fold_.Consume(reply.first_retained, reply.records);
  OnFoldChanged();
}

void ConfigLogClient::OnFoldChanged() {
  ResolvePublishes();
  if (fold_.newest_checkpoint() != checkpoint_seen_) {
    checkpoint_seen_ = fold_.newest_checkpoint();
    checkpoint_seen_at_ = executor_.Now();
  }
  if (fold_.revision() == last_revision_) return;
  last_revision_ = fold_.revision();
  logging::Event(logging::Level::kInfo, "configuration_in_force",
                 {{"revision", std::to_string(last_revision_)},
                  {"author", fold_.state().author}});
  changed_();
}

void ConfigLogClient::Publish(const std::string& text,
                              const std::string& author, int64_t base,
                              std::function<void(PublishResult)> done) {
  PublishResult refused{.state = PublishState::kRefusedHere};
  refused.entry.author = author;
  refused.entry.base = base;
  refused.entry.revision = fold_.revision();
  refused.entry.decision = Decision::kInvalid;
  Findings findings;
  if (!rules::RuleSet::Parse(text, findings)) {
    refused.entry.findings = findings.list();
    return done(std::move(refused));
  }
  const std::string id = options_.name + "-" +
                         std::to_string(options_.incarnation) + "-" +
                         std::to_string(++next_id_);
  wire::ConfigRecord record;
  record.kind = wire::ConfigKind::kPublish;
  record.id = id;
  record.base = base;
  record.author = author;
  record.unix_ms = executor_.UnixMillis();
  record.text = text;
  publishing_[id] = {.record = rpc::Encode(record),
                     .until = executor_.Now() + options_.publish_wait,
                     .done = std::move(done)};
  AppendPublish(id);
  executor_.RunAfter(options_.publish_wait, [this, id] { ExpirePublish(id); });
}

void ConfigLogClient::AppendPublish(const std::string& id) {
  const auto found = publishing_.find(id);
  if (found == publishing_.end()) return;
  wire::AppendCall call;
  call.stream = kConfigStream;
  call.records.push_back(found->second.record);
  ++appends_;
  log_.Append(call, [this, id](const Result<wire::AppendReply>& reply) {
    if (reply.ok()) return;
    // The append may have taken effect. Appending the same id again is safe:
    // the fold applies only the first record with this id.
    executor_.RunAfter(options_.append_retry,
                       [this, id] { AppendPublish(id); });
  });
}

void ConfigLogClient::ExpirePublish(const std::string& id) {
  const auto found = publishing_.find(id);
  if (found == publishing_.end()) return;
  PublishResult result{.state = PublishState::kUnconfirmed};
  result.entry.id = id;
  result.entry.revision = fold_.revision();
  const auto done = std::move(found->second.done);
  publishing_.erase(found);
  done(std::move(result));
}

void ConfigLogClient::ResolvePublishes() {
  for (auto it = publishing_.begin(); it != publishing_.end();) {
    const AuditEntry* entry = fold_.FindAudit(it->first);
    if (entry == nullptr) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.done);
    it = publishing_.erase(it);
    done({.state = PublishState::kDecided, .entry = *entry});
  }
}

/// Appends a checkpoint if the newest one in the log is too old. The log keeps
/// records for a limited time only: without checkpoints the configuration
/// would expire together with its last publish, and an instance that starts
/// later would find none.
void ConfigLogClient::CheckpointIfOld() {
  if (!fold_.known() || fold_.revision() == 0 || !reader_.up()) return;
  // Without a spread all entries would append at the same moment. A delay
  // derived from the name lets the other entries read the first checkpoint and
  // skip their own.
  const auto spread = Millis(static_cast<int64_t>(
      Hash64(options_.name) %
      static_cast<uint64_t>(options_.checkpoint_every.count() / 4 + 1)));
  if (executor_.Now() - checkpoint_seen_at_ <
      options_.checkpoint_every + spread) {
    return;
  }
  checkpoint_seen_at_ = executor_.Now();
  const Checkpoint& state = fold_.state();
  wire::ConfigRecord record;
  record.kind = wire::ConfigKind::kCheckpoint;
  record.id = state.id;
  record.base = state.revision;
  record.as_of = fold_.position();
  record.author = state.author;
  record.unix_ms = state.unix_ms;
  record.text = state.text;
  wire::AppendCall call;
  call.stream = kConfigStream;
  call.records.push_back(rpc::Encode(record));
  ++appends_;
  log_.Append(call, [](const Result<wire::AppendReply>&) {
    // If the append failed, the checkpoint in the log stays old and a later
    // check appends again.
  });
}

void ConfigLogClient::FetchFromPeers() {
  const bool needed = !fold_.known() || !reader_.up();
  if (!needed) return;
  for (const std::string& address : peers_()) {
    source_.FetchConfig(
        address, [this](const Result<wire::ConfigFetchReply>& reply) {
          if (!reply.ok() || reply.value().revision == 0) return;
          const wire::ConfigFetchReply& fetched = reply.value();
          const bool adopted = fold_.Adopt({.revision = fetched.revision,
                                            .as_of = fetched.as_of,
                                            .id = fetched.id,
                                            .author = fetched.author,
                                            .unix_ms = fetched.unix_ms,
                                            .text = fetched.text});
          if (!adopted) return;
          reader_.Seek(fold_.position());
          OnFoldChanged();
        });
  }
}

wire::ConfigFetchReply ConfigLogClient::Describe() const {
  wire::ConfigFetchReply reply;
  // A revision that is in force here but is separated from the log by trimmed
  // records must not be passed on to other entries.
  if (!fold_.known()) return reply;
  const Checkpoint& state = fold_.state();
  reply.revision = state.revision;
  reply.as_of = fold_.position();
  reply.id = state.id;
  reply.author = state.author;
  reply.unix_ms = state.unix_ms;
  reply.text = state.text;
  return reply;
}

}  // namespace mimosarail::configlog
