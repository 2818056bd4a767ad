#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/ports/record_store_port.h"

namespace mimosarail::jobentry {

struct StoreCheckOptions {
  /// Table that a check reads.
  std::string table;
  /// How long the result of a check is reused.
  Millis max_age{500};
  /// Timeout of a check.
  Millis timeout{450};
};

/// Checks whether the store serves this entry. Control thread only. Must
/// outlive the callbacks of the store.
class StoreCheck {
 public:
  StoreCheck(Executor& executor, ports::RecordStorePort& store,
             StoreCheckOptions options)
      : executor_(executor), store_(store), options_(std::move(options)) {}

  /// Passes to `done` whether the store serves this entry. A recent result is
  /// reused. If an older check has failed, `done` gets false at once, and a new
  /// check runs in the background.
  void Run(std::function<void(bool served)> done);

 private:
  void OnChecked(bool served);

  Executor& executor_;
  ports::RecordStorePort& store_;
  StoreCheckOptions options_;
  /// Result of the last check.
  bool served_ = true;
  TimePoint checked_at_{};
  bool running_ = false;
  std::vector<std::function<void(bool)>> waiters_;
};

}  // namespace mimosarail::jobentry
