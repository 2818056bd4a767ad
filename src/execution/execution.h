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
  /// Interval between reports of a result that its owner has not received.
  Millis report_retry{500};
  /// How long a result is kept if its owner does not receive it.
  Millis end_retention{600000};
  uint64_t seed = 1;
};

/// Liveness and address of the owner of an attempt.
struct OwnerLocation {
  bool is_self = false;
  bool alive = false;
  std::string address;
};

/// The controller's side of attempts: places their tasks on the upstreams
/// controlled by this entry, monitors them, and reports each result to the
/// owner until the owner has received it. Control thread only.
class Execution final : public control::SessionListener {
 public:
  using FindOwner = std::function<OwnerLocation(const std::string& owner,
                                                int64_t incarnation)>;
  /// `find_owner` returns the location of an owner. `report_locally` receives
  /// the reports of attempts that this entry owns itself and returns whether it
  /// knows the request. `capacity_changed` is called often and must be cheap.
  Execution(Executor& executor, requests::PeerPort& peers,
            ExecutionOptions options, FindOwner find_owner,
            std::function<bool(const wire::ReportCall&)> report_locally,
            std::function<void()> capacity_changed);

  /// Sets the controller of the upstreams of this entry. Must be called once,
  /// before anything else.
  void SetController(control::Controller& controller) {
    controller_ = &controller;
  }
  void Start();

  /// Starts all tasks of an attempt, or none. A repeated call for tasks that
  /// were already started is accepted and starts nothing.
  wire::PlaceReply Place(const wire::PlaceCall& call);
  /// Reports the tasks of a request that this entry controls. See FindCall for
  /// the fence.
  void Find(const wire::FindCall& call, wire::FindReply& reply);
  /// Stops all tasks of the request; returns whether there were any.
  bool Stop(const std::string& request_id);

  /// Stops running repeatable tasks of lower priority to release capacity for
  /// one task of the call. Returns true if tasks were asked to stop.
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
  void OnLeaseAssumedExpired(const std::string& upstream,
                             const wire::TaskSpec& task) override;
  void OnControlMoved(const std::string& upstream, const wire::TaskSpec& task,
                      bool began) override;
  void OnCapacityChanged() override { capacity_changed_(); }

 private:
  struct ManagedTask {
    wire::AttemptContext context;
    wire::TaskSpec task;
    std::string upstream;
    bool ended = false;
    /// A stop has been requested.
    bool stopping = false;
    /// A report to the owner is in flight.
    bool reporting = false;
    /// The upstream stores this result until it is released.
    bool upstream_stores_result = false;
    wire::ReportCall report;
    uint64_t serial = 0;  ///< Changes with every new state.
    TimePoint ended_at{};
  };
  struct Fence {
    int32_t below = 0;  ///< Attempts with a lower number are refused.
    TimePoint set_at{};
  };

  bool IsFenced(const std::string& request_id, int32_t attempt) const;
  void StartOn(const wire::PlaceCall& call,
               const std::vector<placement::CapacityIndex>& upstreams);
  void End(const std::string& upstream, const wire::TaskSpec& task,
           wire::TaskEnd::type end, const std::string& reason,
           const wire::TaskStatus* status, bool began = false);
  void Report(const std::string& task_id);
  void OnReported(const std::string& task_id, uint64_t serial, bool received);
  void Forget(const std::string& task_id);
  void RetryReports();
  ManagedTask* FindTask(const std::string& task_id);

  Executor& executor_;
  requests::PeerPort& peers_;
  ExecutionOptions options_;
  FindOwner find_owner_;
  std::function<bool(const wire::ReportCall&)> report_locally_;
  std::function<void()> capacity_changed_;
  control::Controller* controller_ = nullptr;
  std::unique_ptr<placement::Policy> policy_;
  std::map<std::string, ManagedTask> tasks_;  ///< By task id.
  std::map<std::string, Fence> fences_;       ///< By request id.
  uint64_t last_serial_ = 0;
  int64_t starts_ = 0;
  int64_t reports_ = 0;
};

/// Returns the id of one task of one attempt, which is also its idempotency key
/// at the upstream.
std::string TaskId(const std::string& request_id, int32_t attempt,
                   int32_t index);

/// Returns the placement request of an attempt. The context must outlive it.
placement::PlacementRequest MakePlacementRequest(
    const wire::AttemptContext& context, int32_t tasks, TimePoint now);

}  // namespace mimosarail::execution
