#include "src/jobentry/waiting_calls.h"

#include <utility>

namespace mimosarail::jobentry {

void WaitingCalls::Wait(Millis timeout, std::function<void()> resume) {
  const int64_t number = ++last_number_;
  waiting_.emplace(number, std::move(resume));
  executor_.RunAfter(timeout, [this, number] {
    const auto call = waiting_.extract(number);
    if (!call.empty()) call.mapped()();
  });
}

void WaitingCalls::ReleaseAll() {
  for (const auto& [number, resume] : std::exchange(waiting_, {})) resume();
}

}  // namespace mimosarail::jobentry
