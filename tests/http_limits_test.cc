#define BOOST_TEST_MODULE http_limits
#include <array>
#include <asio.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <latch>
#include <string>
#include <thread>
#include <vector>

#include "src/libs/http/parser.h"
#include "src/libs/http/read_deadline.h"
#include "src/libs/http/server.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

constexpr size_t kMaxHeadBytes = 200;
constexpr size_t kMaxBodyBytes = 100;

struct Parsed {
  std::vector<std::string> bodies;
  ParseError error = ParseError::kNone;
};

/// Feeds `bytes` in pieces of `step` bytes.
Parsed Parse(const std::string& bytes, size_t step) {
  Parsed out;
  const std::string_view all = bytes;
  Parser parser({.max_head_bytes = kMaxHeadBytes, .max_body = kMaxBodyBytes});
  const auto take = [&](ParsedMessage message) {
    out.bodies.push_back(std::move(message.request.body));
  };
  for (size_t at = 0; at < bytes.size(); at += step) {
    if (!parser.Feed(all.substr(at, step), take)) break;
  }
  out.error = parser.error();
  return out;
}

/// Checks that the outcome does not depend on how the bytes are split.
Parsed ParseInAnyPieces(const std::string& bytes) {
  Parsed whole = Parse(bytes, bytes.size());
  for (const size_t step : {size_t{1}, size_t{7}, size_t{64}}) {
    const Parsed pieces = Parse(bytes, step);
    BOOST_CHECK(pieces.error == whole.error);
    BOOST_CHECK(pieces.bodies == whole.bodies);
  }
  return whole;
}

std::string Lines(size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += "\r\n";
  return out;
}

const std::string kChunkedHead =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against limits that add up over the requests of a connection.
BOOST_AUTO_TEST_CASE(LimitsHoldForEachRequest) {
  std::string bytes;
  constexpr size_t kRequests = 20;
  for (size_t i = 0; i < kRequests; ++i) {
    bytes += "\r\nPOST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" +
             std::string(kMaxBodyBytes, 'x');
  }
  const Parsed parsed = ParseInAnyPieces(bytes);
  BOOST_CHECK(parsed.error == ParseError::kNone);
  BOOST_CHECK_EQUAL(parsed.bodies.size(), kRequests);
}

// Guards against refusing a legal body for the number of its chunks.
BOOST_AUTO_TEST_CASE(LegalBodyInSingleBytesIsRead) {
  std::string bytes = kChunkedHead;
  for (size_t i = 0; i < kMaxBodyBytes; ++i) bytes += "1\r\nx\r\n";
  const Parsed parsed = ParseInAnyPieces(bytes + "0\r\n\r\n");
  BOOST_CHECK(parsed.error == ParseError::kNone);
  BOOST_REQUIRE_EQUAL(parsed.bodies.size(), 1U);
  BOOST_CHECK_EQUAL(parsed.bodies[0].size(), kMaxBodyBytes);
}

// Guards against bytes outside of the body that no limit counts.
BOOST_AUTO_TEST_CASE(AllBytesOutsideTheBodyAreLimited) {
  const std::string filler(kMaxHeadBytes + 1, 'x');
  for (const std::string& bytes :
       {Lines(kMaxHeadBytes + 1), "GET /" + filler,
        "GET / HTTP/1.1\r\n" + filler,
        "GET / HTTP/1.1\r\nA:" + std::string(kMaxHeadBytes, ' '),
        kChunkedHead + "1;" + filler,
        kChunkedHead + "1\r\nx\r\n0\r\nA: " + filler}) {
    BOOST_CHECK(ParseInAnyPieces(bytes).error == ParseError::kHeadTooLarge);
  }
}

// Guards against chunks that earn more room for trailers than they take.
BOOST_AUTO_TEST_CASE(ChunksEarnNoRoomForTrailers) {
  std::string bytes = kChunkedHead;
  for (size_t i = 0; i < kMaxBodyBytes; ++i) bytes += "1\r\nx\r\n";
  bytes += "0\r\n";
  for (size_t i = 0; i < kMaxHeadBytes / 4; ++i) bytes += "a:\r\n";
  BOOST_CHECK(ParseInAnyPieces(bytes).error == ParseError::kHeadTooLarge);
}

