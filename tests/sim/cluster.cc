#include "tests/sim/cluster.h"

namespace mimosarail::sim {
namespace {

constexpr Millis kCallTimeout{500};

std::string Rules(const std::string& comment) {
  return "// " + comment + R"(
{"rules": [
  {"name": "urgent", "when": {"urgent": true}, "then": {"priority": 0, "wait_limit_s": 60}},
  {"name": "others", "then": {"priority": 4, "wait_limit_s": 120, "retries": 3}}
]})";
}

}  // namespace

/// All outgoing ports of a simulated entry.
class EntryPorts final : public ports::UpstreamPort,
                         public ports::LogPort,
                         public ports::InstanceListPort,
                         public requests::PeerPort,
                         public configlog::PeerConfigSource,
                         public membership::HeartbeatSender {
 public:
  EntryPorts(Cluster& cluster, std::string self, Executor& executor)
      : cluster_(cluster), self_(std::move(self)), executor_(executor) {}

  void Attach(const std::string&, const wire::AttachCall& call,
              Callback<wire::AttachReply> done) override {
    ToUpstream<wire::AttachReply>(call, &fakes::UpstreamServerFake::Attach,
                                  std::move(done));
  }
  void Start(const std::string&, const wire::StartCall& call,
             Callback<wire::StartReply> done) override {
    ToUpstream<wire::StartReply>(call, &fakes::UpstreamServerFake::Start,
                                 std::move(done));
  }
  void Renew(const std::string&, const wire::RenewCall& call,
             Callback<wire::RenewReply> done) override {
    ToUpstream<wire::RenewReply>(call, &fakes::UpstreamServerFake::Renew,
                                 std::move(done), Millis(call.wait_ms));
  }
  void Steer(const std::string&, const wire::SteerCall& call,
             Callback<wire::SteerReply> done) override {
    ToUpstream<wire::SteerReply>(call, &fakes::UpstreamServerFake::Steer,
                                 std::move(done));
  }
  void Inventory(const std::string&, const wire::InventoryCall& call,
                 Callback<wire::InventoryReply> done) override {
    ToUpstream<wire::InventoryReply>(
        call, &fakes::UpstreamServerFake::Inventory, std::move(done));
  }
  void Usage(const std::string&, const wire::UsageCall& call,
             Callback<wire::UsageReply> done) override {
    ToUpstream<wire::UsageReply>(call, &fakes::UpstreamServerFake::Usage,
                                 std::move(done));
  }
  void Collect(const std::string&, const wire::CollectCall& call,
               Callback<wire::CollectReply> done) override {
    ToUpstream<wire::CollectReply>(call, &fakes::UpstreamServerFake::Collect,
                                   std::move(done));
  }

  void Append(const wire::AppendCall& call,
              Callback<wire::AppendReply> done) override {
    cluster_.network_.Call<wire::AppendReply>(
        self_, executor_, "log", &cluster_.platform_executor_, kCallTimeout,
        [this, call](auto reply) { cluster_.log_->Append(call, reply); },
        std::move(done));
  }
  void Read(const wire::ReadCall& call,
            Callback<wire::ReadReply> done) override {
    cluster_.network_.Call<wire::ReadReply>(
        self_, executor_, "log", &cluster_.platform_executor_,
        kCallTimeout + Millis(call.wait_ms),
        [this, call](auto reply) { cluster_.log_->Read(call, reply); },
        std::move(done));
  }
  void Fetch(int64_t known_version, Callback<wire::ListReply> done) override {
    cluster_.network_.Call<wire::ListReply>(
        self_, executor_, "list", &cluster_.platform_executor_, kCallTimeout,
        [this, known_version](auto reply) {
          if (!cluster_.list_->down()) {
            reply(cluster_.list_->Fetch(known_version));
          }
        },
        std::move(done));
  }

  void Place(const std::string& to, const wire::PlaceCall& call,
             Callback<wire::PlaceReply> done) override {
    ToPeer<wire::PlaceReply>(
        to, kCallTimeout,
        [call](instance::Instance& peer, auto reply) {
          reply(peer.OnPlace(call));
        },
        std::move(done));
  }
  void Report(const std::string& to, const wire::ReportCall& call,
              Callback<wire::ReportReply> done) override {
    ToPeer<wire::ReportReply>(
        to, kCallTimeout,
        [call](instance::Instance& peer, auto reply) {
          reply(peer.OnReport(call));
        },
        std::move(done));
  }
  void Find(const std::string& to, const wire::FindCall& call,
            Callback<wire::FindReply> done) override {
    ToPeer<wire::FindReply>(
        to, kCallTimeout + Millis(call.wait_ms),
        [call](instance::Instance& peer, auto reply) {
          peer.OnFind(call, reply);
        },
        std::move(done));
  }
  void Submit(const std::string& to, const wire::SubmitCall& call,
              Callback<wire::SubmitReply> done) override {
    ToPeer<wire::SubmitReply>(
        to, kCallTimeout,
        [call](instance::Instance& peer, auto reply) {
          peer.OnSubmit(call, reply);
        },
        std::move(done));
  }
  void Cancel(const std::string& to, const wire::CancelCall& call,
              Callback<wire::CancelReply> done) override {
    ToPeer<wire::CancelReply>(
        to, kCallTimeout,
        [call](instance::Instance& peer, auto reply) {
          reply(peer.OnCancel(call));
        },
        std::move(done));
  }
  void FetchConfig(const std::string& to,
                   Callback<wire::ConfigFetchReply> done) override {
    ToPeer<wire::ConfigFetchReply>(
        to, kCallTimeout,
        [](instance::Instance& peer, auto reply) {
          reply(peer.config().MakeFetchReply());
        },
        std::move(done));
  }
  void Send(const std::string& to, const wire::Heartbeat& heartbeat) override {
    EntryProcess* peer = cluster_.FindByAddress(to);
    if (peer == nullptr) return;
    cluster_.network_.Send(
        self_, peer->name, *peer->executor,
        [peer, heartbeat] { peer->instance->OnHeartbeat(heartbeat); }, true);
  }

 private:
  template <typename Reply, typename Call, typename Method>
  void ToUpstream(const Call& call, Method method, Callback<Reply> done,
                  Millis server_wait = Millis(0)) {
    fakes::UpstreamServerFake* upstream =
        cluster_.upstreams_.at(call.upstream).get();
    cluster_.network_.Call<Reply>(
        self_, executor_, call.upstream,
        cluster_.upstream_executors_.at(call.upstream).get(),
        kCallTimeout + server_wait,
        [upstream, call, method](auto reply) {
          (upstream->*method)(call, reply);
        },
        std::move(done));
  }

  template <typename Reply>
  void ToPeer(
      const std::string& to, Millis timeout,
      std::function<void(instance::Instance&, std::function<void(Reply)>)>
          handle,
      Callback<Reply> done) {
    EntryProcess* peer = cluster_.FindByAddress(to);
    const bool receiver_ended = peer == nullptr || peer->executor->dead();
    cluster_.network_.Call<Reply>(
        self_, executor_, peer == nullptr ? to : peer->name,
        receiver_ended ? nullptr : peer->executor.get(), timeout,
        [peer, handle = std::move(handle)](auto reply) {
          handle(*peer->instance, reply);
        },
        std::move(done));
  }

  Cluster& cluster_;
  std::string self_;
  Executor& executor_;
};

