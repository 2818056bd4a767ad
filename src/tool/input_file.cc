#include "src/tool/input_file.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace mimosarail::tool {

std::optional<std::string> ReadInputFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  const std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "mimosarail: cannot read %s\n", path.c_str());
    return std::nullopt;
  }
  text << file.rdbuf();
  return text.str();
}

}  // namespace mimosarail::tool
