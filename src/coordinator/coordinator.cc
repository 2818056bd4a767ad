#include "src/coordinator/coordinator.h"

#include <algorithm>
#include <charconv>

#include "src/libs/logging/log.h"
#include "src/libs/rpc/codec.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using scheduling::Orders;

constexpr Millis kTick{50};
/// Several changes within this share one pass of placing.
constexpr Millis kPlaceDelay{2};
constexpr Millis kStoreTimeout{1500};
constexpr Millis kStoreRetry{150};
/// The steps that wait longest are explained this often, so many at a time.
constexpr Millis kExplainPeriod{2000};
constexpr size_t kExplainedSteps = 4;
/// What an adviser may take beyond what its queue says.
constexpr Millis kAdviceSlack{600};
/// Callers come back after this when the store is away.
constexpr int64_t kRetryAfterMs = 1000;

/// Keys of the table: what a job is, how far it is, an end of one whose other
/// records can't be read, and which upstreams may run something of ours.
constexpr char kSpecPrefix = 's';
constexpr char kProgressPrefix = 'p';
constexpr char kEndPrefix = 'e';
constexpr char kUpstreamPrefix = 'u';

std::string SpecKey(JobId id) { return kSpecPrefix + JobIdText(id); }
std::string ProgressKey(JobId id) { return kProgressPrefix + JobIdText(id); }

std::string EndKey(const TaskId& task, int64_t attempt) {
  return kEndPrefix + TaskIdText(task) + "." + std::to_string(attempt);
}

std::string Text(int64_t value) { return std::to_string(value); }

wire::UpstreamRecord ToRecord(const ports::UpstreamEntry& entry) {
  wire::UpstreamRecord out;
  out.id = entry.id;
  out.pool = entry.pool;
  out.address = entry.address;
  out.failure_domain = entry.failure_domain;
  out.rack = entry.rack;
  out.labels = entry.labels;
  out.millicores = entry.capacity.millicores;
  out.memory_mb = entry.capacity.memory_mb;
  out.accelerators = entry.capacity.accelerators;
  return out;
}

ports::UpstreamEntry FromRecord(const wire::UpstreamRecord& record) {
  return {.id = record.id,
          .listed = false,
          .pool = record.pool,
          .address = record.address,
          .failure_domain = record.failure_domain,
          .rack = record.rack,
          .labels = record.labels,
          .capacity = {.millicores = record.millicores,
                       .memory_mb = record.memory_mb,
                       .accelerators = record.accelerators}};
}

wire::SubmitJobReply SubmitReply(JobVerdict verdict, int64_t retry_after = 0) {
  wire::SubmitJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  reply.retry_after_ms = retry_after;
  return reply;
}

wire::CancelJobReply CancelReply(JobVerdict verdict) {
  wire::CancelJobReply reply;
  reply.verdict = static_cast<int32_t>(verdict);
  return reply;
}

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

constexpr int64_t kAttemptsPerTerm = 100000;

}  // namespace

Coordinator::Coordinator(Dependencies deps, CoordinatorOptions options)
    : deps_(std::move(deps)),
      options_(std::move(options)),
      scheduler_({.attempt_base = options_.term * kAttemptsPerTerm}),
      next_fence_(options_.term * fleet::kFenceSpan) {
  journal_ = std::make_shared<journal::Journal>(
      deps_.executor, deps_.store,
      journal::JournalOptions{
          .table = options_.table, .writer = "leader", .epoch = options_.term},
      [this] { deps_.deposed("the journal was fenced"); });
  if (deps_.hosts != nullptr) MakeWaveKeeper();
}

void Coordinator::MakeWaveKeeper() {
  waves_ = std::make_shared<maintenance::WaveKeeper>(
      maintenance::WaveKeeper::Dependencies{.executor = deps_.executor,
                                            .store = deps_.store,
                                            .hosts = *deps_.hosts,
                                            .board = *deps_.wave_board,
                                            .journal = journal_,
                                            .workload = *this,
                                            .metrics = deps_.metrics,
                                            .waves = deps_.waves,
                                            .deposed = deps_.deposed},
      maintenance::WaveKeeperOptions{.holder = options_.holder,
                                     .term = options_.term,
                                     .upkeep = options_.upkeep,
                                     .lists_per_s = options_.host_lists_per_s,
                                     .orders_per_s = options_.host_orders_per_s,
                                     .earlier_holder = options_.holder_lease});
}

