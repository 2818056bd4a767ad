#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::rpc {

/// All calls between processes. The numbers are part of the wire format.
enum class Method : int32_t {
  kList = 1,
  kAttach = 10,
  kStart = 11,
  kRenew = 12,
  kSteer = 13,
  kInventory = 14,
  kUsage = 15,
  kCollect = 16,
  kAppend = 20,
  kRead = 21,
  kPlace = 30,
  kReport = 31,
  kFind = 32,
  kCancel = 33,
  kSubmit = 35,
  kConfigFetch = 34,
  kHeartbeat = 50,
  kAnnounce = 51,
  kSubmitJob = 52,
  kJobState = 53,
  kCancelJob = 54,
  kPendingJobs = 55,
  kAdvise = 56,
  /// Answered by the connection itself; an earlier version answers that it does
  /// not know the method, which shows as well that the connection works.
  kPing = 57,
};

/// Names of the calls as shown to operators.
inline constexpr EnumTable kMethodNames{std::array{
    EnumName{Method::kList, "list"},
    EnumName{Method::kAttach, "attach"},
    EnumName{Method::kStart, "start"},
    EnumName{Method::kRenew, "renew"},
    EnumName{Method::kSteer, "steer"},
    EnumName{Method::kInventory, "inventory"},
    EnumName{Method::kUsage, "usage"},
    EnumName{Method::kCollect, "collect"},
    EnumName{Method::kAppend, "append"},
    EnumName{Method::kRead, "read"},
    EnumName{Method::kPlace, "place"},
    EnumName{Method::kReport, "report"},
    EnumName{Method::kFind, "find"},
    EnumName{Method::kCancel, "cancel"},
    EnumName{Method::kSubmit, "submit"},
    EnumName{Method::kConfigFetch, "config_fetch"},
    EnumName{Method::kHeartbeat, "hello"},
    EnumName{Method::kAnnounce, "announce"},
    EnumName{Method::kSubmitJob, "submit_job"},
    EnumName{Method::kJobState, "job_state"},
    EnumName{Method::kCancelJob, "cancel_job"},
    EnumName{Method::kPendingJobs, "pending_jobs"},
    EnumName{Method::kAdvise, "advise"},
    EnumName{Method::kPing, "ping"},
}};

}  // namespace mimosarail::rpc
