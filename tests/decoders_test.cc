// How the platform's decoders treat malformed entries and answers of external
// writers: one table for each decoder.

#define BOOST_TEST_MODULE decoders
#include <sys/resource.h>

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/job_body_checker.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"
#include "src/jobs/job_state.h"
#include "src/libs/http/parser.h"
#include "src/libs/rpc/codec.h"
#include "src/libs/rpc/server.h"
#include "src/tool/job_file.h"

namespace mimosarail::platform {
namespace {

using ports::CallVerdict;

constexpr const char* kGoodUpstream =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready",
    "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
    "coldLeftMs":0,"sequence":4})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const size_t at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
  return text.replace(at, from.size(), to);
}

http::Response Answer(const std::string& body) {
  return {.status = 200, .body = body};
}

/// Returns the peak resident memory of this process.
int64_t PeakResidentMb() {
  constexpr int64_t kKbPerMb = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss / kKbPerMb;
}

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

/// `count` times the text of a JSON value, as a list.
std::string JsonList(const std::string& value, size_t count) {
  std::string out = "[";
  for (size_t i = 0; i < count; ++i) out += (i == 0 ? "" : ",") + value;
  return out + "]";
}

}  // namespace

/// Guards against malformed entries that an external writer leaves in the list
/// of upstreams. An entry accepted as an upstream would get a connection, a
/// record in the registry of upstreams, and tasks; one with an address that
/// cannot be called delays each new leader by 6 s.
BOOST_AUTO_TEST_CASE(MalformedUpstreamEntryDoesNotDecode) {
  BOOST_REQUIRE(DecodeUpstream("i-1", kGoodUpstream).ok());
  struct Row {
    const char* from;
    const char* to;
  };
  for (const Row& row : {
           Row{R"("service":"s",)", ""},
           Row{R"("service":"s")", R"("service":"")"},
           Row{R"("service":"s")", R"("service":null)"},
           Row{R"("service":"s")", R"("service":["s"])"},
           Row{R"("addr":"10.0.0.9:80",)", ""},
           Row{R"("10.0.0.9:80")", R"("10.0.0.9")"},
           Row{R"("10.0.0.9:80")", R"("10.0.0.9:0")"},
           Row{R"("10.0.0.9:80")", R"("10.0.0.9:65536")"},
           Row{R"("10.0.0.9:80")", R"("10.0.0.9:-1")"},
           Row{R"("10.0.0.9:80")", R"("worker-7:80")"},
           Row{R"("10.0.0.9:80")", R"("0.0.0.0:80")"},
           Row{R"("10.0.0.9:80")", R"("224.0.0.1:80")"},
           Row{R"("10.0.0.9:80")", R"({"ip":"10.0.0.9"})"},
           Row{R"("state":"ready",)", ""},
           Row{R"("ready")", R"("asleep")"},
           Row{R"("ready")", R"("Ready")"},
           Row{R"("ready")", "true"},
           Row{R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},)", ""},
           Row{R"({"cpu":16000,"memMb":32768,"gpu":0})", "16000"},
           Row{R"({"cpu":16000,"memMb":32768,"gpu":0})", "[16000]"},
           Row{R"("cpu":16000,)", ""},
           Row{R"("cpu":16000)", R"("cpu":0)"},
           Row{R"("cpu":16000)", R"("cpu":-16000)"},
           Row{R"("cpu":16000)", R"("cpu":"16000")"},
           Row{R"("cpu":16000)", R"("cpu":1e300)"},
           Row{R"("cpu":16000)", R"("cpu":18446744073709551615)"},
           Row{R"("cpu":16000)", R"("cpu":"NaN")"},
           Row{R"("memMb":32768)", R"("memMb":-1)"},
           Row{R"("memMb":32768)", R"("memMb":4294967297)"},
           Row{R"("gpu":0)", R"("gpu":-1)"},
           Row{R"(["a","r1-3"])", R"({"a":"r1-3"})"},
           Row{R"(["a","r1-3"])", R"(["a",7])"},
           Row{R"(["a","r1-3"])", "7"},
           Row{R"("zone":"z")", R"("zone":7)"},
           Row{R"("coldLeftMs":0)", R"("coldLeftMs":-1)"},
           Row{R"("coldLeftMs":0)", R"("coldLeftMs":1e18)"},
           Row{R"("coldLeftMs":0)", R"("coldLeftMs":"soon")"},
       }) {
    const std::string value = Replaced(kGoodUpstream, row.from, row.to);
    BOOST_TEST(!DecodeUpstream("i-1", value).ok(), value);
  }
  const std::string good = kGoodUpstream;
  for (const std::string& value :
       {std::string("\xff\xfe"), std::string(1, '\0'), std::string("null"),
        std::string("7"), std::string("[]"), std::string("{}"),
        std::string("NaN"), good.substr(0, good.size() - 1), good + "}",
        Replaced(good, "ready",
                 "re\xff"
                 "dy"),
        R"({"deep":)" + Nested(100000) + "," + good.substr(1)}) {
    BOOST_TEST(!DecodeUpstream("i-1", value).ok(), value.substr(0, 200));
  }
}

