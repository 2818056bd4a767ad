#include "tests/jobsim/job_cluster.h"

#include <algorithm>

#include "src/libs/rpc/codec.h"

namespace mimosarail::jobsim {
namespace {

constexpr Millis kNetworkDelay{1};
constexpr Millis kCallTimeout{3000};
constexpr Millis kCheckInterval{100};

std::string AddressOf(const std::string& name) { return name + ":1"; }

/// Size of a message on the wire, with its frame and the network overhead.
template <typename Message>
size_t WireBytes(const Message& message) {
  constexpr size_t kFrameBytes = 80;
  return kFrameBytes + rpc::Encode(message).size();
}

}  // namespace

struct JobCluster::Process {
  Process(JobCluster& cluster, const std::string& name)
      : executor(cluster.clock_),
        store(cluster.store_, executor, name, &cluster.Machine(name)),
        tasks(cluster.upstreams_, executor, name,
              cluster.options_.upstream_calls_use_link ? &cluster.Machine(name)
                                                       : nullptr),
        peers(cluster, executor, name),
        hosts(cluster.hosts_, executor),
        capacity_use(
            {.link_bytes_per_s =
                 cluster.options_.link_rate_known
                     ? static_cast<int64_t>(cluster.LinkOf(name).bytes_per_s)
                     : 0}),
        entry(std::make_unique<jobentry::JobEntry>(
            jobentry::JobEntry::Dependencies{
                .executor = executor,
                .store = store,
                .config = store,
                .upstream_list = store,
                .task_port = tasks,
                .adviser = tasks,
                .peers = peers,
                .metrics = metrics,
                .hosts = cluster.options_.hosts ? &hosts : nullptr,
                .wave_status = &hosts,
                .saturated =
                    [this] { return capacity_use.saturated(executor.Now()); }},
            Options(name, cluster.options_))) {
    RunEvery(executor, leadership::CapacityUse::kPeriod,
             [this, &machine = cluster.Machine(name)] {
               capacity_use.Update(
                   {.bytes_in = machine.in.bytes_transferred(),
                    .bytes_out = machine.out.bytes_transferred()},
                   executor.Now());
             });
    entry->Start();
  }

  static jobentry::JobEntryOptions Options(const std::string& name,
                                           const JobClusterOptions& cluster) {
    jobentry::JobEntryOptions out;
    out.leadership.member.name = name;
    if (cluster.fitness.count(name) > 0) {
      out.leadership.member.fitness = cluster.fitness.at(name);
    }
    out.leadership.member.address = AddressOf(name);
    out.coordinator.link_kb_per_s = cluster.link_kb_per_s;
    out.coordinator.admission = cluster.admission;
    for (const std::string& seed : cluster.seeds) {
      out.leadership.seeds.push_back(AddressOf(seed));
    }
    return out;
  }