// Guards against trailers that are kept without a limit on their number.
BOOST_AUTO_TEST_CASE(TrailersAreNotKept) {
  Parser parser({});
  std::vector<Header> headers;
  parser.Feed(kChunkedHead + "1\r\nx\r\n0\r\nA: b\r\n\r\n",
              [&](ParsedMessage message) {
                headers = std::move(message.request.headers);
              });
  BOOST_CHECK_EQUAL(headers.size(), 1U);
}

/// The error of a parser with an operator's largest limit on the head.
ParseError ErrorOf(const std::string& bytes) {
  Parser parser({.max_head_bytes = 64 << 10});
  parser.Feed(bytes, [](const ParsedMessage&) {});
  return parser.error();
}

// Guards against small headers without a bound on their number.
BOOST_AUTO_TEST_CASE(NumberOfHeadersIsLimited) {
  const std::string line = "GET / HTTP/1.1\r\n";
  std::string head = line;
  while (head.size() + 6 <= 16 << 10) head += "a:\r\n";
  BOOST_CHECK(ErrorOf(head + "\r\n") == ParseError::kNone);
  head = line;
  for (size_t i = 0; i <= 4096; ++i) head += "a:\r\n";
  BOOST_CHECK(ErrorOf(head + "\r\n") == ParseError::kHeadTooLarge);
}