/// Guards against upstream ids that cannot be sent in headers and bodies of
/// calls: a line break would split a header, and invalid UTF-8 would make the
/// encoder throw and end the process.
BOOST_AUTO_TEST_CASE(UpstreamIdUnfitForCallsDoesNotDecode) {
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nX-Y: 1"),
        std::string("\xff\xfe"), std::string("a\0b", 3), std::string("\x7f")}) {
    BOOST_TEST(!DecodeUpstream(id, kGoodUpstream).ok(), id);
  }
  BOOST_TEST(!EncodeAdviceRequest({1, 0, 0}, {"\xff"}).empty());
  BOOST_TEST(!EncodeStart({.payload = "\xff"}).empty());
}

/// Members of an entry that the decoder does not use must have no effect.
BOOST_AUTO_TEST_CASE(UnknownFieldsOfAnEntryAreIgnored) {
  const std::string value =
      Replaced(kGoodUpstream, R"("sequence":4)",
               R"("":0,"later":{"a":[1,{}]},"sequence":"odd")");
  BOOST_TEST(DecodeUpstream("i-1", value).ok());
}

/// Guards against losing a whole page of the list because of one malformed
/// record, and with it every upstream that follows.
BOOST_AUTO_TEST_CASE(MalformedItemDoesNotDiscardPage) {
  for (const std::string& item :
       {std::string(R"({"key":"b","value":"*"})"),
        std::string(R"({"key":"b","value":7})"), std::string(R"({"key":"b"})"),
        std::string(R"({"key":7,"value":"AP+A"})"),
        std::string(R"({"value":"AP+A"})"), std::string("7"), std::string("[]"),
        std::string("null"),
        std::string("{\"key\":\"\xff\",\"value\":\"AP+A\"}")}) {
    const auto page = DecodeNewest(
        R"({"items":[{"key":"a","value":"AP+A"},)" + item +
        R"(,{"key":"c","value":"AP+A"}],"hasMore":true,"endOffset":6})");
    BOOST_REQUIRE_MESSAGE(page.ok(), item);
    BOOST_TEST(page.value().end_offset == 6);
    const auto& records = page.value().records;
    BOOST_REQUIRE_MESSAGE(records.size() == 3, item);
    BOOST_TEST(records[0].key == "a");
    BOOST_TEST(records[2].key == "c");
    BOOST_TEST(records[2].value == std::string("\0\xff\x80", 3));
  }
}

/// Guards against accepting a page with missing or malformed `items`,
/// `endOffset` or `hasMore`: its end offset would be taken for 0, and its
/// records for all that exist.
BOOST_AUTO_TEST_CASE(PageWithMalformedFrameDoesNotDecode) {
  for (const char* body :
       {"{}", R"({"items":[]})", R"({"items":{},"endOffset":6})",
        R"({"items":7,"endOffset":6})", R"({"items":[],"endOffset":-1})",
        R"({"items":[],"endOffset":"6"})", R"({"items":[],"endOffset":1e300})",
        R"({"items":[],"endOffset":6,"hasMore":"yes"})", "[]", ""}) {
    BOOST_TEST(!DecodeNewest(body).ok(), body);
  }
}

