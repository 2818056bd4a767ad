// Tests how the rules, limits and prices that operators write are parsed, and
// which findings faulty texts give.

#define BOOST_TEST_MODULE rules
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "src/rules/rule_set.h"

namespace mimosarail::rules {
namespace {

struct BadText {
  const char* text;
  const char* position;
  const char* message;
};

std::ostream& operator<<(std::ostream& out, const BadText& bad) {
  return out << bad.text;
}

const std::vector<BadText> kBadTexts{
    {"{", "1:2", "not JSON"},
    {"[]", "", "must be an object"},
    {R"({"rules": []})", "rules", "the last rule must match every request"},
    {R"({"rules": [], "rules": []})", "1:15 rules", "duplicate key"},
    {R"({"rule": [{"name": "a"}]})", "1:2 rule", "unknown key"},
    {R"({"rules": [{"name": "a", "then": {"priority": 10}}]})",
     "1:35 rules[0].then.priority", "from 0 to 9"},
    {R"({"rules": [{"name": "a", "then": {"goal": "stack"}}]})",
     "rules[0].then.goal", "one of pack, spread"},
    {R"({"rules": [{"name": "a"}, {"name": "b"}]})", "rules[1]",
     "unreachable: \"a\" before it"},
    {R"({"rules": [{"name": "a", "when": {"team": ["x", "y"]}},
                   {"name": "b", "when": {"team": ["x"], "urgent": true}},
                   {"name": "c"}]})",
     "rules[1]", "unreachable"},
    {R"({"rules": [{"name": "a", "when": {"urgent": true}}, {"name": "a"}]})",
     "rules[1]", "duplicate rule name \"a\""},
    {R"({"rules": [{"name": "a", "then": {"refuse": "no", "retries": 1}}]})",
     "rules[0].then.retries", "contradicts refuse"},
    {R"({"rules": [{"name": "a", "when": {"repeatable": false},
                    "then": {"retries": 1}}, {"name": "b"}]})",
     "rules[0].then.retries", "contradicts when.repeatable"},
    {R"({"rules": [{"name": "a", "when": {"from": "22:00"}}, {"name": "b"}]})",
     "rules[0].when.from", "go together"},
    {R"({"rules": [{"name": "a", "when": {"min_cores": 4, "max_cores": 2}},
                   {"name": "b"}]})",
     "rules[0].when.min_cores", "never holds"},
    {R"({"limits": {"teams": {"t": {"cores": -1}}}, "rules": [{"name": "a"}]})",
     "limits.teams.t.cores", "from 0"},
};

std::string FindingsOf(const std::string& text) {
  Findings findings;
  BOOST_TEST(!RuleSet::Parse(text, findings).has_value());
  return findings.ToString();
}

wire::RequestSpec Spec() {
  wire::RequestSpec spec;
  spec.team = "sales";
  spec.work = "report";
  spec.size.millicores = 2000;
  spec.run_ms = 60000;
  return spec;
}

}  // namespace

BOOST_DATA_TEST_CASE(malformed_texts_are_refused_with_the_position,
                     boost::unit_test::data::make(kBadTexts), bad) {
  const std::string found = FindingsOf(bad.text);
  BOOST_TEST(found.find(bad.position) != std::string::npos, found);
  BOOST_TEST(found.find(bad.message) != std::string::npos, found);
}

BOOST_AUTO_TEST_CASE(all_findings_of_a_text_are_reported_at_once) {
  Findings findings;
  RuleSet::Parse(R"({"limits": {"waiting": 0}, "rules": [
    {"name": "a", "when": {"colour": 1}, "then": {"priority": 77}},
    {"when": {"from": "25:00", "to": "1"}}]})",
                 findings);
  BOOST_TEST(findings.list().size() == 6U, findings.ToString());
}

struct MatchCase {
  const char* when;
  bool holds;
};

std::ostream& operator<<(std::ostream& out, const MatchCase& c) {
  return out << c.when;
}

const std::vector<MatchCase> kMatchCases{
    {R"({"team": ["sales"]})", true},
    {R"({"team": ["studio"]})", false},
    {R"({"work": ["report", "other"]})", true},
    {R"({"kind": "batch"})", true},
    {R"({"kind": "gang"})", false},
    {R"({"urgent": true})", false},
    {R"({"min_cores": 2})", true},
    {R"({"min_cores": 2.5})", false},
    {R"({"max_run_s": 60})", true},
    {R"({"max_run_s": 59})", false},
    {R"({"max_deadline_s": 10})", false},
    {R"({"min_waiting": 5})", true},
    {R"({"min_waiting": 6})", false},
    {R"({"from": "22:00", "to": "06:00"})", true},
    {R"({"from": "06:00", "to": "22:00"})", false},
    {R"({"min_cost": 0.1})", true},
    {R"({"min_cost": 0.2})", false},
    {R"({"failure_domain": ["Silom"]})", false},
};

BOOST_DATA_TEST_CASE(a_rule_holds_only_if_its_condition_does,
                     boost::unit_test::data::make(kMatchCases), c) {
  Findings findings;
  const auto rules =
      RuleSet::Parse(std::string(R"({"rules": [{"name": "first", "when": )") +
                         c.when + R"(}, {"name": "rest"}]})",
                     findings);
  BOOST_REQUIRE_MESSAGE(rules.has_value(), findings.ToString());
  const wire::RequestSpec spec = Spec();
  const RuleInput input{.spec = &spec, .waiting = 5, .minute_of_day = 23 * 60};
  BOOST_TEST(rules->Decide(input).name == (c.holds ? "first" : "rest"));
  BOOST_TEST(rules->Explain(input).non_matching.size() == (c.holds ? 0U : 1U));
}

BOOST_AUTO_TEST_CASE(first_match_wins_and_cost_adds_up) {
  Findings findings;
  const auto rules = RuleSet::Parse(R"({
    "prices": {"core_second": 0.5, "gb_second": 0, "accelerator_second": 2},
    "rules": [{"name": "one", "when": {"team": ["sales"]}, "then": {"priority": 1}},
              {"name": "two", "when": {"work": ["report"]}}, {"name": "rest"}]})",
                                    findings);
  BOOST_REQUIRE_MESSAGE(rules.has_value(), findings.ToString());
  wire::RequestSpec spec = Spec();
  BOOST_TEST(rules->Decide({.spec = &spec}).name == "one");
  spec.team = "other";
  BOOST_TEST(rules->Decide({.spec = &spec}).name == "two");
  spec.size.accelerators = 1;
  // 2 cores at 0.5 and one accelerator at 2, for 10 s.
  BOOST_TEST(rules->Cost(spec.size, 10000) == 30 * 1000000000LL);
}

}  // namespace mimosarail::rules
