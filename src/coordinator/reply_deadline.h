#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "src/libs/base/executor.h"

namespace mimosarail::coordinator {

/// Wraps `done` so that it runs once: with the first reply, or with
/// `timeout_reply` if there is none within `deadline`. Control thread only.
template <typename Reply>
std::function<void(Reply)> WithReplyDeadline(Executor& executor,
                                             Millis deadline,
                                             std::function<void(Reply)> done,
                                             Reply timeout_reply) {
  auto answered = std::make_shared<bool>(false);
  auto once = [answered, done = std::move(done)](const Reply& reply) {
    if (std::exchange(*answered, true)) return;
    done(reply);
  };
  executor.RunAfter(deadline, [once, timeout_reply = std::move(timeout_reply)] {
    once(timeout_reply);
  });
  return once;
}

}  // namespace mimosarail::coordinator
