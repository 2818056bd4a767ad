#include "tests/soak/store_server_fake.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr unsigned kBitsPerByte = 8;
/// Number of a writer's newest appends whose replies are kept for repetitions.
constexpr size_t kKeptReplies = 5;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1 << 20;
/// Maximum size of a read reply.
constexpr size_t kMaxReadBytes = 1 << 20;

void AppendNumber(std::string& out, uint64_t value, size_t bytes) {
  for (size_t at = bytes; at-- > 0;) {
    out.push_back(static_cast<char>(value >> (kBitsPerByte * at) & 0xffU));
  }
}

size_t ReadLength(std::string_view in) {
  size_t out = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    out = out << kBitsPerByte | static_cast<unsigned char>(in[i]);
  }
  return out;
}

std::string Base64(const std::string& in) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kDigitBits = 6;
  constexpr size_t kGroup = 4;
  std::string out;
  unsigned bits = 0;
  unsigned count = 0;
  for (const char c : in) {
    bits = bits << kBitsPerByte | static_cast<unsigned char>(c);
    for (count += kBitsPerByte; count >= kDigitBits; count -= kDigitBits) {
      out.push_back(kDigits[bits >> (count - kDigitBits) & 63U]);
    }
  }
  if (count > 0) out.push_back(kDigits[bits << (kDigitBits - count) & 63U]);
  while (out.size() % kGroup != 0) out.push_back('=');
  return out;
}

std::string PercentDecode(const std::string& text) {
  constexpr int kHexBase = 16;
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out.push_back(text[i]);
      continue;
    }
    const std::string digits = text.substr(i + 1, 2);
    out.push_back(
        static_cast<char>(std::strtol(digits.c_str(), nullptr, kHexBase)));
    i += 2;
  }
  return out;
}

http::Response Answer(int status, const Json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump()};
}

/// The records of an append's body; empty if the body is malformed.
std::optional<std::vector<std::string>> ParseRecords(std::string_view body) {
  std::vector<std::string> out;
  while (!body.empty()) {
    const size_t length = body.size() < kLengthBytes ? 0 : ReadLength(body);
    if (length == 0 || length > body.size() - kLengthBytes) return {};
    out.emplace_back(body.substr(kLengthBytes, length));
    if (static_cast<unsigned char>(out.back()[0]) >= length) return {};
    body.remove_prefix(kLengthBytes + length);
  }
  return out;
}

constexpr int64_t kMaxWaitMs = 30000;
/// Interval at which a waiting read checks for records.
constexpr Millis kReadPollInterval{15};
/// Above the store's limit for one append.
constexpr size_t kMaxBody = 4 << 20;
/// The service's journal regards the store as slow if an append takes 60 ms or
/// more. It then sends the next append before the previous one is answered,
/// after half the duration of the last append.
constexpr Millis kFirstAppendDelay{120};
constexpr Millis kSecondAppendDelay{350};

}  // namespace

