#include "src/libs/http/client.h"

#include <netinet/tcp.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>
#include <unordered_map>

#include "src/libs/http/parser.h"
#include "src/libs/rpc/framing.h"

namespace mimosarail::http {
namespace {

using asio::ip::tcp;

constexpr size_t kReadBufferBytes = 16 << 10;

struct PendingCall {
  std::string traffic_kind;
  std::string bytes;
  Millis timeout;
  /// Deadline of the first part of the response.
  TimePoint deadline;
  /// Deadline of the complete response.
  TimePoint response_deadline;
  Callback<Response> done;
};

std::string Serialize(const std::string& address, const Request& request) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "Host").empty()) {
    out += "Host: " + address + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    out += name + ": " + value + "\r\n";
  }
  if (!request.body.empty() || request.method == "POST") {
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  out += "\r\n";
  out += request.body;
  return out;
}

}  // namespace

struct Pool;

struct Client::Private : std::enable_shared_from_this<Client::Private> {
  Private(asio::io_context& io_in, ClientOptions options_in)
      : io(io_in), options(std::move(options_in)) {}

  asio::io_context& io;
  ClientOptions options;
  std::atomic<int64_t> connections_opened{0};
  std::unordered_map<std::string, std::shared_ptr<Pool>> pools;
};

namespace {

class Connection;

}  // namespace

/// The connections to one address and the calls that wait for one of them.
struct Pool {
  asio::ip::tcp::endpoint endpoint;
  std::deque<PendingCall> queued;
  /// Idle connections. Their pending reads keep them alive until the io_context
  /// ends; shared pointers here would form a reference cycle with the pool.
  std::vector<std::weak_ptr<Connection>> idle;
  size_t open_connections = 0;
};

namespace {

/// A connection with at most one call in flight.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// `io` and `connections_opened` must outlive the connection.
  Connection(asio::io_context& io, const ClientOptions& options,
             std::atomic<int64_t>& connections_opened,
             std::shared_ptr<Pool> pool)
      : io_(io),
        connections_opened_(connections_opened),
        socket_(io),
        timer_(io),
        options_(options),
        pool_(std::move(pool)),
        parser_(
            {.kind = MessageKind::kResponse, .max_body = options.max_body}) {
    ++pool_->open_connections;
    ++connections_opened_;
  }

  void Open(PendingCall call) {
    call_ = std::move(call);
    busy_ = true;
    ArmTimer(std::min(call_.deadline, Clock::now() + options_.connect_timeout));
    socket_.async_connect(
        pool_->endpoint, [self = shared_from_this()](std::error_code error) {
          if (self->closed_) return;
          if (error) return self->Fail(Errc::kUnavailable, error.message());
          self->SetSocketOptions();
          self->connected_ = true;
          self->Send();
          self->ReadNext();
        });
  }

  /// Sends a call on the open connection. Precondition: idle.
  void Start(PendingCall call) {
    call_ = std::move(call);
    busy_ = true;
    Send();
  }

  bool usable(TimePoint now) const {
    return !closed_ && !busy_ && now - idle_since_ < options_.max_idle;
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    --pool_->open_connections;
    std::erase_if(pool_->idle, [this](const auto& idle) {
      return idle.expired() || idle.lock().get() == this;
    });
    timer_.cancel();
    std::error_code ignored;  // an error on closing has no consequence
    socket_.close(ignored);
    OpenForNextCall();
  }

 private:
  /// Opens a new connection for the next queued call. Without it, calls that
  /// were queued for this connection would never be sent.
  void OpenForNextCall() {
    if (pool_->queued.empty()) return;
    PendingCall call = std::move(pool_->queued.front());
    pool_->queued.pop_front();
    std::make_shared<Connection>(io_, options_, connections_opened_, pool_)
        ->Open(std::move(call));
  }

