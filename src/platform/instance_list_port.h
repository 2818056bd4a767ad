#pragma once

#include "platform_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::platform {

/// The platform's list of live and leaving instances, which lags. Callbacks
/// run on the control thread. Not thread-safe: control thread only.
class InstanceListPort {
 public:
  virtual ~InstanceListPort() = default;
  virtual void Fetch(Callback<wire::ListReply> done) = 0;
};

}  // namespace mimosarail::platform
