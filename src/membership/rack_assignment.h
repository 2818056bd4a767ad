#pragma once

#include <map>
#include <string>
#include <vector>

namespace mimosarail::membership {

struct RackPlace {
  std::string rack;
  std::string failure_domain;
};

struct ControllerPlace {
  std::string name;
  std::string failure_domain;
};

/// Returns the preferred controller of each rack. Uses rendezvous hashing with
/// a bound on the load of each controller; controllers in the failure domain of
/// the rack are preferred. Equal inputs give equal results on every entry, and
/// few racks move when one controller is added or removed. Pure; safe from any
/// thread.
std::map<std::string, std::string> AssignRacks(
    std::vector<RackPlace> racks, std::vector<ControllerPlace> controllers);

}  // namespace mimosarail::membership
