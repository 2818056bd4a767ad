#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

#include "platform_types.h"
#include "src/libs/base/enum_table.h"

namespace mimosarail::placement {

/// The kinds of resources of an upstream.
enum class Dimension { kCores, kMemory, kAccelerators, kConnections, kSlots };

inline constexpr size_t kDimensions = 5;

inline constexpr EnumTable kDimensionNames{std::array{
    EnumName{Dimension::kCores, "millicores"},
    EnumName{Dimension::kMemory, "memory_mb"},
    EnumName{Dimension::kAccelerators, "accelerators"},
    EnumName{Dimension::kConnections, "connections"},
    EnumName{Dimension::kSlots, "slots"},
}};

/// One amount per kind of resource, slots included: a demand, a capacity, or
/// free capacity.
struct Amount {
  std::array<int32_t, kDimensions> values{};

  int32_t operator[](Dimension d) const {
    return values[static_cast<size_t>(d)];
  }
  int32_t& operator[](Dimension d) { return values[static_cast<size_t>(d)]; }

  bool FitsIn(const Amount& free) const {
    for (size_t d = 0; d < kDimensions; ++d) {
      if (values[d] > free.values[d]) return false;
    }
    return true;
  }
  Amount& operator+=(const Amount& other) {
    for (size_t d = 0; d < kDimensions; ++d) values[d] += other.values[d];
    return *this;
  }
  Amount& operator-=(const Amount& other) {
    for (size_t d = 0; d < kDimensions; ++d) values[d] -= other.values[d];
    return *this;
  }
  /// Sets each amount to the maximum of its own and the other's.
  void RaiseTo(const Amount& other) {
    for (size_t d = 0; d < kDimensions; ++d) {
      values[d] = std::max(values[d], other.values[d]);
    }
  }
  friend bool operator==(const Amount&, const Amount&) = default;
};

/// `slots` is separate since wire::Resources does not contain it.
inline Amount ToAmount(const wire::Resources& resources, int32_t slots) {
  return {{resources.millicores, resources.memory_mb, resources.accelerators,
           resources.connections, slots}};
}

/// The amount that one task takes: its resources and one slot.
inline Amount TaskAmount(const wire::Resources& size) {
  return ToAmount(size, 1);
}

/// Converts all amounts but the slots, which wire::Resources does not contain.
inline wire::Resources ToResources(const Amount& amount) {
  wire::Resources out;
  out.millicores = amount[Dimension::kCores];
  out.memory_mb = amount[Dimension::kMemory];
  out.accelerators = amount[Dimension::kAccelerators];
  out.connections = amount[Dimension::kConnections];
  return out;
}

}  // namespace mimosarail::placement