/// Guards against one malformed record that blocks the stream. If a record
/// whose key length exceeds the record fails the read, every later read fails
/// for as long as the store keeps the record.
BOOST_AUTO_TEST_CASE(MalformedRecordDoesNotDiscardStream) {
  const std::string head = std::string(7, '\0') + "\x09" + std::string(8, '\0');
  const std::string good = EncodeRecords({{"k", "value"}});
  for (const std::string& bad :
       {std::string("\0\0\0\2\x7fk", 6), std::string("\0\0\0\1\xff", 5),
        std::string("\0\0\0\0", 4)}) {
    const auto tail = DecodeTail(head + good + bad + good);
    BOOST_REQUIRE(tail.ok());
    BOOST_REQUIRE_EQUAL(tail.value().records.size(), 3U);
    BOOST_TEST(tail.value().records[0].key == "k");
    BOOST_TEST(tail.value().records[1].key == "");
    BOOST_TEST(tail.value().records[2].value == "value");
  }
}

/// Guards against accepting impossible lengths and offsets.
BOOST_AUTO_TEST_CASE(StreamWithInvalidFrameLengthsDoesNotDecode) {
  const std::string head = std::string(7, '\0') + "\x09" + std::string(8, '\0');
  const std::string good = EncodeRecords({{"k", "value"}});
  BOOST_TEST(!DecodeTail(head + "\xff\xff\xff\xff" + good).ok());
  BOOST_TEST(!DecodeTail(head + good + std::string("\0\0\1\0k", 5)).ok());
  BOOST_TEST(!DecodeTail(std::string(16, '\xff') + good).ok());
}

/// A configuration must decode completely; otherwise the one in force stays.
BOOST_AUTO_TEST_CASE(MalformedConfigurationDoesNotDecode) {
  const std::string good =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"s","priority":1,"maxAttempts":2,"slackFactor":2.2,
      "targetDurationMs":1000,"advisor":{"decideMs":360.5,"periodMs":5.1,
      "validMs":1500}}],"limits":{"maxBodyBytes":9,"maxHeaderBytes":8,
      "headerTimeoutMs":7,"idleTimeoutMs":6}})";
  const auto decoded = DecodeConfig(good);
  BOOST_REQUIRE(decoded.ok());
  const ports::RequestLimits& limits = decoded.value().limits;
  BOOST_TEST(limits.max_body_bytes == 9);
  BOOST_TEST(limits.max_head_bytes == 8);
  BOOST_TEST(limits.head_timeout_ms == 7);
  BOOST_TEST(limits.idle_timeout_ms == 6);
  struct Row {
    const char* from;
    const char* to;
  };
  for (const Row& row : {
           Row{R"("version":7,)", ""},
           Row{R"("version":7)", R"("version":0)"},
           Row{R"("version":7)", R"("version":-7)"},
           Row{R"("version":7)", R"("version":"7")"},
           Row{R"("version":7)", R"("version":1e300)"},
           Row{R"("version":7)", R"("version":18446744073709551615)"},
           Row{R"("routes")", R"("route")"},
           Row{R"([{"name")", R"({"a":{"name")"},
           Row{R"("name":"r",)", ""},
           Row{R"("name":"r")", R"("name":"")"},
           Row{R"("host":"h",)", ""},
           Row{R"("host":"h")", R"("host":7)"},
           Row{R"("prefix":"/p/",)", ""},
           Row{R"("prefix":"/p/")", R"("prefix":"")"},
           Row{R"("service":"s",)", ""},
           Row{R"("service":"s")", R"("service":{})"},
           Row{R"("priority":1)", R"("priority":1e12)"},
           Row{R"("maxAttempts":2)", R"("maxAttempts":0)"},
           Row{R"("maxAttempts":2)", R"("maxAttempts":-2)"},
           Row{R"("slackFactor":2.2)", R"("slackFactor":-2.2)"},
           Row{R"("slackFactor":2.2)", R"("slackFactor":1e300)"},
           Row{R"("targetDurationMs":1000)", R"("targetDurationMs":-1)"},
           Row{R"("targetDurationMs":1000)", R"("targetDurationMs":1e17)"},
           Row{R"("decideMs":360.5)", R"("decideMs":-1)"},
           Row{R"("periodMs":5.1)", R"("periodMs":1e300)"},
           Row{R"("validMs":1500)", R"("validMs":1e17)"},
           Row{R"({"decideMs":360.5,"periodMs":5.1,
      "validMs":1500})",
               "true"},
           Row{R"("limits":{)", R"("limits":9,"other":{)"},
           Row{R"("maxBodyBytes":9)", R"("maxBodyBytes":-9)"},
           Row{R"("maxHeaderBytes":8)", R"("maxHeaderBytes":-8)"},
           Row{R"("headerTimeoutMs":7)", R"("headerTimeoutMs":"7")"},
           Row{R"("idleTimeoutMs":6)", R"("idleTimeoutMs":1e300)"},
       }) {
    const std::string document = Replaced(good, row.from, row.to);
    BOOST_TEST(!DecodeConfig(document).ok(), document);
  }
  for (const char* document :
       {"", "\xff", "7", "[]", "{}", R"({"version":7,"routes":[7]})",
        R"({"version":7,"routes":[null]})"}) {
    BOOST_TEST(!DecodeConfig(document).ok(), document);
  }
}

