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

/// The decision on a published record, given by its position in the log.
enum class Decision { kAccepted, kStaleBase, kInvalid, kDuplicate };

std::string_view DecisionName(Decision decision);

/// One line of the audit trail.
struct AuditEntry {
  int64_t offset = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  int64_t base = 0;
  /// The revision in force after this record. For a refused record it is the
  /// revision that was in force instead.
  int64_t revision = 0;
  Decision decision = Decision::kAccepted;
  std::vector<Finding> findings;
  std::vector<std::string> difference;
};

/// A revision and the log offset up to which no record has superseded it.
struct Checkpoint {
  int64_t revision = 0;
  int64_t as_of = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  std::string text;
};

/// Folds the configuration stream into the revision in force. Every entry
/// that folds the same records from any valid checkpoint reaches the same
/// revision, so exactly one of several concurrent publishes wins without
/// compare-and-append. Uses no clock, socket or log. Not thread-safe.
class ConfigFold {
 public:
  /// Processes the records of one read in order. `first_retained` is the first
  /// offset that the log has not trimmed.
  void Consume(int64_t first_retained,
               const std::vector<wire::LogRecord>& records);

  /// Adopts the revision that a peer reports to be in force. Returns false if
  /// it is not newer or if trimmed records separate it from the records read
  /// here.
  bool Adopt(const Checkpoint& checkpoint);

  /// Whether the revision in force is known (0 means that none was published).
  bool known() const { return known_; }
  int64_t revision() const { return state_.revision; }
  const Checkpoint& state() const { return state_; }
  /// The rules in force; null before the first revision. Shared with the
  /// traffic threads.
  std::shared_ptr<const rules::RuleSet> rules() const { return rules_; }
  /// The next offset to read.
  int64_t position() const { return position_; }
  /// Up to this offset, the records read from the log suffice to determine the
  /// configuration: the largest `as_of` of the checkpoints read, or the offset
  /// after the last accepted publish.
  int64_t newest_checkpoint() const { return newest_checkpoint_; }
  const std::deque<AuditEntry>& audit() const { return audit_; }
  /// The audit entry of the record `id`; null if the audit trail has no such
  /// entry or has dropped it.
  const AuditEntry* FindAudit(const std::string& id) const;

  static constexpr size_t kMaxAudit = 500;

 private:
  void BeginGap(int64_t first_retained);
  void ConsumeOne(const wire::LogRecord& record);
  void Buffer(const wire::LogRecord& record);
  bool Restore(const Checkpoint& checkpoint);
  void Decide(int64_t offset, const wire::ConfigRecord& record);
  void AddAudit(AuditEntry entry);

  bool known_ = false;
  Checkpoint state_;
  std::shared_ptr<const rules::RuleSet> rules_;
  int64_t position_ = 0;
  /// While the revision is not known: the offset from which the buffered
  /// records are complete.
  int64_t covered_from_ = 0;
  std::vector<wire::LogRecord> buffer_;
  int64_t newest_checkpoint_ = -1;
  std::deque<AuditEntry> audit_;
};

/// The changes between two configuration texts, one line for each.
std::vector<std::string> Difference(const std::string& before,
                                    const std::string& after);

}  // namespace mimosarail::configlog