wire::RequestSpec MakeSpec(const std::string& work, int64_t run_ms) {
  wire::RequestSpec spec;
  spec.team = "team";
  spec.work = work;
  spec.size.millicores = 1000;
  spec.size.memory_mb = 100;
  spec.repeatable = true;
  spec.run_ms = run_ms;
  return spec;
}

Cluster::Cluster(ClusterOptions options)
    : options_(options), network_(clock_, options.seed) {
  std::vector<wire::ListedInstance> listed;
  for (int i = 0; i < options_.entries; ++i) {
    wire::ListedInstance entry;
    entry.name = EntryName(i);
    entry.role = wire::ListedRole::kEntry;
    entry.address = entry.name;
    entry.failure_domain = "domain-" + std::to_string(i);
    listed.push_back(entry);
  }
  for (int rack = 0; rack < options_.racks; ++rack) {
    for (int i = 0; i < options_.upstreams_per_rack; ++i) {
      wire::ListedInstance upstream;
      upstream.name = UpstreamName(rack, i);
      upstream.role = wire::ListedRole::kUpstream;
      upstream.address = upstream.name;
      upstream.rack = "rack-" + std::to_string(rack);
      upstream.failure_domain = "domain-" + std::to_string(rack);
      upstream.capacity.millicores = options_.millicores;
      upstream.capacity.memory_mb = 8000;
      upstream.capacity.connections = 16;
      upstream.slots = 4;
      listed.push_back(upstream);
      auto& executor = upstream_executors_[upstream.name];
      executor = std::make_unique<ManualExecutor>(clock_);
      upstreams_[upstream.name] = std::make_unique<fakes::UpstreamServerFake>(
          *executor, history_, upstream);
    }
  }
  log_ = std::make_unique<fakes::LogServerFake>(platform_executor_,
                                                options_.retention);
  list_ = std::make_unique<fakes::InstanceListFake>(platform_executor_, listed);
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
}

Cluster::~Cluster() = default;

