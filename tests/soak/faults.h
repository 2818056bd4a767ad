#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <utility>

#include "src/libs/base/executor.h"
#include "src/libs/http/server.h"

namespace mimosarail::soak {

/// Draws from a seed. Not thread-safe.
class Dice {
 public:
  explicit Dice(uint64_t seed) : random_(seed) {}

  uint64_t Any() { return random_(); }
  /// At least 0 and below `bound`, which is above 0.
  size_t Below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(random_);
  }
  bool Percent(size_t share) { return Below(100) < share; }
  Millis Between(Millis least, Millis most) {
    return Millis(std::uniform_int_distribution<int64_t>(
        least.count(), most.count())(random_));
  }

 private:
  std::mt19937_64 random_;
};

/// Delays of calls to a stand-in, and shares of faults in percent.
struct CallFaultOptions {
  Millis least_way{5};
  Millis most_way{40};
  /// Calls that take up to `longest_way` to arrive, so that one sent later on
  /// another connection overtakes them.
  size_t slow = 0;
  Millis longest_way{40};
  /// Refused; nothing is done.
  size_t refused = 1;
  /// Carried out; nobody hears of it.
  size_t lost = 1;
  /// Carried out up to `latest` after; nobody hears of it.
  size_t late = 1;
  Millis latest{2500};
};

/// Delays calls, and refuses, loses or puts off some, as drawn from a seed.
/// Executor's thread only; the executor outlives it.
class CallFaults {
 public:
  /// Carries a call out; the responder that it is given carries the answer
  /// back, at once or later.
  using Arrive = std::function<void(http::Responder)>;

  CallFaults(Executor& executor, CallFaultOptions options, uint64_t seed)
      : executor_(executor), options_(options), dice_(seed) {}

  void Carry(Arrive arrive, http::Responder respond,
             Millis held_up = Millis(0)) {
    Millis way = Way() + (quiet_ ? Millis(0) : held_up);
    const auto strikes = [this](size_t share) {
      return !quiet_ && dice_.Percent(share);
    };
    if (strikes(options_.refused)) return Answer(way, respond, {.status = 503});
    const bool late = strikes(options_.late);
    if (late) way += dice_.Between(Millis(0), options_.latest);
    http::Responder back = [this, way_back = Way(),
                            respond](http::Response response) {
      Answer(way_back, respond, std::move(response));
    };
    if (late || strikes(options_.lost)) {
      // The connection stays open, until its caller has surely given up.
      constexpr Millis kForgotten{10000};
      Answer(kForgotten, respond, {.status = 504});
      back = [](const http::Response&) {};
    }
    executor_.RunAfter(way, [arrive = std::move(arrive),
                             back = std::move(back)] { arrive(back); });
  }
  /// Only short delays from now on.
  void SetQuiet() { quiet_ = true; }

 private:
  Millis Way() {
    if (quiet_) return options_.least_way;
    return dice_.Percent(options_.slow)
               ? dice_.Between(options_.most_way, options_.longest_way)
               : dice_.Between(options_.least_way, options_.most_way);
  }
  void Answer(Millis way, const http::Responder& respond,
              http::Response response) {
    executor_.RunAfter(
        way, [respond, response = std::move(response)] { respond(response); });
  }

  Executor& executor_;
  CallFaultOptions options_;
  Dice dice_;
  bool quiet_ = false;
};

}  // namespace mimosarail::soak
