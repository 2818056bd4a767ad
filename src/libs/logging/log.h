#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosarail::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

/// A field of a structured log line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Starts writing structured lines of level `min` or above to standard output;
/// without this call all lines are discarded. Call once, before other threads
/// start.
void Start(std::string_view instance, Level min = Level::kInfo);

/// Writes all queued lines and stops. Call once, before the process ends.
void Stop();

/// Number of lines dropped so far because the queue for standard output was
/// full. Thread-safe.
int64_t Dropped();

/// Whether lines of this level are written. Thread-safe.
bool Enabled(Level level);

/// Queues one line. Events are decisions that affect a request, and changes in
/// the process's view of the system. Never blocks: if the queue is full, the
/// line is dropped and counted. Thread-safe.
void Event(Level level, std::string_view event,
           const std::vector<Field>& fields = {});

/// Formats a number for a log line. Thread-safe.
inline std::string Text(int64_t value) { return std::to_string(value); }

}  // namespace mimosarail::logging
