#define BOOST_TEST_MODULE rpc_server
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <optional>
#include <thread>

#include "src/libs/rpc/client.h"
#include "src/libs/rpc/framing.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::rpc {
namespace {

using asio::ip::tcp;

constexpr Millis kShortTimeout{200};
constexpr Millis kCloseLimit{10000};
constexpr size_t kLargeBody = 100000;
/// Calls with large bodies that exceed all buffers of the kernel for one
/// connection.
constexpr size_t kManyCalls = 1000;

/// While an object exists, this process cannot open file descriptors.
class DescriptorLimit {
 public:
  DescriptorLimit() {
    getrlimit(RLIMIT_NOFILE, &original_limit_);
    rlimit no_descriptors = original_limit_;
    no_descriptors.rlim_cur = 0;
    setrlimit(RLIMIT_NOFILE, &no_descriptors);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &original_limit_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit original_limit_{};
};

/// An echo server and a client on their own thread. Submissions wait for
/// AnswerSubmissions().
class ServerAndClient {
 public:
  explicit ServerAndClient(ServerOptions options = {})
      : server_(io_, options), client_(io_) {
    server_.Handle(Method::kSubmitJob,
                   [this](const std::string&, Responder respond) {
                     waiting_.push_back(std::move(respond));
                   });
    server_.Handle(Method::kHeartbeat, [](std::string body, Responder respond) {
      respond(std::move(body));
    });
    port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ServerAndClient() {
    io_.stop();
    thread_.join();
  }
  ServerAndClient(const ServerAndClient&) = delete;
  ServerAndClient& operator=(const ServerAndClient&) = delete;

  uint16_t port() const { return port_; }

  Result<std::string> Call(const std::string& body) {
    constexpr Millis kTimeout{2000};
    std::promise<Result<std::string>> promise;
    client_.Call("127.0.0.1:" + std::to_string(port_), Method::kHeartbeat, body,
                 kTimeout, [&promise](Result<std::string> reply) {
                   promise.set_value(std::move(reply));
                 });
    return promise.get_future().get();
  }

  void AnswerSubmissions() {
    asio::post(io_, [this] {
      for (const Responder& respond : std::exchange(waiting_, {})) {
        respond(std::string());
      }
    });
  }

 private:
  asio::io_context io_;
  /// Refer to `io_`.
  std::vector<Responder> waiting_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  Server server_;
  Client client_;
  uint16_t port_ = 0;
  std::thread thread_;
};

std::string CallBytes(Method method, std::string body = {}) {
  wire::Frame frame;
  frame.id = 1;
  frame.method = static_cast<int32_t>(method);
  frame.body = std::move(body);
  return FrameBytes(frame);
}

/// A connection to a server, by which a test sends any bytes.
class RawPeer {
 public:
  explicit RawPeer(uint16_t port) : socket_(io_) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
  }

