#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "src/libs/http/message.h"

namespace mimosarail::http {

enum class MessageKind { kRequest, kResponse };

struct ParserOptions {
  MessageKind kind = MessageKind::kRequest;
  /// Maximum size in bytes of a message without its body: empty lines before
  /// it, start line, headers, chunk extensions and trailers.
  size_t max_head_bytes = 32 << 10;
  /// Maximum number of headers. A head of 16 KiB can't contain more.
  size_t max_headers = 4096;
  /// Maximum size of a body in bytes.
  size_t max_body = 4 << 20;
};

/// Why bytes are not accepted.
enum class ParseError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

/// The part of a message that a parser receives.
enum class ParseStage {
  /// No message has begun; empty lines may have been received.
  kIdle,
  kHead,
  kBody,
};

/// An HTTP/1.1 message as received on a connection.
struct ParsedMessage {
  Request request;
  Response response;
  bool keep_alive = false;
  /// Memory that start line, headers and body take.
  size_t memory_bytes = 0;
};

/// Incremental HTTP/1.1 parser based on http_parser. Discards trailers. Not
/// thread-safe.
class Parser {
 public:
  explicit Parser(ParserOptions options);
  ~Parser();
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /// Parses up to the end of a message and removes what it has parsed from
  /// `bytes`. Returns the message; none if it is still incomplete, or if the
  /// bytes are not accepted, which error() tells.
  std::optional<ParsedMessage> Next(std::string_view& bytes);
  /// Passes every message that `bytes` completes to `done`. Returns false if
  /// the bytes are not HTTP or exceed a limit; the parser cannot be used after
  /// that. An announced body over the limit is refused before it arrives.
  bool Feed(std::string_view bytes,
            const std::function<void(ParsedMessage)>& done);
  /// Applies to what is fed from now on.
  void SetLimits(size_t max_head_bytes, size_t max_body);
  /// Drops what has been received of a message; the parser cannot be used after
  /// that.
  void Abandon();
  /// Why bytes are not accepted, if so.
  ParseError error() const;
  /// Whether a message has been received in part.
  bool inside_message() const { return stage() != ParseStage::kIdle; }
  ParseStage stage() const;
  /// Memory that the unfinished message takes.
  size_t memory_bytes() const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::http
