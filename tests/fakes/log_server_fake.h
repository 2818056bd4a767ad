#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::fakes {

/// Faults of the log, set by tests.
struct LogFaults {
  bool down = false;            ///< Calls are dropped without a reply.
  int64_t reply_delay_ms = 0;   ///< Delay of every reply.
  int drop_append_replies = 0;  ///< How many appends execute without a reply.
  int drop_appends = 0;         ///< How many appends are dropped.
};

/// Fake of the platform's append-only log, with offsets, retention and outages.
class LogServerFake {
 public:
  LogServerFake(Executor& executor, Millis retention);

  template <typename Reply>
  using ReplyCallback = std::function<void(const Reply&)>;

  void Append(const wire::AppendCall& call,
              ReplyCallback<wire::AppendReply> done);
  void Read(const wire::ReadCall& call, ReplyCallback<wire::ReadReply> done);

  LogFaults& faults() { return faults_; }
  void SetRetention(Millis retention) { retention_ = retention; }
  /// Drops every record below `offset`.
  void Trim(const std::string& stream, int64_t offset);
  int64_t appends() const { return appends_; }
  int64_t reads() const { return reads_; }

 private:
  struct StoredRecord {
    wire::LogRecord record;
    TimePoint appended_at{};
  };
  struct WaitingReader {
    wire::ReadCall call;
    ReplyCallback<wire::ReadReply> done;
    uint64_t id = 0;
  };
  struct Stream {
    int64_t first = 0;
    int64_t next = 0;
    std::deque<StoredRecord> records;
    std::vector<WaitingReader> readers;
  };

  void Expire();
  wire::ReadReply MakeReply(const Stream& stream,
                            const wire::ReadCall& call) const;
  template <typename Reply>
  void Send(const ReplyCallback<Reply>& done, const Reply& reply);

  Executor& executor_;
  Millis retention_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
  uint64_t last_reader_id_ = 0;
  int64_t appends_ = 0;
  int64_t reads_ = 0;
};

}  // namespace mimosarail::fakes
