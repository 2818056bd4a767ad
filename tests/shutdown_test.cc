#define BOOST_TEST_MODULE shutdown
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "src/libs/http/server.h"
#include "src/libs/rpc/asio.h"
#include "src/shutdown/shutdown_plan.h"

namespace mimosarail::shutdown {
namespace {

using asio::ip::tcp;

constexpr Millis kPollInterval{50};
constexpr Millis kArrivalGap{20};

struct Outcome {
  Millis ended{0};
  /// Requests that were taken and not answered when the process ended.
  size_t unanswered = 0;
};

/// A stopping process to which callers come at a steady rate, as when most
/// entries of a failure domain are stopped together and the balancer sends to
/// all of them.
Outcome Stop(const ShutdownOptions& options, Millis answer_takes) {
  std::vector<Millis> answered_at;
  ShutdownView view;
  for (;; view.elapsed += Millis(1)) {
    const auto now = view.elapsed;
    answered_at.erase(std::remove_if(answered_at.begin(), answered_at.end(),
                                     [now](Millis at) { return at <= now; }),
                      answered_at.end());
    if (!view.accepting_stopped && now.count() % kArrivalGap.count() == 0) {
      answered_at.push_back(now + answer_takes);
    }
    view.open_requests = static_cast<int64_t>(answered_at.size());
    view.connections = answered_at.size();
    if (now.count() % kPollInterval.count() != 0) continue;
    const ShutdownStep step = NextStep(options, view);
    if (step == ShutdownStep::kStopAccepting) view.accepting_stopped = true;
    if (step == ShutdownStep::kEnd) {
      return {.ended = now, .unanswered = answered_at.size()};
    }
  }
}

/// A server whose handler keeps the responders, and a thread that serves it.
class HeldServer {
 public:
  HeldServer()
      : server_(io_, {}, [this](http::Request, http::Responder respond) {
          std::lock_guard lock(mutex_);
          held_.push_back(std::move(respond));
        }) {
    port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~HeldServer() {
    io_.stop();
    thread_.join();
  }
  HeldServer(const HeldServer&) = delete;
  HeldServer& operator=(const HeldServer&) = delete;

  http::Server& server() { return server_; }

  tcp::socket Connect(std::error_code& error) {
    tcp::socket socket(callers_);
    socket.connect({asio::ip::address_v4::loopback(), port_}, error);
    return socket;
  }

  /// The server's thread stands still for this long, from about now on.
  void Stall(Millis span) {
    asio::post(io_, [span] { std::this_thread::sleep_for(span); });
  }

  /// Blocks until as many requests are in the handler's hands.
  void WaitForHeld(size_t count) {
    while (held() < count) std::this_thread::sleep_for(Millis(1));
  }

  /// Whether that many requests come into the handler's hands within seconds.
  bool ComesToHold(size_t count) {
    constexpr int kTries = 3000;
    for (int i = 0; i < kTries && held() < count; ++i) {
      std::this_thread::sleep_for(Millis(1));
    }
    return held() >= count;
  }

  size_t held() {
    std::lock_guard lock(mutex_);
    return held_.size();
  }

  /// Loses the requests, as when what holds them goes.
  void DropAll() {
    std::lock_guard lock(mutex_);
    held_.clear();
  }

  void AnswerAll() {
    std::vector<http::Responder> held;
    {
      std::lock_guard lock(mutex_);
      held.swap(held_);
    }
    for (auto& respond : held) respond({.body = "whole"});
  }

 private:
  asio::io_context io_;
  asio::io_context callers_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::mutex mutex_;
  std::vector<http::Responder> held_;
  http::Server server_;
  uint16_t port_ = 0;
  std::thread thread_;
};

void Send(tcp::socket& socket, const std::string& text) {
  asio::write(socket, asio::buffer(text));
}

/// All that comes until the other side ends the connection.
std::string ReadToEnd(tcp::socket& socket) {
  std::string out;
  std::error_code error;
  asio::read(socket, asio::dynamic_buffer(out), error);
  return out;
}

/// Whether a caller that comes now is turned away by the kernel. Tries for some
/// seconds, since the server closes its listener on a thread of its own.
bool ComesToRefuse(HeldServer& held) {
  constexpr int kTries = 3000;
  for (int i = 0; i < kTries; ++i) {
    std::error_code error;
    tcp::socket socket = held.Connect(error);
    if (error) return true;
    std::this_thread::sleep_for(Millis(1));
  }
  return false;
}

}  // namespace

/// Callers saw connections close without an answer at the end of a stop. Their
/// failure domain was stopped machine by machine, so that the balancer went on
/// sending to all of it. The process took requests until its time was up, never
/// had a moment without an open one, and ended with those of the last moments.
BOOST_AUTO_TEST_CASE(StoppingServerAnswersAllAcceptedRequests) {
  for (const Millis answer : {Millis(5), Millis(60), Millis(550)}) {
    BOOST_TEST_CONTEXT("answers take " << answer.count() << " ms") {
      const Outcome outcome = Stop({}, answer);
      BOOST_TEST(outcome.unanswered == 0U);
      // It is back the sooner: callers who are refused go elsewhere.
      BOOST_TEST(outcome.ended.count() <=
                 (ShutdownOptions().unready_period + answer + 3 * kPollInterval)
                     .count());
    }
  }
}

/// A process whose last calls hang ends all the same before it is killed.
BOOST_AUTO_TEST_CASE(ShutdownIsBoundedInTime) {
  const Outcome outcome = Stop({}, Millis(60000));
  BOOST_TEST(outcome.ended.count() == ShutdownOptions().limit.count());
}

/// A caller connects to an entry that is about to end, sends a whole request,
/// and sees the connection close without an answer: the listener took
/// connections until the process was gone, also when nobody was left to answer.
BOOST_AUTO_TEST_CASE(ServerRefusesConnectionsAfterIntakeEnds) {
  HeldServer held;
  held.server().BeginShutdown();
  held.server().StopAccepting();
  BOOST_TEST(ComesToRefuse(held));
  BOOST_TEST(held.server().open_requests() == 0);
}

/// What was taken is answered whole, what has begun to come is taken, and a
/// connection without a request is closed instead of waiting for one that
/// nobody would answer.
BOOST_AUTO_TEST_CASE(AcceptedRequestsAreAnsweredOnShutdown) {
  HeldServer held;
  std::error_code error;
  tcp::socket idle = held.Connect(error);
  BOOST_REQUIRE(!error);
  tcp::socket open = held.Connect(error);
  BOOST_REQUIRE(!error);
  Send(open, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  held.WaitForHeld(1);
  // Served once, so that the server knows this connection when it stops.
  tcp::socket partial = held.Connect(error);
  BOOST_REQUIRE(!error);
  Send(partial, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HT");
  held.WaitForHeld(2);
  held.server().StopAccepting();
  BOOST_REQUIRE(ComesToRefuse(held));
  BOOST_TEST(ReadToEnd(idle).empty());
  Send(partial, "TP/1.1\r\nHost: a\r\n\r\n");
  held.AnswerAll();
  held.WaitForHeld(1);
  held.server().BeginShutdown();
  held.AnswerAll();
  BOOST_TEST(ReadToEnd(open).find("whole") != std::string::npos);
  const std::string both = ReadToEnd(partial);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
  BOOST_TEST(held.server().open_requests() == 0);
}

/// A caller sends its next request before it has the answer to the first, and
/// sees the connection end after that one. The entry was stopped in between: it
/// ended the connection with the first answer, read the second request, which
/// had stood in the kernel's buffer, and threw it away.
BOOST_AUTO_TEST_CASE(BufferedRequestIsAnsweredOnShutdown) {
  HeldServer held;
  std::error_code error;
  tcp::socket caller = held.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  held.WaitForHeld(1);
  Send(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  // Time to reach the buffer: nothing that a caller can see tells when.
  std::this_thread::sleep_for(Millis(50));
  held.server().BeginShutdown();
  held.AnswerAll();
  BOOST_REQUIRE(held.ComesToHold(1));
  held.AnswerAll();
  const std::string both = ReadToEnd(caller);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
}

/// A caller sends a request on an open connection, and sees it close without an
/// answer. The entry was stopping and stood still for a moment. When it went
/// on, the request was there and the time for it was over: it read the request
/// and handed it on, and then closed the connection for want of one.
BOOST_AUTO_TEST_CASE(RequestArrivingAtTimeoutIsAnswered) {
  HeldServer held;
  std::error_code error;
  tcp::socket caller = held.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  held.WaitForHeld(1);
  held.AnswerAll();
  std::this_thread::sleep_for(Millis(50));
  held.server().StopAccepting();
  held.Stall(Millis(400));
  std::this_thread::sleep_for(Millis(50));
  Send(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_REQUIRE(held.ComesToHold(1));
  std::this_thread::sleep_for(Millis(50));
  held.server().BeginShutdown();
  held.AnswerAll();
  const std::string both = ReadToEnd(caller);
  BOOST_TEST(both.find("whole") != both.rfind("whole"));
}

/// A caller sees the connection close without an answer, and cannot know
/// whether its request ran. What was to answer it had gone: the callbacks that
/// waited for a lost office were dropped, and the connection with them.
BOOST_AUTO_TEST_CASE(ADroppedRequestIsAnswered) {
  HeldServer held;
  std::error_code error;
  tcp::socket caller = held.Connect(error);
  BOOST_REQUIRE(!error);
  Send(caller, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  held.WaitForHeld(1);
  held.DropAll();
  BOOST_TEST(ReadToEnd(caller).find("HTTP/1.1 504") == 0U);
}

}  // namespace mimosarail::shutdown
