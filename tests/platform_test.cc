// Encodings and HTTP clients of the users' platform: what is decoded, what is
// refused, and which verdict each answer to a call maps to.

#define BOOST_TEST_MODULE platform
#include <array>
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "platform/job_codec.h"
#include "platform/store_client.h"
#include "platform/store_codec.h"
#include "platform/upstream_codec.h"
#include "src/libs/http/client.h"
#include "src/libs/http/parser.h"
#include "src/libs/http/server.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/settings/job_settings.h"

namespace mimosarail::platform {
namespace {

using ports::AppendVerdict;
using ports::CallVerdict;

http::Response Answer(int status, const std::string& body = "{}") {
  return {.status = status, .body = body};
}

/// Exceeds the socket buffers of both ends of a connection.
constexpr size_t kLongBody = 32 << 20;

/// Server end of one connection. Can refuse a request as soon as its first
/// bytes arrive. Must outlive the run of the io_context.
class EarlyAnsweringPeer {
 public:
  explicit EarlyAnsweringPeer(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  void Read(bool refuse) {
    socket_.async_read_some(
        asio::buffer(buffer_), [this, refuse](std::error_code error, size_t n) {
          if (error) return;  // the client closed the connection
          if (refuse) Write("503 Busy");
          const auto answer = [this](http::ParsedMessage message) {
            const bool refused = message.request.body.size() == kLongBody;
            read.push_back(std::move(message.request));
            if (!refused) Write("200 OK");
          };
          malformed = !parser_.Feed({buffer_.data(), n}, answer);
          if (!malformed) Read(false);
        });
  }

  std::vector<http::Request> read;
  bool malformed = false;

 private:
  void Write(const std::string& status) {
    std::error_code ignored;  // the client may have disconnected
    asio::write(
        socket_,
        asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"),
        ignored);
  }

  static constexpr size_t kReadBytes = 64 << 10;

  asio::ip::tcp::socket socket_;
  http::Parser parser_{{.max_body = kLongBody}};
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace

BOOST_AUTO_TEST_CASE(TaskIdsRoundTrip) {
  const TaskId id{0x5c0e7a21d94b36f8, 0, 1, 17};
  BOOST_TEST(TaskIdText(id) == "5c0e7a21d94b36f8.0.1.17");
  BOOST_TEST((ParseTaskId(TaskIdText(id)) == id));
  for (const char* bad :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "x.0.1.2",
        "5c0e7a21d94b36f8.0.1.2.3", "5c0e7a21d94b36f8.-1.1.2",
        "5C0E7A21D94B36F8.0.1.2", "5c0e7a21d94b36f8.0.1.2 "}) {
    BOOST_TEST(!ParseTaskId(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(JobBodyIsDecodedIntoSteps) {
  Findings findings;
  const wire::JobSpec job = DecodeJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900,
      "dataRack":"r1-3","later":[1]},{"count":20,"cpu":2000,"memMb":1024,
      "estMs":7000,"dependsOn":[0],"savesProgress":true,"gang":true,
      "maxPerServer":2,"requiredLabel":"a"}],"times":3,"startAtMs":7,
      "intervalMs":9,"unknown":{}
})",
      findings);
  BOOST_TEST(findings.ToString() == "");
  BOOST_TEST(job.payload == "text");
  BOOST_REQUIRE_EQUAL(job.steps.size(), 2U);
  BOOST_TEST(job.steps[0].tasks == 4);
  BOOST_TEST(job.steps[0].data_rack == "r1-3");
  BOOST_TEST(!job.steps[0].gang);
  BOOST_TEST(job.steps[1].after.at(0) == 0);
  BOOST_TEST(job.steps[1].checkpoints);
  BOOST_TEST(job.steps[1].gang);
  BOOST_TEST(job.steps[1].max_per_upstream == 2);
  BOOST_TEST(job.steps[1].label == "a");
  BOOST_TEST(job.occurrences == 3);
  BOOST_TEST(job.first_due_ms == 7);
  BOOST_TEST(job.interval_ms == 9);
}

BOOST_AUTO_TEST_CASE(FindingsOfMalformedJobsNameTheMember) {
  struct Row {
    const char* body;
    const char* place;
  };
  for (const Row& row :
       {Row{"", "body"}, Row{"[]", "body"},
        Row{"{\"spec\":1,\"steps\":[{}]}", "spec"}, Row{"{}", "steps"},
        Row{"{\"steps\":[1]}", "steps[0]"},
        Row{"{\"steps\":[{\"cpu\":\"x\"}]}", "steps[0].cpu"},
        Row{"{\"steps\":[{\"count\":0}]}", "steps[0].tasks"},
        Row{"{\"steps\":[{\"dependsOn\":[0]}]}", "steps[0].after"},
        Row{"{\"steps\":[{\"count\":99999}]}", "steps[0].tasks"}}) {
    Findings findings;
    const wire::JobSpec job = DecodeJob(row.body, findings);
    CheckJob(job, findings);
    BOOST_REQUIRE_MESSAGE(!findings.empty(), row.body);
    BOOST_TEST(findings.list()[0].place == row.place, row.body);
  }
}

BOOST_AUTO_TEST_CASE(AppendStatusesMapToVerdicts) {
  struct Row {
    int status;
    const char* body;
    AppendVerdict verdict;
  };
  for (const Row& row :
       {Row{200, R"({"offset":840,"endOffset":842})", AppendVerdict::kStored},
        Row{200, "cut", AppendVerdict::kUnknown},
        Row{409, R"({"reason":"fenced"})", AppendVerdict::kFenced},
        Row{409, R"({"reason":"seq","sequence":4})",
            AppendVerdict::kOutOfSequence},
        Row{412, R"({"endOffset":9})", AppendVerdict::kConflict},
        Row{429, "", AppendVerdict::kRefused},
        Row{503, "", AppendVerdict::kRefused},
        Row{507, "", AppendVerdict::kRefused}}) {
    BOOST_TEST((DecodeAppend(row.status, row.body).verdict == row.verdict),
               row.status << " " << row.body);
  }
  BOOST_TEST(DecodeAppend(200, R"({"endOffset":842})").end_offset == 842);
}

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  const std::vector<ports::KeyedRecord> records{{"k", "value"}, {"gone", ""}};
  const std::string body = std::string(7, '\0') + "\x05" +
                           std::string(7, '\0') + "\x03" +
                           EncodeRecords(records);
  const auto tail = DecodeTail(body);
  BOOST_REQUIRE(tail.ok());
  BOOST_TEST(tail.value().end_offset == 5);
  BOOST_TEST(tail.value().start_offset == 3);
  BOOST_REQUIRE_EQUAL(tail.value().records.size(), 2U);
  BOOST_TEST(tail.value().records[0].key == "k");
  BOOST_TEST(tail.value().records[0].value == "value");
  BOOST_TEST(tail.value().records[1].value == "");
  for (size_t cut = 0; cut < body.size(); ++cut) {
    const bool whole_record = cut == 16 || cut == 16 + 4 + 1 + 1 + 5;
    BOOST_TEST(DecodeTail(body.substr(0, cut)).ok() == whole_record, cut);
  }
}

BOOST_AUTO_TEST_CASE(NewestRecordsAreBase64) {
  const auto page = DecodeNewest(
      R"({"items":[{"key":"a","value":"AP+A","offset":4}],"hasMore":true,
      "endOffset":6})");
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page.value().more);
  BOOST_TEST(page.value().records[0].value == std::string("\0\xff\x80", 3));
  // A malformed item yields no value and does not discard other items.
  const auto odd =
      DecodeNewest(R"({"items":[{"key":"a","value":"*"}],"endOffset":6})");
  BOOST_REQUIRE(odd.ok());
  BOOST_REQUIRE_EQUAL(odd.value().records.size(), 1U);
  BOOST_TEST(!odd.value().records[0].decode_error.empty());
  BOOST_TEST(odd.value().records[0].value.empty());
  BOOST_TEST(!DecodeNewest(R"({"items":[{"key":"a","value":"*"}]})").ok());
  BOOST_TEST(!DecodeNewest("no").ok());
}

