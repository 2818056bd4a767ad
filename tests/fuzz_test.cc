// Seeded mutations of valid messages of every kind that this program receives:
// decoded values must satisfy the decoder's guarantees, and no input may crash
// the process, throw, or take long. MIMOSARAIL_FUZZ is the number of inputs,
// MIMOSARAIL_FUZZ_SEED selects other inputs, and MIMOSARAIL_FUZZ_ONLY runs and
// prints (--log_level=message) only the input of that number.

#define BOOST_TEST_MODULE fuzz
#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <random>

#include "frame_types.h"
#include "jobs_types.h"
#include "platform/authorization.h"
#include "platform/config_format.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"
#include "src/configcheck/config_check.h"
#include "src/configcheck/config_difference.h"
#include "src/jobentry/access_table.h"
#include "src/jobs/job.h"
#include "src/jobs/job_state.h"
#include "src/libs/http/parser.h"
#include "src/libs/rpc/codec.h"
#include "src/libs/rpc/framing.h"
#include "src/libs/settings/job_settings.h"
#include "src/scheduling/scheduler.h"
#include "src/tool/job_file.h"

namespace mimosarail {
namespace {

using platform::Json;
using Random = std::mt19937_64;

constexpr uint64_t kDefaultInputs = 20000;
constexpr uint64_t kDefaultSeed = 1;
/// Time limit of one input. A mutation has up to 300 KB, and a decoder that
/// reads it twice under a sanitizer takes some 50 ms.
constexpr std::chrono::seconds kMaxInputTime{3};
/// Memory limit of the whole run, including the sanitizers' own memory.
constexpr int64_t kMaxResidentKb = int64_t{1500} * 1024;
/// Nesting depth that exhausts the stack of a recursive parser.
constexpr size_t kDeepNesting = 100000;

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

size_t Pick(Random& random, size_t below) {
  return below == 0 ? 0 : random() % below;
}

// ---- Structural mutations of JSON documents.

void CollectNodes(Json& node, std::vector<Json*>& out) {
  out.push_back(&node);
  if (!node.is_structured()) return;
  for (Json& child : node) CollectNodes(child, out);
}

Json EdgeValue(Random& random) {
  static const std::vector<Json> kValues{
      nullptr,
      true,
      false,
      0,
      -1,
      1,
      0.5,
      -0.0,
      1e300,
      -1e300,
      1e-300,
      101,
      INT32_MAX,
      int64_t{INT32_MAX} + 1,
      (int64_t{1} << 32) + 1,
      INT32_MIN,
      (int64_t{1} << 53) - 1,
      int64_t{1} << 53,
      INT64_MAX,
      INT64_MIN,
      UINT64_MAX,
      "",
      "NaN",
      "1e999",
      "draining",
      "done",
      "10.0.0.9:0",
      "::1:80",
      "5c0e7a21d94b36f8.0.1.2147483648",
      std::string(300, 'k'),
      std::string("a\0b", 3),
      "\r\nX: y",
      Json::array(),
      Json::object(),
      Json::array({1, "x", nullptr}),
      Json{{"", 1}},
  };
  return kValues[Pick(random, kValues.size())];
}

void RenameSomeKey(Json& object, Random& random) {
  auto at = object.begin();
  std::advance(at, Pick(random, object.size()));
  static const std::vector<std::string> kKeys{"", "x", "clockMs", "key",
                                              std::string(255, 'q')};
  Json value = at.value();
  object.erase(at);
  object[kKeys[Pick(random, kKeys.size())]] = std::move(value);
}

void MutateNode(Json& document, Random& random) {
  std::vector<Json*> nodes;
  CollectNodes(document, nodes);
  Json& node = *nodes[Pick(random, nodes.size())];
  Json& other = *nodes[Pick(random, nodes.size())];
  switch (Pick(random, 7)) {
    case 0:
      node = EdgeValue(random);
      return;
    case 1: {  // replaced by another node of the document
      const Json copy = other;
      node = copy;
      return;
    }
    case 2:  // a member or an element removed
      if (node.is_object() && !node.empty()) {
        auto at = node.begin();
        std::advance(at, Pick(random, node.size()));
        node.erase(at);
      } else if (node.is_array() && !node.empty()) {
        node.erase(Pick(random, node.size()));
      }
      return;
    case 3:  // an element duplicated, or an edge value added
      if (node.is_array()) {
        node.push_back(node.empty() || Pick(random, 2) == 0
                           ? EdgeValue(random)
                           : Json(node[Pick(random, node.size())]));
      }
      return;
    case 4:
      if (node.is_object() && !node.empty()) RenameSomeKey(node, random);
      return;
    case 5: {
      const size_t levels = 1 + Pick(random, 80);
      for (size_t i = 0; i < levels; ++i) {
        Json wrapped =
            Pick(random, 2) == 0 ? Json::array({node}) : Json{{"nested", node}};
        node = std::move(wrapped);
      }
      return;
    }
    default:
      if (node.is_number()) {
        node = EdgeValue(random);
      } else if (node.is_string()) {
        node = node.get<std::string>() + node.get<std::string>();
      }
  }
}

// ---- Byte mutations of all messages.

const std::vector<std::string>& EdgeBytes() {
  static const std::vector<std::string> kBytes{
      "NaN",
      "Infinity",
      "1e999",
      "-",
      "00",
      "\"",
      "\\",
      "\\ud800",
      "\xff",
      "\xc0\x80",
      "\xed\xa0\x80",
      std::string(1, '\0'),
      "\r\n",
      "\r\n\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Content-Length: -1\r\n",
      "Transfer-Encoding: chunked\r\n",
      "ffffffffffffffff\r\n",
      "Upgrade: websocket\r\nConnection: upgrade\r\n",
      // Thrift: a struct in a struct, a list of structs, the largest numbers.
      "\x1c\x1c\x1c\x1c",
      "\x19\xfc\xff\xff\xff\xff\x07",
      "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
      "\xff\xff\xff\xff\x0f",
      "/* ",
      "// ",
  };
  return kBytes;
}

void MutateBytes(std::string& bytes, const std::string& other, Random& random) {
  const size_t at = Pick(random, bytes.size() + 1);
  const size_t length = 1 + Pick(random, 16);
  switch (Pick(random, 9)) {
    case 0:
      bytes.resize(at);
      return;
    case 1:
      if (at < bytes.size()) bytes[at] = static_cast<char>(random());
      return;
    case 2:
      if (at < bytes.size()) bytes.erase(at, length);
      return;
    case 3:
      bytes.insert(at, EdgeBytes()[Pick(random, EdgeBytes().size())]);
      return;
    case 4:  // a part duplicated, which can duplicate a member of an object
      bytes.insert(at,
                   bytes.substr(Pick(random, bytes.size() + 1), 8 * length));
      return;
    case 5:  // the end replaced by the end of another message
      bytes.resize(at);
      bytes += other.substr(Pick(random, other.size() + 1));
      return;
    case 6: {  // four bytes overwritten, such as a length
      for (size_t i = at; i < std::min(bytes.size(), at + 4); ++i) {
        bytes[i] = Pick(random, 2) == 0 ? '\xff' : '\0';
      }
      return;
    }
    case 7:
      if (at < bytes.size()) {
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << Pick(random, 8)));
      }
      return;
    default:
      if (Pick(random, 200) == 0) {
        static const std::vector<std::string> kOpen{"[", "{\"a\":", "\x1c",
                                                    "\x19\x1c"};
        const std::string& open = kOpen[Pick(random, kOpen.size())];
        std::string deep;
        for (size_t i = 0; i < kDeepNesting; ++i) deep += open;
        bytes.insert(at, deep);
      }
  }
}

