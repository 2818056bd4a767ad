#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <utility>

#include "src/libs/base/executor.h"
#include "src/libs/http/server.h"

namespace mimosarail::soak {

/// Draws from a seed. Not thread-safe.
class SeededRandom {
 public:
  explicit SeededRandom(uint64_t seed) : random_(seed) {}

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
  Millis min_latency{5};
  Millis max_latency{40};
  /// Calls that take up to `max_slow_latency` to arrive, so that one sent later
  /// on another connection overtakes them.
  size_t slow_percent = 0;
  Millis max_slow_latency{40};
  /// Refused; nothing is done.
  size_t refused_percent = 1;
  /// Carried out; nobody hears of it.
  size_t dropped_reply_percent = 1;
  /// Carried out up to `max_execution_delay` after; nobody hears of it.
  size_t delayed_percent = 1;
  Millis max_execution_delay{2500};
};

/// Delays calls, and refuses, loses or puts off some, as drawn from a seed.
/// Executor's thread only; the executor outlives it.
class CallFaultInjector {
 public:
  /// Carries a call out; the responder that it is given carries the answer
  /// back, at once or later.
  using Arrive = std::function<void(http::Responder)>;

  CallFaultInjector(Executor& executor, CallFaultOptions options, uint64_t seed)
      : executor_(executor), options_(options), random_(seed) {}

  void Deliver(Arrive arrive, http::Responder respond,
               Millis transit_delay = Millis(0)) {
    Millis way = Latency() + (stopped_ ? Millis(0) : transit_delay);
    const auto strikes = [this](size_t share) {
      return !stopped_ && random_.Percent(share);
    };
    if (strikes(options_.refused_percent))
      return Answer(way, respond, {.status = 503});
    const bool late = strikes(options_.delayed_percent);
    if (late) way += random_.Between(Millis(0), options_.max_execution_delay);
    http::Responder back = [this, way_back = Latency(),
                            respond](http::Response response) {
      Answer(way_back, respond, std::move(response));
    };
    if (late || strikes(options_.dropped_reply_percent)) {
      // The connection stays open, until its caller has surely given up.
      constexpr Millis kForgotten{10000};
      Answer(kForgotten, respond, {.status = 504});
      back = [](const http::Response&) {};
    }
    executor_.RunAfter(way, [arrive = std::move(arrive),
                             back = std::move(back)] { arrive(back); });
  }
  /// Only short delays from now on.
  void StopInjecting() { stopped_ = true; }

 private:
  Millis Latency() {
    if (stopped_) return options_.min_latency;
    return random_.Percent(options_.slow_percent)
               ? random_.Between(options_.max_latency,
                                 options_.max_slow_latency)
               : random_.Between(options_.min_latency, options_.max_latency);
  }
  void Answer(Millis way, const http::Responder& respond,
              http::Response response) {
    executor_.RunAfter(
        way, [respond, response = std::move(response)] { respond(response); });
  }

  Executor& executor_;
  CallFaultOptions options_;
  SeededRandom random_;
  bool stopped_ = false;
};

}  // namespace mimosarail::soak
