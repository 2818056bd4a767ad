#pragma once

#include <array>
#include <string>
#include <vector>

#include "src/configcheck/document_format.h"
#include "src/libs/base/enum_table.h"
#include "src/ports/cell_config_port.h"

namespace mimosarail::configcheck {

enum class Severity {
  kError,    ///< A part of the document certainly has no effect or no use.
  kWarning,  ///< Probably not what was meant, or callers notice the change.
  kNote,     ///< For information.
};
inline constexpr EnumTable kSeverityNames{std::array{
    EnumName{Severity::kError, "error"},
    EnumName{Severity::kWarning, "warning"},
    EnumName{Severity::kNote, "note"},
}};

/// A remark on one place of a configuration. Contains no key of an account.
struct ConfigFinding {
  Severity severity = Severity::kNote;
  std::string place;
  std::string reason;
  friend bool operator==(const ConfigFinding&, const ConfigFinding&) = default;
};

/// Returns what is wrong or doubtful in a configuration that decodes, in the
/// order of the document. Takes time in proportion to its size. Thread-safe.
std::vector<ConfigFinding> CheckConfig(const ports::CellConfig& config,
                                       const DocumentFormat& format);

/// Returns the part of CheckConfig() about keys that belong to two accounts. It
/// also holds for the parts of a document that does not decode as a whole.
/// Thread-safe.
std::vector<ConfigFinding> CheckKeyOwners(const ports::CellConfig& config,
                                          const DocumentFormat& format);

/// Whether one of the findings is an error. Thread-safe.
bool HasErrors(const std::vector<ConfigFinding>& findings);

}  // namespace mimosarail::configcheck
