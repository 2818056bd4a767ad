// The part of Coordinator that loads the state stored by earlier leaders.

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/coordinator/coordinator.h"
#include "src/coordinator/job_table.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

/// Delay before a failed read of the store is retried.
constexpr Millis kStoreRetryDelay{150};

/// Applies a completion that was stored while the records of its job could not
/// be read. Returns whether the job has failed with it.
bool ApplyUnmatchedCompletion(Job& job, const TaskId& task, int64_t attempt,
                              bool failed) {
  if (job.final()) return false;
  const wire::StepSpec& step = job.step(task.step);
  job.NoteStarted();
  if (failed) {
    const bool exhausted = job.CountFailure(task, attempt) &&
                           !step.long_running &&
                           job.Failures(task) >= job.queue().max_attempts;
    if (exhausted) job.SetState(JobState::kFailed);
    return exhausted;
  }
  if (step.long_running) return false;
  // The completion of one member completes its whole gang.
  const int32_t first_index = step.gang ? 0 : task.index;
  const int32_t last_index = step.gang ? step.tasks - 1 : task.index;
  for (int32_t i = first_index; i <= last_index; ++i) {
    job.SetPhase({task.job, task.occurrence, task.step, i}, TaskPhase::kDone);
  }
  if (job.AllDone()) job.SetState(JobState::kComplete);
  return false;
}

}  // namespace

void Coordinator::LoadPage(const std::string& after) {
  deps_.store.ReadNewest(
      options_.table, after, kStoreReadTimeout,
      [weak = weak_from_this(), after](const Result<ports::NewestPage>& page) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        if (!page.ok()) {
          logging::Event(Level::kWarning, "jobs not read",
                         {{"cause", page.error().message}});
          return self->deps_.executor.RunAfter(kStoreRetryDelay, [weak, after] {
            const auto again = weak.lock();
            if (again && !again->closed_) again->LoadPage(after);
          });
        }
        self->OnPageRead(after, page.value());
      });
}

void Coordinator::OnPageRead(const std::string& after,
                             const ports::NewestPage& page) {
  for (const ports::KeyedRecord& record : page.records) LoadRecord(record);
  if (page.more && !page.last_key.empty() && page.last_key != after) {
    return LoadPage(page.last_key);
  }
  FinishLoading(page.end_offset);
}

void Coordinator::LoadRecord(const ports::KeyedRecord& record) {
  const std::string cause = DecodeRecord(record);
  if (cause.empty()) return;
  deps_.malformed_records.Report(faults::RecordSource::kJobs, record.key,
                                 cause);
  // A job whose record can't be read still exists. If it were accepted as new
  // when submitted again, it would overwrite that record and run a second time.
  if (const auto part = ParseProgressPartKey(record.key)) {
    unreadable_jobs_.insert(part->first);
    return;
  }
  const bool is_job_record =
      !record.key.empty() &&
      (record.key[0] == kSpecPrefix || record.key[0] == kProgressPrefix);
  if (!is_job_record) return;
  if (const auto id = ParseJobId(record.key.substr(1))) {
    unreadable_jobs_.insert(*id);
  }
}

std::string Coordinator::DecodeRecord(const ports::KeyedRecord& record) {
  if (!record.decode_error.empty()) return record.decode_error;
  if (record.value.empty()) return {};
  if (record.key.empty()) return "no key";
  const char kind = record.key[0];
  if (kind == kUpstreamPrefix) return DecodeUpstream(record);
  if (kind == kCompletionPrefix) return DecodeUnmatchedCompletion(record);
  if (kind == kProgressPartPrefix) return DecodeProgressPart(record);
  if (kind == kTombstonePrefix) {
    const bool valid =
        unknown_cancels_.tombstones().Load(record, deps_.executor.Now());
    return valid ? "" : "does not decode";
  }
  if (kind == maintenance::kWaveKeyPrefix) {
    // Without a host API the record is left to a leader that has one.
    const bool valid = wave_manager_ == nullptr || wave_manager_->Load(record);
    return valid ? "" : "does not decode";
  }
  if (kind != kSpecPrefix && kind != kProgressPrefix) {
    return "unknown key prefix";
  }
  const auto id = ParseJobId(record.key.substr(1));
  if (!id) return "key contains no job id";
  return kind == kSpecPrefix ? DecodeSpec(*id, record.value)
                             : DecodeProgress(*id, record.value);
}

