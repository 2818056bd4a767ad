#pragma once

#include <sstream>
#include <string>

#include "src/jobs/task_id.h"
#include "tests/entry_under_test.h"
#include "tests/scenarios/crowd.h"

namespace mimosarail {

inline std::string RequestLine(const std::string& method) {
  return method + " " + kPrefix + JobIdText(1u << 20) +
         " HTTP/1.1\r\nHost: " + kHost + "\r\n";
}

inline std::string AnnouncedBody(size_t announced, const std::string& sent) {
  return RequestLine("POST") + "Content-Length: " + std::to_string(announced) +
         "\r\n\r\n" + sent;
}

inline std::string ChunkedHead() {
  return RequestLine("POST") + "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

/// Repeats `item`, separated by commas, up to about `bytes`.
inline std::string JsonList(const std::string& item, size_t bytes) {
  std::string out = "[" + item;
  while (out.size() + item.size() + 2 < bytes) out += "," + item;
  return out + "]";
}

/// A body of at most `bytes` whose only field is a list of `item`.
inline std::string ListBody(const std::string& field, const std::string& item,
                            size_t bytes) {
  const std::string begin = "{\"" + field + "\":";
  return begin + JsonList(item, bytes - begin.size() - 1) + "}";
}

/// A body of lists within lists.
inline std::string NestedBody() {
  return "{\"ignored\":" + std::string(kMaxBodyBytes / 4, '[') +
         std::string(kMaxBodyBytes / 4, ']') + "}";
}

inline std::string Repeat(const std::string& text, size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

/// Requests for the state of an unknown job, one after the other.
inline std::string PipelinedRequests() {
  return Repeat(RequestLine("GET") + "\r\n", kMaxHeadBytes);
}

/// Sends requests without reading any answer. Their heads are long, so that
/// their connection is still open when the answers fill its buffers.
inline scenarios::CrowdBehavior UnreadAnswers() {
  const std::string request =
      RequestLine("GET") + "X-Filler: " + std::string(kMaxHeadBytes / 8, 'x') +
      "\r\n\r\n";
  return {.first = request,
          .repeated = Repeat(request, 4 * kMaxHeadBytes),
          .pause = Millis(0),
          .reads_answers = false};
}

inline scenarios::CrowdBehavior SlowlyReadAnswers() {
  scenarios::CrowdBehavior out = UnreadAnswers();
  out.reads_answers = true;
  out.read_pause = Millis(1000);
  return out;
}

inline std::string WholeBody(const std::string& body) {
  return AnnouncedBody(body.size(), body);
}

}  // namespace mimosarail