  /// Returns whether the server still took the bytes.
  bool Send(const std::string& bytes) {
    std::error_code error;
    asio::write(socket_, asio::buffer(bytes), error);
    return !error;
  }
  /// Returns false if the server doesn't take all of the bytes for a while.
  bool SendUnlessBlocked(std::string_view bytes) {
    constexpr int kBlockedMs = 500;
    while (!bytes.empty()) {
      pollfd wait{
          .fd = socket_.native_handle(), .events = POLLOUT, .revents = 0};
      if (poll(&wait, 1, kBlockedMs) != 1) return false;
      const ssize_t sent = send(socket_.native_handle(), bytes.data(),
                                bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }
  /// Returns whether this many bytes of replies arrive.
  bool ReadAll(size_t bytes) {
    while (bytes > 0) {
      const size_t read = Read();
      if (read == 0) return false;
      bytes -= std::min(bytes, read);
    }
    return true;
  }
  /// Whether the server has not reset the connection.
  bool IsOpen() {
    pollfd state{.fd = socket_.native_handle(), .events = 0, .revents = 0};
    return poll(&state, 1, 0) == 0;
  }
  /// Returns whether the server answers a call within kAnswerLimit.
  bool IsAnswered(const std::string& call = CallBytes(Method::kPing)) {
    return Send(call) && ReadReply();
  }
  bool ReadReply() { return Read() > 0; }
  /// Returns whether the server closes the connection within kAnswerLimit.
  bool IsClosed() {
    while (HasInput()) {
      if (Read() == 0) return true;
    }
    return false;
  }

 private:
  static constexpr int kAnswerLimitMs = 10000;

  bool HasInput() {
    pollfd wait{.fd = socket_.native_handle(), .events = POLLIN, .revents = 0};
    return poll(&wait, 1, kAnswerLimitMs) == 1;
  }
  /// Returns how many bytes were read; 0 if there are none in time or the
  /// connection is closed.
  size_t Read() {
    if (!HasInput()) return 0;
    std::array<char, 4096> buffer{};
    std::error_code closed;
    return socket_.read_some(asio::buffer(buffer), closed);
  }

  asio::io_context io_;
  tcp::socket socket_;
};

/// What a fake peer answers.
enum class Answers {
  kNothing,   ///< A connection that has stopped delivering data.
  kPings,     ///< A process that is far behind with its calls, but not with
              ///< heartbeats.
  kUnknowns,  ///< The same, of a version that does not know pings.
};

/// A peer that accepts connections, and answers only what `Answers` says.
class FakePeer {
 public:
  FakePeer(asio::io_context& io, Answers answers)
      : answers_(answers),
        acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    AcceptNext();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket socket_in) : socket(std::move(socket_in)) {}
    tcp::socket socket;
    FrameReader reader;
  };

  void AcceptNext() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error) return;
      connections_.push_back(std::make_unique<Connection>(std::move(socket)));
      ReadNext(*connections_.back());
      AcceptNext();
    });
  }

  void ReadNext(Connection& connection) {
    AsyncReadFrames(
        connection.socket, connection.reader,
        [this, &connection](const wire::Frame& frame, size_t) {
          const bool ping = frame.method == static_cast<int32_t>(Method::kPing);
          const bool heartbeat =
              frame.method == static_cast<int32_t>(Method::kHeartbeat);
          if (!ping && !heartbeat) return;
          if (answers_ == Answers::kNothing) return;
          wire::Frame reply;
          reply.id = frame.id;
          reply.reply = true;
          if (ping && answers_ == Answers::kUnknowns) {
            reply.error = static_cast<int32_t>(Errc::kUnknownMethod);
          }
          asio::write(connection.socket, asio::buffer(FrameBytes(reply)));
        },
        [this, &connection](const Error& error) {
          if (!error.code) ReadNext(connection);
        });
  }

  const Answers answers_;
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

/// Makes calls that time out one after the other, and returns how many
/// connections the peer has seen.
size_t ConnectionsAfterTimeouts(Answers answers) {
  constexpr int kCalls = 6;
  constexpr Millis kTimeout{300};
  asio::io_context io;
  FakePeer peer(io, answers);
  Client client(io);
  for (int i = 0; i < kCalls; ++i) {
    bool done = false;
    client.Call(peer.address(), Method::kSubmitJob, "", kTimeout,
                [&done](const Result<std::string>& reply) {
                  BOOST_TEST(!reply.ok());
                  done = true;
                });
    while (!done) io.run_one();
  }
  return peer.connections();
}

/// Counts the turns of an event loop that always has other work.
class BusyLoop {
 public:
  explicit BusyLoop(asio::io_context& io) : io_(io) { Turn(); }
  int turns() const { return turns_; }

 private:
  void Turn() {
    ++turns_;
    asio::post(io_, [this] { Turn(); });
  }

  asio::io_context& io_;
  int turns_ = 0;
};

}  // namespace

