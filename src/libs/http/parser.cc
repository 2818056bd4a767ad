#include "src/libs/http/parser.h"

#include <http_parser.h>
#include <strings.h>

#include <array>

namespace mimosarail::http {
namespace {

/// Maximum size of the start line and the headers together. http_parser's own
/// limit is 80 KiB, far more than any peer of this project sends.
constexpr size_t kMaxHeadBytes = 32 << 10;

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
      Self(p).HeaderName().append(at, n);
      return Self(p).CountHeadBytes(n);
    };
    settings.on_header_value = [](http_parser* p, const char* at, size_t n) {
      Self(p).in_value = true;
      Self(p).headers.back().second.append(at, n);
      return Self(p).CountHeadBytes(n);
    };
    settings.on_headers_complete = [](http_parser* p) {
      // Ignores requests to upgrade, as HTTP allows (RFC 9110, 7.8): no other
      // protocol is supported. Otherwise the parser would stop here, and
      // whether the request is handled or lost would depend on how its bytes
      // are split into reads.
      p->upgrade = 0;
      return 0;
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return Self(p).AddBody(at, n);
    };
    settings.on_message_complete = [](http_parser* p) {
      Self(p).Complete();
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
    head_bytes = 0;
    in_value = false;
    inside_message = true;
  }

  int CountHeadBytes(size_t bytes) {
    head_bytes += bytes;
    return head_bytes > kMaxHeadBytes ? 1 : 0;
  }

  std::string& HeaderName() {
    if (headers.empty() || in_value) headers.emplace_back();
    in_value = false;
    return headers.back().first;
  }

  std::string& Body() {
    return options.kind == MessageKind::kRequest ? message.request.body
                                                 : message.response.body;
  }

  int AddBody(const char* at, size_t bytes) {
    if (Body().size() + bytes > options.max_body) return 1;
    Body().append(at, bytes);
    return 0;
  }

  void Complete() {
    inside_message = false;
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
    (*done)(std::move(message));
  }

  ParserOptions options;
  http_parser parser{};
  http_parser_settings settings{};
  ParsedMessage message;
  std::vector<Header> headers;
  size_t head_bytes = 0;
  bool in_value = false;
  bool inside_message = false;
  bool abandoned = false;
  const std::function<void(ParsedMessage)>* done = nullptr;
};

Parser::Parser(ParserOptions options)
    : d_(std::make_unique<Private>(options)) {}
Parser::~Parser() = default;

bool Parser::Feed(std::string_view bytes,
                  const std::function<void(ParsedMessage)>& done) {
  if (d_->abandoned) return false;
  d_->done = &done;
  const size_t parsed = http_parser_execute(&d_->parser, &d_->settings,
                                            bytes.data(), bytes.size());
  d_->done = nullptr;
  return parsed == bytes.size() && HTTP_PARSER_ERRNO(&d_->parser) == HPE_OK;
}

bool Parser::inside_message() const { return d_->inside_message; }

size_t Parser::body_capacity() const {
  return d_->inside_message ? d_->Body().capacity() : 0;
}

void Parser::Abandon() {
  d_->message = {};
  d_->headers = {};
  d_->inside_message = false;
  d_->abandoned = true;
}

}  // namespace mimosarail::http
