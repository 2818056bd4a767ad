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

/// The life of an upstream that a call is meant for.
struct UpstreamTarget {
  std::string address;
  std::string id;
};

enum class CallVerdict {
  kDone,
  kFenced,        ///< A higher fencing token was seen there.
  kStale,         ///< That attempt, or a later one, was there already.
  kLeaseExpired,  ///< The lease in the call had run out on arrival.
  kNoCapacity,    ///< The upstream guards its capacity, and it is full.
  kBadTicket,     ///< No ticket, or one that is too old.
  kUnhealthy,     ///< Refused; nothing was done.
  kReplaced,      ///< Another life of the upstream answers at the address.
  kMalformed,     ///< The upstream does not take the call as it is.
  kNotSent,       ///< Never left this process.
  kUnknown,       ///< May have taken effect, or may yet.
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

struct StartTask {
  TaskId task;
  int64_t attempt = 0;
  std::string payload;
  /// On the upstream's clock, in ms; for everything that runs there.
  int64_t lease_until_ms = 0;
  int64_t fence = 0;
  std::string checkpoint;
  std::string ticket;
};

struct CallReply {
  CallVerdict verdict = CallVerdict::kUnknown;
  /// The upstream's clock, in ms; 0 if it was not told.
  int64_t clock_ms = 0;
  std::string detail;
};

enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangFailed,
  kGangIncomplete
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
  int32_t percent = 0;
};

struct EndedTask {
  /// Counts the ends of one life of the upstream, from 1.
  int64_t number = 0;
  TaskId task;
  int64_t attempt = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

struct RenewCall {
  int64_t fence = 0;
  /// Ends up to this number are safe and may be forgotten.
  int64_t acked_ends = 0;
  int64_t lease_until_ms = 0;
  /// How long the answer may wait for an end.
  Millis wait{0};
};

struct RenewReply {
  CallReply call;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /// There may be more ends than are listed. A run that is in neither list may
  /// have ended then, too.
  bool more_ends = false;
};

/// Orders to upstreams. Callbacks run on the control thread. Control thread
/// only.
class TaskPort {
 public:
  virtual ~TaskPort() = default;
  virtual void Start(const UpstreamTarget& target, const StartTask& call,
                     Millis timeout, std::function<void(CallReply)> done) = 0;
  virtual void Stop(const UpstreamTarget& target, const TaskId& task,
                    int64_t attempt, int64_t fence, Millis timeout,
                    std::function<void(CallReply)> done) = 0;
  /// Renews the lease of all that runs there, and tells what runs and ended.
  virtual void Renew(const UpstreamTarget& target, const RenewCall& call,
                     Millis timeout, std::function<void(RenewReply)> done) = 0;
};

}  // namespace mimosarail::ports