std::string Coordinator::DecodeUpstream(const ports::KeyedRecord& record) {
  const auto upstream = rpc::Decode<wire::UpstreamRecord>(record.value);
  if (upstream.ok() && record.key.substr(1) == upstream.value().id &&
      !upstream.value().id.empty() && !upstream.value().address.empty()) {
    loaded_upstreams_.push_back(FromUpstreamRecord(upstream.value()));
    if (upstream.value().closed) {
      InheritedClosure& closure = inherited_closures_[upstream.value().id];
      for (const int64_t id : upstream.value().jobs) {
        closure.jobs.insert(static_cast<JobId>(id));
      }
      closure.suspect_runs = RunsFromRecord(upstream.value());
      if (closure.suspect_runs.size() != upstream.value().runs.size()) {
        deps_.malformed_records.Report(faults::RecordSource::kJobs, record.key,
                                       "contains malformed runs");
      }
    }
    return {};
  }
  // The upstream may run tasks of this service. All that is certain is when its
  // leases will have expired.
  has_unreadable_upstream_ = true;
  return "does not decode";
}

std::string Coordinator::DecodeSpec(JobId id, const std::string& value) {
  auto spec = rpc::Decode<wire::JobSpec>(value);
  if (!spec.ok()) return "does not decode";
  Findings findings;
  CheckStoredJob(spec.value(), findings);
  if (static_cast<JobId>(spec.value().id) != id) {
    findings.Add("id", "differs from the id in the key");
  }
  if (findings.empty()) loaded_specs_[id] = std::move(spec.value());
  return findings.ToString();
}

std::string Coordinator::DecodeProgress(JobId id, const std::string& value) {
  auto progress = rpc::Decode<wire::ProgressRecord>(value);
  if (!progress.ok()) return "does not decode";
  Findings findings;
  CheckProgress(progress.value(), findings);
  if (findings.empty()) loaded_progress_[id] = std::move(progress.value());
  return findings.ToString();
}

std::string Coordinator::DecodeProgressPart(const ports::KeyedRecord& record) {
  const auto key = ParseProgressPartKey(record.key);
  if (!key) return "key names no part of a job";
  const auto& [id, part] = *key;
  const auto progress = rpc::Decode<wire::ProgressRecord>(record.value);
  if (!progress.ok()) return "does not decode";
  Findings findings;
  CheckProgress(progress.value(), findings);
  if (!findings.empty()) return findings.ToString();
  std::vector<std::string>& parts = progress_parts_[id];
  parts.resize(std::max(parts.size(), part + 1));
  parts[part] = record.value;
  const auto& tasks = progress.value().tasks;
  auto& loaded = loaded_task_states_[id];
  loaded.insert(loaded.end(), tasks.begin(), tasks.end());
  return {};
}

void Coordinator::MergeProgressParts() {
  for (auto& [id, tasks] : std::exchange(loaded_task_states_, {})) {
    if (unreadable_jobs_.count(id) > 0) continue;
    const auto progress = loaded_progress_.find(id);
    const bool open = progress != loaded_progress_.end() &&
                      !IsFinal(static_cast<JobState>(progress->second.state));
    if (!open) {
      RemoveProgressParts(id);
      continue;
    }
    // A version that does not know of parts has stored newer states in the
    // progress itself.
    if (!progress->second.tasks.empty()) continue;
    progress->second.tasks = std::move(tasks);
  }
}

std::string Coordinator::DecodeUnmatchedCompletion(
    const ports::KeyedRecord& record) {
  const std::string_view key = record.key;
  const size_t dot = key.rfind('.');
  const auto task_record = rpc::Decode<wire::TaskRecord>(record.value);
  if (dot == std::string::npos || !task_record.ok()) return "does not decode";
  const auto task = ParseTaskId(key.substr(1, dot - 1));
  const std::string_view digits = key.substr(dot + 1);
  int64_t attempt = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), attempt);
  if (!task || attempt < 1) return "key contains no attempt of a task";
  unmatched_completions_[task->job].push_back(
      {.task = *task,
       .attempt = attempt,
       .failed = !task_record.value().failed_attempts.empty()});
  return {};
}

void Coordinator::StoreUnmatchedCompletion(const ports::EndedTask& completion) {
  const bool failed = completion.kind == ports::EndKind::kFailed;
  if (unreadable_jobs_.count(completion.task.job) == 0) return;
  if (!failed && completion.kind != ports::EndKind::kDone) return;
  // The upstream discards the completion once this leader has acknowledged it.
  // Only this record then tells a version that can read the job's records not
  // to run the task again.
  wire::TaskRecord record;
  record.task = completion.task.index;
  if (failed) record.failed_attempts = {completion.attempt};
  journal_->Put(CompletionKey(completion.task, completion.attempt),
                rpc::Encode(record));
}

