// The part of Coordinator that takes over what earlier leaders have stored.

#include <charconv>

#include "src/coordinator/coordinator.h"
#include "src/coordinator/job_table.h"
#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;

constexpr Millis kStoreRetry{150};

/// Puts a kept end into a job that was loaded again.
void ApplyKeptEnd(Job& job, const TaskId& task, int64_t attempt, bool failed) {
  if (job.final()) return;
  const wire::StepSpec& step = job.step(task.step);
  job.NoteStarted();
  if (failed) {
    const bool spent = job.CountFailure(task, attempt) && !step.lasting &&
                       job.Failures(task) >= job.queue().max_attempts;
    if (spent) job.SetState(JobState::kFailed);
    return;
  }
  if (step.lasting) return;
  // One member's end stands for its whole gang.
  const int32_t first = step.gang ? 0 : task.index;
  const int32_t last = step.gang ? step.tasks - 1 : task.index;
  for (int32_t i = first; i <= last; ++i) {
    job.SetPhase({task.job, task.occurrence, task.step, i}, TaskPhase::kDone);
  }
  if (job.AllDone()) job.SetState(JobState::kComplete);
}

}  // namespace

void Coordinator::Load(const std::string& after) {
  deps_.store.ReadNewest(
      options_.table, after, kStoreTimeout,
      [weak = weak_from_this(), after](const Result<ports::NewestPage>& page) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        if (!page.ok()) {
          logging::Event(Level::kWarning, "jobs not read",
                         {{"cause", page.error().message}});
          return self->deps_.executor.RunAfter(kStoreRetry, [weak, after] {
            const auto again = weak.lock();
            if (again && !again->closed_) again->Load(after);
          });
        }
        self->OnPage(after, page.value());
      });
}

void Coordinator::OnPage(const std::string& after,
                         const ports::NewestPage& page) {
  for (const ports::KeyedRecord& record : page.records) LoadRecord(record);
  if (page.more && !page.last_key.empty() && page.last_key != after) {
    return Load(page.last_key);
  }
  OnLoaded(page.end_offset);
}

void Coordinator::LoadRecord(const ports::KeyedRecord& record) {
  const std::string cause = TakeRecord(record);
  if (cause.empty()) return;
  deps_.bad_records.Report(faults::RecordSource::kJobs, record.key, cause);
  // A job whose record can't be read is one all the same: handed in again as if
  // it were new, it would overwrite that record and run a second time.
  const bool of_job = !record.key.empty() && (record.key[0] == kSpecPrefix ||
                                              record.key[0] == kProgressPrefix);
  if (!of_job) return;
  if (const auto id = ParseJobId(record.key.substr(1))) unreadable_.insert(*id);
}

std::string Coordinator::TakeRecord(const ports::KeyedRecord& record) {
  if (!record.decode_error.empty()) return record.decode_error;
  if (record.value.empty()) return {};
  if (record.key.empty()) return "no key";
  const char kind = record.key[0];
  if (kind == kUpstreamPrefix) return TakeUpstream(record);
  if (kind == kEndPrefix) return TakeEnd(record);
  if (kind == maintenance::kWavePrefix) {
    // Without an API of hosts the record waits for a leader that has one.
    const bool taken = waves_ == nullptr || waves_->Load(record);
    return taken ? "" : "does not decode";
  }
  if (kind != kSpecPrefix && kind != kProgressPrefix) return "unknown kind";
  const auto id = ParseJobId(record.key.substr(1));
  if (!id) return "no id of a job";
  return kind == kSpecPrefix ? TakeSpec(*id, record.value)
                             : TakeProgress(*id, record.value);
}

std::string Coordinator::TakeUpstream(const ports::KeyedRecord& record) {
  const auto upstream = rpc::Decode<wire::UpstreamRecord>(record.value);
  if (upstream.ok() && record.key.substr(1) == upstream.value().id &&
      !upstream.value().id.empty() && !upstream.value().address.empty()) {
    loaded_upstreams_.push_back(FromRecord(upstream.value()));
    if (upstream.value().closed) {
      InheritedClosure& left = inherited_closures_[upstream.value().id];
      for (const int64_t id : upstream.value().jobs) {
        left.jobs.insert(static_cast<JobId>(id));
      }
      left.runs = RunsFromRecord(upstream.value());
      if (left.runs.size() != upstream.value().runs.size()) {
        deps_.bad_records.Report(faults::RecordSource::kJobs, record.key,
                                 "names runs that are none");
      }
    }
    return {};
  }
  // It may run something of ours, and only the end of its leases is certain.
  resolved_after_ = deps_.executor.Now() + options_.previous_leader_timeout +
                    fleet::MaxLeaseDuration(options_.lease);
  return "does not decode";
}

std::string Coordinator::TakeSpec(JobId id, const std::string& value) {
  auto spec = rpc::Decode<wire::JobSpec>(value);
  if (!spec.ok()) return "does not decode";
  Findings findings;
  CheckStoredJob(spec.value(), findings);
  if (static_cast<JobId>(spec.value().id) != id) {
    findings.Add("id", "is not the key's");
  }
  if (findings.empty()) loaded_specs_[id] = std::move(spec.value());
  return findings.ToString();
}

