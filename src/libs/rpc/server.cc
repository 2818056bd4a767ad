#include "src/libs/rpc/server.h"

#include <asio.hpp>
#include <utility>

#include "src/libs/logging/log.h"
#include "src/libs/rpc/framing.h"
#include "src/libs/rpc/server_state.h"
#include "src/libs/rpc/session.h"

namespace mimosarail::rpc {

using asio::ip::tcp;

namespace {

/// Pause after a failed accept, for example when no file descriptors are left.
constexpr Millis kAcceptPause{50};

}  // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
  Private(asio::io_context& io_in, ServerOptions options)
      : io(io_in),
        acceptor(io_in),
        accept_retry_timer(io_in),
        state(std::make_shared<ServerState>(options)) {}

  void AcceptNext() {
    if (!acceptor.is_open()) return;  // the server has been destroyed
    acceptor.async_accept(
        asio::make_strand(io),
        [self = shared_from_this()](std::error_code error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) return;
          if (error) return self->RetryAcceptLater(error);
          self->StartSession(std::move(socket));
          AcceptWaiting(
              self->acceptor, [&self] { return asio::make_strand(self->io); },
              [&self](tcp::socket waiting) {
                self->StartSession(std::move(waiting));
              });
          self->AcceptNext();
        });
  }

  void StartSession(tcp::socket socket) {
    if (!state->Admit()) return;
    SetSocketOptions(socket, state->options.send_buffer_bytes);
    std::make_shared<Session>(std::move(socket), state)->Start();
  }

  /// Accepts again after a pause. The cause of a failure may be transient, such
  /// as a lack of file descriptors. If the server no longer accepted, the other
  /// instances could not reach this one until it is restarted.
  void RetryAcceptLater(std::error_code cause) {
    logging::Event(logging::Level::kWarning, "accept failed",
                   {{"cause", cause.message()}});
    accept_retry_timer.expires_after(kAcceptPause);
    accept_retry_timer.async_wait(
        [self = shared_from_this()](std::error_code stopped) {
          if (!stopped) self->AcceptNext();
        });
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::shared_ptr<ServerState> state;
};

Server::Server(asio::io_context& io, ServerOptions options)
    : d_(std::make_shared<Private>(io, options)) {}

Server::~Server() {
  std::error_code ignored;  // no consequence on destruction
  d_->acceptor.close(ignored);
}

void Server::Handle(Method method, Handler handler) {
  d_->state->handlers[static_cast<int32_t>(method)] = std::move(handler);
}

Result<uint16_t> Server::Listen(const std::string& address) {
  const auto parsed = ParseEndpoint(address);
  if (!parsed) return {Errc::kInvalid, "bad address " + address};
  const tcp::endpoint endpoint(parsed->address, parsed->port);
  std::error_code error;
  d_->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    d_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) d_->acceptor.bind(endpoint, error);
  if (!error) {
    d_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) d_->acceptor.non_blocking(true, error);
  if (error) return Error{error, address + ": " + error.message()};
  d_->AcceptNext();
  return d_->acceptor.local_endpoint().port();
}

int32_t Server::max_list_elements() const {
  return d_->state->options.max_list_elements;
}

int64_t Server::bytes() const { return d_->state->bytes.load(); }

}  // namespace mimosarail::rpc
