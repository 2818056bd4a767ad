#define BOOST_TEST_MODULE rpc_server
#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "src/libs/rpc/asio.h"
#include "src/libs/rpc/client.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::rpc {
namespace {

using asio::ip::tcp;

/// Lets this process open no further descriptor for as long as it lives.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit none = before_;
    none.rlim_cur = 0;
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

/// An echo server and a client, on a thread of their own.
class Pair {
 public:
  Pair() : server_(io_), client_(io_) {
    server_.Handle(Method::kHeartbeat, [](std::string body, Responder respond) {
      respond(std::move(body));
    });
    port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Pair() {
    io_.stop();
    thread_.join();
  }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

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

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  Server server_;
  Client client_;
  uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace

/// The other entries can't reach one that runs and serves its callers, until it
/// is started anew. For a moment it had no descriptor left, as in a burst of
/// callers, so that accepting a connection failed; its server took that for the
/// end of the listener and never accepted again.
BOOST_AUTO_TEST_CASE(ServerKeepsAcceptingAfterFailedAccept) {
  Pair pair;
  asio::io_context callers;
  tcp::socket caller(callers);
  caller.open(tcp::v4());
  {
    const NoDescriptors exhausted;
    caller.connect({asio::ip::address_v4::loopback(), pair.port()});
    std::this_thread::sleep_for(Millis(200));
  }
  const Result<std::string> reply = pair.Call("text");
  BOOST_REQUIRE(reply.ok());
  BOOST_TEST(reply.value() == "text");
}

}  // namespace mimosarail::rpc