  void SetSocketOptions() {
    std::error_code ignored;  // without the option, calls only take longer
    socket_.set_option(tcp::no_delay(true), ignored);
    if (options_.send_buffer_bytes > 0) {
      socket_.set_option(
          asio::socket_base::send_buffer_size(options_.send_buffer_bytes),
          ignored);
    }
    const int timeout_ms =
        static_cast<int>(options_.unacked_data_timeout.count());
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &timeout_ms, sizeof timeout_ms);
  }

  void ArmTimer(TimePoint deadline) {
    timer_.expires_at(deadline);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (error || self->closed_ || !self->busy_) return;
      if (Clock::now() < self->timer_.expiry()) return;
      self->Fail(self->connected_ ? Errc::kTimeout : Errc::kUnavailable,
                 "no answer in time");
    });
  }

  void Send() {
    ArmTimer(call_.deadline);
    writing_ = true;
    CountTraffic(metrics::Direction::kOut, call_.bytes.size(), 1);
    asio::async_write(
        socket_, asio::buffer(call_.bytes),
        [self = shared_from_this()](std::error_code error, size_t) {
          self->writing_ = false;
          if (!error || self->closed_) return;
          self->Fail(Errc::kDisconnected, error.message());
        });
  }

  void ReadNext() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t bytes) {
          if (self->closed_) return;
          if (error) return self->Fail(Errc::kDisconnected, error.message());
          self->OnBytes({self->buffer_.data(), bytes});
        });
  }

  void OnBytes(std::string_view bytes) {
    bool complete = false;
    const bool valid = parser_.Feed(bytes, [&](ParsedMessage message) {
      message_ = std::move(message);
      complete = true;
    });
    CountTraffic(metrics::Direction::kIn, bytes.size(), complete ? 1 : 0);
    if (!valid || (complete && !busy_)) {
      return Fail(Errc::kMalformed, "not an HTTP response");
    }
    if (complete) {
      Finish();
    } else if (busy_) {
      ExtendDeadline();
    }
    if (!closed_) ReadNext();
  }

  /// Allows the call's timeout for the next part of the response.
  void ExtendDeadline() {
    const TimePoint next =
        std::min(Clock::now() + call_.timeout, call_.response_deadline);
    if (next > call_.deadline) ArmTimer(next);
  }

  void CountTraffic(metrics::Direction direction, size_t bytes,
                    int64_t messages) {
    if (options_.traffic == nullptr) return;
    options_.traffic->Count(call_.traffic_kind, direction, bytes, messages);
  }

  void Finish() {
    timer_.cancel();
    auto done = std::move(call_.done);
    busy_ = false;
    // The connection is also closed if the request is still being written, as
    // when a peer refuses a long request before it has read all of it. The next
    // call would overwrite the buffer of the pending write, and its bytes would
    // mix with the rest of the request. The peer could parse neither request,
    // or answer one as the other.
    if (!message_.keep_alive || writing_) {
      Close();
    } else {
      StartNextCallOrIdle();
    }
    done(std::move(message_.response));
  }

  /// Sends the next queued call, or becomes idle.
  void StartNextCallOrIdle() {
    const auto now = Clock::now();
    while (!pool_->queued.empty()) {
      PendingCall call = std::move(pool_->queued.front());
      pool_->queued.pop_front();
      if (call.deadline > now) return Start(std::move(call));
      call.done(Result<Response>(Errc::kUnavailable,
                                 "waited too long for a connection"));
    }
    idle_since_ = now;
    pool_->idle.push_back(weak_from_this());
  }

  void Fail(Errc code, const std::string& message) {
    const bool had_call = std::exchange(busy_, false);
    auto done = std::move(call_.done);
    Close();
    if (had_call) done(Result<Response>(code, message));
  }

  asio::io_context& io_;
  std::atomic<int64_t>& connections_opened_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  ClientOptions options_;
  std::shared_ptr<Pool> pool_;
  Parser parser_;
  ParsedMessage message_;
  PendingCall call_;
  TimePoint idle_since_{};
  bool busy_ = false;
  /// A write of call_.bytes is in flight; the buffer must not change.
  bool writing_ = false;
  bool connected_ = false;
  bool closed_ = false;
  std::array<char, kReadBufferBytes> buffer_{};
};

/// Sends the call on an idle or a new connection, or queues it.
void Dispatch(Client::Private& d, const std::string& address,
              PendingCall call) {
  const auto endpoint = rpc::ParseEndpoint(address);
  if (!endpoint) {
    return call.done(
        Result<Response>(Errc::kInvalid, "bad address " + address));
  }
  auto& pool = d.pools[address];
  if (!pool) {
    pool = std::make_shared<Pool>();
    pool->endpoint = {endpoint->address, endpoint->port};
  }
  const auto now = Clock::now();
  while (!pool->idle.empty()) {
    // The most recently used connection is the least likely to be closing.
    const auto connection = pool->idle.back().lock();
    pool->idle.pop_back();
    if (!connection) continue;
    if (connection->usable(now)) return connection->Start(std::move(call));
    connection->Close();
  }
  if (pool->open_connections >= d.options.max_connections) {
    return pool->queued.push_back(std::move(call));
  }
  std::make_shared<Connection>(d.io, d.options, d.connections_opened, pool)
      ->Open(std::move(call));
}

}  // namespace

std::string PathOf(const Request& request) {
  return request.target.substr(0, request.target.find('?'));
}

Client::Client(asio::io_context& io, ClientOptions options)
    : d_(std::make_shared<Private>(io, std::move(options))) {}
Client::~Client() = default;

void Client::Call(const std::string& address, Request request, Millis timeout,
                  Callback<Response> done) {
  const TimePoint now = Clock::now();
  PendingCall call{.traffic_kind = d_->options.traffic_kind(request),
                   .bytes = Serialize(address, request),
                   .timeout = timeout,
                   .deadline = now + timeout,
                   .response_deadline = now + d_->options.max_response_time,
                   .done = std::move(done)};
  asio::post(d_->io, [d = d_, address, call = std::move(call)]() mutable {
    Dispatch(*d, address, std::move(call));
  });
}

int64_t Client::connections_opened() const {
  return d_->connections_opened.load();
}

}  // namespace mimosarail::http
