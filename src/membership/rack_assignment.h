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

/// Which controller is preferred for each rack: rendezvous hashing with a bound
/// on each controller's load, its own failure domain first. Equal inputs give
/// equal results on every entry, and few racks move when one controller comes
/// or goes. Pure; safe from any thread.
std::map<std::string, std::string> AssignRacks(
    std::vector<RackPlace> racks, std::vector<ControllerPlace> controllers);

}  // namespace mimosarail::membership
