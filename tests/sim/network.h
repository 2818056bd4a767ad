#pragma once

#include <random>
#include <set>
#include <string>
#include <utility>

#include "src/libs/base/result.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::sim {

/// Carries messages between simulated processes; may delay, duplicate or lose
/// them.
class Network {
 public:
  Network(ManualClock& clock, uint64_t seed) : clock_(clock), random_(seed) {}

  void BlockLink(const std::string& from, const std::string& to) {
    blocked_links_.emplace(from, to);
  }
  void Heal(const std::string& from, const std::string& to) {
    blocked_links_.erase({from, to});
  }
  void HealAll() { blocked_links_.clear(); }
  /// Of a thousand messages, how many are lost, delivered twice, or delayed by
  /// up to 4.2 s.
  int lost_per_mille = 0;
  int duplicated_per_mille = 0;
  int delayed_per_mille = 0;

  void Send(const std::string& from, const std::string& to, Executor& executor,
            std::function<void()> arrive, bool may_duplicate) {
    if (Chance(lost_per_mille)) return;
    Deliver(from, to, executor, arrive);
    if (may_duplicate && Chance(duplicated_per_mille)) {
      Deliver(from, to, executor, arrive);
    }
  }

  /// Makes one call: sends the request and waits for the reply until the
  /// timeout. `serve` runs at the receiver. A null `receiver` is a process that
  /// has ended: the call fails at once.
  template <typename Reply>
  void Call(const std::string& from, Executor& caller, const std::string& to,
            Executor* receiver, Millis timeout,
            std::function<void(std::function<void(Reply)>)> serve,
            Callback<Reply> done) {
    auto open = std::make_shared<Callback<Reply>>(std::move(done));
    const auto finish = [open](Result<Reply> result) {
      if (!*open) return;
      const auto callback = std::exchange(*open, nullptr);
      callback(std::move(result));
    };
    caller.RunAfter(timeout, [finish] { finish(Errc::kTimeout); });
    if (receiver == nullptr) {
      caller.RunAfter(Millis(1), [finish] { finish(Errc::kUnavailable); });
      return;
    }
    Send(
        from, to, *receiver,
        [this, from, to, &caller, serve = std::move(serve), finish] {
          serve([this, from, to, &caller, finish](Reply reply) {
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
               Executor& executor, const std::function<void()>& arrive) {
    const bool delayed = Chance(delayed_per_mille);
    const auto delay =
        Millis(delayed ? 200 + random_() % 4000 : 1 + random_() % 3);
    clock_.At(clock_.now() + delay, [this, from, to, &executor, arrive] {
      if (!blocked_links_.contains({from, to})) executor.Post(arrive);
    });
  }

  ManualClock& clock_;
  std::mt19937_64 random_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
};

}  // namespace mimosarail::sim
