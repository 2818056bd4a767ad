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
  /// How long an end is kept for owners that are gone.
  Millis keep_ends{600000};
  uint64_t seed = 1;
};

/// How the owner of an attempt is reached.
struct OwnerRoute {
  bool self = false;
  bool alive = false;
  std::string address;
};

/// The controller's side of attempts: places their tasks on the upstreams
/// under this entry, watches them, and reports each end to the owner until it
/// is taken. Control thread only.
class Execution final : public control::SessionListener {
 public:
  using RouteTo =
      std::function<OwnerRoute(const std::string& owner, int64_t incarnation)>;
  /// `report_here` takes reports of attempts that this entry owns itself and
  /// answers whether it knew them. `room_changed` runs often: keep it cheap.
  Execution(Executor& executor, requests::PeerPort& peers,
            ExecutionOptions options, RouteTo route,
            std::function<bool(const wire::ReportCall&)> report_here,
            std::function<void()> room_changed);

  /// Must be called once, before anything else.
  void Bind(control::Controller& controller) { controller_ = &controller; }
  void Start();

  /// Starts the tasks of an attempt, all or none. Asking again for what is
  /// already held is accepted without a second start.
  wire::PlaceReply Place(const wire::PlaceCall& call);
  /// What is held of a request here; see FindCall for the fence.
  void Find(const wire::FindCall& call, wire::FindReply& reply);
  /// Stops every held task of the request; true if there were any.
  bool Stop(const std::string& request_id);

  /// Running tasks that could make way for a request of this priority.
  /// Returns true if tasks were asked to stop.
  bool Preempt(const wire::PlaceCall& call);

  size_t held() const { return held_.size(); }
  int64_t starts() const { return starts_; }
  int64_t reports() const { return reports_; }
  /// What the tasks of each upstream take, as told to operators.
  std::vector<std::string> HeldOn(const std::string& upstream) const;

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
  void OnRoomChanged() override { room_changed_(); }

 private:
  struct Held {
    wire::AttemptContext context;
    wire::TaskSpec task;
    std::string upstream;
    bool ended = false;
    bool stopping = false;
    bool reporting = false;
    /// The upstream itself keeps this end until it is released.
    bool kept_upstream = false;
    wire::ReportCall report;
    uint64_t serial = 0;  ///< Of the report; rises with every new word.
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
  Held* FindHeld(const std::string& task_id);

  Executor& executor_;
  requests::PeerPort& peers_;
  ExecutionOptions options_;
  RouteTo route_;
  std::function<bool(const wire::ReportCall&)> report_here_;
  std::function<void()> room_changed_;
  control::Controller* controller_ = nullptr;
  std::unique_ptr<placement::Policy> policy_;
  std::map<std::string, Held> held_;  ///< By task id.
  std::map<std::string, Fence> fences_;
  uint64_t last_serial_ = 0;
  int64_t starts_ = 0;
  int64_t reports_ = 0;
};

/// Identifies one task of one attempt; also its idempotency key upstream.
std::string TaskId(const std::string& request_id, int32_t attempt,
                   int32_t index);

/// What an attempt asks of the decision core. The context must outlive it.
placement::Ask MakeAsk(const wire::AttemptContext& context, int32_t tasks,
                       TimePoint now);

}  // namespace mimosarail::execution
