#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform_types.h"
#include "src/libs/base/executor.h"
#include "tests/standins/history.h"

namespace mimosarail::standins {

/// Faults of one upstream, switched by tests.
struct UpstreamFaults {
  bool down = false;           ///< Calls are swallowed without effect.
  bool fail_all = false;       ///< Every task fails at once.
  int drop_start_replies = 0;  ///< So many starts work, their replies are lost.
  int drop_starts = 0;         ///< So many starts are lost before their effect.
  int drop_renew_replies = 0;
  int64_t reply_delay_ms = 0;  ///< Replies come so much later.
  double run_factor = 1.0;     ///< Real run time over the declared one.
};

/// One upstream as the platform promises it (docs/PLATFORM.md): terms fence,
/// leases lapse by its own clock, ends stay until released. It does not
/// refuse what does not fit: the checkers look for that in the history.
class UpstreamServerFake {
 public:
  UpstreamServerFake(Executor& executor, History& history,
                     wire::ListedInstance self);

  template <typename Reply>
  using Answer = std::function<void(const Reply&)>;

  void Attach(const wire::AttachCall& call, Answer<wire::AttachReply> answer);
  void Start(const wire::StartCall& call, Answer<wire::StartReply> answer);
  void Renew(const wire::RenewCall& call, Answer<wire::RenewReply> answer);
  void Steer(const wire::SteerCall& call, Answer<wire::SteerReply> answer);
  void Inventory(const wire::InventoryCall& call,
                 Answer<wire::InventoryReply> answer);
  void Usage(const wire::UsageCall& call, Answer<wire::UsageReply> answer);
  void Collect(const wire::CollectCall& call,
               Answer<wire::CollectReply> answer);

  UpstreamFaults& faults() { return faults_; }
  /// The instance dies: tasks are gone, and it answers no more until reborn.
  void Crash();
  void Restart();

 private:
  struct Task {
    wire::TaskStatus status;
    TimePoint started{};
    TimePoint ends{};
    TimePoint lease_until{};
  };

  void Tick();
  void EndTask(Task& task, wire::TaskState::type state);
  void NotifyPoller();
  std::vector<wire::TaskStatus> Snapshot() const;
  void Log(const char* event, const wire::TaskSpec& task, int64_t at_ms);
  void Log(const char* event, const wire::TaskSpec& task) {
    Log(event, task, NowMs());
  }
  template <typename Reply>
  void Send(const Answer<Reply>& answer, const Reply& reply);
  int64_t NowMs() const;

  Executor& executor_;
  History& history_;
  wire::ListedInstance self_;
  UpstreamFaults faults_;
  int64_t term_ = 0;
  std::string holder_;
  std::map<std::string, Task> tasks_;
  std::set<std::string> released_;
  Answer<wire::RenewReply> poller_;
  uint64_t poll_ = 0;
  int64_t poll_seen_ = 0;
  int64_t last_sequence_ = 0;
};

}  // namespace mimosarail::standins
