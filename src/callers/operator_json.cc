#include "src/callers/operator_json.h"

#include "src/libs/base/enum_table.h"

namespace mimosarail::callers {
namespace {

using json::Json;

constexpr size_t kMaxListedRequests = 1000;
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpConflict = 409;
constexpr int kHttpInvalid = 422;

constexpr EnumTable kEntryPhaseNames{std::array{
    EnumName{wire::EntryPhase::kJoining, "joining"},
    EnumName{wire::EntryPhase::kReady, "ready"},
    EnumName{wire::EntryPhase::kLeaving, "leaving"},
}};

Json AmountJson(const placement::Amount& amount) {
  Json out;
  for (size_t d = 0; d < placement::kDimensions; ++d) {
    const auto dimension = static_cast<placement::Dimension>(d);
    out[std::string(placement::kDimensionNames.Name(dimension))] =
        amount[dimension];
  }
  return out;
}

Json EntryJson(const configlog::AuditEntry& entry) {
  Json findings = Json::array();
  for (const Finding& finding : entry.findings) {
    findings.push_back(
        {{"place", finding.place}, {"message", finding.message}});
  }
  return {{"offset", entry.offset},
          {"id", entry.id},
          {"author", entry.author},
          {"unix_ms", entry.unix_ms},
          {"base", entry.base},
          {"revision", entry.revision},
          {"verdict", configlog::DecisionName(entry.decision)},
          {"findings", findings},
          {"difference", entry.difference}};
}

}  // namespace

Json QueueJson(instance::Instance& instance) {
  Json out = Json::array();
  for (const auto& view : instance.requests().Views(kMaxListedRequests)) {
    out.push_back({{"id", view.id},
                   {"state", requests::PhaseName(view.phase)},
                   {"why", view.status_message},
                   {"rule", view.rule},
                   {"revision", view.revision},
                   {"team", view.team},
                   {"work", view.work},
                   {"attempts", view.attempts},
                   {"waited_ms", view.waited_ms},
                   {"holders", view.task_states}});
  }
  return {{"instance", instance.members().options().name}, {"requests", out}};
}

Json InstancesJson(instance::Instance& instance) {
  const auto& members = instance.members();
  Json out = Json::array();
  out.push_back({{"name", members.options().name},
                 {"state", "self"},
                 {"phase", kEntryPhaseNames.Name(instance.phase())},
                 {"failure_domain", members.options().failure_domain},
                 {"address", members.options().address},
                 {"revision", instance.config().replica().revision()},
                 {"upstreams", instance.controller().Attached().size()},
                 {"waiting", instance.requests().waiting()}});
  for (const auto& [name, peer] : members.peers()) {
    out.push_back({{"name", name},
                   {"state", membership::PeerStateName(peer.state)},
                   {"phase", kEntryPhaseNames.Name(peer.last_heartbeat.phase)},
                   {"failure_domain", peer.failure_domain},
                   {"address", peer.address},
                   {"revision", peer.last_heartbeat.revision},
                   {"upstreams", peer.last_heartbeat.upstreams},
                   {"waiting", peer.last_heartbeat.waiting}});
  }
  return {{"seen_from", members.options().name}, {"instances", out}};
}

Json UpstreamsJson(instance::Instance& instance) {
  auto& controller = instance.controller();
  Json out = Json::array();
  for (const auto& [name, listed] : controller.listed()) {
    Json row = {{"name", name},
                {"rack", listed.rack},
                {"failure_domain", listed.failure_domain},
                {"controller", controller.ControllerOf(listed.rack)},
                {"leaving", listed.state == wire::ListedState::kLeaving}};
    if (const auto* session = controller.Find(name)) {
      const placement::UpstreamCapacity& capacity =
          controller.capacity().upstream(session->capacity_index());
      row["phase"] = control::SessionPhaseName(session->phase());
      row["term"] = session->term();
      row["free"] = AmountJson(capacity.free);
      row["capacity"] = AmountJson(capacity.capacity);
      row["failures"] = capacity.failures;
      row["tasks"] = instance.execution().RunningTasksOn(name);
    }
    out.push_back(std::move(row));
  }
  return {{"seen_from", instance.members().options().name}, {"upstreams", out}};
}

Json RulesJson(instance::Instance& instance) {
  const auto& state = instance.config().replica().in_force();
  return {{"revision", state.revision},
          {"author", state.author},
          {"unix_ms", state.unix_ms},
          {"text", state.text}};
}

Json AuditJson(instance::Instance& instance) {
  Json out = Json::array();
  for (const auto& entry : instance.config().replica().audit_trail()) {
    out.push_back(EntryJson(entry));
  }
  return {{"audit", out}};
}

std::pair<int, Json> PublishJson(const configlog::PublishResult& result) {
  Json body = EntryJson(result.entry);
  switch (result.state) {
    case configlog::PublishState::kRefusedHere:
      return {kHttpInvalid, body};
    case configlog::PublishState::kUnconfirmed:
      body["verdict"] = "unconfirmed";
      body["reason"] =
          "the log did not confirm it in time; it may still come into force: "
          "look for its id in the audit trail before publishing again";
      return {kHttpAccepted, body};
    case configlog::PublishState::kDecided:
      break;
  }
  const bool accepted = result.entry.decision == configlog::Decision::kAccepted;
  return {accepted ? kHttpOk : kHttpConflict, body};
}

Json CostJson(const std::vector<cost::DailyCost>& lines) {
  Json out = Json::array();
  for (const cost::DailyCost& line : lines) {
    const double cost = static_cast<double>(line.sum.cost_nanos) / 1e9;
    const auto requests = std::max<int64_t>(line.sum.requests, 1);
    out.push_back({{"day", line.day},
                   {"rule", line.sum.rule},
                   {"revision", line.sum.revision},
                   {"team", line.sum.team},
                   {"requests", line.sum.requests},
                   {"cost", cost},
                   {"cost_per_request", cost / static_cast<double>(requests)},
                   {"waited_ms_mean", line.sum.waited_ms / requests}});
  }
  return {{"cost", out}};
}

}  // namespace mimosarail::callers
