#pragma once

#include "platform_types.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// The platform's list of live and leaving instances. The list may be out of
/// date. Callbacks run on the control thread. Control thread only.
class InstanceListPort {
 public:
  virtual ~InstanceListPort() = default;
  /// Fetches the list. If its version is still `known_version`, the reply has
  /// `unchanged` set and contains no instances. Pass 0 if no
  /// version is known.
  virtual void Fetch(int64_t known_version, Callback<wire::ListReply> done) = 0;
};

}  // namespace mimosarail::ports