/// Guards against an entry that other entries cannot reach until it is
/// restarted, although it runs and serves its callers. In a burst of callers it
/// has no file descriptor left for a moment, so accepting a connection fails.
/// If the server treats the error as the end of the listener, it never accepts
/// again.
BOOST_AUTO_TEST_CASE(ServerKeepsAcceptingAfterFailedAccept) {
  ServerAndClient server;
  asio::io_context callers;
  tcp::socket caller(callers);
  caller.open(tcp::v4());
  {
    const DescriptorLimit exhausted;
    caller.connect({asio::ip::address_v4::loopback(), server.port()});
    std::this_thread::sleep_for(Millis(200));
  }
  const Result<std::string> reply = server.Call("text");
  BOOST_REQUIRE(reply.ok());
  BOOST_TEST(reply.value() == "text");
}

/// Guards against callers that close the connection to a peer which answers
/// late: their calls are lost, and all of them reconnect again and again.
BOOST_AUTO_TEST_CASE(LateAnswersKeepTheConnection) {
  BOOST_TEST(ConnectionsAfterTimeouts(Answers::kPings) == 1U);
  BOOST_TEST(ConnectionsAfterTimeouts(Answers::kUnknowns) == 1U);
}

/// Guards against a connection that is closed because its last answer, to an
/// earlier call, came shortly before the call that is answered late.
BOOST_AUTO_TEST_CASE(LateAnswerAfterAPromptOneKeepsTheConnection) {
  constexpr Millis kTimeout{300};
  asio::io_context io;
  FakePeer peer(io, Answers::kPings);
  Client client(io);
  for (int i = 0; i < 5; ++i) {
    for (const Method method : {Method::kHeartbeat, Method::kSubmitJob}) {
      std::optional<bool> answered;
      client.Call(
          peer.address(), method, "", kTimeout,
          [&](const Result<std::string>& reply) { answered = reply.ok(); });
      while (!answered) io.run_one();
      BOOST_TEST(*answered == (method == Method::kHeartbeat));
    }
  }
  BOOST_TEST(peer.connections() == 1U);
}

/// Guards against a connection that is used on although it has stopped
/// delivering data without a reset.
BOOST_AUTO_TEST_CASE(SilentConnectionIsReplaced) {
  BOOST_TEST(ConnectionsAfterTimeouts(Answers::kNothing) > 2U);
}

/// Guards against a busy server that accepts one connection, and reads one
/// call of each, per turn of its event loop: it serves entries that reconnect
/// together only after they have given up.
BOOST_AUTO_TEST_CASE(EntriesThatReconnectTogetherAreServed) {
  constexpr int kEntries = 97;
  constexpr int kCallsPerEntry = 30;
  // The timeout of a call, 1 s, at 40 ms for a turn of a leader with a full
  // processor.
  constexpr int kMaxTurns = 25;
  asio::io_context io;
  Server server(io);
  int served = 0;
  server.Handle(Method::kSubmitJob, [&](std::string, const Responder& respond) {
    ++served;
    respond(std::string());
  });
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port.ok());
  wire::Frame frame;
  frame.method = static_cast<int32_t>(Method::kSubmitJob);
  std::string calls;
  for (int i = 0; i < kCallsPerEntry; ++i) {
    frame.id = i + 1;
    calls += FrameBytes(frame);
  }
  std::vector<tcp::socket> entries;
  for (int i = 0; i < kEntries; ++i) {
    entries.emplace_back(io).connect(
        {asio::ip::address_v4::loopback(), port.value()});
    asio::write(entries.back(), asio::buffer(calls));
  }
  const BusyLoop loop(io);
  while (served < kEntries * kCallsPerEntry && loop.turns() < 100 * kMaxTurns) {
    io.run_one();
  }
  BOOST_TEST(served == kEntries * kCallsPerEntry);
  BOOST_TEST(loop.turns() <= kMaxTurns);
}

/// Guards against a full server that other entries cannot reach, and against
/// one that closes a connection which is in use for a newcomer.
BOOST_AUTO_TEST_CASE(LongestIdleConnectionMakesRoom) {
  ServerAndClient server({.max_connections = 3});
  RawPeer first(server.port());
  BOOST_TEST(first.IsAnswered());
  RawPeer second(server.port());
  BOOST_TEST(second.IsAnswered());
  RawPeer third(server.port());
  BOOST_TEST(third.IsAnswered());
  BOOST_TEST(first.IsAnswered());
  RawPeer newcomer(server.port());
  BOOST_TEST(newcomer.IsAnswered());
  BOOST_TEST(second.IsClosed());
  BOOST_TEST(first.IsAnswered());
  BOOST_TEST(third.IsAnswered());
}