void Coordinator::Start() {
  journal_->Open([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed_) self->Load("");
  });
}

void Coordinator::Close() {
  closed_ = true;
  journal_->Close();
  if (waves_) waves_->Close();
  for (auto& [index, link] : links_) link->Close();
  for (auto& [id, job] : arriving_) {
    for (auto& waiter : job.waiters) waiter(SubmitReply(JobVerdict::kUnknown));
  }
  arriving_.clear();
}

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
  OnLoaded();
}

void Coordinator::LoadRecord(const ports::KeyedRecord& record) {
  const std::string cause = TakeRecord(record);
  if (cause.empty()) return;
  deps_.faults.Tell(faults::EntrySource::kJobs, record.key, cause);
  // A job whose record can't be read is one all the same: handed in again as if
  // it were new, it would overwrite that record and run a second time.
  const bool of_job = !record.key.empty() && (record.key[0] == kSpecPrefix ||
                                              record.key[0] == kProgressPrefix);
  if (!of_job) return;
  if (const auto id = ParseJobId(record.key.substr(1))) unreadable_.insert(*id);
}

std::string Coordinator::TakeRecord(const ports::KeyedRecord& record) {
  if (!record.fault.empty()) return record.fault;
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
    roster_.push_back(FromRecord(upstream.value()));
    return {};
  }
  // It may run something of ours, and only the end of its leases is certain.
  resolved_after_ = deps_.executor.Now() + options_.earlier_leader +
                    fleet::LongestLease(options_.lease);
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
  loaded_ends_[task->job].push_back(
      {.task = *task,
       .attempt = attempt,
       .failed = !kept.value().failed_attempts.empty()});
  return {};
}

