#pragma once

#include <map>
#include <optional>
#include <string>

#include "requests_types.h"

namespace mimosarail::requests {

/// What the controllers report about the tasks of a request whose owner is
/// dead.
struct TaskSummary {
  bool any = false;      ///< Some controller knows a task of the request.
  bool running = false;  ///< Some task is running.
  int32_t tasks = 1;     ///< Number of tasks of the request.
  /// Results by task index. A complete answer takes precedence over any other
  /// result of the same task.
  std::map<int32_t, wire::ReportCall> results;

  /// Every task has a complete answer.
  bool done() const;
  /// Every task has a result, and at least one has no complete answer.
  bool failed() const;
};

/// Pure function. Thread-safe.
TaskSummary SummarizeTasks(
    const std::map<std::string, wire::FindReply>& answers);

/// Concatenates the answers of all tasks in index order. Precondition:
/// summary.done().
wire::Outcome CombineAnswers(const TaskSummary& summary);

}  // namespace mimosarail::requests
