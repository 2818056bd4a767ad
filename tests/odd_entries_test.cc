// What other writers may leave among the records that entries read: one odd
// entry must neither end the process nor keep the good ones from being used.

#define BOOST_TEST_MODULE odd_entries
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <utility>

#include "platform/host_codec.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::platform {
namespace {

constexpr const char* kUpstream =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready",
    "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
    "coldLeftMs":0,"remainingMs":5,"born":7,"sequence":4})";

constexpr size_t kLongValue = 20000;

/// A reader of what others write, and a message that it accepts.
struct Reader {
  const char* name;
  const char* message;
  void (*read)(const std::string& message);
};

http::Response Answer(const std::string& body) {
  return {.status = 200, .body = body};
}

const std::vector<Reader>& Readers() {
  static const std::vector<Reader> kReaders{
      {"upstream list", kUpstream,
       [](const std::string& text) {
         const auto entry = DecodeUpstream("i-1", text);
         if (!entry.ok() || !entry.value().listed) return;
         const ports::UpstreamEntry& it = entry.value();
         BOOST_TEST(it.capacity.millicores > 0);
         BOOST_TEST(it.capacity.memory_mb >= 0);
         const auto endpoint = rpc::ParseEndpoint(it.address);
         BOOST_TEST((endpoint && endpoint->port > 0));
       }},
      {"configuration",
       R"({"version":3,"services":[{"name":"s","enforceLimits":false}],
       "routes":[{"host":"h","prefix":"/p/","service":"s","priority":1,
       "maxAttempts":2,"slackFactor":2,"targetDurationMs":100,
       "advisor":{"decideMs":5,"periodMs":1,"validMs":100}}],
       "tenants":[{"name":"t","keys":["k"],"weight":1,
       "maxCount":{"cpu":5,"memMb":6,"gpu":0}}]})",
       [](const std::string& text) { (void)DecodeConfig(text); }},
      {"report of an upstream",
       R"({"clockMs":482113,"born":3,
       "running":[["5c0e7a21d94b36f8.0.1.17",2,"00ab",41,5]],
       "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
       [](const std::string& text) {
         const ports::RenewReply reply = DecodeRenew(Answer(text));
         BOOST_TEST(reply.call.clock_ms >= 0);
       }},
      {"answer of an upstream", R"({"clockMs":5,"reason":"fence"})",
       [](const std::string& text) { (void)DecodeCall(Answer(text)); }},
      {"advice", R"({"allowed":[["i-1","t"],["i-2","u"]]})",
       [](const std::string& text) { (void)DecodeAdvice(Answer(text)); }},
      {"hosts",
       R"({"machines":[{"id":"m","server":"i-1","rack":"r","service":"s",
       "cpu":16000,"memMb":5,"gpu":0,"state":"on"}],"pageToken":"p"})",
       [](const std::string& text) { (void)DecodeHosts(Answer(text)); }},
      {"wave",
       R"({"service":"s","machines":["m"],"maxCount":2,"deadlineMs":5,
       "version":1})",
       [](const std::string& text) { (void)DecodeWave(text); }},
      {"append", R"({"endOffset":5,"expected":4})",
       [](const std::string& text) { (void)DecodeAppend(200, text); }},
      {"page", R"({"items":[{"key":"a","value":"AP+A"}],"hasMore":true,
       "endOffset":6})",
       [](const std::string& text) { (void)DecodeNewest(text); }},
      {"job",
       R"({"spec":"x","steps":[{"count":2,"cpu":5,"memMb":6,"gpu":0,
       "estMs":7,"dependsOn":[0],"maxPerServer":1,"requiredLabel":"a"}],
       "times":2,"startAtMs":5,"intervalMs":6})",
       [](const std::string& text) {
         Findings findings;
         (void)DecodeJob(text, findings);
       }},
  };
  return kReaders;
}

std::string Repeated(const std::string& text, size_t times) {
  std::string out;
  out.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i) out += text;
  return out;
}