std::string Coordinator::TakeProgress(JobId id, const std::string& value) {
  auto progress = rpc::Decode<wire::ProgressRecord>(value);
  if (!progress.ok()) return "does not decode";
  Findings findings;
  CheckProgress(progress.value(), findings);
  if (findings.empty()) loaded_progress_[id] = std::move(progress.value());
  return findings.ToString();
}

std::string Coordinator::TakeEnd(const ports::KeyedRecord& record) {
  const std::string_view key = record.key;
  const size_t dot = key.rfind('.');
  const auto kept = rpc::Decode<wire::TaskRecord>(record.value);
  if (dot == std::string::npos || !kept.ok()) return "does not decode";
  const auto task = ParseTaskId(key.substr(1, dot - 1));
  const std::string_view digits = key.substr(dot + 1);
  int64_t attempt = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), attempt);
  if (!task || attempt < 1) return "names no attempt of a task";
  unmatched_ends_[task->job].push_back(
      {.task = *task,
       .attempt = attempt,
       .failed = !kept.value().failed_attempts.empty()});
  return {};
}

void Coordinator::StoreUnmatchedEnd(const ports::EndedTask& end) {
  const bool failed = end.kind == ports::EndKind::kFailed;
  if (unreadable_.count(end.task.job) == 0) return;
  if (!failed && end.kind != ports::EndKind::kDone) return;
  // The upstream forgets it once it is safe here. Nothing else would tell a
  // version that reads the job's records not to run the task again.
  wire::TaskRecord record;
  record.task = end.task.index;
  if (failed) record.failed_attempts = {end.attempt};
  journal_->Put(EndKey(end.task, end.attempt), rpc::Encode(record));
}

void Coordinator::ApplyUnmatchedEnds() {
  std::vector<std::string> merged;
  for (const auto& [id, ends] : std::exchange(unmatched_ends_, {})) {
    const auto spec = loaded_specs_.find(id);
    if (spec == loaded_specs_.end() || unreadable_.count(id) > 0) continue;
    Job job(spec->second);
    job.Restore(loaded_progress_[id]);
    for (const UnmatchedEnd& end : ends) {
      merged.push_back(EndKey(end.task, end.attempt));
      if (!job.Has(end.task)) continue;
      ApplyKeptEnd(job, end.task, end.attempt, end.failed);
    }
    loaded_progress_[id] = job.Progress();
    journal_->Put(ProgressKey(id), rpc::Encode(loaded_progress_[id]));
  }
  if (merged.empty()) return;
  journal_->WhenStored([weak = weak_from_this(), merged](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    for (const std::string& key : merged) self->journal_->Remove(key);
  });
}

void Coordinator::LoadJobs() {
  const TimePoint now = deps_.executor.Now();
  const int64_t wall = deps_.executor.UnixMillis();
  for (const auto& [id, spec] : loaded_specs_) {
    const auto progress = loaded_progress_.find(id);
    if (progress == loaded_progress_.end()) continue;
    Findings findings;
    CheckProgressOf(spec, progress->second, findings);
    if (findings.empty()) continue;
    deps_.bad_records.Report(faults::RecordSource::kJobs, ProgressKey(id),
                             findings.ToString());
    unreadable_.insert(id);
  }
  ApplyUnmatchedEnds();
  for (const auto& [id, progress] : loaded_progress_) {
    const auto state = static_cast<JobState>(progress.state);
    if (!IsFinal(state)) continue;
    // What became of it is known, whatever its other record holds.
    unreadable_.erase(id);
    finals_[id] = {
        .state = state, .since = now, .spec_kept = loaded_specs_.count(id) > 0};
  }
  for (const auto& [id, spec] : loaded_specs_) {
    if (unreadable_.count(id) > 0) continue;
    job_pools_.insert(spec.queue.pool);
    scheduler_.Load(spec, loaded_progress_[id], now, wall);
  }
}

void Coordinator::OnLoaded(int64_t end_offset) {
  const TimePoint now = deps_.executor.Now();
  const int64_t wall = deps_.executor.UnixMillis();
  LoadJobs();
  logging::Event(
      Level::kInfo, "jobs loaded",
      {{"term", Text(options_.term)},
       {"end_offset", Text(end_offset)},
       {"open", Text(static_cast<int64_t>(loaded_specs_.size()))},
       {"final", Text(static_cast<int64_t>(finals_.size()))},
       {"unreadable", Text(static_cast<int64_t>(unreadable_.size()))},
       {"upstreams", Text(static_cast<int64_t>(loaded_upstreams_.size()))}});
  loaded_specs_.clear();
  loaded_progress_.clear();
  loaded_ = true;
  scheduler_.Tick(now, wall);
  for (const ports::UpstreamEntry& entry : loaded_upstreams_) OpenLink(entry);
  loaded_upstreams_.clear();
  ReadList();
  if (waves_) waves_->Start();
  Tick();
  deps_.loaded();
}

}  // namespace mimosarail::coordinator
