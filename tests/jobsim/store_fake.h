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

/// Faults of the store, switched by tests. An entry is named as in its calls.
struct StoreFaults {
  bool down = false;
  std::set<std::string> partitioned_entries;
  /// So many appends are done and not answered.
  int drop_replies = 0;
  /// So many appends are done this much later and not answered.
  int delayed_appends = 0;
  Millis execution_delay{2000};
  /// How long an append takes until it is answered; half of it there.
  Millis append_latency{4};
  /// Each way of a call takes up to this much longer, by chance, so that calls
  /// and answers overtake one another.
  Millis jitter{0};
  /// Of a hundred appends so many are refused, by chance: nothing is done.
  uint64_t refused_percent = 0;
  /// How long the next appends of a table are on their way to the store, in the
  /// order in which they leave; as usual after these.
  std::map<std::string, std::deque<Millis>> append_request_delays{};
  /// Answers to appends of these entries come so much later.
  std::map<std::string, Millis> append_reply_delays{};
};

/// The platform's store: tables whose newest record of a key counts, fenced
/// writers, and the history that may be dropped.
class StoreFake {
 public:
  explicit StoreFake(sim::ManualClock& clock) : clock_(clock) {}

  ports::AppendReply Append(const ports::AppendCall& call);
  ports::NewestPage Newest(const std::string& table, const std::string& after);
  Result<ports::TailReply> Tail(const std::string& table, int64_t from);
  void DropHistory() {
    for (auto& [name, table] : tables_) table.first = table.end;
  }

  /// Puts an operator's wave beside the configuration.
  void RequestWave(const ports::WaveRequest& wave);
  /// The waves among these records.
  std::vector<ports::WaveRequest> Waves(
      const std::vector<ports::KeyedRecord>& records) const;

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  const std::map<std::string, std::string>& Records(const std::string& table) {
    return tables_[table].newest;
  }
  StoreFaults& faults() { return faults_; }
  const StoreFaults& faults() const { return faults_; }
  sim::ManualClock& clock() { return clock_; }
  int64_t appends() const { return appends_; }
  /// Appends refused for their numbers: they have overtaken others.
  int64_t out_of_order() const { return out_of_order_; }
  /// What is left to chance follows from the seed alone.
  void Seed(uint64_t seed) { random_.seed(seed); }
  /// What chance adds to one way of a call.
  Millis Jitter() {
    const auto most = static_cast<uint64_t>(faults_.jitter.count());
    return Millis(most == 0 ? 0 : random_() % (most + 1));
  }
  /// Whether chance has the store refuse an append.
  bool ShouldRefuseAppend() {
    return faults_.refused_percent > 0 &&
           random_() % 100 < faults_.refused_percent;
  }
  /// How long an append is on its way to the store.
  Millis NextAppendRequestDelay(const std::string& table);

 private:
  struct Writer {
    int64_t epoch = 0;
    /// Of the last append with records; none yet in this epoch, so that the
    /// first may have any number.
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

  /// The answer to a writer whose append is not to be done, or was done before;
  /// nothing if it is to be done. Takes its epoch.
  std::optional<ports::AppendReply> Check(const ports::WriterIdentity& who,
                                          Writer& writer);

  sim::ManualClock& clock_;
  StoreFaults faults_;
  std::mt19937_64 random_;
  std::map<std::string, Table> tables_;
  int64_t appends_ = 0;
  int64_t out_of_order_ = 0;
  std::map<std::string, ports::WaveRequest> waves_;
};

/// One entry's way to the store.
class StoreClientFake final : public ports::RecordStorePort,
                              public ports::CellConfigPort,
                              public ports::UpstreamListPort {
 public:
  /// Everything given outlives it. Without a machine nothing takes its link.
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
  /// Runs `there` when so many bytes have left the entry's machine.
  void Send(size_t bytes, std::function<void()> there);
  /// Runs `done` at the entry when so many bytes have come over its link.
  /// `progress` as in LinkFake::Transfer().
  void Receive(size_t bytes, std::function<void()> done,
               const std::function<void()>& progress = {});
  /// Fails a read that nothing was heard of for the timeout.
  void WatchSilence(Millis timeout, std::shared_ptr<TimePoint> heard,
                    Callback<ports::NewestPage> give);
  /// Runs `answer` after the store's delay, or fails with the timeout.
  template <typename T>
  void Answer(Millis timeout, Callback<T> done, std::function<Result<T>()> read,
              Millis delay);

  StoreFake& store_;
  Executor& executor_;
  std::string entry_;
  MachineFake* machine_;
};

/// Tables of the fake that stand for the operators' and the upstreams' own.
inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kUpstreamTable = "upstreams";

}  // namespace mimosarail::jobsim
