#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosarail::http {

using Header = std::pair<std::string, std::string>;

/// Value of the first header with that name (case-insensitive), or empty.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

struct Request {
  std::string method = "GET";
  /// Path and query, not decoded.
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  /// On a server: the client had closed its sending side when the request was
  /// read, so it probably does not wait for the response any more.
  bool client_closed = false;
};

struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
};

}  // namespace mimosarail::http
