#pragma once

#include <cstddef>

#include "src/libs/base/executor.h"

namespace mimosarail::http {

/// Limits on one request. A request beyond them is refused, and its connection
/// closed, before the handler sees it.
struct ServerLimits {
  /// Bytes of a request without its body: empty lines before it, start line,
  /// headers, chunk extensions and trailers. Status 431.
  size_t max_head_bytes = 16 << 10;
  /// Bytes of the body. Status 413.
  size_t max_body_bytes = 256 << 10;
  /// From the first byte of the start line to the end of the headers. Status
  /// 408.
  Millis head_timeout{3000};
  /// From the end of the headers to the end of the body. Status 408.
  Millis body_timeout{10000};
  /// A connection without a request is closed after this time. Empty lines do
  /// not extend it.
  Millis idle_timeout{15000};
  /// From the start of a response until the kernel has taken it all. The
  /// connection is closed after this time.
  Millis write_timeout{10000};
};

}  // namespace mimosarail::http
