#include "src/instance/instance.h"

#include <set>

#include "src/libs/base/soft_assert.h"
#include "src/libs/logging/log.h"
#include "src/membership/rack_assignment.h"
#include "src/rules/names.h"

namespace mimosarail::instance {
namespace {

/// Team use is sent with one of this many heartbeats.
constexpr int64_t kHeartbeatsPerTeamUse = 4;
/// Number of teams whose use is sent with one heartbeat.
constexpr size_t kMaxTeamsPerHeartbeat = 64;
constexpr Millis kPhaseCheckInterval{100};
constexpr Millis kShutdownCheckInterval{50};

}  // namespace

Instance::Instance(InstancePorts ports, InstanceOptions options)
    : ports_(ports),
      options_(std::move(options)),
      started_(ports.executor.Now()) {
  members_ = std::make_unique<membership::Membership>(
      ports_.executor, ports_.heartbeats, options_.membership,
      [this](wire::Heartbeat& heartbeat) { FillHeartbeat(heartbeat); },
      [this] { OnMembershipChanged(); });
  execution_ = std::make_unique<execution::Execution>(
      ports_.executor, ports_.peers,
      execution::ExecutionOptions{
          .end_retention = options_.requests.outcome_window,
          .seed = options_.seed},
      [this](const std::string& owner, int64_t incarnation) {
        return FindOwner(owner, incarnation);
      },
      [this](const wire::ReportCall& report) {
        return requests_->OnReport(report);
      },
      [this] { requests_->SchedulePlacementPass(); });
  controller_ = std::make_unique<control::Controller>(
      ports_.executor, ports_.upstreams, *execution_, options_.session);
  execution_->SetController(*controller_);
  config_ = std::make_unique<configlog::ConfigLogClient>(
      ports_.executor, ports_.log, ports_.config_source, options_.config,
      [this] {
        std::vector<std::string> out = options_.membership.seeds;
        for (const auto& [name, peer] : members_->peers()) {
          out.push_back(peer.address);
        }
        return out;
      },
      [this] { requests_->SchedulePlacementPass(); });
  ledger_ = std::make_unique<requests::IntentLedger>(
      ports_.executor, ports_.log, options_.intents);
  requests_ = std::make_unique<requests::Requests>(
      requests::RequestsContext{
          .executor = ports_.executor,
          .peers = ports_.peers,
          .members = *members_,
          .controller = *controller_,
          .execution = *execution_,
          .ledger = *ledger_,
          .rules = [this] { return config_->replica().rules(); },
          .revision = [this] { return config_->replica().revision(); },
          .accepting = [this] { return ready(); },
          .on_ended = [this](const requests::EndedRequest& e) { OnEnded(e); },
          .on_first_start =
              [this](const requests::Record& r) { OnFirstStart(r); }},
      options_.requests);
  cost_ = std::make_unique<cost::CostAggregator>(
      ports_.executor, ports_.log,
      cost::CostAggregatorOptions{
          .entry = options_.membership.name + "-" +
                   std::to_string(options_.membership.incarnation),
          .flush_interval = options_.cost_flush_interval});
  lookup_ = std::make_unique<Lookup>(ports_.executor, ports_.peers, *members_,
                                     *requests_, *execution_);
}

void Instance::Start() {
  members_->Start();
  config_->Start();
  ledger_->Start();
  execution_->Start();
  requests_->Start();
  cost_->Start();
  RefreshList();
  RunEvery(ports_.executor, options_.list_refresh_interval,
           [this] { RefreshList(); });
  RunEvery(ports_.executor, kPhaseCheckInterval, [this] { UpdatePhase(); });
}

std::vector<std::string> Instance::ReadinessBlockers() const {
  std::vector<std::string> out;
  if (phase_ == wire::EntryPhase::kLeaving) out.emplace_back("leaving");
  if (!config_->replica().rules()) {
    out.emplace_back(config_->log_up()
                         ? "no configuration has been published"
                         : "the log is unreachable and no peer has sent the "
                           "configuration");
  }
  if (!list_read_) out.emplace_back("the instance list has not been read yet");
  const bool peers_known =
      ports_.executor.Now() - started_ >= options_.membership.return_after;
  if (!peers_known) {
    out.emplace_back("listening for heartbeats of other instances");
  }
  return out;
}

void Instance::UpdatePhase() {
  const Millis gap = members_->TakeLongestPause();
  if (gap >= options_.membership.dead_after) {
    logging::Event(logging::Level::kWarning, "self_paused",
                   {{"ms", std::to_string(gap.count())}});
    ports_.metrics.Count({.name = "self_pauses_total"});
    requests_->OnSelfPaused();
  }
  if (phase_ != wire::EntryPhase::kJoining || !ReadinessBlockers().empty()) {
    return;
  }
  phase_ = wire::EntryPhase::kReady;
  logging::Event(logging::Level::kInfo, "ready");
  members_->SendHeartbeat();
  ReassignRacks();
}

void Instance::FillHeartbeat(wire::Heartbeat& heartbeat) {
  heartbeat.phase = phase_;
  heartbeat.revision = config_->replica().revision();
  const placement::CapacityTable& capacity = controller_->capacity();
  heartbeat.free_total = placement::ToResources(capacity.total_free());
  heartbeat.free_slots = capacity.total_free()[placement::Dimension::kSlots];
  heartbeat.free_largest = placement::ToResources(capacity.MaxFree());
  heartbeat.upstreams = static_cast<int32_t>(controller_->sessions().size());
  heartbeat.waiting = static_cast<int32_t>(requests_->waiting());
  if (heartbeats_filled_++ % kHeartbeatsPerTeamUse != 0) return;
  heartbeat.has_teams = true;
  for (auto& [team, use] : requests_->TeamUse()) {
    if (heartbeat.teams.size() >= kMaxTeamsPerHeartbeat) break;
    heartbeat.teams.push_back(use);
  }
}

void Instance::RefreshList() {
  ports_.list.Fetch(
      list_version_, [this](const Result<wire::ListReply>& reply) {
        if (!reply.ok()) {
          ports_.metrics.Count({.name = "instance_list_failures_total"});
          return;
        }
        list_read_ = true;
        if (reply.value().unchanged) return;
        list_version_ = reply.value().version;
        members_->ApplyInstanceList(reply.value().instances);
        controller_->ApplyInstanceList(reply.value().instances);
        ReassignRacks();
      });
}

void Instance::OnMembershipChanged() {
  // This is a callback of Membership, which may be in the middle of an update.
  // Racks are therefore reassigned after the callback has returned.
  if (reassign_pending_) return;
  reassign_pending_ = true;
  ports_.executor.Post([this] {
    reassign_pending_ = false;
    ReassignRacks();
    requests_->OnMembershipChanged();
  });
}

void Instance::ReassignRacks() {
  std::vector<membership::RackInfo> racks;
  std::set<std::string> seen;
  for (const auto& [name, listed] : controller_->listed()) {
    if (!seen.insert(listed.rack).second) continue;
    racks.push_back(
        {.rack = listed.rack, .failure_domain = listed.failure_domain});
  }
  std::vector<membership::ControllerInfo> controllers;
  if (ready()) {
    controllers.push_back(
        {.name = options_.membership.name,
         .failure_domain = options_.membership.failure_domain});
  }
  for (const membership::Peer* peer : members_->Controllers()) {
    controllers.push_back(
        {.name = peer->name, .failure_domain = peer->failure_domain});
  }
  controller_->SetAssignment(
      membership::AssignRacks(std::move(racks), std::move(controllers)),
      members_->InMinority());
}

execution::OwnerLocation Instance::FindOwner(const std::string& owner,
                                             int64_t incarnation) {
  execution::OwnerLocation location;
  location.alive = members_->IsCurrentProcess(owner, incarnation);
  location.is_self = owner == options_.membership.name && location.alive;
  if (const membership::Peer* peer = members_->Find(owner)) {
    location.address = peer->address;
  }
  return location;
}

// ---- Calls from peers

void Instance::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  members_->Receive(heartbeat);
}

