#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::scheduling {

/// The order in which waiting steps are considered for placement.
enum class QueueOrder : uint8_t {
  /// Strictly by priority, then by whether the step can still be in time.
  kPriority,
  /// By what a further delay costs the callers.
  kDelayCost,
};

inline constexpr EnumTable kQueueOrderNames{std::array{
    EnumName{QueueOrder::kPriority, "priority"},
    EnumName{QueueOrder::kDelayCost, "delay_cost"},
}};

}  // namespace mimosarail::scheduling