// ---- Guarantees of each decoder.

void CheckRunnable(const wire::JobSpec& spec,
                   const wire::ProgressRecord& progress) {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  constexpr int64_t kWall = 1796000000000;
  Job job(spec);
  BOOST_TEST(job.Objective() >= Millis(0));
  BOOST_TEST(job.CriticalPathFrom(0) >= Millis(0));
  job.Restore(progress);
  BOOST_TEST((job.Progress().state == progress.state));
  constexpr int64_t kMaxTasks = 300;
  int64_t tasks = 0;
  for (const wire::StepSpec& step : spec.steps) tasks += step.tasks;
  if (tasks * std::max(1, spec.occurrences) > kMaxTasks) return;
  scheduling::Scheduler scheduler({.attempt_base = 100000});
  scheduler.pool().Update(
      {.id = "i-1",
       .pool = spec.queue.pool,
       .address = "10.0.0.9:80",
       .capacity = {.millicores = 16000, .memory_mb = 32768}});
  scheduler.pool().at(0).reachable = true;
  scheduler.Load(spec, progress, now, kWall);
  scheduling::Orders orders;
  scheduler.ResolveAll(now, orders);
  scheduler.Tick(now, kWall);
  scheduler.Place(now, {}, orders);
}

void CheckUpstream(const std::string& bytes) {
  const auto decoded = platform::DecodeUpstream("i-1", bytes);
  if (!decoded.ok() || !decoded.value().listed) return;
  const ports::UpstreamEntry& entry = decoded.value();
  BOOST_TEST(entry.id == "i-1");
  BOOST_TEST(!entry.pool.empty());
  const auto endpoint = rpc::ParseEndpoint(entry.address);
  BOOST_TEST((endpoint.has_value() && endpoint->port != 0));
  BOOST_TEST(entry.capacity.millicores > 0);
  BOOST_TEST(entry.capacity.memory_mb >= 0);
  BOOST_TEST(entry.capacity.accelerators >= 0);
  BOOST_TEST(entry.warmup_left_ms >= 0);
  BOOST_TEST(entry.leaves_in_ms >= 0);
}