wire::PlaceReply Instance::OnPlace(const wire::PlaceCall& call) {
  wire::PlaceReply reply;
  reply.status = wire::PlaceStatus::kNotReady;
  if (!ready()) return reply;
  // A delayed call may arrive after its owner has resolved the attempt as never
  // started. The call contains the sequence number of the last heartbeat that
  // its owner had received from this entry, which gives its age by this entry's
  // own clock.
  const auto age = (members_->sequence() - call.heartbeat_seen) *
                   options_.membership.heartbeat_interval;
  if (age > options_.requests.place_validity) {
    reply.detail = "the placement call is too old";
    ports_.metrics.Count({.name = "stale_place_calls_total"});
    return reply;
  }
  return execution_->Place(call);
}

wire::ReportReply Instance::OnReport(const wire::ReportCall& call) {
  wire::ReportReply reply;
  reply.taken = requests_->OnReport(call);
  return reply;
}

void Instance::OnFind(const wire::FindCall& call,
                      std::function<void(wire::FindReply)> done) {
  const auto answer = [this, call, done] {
    wire::FindReply reply;
    requests_->DescribeTo(call, reply);
    execution_->Find(call, reply);
    done(std::move(reply));
  };
  if (call.wait_ms <= 0 || requests_->Find(call.request_id) == nullptr) {
    return answer();
  }
  lookup_->Await(call.request_id, Millis(call.wait_ms),
                 [answer](const LookupResult&) { answer(); });
}

void Instance::OnSubmit(const wire::SubmitCall& call,
                        std::function<void(wire::SubmitReply)> done) {
  requests_->Submit(call.spec, [done](const requests::SubmitResult& submitted) {
    wire::SubmitReply reply;
    reply.taken = submitted.accepted;
    reply.refusal = submitted.outcome.reason;
    reply.retry_after_ms = submitted.outcome.retry_after_ms;
    done(std::move(reply));
  });
}

