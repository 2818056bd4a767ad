#include "src/libs/http/parser.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <climits>
#include <cstdint>
#include <utility>

namespace mimosarail::http {
namespace {

/// Largest framing of one chunk without extensions: a size of eight digits and
/// two line ends. It does not count as part of the head, so that a body within
/// its limit may come in chunks of any size.
constexpr int64_t kChunkFramingBytes = 12;
/// A string that grows piece by piece takes up to twice its size.
constexpr size_t kTextGrowth = 2;

}  // namespace

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

struct Parser::Private {
  explicit Private(ParserOptions options_in) : options(options_in) {
    http_parser_init(&parser, options.kind == MessageKind::kRequest
                                  ? HTTP_REQUEST
                                  : HTTP_RESPONSE);
    parser.data = this;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) {
      Self(p).Begin();
      return 0;
    };
    settings.on_url = [](http_parser* p, const char* at, size_t n) {
      Self(p).message.request.target.append(at, n);
      return Self(p).CountHeadBytes(n);
    };
    settings.on_header_field = [](http_parser* p, const char* at, size_t n) {
      return Self(p).AddHeaderName(at, n);
    };
    settings.on_header_value = [](http_parser* p, const char* at, size_t n) {
      return Self(p).AddHeaderValue(at, n);
    };
    settings.on_headers_complete = [](http_parser* p) {
      // Ignores requests to upgrade, as HTTP allows (RFC 9110, 7.8): no other
      // protocol is supported. Otherwise the parser would stop here, and
      // whether the request is handled or lost would depend on how its bytes
      // are split into reads.
      p->upgrade = 0;
      Self(p).stage = ParseStage::kBody;
      return Self(p).CheckAnnouncedBody();
    };
    settings.on_chunk_header = [](http_parser* p) {
      Self(p).chunk_begins = true;
      return 0;
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return Self(p).AddBody(at, n);
    };
    settings.on_message_complete = [](http_parser* p) {
      Self(p).Complete();
      // Feed() resumes: it needs to know where the message ends.
      http_parser_pause(p, 1);
      return 0;
    };
  }

  static Private& Self(http_parser* p) {
    return *static_cast<Private*>(p->data);
  }

  void Begin() {
    message = {};
    message.request.target.clear();
    headers.clear();
    stored_head_bytes = 0;
    in_value = false;
    chunk_begins = false;
    stage = ParseStage::kHead;
  }

  int Fail(ParseError why) {
    error = why;
    return -1;
  }

  int CountHeadBytes(size_t bytes) {
    stored_head_bytes += bytes;
    return stored_head_bytes > options.max_head_bytes
               ? Fail(ParseError::kHeadTooLarge)
               : 0;
  }

  int AddHeaderName(const char* at, size_t bytes) {
    // After the head, it is a trailer.
    if (stage != ParseStage::kHead) return 0;
    if (headers.empty() || in_value) {
      if (headers.size() >= options.max_headers) {
        return Fail(ParseError::kHeadTooLarge);
      }
      headers.emplace_back();
    }
    in_value = false;
    headers.back().first.append(at, bytes);
    return CountHeadBytes(bytes);
  }

  int AddHeaderValue(const char* at, size_t bytes) {
    if (stage != ParseStage::kHead) return 0;
    in_value = true;
    headers.back().second.append(at, bytes);
    return CountHeadBytes(bytes);
  }

  /// Counts the bytes up to `at` that have not been counted yet.
  void CountOutsideBody(const char* at) {
    outside_body_bytes += at - counted_to;
    counted_to = at;
  }

  /// Takes the framing of the chunk that begins out of the count.
  void ExcludeFraming() {
    if (!std::exchange(chunk_begins, false)) return;
    outside_body_bytes -=
        std::min(kChunkFramingBytes, outside_body_bytes - outside_before_chunk);
  }

  int CheckAnnouncedBody() {
    const bool announced = parser.content_length != ULLONG_MAX;
    return announced && parser.content_length > options.max_body
               ? Fail(ParseError::kBodyTooLarge)
               : 0;
  }

  /// Parses up to the end of a message; returns the number of bytes parsed.
  size_t Execute(std::string_view bytes) {
    counted_to = bytes.data();
    const size_t parsed =
        http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
    CountOutsideBody(bytes.data() + parsed);
    const auto code = HTTP_PARSER_ERRNO(&parser);
    if (code == HPE_PAUSED) {
      http_parser_pause(&parser, 0);
    } else if (code == HPE_HEADER_OVERFLOW) {
      error = ParseError::kHeadTooLarge;
    } else if (error == ParseError::kNone &&
               (code != HPE_OK || parsed != bytes.size())) {
      error = ParseError::kMalformed;
    }
    if (error == ParseError::kNone && outside_body_bytes > MaxOutsideBody()) {
      error = ParseError::kHeadTooLarge;
    }
    return parsed;
  }

