#include "src/configlog/config_fold.h"

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

/// Limit of the records buffered while waiting for a checkpoint. The oldest
/// ones are dropped beyond it, which only narrows the choice of checkpoints.
constexpr size_t kMaxBuffer = 5000;

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

void ConfigFold::Consume(int64_t first_retained,
                         const std::vector<wire::LogRecord>& records) {
  if (first_retained > position_) BeginGap(first_retained);
  // Without a checkpoint, the revision in force is known only to a reader that
  // has read the stream from its very first record.
  if (!known_ && position_ == 0 && first_retained == 0) known_ = true;
  for (const wire::LogRecord& record : records) {
    if (record.offset < position_) continue;
    position_ = record.offset + 1;
    if (known_) {
      ConsumeOne(record);
    } else {
      Buffer(record);
    }
  }
}

/// Handles records that were trimmed before they were read. One of them may
/// have changed the revision. The revision in force here stays in force, but no
/// record may be decided against it until a checkpoint closes the gap.
/// Otherwise this entry could accept a publish that all other entries refuse.
void ConfigFold::BeginGap(int64_t first_retained) {
  known_ = false;
  position_ = first_retained;
  covered_from_ = first_retained;
  buffer_.clear();
}

void ConfigFold::Buffer(const wire::LogRecord& record) {
  buffer_.push_back(record);
  if (buffer_.size() > kMaxBuffer) {
    covered_from_ = buffer_.front().offset + 1;
    buffer_.erase(buffer_.begin());
  }
  const auto decoded = rpc::Decode<wire::ConfigRecord>(record.data);
  if (!decoded.ok() || decoded.value().kind != wire::ConfigKind::kCheckpoint) {
    return;
  }
  Restore(FromRecord(decoded.value()));
}

/// Starts from a checkpoint and folds every record that follows it. A
/// checkpoint that an instance appended late, when a newer publish was already
/// in the log, is still valid as of its own offset, and the publish is folded
/// on top of it: a re-append can never bring an older revision back. A
/// checkpoint whose `as_of` lies before the buffered records is rejected: a
/// publish between the two may be among the trimmed records.
bool ConfigFold::Restore(const Checkpoint& checkpoint) {
  if (checkpoint.as_of < covered_from_) return false;
  if (checkpoint.revision < state_.revision) return false;
  Findings findings;
  std::shared_ptr<const rules::RuleSet> rules;
  if (checkpoint.revision > 0) {
    auto parsed = rules::RuleSet::Parse(checkpoint.text, findings);
    if (!parsed) return false;
    rules = std::make_shared<const rules::RuleSet>(std::move(*parsed));
  }
  known_ = true;
  state_ = checkpoint;
  rules_ = std::move(rules);
  newest_checkpoint_ = std::max(newest_checkpoint_, checkpoint.as_of);
  const std::vector<wire::LogRecord> buffered = std::move(buffer_);
  buffer_.clear();
  for (const wire::LogRecord& record : buffered) {
    if (record.offset >= checkpoint.as_of) ConsumeOne(record);
  }
  position_ = std::max(position_, checkpoint.as_of);
  return true;
}

bool ConfigFold::Adopt(const Checkpoint& checkpoint) {
  if (known_ && checkpoint.as_of <= position_) return false;
  if (known_) {
    // The checkpoint is ahead of this reader. If it states no newer revision,
    // nothing has to be adopted: the reader gets there by its own reads. A
    // newer one is adopted because the log may be down.
    if (checkpoint.revision <= state_.revision) return false;
    covered_from_ = position_;
  }
  return Restore(checkpoint);
}

void ConfigFold::ConsumeOne(const wire::LogRecord& record) {
  const auto decoded = rpc::Decode<wire::ConfigRecord>(record.data);
  if (!decoded.ok()) {
    return AddAudit({.offset = record.offset,
                     .revision = state_.revision,
                     .decision = Decision::kInvalid,
                     .findings = {{"record", "does not decode"}}});
  }
  if (decoded.value().kind == wire::ConfigKind::kPublish) {
    return Decide(record.offset, decoded.value());
  }
  newest_checkpoint_ = std::max(newest_checkpoint_, decoded.value().as_of);
}

void ConfigFold::Decide(int64_t offset, const wire::ConfigRecord& record) {
  AuditEntry entry{.offset = offset,
                   .id = record.id,
                   .author = record.author,
                   .unix_ms = record.unix_ms,
                   .base = record.base,
                   .revision = state_.revision};
  if (const AuditEntry* earlier = FindAudit(record.id)) {
    // The reply to the append was lost, and the publisher appended again.
    entry.revision = earlier->revision;
    entry.decision = Decision::kDuplicate;
    return AddAudit(std::move(entry));
  }
  if (record.base != state_.revision) {
    entry.decision = Decision::kStaleBase;
    entry.findings.push_back(
        {"base", "revision " + std::to_string(state_.revision) + " by " +
                     state_.author + " is in force"});
    return AddAudit(std::move(entry));
  }
  Findings findings;
  auto parsed = rules::RuleSet::Parse(record.text, findings);
  if (!parsed) {
    entry.decision = Decision::kInvalid;
    entry.findings = findings.list();
    return AddAudit(std::move(entry));
  }
  entry.difference = Difference(state_.text, record.text);
  state_ = FromRecord(record);
  state_.revision = record.base + 1;
  state_.as_of = offset + 1;
  rules_ = std::make_shared<const rules::RuleSet>(std::move(*parsed));
  newest_checkpoint_ = std::max(newest_checkpoint_, offset + 1);
  entry.revision = state_.revision;
  AddAudit(std::move(entry));
}

void ConfigFold::AddAudit(AuditEntry entry) {
  audit_.push_back(std::move(entry));
  if (audit_.size() > kMaxAudit) audit_.pop_front();
}

const AuditEntry* ConfigFold::FindAudit(const std::string& id) const {
  const auto found = std::find_if(
      audit_.begin(), audit_.end(),
      [&](const AuditEntry& entry) { return entry.id == id && !id.empty(); });
  return found == audit_.end() ? nullptr : &*found;
}

}  // namespace mimosarail::configlog
