#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configlog_types.h"
#include "platform_types.h"
#include "src/libs/base/findings.h"
#include "src/rules/rule_set.h"

namespace mimosarail::configlog {

/// What the log's order made of a published record.
enum class Decision { kAccepted, kStaleBase, kInvalid, kDuplicate };

std::string_view DecisionName(Decision decision);

/// One line of the audit trail.
struct AuditEntry {
  int64_t offset = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  int64_t base = 0;
  /// In force after this record; for a loser, the revision that beat it.
  int64_t revision = 0;
  Decision decision = Decision::kAccepted;
  std::vector<Finding> findings;
  std::vector<std::string> difference;
};

/// A revision and the log offset up to which it is the last word.
struct Checkpoint {
  int64_t revision = 0;
  int64_t as_of = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  std::string text;
};

/// Folds the configuration stream into the revision in force. Every entry
/// that folds the same records from any true checkpoint reaches the same
/// revision, so racing operators have one winner without compare-and-append.
/// No clock, socket or log inside. Not thread-safe.
class ConfigFold {
 public:
  /// Takes the records of one read in order. `first_retained` tells what the
  /// log has trimmed.
  void Consume(int64_t first_retained,
               const std::vector<wire::LogRecord>& records);

  /// Takes what a peer says is in force. False when it is not newer or cannot
  /// be joined to what was read.
  bool Adopt(const Checkpoint& checkpoint);

  /// Whether the revision in force is known (0 means that none was published).
  bool known() const { return known_; }
  int64_t revision() const { return state_.revision; }
  const Checkpoint& state() const { return state_; }
  /// Null before the first revision. Shared with the traffic threads.
  std::shared_ptr<const rules::RuleSet> rules() const { return rules_; }
  /// The next offset to read.
  int64_t position() const { return position_; }
  /// Latest `as_of` of any checkpoint seen in the log, or offset of the last
  /// accepted record: how fresh the log's own copy is.
  int64_t newest_copy() const { return newest_copy_; }
  const std::deque<AuditEntry>& audit() const { return audit_; }
  /// The verdict on a record by its id, while the audit trail holds it.
  const AuditEntry* FindAudit(const std::string& id) const;

  static constexpr size_t kMaxAudit = 500;

 private:
  void Gap(int64_t first_retained);
  void ConsumeOne(const wire::LogRecord& record);
  void Buffer(const wire::LogRecord& record);
  bool Restore(const Checkpoint& checkpoint);
  void Decide(int64_t offset, const wire::ConfigRecord& record);
  void Audit(AuditEntry entry);

  bool known_ = false;
  Checkpoint state_;
  std::shared_ptr<const rules::RuleSet> rules_;
  int64_t position_ = 0;
  /// While not known: where the unbroken run of buffered records begins.
  int64_t covered_from_ = 0;
  std::vector<wire::LogRecord> buffer_;
  int64_t newest_copy_ = -1;
  std::deque<AuditEntry> audit_;
};

/// What changed between two configuration texts, a line each.
std::vector<std::string> Difference(const std::string& before,
                                    const std::string& after);

}  // namespace mimosarail::configlog
