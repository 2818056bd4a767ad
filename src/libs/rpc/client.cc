#include "src/libs/rpc/client.h"

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <unordered_map>

#include "src/libs/rpc/framing.h"

namespace mimosarail::rpc {
namespace {

using asio::ip::tcp;

/// Bounds of the time without a frame after which a ping is sent.
constexpr Millis kMinSilence{20};
constexpr Millis kMaxSilence{1000};

/// A connection to one address; its private members run on its strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, std::atomic<int64_t>& bytes,
             metrics::Traffic* traffic, int send_buffer_bytes)
      : strand_(asio::make_strand(io)),
        socket_(strand_),
        bytes_(bytes),
        traffic_(traffic),
        send_buffer_bytes_(send_buffer_bytes),
        watch_timer_(strand_) {}

  void Open(const tcp::endpoint& endpoint) {
    asio::post(strand_, [self = shared_from_this(), endpoint] {
      self->socket_.async_connect(endpoint, [self](std::error_code error) {
        if (error) return self->Fail(Errc::kUnavailable, error.message());
        SetSocketOptions(self->socket_, self->send_buffer_bytes_);
        self->open_ = true;
        self->WriteNext();
        self->ReadNext();
      });
    });
  }

  void Call(Method method, std::string body, Millis timeout,
            Callback<std::string> done) {
    asio::post(
        strand_, [self = shared_from_this(), method, body = std::move(body),
                  timeout, done = std::move(done)]() mutable {
          self->Enqueue(method, std::move(body), timeout, std::move(done));
        });
  }

  bool broken() const { return broken_.load(); }

 private:
  struct Pending {
    Method method;
    Callback<std::string> done;
    std::unique_ptr<asio::steady_timer> timer;
  };

  void Enqueue(Method method, std::string body, Millis timeout,
               Callback<std::string> done) {
    if (broken_) return done(Result<std::string>(Errc::kUnavailable));
    const int64_t id = ++last_id_;
    auto timer = std::make_unique<asio::steady_timer>(strand_, timeout);
    timer->async_wait([self = shared_from_this(), id,
                       sent = Clock::now()](std::error_code error) {
      if (!error) self->OnTimeout(id, sent);
    });
    pending_.emplace(id, Pending{method, std::move(done), std::move(timer)});
    Send(id, method, std::move(body));
    // A ping is then sent, and has time to be answered, before the call times
    // out, whenever it was sent within an interval.
    silence_ = std::min(silence_, std::max(timeout / 3, kMinSilence));
    WatchForSilence();
  }

  void Send(int64_t id, Method method, std::string body) {
    wire::Frame frame;
    frame.id = id;
    frame.method = static_cast<int32_t>(method);
    frame.body = std::move(body);
    queue_.Push(frame.method, FrameBytes(frame));
    if (open_) WriteNext();
  }

  /// While calls wait, sends a ping whenever no frame was received for
  /// `silence_`. The other process answers it before it handles any call, so
  /// that a connection to a process that is slow does not look unresponsive.
  void WatchForSilence() {
    if (std::exchange(watching_, true)) return;
    watch_timer_.expires_after(silence_);
    watch_timer_.async_wait([self = shared_from_this(),
                             since = Clock::now()](std::error_code error) {
      self->watching_ = false;
      if (error || self->broken_ || self->pending_.empty()) return;
      if (self->last_received_ < since) {
        self->Send(++self->last_id_, Method::kPing, {});
      }
      self->WatchForSilence();
    });
  }

  /// Fails a call that has timed out. Also closes the connection if no frame
  /// has been received since the call was sent, not even the reply to a ping,
  /// so that the next call opens a new one: a connection can stop delivering
  /// data without a reset, and every later call on it would time out.
  void OnTimeout(int64_t id, TimePoint sent) {
    Finish(id, Errc::kTimeout);
    if (last_received_ < sent) Fail(Errc::kTimeout, "connection unresponsive");
  }

  void WriteNext() {
    if (!queue_.CanSend()) return;
    const auto& batch = queue_.TakeBatch();
    for (const SendQueue::Outgoing& frame : batch) {
      bytes_ += static_cast<int64_t>(frame.bytes.size());
      CountTraffic(kMethodNames.Name(static_cast<Method>(frame.method)),
                   metrics::Direction::kOut, frame.bytes.size());
    }
    asio::async_write(
        socket_, Buffers(batch),
        [self = shared_from_this()](std::error_code error, size_t) {
          if (error) {
            return self->Fail(Errc::kDisconnected, error.message());
          }
          self->queue_.OnSent();
          self->WriteNext();
        });
  }

