#include "src/libs/http/server.h"

#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <deque>
#include <limits>
#include <unordered_set>

#include "src/libs/http/parser.h"
#include "src/libs/http/request_memory.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/asio.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 16 << 10;
/// Memory of a request that waits for its answer, besides its body.
constexpr size_t kWaitingRequestBytes = 1 << 10;
/// A connection is aborted when sent data remains unacknowledged for this long
/// (TCP_USER_TIMEOUT).
constexpr int kUnackedDataTimeoutMs = 5000;
/// Pause after a failed accept, for example when no file descriptors are left.
constexpr Millis kAcceptPause{50};
/// How long idle connections stay open after the server has stopped accepting.
/// Requests that were sent just before can still arrive in this time. If the
/// connection were closed at once, it would break while a caller writes to it.
/// The value is ten times the longest network latency to a caller in the same
/// region (a few ms), rounded up.
constexpr Millis kLastRequestWait{100};

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
        accept_retry_timer(io_in),
        request_memory(options.request_memory_bytes > 0
                           ? options.request_memory_bytes
                           : std::numeric_limits<size_t>::max(),
                       options.request_memory_metrics) {}

  void AcceptNext();
  void StartSession(tcp::socket socket);
  void StopAccepting();

  asio::io_context& io;
  ServerOptions options;
  Handler handler;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::atomic<bool> shutting_down{false};
  std::atomic<int64_t> open_requests{0};
  std::atomic<size_t> connections{0};
  /// Accessed on the thread of `io` only, as is `sessions`.
  bool accepting_stopped = false;
  RequestMemory request_memory;
  std::unordered_set<Session*> sessions;
};