BOOST_AUTO_TEST_CASE(AnUpstreamEntryIsDecoded) {
  const auto entry = DecodeUpstream(
      "i-1",
      R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"draining",
      "capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],
      "remainingMs":700,"sequence":4})");
  BOOST_REQUIRE(entry.ok());
  BOOST_TEST(entry.value().draining);
  BOOST_TEST(entry.value().rack == "r1-3");
  BOOST_TEST(entry.value().capacity.accelerators == 1);
  BOOST_TEST(entry.value().leaves_in_ms == 700);
  BOOST_TEST(!DecodeUpstream("i-1", "").value().listed);
  BOOST_TEST(!DecodeUpstream("i-1", R"({"addr":5})").ok());
}

BOOST_AUTO_TEST_CASE(AConfigurationIsDecoded) {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"s","priority":1,"maxAttempts":2,"slackFactor":2.2,
      "targetDurationMs":1000,"advisor":{"decideMs":360.5,"periodMs":5.1,
      "validMs":1500}},{"name":"q","host":"h","prefix":"/q/",
      "service":"t"}],"services":[{"name":"u"}],"limits":{"maxBodyBytes":9}})");
  BOOST_REQUIRE(config.ok());
  BOOST_TEST(config.value().version == 7);
  BOOST_REQUIRE_EQUAL(config.value().queues.size(), 2U);
  const wire::QueuePolicy& policy = config.value().queues[0].policy;
  BOOST_TEST(policy.advised);
  BOOST_TEST(policy.advice_base_ms == 360.5);
  BOOST_TEST(policy.max_attempts == 2);
  BOOST_TEST(!config.value().queues[1].policy.advised);
  BOOST_TEST((config.value().pools == std::set<std::string>{"s", "t", "u"}));
  BOOST_TEST(!DecodeConfig(R"({"version":7,"routes":[{"name":"q"}]})").ok());
  BOOST_TEST(!DecodeConfig(R"({"routes":[]})").ok());
}

