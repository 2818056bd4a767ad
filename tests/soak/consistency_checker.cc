#include "tests/soak/consistency_checker.h"

#include <iterator>

namespace mimosarail::soak {

std::string Payload(JobId id) { return "payload of " + JobIdText(id); }

std::string ConsistencyChecker::ElapsedText(TimePoint at) const {
  const auto ms = std::chrono::duration_cast<Millis>(at - start_).count();
  return std::to_string(ms) + " ms";
}

std::string ConsistencyChecker::Describe(JobId id) const {
  const JobRecord& job = jobs_.at(id);
  const std::string text = "job " + JobIdText(id) + ", accepted by ";
  if (job.accepted_by.empty()) return text + "nobody";
  return text + job.accepted_by + " at " + ElapsedText(job.accepted_at);
}

void ConsistencyChecker::Log(const std::string& what) {
  log_ << ElapsedText(Clock::now()) << ": " << what << std::endl;
}

void ConsistencyChecker::AddFinding(const std::string& what) {
  findings_.push_back(ElapsedText(Clock::now()) + ": " + what);
  Log("FINDING " + what);
}

bool ConsistencyChecker::Done(JobId job, int32_t step) const {
  for (int32_t i = 0; i < jobs_.at(job).tasks[static_cast<size_t>(step)]; ++i) {
    const auto facts = tasks_.find({.job = job, .step = step, .index = i});
    if (facts == tasks_.end() || !facts->second.done) return false;
  }
  return true;
}

void ConsistencyChecker::OnState(JobId id, const std::string& state,
                                 const std::string& entry) {
  const auto told = [&](const std::string& what) {
    AddFinding("job " + JobIdText(id) + " shown as " + state + " by " + entry +
               ": " + what);
  };
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return told("nobody handed it in");
  JobRecord& job = found->second;
  if (!job.final_state.empty() && state != job.final_state) {
    return told("was " + job.final_state + " before");
  }
  if (state == "queued" || state == "running") return;
  job.final_state = state;
  if (state == "canceled") {
    if (!job.cancel_asked) told("nobody cancelled it");
    return;
  }
  if (state != "complete") return told("no task failed");
  for (int32_t step = 0; step < std::ssize(job.tasks); ++step) {
    if (!Done(id, step)) told("step " + std::to_string(step) + " is not done");
  }
}

void ConsistencyChecker::OnStart(const std::string& upstream,
                                 const TaskId& task,
                                 const std::string& payload) {
  const std::string what = TaskIdText(task) + " on " + upstream;
  const auto found = jobs_.find(task.job);
  const auto step = static_cast<size_t>(task.step);
  const bool asked = found != jobs_.end() && task.occurrence == 0 &&
                     step < found->second.tasks.size() && task.index >= 0 &&
                     task.index < found->second.tasks[step] &&
                     payload == Payload(task.job);
  if (!asked) return AddFinding("nobody asked for it: " + what);
  found->second.started = true;
  if (step > 0 && !Done(task.job, task.step - 1)) {
    AddFinding("before its turn: " + what);
  }
  TaskFacts& facts = tasks_[task];
  if (!facts.runs_on.empty()) {
    AddFinding("two runs: " + what + " and " + *facts.runs_on.begin());
  }
  if (facts.noted) {
    AddFinding("started after its end was taken note of: " + what);
  }
  facts.runs_on.insert(upstream);
  if (!facts.done) return;
  for (auto& [name, ends] : unacknowledged_) {
    for (auto& [number, end] : ends) {
      if (end.task == task) end.started_again = true;
    }
  }
}

void ConsistencyChecker::OnEnd(const std::string& upstream, const TaskId& task,
                               int64_t done) {
  TaskFacts& facts = tasks_[task];
  facts.runs_on.erase(upstream);
  if (done == 0) return;
  facts.done = true;
  unacknowledged_[upstream][done] = {.task = task};
}

void ConsistencyChecker::OnAcknowledged(const std::string& upstream,
                                        int64_t number) {
  auto& ends = unacknowledged_[upstream];
  while (!ends.empty() && ends.begin()->first <= number) {
    const UnacknowledgedEnd& end = ends.begin()->second;
    tasks_[end.task].noted = true;
    if (end.started_again) {
      AddFinding("its end was taken note of after another start: " +
                 TaskIdText(end.task));
    }
    ends.erase(ends.begin());
  }
}

}  // namespace mimosarail::soak
