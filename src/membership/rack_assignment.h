#pragma once

#include <map>
#include <string>
#include <vector>

namespace mimosarail::membership {

struct RackInfo {
  std::string rack;
  std::string failure_domain;
};

struct ControllerInfo {
  std::string name;
  std::string failure_domain;
};

/// Returns the preferred controller of each rack. Uses rendezvous hashing with
/// a limit on the number of racks of each controller; controllers in the
/// failure domain of the rack are preferred. Equal inputs give equal results on
/// every entry, and few racks move when one controller is added or removed.
/// Pure; safe from any thread.
std::map<std::string, std::string> AssignRacks(
    std::vector<RackInfo> racks, std::vector<ControllerInfo> controllers);

}  // namespace mimosarail::membership