void Coordinator::KeepEnd(const ports::EndedTask& end) {
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

void Coordinator::MergeEnds() {
  std::vector<std::string> merged;
  for (const auto& [id, ends] : std::exchange(loaded_ends_, {})) {
    const auto spec = loaded_specs_.find(id);
    if (spec == loaded_specs_.end() || unreadable_.count(id) > 0) continue;
    Job job(spec->second);
    job.Restore(loaded_progress_[id]);
    for (const KeptEnd& end : ends) {
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
    deps_.faults.Tell(faults::EntrySource::kJobs, ProgressKey(id),
                      findings.ToString());
    unreadable_.insert(id);
  }
  MergeEnds();
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

void Coordinator::OnLoaded() {
  const TimePoint now = deps_.executor.Now();
  const int64_t wall = deps_.executor.UnixMillis();
  LoadJobs();
  logging::Event(
      Level::kInfo, "jobs loaded",
      {{"term", Text(options_.term)},
       {"open", Text(static_cast<int64_t>(loaded_specs_.size()))},
       {"final", Text(static_cast<int64_t>(finals_.size()))},
       {"unreadable", Text(static_cast<int64_t>(unreadable_.size()))},
       {"upstreams", Text(static_cast<int64_t>(roster_.size()))}});
  loaded_specs_.clear();
  loaded_progress_.clear();
  loaded_ = true;
  scheduler_.Tick(now, wall);
  for (const ports::UpstreamEntry& entry : roster_) OpenLink(entry);
  roster_.clear();
  ReadList();
  if (waves_) waves_->Start();
  Tick();
}

void Coordinator::ReadList() {
  const bool whole = list_cursor_ < 0;
  auto done = [weak = weak_from_this(),
               whole](const Result<ports::UpstreamListUpdate>& update) {
    const auto self = weak.lock();
    if (!self || self->closed_) return;
    if (update.ok()) {
      self->OnList(update.value(), whole);
    } else {
      // The history is gone, or nobody can read on from there: only the whole
      // list is left.
      const std::error_code& code = update.error().code;
      if (code == Errc::kInvalid || code == Errc::kMalformed) {
        self->list_cursor_ = -1;
      }
      logging::Event(Level::kWarning, "upstream list not read",
                     {{"cause", update.error().message}});
    }
    self->deps_.executor.RunAfter(self->options_.list_period, [weak] {
      const auto again = weak.lock();
      if (again && !again->closed_) again->ReadList();
    });
  };
  if (whole) return deps_.list.ReadAll(kStoreTimeout, std::move(done));
  deps_.list.ReadChanges(list_cursor_, kStoreTimeout, std::move(done));
}

void Coordinator::OnList(const ports::UpstreamListUpdate& update, bool whole) {
  list_cursor_ = update.cursor;
  if (whole) {
    // Whoever is not in it has left while nobody looked, or lapsed.
    for (const UpstreamIndex index : scheduler_.pool().all()) {
      const std::string& id = scheduler_.pool().at(index).entry.id;
      const bool there = std::any_of(
          update.entries.begin(), update.entries.end(),
          [&](const ports::UpstreamEntry& entry) { return entry.id == id; });
      if (!there) scheduler_.pool().at(index).listed = false;
    }
    list_known_ = true;
    unnamed_.clear();
  }
  for (const ports::UpstreamEntry& entry : update.entries) OnEntry(entry);
  KeepNamed();
  CheckResolved();
  PlaceSoon();
}

void Coordinator::OnEntry(const ports::UpstreamEntry& entry) {
  scheduling::UpstreamPool& pool = scheduler_.pool();
  const UpstreamIndex known = pool.Find(entry.id);
  if (!entry.fault.empty()) return OnBadEntry(entry);
  if (ended_.count(entry.id) > 0) return;
  if (!entry.listed) {
    unnamed_.erase(entry.id);
    if (known == kNoUpstream) return;
    logging::Event(Level::kInfo, "upstream left the list",
                   {{"upstream", entry.id}});
    pool.at(known).listed = false;
    return;
  }
  if (known != kNoUpstream) {
    if (pool.at(known).entry.draining != entry.draining) {
      logging::Event(Level::kInfo, "upstream drains",
                     {{"upstream", entry.id},
                      {"draining", entry.draining ? "yes" : "no"},
                      {"leaves_in_ms", Text(entry.leaves_in_ms)}});
    }
    pool.Update(entry);
    return;
  }
  unnamed_[entry.id] = entry;
}

void Coordinator::OnBadEntry(const ports::UpstreamEntry& entry) {
  deps_.faults.Tell(faults::EntrySource::kUpstreamList, entry.id, entry.fault);
  unnamed_.erase(entry.id);
  scheduling::UpstreamPool& pool = scheduler_.pool();
  const UpstreamIndex known = pool.Find(entry.id);
  if (known == kNoUpstream) return;
  // It names no upstream to use, and it has not left either: nothing new goes
  // there, and what runs there stays under its leases, at the address that is
  // known. Stopped or forgotten instead, its tasks would be lost to one odd
  // entry.
  pool.at(known).listed = true;
  pool.at(known).withheld = true;
}

bool Coordinator::Named(const std::string& pool) const {
  const std::set<std::string>* pools = deps_.pools();
  return job_pools_.count(pool) > 0 ||
         (pools != nullptr && pools->count(pool) > 0);
}

void Coordinator::KeepNamed() {
  for (auto at = unnamed_.begin(); at != unnamed_.end();) {
    const ports::UpstreamEntry& entry = at->second;
    if (!Named(entry.pool)) {
      // Looked at again with each read of the list: its configuration may come.
      if (deps_.pools() != nullptr) {
        deps_.faults.Tell(faults::EntrySource::kUpstreamList, entry.id,
                          "nothing names its pool");
      }
      ++at;
      continue;
    }
    KeepUpstream(entry);
    at = unnamed_.erase(at);
  }
}

void Coordinator::KeepUpstream(const ports::UpstreamEntry& entry) {
  // A later leader must know every upstream that may run something: an entry
  // lapses while the store is away, though its tasks go on. So nothing starts
  // there before the upstream's own record is stored.
  journal_->Put(kUpstreamPrefix + entry.id, rpc::Encode(ToRecord(entry)));
  OpenLink(entry);
}

void Coordinator::OpenLink(const ports::UpstreamEntry& entry) {
  const UpstreamIndex index = scheduler_.pool().Update(entry);
  scheduler_.pool().at(index).listed = entry.listed;
  if (links_.count(index) > 0) return;
  auto link = std::make_shared<fleet::UpstreamLink>(
      deps_.executor, deps_.tasks, *this,
      fleet::UpstreamLinkOptions{
          .index = index,
          .target = {.address = entry.address, .id = entry.id},
          .first_fence = next_fence_,
          .lease = options_.lease,
          .earlier_holder = options_.earlier_leader});
  links_[index] = link;
  journal_->WhenStored([weak = weak_from_this(), link](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) link->Open();
  });
}

void Coordinator::CheckResolved() {
  if (scheduler_.resolved() || !list_known_) return;
  if (deps_.executor.Now() < resolved_after_) return;
  for (const auto& [index, link] : links_) {
    if (!link->settled()) return;
  }
  logging::Event(Level::kInfo, "all upstreams have told what they run",
                 {{"term", Text(options_.term)},
                  {"upstreams", Text(static_cast<int64_t>(links_.size()))}});
  Orders orders;
  scheduler_.ResolveAll(deps_.executor.Now(), orders);
  Pump(orders);
}

void Coordinator::Tick() {
  if (closed_) return;
  scheduler_.Tick(deps_.executor.Now(), deps_.executor.UnixMillis());
  CheckResolved();
  RefuseUnsent();
  DropFinalJobs();
  ExplainWaiting();
  PlaceSoon();
  deps_.executor.RunAfter(kTick, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

void Coordinator::ExplainWaiting() {
  const TimePoint now = deps_.executor.Now();
  if (now - explained_at_ < kExplainPeriod) return;
  explained_at_ = now;
  deps_.metrics.Set({.name = "waiting_steps"},
                    static_cast<double>(scheduler_.waiting_units()));
  deps_.metrics.Set({.name = "jobs_kept"},
                    static_cast<double>(scheduler_.jobs()));
  const scheduling::AdviceBudget lanes = lanes_.Budget(now);
  logging::Event(Level::kInfo, "load",
                 {{"load", scheduler_.DescribeLoad()},
                  {"lanes_free", Text(lanes.any)},
                  {"urgent_lanes_free", Text(lanes.urgent_only)}});
  for (const auto& [step, why] :
       scheduler_.ExplainWaiting(kExplainedSteps, now)) {
    logging::Event(Level::kInfo, "step waits",
                   {{"step", StepIdText(step)}, {"why", why}});
  }
}

void Coordinator::DropFinalJobs() {
  const TimePoint now = deps_.executor.Now();
  for (auto at = finals_.begin(); at != finals_.end();) {
    auto& [id, job] = *at;
    if (job.spec_kept && now - job.since > options_.keep_spec &&
        (scheduler_.Find(id) == nullptr || scheduler_.Forgettable(id))) {
      scheduler_.Forget(id);
      journal_->Remove(SpecKey(id));
      job.spec_kept = false;
    }
    if (!job.spec_kept && now - job.since > options_.keep_state) {
      journal_->Remove(ProgressKey(id));
      at = finals_.erase(at);
    } else {
      ++at;
    }
  }
}

void Coordinator::SetLanes(const std::vector<std::string>& addresses) {
  lanes_.SetEntries(addresses, deps_.executor.Now());
}

void Coordinator::Submit(const wire::JobSpec& spec,
                         std::function<void(wire::SubmitJobReply)> done) {
  const auto id = static_cast<JobId>(spec.id);
  if (!loaded_) return done(SubmitReply(JobVerdict::kNotLeading));
  if (scheduler_.Find(id) != nullptr || finals_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kDone));
  }
  if (unreadable_.count(id) > 0) {
    return done(SubmitReply(JobVerdict::kUnreadable));
  }
  const auto waiting = arriving_.find(id);
  if (waiting == arriving_.end()) {
    const bool store_away = journal_->stalled_for() > options_.store_patience;
    if (store_away ||
        scheduler_.jobs() + arriving_.size() >= options_.max_jobs) {
      logging::Event(
          Level::kWarning, "job refused",
          {{"job", JobIdText(id)},
           {"store_stalled_ms", Text(journal_->stalled_for().count())},
           {"jobs", Text(static_cast<int64_t>(scheduler_.jobs()))}});
      return done(SubmitReply(
          store_away ? JobVerdict::kStoreAway : JobVerdict::kRefused,
          kRetryAfterMs));
    }
    wire::JobSpec stored = spec;
    stored.accepted_unix_ms = deps_.executor.UnixMillis();
    journal_->Put(SpecKey(id), rpc::Encode(stored));
    const int64_t number = ++hand_ins_;
    arriving_[id].number = number;
    journal_->WhenStored(
        [weak = weak_from_this(), stored, id, number](bool kept) {
          const auto self = weak.lock();
          if (!kept || !self || self->closed_) return;
          const auto still = self->arriving_.find(id);
          if (still == self->arriving_.end()) return;
          if (still->second.number == number) self->OnJobStored(stored);
        });
  }
  arriving_[id].waiters.push_back(AnswerInTime<wire::SubmitJobReply>(
      std::move(done), SubmitReply(JobVerdict::kUnknown)));
}

template <typename Reply>
std::function<void(Reply)> Coordinator::AnswerInTime(
    std::function<void(Reply)> done, Reply late) {
  auto answered = std::make_shared<bool>(false);
  auto once = [answered, done = std::move(done)](const Reply& reply) {
    if (std::exchange(*answered, true)) return;
    done(reply);
  };
  deps_.executor.RunAfter(options_.answer_limit,
                          [once, late = std::move(late)] { once(late); });
  return once;
}

void Coordinator::RefuseUnsent() {
  const Millis patience =
      std::max(options_.unsent_patience, 2 * journal_->last_took());
  if (journal_->stalled_for() <= patience) return;
  for (auto at = arriving_.begin(); at != arriving_.end();) {
    if (!journal_->Withdraw(SpecKey(at->first))) {
      ++at;
      continue;
    }
    logging::Event(
        Level::kWarning, "job refused",
        {{"job", JobIdText(at->first)},
         {"cause", "taken back before it was sent to the store"},
         {"store_stalled_ms", Text(journal_->stalled_for().count())}});
    const auto waiters = std::move(at->second.waiters);
    at = arriving_.erase(at);
    for (const auto& waiter : waiters) {
      waiter(SubmitReply(JobVerdict::kStoreAway, kRetryAfterMs));
    }
  }
}

void Coordinator::OnJobStored(const wire::JobSpec& spec) {
  const auto id = static_cast<JobId>(spec.id);
  job_pools_.insert(spec.queue.pool);
  scheduler_.Add(spec, deps_.executor.Now(), deps_.executor.UnixMillis());
  deps_.metrics.Count({.name = "jobs_accepted"});
  logging::Event(Level::kInfo, "job accepted",
                 {{"job", JobIdText(id)},
                  {"queue", spec.queue.name},
                  {"priority", Text(spec.queue.priority)},
                  {"steps", Text(static_cast<int64_t>(spec.steps.size()))},
                  {"term", Text(options_.term)}});
  const auto waiting = arriving_.extract(id);
  if (!waiting.empty()) {
    for (auto& waiter : waiting.mapped().waiters) {
      waiter(SubmitReply(JobVerdict::kDone));
    }
  }
  scheduler_.Tick(deps_.executor.Now(), deps_.executor.UnixMillis());
  PlaceSoon();
}

JobVerdict Coordinator::VerdictOnUnknownJob() const {
  // Without trust in itself this leader may have a successor, which took jobs
  // that are not known here. Denied, a cancel would pass for settled while the
  // job runs on. The caller's entry asks again, and finds who leads.
  return deps_.trusted() ? JobVerdict::kNoSuchJob : JobVerdict::kNotLeading;
}

wire::JobStateReply Coordinator::State(JobId id) const {
  wire::JobStateReply reply;
  const auto answer = [&](JobVerdict verdict, JobState state) {
    reply.verdict = static_cast<int32_t>(verdict);
    reply.state = static_cast<int32_t>(state);
    return reply;
  };
  if (!loaded_) return answer(JobVerdict::kNotLeading, JobState::kQueued);
  const auto final = finals_.find(id);
  if (final != finals_.end()) {
    return answer(JobVerdict::kDone, final->second.state);
  }
  if (unreadable_.count(id) > 0) {
    return answer(JobVerdict::kUnreadable, JobState::kQueued);
  }
  const Job* job = scheduler_.Find(id);
  if (job == nullptr) {
    // Its record is on the way to the store; the caller does not know yet.
    const bool coming = arriving_.count(id) > 0;
    return answer(coming ? JobVerdict::kDone : VerdictOnUnknownJob(),
                  JobState::kQueued);
  }
  // A final state is shown only when it is stored.
  return answer(JobVerdict::kDone,
                job->started() ? JobState::kRunning : JobState::kQueued);
}

void Coordinator::Cancel(JobId id,
                         std::function<void(wire::CancelJobReply)> done) {
  if (!loaded_) return done(CancelReply(JobVerdict::kNotLeading));
  if (finals_.count(id) > 0) return done(CancelReply(JobVerdict::kDone));
  if (arriving_.count(id) > 0) return done(CancelReply(JobVerdict::kUnknown));
  if (unreadable_.count(id) > 0) {
    return done(CancelReply(JobVerdict::kUnreadable));
  }
  if (scheduler_.Find(id) == nullptr) return DenyJob(id, std::move(done));
  Orders orders;
  scheduler_.Cancel(id, deps_.executor.Now(), orders);
  deps_.metrics.Count({.name = "jobs_cancelled"});
  Pump(orders);
  auto once = AnswerInTime<wire::CancelJobReply>(
      std::move(done), CancelReply(JobVerdict::kUnknown));
  journal_->WhenStored([once = std::move(once)](bool stored) {
    once(CancelReply(stored ? JobVerdict::kDone : JobVerdict::kUnknown));
  });
}

bool Coordinator::Knows(JobId id) const {
  return scheduler_.Find(id) != nullptr || finals_.count(id) > 0 ||
         arriving_.count(id) > 0;
}

void Coordinator::DenyJob(JobId id,
                          std::function<void(wire::CancelJobReply)> done) {
  // A leader that stood still wakes up without the jobs that its successor has
  // taken. Its caller would take "no such job" for the end of one that runs on.
  // Only an append under its own term shows that nobody has succeeded it; this
  // one changes nothing, since there is no progress of such a job.
  journal_->Remove(ProgressKey(id));
  auto once = AnswerInTime<wire::CancelJobReply>(
      std::move(done), CancelReply(JobVerdict::kUnknown));
  journal_->WhenStored([weak = weak_from_this(), id,
                        once = std::move(once)](bool stored) {
    const auto self = weak.lock();
    // Handed in meanwhile, it is there now: the caller asks again.
    const bool denied = stored && self && !self->closed_ && !self->Knows(id);
    once(CancelReply(denied ? JobVerdict::kNoSuchJob : JobVerdict::kUnknown));
  });
}

wire::PendingJobsReply Coordinator::Pending(const std::string& queue) const {
  wire::PendingJobsReply reply;
  reply.verdict = static_cast<int32_t>(loaded_ ? JobVerdict::kDone
                                               : JobVerdict::kNotLeading);
  reply.pending = scheduler_.Pending(queue);
  return reply;
}

bool Coordinator::MayGiveOrders() { return !closed_ && deps_.trusted(); }

void Coordinator::OnReport(UpstreamIndex upstream,
                           const std::vector<ports::RunningTask>& running,
                           const std::vector<ports::EndedTask>& ended) {
  const TimePoint now = deps_.executor.Now();
  Orders orders;
  for (const ports::EndedTask& end : ended) {
    deps_.metrics.Count(
        {.name = "task_ends",
         .labels = {
             {"how", std::string(ports::kEndKindNames.Name(end.kind))}}});
    if (end.kind != ports::EndKind::kDone) {
      logging::Event(
          Level::kInfo, "task ended early",
          {{"task", TaskIdText(end.task)},
           {"attempt", Text(end.attempt)},
           {"upstream", scheduler_.pool().at(upstream).entry.id},
           {"how", std::string(ports::kEndKindNames.Name(end.kind))}});
    }
    KeepEnd(end);
    scheduler_.OnEnd(upstream, end, now, orders);
  }
  scheduler_.OnRunning(upstream, running, now, orders);
  Pump(orders);
  if (ended.empty()) return;
  PlaceSoon();
  const int64_t last = ended.back().number;
  journal_->WhenStored([weak = weak_from_this(), upstream, last](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    const auto link = self->links_.find(upstream);
    if (link != self->links_.end()) link->second->EndsSafe(last);
  });
}

void Coordinator::OnReachable(UpstreamIndex upstream, bool reachable) {
  scheduler_.pool().at(upstream).reachable = reachable;
  if (!reachable) return;
  CheckResolved();
  PlaceSoon();
}

void Coordinator::OnEmpty(UpstreamIndex upstream, bool gone) {
  Orders orders;
  scheduler_.OnUpstreamEmpty(upstream, deps_.executor.Now(), orders);
  Pump(orders);
  const bool listed = scheduler_.pool().at(upstream).listed;
  if (gone || !listed) {
    const std::string id = scheduler_.pool().at(upstream).entry.id;
    logging::Event(Level::kInfo, "upstream dropped", {{"upstream", id}});
    journal_->Remove(kUpstreamPrefix + id);
    // It may come back under its id, and has then seen all tokens that this
    // link used. Opened with an earlier one, it would answer as if another
    // entry led, and this one would resign.
    next_fence_ = std::max(next_fence_, links_.at(upstream)->fence() + 1);
    links_.at(upstream)->Close();
    links_.erase(upstream);
    scheduler_.pool().Remove(upstream);
  }
  CheckResolved();
  PlaceSoon();
}

void Coordinator::OnStartReply(const scheduling::StartOrder& order,
                               const ports::CallReply& reply) {
  Orders orders;
  if (reply.verdict != ports::CallVerdict::kDone) {
    logging::Event(
        Level::kInfo, "start refused",
        {{"task", TaskIdText(order.task)},
         {"attempt", Text(order.attempt)},
         {"upstream", scheduler_.pool().at(order.upstream).entry.id},
         {"verdict", std::string(ports::kCallVerdictNames.Name(reply.verdict))},
         {"detail", reply.detail}});
  }
  scheduler_.OnStartReply(order, reply.verdict, deps_.executor.Now(), orders);
  Pump(orders);
  if (reply.verdict != ports::CallVerdict::kDone) PlaceSoon();
}

void Coordinator::OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                               int64_t attempt) {
  scheduler_.OnStopFailed(upstream, task, attempt, deps_.executor.Now());
}

void Coordinator::OnFenced(UpstreamIndex upstream) {
  deps_.deposed("a higher fence at upstream " +
                scheduler_.pool().at(upstream).entry.id);
}

maintenance::HostWork Coordinator::WorkOn(const std::string& upstream) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  if (index == kNoUpstream) return {.known = false};
  const scheduling::Upstream& it = scheduler_.pool().at(index);
  const auto work = scheduler_.WorkOn(index, deps_.executor.Now());
  const auto link = links_.find(index);
  const bool noted = link != links_.end() && link->second->all_ends_noted();
  return {.known = it.listed && it.reachable && scheduler_.resolved() && noted,
          .tasks = work.tasks,
          .bound_tasks = work.bound_tasks,
          .empties_in = work.empties_in,
          .millicores = work.millicores};
}

