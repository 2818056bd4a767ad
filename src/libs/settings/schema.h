#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/libs/json/object_reader.h"

namespace mimosarail::settings {

using json::Bounds;

/// Bounds of a duration in ms: at most an hour.
inline constexpr Bounds kTimeBoundsMs{1, 3600000};

template <typename S>
struct NumberKey {
  int64_t S::*field;
  Bounds bounds;
};
/// A number that may have a fraction, stored multiplied by `scale`.
template <typename S>
struct ScaledKey {
  int64_t S::*field;
  Bounds bounds;
  int64_t scale = 100;
};
template <typename S>
struct TextKey {
  std::string S::*field;
  bool required = true;
  /// Whether a non-empty value must have the form "ip:port".
  bool address = false;
};
template <typename S>
struct ListKey {
  std::vector<std::string> S::*field;
};

/// The definition of one setting: its key, type, bounds, unit and help.
template <typename S>
struct Key {
  const char* name;
  std::variant<NumberKey<S>, ScaledKey<S>, TextKey<S>, ListKey<S>> type;
  const char* unit;
  const char* help;
};

/// Whether the text has the form "ip:port" with a numeric IP address.
/// Thread-safe.
bool LooksLikeAddress(const std::string& text);

/// Reads one setting; adds faults to the reader's findings.
template <typename S>
void ReadKey(const Key<S>& key, json::ObjectReader& reader, S& out) {
  if (const auto* number = std::get_if<NumberKey<S>>(&key.type)) {
    return reader.Read(key.name, out.*number->field, number->bounds);
  }
  if (const auto* scaled = std::get_if<ScaledKey<S>>(&key.type)) {
    return reader.ReadScaled(key.name, out.*scaled->field, scaled->bounds,
                             scaled->scale);
  }
  if (const auto* list = std::get_if<ListKey<S>>(&key.type)) {
    return reader.Read(key.name, out.*list->field);
  }
  const auto& text = std::get<TextKey<S>>(key.type);
  std::string& value = out.*text.field;
  if (text.required && !reader.Has(key.name)) {
    return reader.Add(key.name, "is missing");
  }
  constexpr int64_t kMaxTextBytes = 200;
  reader.Read(key.name, value, {text.required ? 1 : 0, kMaxTextBytes});
  if (text.address && !value.empty() && !LooksLikeAddress(value)) {
    reader.Add(key.name, "must be ip:port with a numeric IP address");
  }
}

/// The value of a setting as written in a settings file.
template <typename K, typename S>
json::Json FileValue(const K& key, const S& settings) {
  json::Json value = settings.*key.field;
  return value;
}
template <typename S>
json::Json FileValue(const ScaledKey<S>& key, const S& settings) {
  json::Json value =
      static_cast<double>(settings.*key.field) / static_cast<double>(key.scale);
  return value;
}

/// All keys with value, unit, bounds and help, as commented JSON.
template <typename S>
std::string PrintKeys(const std::vector<Key<S>>& keys, const S& settings) {
  std::string out = "{\n";
  for (size_t i = 0; i < keys.size(); ++i) {
    const Key<S>& key = keys[i];
    out += std::string("  // ") + key.help;
    if (*key.unit != '\0') out += std::string(" [") + key.unit + "]";
    if (const auto* number = std::get_if<NumberKey<S>>(&key.type)) {
      out += ", " + std::to_string(number->bounds.min) + " to " +
             std::to_string(number->bounds.max);
    }
    const json::Json value = std::visit(
        [&settings](const auto& type) { return FileValue(type, settings); },
        key.type);
    out += "\n  " + json::Json(key.name).dump() + ": " + value.dump();
    out += i + 1 < keys.size() ? ",\n" : "\n";
  }
  return out + "}\n";
}

}  // namespace mimosarail::settings
