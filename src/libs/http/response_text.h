#pragma once

#include <string>

#include "src/libs/http/message.h"

namespace mimosarail::http {

/// Returns the response as HTTP/1.1 text, with Content-Length and, unless the
/// connection is kept, `Connection: close`.
std::string ResponseText(const Response& response, bool keep_alive);

}  // namespace mimosarail::http