int64_t Coordinator::FreeMillicores() {
  const scheduling::UpstreamPool& pool = scheduler_.pool();
  int64_t free = 0;
  for (const UpstreamIndex index : pool.all()) {
    if (!pool.at(index).TakesWork()) continue;
    free += std::max(0, pool.at(index).free[scheduling::Dimension::kCores]);
  }
  return free;
}

void Coordinator::Withhold(const std::set<std::string>& upstreams) {
  scheduling::UpstreamPool& pool = scheduler_.pool();
  for (const UpstreamIndex index : pool.all()) {
    pool.at(index).vacating = upstreams.count(pool.at(index).entry.id) > 0;
  }
  PlaceSoon();
}

void Coordinator::Vacate(const std::string& upstream, bool all) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  if (index == kNoUpstream || !scheduler_.resolved()) return;
  Orders orders;
  scheduler_.Vacate(index, all, deps_.executor.Now(), orders);
  Pump(orders);
}

void Coordinator::LifeEnded(const std::string& upstream) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  ended_.insert(upstream);
  if (index != kNoUpstream && links_.count(index) > 0) OnEmpty(index, true);
}

void Coordinator::Pump(Orders& orders) {
  StoreChanges();
  for (const scheduling::StopOrder& stop : orders.stops) {
    const auto link = links_.find(stop.upstream);
    if (link == links_.end()) continue;
    if (stop.unasked) {
      LogUnasked(stop);
    } else {
      LogStop(stop);
    }
    link->second->Stop(stop.task, stop.attempt);
  }
  for (const scheduling::StartOrder& start : orders.starts) {
    const auto link = links_.find(start.upstream);
    if (link == links_.end()) continue;
    deps_.metrics.Count({.name = "task_starts"});
    logging::Event(Level::kInfo, "start",
                   {{"task", TaskIdText(start.task)},
                    {"attempt", Text(start.attempt)},
                    {"upstream", scheduler_.pool().at(start.upstream).entry.id},
                    {"checkpoint", start.checkpoint}});
    link->second->Start(start);
  }
  for (const scheduling::AdviceOrder& ask : orders.advice) SendAdvice(ask);
}

