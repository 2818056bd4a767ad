#pragma once

#include <optional>
#include <string>

namespace mimosarail::tool {

/// Returns the content of a file, or of standard input for "-". Prints why if
/// the file cannot be read. Not thread-safe.
std::optional<std::string> ReadInputFile(const std::string& path);

}  // namespace mimosarail::tool