// Guards against a body that is stored although it is too large.
BOOST_AUTO_TEST_CASE(AnnouncedBodyIsRefusedWithTheHead) {
  const Parsed parsed =
      ParseInAnyPieces("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
  BOOST_CHECK(parsed.error == ParseError::kBodyTooLarge);
}

BOOST_AUTO_TEST_CASE(ChunkedBodyOverTheLimitIsRefused) {
  const Parsed parsed = ParseInAnyPieces(kChunkedHead + "65\r\n" +
                                         std::string(kMaxBodyBytes + 1, 'x'));
  BOOST_CHECK(parsed.error == ParseError::kBodyTooLarge);
}

BOOST_AUTO_TEST_CASE(OtherBytesAreMalformed) {
  BOOST_CHECK(ParseInAnyPieces("not http\r\n").error == ParseError::kMalformed);
}

/// Server with a thread of its own that answers each request with 200 and a
/// body.
class TestServer {
 public:
  explicit TestServer(ServerOptions options, std::string body = {})
      : server_(
            io_, std::move(options),
            [body = std::move(body)](const Request&, const Responder& respond) {
              respond({.body = body});
            }) {
    port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~TestServer() {
    io_.stop();
    thread_.join();
  }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  size_t connections() const { return server_.connections(); }

  tcp::socket Connect() {
    tcp::socket socket(clients_);
    socket.connect({asio::ip::address_v4::loopback(), port_});
    return socket;
  }

  /// Keeps the server's thread busy until `released`.
  void Hold(std::latch& released) {
    asio::post(io_, [&released] { released.wait(); });
  }

 private:
  asio::io_context io_;
  asio::io_context clients_;
  Server server_;
  uint16_t port_ = 0;
  std::thread thread_;
};

/// Returns what arrives until the server ends the connection.
std::string ReadToEnd(tcp::socket& socket) {
  std::string out;
  std::error_code ended;
  asio::read(socket, asio::dynamic_buffer(out), ended);
  return out;
}

/// Returns the status line of the answer to `bytes`.
std::string StatusLine(TestServer& server, const std::string& bytes) {
  tcp::socket socket = server.Connect();
  asio::write(socket, asio::buffer(bytes));
  const std::string answer = ReadToEnd(socket);
  return answer.substr(0, answer.find("\r\n"));
}

// Guards against refusals that do not tell the caller which limit it met.
BOOST_AUTO_TEST_CASE(RefusalsNameTheLimit) {
  TestServer server({.limits = {.max_head_bytes = kMaxHeadBytes,
                                .max_body_bytes = kMaxBodyBytes}});
  BOOST_CHECK_EQUAL(StatusLine(server, Lines(kMaxHeadBytes + 1)),
                    "HTTP/1.1 431 Request Header Fields Too Large");
  BOOST_CHECK_EQUAL(
      StatusLine(server, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
      "HTTP/1.1 413 Content Too Large");
  BOOST_CHECK_EQUAL(StatusLine(server, "not http\r\n"),
                    "HTTP/1.1 400 Bad Request");
}

// Guards against a refusal that is read as the answer to an earlier request.
BOOST_AUTO_TEST_CASE(RequestsBeforeARefusedOneAreAnswered) {
  TestServer server({});
  tcp::socket socket = server.Connect();
  asio::write(socket,
              asio::buffer(std::string("GET / HTTP/1.1\r\n\r\nnot http\r\n")));
  const std::string answers = ReadToEnd(socket);
  BOOST_CHECK(answers.starts_with("HTTP/1.1 200"));
  BOOST_CHECK(answers.find("HTTP/1.1 400") != std::string::npos);
}

/// Whether the server closes the connection although the client goes on
/// sending `bytes`, with a pause after each.
bool ClosesOnSender(tcp::socket& socket, const std::string& bytes,
                    Millis pause) {
  constexpr Millis kLimit{20000};
  const TimePoint end = Clock::now() + kLimit;
  std::error_code error;
  while (!error && Clock::now() < end) {
    asio::write(socket, asio::buffer(bytes), error);
    std::this_thread::sleep_for(pause);
  }
  return static_cast<bool>(error);
}

// Guards against a refused client that keeps its connection by going on to
// send, slowly or as fast as it can.
BOOST_AUTO_TEST_CASE(RefusedSendersAreClosed) {
  TestServer server({});
  tcp::socket slow = server.Connect();
  asio::write(slow, asio::buffer(std::string("not http\r\n")));
  BOOST_CHECK(ClosesOnSender(slow, "x", Millis(100)));
  tcp::socket fast = server.Connect();
  asio::write(fast, asio::buffer(std::string("not http\r\n")));
  BOOST_CHECK(ClosesOnSender(fast, std::string(1 << 16, 'x'), Millis(0)));
}

constexpr ServerLimits kShortTimes{.head_timeout = Millis(300),
                                   .body_timeout = Millis(300),
                                   .idle_timeout = Millis(300),
                                   .write_timeout = Millis(300)};

// Guards against requests that stay open as long as a byte arrives now and
// then.
BOOST_AUTO_TEST_CASE(SlowRequestsAreRefused) {
  TestServer server({.limits = kShortTimes});
  const std::vector<std::string> beginnings{
      "GET / HTTP/1.1\r\nA: ",
      "POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n"};
  for (const std::string& beginning : beginnings) {
    BOOST_CHECK_EQUAL(StatusLine(server, beginning),
                      "HTTP/1.1 408 Request Timeout");
    tcp::socket sender = server.Connect();
    asio::write(sender, asio::buffer(beginning));
    BOOST_CHECK(ClosesOnSender(sender, "x", Millis(100)));
  }
}

// Guards against connections that stay open for a response that is read too
// slowly.
BOOST_AUTO_TEST_CASE(SlowReadersAreClosed) {
  constexpr size_t kResponseBytes = 64 << 20;
  constexpr Millis kLimit{20000};
  TestServer server({.limits = kShortTimes}, std::string(kResponseBytes, 'x'));
  tcp::socket socket = server.Connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  const TimePoint end = Clock::now() + kLimit;
  std::array<char, 4096> some{};
  do {
    std::error_code closed;
    socket.read_some(asio::buffer(some), closed);
    std::this_thread::sleep_for(Millis(100));
  } while (server.connections() > 0 && Clock::now() < end);
  BOOST_CHECK_EQUAL(server.connections(), 0U);
}

// Guards against idle connections that stay open for empty lines.
BOOST_AUTO_TEST_CASE(EmptyLinesDoNotExtendTheIdleTime) {
  TestServer server({.limits = kShortTimes});
  tcp::socket sender = server.Connect();
  BOOST_CHECK(ClosesOnSender(sender, "\r\n", Millis(100)));
}

// Guards against deadlines that count the time in which the server handled the
// previous request.
BOOST_AUTO_TEST_CASE(DeadlinesBeginAnewAfterAResponse) {
  ReadDeadline deadline;
  const TimePoint start{};
  const TimePoint end = deadline.Next(ParseStage::kHead, kShortTimes, start);
  BOOST_CHECK(end == start + kShortTimes.head_timeout);
  BOOST_CHECK(
      deadline.Next(ParseStage::kHead, kShortTimes, start + Millis(9)) == end);
  deadline.Restart();
  BOOST_CHECK(deadline.Next(ParseStage::kHead, kShortTimes,
                            start + Millis(9)) == end + Millis(9));
}

// Guards against idle connections that keep callers out, and against closing
// connections that are in use for it.
BOOST_AUTO_TEST_CASE(IdlestConnectionMakesRoom) {
  TestServer server({.max_connections = 3});
  tcp::socket busy = server.Connect();
  asio::write(busy, asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  tcp::socket idlest = server.Connect();
  std::this_thread::sleep_for(Millis(50));
  tcp::socket idle = server.Connect();
  std::this_thread::sleep_for(Millis(50));
  BOOST_CHECK_EQUAL(
      StatusLine(server, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"),
      "HTTP/1.1 200 OK");
  BOOST_CHECK(ReadToEnd(idlest).empty());
  for (tcp::socket* kept : {&busy, &idle}) {
    const std::string rest = kept == &busy ? "" : "GET / HTTP/1.1\r\n";
    asio::write(*kept, asio::buffer(rest + "Connection: close\r\n\r\n"));
    BOOST_CHECK(ReadToEnd(*kept).starts_with("HTTP/1.1 200"));
  }
}

// Guards against unfinished requests that keep callers out.
BOOST_AUTO_TEST_CASE(LongestUnfinishedRequestMakesRoom) {
  constexpr size_t kConnections = 3;
  TestServer server({.max_connections = kConnections});
  std::vector<tcp::socket> unfinished;
  for (size_t i = 0; i < kConnections; ++i) {
    unfinished.push_back(server.Connect());
    asio::write(unfinished.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\n")));
    std::this_thread::sleep_for(Millis(50));
  }
  BOOST_CHECK_EQUAL(
      StatusLine(server, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"),
      "HTTP/1.1 200 OK");
  BOOST_CHECK(ReadToEnd(unfinished[0]).empty());
  for (size_t i = 1; i < kConnections; ++i) {
    asio::write(unfinished[i],
                asio::buffer(std::string("Connection: close\r\n\r\n")));
    BOOST_CHECK(ReadToEnd(unfinished[i]).starts_with("HTTP/1.1 200"));
  }
}

constexpr Millis kLongTime{60000};
/// Exceeds the time after which an unfinished request goes before a connection
/// without one.
constexpr Millis kUnfinishedTime{1500};
const std::string kLastRequest = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Connections that have each sent the beginning of a request.
std::vector<tcp::socket> ConnectUnfinished(TestServer& server, size_t count) {
  std::vector<tcp::socket> out;
  for (size_t i = 0; i < count; ++i) {
    out.push_back(server.Connect());
    asio::write(out.back(), asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  }
  return out;
}

// Guards against closing a connection whose whole request has been read, but
// not yet handled, for one that is accepted at the same time.
BOOST_AUTO_TEST_CASE(NewcomersWithWholeRequestsAreAllAnswered) {
  constexpr size_t kConnections = 10;
  constexpr size_t kNewcomers = 5;
  TestServer server({.max_connections = kConnections});
  const auto crowd = ConnectUnfinished(server, kConnections);
  std::this_thread::sleep_for(Millis(100));
  std::latch released(1);
  server.Hold(released);
  std::vector<tcp::socket> newcomers;
  for (size_t i = 0; i < kNewcomers; ++i) {
    newcomers.push_back(server.Connect());
    asio::write(newcomers.back(), asio::buffer(kLastRequest));
  }
  released.count_down();
  for (tcp::socket& newcomer : newcomers) {
    BOOST_CHECK(ReadToEnd(newcomer).starts_with("HTTP/1.1 200"));
  }
}

// Guards against newcomers that close each other while unfinished requests
// keep all other connections.
BOOST_AUTO_TEST_CASE(OldUnfinishedRequestsGoBeforeNewcomers) {
  constexpr size_t kConnections = 3;
  TestServer server(
      {.max_connections = kConnections,
       .limits = {.head_timeout = kLongTime, .idle_timeout = kLongTime}});
  const auto crowd = ConnectUnfinished(server, kConnections);
  std::this_thread::sleep_for(kUnfinishedTime);
  std::vector<tcp::socket> newcomers;
  for (size_t i = 0; i < kConnections; ++i) {
    newcomers.push_back(server.Connect());
    std::this_thread::sleep_for(Millis(50));
  }
  for (tcp::socket& newcomer : newcomers) {
    std::error_code closed;
    asio::write(newcomer, asio::buffer(kLastRequest), closed);
    BOOST_CHECK(ReadToEnd(newcomer).starts_with("HTTP/1.1 200"));
  }
}

// Guards against refused clients that keep callers out by staying connected.
BOOST_AUTO_TEST_CASE(RefusedConnectionsMakeRoom) {
  constexpr size_t kConnections = 3;
  TestServer server({.max_connections = kConnections});
  std::vector<tcp::socket> refused;
  for (size_t i = 0; i < kConnections; ++i) {
    refused.push_back(server.Connect());
    asio::write(refused.back(), asio::buffer(std::string("not http\r\n")));
    BOOST_CHECK(ReadToEnd(refused.back()).starts_with("HTTP/1.1 400"));
  }
  BOOST_CHECK_EQUAL(StatusLine(server, kLastRequest), "HTTP/1.1 200 OK");
}

const std::string kRequest = "GET / HTTP/1.1\r\n\r\n";

/// Server that answers when it is told to, and clients, all on one thread.
class DeferringServer {
 public:
  explicit DeferringServer(ServerOptions options)
      : server_(io_, std::move(options),
                [this](const Request&, Responder respond) {
                  waiting_.push_back(std::move(respond));
                }),
        port_(server_.Listen("127.0.0.1:0").value()) {}

  void Connect(const std::string& bytes) {
    tcp::socket& client = clients_.emplace_back(io_);
    client.connect({asio::ip::address_v4::loopback(), port_});
    asio::write(client, asio::buffer(bytes));
  }
  void Send(size_t client, const std::string& bytes) {
    asio::write(clients_[client], asio::buffer(bytes));
  }
  /// Runs until this many requests have been handled.
  void RunUntil(size_t requests) {
    while (waiting_.size() < requests && io_.run_one_for(kLimit) > 0) {
    }
    BOOST_REQUIRE_EQUAL(waiting_.size(), requests);
  }
  void Run(Millis time = kPause) { io_.run_for(time); }
  void AnswerAll() {
    for (const Responder& respond : waiting_) respond({});
    Run();
  }
  /// What a client has received.
  std::string Received(size_t client) {
    std::error_code closed;
    std::string out(clients_[client].available(closed), ' ');
    if (!out.empty()) asio::read(clients_[client], asio::buffer(out), closed);
    return out;
  }

 private:
  static constexpr Millis kLimit{5000};
  static constexpr Millis kPause{500};

  asio::io_context io_;
  std::vector<Responder> waiting_;
  Server server_;
  uint16_t port_;
  std::vector<tcp::socket> clients_;
};

bool IsOk(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200");
}

// Guards against closing callers that wait for their answers: for a newcomer,
// only a client that has sent more than its request is closed.
BOOST_AUTO_TEST_CASE(SendingOnMakesRoomAndWaitingDoesNot) {
  DeferringServer server({.max_connections = 3});
  server.Connect(kRequest);
  server.RunUntil(1);
  server.Connect(kRequest + kRequest);
  server.RunUntil(2);
  server.Connect(kRequest);
  server.RunUntil(3);
  server.Connect(kRequest);
  server.RunUntil(4);
  server.AnswerAll();
  for (const size_t caller : {0, 2, 3}) {
    BOOST_CHECK(IsOk(server.Received(caller)));
  }
  BOOST_CHECK(server.Received(1).empty());
}

// Guards against clients that send on behind many callers that wait, and keep
// newcomers out.
BOOST_AUTO_TEST_CASE(SendingOnEndsWithTheNextAnswer) {
  constexpr size_t kCallers = 9;
  DeferringServer server({.max_connections = kCallers + 1});
  for (size_t caller = 0; caller < kCallers; ++caller) {
    server.Connect(kRequest);
    server.RunUntil(caller + 1);
  }
  server.Connect(kRequest + kRequest);
  server.RunUntil(kCallers + 1);
  server.Connect(kRequest);
  server.Run();
  server.AnswerAll();
  const std::string last = "Connection: close";
  const std::string waiting = server.Received(0);
  BOOST_CHECK(IsOk(waiting));
  BOOST_CHECK(waiting.find(last) == std::string::npos);
  const std::string sending = server.Received(kCallers);
  BOOST_CHECK(IsOk(sending));
  BOOST_CHECK(sending.find(last) != std::string::npos);
}

// Guards against a request that is handled long after its client sent it, and
// maybe cancelled it elsewhere: it waited for several answers before it.
BOOST_AUTO_TEST_CASE(RequestsThatWaitedForTooLongAreNotHandled) {
  constexpr Millis kMaxWait{3000};
  constexpr Millis kTimeToHandle{2000};
  DeferringServer server({.max_wait_behind = kMaxWait});
  server.Connect(kRequest + kRequest + kRequest);
  server.Connect(kRequest);
  server.RunUntil(2);
  server.Run(kTimeToHandle);
  server.AnswerAll();
  server.RunUntil(3);
  server.Run(kTimeToHandle);
  server.AnswerAll();
  server.RunUntil(3);
  const std::string last = "Connection: close";
  BOOST_CHECK(server.Received(0).find(last) != std::string::npos);
  BOOST_CHECK(server.Received(1).find(last) == std::string::npos);
}

// Guards against a connection that is closed for requests that did not wait:
// the client was idle before, and ended its request with an empty line.
BOOST_AUTO_TEST_CASE(IdleTimeIsNoWaitBehindOthers) {
  constexpr Millis kMaxWait{1000};
  DeferringServer server({.max_wait_behind = kMaxWait});
  server.Connect(kRequest + "\r\n");
  server.RunUntil(1);
  server.AnswerAll();
  server.Run(kMaxWait);
  server.Send(0, kRequest + kRequest);
  server.RunUntil(2);
  server.AnswerAll();
  server.RunUntil(3);
}

// Guards against limits that are fixed when the server or a connection begins.
BOOST_AUTO_TEST_CASE(ChangedLimitsHoldForTheNextRequest) {
  std::atomic<size_t> max_body_bytes{9};
  TestServer server({.current_limits = [&]() -> ServerLimits {
    return {.max_body_bytes = max_body_bytes};
  }});
  const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789";
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  tcp::socket socket = server.Connect();
  asio::write(socket, asio::buffer(request));
  std::string answer(ok.size(), ' ');
  asio::read(socket, asio::buffer(answer));
  BOOST_CHECK_EQUAL(answer, ok);
  max_body_bytes = 8;
  asio::write(socket, asio::buffer(request));
  BOOST_CHECK(ReadToEnd(socket).starts_with("HTTP/1.1 413"));
}

}  // namespace
}  // namespace mimosarail::http
