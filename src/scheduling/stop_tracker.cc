#include "src/scheduling/stop_tracker.h"

namespace mimosarail::scheduling {

void StopTracker::NoteOrdered(UpstreamIndex upstream, const TaskId& task,
                              int64_t attempt, StopReason reason,
                              TimePoint now) {
  runs_[upstream][{task, attempt}] = {
      .reason = reason, .ordered = true, .due = now + kRetryInterval};
}

void StopTracker::NoteFailed(UpstreamIndex upstream, const TaskId& task,
                             int64_t attempt, TimePoint now) {
  const auto runs = runs_.find(upstream);
  if (runs == runs_.end()) return;
  const auto run = runs->second.find({task, attempt});
  if (run != runs->second.end()) {
    run->second.due = now + kFailedStopRetryInterval;
  }
}

std::optional<StopOrder> StopTracker::NoteListed(
    UpstreamIndex upstream, const ports::RunningTask& running,
    const Ending& ending, TimePoint now) {
  // Waits for the end of a run only if its stop was really ordered. That may
  // not be so: a new leader may see the run only after its job was cancelled,
  // or an upstream may execute a start seconds late. If such a run were treated
  // as being stopped, it would continue for two more reports, which is 2 s or
  // more.
  const auto [at, inserted] =
      runs_[upstream].try_emplace({running.task, running.attempt});
  StopState& state = at->second;
  if (inserted) state.reason = ending.reason;
  if (inserted && ending.without_stop) state.due = now + kRetryInterval;
  if (now < state.due) return std::nullopt;
  const bool orphaned = !state.ordered;
  state.ordered = true;
  state.due = now + kRetryInterval;
  return StopOrder{.upstream = upstream,
                   .task = running.task,
                   .attempt = running.attempt,
                   .reason = state.reason,
                   .orphaned = orphaned};
}

void StopTracker::Remove(UpstreamIndex upstream, const TaskId& task,
                         int64_t attempt) {
  const auto runs = runs_.find(upstream);
  if (runs != runs_.end()) runs->second.erase({task, attempt});
}

}  // namespace mimosarail::scheduling
