#define BOOST_TEST_MODULE shutdown
#include <algorithm>
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "src/libs/http/server.h"
#include "src/shutdown/shutdown_plan.h"

namespace mimosarail::shutdown {
namespace {

using asio::ip::tcp;

/// Interval at which the process asks for its next action.
constexpr Millis kPollInterval{50};
constexpr Millis kArrivalInterval{20};

struct ShutdownOutcome {
  /// Time from the request of the shutdown to the exit of the process.
  Millis duration{0};
  /// Requests that were accepted and not answered when the process exited.
  size_t unanswered = 0;
};

/// Simulates a process that shuts down while callers arrive at a steady rate,
/// as when most entries of a failure domain are stopped together and the load
/// balancer still sends requests to all of them.
ShutdownOutcome SimulateShutdown(const ShutdownOptions& options,
                                 Millis answer_time) {
  std::vector<Millis> answered_at;
  ShutdownProgress progress;
  for (;; progress.elapsed += Millis(1)) {
    const auto now = progress.elapsed;
    answered_at.erase(std::remove_if(answered_at.begin(), answered_at.end(),
                                     [now](Millis at) { return at <= now; }),
                      answered_at.end());
    if (!progress.accepting_stopped &&
        now.count() % kArrivalInterval.count() == 0) {
      answered_at.push_back(now + answer_time);
    }
    progress.open_requests = static_cast<int64_t>(answered_at.size());
    progress.connections = answered_at.size();
    if (now.count() % kPollInterval.count() != 0) continue;
    const ShutdownAction action = NextAction(options, progress);
    if (action == ShutdownAction::kStopAccepting) {
      progress.accepting_stopped = true;
    }
    if (action == ShutdownAction::kEnd) {
      return {.duration = now, .unanswered = answered_at.size()};
    }
  }
}

/// Server with a thread of its own. Its handler keeps the requests until the
/// test answers them.
class DeferredServer {
 public:
  DeferredServer()
      : server_(io_, {}, [this](http::Request, http::Responder respond) {
          std::lock_guard lock(mutex_);
          pending_.push_back(std::move(respond));
        }) {
    port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~DeferredServer() {
    io_.stop();
    thread_.join();
  }
  DeferredServer(const DeferredServer&) = delete;
  DeferredServer& operator=(const DeferredServer&) = delete;

  http::Server& server() { return server_; }

  tcp::socket Connect(std::error_code& error) {
    tcp::socket socket(callers_);
    socket.connect({asio::ip::address_v4::loopback(), port_}, error);
    return socket;
  }

  /// Blocks the server's thread for `span`.
  void Stall(Millis span) {
    asio::post(io_, [span] { std::this_thread::sleep_for(span); });
  }

  /// Blocks until the handler has `count` pending requests.
  void WaitForPending(size_t count) {
    while (pending() < count) std::this_thread::sleep_for(Millis(1));
  }

  /// Returns whether the handler gets `count` pending requests within some
  /// seconds.
  bool ReachesPending(size_t count) {
    constexpr int kTries = 3000;
    for (int i = 0; i < kTries && pending() < count; ++i) {
      std::this_thread::sleep_for(Millis(1));
    }
    return pending() >= count;
  }

  size_t pending() {
    std::lock_guard lock(mutex_);
    return pending_.size();
  }

  /// Destroys the responders without an answer.
  void DropAll() {
    std::lock_guard lock(mutex_);
    pending_.clear();
  }

  void AnswerAll() {
    std::vector<http::Responder> deferred;
    {
      std::lock_guard lock(mutex_);
      deferred.swap(pending_);
    }
    for (auto& respond : deferred) respond({.body = "whole"});
  }

 private:
  asio::io_context io_;
  asio::io_context callers_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::mutex mutex_;
  std::vector<http::Responder> pending_;
  http::Server server_;
  uint16_t port_ = 0;
  std::thread thread_;
};

void Send(tcp::socket& socket, const std::string& text) {
  asio::write(socket, asio::buffer(text));
}

/// Returns all data received until the peer closes the connection.
std::string ReadToEnd(tcp::socket& socket) {
  std::string out;
  std::error_code error;
  asio::read(socket, asio::dynamic_buffer(out), error);
  return out;
}

/// Returns whether the kernel refuses new connections to the server. Retries
/// for some seconds, since the server closes its listener on a thread of its
/// own.
bool EventuallyRefuses(DeferredServer& deferred) {
  constexpr int kTries = 3000;
  for (int i = 0; i < kTries; ++i) {
    std::error_code error;
    tcp::socket socket = deferred.Connect(error);
    if (error) return true;
    std::this_thread::sleep_for(Millis(1));
  }
  return false;
}

}  // namespace

/// Guards against connections that close without an answer at the end of a
/// shutdown. While the entries of a failure domain are stopped one by one, the
/// load balancer still sends requests to all of them. A process that accepts
/// requests until its time limit always has open ones, and exits with the last
/// requests unanswered.
BOOST_AUTO_TEST_CASE(StoppingServerAnswersAllAcceptedRequests) {
  for (const Millis answer_time : {Millis(5), Millis(60), Millis(550)}) {
    BOOST_TEST_CONTEXT("answers take " << answer_time.count() << " ms") {
      const ShutdownOutcome outcome = SimulateShutdown({}, answer_time);
      BOOST_TEST(outcome.unanswered == 0U);
      // The process must exit soon after its last answer, so that it is
      // restarted sooner. Until then, refused callers go to other entries.
      BOOST_TEST(outcome.duration.count() <= (ShutdownOptions().unready_period +
                                              answer_time + 3 * kPollInterval)
                                                 .count());
    }
  }
}

/// Guards against a shutdown that waits for requests which are never answered:
/// the process must exit by itself before it is killed.
BOOST_AUTO_TEST_CASE(ShutdownIsBoundedInTime) {
  const ShutdownOutcome outcome = SimulateShutdown({}, Millis(60000));
  BOOST_TEST(outcome.duration.count() ==
             ShutdownOptions().max_duration.count());
}

/// Guards against a listener that accepts connections until the process exits.
/// A caller that connects after the server has stopped accepting requests would
/// send a complete request and see the connection close without an answer.
BOOST_AUTO_TEST_CASE(ServerRefusesConnectionsAfterStopAccepting) {
  DeferredServer deferred;
  deferred.server().BeginShutdown();
  deferred.server().StopAccepting();
  BOOST_TEST(EventuallyRefuses(deferred));
  BOOST_TEST(deferred.server().open_requests() == 0);
}

/// Guards against unanswered requests during a shutdown. Accepted requests are
/// answered completely, and a partially received one is still accepted. A
/// connection without a request is closed, since a later request on it would
/// not be answered.
BOOST_AUTO_TEST_CASE(AcceptedRequestsAreAnsweredOnShutdown) {
  DeferredServer deferred;
  std::error_code error;
  tcp::socket idle = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  tcp::socket open = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  Send(open, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  deferred.WaitForPending(1);
  // One request is already served here, so the server knows this connection
  // when it stops accepting.
  tcp::socket partial = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  Send(partial, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HT");
  deferred.WaitForPending(2);
  deferred.server().StopAccepting();
  BOOST_REQUIRE(EventuallyRefuses(deferred));
  BOOST_TEST(ReadToEnd(idle).empty());
  Send(partial, "TP/1.1\r\nHost: a\r\n\r\n");
  deferred.AnswerAll();
  deferred.WaitForPending(1);
  deferred.server().BeginShutdown();
  deferred.AnswerAll();
  BOOST_TEST(ReadToEnd(open).find("whole") != std::string::npos);
  const std::string both = ReadToEnd(partial);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
  BOOST_TEST(deferred.server().open_requests() == 0);
}

/// Guards against a pipelined request that is lost in a shutdown. A caller
/// sends its second request before it has the answer to the first, and the
/// entry is stopped in between. If the entry closes the connection with the
/// first answer, it discards the second request, which is still in the kernel's
/// buffer.
BOOST_AUTO_TEST_CASE(BufferedRequestIsAnsweredOnShutdown) {
  DeferredServer deferred;
  std::error_code error;
  tcp::socket caller = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  deferred.WaitForPending(1);
  Send(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  // Leaves time for the request to reach the buffer. A caller cannot observe
  // when it does.
  std::this_thread::sleep_for(Millis(50));
  deferred.server().BeginShutdown();
  deferred.AnswerAll();
  BOOST_REQUIRE(deferred.ReachesPending(1));
  deferred.AnswerAll();
  const std::string both = ReadToEnd(caller);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
}

/// Guards against a request that is lost when it arrives together with the
/// timeout of its connection. The entry is shutting down and its thread is
/// paused briefly. When the thread resumes, the request has arrived and the
/// timeout is due. The entry reads the request and passes it to the handler. It
/// must not close the connection after that.
BOOST_AUTO_TEST_CASE(RequestArrivingAtTimeoutIsAnswered) {
  DeferredServer deferred;
  std::error_code error;
  tcp::socket caller = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  deferred.WaitForPending(1);
  deferred.AnswerAll();
  std::this_thread::sleep_for(Millis(50));
  deferred.server().StopAccepting();
  deferred.Stall(Millis(400));
  std::this_thread::sleep_for(Millis(50));
  Send(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_REQUIRE(deferred.ReachesPending(1));
  std::this_thread::sleep_for(Millis(50));
  deferred.server().BeginShutdown();
  deferred.AnswerAll();
  const std::string both = ReadToEnd(caller);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
}

/// Guards against a connection that closes without an answer when its responder
/// is destroyed, as happens to the callbacks of pending calls when leadership
/// is lost. The caller must get an answer, since it cannot know whether its
/// request took effect.
BOOST_AUTO_TEST_CASE(DroppedRequestIsAnswered) {
  DeferredServer deferred;
  std::error_code error;
  tcp::socket caller = deferred.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  deferred.WaitForPending(1);
  deferred.DropAll();
  BOOST_TEST(ReadToEnd(caller).find("HTTP/1.1 504") == 0U);
}

}  // namespace mimosarail::shutdown
