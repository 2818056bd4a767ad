#include "src/libs/base/result.h"

#include "src/libs/base/enum_table.h"

namespace mimosarail {
namespace {

constexpr EnumTable kErrcNames{std::array{
    EnumName{Errc::kTimeout, "timeout"},
    EnumName{Errc::kDisconnected, "disconnected"},
    EnumName{Errc::kUnavailable, "unavailable"},
    EnumName{Errc::kMalformed, "malformed"},
    EnumName{Errc::kInvalid, "invalid"},
    EnumName{Errc::kUnknownMethod, "unknown method"},
}};

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "mimosarail"; }
  std::string message(int value) const override {
    return std::string(kErrcNames.Name(static_cast<Errc>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(Errc code) noexcept {
  return {static_cast<int>(code), ErrorCategory()};
}

}  // namespace mimosarail