/// Guards against keys that identify no single account, limits that are none,
/// and keys in the findings, which are logged.
BOOST_AUTO_TEST_CASE(MalformedAccountsLeaveTheConfigurationInForce) {
  const std::string good =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"s","public":true}],"tenants":[
      {"name":"a","apiKeys":["secret-1","secret-2"],"weight":38,
       "maxCount":{"cpu":4346304,"memMb":12494416,"gpu":0}},
      {"name":"b","apiKeys":["secret-3"]}]})";
  const auto decoded = DecodeConfig(good);
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded.value().queues[0].open);
  BOOST_REQUIRE(decoded.value().accounts);
  const ports::AccountConfig& account = decoded.value().accounts->front();
  BOOST_TEST(account.name == "a");
  BOOST_TEST(account.keys.size() == 2U);
  BOOST_TEST(account.weight == 38);
  BOOST_TEST(account.limit.millicores == 4346304);
  BOOST_TEST(account.limit.memory_mb == 12494416);
  struct Row {
    const char* from;
    const char* to;
  };
  for (const Row& row : {
           Row{R"("public":true)", R"("public":"yes")"},
           Row{R"("name":"a",)", ""},
           Row{R"("name":"a")", R"("name":7)"},
           Row{R"("name":"b")", R"("name":"a")"},
           Row{R"(["secret-3"])", R"("secret-3")"},
           Row{R"(["secret-3"])", R"([3])"},
           Row{R"(["secret-3"])", R"([""])"},
           Row{R"("secret-3")", R"("secret-1")"},
           Row{R"("weight":38)", R"("weight":-1)"},
           Row{R"("weight":38)", R"("weight":"38")"},
           Row{R"("cpu":4346304)", R"("cpu":-1)"},
           Row{R"("cpu":4346304)", R"("cpu":1e300)"},
           Row{R"("memMb":12494416)", R"("memMb":"1")"},
           Row{R"("gpu":0)", R"("gpu":[])"},
           Row{R"({"name":"b","apiKeys":["secret-3"]})", "7"},
       }) {
    const auto malformed = DecodeConfig(Replaced(good, row.from, row.to));
    BOOST_REQUIRE_MESSAGE(!malformed.ok(), row.to);
    BOOST_TEST(malformed.error().message.find("secret") == std::string::npos);
  }
  BOOST_TEST(!DecodeConfig(R"({"version":7,"routes":[]})").value().accounts);
}

