#include "src/requests/resolution.h"

#include <algorithm>

namespace mimosarail::requests {
namespace {

const wire::TaskReport* FindTask(const wire::FindReply& reply,
                                 const ResolutionInput& input) {
  for (const wire::TaskReport& task : reply.tasks) {
    if (task.attempt == input.attempt && task.index == input.index) {
      return &task;
    }
  }
  return nullptr;
}

/// Whether the result only says that another entry may know more.
bool IsInconclusive(const wire::TaskReport& task) {
  return task.ended && (task.report.result == wire::TaskEnd::kMoved ||
                        task.report.result == wire::TaskEnd::kLapseAssumed);
}

/// Whether each listed upstream is attached to an entry that answered. That
/// entry has read the inventory under a term that fences all starts of older
/// terms.
bool UpstreamsCovered(const ResolutionInput& input) {
  std::set<std::string> attached;
  for (const auto& [entry, reply] : *input.answers) {
    attached.insert(reply.attached.begin(), reply.attached.end());
  }
  return std::includes(attached.begin(), attached.end(),
                       input.listed_upstreams.begin(),
                       input.listed_upstreams.end());
}

}  // namespace

Resolution ResolveTask(const ResolutionInput& input) {
  Resolution out;
  bool began = input.began;
  for (const auto& [entry, reply] : *input.answers) {
    const wire::TaskReport* task = FindTask(reply, input);
    if (task == nullptr) continue;
    if (IsInconclusive(*task)) {
      began |= task->report.began;
      continue;
    }
    if (task->ended) {
      out.result = ResolutionResult::kEnded;
      out.report = task->report;
      return out;
    }
    out.result = ResolutionResult::kRunning;
    out.controller = entry;
  }
  if (out.result == ResolutionResult::kRunning) return out;
  // Without the fence, an entry that has just answered that it does not have
  // the task could still receive a delayed call and start it.
  if (!input.fenced) return out;
  if (UpstreamsCovered(input) && input.removed_upstream_leases_expired) {
    // An upstream keeps results in its inventory until the owner has received
    // them, so a task that is absent everywhere never started. The exceptions
    // are an upstream that was removed together with its inventory and one
    // that lost it in a crash.
    out.result = input.upstream_removed || began
                     ? ResolutionResult::kNotRunning
                     : ResolutionResult::kNotStarted;
    out.upstream_lost = began;
    return out;
  }
  if (input.lease_expiry_proved) out.result = ResolutionResult::kNotRunning;
  return out;
}

}  // namespace mimosarail::requests
