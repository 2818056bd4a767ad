#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/upstream_session.h"

namespace mimosarail::control {

/// Keeps a session for each upstream on the racks assigned to this entry, and
/// the instance list entries of all upstreams. Control thread only.
class Controller {
 public:
  /// The executor, the port and the listener must outlive it.
  Controller(Executor& executor, ports::UpstreamPort& port,
             SessionListener& listener, SessionOptions options);

  /// Applies a new version of the instance list.
  void ApplyInstanceList(const std::vector<wire::ListedInstance>& instances);
  /// Applies a new assignment of racks. `controller_of` maps each rack to its
  /// preferred controller; `minority` is the result of
  /// Membership::InMinority().
  void SetAssignment(std::map<std::string, std::string> controller_of,
                     bool minority);

  /// Sessions by upstream name, including those that are no longer assigned to
  /// this entry but not yet finished.
  const std::map<std::string, std::shared_ptr<UpstreamSession>>& sessions()
      const {
    return sessions_;
  }
  UpstreamSession* Find(const std::string& upstream) const;
  UpstreamSession* SessionAt(placement::CapacityIndex index) const;
  placement::CapacityTable& capacity() { return capacity_; }
  const placement::CapacityTable& capacity() const { return capacity_; }

  /// Every upstream in the instance list, by name.
  const std::map<std::string, wire::ListedInstance>& listed() const {
    return listed_;
  }
  /// Incremented when listed() changes.
  int64_t list_version() const { return list_version_; }
  /// Preferred controller of a rack, or "" while unknown.
  std::string ControllerOf(const std::string& rack) const;
  /// Names of the upstreams attached here whose inventory has been adopted.
  std::vector<std::string> Attached() const;
  /// Names of the attached upstreams that have confirmed at some time after
  /// `since` that this entry controls them.
  std::vector<std::string> AttachedSince(TimePoint since) const;
  /// When an upstream last left the instance list; TimePoint{} if never.
  TimePoint last_delisting() const { return last_delisting_; }
  /// Whether the upstream was removed from the list recently, after the list
  /// had said that it leaves.
  bool HasLeftAsPlanned(const std::string& upstream) const {
    return planned_leaves_.contains(upstream);
  }

 private:
  void ApplyAssignment();

  Executor& executor_;
  ports::UpstreamPort& port_;
  SessionListener& listener_;
  SessionOptions options_;
  placement::CapacityTable capacity_;
  std::map<std::string, wire::ListedInstance> listed_;
  std::map<std::string, std::string> controller_of_;
  std::map<std::string, std::shared_ptr<UpstreamSession>> sessions_;
  std::vector<UpstreamSession*> sessions_by_index_;
  TimePoint last_delisting_{};
  /// When upstreams left as planned, by name.
  std::map<std::string, TimePoint> planned_leaves_;
  bool minority_ = false;
  int64_t list_version_ = 0;
};

}  // namespace mimosarail::control
