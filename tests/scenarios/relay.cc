#include "tests/scenarios/relay.h"

#include <array>
#include <asio.hpp>
#include <set>

namespace mimosarail::scenarios {

using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Forwards data between two sockets; closes both when either one ends.
struct Connection : std::enable_shared_from_this<Connection> {
  Connection(tcp::socket client_in, asio::io_context& io)
      : client(std::move(client_in)), server(io) {}

  void Close() {
    std::error_code ignored;
    client.close(ignored);
    server.close(ignored);
  }

  void Forward(tcp::socket& from, tcp::socket& to,
               std::array<char, 8192>& buffer) {
    from.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                  std::error_code error, size_t size) {
          if (error) return self->Close();
          asio::async_write(
              to, asio::buffer(buffer, size),
              [self, &from, &to, &buffer](std::error_code e, size_t) {
                if (e) return self->Close();
                self->Forward(from, to, buffer);
              });
        });
  }

  tcp::socket client;
  tcp::socket server;
  std::array<char, 8192> up{};
  std::array<char, 8192> down{};
};

}  // namespace

struct Relay::Private : std::enable_shared_from_this<Private> {
  Private(asio::io_context& io_in, int from, int to)
      : io(io_in),
        target(asio::ip::address_v4::loopback(), static_cast<uint16_t>(to)),
        acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(),
                                   static_cast<uint16_t>(from))),
        datagrams(io, udp::endpoint(asio::ip::address_v4::loopback(),
                                    static_cast<uint16_t>(from))) {}

  void AcceptNext() {
    acceptor.async_accept(
        [self = shared_from_this()](std::error_code error, tcp::socket socket) {
          if (error) return;
          if (!self->blocked) self->Connect(std::move(socket));
          self->AcceptNext();
        });
  }

  void Connect(tcp::socket socket) {
    auto connection = std::make_shared<Connection>(std::move(socket), io);
    connections.push_back(connection);
    std::erase_if(connections, [](const auto& weak) { return weak.expired(); });
    connection->server.async_connect(
        target, [connection](std::error_code error) {
          if (error) return connection->Close();
          std::error_code ignored;
          connection->client.set_option(tcp::no_delay(true), ignored);
          connection->server.set_option(tcp::no_delay(true), ignored);
          connection->Forward(connection->client, connection->server,
                              connection->up);
          connection->Forward(connection->server, connection->client,
                              connection->down);
        });
  }

  void ReceiveNext() {
    datagrams.async_receive_from(
        asio::buffer(datagram), from,
        [self = shared_from_this()](std::error_code error, size_t size) {
          if (error == asio::error::operation_aborted) return;
          std::error_code ignored;
          if (!error && !self->blocked) {
            self->datagrams.send_to(
                asio::buffer(self->datagram, size),
                udp::endpoint(self->target.address(), self->target.port()), 0,
                ignored);
          }
          self->ReceiveNext();
        });
  }

  asio::io_context& io;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  udp::socket datagrams;
  udp::endpoint from;
  std::array<char, 65536> datagram{};
  bool blocked = false;
  std::vector<std::weak_ptr<Connection>> connections;
};

Relay::Relay(asio::io_context& io, int from, int to)
    : d_(std::make_shared<Private>(io, from, to)) {
  d_->AcceptNext();
  d_->ReceiveNext();
}

Relay::~Relay() {
  asio::post(d_->io, [d = d_] {
    std::error_code ignored;
    d->acceptor.close(ignored);
    d->datagrams.close(ignored);
  });
}

void Relay::SetInboundBlocked(bool blocked) {
  asio::post(d_->io, [d = d_, blocked] {
    d->blocked = blocked;
    if (!blocked) return;
    for (const auto& weak : d->connections) {
      if (const auto connection = weak.lock()) connection->Close();
    }
  });
}

}  // namespace mimosarail::scenarios
