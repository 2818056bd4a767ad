#pragma once

#include <string>
#include <vector>

#include "src/libs/json/json_text.h"

namespace mimosarail::tool {

/// Prints the members `columns` of each object in `rows`, aligned.
void PrintTable(const json::Json& rows,
                const std::vector<std::string>& columns);

/// A JSON value as a person reads it.
std::string Plain(const json::Json& value);

}  // namespace mimosarail::tool
