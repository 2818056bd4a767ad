// Findings of `mimosarail config check`: one case for each finding, with a
// document that has it and one that does not. All documents pass the decoder
// that the entries use.

#define BOOST_TEST_MODULE config_check
#include "src/configcheck/config_check.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "platform/config_format.h"
#include "platform/json_reader.h"
#include "platform/store_codec.h"
#include "src/configcheck/config_difference.h"
#include "src/jobentry/access_table.h"
#include "src/libs/base/digest.h"

namespace mimosarail::configcheck {
namespace {

using platform::Json;

constexpr const char* kKey = "secret-key-of-";

Json Queue(const std::string& name, const std::string& prefix) {
  return {{"name", name},      {"host", "h"},      {"prefix", prefix},
          {"service", "pool"}, {"slackFactor", 2}, {"targetDurationMs", 100},
          {"priority", 0},     {"maxAttempts", 2}};
}

Json Account(const std::string& name) {
  return {{"name", name},
          {"apiKeys", {kKey + name}},
          {"weight", 2},
          {"maxCount", {{"cpu", 40000}, {"memMb", 120000}, {"gpu", 0}}}};
}

/// A document without findings.
Json Document() {
  return {{"version", 7},
          {"routes", {Queue("a", "/a/"), Queue("b", "/b/")}},
          {"tenants", {Account("x"), Account("y")}}};
}

ports::CellConfig Decoded(const Json& document) {
  const auto config = platform::DecodeConfig(document.dump());
  BOOST_REQUIRE_MESSAGE(config.ok(), document.dump());
  return config.value();
}

std::vector<ConfigFinding> Check(const Json& document) {
  return CheckConfig(Decoded(document), platform::ConfigFormat());
}

std::vector<ConfigFinding> Compare(const Json& now, const Json& before) {
  return CompareConfigs(Decoded(now), Decoded(before),
                        platform::ConfigFormat());
}

std::string Text(const std::vector<ConfigFinding>& findings) {
  std::string out;
  for (const ConfigFinding& finding : findings) {
    out += std::string(kSeverityNames.Name(finding.severity)) + " " +
           finding.place + ": " + finding.reason + "\n";
  }
  return out;
}

/// Checks that there is exactly one finding, with this severity and place, and
/// a reason that contains the text.
void CheckOnly(const std::vector<ConfigFinding>& findings, Severity severity,
               const std::string& place, const std::string& reason) {
  BOOST_REQUIRE_MESSAGE(findings.size() == 1U, Text(findings));
  BOOST_TEST(kSeverityNames.Name(findings[0].severity) ==
             kSeverityNames.Name(severity));
  BOOST_TEST(findings[0].place == place);
  BOOST_TEST(findings[0].reason.find(reason) != std::string::npos,
             findings[0].reason);
}

/// Checks that one of the findings has this severity, place and text.
void CheckAmong(const std::vector<ConfigFinding>& findings, Severity severity,
                const std::string& place, const std::string& reason) {
  const bool found = std::any_of(
      findings.begin(), findings.end(), [&](const ConfigFinding& finding) {
        return finding.severity == severity && finding.place == place &&
               finding.reason.find(reason) != std::string::npos;
      });
  BOOST_TEST(found, place + ": " + reason + " not in\n" + Text(findings));
}

void CheckNone(const Json& document) {
  const auto findings = Check(document);
  BOOST_TEST(findings.empty(), Text(findings));
}

struct CommandResult {
  int exit_code = -1;
  /// Standard output and standard error.
  std::string output;
};

CommandResult RunTool(const std::string& arguments) {
  const std::string command =
      std::string(MIMOSARAIL) + " " + arguments + " 2>&1";
  CommandResult out;
  FILE* pipe = popen(command.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  std::array<char, 4096> chunk{};
  size_t size = 0;
  while ((size = fread(chunk.data(), 1, chunk.size(), pipe)) > 0) {
    out.output.append(chunk.data(), size);
  }
  const int status = pclose(pipe);
  out.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return out;
}

/// Writes a document to a file in the working directory; returns its path.
std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = "config_check_test_" + name + ".json";
  std::ofstream(path) << text;
  return path;
}

}  // namespace

/// Guards against findings on documents that are in order.
BOOST_AUTO_TEST_CASE(DocumentInOrderHasNoFindings) {
  CheckNone(Document());
  Json without_accounts = Document();
  without_accounts.erase("tenants");
  CheckNone(without_accounts);
  CheckNone({{"version", 1}, {"routes", Json::array()}});
}

/// Guards against a finding that names another queue than the one that the
/// entries never select.
BOOST_AUTO_TEST_CASE(QueueWithTheSelectorOfALaterOneIsNeverSelected) {
  Json document = Document();
  document["routes"].push_back(Queue("c", "/a/"));
  CheckOnly(Check(document), Severity::kError, "routes[0]", "routes[2]");
  const jobentry::AccessTable table(Decoded(document));
  BOOST_TEST(table.FindQueue("h", "/a/")->policy.name == "c");
  document["routes"][2]["host"] = "h2";
  CheckNone(document);
  document["routes"][2] = Queue("c", "/a/longer/");
  CheckNone(document);
}

/// Guards against hosts and prefixes that no call can have.
BOOST_AUTO_TEST_CASE(SelectorThatNoCallHasIsFound) {
  for (const std::string& prefix :
       {std::string("/a?b/"), std::string("/a b/"), std::string("/a\n"),
        std::string("/a\0", 3)}) {
    Json document = Document();
    document["routes"][0]["prefix"] = prefix;
    CheckOnly(Check(document), Severity::kError, "routes[0].prefix",
              "matches no path");
  }
  Json document = Document();
  document["routes"][0]["prefix"] = "a/";
  CheckOnly(Check(document), Severity::kWarning, "routes[0].prefix", "'/'");
  for (const char* host : {" h", "\th", "h\r\n"}) {
    document = Document();
    document["routes"][1]["host"] = host;
    CheckOnly(Check(document), Severity::kError, "routes[1].host",
              "matches no Host header");
  }
  document["routes"][1]["host"] = "Jobs.example";
  CheckOnly(Check(document), Severity::kWarning, "routes[1].host",
            "capital letters");
  document["routes"][1]["host"] = "jobs.example:8080";
  CheckNone(document);
}

/// Guards against two queues that operators cannot tell apart.
BOOST_AUTO_TEST_CASE(QueuesOfOneNameAreFound) {
  Json document = Document();
  document["routes"][1]["name"] = "a";
  CheckOnly(Check(document), Severity::kWarning, "routes[1].name", "routes[0]");
}

/// Guards against queues whose jobs are late whatever the cell does.
BOOST_AUTO_TEST_CASE(ObjectiveWithoutTimeIsFound) {
  Json document = Document();
  Json& queue = document["routes"][1];
  queue["slackFactor"] = 0;
  CheckNone(document);
  queue["targetDurationMs"] = 0;
  CheckOnly(Check(document), Severity::kError, "routes[1].slackFactor",
            "objective");
  queue["slackFactor"] = 0.5;
  CheckOnly(Check(document), Severity::kWarning, "routes[1].slackFactor",
            "below 1");
  queue["slackFactor"] = 1;
  CheckNone(document);
}

/// Guards against advisers whose tickets expire before they can be used.
BOOST_AUTO_TEST_CASE(TicketsThatExpireTooEarlyAreFound) {
  Json document = Document();
  Json& adviser = document["routes"][0]["advisor"];
  adviser = {{"decideMs", 700}, {"periodMs", 10}, {"validMs", 710}};
  CheckNone(document);
  adviser["validMs"] = 709;
  CheckOnly(Check(document), Severity::kWarning, "routes[0].advisor.validMs",
            "710 ms");
  adviser["validMs"] = 60;
  CheckOnly(Check(document), Severity::kError, "routes[0].advisor.validMs",
            "no task can start");
  adviser.erase("validMs");
  CheckNone(document);
}

/// Guards against accounts that can make no calls.
BOOST_AUTO_TEST_CASE(AccountsThatCanMakeNoCallsAreFound) {
  Json document = Document();
  document["tenants"][1]["apiKeys"] = Json::array();
  CheckOnly(Check(document), Severity::kWarning, "tenants[1].apiKeys",
            "has no key");
  for (const char* key : {"two words", "\t", "\xc3\xa4", "a\r\nb"}) {
    document["tenants"][1]["apiKeys"] = {"good", key};
    const auto findings = Check(document);
    CheckOnly(findings, Severity::kError, "tenants[1].apiKeys[1]",
              "no call can carry");
    BOOST_TEST(Text(findings).find(key) == std::string::npos);
  }
  document["tenants"] = Json::array();
  CheckOnly(Check(document), Severity::kWarning, "tenants", "401");
  document["routes"][0]["public"] = true;
  CheckNone(document);
}

/// Guards against accounts that are starved for want of a weight.
BOOST_AUTO_TEST_CASE(WeightOfZeroBesideOthersIsFound) {
  Json document = Document();
  document["tenants"][0].erase("weight");
  CheckOnly(Check(document), Severity::kWarning, "tenants[0].weight", "is 0");
  document["tenants"][1]["weight"] = 0;
  CheckNone(document);
}

/// Guards against limits of 0 that are meant as "nothing".
BOOST_AUTO_TEST_CASE(LimitOfZeroIsFound) {
  Json document = Document();
  Json& limit = document["tenants"][1]["maxCount"];
  limit = {{"cpu", 0}, {"memMb", 0}};
  CheckOnly(Check(document), Severity::kNote, "tenants[1].maxCount",
            "no limit");
  limit = {{"cpu", 0}, {"memMb", 1000}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[1].maxCount.cpu",
            "no limit");
  limit = {{"cpu", 1000}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[1].maxCount.memMb",
            "no limit");
  for (Json& account : document["tenants"]) {
    account.erase("maxCount");
    account.erase("weight");
  }
  CheckNone(document);
}

/// Guards against limits that contradict each other, and against errors where
/// it is not certain that no task fits.
BOOST_AUTO_TEST_CASE(LimitThatFitsNoUsualTaskIsFound) {
  Json document = Document();
  Json& limit = document["tenants"][0]["maxCount"];
  limit = {{"cpu", 99}, {"memMb", 500}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[0].maxCount.cpu",
            "smaller than usual tasks");
  limit = {{"cpu", 400}, {"memMb", 63}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[0].maxCount.memMb",
            "smaller than usual tasks");
  limit = {{"cpu", 100}, {"memMb", 64}};
  CheckNone(document);
  limit = {{"cpu", 1000000}, {"memMb", 127000}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[0].maxCount.memMb",
            "cores is never reached");
  limit = {{"cpu", 1000}, {"memMb", 65537}};
  CheckOnly(Check(document), Severity::kWarning, "tenants[0].maxCount.cpu",
            "memory is never reached");
  limit = {{"cpu", 1000}, {"memMb", 65536}};
  CheckNone(document);
}

/// Guards against keys in the output where two accounts share one. The decoder
/// refuses such documents, so the check sees them only in part.
BOOST_AUTO_TEST_CASE(KeyOfTwoAccountsIsNamedByItsDigest) {
  Json document = Document();
  document["tenants"][1]["apiKeys"] = {"other", kKey + std::string("x")};
  Findings findings;
  const auto partial = platform::DecodeConfig(document.dump(), findings);
  BOOST_REQUIRE(partial.ok());
  BOOST_REQUIRE_EQUAL(findings.list().size(), 1U);
  const auto owners = CheckKeyOwners(partial.value(), platform::ConfigFormat());
  CheckOnly(owners, Severity::kError, "tenants[1].apiKeys[1]",
            "\"x\" and \"y\"");
  BOOST_TEST(findings.list()[0].place == owners[0].place);
  BOOST_TEST(owners[0].reason.find(ShortDigest("secret-key-of-x")) !=
             std::string::npos);
  BOOST_TEST(owners[0].reason.find("secret") == std::string::npos);
  document = Document();
  document["tenants"][1]["apiKeys"] = {"other", "other"};
  CheckOnly(Check(document), Severity::kNote, "tenants[1].apiKeys[1]",
            "listed twice");
}

/// Guards against digests that operators cannot reproduce with xxh64sum. The
/// value is the specification's for an empty input.
BOOST_AUTO_TEST_CASE(DigestIsTheBeginningOfXxh64) {
  BOOST_TEST(ShortDigest("") == "ef46db37");
}

/// Guards against keys that are printed since they are the name of an account,
/// and against names that move the terminal's cursor.
BOOST_AUTO_TEST_CASE(NamesAreShownSafely) {
  Json document = Document();
  document["tenants"][1]["name"] = "secret-key-of-x";
  document["tenants"][1]["apiKeys"] = Json::array();
  auto findings = Check(document);
  CheckAmong(findings, Severity::kWarning, "tenants[1].name", "also a key");
  BOOST_TEST(Text(findings).find("secret") == std::string::npos);
  const std::string differences = Text(Compare(document, Document()));
  BOOST_TEST(differences.find("secret") == std::string::npos);
  document["tenants"][1]["name"] = "y\x1b[2J\n";
  findings = Check(document);
  CheckOnly(findings, Severity::kWarning, "tenants[1].apiKeys", "y?[2J?");
}

/// Guards against places that differ from those of the decoder.
BOOST_AUTO_TEST_CASE(PlacesAreThoseOfTheDecoder) {
  Json document = Document();
  Json& queue = document["routes"][1];
  for (const char* name : {"name", "host", "prefix", "slackFactor", "public"}) {
    queue[name] = Json::array();
  }
  queue["advisor"] = {{"validMs", "1"}};
  Json& account = document["tenants"][1];
  for (const char* name : {"name", "weight"}) account[name] = Json::array();
  account["apiKeys"] = {""};
  account["maxCount"] = {{"cpu", -1}, {"memMb", -1}, {"gpu", -1}};
  document["tenants"][0]["apiKeys"] = 1;
  document["tenants"].push_back({{"name", "z"}, {"maxCount", 1}});
  document["version"] = 0;
  Findings findings;
  BOOST_REQUIRE(platform::DecodeConfig(document.dump(), findings).ok());
  std::vector<std::string> places;
  for (const Finding& finding : findings.list()) {
    places.push_back(finding.place);
  }
  const platform::ConfigFormat format;
  std::vector<std::string> expected{
      format.VersionPlace(), format.KeyPlace(1, 0),
      format.AccountPlace(0, AccountField::kKeys),
      format.AccountPlace(2, AccountField::kLimit)};
  for (const QueueField field :
       {QueueField::kName, QueueField::kHost, QueueField::kPrefix,
        QueueField::kSlackFactor, QueueField::kOpen,
        QueueField::kTicketValidity}) {
    expected.push_back(format.QueuePlace(1, field));
  }
  for (const AccountField field :
       {AccountField::kName, AccountField::kWeight, AccountField::kMillicores,
        AccountField::kMemory, AccountField::kAccelerators}) {
    expected.push_back(format.AccountPlace(1, field));
  }
  std::sort(places.begin(), places.end());
  std::sort(expected.begin(), expected.end());
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

/// Guards against a document that the check accepts and the entries do not, or
/// the other way round.
BOOST_AUTO_TEST_CASE(BothDecodersAreTheSame) {
  for (const char* document :
       {"", "7", "[]", "{}", "{\"version\":1}", "{\"version\":0,\"routes\":[]}",
        "{\"version\":1,\"routes\":[]}"}) {
    Findings findings;
    const auto list = platform::DecodeConfig(document, findings);
    BOOST_TEST(platform::DecodeConfig(document).ok() ==
                   (list.ok() && findings.empty()),
               document);
  }
}

/// Guards against a version that operators publish and entries ignore.
BOOST_AUTO_TEST_CASE(VersionThatEntriesIgnoreIsFound) {
  Json now = Document();
  CheckOnly(Compare(now, Document()), Severity::kNote, "version", "not higher");
  now["routes"][0]["priority"] = 1;
  const auto findings = Compare(now, Document());
  CheckAmong(findings, Severity::kError, "version", "ignore");
  now["version"] = 8;
  BOOST_TEST(!HasErrors(Compare(now, Document())));
  now = Document();
  now["version"] = 8;
  BOOST_TEST(Compare(now, Document()).empty());
}

/// Guards against differences of queues that are not shown, or with a wrong
/// effect.
BOOST_AUTO_TEST_CASE(DifferencesOfQueuesAreShown) {
  Json before = Document();
  Json now = Document();
  now["version"] = 8;
  now["routes"][1] = Queue("c", "/c/");
  auto findings = Compare(now, before);
  BOOST_REQUIRE_EQUAL(findings.size(), 2U);
  CheckAmong(findings, Severity::kWarning, "in force: routes[1]", "get 404");
  CheckAmong(findings, Severity::kNote, "routes[1]", "is added");

  before["routes"].push_back(Queue("inner", "/a/inner/"));
  now = Document();
  now["version"] = 8;
  CheckOnly(Compare(now, before), Severity::kWarning, "in force: routes[2]",
            "go to queue \"a\"");

  now = Document();
  now["version"] = 8;
  now["routes"][0]["priority"] = 3;
  now["routes"][0]["slackFactor"] = 2.5;
  CheckOnly(Compare(now, Document()), Severity::kNote, "routes[0]",
            "priority 0 -> 3, slack factor 2 -> 2.5; this applies to new jobs");

  now = Document();
  now["version"] = 8;
  now["routes"][0]["public"] = true;
  CheckOnly(Compare(now, Document()), Severity::kWarning, "routes[0].public",
            "need no key");
  before = now;
  now = Document();
  now["version"] = 9;
  CheckOnly(Compare(now, before), Severity::kWarning, "routes[0].public",
            "get 401");
}

/// Guards against removed queues whose calls go elsewhere than the finding
/// says: the entries' table decides.
BOOST_AUTO_TEST_CASE(RemovedQueuesFallBackAsTheEntriesSelect) {
  std::mt19937 random(20261204);
  const auto pick = [&random](unsigned count) { return random() % count; };
  const auto random_queue = [&pick](size_t index) {
    std::string prefix = "/";
    for (unsigned i = pick(5); i > 0; --i) prefix += "ab/"[pick(3)];
    Json queue = Queue("q" + std::to_string(index), prefix);
    queue["host"] = pick(2) == 0 ? "h" : "h2";
    return queue;
  };
  int with_successor = 0;
  int without = 0;
  for (int round = 0; round < 100; ++round) {
    Json before{{"version", 1}, {"routes", Json::array()}};
    Json now{{"version", 2}, {"routes", Json::array()}};
    for (size_t i = 0; i < 12; ++i) {
      before["routes"].push_back(random_queue(i));
      now["routes"].push_back(random_queue(100 + i));
    }
    const ports::CellConfig config = Decoded(now);
    const jobentry::AccessTable table(config);
    const auto removed = Decoded(before).queues;
    for (const ConfigFinding& finding : Compare(now, before)) {
      constexpr std::string_view kRemoved = "in force: routes[";
      if (!finding.place.starts_with(kRemoved)) continue;
      const auto& queue =
          removed.at(std::stoul(finding.place.substr(kRemoved.size())));
      const auto* next = table.FindQueue(queue.host, queue.prefix);
      ++(next == nullptr ? without : with_successor);
      const std::string effect =
          next == nullptr ? "get 404"
                          : "go to queue \"" + next->policy.name + "\"";
      BOOST_TEST(finding.reason.find(effect) != std::string::npos,
                 finding.reason);
    }
  }
  BOOST_TEST(with_successor > 0);
  BOOST_TEST(without > 0);
}

/// Guards against differences of accounts that are not shown, or with a wrong
/// effect.
BOOST_AUTO_TEST_CASE(DifferencesOfAccountsAreShown) {
  const Json before = Document();
  Json now = Document();
  now["version"] = 8;
  now["tenants"][0]["apiKeys"] = {"new-secret"};
  auto findings = Compare(now, before);
  BOOST_REQUIRE_EQUAL(findings.size(), 2U);
  CheckAmong(findings, Severity::kWarning, "tenants[0].apiKeys",
             "1 key (digest " + ShortDigest("secret-key-of-x") +
                 ") taken away; calls with them get 401");
  CheckAmong(findings, Severity::kNote, "tenants[0].apiKeys", "added");

  now = Document();
  now["version"] = 8;
  now["tenants"][0]["apiKeys"] = Json::array();
  now["tenants"][1]["apiKeys"].push_back("secret-key-of-x");
  CheckAmong(Compare(now, before), Severity::kWarning, "tenants[0].apiKeys",
             "moved to account \"y\"");

  now = Document();
  now["version"] = 8;
  now["tenants"].erase(1);
  findings = Compare(now, before);
  BOOST_REQUIRE_EQUAL(findings.size(), 2U);
  CheckAmong(findings, Severity::kWarning, "in force: tenants[1]",
             "is removed; accepted jobs go on");
  CheckAmong(findings, Severity::kWarning, "in force: tenants[1]", "get 401");

  now = Document();
  now["version"] = 8;
  now["tenants"].push_back(Account("z"));
  CheckOnly(Compare(now, before), Severity::kNote, "tenants[2]", "is added");

  now = Document();
  now["version"] = 8;
  now["tenants"][1]["weight"] = 3.5;
  CheckOnly(Compare(now, before), Severity::kNote, "tenants[1].weight",
            "2 -> 3.5");
}

/// Guards against a limit of 0, which stands for none, that is compared as a
/// number.
BOOST_AUTO_TEST_CASE(CutLimitsAreToldFromRaisedOnes) {
  Json before = Document();
  Json now = Document();
  now["version"] = 8;
  now["tenants"][0]["maxCount"]["cpu"] = 39999;
  CheckOnly(Compare(now, before), Severity::kWarning, "tenants[0].maxCount.cpu",
            "40000 -> 39999; tasks that run go on, new ones wait");
  now["tenants"][0]["maxCount"]["cpu"] = 40001;
  CheckOnly(Compare(now, before), Severity::kNote, "tenants[0].maxCount.cpu",
            "more tasks");
  now["tenants"][0]["maxCount"]["cpu"] = 0;
  CheckOnly(Compare(now, before), Severity::kNote, "tenants[0].maxCount.cpu",
            "40000 -> none");
  before = now;
  now = Document();
  now["version"] = 9;
  CheckOnly(Compare(now, before), Severity::kWarning, "tenants[0].maxCount.cpu",
            "none -> 40000");
}

/// Guards against "401" where calls need no key any more, and against silence
/// where they need one from then on.
BOOST_AUTO_TEST_CASE(AccountsThatComeOrGoAltogetherAreShown) {
  Json open = Document();
  open["version"] = 8;
  open.erase("tenants");
  CheckOnly(Compare(open, Document()), Severity::kWarning, "in force: tenants",
            "need no key");
  Json closed = Document();
  closed["version"] = 9;
  const auto findings = Compare(closed, open);
  BOOST_REQUIRE_EQUAL(findings.size(), 3U);
  CheckAmong(findings, Severity::kWarning, "tenants", "get 401");
  CheckAmong(findings, Severity::kNote, "tenants[0]", "is added");
}

/// Guards against differences in the order of the document, in which a reader
/// cannot find a name.
BOOST_AUTO_TEST_CASE(DifferencesAreSorted) {
  const Json before{
      {"version", 1}, {"routes", Json::array()}, {"tenants", Json::array()}};
  const Json now{{"version", 2},
                 {"routes", {Queue("m", "/1/"), Queue("c", "/2/")}},
                 {"tenants", {Account("z"), Account("b")}},
                 {"services", {{{"name", "p2"}}, {{"name", "p1"}}}}};
  std::string order;
  for (const ConfigFinding& finding : Compare(now, before)) {
    const size_t quote = finding.reason.find('"');
    order += finding.reason.substr(
                 quote + 1, finding.reason.find('"', quote + 1) - quote - 1) +
             " ";
  }
  BOOST_TEST(order == "c m b z p1 p2 pool ");
  const auto removed = Compare(
      {{"version", 3}, {"routes", Json::array()}, {"tenants", Json::array()}},
      now);
  CheckAmong(removed, Severity::kWarning, "in force: services",
             "\"p1\" is removed");
}

/// Guards against keys in any output of the command, and wrong exit codes.
BOOST_AUTO_TEST_CASE(CommandPrintsNoKeyAndExitsBySeverity) {
  const std::string good = WriteFile("good", Document().dump());
  Json next = Document();
  next["version"] = 8;
  next["tenants"][0]["apiKeys"] = {"secret-two", "secret two"};
  const std::string error = WriteFile("error", next.dump());
  next["tenants"][0]["apiKeys"] = Json::array();
  const std::string warning = WriteFile("warning", next.dump());
  next["tenants"][0]["apiKeys"] = {kKey + std::string("y")};
  const std::string shared = WriteFile("shared", next.dump());
  const std::string broken = WriteFile("broken", R"({"k":"secret")");
  struct Row {
    std::string arguments;
    int exit_code;
    std::string output;
  };
  for (const Row& row : {
           Row{good, 0, "no findings"},
           Row{"- < " + good, 0, "no findings"},
           Row{warning, 0, "warning"},
           Row{error, 2, "tenants[0].apiKeys[1]"},
           Row{shared, 2, "\"x\" and \"y\""},
           Row{broken, 2, "not JSON"},
           Row{warning + " --against " + good, 0, "get 401"},
           Row{good + " --against " + warning, 2, "not higher"},
           Row{good + " --against " + broken, 2, "not JSON"},
           Row{good + " --against " + shared, 2, "is a key of"},
           Row{"no_such_file.json", 2, "cannot read"},
           Row{"- --against - < " + good, 2, "standard input"},
           Row{"", 2, "--help"},
       }) {
    for (const char* flag : {"", "--json "}) {
      const CommandResult result =
          RunTool(flag + std::string("config check ") + row.arguments);
      BOOST_TEST_CONTEXT(flag << row.arguments << "\n" << result.output) {
        BOOST_TEST(result.exit_code == row.exit_code);
        BOOST_TEST(result.output.find("secret") == std::string::npos);
        if (*flag != '\0') continue;
        BOOST_TEST(result.output.find(row.output) != std::string::npos);
      }
    }
  }
  const Json json = Json::parse(
      RunTool("--json config check " + warning + " --against " + good).output);
  BOOST_TEST(json["findings"][0]["severity"] == "warning");
  BOOST_TEST(json["findings"][0]["place"] == "tenants[0].apiKeys");
  BOOST_TEST(!json["differences"].empty());
  for (const std::string& path : {good, error, warning, shared, broken}) {
    std::remove(path.c_str());
  }
}

}  // namespace mimosarail::configcheck
