#pragma once

#include "requests_types.h"
#include "src/libs/base/enum_table.h"

namespace mimosarail::rules {

inline constexpr EnumTable kWorkKindNames{std::array{
    EnumName{wire::WorkKind::kService, "service"},
    EnumName{wire::WorkKind::kBatch, "batch"},
    EnumName{wire::WorkKind::kGang, "gang"},
}};

inline constexpr EnumTable kPlacementGoalNames{std::array{
    EnumName{wire::PlacementGoal::kPack, "pack"},
    EnumName{wire::PlacementGoal::kSpread, "spread"},
}};

inline constexpr EnumTable kVerdictNames{std::array{
    EnumName{wire::Verdict::kDone, "done"},
    EnumName{wire::Verdict::kNotRun, "not run"},
    EnumName{wire::Verdict::kUnknown, "unknown"},
    EnumName{wire::Verdict::kRefused, "refused"},
    EnumName{wire::Verdict::kCancelled, "cancelled"},
}};

}  // namespace mimosarail::rules
