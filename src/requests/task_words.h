#pragma once

#include <map>
#include <optional>
#include <string>

#include "requests_types.h"

namespace mimosarail::requests {

/// What the controllers' words say of a request whose owner is gone.
struct WordsSummary {
  bool any = false;
  bool running = false;
  int32_t tasks = 1;
  /// Ends by index; a whole answer outweighs any other end.
  std::map<int32_t, wire::ReportCall> ends;

  /// Every task has its whole answer.
  bool done() const;
  /// Every task has an end, and one of them is not a whole answer.
  bool broken() const;
};

/// Pure; safe from any thread.
WordsSummary SummariseWords(
    const std::map<std::string, wire::FindReply>& answers);

/// The answers of all tasks, in order. Precondition: summary.done().
wire::Outcome DoneOutcome(const WordsSummary& summary);

}  // namespace mimosarail::requests
