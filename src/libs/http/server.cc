#include "src/libs/http/server.h"

#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <deque>
#include <unordered_set>

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
/// After the end of the intake, time for a request that was sent just before: a
/// connection closed at once would break under a caller who is writing to it.
/// Ten times the longest way to a caller in one region (a few ms), rounded up.
constexpr Millis kLastRequestGrace{100};

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 410:
      return "Gone";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
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

class Session;

}  // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
  Private(asio::io_context& io_in, ServerOptions options_in, Handler handler_in)
      : io(io_in),
        options(std::move(options_in)),
        handler(std::move(handler_in)),
        acceptor(io_in),
        pause(io_in) {}

  void AcceptNext();
  void StartSession(tcp::socket socket);
  void StopAccepting();

  asio::io_context& io;
  ServerOptions options;
  Handler handler;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::atomic<bool> closing{false};
  std::atomic<int64_t> open_requests{0};
  std::atomic<size_t> connections{0};
  /// Thread of `io` only.
  bool accepting_stopped = false;
  std::unordered_set<Session*> sessions;
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
    server_->sessions.insert(this);
  }
  ~Session() {
    server_->sessions.erase(this);
    --server_->connections;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    std::error_code ignored;  // an option that is refused only costs time
    socket_.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kSilenceTimeoutMs, sizeof kSilenceTimeoutMs);
    ReadNext();
  }

  /// A connection that waits for a request waits only a moment longer.
  void OnIntakeEnded() {
    if (reading_ && !parser_.inside_message()) Arm(kLastRequestGrace);
  }

 private:
  void ReadNext() {
    reading_ = true;
    Arm(parser_.inside_message()     ? server_->options.request_timeout
        : server_->accepting_stopped ? kLastRequestGrace
                                     : server_->options.idle_timeout);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          self->reading_ = false;
          self->Disarm();
          if (error) return self->Close();
          self->OnBytes({self->buffer_.data(), bytes});
        });
  }

  void Arm(Millis limit) {
    timer_.expires_after(limit);
    timer_.async_wait(
        [weak = weak_from_this(), armed = ++armed_](std::error_code error) {
          auto self = weak.lock();
          if (!error && self && self->armed_ == armed) self->OnTimeout();
        });
  }

  /// Cancelling alone can't stop a time-out that is due already, as after the
  /// process stood still. It would close the connection under a request that
  /// was just read, and its caller would have no answer.
  void Disarm() {
    ++armed_;
    timer_.cancel();
  }

  void OnTimeout() {
    // A request that came in the last moment is read, not thrown away: the
    // pending read is about to deliver it.
    if (reading_ && BytesWait()) return;
    Close();
  }

  void OnBytes(std::string_view bytes) {
    int64_t complete = 0;
    const bool good = parser_.Feed(bytes, [&](ParsedMessage message) {
      ++complete;
      ++server_->open_requests;
      requests_.push_back(std::move(message));
    });
    CountTraffic(metrics::Direction::kIn, bytes.size(), complete);
    if (!good) {
      keep_alive_ = false;
      return Write({.status = 400, .body = "not a request\n"}, false);
    }
    if (requests_.empty()) return ReadNext();
    HandleNext();
  }

  /// The answer of one request. A handler that loses it, as when what the
  /// request waited for has gone, would leave its caller with a connection that
  /// closes without a word; the caller is told that the outcome is not known.
  class Answer {
   public:
    explicit Answer(std::shared_ptr<Session> session)
        : session_(std::move(session)) {}
    ~Answer() {
      if (!session_) return;
      logging::Event(logging::Level::kError, "request dropped by its handler");
      Give({.status = 504});
    }
    Answer(const Answer&) = delete;
    Answer& operator=(const Answer&) = delete;

    void Give(Response response) {
      auto session = std::exchange(session_, nullptr);
      if (!session) return;
      auto& io = session->server_->io;
      asio::post(
          io, [session = std::move(session), response = std::move(response)] {
            session->Write(response, true);
          });
    }

   private:
    std::shared_ptr<Session> session_;
  };

  void HandleNext() {
    ParsedMessage message = std::move(requests_.front());
    requests_.pop_front();
    keep_alive_ = message.keep_alive;
    server_->handler(
        std::move(message.request),
        [answer = std::make_shared<Answer>(shared_from_this())](
            Response response) { answer->Give(std::move(response)); });
  }

  void Write(const Response& response, bool counted) {
    // A stopping server answers what a caller has sent ahead before it ends the
    // connection; nothing that was read may go without an answer.
    const bool more =
        !requests_.empty() || parser_.inside_message() || BytesWait();
    keep_alive_ = keep_alive_ && (!server_->closing || more);
    out_ = Serialize(response, keep_alive_);
    CountTraffic(metrics::Direction::kOut, out_.size(), 1);
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

  void CountTraffic(metrics::Direction direction, size_t bytes,
                    int64_t messages) {
    const ServerOptions& options = server_->options;
    if (options.traffic == nullptr) return;
    options.traffic->Count(options.traffic_kind, direction, bytes, messages);
  }

  /// Whether the caller has sent what nobody has read yet.
  bool BytesWait() const {
    std::error_code error;
    return socket_.available(error) > 0 && !error;
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
          self->Disarm();
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
  /// Tells the time-out that counts from earlier ones.
  uint64_t armed_ = 0;
  std::shared_ptr<Server::Private> server_;
  Parser parser_;
  std::deque<ParsedMessage> requests_;
  bool keep_alive_ = true;
  bool reading_ = false;
  std::string out_;
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace

void Server::Private::StartSession(tcp::socket socket) {
  if (connections >= options.max_connections) return;
  std::make_shared<Session>(std::move(socket), shared_from_this())->Start();
}

void Server::Private::StopAccepting() {
  closing = true;
  accepting_stopped = true;
  // Callers whose connection the kernel has accepted already are served; those
  // who come after the listener is closed are told at once, and go elsewhere.
  std::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor.accept(error);
    if (!error) StartSession(std::move(socket));
  }
  std::error_code ignored;  // it is gone either way
  acceptor.close(ignored);
  for (Session* session : sessions) session->OnIntakeEnded();
}

void Server::Private::AcceptNext() {
  if (accepting_stopped) return;
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
        self->StartSession(std::move(socket));
        self->AcceptNext();
      });
}

Server::Server(asio::io_context& io, ServerOptions options, Handler handler)
    : d_(std::make_shared<Private>(io, std::move(options),
                                   std::move(handler))) {}

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

void Server::StopAccepting(std::function<void()> done) {
  asio::post(d_->io, [d = d_, done = std::move(done)]() mutable {
    d->StopAccepting();
    // Behind a connection whose accept was queued already: it counts by then.
    asio::post(d->io, std::move(done));
  });
}

int64_t Server::open_requests() const { return d_->open_requests.load(); }

size_t Server::connections() const { return d_->connections.load(); }

}  // namespace mimosarail::http