/// Guards against frames without an end that keep all newcomers out.
BOOST_AUTO_TEST_CASE(LongestUnfinishedFrameMakesRoom) {
  ServerAndClient server({.max_connections = 2});
  const std::string call = CallBytes(Method::kPing);
  RawPeer first(server.port());
  BOOST_TEST(first.IsAnswered(call + call.substr(0, 3)));
  RawPeer second(server.port());
  BOOST_TEST(second.IsAnswered(call + call.substr(0, 3)));
  RawPeer newcomer(server.port());
  BOOST_TEST(newcomer.IsAnswered());
  BOOST_TEST(first.IsClosed());
  BOOST_TEST(second.IsAnswered(call.substr(3)));
}

/// Guards against a late answer that is lost because its connection makes room
/// for a newcomer.
BOOST_AUTO_TEST_CASE(ConnectionWithACallInFlightIsKept) {
  ServerAndClient server({.max_connections = 2});
  RawPeer waiting(server.port());
  BOOST_TEST(waiting.Send(CallBytes(Method::kSubmitJob)));
  RawPeer idle(server.port());
  BOOST_TEST(idle.IsAnswered());
  RawPeer newcomer(server.port());
  BOOST_TEST(newcomer.IsAnswered());
  BOOST_TEST(idle.IsClosed());
  server.AnswerSubmissions();
  BOOST_TEST(waiting.ReadReply());
}

/// Guards against connections that stay open though they send no call, or no
/// more than a byte of it now and then.
BOOST_AUTO_TEST_CASE(ConnectionsThatSendNoFrameAreClosed) {
  constexpr Millis kBytePause{50};
  ServerAndClient server({.frame_timeout = kShortTimeout});
  RawPeer silent(server.port());
  BOOST_TEST(silent.IsClosed());
  RawPeer slow(server.port());
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  const TimePoint end = Clock::now() + kCloseLimit;
  size_t sent = 0;
  while (slow.Send(call.substr(sent++, 1)) && Clock::now() < end) {
    std::this_thread::sleep_for(kBytePause);
  }
  BOOST_TEST(slow.IsClosed());
  // After a call, too.
  RawPeer known(server.port());
  BOOST_TEST(known.IsAnswered(CallBytes(Method::kPing) + call.substr(0, 1)));
  BOOST_TEST(known.IsClosed());
}

/// Guards against the loss of a large call of a peer that has a thin link.
BOOST_AUTO_TEST_CASE(FrameThatMakesProgressHasMoreTime) {
  ServerAndClient server(
      {.frame_timeout = kShortTimeout, .min_bytes_per_s = 1});
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  RawPeer peer(server.port());
  BOOST_TEST(peer.Send(call.substr(0, kLargeBody / 2)));
  std::this_thread::sleep_for(5 * kShortTimeout);
  BOOST_TEST(peer.IsAnswered(call.substr(kLargeBody / 2)));
}

/// Guards against a deadline that closes connections of peers between their
/// calls, or while a call waits for its answer.
BOOST_AUTO_TEST_CASE(ConnectionsBetweenCallsAreKept) {
  ServerAndClient server({.frame_timeout = kShortTimeout});
  RawPeer idle(server.port());
  BOOST_TEST(idle.IsAnswered());
  RawPeer waiting(server.port());
  BOOST_TEST(waiting.Send(CallBytes(Method::kSubmitJob)));
  std::this_thread::sleep_for(5 * kShortTimeout);
  BOOST_TEST(idle.IsAnswered());
  server.AnswerSubmissions();
  BOOST_TEST(waiting.ReadReply());
}

