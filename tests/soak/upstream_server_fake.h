#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "src/libs/base/executor.h"
#include "src/libs/http/server.h"
#include "tests/soak/consistency_checker.h"
#include "tests/soak/faults.h"

namespace mimosarail::soak {

/// One upstream over HTTP. Runs tasks under a lease and checks fencing tokens;
/// each task completes after a short time. One thread runs `io`, which the
/// executor uses as well; both and the checker must outlive the server.
class UpstreamServerFake {
 public:
  UpstreamServerFake(asio::io_context& io, Executor& executor,
                     ConsistencyChecker& checker, std::string id,
                     CallFaultOptions faults, uint64_t seed);

  bool Start();
  /// The record of this upstream in the list of upstreams.
  std::string ListEntry(const std::string& pool) const;
  const std::string& id() const { return id_; }
  /// Ends the upstream with all that it knows. After `downtime`, in which calls
  /// stay unanswered, it starts again under its id, and `restarted` is called.
  void Restart(Millis downtime, std::function<void()> restarted);
  /// Leaves all calls unanswered for `span`. The runs and leases go on.
  void CutOff(Millis span);
  /// Pauses the upstream for `span`: its runs end only then, unless their lease
  /// has expired, and calls arrive only then.
  void Pause(Millis span);
  /// Ends a pause or a cut.
  void EndSilence();
  CallFaultInjector& faults() { return faults_; }

 private:
  using Json = nlohmann::json;

  void BeginIncarnation();
  /// The upstream's clock, which begins anew with each incarnation.
  int64_t ClockMs() const;
  http::Response Answer(int status, Json body = Json::object()) const;
  http::Response Refuse(const char* reason) const;
  void HandleRequest(const http::Request& request, http::Responder respond);
  http::Response StartTask(const Json& body);
  http::Response StopTask(const Json& body);
  void RenewLease(const Json& body, const http::Responder& respond);
  /// Answers when there is a finished run to report, or at the limit.
  void Report(TimePoint limit, const http::Responder& respond);
  /// Whether the call's fencing token is current. If so, adopts the token and
  /// extends the lease to the call's deadline.
  bool AcceptsFence(const Json& body);
  void DiscardAcknowledged();
  void ExpireLease();
  void Finish(const std::string& task, int64_t attempt, const char* how);
  /// The run has done its work. It ends at once, or after the pause.
  void Complete(const std::string& task, int64_t attempt);
  bool IsCutOff() const { return Clock::now() < cut_off_until_; }
  /// Time that is left of the pause; 0 without one.
  Millis PauseLeft() const;

  Executor& executor_;
  ConsistencyChecker& checker_;
  std::string id_;
  std::string address_;
  CallFaultInjector faults_;
  SeededRandom random_;
  http::Server server_;
  bool down_ = false;
  TimePoint cut_off_until_{};
  TimePoint paused_until_{};
  /// Number of restarts.
  int64_t incarnation_ = 0;
  TimePoint started_at_{};
  int64_t start_unix_ms_ = 0;
  Millis initial_clock_{0};
  int64_t fence_ = 0;
  int64_t lease_end_ms_ = 0;
  /// The last lease end that has passed, whether or not anything ran then.
  /// Completions that were not acknowledged before it no longer count.
  int64_t expired_lease_end_ms_ = 0;
  /// The attempt of each running task.
  std::map<std::string, int64_t> running_;
  /// The highest attempt of each task that was started or stopped here.
  std::map<std::string, int64_t> last_attempt_;
  /// Finished runs that are not acknowledged yet, by their numbers.
  std::map<int64_t, Json> unacknowledged_;
  int64_t last_completion_number_ = 0;
  /// Completions up to this number are discarded, also those to come.
  int64_t acknowledged_ = 0;
};

}  // namespace mimosarail::soak