void Coordinator::LogStop(const scheduling::StopOrder& stop) {
  logging::Event(
      Level::kInfo, "stop",
      {{"task", TaskIdText(stop.task)},
       {"attempt", Text(stop.attempt)},
       {"upstream", scheduler_.pool().at(stop.upstream).entry.id},
       {"why", std::string(scheduling::kStopReasonNames.Name(stop.reason))}});
}

void Coordinator::LogUnasked(scheduling::StopOrder stop) {
  // The tasks of a final job are forgotten before its state is.
  const auto final = finals_.find(stop.task.job);
  const bool forgotten = stop.reason == scheduling::StopReason::kUnknownJob &&
                         final != finals_.end();
  if (forgotten) {
    stop.reason = scheduling::ReasonToStop(final->second.state);
    if (final->second.ended_here) {
      stop.since_end = std::chrono::duration_cast<Millis>(deps_.executor.Now() -
                                                          final->second.since);
    }
  }
  const std::string why(scheduling::kStopReasonNames.Name(stop.reason));
  deps_.metrics.Count({.name = "unasked_runs", .labels = {{"why", why}}});
  logging::Event(
      Level::kWarning, "unasked run stopped",
      {{"job", JobIdText(stop.task.job)},
       {"task", TaskIdText(stop.task)},
       {"attempt", Text(stop.attempt)},
       {"upstream", scheduler_.pool().at(stop.upstream).entry.id},
       {"why", why},
       {"job_ended_ms_ago",
        stop.since_end ? Text(stop.since_end->count()) : "not known"}});
}

