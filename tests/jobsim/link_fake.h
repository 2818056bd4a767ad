#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "src/libs/metrics/traffic.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::jobsim {

/// Rate of a link or a processor. Zero means no limit.
struct LinkRate {
  double bytes_per_s = 0;
  /// Fixed cost of each message, in addition to its bytes.
  std::chrono::microseconds per_message{0};
};

/// Transfers messages one after the other. Stands for one direction of a
/// machine's link, or for a processor that handles received messages. A long
/// message is transferred in chunks so that short ones can interleave, as on
/// connections that share a link.
class LinkFake {
 public:
  explicit LinkFake(sim::ManualClock& clock) : clock_(clock) {}

  void SetRate(LinkRate rate) { rate_ = rate; }
  /// Runs `done` when all bytes have been transferred, and `progress`, if it is
  /// set, after each chunk.
  void Transfer(size_t bytes, std::function<void()> done,
                std::function<void()> progress = {}) {
    bytes_transferred_ += static_cast<int64_t>(bytes);
    TransferRest(bytes, Clock::duration(rate_.per_message), std::move(done),
                 std::move(progress));
  }

  /// Transfers a short message on a connection of its own: it waits for at most
  /// kQueuedBytes of other messages, which are in send buffers already.
  void TransferUrgent(size_t bytes, std::function<void()> done) {
    bytes_transferred_ += static_cast<int64_t>(bytes);
    const TimePoint now = clock_.now();
    const TimePoint buffers_sent =
        std::min(std::max(free_at_, now), now + TransmissionTime(kQueuedBytes));
    const Clock::duration duration =
        Clock::duration(rate_.per_message) + TransmissionTime(bytes);
    urgent_free_at_ = std::max(urgent_free_at_, buffers_sent) + duration;
    free_at_ = std::max(free_at_, now) + duration;
    clock_.At(urgent_free_at_, std::move(done));
  }

  /// Bytes of all transfers started so far.
  int64_t bytes_transferred() const { return bytes_transferred_; }

 private:
  /// Bytes that a connection may have in flight: the usual receive buffer.
  static constexpr size_t kChunkBytes = 212992;
  /// Bytes of other connections that wait in send buffers of a thin link.
  static constexpr size_t kQueuedBytes = 32768;

  Clock::duration TransmissionTime(size_t bytes) const {
    if (rate_.bytes_per_s <= 0) return {};
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) /
                                      rate_.bytes_per_s));
  }

  void TransferRest(size_t bytes, Clock::duration fixed,
                    std::function<void()> done,
                    std::function<void()> progress) {
    const size_t chunk = std::min(bytes, kChunkBytes);
    free_at_ =
        std::max(free_at_, clock_.now()) + fixed + TransmissionTime(chunk);
    clock_.At(free_at_, [this, rest = bytes - chunk, done = std::move(done),
                         progress = std::move(progress)] {
      if (progress) progress();
      if (rest == 0) return done();
      TransferRest(rest, {}, done, progress);
    });
  }

  sim::ManualClock& clock_;
  LinkRate rate_;
  TimePoint free_at_{};
  TimePoint urgent_free_at_{};
  int64_t bytes_transferred_ = 0;
};

/// The network and processor of one machine: both directions of its link, and
/// the processor that handles received bytes.
struct MachineFake {
  explicit MachineFake(sim::ManualClock& clock)
      : out(clock), in(clock), processor(clock) {}

  /// Runs `done` when the bytes have been received and processed. `progress` is
  /// as in LinkFake::Transfer().
  void Receive(size_t bytes, std::function<void()> done,
               const std::function<void()>& progress = {}) {
    in.Transfer(
        bytes,
        [this, bytes, done = std::move(done), progress]() mutable {
          processor.Transfer(bytes, std::move(done), progress);
        },
        progress);
  }

  /// Receive() of a short message on a connection of its own. The processor
  /// handles it in its turn.
  void ReceiveUrgent(size_t bytes, std::function<void()> done) {
    in.TransferUrgent(bytes, [this, bytes, done = std::move(done)]() mutable {
      processor.Transfer(bytes, std::move(done));
    });
  }

  /// The bytes of both directions by kind of message.
  metrics::Traffic traffic;
  LinkFake out;
  LinkFake in;
  LinkFake processor;
};

}  // namespace mimosarail::jobsim