void CheckUpstreamId(const std::string& bytes) {
  const auto entry = platform::DecodeUpstream(bytes, "");
  if (!entry.ok()) return;
  const Json request =
      Json::parse(platform::EncodeAdviceRequest({1, 0, 0}, {bytes}));
  BOOST_TEST((request["workers"][0] == bytes));
  BOOST_TEST((bytes.find_first_of("\r\n") == std::string::npos));
}

/// The check of a configuration must end normally for all that decodes, and a
/// configuration must not differ from itself.
void CheckFindings(const ports::CellConfig& config) {
  const platform::ConfigFormat format;
  for (const auto& finding : configcheck::CheckConfig(config, format)) {
    BOOST_TEST(!finding.place.empty());
    BOOST_TEST(!finding.reason.empty());
  }
  const auto differences = configcheck::CompareConfigs(config, config, format);
  BOOST_TEST(differences.size() == 1U);
  BOOST_TEST(!configcheck::HasErrors(differences));
  ports::CellConfig next = config;
  next.version += 1;
  next.queues.clear();
  next.accounts.reset();
  for (const auto& finding :
       configcheck::CompareConfigs(next, config, format)) {
    BOOST_TEST(!finding.reason.empty());
  }
}

void CheckConfig(const std::string& bytes) {
  const auto config = platform::DecodeConfig(bytes);
  Findings decode_findings;
  const auto partial = platform::DecodeConfig(bytes, decode_findings);
  BOOST_TEST(config.ok() == (partial.ok() && decode_findings.empty()));
  if (partial.ok()) {
    configcheck::CheckKeyOwners(partial.value(), platform::ConfigFormat());
  }
  if (!config.ok()) return;
  CheckFindings(config.value());
  BOOST_TEST(config.value().version >= 1);
  for (const ports::QueueConfig& queue : config.value().queues) {
    BOOST_TEST(!queue.host.empty());
    BOOST_TEST(!queue.prefix.empty());
    BOOST_TEST(!queue.policy.name.empty());
    BOOST_TEST(config.value().pools.count(queue.policy.pool) == 1U);
    wire::JobSpec job;
    job.queue = queue.policy;
    job.steps.emplace_back();
    Findings findings;
    CheckStoredJob(job, findings);
    BOOST_TEST(findings.ToString() == "");
    BOOST_TEST(Job(job).Objective() >= Millis(0));
  }
  const jobentry::AccessTable table(config.value());
  BOOST_TEST(table.authenticates() == config.value().accounts.has_value());
  if (!config.value().accounts) return;
  for (const ports::AccountConfig& account : *config.value().accounts) {
    BOOST_TEST(!account.name.empty());
    BOOST_TEST(account.weight >= 0);
    BOOST_TEST(account.limit.millicores >= 0);
    for (const std::string& key : account.keys) {
      const std::string* owner = table.FindAccount(key);
      BOOST_TEST((owner != nullptr && *owner == account.name));
    }
  }
}

