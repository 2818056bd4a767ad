#pragma once

#include <cstdint>

namespace mimosarail::rpc {

/// Every call between processes; the numbers are the wire format.
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
  kHello = 50,
  kAnnounce = 51,
  kSubmitJob = 52,
  kJobState = 53,
  kCancelJob = 54,
  kPendingJobs = 55,
  kAdvise = 56,
};

}  // namespace mimosarail::rpc
