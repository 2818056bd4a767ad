#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::rules {

/// The input of a rule's conditions.
struct RuleInput {
  const wire::RequestSpec* spec = nullptr;  ///< Never null when matching.
  int64_t waiting = 0;                      ///< Requests waiting at the entry.
  int32_t minute_of_day = 0;                ///< UTC.
};

/// The conditions of a rule; an absent condition always holds.
struct Condition {
  std::vector<std::string> teams;
  std::vector<std::string> works;
  std::vector<std::string> failure_domains;
  std::optional<wire::WorkKind::type> kind;
  std::optional<bool> urgent;
  std::optional<bool> repeatable;
  std::optional<int64_t> min_millicores;
  std::optional<int64_t> max_millicores;
  std::optional<int64_t> min_run_ms;
  std::optional<int64_t> max_run_ms;
  std::optional<int64_t> max_deadline_ms;
  std::optional<int64_t> min_waiting;
  std::optional<int64_t> min_cost_nanos;
  /// Set together with `to_minute`; the span may pass midnight.
  std::optional<int32_t> from_minute;
  std::optional<int32_t> to_minute;
};

struct Rule {
  std::string name;
  Condition when;
  wire::Treatment then;
};

/// The resources that a team may use at a time, over the whole cell. An absent
/// value is unlimited.
struct TeamLimit {
  std::optional<int64_t> millicores;
  std::optional<int64_t> waiting;
};

struct Prices {
  int64_t core_second = 1000000;          ///< Nanos.
  int64_t gb_second = 100000;             ///< Nanos.
  int64_t accelerator_second = 20000000;  ///< Nanos.
};

/// The rule that decided and, for each rule before it, why it does not hold.
struct Match {
  const Rule* rule = nullptr;
  std::vector<Finding> non_matching;
};

/// One checked configuration: limits, prices and the ordered rules.
/// Immutable once parsed, so thread-safe.
class RuleSet {
 public:
  /// Parses and checks the whole text; the same text gives the same findings
  /// on every entry. Returns nothing if there are findings.
  static std::optional<RuleSet> Parse(const std::string& text,
                                      Findings& findings);

  /// The first rule that holds. Every set ends with a rule that always holds.
  const Rule& Decide(const RuleInput& input) const;
  /// Decide(), with the reason why each earlier rule does not hold.
  Match Explain(const RuleInput& input) const;

  /// The limit of `team`, else the limit of the team "*"; null without either.
  const TeamLimit* LimitOf(const std::string& team) const;
  int64_t max_waiting() const { return max_waiting_; }
  const std::vector<Rule>& rules() const { return rules_; }

  /// Cost of running `size` for `ran_ms`, in nanos.
  int64_t Cost(const wire::Resources& size, int64_t ran_ms) const;
  int64_t EstimatedCost(const wire::RequestSpec& spec) const;

 private:
  /// The first condition that does not hold; empty if all hold.
  std::string Mismatch(const Condition& when, const RuleInput& input) const;

  std::vector<Rule> rules_;
  std::map<std::string, TeamLimit> teams_;
  int64_t max_waiting_ = 5000;
  Prices prices_;
};

/// Names of the enumerators as rules and callers write them.
std::string_view KindName(wire::WorkKind::type kind);
std::optional<wire::WorkKind::type> FindKind(std::string_view name);
std::string_view GoalName(wire::PlacementGoal::type goal);

}  // namespace mimosarail::rules
