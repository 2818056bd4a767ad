#include "src/libs/json/json_text.h"

#include <algorithm>
#include <set>
#include <vector>

namespace mimosarail::json {
namespace {

/// Maximum nesting depth. The parser does not recurse, but the readers and the
/// destructor of a document do.
constexpr size_t kMaxDepth = 32;

/// Counts the characters read, because the parser's events have no position.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, size_t* count) : at_(at), count_(count) {}
  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    ++at_;
    ++*count_;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator old = *this;
    ++*this;
    return old;
  }
  friend bool operator==(const CountingIterator& a, const CountingIterator& b) {
    return a.at_ == b.at_;
  }
  friend bool operator!=(const CountingIterator& a, const CountingIterator& b) {
    return !(a == b);
  }

 private:
  const char* at_;
  size_t* count_;
};

std::string LineAndColumn(const std::string& text, size_t offset) {
  offset = std::min(offset, text.size());
  const auto begin = text.begin();
  const auto end = begin + static_cast<std::ptrdiff_t>(offset);
  const auto line = 1 + std::count(begin, end, '\n');
  const size_t last_newline =
      offset == 0 ? std::string::npos : text.rfind('\n', offset - 1);
  const size_t column =
      last_newline == std::string::npos ? offset + 1 : offset - last_newline;
  return std::to_string(line) + ":" + std::to_string(column);
}

/// Builds the document, records the positions of its members and reports
/// duplicate keys and excessive depth.
class DocumentBuilder final : public nlohmann::json_sax<Json> {
 public:
  /// `offset` is the number of characters read so far.
  DocumentBuilder(const std::string& text, const size_t& offset, JsonText& out,
                  Findings& findings)
      : text_(text), offset_(offset), out_(out), findings_(findings) {}

  bool null() override { return Put(nullptr); }
  bool boolean(bool value) override { return Put(value); }
  bool number_integer(int64_t value) override { return Put(value); }
  bool number_unsigned(uint64_t value) override { return Put(value); }
  bool number_float(double value, const std::string&) override {
    return Put(value);
  }
  bool string(std::string& value) override {
    token_length_ = value.size() + 2;
    const bool put = Put(value);
    token_length_ = 0;
    return put;
  }
  bool binary(Json::binary_t&) override { return false; }
  bool start_object(size_t) override { return Open(Json::object()); }
  bool start_array(size_t) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    key_ = name;
    const std::string path = Path();
    const size_t length = name.size() + 2;
    out_.places[path] =
        LineAndColumn(text_, offset_ > length ? offset_ - length : 0);
    if (!levels_.back().keys.insert(name).second) {
      findings_.Add(out_.PositionOf(path), "duplicate key");
    }
    return true;
  }

  bool parse_error(size_t position, const std::string&,
                   const Json::exception& error) override {
    std::string message = error.what();
    const size_t detail = message.rfind(": ");
    if (detail != std::string::npos) message = message.substr(detail + 2);
    findings_.Add(LineAndColumn(text_, position == 0 ? 0 : position - 1),
                  "not JSON: " + message);
    return false;
  }

 private:
  struct Level {
    Json* node;
    std::string path;
    std::set<std::string> keys;
  };

  std::string Path() const {
    if (levels_.empty()) return "";
    const Level& level = levels_.back();
    if (level.node->is_array()) {
      return level.path + "[" + std::to_string(level.node->size()) + "]";
    }
    return level.path.empty() ? key_ : level.path + "." + key_;
  }

  /// Adds the value to the innermost open object or array, or makes it the root
  /// of the document.
  Json* Attach(Json value) {
    if (levels_.empty()) {
      out_.value = std::move(value);
      return &out_.value;
    }
    Json& parent = *levels_.back().node;
    if (parent.is_array()) {
      // The parser has already read a string to its end, so its length is
      // subtracted.
      const size_t start =
          offset_ > token_length_ ? offset_ - token_length_ : 0;
      out_.places.emplace(Path(), LineAndColumn(text_, start));
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Json& slot = parent[key_];
    slot = std::move(value);
    return &slot;
  }

  bool Put(Json value) {
    Attach(std::move(value));
    return true;
  }

  bool Open(Json value) {
    const std::string path = Path();
    if (levels_.size() >= kMaxDepth) {
      findings_.Add(LineAndColumn(text_, offset_), "nested too deeply");
      return false;
    }
    levels_.push_back({Attach(std::move(value)), path, {}});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return true;
  }

  const std::string& text_;
  const size_t& offset_;
  JsonText& out_;
  Findings& findings_;
  std::string key_;
  /// Length of the string that is being added, with its quotes; 0 for others.
  size_t token_length_ = 0;
  std::vector<Level> levels_;
};

}  // namespace

std::string JsonText::PositionOf(const std::string& path) const {
  const auto found = places.find(path);
  if (found == places.end()) return path;
  return found->second + " " + path;
}

std::optional<JsonText> ParseText(const std::string& text, Findings& findings) {
  JsonText out;
  size_t offset = 0;
  const size_t before = findings.list().size();
  DocumentBuilder builder(text, offset, out, findings);
  const CountingIterator begin(text.data(), &offset);
  const CountingIterator end(text.data() + text.size(), &offset);
  const bool complete =
      Json::sax_parse(begin, end, &builder, Json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true);
  if (!complete || findings.list().size() > before) return std::nullopt;
  return out;
}

}  // namespace mimosarail::json