std::string Target::Text(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

int64_t Target::Number(const std::string& name) const {
  constexpr int kDecimal = 10;
  return std::strtoll(Text(name).c_str(), nullptr, kDecimal);
}

Target ParseTarget(const std::string& target) {
  Target out;
  size_t at = std::min(target.find('?'), target.size());
  out.path = target.substr(0, at);
  while (++at < target.size()) {
    const size_t end = std::min(target.find('&', at), target.size());
    const size_t equals = std::min(target.find('=', at), end);
    const size_t value = std::min(equals + 1, end);
    out.query[PercentDecode(target.substr(at, equals - at))] =
        PercentDecode(target.substr(value, end - value));
    at = end;
  }
  return out;
}

void LogStore::Add(Topic& topic, std::string record) {
  const size_t length = static_cast<unsigned char>(record[0]);
  const std::string key = record.substr(1, length);
  topic.newest.erase(key);
  const bool removed = record.size() == 1 + length;
  if (!removed) topic.newest[key] = topic.records.size();
  topic.records.push_back(std::move(record));
}

std::optional<http::Response> LogStore::CheckWriter(Writer& writer,
                                                    const Target& target,
                                                    bool empty) {
  const int64_t epoch = target.Number("epoch");
  const int64_t sequence = target.Number("sequence");
  if (epoch < writer.epoch) return Answer(409, {{"reason", "fenced"}});
  if (epoch > writer.epoch) writer = {.epoch = epoch};
  for (const auto& [number, answer] : writer.replies) {
    if (number == sequence) return answer;
  }
  if (empty || !writer.last || sequence == *writer.last + 1) return {};
  ++out_of_sequence_;
  return Answer(409, {{"reason", "seq"}, {"sequence", *writer.last + 1}});
}

http::Response LogStore::Append(const Target& target, const std::string& body) {
  Topic& topic = topics_[target.Text("topic")];
  const auto records = ParseRecords(body);
  if (!records) return Answer(400, Json::object());
  const auto end = static_cast<int64_t>(topic.records.size());
  const std::string producer = target.Text("producer");
  Writer& writer = topic.writers[producer];
  if (!producer.empty()) {
    const auto reply = CheckWriter(writer, target, records->empty());
    if (reply) return *reply;
  }
  if (target.query.count("at") > 0 && target.Number("at") != end) {
    return Answer(412, {{"endOffset", end}});
  }
  for (const std::string& record : *records) Add(topic, record);
  http::Response out =
      Answer(200, {{"offset", end}, {"endOffset", topic.records.size()}});
  if (producer.empty() || records->empty()) return out;
  writer.last = target.Number("sequence");
  writer.replies.emplace_back(*writer.last, out);
  if (writer.replies.size() > kKeptReplies) writer.replies.pop_front();
  return out;
}

http::Response LogStore::Read(const Target& target) {
  http::Response out{.headers = {{"Content-Type", "application/octet-stream"}}};
  const std::vector<std::string>& records =
      topics_[target.Text("topic")].records;
  AppendNumber(out.body, records.size(), kOffsetBytes);
  AppendNumber(out.body, 0, kOffsetBytes);
  for (auto at = static_cast<size_t>(target.Number("from"));
       at < records.size() && out.body.size() < kMaxReadBytes; ++at) {
    const std::string& record = records[at];
    AppendNumber(out.body, record.size(), kLengthBytes);
    out.body += record;
  }
  return out;
}

http::Response LogStore::Newest(const Target& target) {
  const auto& [records, newest, writers] = topics_[target.Text("topic")];
  Json items = Json::array();
  bool more = false;
  size_t bytes = 0;
  for (auto at = newest.upper_bound(target.Text("dependsOn"));
       at != newest.end() && !more; ++at) {
    const auto& [key, offset] = *at;
    const std::string value = records[offset].substr(1 + key.size());
    items.push_back(
        {{"key", key}, {"value", Base64(value)}, {"offset", offset}});
    bytes += value.size();
    const bool full = items.size() >= kPageItems || bytes >= kPageBytes;
    more = full && std::next(at) != newest.end();
  }
  return Answer(200, {{"items", std::move(items)},
                      {"hasMore", more},
                      {"endOffset", End(target.Text("topic"))}});
}

void LogStore::Put(const std::string& topic, const std::string& key,
                   const std::string& value) {
  Add(topics_[topic], static_cast<char>(key.size()) + key + value);
}

StoreServerFake::StoreServerFake(asio::io_context& io, Executor& executor,
                                 CallFaultOptions faults, uint64_t seed)
    : executor_(executor),
      faults_(executor, faults, seed),
      server_(io, {.limits = {.max_body_bytes = kMaxBody}},
              [this](const http::Request& request, http::Responder respond) {
                HandleRequest(request, std::move(respond));
              }) {}

std::string StoreServerFake::Start() {
  const auto port = server_.Listen("127.0.0.1:0");
  return port.ok() ? "127.0.0.1:" + std::to_string(port.value()) : "";
}

Millis StoreServerFake::ExtraDelay(const Target& target) {
  if (target.Text("producer").empty()) return Millis(0);
  auto& seen = seen_[target.Text("producer") + " " + target.Text("epoch")];
  if (!seen.insert(target.Text("sequence")).second) return Millis(0);
  if (seen.size() == 1) return kFirstAppendDelay;
  return seen.size() == 2 ? kSecondAppendDelay : Millis(0);
}

void StoreServerFake::HandleRequest(const http::Request& request,
                                    http::Responder respond) {
  const Target target = ParseTarget(request.target);
  const std::string call = request.method + " " + target.path;
  faults_.Deliver(
      [this, target, call, body = request.body](const http::Responder& back) {
        if (call == "POST /log-append") return back(log_.Append(target, body));
        if (call == "GET /log-newest") return back(log_.Newest(target));
        if (call != "GET /log-read") return back({.status = 404});
        const int64_t wait = std::min(target.Number("waitMs"), kMaxWaitMs);
        Read(target, Clock::now() + Millis(wait), back);
      },
      std::move(respond), ExtraDelay(target));
}

void StoreServerFake::Read(const Target& target, TimePoint limit,
                           const http::Responder& respond) {
  const bool available = target.Number("from") < log_.End(target.Text("topic"));
  if (available || Clock::now() >= limit) return respond(log_.Read(target));
  executor_.RunAfter(kReadPollInterval, [this, target, limit, respond] {
    Read(target, limit, respond);
  });
}

}  // namespace mimosarail::soak