/// Guards against treating a missing list of a report as an empty one: every
/// task that runs on the upstream would be started again on another.
BOOST_AUTO_TEST_CASE(AReportWithoutAListIsUnknown) {
  const std::string row = R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41])";
  const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done","d"])";
  const std::string good =
      R"({"clockMs":5,"running":[)" + row + R"(],"finished":[)" + end + "]}";
  BOOST_TEST((DecodeRenew(Answer(good)).call.verdict == CallVerdict::kDone));
  struct Row {
    const char* from;
    const char* to;
  };
  for (const Row& r : {
           Row{R"("running")", R"("runs")"},
           Row{R"("finished")", R"("ends")"},
           Row{R"("clockMs":5,)", ""},
           Row{R"("clockMs":5)", R"("clockMs":-5)"},
           Row{R"("clockMs":5)", R"("clockMs":1e300)"},
           Row{R"("clockMs":5)", R"("clockMs":"5")"},
           Row{R"("running":[)", R"("running":{"a":)"},
           Row{R"(,2,"c")", R"(,1e300,"c")"},
           Row{R"(,2,"c")", R"(,-2,"c")"},
           Row{R"([58,)", "[0,"},
           Row{R"([58,)", "[-58,"},
           Row{R"([58,)", "[18446744073709551615,"},
           Row{R"(,1,"done")", R"(,1e300,"done")"},
           Row{R"("done")", R"("finished")"},
       }) {
    std::string body = Replaced(good, r.from, r.to);
    if (std::string(r.to) == R"("running":{"a":)") {
      body = Replaced(body, R"(41]],)", R"(41]},)");
    }
    BOOST_TEST(
        (DecodeRenew(Answer(body)).call.verdict == CallVerdict::kUnknown),
        body);
  }
  // Numbers of completions only increase; out of order, some would never be
  // reported.
  const std::string twice =
      Replaced(good, end, end + "," + Replaced(end, "58", "57"));
  BOOST_TEST(
      (DecodeRenew(Answer(twice)).call.verdict == CallVerdict::kUnknown));
  // The percentage is only used to predict when a task ends, so an invalid one
  // must not discard the report.
  const auto odd = DecodeRenew(Answer(Replaced(good, "41", "1e300")));
  BOOST_TEST((odd.call.verdict == CallVerdict::kDone));
  BOOST_REQUIRE_EQUAL(odd.running.size(), 1U);
  BOOST_TEST(odd.running[0].percent == 100);
}

/// Guards against taking advice without its list for "none is allowed", which
/// is remembered for as long as the step waits.
BOOST_AUTO_TEST_CASE(AdviceWithoutItsListDoesNotDecode) {
  for (const char* body :
       {"{}", R"({"allowed":{}})", R"({"allowed":"i-1"})",
        R"({"allowed":null})", R"({"allowed":[["i-1"]]})",
        R"({"allowed":[["i-1",7]]})", R"({"allowed":[["i-1","t"],7]})",
        R"({"allowed":[["i-1","t"]],"validMs":-1})",
        R"({"allowed":[["i-1","t"]],"validMs":1e17})",
        R"({"allowed":[["i-1","t"]],"validMs":"long"})"}) {
    BOOST_TEST(!DecodeAdvice(Answer(body)).ok(), body);
  }
  BOOST_TEST(DecodeAdvice(Answer(R"({"allowed":[]})")).ok());
}

/// Guards against accepting an answer to an append that has no valid end
/// offset: a leader that takes the offset for 0 would fail its next renewal.
BOOST_AUTO_TEST_CASE(AppendAnswerWithoutEndOffsetIsUnknown) {
  for (const char* body : {"{}", R"({"endOffset":"9"})", R"({"endOffset":-1})",
                           R"({"endOffset":1e300})", R"({"endOffset":null})"}) {
    BOOST_TEST(
        (DecodeAppend(200, body).verdict == ports::AppendVerdict::kUnknown),
        body);
  }
}

