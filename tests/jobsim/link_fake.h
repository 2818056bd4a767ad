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

  /// Bytes of all transfers started so far.
  int64_t bytes_transferred() const { return bytes_transferred_; }

 private:
  /// Bytes that a connection may have in flight: the usual receive buffer.
  static constexpr size_t kChunkBytes = 212992;

  void TransferRest(size_t bytes, Clock::duration fixed,
                    std::function<void()> done,
                    std::function<void()> progress) {
    const size_t chunk = std::min(bytes, kChunkBytes);
    Clock::duration duration = fixed;
    if (rate_.bytes_per_s > 0) {
      const std::chrono::duration<double> transmission_time(
          static_cast<double>(chunk) / rate_.bytes_per_s);
      duration +=
          std::chrono::duration_cast<Clock::duration>(transmission_time);
    }
    free_at_ = std::max(free_at_, clock_.now()) + duration;
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

  /// The bytes of both directions by kind of message.
  metrics::Traffic traffic;
  LinkFake out;
  LinkFake in;
  LinkFake processor;
};

}  // namespace mimosarail::jobsim