/// Guards against taking an unknown status for a refusal. A start that is
/// answered with a status that no refusal has (an internal error of the
/// upstream, or an answer of a proxy) may have been carried out. If it counted
/// as refused, the task would start on another upstream and run twice until the
/// first run is found and stopped.
BOOST_AUTO_TEST_CASE(OrderStatusesMapToVerdicts) {
  struct Row {
    int status;
    const char* body;
    CallVerdict verdict;
  };
  for (const Row& row :
       {Row{200, R"({"clockMs":5})", CallVerdict::kDone},
        Row{409, R"({"reason":"fence"})", CallVerdict::kFenced},
        Row{409, R"({"reason":"old"})", CallVerdict::kStale},
        Row{409, R"({"reason":"late"})", CallVerdict::kLeaseExpired},
        Row{409, R"({"reason":"room"})", CallVerdict::kNoCapacity},
        Row{409, R"({"reason":"ticket"})", CallVerdict::kBadTicket},
        Row{421, "", CallVerdict::kReplaced},
        Row{429, "", CallVerdict::kUnhealthy},
        Row{503, "", CallVerdict::kUnhealthy},
        Row{400, "", CallVerdict::kMalformed},
        Row{500, "", CallVerdict::kUnknown},
        Row{502, "", CallVerdict::kUnknown},
        Row{504, "", CallVerdict::kUnknown},
        Row{204, "", CallVerdict::kUnknown}}) {
    BOOST_TEST(
        (DecodeCall(Answer(row.status, row.body)).verdict == row.verdict),
        row.status << " " << row.body);
  }
  using Failed = Result<http::Response>;
  BOOST_TEST((DecodeCall(Failed(Errc::kUnavailable)).verdict ==
              CallVerdict::kNotSent));
  BOOST_TEST(
      (DecodeCall(Failed(Errc::kTimeout)).verdict == CallVerdict::kUnknown));
  BOOST_TEST((DecodeCall(Failed(Errc::kDisconnected)).verdict ==
              CallVerdict::kUnknown));
}

/// Guards against using a partly decoded report: an incomplete inventory would
/// count as complete, and tasks would start twice.
BOOST_AUTO_TEST_CASE(PartlyMalformedReportIsUnknown) {
  const std::string good =
      R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,3]],
      "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed","d"]]})";
  const auto report = DecodeRenew(Answer(200, good));
  BOOST_TEST((report.call.verdict == CallVerdict::kDone));
  BOOST_TEST(report.running.at(0).percent == 41);
  BOOST_TEST((report.ended.at(0).kind == ports::EndKind::kLeaseExpired));
  BOOST_TEST(report.ended.at(0).number == 58);
  for (const char* bad :
       {R"({"running":[["x",2,"c",41]]})", R"({"running":[[1,2]]})",
        R"({"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"odd","d"]]})"}) {
    BOOST_TEST(
        (DecodeRenew(Answer(200, bad)).call.verdict == CallVerdict::kUnknown),
        bad);
  }
}

