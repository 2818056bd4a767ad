#pragma once

#include <string>
#include <vector>

#include "src/libs/json/json_text.h"

namespace mimosarail::tool {

/// Prints the members `columns` of each object in `rows` as an aligned table.
void PrintTable(const json::Json& rows,
                const std::vector<std::string>& columns);

/// Returns a JSON value as human-readable text.
std::string DisplayText(const json::Json& value);

}  // namespace mimosarail::tool