void Coordinator::StoreChanges() {
  for (const JobId id : scheduler_.TakeChanged()) {
    const Job* job = scheduler_.Find(id);
    if (job == nullptr) continue;
    journal_->Put(ProgressKey(id), rpc::Encode(job->Progress()));
    if (!job->final() || finals_.count(id) > 0) continue;
    journal_->WhenStored(
        [weak = weak_from_this(), id, state = job->state()](bool stored) {
          const auto self = weak.lock();
          if (stored && self && !self->closed_) self->Finished(id, state);
        });
  }
}

void Coordinator::Finished(JobId id, JobState state) {
  finals_[id] = {.state = state,
                 .since = deps_.executor.Now(),
                 .spec_kept = true,
                 .ended_here = true};
  deps_.metrics.Count(
      {.name = "jobs_ended",
       .labels = {{"state", std::string(kJobStateNames.Name(state))}}});
  logging::Event(Level::kInfo, "job ended",
                 {{"job", JobIdText(id)},
                  {"state", std::string(kJobStateNames.Name(state))}});
}

void Coordinator::PlaceSoon() {
  if (place_due_ || closed_) return;
  place_due_ = true;
  deps_.executor.RunAfter(kPlaceDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->PlaceNow();
  });
}

void Coordinator::PlaceNow() {
  place_due_ = false;
  if (!MayGiveOrders() || !loaded_) return;
  const TimePoint now = deps_.executor.Now();
  Orders orders;
  scheduler_.Place(now, lanes_.Budget(now), orders);
  Pump(orders);
}

