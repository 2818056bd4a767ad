#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::fakes {

/// Fake of the platform's instance list. Changes take effect after the lag that
/// was set.
class InstanceListFake {
 public:
  InstanceListFake(Executor& executor,
                   std::vector<wire::ListedInstance> instances);

  wire::ListReply Fetch(int64_t known_version) const;
  bool down() const { return down_; }
  void SetDown(bool down) { down_ = down; }
  void SetLag(Millis lag) { lag_ = lag; }
  void SetState(const std::string& name, wire::ListedState::type state);
  void Remove(const std::string& name);
  void Put(const wire::ListedInstance& instance);
  const std::vector<wire::ListedInstance> Upstreams() const;

 private:
  Executor& executor_;
  Millis lag_{0};
  bool down_ = false;
  int64_t version_ = 1;
  std::map<std::string, wire::ListedInstance> instances_;
};

/// Parses a file that lists a cluster's entries and upstreams: {"entries":
/// [...], "upstreams": [...]}; see examples/*.cell.json.
std::vector<wire::ListedInstance> ParseClusterFile(const std::string& text);

}  // namespace mimosarail::fakes
