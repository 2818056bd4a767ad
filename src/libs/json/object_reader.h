#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/findings.h"
#include "src/libs/json/json_text.h"

namespace mimosarail::json {

/// Inclusive bounds of a number.
struct Bounds {
  int64_t min = 0;
  int64_t max = 0;
};

/// Reads the members of one object and collects wrong types, values out of
/// bounds and unknown keys as findings. Absent members leave the target
/// unchanged. Not thread-safe; the text, the object and the findings must
/// outlive the reader.
class ObjectReader {
 public:
  ObjectReader(const JsonText& text, const Json& object, std::string path,
               Findings& findings);

  bool Has(const std::string& key);
  void Read(const std::string& key, int64_t& out, Bounds bounds);
  void Read(const std::string& key, int32_t& out, Bounds bounds);
  void Read(const std::string& key, bool& out);
  /// `bounds` limit the length in bytes.
  void Read(const std::string& key, std::string& out, Bounds bounds);
  void Read(const std::string& key, std::vector<std::string>& out);
  /// Reads a number that may have a fraction, multiplies it by `scale` and
  /// rounds the product.
  void ReadScaled(const std::string& key, int64_t& out, Bounds bounds,
                  int64_t scale);

  template <typename E, std::size_t N>
  void ReadEnum(const std::string& key, const EnumTable<E, N>& table, E& out) {
    std::string name;
    if (!Has(key)) return;
    Read(key, name, {0, kMaxNameBytes});
    if (const auto value = table.Find(name)) {
      out = *value;
    } else {
      Add(key, "must be one of " + table.Choices());
    }
  }

  /// Returns the member if it is an object (or an array), else null. Adds a
  /// finding if it is present with another type.
  const Json* Object(const std::string& key);
  const Json* Array(const std::string& key);

  /// Adds a finding at the member `key`.
  void Add(const std::string& key, std::string message);
  /// Returns the path of the member from the root of the text.
  std::string Path(const std::string& key) const;

  /// Reports every member that has not been read as an unknown key.
  void Finish();

 private:
  static constexpr int64_t kMaxNameBytes = 128;
  /// Returns the member, or null if it is absent, and marks it as read.
  const Json* Find(const std::string& key);
  /// Returns the member if `is` holds for it, else null. Adds a finding if it
  /// is present with another type than `type`.
  const Json* FindTyped(const std::string& key,
                        bool (Json::*is)() const noexcept, const char* type);

  const JsonText& text_;
  const Json& object_;
  std::string path_;
  Findings& findings_;
  std::set<std::string> read_keys_;
};

}  // namespace mimosarail::json
