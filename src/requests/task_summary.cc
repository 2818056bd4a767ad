#include "src/requests/task_summary.h"

#include <algorithm>

#include "src/libs/base/digest.h"

namespace mimosarail::requests {
namespace {

/// Whether a report with this result leaves open how the task ended: the task
/// may run elsewhere, or this attempt of it never started.
bool LacksOutcome(wire::TaskEnd::type end) {
  return end == wire::TaskEnd::kMoved || end == wire::TaskEnd::kLapseAssumed ||
         end == wire::TaskEnd::kNotStarted;
}

}  // namespace

bool TaskSummary::done() const {
  return static_cast<int32_t>(results.size()) == tasks &&
         std::all_of(
             results.begin(), results.end(), [](const auto& index_and_report) {
               return index_and_report.second.result == wire::TaskEnd::kDone;
             });
}

bool TaskSummary::failed() const {
  return static_cast<int32_t>(results.size()) == tasks && !done();
}

TaskSummary SummarizeTasks(
    const std::map<std::string, wire::FindReply>& answers) {
  TaskSummary out;
  for (const auto& [entry, reply] : answers) {
    for (const wire::TaskReport& task : reply.tasks) {
      out.any = true;
      out.tasks = std::max(task.tasks, 1);
      if (!task.ended) {
        out.running = true;
        continue;
      }
      if (LacksOutcome(task.report.result)) continue;
      wire::ReportCall& result = out.results[task.index];
      const bool first = result.request_id.empty();
      if (first || task.report.result == wire::TaskEnd::kDone) {
        result = task.report;
      }
    }
  }
  return out;
}

wire::Outcome CombineAnswers(const TaskSummary& summary) {
  wire::Outcome outcome;
  outcome.verdict = wire::Verdict::kDone;
  for (const auto& [index, report] : summary.results) {
    outcome.answer += report.answer;
    outcome.ran_ms = std::max(outcome.ran_ms, report.ran_ms);
  }
  outcome.digest = Digest(outcome.answer);
  return outcome;
}

}  // namespace mimosarail::requests
