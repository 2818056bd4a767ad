#pragma once

#include <memory>
#include <string>

#include "src/libs/base/result.h"
#include "src/libs/json/json_text.h"

namespace mimosarail::tool {

/// Reply of an entry instance.
struct ApiReply {
  int status = 0;
  json::Json body;
};

/// Calls the HTTP interface of one entry instance. Not thread-safe.
class ApiClient {
 public:
  /// `server` is "ip:port".
  explicit ApiClient(const std::string& server);
  ~ApiClient();
  Result<ApiReply> Get(const std::string& path);
  Result<ApiReply> Post(const std::string& path, const json::Json& body);
  Result<ApiReply> Delete(const std::string& path);

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace mimosarail::tool
