#pragma once

#include <string>
#include <string_view>
#include <unordered_set>

#include "src/ports/cell_config_port.h"

namespace mimosarail::configcheck {

/// Shows names from a configuration in findings. The configurations outlive
/// this object. Thread-safe once all configurations are added.
class DisplayNames {
 public:
  /// Hides the keys of this configuration where they occur as names.
  void AddKeysOf(const ports::CellConfig& config);
  /// Whether the text is a key.
  bool IsKey(std::string_view text) const { return keys_.count(text) > 0; }
  /// Returns the text in quotes, with control characters replaced: they could
  /// move a terminal's cursor or fake lines. A text that is a key is hidden.
  std::string Quoted(std::string_view text) const;
  /// Returns the queue's name, host and prefix.
  std::string Describe(const ports::QueueConfig& queue) const;

 private:
  std::unordered_set<std::string_view> keys_;
};

}  // namespace mimosarail::configcheck