/// Odd values, as JSON text.
std::vector<std::string> OddValues() {
  std::vector<std::string> out;
  for (const size_t depth : {10U, 1000U, 100000U, 1000000U}) {
    out.push_back(Repeated("[", depth) + Repeated("]", depth));
    out.push_back(Repeated(R"({"a":)", depth) + "1" + Repeated("}", depth));
    out.push_back(Repeated(R"([{"a":)", depth) + "1" + Repeated("}]", depth));
    out.push_back(Repeated("[", depth));
    out.push_back('"' + Repeated("[{", depth) + '"');
  }
  for (const char* number :
       {"1e309", "-1", "2147483648", "9007199254740993", "9223372036854775808",
        "18446744073709551616", "1e400", "-1e400", "0.5", "NaN", R"("NaN")"}) {
    out.emplace_back(number);
  }
  for (const char* port :
       {"0", "65536", "99999999999", "-1", "", "+80", " 80", "80 ", "0x50"}) {
    out.push_back(std::string(R"("10.0.0.9:)") + port + '"');
  }
  for (const char* value :
       {R"("[::1]:80")", R"("::1:80")", R"("10.0.0.9")", "true", "null", "{}",
        "[]", R"("")", "[null]", "[[]]", "[{}]", "\"\xff\xfe\"", "\"\\u0000\"",
        R"("AP+")", R"("A")", ""}) {
    out.emplace_back(value);
  }
  return out;
}

/// Calls `use` with the message once for each of its values, in which that
/// value is replaced by `odd`.
template <typename Use>
void ForEachReplacement(const std::string& message, const std::string& odd,
                        const Use& use) {
  const Json flat = Json::parse(message).flatten();
  for (const auto& [pointer, value] : flat.items()) {
    for (Json::json_pointer at(pointer); !at.empty();
         at = at.parent_pointer()) {
      Json document = Json::parse(message);
      document[at] = "@@";
      std::string text = document.dump();
      text.replace(text.find(R"("@@")"), 4, odd);
      use(text);
    }
  }
}

}  // namespace

/// Guards against a process that ends, or uses a wrong value, because of one
/// odd member of a message.
BOOST_AUTO_TEST_CASE(OddMembersEndNoReader) {
  size_t messages = 0;
  const std::vector<std::string> odd_values = OddValues();
  for (const Reader& reader : Readers()) {
    BOOST_TEST_CONTEXT(reader.name) {
      for (const std::string& odd : odd_values) {
        reader.read(odd);
        bool replaced = false;
        ForEachReplacement(reader.message, odd, [&](const std::string& text) {
          // One member is enough for the longest values.
          if (std::exchange(replaced, true) && odd.size() > kLongValue) return;
          ++messages;
          reader.read(text);
        });
        const std::string whole = reader.message;
        // The same member twice.
        reader.read(R"({"addr":)" + odd + "," + whole.substr(1));
        reader.read(whole.substr(0, whole.size() - 1) + R"(,"addr":)" + odd +
                    "}");
      }
      for (size_t size = 0; size < std::string(reader.message).size(); ++size) {
        reader.read(std::string(reader.message).substr(0, size));
      }
    }
  }
  BOOST_TEST_MESSAGE(messages << " messages");
}

/// Guards against a list that is no longer followed, or good upstreams that are
/// not used, because another writer left odd entries on the same page.
BOOST_AUTO_TEST_CASE(GoodEntriesBesideOddOnesAreUsed) {
  constexpr size_t kEntries = 400;
  const std::vector<std::string> odd_values = OddValues();
  for (const uint64_t seed : {1, 2, 3}) {
    std::mt19937_64 random(seed);
    std::vector<ports::KeyedRecord> records;
    std::set<std::string> good;
    for (size_t i = 0; i < kEntries; ++i) {
      const std::string id = "i-" + std::to_string(i);
      if (random() % 2 == 0) {
        good.insert(id);
        records.push_back({.key = id, .value = kUpstream});
        continue;
      }
      const std::string& odd = odd_values[random() % odd_values.size()];
      std::vector<std::string> replaced{odd};
      if (odd.size() <= kLongValue) {
        ForEachReplacement(kUpstream, odd, [&](const std::string& text) {
          replaced.push_back(text);
        });
      }
      records.push_back(
          {.key = id, .value = replaced[random() % replaced.size()]});
    }
    std::set<std::string> usable;
    for (const ports::KeyedRecord& record : records) {
      const auto entry = DecodeUpstream(record.key, record.value);
      if (entry.ok() && entry.value().listed) usable.insert(record.key);
    }
    BOOST_TEST(
        std::includes(usable.begin(), usable.end(), good.begin(), good.end()));
  }
}

}  // namespace mimosarail::platform
