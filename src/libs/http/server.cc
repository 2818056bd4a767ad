#include "src/libs/http/server.h"

#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <deque>
#include <limits>
#include <unordered_set>

#include "src/libs/http/idle_list.h"
#include "src/libs/http/parser.h"
#include "src/libs/http/read_deadline.h"
#include "src/libs/http/refusal_log.h"
#include "src/libs/http/request_memory.h"
#include "src/libs/http/response_text.h"
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
/// After its last response, a connection is closed once this many bytes have
/// been discarded or this time has passed. A peer that sends its whole body
/// before it reads the response still gets it if the body is not longer.
constexpr size_t kMaxDiscardedBytes = 1 << 20;
constexpr Millis kMaxDiscardTime{1000};
/// How many idle connections are looked at to find one without unread bytes.
constexpr size_t kMaxIdleTries = 8;

/// A response that ends a connection before the handler sees the request.
struct Refusal {
  int status;
  const char* why;
};

constexpr Refusal kTimeoutRefusal{.status = 408, .why = "too slow"};

Refusal ToRefusal(ParseError error) {
  switch (error) {
    case ParseError::kHeadTooLarge:
      return {.status = 431, .why = "head too large"};
    case ParseError::kBodyTooLarge:
      return {.status = 413, .why = "body too large"};
    case ParseError::kMalformed:
    case ParseError::kNone:
      break;
  }
  return {.status = 400, .why = "malformed"};
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
                       options.metrics),
        refusals(options.metrics, options.traffic_kind) {}

  void AcceptNext();
  void StartSession(tcp::socket socket);
  /// Closes the connection that has been idle for longest. Returns whether
  /// there is one.
  bool CloseIdlest();
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
  IdleList<Session> idle;
  RefusalLog refusals;
};

namespace {

/// An accepted connection; its requests are handled one after the other.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Server::Private> server)
      : socket_(std::move(socket)),
        timer_(server->io),
        server_(std::move(server)),
        parser_({.kind = MessageKind::kRequest}),
        idle_(server_->idle, *this) {
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

  /// Whether the connection has sent nothing that is still to be read.
  bool IsSilent() const { return !HasUnreadBytes(); }

  void Close() {
    idle_.Leave();
    memory_.Release();
    parser_.Abandon();
    server_->open_requests -= static_cast<int64_t>(requests_.size());
    requests_.clear();
    std::error_code ignored;  // an error on closing has no consequence
    socket_.close(ignored);
  }

  /// If the connection is waiting for its next request, shortens the wait to
  /// kLastRequestWait.
  void OnAcceptingStopped() {
    if (reading_ && !parser_.inside_message()) ArmTimer(kLastRequestWait);
  }

 private:
  void ReadNext() {
    reading_ = true;
    if (!parser_.inside_message()) {
      UpdateLimits();
      idle_.Join();
    }
    ArmTimer(TimeLeftToRead());
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          self->reading_ = false;
          self->DisarmTimer();
          const bool timed_out = std::exchange(self->timed_out_, false);
          if (error && timed_out) return self->Refuse(kTimeoutRefusal);
          // Closed for a newcomer, while this handler was queued.
          if (error || !self->socket_.is_open()) return self->Close();
          self->OnBytes({self->buffer_.data(), bytes});
        });
  }

  void UpdateLimits() {
    const ServerOptions& options = server_->options;
    limits_ =
        options.current_limits ? options.current_limits() : options.limits;
    parser_.SetLimits(limits_.max_head_bytes, limits_.max_body_bytes);
  }

  Millis TimeLeftToRead() {
    ServerLimits limits = limits_;
    if (server_->accepting_stopped) limits.idle_timeout = kLastRequestWait;
    const TimePoint now = Clock::now();
    const TimePoint end = deadline_.Next(parser_.stage(), limits, now);
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(end - now));
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
    if (!reading_ || !parser_.inside_message()) return Close();
    // The handler of the read answers, unless it has bytes after all.
    timed_out_ = true;
    std::error_code ignored;  // the connection is broken; the read fails
    socket_.cancel(ignored);
  }

  void OnBytes(std::string_view bytes) {
    if (!parser_.inside_message()) UpdateLimits();
    int64_t complete = 0;
    const bool valid = parser_.Feed(bytes, [&](ParsedMessage message) {
      ++complete;
      ++server_->open_requests;
      requests_.push_back(std::move(message));
    });
    CountTraffic(metrics::Direction::kIn, bytes.size(), complete);
    if (!valid) return Refuse(ToRefusal(parser_.error()));
    if (complete > 0 || parser_.inside_message()) idle_.Leave();
    if (!ChargeMemory()) return RefuseForMemory();
    if (requests_.empty()) return ReadNext();
    HandleNext();
  }

  void Refuse(Refusal refusal) {
    idle_.Leave();
    server_->refusals.Add(refusal.why, refusal.status, Clock::now());
    keep_alive_ = false;
    parser_.Abandon();
    Write({.status = refusal.status, .body = std::string(refusal.why) + "\n"},
          false);
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
    out_ = ResponseText(response, keep_alive_);
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
                        self->deadline_.Restart();
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
    ArmTimer(kMaxDiscardTime);
    DiscardInput();
  }

  /// Discards received bytes until the peer closes the connection or a limit is
  /// reached.
  void DiscardInput() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          self->discarded_bytes_ += bytes;
          if (error || self->discarded_bytes_ > kMaxDiscardedBytes) {
            self->DisarmTimer();
            return self->Close();
          }
          self->DiscardInput();
        });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  /// Incremented each time the timer is armed or disarmed, so that earlier
  /// time-outs are recognized as outdated.
  uint64_t timer_generation_ = 0;
  std::shared_ptr<Server::Private> server_;
  Parser parser_;
  /// Limits of the request that is being received, or of the next one.
  ServerLimits limits_;
  ReadDeadline deadline_;
  IdleList<Session>::Entry idle_;
  /// Requests that have been read and not yet passed to the handler.
  std::deque<ParsedMessage> requests_;
  RequestMemory::Charge memory_{server_->request_memory, [this] { Close(); }};
  bool keep_alive_ = true;
  /// A read of the socket is pending.
  bool reading_ = false;
  /// The pending read was cancelled because the request took too long.
  bool timed_out_ = false;
  /// Received after the last response.
  size_t discarded_bytes_ = 0;
  std::string out_;
  std::array<char, kReadBufferBytes> buffer_{};
};

}  // namespace

void Server::Private::StartSession(tcp::socket socket) {
  if (connections >= options.max_connections && !CloseIdlest()) {
    return refusals.Add("too many connections", 0, Clock::now());
  }
  std::make_shared<Session>(std::move(socket), shared_from_this())->Start();
}

bool Server::Private::CloseIdlest() {
  // Passes over connections whose next request has arrived.
  size_t tries = 0;
  for (Session* session : idle) {
    if (++tries > kMaxIdleTries) return false;
    if (!session->IsSilent()) continue;
    refusals.Add("idle at the connection limit", 0, Clock::now());
    session->Close();
    return true;
  }
  return false;
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
