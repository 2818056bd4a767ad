#define BOOST_TEST_MODULE entry_connections
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "src/leadership/rpc_entry_client.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::leadership {
namespace {

using asio::ip::tcp;

constexpr Millis kTimeout{500};
constexpr int kSendBufferBytes = 16 << 10;

/// An entry that answers heartbeats and announcements, and stops reading from a
/// connection when another call arrives there, like an entry whose link is
/// full.
class EntryThatStopsReading {
 public:
  explicit EntryThatStopsReading(asio::io_context& io)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
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
    rpc::FrameReader reader;
    bool reading = true;
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
    rpc::AsyncReadFrames(
        connection.socket, connection.reader,
        [&connection](const wire::Frame& frame, size_t) {
          const auto method = static_cast<rpc::Method>(frame.method);
          if (method != rpc::Method::kHeartbeat &&
              method != rpc::Method::kAnnounce) {
            connection.reading = false;
            return;
          }
          wire::Frame reply;
          reply.id = frame.id;
          reply.reply = true;
          reply.body = method == rpc::Method::kHeartbeat
                           ? rpc::Encode(wire::HeartbeatReply())
                           : rpc::Encode(wire::AnnounceReply());
          asio::write(connection.socket, asio::buffer(rpc::FrameBytes(reply)));
        },
        [this, &connection](const Error& error) {
          if (!error.code && connection.reading) ReadNext(connection);
        });
  }

  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

struct Fixture {
  asio::io_context io;
  rpc::AsioExecutor executor{io};
  rpc::Client bulk{io, nullptr, kSendBufferBytes};
  rpc::Client urgent{io};
  RpcEntryClient entries{bulk, urgent, executor};
  EntryThatStopsReading leader{io};

  /// Submits a job that is much larger than all buffers of a connection.
  void Submit() {
    wire::SubmitJobCall call;
    call.job.payload = std::string(30 << 20, 'x');
    entries.SubmitJob(leader.address(), call, Millis(10000),
                      [](const Result<wire::SubmitJobReply>&) {});
  }

  /// Sends a heartbeat and returns whether it is answered in time.
  bool HeartbeatIsAnswered(const wire::HeartbeatCall& call) {
    std::optional<bool> answered;
    entries.Heartbeat(leader.address(), call, kTimeout,
                      [&](const Result<wire::HeartbeatReply>& reply) {
                        answered = reply.ok();
                      });
    while (!answered) io.run_one();
    return *answered;
  }
};

}  // namespace

/// Guards against heartbeats that wait behind submissions in one connection, so
/// that all followers suspect a leader whose link is full.
BOOST_FIXTURE_TEST_CASE(HeartbeatsDoNotWaitBehindSubmissions, Fixture) {
  Submit();
  io.run_for(Millis(100));
  BOOST_TEST(HeartbeatIsAnswered({}));
  BOOST_TEST(leader.connections() == 2);
}

/// Guards against periodic heartbeats that wait behind a configuration.
BOOST_FIXTURE_TEST_CASE(ConfigurationsDoNotUseTheHeartbeatConnection, Fixture) {
  Submit();
  io.run_for(Millis(100));
  wire::HeartbeatCall with_config;
  with_config.config = "document";
  BOOST_TEST(!HeartbeatIsAnswered(with_config));
  BOOST_TEST(HeartbeatIsAnswered({}));
}

/// Guards against announcements that wait behind submissions: calls of callers
/// wait at their entries until a new leader has announced that it is ready.
BOOST_FIXTURE_TEST_CASE(AnnouncementsDoNotWaitBehindSubmissions, Fixture) {
  Submit();
  io.run_for(Millis(100));
  std::optional<bool> answered;
  entries.Announce(
      leader.address(), {}, kTimeout,
      [&](const Result<wire::AnnounceReply>& reply) { answered = reply.ok(); });
  while (!answered) io.run_one();
  BOOST_TEST(*answered);
}

}  // namespace mimosarail::leadership
