#include "src/tool/commands.h"

#include <cstdio>
#include <functional>
#include <map>
#include <optional>

#include "src/callers/request_json.h"
#include "src/configlog/config_replica.h"
#include "src/rules/rule_set.h"
#include "src/tool/api_client.h"
#include "src/tool/config_commands.h"
#include "src/tool/input_file.h"
#include "src/tool/job_commands.h"
#include "src/tool/table.h"

namespace mimosarail::tool {
namespace {

using json::Json;

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnknown = 500;

using Args = std::vector<std::string>;

ExitCode UsageError(const std::string& message) {
  std::fprintf(stderr, "mimosarail: %s; see mimosarail --help\n",
               message.c_str());
  return ExitCode::kUsage;
}

ExitCode Unreachable(const Options& options, const Error& error) {
  std::fprintf(stderr, "mimosarail: %s does not answer: %s\n",
               options.server.c_str(), error.message.c_str());
  return ExitCode::kUnreachable;
}

ExitCode CodeOf(int status) {
  if (status == kHttpOk) return ExitCode::kOk;
  if (status == kHttpAccepted) return ExitCode::kPending;
  if (status == kHttpUnknown || status == kHttpNotFound) {
    return ExitCode::kUnknown;
  }
  return ExitCode::kRefused;
}

/// Prints one line with name and value for each member, or the JSON as
/// received.
void Show(const Json& body, const Options& options) {
  if (options.json || !body.is_object()) {
    std::printf("%s\n", body.dump(2).c_str());
    return;
  }
  for (const auto& [name, value] : body.items()) {
    if (name == "findings" && value.is_array()) {
      for (const Json& finding : value) {
        std::printf("  %s: %s\n", DisplayText(finding["place"]).c_str(),
                    DisplayText(finding["message"]).c_str());
      }
      continue;
    }
    std::printf("%-16s %s\n", name.c_str(), DisplayText(value).c_str());
  }
}

ExitCode ShowReply(const Result<ApiReply>& reply, const Options& options) {
  if (!reply.ok()) return Unreachable(options, reply.error());
  Show(reply.value().body, options);
  return CodeOf(reply.value().status);
}

ExitCode ShowRows(const Options& options, const std::string& path,
                  const std::string& member,
                  const std::vector<std::string>& columns) {
  ApiClient client(options.server);
  const auto reply = client.Get(path);
  if (!reply.ok()) return Unreachable(options, reply.error());
  const bool table = !options.json && reply.value().status == kHttpOk;
  if (table) {
    PrintTable(reply.value().body[member], columns);
  } else {
    Show(reply.value().body, options);
  }
  return CodeOf(reply.value().status);
}

void PrintFindings(const std::string& file, const Findings& findings) {
  std::fprintf(stderr, "%s: %zu findings\n%s", file.c_str(),
               findings.list().size(), findings.ToString().c_str());
}

// ---- rules

/// Prints, for each request in `file`, the rule that it matches.
ExitCode ExplainRequests(const rules::RuleSet& rules, const std::string& file) {
  const auto text = ReadInputFile(file);
  if (!text) return ExitCode::kUsage;
  Findings findings;
  const auto parsed = json::ParseText(*text, findings);
  if (parsed && !parsed->value.is_array()) {
    findings.Add("1:1", "must be an array of requests");
  }
  if (!findings.empty()) {
    PrintFindings(file, findings);
    return ExitCode::kUsage;
  }
  Json rows = Json::array();
  for (size_t i = 0; i < parsed->value.size(); ++i) {
    const std::string path = "[" + std::to_string(i) + "]";
    const auto spec =
        callers::ReadRequest(*parsed, parsed->value[i], path, findings);
    if (!spec) continue;
    const rules::RuleMatch match = rules.Explain({.spec = &*spec});
    std::string non_matching;
    for (const Finding& finding : match.non_matching) {
      non_matching += finding.place + " (" + finding.message + ") ";
    }
    rows.push_back({{"request", path + " " + spec->team + "/" + spec->work},
                    {"rule", match.rule->name},
                    {"non-matching rules", non_matching}});
  }
  PrintTable(rows, {"request", "rule", "non-matching rules"});
  if (findings.empty()) return ExitCode::kOk;
  PrintFindings(file, findings);
  return ExitCode::kUsage;
}

ExitCode RulesCheck(const Args& args, const Options& options) {
  if (args.size() < 3) return UsageError("rules check needs a file");
  const auto text = ReadInputFile(args[2]);
  if (!text) return ExitCode::kUsage;
  Findings findings;
  const auto rules = rules::RuleSet::Parse(*text, findings);
  if (!rules) {
    PrintFindings(args[2], findings);
    return ExitCode::kRefused;
  }
  std::printf("%s: %zu rules, no findings\n", args[2].c_str(),
              rules->rules().size());
  if (options.against.empty()) return ExitCode::kOk;
  return ExplainRequests(*rules, options.against);
}

/// Fetches the revision of the rules that is in force at an entry instance.
std::optional<Json> FetchRules(const Options& options) {
  ApiClient client(options.server);
  const auto reply = client.Get("/v1/rules");
  if (!reply.ok()) {
    Unreachable(options, reply.error());
    return std::nullopt;
  }
  return reply.value().body;
}

ExitCode RulesPublish(const Args& args, const Options& options) {
  if (args.size() < 3) return UsageError("rules publish needs a file");
  if (options.author.empty()) return UsageError("rules publish needs --author");
  const auto text = ReadInputFile(args[2]);
  if (!text) return ExitCode::kUsage;
  if (options.base < 0) {
    return UsageError(
        "rules publish needs --base, the revision that you "
        "edited (mimosarail rules show)");
  }
  ApiClient client(options.server);
  return ShowReply(client.Post("/v1/rules", {{"author", options.author},
                                             {"base", options.base},
                                             {"text", *text}}),
                   options);
}

ExitCode RulesShow(const Options& options) {
  const auto rules = FetchRules(options);
  if (!rules) return ExitCode::kUnreachable;
  if (options.json) {
    std::printf("%s\n", rules->dump(2).c_str());
    return ExitCode::kOk;
  }
  std::fprintf(stderr, "revision %s by %s\n",
               DisplayText((*rules)["revision"]).c_str(),
               DisplayText((*rules)["author"]).c_str());
  std::printf("%s", DisplayText((*rules)["text"]).c_str());
  return ExitCode::kOk;
}

ExitCode RulesDiff(const Args& args, const Options& options) {
  if (args.size() < 3) return UsageError("rules diff needs a file");
  const auto text = ReadInputFile(args[2]);
  if (!text) return ExitCode::kUsage;
  const auto rules = FetchRules(options);
  if (!rules) return ExitCode::kUnreachable;
  for (const std::string& line :
       configlog::Difference(DisplayText((*rules)["text"]), *text)) {
    std::printf("%s\n", line.c_str());
  }
  return ExitCode::kOk;
}

ExitCode Audit(const Options& options) {
  return ShowRows(
      options, "/v1/audit", "audit",
      {"offset", "revision", "base", "author", "verdict", "id", "difference"});
}

ExitCode Rules(const Args& args, const Options& options) {
  const std::string verb = args.size() > 1 ? args[1] : "";
  if (verb == "check") return RulesCheck(args, options);
  if (verb == "publish") return RulesPublish(args, options);
  if (verb == "show") return RulesShow(options);
  if (verb == "history") return Audit(options);
  if (verb == "diff") return RulesDiff(args, options);
  return UsageError("rules takes check, publish, show, history or diff");
}

// ---- requests

ExitCode Submit(const Args& args, const Options& options) {
  if (args.size() < 2) return UsageError("submit needs a file, or -");
  const auto text = ReadInputFile(args[1]);
  if (!text) return ExitCode::kUsage;
  Findings findings;
  if (!callers::ParseRequest(*text, findings)) {
    PrintFindings(args[1], findings);
    return ExitCode::kUsage;
  }
  const auto parsed = json::ParseText(*text, findings);
  ApiClient client(options.server);
  return ShowReply(
      client.Post("/v1/requests?wait_ms=" + std::to_string(options.wait_ms),
                  parsed->value),
      options);
}

ExitCode Status(const Args& args, const Options& options) {
  if (args.size() < 2) return UsageError(args[0] + " needs an id");
  if (!callers::ValidKey(args[1])) return UsageError("not an id: " + args[1]);
  ApiClient client(options.server);
  return ShowReply(client.Get("/v1/requests/" + args[1] +
                              "?wait_ms=" + std::to_string(options.wait_ms)),
                   options);
}

ExitCode Cancel(const Args& args, const Options& options) {
  ApiClient client(options.server);
  if (args.size() == 2) {
    if (!callers::ValidKey(args[1])) {
      return UsageError("not an id: " + args[1]);
    }
    return ShowReply(client.Delete("/v1/requests/" + args[1]), options);
  }
  Json body = Json::object();
  if (args.size() > 2) body["ids"] = Args(args.begin() + 1, args.end());
  if (!options.team.empty()) body["team"] = options.team;
  if (!options.work.empty()) body["work"] = options.work;
  if (body.empty()) return UsageError("cancel needs ids, --team or --work");
  return ShowReply(client.Post("/v1/cancel", body), options);
}

// ---- the system

ExitCode Instances(const Options& options) {
  return ShowRows(options, "/v1/instances", "instances",
                  {"name", "state", "phase", "failure_domain", "address",
                   "revision", "upstreams", "waiting"});
}

ExitCode Upstreams(const Options& options) {
  return ShowRows(options, "/v1/upstreams", "upstreams",
                  {"name", "rack", "failure_domain", "controller", "phase",
                   "term", "leaving", "failures", "free"});
}

ExitCode Queue(const Options& options) {
  return ShowRows(options, "/v1/requests", "requests",
                  {"id", "state", "rule", "team", "work", "waited_ms", "why"});
}

struct CostSum {
  double cost = 0;
  int64_t requests = 0;
  double cost_per_request() const {
    return requests == 0 ? 0 : cost / static_cast<double>(requests);
  }
};

ExitCode CompareCost(const Json& lines, const Options& options) {
  const size_t comma = options.compare.find(',');
  if (comma == std::string::npos) {
    return UsageError("--compare takes two revisions, such as 3,4");
  }
  const std::string one = options.compare.substr(0, comma);
  const std::string two = options.compare.substr(comma + 1);
  std::map<std::string, std::map<std::string, CostSum>> by_rule;
  for (const Json& line : lines) {
    const std::string revision = DisplayText(line["revision"]);
    if (revision != one && revision != two) continue;
    CostSum& sum = by_rule[DisplayText(line["rule"])][revision];
    sum.cost += line["cost"].get<double>();
    sum.requests += line["requests"].get<int64_t>();
  }
  Json rows = Json::array();
  for (auto& [rule, by_revision] : by_rule) {
    const CostSum& a = by_revision[one];
    const CostSum& b = by_revision[two];
    rows.push_back(
        {{"rule", rule},
         {"requests " + one, a.requests},
         {"cost each " + one, a.cost_per_request()},
         {"requests " + two, b.requests},
         {"cost each " + two, b.cost_per_request()},
         {"ratio", a.cost_per_request() > 0
                       ? Json(b.cost_per_request() / a.cost_per_request())
                       : Json()}});
  }
  if (options.json) {
    std::printf("%s\n", rows.dump(2).c_str());
    return ExitCode::kOk;
  }
  PrintTable(rows, {"rule", "requests " + one, "cost each " + one,
                    "requests " + two, "cost each " + two, "ratio"});
  return ExitCode::kOk;
}

ExitCode Cost(const Options& options) {
  if (options.compare.empty()) {
    return ShowRows(options, "/v1/cost", "cost",
                    {"day", "rule", "revision", "team", "requests", "cost",
                     "cost_per_request", "waited_ms_mean"});
  }
  ApiClient client(options.server);
  const auto reply = client.Get("/v1/cost");
  if (!reply.ok()) return Unreachable(options, reply.error());
  if (reply.value().status != kHttpOk) return ShowReply(reply, options);
  return CompareCost(reply.value().body["cost"], options);
}

}  // namespace

const char* Usage() {
  return "operates a mimosarail cell through any of its entry instances\n\n"
         "  mimosarail [--server IP:PORT] [--json] COMMAND\n\n"
         "Rules (ordered, the first that matches decides):\n"
         "  rules check FILE [--against REQUESTS]   check; show which rule "
         "each "
         "request matches\n"
         "  rules publish FILE --author NAME --base REVISION\n"
         "  rules show | history | diff FILE\n"
         "Requests:\n"
         "  submit FILE|- [--wait_ms N]\n"
         "  status ID [--wait_ms N]\n"
         "  why ID                                  what it waits for\n"
         "  cancel ID... | cancel --team T --work W\n"
         "State of the cell as seen by the entry instance at --server:\n"
         "  instances | upstreams | queue | audit\n"
         "  cost [--compare REVISION,REVISION]\n"
         "Jobs on the users' platform (--peer IP:PORT names any entry):\n"
         "  job leader\n"
         "  job submit FILE|-\n"
         "  job state ID | job cancel ID | job pending QUEUE\n"
         "Configuration of the users' platform (calls no entry):\n"
         "  config check FILE|- [--against FILE]    check a configuration "
         "document; show\n"
         "                                          what differs from the one "
         "in force\n"
         "    example: mimosarail config check new.json --against current.json"
         "\n\n"
         "Exit codes: 0 done, 1 refused or not run, 2 wrong usage, 3 no "
         "answer, 4 outcome unknown, 5 not ended yet.";
}

ExitCode Run(const std::vector<std::string>& args, const Options& options) {
  if (args.empty()) return UsageError("no command");
  using Handler = std::function<ExitCode(const Args&, const Options&)>;
  const auto without_args = [](ExitCode (*show)(const Options&)) -> Handler {
    return [show](const Args&, const Options& o) { return show(o); };
  };
  const std::map<std::string, Handler> commands{
      {"rules", Rules},
      {"submit", Submit},
      {"status", Status},
      {"why", Status},
      {"cancel", Cancel},
      {"instances", without_args(Instances)},
      {"upstreams", without_args(Upstreams)},
      {"queue", without_args(Queue)},
      {"audit", without_args(Audit)},
      {"cost", without_args(Cost)},
      {"config",
       [](const Args& all, const Options& o) {
         return RunConfig(Args(all.begin() + 1, all.end()), o);
       }},
      {"job",
       [](const Args& all, const Options& o) {
         return RunJob(Args(all.begin() + 1, all.end()), o);
       }},
  };
  const auto found = commands.find(args[0]);
  if (found == commands.end()) {
    return UsageError("unknown command " + args[0]);
  }
  return found->second(args, options);
}

}  // namespace mimosarail::tool
