#include "src/configlog/config_replica.h"

#include <algorithm>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/soft_assert.h"
#include "src/libs/json/json_text.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::configlog {
namespace {

constexpr EnumTable kDecisionNames{std::array{
    EnumName{Decision::kAccepted, "accepted"},
    EnumName{Decision::kStaleBase, "stale base"},
    EnumName{Decision::kInvalid, "invalid"},
    EnumName{Decision::kDuplicate, "duplicate"},
}};

/// Limit of the records that are buffered while the replica waits for a
/// checkpoint. Beyond it the oldest ones are dropped; a checkpoint as of a
/// dropped record can then not be used.
constexpr size_t kMaxBufferedRecords = 5000;

Checkpoint FromRecord(const wire::ConfigRecord& record) {
  return {.revision = record.base,
          .as_of = record.as_of,
          .id = record.id,
          .author = record.author,
          .unix_ms = record.unix_ms,
          .text = record.text};
}

json::Json ParseOrNull(const std::string& text) {
  Findings ignored;
  auto parsed = json::ParseText(text, ignored);
  return parsed ? std::move(parsed->value) : json::Json::object();
}

std::map<std::string, json::Json> RulesByName(const json::Json& config) {
  std::map<std::string, json::Json> out;
  if (!config.contains("rules") || !config["rules"].is_array()) return out;
  for (const json::Json& rule : config["rules"]) {
    if (rule.is_object()) out[rule.value("name", "")] = rule;
  }
  return out;
}

std::vector<std::string> SharedRuleOrder(
    const json::Json& config, const std::map<std::string, json::Json>& kept) {
  std::vector<std::string> out;
  if (!config.contains("rules") || !config["rules"].is_array()) return out;
  for (const json::Json& rule : config["rules"]) {
    if (!rule.is_object()) continue;
    std::string name = rule.value("name", "");
    if (kept.contains(name)) out.push_back(std::move(name));
  }
  return out;
}

}  // namespace

std::string_view DecisionName(Decision decision) {
  return kDecisionNames.Name(decision);
}

std::vector<std::string> Difference(const std::string& before,
                                    const std::string& after) {
  const json::Json old_config = ParseOrNull(before);
  const json::Json new_config = ParseOrNull(after);
  const auto old_rules = RulesByName(old_config);
  const auto new_rules = RulesByName(new_config);
  std::vector<std::string> out;
  for (const auto& [name, rule] : old_rules) {
    if (!new_rules.contains(name)) out.push_back("- rule " + name);
  }
  for (const auto& [name, rule] : new_rules) {
    const auto found = old_rules.find(name);
    if (found == old_rules.end()) {
      out.push_back("+ rule " + name);
    } else if (found->second != rule) {
      out.push_back("~ rule " + name + ": " + found->second.dump() + " -> " +
                    rule.dump());
    }
  }
  if (SharedRuleOrder(old_config, new_rules) !=
      SharedRuleOrder(new_config, old_rules)) {
    out.push_back("~ order of rules");
  }
  for (const char* section : {"limits", "prices"}) {
    const json::Json was = old_config.value(section, json::Json());
    const json::Json now = new_config.value(section, json::Json());
    if (was != now) {
      out.push_back("~ " + std::string(section) + ": " + was.dump() + " -> " +
                    now.dump());
    }
  }
  return out;
}

void ConfigReplica::ApplyRead(int64_t first_retained,
                              const std::vector<wire::LogRecord>& records) {
  if (first_retained > next_offset_) BeginGap(first_retained);
  // Without a checkpoint, the revision in force is known only if the stream is
  // read from its very first record on.
  if (!revision_known_ && next_offset_ == 0 && first_retained == 0) {
    revision_known_ = true;
  }
  for (const wire::LogRecord& record : records) {
    if (record.offset < next_offset_) continue;
    next_offset_ = record.offset + 1;
    if (revision_known_) {
      Apply(record);
    } else {
      BufferRecord(record);
    }
  }
}

/// Handles records that were trimmed before they were read. One of them may
/// have changed the revision. The revision in force here stays in force, but no
/// publish is decided until a checkpoint covers the missed records. Otherwise
/// this entry could accept a publish that all other entries refuse.
void ConfigReplica::BeginGap(int64_t first_retained) {
  revision_known_ = false;
  next_offset_ = first_retained;
  complete_from_ = first_retained;
  buffered_records_.clear();
}

void ConfigReplica::BufferRecord(const wire::LogRecord& record) {
  buffered_records_.push_back(record);
  if (buffered_records_.size() > kMaxBufferedRecords) {
    complete_from_ = buffered_records_.front().offset + 1;
    buffered_records_.erase(buffered_records_.begin());
  }
  const auto decoded = rpc::Decode<wire::ConfigRecord>(record.data);
  if (!decoded.ok() || decoded.value().kind != wire::ConfigKind::kCheckpoint) {
    return;
  }
  Restore(FromRecord(decoded.value()));
}

