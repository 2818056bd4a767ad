#include "src/requests/settlement.h"

#include <algorithm>

namespace mimosarail::requests {
namespace {

const wire::TaskWord* FindWord(const wire::FindReply& reply,
                               const SettlementInput& input) {
  for (const wire::TaskWord& word : reply.tasks) {
    if (word.attempt == input.attempt && word.index == input.index) {
      return &word;
    }
  }
  return nullptr;
}

/// Words that only say "look elsewhere".
bool SaysNothing(const wire::TaskWord& word) {
  return word.ended && (word.report.result == wire::TaskEnd::kMoved ||
                        word.report.result == wire::TaskEnd::kLapseAssumed);
}

/// Every listed upstream is attached by an entry that answered: its inventory
/// was read under a term that fences all starts of older ones.
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
    const wire::TaskWord* word = FindWord(reply, input);
    if (word == nullptr) continue;
    if (SaysNothing(*word)) {
      began |= word->report.began;
      continue;
    }
    if (word->ended) {
      out.result = SettlementResult::kEnded;
      out.report = word->report;
      return out;
    }
    out.result = SettlementResult::kHeld;
    out.holder = entry;
  }
  if (out.result == SettlementResult::kHeld) return out;
  // Without the fence an entry that has just said "not here" could still take
  // a delayed call and start the task.
  if (!input.fenced) return out;
  if (UpstreamsCovered(input) && input.vanished_surely_lapsed) {
    // Ends stay in an upstream's inventory until the owner has taken them, so
    // absence everywhere means that it never started, unless an upstream
    // took its inventory away with it, or crashed and came back without.
    out.result = input.upstream_vanished || began
                     ? SettlementResult::kGone
                     : SettlementResult::kNotStarted;
    return out;
  }
  if (input.lapse_proved) out.result = SettlementResult::kGone;
  return out;
}

}  // namespace mimosarail::requests
