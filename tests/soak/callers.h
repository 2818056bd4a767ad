#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/libs/http/client.h"
#include "tests/soak/consistency_checker.h"
#include "tests/soak/entries.h"
#include "tests/soak/faults.h"

namespace mimosarail::soak {

struct CallerRequest {
  std::string method = "GET";
  JobId job = 0;
  std::string body{};
  /// How long the caller waits.
  Millis limit{3000};
};

/// What a caller has of an entry.
struct CallerReply {
  /// 0 without an answer.
  int status = 0;
  /// Nothing was sent.
  bool unsent = false;
  /// Of a job that was asked for.
  std::string state{};

  /// Not accepted: it never runs.
  bool refused() const { return status == 429 || status == 503 || unsent; }
};

/// Calls of the platform's clients, over connections that are kept until the
/// entry ends them. Holds each answer against the interface. One thread runs
/// `io`, which outlives the client, as do the ledger and the entries.
class CallerClient {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kPrefix = "/soak/";

  CallerClient(asio::io_context& io, ConsistencyChecker& checker);
  void Call(Entry& entry, const CallerRequest& call,
            std::function<void(CallerReply)> done);

 private:
  CallerReply Check(const Entry& entry, const CallerRequest& call,
                    TimePoint sent, const Result<http::Response>& response);

  ConsistencyChecker& checker_;
  http::Client client_;
};

/// Callers that hand in jobs, ask for them and cancel a few, each one call
/// after the other, mostly at the entry that it began with. Executor's thread
/// only; what it is given outlives it.
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
  /// Each ends with the call that it is at.
  void End() { ending_ = true; }
  size_t active() const { return at_work_; }

 private:
  Entry& Home(size_t caller);
  void Next(size_t caller);
  void Act(size_t caller);
  void SubmitNew(size_t caller);
  void Submit(size_t caller, JobId id, Entry& entry, int tries);
  void OnSubmitReply(size_t caller, JobId id, Entry& entry, int tries,
                     const CallerReply& reply);
  /// Asks for an accepted job, or cancels it.
  void QueryOrCancel(size_t caller, JobId id, bool cancel);
  /// An entry denies an accepted job.
  void OnJobNotFound(const CallerRequest& call, const Entry& entry);

  Executor& executor_;
  CallerClient& client_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  SeededRandom random_;
  std::vector<JobId> accepted_;
  bool ending_ = false;
  size_t at_work_ = 0;
};

/// Asks every entry for every job that was handed in, until each answer is
/// final. Executor's thread only; what it is given outlives it.
class FinalCheck {
 public:
  FinalCheck(Executor& executor, CallerClient& client,
             ConsistencyChecker& checker, Entries& entries)
      : executor_(executor),
        client_(client),
        checker_(checker),
        entries_(entries) {}

  void Start(std::function<void()> done);
  /// Jobs that were accepted, that nobody cancelled, and that are denied.
  size_t lost() const { return lost_; }

 private:
  /// Names of the entries that know a job, and of those that deny it.
  struct Answers {
    std::string known_at;
    std::string denied_by;
  };

  void AskNext(Entry& entry);
  void Ask(Entry& entry, JobId id);
  void OnReply(Entry& entry, JobId id, const CallerReply& reply);
  void Judge(JobId id, const JobRecord& job);

  Executor& executor_;
  CallerClient& client_;
  ConsistencyChecker& checker_;
  Entries& entries_;
  std::function<void()> done_;
  TimePoint limit_{};
  /// What each entry is still to be asked for.
  std::map<Entry*, std::vector<JobId>> left_;
  size_t asking_ = 0;
  std::map<JobId, Answers> answers_;
  size_t lost_ = 0;
};

}  // namespace mimosarail::soak
