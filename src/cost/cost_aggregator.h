#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "requests_types.h"
#include "src/libs/base/executor.h"
#include "src/ports/log_port.h"

namespace mimosarail::cost {

inline constexpr char kCostStream[] = "cost";

struct CostAggregatorOptions {
  /// Name and incarnation of this entry. Together with the number of a batch it
  /// identifies the batch.
  std::string entry;
  Millis flush_interval{10000};
};

/// Sums the cost of requests by rule, revision and team, and periodically
/// appends the sums to the log as a batch. The log thus contains the costs of
/// all entries and survives their restarts. Control thread only.
class CostAggregator {
 public:
  CostAggregator(Executor& executor, ports::LogPort& log,
                 CostAggregatorOptions options);
  void Start();
  void Add(const wire::CostLine& line);
  /// Appends the sums since the last batch as a new batch. `done` runs when the
  /// log has confirmed it, or at once without new sums, and receives whether
  /// all batches are confirmed.
  void Flush(std::function<void(bool)> done);
  /// Whether no sums are left to append and all batches are confirmed.
  bool empty() const {
    return pending_sums_.empty() && unconfirmed_batches_ == 0;
  }
  /// Number of appends sent so far; counts towards the control cost.
  int64_t appends() const { return appends_sent_; }

 private:
  using SumKey = std::tuple<std::string, int64_t, std::string>;
  Executor& executor_;
  ports::LogPort& log_;
  CostAggregatorOptions options_;
  std::map<SumKey, wire::CostLine> pending_sums_;
  int unconfirmed_batches_ = 0;
  int64_t appends_sent_ = 0;
  int64_t last_batch_number_ = 0;
};

/// The cost of one day for one rule, revision and team.
struct DailyCost {
  std::string day;  ///< As "YYYY-MM-DD", UTC.
  wire::CostLine sum;
};

/// Reads the whole stream and sums it by day, rule, revision and team. `done`
/// receives an error if a read fails. Control thread only.
void ReadDailyCosts(ports::LogPort& log,
                    std::function<void(Result<std::vector<DailyCost>>)> done);

}  // namespace mimosarail::cost
