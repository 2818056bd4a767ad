#include "src/libs/http/session.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "src/libs/http/response_text.h"
#include "src/libs/logging/log.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

/// Memory of a request that waits for its answer, besides its text.
constexpr size_t kWaitingRequestBytes = 1 << 10;
/// A connection is aborted when sent data remains unacknowledged for this long
/// (TCP_USER_TIMEOUT).
constexpr int kUnackedDataTimeoutMs = 5000;
/// How long idle connections stay open after the server has stopped accepting.
/// Requests that were sent just before can still arrive in this time. If the
/// connection were closed at once, it would break while a caller writes to it.
constexpr Millis kLastRequestWait{100};
/// After its last response, a connection is closed once this many bytes have
/// been discarded or this time has passed. A peer that sends its whole body
/// before it reads the response still gets it if the body is not longer.
constexpr size_t kMaxDiscardedBytes = 1 << 20;
constexpr Millis kMaxDiscardTime{1000};

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

}  // namespace

Session::Session(tcp::socket socket, std::shared_ptr<Server::Private> server)
    : socket_(std::move(socket)),
      timer_(server->io),
      server_(std::move(server)),
      parser_({.kind = MessageKind::kRequest}),
      idle_(server_->idle, *this),
      receiving_(server_->receiving, *this),
      closing_(server_->closing, *this),
      handling_(server_->handling, *this) {
  ++server_->connections;
  server_->sessions.insert(this);
}

Session::~Session() {
  server_->sessions.erase(this);
  --server_->connections;
}

void Session::Start() {
  std::error_code ignored;  // without the option, responses only take longer
  socket_.set_option(tcp::no_delay(true), ignored);
  std::error_code error;
  socket_.non_blocking(true, error);
  if (error) return Close();
  setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUnackedDataTimeoutMs, sizeof kUnackedDataTimeoutMs);
  ReadNext();
}

void Session::Close() {
  idle_.Leave();
  receiving_.Leave();
  closing_.Leave();
  // The handler still holds its request.
  if (!handling_.joined()) memory_.Release();
  handling_.Leave();
  parser_.Abandon();
  std::error_code ignored;  // an error on closing has no consequence
  socket_.close(ignored);
}

void Session::OnAcceptingStopped() {
  if (reading_ && !parser_.inside_message()) ArmTimer(kLastRequestWait);
}

void Session::ReadNext() {
  reading_ = true;
  if (!parser_.inside_message()) {
    if (!HasUnreadBytes()) sends_on_ = false;
    UpdateLimits();
    idle_.Join();
  } else {
    receiving_.Join();
  }
  ArmTimer(TimeLeftToRead());
  // The bytes stay in the socket until they are handled: IsSilent() and
  // OnTimeout() would not see those of a read whose handler is queued, and the
  // connection would be closed without an answer.
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error) {
                       self->OnReadable(error);
                     });
}

void Session::OnReadable(std::error_code error) {
  reading_ = false;
  DisarmTimer();
  const bool timed_out = std::exchange(timed_out_, false);
  if (error && timed_out) return Refuse(kTimeoutRefusal);
  size_t bytes = 0;
  if (!error) bytes = socket_.read_some(asio::buffer(buffer_), error);
  if (error == asio::error::would_block) return ReadNext();
  if (error) return Close();
  OnBytes({buffer_.data(), bytes});
}

void Session::UpdateLimits() {
  const ServerOptions& options = server_->options;
  limits_ = options.current_limits ? options.current_limits() : options.limits;
  parser_.SetLimits(limits_.max_head_bytes, limits_.max_body_bytes);
}

Millis Session::TimeLeftToRead() {
  ServerLimits limits = limits_;
  if (server_->accepting_stopped) limits.idle_timeout = kLastRequestWait;
  const TimePoint now = Clock::now();
  const TimePoint end = deadline_.Next(parser_.stage(), limits, now);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(end - now));
}

void Session::ArmTimer(Millis limit) {
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this(),
                     generation = ++timer_generation_](std::error_code error) {
    auto self = weak.lock();
    if (!error && self && self->timer_generation_ == generation) {
      self->OnTimeout();
    }
  });
}

// cancel() alone does not stop a time-out whose handler is queued, as after a
// pause of the process. That handler would close the connection of a request
// that has just been read, and the caller would get no answer.
void Session::DisarmTimer() {
  ++timer_generation_;
  timer_.cancel();
}

void Session::OnTimeout() {
  // The pending read is about to deliver bytes that arrived just before the
  // time-out: closing the connection would drop their request.
  if (reading_ && HasUnreadBytes()) return;
  if (writing_) server_->refusals.Add("response not read", 0, Clock::now());
  if (!reading_ || !parser_.inside_message()) return Close();
  // The handler of the read answers, unless it has bytes after all.
  timed_out_ = true;
  std::error_code ignored;  // the connection is broken; the read fails
  socket_.cancel(ignored);
}

void Session::OnBytes(std::string_view bytes) {
  CountTraffic(metrics::Direction::kIn, bytes.size(), 0);
  unparsed_ = bytes;
  ParseNext();
}

