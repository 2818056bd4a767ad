#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform_types.h"
#include "src/libs/base/executor.h"
#include "tests/fakes/history.h"

namespace mimosarail::fakes {

/// Faults of one upstream, set by tests.
struct UpstreamFaults {
  bool down = false;           ///< Calls are dropped without effect.
  bool fail_all = false;       ///< Every task fails immediately.
  int drop_start_replies = 0;  ///< How many starts execute without a reply.
  int drop_starts = 0;         ///< How many starts are dropped.
  int drop_renew_replies = 0;  ///< How many renewals execute without a reply.
  int64_t reply_delay_ms = 0;  ///< Delay of every reply.
  double run_factor = 1.0;     ///< Ratio of real to declared run time.
};

/// Fake of one upstream with the guarantees of the platform (docs/PLATFORM.md):
/// calls with an old term are fenced, leases expire by the upstream's own
/// clock, and ended tasks are kept until they are released. It does not refuse
/// starts that exceed its capacity: the checkers find them in the history.
class UpstreamServerFake {
 public:
  UpstreamServerFake(Executor& executor, History& history,
                     wire::ListedInstance self);

  template <typename Reply>
  using ReplyCallback = std::function<void(const Reply&)>;

  void Attach(const wire::AttachCall& call,
              ReplyCallback<wire::AttachReply> done);
  void Start(const wire::StartCall& call, ReplyCallback<wire::StartReply> done);
  void Renew(const wire::RenewCall& call, ReplyCallback<wire::RenewReply> done);
  void Steer(const wire::SteerCall& call, ReplyCallback<wire::SteerReply> done);
  void Inventory(const wire::InventoryCall& call,
                 ReplyCallback<wire::InventoryReply> done);
  void Usage(const wire::UsageCall& call, ReplyCallback<wire::UsageReply> done);
  void Collect(const wire::CollectCall& call,
               ReplyCallback<wire::CollectReply> done);

  UpstreamFaults& faults() { return faults_; }
  /// Crashes the instance: its tasks are lost, and it answers no calls until
  /// Restart().
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
  void Send(const ReplyCallback<Reply>& done, const Reply& reply);
  int64_t NowMs() const;

  Executor& executor_;
  History& history_;
  wire::ListedInstance self_;
  UpstreamFaults faults_;
  int64_t term_ = 0;
  std::string holder_;
  std::map<std::string, Task> tasks_;
  std::set<std::string> released_;
  ReplyCallback<wire::RenewReply> pending_poll_;
  uint64_t last_poll_id_ = 0;
  int64_t poll_seen_sequence_ = 0;
  int64_t last_sequence_ = 0;
};

}  // namespace mimosarail::fakes
