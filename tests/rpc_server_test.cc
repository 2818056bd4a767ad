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

/// An echo server and a client on their own thread.
class ServerAndClient {
 public:
  ServerAndClient() : server_(io_), client_(io_) {
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

}  // namespace mimosarail::rpc