wire::CancelReply Instance::OnCancel(const wire::CancelCall& call) {
  wire::CancelReply reply;
  // The owner sends the number of the attempt to the controllers of its tasks.
  // Other entries send a negative number to the owner.
  reply.known = call.attempt >= 0 ? execution_->Stop(call.request_id)
                                  : requests_->Cancel(call.request_id);
  return reply;
}

// ---- Metrics and cost

void Instance::OnFirstStart(const requests::Record& record) {
  ports_.metrics.Observe(
      {.name = "waiting_ms",
       .labels = {{"rule", record.treatment.rule},
                  {"kind",
                   std::string(rules::WorkKindName(record.spec.kind))}}},
      static_cast<double>(record.waited.count()));
}

void Instance::OnEnded(const requests::EndedRequest& ended) {
  const requests::Record& record = ended.record;
  ports_.metrics.Count(
      {.name = "requests_total",
       .labels = {{"rule", record.treatment.rule},
                  {"verdict", std::string(rules::kVerdictNames.Name(
                                  record.outcome.verdict))}}});
  if (record.outcome.verdict != wire::Verdict::kDone) return;
  wire::CostLine line;
  line.rule = record.treatment.rule;
  line.revision = record.treatment.revision;
  line.team = record.spec.team;
  line.requests = 1;
  line.cost_nanos = record.outcome.cost_nanos;
  line.waited_ms = record.outcome.waited_ms;
  cost_->Add(line);
}

void Instance::UpdateGauges() {
  metrics::Registry& m = ports_.metrics;
  const placement::CapacityTable& capacity = controller_->capacity();
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    const auto dimension = static_cast<placement::Dimension>(d);
    const std::map<std::string, std::string> labels{
        {"dimension", std::string(placement::kDimensionNames.Name(dimension))}};
    m.Set({.name = "room_capacity", .labels = labels},
          capacity.total_capacity()[dimension]);
    m.Set({.name = "room_free", .labels = labels},
          capacity.total_free()[dimension]);
  }
  m.Set({.name = "waiting_requests"},
        static_cast<double>(requests_->waiting()));
  m.Set({.name = "held_tasks"}, static_cast<double>(execution_->task_count()));
  m.Set({.name = "task_starts"}, static_cast<double>(execution_->starts()));
  m.Set({.name = "reports_sent"}, static_cast<double>(execution_->reports()));
  m.Set({.name = "sessions"},
        static_cast<double>(controller_->sessions().size()));
  m.Set({.name = "revision"},
        static_cast<double>(config_->replica().revision()));
  m.Set({.name = "log_appends", .labels = {{"stream", "config"}}},
        static_cast<double>(config_->appends()));
  m.Set({.name = "log_appends", .labels = {{"stream", "intents"}}},
        static_cast<double>(ledger_->appends()));
  m.Set({.name = "log_appends", .labels = {{"stream", "cost"}}},
        static_cast<double>(cost_->appends()));
  m.Set({.name = "log_reads"},
        static_cast<double>(config_->reads() + ledger_->reads()));
  m.Set({.name = "intents_known"}, static_cast<double>(ledger_->size()));
  m.Set({.name = "soft_assert_failures"},
        static_cast<double>(SoftAssertFailures()));
}

// ---- Shutdown

void Instance::BeginShutdown(std::function<void()> done) {
  if (shutdown_done_) return;
  shutdown_done_ = std::move(done);
  shutdown_deadline_ = ports_.executor.Now() + options_.shutdown_limit;
  phase_ = wire::EntryPhase::kLeaving;
  logging::Event(logging::Level::kInfo, "leaving");
  members_->SendHeartbeat();
  ReassignRacks();
  RunEvery(ports_.executor, kShutdownCheckInterval,
           [this] { CheckShutdown(); });
}

/// Completes the shutdown once nothing depends on this process any more: its
/// requests have ended, other entries control its upstreams, owners have
/// received all results, and costs are in the log. At the shutdown limit it
/// completes regardless.
void Instance::CheckShutdown() {
  if (!shutdown_done_) return;
  const bool timed_out = ports_.executor.Now() >= shutdown_deadline_;
  size_t attached = 0;
  for (const auto& [name, session] : controller_->sessions()) {
    if (session->phase() == control::SessionPhase::kReady) ++attached;
  }
  const bool no_other_controller = members_->Controllers().empty();
  const bool idle = requests_->unfinished() == 0 &&
                    (execution_->task_count() == 0 || attached == 0);
  const bool drained = idle && (attached == 0 || no_other_controller);
  if (!drained && !timed_out) return;
  if (timed_out) requests_->AbandonWaiting("this instance is shutting down");
  if (!cost_->empty() && !timed_out) return cost_->Flush([](bool) {});
  logging::Event(timed_out ? logging::Level::kWarning : logging::Level::kInfo,
                 "left",
                 {{"unfinished", std::to_string(requests_->unfinished())},
                  {"held", std::to_string(execution_->task_count())},
                  {"attached", std::to_string(attached)}});
  const auto done = std::exchange(shutdown_done_, nullptr);
  done();
}

}  // namespace mimosarail::instance
