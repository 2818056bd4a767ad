#include "src/rules/rule_set.h"

#include <algorithm>

#include "src/libs/json/object_reader.h"
#include "src/rules/names.h"

namespace mimosarail::rules {
namespace {

using json::Json;
using json::ObjectReader;

constexpr int64_t kMaxRules = 1000;
constexpr int64_t kMaxTextBytes = 1000000;
constexpr int64_t kMaxDurationMs = 7LL * 24 * 3600 * 1000;
constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kNanosPerUnit = 1000000000;
constexpr int32_t kMaxPriority = 9;
constexpr int32_t kMinutesPerHour = 60;
constexpr int32_t kMinutesPerDay = 24 * kMinutesPerHour;

template <typename T>
void ReadOptional(ObjectReader& reader, const std::string& key,
                  std::optional<T>& out, json::Bounds bounds) {
  if (!reader.Has(key)) return;
  T value = static_cast<T>(bounds.min);
  reader.Read(key, value, bounds);
  out = value;
}

void ReadOptional(ObjectReader& reader, const std::string& key,
                  std::optional<bool>& out) {
  if (!reader.Has(key)) return;
  bool value = false;
  reader.Read(key, value);
  out = value;
}

void ReadOptionalScaled(ObjectReader& reader, const std::string& key,
                        std::optional<int64_t>& out, int64_t max,
                        int64_t scale) {
  if (!reader.Has(key)) return;
  int64_t value = 0;
  reader.ReadScaled(key, value, {0, max}, scale);
  out = value;
}

/// Converts "HH:MM" to minutes after midnight.
std::optional<int32_t> ParseMinuteOfDay(const std::string& text) {
  if (text.size() != 5 || text[2] != ':') return std::nullopt;
  for (const size_t i : {0U, 1U, 3U, 4U}) {
    if (text[i] < '0' || text[i] > '9') return std::nullopt;
  }
  const int32_t hour = (text[0] - '0') * 10 + (text[1] - '0');
  const int32_t minute = (text[3] - '0') * 10 + (text[4] - '0');
  if (hour > 23 || minute > 59) return std::nullopt;
  return hour * kMinutesPerHour + minute;
}

void ReadMinuteOfDay(ObjectReader& reader, const std::string& key,
                     std::optional<int32_t>& out) {
  if (!reader.Has(key)) return;
  std::string text;
  reader.Read(key, text, {0, 5});
  out = ParseMinuteOfDay(text);
  if (!out) reader.Add(key, "must be a time of day such as 22:00 (UTC)");
}

Condition ReadCondition(ObjectReader reader) {
  Condition when;
  reader.Read("team", when.teams);
  reader.Read("work", when.works);
  reader.Read("failure_domain", when.failure_domains);
  if (reader.Has("kind")) {
    auto kind = wire::WorkKind::kBatch;
    reader.ReadEnum("kind", kWorkKindNames, kind);
    when.kind = kind;
  }
  ReadOptional(reader, "urgent", when.urgent);
  ReadOptional(reader, "repeatable", when.repeatable);
  ReadOptionalScaled(reader, "min_cores", when.min_millicores, 100000, 1000);
  ReadOptionalScaled(reader, "max_cores", when.max_millicores, 100000, 1000);
  ReadOptionalScaled(reader, "min_run_s", when.min_run_ms,
                     kMaxDurationMs / 1000, kMsPerSecond);
  ReadOptionalScaled(reader, "max_run_s", when.max_run_ms,
                     kMaxDurationMs / 1000, kMsPerSecond);
  ReadOptionalScaled(reader, "max_deadline_s", when.max_deadline_ms,
                     kMaxDurationMs / 1000, kMsPerSecond);
  ReadOptional(reader, "min_waiting", when.min_waiting, {0, 1000000});
  ReadOptionalScaled(reader, "min_cost", when.min_cost_nanos, 1000000000,
                     kNanosPerUnit);
  ReadMinuteOfDay(reader, "from", when.from_minute);
  ReadMinuteOfDay(reader, "to", when.to_minute);
  if (when.from_minute.has_value() != when.to_minute.has_value()) {
    reader.Add("from", "from and to go together");
  }
  if (when.min_millicores && when.max_millicores &&
      *when.min_millicores > *when.max_millicores) {
    reader.Add("min_cores", "is above max_cores, so the rule never holds");
  }
  if (when.min_run_ms && when.max_run_ms &&
      *when.min_run_ms > *when.max_run_ms) {
    reader.Add("min_run_s", "is above max_run_s, so the rule never holds");
  }
  reader.Finish();
  return when;
}

wire::Treatment ReadTreatment(ObjectReader reader, const Condition& when) {
  wire::Treatment then;
  then.priority = 4;
  then.wait_limit_ms = 3600 * kMsPerSecond;
  reader.Read("priority", then.priority, {0, kMaxPriority});
  reader.ReadEnum("goal", kPlacementGoalNames, then.goal);
  reader.ReadScaled("wait_limit_s", then.wait_limit_ms,
                    {0, kMaxDurationMs / 1000}, kMsPerSecond);
  reader.Read("retries", then.retries, {0, 100});
  reader.Read("preempt", then.preempt);
  reader.Read("refuse", then.refusal, {1, 200});
  if (!then.refusal.empty()) {
    for (const char* key :
         {"priority", "goal", "wait_limit_s", "retries", "preempt"}) {
      if (reader.Has(key)) reader.Add(key, "contradicts refuse");
    }
  }
  if (then.retries > 0 && when.repeatable == false) {
    reader.Add(
        "retries",
        "contradicts when.repeatable false: such requests run at most once");
  }
  reader.Finish();
  return then;
}

/// Whether `outer` holds for every value for which `inner` holds. An empty list
/// holds for every value. The functions below answer the same question for
/// other kinds of conditions.
bool ListCovers(const std::vector<std::string>& outer,
                const std::vector<std::string>& inner) {
  if (outer.empty()) return true;
  if (inner.empty()) return false;
  return std::all_of(inner.begin(), inner.end(), [&](const auto& value) {
    return std::find(outer.begin(), outer.end(), value) != outer.end();
  });
}

template <typename T>
bool EqualityCovers(const std::optional<T>& outer,
                    const std::optional<T>& inner) {
  return !outer || outer == inner;
}

bool MinCovers(const std::optional<int64_t>& outer,
               const std::optional<int64_t>& inner) {
  return !outer || (inner && *inner >= *outer);
}

bool MaxCovers(const std::optional<int64_t>& outer,
               const std::optional<int64_t>& inner) {
  return !outer || (inner && *inner <= *outer);
}

bool Covers(const Condition& outer, const Condition& inner) {
  return ListCovers(outer.teams, inner.teams) &&
         ListCovers(outer.works, inner.works) &&
         ListCovers(outer.failure_domains, inner.failure_domains) &&
         EqualityCovers(outer.kind, inner.kind) &&
         EqualityCovers(outer.urgent, inner.urgent) &&
         EqualityCovers(outer.repeatable, inner.repeatable) &&
         MinCovers(outer.min_millicores, inner.min_millicores) &&
         MaxCovers(outer.max_millicores, inner.max_millicores) &&
         MinCovers(outer.min_run_ms, inner.min_run_ms) &&
         MaxCovers(outer.max_run_ms, inner.max_run_ms) &&
         MaxCovers(outer.max_deadline_ms, inner.max_deadline_ms) &&
         MinCovers(outer.min_waiting, inner.min_waiting) &&
         MinCovers(outer.min_cost_nanos, inner.min_cost_nanos) &&
         EqualityCovers(outer.from_minute, inner.from_minute) &&
         EqualityCovers(outer.to_minute, inner.to_minute);
}

bool AlwaysHolds(const Condition& when) { return Covers(when, Condition{}); }

/// Reports duplicate names, rules that an earlier rule makes unreachable, and a
/// last rule that does not always hold.

void CheckRules(const json::JsonText& text, const std::vector<Rule>& rules,
                Findings& findings) {
  for (size_t later = 0; later < rules.size(); ++later) {
    const std::string path = "rules[" + std::to_string(later) + "]";
    for (size_t earlier = 0; earlier < later; ++earlier) {
      if (rules[earlier].name == rules[later].name) {
        findings.Add(text.PositionOf(path),
                     "duplicate rule name \"" + rules[later].name + "\"");
      }
      if (Covers(rules[earlier].when, rules[later].when)) {
        findings.Add(text.PositionOf(path),
                     "unreachable: \"" + rules[earlier].name +
                         "\" before it matches every such request");
        break;
      }
    }
  }
  if (rules.empty() || !AlwaysHolds(rules.back().when)) {
    findings.Add(text.PositionOf("rules"),
                 "the last rule must match every request (no when), so that a "
                 "rule applies to each request");
  }
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

bool IsWithinHours(const Condition& when, int32_t minute) {
  const int32_t from = *when.from_minute;
  const int32_t to = *when.to_minute;
  minute %= kMinutesPerDay;
  if (from <= to) return minute >= from && minute < to;
  return minute >= from || minute < to;
}

}  // namespace

std::string_view WorkKindName(wire::WorkKind::type kind) {
  return kWorkKindNames.Name(kind);
}

std::optional<wire::WorkKind::type> FindWorkKind(std::string_view name) {
  return kWorkKindNames.Find(name);
}

std::string_view PlacementGoalName(wire::PlacementGoal::type goal) {
  return kPlacementGoalNames.Name(goal);
}

std::optional<RuleSet> RuleSet::Parse(const std::string& text,
                                      Findings& findings) {
  if (text.size() > static_cast<size_t>(kMaxTextBytes)) {
    findings.Add("", "longer than " + std::to_string(kMaxTextBytes) + " bytes");
    return std::nullopt;
  }
  const auto parsed = json::ParseText(text, findings);
  if (!parsed) return std::nullopt;
  RuleSet out;
  ObjectReader reader(*parsed, parsed->value, "", findings);
  if (const Json* limits = reader.Object("limits")) {
    ObjectReader limit_reader(*parsed, *limits, "limits", findings);
    limit_reader.Read("waiting", out.max_waiting_, {1, 1000000});
    if (const Json* teams = limit_reader.Object("teams")) {
      for (const auto& [team, value] : teams->items()) {
        ObjectReader team_reader(*parsed, value, "limits.teams." + team,
                                 findings);
        TeamLimit& limit = out.team_limits_[team];
        ReadOptionalScaled(team_reader, "cores", limit.millicores, 10000000,
                           1000);
        ReadOptional(team_reader, "waiting", limit.waiting, {0, 1000000});
        team_reader.Finish();
      }
    }
    limit_reader.Finish();
  }
  if (const Json* prices = reader.Object("prices")) {
    ObjectReader price_reader(*parsed, *prices, "prices", findings);
    price_reader.ReadScaled("core_second", out.prices_.core_second, {0, 1000},
                            kNanosPerUnit);
    price_reader.ReadScaled("gb_second", out.prices_.gb_second, {0, 1000},
                            kNanosPerUnit);
    price_reader.ReadScaled("accelerator_second",
                            out.prices_.accelerator_second, {0, 1000},
                            kNanosPerUnit);
    price_reader.Finish();
  }
  const Json* rules = reader.Array("rules");
  if (rules == nullptr && !reader.Has("rules")) {
    reader.Add("rules", "is missing");
  }
  reader.Finish();
  if (rules == nullptr) return std::nullopt;
  if (rules->size() > static_cast<size_t>(kMaxRules)) {
    reader.Add("rules", "more than " + std::to_string(kMaxRules));
    return std::nullopt;
  }
  const size_t findings_before = findings.list().size();
  for (size_t i = 0; i < rules->size(); ++i) {
    const std::string path = "rules[" + std::to_string(i) + "]";
    ObjectReader rule_reader(*parsed, (*rules)[i], path, findings);
    Rule rule;
    rule_reader.Read("name", rule.name, {1, 64});
    if (rule.name.empty()) rule_reader.Add("name", "is missing");
    static const Json kEmpty = Json::object();
    const Json* when = rule_reader.Object("when");
    rule.when = ReadCondition(
        {*parsed, when != nullptr ? *when : kEmpty, path + ".when", findings});
    const Json* then = rule_reader.Object("then");
    rule.then = ReadTreatment(
        {*parsed, then != nullptr ? *then : kEmpty, path + ".then", findings},
        rule.when);
    rule.then.rule = rule.name;
    rule_reader.Finish();
    out.rules_.push_back(std::move(rule));
  }
  if (findings.list().size() == findings_before) {
    CheckRules(*parsed, out.rules_, findings);
  }
  if (!findings.empty()) return std::nullopt;
  return out;
}

std::string RuleSet::FirstFailedCondition(const Condition& when,
                                          const RuleInput& input) const {
  const wire::RequestSpec& spec = *input.spec;
  if (!when.teams.empty() && !Contains(when.teams, spec.team)) return "team";
  if (!when.works.empty() && !Contains(when.works, spec.work)) return "work";
  if (!when.failure_domains.empty()) {
    // A request that names no failure domain may run in any, and so also in
    // those that the rule does not list.
    const bool all_covered =
        !spec.failure_domains.empty() &&
        ListCovers(when.failure_domains, spec.failure_domains);
    if (!all_covered) return "failure_domain";
  }
  if (when.kind && *when.kind != spec.kind) return "kind";
  if (when.urgent && *when.urgent != spec.urgent) return "urgent";
  if (when.repeatable && *when.repeatable != spec.repeatable) {
    return "repeatable";
  }
  if (when.min_millicores && spec.size.millicores < *when.min_millicores) {
    return "min_cores";
  }
  if (when.max_millicores && spec.size.millicores > *when.max_millicores) {
    return "max_cores";
  }
  if (when.min_run_ms && spec.run_ms < *when.min_run_ms) return "min_run_s";
  if (when.max_run_ms && spec.run_ms > *when.max_run_ms) return "max_run_s";
  if (when.max_deadline_ms &&
      (spec.deadline_ms == 0 || spec.deadline_ms > *when.max_deadline_ms)) {
    return "max_deadline_s";
  }
  if (when.min_waiting && input.waiting < *when.min_waiting) {
    return "min_waiting";
  }
  if (when.min_cost_nanos && EstimatedCost(spec) < *when.min_cost_nanos) {
    return "min_cost";
  }
  if (when.from_minute && !IsWithinHours(when, input.minute_of_day)) {
    return "from/to";
  }
  return "";
}

const Rule& RuleSet::Decide(const RuleInput& input) const {
  for (const Rule& rule : rules_) {
    if (FirstFailedCondition(rule.when, input).empty()) return rule;
  }
  return rules_.back();
}

RuleMatch RuleSet::Explain(const RuleInput& input) const {
  RuleMatch match;
  for (const Rule& rule : rules_) {
    const std::string failed_condition = FirstFailedCondition(rule.when, input);
    if (failed_condition.empty()) {
      match.rule = &rule;
      return match;
    }
    match.non_matching.push_back(
        {rule.name, failed_condition + " does not hold"});
  }
  match.rule = &rules_.back();
  return match;
}

const TeamLimit* RuleSet::LimitOf(const std::string& team) const {
  auto found = team_limits_.find(team);
  if (found == team_limits_.end()) found = team_limits_.find("*");
  return found == team_limits_.end() ? nullptr : &found->second;
}

int64_t RuleSet::Cost(const wire::Resources& size, int64_t ran_ms) const {
  constexpr int64_t kMbPerGb = 1024;
  const int64_t per_second = prices_.core_second * size.millicores / 1000 +
                             prices_.gb_second * size.memory_mb / kMbPerGb +
                             prices_.accelerator_second * size.accelerators;
  return per_second * ran_ms / kMsPerSecond;
}

int64_t RuleSet::EstimatedCost(const wire::RequestSpec& spec) const {
  return Cost(spec.size, spec.run_ms) * spec.tasks;
}

}  // namespace mimosarail::rules