void CheckAuthorization(const std::string& bytes) {
  const std::vector<http::Header> headers{{"authorization", bytes}};
  const platform::RequestKey key = platform::ReadKey(headers);
  BOOST_TEST(key.key.empty() == key.fault.has_value());
  if (key.fault) return;
  // Whitespace after a header's value is not part of it.
  const std::string value = bytes.substr(0, bytes.find_last_not_of(" \t") + 1);
  BOOST_TEST(value.ends_with(key.key));
  BOOST_TEST((key.key.find_first_of(" \r\n\t") == std::string_view::npos));
}

void CheckJobBody(const std::string& bytes) {
  Findings findings;
  wire::JobSpec job = platform::DecodeJob(bytes, findings);
  CheckJob(job, findings);
  if (!findings.empty()) return;
  job.queue.pool = "s";
  CheckRunnable(job, {});
  const auto again = rpc::Decode<wire::JobSpec>(rpc::Encode(job));
  BOOST_TEST((again.ok() && again.value() == job));
  BOOST_TEST((Json::parse(platform::EncodeStart(
                  {.payload = job.payload}))["spec"] == job.payload));
}

void CheckRenew(const std::string& bytes) {
  const auto reply =
      platform::DecodeRenew(http::Response{.status = 200, .body = bytes});
  BOOST_TEST(reply.call.clock_ms >= 0);
  int64_t last = 0;
  for (const ports::EndedTask& end : reply.ended) {
    BOOST_TEST(end.number > last);
    last = end.number;
  }
  for (const ports::RunningTask& run : reply.running) {
    BOOST_TEST((run.percent >= 0 && run.percent <= 100));
    BOOST_TEST(run.attempt >= 0);
  }
  if (reply.call.verdict == ports::CallVerdict::kDone) return;
  BOOST_TEST(reply.running.empty());
  BOOST_TEST(reply.ended.empty());
}

void CheckOrder(const std::string& bytes) {
  for (const int status : {200, 409}) {
    const auto reply =
        platform::DecodeCall(http::Response{.status = status, .body = bytes});
    BOOST_TEST(reply.clock_ms >= 0);
  }
}

void CheckAdvice(const std::string& bytes) {
  const auto advice =
      platform::DecodeAdvice(http::Response{.status = 200, .body = bytes});
  if (!advice.ok()) return;
  BOOST_TEST((advice.value().valid >= Millis(0) &&
              advice.value().valid <= Millis(platform::kMaxDurationMs)));
}

void CheckNewest(const std::string& bytes) {
  const auto page = platform::DecodeNewest(bytes);
  if (!page.ok()) return;
  BOOST_TEST(page.value().end_offset >= 0);
  for (const ports::KeyedRecord& record : page.value().records) {
    if (record.decode_error.empty()) BOOST_TEST(!record.key.empty());
    if (!record.decode_error.empty()) BOOST_TEST(record.value.empty());
  }
}

void CheckTail(const std::string& bytes) {
  const auto tail = platform::DecodeTail(bytes);
  if (!tail.ok()) return;
  BOOST_TEST(tail.value().start_offset >= 0);
  BOOST_TEST(tail.value().end_offset >= tail.value().start_offset);
  for (const ports::KeyedRecord& record : tail.value().records) {
    if (!record.decode_error.empty()) BOOST_TEST(record.value.empty());
  }
}

void CheckAppend(const std::string& bytes) {
  for (const int status : {200, 409, 412, 503}) {
    const auto reply = platform::DecodeAppend(status, bytes);
    BOOST_TEST(reply.end_offset >= 0);
  }
}

void CheckSettings(const std::string& bytes) {
  Findings findings;
  const auto parsed = settings::ParseJobSettings(bytes, findings);
  BOOST_TEST(parsed.has_value() == findings.empty());
}

void CheckJobFile(const std::string& bytes) {
  Findings findings;
  const auto job = tool::ParseJobFile(bytes, findings);
  BOOST_TEST(job.has_value() == findings.empty());
  if (!job) return;
  CheckJob(*job, findings);
  BOOST_TEST(findings.ToString() == "");
}

void CheckTaskIdAndEndpoint(const std::string& bytes) {
  const auto task = ParseTaskId(bytes);
  if (task) {
    BOOST_TEST((ParseTaskId(TaskIdText(*task)) == task));
  }
  const auto endpoint = rpc::ParseEndpoint(bytes);
  if (endpoint) BOOST_TEST(!endpoint->address.to_string().empty());
}

