#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mimosarail::logging {

enum class Level { kInfo, kWarning, kError };

/// One name and value of a structured line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Sends structured lines to standard error; without it they are dropped.
/// Call once, before other threads start.
void Start(std::string_view instance);

/// Writes one line for a change of state; counters tell of all else.
/// Safe from any thread.
void Event(Level level, std::string_view event,
           const std::vector<Field>& fields = {});

}  // namespace mimosarail::logging
