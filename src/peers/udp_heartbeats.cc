#include "src/peers/udp_heartbeats.h"

#include <asio.hpp>
#include <atomic>

#include "src/libs/rpc/framing.h"

namespace mimosarail::peers {

using asio::ip::udp;

namespace {
constexpr size_t kMaxDatagramBytes = 16384;
}  // namespace

struct UdpHeartbeats::Private : std::enable_shared_from_this<Private> {
  Private(asio::io_context& io, Executor& executor_in,
          std::function<void(const wire::Heartbeat&)> receive_in)
      : executor(executor_in),
        receive(std::move(receive_in)),
        strand(asio::make_strand(io)),
        socket(strand),
        buffer(kMaxDatagramBytes, '\0') {}

  void ReceiveNext() {
    socket.async_receive_from(
        asio::buffer(buffer), from,
        [self = shared_from_this()](std::error_code error, size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (!error) self->HandleDatagram(size);
          self->ReceiveNext();
        });
  }

  void HandleDatagram(size_t size) {
    bytes += static_cast<int64_t>(size);
    auto decoded =
        rpc::Decode<wire::Heartbeat>(std::string_view(buffer.data(), size));
    if (!decoded.ok()) return;
    executor.Post(
        [self = shared_from_this(), heartbeat = std::move(decoded.value())] {
          self->receive(heartbeat);
        });
  }

  Executor& executor;
  std::function<void(const wire::Heartbeat&)> receive;
  asio::strand<asio::io_context::executor_type> strand;
  udp::socket socket;
  udp::endpoint from;
  std::string buffer;
  std::atomic<int64_t> bytes{0};
};

UdpHeartbeats::UdpHeartbeats(
    asio::io_context& io, Executor& executor,
    std::function<void(const wire::Heartbeat&)> receive)
    : d_(std::make_shared<Private>(io, executor, std::move(receive))) {}

UdpHeartbeats::~UdpHeartbeats() = default;

Result<uint16_t> UdpHeartbeats::Listen(const std::string& address) {
  const auto parsed = rpc::ParseEndpoint(address);
  if (!parsed) return {Errc::kInvalid, "invalid address " + address};
  const udp::endpoint endpoint(parsed->address, parsed->port);
  std::error_code error;
  d_->socket.open(endpoint.protocol(), error);
  if (!error) d_->socket.bind(endpoint, error);
  if (error) return Error{error, address + ": " + error.message()};
  d_->ReceiveNext();
  return d_->socket.local_endpoint().port();
}

void UdpHeartbeats::Send(const std::string& address,
                         const wire::Heartbeat& heartbeat) {
  const auto parsed = rpc::ParseEndpoint(address);
  if (!parsed) return;
  asio::post(d_->strand,
             [d = d_, bytes = rpc::Encode(heartbeat),
              endpoint = udp::endpoint(parsed->address, parsed->port)] {
               d->bytes += static_cast<int64_t>(bytes.size());
               // A heartbeat that cannot be sent at once is dropped: the next
               // one contains newer state.
               std::error_code ignored;
               d->socket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
             });
}

int64_t UdpHeartbeats::bytes() const { return d_->bytes.load(); }

}  // namespace mimosarail::peers
