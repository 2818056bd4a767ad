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

/// The decision on a published record. It depends only on the record and on
/// those before it in the log, so that every entry decides alike.
enum class Decision { kAccepted, kStaleBase, kInvalid, kDuplicate };

std::string_view DecisionName(Decision decision);

/// An entry of the audit trail, which has one for each published record and for
/// each record that does not decode.
struct AuditEntry {
  /// Offset of the record in the log.
  int64_t offset = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  /// The revision that the record was to succeed.
  int64_t base = 0;
  /// The revision in force after this record. If the record was refused, this
  /// is the revision that stayed in force; if it is a duplicate, the revision
  /// in the entry of the first record.
  int64_t revision = 0;
  Decision decision = Decision::kAccepted;
  std::vector<Finding> findings;
  std::vector<std::string> difference;
};

/// A revision of the configuration that is in force after all records with an
/// offset below `as_of`.
struct Checkpoint {
  int64_t revision = 0;
  int64_t as_of = 0;
  std::string id;
  std::string author;
  int64_t unix_ms = 0;
  std::string text;
};

/// A replica of the configuration: a state machine that applies the records of
/// the configuration stream in order and thereby determines the revision in
/// force. Every entry that applies the same records, from any valid checkpoint
/// on, reaches the same revision. Exactly one of several concurrent publishes
/// therefore wins, although the log offers no compare-and-append. Uses no
/// clock, socket or log. Not thread-safe.
class ConfigReplica {
 public:
  /// Applies the records of one read, which are in the order of their offsets.
  /// `first_retained` is the first offset that the log has not trimmed.
  void ApplyRead(int64_t first_retained,
                 const std::vector<wire::LogRecord>& records);

  /// Puts a revision into force that is in force at a peer. Returns false if it
  /// is not newer, if its text is invalid, or if records may be missing between
  /// it and the records read here.
  bool AdoptFromPeer(const Checkpoint& checkpoint);

  /// Whether revision() is certain to be the revision in force. After missed
  /// records it is not, until a checkpoint covers them.
  bool revision_known() const { return revision_known_; }
  /// 0 before the first publish.
  int64_t revision() const { return in_force_.revision; }
  const Checkpoint& in_force() const { return in_force_; }
  /// The rules in force; null before the first revision. Shared with the
  /// traffic threads.
  std::shared_ptr<const rules::RuleSet> rules() const { return rules_; }
  /// The next offset to read.
  int64_t next_offset() const { return next_offset_; }
  /// The newest offset for which a checkpoint or a publish states the revision
  /// in force: the largest `as_of` of the checkpoints read or adopted, or the
  /// offset after the last accepted publish. -1 without either.
  int64_t recoverable_as_of() const { return recoverable_as_of_; }
  const std::deque<AuditEntry>& audit_trail() const { return audit_trail_; }
  /// The first audit entry of the record `id`; null if the audit trail has none
  /// or has dropped it.
  const AuditEntry* FindAuditEntry(const std::string& id) const;

  static constexpr size_t kMaxAuditEntries = 500;

 private:
  void BeginGap(int64_t first_retained);
  void Apply(const wire::LogRecord& record);
  void BufferRecord(const wire::LogRecord& record);
  bool Restore(const Checkpoint& checkpoint);
  void DecidePublish(int64_t offset, const wire::ConfigRecord& record);
  void AddAuditEntry(AuditEntry entry);

  bool revision_known_ = false;
  Checkpoint in_force_;
  std::shared_ptr<const rules::RuleSet> rules_;
  int64_t next_offset_ = 0;
  /// While the revision is not known, all records from this offset up to
  /// `next_offset_` are buffered. Records before it may have been missed.
  int64_t complete_from_ = 0;
  std::vector<wire::LogRecord> buffered_records_;
  int64_t recoverable_as_of_ = -1;
  std::deque<AuditEntry> audit_trail_;
};

/// The changes between two configuration texts, one line for each.
std::vector<std::string> Difference(const std::string& before,
                                    const std::string& after);

}  // namespace mimosarail::configlog