void Coordinator::ApplyUnmatchedCompletions() {
  std::vector<std::string> merged_keys;
  for (const auto& [id, completions] :
       std::exchange(unmatched_completions_, {})) {
    const auto spec = loaded_specs_.find(id);
    if (spec == loaded_specs_.end() || unreadable_jobs_.count(id) > 0) continue;
    Job job(spec->second);
    job.Restore(loaded_progress_[id]);
    for (const UnmatchedCompletion& completion : completions) {
      merged_keys.push_back(CompletionKey(completion.task, completion.attempt));
      if (!job.Has(completion.task)) continue;
      if (ApplyUnmatchedCompletion(job, completion.task, completion.attempt,
                                   completion.failed)) {
        ReportJobFailure(
            ExplainFailedAttempts(job, completion.task, failed_runs_));
      }
    }
    StoreProgress(job);
    loaded_progress_[id] = job.Progress();
    for (size_t part = 0; part < job.progress_parts(); ++part) {
      const auto& states = job.ProgressPart(part).tasks;
      auto& tasks = loaded_progress_[id].tasks;
      tasks.insert(tasks.end(), states.begin(), states.end());
    }
  }
  if (merged_keys.empty()) return;
  journal_->WhenStored([weak = weak_from_this(), merged_keys](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    for (const std::string& key : merged_keys) self->journal_->Remove(key);
  });
}

void Coordinator::LoadJobs() {
  const TimePoint now = deps_.executor.Now();
  const int64_t wall = deps_.executor.UnixMillis();
  MergeProgressParts();
  for (const auto& [id, spec] : loaded_specs_) {
    const auto progress = loaded_progress_.find(id);
    if (progress == loaded_progress_.end()) continue;
    Findings findings;
    CheckProgressMatchesJob(spec, progress->second, findings);
    if (findings.empty()) continue;
    deps_.malformed_records.Report(faults::RecordSource::kJobs, ProgressKey(id),
                                   findings.ToString());
    unreadable_jobs_.insert(id);
  }
  ApplyUnmatchedCompletions();
  for (const auto& [id, progress] : loaded_progress_) {
    const auto state = static_cast<JobState>(progress.state);
    if (!IsFinal(state)) continue;
    // The outcome is known, even if the job's spec cannot be read.
    unreadable_jobs_.erase(id);
    const auto spec = loaded_specs_.find(id);
    final_jobs_[id] = {.state = state,
                       .account = spec == loaded_specs_.end()
                                      ? progress.account
                                      : spec->second.account,
                       .final_since = now,
                       .spec_stored = spec != loaded_specs_.end()};
  }
  open_jobs_loaded_ = loaded_specs_.size();
  while (!loaded_specs_.empty()) {
    // Taken out one by one, so that no two copies of all jobs are in memory.
    const auto loaded = loaded_specs_.extract(loaded_specs_.begin());
    const JobId id = loaded.key();
    if (unreadable_jobs_.count(id) > 0) continue;
    const wire::JobSpec& spec = loaded.mapped();
    job_pools_.insert(spec.queue.pool);
    scheduler_.Load(spec, loaded_progress_[id], now, wall);
    loaded_progress_.erase(id);
  }
}

void Coordinator::FinishLoading(int64_t end_offset) {
  const TimePoint now = deps_.executor.Now();
  const int64_t wall = deps_.executor.UnixMillis();
  LoadJobs();
  UpdateMemoryBudget();
  logging::Event(
      Level::kInfo, "jobs loaded",
      {{"term", Text(options_.term)},
       {"end_offset", Text(end_offset)},
       {"open", Text(static_cast<int64_t>(open_jobs_loaded_))},
       {"final", Text(static_cast<int64_t>(final_jobs_.size()))},
       {"tombstones",
        Text(static_cast<int64_t>(unknown_cancels_.tombstones().size()))},
       {"unreadable", Text(static_cast<int64_t>(unreadable_jobs_.size()))},
       {"state_bytes", Text(static_cast<int64_t>(StateBytes()))},
       {"budget_bytes", Text(static_cast<int64_t>(memory_budget_.bytes()))},
       {"upstreams", Text(static_cast<int64_t>(loaded_upstreams_.size()))}});
  loaded_specs_.clear();
  loaded_progress_.clear();
  loaded_ = true;
  scheduler_.Tick(now, wall);
  for (const ports::UpstreamEntry& entry : loaded_upstreams_) OpenLink(entry);
  loaded_upstreams_.clear();
  ReadUpstreamList();
  if (wave_manager_) wave_manager_->Start();
  Tick();
  deps_.on_loaded();
}

}  // namespace mimosarail::coordinator