namespace {

/// An accepted connection; its requests are handled one after the other.
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
    std::error_code ignored;  // without the option, responses only take longer
    socket_.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnackedDataTimeoutMs, sizeof kUnackedDataTimeoutMs);
    ReadNext();
  }

  /// If the connection is waiting for its next request, shortens the wait to
  /// kLastRequestWait.
  void OnAcceptingStopped() {
    if (reading_ && !parser_.inside_message()) ArmTimer(kLastRequestWait);
  }

 private:
  void ReadNext() {
    reading_ = true;
    ArmTimer(parser_.inside_message()     ? server_->options.request_timeout
             : server_->accepting_stopped ? kLastRequestWait
                                          : server_->options.idle_timeout);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          self->reading_ = false;
          self->DisarmTimer();
          if (error) return self->Close();
          self->OnBytes({self->buffer_.data(), bytes});
        });
  }

  void ArmTimer(Millis limit) {
    timer_.expires_after(limit);
    timer_.async_wait(
        [weak = weak_from_this(),
         generation = ++timer_generation_](std::error_code error) {
          auto self = weak.lock();
          if (!error && self && self->timer_generation_ == generation) {
            self->OnTimeout();
          }
        });
  }

  /// Cancels the timer and makes a time-out that is already due ineffective.
  /// cancel() alone does not stop a time-out whose handler is queued, as after
  /// a pause of the process. That handler would close the connection of a
  /// request that has just been read, and the caller would get no answer.
  void DisarmTimer() {
    ++timer_generation_;
    timer_.cancel();
  }

  void OnTimeout() {
    // The pending read is about to deliver bytes that arrived just before the
    // time-out: closing the connection would drop their request.
    if (reading_ && HasUnreadBytes()) return;
    Close();
  }

  void OnBytes(std::string_view bytes) {
    int64_t complete = 0;
    const bool valid = parser_.Feed(bytes, [&](ParsedMessage message) {
      ++complete;
      ++server_->open_requests;
      requests_.push_back(std::move(message));
    });
    CountTraffic(metrics::Direction::kIn, bytes.size(), complete);
    if (!valid) {
      keep_alive_ = false;
      parser_.Abandon();
      return Write({.status = 400, .body = "not a request\n"}, false);
    }
    if (!ChargeMemory()) return RefuseForMemory();
    if (requests_.empty()) return ReadNext();
    HandleNext();
  }

  /// Returns whether the requests of this connection fit into the memory.
  bool ChargeMemory() {
    size_t bytes = parser_.body_capacity();
    for (const ParsedMessage& message : requests_) {
      bytes += kWaitingRequestBytes + message.request.body.capacity();
    }
    return requests_.empty() ? memory_.Receive(bytes) : memory_.Complete(bytes);
  }

  /// Called before the first of `requests_` is handled, so none is accepted.
  void RefuseForMemory() {
    keep_alive_ = false;
    parser_.Abandon();
    server_->open_requests -= static_cast<int64_t>(requests_.size());
    requests_.clear();
    Write({.status = 503, .headers = {{"Retry-After", "1"}}}, false);
  }

  /// The pending response to one request. The handler may drop it without
  /// sending, for example when the object that the request waited for is
  /// destroyed. The destructor then sends status 504, which reports that the
  /// outcome is unknown; otherwise the connection would be closed without a
  /// response.
  class PendingResponse {
   public:
    explicit PendingResponse(std::shared_ptr<Session> session)
        : session_(std::move(session)) {}
    ~PendingResponse() {
      if (!session_) return;
      logging::Event(logging::Level::kError, "request dropped by its handler");
      Send({.status = 504});
    }
    PendingResponse(const PendingResponse&) = delete;
    PendingResponse& operator=(const PendingResponse&) = delete;

    void Send(Response response) {
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
        [pending = std::make_shared<PendingResponse>(shared_from_this())](
            Response response) { pending->Send(std::move(response)); });
  }

  void Write(const Response& response, bool counted_as_open) {
    // During shutdown, the connection is closed with this response, unless the
    // caller has already sent further requests. Those are answered first: no
    // request that was read may remain without an answer.
    const bool has_further_requests =
        !requests_.empty() || parser_.inside_message() || HasUnreadBytes();
    keep_alive_ =
        keep_alive_ && (!server_->shutting_down || has_further_requests);
    out_ = Serialize(response, keep_alive_);
    CountTraffic(metrics::Direction::kOut, out_.size(), 1);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), counted_as_open](
                          std::error_code error, size_t) {
                        if (counted_as_open) --self->server_->open_requests;
                        if (error) return self->Close();
                        if (!self->keep_alive_) {
                          return self->CloseAfterResponse();
                        }
                        if (!self->requests_.empty()) return self->HandleNext();
                        if (!self->ChargeMemory()) {
                          return self->RefuseForMemory();
                        }
                        self->ReadNext();
                      });
  }

  void CountTraffic(metrics::Direction direction, size_t bytes,
                    int64_t messages) {
    const ServerOptions& options = server_->options;
    if (options.traffic == nullptr) return;
    options.traffic->Count(options.traffic_kind, direction, bytes, messages);
  }

  /// Whether the socket has received bytes that have not been read.
  bool HasUnreadBytes() const {
    std::error_code error;
    return socket_.available(error) > 0 && !error;
  }

  /// Closes the connection after its last response. Shuts down only the sending
  /// side at first: closing a socket with unread bytes would reset the
  /// connection and could discard the response in transit.
  void CloseAfterResponse() {
    std::error_code ignored;  // the peer may have closed the connection
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    memory_.Release();
    parser_.Abandon();
    DiscardInput();
  }

  /// Discards received bytes until the peer closes the connection or sends
  /// nothing for kDiscardTimeout.
  void DiscardInput() {
    constexpr Millis kDiscardTimeout{1000};
    ArmTimer(kDiscardTimeout);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t) {
          self->DisarmTimer();
          if (error) return self->Close();
          self->DiscardInput();
        });
  }

  void Close() {
    memory_.Release();
    parser_.Abandon();
    server_->open_requests -= static_cast<int64_t>(requests_.size());
    requests_.clear();
    std::error_code ignored;  // an error on closing has no consequence
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  /// Incremented each time the timer is armed or disarmed, so that earlier
  /// time-outs are recognized as outdated.
  uint64_t timer_generation_ = 0;
  std::shared_ptr<Server::Private> server_;
  Parser parser_;
  /// Requests that have been read and not yet passed to the handler.
  std::deque<ParsedMessage> requests_;
  RequestMemory::Charge memory_{server_->request_memory, [this] { Close(); }};
  bool keep_alive_ = true;
  /// A read of the socket is pending.
  bool reading_ = false;
  std::string out_;
  std::array<char, kReadBufferBytes> buffer_{};
};

}  // namespace

void Server::Private::StartSession(tcp::socket socket) {
  if (connections >= options.max_connections) return;
  std::make_shared<Session>(std::move(socket), shared_from_this())->Start();
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
