#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mimosarail::standins {

/// What really happened at the stand-ins, for the checkers. One thread only.
class History {
 public:
  void Add(nlohmann::json event, int64_t at_ms) {
    event["t"] = at_ms;
    events_.push_back(std::move(event));
  }
  const nlohmann::json& events() const { return events_; }

 private:
  nlohmann::json events_ = nlohmann::json::array();
};

}  // namespace mimosarail::standins