/// Checks that the parser yields the same messages however the bytes are split,
/// and none above the size limit.
void CheckParser(const std::string& bytes, http::MessageKind kind) {
  constexpr size_t kMaxBody = 4096;
  struct Parsed {
    std::vector<std::string> bodies;
    bool good = true;
  };
  const std::string_view all = bytes;
  const auto feed = [&](size_t step) {
    Parsed out;
    http::Parser parser({.kind = kind, .max_body = kMaxBody});
    for (size_t at = 0; at < bytes.size() && out.good; at += step) {
      out.good = parser.Feed(
          all.substr(at, step), [&](const http::ParsedMessage& message) {
            out.bodies.push_back(message.request.body + message.response.body);
          });
    }
    return out;
  };
  const Parsed whole = feed(bytes.size() + 1);
  const Parsed cut = feed(7);
  BOOST_TEST(whole.good == cut.good);
  BOOST_TEST((whole.bodies == cut.bodies));
  for (const std::string& body : whole.bodies) {
    BOOST_TEST(body.size() <= kMaxBody);
  }
}

template <typename Message>
void CheckThrift(const std::string& bytes) {
  const auto message = rpc::Decode<Message>(bytes);
  if (!message.ok()) return;
  const auto again = rpc::Decode<Message>(rpc::Encode(message.value()));
  BOOST_TEST(again.ok());
}

void CheckStored(const std::string& bytes) {
  const auto spec = rpc::Decode<wire::JobSpec>(bytes);
  if (!spec.ok()) return;
  Findings findings;
  CheckStoredJob(spec.value(), findings);
  if (findings.empty()) CheckRunnable(spec.value(), {});
}

wire::JobSpec StoredJob() {
  wire::JobSpec spec;
  spec.id = 7;
  spec.payload = "payload";
  spec.queue.name = "q";
  spec.queue.pool = "s";
  spec.queue.max_attempts = 2;
  spec.accepted_unix_ms = 1796000000000;
  wire::StepSpec step;
  step.tasks = 5;
  step.millicores = 1000;
  step.memory_mb = 500;
  step.estimate_ms = 700;
  spec.steps = {step, step};
  spec.steps[1].after = {0};
  return spec;
}

void CheckProgressBytes(const std::string& bytes) {
  const auto progress = rpc::Decode<wire::ProgressRecord>(bytes);
  if (!progress.ok()) return;
  Findings findings;
  CheckProgress(progress.value(), findings);
  CheckProgressMatchesJob(StoredJob(), progress.value(), findings);
  if (findings.empty()) CheckRunnable(StoredJob(), progress.value());
}

/// A decoder, valid inputs for it, and a check that must hold for any input.
struct Target {
  const char* name;
  std::vector<std::string> valid;
  bool document = false;
  std::function<void(const std::string&)> check;
};

std::string Progress() {
  Job job(StoredJob());
  job.CountFailure({7, 0, 1, 2}, 100001);
  job.SetPhase({7, 0, 0, 1}, TaskPhase::kDone);
  return rpc::Encode(job.Progress());
}

std::string AnnounceCall() {
  wire::AnnounceCall out;
  out.term = 7;
  out.leader.name = "entry-0";
  out.leader.address = "10.0.0.1:7720";
  return rpc::Encode(out);
}

std::string HeartbeatReply() {
  wire::HeartbeatReply out;
  out.leading = true;
  out.term = 7;
  out.members.resize(3);
  out.config = "{}";
  wire::LoadSummary load;
  load.queues.resize(2);
  out.__set_load(load);
  return rpc::Encode(out);
}

std::string UpstreamRecord() {
  wire::UpstreamRecord out;
  out.id = "i-1";
  out.labels = {"a", "r1-3"};
  out.millicores = 16000;
  return rpc::Encode(out);
}

std::string AdviseReply() {
  wire::AdviseReply out;
  out.allowed.resize(2);
  out.valid_ms = 1500;
  return rpc::Encode(out);
}

std::string SubmitCall() {
  wire::SubmitJobCall out;
  out.job = StoredJob();
  return rpc::Encode(out);
}

std::string Frame() {
  wire::Frame out;
  out.id = 4;
  out.method = 52;
  out.body = SubmitCall();
  return rpc::Encode(out);
}

