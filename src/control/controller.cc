#include "src/control/controller.h"

#include "src/libs/logging/log.h"

namespace mimosarail::control {
namespace {

/// Longer than it takes to resolve what ran on an upstream that has left.
constexpr Millis kPlannedLeaveRetention{600000};

}  // namespace

Controller::Controller(Executor& executor, ports::UpstreamPort& port,
                       SessionListener& listener, SessionOptions options)
    : executor_(executor),
      port_(port),
      listener_(listener),
      options_(std::move(options)) {}

void Controller::ApplyInstanceList(
    const std::vector<wire::ListedInstance>& instances) {
  std::map<std::string, wire::ListedInstance> before = std::move(listed_);
  listed_.clear();
  for (const wire::ListedInstance& listed : instances) {
    if (listed.role == wire::ListedRole::kUpstream) {
      listed_[listed.name] = listed;
    }
  }
  if (before != listed_) ++list_version_;
  for (const auto& [name, old_listed] : before) {
    if (listed_.contains(name)) continue;
    last_delisting_ = executor_.Now();
    if (old_listed.state != wire::ListedState::kLeaving) continue;
    planned_leaves_[name] = executor_.Now();
  }
  std::erase_if(planned_leaves_, [&](const auto& leave) {
    return listed_.contains(leave.first) ||
           executor_.Now() - leave.second > kPlannedLeaveRetention;
  });
  for (const auto& [name, listed] : listed_) {
    if (UpstreamSession* session = Find(name)) session->Update(listed);
  }
  ApplyAssignment();
}

void Controller::SetAssignment(std::map<std::string, std::string> controller_of,
                               bool minority) {
  controller_of_ = std::move(controller_of);
  minority_ = minority;
  ApplyAssignment();
}

void Controller::ApplyAssignment() {
  for (const auto& [name, listed] : listed_) {
    const bool preferred = ControllerOf(listed.rack) == options_.controller;
    auto found = sessions_.find(name);
    if (found == sessions_.end()) {
      if (!preferred) continue;
      auto session = std::make_shared<UpstreamSession>(
          executor_, port_, capacity_, listener_, options_, listed);
      found = sessions_.emplace(name, std::move(session)).first;
      sessions_by_index_.resize(std::max<size_t>(
          sessions_by_index_.size(), found->second->capacity_index() + 1));
      sessions_by_index_[found->second->capacity_index()] = found->second.get();
    }
    found->second->SetMinority(minority_);
    found->second->SetPreferred(preferred);
  }
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    UpstreamSession& session = *it->second;
    if (!listed_.contains(it->first)) {
      session.SetDelisted();
      session.SetPreferred(false);
    }
    if (!session.finished()) {
      ++it;
      continue;
    }
    sessions_by_index_[session.capacity_index()] = nullptr;
    capacity_.Remove(session.capacity_index());
    it = sessions_.erase(it);
  }
}

UpstreamSession* Controller::Find(const std::string& upstream) const {
  const auto found = sessions_.find(upstream);
  return found == sessions_.end() ? nullptr : found->second.get();
}

UpstreamSession* Controller::SessionAt(placement::CapacityIndex index) const {
  return index < sessions_by_index_.size() ? sessions_by_index_[index]
                                           : nullptr;
}

std::string Controller::ControllerOf(const std::string& rack) const {
  const auto found = controller_of_.find(rack);
  return found == controller_of_.end() ? "" : found->second;
}

std::vector<std::string> Controller::Attached() const {
  return AttachedSince(TimePoint());
}

std::vector<std::string> Controller::AttachedSince(TimePoint since) const {
  std::vector<std::string> out;
  for (const auto& [name, session] : sessions_) {
    if (session->phase() != SessionPhase::kReady) continue;
    if (session->last_confirmed_renewal() >= since) out.push_back(name);
  }
  return out;
}

}  // namespace mimosarail::control
