#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/libs/http/client.h"
#include "tests/soak/account_keys.h"
#include "tests/soak/consistency_checker.h"
#include "tests/soak/entries.h"
#include "tests/soak/faults.h"

namespace mimosarail::soak {

/// Whose key a call carries.
enum class CallerKey { kOwner, kOtherAccount, kRevoked, kNone };

struct CallerRequest {
  std::string method = "GET";
  JobId job = 0;
  std::string body{};
  /// How long the caller waits for an answer.
  Millis limit{3000};
  CallerKey key = CallerKey::kOwner;
};

/// The answer of an entry to a caller.
struct CallerReply {
  /// HTTP status; 0 without an answer.
  int status = 0;
  /// The request was not sent.
  bool unsent = false;
  /// State of the job, if the request asked for it.
  std::string state{};

  /// The job was not accepted and must never run.
  bool refused() const { return status == 429 || status == 503 || unsent; }
};

/// HTTP client of the callers. Keeps connections open until the entry closes
/// them, and checks each answer against the interface. One thread runs `io`,
/// which outlives the client, as do the checker and the entries.
class CallerClient {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kPrefix = "/soak/";

  CallerClient(asio::io_context& io, ConsistencyChecker& checker,
               const AccountKeys& keys);
  void Call(Entry& entry, const CallerRequest& call,
            std::function<void(CallerReply)> done);

 private:
  CallerReply Check(const Entry& entry, const CallerRequest& call,
                    TimePoint sent, const Result<http::Response>& response);

  /// Checks the answer to a call that its key does not permit.
  void CheckDenial(const Entry& entry, const CallerRequest& call,
                   TimePoint sent, int status);
  std::vector<http::Header> Headers(const CallerRequest& call) const;

  ConsistencyChecker& checker_;
  const AccountKeys& keys_;
  http::Client client_;
};

/// Callers that submit jobs, query them and cancel a few. Each caller sends one
/// call after the other, mostly to its home entry. Executor's thread only; all
/// arguments must outlive the object.
class Callers {
 public:
  Callers(Executor& executor, CallerClient& client, ConsistencyChecker& checker,
          Entries& entries, uint64_t seed)
      : executor_(executor),
        client_(client),
        checker_(checker),
        entries_(entries),
        random_(seed) {}

  void Start(size_t callers);
  /// Each caller ends after its current call.
  void End() { ending_ = true; }
  size_t active() const { return active_; }

 private:
  /// The caller's home entry or, at random, any entry.
  Entry& PickEntry(size_t caller);
  void ScheduleNextCall(size_t caller);
  void MakeNextCall(size_t caller);
  void SubmitNew(size_t caller);
  /// `retries` counts the previous attempts of this submission.
  void Submit(size_t caller, JobId id, Entry& entry, int retries);
  void OnSubmitReply(size_t caller, JobId id, Entry& entry, int retries,
                     const CallerReply& reply);
  /// Cancels a job whose submission got no answer. A copy of the submission
  /// arrives later.
  void CancelUnanswered(size_t caller, JobId id);
  /// Queries an accepted job with a key that does not permit it.
  void QueryWithoutPermission(size_t caller, JobId id);
  /// Queries or cancels an accepted job.
  void QueryOrCancel(size_t caller, JobId id, bool cancel);
  /// An entry reports an accepted job as unknown.
  void OnJobNotFound(const CallerRequest& call, const Entry& entry);

  Executor& executor_;
  CallerClient& client_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  SeededRandom random_;
  std::vector<JobId> accepted_;
  bool ending_ = false;
  size_t active_ = 0;
};

/// Queries every submitted job at every entry until each answer is final.
/// Executor's thread only; all arguments must outlive the object.
class FinalCheck {
 public:
  FinalCheck(Executor& executor, CallerClient& client,
             ConsistencyChecker& checker, Entries& entries)
      : executor_(executor),
        client_(client),
        checker_(checker),
        entries_(entries) {}

  void Start(std::function<void()> done);
  /// Number of jobs that were accepted, that no caller cancelled, and that an
  /// entry reports as unknown.
  size_t lost() const { return lost_; }

 private:
  /// Names of the entries that know a job, and of those that report it as
  /// unknown.
  struct Answers {
    std::string known_at;
    std::string unknown_at;
  };

  void QueryNext(Entry& entry);
  void Query(Entry& entry, JobId id);
  void OnReply(Entry& entry, JobId id, const CallerReply& reply);
  void CheckAnswers(JobId id, const JobRecord& job);

  Executor& executor_;
  CallerClient& client_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  std::function<void()> done_;
  TimePoint limit_{};
  /// Jobs still to be queried at each entry.
  std::map<Entry*, std::vector<JobId>> remaining_;
  size_t active_queries_ = 0;
  std::map<JobId, Answers> answers_;
  size_t lost_ = 0;
};

}  // namespace mimosarail::soak
