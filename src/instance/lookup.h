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
  kPending,      ///< Not ended yet; `why` gives the reason.
  kUnknownId,    ///< All entries answered, and none knows the id.
  kUnreachable,  ///< None knows the id, but not every entry answered.
};

struct LookupResult {
  LookupState state = LookupState::kPending;
  wire::Outcome outcome;
  std::string owner;
  std::string why;
};

/// Finds the state or outcome of any request, whichever entry owns it, and also
/// after its owner has died. Control thread only.
class Lookup {
 public:
  Lookup(Executor& executor, requests::PeerPort& peers,
         const membership::Membership& members, requests::Requests& requests,
         execution::Execution& execution);

  /// Waits up to `wait` for the outcome, then passes the state to `done`.
  void Await(const std::string& id, Millis wait,
             std::function<void(LookupResult)> done);
  /// Cancels the request at its owner. `done` receives whether an owner was
  /// found.
  void Cancel(const std::string& id, std::function<void(bool)> done);

 private:
  struct Query {
    std::string id;
    TimePoint deadline;
    std::function<void(LookupResult)> done;
    std::map<std::string, wire::FindReply> replies;
    size_t pending_replies = 0;
    bool unreachable_peer = false;
  };
  void AwaitLocally(const std::string& id, Millis wait,
                    std::function<void(LookupResult)> done);
  void QueryAll(const std::shared_ptr<Query>& query);
  void HandleReplies(const std::shared_ptr<Query>& query);
  void QueryOwner(const std::shared_ptr<Query>& query,
                  const std::string& owner);

  Executor& executor_;
  requests::PeerPort& peers_;
  const membership::Membership& members_;
  requests::Requests& requests_;
  execution::Execution& execution_;
};

}  // namespace mimosarail::instance
