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

  /// Value of the parameter; empty if there is none.
  std::string Text(const std::string& name) const;
  /// Value of the parameter as a number; 0 if there is none.
  int64_t Number(const std::string& name) const;
};

Target ParseTarget(const std::string& target);

/// State of the platform's store: topics of one partition each, without expiry.
/// Checks writers as strictly as the store's documentation requires. An append
/// without records sets the epoch but is no append of that epoch, so the first
/// one with records may have any sequence number. Not thread-safe.
class LogStore {
 public:
  http::Response Append(const Target& target, const std::string& body);
  http::Response Read(const Target& target);
  http::Response Newest(const Target& target);
  /// Writes a record as an operator or an upstream would.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Offset of the next record.
  int64_t End(const std::string& topic) {
    return static_cast<int64_t>(topics_[topic].records.size());
  }
  /// Number of appends refused for their sequence number.
  int64_t out_of_sequence() const { return out_of_sequence_; }

 private:
  struct Writer {
    int64_t epoch = 0;
    /// Sequence number of the last append with records; unset before the first.
    std::optional<int64_t> last;
    /// Replies to the last appends, by their sequence numbers.
    std::deque<std::pair<int64_t, http::Response>> replies;
  };
  struct Topic {
    std::vector<std::string> records;
    /// Offset of the newest record of each key.
    std::map<std::string, size_t> newest;
    std::map<std::string, Writer> writers;
  };

  /// The reply to an append that is denied or repeated; empty if the append is
  /// to be executed.
  std::optional<http::Response> CheckWriter(Writer& writer,
                                            const Target& target, bool empty);
  static void Add(Topic& topic, std::string record);

  std::map<std::string, Topic> topics_;
  int64_t out_of_sequence_ = 0;
};

/// The platform's store over HTTP. One thread runs `io`, which the executor
/// uses as well; both must outlive the server.
class StoreServerFake {
 public:
  StoreServerFake(asio::io_context& io, Executor& executor,
                  CallFaultOptions faults, uint64_t seed);

  /// Starts to listen. Returns "ip:port", or an empty string on failure.
  std::string Start();
  LogStore& log() { return log_; }
  CallFaultInjector& faults() { return faults_; }

 private:
  /// Additional delay of a call. The first two appends of a writer's epoch are
  /// delayed, the second one most: the writer then regards the store as slow,
  /// and its third append overtakes the second.
  Millis ExtraDelay(const Target& target);
  void HandleRequest(const http::Request& request, http::Responder respond);
  void Read(const Target& target, TimePoint limit,
            const http::Responder& respond);

  Executor& executor_;
  CallFaultInjector faults_;
  LogStore log_;
  http::Server server_;
  /// Sequence numbers seen, by writer and epoch.
  std::map<std::string, std::set<std::string>> seen_;
};

}  // namespace mimosarail::soak