  sim::ManualExecutor executor;
  metrics::Registry metrics;
  StoreClientFake store;
  UpstreamClientFake tasks;
  EntryClientFake peers;
  HostClientFake hosts;
  leadership::CapacityUse capacity_use;
  std::unique_ptr<jobentry::JobEntry> entry;
};

JobCluster::JobCluster(JobClusterOptions options) : options_(options) {
  store_.Put(kConfigTable, "config", "1");
  if (options_.restart_under_same_id) upstreams_.SetRestartUnderSameId();
  if (options_.crash_silently) upstreams_.SetCrashSilently();
  for (int i = 0; i < options_.upstreams; ++i) AddUpstream(i);
  upstreams_.SetReplacement(options_.replacement_delay,
                            options_.replacement_at_new_address);
  upstreams_.OnCrash([this](const std::string& id) {
    clock_.At(clock_.now() + options_.list_entry_ttl,
              [this, id, incarnation = upstreams_.Incarnation(id)] {
                const bool restarted =
                    upstreams_.Incarnation(id) != incarnation;
                if (!restarted) store_.Put(kUpstreamTable, id, "");
              });
  });
  upstreams_.OnReplacement(
      [this](const std::string& id) { ReplaceUpstream(id); });
  for (int i = 0; i < options_.entries; ++i) {
    Start("entry-" + std::to_string(i));
  }
  CheckPeriodically();
}

JobCluster::~JobCluster() = default;

wire::UpstreamRecord JobCluster::ListEntry(int number) const {
  const std::string id = "up-" + std::to_string(number);
  wire::UpstreamRecord record;
  record.id = id;
  record.pool = "pool";
  record.address = id + ":1";
  record.incarnation = upstreams_.Incarnation(id);
  record.rack = "r" + std::to_string(number / 2);
  record.millicores = options_.millicores;
  record.memory_mb = options_.memory_mb;
  return record;
}

void JobCluster::AddUpstream(int number) {
  wire::UpstreamRecord record = ListEntry(number);
  upstreams_.Add(record.id, options_.millicores, options_.memory_mb);
  record.incarnation = upstreams_.Incarnation(record.id);
  store_.Put(kUpstreamTable, record.id, rpc::Encode(record));
  list_entries_[record.id] = record;
  hosts_.Add("host-" + std::to_string(number), record.id, record);
}

void JobCluster::ReplaceUpstream(const std::string& crashed) {
  wire::UpstreamRecord record = list_entries_[crashed];
  if (options_.restart_under_same_id) {
    record.incarnation = upstreams_.Incarnation(crashed);
    return ListRestarted(record);
  }
  // The adviser decides by the last digit, so it stays the same.
  record.id =
      "life-" + std::to_string(++replacements_created_) + "-" + crashed.back();
  list_entries_[record.id] = record;
  upstreams_.Add(record.id, record.millicores, record.memory_mb);
  store_.Put(kUpstreamTable, crashed, "");
  store_.Put(kUpstreamTable, record.id, rpc::Encode(record));
}

void JobCluster::ListRestarted(const wire::UpstreamRecord& record) {
  const auto list = [this, record] {
    // Another incarnation may have begun since.
    if (upstreams_.Incarnation(record.id) != record.incarnation) return;
    list_entries_[record.id] = record;
    store_.Put(kUpstreamTable, record.id, rpc::Encode(record));
  };
  if (options_.restart_list_delay == Millis(0)) return list();
  clock_.At(clock_.now() + options_.restart_list_delay, list);
}

void JobCluster::CheckPeriodically() {
  if (HasActiveFault()) upstreams_.RecordFault();
  upstreams_.CheckCancelled();
  if (options_.list_entries_expire) UpdateListEntries();
  clock_.At(clock_.now() + kCheckInterval, [this] { CheckPeriodically(); });
}

void JobCluster::UpdateListEntries() {
  const TimePoint now = clock_.now();
  for (const auto& [id, record] : list_entries_) {
    if (upstreams_.CrashVerdict(id)) {
      list_renewals_.erase(id);
      continue;
    }
    const bool renewing = upstreams_.Connected(id) && !store_.faults().down;
    ListRenewal& renewal = list_renewals_[id];
    if (renewal.renewing != renewing) {
      renewal.renewing = renewing;
      renewal.since = now;
    }
    const Millis delay =
        renewing ? options_.relist_delay : options_.list_entry_ttl;
    if (renewal.listed == renewing || now - renewal.since < delay) continue;
    renewal.listed = renewing;
    store_.Put(kUpstreamTable, id, renewing ? rpc::Encode(record) : "");
  }
}

bool JobCluster::HasActiveFault() const {
  const StoreFaults& store = store_.faults();
  if (store.down || !store.partitioned_entries.empty() ||
      store.drop_replies > 0 || store.delayed_appends > 0 ||
      !store.append_reply_delays.empty() || store.jitter > Millis(0) ||
      store.refused_percent > 0 || !isolated_.empty()) {
    return true;
  }
  const bool paused = std::any_of(
      processes_.begin(), processes_.end(), [](const auto& process) {
        return process.second && process.second->executor.paused();
      });
  return paused || upstreams_.HasActiveFault();
}

std::string JobCluster::Metrics(const std::string& entry) const {
  const auto found = processes_.find(entry);
  if (found == processes_.end() || !found->second) return {};
  return found->second->metrics.Text();
}

MachineFake& JobCluster::Machine(const std::string& entry) {
  auto& machine = machines_[entry];
  if (!machine) {
    machine = std::make_unique<MachineFake>(clock_);
    machine->out.SetRate(LinkOf(entry));
    machine->in.SetRate(LinkOf(entry));
    machine->processor.SetRate(options_.processor);
  }
  return *machine;
}

LinkRate JobCluster::LinkOf(const std::string& entry) const {
  const auto own = options_.links.find(entry);
  return own == options_.links.end() ? options_.link : own->second;
}

void JobCluster::SetLinkRate(LinkRate rate) {
  options_.link = rate;
  for (auto& [name, machine] : machines_) {
    machine->out.SetRate(rate);
    machine->in.SetRate(rate);
  }
}

void JobCluster::Start(const std::string& name) {
  upstreams_.RecordFault();
  processes_[name] = std::make_unique<Process>(*this, name);
}

void JobCluster::Kill(const std::string& entry) {
  auto& process = processes_[entry];
  if (!process) return;
  upstreams_.RecordFault();
  process->executor.Kill();
  for (CallerCall& call : calls_) {
    const bool open = call.answers == 0 && !call.connection_lost;
    if (call.entry != entry || !open) continue;
    call.connection_lost = true;
    call.ended = clock_.now();
  }
  killed_processes_.push_back(std::move(process));
}

void JobCluster::Restart(const std::string& entry) {
  Kill(entry);
  Start(entry);
}

void JobCluster::Pause(const std::string& entry) {
  if (!processes_[entry]) return;
  processes_[entry]->executor.Pause();
  for (CallerCall& call : calls_) {
    if (call.entry == entry && call.answers == 0) call.entry_paused = true;
  }
}

void JobCluster::Resume(const std::string& entry) {
  if (processes_[entry]) processes_[entry]->executor.Resume();
}

bool JobCluster::paused(const std::string& entry) const {
  const auto& process = processes_.at(entry);
  return process && process->executor.paused();
}

void JobCluster::SetIsolated(const std::string& entry, bool isolated) {
  if (isolated) {
    isolated_.insert(entry);
  } else {
    isolated_.erase(entry);
  }
}

void JobCluster::SetPartition(const std::set<std::string>& entries,
                              const std::set<std::string>& upstreams) {
  for (const std::string& entry : partition_) {
    store_.faults().partitioned_entries.erase(entry);
  }
  partition_ = entries;
  store_.faults().partitioned_entries.insert(entries.begin(), entries.end());
  std::set<std::string> all = entries;
  all.insert(upstreams.begin(), upstreams.end());
  upstreams_.SetPartition(std::move(all));
}

std::vector<std::string> JobCluster::names() const {
  std::vector<std::string> out;
  for (const auto& [name, process] : processes_) out.push_back(name);
  return out;
}

jobentry::JobEntry* JobCluster::entry(const std::string& name) {
  auto& process = processes_[name];
  return process ? process->entry.get() : nullptr;
}

std::string JobCluster::Leader() {
  std::string leader;
  int64_t term = 0;
  for (const auto& [name, process] : processes_) {
    if (!process || process->executor.paused()) continue;
    const auto& leadership = process->entry->leadership();
    if (!leadership.leading() || leadership.term() <= term) continue;
    leader = name;
    term = leadership.term();
  }
  return leader;
}

size_t JobCluster::RecordCall(CallKind kind, const std::string& entry,
                              JobId id) {
  const auto& process = processes_[entry];
  calls_.push_back({.kind = kind,
                    .job = id,
                    .entry = entry,
                    .sent = clock_.now(),
                    .connection_lost = !process,
                    .entry_paused = process && process->executor.paused()});
  return calls_.size() - 1;
}

void JobCluster::RecordAnswer(size_t call, const jobentry::JobAnswer& answer) {
  ++calls_[call].answers;
  calls_[call].ended = clock_.now();
  calls_[call].verdict = answer.verdict;
  calls_[call].retry_after = answer.retry_after;
}

void JobCluster::Submit(const std::string& entry, wire::JobSpec spec) {
  upstreams_.RegisterJob(spec);
  const auto id = static_cast<JobId>(spec.id);
  const size_t call = RecordCall(CallKind::kSubmit, entry, id);
  auto& process = processes_[entry];
  if (!process) return;
  ++submissions_[id];
  auto* target = process->entry.get();
  process->executor.Post([this, target, spec, id, call] {
    // A paused entry reads the submission after its caller has given up.
    const bool closed = clock_.now() - calls_[call].sent >= kCallTimeout;
    target->Submit(
        spec, {.timeout = kCallTimeout, .closed = closed},
        [this, id, call](jobentry::JobAnswer answer) {
          RecordAnswer(call, answer);
          submission_answers_[id].push_back(answer.verdict);
          if (answer.verdict == coordinator::JobVerdict::kConfirmed) {
            accepted_.insert(id);
          }
        });
  });
}

std::string JobCluster::FailureReason(JobId id) {
  const std::string leader = Leader();
  if (leader.empty()) return {};
  wire::JobStateCall call;
  call.id = static_cast<int64_t>(id);
  std::string reason;
  entry(leader)->OnQueryState(
      call, [&](const wire::JobStateReply& reply) { reason = reply.reason; });
  return reason;
}

void JobCluster::QueryState(const std::string& entry, JobId id,
                            std::function<void(jobentry::JobAnswer)> done,
                            const jobentry::CallerAccount& account) {
  auto& process = processes_[entry];
  if (!process) return;
  auto* target = process->entry.get();
  process->executor.Post([target, id, account, done = std::move(done)] {
    target->QueryState(id, account, kCallTimeout, done);
  });
}

bool JobCluster::answered(JobId id) const {
  const auto found = submission_answers_.find(id);
  return found != submission_answers_.end() &&
         found->second.size() >= submissions_.at(id);
}

bool JobCluster::refused(JobId id) const {
  // A call whose entry died was not refused: the job may have been accepted.
  if (!answered(id)) return false;
  const auto found = submission_answers_.find(id);
  return std::all_of(found->second.begin(), found->second.end(), [](auto v) {
    return v == coordinator::JobVerdict::kRefused ||
           v == coordinator::JobVerdict::kTooLarge;
  });
}

void JobCluster::Cancel(const std::string& entry, JobId id,
                        const jobentry::CallerAccount& account) {
  const size_t call = RecordCall(CallKind::kCancel, entry, id);
  auto& process = processes_[entry];
  if (!process) return;
  auto* target = process->entry.get();
  ++cancel_calls_[id];
  process->executor.Post([this, target, id, account, call] {
    target->Cancel(
        id, account, kCallTimeout,
        [this, id, account, call](jobentry::JobAnswer answer) {
          RecordAnswer(call, answer);
          ++cancel_answers_[id];
          if (answer.verdict == coordinator::JobVerdict::kConfirmed) {
            cancelled_.insert(id);
          }
          // A caller that gets "no such job" assumes that the job does not run,
          // whatever of its submissions is still on its way.
          if (answer.verdict == coordinator::JobVerdict::kNoSuchJob ||
              answer.verdict == coordinator::JobVerdict::kConfirmed) {
            upstreams_.RecordCancelled(id, account);
          }
        });
  });
}

bool JobCluster::cancel_answered(JobId id) const {
  const auto called = cancel_calls_.find(id);
  const auto answered = cancel_answers_.find(id);
  return called != cancel_calls_.end() && answered != cancel_answers_.end() &&
         answered->second >= called->second;
}

std::optional<JobState> JobCluster::State(JobId id) {
  // An answer may arrive after this function has returned.
  struct Query {
    bool answered = false;
    std::optional<JobState> state;
  };
  for (const auto& [name, process] : processes_) {
    if (!process || process->executor.paused()) continue;
    auto query = std::make_shared<Query>();
    auto* target = process->entry.get();
    process->executor.Post([query, target, id] {
      target->QueryState(
          id, std::nullopt, Millis(500), [query](jobentry::JobAnswer answer) {
            query->answered = true;
            if (answer.verdict == coordinator::JobVerdict::kConfirmed) {
              query->state = answer.state;
            }
          });
    });
    constexpr int kMaxPolls = 350;
    for (int i = 0; i < kMaxPolls && !query->answered; ++i) {
      clock_.RunFor(Millis(10));
    }
    if (query->state) return query->state;
  }
  return std::nullopt;
}

bool JobCluster::RunUntilFinal(JobId id, Millis limit) {
  const TimePoint until = clock_.now() + limit;
  while (clock_.now() < until) {
    clock_.RunFor(Millis(500));
    const auto state = State(id);
    if (state && IsFinal(*state)) return true;
  }
  return false;
}

std::vector<std::string> JobCluster::Violations() const {
  std::vector<std::string> out = upstreams_.violations();
  out.insert(out.end(), hosts_.violations().begin(), hosts_.violations().end());
  for (const auto& [id, answers] : submission_answers_) {
    if (refused(id) && upstreams_.HasRun(id)) {
      out.push_back("job ran although it was refused: " + JobIdText(id));
    }
  }
  return out;
}

wire::JobSpec OneStepJob(JobId id, int32_t tasks, int32_t millicores,
                         bool gang) {
  wire::JobSpec spec;
  spec.id = static_cast<int64_t>(id);
  spec.payload = "payload";
  spec.queue.name = "q";
  spec.queue.pool = "pool";
  spec.queue.max_attempts = 2;
  wire::StepSpec step;
  step.tasks = tasks;
  step.millicores = millicores;
  step.memory_mb = 500;
  step.estimate_ms = 500;
  step.gang = gang;
  spec.steps.push_back(step);
  return spec;
}

template <typename Reply>
void EntryClientFake::Call(
    const std::string& kind, const std::string& address, size_t bytes,
    Millis timeout, Callback<Reply> done,
    std::function<void(jobentry::JobEntry&, std::function<void(Reply)>)> serve,
    Connections connections) {
  const std::string name = address.substr(0, address.find(':'));
  const auto found = cluster_.processes_.find(name);
  if (found == cluster_.processes_.end() || !found->second) {
    // No process listens: the connection is refused.
    return executor_.RunAfter(2 * kNetworkDelay, [done] {
      done(Result<Reply>(Errc::kUnavailable, "refused"));
    });
  }
  auto answered = std::make_shared<bool>(false);
  executor_.RunAfter(timeout, [answered, done] {
    if (std::exchange(*answered, true)) return;
    done(Result<Reply>(Errc::kTimeout, "no answer"));
  });
  if (cluster_.isolated_.count(name) > 0 ||
      cluster_.isolated_.count(self_) > 0) {
    return;
  }
  if (cluster_.partition_.count(name) != cluster_.partition_.count(self_)) {
    return;
  }
  auto* process = found->second.get();
  const Millis way = kNetworkDelay + cluster_.peer_latency_[name] +
                     cluster_.peer_latency_[self_];
  MachineFake& caller_machine = cluster_.Machine(self_);
  MachineFake& callee_machine = cluster_.Machine(name);
  const auto deliver = [answered, done](const Reply& reply) {
    if (std::exchange(*answered, true)) return;
    done(reply);
  };
  const bool urgent = connections == Connections::kUrgent;
  const auto send = [urgent](const std::string& what, MachineFake& from,
                             MachineFake& to, size_t size,
                             std::function<void()> received) {
    from.traffic.Count(what, metrics::Direction::kOut, size);
    to.traffic.Count(what, metrics::Direction::kIn, size);
    const auto receive = [urgent, size, &to, received] {
      if (urgent) return to.ReceiveUrgent(size, received);
      to.Receive(size, received);
    };
    if (urgent) return from.out.TransferUrgent(size, receive);
    from.out.Transfer(size, receive);
  };
  const auto answer = [this, kind, &caller_machine, &callee_machine, deliver,
                       send, way](const Reply& reply) {
    send(kind + " reply", callee_machine, caller_machine, WireBytes(reply),
         [this, deliver, way, reply] {
           executor_.RunAfter(way, [deliver, reply] { deliver(reply); });
         });
  };
  const auto deliver_call = [process, serve, answer, way] {
    process->executor.RunAfter(
        way, [process, serve, answer] { serve(*process->entry, answer); });
  };
  send(kind, caller_machine, callee_machine, bytes, deliver_call);
}

void EntryClientFake::Heartbeat(const std::string& address,
                                const wire::HeartbeatCall& call, Millis timeout,
                                Callback<wire::HeartbeatReply> done) {
  Call<wire::HeartbeatReply>(
      "heartbeat", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { reply(entry.OnHeartbeat(call)); },
      Connections::kUrgent);
}
void EntryClientFake::Announce(const std::string& address,
                               const wire::AnnounceCall& call, Millis timeout,
                               Callback<wire::AnnounceReply> done) {
  Call<wire::AnnounceReply>(
      "announce", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { reply(entry.OnAnnounce(call)); },
      Connections::kUrgent);
}
void EntryClientFake::SubmitJob(const std::string& address,
                                const wire::SubmitJobCall& call, Millis timeout,
                                Callback<wire::SubmitJobReply> done) {
  Call<wire::SubmitJobReply>("submit", address, WireBytes(call), timeout,
                             std::move(done),
                             [this, call](auto& entry, auto reply) {
                               entry.OnSubmit(call, executor_.Now(), reply);
                             });
}
void EntryClientFake::JobState(const std::string& address,
                               const wire::JobStateCall& call, Millis timeout,
                               Callback<wire::JobStateReply> done) {
  Call<wire::JobStateReply>(
      "job state", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { entry.OnQueryState(call, reply); });
}
void EntryClientFake::CancelJob(const std::string& address,
                                const wire::CancelJobCall& call, Millis timeout,
                                Callback<wire::CancelJobReply> done) {
  Call<wire::CancelJobReply>(
      "cancel", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { entry.OnCancel(call, reply); });
}
void EntryClientFake::PendingJobs(const std::string& address,
                                  const wire::PendingJobsCall& call,
                                  Millis timeout,
                                  Callback<wire::PendingJobsReply> done) {
  Call<wire::PendingJobsReply>(
      "pending jobs", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { entry.OnCountPending(call, reply); });
}
void EntryClientFake::Advise(const std::string& address,
                             const wire::AdviseCall& call, Millis timeout,
                             Callback<wire::AdviseReply> done) {
  Call<wire::AdviseReply>(
      "advise", address, WireBytes(call), timeout, std::move(done),
      [call](auto& entry, auto reply) { entry.OnAdvise(call, reply); });
}

}  // namespace mimosarail::jobsim
