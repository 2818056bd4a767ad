#include "src/libs/rpc/server.h"

#include <asio.hpp>
#include <atomic>
#include <unordered_map>

#include "src/libs/logging/log.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::rpc {

using asio::ip::tcp;

namespace {

/// Pause after a failed accept, for example when no file descriptors are left.
constexpr Millis kAcceptPause{50};

using HandlerTable = std::unordered_map<int32_t, Handler>;

/// An accepted connection; all members run on its strand.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<const HandlerTable> handlers,
          std::shared_ptr<std::atomic<int64_t>> bytes,
          metrics::Traffic* traffic)
      : socket_(std::move(socket)),
        handlers_(std::move(handlers)),
        bytes_(std::move(bytes)),
        traffic_(traffic) {}

  void ReadNext() {
    AsyncReadFrames(
        socket_, reader_,
        [self = shared_from_this()](wire::Frame frame, size_t bytes) {
          *self->bytes_ += static_cast<int64_t>(bytes);
          self->CountTraffic(frame.method, metrics::Direction::kIn, bytes);
          self->Dispatch(std::move(frame));
        },
        [self = shared_from_this()](const Error& error) {
          if (error.code) return self->Close();
          self->ReadNext();
        });
  }

 private:
  void CountTraffic(int32_t method, metrics::Direction direction,
                    size_t bytes) {
    if (traffic_ == nullptr) return;
    const auto name = kMethodNames.Name(static_cast<Method>(method));
    traffic_->Count("serve " + std::string(name), direction, bytes);
  }

  /// Passes a call to the handler of its method.
  void Dispatch(wire::Frame frame) {
    if (frame.method == static_cast<int32_t>(Method::kPing)) {
      return Send(frame.id, frame.method, std::string());
    }
    Responder respond = [weak = weak_from_this(),
                         executor = socket_.get_executor(), id = frame.id,
                         method = frame.method](Result<std::string> reply) {
      asio::post(executor,
                 [weak, id, method, reply = std::move(reply)]() mutable {
                   if (auto self = weak.lock()) {
                     self->Send(id, method, std::move(reply));
                   }
                 });
    };
    const auto handler = handlers_->find(frame.method);
    if (handler == handlers_->end()) return respond(Errc::kUnknownMethod);
    handler->second(std::move(frame.body), std::move(respond));
  }

  void Send(int64_t id, int32_t method, Result<std::string> reply) {
    wire::Frame frame;
    frame.id = id;
    frame.reply = true;
    if (reply.ok()) {
      frame.body = std::move(reply.value());
    } else {
      const std::error_code& code = reply.error().code;
      const bool is_errc = code.category() == ErrorCategory();
      frame.error =
          is_errc ? code.value() : static_cast<int>(Errc::kUnavailable);
      frame.body = reply.error().message;
    }
    queue_.Push(method, FrameBytes(frame));
    WriteNext();
  }

  void WriteNext() {
    if (!queue_.CanSend()) return;
    const auto& batch = queue_.TakeBatch();
    for (const SendQueue::Outgoing& frame : batch) {
      *bytes_ += static_cast<int64_t>(frame.bytes.size());
      CountTraffic(frame.method, metrics::Direction::kOut, frame.bytes.size());
    }
    asio::async_write(
        socket_, Buffers(batch),
        [self = shared_from_this()](std::error_code error, size_t) {
          if (error) return self->Close();
          self->queue_.OnSent();
          self->WriteNext();
        });
  }

  void Close() {
    std::error_code ignored;  // an error on closing has no consequence
    socket_.close(ignored);
  }

  tcp::socket socket_;
  std::shared_ptr<const HandlerTable> handlers_;
  std::shared_ptr<std::atomic<int64_t>> bytes_;
  metrics::Traffic* traffic_;
  FrameReader reader_;
  SendQueue queue_;
};

}  // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
  Private(asio::io_context& io_in, metrics::Traffic* traffic_in,
          int send_buffer_bytes_in)
      : io(io_in),
        traffic(traffic_in),
        send_buffer_bytes(send_buffer_bytes_in),
        acceptor(io_in),
        accept_retry_timer(io_in) {}

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
    SetSocketOptions(socket, send_buffer_bytes);
    std::make_shared<Session>(std::move(socket), handlers, bytes, traffic)
        ->ReadNext();
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
  metrics::Traffic* traffic;
  const int send_buffer_bytes;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::shared_ptr<HandlerTable> handlers = std::make_shared<HandlerTable>();
  std::shared_ptr<std::atomic<int64_t>> bytes =
      std::make_shared<std::atomic<int64_t>>(0);
};

Server::Server(asio::io_context& io, metrics::Traffic* traffic,
               int send_buffer_bytes)
    : d_(std::make_shared<Private>(io, traffic, send_buffer_bytes)) {}

Server::~Server() {
  std::error_code ignored;  // no consequence on destruction
  d_->acceptor.close(ignored);
}

void Server::Handle(Method method, Handler handler) {
  (*d_->handlers)[static_cast<int32_t>(method)] = std::move(handler);
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

int64_t Server::bytes() const { return d_->bytes->load(); }

}  // namespace mimosarail::rpc
