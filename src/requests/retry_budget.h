#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace mimosarail::requests {

/// Limits the retries of a rule to a fraction of its starts, so that an outage
/// of upstreams does not multiply the load. Not thread-safe.
class RetryBudget {
 public:
  void NoteStart(const std::string& rule) {
    double& tokens = Tokens(rule);
    tokens = std::min(kMaxTokens, tokens + kTokensPerStart);
  }
  /// Consumes one retry; returns false if the budget is exhausted.
  bool TryConsume(const std::string& rule) {
    double& tokens = Tokens(rule);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

 private:
  static constexpr double kTokensPerStart = 0.2;
  static constexpr double kInitialTokens = 10;
  static constexpr double kMaxTokens = 100;
  double& Tokens(const std::string& rule) {
    return tokens_.emplace(rule, kInitialTokens).first->second;
  }
  std::map<std::string, double> tokens_;
};

}  // namespace mimosarail::requests