/// Starts from a checkpoint and applies every buffered record that follows it.
/// An instance may append a checkpoint late, when a newer publish is already in
/// the log. The checkpoint is still valid as of its own offset, and the publish
/// is applied after it, so that a late checkpoint never brings an older
/// revision back. A checkpoint whose `as_of` lies before the buffered records
/// is rejected, because a publish between the two may have been missed.
bool ConfigReplica::Restore(const Checkpoint& checkpoint) {
  if (checkpoint.as_of < complete_from_) return false;
  if (checkpoint.revision < in_force_.revision) return false;
  Findings findings;
  std::shared_ptr<const rules::RuleSet> rules;
  if (checkpoint.revision > 0) {
    auto parsed = rules::RuleSet::Parse(checkpoint.text, findings);
    if (!parsed) return false;
    rules = std::make_shared<const rules::RuleSet>(std::move(*parsed));
  }
  revision_known_ = true;
  in_force_ = checkpoint;
  rules_ = std::move(rules);
  recoverable_as_of_ = std::max(recoverable_as_of_, checkpoint.as_of);
  const std::vector<wire::LogRecord> buffered = std::move(buffered_records_);
  buffered_records_.clear();
  for (const wire::LogRecord& record : buffered) {
    if (record.offset >= checkpoint.as_of) Apply(record);
  }
  next_offset_ = std::max(next_offset_, checkpoint.as_of);
  return true;
}

bool ConfigReplica::AdoptFromPeer(const Checkpoint& checkpoint) {
  if (revision_known_ && checkpoint.as_of <= next_offset_) return false;
  if (revision_known_) {
    // The checkpoint is ahead of this replica. Unless it has a newer revision,
    // nothing has to be adopted: the replica gets there by its own reads. A
    // newer revision is adopted, because the log may be down.
    if (checkpoint.revision <= in_force_.revision) return false;
    complete_from_ = next_offset_;
  }
  return Restore(checkpoint);
}

void ConfigReplica::Apply(const wire::LogRecord& record) {
  const auto decoded = rpc::Decode<wire::ConfigRecord>(record.data);
  if (!decoded.ok()) {
    return AddAuditEntry({.offset = record.offset,
                          .revision = in_force_.revision,
                          .decision = Decision::kInvalid,
                          .findings = {{"record", "does not decode"}}});
  }
  if (decoded.value().kind == wire::ConfigKind::kPublish) {
    return DecidePublish(record.offset, decoded.value());
  }
  recoverable_as_of_ = std::max(recoverable_as_of_, decoded.value().as_of);
}

void ConfigReplica::DecidePublish(int64_t offset,
                                  const wire::ConfigRecord& record) {
  AuditEntry entry{.offset = offset,
                   .id = record.id,
                   .author = record.author,
                   .unix_ms = record.unix_ms,
                   .base = record.base,
                   .revision = in_force_.revision};
  if (const AuditEntry* earlier = FindAuditEntry(record.id)) {
    // The reply to the first append was lost, and the publisher appended again.
    entry.revision = earlier->revision;
    entry.decision = Decision::kDuplicate;
    return AddAuditEntry(std::move(entry));
  }
  if (record.base != in_force_.revision) {
    entry.decision = Decision::kStaleBase;
    entry.findings.push_back(
        {"base", "revision " + std::to_string(in_force_.revision) + " by " +
                     in_force_.author + " is in force"});
    return AddAuditEntry(std::move(entry));
  }
  Findings findings;
  auto parsed = rules::RuleSet::Parse(record.text, findings);
  if (!parsed) {
    entry.decision = Decision::kInvalid;
    entry.findings = findings.list();
    return AddAuditEntry(std::move(entry));
  }
  entry.difference = Difference(in_force_.text, record.text);
  in_force_ = FromRecord(record);
  in_force_.revision = record.base + 1;
  in_force_.as_of = offset + 1;
  rules_ = std::make_shared<const rules::RuleSet>(std::move(*parsed));
  recoverable_as_of_ = std::max(recoverable_as_of_, offset + 1);
  entry.revision = in_force_.revision;
  AddAuditEntry(std::move(entry));
}

void ConfigReplica::AddAuditEntry(AuditEntry entry) {
  audit_trail_.push_back(std::move(entry));
  if (audit_trail_.size() > kMaxAuditEntries) audit_trail_.pop_front();
}

const AuditEntry* ConfigReplica::FindAuditEntry(const std::string& id) const {
  const auto found = std::find_if(
      audit_trail_.begin(), audit_trail_.end(),
      [&](const AuditEntry& entry) { return entry.id == id && !id.empty(); });
  return found == audit_trail_.end() ? nullptr : &*found;
}

}  // namespace mimosarail::configlog