/// Guards against a restart that goes unnoticed: an unreadable start time must
/// not pass for an upstream that reports none.
BOOST_AUTO_TEST_CASE(StartTimesOfUpstreamsAreDecoded) {
  const std::string lists = R"("clockMs":5,"running":[],"finished":[]})";
  const auto report =
      DecodeRenew(Answer(200, R"({"born":1780000000123,)" + lists));
  BOOST_TEST((report.call.verdict == CallVerdict::kDone));
  BOOST_TEST(report.call.incarnation == 1780000000123);
  const auto without = DecodeRenew(Answer(200, "{" + lists));
  BOOST_TEST((without.call.verdict == CallVerdict::kDone));
  BOOST_TEST(without.call.incarnation == 0);
  for (const char* bad : {R"("7")", "-1", "1e300", "[7]"}) {
    const std::string body = R"({"born":)" + std::string(bad) + "," + lists;
    const auto verdict = DecodeRenew(Answer(200, body)).call.verdict;
    BOOST_TEST((verdict == CallVerdict::kUnknown), body);
  }
  const auto entry = [](const std::string& born) {
    return DecodeUpstream("i-1",
                          R"({"service":"s","addr":"1.2.3.4:5","zone":"z",)"
                          R"("state":"ready","capacity":{"cpu":1,"memMb":1})" +
                              born + "}");
  };
  BOOST_TEST(entry(R"(,"born":7)").value().incarnation == 7);
  BOOST_TEST(entry("").value().incarnation == 0);
  BOOST_TEST(!entry(R"(,"born":"7")").ok());
}

/// Guards against treating a full list of completions as complete: a report
/// lists at most 500, and further ones may follow.
BOOST_AUTO_TEST_CASE(FullListOfCompletionsMayBeIncomplete) {
  const auto decode_report = [](int count) {
    std::string rows;
    for (int i = 1; i <= count; ++i) {
      rows += (i > 1 ? "," : "") + ("[" + std::to_string(i)) +
              R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return DecodeRenew(
        Answer(200, R"({"clockMs":1,"running":[],"finished":[)" + rows + "]}"));
  };
  BOOST_REQUIRE((decode_report(499).call.verdict == CallVerdict::kDone));
  BOOST_TEST(!decode_report(0).more_completions);
  BOOST_TEST(!decode_report(499).more_completions);
  BOOST_REQUIRE((decode_report(500).call.verdict == CallVerdict::kDone));
  BOOST_TEST(decode_report(500).more_completions);
}

BOOST_AUTO_TEST_CASE(AdviceIsDecoded) {
  const auto advice = DecodeAdvice(
      Answer(200, R"({"allowed":[["i-1","t-1"]],"validMs":3000})"));
  BOOST_REQUIRE(advice.ok());
  BOOST_TEST(advice.value().allowed.at(0).ticket == "t-1");
  BOOST_TEST(advice.value().valid.count() == 3000);
  BOOST_TEST(!DecodeAdvice(Answer(429)).ok());
  BOOST_TEST(!DecodeAdvice(Answer(200, R"({"allowed":[1]})")).ok());
}

BOOST_AUTO_TEST_CASE(InvalidSettingsAreRefused) {
  Findings findings;
  BOOST_TEST(!settings::ParseJobSettings("{}", findings).has_value());
  BOOST_TEST(findings.list().size() >= 6U);
  const std::string base =
      R"({"name":"n","failure_domain":"z","front_address":"1.2.3.4:1",
      "ready_address":"1.2.3.4:2","peer_address":"1.2.3.4:3",
      "store_address":"1.2.3.4:4")";
  Findings none;
  BOOST_TEST(settings::ParseJobSettings(base + "}", none).has_value());
  BOOST_TEST(none.empty());
  Findings clash;
  BOOST_TEST(!settings::ParseJobSettings(base + R"(,"quiet_ms":100})", clash)
                  .has_value());
  Findings unknown;
  BOOST_TEST(!settings::ParseJobSettings(base + R"(,"colour":1})", unknown)
                  .has_value());
  Findings names;
  BOOST_TEST(!settings::ParseJobSettings(
                  base + R"(,"queue_order":"fifo","admission":"all"})", names)
                  .has_value());
  BOOST_TEST(names.list().size() == 2U);
}

