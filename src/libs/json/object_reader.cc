#include "src/libs/json/object_reader.h"

#include <cmath>

namespace mimosarail::json {
namespace {

std::string RangeText(Bounds bounds) {
  return "must be from " + std::to_string(bounds.min) + " to " +
         std::to_string(bounds.max);
}

bool InBounds(int64_t value, Bounds bounds) {
  return value >= bounds.min && value <= bounds.max;
}

}  // namespace

ObjectReader::ObjectReader(const JsonText& text, const Json& object,
                           std::string path, Findings& findings)
    : text_(text),
      object_(object),
      path_(std::move(path)),
      findings_(findings) {
  if (!object_.is_object()) {
    findings_.Add(text_.PositionOf(path_), "must be an object");
  }
}

std::string ObjectReader::Path(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void ObjectReader::Add(const std::string& key, std::string message) {
  findings_.Add(text_.PositionOf(Path(key)), std::move(message));
}

const Json* ObjectReader::Find(const std::string& key) {
  read_keys_.insert(key);
  if (!object_.is_object()) return nullptr;
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

bool ObjectReader::Has(const std::string& key) { return Find(key) != nullptr; }

const Json* ObjectReader::FindTyped(const std::string& key,
                                    bool (Json::*is)() const noexcept,
                                    const char* type) {
  const Json* member = Find(key);
  if (member == nullptr) return nullptr;
  if ((member->*is)()) return member;
  Add(key, std::string("must be ") + type);
  return nullptr;
}

const Json* ObjectReader::Object(const std::string& key) {
  return FindTyped(key, &Json::is_object, "an object");
}

const Json* ObjectReader::Array(const std::string& key) {
  return FindTyped(key, &Json::is_array, "an array");
}

void ObjectReader::Read(const std::string& key, int64_t& out, Bounds bounds) {
  const Json* member =
      FindTyped(key, &Json::is_number_integer, "a whole number");
  if (member == nullptr) return;
  if (member->is_number_unsigned() &&
      member->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) {
    return Add(key, RangeText(bounds));
  }
  const auto value = member->get<int64_t>();
  if (!InBounds(value, bounds)) return Add(key, RangeText(bounds));
  out = value;
}

void ObjectReader::Read(const std::string& key, int32_t& out, Bounds bounds) {
  int64_t wide = out;
  Read(key, wide, bounds);
  out = static_cast<int32_t>(wide);
}

void ObjectReader::Read(const std::string& key, bool& out) {
  const Json* member = FindTyped(key, &Json::is_boolean, "true or false");
  if (member != nullptr) out = member->get<bool>();
}

void ObjectReader::Read(const std::string& key, std::string& out,
                        Bounds bounds) {
  const Json* member = FindTyped(key, &Json::is_string, "a string");
  if (member == nullptr) return;
  const auto& value = member->get_ref<const std::string&>();
  if (!InBounds(static_cast<int64_t>(value.size()), bounds)) {
    return Add(key, "length " + RangeText(bounds));
  }
  out = value;
}

void ObjectReader::Read(const std::string& key, std::vector<std::string>& out) {
  const Json* member = Array(key);
  if (member == nullptr) return;
  std::vector<std::string> values;
  for (size_t i = 0; i < member->size(); ++i) {
    if (!(*member)[i].is_string()) {
      return Add(key + "[" + std::to_string(i) + "]", "must be a string");
    }
    values.push_back((*member)[i].get<std::string>());
  }
  out = std::move(values);
}

void ObjectReader::ReadScaled(const std::string& key, int64_t& out,
                              Bounds bounds, int64_t scale) {
  const Json* member = FindTyped(key, &Json::is_number, "a number");
  if (member == nullptr) return;
  const auto value = member->get<double>();
  if (!(value >= static_cast<double>(bounds.min) &&
        value <= static_cast<double>(bounds.max))) {
    return Add(key, RangeText(bounds));
  }
  out = std::llround(value * static_cast<double>(scale));
}

void ObjectReader::Finish() {
  if (!object_.is_object()) return;
  for (const auto& [key, value] : object_.items()) {
    if (!read_keys_.contains(key)) Add(key, "unknown key");
  }
}

}  // namespace mimosarail::json
