#include "src/instance/lookup.h"

#include "src/requests/task_summary.h"

namespace mimosarail::instance {
namespace {

constexpr Millis kOwnerPollTimeout{1000};
constexpr Millis kRetryInterval{200};

}  // namespace

Lookup::Lookup(Executor& executor, requests::PeerPort& peers,
               const membership::Membership& members,
               requests::Requests& requests, execution::Execution& execution)
    : executor_(executor),
      peers_(peers),
      members_(members),
      requests_(requests),
      execution_(execution) {}

void Lookup::Await(const std::string& id, Millis wait,
                   std::function<void(LookupResult)> done) {
  if (requests_.Find(id) != nullptr) {
    return AwaitLocally(id, wait, std::move(done));
  }
  auto query = std::make_shared<Query>();
  query->id = id;
  query->deadline = executor_.Now() + wait;
  query->done = std::move(done);
  QueryAll(query);
}

void Lookup::AwaitLocally(const std::string& id, Millis wait,
                          std::function<void(LookupResult)> done) {
  // `done` is called once, by the outcome or by the time limit.
  auto pending_done =
      std::make_shared<std::function<void(LookupResult)>>(std::move(done));
  const auto answer = [pending_done](LookupResult result) {
    if (!*pending_done) return;
    const auto callback = std::exchange(*pending_done, nullptr);
    callback(std::move(result));
  };
  requests_.Await(id, [answer](const wire::Outcome& outcome) {
    answer({.state = LookupState::kEnded, .outcome = outcome});
  });
  if (!*pending_done) return;
  executor_.RunAfter(wait, [this, id, answer] {
    LookupResult result{.state = LookupState::kPending};
    result.owner = members_.options().name;
    if (const requests::Record* record = requests_.Find(id)) {
      result.why = std::string(requests::PhaseName(record->phase));
      if (!record->status_message.empty()) {
        result.why += ": " + record->status_message;
      }
    }
    answer(std::move(result));
  });
}

void Lookup::QueryAll(const std::shared_ptr<Query>& query) {
  query->replies.clear();
  query->unreachable_peer = false;
  wire::FindCall call;
  call.request_id = query->id;
  execution_.Find(call, query->replies[members_.options().name]);
  query->pending_replies = 1;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.state == membership::PeerState::kDead) {
      query->unreachable_peer = true;
      continue;
    }
    ++query->pending_replies;
    peers_.Find(
        peer.address, call,
        [this, query, name = name](const Result<wire::FindReply>& reply) {
          if (reply.ok()) {
            query->replies[name] = reply.value();
          } else {
            query->unreachable_peer = true;
          }
          if (--query->pending_replies == 0) HandleReplies(query);
        });
  }
  if (--query->pending_replies == 0) HandleReplies(query);
}

void Lookup::HandleReplies(const std::shared_ptr<Query>& query) {
  LookupResult result;
  for (const auto& [name, reply] : query->replies) {
    if (reply.owner == wire::OwnerState::kEnded) {
      return query->done({.state = LookupState::kEnded,
                          .outcome = reply.outcome,
                          .owner = name});
    }
    if (reply.owner == wire::OwnerState::kAbsent) continue;
    result.owner = name;
    result.why = reply.why;
  }
  const bool timed_out = executor_.Now() >= query->deadline;
  if (!result.owner.empty()) {
    if (timed_out) return query->done(std::move(result));
    return QueryOwner(query, result.owner);
  }
  const requests::TaskSummary summary =
      requests::SummarizeTasks(query->replies);
  if (summary.done()) {
    return query->done({.state = LookupState::kEnded,
                        .outcome = requests::CombineAnswers(summary)});
  }
  if (summary.running && !timed_out) {
    executor_.RunAfter(kRetryInterval, [this, query] { QueryAll(query); });
    return;
  }
  if (summary.running) {
    result.why = "running; its owner is dead";
    return query->done(std::move(result));
  }
  if (summary.failed()) {
    result.state = LookupState::kEnded;
    result.outcome.verdict = wire::Verdict::kUnknown;
    result.outcome.reason = "it started and did not finish; its owner is dead";
    return query->done(std::move(result));
  }
  result.state = query->unreachable_peer ? LookupState::kUnreachable
                                         : LookupState::kUnknownId;
  query->done(std::move(result));
}

void Lookup::QueryOwner(const std::shared_ptr<Query>& query,
                        const std::string& owner) {
  const membership::Peer* peer = members_.Find(owner);
  if (peer == nullptr) return QueryAll(query);
  wire::FindCall call;
  call.request_id = query->id;
  const auto remaining =
      std::chrono::duration_cast<Millis>(query->deadline - executor_.Now());
  call.wait_ms = std::min(remaining, kOwnerPollTimeout).count();
  peers_.Find(
      peer->address, call, [this, query](const Result<wire::FindReply>& reply) {
        const bool ended =
            reply.ok() && reply.value().owner == wire::OwnerState::kEnded;
        if (!ended) {
          executor_.RunAfter(kRetryInterval,
                             [this, query] { QueryAll(query); });
          return;
        }
        query->done(
            {.state = LookupState::kEnded, .outcome = reply.value().outcome});
      });
}

void Lookup::Cancel(const std::string& id, std::function<void(bool)> done) {
  if (requests_.Cancel(id)) return done(true);
  auto pending_replies = std::make_shared<size_t>(1);
  auto found = std::make_shared<bool>(false);
  const auto finish = [pending_replies, found, done = std::move(done)] {
    if (--*pending_replies == 0) done(*found);
  };
  wire::CancelCall call;
  call.request_id = id;
  call.attempt = -1;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    ++*pending_replies;
    peers_.Cancel(peer.address, call,
                  [found, finish](const Result<wire::CancelReply>& reply) {
                    if (reply.ok() && reply.value().known) *found = true;
                    finish();
                  });
  }
  finish();
}

}  // namespace mimosarail::instance