/// A deployment that does not ask for them gets none of the new behaviours.
BOOST_AUTO_TEST_CASE(NewBehavioursAreOffByDefault) {
  const settings::JobSettings defaults;
  BOOST_TEST(defaults.queue_order == "priority");
  BOOST_TEST(defaults.admission == "capacity");
  BOOST_TEST(defaults.upstream_speed_spread_percent == 0);
  BOOST_TEST(defaults.link_centi_mbps == 0);
}

/// The parser must yield the same messages however the bytes are split.
BOOST_AUTO_TEST_CASE(RequestsParseFromAnySplit) {
  const std::string bytes =
      "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
      "GET /q/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  for (size_t cut = 1; cut < bytes.size(); ++cut) {
    http::Parser parser({});
    std::vector<http::ParsedMessage> got;
    const auto take = [&](http::ParsedMessage message) {
      got.push_back(std::move(message));
    };
    BOOST_TEST(parser.Feed(bytes.substr(0, cut), take));
    BOOST_TEST(parser.Feed(bytes.substr(cut), take));
    BOOST_REQUIRE_EQUAL(got.size(), 2U);
    BOOST_TEST(got[0].request.body == "{}");
    BOOST_TEST(got[0].keep_alive);
    BOOST_TEST(got[1].request.target == "/q/");
    BOOST_TEST(!got[1].keep_alive);
  }
}

/// Guards against queued calls that are never answered. All connections are
/// busy, and they break while calls wait for one. If the start of a task were
/// never answered, the task would hang forever.
BOOST_AUTO_TEST_CASE(WaitingCallsSurviveBrokenConnections) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  int accepted = 0;
  std::vector<asio::ip::tcp::socket> sockets;
  std::function<void()> accept = [&] {
    acceptor.async_accept(
        [&](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) return;
          // The first connection breaks before it answers; later ones answer.
          if (accepted++ > 0) {
            asio::write(socket, asio::buffer(std::string(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                    "Connection: close\r\n\r\n")));
            sockets.push_back(std::move(socket));
          }
          accept();
        });
  };
  accept();
  http::Client client(io, {.max_connections = 1});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  int answered = 0;
  constexpr int kCalls = 3;
  for (int i = 0; i < kCalls; ++i) {
    client.Call(address, {}, Millis(5000), [&](const auto&) {
      if (++answered == kCalls) io.stop();
    });
  }
  io.run_for(std::chrono::seconds(20));
  BOOST_TEST(answered == kCalls);
}

/// Guards against a call whose bytes are sent in the middle of another call's
/// body. This happens if the peer refuses a request that has not been sent
/// completely, and the client then reuses the connection.
BOOST_AUTO_TEST_CASE(ConnectionWithHalfSentRequestIsNotReused) {
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  constexpr Millis kTimeout{5000};
  std::vector<std::unique_ptr<EarlyAnsweringPeer>> peers;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](std::error_code error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_unique<EarlyAnsweringPeer>(std::move(socket)));
      // Only the first connection's first request is refused.
      peers.back()->Read(peers.size() == 1);
      accept();
    });
  };
  accept();
  http::Client client(io, {});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  int first = 0;
  int second = 0;
  client.Call(
      address,
      {.method = "POST", .target = "/1", .body = std::string(kLongBody, 'x')},
      kTimeout, [&](const Result<http::Response>& reply) {
        first = reply.ok() ? reply.value().status : -1;
        client.Call(address,
                    {.method = "POST", .target = "/2", .body = "second"},
                    kTimeout, [&](const Result<http::Response>& other) {
                      second = other.ok() ? other.value().status : -1;
                      io.stop();
                    });
      });
  io.run_for(std::chrono::seconds(20));
  BOOST_TEST(first == 503);
  BOOST_TEST(second == 200);
  BOOST_REQUIRE(!peers.empty());
  for (const auto& peer : peers) BOOST_TEST(!peer->malformed);
  BOOST_REQUIRE(!peers.back()->read.empty());
  BOOST_TEST(peers.back()->read.back().target == "/2");
  BOOST_TEST(peers.back()->read.back().body == "second");
}

