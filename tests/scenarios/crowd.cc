#include "tests/scenarios/crowd.h"

#include <netinet/tcp.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <thread>
#include <utility>

namespace mimosarail::scenarios {
namespace {

using asio::ip::tcp;

constexpr Millis kPollInterval{10};
/// Receive buffer of a client that reads no answers or reads slowly, small so
/// that few answers fill it.
constexpr int kSmallBufferBytes = 4 << 10;
/// Smallest segments that a client may ask for. A server buffers answers for a
/// number of segments, so that few fill its buffer.
constexpr int kSegmentBytes = 88;
constexpr size_t kReadBytes = 4 << 10;

/// Progress of all clients of a crowd.
struct Progress {
  std::atomic<size_t> unsent{0};
  std::atomic<size_t> open{0};
};

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& io, const CrowdBehavior& behavior,
         Progress& progress)
      : io_(io),
        socket_(io),
        timer_(io),
        read_timer_(io),
        behavior_(behavior),
        progress_(progress) {}

  void Start(const tcp::endpoint& server) {
    server_ = server;
    std::error_code ignored;  // the connection fails too
    socket_.open(tcp::v4(), ignored);
    if (!behavior_.reads_answers || ReadsSlowly()) {
      socket_.set_option(
          asio::socket_base::receive_buffer_size(kSmallBufferBytes), ignored);
    }
    if (!behavior_.reads_answers) {
      setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
                 &kSegmentBytes, sizeof kSegmentBytes);
    }
    socket_.async_connect(server,
                          [self = shared_from_this()](std::error_code error) {
                            self->OnConnected(error);
                          });
  }

 private:
  void OnConnected(std::error_code error) {
    if (error) return Close();
    if (behavior_.reads_answers) ReadAfterPause();
    Send(behavior_.first);
  }

  void Send(const std::string& bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [self = shared_from_this()](std::error_code error, size_t) {
          if (error) return self->Close();
          self->OnSent();
        });
  }

  void OnSent() {
    NoteFirstSent();
    if (behavior_.repeated.empty()) return;
    timer_.expires_after(behavior_.pause);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) self->Send(self->behavior_.repeated);
    });
  }

  bool ReadsSlowly() const { return behavior_.read_pause > Millis(0); }

  void ReadAfterPause() {
    if (!ReadsSlowly()) return DiscardAnswers();
    read_timer_.expires_after(behavior_.read_pause);
    read_timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) self->DiscardAnswers();
    });
  }

  void DiscardAnswers() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, size_t) {
          if (error == asio::error::eof) return;
          if (error) return self->Close();
          self->ReadAfterPause();
        });
  }

  void NoteFirstSent() {
    if (!std::exchange(first_sent_, true)) --progress_.unsent;
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    NoteFirstSent();
    if (behavior_.reconnects) Reconnect();
    --progress_.open;
    timer_.cancel();
    read_timer_.cancel();
    std::error_code ignored;  // it is closed in any case
    socket_.close(ignored);
  }

  /// Another client takes the place of this one.
  void Reconnect() {
    auto next = std::make_shared<Client>(io_, behavior_, progress_);
    next->first_sent_ = true;
    ++progress_.open;
    next->Start(server_);
  }

  asio::io_context& io_;
  tcp::endpoint server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer read_timer_;
  const CrowdBehavior& behavior_;
  Progress& progress_;
  bool first_sent_ = false;
  bool closed_ = false;
  std::array<char, kReadBytes> buffer_{};
};

void WaitUntilZero(const std::atomic<size_t>& count, Millis limit) {
  const TimePoint end = Clock::now() + limit;
  while (count > 0 && Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

struct Crowd::Private {
  CrowdBehavior behavior;
  Progress progress;
  asio::io_context io{1};
  std::thread thread;
};

Crowd::Crowd(int port, size_t clients, CrowdBehavior behavior)
    : d_(std::make_unique<Private>()) {
  d_->behavior = std::move(behavior);
  d_->progress.unsent = d_->progress.open = clients;
  const tcp::endpoint server(asio::ip::address_v4::loopback(),
                             static_cast<uint16_t>(port));
  for (size_t i = 0; i < clients; ++i) {
    std::make_shared<Client>(d_->io, d_->behavior, d_->progress)->Start(server);
  }
  d_->thread = std::thread([this] { d_->io.run(); });
}

Crowd::~Crowd() {
  d_->io.stop();
  d_->thread.join();
}

void Crowd::WaitUntilSent(Millis limit) const {
  WaitUntilZero(d_->progress.unsent, limit);
}

size_t Crowd::WaitUntilClosed(Millis limit) const {
  WaitUntilZero(d_->progress.open, limit);
  return d_->progress.open;
}

}  // namespace mimosarail::scenarios