const std::vector<Target>& Targets() {
  static const std::string kUpstream =
      R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready",
      "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
      "coldLeftMs":0,"remainingMs":700,"sequence":4})";
  static const std::string kConfig =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"s","priority":1,"maxAttempts":2,"slackFactor":2.2,
      "targetDurationMs":1000,"advisor":{"decideMs":360.5,"periodMs":5.1,
      "validMs":1500},"public":true}],"services":[{"name":"s"}],
      "tenants":[{"name":"a","apiKeys":["k1","k2"],"weight":38,
      "maxCount":{"cpu":4346304,"memMb":12494416,"gpu":1}},
      {"name":"b","apiKeys":["k3"],"weight":1}],
      "limits":{"maxBodyBytes":9}})";
  // Accounts without keys, limits or weights, keys that no call can carry, and
  // queues of one host and prefix.
  static const std::string kOddConfig =
      R"({"version":9,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"s","slackFactor":0},{"name":"r","host":"h","prefix":"/p/",
      "service":"s","slackFactor":0.5,"advisor":{"decideMs":80,"periodMs":9,
      "validMs":70}},{"name":"q","host":" H","prefix":"p?","service":"t"}],
      "tenants":[{"name":"a","apiKeys":[],"weight":3},{"name":"k 1",
      "apiKeys":["k 1","k 1"],"maxCount":{"cpu":1,"memMb":0}},{"name":"c",
      "apiKeys":["k2"],"weight":0,"maxCount":{"cpu":1,"memMb":9007199254740991}}
      ]})";
  static const std::string kJob =
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900,
      "dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estMs":7000,
      "dependsOn":[0],"savesProgress":true,"gang":true,"maxPerServer":2,
      "requiredLabel":"a"}],"times":3,"startAtMs":7,"intervalMs":9})";
  static const std::string kReport =
      R"({"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,3]],
      "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
      [59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed","d"]]})";
  static const std::string kAdvice =
      R"({"allowed":[["i-1","t-1"],["i-2","t-2"]],"validMs":3000})";
  static const std::string kPage =
      R"({"items":[{"key":"a","value":"AP+A","offset":4},
      {"key":"b","value":"eyJhIjoxfQ==","offset":5}],"hasMore":true,
      "endOffset":6})";
  static const std::string kTail =
      std::string(7, '\0') + "\x05" + std::string(7, '\0') + "\x03" +
      platform::EncodeRecords({{"k", "value"}, {"gone", ""}, {"", "v"}});
  static const std::string kRequests =
      "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
      "PUT /q/2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n"
      "GET /q/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  static const std::string kResponses =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
      "HTTP/1.1 503 Away\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n";
  static const std::string kSettings =
      R"({"name":"n","failure_domain":"z","front_address":"1.2.3.4:1",
      "ready_address":"1.2.3.4:2","peer_address":"1.2.3.4:3", // comment
      "store_address":"1.2.3.4:4","seeds":["1.2.3.4:5"],"lease_ms":4000,
      "cpu_share":0.25 /* cores */})";
  static const std::string kJobFile =
      R"({"id":"5c0e7a21d94b36f8","payload":"text", // comment
      "steps":[{"tasks":2,"millicores":500,"memory_mb":100}]})";
  static const std::vector<Target> kTargets{
      {"upstream entry", {kUpstream}, true, CheckUpstream},
      {"upstream id", {"i-7f3a91c2"}, false, CheckUpstreamId},
      {"configuration", {kConfig, kOddConfig}, true, CheckConfig},
      {"authorization",
       {"Token gkcuyj8pjbvk9m68k7b2", "token  k", "Bearer k"},
       false,
       CheckAuthorization},
      {"job body", {kJob}, true, CheckJobBody},
      {"report", {kReport}, true, CheckRenew},
      {"answer to an order",
       {R"({"clockMs":482113,"reason":"fence"})"},
       true,
       CheckOrder},
      {"advice", {kAdvice}, true, CheckAdvice},
      {"page of a table", {kPage}, true, CheckNewest},
      {"tail of a log", {kTail}, false, CheckTail},
      {"answer to an append",
       {R"({"offset":840,"endOffset":842})", R"({"reason":"seq"})"},
       true,
       CheckAppend},
      {"settings", {kSettings}, false, CheckSettings},
      {"job file", {kJobFile}, false, CheckJobFile},
      {"task id or endpoint",
       {"5c0e7a21d94b36f8.0.1.17", "10.0.0.9:80", "::1:80"},
       false,
       CheckTaskIdAndEndpoint},
      {"request",
       {kRequests},
       false,
       [](const std::string& bytes) {
         CheckParser(bytes, http::MessageKind::kRequest);
       }},
      {"response",
       {kResponses},
       false,
       [](const std::string& bytes) {
         CheckParser(bytes, http::MessageKind::kResponse);
       }},
      {"frame", {Frame()}, false, CheckThrift<wire::Frame>},
      {"stored job", {rpc::Encode(StoredJob())}, false, CheckStored},
      {"stored progress", {Progress()}, false, CheckProgressBytes},
      {"stored upstream",
       {UpstreamRecord()},
       false,
       CheckThrift<wire::UpstreamRecord>},
      {"leader", {AnnounceCall()}, false, CheckThrift<wire::AnnounceCall>},
      {"heartbeat reply",
       {HeartbeatReply()},
       false,
       CheckThrift<wire::HeartbeatReply>},
      {"peer's advice", {AdviseReply()}, false, CheckThrift<wire::AdviseReply>},
      {"peer's job", {SubmitCall()}, false, CheckThrift<wire::SubmitJobCall>},
  };
  return kTargets;
}

