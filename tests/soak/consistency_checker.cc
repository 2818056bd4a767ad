#include "tests/soak/consistency_checker.h"

#include <algorithm>
#include <iterator>

#include "tests/soak/account_keys.h"

namespace mimosarail::soak {

std::string Payload(JobId id) { return "payload of " + JobIdText(id); }

std::string ConsistencyChecker::ElapsedText(TimePoint at) const {
  const auto ms = std::chrono::duration_cast<Millis>(at - start_).count();
  return std::to_string(ms) + " ms";
}

std::string ConsistencyChecker::Describe(JobId id) const {
  const JobRecord& job = jobs_.at(id);
  const std::string text = "job " + JobIdText(id) + ", accepted by ";
  if (job.accepted_by.empty()) return text + "no entry";
  return text + job.accepted_by + " at " + ElapsedText(job.accepted_at);
}

void ConsistencyChecker::Log(const std::string& what) {
  log_ << ElapsedText(Clock::now()) << ": " << what << std::endl;
}

void ConsistencyChecker::AddFinding(const std::string& what) {
  findings_.push_back(ElapsedText(Clock::now()) + ": " + what);
  Log("FINDING " + what);
}

bool ConsistencyChecker::IsStepDone(JobId job, int32_t step) const {
  for (int32_t i = 0; i < jobs_.at(job).tasks[static_cast<size_t>(step)]; ++i) {
    const auto status = tasks_.find({.job = job, .step = step, .index = i});
    if (status == tasks_.end() || !status->second.done) return false;
  }
  return true;
}

int ConsistencyChecker::MostCrashes(JobId id) const {
  int most = 0;
  for (auto task = tasks_.lower_bound({.job = id});
       task != tasks_.end() && task->first.job == id; ++task) {
    most = std::max(most, task->second.crashes);
  }
  return most;
}

void ConsistencyChecker::OnState(JobId id, const std::string& state,
                                 const std::string& entry, TimePoint sent) {
  const auto add_finding = [&](const std::string& what) {
    AddFinding("job " + JobIdText(id) + " reported as " + state + " by " +
               entry + " to a call sent at " + ElapsedText(sent) + ": " + what);
  };
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return add_finding("it was never submitted");
  JobRecord& job = found->second;
  const bool final = state != "queued" && state != "running";
  // The answers to concurrent calls may arrive in either order.
  const bool concurrent = sent < job.final_reported_at;
  if (!job.final_state.empty() && state != job.final_state &&
      (final || !concurrent)) {
    return add_finding("was " + job.final_state + " before");
  }
  if (!final) return;
  if (job.final_state.empty()) job.final_reported_at = Clock::now();
  job.final_state = state;
  if (state == "canceled") {
    if (!job.cancel_requested) add_finding("no caller cancelled it");
    return;
  }
  // No task fails or crashes upstreams in this test, so any other final state
  // is wrong.
  if (state != "complete") {
    return add_finding(
        "no task failed, and none caused a crash; crashes "
        "during runs of one task: " +
        std::to_string(MostCrashes(id)));
  }
  for (int32_t step = 0; step < std::ssize(job.tasks); ++step) {
    if (!IsStepDone(id, step)) {
      add_finding("step " + std::to_string(step) + " is not done");
    }
  }
}

void ConsistencyChecker::OnStart(const std::string& upstream,
                                 const TaskId& task,
                                 const std::string& payload) {
  const std::string what = TaskIdText(task) + " on " + upstream;
  const auto found = jobs_.find(task.job);
  const auto step = static_cast<size_t>(task.step);
  const bool requested = found != jobs_.end() && task.occurrence == 0 &&
                         step < found->second.tasks.size() && task.index >= 0 &&
                         task.index < found->second.tasks[step] &&
                         payload == Payload(task.job);
  if (!requested) return AddFinding("started without being requested: " + what);
  if (found->second.denied) {
    AddFinding("started although a caller was told that it does not exist: " +
               what);
  }
  found->second.started = true;
  if (step > 0 && !IsStepDone(task.job, task.step - 1)) {
    AddFinding("started before the previous step was done: " + what);
  }
  TaskStatus& status = tasks_[task];
  if (!status.runs_on.empty()) {
    AddFinding("task runs twice: " + what + " and " + *status.runs_on.begin());
  }
  if (status.acknowledged) {
    AddFinding("started after its completion was acknowledged: " + what);
  }
  if (status.runs_on.insert(upstream).second) ++running_[AccountOf(task.job)];
  CheckAccountLimit(task, what);
  if (!status.done) return;
  for (auto& [name, completions] : unacknowledged_) {
    for (auto& [number, completion] : completions) {
      if (completion.task == task) completion.started_again = true;
    }
  }
}

void ConsistencyChecker::CheckAccountLimit(const TaskId& task,
                                           const std::string& what) {
  const std::string account = AccountOf(task.job);
  if (!HasLimit(account)) return;
  const int millicores = running_[account] * kTaskMillicores;
  if (millicores <= kAccountMillicores) return;
  AddFinding("limit of account " + account + " exceeded by " + what + ": " +
             std::to_string(millicores));
}

void ConsistencyChecker::OnEnd(const std::string& upstream, const TaskId& task,
                               int64_t completion_number) {
  TaskStatus& status = tasks_[task];
  if (status.runs_on.erase(upstream) > 0) --running_[AccountOf(task.job)];
  if (completion_number == 0) return;
  status.done = true;
  unacknowledged_[upstream][completion_number] = {.task = task};
}

void ConsistencyChecker::OnAcknowledged(const std::string& upstream,
                                        int64_t completion_number) {
  auto& completions = unacknowledged_[upstream];
  while (!completions.empty() &&
         completions.begin()->first <= completion_number) {
    const UnacknowledgedCompletion& completion = completions.begin()->second;
    tasks_[completion.task].acknowledged = true;
    if (completion.started_again) {
      AddFinding("completion acknowledged after another start: " +
                 TaskIdText(completion.task));
    }
    completions.erase(completions.begin());
  }
}

}  // namespace mimosarail::soak
