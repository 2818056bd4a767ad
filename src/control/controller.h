#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/upstream_session.h"

namespace mimosarail::control {

/// The upstreams of the cell: sessions for those whose rack prefers this
/// entry, and what the instance list says of all. Control thread only.
class Controller {
 public:
  /// The ports and the listener outlive it.
  Controller(Executor& executor, ports::UpstreamPort& port,
             SessionListener& listener, SessionOptions options);

  /// Takes over the instance list.
  void SetListed(const std::vector<wire::ListedInstance>& instances);
  /// `controller_of` maps each rack to its preferred controller; `minority`
  /// tells that this entry hears less than half of the others.
  void SetAssignment(std::map<std::string, std::string> controller_of,
                     bool minority);

  /// Sessions by upstream name: those wanted here and those not yet let go.
  const std::map<std::string, std::shared_ptr<UpstreamSession>>& sessions()
      const {
    return sessions_;
  }
  UpstreamSession* Find(const std::string& upstream) const;
  UpstreamSession* OnRow(placement::RowId row) const;
  placement::Room& room() { return room_; }
  const placement::Room& room() const { return room_; }

  /// Every upstream in the instance list, by name.
  const std::map<std::string, wire::ListedInstance>& listed() const {
    return listed_;
  }
  /// Rises when the list of upstreams changed.
  int64_t list_version() const { return list_version_; }
  /// Preferred controller of a rack, or "" while unknown.
  std::string ControllerOf(const std::string& rack) const;
  /// Names of upstreams attached here with the inventory counted in.
  std::vector<std::string> Attached() const;
  /// Those of which control was confirmed by the upstream after `since`.
  std::vector<std::string> AttachedSince(TimePoint since) const;
  /// When an upstream last left the instance list; epoch if never.
  TimePoint last_delisting() const { return last_delisting_; }

 private:
  void ApplyAssignment();

  Executor& executor_;
  ports::UpstreamPort& port_;
  SessionListener& listener_;
  SessionOptions options_;
  placement::Room room_;
  std::map<std::string, wire::ListedInstance> listed_;
  std::map<std::string, std::string> controller_of_;
  std::map<std::string, std::shared_ptr<UpstreamSession>> sessions_;
  std::vector<UpstreamSession*> by_row_;
  TimePoint last_delisting_{};
  bool minority_ = false;
  int64_t list_version_ = 0;
};

}  // namespace mimosarail::control
