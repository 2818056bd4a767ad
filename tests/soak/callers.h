#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"
#include "src/libs/http/client.h"
#include "tests/soak/entries.h"
#include "tests/soak/faults.h"
#include "tests/soak/ledger.h"

namespace mimosarail::soak {

struct FrontCall {
  std::string method = "GET";
  JobId job = 0;
  std::string body{};
  /// How long the caller waits.
  Millis limit{3000};
};

/// What a caller has of an entry.
struct FrontReply {
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
class FrontClient {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kPrefix = "/soak/";

  FrontClient(asio::io_context& io, Ledger& ledger);
  void Call(Entry& entry, const FrontCall& call,
            std::function<void(FrontReply)> done);

 private:
  FrontReply Check(const Entry& entry, const FrontCall& call, TimePoint sent,
                   const Result<http::Response>& response);

  Ledger& ledger_;
  http::Client client_;
};

/// Callers that hand in jobs, ask for them and cancel a few, each one call
/// after the other, mostly at the entry that it began with. Executor's thread
/// only; what it is given outlives it.
class Callers {
 public:
  Callers(Executor& executor, FrontClient& client, Ledger& ledger,
          Entries& entries, uint64_t seed)
      : executor_(executor),
        client_(client),
        ledger_(ledger),
        entries_(entries),
        dice_(seed) {}

  void Start(size_t callers);
  /// Each ends with the call that it is at.
  void End() { ending_ = true; }
  size_t at_work() const { return at_work_; }

 private:
  Entry& Home(size_t caller);
  void Next(size_t caller);
  void Act(size_t caller);
  void HandInNew(size_t caller);
  void HandIn(size_t caller, JobId id, Entry& entry, int tries);
  void OnHandedIn(size_t caller, JobId id, Entry& entry, int tries,
                  const FrontReply& reply);
  /// Asks for an accepted job, or cancels it.
  void CallAbout(size_t caller, JobId id, bool cancel);
  /// An entry denies an accepted job.
  void OnDenied(const FrontCall& call, const Entry& entry);

  Executor& executor_;
  FrontClient& client_;
  Ledger& ledger_;
  Entries& entries_;
  Dice dice_;
  std::vector<JobId> accepted_;
  bool ending_ = false;
  size_t at_work_ = 0;
};

/// Asks every entry for every job that was handed in, until each answer is
/// final. Executor's thread only; what it is given outlives it.
class ClosingCheck {
 public:
  ClosingCheck(Executor& executor, FrontClient& client, Ledger& ledger,
               Entries& entries)
      : executor_(executor),
        client_(client),
        ledger_(ledger),
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
  void OnReply(Entry& entry, JobId id, const FrontReply& reply);
  void Judge(JobId id, const JobRecord& job);

  Executor& executor_;
  FrontClient& client_;
  Ledger& ledger_;
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