/// Guards against accepting a caller's job with numbers out of range.
BOOST_AUTO_TEST_CASE(AJobWithImpossibleNumbersHasFindings) {
  const std::string good =
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900},
      {"count":1,"dependsOn":[0]}],"times":1,"startAtMs":7,"intervalMs":9})";
  struct Row {
    const char* from;
    const char* to;
  };
  for (const Row& row : {
           Row{R"("count":4)", R"("count":1e300)"},
           Row{R"("count":4)", R"("count":4294967297)"},
           Row{R"("cpu":500)", R"("cpu":-1)"},
           Row{R"("estMs":900)", R"("estMs":-1)"},
           Row{R"("estMs":900)", R"("estMs":1e18)"},
           Row{R"("estMs":900)", R"("estMs":9223372036854775807)"},
           Row{R"("dependsOn":[0])", R"("dependsOn":[4294967296])"},
           Row{R"("dependsOn":[0])", R"("dependsOn":["0"])"},
           Row{R"("dependsOn":[0])", R"("dependsOn":0)"},
           Row{R"("dependsOn":[0])", R"("dependsOn":{"a":0})"},
           Row{R"("times":1)", R"("times":2147483647)"},
           Row{R"("times":1)", R"("times":-1)"},
           Row{R"("startAtMs":7)", R"("startAtMs":-7)"},
           Row{R"("startAtMs":7)", R"("startAtMs":1e300)"},
           Row{R"("intervalMs":9)", R"("intervalMs":-9)"},
           Row{R"("intervalMs":9)", R"("intervalMs":9007199254740991)"},
           Row{R"([{"count")", R"({"a":{"count")"},
       }) {
    std::string body = Replaced(good, row.from, row.to);
    if (std::string(row.to) == R"({"a":{"count")") {
      body = Replaced(body, R"(}],)", R"(}},)");
      body = Replaced(body, R"(},
      {)",
                      R"(},"b":{)");
    }
    Findings findings;
    CheckJob(DecodeJob(body, findings), findings);
    BOOST_TEST(!findings.empty(), body);
  }
  Findings none;
  CheckJob(DecodeJob(good, none), none);
  BOOST_TEST(none.ToString() == "");
}

/// Guards against unbounded findings: a body with 300,000 faulty steps would
/// otherwise make a log line of 20 MB.
BOOST_AUTO_TEST_CASE(FindingsAreBounded) {
  std::string body = R"({"steps":[)";
  constexpr int kSteps = 300000;
  for (int i = 0; i < kSteps; ++i) body += R"({"count":0},)";
  body += "{}]}";
  Findings findings;
  CheckJob(DecodeJob(body, findings), findings);
  BOOST_TEST(!findings.empty());
  BOOST_TEST(findings.ToString().size() < 20000U);
}

/// Guards against findings of the largest job without a bound.
BOOST_AUTO_TEST_CASE(FindingsOfTheLargestJobAreBounded) {
  const std::string body =
      R"({"steps":)" + JsonList(R"({"count":0})", kMaxJobSteps) + "}";
  Findings findings;
  CheckJob(DecodeJob(body, findings), findings);
  BOOST_TEST(findings.list().size() == Findings::kMaxKept);
}

/// Guards against memory that a job of too many steps takes once decoded, and
/// against refusing the largest legal job.
BOOST_AUTO_TEST_CASE(StepsOfASubmissionAreBounded) {
  const auto body = [](size_t steps) {
    return R"({"steps":)" + JsonList("{}", steps) + "}";
  };
  BOOST_TEST(!CheckJobBody(body(kMaxJobSteps)));
  BOOST_TEST(
      (CheckJobBody(body(kMaxJobSteps + 1)) == JobBodyFault::kTooManySteps));
  Findings findings;
  BOOST_TEST(DecodeJob(body(kMaxJobSteps), findings).steps.size() ==
             kMaxJobSteps);
  BOOST_TEST(findings.empty());
  BOOST_TEST(DecodeJob(body(kMaxJobSteps + 1), findings).steps.empty());
  BOOST_TEST(!findings.empty());
}

