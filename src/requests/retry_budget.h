#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace mimosarail::requests {

/// Bounds retries of a rule to a share of its starts, so that an outage of
/// upstreams does not multiply the load. Not thread-safe.
class RetryBudget {
 public:
  void NoteStart(const std::string& rule) {
    double& tokens = Tokens(rule);
    tokens = std::min(kMost, tokens + kShare);
  }
  /// Takes one retry; false when the budget is spent.
  bool Take(const std::string& rule) {
    double& tokens = Tokens(rule);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

 private:
  static constexpr double kShare = 0.2;
  static constexpr double kFirst = 10;
  static constexpr double kMost = 100;
  double& Tokens(const std::string& rule) {
    return tokens_.emplace(rule, kFirst).first->second;
  }
  std::map<std::string, double> tokens_;
};

}  // namespace mimosarail::requests
