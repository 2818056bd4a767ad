#include "src/requests/settlement.h"

#include <algorithm>

namespace mimosarail::requests {
namespace {

const wire::TaskWord* FindTask(const wire::FindReply& reply,
                               const SettlementInput& input) {
  for (const wire::TaskWord& task : reply.tasks) {
    if (task.attempt == input.attempt && task.index == input.index) {
      return &task;
    }
  }
  return nullptr;
}

/// Whether the result only says that another entry may know more.
bool IsInconclusive(const wire::TaskWord& task) {
  return task.ended && (task.report.result == wire::TaskEnd::kMoved ||
                        task.report.result == wire::TaskEnd::kLapseAssumed);
}

/// Whether each listed upstream is attached to an entry that answered. That
/// entry has read the inventory under a term that fences all starts of older
/// terms.
bool UpstreamsCovered(const SettlementInput& input) {
  std::set<std::string> attached;
  for (const auto& [entry, reply] : *input.answers) {
    attached.insert(reply.attached.begin(), reply.attached.end());
  }
  return std::includes(attached.begin(), attached.end(),
                       input.listed_upstreams.begin(),
                       input.listed_upstreams.end());
}

}  // namespace

Settlement Settle(const SettlementInput& input) {
  Settlement out;
  bool began = input.began;
  for (const auto& [entry, reply] : *input.answers) {
    const wire::TaskWord* task = FindTask(reply, input);
    if (task == nullptr) continue;
    if (IsInconclusive(*task)) {
      began |= task->report.began;
      continue;
    }
    if (task->ended) {
      out.result = SettlementResult::kEnded;
      out.report = task->report;
      return out;
    }
    out.result = SettlementResult::kHeld;
    out.holder = entry;
  }
  if (out.result == SettlementResult::kHeld) return out;
  // Without the fence, an entry that has just answered that it does not have
  // the task could still receive a delayed call and start it.
  if (!input.fenced) return out;
  if (UpstreamsCovered(input) && input.removed_upstream_leases_expired) {
    // An upstream keeps results in its inventory until the owner has received
    // them, so a task that is absent everywhere never started. The exceptions
    // are an upstream that was removed together with its inventory and one
    // that lost it in a crash.
    out.result = input.upstream_vanished || began
                     ? SettlementResult::kGone
                     : SettlementResult::kNotStarted;
    return out;
  }
  if (input.lapse_proved) out.result = SettlementResult::kGone;
  return out;
}

}  // namespace mimosarail::requests