/// Guards against a legal job that is refused between entries, since it names
/// an earlier step very often.
BOOST_AUTO_TEST_CASE(RepeatedDependenciesAreKeptOnce) {
  constexpr size_t kRepeated = 5000;
  const std::string body = R"({"steps":[{"count":1},{"count":1,"dependsOn":)" +
                           JsonList("0", kRepeated) +
                           R"(},{"count":1,"dependsOn":[1,0,1]}]})";
  Findings findings;
  const wire::JobSpec job = DecodeJob(body, findings);
  CheckJob(job, findings);
  BOOST_TEST(findings.empty());
  BOOST_TEST(job.steps.at(1).after == std::vector<int32_t>({0}),
             boost::test_tools::per_element());
  BOOST_TEST(job.steps.at(2).after == std::vector<int32_t>({0, 1}),
             boost::test_tools::per_element());
}

/// Guards against a count of steps that includes other lists.
BOOST_AUTO_TEST_CASE(OnlyStepsAreCountedAsSteps) {
  const std::string many = JsonList("0", kMaxJobSteps + 1);
  for (const std::string& body : {
           R"({"ignored":)" + many + R"(,"steps":[{}]})",
           R"({"steps":[{"dependsOn":)" + many + "}]}",
           R"({"steps":[{"steps":)" + many + "}]}",
           R"({"steps":[{}],"ignored":)" + many + "}",
           R"({"steps":[{}],"ignored":{"steps":)" + many + "}}",
           R"({"steps":)" + JsonList("0", kMaxJobSteps) +
               R"(,"steps":[{},{}]})",
       }) {
    BOOST_TEST(!CheckJobBody(body));
  }
}

/// Guards against memory that ignored fields take once decoded.
BOOST_AUTO_TEST_CASE(ValuesOfASubmissionAreBounded) {
  for (const std::string value : {"0", "null", "1.5", "\"\"", "[]", "{}"}) {
    const auto body = [&value](size_t values) {
      // Besides the elements: the body and the list.
      return R"({"ignored":)" + JsonList(value, values - 2) + "}";
    };
    BOOST_TEST(!CheckJobBody(body(kMaxJobBodyValues)));
    BOOST_TEST((CheckJobBody(body(kMaxJobBodyValues + 1)) ==
                JobBodyFault::kTooManyValues));
  }
}

/// Guards against nesting that exhausts the stack once decoded.
BOOST_AUTO_TEST_CASE(NestingOfASubmissionIsBounded) {
  const auto body = [](int depth) {
    return R"({"ignored":)" + Nested(depth - 1) + "}";
  };
  BOOST_TEST(!CheckJobBody(body(kMaxNesting)));
  BOOST_TEST(
      (CheckJobBody(body(kMaxNesting + 1)) == JobBodyFault::kNestedTooDeeply));
  constexpr int kVeryDeep = 1000000;
  BOOST_TEST((CheckJobBody(std::string(kVeryDeep, '[')) ==
              JobBodyFault::kNotAnObject));
  BOOST_TEST((CheckJobBody(body(kVeryDeep)) == JobBodyFault::kNestedTooDeeply));
}

/// Guards against a document that is taken for a submission.
BOOST_AUTO_TEST_CASE(SubmissionsThatAreNoObjectsAreNamed) {
  for (const char* body : {"", "{", "{}}", R"({"a":})", R"({"a":1e999})"}) {
    BOOST_TEST((CheckJobBody(body) == JobBodyFault::kNotJson), body);
  }
  for (const char* body : {"1", "null", "\"x\"", "[]", "true"}) {
    BOOST_TEST((CheckJobBody(body) == JobBodyFault::kNotAnObject), body);
  }
}

