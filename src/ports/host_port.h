#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::ports {

enum class HostState {
  kUp,
  kMoving,       ///< On its way to another pool.
  kMaintenance,  ///< Away for its upkeep.
  kDown,         ///< Crashed or switched off.
  kUnknown,      ///< The list says something that is not known here.
};

inline constexpr EnumTable kHostStateNames{std::array{
    EnumName{HostState::kUp, "up"},
    EnumName{HostState::kMoving, "moving"},
    EnumName{HostState::kMaintenance, "upkeep"},
    EnumName{HostState::kDown, "down"},
    EnumName{HostState::kUnknown, "unclear"},
}};

/// One host. An upstream is one life of it: the host stays, upstreams change.
struct HostEntry {
  std::string host;
  std::string pool;
  HostState state = HostState::kUnknown;
  /// Id of the upstream that it is now; empty while there is none.
  std::string upstream;
};

struct HostPage {
  std::vector<HostEntry> hosts;
  /// Continues the list; empty on the last page.
  std::string next;
};

enum class HostVerdict {
  kDone,       ///< Begun now, or at an earlier call for the same wave.
  kFenced,     ///< A higher fencing token was used for this host.
  kBusy,       ///< Not up, or leaving; nothing was done.
  kNotInWave,  ///< The wave does not hold this host.
  kNoSuchHost,
  kRefused,  ///< Too many calls, or the API is not well; nothing was done.
  kUnknown,  ///< May have taken effect, or may yet.
};

inline constexpr EnumTable kHostVerdictNames{std::array{
    EnumName{HostVerdict::kDone, "done"},
    EnumName{HostVerdict::kFenced, "fenced"},
    EnumName{HostVerdict::kBusy, "busy"},
    EnumName{HostVerdict::kNotInWave, "not of the wave"},
    EnumName{HostVerdict::kNoSuchHost, "no such host"},
    EnumName{HostVerdict::kRefused, "refused"},
    EnumName{HostVerdict::kUnknown, "unknown"},
}};

struct HostReply {
  HostVerdict verdict = HostVerdict::kUnknown;
  std::string detail;
};

struct MaintenanceOrder {
  std::string host;
  int64_t wave = 0;
  /// Name of the entry that orders.
  std::string holder;
  int64_t fence = 0;
};

/// The platform's API of hosts. Callbacks run on the control thread. Control
/// thread only.
class HostPort {
 public:
  virtual ~HostPort() = default;
  /// One page of the list; `after` is empty for the first.
  virtual void ListHosts(const std::string& after, Millis timeout,
                         Callback<HostPage> done) = 0;
  /// Ends all that runs on the host at once; a new upstream joins later.
  /// Ordered again for the same wave it does nothing and says kDone.
  virtual void BeginMaintenance(const MaintenanceOrder& order, Millis timeout,
                                std::function<void(HostReply)> done) = 0;
};

/// What operators ask for: each of the hosts has its upkeep within `duration`,
/// with no more than `max_unavailable` away for it at the same time.
struct WaveRequest {
  int64_t wave = 0;
  std::vector<std::string> hosts;
  Millis duration{0};
  size_t max_unavailable = 1;
};

enum class WaveStatus { kRunning, kComplete };

inline constexpr EnumTable kWaveStatusNames{std::array{
    EnumName{WaveStatus::kRunning, "running"},
    EnumName{WaveStatus::kComplete, "complete"},
}};

/// Where operators read how far a wave is: a table of the record store.
/// Control thread only.
class WaveStatusPort {
 public:
  virtual ~WaveStatusPort() = default;
  virtual std::string status_table() const = 0;
  virtual KeyedRecord EncodeStatus(int64_t wave, WaveStatus status) const = 0;
};

}  // namespace mimosarail::ports