  /// The last chunk, and one that has not been received to its data, count with
  /// their framing.
  int64_t MaxOutsideBody() const {
    const bool chunked = (parser.flags & F_CHUNKED) != 0;
    return static_cast<int64_t>(options.max_head_bytes) +
           (chunked ? kChunkFramingBytes : 0);
  }

  /// Drops what was received of a message, and frees its memory. Assigning an
  /// empty string would keep that.
  void Clear() {
    const ParsedMessage dropped = std::exchange(message, {});
    const std::vector<Header> dropped_headers = std::exchange(headers, {});
    complete = false;
    stage = ParseStage::kIdle;
  }

  std::string& Body() {
    return options.kind == MessageKind::kRequest ? message.request.body
                                                 : message.response.body;
  }

  int AddBody(const char* at, size_t bytes) {
    if (Body().size() + bytes > options.max_body) {
      return Fail(ParseError::kBodyTooLarge);
    }
    Body().append(at, bytes);
    CountOutsideBody(at);
    ExcludeFraming();
    outside_before_chunk = outside_body_bytes;
    counted_to = at + bytes;
    return 0;
  }

  size_t Memory() {
    return kTextGrowth * stored_head_bytes +
           headers.capacity() * sizeof(Header) + Body().capacity();
  }

  void Complete() {
    stage = ParseStage::kIdle;
    message.memory_bytes = Memory();
    message.keep_alive = http_should_keep_alive(&parser) != 0;
    if (options.kind == MessageKind::kRequest) {
      message.request.method =
          http_method_str(static_cast<http_method>(parser.method));
      message.request.headers = std::move(headers);
    } else {
      message.response.status = static_cast<int>(parser.status_code);
      message.response.headers = std::move(headers);
    }
    headers.clear();
    complete = true;
  }

  ParserOptions options;
  http_parser parser{};
  http_parser_settings settings{};
  ParsedMessage message;
  std::vector<Header> headers;
  /// Bytes of start line and headers that `message` and `headers` hold.
  size_t stored_head_bytes = 0;
  /// Bytes since the end of the previous message, without those of the body and
  /// the framing of chunks.
  int64_t outside_body_bytes = 0;
  /// Value of `outside_body_bytes` at the end of the previous chunk.
  int64_t outside_before_chunk = 0;
  /// End of the bytes that have been counted, while they are parsed.
  const char* counted_to = nullptr;
  /// The size of a chunk has been received, and nothing else of it.
  bool chunk_begins = false;
  bool in_value = false;
  ParseStage stage = ParseStage::kIdle;
  /// `message` is complete and has not been passed on.
  bool complete = false;
  ParseError error = ParseError::kNone;
};

Parser::Parser(ParserOptions options)
    : d_(std::make_unique<Private>(options)) {}
Parser::~Parser() = default;

std::optional<ParsedMessage> Parser::Next(std::string_view& bytes) {
  if (d_->error != ParseError::kNone) return std::nullopt;
  bytes.remove_prefix(d_->Execute(bytes));
  if (d_->error != ParseError::kNone) d_->Clear();
  if (!d_->complete) return std::nullopt;
  d_->complete = false;
  d_->outside_body_bytes = 0;
  d_->outside_before_chunk = 0;
  return std::exchange(d_->message, {});
}

bool Parser::Feed(std::string_view bytes,
                  const std::function<void(ParsedMessage)>& done) {
  do {
    if (auto message = Next(bytes)) done(std::move(*message));
  } while (!bytes.empty() && d_->error == ParseError::kNone);
  return d_->error == ParseError::kNone;
}

ParseError Parser::error() const { return d_->error; }

ParseStage Parser::stage() const { return d_->stage; }

void Parser::SetLimits(size_t max_head_bytes, size_t max_body) {
  d_->options.max_head_bytes = max_head_bytes;
  d_->options.max_body = max_body;
}

void Parser::Abandon() {
  d_->Clear();
  d_->error = ParseError::kMalformed;
}

size_t Parser::memory_bytes() const {
  return inside_message() ? d_->Memory() : 0;
}

}  // namespace mimosarail::http
