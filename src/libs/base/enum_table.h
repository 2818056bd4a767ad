#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace mimosarail {

/// An enumerator and its name in logs, error messages, settings and documents.
template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

// Clang 14 does not deduce template arguments of aggregates without a guide.
template <typename E>
EnumName(E, std::string_view) -> EnumName<E>;

/// Maps the enumerators of an enumeration to names and back. Immutable and
/// therefore thread-safe.
template <typename E, std::size_t N>
class EnumTable {
 public:
  constexpr explicit EnumTable(std::array<EnumName<E>, N> names)
      : names_(names) {}

  /// The name, or "?" for a value outside the table.
  constexpr std::string_view Name(E value) const {
    for (const auto& entry : names_) {
      if (entry.value == value) return entry.name;
    }
    return "?";
  }

  constexpr bool Has(E value) const {
    for (const auto& entry : names_) {
      if (entry.value == value) return true;
    }
    return false;
  }

  constexpr std::optional<E> Find(std::string_view name) const {
    for (const auto& entry : names_) {
      if (entry.name == name) return entry.value;
    }
    return std::nullopt;
  }

  /// All names separated by commas, for messages such as "one of a, b".
  std::string Choices() const {
    std::string out;
    for (const auto& entry : names_) {
      if (!out.empty()) out += ", ";
      out += entry.name;
    }
    return out;
  }

  /// The entries, in the order of the table.
  constexpr auto begin() const { return names_.begin(); }
  constexpr auto end() const { return names_.end(); }

 private:
  std::array<EnumName<E>, N> names_;
};

}  // namespace mimosarail
