#include "src/membership/rack_assignment.h"

#include <algorithm>

#include "src/libs/base/digest.h"

namespace mimosarail::membership {
namespace {

struct Choice {
  bool same_domain;
  uint64_t hash;
  size_t rack;
  size_t controller;
};

/// Orders the strongest preferences first. The order of two choices does not
/// depend on which other controllers exist.
bool Stronger(const Choice& a, const Choice& b) {
  if (a.same_domain != b.same_domain) return a.same_domain;
  if (a.hash != b.hash) return a.hash > b.hash;
  if (a.rack != b.rack) return a.rack < b.rack;
  return a.controller < b.controller;
}

}  // namespace

std::map<std::string, std::string> AssignRacks(
    std::vector<RackPlace> racks, std::vector<ControllerPlace> controllers) {
  std::map<std::string, std::string> out;
  if (controllers.empty()) return out;
  std::sort(racks.begin(), racks.end(),
            [](const auto& a, const auto& b) { return a.rack < b.rack; });
  std::sort(controllers.begin(), controllers.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  std::vector<Choice> choices;
  choices.reserve(racks.size() * controllers.size());
  for (size_t r = 0; r < racks.size(); ++r) {
    for (size_t c = 0; c < controllers.size(); ++c) {
      choices.push_back(
          {.same_domain =
               racks[r].failure_domain == controllers[c].failure_domain,
           .hash = Hash64(racks[r].rack + "\n" + controllers[c].name),
           .rack = r,
           .controller = c});
    }
  }
  std::sort(choices.begin(), choices.end(), Stronger);
  const size_t bound =
      (racks.size() + controllers.size() - 1) / controllers.size();
  std::vector<size_t> load(controllers.size(), 0);
  for (const Choice& choice : choices) {
    const std::string& rack = racks[choice.rack].rack;
    if (out.contains(rack) || load[choice.controller] >= bound) continue;
    out[rack] = controllers[choice.controller].name;
    ++load[choice.controller];
  }
  return out;
}

}  // namespace mimosarail::membership
