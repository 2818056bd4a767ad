#include "tests/fakes/instance_list_fake.h"

#include <nlohmann/json.hpp>

namespace mimosarail::fakes {

using nlohmann::json;

InstanceListFake::InstanceListFake(Executor& executor,
                                   std::vector<wire::ListedInstance> instances)
    : executor_(executor) {
  for (auto& instance : instances) instances_[instance.name] = instance;
}

wire::ListReply InstanceListFake::Fetch(int64_t known_version) const {
  wire::ListReply reply;
  reply.version = version_;
  reply.unchanged = known_version == version_;
  if (reply.unchanged) return reply;
  for (const auto& [name, instance] : instances_) {
    reply.instances.push_back(instance);
  }
  return reply;
}

void InstanceListFake::SetState(const std::string& name,
                                wire::ListedState::type state) {
  executor_.RunAfter(lag_, [this, name, state] {
    const auto found = instances_.find(name);
    if (found != instances_.end()) found->second.state = state;
    ++version_;
  });
}

void InstanceListFake::Remove(const std::string& name) {
  executor_.RunAfter(lag_, [this, name] {
    instances_.erase(name);
    ++version_;
  });
}

void InstanceListFake::Put(const wire::ListedInstance& instance) {
  executor_.RunAfter(lag_, [this, instance] {
    instances_[instance.name] = instance;
    ++version_;
  });
}

const std::vector<wire::ListedInstance> InstanceListFake::Upstreams() const {
  std::vector<wire::ListedInstance> out;
  for (const auto& [name, instance] : instances_) {
    if (instance.role == wire::ListedRole::kUpstream) out.push_back(instance);
  }
  return out;
}

std::vector<wire::ListedInstance> ParseClusterFile(const std::string& text) {
  const json cluster = json::parse(text, nullptr, true, true);
  std::vector<wire::ListedInstance> out;
  for (const json& entry : cluster.value("entries", json::array())) {
    wire::ListedInstance listed;
    listed.name = entry.at("name");
    listed.role = wire::ListedRole::kEntry;
    listed.address = entry.at("address");
    listed.failure_domain = entry.value("failure_domain", "");
    out.push_back(listed);
  }
  for (const json& group : cluster.value("upstreams", json::array())) {
    const int count = group.value("count", 1);
    for (int i = 0; i < count; ++i) {
      wire::ListedInstance listed;
      listed.name = group.at("name").get<std::string>();
      if (count > 1) listed.name += "-" + std::to_string(i);
      listed.role = wire::ListedRole::kUpstream;
      listed.address = group.at("address");
      listed.failure_domain = group.value("failure_domain", "");
      listed.rack = group.at("rack");
      listed.capacity.millicores = group.value("cores", 16) * 1000;
      listed.capacity.memory_mb = group.value("memory_mb", 32768);
      listed.capacity.accelerators = group.value("accelerators", 0);
      listed.capacity.connections = group.value("connections", 64);
      listed.slots = group.value("slots", 8);
      out.push_back(listed);
    }
  }
  return out;
}

}  // namespace mimosarail::fakes
