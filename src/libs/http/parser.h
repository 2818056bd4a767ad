#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "src/libs/http/message.h"

namespace mimosarail::http {

enum class MessageKind { kRequest, kResponse };

struct ParserOptions {
  MessageKind kind = MessageKind::kRequest;
  /// Maximum size of a body in bytes; a larger one is an error.
  size_t max_body = 4 << 20;
};

/// An HTTP/1.1 message as received on a connection.
struct ParsedMessage {
  Request request;
  Response response;
  bool keep_alive = false;
};

/// Incremental HTTP/1.1 parser based on http_parser. Not thread-safe.
class Parser {
 public:
  explicit Parser(ParserOptions options);
  ~Parser();
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /// Passes every message that `bytes` completes to `done`. Returns false if
  /// the bytes are not HTTP or exceed a limit; the parser cannot be used after
  /// that.
  bool Feed(std::string_view bytes,
            const std::function<void(ParsedMessage)>& done);
  /// Whether a message has been received in part.
  bool inside_message() const;
  /// Memory that the body of the unfinished message takes.
  size_t body_capacity() const;
  /// Drops what has been received of a message; the parser cannot be used after
  /// that.
  void Abandon();

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::http
