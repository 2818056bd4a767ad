#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/libs/http/message.h"
#include "src/libs/http/server.h"
#include "tests/soak/faults.h"

namespace mimosarail::soak {

/// Path and query of a request's target, the query decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  /// Empty without the parameter.
  std::string Text(const std::string& name) const;
  /// 0 without the parameter.
  int64_t Number(const std::string& name) const;
};

Target ParseTarget(const std::string& target);

/// State of the platform's store: topics of one partition each, which nothing
/// expires from. Strict about writers as its page says: an append without
/// records sets the epoch and is no append of that epoch, so that the first one
/// with records may carry any sequence number. Not thread-safe.
class LogStore {
 public:
  http::Response Append(const Target& target, const std::string& body);
  http::Response Read(const Target& target);
  http::Response Newest(const Target& target);
  /// Writes as the operator or an upstream would.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Offset of the next record.
  int64_t End(const std::string& topic) {
    return static_cast<int64_t>(topics_[topic].records.size());
  }
  /// Appends refused for their sequence number.
  int64_t out_of_sequence() const { return out_of_sequence_; }

 private:
  struct Writer {
    int64_t epoch = 0;
    /// Of the last append with records.
    std::optional<int64_t> last;
    /// First answers of the last appends, by their numbers.
    std::deque<std::pair<int64_t, http::Response>> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    /// Offset of the newest record of each key.
    std::map<std::string, size_t> newest;
    std::map<std::string, Writer> writers;
  };

  /// The answer that keeps a writer from appending; empty if it may.
  std::optional<http::Response> CheckWriter(Writer& writer,
                                            const Target& target, bool empty);
  static void Add(Topic& topic, std::string record);

  std::map<std::string, Topic> topics_;
  int64_t out_of_sequence_ = 0;
};

/// The platform's store over HTTP. One thread runs `io`, which the executor
/// runs on as well; both outlive it.
class StoreServerFake {
 public:
  StoreServerFake(asio::io_context& io, Executor& executor,
                  CallFaultOptions faults, uint64_t seed);

  /// "ip:port" where it listens; empty if it can't.
  std::string Start();
  LogStore& log() { return log_; }
  CallFaultInjector& faults() { return faults_; }

 private:
  /// The first appends of a writer's epoch are held up, the second most: the
  /// writer then takes the store for slow, and its third overtakes the second.
  Millis ExtraDelay(const Target& target);
  void HandleRequest(const http::Request& request, http::Responder respond);
  void Read(const Target& target, TimePoint limit,
            const http::Responder& respond);

  Executor& executor_;
  CallFaultInjector faults_;
  LogStore log_;
  http::Server server_;
  /// Sequence numbers seen, by the writer and its epoch.
  std::map<std::string, std::set<std::string>> seen_;
};

}  // namespace mimosarail::soak
