#include "src/libs/rpc/framing.h"

#include <algorithm>
#include <charconv>

namespace mimosarail::rpc {
namespace {

/// Size of the length prefix of a frame.
constexpr size_t kLengthBytes = 4;
/// Bounds of the bytes that are read at once. The lower one takes dozens of
/// usual calls, and is what an idle connection keeps allocated.
constexpr size_t kMinReadBytes = 4 << 10;
constexpr size_t kMaxReadBytes = 64 << 10;
/// Largest buffer that is kept while no frame is being received.
constexpr size_t kMaxKeptBytes = 2 * kMinReadBytes;
/// Bounds of one write, unless its first frame is larger. On a thin link, the
/// frames of a write delay those of other connections.
constexpr size_t kMaxBatchBytes = 16 << 10;
constexpr size_t kMaxBatchFrames = 32;

/// The length given by the first kLengthBytes bytes.
uint32_t FrameLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint endpoint;
  std::error_code error;
  endpoint.address = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return std::nullopt;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  return endpoint;
}

void SetSocketOptions(asio::ip::tcp::socket& socket, int send_buffer_bytes) {
  std::error_code ignored;  // without the options, calls only take longer
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (send_buffer_bytes <= 0) return;
  socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                    ignored);
}

std::string FrameBytes(const wire::Frame& frame) {
  const std::string body = Encode(frame);
  const auto length = static_cast<uint32_t>(body.size());
  std::string out;
  out.reserve(kLengthBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  return out + body;
}

asio::mutable_buffer FrameReader::Prepare() {
  buffer_.erase(0, std::exchange(consumed_, 0));
  received_ = buffer_.size();
  // Else a connection would keep the memory of its largest frame. Assigning an
  // empty string keeps the capacity.
  if (received_ == 0 && buffer_.capacity() > kMaxKeptBytes) {
    std::string().swap(buffer_);
  }
  const size_t chunk = std::clamp(received_, kMinReadBytes, kMaxReadBytes);
  buffer_.resize(received_ + chunk);
  return asio::buffer(buffer_.data() + received_, chunk);
}

void FrameReader::Commit(size_t bytes) {
  received_ += bytes;
  buffer_.resize(received_);
}

Result<std::optional<wire::Frame>> FrameReader::Next() {
  const std::string_view received = buffer_;
  const std::string_view rest = received.substr(consumed_);
  if (rest.size() < kLengthBytes) return std::optional<wire::Frame>();
  const uint32_t length = FrameLength(rest);
  if (length > max_frame_bytes_) return {Errc::kMalformed, "frame too large"};
  if (rest.size() - kLengthBytes < length) return std::optional<wire::Frame>();
  last_frame_bytes_ = kLengthBytes + length;
  consumed_ += last_frame_bytes_;
  Result<wire::Frame> frame =
      Decode<wire::Frame>(rest.substr(kLengthBytes, length));
  if (!frame.ok()) return {Errc::kMalformed, "not a frame"};
  return std::optional<wire::Frame>(std::move(frame.value()));
}

const std::vector<SendQueue::Outgoing>& SendQueue::TakeBatch() {
  size_t bytes = 0;
  while (
      !waiting_.empty() && in_flight_.size() < kMaxBatchFrames &&
      (bytes == 0 || bytes + waiting_.front().bytes.size() <= kMaxBatchBytes)) {
    bytes += waiting_.front().bytes.size();
    waiting_bytes_ -= MemoryOf(waiting_.front().bytes);
    in_flight_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return in_flight_;
}

std::vector<asio::const_buffer> Buffers(
    const std::vector<SendQueue::Outgoing>& frames) {
  std::vector<asio::const_buffer> out;
  out.reserve(frames.size());
  for (const SendQueue::Outgoing& frame : frames) {
    out.push_back(asio::buffer(frame.bytes));
  }
  return out;
}

}  // namespace mimosarail::rpc
