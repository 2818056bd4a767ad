#pragma once

#include <string>
#include <utility>
#include <vector>

namespace mimosarail {

/// A fault of an input and its position ("rules[2].when.team" or "7:14").
struct Finding {
  std::string place;
  std::string message;
  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Collects all faults of an input so that they can be reported together. Not
/// thread-safe.
class Findings {
 public:
  /// Maximum number of faults kept; more do not help a reader. A body of 4 MB
  /// can contain 300,000 faults, which would give a log line of 12 MB.
  static constexpr size_t kMaxKept = 100;

  void Add(std::string place, std::string message) {
    if (list_.size() == kMaxKept) return;
    list_.push_back({std::move(place), std::move(message)});
  }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  /// One line "place: message" per fault.
  std::string ToString() const {
    std::string out;
    for (const Finding& finding : list_) {
      out += finding.place + ": " + finding.message + "\n";
    }
    return out;
  }

 private:
  std::vector<Finding> list_;
};

}  // namespace mimosarail
