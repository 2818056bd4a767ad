#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "src/libs/http/message.h"

namespace mimosarail::http {

enum class MessageKind { kRequest, kResponse };

struct ParserOptions {
  MessageKind kind = MessageKind::kRequest;
  /// Largest body in bytes; a larger one is an error.
  size_t max_body = 4 << 20;
};

/// One HTTP/1.1 message as it came off a connection.
struct ParsedMessage {
  Request request;
  Response response;
  bool keep_alive = false;
};

/// Incremental HTTP/1.1 parser over http_parser. Not thread-safe.
class Parser {
 public:
  explicit Parser(ParserOptions options);
  ~Parser();
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /// Hands every message that `bytes` completes to `done`. False when the
  /// bytes are not HTTP or a bound is passed; the parser is then spent.
  bool Feed(std::string_view bytes,
            const std::function<void(ParsedMessage)>& done);
  /// Whether part of a message has come.
  bool inside_message() const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::http
