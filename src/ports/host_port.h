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
  kMoving,       ///< Moving to another pool.
  kMaintenance,  ///< Away for its maintenance.
  kDown,         ///< Crashed or switched off.
  kUnknown,      ///< The listed state is not one of the above.
};

inline constexpr EnumTable kHostStateNames{std::array{
    EnumName{HostState::kUp, "up"},
    EnumName{HostState::kMoving, "moving"},
    EnumName{HostState::kMaintenance, "upkeep"},
    EnumName{HostState::kDown, "down"},
    EnumName{HostState::kUnknown, "unclear"},
}};

/// One host of the list. A host runs a new upstream each time it starts; its id
/// may be the one that it had.
struct HostEntry {
  std::string host;
  std::string pool;
  HostState state = HostState::kUnknown;
  /// Id of the current upstream; empty while there is none.
  std::string upstream;
};

struct HostPage {
  std::vector<HostEntry> hosts;
  /// Requests the next page; empty on the last page.
  std::string next_page_token;
};

/// Outcome of a maintenance order.
enum class HostVerdict {
  kDone,       ///< Maintenance begun, now or by an earlier order of the wave.
  kFenced,     ///< A higher fencing token was used for this host.
  kBusy,       ///< The host is not up, or is leaving; nothing was done.
  kNotInWave,  ///< The wave does not include this host.
  kNoSuchHost,
  kRefused,  ///< Rate limit, or the API is unavailable; nothing was done.
  kUnknown,  ///< The order may have taken effect, or may do so later.
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
  /// Name of the entry that sends the order.
  std::string holder;
  /// Fencing token of that entry.
  int64_t fence = 0;
};

/// The platform's host API. Callbacks run on the control thread. Control
/// thread only.
class HostPort {
 public:
  virtual ~HostPort() = default;
  /// Reads one page of the list. `after` is the token from the previous page,
  /// empty for the first page.
  virtual void ListHosts(const std::string& after, Millis timeout,
                         Callback<HostPage> done) = 0;
  /// Ends all work on the host at once; a new upstream joins later. A repeated
  /// order for the same wave has no effect and is answered with kDone.
  virtual void BeginMaintenance(const MaintenanceOrder& order, Millis timeout,
                                std::function<void(HostReply)> done) = 0;
};

/// An operator's request: maintenance of each of the hosts within `duration`,
/// with no more than `max_unavailable` of them away at the same time.
struct WaveRequest {
  /// Number of the wave.
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

/// Where and how the status of waves is stored for operators: in a table of the
/// record store. Control thread only.
class WaveStatusPort {
 public:
  virtual ~WaveStatusPort() = default;
  virtual std::string status_table() const = 0;
  virtual KeyedRecord EncodeStatus(int64_t wave, WaveStatus status) const = 0;
};

}  // namespace mimosarail::ports
