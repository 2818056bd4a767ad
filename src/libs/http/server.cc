#include "src/libs/http/server.h"

#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <deque>

#include "src/libs/http/parser.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/asio.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

constexpr size_t kReadBytes = 16 << 10;
/// Unacknowledged data breaks a connection after this, in ms.
constexpr int kSilenceTimeoutMs = 5000;
/// Pause after a failed accept (descriptors used up), in ms.
constexpr Millis kAcceptPause{50};

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string Serialize(const Response& response, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                    std::string(ReasonPhrase(response.status)) + "\r\n";
  for (const auto& [name, value] : response.headers) {
    out += name + ": " + value + "\r\n";
  }
  out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

}  // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
  Private(asio::io_context& io_in, ServerOptions options_in, Handler handler_in)
      : io(io_in),
        options(options_in),
        handler(std::move(handler_in)),
        acceptor(io_in),
        pause(io_in) {}

  void AcceptNext();

  asio::io_context& io;
  ServerOptions options;
  Handler handler;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::atomic<bool> closing{false};
  std::atomic<int64_t> open_requests{0};
  std::atomic<size_t> connections{0};
};

namespace {

/// One accepted connection; requests on it are answered one by one.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Server::Private> server)
      : socket_(std::move(socket)),
        timer_(server->io),
        server_(std::move(server)),
        parser_({.kind = MessageKind::kRequest,
                 .max_body = server_->options.max_body}) {
    ++server_->connections;
  }
  ~Session() { --server_->connections; }

  void Start() {
    std::error_code ignored;  // an option that is refused only costs time
    socket_.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kSilenceTimeoutMs, sizeof kSilenceTimeoutMs);
    ReadNext();
  }

 private:
  void ReadNext() {
    Arm(parser_.inside_message() ? server_->options.request_timeout
                                 : server_->options.idle_timeout);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          self->timer_.cancel();
          if (error) return self->Close();
          self->OnBytes({self->buffer_.data(), bytes});
        });
  }

  void Arm(Millis limit) {
    timer_.expires_after(limit);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->Close();
    });
  }

  void OnBytes(std::string_view bytes) {
    const bool good = parser_.Feed(bytes, [this](ParsedMessage message) {
      ++server_->open_requests;
      requests_.push_back(std::move(message));
    });
    if (!good) {
      keep_alive_ = false;
      return Write({.status = 400, .body = "not a request\n"}, false);
    }
    if (requests_.empty()) return ReadNext();
    HandleNext();
  }

  void HandleNext() {
    ParsedMessage message = std::move(requests_.front());
    requests_.pop_front();
    keep_alive_ = message.keep_alive;
    server_->handler(std::move(message.request), [self = shared_from_this()](
                                                     Response response) {
      asio::post(self->server_->io, [self, response = std::move(response)] {
        self->Write(response, true);
      });
    });
  }

  void Write(const Response& response, bool counted) {
    keep_alive_ = keep_alive_ && !server_->closing;
    out_ = Serialize(response, keep_alive_);
    asio::async_write(
        socket_, asio::buffer(out_),
        [self = shared_from_this(), counted](std::error_code error, size_t) {
          if (counted) --self->server_->open_requests;
          if (error) return self->Close();
          if (!self->keep_alive_) return self->Finish();
          if (!self->requests_.empty()) return self->HandleNext();
          self->ReadNext();
        });
  }

  /// Ends the sending side first: closing with unread bytes would reset the
  /// connection and could destroy the answer on its way.
  void Finish() {
    std::error_code ignored;  // the peer may have closed already
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    Drain();
  }

  void Drain() {
    constexpr Millis kDrainTime{1000};
    Arm(kDrainTime);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t) {
          self->timer_.cancel();
          if (error) return self->Close();
          self->Drain();
        });
  }

  void Close() {
    server_->open_requests -= static_cast<int64_t>(requests_.size());
    requests_.clear();
    std::error_code ignored;  // closing is all that is left to do
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Server::Private> server_;
  Parser parser_;
  std::deque<ParsedMessage> requests_;
  bool keep_alive_ = true;
  std::string out_;
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace

void Server::Private::AcceptNext() {
  acceptor.async_accept(
      [self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          logging::Event(logging::Level::kWarning, "accept failed",
                         {{"cause", error.message()}});
          self->pause.expires_after(kAcceptPause);
          return self->pause.async_wait([self](std::error_code stopped) {
            if (!stopped) self->AcceptNext();
          });
        }
        if (self->connections < self->options.max_connections) {
          std::make_shared<Session>(std::move(socket), self)->Start();
        }
        self->AcceptNext();
      });
}

Server::Server(asio::io_context& io, ServerOptions options, Handler handler)
    : d_(std::make_shared<Private>(io, options, std::move(handler))) {}

Server::~Server() {
  std::error_code ignored;  // nothing is left to tell
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
  if (!error) d_->acceptor.bind(endpoint, error);
  if (!error) {
    d_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) return Error{error, address + ": " + error.message()};
  d_->AcceptNext();
  return d_->acceptor.local_endpoint().port();
}

void Server::BeginShutdown() { d_->closing = true; }

void Server::EndIntake() {}

int64_t Server::open_requests() const { return d_->open_requests.load(); }

size_t Server::connections() const { return d_->connections.load(); }

}  // namespace mimosarail::http
