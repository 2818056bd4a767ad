#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <utility>

#include "src/libs/base/executor.h"
#include "src/libs/http/server.h"

namespace mimosarail::soak {

/// Random numbers that follow from a seed. Not thread-safe.
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

/// Delays of calls to a fake server, and shares of faults in percent.
struct CallFaultOptions {
  Millis min_latency{5};
  Millis max_latency{40};
  /// Share of calls that take up to `max_slow_latency` to arrive, so that a
  /// later one on another connection overtakes them.
  size_t slow_percent = 0;
  Millis max_slow_latency{40};
  /// Share of calls that are refused without effect.
  size_t refused_percent = 1;
  /// Share of calls that are executed without a reply.
  size_t dropped_reply_percent = 1;
  /// Share of calls that are executed after a delay of up to
  /// `max_execution_delay`, without a reply.
  size_t delayed_percent = 1;
  Millis max_execution_delay{2500};
};

/// Delays calls, and refuses, drops or postpones some of them; all decisions
/// follow from the seed. Executor's thread only; the executor must outlive the
/// object.
class CallFaultInjector {
 public:
  /// Executes a call; the responder sends the reply, at once or later.
  using Execute = std::function<void(http::Responder)>;

  CallFaultInjector(Executor& executor, CallFaultOptions options, uint64_t seed)
      : executor_(executor), options_(options), random_(seed) {}

  void Deliver(Execute execute, http::Responder respond,
               Millis transit_delay = Millis(0)) {
    Millis delay = Latency() + (stopped_ ? Millis(0) : transit_delay);
    const auto injects = [this](size_t share) {
      return !stopped_ && random_.Percent(share);
    };
    if (injects(options_.refused_percent)) {
      return Answer(delay, respond, {.status = 503});
    }
    const bool delayed = injects(options_.delayed_percent);
    if (delayed) {
      delay += random_.Between(Millis(0), options_.max_execution_delay);
    }
    http::Responder reply = [this, reply_delay = Latency(),
                             respond](http::Response response) {
      Answer(reply_delay, respond, std::move(response));
    };
    if (delayed || injects(options_.dropped_reply_percent)) {
      // The connection stays open until the caller has certainly timed out.
      constexpr Millis kDroppedReplyTimeout{10000};
      Answer(kDroppedReplyTimeout, respond, {.status = 504});
      reply = [](const http::Response&) {};
    }
    executor_.RunAfter(delay, [execute = std::move(execute),
                               reply = std::move(reply)] { execute(reply); });
  }
  /// Injects only the minimum delay from now on.
  void StopInjecting() { stopped_ = true; }

 private:
  Millis Latency() {
    if (stopped_) return options_.min_latency;
    return random_.Percent(options_.slow_percent)
               ? random_.Between(options_.max_latency,
                                 options_.max_slow_latency)
               : random_.Between(options_.min_latency, options_.max_latency);
  }
  void Answer(Millis delay, const http::Responder& respond,
              http::Response response) {
    executor_.RunAfter(delay, [respond, response = std::move(response)] {
      respond(response);
    });
  }

  Executor& executor_;
  CallFaultOptions options_;
  SeededRandom random_;
  bool stopped_ = false;
};

}  // namespace mimosarail::soak
