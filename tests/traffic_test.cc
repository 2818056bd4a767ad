#define BOOST_TEST_MODULE traffic
#include "src/libs/metrics/traffic.h"

#include <algorithm>
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "platform/store_client.h"
#include "src/libs/http/client.h"
#include "src/libs/http/server.h"
#include "src/libs/rpc/client.h"
#include "src/libs/rpc/server.h"

namespace mimosarail::metrics {
namespace {

constexpr Millis kTimeout{2000};
const std::string kBody(10000, 'x');

Traffic::Totals TotalsOf(const Traffic& traffic, const std::string& kind,
                         Direction direction) {
  Traffic::Totals out;
  for (const Traffic::Row& row : traffic.Rows()) {
    if (row.kind == kind && row.direction == direction) out = row.totals;
  }
  return out;
}

/// Runs an io_context on its own thread until destroyed.
class RunningThread {
 public:
  explicit RunningThread(asio::io_context& io)
      : io_(io), work_(io.get_executor()), thread_([&io] { io.run(); }) {}
  ~RunningThread() {
    io_.stop();
    thread_.join();
  }
  RunningThread(const RunningThread&) = delete;
  RunningThread& operator=(const RunningThread&) = delete;

 private:
  asio::io_context& io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(CountsMessagesAndBytesOfEachDirection) {
  Traffic traffic;
  traffic.Count("hold", Direction::kOut, 100);
  traffic.Count("hold", Direction::kOut, 50);
  traffic.Count("hold", Direction::kIn, 700, 0);
  traffic.Count("hold", Direction::kIn, 300, 1);
  BOOST_TEST(TotalsOf(traffic, "hold", Direction::kOut).messages == 2);
  BOOST_TEST(TotalsOf(traffic, "hold", Direction::kOut).bytes == 150);
  BOOST_TEST(TotalsOf(traffic, "hold", Direction::kIn).messages == 1);
  BOOST_TEST(TotalsOf(traffic, "hold", Direction::kIn).bytes == 1000);
}

/// Guards against unbounded memory when a peer sends arbitrary kinds of
/// message.
BOOST_AUTO_TEST_CASE(KindsAreBounded) {
  Traffic traffic;
  constexpr size_t kKinds = 10 * Traffic::kMaxKinds;
  for (size_t i = 0; i < kKinds; ++i) {
    traffic.Count("kind " + std::to_string(i), Direction::kIn, 1);
  }
  const auto rows = traffic.Rows();
  BOOST_TEST(rows.size() == Traffic::kMaxKinds + 1);
  BOOST_TEST(TrafficBytes(rows, Direction::kIn) ==
             static_cast<int64_t>(kKinds));
  const std::string other(Traffic::kOtherKind);
  BOOST_TEST(TotalsOf(traffic, other, Direction::kIn).messages ==
             static_cast<int64_t>(kKinds - Traffic::kMaxKinds));
}

BOOST_AUTO_TEST_CASE(RecentTrafficIsTakenOnce) {
  Traffic traffic;
  traffic.Count("small", Direction::kIn, 10);
  traffic.Count("large", Direction::kOut, 900);
  BOOST_TEST(DescribeTraffic(traffic.TakeRecent(), 8) ==
             "large out 1/900, small in 1/10");
  BOOST_TEST(traffic.TakeRecent().empty());
  traffic.Count("small", Direction::kIn, 5);
  BOOST_TEST(DescribeTraffic(traffic.TakeRecent(), 8) == "small in 1/5");
  BOOST_TEST(TotalsOf(traffic, "small", Direction::kIn).bytes == 15);
}

BOOST_AUTO_TEST_CASE(DescriptionContainsOnlyTheLargestKinds) {
  Traffic traffic;
  traffic.Count("a", Direction::kIn, 1);
  traffic.Count("b", Direction::kIn, 2);
  BOOST_TEST(DescribeTraffic(traffic.TakeRecent(), 1) == "b in 1/2");
}

BOOST_AUTO_TEST_CASE(RegistryExportsTrafficByMessageAndDirection) {
  Traffic traffic;
  Registry registry;
  traffic.Count("/hold", Direction::kOut, 120);
  ExportTraffic(traffic, registry);
  const std::string text = registry.Text();
  BOOST_TEST(text.find("mimosarail_traffic_bytes{direction=\"out\","
                       "message=\"/hold\"} 120\n") != std::string::npos);
  BOOST_TEST(text.find("mimosarail_traffic_messages{direction=\"out\","
                       "message=\"/hold\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(StoreCallsAreCountedByTopic) {
  BOOST_TEST(platform::StoreTrafficKind(
                 {.target = "/log-newest?part=0&topic=keyed.jobs&from=1"}) ==
             "/log-newest keyed.jobs");
  BOOST_TEST(platform::StoreTrafficKind(
                 {.target = "/log-append?part=0&topic=keyed.jobs"}) ==
             "/log-append keyed.jobs");
  BOOST_TEST(platform::StoreTrafficKind({.target = "/machines?pageToken=x"}) ==
             "/machines");
}

/// Client and server count the same bytes of a call, each under its own kind.
BOOST_AUTO_TEST_CASE(HttpCallsAreCountedAtBothEnds) {
  asio::io_context io;
  Traffic client_traffic;
  Traffic server_traffic;
  http::Server server(io,
                      {.traffic = &server_traffic, .traffic_kind = "callers"},
                      [](const http::Request&, const http::Responder& respond) {
                        respond({.body = kBody});
                      });
  const auto port = server.Listen("127.0.0.1:0").value();
  http::Client client(io, {.traffic = &client_traffic});
  const RunningThread running(io);
  std::promise<bool> answered;
  client.Call("127.0.0.1:" + std::to_string(port),
              {.method = "POST", .target = "/hold?wait=1", .body = "abc"},
              kTimeout, [&](const Result<http::Response>& response) {
                answered.set_value(response.ok());
              });
  BOOST_TEST(answered.get_future().get());
  const auto out = TotalsOf(client_traffic, "/hold", Direction::kOut);
  const auto in = TotalsOf(client_traffic, "/hold", Direction::kIn);
  BOOST_TEST(out.messages == 1);
  BOOST_TEST(in.messages == 1);
  BOOST_TEST(in.bytes > static_cast<int64_t>(kBody.size()));
  BOOST_TEST(TotalsOf(server_traffic, "callers", Direction::kIn).bytes ==
             out.bytes);
  BOOST_TEST(TotalsOf(server_traffic, "callers", Direction::kOut).bytes ==
             in.bytes);
}

/// The bytes of a truncated response are counted, since they have loaded the
/// link, although no message is.
BOOST_AUTO_TEST_CASE(BytesOfTruncatedResponseAreCounted) {
  asio::io_context io;
  Traffic traffic;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const std::string truncated =
      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc";
  std::thread peer([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::array<char, 1> first{};
    asio::read(socket, asio::buffer(first));
    asio::write(socket, asio::buffer(truncated));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::error_code ended;
    std::string rest;
    asio::read(socket, asio::dynamic_buffer(rest), ended);
  });
  http::Client client(io, {.traffic = &traffic});
  std::promise<bool> answered;
  {
    const RunningThread running(io);
    client.Call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                {.target = "/log-newest"}, kTimeout,
                [&](const Result<http::Response>& response) {
                  answered.set_value(response.ok());
                });
    BOOST_TEST(!answered.get_future().get());
    peer.join();
  }
  const auto in = TotalsOf(traffic, "/log-newest", Direction::kIn);
  BOOST_TEST(in.messages == 0);
  BOOST_TEST(in.bytes == static_cast<int64_t>(truncated.size()));
}

BOOST_AUTO_TEST_CASE(RpcCallsAreCountedAtBothEnds) {
  asio::io_context io;
  Traffic client_traffic;
  Traffic server_traffic;
  rpc::Server server(io, {.traffic = &server_traffic});
  server.Handle(rpc::Method::kHeartbeat,
                [](const std::string&, const rpc::Responder& respond) {
                  respond(kBody);
                });
  const auto port = server.Listen("127.0.0.1:0").value();
  rpc::Client client(io, &client_traffic);
  const RunningThread running(io);
  std::promise<bool> answered;
  client.Call("127.0.0.1:" + std::to_string(port), rpc::Method::kHeartbeat,
              "abc", kTimeout, [&](const Result<std::string>& reply) {
                answered.set_value(reply.ok());
              });
  BOOST_TEST(answered.get_future().get());
  const auto out = TotalsOf(client_traffic, "ask hello", Direction::kOut);
  const auto in = TotalsOf(client_traffic, "ask hello", Direction::kIn);
  BOOST_TEST(out.messages == 1);
  BOOST_TEST(in.messages == 1);
  BOOST_TEST(in.bytes > static_cast<int64_t>(kBody.size()));
  BOOST_TEST(TotalsOf(server_traffic, "serve hello", Direction::kIn).bytes ==
             out.bytes);
  BOOST_TEST(TotalsOf(server_traffic, "serve hello", Direction::kOut).bytes ==
             in.bytes);
}

}  // namespace mimosarail::metrics
