#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/libs/base/findings.h"

namespace mimosarail::json {

using Json = nlohmann::json;

/// A parsed text and the positions of its members.
struct JsonText {
  Json value;
  /// "rules[2].name" -> "7:14" (line:column of the key or the element).
  std::map<std::string, std::string> places;

  /// "7:14 rules[2].name", or only the path if its position is unknown.
  std::string PositionOf(const std::string& path) const;
};

/// Parses JSON with comments. Syntax errors and duplicate keys are added to
/// `findings`, and the result is then empty. Thread-safe.
std::optional<JsonText> ParseText(const std::string& text, Findings& findings);

}  // namespace mimosarail::json
