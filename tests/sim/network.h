#pragma once

#include <random>
#include <set>
#include <string>
#include <utility>

#include "src/libs/base/result.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::sim {

/// Delivers messages between simulated processes, and delays, duplicates, loses
/// or blocks them as configured.
class Network {
 public:
  Network(ManualClock& clock, uint64_t seed) : clock_(clock), random_(seed) {}

  void BlockLink(const std::string& from, const std::string& to) {
    blocked_links_.emplace(from, to);
  }
  void UnblockLink(const std::string& from, const std::string& to) {
    blocked_links_.erase({from, to});
  }
  void UnblockAllLinks() { blocked_links_.clear(); }
  /// How many of a thousand messages are lost, delivered twice, or delayed by
  /// up to 4.2 s.
  int lost_per_mille = 0;
  int duplicated_per_mille = 0;
  int delayed_per_mille = 0;

  void Send(const std::string& from, const std::string& to, Executor& executor,
            std::function<void()> on_arrival, bool may_duplicate) {
    if (Chance(lost_per_mille)) return;
    Deliver(from, to, executor, on_arrival);
    if (may_duplicate && Chance(duplicated_per_mille)) {
      Deliver(from, to, executor, on_arrival);
    }
  }

  /// Makes one call: sends the request, runs `handle` at the receiver, and
  /// calls `done` with its reply or a timeout. A null `receiver` stands for a
  /// process that has ended: the call fails with kUnavailable.
  template <typename Reply>
  void Call(const std::string& from, Executor& caller, const std::string& to,
            Executor* receiver, Millis timeout,
            std::function<void(std::function<void(Reply)>)> handle,
            Callback<Reply> done) {
    auto pending_done = std::make_shared<Callback<Reply>>(std::move(done));
    const auto finish = [pending_done](Result<Reply> result) {
      if (!*pending_done) return;
      const auto callback = std::exchange(*pending_done, nullptr);
      callback(std::move(result));
    };
    caller.RunAfter(timeout, [finish] { finish(Errc::kTimeout); });
    if (receiver == nullptr) {
      caller.RunAfter(Millis(1), [finish] { finish(Errc::kUnavailable); });
      return;
    }
    Send(
        from, to, *receiver,
        [this, from, to, &caller, handle = std::move(handle), finish] {
          handle([this, from, to, &caller, finish](Reply reply) {
            Send(
                to, from, caller,
                [finish, reply = std::move(reply)] { finish(reply); }, false);
          });
        },
        true);
  }

  bool Chance(int per_mille) {
    return static_cast<int>(random_() % 1000) < per_mille;
  }

 private:
  void Deliver(const std::string& from, const std::string& to,
               Executor& executor, const std::function<void()>& on_arrival) {
    const bool delayed = Chance(delayed_per_mille);
    const auto delay =
        Millis(delayed ? 200 + random_() % 4000 : 1 + random_() % 3);
    clock_.At(clock_.now() + delay, [this, from, to, &executor, on_arrival] {
      if (!blocked_links_.contains({from, to})) executor.Post(on_arrival);
    });
  }

  ManualClock& clock_;
  std::mt19937_64 random_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
};

}  // namespace mimosarail::sim