std::string Mutated(const Target& target, Random& random) {
  std::string bytes = target.valid[Pick(random, target.valid.size())];
  const Target& other = Targets()[Pick(random, Targets().size())];
  if (target.document && Pick(random, 4) != 0) {
    Json document = Json::parse(bytes);
    const size_t changes = 1 + Pick(random, 3);
    for (size_t i = 0; i < changes; ++i) MutateNode(document, random);
    bytes = platform::ToText(document);
    if (Pick(random, 4) != 0) return bytes;
  }
  const size_t changes = 1 + Pick(random, 4);
  for (size_t i = 0; i < changes; ++i) {
    MutateBytes(bytes, other.valid[0], random);
  }
  return bytes;
}

std::string Printable(const std::string& bytes) {
  constexpr size_t kShown = 600;
  return Json(bytes.substr(0, kShown))
      .dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace

/// The checks must also hold for the valid messages that mutations start from.
BOOST_AUTO_TEST_CASE(DecodersHoldInvariantsOnValidInputs) {
  for (const Target& target : Targets()) {
    for (const std::string& bytes : target.valid) {
      BOOST_TEST_CONTEXT(target.name) { target.check(bytes); }
    }
  }
}

BOOST_AUTO_TEST_CASE(DecodersHoldInvariantsOnMutatedInputs) {
  const uint64_t inputs = FromEnvironment("MIMOSARAIL_FUZZ", kDefaultInputs);
  const uint64_t seed = FromEnvironment("MIMOSARAIL_FUZZ_SEED", kDefaultSeed);
  const uint64_t only = FromEnvironment("MIMOSARAIL_FUZZ_ONLY", UINT64_MAX);
  std::chrono::steady_clock::duration longest{};
  for (uint64_t i = 0; i < inputs; ++i) {
    if (only != UINT64_MAX && i != only) continue;
    // Each input has its own seed, so that it can be repeated alone.
    Random random(seed * 1000000007ULL + i);
    const Target& target = Targets()[i % Targets().size()];
    const std::string bytes = Mutated(target, random);
    if (i == only) BOOST_TEST_MESSAGE(Printable(bytes));
    const auto began = std::chrono::steady_clock::now();
    BOOST_TEST_CONTEXT(target.name << ", input " << i << " of seed " << seed) {
      BOOST_CHECK_NO_THROW(target.check(bytes));
    }
    longest = std::max(longest, std::chrono::steady_clock::now() - began);
  }
  BOOST_TEST((longest < kMaxInputTime));
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  BOOST_TEST(usage.ru_maxrss < kMaxResidentKb);
  BOOST_TEST_MESSAGE(
      "inputs " << inputs << ", decoders " << Targets().size() << ", longest "
                << std::chrono::duration_cast<Millis>(longest).count()
                << " ms, resident " << usage.ru_maxrss << " KB");
}

}  // namespace mimosarail
