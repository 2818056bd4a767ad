#pragma once

#include "platform_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// The platform's append-only log. Callbacks run on the control thread; a
/// failed append may have taken effect. Control thread only.
class LogPort {
 public:
  virtual ~LogPort() = default;
  virtual void Append(const wire::AppendCall& call,
                      Callback<wire::AppendReply> done) = 0;
  /// Reads from an offset; waits up to `wait_ms` for the first record.
  virtual void Read(const wire::ReadCall& call,
                    Callback<wire::ReadReply> done) = 0;
};

}  // namespace mimosarail::ports
