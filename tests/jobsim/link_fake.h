#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "tests/sim/manual_executor.h"

namespace mimosarail::jobsim {

/// How much a link or a processor gets through. Zero: without limit.
struct LinkRate {
  double bytes_per_s = 0;
  /// On top of its bytes, for each message.
  std::chrono::microseconds per_message{0};
};

/// Carries messages one after the other: one way of a machine's link, or a
/// processor that handles what has arrived. A long message goes in slices, so
/// that short ones get in between, as connections that share a link do.
class LinkFake {
 public:
  explicit LinkFake(sim::ManualClock& clock) : clock_(clock) {}

  void SetRate(LinkRate rate) { rate_ = rate; }
  /// Runs `done` when all bytes have been carried, and `progress`, if it is
  /// set, whenever a part of them has.
  void Transfer(size_t bytes, std::function<void()> done,
                std::function<void()> progress = {}) {
    carried_ += static_cast<int64_t>(bytes);
    TransferRest(bytes, Clock::duration(rate_.per_message), std::move(done),
                 std::move(progress));
  }

  /// Bytes so far.
  int64_t bytes_transferred() const { return carried_; }

 private:
  /// What a connection may have under way: the usual receive buffer.
  static constexpr size_t kChunkBytes = 212992;

  void TransferRest(size_t bytes, Clock::duration fixed,
                    std::function<void()> done,
                    std::function<void()> progress) {
    const size_t slice = std::min(bytes, kChunkBytes);
    Clock::duration takes = fixed;
    if (rate_.bytes_per_s > 0) {
      const std::chrono::duration<double> on_the_way(
          static_cast<double>(slice) / rate_.bytes_per_s);
      takes += std::chrono::duration_cast<Clock::duration>(on_the_way);
    }
    free_at_ = std::max(free_at_, clock_.now()) + takes;
    clock_.At(free_at_, [this, rest = bytes - slice, done = std::move(done),
                         progress = std::move(progress)] {
      if (progress) progress();
      if (rest == 0) return done();
      TransferRest(rest, {}, done, progress);
    });
  }

  sim::ManualClock& clock_;
  LinkRate rate_;
  TimePoint free_at_{};
  int64_t carried_ = 0;
};

/// What one machine has: both ways of its link, and its processor.
struct MachineFake {
  explicit MachineFake(sim::ManualClock& clock)
      : out(clock), in(clock), processor(clock) {}

  /// Runs `done` when bytes from elsewhere have arrived and been handled.
  /// `progress` as in LinkFake::Transfer().
  void Receive(size_t bytes, std::function<void()> done,
               const std::function<void()>& progress = {}) {
    in.Transfer(
        bytes,
        [this, bytes, done = std::move(done), progress]() mutable {
          processor.Transfer(bytes, std::move(done), progress);
        },
        progress);
  }

  LinkFake out;
  LinkFake in;
  LinkFake processor;
};

}  // namespace mimosarail::jobsim
