#include "src/jobentry/submission_intake.h"

#include <algorithm>
#include <utility>

namespace mimosarail::jobentry {
namespace {

/// Time since the last turn that counts at most. After an idle time, a burst of
/// submissions would otherwise be handled in one long turn.
constexpr Millis kMaxTimeOfOthers{30};

}  // namespace

void SubmissionIntake::Add(Submission submission) {
  const int32_t priority = submission.call.job.queue.priority;
  waiting_[priority].push_back(std::move(submission));
  ScheduleTurn();
}

size_t SubmissionIntake::size() const {
  size_t out = 0;
  for (const auto& [priority, queue] : waiting_) out += queue.size();
  return out;
}

void SubmissionIntake::ScheduleTurn() {
  if (std::exchange(turn_scheduled_, true)) return;
  executor_.Post([this] { Turn(); });
}

void SubmissionIntake::Turn() {
  turn_scheduled_ = false;
  const TimePoint start = executor_.Now();
  DropExpired(start);
  // What has passed since the last turn is the time of all other work.
  const std::chrono::duration<double> others =
      std::min<Clock::duration>(start - last_turn_end_, kMaxTimeOfOthers);
  const double factor = options_.time_share / (1 - options_.time_share);
  while (!waiting_.empty()) {
    HandleNext();
    if (executor_.Now() - start >= factor * others) break;
  }
  last_turn_end_ = executor_.Now();
  if (!waiting_.empty()) ScheduleTurn();
}

void SubmissionIntake::DropExpired(TimePoint now) {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    Queue& queue = at->second;
    while (!queue.empty() && now - queue.front().received > options_.max_wait) {
      Submission expired = std::move(queue.front());
      queue.pop_front();
      handlers_.drop(std::move(expired));
    }
    at = queue.empty() ? waiting_.erase(at) : std::next(at);
  }
}

void SubmissionIntake::HandleNext() {
  const auto first = waiting_.begin();
  Submission next = std::move(first->second.front());
  first->second.pop_front();
  if (first->second.empty()) waiting_.erase(first);
  handlers_.handle(std::move(next));
}

}  // namespace mimosarail::jobentry
