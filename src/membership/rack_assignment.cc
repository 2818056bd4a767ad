#include "src/membership/rack_assignment.h"

#include <algorithm>

#include "src/libs/base/digest.h"

namespace mimosarail::membership {
namespace {

/// One possible assignment of a rack to a controller, by their indexes.
struct Candidate {
  bool same_domain;
  uint64_t hash;
  size_t rack;
  size_t controller;
};

/// Orders candidates by descending preference. The order of two candidates does
/// not depend on which other controllers exist.
bool IsPreferred(const Candidate& a, const Candidate& b) {
  if (a.same_domain != b.same_domain) return a.same_domain;
  if (a.hash != b.hash) return a.hash > b.hash;
  if (a.rack != b.rack) return a.rack < b.rack;
  return a.controller < b.controller;
}

}  // namespace

std::map<std::string, std::string> AssignRacks(
    std::vector<RackInfo> racks, std::vector<ControllerInfo> controllers) {
  std::map<std::string, std::string> out;
  if (controllers.empty()) return out;
  std::sort(racks.begin(), racks.end(),
            [](const auto& a, const auto& b) { return a.rack < b.rack; });
  std::sort(controllers.begin(), controllers.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  std::vector<Candidate> candidates;
  candidates.reserve(racks.size() * controllers.size());
  for (size_t r = 0; r < racks.size(); ++r) {
    for (size_t c = 0; c < controllers.size(); ++c) {
      candidates.push_back(
          {.same_domain =
               racks[r].failure_domain == controllers[c].failure_domain,
           .hash = Hash64(racks[r].rack + "\n" + controllers[c].name),
           .rack = r,
           .controller = c});
    }
  }
  std::sort(candidates.begin(), candidates.end(), IsPreferred);
  const size_t max_racks =
      (racks.size() + controllers.size() - 1) / controllers.size();
  std::vector<size_t> load(controllers.size(), 0);
  for (const Candidate& candidate : candidates) {
    const std::string& rack = racks[candidate.rack].rack;
    if (out.contains(rack) || load[candidate.controller] >= max_racks) continue;
    out[rack] = controllers[candidate.controller].name;
    ++load[candidate.controller];
  }
  return out;
}

}  // namespace mimosarail::membership
