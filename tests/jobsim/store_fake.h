#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/ports/cell_config_port.h"
#include "src/ports/record_store_port.h"
#include "src/ports/upstream_list_port.h"
#include "tests/jobsim/link_fake.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::jobsim {

/// Faults of the store, set by tests. Entries are identified by their names.
struct StoreFaults {
  /// No call is executed or answered.
  bool down = false;
  /// Entries whose calls do not reach the store.
  std::set<std::string> partitioned_entries;
  /// Reads of the configuration get no answer.
  bool config_unreadable = false;
  /// Number of upcoming appends that are executed without a reply.
  int drop_replies = 0;
  /// Number of upcoming appends that are executed after `execution_delay`
  /// without a reply.
  int delayed_appends = 0;
  Millis execution_delay{2000};
  /// Round-trip time of an append, half of it in each direction.
  Millis append_latency{4};
  /// Maximum random delay added to each direction of a call, so that calls and
  /// replies overtake one another.
  Millis jitter{0};
  /// Percentage of appends that are refused at random, without effect.
  uint64_t refused_percent = 0;
  /// Request delays of the next appends to a table, in the order of sending;
  /// later appends have the usual delay.
  std::map<std::string, std::deque<Millis>> append_request_delays{};
  /// Additional delay of replies to appends, by entry.
  std::map<std::string, Millis> append_reply_delays{};
};

/// The platform's store: tables that keep the newest record of each key, fenced
/// writers, and a history that may be dropped.
class StoreFake {
 public:
  explicit StoreFake(sim::ManualClock& clock) : clock_(clock) {}

  ports::AppendReply Append(const ports::AppendCall& call);
  ports::NewestPage Newest(const std::string& table, const std::string& after);
  Result<ports::TailReply> Tail(const std::string& table, int64_t from);
  void DropHistory() {
    for (auto& [name, table] : tables_) table.first = table.end;
  }

  /// Writes an operator's wave next to the configuration.
  void RequestWave(const ports::WaveRequest& wave);
  /// The waves among these records.
  std::vector<ports::WaveRequest> Waves(
      const std::vector<ports::KeyedRecord>& records) const;

  /// Writes a record; an empty value removes the key.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  const std::map<std::string, std::string>& Records(const std::string& table) {
    return tables_[table].newest;
  }
  StoreFaults& faults() { return faults_; }
  const StoreFaults& faults() const { return faults_; }
  sim::ManualClock& clock() { return clock_; }
  int64_t appends() const { return appends_; }
  /// Number of appends refused because they overtook an earlier append, as
  /// their sequence numbers show.
  int64_t out_of_order() const { return out_of_order_; }
  /// Seeds all random decisions.
  void Seed(uint64_t seed) { random_.seed(seed); }
  /// Random delay of one direction of a call.
  Millis Jitter() {
    const auto max_jitter = static_cast<uint64_t>(faults_.jitter.count());
    return Millis(max_jitter == 0 ? 0 : random_() % (max_jitter + 1));
  }
  /// Decides at random whether the store refuses an append.
  bool ShouldRefuseAppend() {
    return faults_.refused_percent > 0 &&
           random_() % 100 < faults_.refused_percent;
  }
  /// Delay of the next append on the way to the store.
  Millis NextAppendRequestDelay(const std::string& table);

 private:
  struct Writer {
    int64_t epoch = 0;
    /// Sequence number of the last append with records. Unset until the first
    /// one of an epoch, which may have any number.
    std::optional<int64_t> sequence;
    std::map<int64_t, ports::AppendReply> answers;
  };
  struct Table {
    std::map<std::string, std::string> newest;
    std::deque<ports::KeyedRecord> history;
    int64_t first = 0;
    int64_t end = 0;
    std::map<std::string, Writer> writers;
  };

  /// Adopts the epoch of `who`. Returns the reply to an append that is denied
  /// or was executed before; nothing if the append is to be executed.
  std::optional<ports::AppendReply> CheckWriter(
      const ports::WriterIdentity& who, Writer& writer);

  sim::ManualClock& clock_;
  StoreFaults faults_;
  std::mt19937_64 random_;
  std::map<std::string, Table> tables_;
  int64_t appends_ = 0;
  int64_t out_of_order_ = 0;
  std::map<std::string, ports::WaveRequest> waves_;
};

/// The client of one entry for the store.
class StoreClientFake final : public ports::RecordStorePort,
                              public ports::CellConfigPort,
                              public ports::UpstreamListPort {
 public:
  /// All arguments must outlive the client. Without a machine, messages use no
  /// link.
  StoreClientFake(StoreFake& store, Executor& executor, std::string entry,
                  MachineFake* machine = nullptr)
      : store_(store),
        executor_(executor),
        entry_(std::move(entry)),
        machine_(machine) {}

  void Append(const ports::AppendCall& call, Millis timeout,
              std::function<void(ports::AppendReply)> done) override;
  void ReadNewest(const std::string& table, const std::string& after,
                  Millis timeout, Callback<ports::NewestPage> done) override;
  void ReadTail(const std::string& table, int64_t from, Millis wait,
                Millis timeout, Callback<ports::TailReply> done) override;
  void ReadNewest(Millis timeout, Callback<ports::ConfigUpdate> done) override;
  void ReadChange(int64_t cursor, Millis wait, Millis timeout,
                  Callback<ports::ConfigUpdate> done) override;
  Result<ports::CellConfig> Decode(const std::string& document) const override;
  void ReadAll(Millis timeout,
               Callback<ports::UpstreamListUpdate> done) override;
  void ReadChanges(int64_t cursor, Millis timeout,
                   Callback<ports::UpstreamListUpdate> done) override;

 private:
  bool Reachable() const;
  /// Runs `done` when a call of `bytes` for this table has left the entry's
  /// machine. Each call has a connection of its own; the short ones for the
  /// leader table do not wait for all records of jobs.
  void Send(const std::string& table, size_t bytes, std::function<void()> done);
  /// Runs `done` at the entry when a reply without records has arrived.
  void ReceiveReply(std::function<void()> done);
  /// Runs `done` at the entry when `bytes` have arrived over its link.
  /// `progress` is as in LinkFake::Transfer().
  void Receive(size_t bytes, std::function<void()> done,
               const std::function<void()>& progress = {});
  /// Fails a read that makes no progress for `timeout`.
  void WatchProgress(Millis timeout, std::shared_ptr<TimePoint> last_progress,
                     Callback<ports::NewestPage> deliver);
  /// Reports after `timeout` that there was no answer.
  template <typename T>
  void TimeOut(Millis timeout, Callback<T> done);
  /// Answers with the result of `read` after `delay`, or fails after `timeout`.
  template <typename T>
  void Answer(Millis timeout, Callback<T> done, std::function<Result<T>()> read,
              Millis delay);

  StoreFake& store_;
  Executor& executor_;
  std::string entry_;
  MachineFake* machine_;
};

/// The document of a configuration with this version and these accounts.
std::string ConfigDocument(int64_t version,
                           const std::vector<ports::AccountConfig>& accounts);

/// Tables that operators and upstreams write.
inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kUpstreamTable = "upstreams";

}  // namespace mimosarail::jobsim
