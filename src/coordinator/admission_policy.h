#pragma once

#include <array>
#include <cstdint>

#include "src/libs/base/enum_table.h"

namespace mimosarail::coordinator {

/// Which new jobs the leader refuses.
enum class AdmissionPolicy : uint8_t {
  /// Those that exceed the job table or can never run.
  kCapacity,
  /// Also those that would end too late to be of value to the caller.
  kDeadline,
};

inline constexpr EnumTable kAdmissionPolicyNames{std::array{
    EnumName{AdmissionPolicy::kCapacity, "capacity"},
    EnumName{AdmissionPolicy::kDeadline, "deadline"},
}};

}  // namespace mimosarail::coordinator
