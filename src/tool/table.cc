#include "src/tool/table.h"

#include <algorithm>
#include <cstdio>

namespace mimosarail::tool {

std::string DisplayText(const json::Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string out;
  for (const json::Json& item : value) {
    if (!out.empty()) out += ",";
    out += DisplayText(item);
  }
  return out.empty() ? "-" : out;
}

void PrintTable(const json::Json& rows,
                const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> lines{columns};
  for (const json::Json& row : rows) {
    std::vector<std::string> line;
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? DisplayText(row[column]) : "-");
    }
    lines.push_back(std::move(line));
  }
  std::vector<size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    std::string text;
    for (size_t i = 0; i < line.size(); ++i) {
      text += line[i];
      if (i + 1 < line.size()) text.append(widths[i] - line[i].size() + 2, ' ');
    }
    std::printf("%s\n", text.c_str());
  }
}

}  // namespace mimosarail::tool
