#include "src/requests/task_words.h"

#include <algorithm>

#include "src/libs/base/digest.h"

namespace mimosarail::requests {
namespace {

/// Ends that leave open whether and where the task runs.
bool Open(wire::TaskEnd::type end) {
  return end == wire::TaskEnd::kMoved || end == wire::TaskEnd::kLapseAssumed ||
         end == wire::TaskEnd::kNotStarted;
}

}  // namespace

bool WordsSummary::done() const {
  return static_cast<int32_t>(ends.size()) == tasks &&
         std::all_of(ends.begin(), ends.end(), [](const auto& entry) {
           return entry.second.result == wire::TaskEnd::kDone;
         });
}

bool WordsSummary::broken() const {
  return static_cast<int32_t>(ends.size()) == tasks && !done();
}

WordsSummary SummariseWords(
    const std::map<std::string, wire::FindReply>& answers) {
  WordsSummary out;
  for (const auto& [entry, reply] : answers) {
    for (const wire::TaskWord& word : reply.tasks) {
      out.any = true;
      out.tasks = std::max(word.tasks, 1);
      if (!word.ended) {
        out.running = true;
        continue;
      }
      if (Open(word.report.result)) continue;
      wire::ReportCall& end = out.ends[word.index];
      const bool fresh = end.request_id.empty();
      if (fresh || word.report.result == wire::TaskEnd::kDone) {
        end = word.report;
      }
    }
  }
  return out;
}

wire::Outcome DoneOutcome(const WordsSummary& summary) {
  wire::Outcome outcome;
  outcome.verdict = wire::Verdict::kDone;
  for (const auto& [index, report] : summary.ends) {
    outcome.answer += report.answer;
    outcome.ran_ms = std::max(outcome.ran_ms, report.ran_ms);
  }
  outcome.digest = Digest(outcome.answer);
  return outcome;
}

}  // namespace mimosarail::requests
