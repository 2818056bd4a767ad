#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/libs/base/findings.h"

namespace mimosarail::json {

using Json = nlohmann::json;

/// A parsed text and where each of its members stands.
struct JsonText {
  Json value;
  /// "rules[2].name" -> "7:14" (line:column of the key or the element).
  std::map<std::string, std::string> places;

  /// "7:14 rules[2].name", or just the path where no place is known.
  std::string PlaceOf(const std::string& path) const;
};

/// Parses JSON with comments. Syntax errors and keys that stand twice go to
/// `findings`; then the result is empty. Safe from any thread.
std::optional<JsonText> ParseText(const std::string& text, Findings& findings);

}  // namespace mimosarail::json
