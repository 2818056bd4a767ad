#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::rules {

/// What a rule's conditions look at.
struct Facts {
  const wire::RequestSpec* spec = nullptr;  ///< Never null when matching.
  int64_t waiting = 0;                      ///< Requests waiting at the entry.
  int32_t minute_of_day = 0;                ///< UTC.
};

/// Conditions of a rule; an absent one always holds.
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
  std::optional<int32_t> from_minute;  ///< With to_minute; may pass midnight.
  std::optional<int32_t> to_minute;
};

struct Rule {
  std::string name;
  Condition when;
  wire::Treatment then;
};

/// What a team may use at once, over the whole cell; absent is unlimited.
struct TeamLimit {
  std::optional<int64_t> millicores;
  std::optional<int64_t> waiting;
};

struct Prices {
  int64_t core_second = 1000000;          ///< Nanos.
  int64_t gb_second = 100000;             ///< Nanos.
  int64_t accelerator_second = 20000000;  ///< Nanos.
};

/// Which rule decided and, for those before it, why they did not.
struct Match {
  const Rule* rule = nullptr;
  std::vector<Finding> passed_over;
};

/// One checked configuration: limits, prices and the ordered rules.
/// Immutable once parsed, so safe from any thread.
class RuleSet {
 public:
  /// Parses and checks the whole text; the same text gives the same findings
  /// on every entry. Empty when there are findings.
  static std::optional<RuleSet> Parse(const std::string& text,
                                      Findings& findings);

  /// The first rule that holds. Every set ends with a rule that always holds.
  const Rule& Decide(const Facts& facts) const;
  /// Decide(), with the reason why each earlier rule does not hold.
  Match Explain(const Facts& facts) const;

  const TeamLimit* LimitOf(const std::string& team) const;
  int64_t max_waiting() const { return max_waiting_; }
  const std::vector<Rule>& rules() const { return rules_; }

  /// Cost of running `size` for `ran_ms`, in nanos.
  int64_t Cost(const wire::Resources& size, int64_t ran_ms) const;
  int64_t EstimatedCost(const wire::RequestSpec& spec) const;

 private:
  std::string Mismatch(const Condition& when, const Facts& facts) const;

  std::vector<Rule> rules_;
  std::map<std::string, TeamLimit> teams_;
  int64_t max_waiting_ = 5000;
  Prices prices_;
};

/// Names of the enumerations as rules and callers write them.
std::string_view KindName(wire::WorkKind::type kind);
std::optional<wire::WorkKind::type> FindKind(std::string_view name);
std::string_view GoalName(wire::PlacementGoal::type goal);

}  // namespace mimosarail::rules