/// Guards against the parser ending the connection at a request that asks for a
/// protocol upgrade: the request would be accepted if its bytes arrive at once,
/// and lost if they arrive in two parts. (Inputs 21357, 24991 and 32558 of seed
/// 12 and 137001 of seed 11 of fuzz_test.)
BOOST_AUTO_TEST_CASE(HttpUpgradeHeaderIsIgnored) {
  const std::string upgrade = "Upgrade: websocket\r\nConnection: upgrade\r\n";
  const std::string next = "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n";
  struct Row {
    std::string bytes;
    size_t messages;
    bool good;
  };
  for (const Row& row : {
           Row{"POST /q/1 HTTP/1.1\r\nHost: h\r\n" + upgrade +
                   "Content-Length: 2\r\n\r\n{}" + next,
               2, true},
           Row{"POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" +
                   upgrade + "\r\n{}PUT /q/2\xff\xff\xff" +
                   std::string(1, '\0') + "P/1.1\r\nHost: h\r\n\r\n",
               1, false},
           Row{"PUT /q/2 HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: chunked\r\n" +
                   upgrade +
                   "\r\n3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n"
                   "GEP /q/ HTTP/1.1\r\n\r\n",
               1, false},
           Row{"POST /q/1 HTTP/1.1\r\n" + upgrade +
                   "Host: h\r\nContent-Length: 2\r\n\r\n{}PUT /q/2 HTTP/1.1\r\n"
                   "Host:",
               1, true},
           Row{"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + next, 2, true},
       }) {
    const std::string_view bytes = row.bytes;
    for (size_t step = 1; step <= row.bytes.size(); ++step) {
      http::Parser parser({});
      size_t messages = 0;
      bool good = true;
      for (size_t at = 0; at < row.bytes.size() && good; at += step) {
        good = parser.Feed(bytes.substr(at, step),
                           [&](const http::ParsedMessage&) { ++messages; });
      }
      BOOST_TEST(messages == row.messages, row.bytes << " by " << step);
      BOOST_TEST(good == row.good, row.bytes << " by " << step);
    }
  }
}

/// Guards against truncating a step number in a job file to 32 bits: 2^32 would
/// be taken for step 0.
BOOST_AUTO_TEST_CASE(JobFileWithStepNumberOutOfRangeDoesNotParse) {
  for (const char* after : {"4294967296", "18446744073709551615", "-1"}) {
    Findings findings;
    const auto job = tool::ParseJobFile(
        std::string(
            R"({"id":"5c0e7a21d94b36f8","payload":"x","steps":[{"tasks":1},
        {"tasks":1,"after":[)") +
            after + "]}]}",
        findings);
    BOOST_TEST(!job.has_value(), after);
  }
}

/// Guards against allocating memory for a frame before its bytes arrive. Eight
/// peers that announce frames of 32 MB and send nothing more would otherwise
/// exhaust the memory of a process.
BOOST_AUTO_TEST_CASE(AnnouncedFrameLengthAllocatesNothing) {
  asio::io_context io;
  rpc::Server server(io);
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port.ok());
  constexpr int kPeers = 8;
  std::vector<asio::ip::tcp::socket> peers;
  for (int i = 0; i < kPeers; ++i) {
    peers.emplace_back(io).connect(
        {asio::ip::make_address("127.0.0.1"), port.value()});
    asio::write(peers.back(), asio::buffer(std::string("\x02\0\0\0x", 5)));
  }
  const int64_t before = PeakResidentMb();
  io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST(PeakResidentMb() - before < 50);
}

/// Guards against allocating memory for a list by its claimed length. A message
/// of 8 MB whose list claims 8 million steps would otherwise allocate some 2 GB
/// before the first step is read.
BOOST_AUTO_TEST_CASE(ClaimedListLengthAllocatesNothing) {
  // The third field of a job is its list of steps (compact protocol: field 3 of
  // type list; a long list of structs; its size).
  std::string bytes = "\x39\xfc";
  constexpr uint32_t kElements = 8 << 20;
  for (uint32_t left = kElements; left > 0; left >>= 7U) {
    const uint32_t more = left > 0x7fU ? 0x80U : 0;
    bytes.push_back(static_cast<char>((left & 0x7fU) | more));
  }
  bytes += std::string(kElements, '\0');
  const int64_t before = PeakResidentMb();
  BOOST_TEST(!rpc::Decode<wire::JobSpec>(bytes).ok());
  BOOST_TEST(PeakResidentMb() - before < 100);
}

}  // namespace mimosarail::platform