void Session::ParseNext() {
  if (!parser_.inside_message()) UpdateLimits();
  auto message = parser_.Next(unparsed_);
  const ParseError error = parser_.error();
  if (error != ParseError::kNone) return Refuse(ToRefusal(error));
  if (message || parser_.inside_message()) idle_.Leave();
  if (message) return OnRequest(std::move(*message));
  if (!memory_.Receive(parser_.memory_bytes())) return RefuseForMemory();
  ReadNext();
}

void Session::Refuse(Refusal refusal) {
  idle_.Leave();
  receiving_.Leave();
  server_->refusals.Add(refusal.why, refusal.status, Clock::now());
  keep_alive_ = false;
  parser_.Abandon();
  Write({.status = refusal.status, .body = std::string(refusal.why) + "\n"},
        false);
}

void Session::RefuseForMemory() {
  receiving_.Leave();
  keep_alive_ = false;
  parser_.Abandon();
  Write({.status = 503, .headers = {{"Retry-After", "1"}}}, false);
}

/// The pending response to one request. The handler may drop it without
/// sending, for example when the object that the request waited for is
/// destroyed. The destructor then sends status 504, which reports that the
/// outcome is unknown; otherwise the connection would be closed without a
/// response.
class Session::PendingResponse {
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
    asio::post(io,
               [session = std::move(session), response = std::move(response)] {
                 session->Write(response, true);
               });
  }

 private:
  std::shared_ptr<Session> session_;
};

size_t Session::MemoryToHandle(const ParsedMessage& message) const {
  const size_t bytes = kWaitingRequestBytes + message.memory_bytes;
  const auto& decoded_bytes = server_->options.decoded_bytes;
  if (!decoded_bytes) return bytes;
  const std::string& body = message.request.body;
  return bytes - body.capacity() +
         std::max(body.capacity(), decoded_bytes(body));
}

void Session::OnRequest(ParsedMessage message) {
  receiving_.Leave();
  CountTraffic(metrics::Direction::kIn, 0, 1);
  if (!memory_.Complete(MemoryToHandle(message))) return RefuseForMemory();
  ++server_->open_requests;
  handling_.Join();
  if (!sends_on_) sending_on_since_ = Clock::now();
  sends_on_ = true;
  keep_alive_ = message.keep_alive;
  message.request.client_closed = ClosedByPeer();
  server_->handler(
      std::move(message.request),
      [pending = std::make_shared<PendingResponse>(shared_from_this())](
          Response response) { pending->Send(std::move(response)); });
}

void Session::Write(const Response& response, bool counted_as_open) {
  // During shutdown, the connection is closed with this response, unless the
  // caller has already sent further requests. Those are answered first: no
  // request that was read may remain without an answer.
  const bool sends_on = SendsOn();
  keep_alive_ = keep_alive_ && (!server_->shutting_down || sends_on);
  // An ordinary caller waits for its answer before it sends its next request.
  if (keep_alive_ && sends_on && server_->TakeCloseForRoom()) {
    keep_alive_ = false;
  }
  keep_alive_ = keep_alive_ && !TakeCloseForWait();
  out_ = ResponseText(response, keep_alive_);
  CountTraffic(metrics::Direction::kOut, out_.size(), 1);
  writing_ = true;
  ArmTimer(limits_.write_timeout);
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this(), counted_as_open](
                        std::error_code error, size_t) {
                      self->writing_ = false;
                      self->DisarmTimer();
                      if (counted_as_open) --self->server_->open_requests;
                      if (error) return self->Close();
                      self->OnWritten();
                    });
}

void Session::OnWritten() {
  handling_.Leave();
  if (!keep_alive_ || TakeCloseForWait()) return CloseAfterResponse();
  memory_.Release();
  deadline_.Restart();
  if (unparsed_.empty()) return ReadNext();
  ParseNext();
}

void Session::CountTraffic(metrics::Direction direction, size_t bytes,
                           int64_t messages) {
  const ServerOptions& options = server_->options;
  if (options.traffic == nullptr) return;
  options.traffic->Count(options.traffic_kind, direction, bytes, messages);
}

bool Session::SendsOn() const {
  return !unparsed_.empty() || parser_.inside_message() || HasUnreadBytes();
}

bool Session::TakeCloseForWait() {
  const Millis max_wait = server_->options.max_wait_behind;
  if (max_wait == Millis(0) || server_->shutting_down || !SendsOn()) {
    return false;
  }
  const TimePoint now = Clock::now();
  if (now - sending_on_since_ <= max_wait) return false;
  server_->refusals.Add("waited behind others", 0, now);
  return true;
}

bool Session::HasUnreadBytes() const {
  std::error_code error;
  return socket_.available(error) > 0 && !error;
}

bool Session::ClosedByPeer() {
  char next = 0;
  const ssize_t peeked = recv(socket_.native_handle(), &next, sizeof next,
                              MSG_PEEK | MSG_DONTWAIT);
  const bool nothing_to_read =
      peeked < 0 && (errno == EAGAIN || errno == EINTR);
  return peeked <= 0 && !nothing_to_read;
}

void Session::CloseAfterResponse() {
  std::error_code ignored;  // the peer may have closed the connection
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  memory_.Release();
  parser_.Abandon();
  closing_.Join();
  ArmTimer(kMaxDiscardTime);
  DiscardInput();
}

void Session::DiscardInput() {
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

}  // namespace mimosarail::http
