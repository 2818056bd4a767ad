#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mimosarail::fakes {

/// Events at the fakes, in order, for the checkers. Used by one thread only.
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

}  // namespace mimosarail::fakes
