#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::standins {

/// Faults of the log, set by tests.
struct LogFaults {
  bool down = false;            ///< Calls are dropped without a reply.
  int64_t reply_delay_ms = 0;   ///< Delay of every reply.
  int drop_append_replies = 0;  ///< Appends to execute without a reply.
  int drop_appends = 0;         ///< Appends to drop without executing them.
};

/// The platform's append-only log, with offsets, retention and outages.
class LogServerFake {
 public:
  LogServerFake(Executor& executor, Millis retention);

  template <typename Reply>
  using Answer = std::function<void(const Reply&)>;

  void Append(const wire::AppendCall& call, Answer<wire::AppendReply> answer);
  void Read(const wire::ReadCall& call, Answer<wire::ReadReply> answer);

  LogFaults& faults() { return faults_; }
  void SetRetention(Millis retention) { retention_ = retention; }
  /// Drops every record below `offset`.
  void Trim(const std::string& stream, int64_t offset);
  int64_t appends() const { return appends_; }
  int64_t reads() const { return reads_; }

 private:
  struct Entry {
    wire::LogRecord record;
    TimePoint at{};
  };
  struct WaitingReader {
    wire::ReadCall call;
    Answer<wire::ReadReply> answer;
    uint64_t id = 0;
  };
  struct Stream {
    int64_t first = 0;
    int64_t next = 0;
    std::deque<Entry> entries;
    std::vector<WaitingReader> readers;
  };

  void Expire();
  wire::ReadReply MakeReply(const Stream& stream,
                            const wire::ReadCall& call) const;
  template <typename Reply>
  void Send(const Answer<Reply>& answer, const Reply& reply);

  Executor& executor_;
  Millis retention_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
  uint64_t last_reader_ = 0;
  int64_t appends_ = 0;
  int64_t reads_ = 0;
};

}  // namespace mimosarail::standins
