#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"
#include "src/libs/base/result.h"

namespace mimosarail::ports {

/// The upstream that a call is meant for. A restarted upstream may keep its id;
/// the replies then tell its incarnations apart.
struct UpstreamTarget {
  std::string address;
  std::string id;
};

/// Outcome of a call to an upstream.
enum class CallVerdict {
  kDone,
  kFenced,        ///< The upstream has seen a higher fencing token.
  kStale,         ///< That attempt, or a later one, was already started there.
  kLeaseExpired,  ///< The lease in the call had expired on arrival.
  kNoCapacity,    ///< The upstream enforces its capacity, and is full.
  kBadTicket,     ///< No ticket, or one that is too old.
  kUnhealthy,     ///< Refused; nothing was done.
  kReplaced,      ///< The upstream has ended; another answers at its address.
  kMalformed,     ///< The upstream rejected the call as malformed.
  kNotSent,       ///< The call never left this process.
  kUnknown,       ///< May have taken effect, or may take effect later.
};

inline constexpr EnumTable kCallVerdictNames{std::array{
    EnumName{CallVerdict::kDone, "done"},
    EnumName{CallVerdict::kFenced, "fenced"},
    EnumName{CallVerdict::kStale, "stale attempt"},
    EnumName{CallVerdict::kLeaseExpired, "lease over"},
    EnumName{CallVerdict::kNoCapacity, "no room"},
    EnumName{CallVerdict::kBadTicket, "bad ticket"},
    EnumName{CallVerdict::kUnhealthy, "unhealthy"},
    EnumName{CallVerdict::kReplaced, "gone"},
    EnumName{CallVerdict::kMalformed, "malformed"},
    EnumName{CallVerdict::kNotSent, "not sent"},
    EnumName{CallVerdict::kUnknown, "unknown"},
}};

struct StartCall {
  TaskId task;
  int64_t attempt = 0;
  std::string payload;
  /// End of the lease of all tasks at the upstream, in ms of its clock.
  int64_t lease_until_ms = 0;
  int64_t fence = 0;
  std::string checkpoint;
  std::string ticket;
};

struct CallReply {
  CallVerdict verdict = CallVerdict::kUnknown;
  /// The upstream's clock, in ms; 0 if it was not reported.
  int64_t clock_ms = 0;
  std::string detail;
  /// When the incarnation that replied was started, in Unix ms; 0 if it was not
  /// reported.
  int64_t incarnation = 0;
};

/// How a run ended.
enum class EndKind {
  kDone,
  kFailed,
  kStopped,         ///< Ended by a stop order.
  kLeaseExpired,    ///< Its lease expired without a renewal.
  kGangFailed,      ///< Another member of its gang ended without success.
  kGangIncomplete,  ///< Other members of its gang did not start in time.
};

inline constexpr EnumTable kEndKindNames{std::array{
    EnumName{EndKind::kDone, "done"},
    EnumName{EndKind::kFailed, "failed"},
    EnumName{EndKind::kStopped, "stopped"},
    EnumName{EndKind::kLeaseExpired, "lapsed"},
    EnumName{EndKind::kGangFailed, "broken"},
    EnumName{EndKind::kGangIncomplete, "alone"},
}};

struct RunningTask {
  TaskId task;
  int64_t attempt = 0;
  std::string checkpoint;
  /// Progress that the task reports, in percent.
  int32_t percent = 0;
};

/// A completion: any end of a run, successful or not.
struct EndedTask {
  /// Sequence number of the completion at this incarnation of the upstream,
  /// from 1.
  int64_t number = 0;
  TaskId task;
  int64_t attempt = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

struct RenewCall {
  int64_t fence = 0;
  /// Completions up to this number are stored, and the upstream may discard
  /// them.
  int64_t acked_completions = 0;
  /// Requested end of the lease of all tasks at the upstream, in ms of its
  /// clock; 0 requests no lease.
  int64_t lease_until_ms = 0;
  /// How long the reply may wait for a completion.
  Millis wait{0};
};

struct RenewReply {
  CallReply call;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /// There may be more completions than those in `ended`. A run that is in
  /// neither list may then have ended as well.
  bool more_completions = false;
};

/// Sends orders to upstreams. Callbacks run on the control thread. Control
/// thread only.
class TaskPort {
 public:
  virtual ~TaskPort() = default;
  virtual void Start(const UpstreamTarget& target, const StartCall& call,
                     Millis timeout, std::function<void(CallReply)> done) = 0;
  virtual void Stop(const UpstreamTarget& target, const TaskId& task,
                    int64_t attempt, int64_t fence, Millis timeout,
                    std::function<void(CallReply)> done) = 0;
  /// Renews the lease of all tasks at the upstream, and returns the running
  /// tasks and the completions.
  virtual void Renew(const UpstreamTarget& target, const RenewCall& call,
                     Millis timeout, std::function<void(RenewReply)> done) = 0;
};

}  // namespace mimosarail::ports
