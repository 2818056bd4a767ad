#include "src/tool/api_client.h"

#include <httplib.h>

namespace mimosarail::tool {
namespace {

constexpr int kReadTimeoutSeconds = 120;

Result<ApiReply> ToReply(const httplib::Result& result) {
  if (!result) {
    return {Errc::kUnavailable, httplib::to_string(result.error())};
  }
  ApiReply reply{.status = result->status};
  reply.body = json::Json::parse(result->body, nullptr, false);
  if (reply.body.is_discarded()) reply.body = result->body;
  return reply;
}

}  // namespace

struct ApiClient::Private {
  explicit Private(const std::string& server) : client("http://" + server) {
    client.set_read_timeout(kReadTimeoutSeconds);
  }
  httplib::Client client;
};

ApiClient::ApiClient(const std::string& server)
    : d_(std::make_unique<Private>(server)) {}
ApiClient::~ApiClient() = default;

Result<ApiReply> ApiClient::Get(const std::string& path) {
  return ToReply(d_->client.Get(path));
}

Result<ApiReply> ApiClient::Post(const std::string& path,
                                 const json::Json& body) {
  return ToReply(d_->client.Post(path, body.dump(), "application/json"));
}

Result<ApiReply> ApiClient::Delete(const std::string& path) {
  return ToReply(d_->client.Delete(path));
}

}  // namespace mimosarail::tool
