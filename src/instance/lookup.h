#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/membership/membership.h"
#include "src/requests/peer_port.h"
#include "src/requests/requests.h"

namespace mimosarail::instance {

enum class LookupState {
  kEnded,        ///< `outcome` is final.
  kPending,      ///< Not ended yet; `why` tells what it waits for.
  kUnknownId,    ///< Every entry answered, and none knows the id.
  kUnreachable,  ///< None knows the id, but not every entry answered.
};

struct LookupResult {
  LookupState state = LookupState::kPending;
  wire::Outcome outcome;
  std::string owner;
  std::string why;
};

/// Finds what became of a request, wherever its owner is and also after its
/// owner died. Control thread only.
class Lookup {
 public:
  Lookup(Executor& executor, requests::PeerPort& peers,
         const membership::Membership& members, requests::Requests& requests,
         execution::Execution& execution);

  /// Waits up to `wait` for the outcome.
  void Await(const std::string& id, Millis wait,
             std::function<void(LookupResult)> done);
  /// Cancels at the owner; `done` tells whether one was found.
  void Cancel(const std::string& id, std::function<void(bool)> done);

 private:
  struct Job {
    std::string id;
    TimePoint until;
    std::function<void(LookupResult)> done;
    std::map<std::string, wire::FindReply> answers;
    size_t open = 0;
    bool silent_peer = false;
  };
  void AwaitHere(const std::string& id, Millis wait,
                 std::function<void(LookupResult)> done);
  void AskAll(const std::shared_ptr<Job>& job);
  void Conclude(const std::shared_ptr<Job>& job);
  void AskOwner(const std::shared_ptr<Job>& job, const std::string& owner);

  Executor& executor_;
  requests::PeerPort& peers_;
  const membership::Membership& members_;
  requests::Requests& requests_;
  execution::Execution& execution_;
};

}  // namespace mimosarail::instance