/// Guards against a page that can never be read because its transfer takes
/// longer than the timeout, although data keeps arriving.
BOOST_AUTO_TEST_CASE(AnswerThatKeepsArrivingDoesNotTimeOut) {
  using asio::ip::tcp;
  constexpr int kParts = 12;
  constexpr Millis kPause{250};
  constexpr Millis kTimeout{2000};
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  const auto send = [&](const std::shared_ptr<tcp::socket>& socket) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kParts) +
        "\r\n\r\n";
    asio::write(*socket, asio::buffer(head));
    for (int part = 1; part <= kParts; ++part) {
      auto timer = std::make_shared<asio::steady_timer>(io, part * kPause);
      timer->async_wait([timer, socket](std::error_code) {
        std::error_code ignored;  // the client may have timed out
        asio::write(*socket, asio::buffer("x", 1), ignored);
      });
    }
  };
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](std::error_code error, tcp::socket accepted) {
      if (error) return;
      send(std::make_shared<tcp::socket>(std::move(accepted)));
      accept();
    });
  };
  accept();
  http::Client extended(io, {.max_response_time = Millis(20000)});
  http::Client strict(io, {});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::optional<Result<http::Response>> extended_result;
  std::optional<Result<http::Response>> strict_result;
  const auto stop = [&] {
    if (extended_result && strict_result) io.stop();
  };
  extended.Call(address, {.target = "/"}, kTimeout,
                [&](const Result<http::Response>& reply) {
                  extended_result = reply;
                  stop();
                });
  strict.Call(address, {.target = "/"}, kTimeout,
              [&](const Result<http::Response>& reply) {
                strict_result = reply;
                stop();
              });
  io.run_for(std::chrono::seconds(20));
  BOOST_REQUIRE(extended_result.has_value());
  BOOST_REQUIRE(strict_result.has_value());
  BOOST_REQUIRE(extended_result->ok());
  BOOST_TEST(extended_result->value().body.size() ==
             static_cast<size_t>(kParts));
  BOOST_TEST(!strict_result->ok());
}

/// Guards against missing a configuration that is on a later page.
BOOST_AUTO_TEST_CASE(TheConfigurationIsReadFromAllPages) {
  asio::io_context io;
  rpc::AsioExecutor executor(io);
  std::vector<std::string> targets;
  // Base64 of {"wave":7,"machines":["m"]} and of {}.
  const std::string first =
      R"({"items":[{"key":"a","value":"e30=","offset":0}],"hasMore":true,
      "endOffset":5})";
  const std::string second =
      R"({"items":[{"key":"config","value":"e30=","offset":1},{"key":"wave/7",
      "value":"eyJ3YXZlIjo3LCJtYWNoaW5lcyI6WyJtIl19","offset":2}],
      "endOffset":6})";
  http::Server server(
      io, {},
      [&](const http::Request& request, const http::Responder& respond) {
        targets.push_back(request.target);
        const bool more =
            request.target.find("dependsOn=a") != std::string::npos;
        respond({.status = 200, .body = more ? second : first});
      });
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port.ok());
  http::Client client(io, {});
  StoreClient store(client, executor,
                    "127.0.0.1:" + std::to_string(port.value()));
  std::optional<ports::ConfigUpdate> got;
  store.ReadNewest(Millis(2000),
                   [&](const Result<ports::ConfigUpdate>& update) {
                     if (update.ok()) got = update.value();
                     io.stop();
                   });
  io.run_for(std::chrono::seconds(10));
  BOOST_REQUIRE(got.has_value());
  BOOST_TEST(targets.size() == 2U);
  BOOST_TEST(got->documents.size() == 1U);
  BOOST_TEST(got->waves.size() == 1U);
  // Pages are not a snapshot: changes are read from the end offset of the
  // first.
  BOOST_TEST(got->cursor == 5);
}

}  // namespace mimosarail::platform