void Cluster::StartEntry(int i) {
  auto process = std::make_unique<EntryProcess>();
  process->name = EntryName(i);
  process->incarnation = next_incarnation_++;
  process->executor = std::make_unique<ManualExecutor>(clock_);
  process->ports =
      std::make_unique<EntryPorts>(*this, process->name, *process->executor);
  process->metrics = std::make_unique<metrics::Registry>();
  const uint64_t seed =
      options_.seed * 1000 + static_cast<uint64_t>(process->incarnation);
  instance::InstanceOptions options;
  options.membership = {.name = process->name,
                        .incarnation = process->incarnation,
                        .address = process->name,
                        .failure_domain = "domain-" + std::to_string(i)};
  options.session = {.controller = process->name, .seed = seed};
  options.config = {.name = process->name,
                    .incarnation = process->incarnation,
                    .checkpoint_interval = options_.retention / 4};
  options.requests = {.self = process->name,
                      .incarnation = process->incarnation,
                      .place_validity = options.membership.dead_after,
                      .seed = seed};
  options.cost_flush_interval = Millis(5000);
  options.seed = seed;
  process->instance = std::make_unique<instance::Instance>(
      instance::InstancePorts{.executor = *process->executor,
                              .upstreams = *process->ports,
                              .log = *process->ports,
                              .list = *process->ports,
                              .peers = *process->ports,
                              .config_source = *process->ports,
                              .heartbeats = *process->ports,
                              .metrics = *process->metrics},
      options);
  EntryProcess* started = process.get();
  entries_[process->name] = std::move(process);
  started->instance->Start();
}

void Cluster::Kill(int i) { entry_process(i).executor->Kill(); }

void Cluster::Restart(int i) {
  // Pending callbacks still hold pointers to the old process.
  replaced_entries_.push_back(std::move(entries_[EntryName(i)]));
  StartEntry(i);
}

EntryProcess* Cluster::Find(const std::string& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : found->second.get();
}

EntryProcess* Cluster::FindByAddress(const std::string& address) {
  return Find(address);
}

std::vector<std::string> Cluster::upstream_names() const {
  std::vector<std::string> out;
  for (const auto& [name, upstream] : upstreams_) out.push_back(name);
  return out;
}

void Cluster::CheckRevisions() {
  for (const auto& [name, process] : entries_) {
    const int64_t revision = process->instance->config().replica().revision();
    if (revision < process->newest_revision) {
      revision_regressions.push_back(name);
    }
    process->newest_revision = revision;
  }
}

void Cluster::Run(Millis span) {
  const TimePoint until = clock_.now() + span;
  while (clock_.now() < until) {
    clock_.RunUntil(std::min(until, clock_.now() + Millis(20)));
    CheckRevisions();
  }
}

bool Cluster::RunUntil(const std::function<bool()>& done, Millis limit) {
  const TimePoint until = clock_.now() + limit;
  while (!done() && clock_.now() < until) Run(Millis(20));
  return done();
}

bool Cluster::AllAttached() {
  size_t attached = 0;
  for (const auto& [name, process] : entries_) {
    if (process->executor->dead()) continue;
    if (!process->instance->ready()) return false;
    attached += process->instance->controller().Attached().size();
  }
  return attached >= upstreams_.size();
}

bool Cluster::WaitUntilReady() {
  Run(Millis(100));
  Publish(0, 0, "first");
  return RunUntil([this] { return AllAttached(); }, Millis(20000));
}

std::shared_ptr<SubmitResult> Cluster::Submit(int entry,
                                              wire::RequestSpec spec) {
  auto submit_result = std::make_shared<SubmitResult>();
  EntryProcess& process = entry_process(entry);
  process.executor->Post([&process, submit_result, spec = std::move(spec)] {
    process.instance->requests().Submit(
        spec,
        [&process, submit_result](const requests::SubmitResult& submitted) {
          submit_result->id = submitted.id;
          if (!submitted.accepted) {
            submit_result->answered = true;
            submit_result->outcome = submitted.outcome;
            return;
          }
          process.instance->requests().Await(
              submitted.id, [submit_result](const wire::Outcome& outcome) {
                submit_result->answered = true;
                submit_result->outcome = outcome;
              });
        });
  });
  return submit_result;
}

std::shared_ptr<SubmitResult> Cluster::Lookup(int entry, const std::string& id,
                                              Millis wait) {
  auto lookup_result = std::make_shared<SubmitResult>();
  lookup_result->id = id;
  EntryProcess& process = entry_process(entry);
  process.executor->Post([&process, lookup_result, id, wait] {
    process.instance->lookup().Await(
        id, wait, [lookup_result](const instance::LookupResult& result) {
          lookup_result->answered =
              result.state == instance::LookupState::kEnded;
          lookup_result->found =
              result.state != instance::LookupState::kUnknownId;
          lookup_result->outcome = result.outcome;
        });
  });
  return lookup_result;
}

std::shared_ptr<configlog::PublishResult> Cluster::Publish(
    int entry, int64_t base, const std::string& comment) {
  auto result = std::make_shared<configlog::PublishResult>();
  result->entry.revision = -1;
  EntryProcess& process = entry_process(entry);
  process.executor->Post([&process, result, base, comment] {
    process.instance->config().Publish(
        Rules(comment), "operator", base,
        [result](const configlog::PublishResult& published) {
          *result = published;
        });
  });
  return result;
}

}  // namespace mimosarail::sim
