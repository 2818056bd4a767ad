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

struct CostBookOptions {
  std::string entry;
  Millis flush_every{10000};
};

/// Sums cost by rule, revision and team, and appends the sums to the log
/// periodically, so that they add up over entries and restarts. Control thread
/// only.
class CostBook {
 public:
  CostBook(Executor& executor, ports::LogPort& log, CostBookOptions options);
  void Start();
  void Add(const wire::CostLine& line);
  /// Appends the sums that are not yet in the log; `done` receives whether the
  /// log has confirmed all batches.
  void Flush(std::function<void(bool)> done);
  /// Whether no sums are left to append and no append is unconfirmed.
  bool empty() const { return lines_.empty() && unconfirmed_ == 0; }
  int64_t appends() const { return appends_; }

 private:
  using Key = std::tuple<std::string, int64_t, std::string>;
  Executor& executor_;
  ports::LogPort& log_;
  CostBookOptions options_;
  std::map<Key, wire::CostLine> lines_;
  int unconfirmed_ = 0;
  int64_t appends_ = 0;
  int64_t next_batch_ = 0;
};

/// The sums of one day.
struct DayLine {
  std::string day;  ///< "2026-12-02", UTC.
  wire::CostLine sum;
};

/// Reads the whole stream and sums it by day, rule, revision and team. Gives an
/// error if the log does not answer. Control thread only.
void SumByDay(ports::LogPort& log,
              std::function<void(Result<std::vector<DayLine>>)> done);

}  // namespace mimosarail::cost