void Coordinator::SendAdvice(const scheduling::AdviceOrder& order) {
  const std::string lane = lanes_.Take(order.priority, deps_.executor.Now());
  if (lane.empty()) {
    return scheduler_.OnAdvice(order, nullptr, deps_.executor.Now());
  }
  logging::Event(
      Level::kDebug, "advice asked",
      {{"step", StepIdText(order.step)},
       {"entry", lane},
       {"upstreams", Text(static_cast<int64_t>(order.upstreams.size()))},
       {"expected_ms", Text(order.expected.count())}});
  deps_.advice.Ask(
      lane, order.step, order.upstreams, order.expected + kAdviceSlack,
      [weak = weak_from_this(), order,
       lane](const Result<ports::Advice>& advice) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        const TimePoint now = self->deps_.executor.Now();
        self->lanes_.Free(lane, !advice.ok(), now);
        if (!advice.ok()) {
          logging::Event(Level::kWarning, "advice failed",
                         {{"step", StepIdText(order.step)},
                          {"entry", lane},
                          {"cause", advice.error().message}});
        }
        if (advice.ok()) {
          logging::Event(
              Level::kInfo, "advice got",
              {{"step", StepIdText(order.step)},
               {"to", std::string(
                          scheduling::kAdvicePurposeNames.Name(order.purpose))},
               {"asked", Text(static_cast<int64_t>(order.upstreams.size()))},
               {"allowed",
                Text(static_cast<int64_t>(advice.value().allowed.size()))},
               {"valid_ms", Text(advice.value().valid.count())}});
        }
        self->scheduler_.OnAdvice(order,
                                  advice.ok() ? &advice.value() : nullptr, now);
        // The lane is free and the step may start: no reason to wait.
        self->PlaceSoon();
      });
}

}  // namespace mimosarail::coordinator
