#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosarail::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

/// One name and value of a structured line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Sends structured lines of at least `least` to standard output; without it
/// they are dropped. Call once, before other threads start.
void Start(std::string_view instance, Level least = Level::kInfo);

/// Writes what is queued; call once before the process ends.
void Stop();

/// Lines dropped so far because standard output did not take them in time.
/// Safe from any thread.
int64_t Dropped();

/// Whether lines of this level are written. Safe from any thread.
bool Enabled(Level level);

/// Queues one line: a decision that touches a request, or a change of what the
/// process believes. Never blocks: with a full queue the line is dropped and
/// counted. Safe from any thread.
void Event(Level level, std::string_view event,
           const std::vector<Field>& fields = {});

/// A number in a log line. Safe from any thread.
inline std::string Text(int64_t value) { return std::to_string(value); }

}  // namespace mimosarail::logging
