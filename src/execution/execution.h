#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "requests_types.h"
#include "src/control/controller.h"
#include "src/libs/base/executor.h"
#include "src/placement/policy.h"
#include "src/requests/peer_port.h"

namespace mimosarail::execution {

struct ExecutionOptions {
  Millis report_retry{500};
  /// How long a result is kept for an owner that is dead.
  Millis end_retention{600000};
  uint64_t seed = 1;
};

/// Liveness and address of the owner of an attempt.
struct OwnerRoute {
  bool self = false;
  bool alive = false;
  std::string address;
};

/// The controller's side of attempts: places their tasks on the upstreams
/// controlled by this entry, monitors them, and reports each result to the
/// owner until the owner has received it. Control thread only.
class Execution final : public control::SessionListener {
 public:
  using RouteTo =
      std::function<OwnerRoute(const std::string& owner, int64_t incarnation)>;
  /// `report_here` receives reports of attempts that this entry owns itself and
  /// returns whether it knows them. `capacity_changed` is called often and must
  /// be cheap.
  Execution(Executor& executor, requests::PeerPort& peers,
            ExecutionOptions options, RouteTo route,
            std::function<bool(const wire::ReportCall&)> report_here,
            std::function<void()> capacity_changed);

  /// Must be called once, before anything else.
  void Bind(control::Controller& controller) { controller_ = &controller; }
  void Start();

  /// Starts all tasks of an attempt, or none. A repeated call for tasks that
  /// were already started is accepted and starts nothing.
  wire::PlaceReply Place(const wire::PlaceCall& call);
  /// Reports the tasks of a request that this entry controls. See FindCall for
  /// the fence.
  void Find(const wire::FindCall& call, wire::FindReply& reply);
  /// Stops all tasks of the request; returns whether there were any.
  bool Stop(const std::string& request_id);

  /// Stops running tasks of lower priority to release capacity for one task of
  /// the call. Returns true if tasks were asked to stop.
  bool Preempt(const wire::PlaceCall& call);

  size_t task_count() const { return tasks_.size(); }
  int64_t starts() const { return starts_; }
  int64_t reports() const { return reports_; }
  /// Ids of the running tasks on the upstream.
  std::vector<std::string> RunningTasksOn(const std::string& upstream) const;

  bool OnFound(const std::string& upstream,
               const wire::TaskSpec& task) override;
  void OnEnded(const std::string& upstream,
               const wire::TaskStatus& status) override;
  void OnNotStarted(const std::string& upstream, const wire::TaskSpec& task,
                    const std::string& reason) override;
  void OnLost(const std::string& upstream, const wire::TaskSpec& task) override;
  void OnLapseAssumed(const std::string& upstream,
                      const wire::TaskSpec& task) override;
  void OnMoved(const std::string& upstream, const wire::TaskSpec& task,
               bool began) override;
  void OnCapacityChanged() override { capacity_changed_(); }

 private:
  struct ManagedTask {
    wire::AttemptContext context;
    wire::TaskSpec task;
    std::string upstream;
    bool ended = false;
    bool stopping = false;
    bool reporting = false;
    /// The upstream stores this result until it is released.
    bool kept_upstream = false;
    wire::ReportCall report;
    uint64_t serial = 0;  ///< Of the report; changes with every new state.
    TimePoint ended_at{};
  };
  struct Fence {
    int32_t below = 0;
    TimePoint set_at{};
  };

  bool Fenced(const std::string& request_id, int32_t attempt) const;
  void StartOn(const wire::PlaceCall& call,
               const std::vector<placement::RowId>& rows);
  void End(const std::string& upstream, const wire::TaskSpec& task,
           wire::TaskEnd::type end, const std::string& reason,
           const wire::TaskStatus* status, bool began = false);
  void Report(const std::string& task_id);
  void OnReported(const std::string& task_id, uint64_t serial, bool taken);
  void Forget(const std::string& task_id);
  void Sweep();
  ManagedTask* FindTask(const std::string& task_id);

  Executor& executor_;
  requests::PeerPort& peers_;
  ExecutionOptions options_;
  RouteTo route_;
  std::function<bool(const wire::ReportCall&)> report_here_;
  std::function<void()> capacity_changed_;
  control::Controller* controller_ = nullptr;
  std::unique_ptr<placement::Policy> policy_;
  std::map<std::string, ManagedTask> tasks_;  ///< By task id.
  std::map<std::string, Fence> fences_;
  uint64_t last_serial_ = 0;
  int64_t starts_ = 0;
  int64_t reports_ = 0;
};

/// Identifies one task of one attempt; also its idempotency key upstream.
std::string TaskId(const std::string& request_id, int32_t attempt,
                   int32_t index);

/// Returns the placement query of an attempt. The context must outlive it.
placement::PlacementRequest MakePlacementRequest(
    const wire::AttemptContext& context, int32_t tasks, TimePoint now);

}  // namespace mimosarail::execution