  void ReadNext() {
    AsyncReadFrames(
        socket_, reader_,
        [self = shared_from_this()](wire::Frame frame, size_t bytes) {
          self->bytes_ += static_cast<int64_t>(bytes);
          self->CountReply(frame, bytes);
          self->last_received_ = Clock::now();
          self->Deliver(frame);
        },
        [self = shared_from_this()](const Error& error) {
          if (error.code) {
            return self->Fail(Errc::kDisconnected, error.message);
          }
          self->ReadNext();
        });
  }

  /// Counts a received reply under the method of its call. A reply that arrives
  /// after its call has timed out uses the link too, and is counted as "late".
  void CountReply(const wire::Frame& frame, size_t bytes) {
    const auto found = pending_.find(frame.id);
    const std::string_view name = found == pending_.end()
                                      ? std::string_view("late")
                                      : kMethodNames.Name(found->second.method);
    CountTraffic(name, metrics::Direction::kIn, bytes);
  }

  void CountTraffic(std::string_view name, metrics::Direction direction,
                    size_t bytes) {
    if (traffic_ == nullptr) return;
    traffic_->Count("ask " + std::string(name), direction, bytes);
  }

  /// Finishes the call that the reply belongs to.
  void Deliver(wire::Frame& frame) {
    if (frame.error != 0) {
      return Finish(frame.id,
                    Result<std::string>(static_cast<Errc>(frame.error),
                                        std::move(frame.body)));
    }
    Finish(frame.id, std::move(frame.body));
  }

  void Finish(int64_t id, Result<std::string> result) {
    auto found = pending_.find(id);
    if (found == pending_.end()) return;  // the call has timed out
    Callback<std::string> done = std::move(found->second.done);
    pending_.erase(found);
    done(std::move(result));
  }

  void Fail(Errc code, const std::string& message) {
    if (broken_.exchange(true)) return;
    std::error_code ignored;  // an error on closing has no consequence
    socket_.close(ignored);
    watch_timer_.cancel();
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto& [id, call] : pending) {
      call.done(Result<std::string>(code, message));
    }
  }

  asio::strand<asio::io_context::executor_type> strand_;
  tcp::socket socket_;
  std::atomic<int64_t>& bytes_;
  metrics::Traffic* traffic_;
  const int send_buffer_bytes_;
  std::atomic<bool> broken_{false};
  bool open_ = false;
  TimePoint last_received_{};
  int64_t last_id_ = 0;
  FrameReader reader_;
  SendQueue queue_;
  /// Runs while it is awaited whether frames arrive; see WatchForSilence().
  asio::steady_timer watch_timer_;
  bool watching_ = false;
  /// A third of the shortest timeout of all calls so far.
  Millis silence_ = kMaxSilence;
  std::unordered_map<int64_t, Pending> pending_;
};

}  // namespace

struct Client::Private {
  Private(asio::io_context& io_in, metrics::Traffic* traffic_in,
          int send_buffer_bytes_in)
      : io(io_in),
        traffic(traffic_in),
        send_buffer_bytes(send_buffer_bytes_in) {}
  asio::io_context& io;
  metrics::Traffic* traffic;
  const int send_buffer_bytes;
  std::atomic<int64_t> bytes{0};
  std::mutex mutex;
  std::unordered_map<std::string, std::shared_ptr<Connection>> connections;

  /// Returns the open connection to `address`, or opens a new one.
  std::shared_ptr<Connection> Connect(const std::string& address,
                                      const tcp::endpoint& endpoint) {
    std::lock_guard lock(mutex);
    auto& connection = connections[address];
    if (!connection || connection->broken()) {
      connection =
          std::make_shared<Connection>(io, bytes, traffic, send_buffer_bytes);
      connection->Open(endpoint);
    }
    return connection;
  }
};

Client::Client(asio::io_context& io, metrics::Traffic* traffic,
               int send_buffer_bytes)
    : d_(std::make_shared<Private>(io, traffic, send_buffer_bytes)) {}
Client::~Client() = default;

void Client::Call(const std::string& address, Method method, std::string body,
                  Millis timeout, Callback<std::string> done) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return done(Result<std::string>(Errc::kInvalid, "bad address " + address));
  }
  d_->Connect(address, {endpoint->address, endpoint->port})
      ->Call(method, std::move(body), timeout, std::move(done));
}

int64_t Client::bytes() const { return d_->bytes.load(); }

}  // namespace mimosarail::rpc
