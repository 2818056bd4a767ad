#pragma once

#include <optional>

#include "src/libs/http/parser.h"
#include "src/libs/http/server_limits.h"

namespace mimosarail::http {

/// Until when a connection may take over the part of a request that it is
/// receiving. The time starts with the part, not with each read: otherwise a
/// client could hold its connection by sending a byte now and then. Not
/// thread-safe.
class ReadDeadline {
 public:
  /// Returns the deadline of a read that begins now.
  TimePoint Next(ParseStage stage, const ServerLimits& limits, TimePoint now);

  /// Starts the time anew with the next read. Call it after a response: while
  /// the previous request was handled, nothing was read.
  void Restart() { stage_.reset(); }

 private:
  /// The stage of the previous read.
  std::optional<ParseStage> stage_;
  TimePoint since_{};
};

}  // namespace mimosarail::http
