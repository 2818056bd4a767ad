#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::scheduling {

/// The value that the result of a step still has for the caller if the step
/// starts now.
enum class Timeliness : uint8_t { kInTime, kLate, kWorthless };

inline constexpr EnumTable kTimelinessNames{std::array{
    EnumName{Timeliness::kInTime, "in_time"},
    EnumName{Timeliness::kLate, "late"},
    EnumName{Timeliness::kWorthless, "worthless"},
}};

/// A job that ends within this multiple of its objective still has part of its
/// value for the caller. A later one has none; it still runs to its end.
inline constexpr int64_t kWorthlessMultiple = 3;

/// The part of its value that a job keeps if it ends late.
inline constexpr double kLateValue = 0.2;

/// Returns the value of a waiting step, relative to that of a step of the most
/// urgent priority (0) that is in time: the price of its priority, multiplied
/// by the part of its value that it still has. Preconditions: priority >= 0,
/// priority_price >= 1. Thread-safe.
double WaitingValue(int32_t priority, Timeliness timeliness,
                    double priority_price);

/// A class of waiting steps of the same value. Lower bands are served first;
/// within a band, the step with the earliest latest start.
using ValueBand = int64_t;

/// Steps of the most urgent priority that are in time.
inline constexpr ValueBand kUrgentBand = -3;
/// Steps of the most urgent priority that are late. Urgent jobs are small: a
/// backlog of them that built up without a leader is worked off within a
/// second, and delays other work by no more than that.
inline constexpr ValueBand kUrgentLateBand = -2;
/// Steps that have waited so long that they go before all others that are not
/// urgent, so that none waits forever.
inline constexpr ValueBand kAgedBand = -1;

/// Returns the band with QueueOrder::kDelayCost: in the order of
/// WaitingValue(), the highest first, but with urgent steps that still have a
/// value before all others. Same preconditions. Thread-safe.
ValueBand DelayCostBand(int32_t priority, Timeliness timeliness,
                        double priority_price);

/// Returns the band with QueueOrder::kPriority: by priority, then by
/// timeliness. Thread-safe.
ValueBand PriorityBand(int32_t priority, Timeliness timeliness);

}  // namespace mimosarail::scheduling
