#include "src/libs/http/server.h"

#include <algorithm>
#include <asio.hpp>
#include <utility>

#include "src/libs/http/server_state.h"
#include "src/libs/http/session.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

/// Pause after a failed accept, for example when no file descriptors are left.
constexpr Millis kAcceptPause{50};
/// How many connections of a list are looked at to find one to close.
constexpr size_t kMaxTries = 8;
/// An unfinished request that is older than the longest idle time by more than
/// this is closed before idle connections are.
constexpr Millis kUnfinishedLead{1000};
/// Closed connections whose request is still handled may be this part of
/// ServerOptions::max_connections, and one, on top of it.
constexpr size_t kClosedDivisor = 8;

bool IsSilent(const Session& session) { return session.IsSilent(); }
bool SendsOn(const Session& session) { return session.SendsOn(); }

/// Closes the first connection that fits. Returns whether there is one.
bool CloseFirst(const ConnectionList<Session>& connections,
                bool (*fits)(const Session&)) {
  size_t tries = 0;
  for (const auto& [session, since] : connections) {
    if (++tries > kMaxTries) return false;
    if (!fits(*session)) continue;
    session->Close();
    return true;
  }
  return false;
}

}  // namespace

void Server::Private::StartSession(tcp::socket socket) {
  if (connections >= options.max_connections && !MakeRoom()) {
    turned_away = std::min(turned_away + 1, options.max_connections);
    return refusals.Add("too many connections", 0, Clock::now());
  }
  std::make_shared<Session>(std::move(socket), shared_from_this())->Start();
}

bool Server::Private::MakeRoom() {
  if (CloseAnswered()) return true;
  // Newcomers are idle until their requests arrive. While unfinished requests
  // keep the other connections, they would only close each other.
  const bool unfinished_first =
      !receiving.empty() &&
      (idle.empty() ||
       receiving.front().since + kUnfinishedLead < idle.front().since);
  const bool has_room = unfinished_first ? CloseUnfinished() || CloseIdle()
                                         : CloseIdle() || CloseUnfinished();
  return has_room || CloseSendingOn();
}

bool Server::Private::CloseAnswered() {
  if (closing.empty()) return false;
  closing.front().connection->Close();
  refusals.Add("answered at the connection limit", 0, Clock::now());
  return true;
}

bool Server::Private::CloseIdle() {
  if (!CloseFirst(idle, IsSilent)) return false;
  refusals.Add("idle at the connection limit", 0, Clock::now());
  return true;
}

bool Server::Private::CloseUnfinished() {
  if (!CloseFirst(receiving, IsSilent)) return false;
  refusals.Add("unfinished at the connection limit", 0, Clock::now());
  return true;
}

bool Server::Private::CloseSendingOn() {
  // A shutdown answers all requests that were read. A closed connection counts
  // until its request is handled, so that those do not become too many.
  if (shutting_down || connections >= MaxWithClosed()) return false;
  if (!CloseFirst(handling, SendsOn)) return false;
  refusals.Add("sending on at the connection limit", 0, Clock::now());
  return true;
}

size_t Server::Private::MaxWithClosed() const {
  return options.max_connections + 1 + options.max_connections / kClosedDivisor;
}

bool Server::Private::TakeCloseForRoom() {
  if (connections < options.max_connections) turned_away = 0;
  if (turned_away == 0 || shutting_down) return false;
  --turned_away;
  refusals.Add("sending on at the connection limit", 0, Clock::now());
  return true;
}

void Server::Private::StopAccepting() {
  shutting_down = true;
  accepting_stopped = true;
  // Serves the connections that the kernel has already accepted. Later ones are
  // refused at once, so that callers can connect to another entry.
  std::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor.accept(error);
    if (!error) StartSession(std::move(socket));
  }
  std::error_code ignored;  // the listener is closed in any case
  acceptor.close(ignored);
  for (Session* session : sessions) session->OnAcceptingStopped();
}

void Server::Private::AcceptNext() {
  if (accepting_stopped) return;
  acceptor.async_accept(
      [self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          logging::Event(logging::Level::kWarning, "accept failed",
                         {{"cause", error.message()}});
          self->accept_retry_timer.expires_after(kAcceptPause);
          return self->accept_retry_timer.async_wait(
              [self](std::error_code stopped) {
                if (!stopped) self->AcceptNext();
              });
        }
        self->StartSession(std::move(socket));
        rpc::AcceptWaiting(
            self->acceptor, [&self] { return self->io.get_executor(); },
            [&self](tcp::socket waiting) {
              self->StartSession(std::move(waiting));
            });
        self->AcceptNext();
      });
}

Server::Server(asio::io_context& io, ServerOptions options, Handler handler)
    : d_(std::make_shared<Private>(io, std::move(options),
                                   std::move(handler))) {}

Server::~Server() {
  std::error_code ignored;  // no consequence on destruction
  d_->acceptor.close(ignored);
}

Result<uint16_t> Server::Listen(const std::string& address) {
  const auto parsed = rpc::ParseEndpoint(address);
  if (!parsed) return {Errc::kInvalid, "bad address " + address};
  const tcp::endpoint endpoint(parsed->address, parsed->port);
  std::error_code error;
  d_->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    d_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error && d_->options.receive_buffer_bytes > 0) {
    // Accepted connections inherit it. Set on them, it would come after bytes
    // that a client sends at once.
    std::error_code ignored;  // the system's buffers are larger, and work
    d_->acceptor.set_option(asio::socket_base::receive_buffer_size(
                                d_->options.receive_buffer_bytes),
                            ignored);
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

void Server::BeginShutdown() { d_->shutting_down = true; }

void Server::StopAccepting(std::function<void()> done) {
  asio::post(d_->io, [d = d_, done = std::move(done)]() mutable {
    d->StopAccepting();
    // Posted, so that `done` runs after a queued accept handler has counted its
    // connection.
    asio::post(d->io, std::move(done));
  });
}

int64_t Server::open_requests() const { return d_->open_requests.load(); }

size_t Server::connections() const { return d_->connections.load(); }

}  // namespace mimosarail::http