/// Guards against memory that unfinished frames take together, and against
/// closing one whose bytes still arrive.
BOOST_AUTO_TEST_CASE(LongestWaitingFrameIsClosedForMemory) {
  // The buffer of a frame takes 8 KiB after its first part.
  constexpr size_t kFramesThatFit = 2;
  constexpr size_t kPart = 3000;
  ServerAndClient server({.frame_memory_bytes = kFramesThatFit * (8 << 10)});
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(5000, 'x'));
  const std::string begin = CallBytes(Method::kPing) + call.substr(0, kPart);
  RawPeer first(server.port());
  BOOST_TEST(first.IsAnswered(begin));
  RawPeer second(server.port());
  BOOST_TEST(second.IsAnswered(begin));
  RawPeer third(server.port());
  BOOST_TEST(third.IsAnswered(begin));
  BOOST_TEST(first.IsClosed());
  BOOST_TEST(second.IsAnswered(call.substr(kPart)));
  BOOST_TEST(third.IsAnswered(call.substr(kPart)));
}

/// Guards against a frame that a server accepts beyond its own limit.
BOOST_AUTO_TEST_CASE(FrameOverTheLimitOfTheServerIsRefused) {
  ServerAndClient server({.max_frame_bytes = kLargeBody});
  RawPeer peer(server.port());
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  BOOST_TEST(peer.Send(call.substr(0, 4)));
  BOOST_TEST(peer.IsClosed());
}

/// Guards against replies that pile up for a peer which doesn't read them.
BOOST_AUTO_TEST_CASE(CallsAreNotReadWhileRepliesWait) {
  ServerAndClient server;
  RawPeer peer(server.port());
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  size_t sent = 0;
  while (sent < kManyCalls && peer.SendUnlessBlocked(call)) ++sent;
  BOOST_TEST(sent < kManyCalls);
  // All calls that were sent are answered once the peer reads.
  BOOST_TEST(peer.ReadAll(sent * kLargeBody));
}

/// Guards against connections that stay open though their peer reads no reply.
BOOST_AUTO_TEST_CASE(ConnectionWhosePeerReadsNoReplyIsClosed) {
  ServerAndClient server({.frame_timeout = kShortTimeout});
  RawPeer peer(server.port());
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  size_t sent = 0;
  while (sent < kManyCalls && peer.SendUnlessBlocked(call)) ++sent;
  const TimePoint end = Clock::now() + kCloseLimit;
  while (peer.IsOpen() && Clock::now() < end) {
    std::this_thread::sleep_for(kShortTimeout);
  }
  BOOST_TEST(!peer.IsOpen());
}

/// Guards against calls that pile up while their handlers are slow, and against
/// a server that then reads from no peer.
BOOST_AUTO_TEST_CASE(CallsAreNotReadWhileTooManyAreInFlight) {
  constexpr size_t kCallsInFlight = 10;
  ServerAndClient server({.call_memory_bytes = kCallsInFlight * kLargeBody});
  RawPeer peer(server.port());
  const std::string call =
      CallBytes(Method::kSubmitJob, std::string(kLargeBody, 'x'));
  size_t sent = 0;
  while (sent < kManyCalls && peer.SendUnlessBlocked(call)) ++sent;
  BOOST_TEST(sent < kManyCalls);
  BOOST_TEST(server.Call("text").ok());
  server.AnswerSubmissions();
  BOOST_TEST(peer.ReadReply());
  BOOST_TEST(peer.SendUnlessBlocked(call));
}

/// Guards against connections that keep the memory of their largest frame.
BOOST_AUTO_TEST_CASE(BufferOfALargeFrameIsFreed) {
  constexpr size_t kSmallBuffer = 16 << 10;
  const std::string call =
      CallBytes(Method::kHeartbeat, std::string(kLargeBody, 'x'));
  FrameReader reader;
  size_t sent = 0;
  while (sent < call.size()) {
    const asio::mutable_buffer to = reader.Prepare();
    const size_t bytes = asio::buffer_copy(to, asio::buffer(call) + sent);
    reader.Commit(bytes);
    sent += bytes;
  }
  BOOST_TEST(reader.capacity() > kLargeBody);
  BOOST_TEST(reader.Next().value().has_value());
  reader.Prepare();
  BOOST_TEST(reader.capacity() < kSmallBuffer);
}

}  // namespace mimosarail::rpc
