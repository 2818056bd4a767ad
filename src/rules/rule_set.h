#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/findings.h"

namespace mimosarail::rules {

/// What the conditions of a rule are evaluated on.
struct RuleInput {
  const wire::RequestSpec* spec = nullptr;  ///< Must be set.
  int64_t waiting = 0;                      ///< Requests waiting at the entry.
  int32_t minute_of_day = 0;                ///< UTC.
};

/// The conditions of a rule. An absent condition (an empty list or an unset
/// value) always holds.
struct Condition {
  /// The team of the request is one of these.
  std::vector<std::string> teams;
  /// The name of the work that the request asks for is one of these.
  std::vector<std::string> works;
  /// The request may run in these failure domains only.
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
  /// Time of day in minutes after midnight, UTC, from `from_minute` to before
  /// `to_minute`. Both are set or neither; the span may pass midnight.
  std::optional<int32_t> from_minute;
  std::optional<int32_t> to_minute;
};

/// A rule decides the treatment of the requests that meet its conditions.
struct Rule {
  std::string name;
  Condition when;
  wire::Treatment then;
};

/// Limits of one team over the whole cell. An absent value is unlimited.
struct TeamLimit {
  /// Cores that the running requests may use, in thousandths.
  std::optional<int64_t> millicores;
  /// Number of requests that may wait.
  std::optional<int64_t> waiting;
};

/// Prices of resources, in billionths of the currency unit.
struct Prices {
  int64_t core_second = 1000000;
  int64_t gb_second = 100000;
  int64_t accelerator_second = 20000000;
};

/// The first rule that holds and, for each rule before it, why it does not
/// hold.
struct RuleMatch {
  const Rule* rule = nullptr;
  std::vector<Finding> non_matching;
};

/// One checked configuration: limits, prices and the ordered rules.
/// Thread-safe, because it is immutable once parsed.
class RuleSet {
 public:
  /// Parses and checks the whole text. The result depends on the text alone, so
  /// that every entry accepts the same texts. Returns nullopt if there are
  /// findings.
  static std::optional<RuleSet> Parse(const std::string& text,
                                      Findings& findings);

  /// Returns the first rule that holds. The last rule of a set always holds.
  const Rule& Decide(const RuleInput& input) const;
  /// Like Decide(), with the reason why each earlier rule does not hold.
  RuleMatch Explain(const RuleInput& input) const;

  /// The limit of `team`, else the limit of the team "*"; null without either.
  const TeamLimit* LimitOf(const std::string& team) const;
  /// Limit on the number of requests that wait at an entry.
  int64_t max_waiting() const { return max_waiting_; }
  const std::vector<Rule>& rules() const { return rules_; }

  /// Cost of using the resources `size` for `ran_ms`, in billionths of the
  /// currency unit.
  int64_t Cost(const wire::Resources& size, int64_t ran_ms) const;
  /// Cost of all tasks of a request if each runs for its stated time.
  int64_t EstimatedCost(const wire::RequestSpec& spec) const;

 private:
  /// Returns the key of the first condition that does not hold; empty if all
  /// hold.
  std::string FirstFailedCondition(const Condition& when,
                                   const RuleInput& input) const;

  std::vector<Rule> rules_;
  std::map<std::string, TeamLimit> team_limits_;
  int64_t max_waiting_ = 5000;
  Prices prices_;
};

/// Names of the enumerators as operators write them in rules and callers in
/// requests.
std::string_view WorkKindName(wire::WorkKind::type kind);
std::optional<wire::WorkKind::type> FindWorkKind(std::string_view name);
std::string_view PlacementGoalName(wire::PlacementGoal::type goal);

}  // namespace mimosarail::rules
