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
    return AwaitHere(id, wait, std::move(done));
  }
  auto query = std::make_shared<Query>();
  query->id = id;
  query->until = executor_.Now() + wait;
  query->done = std::move(done);
  QueryAll(query);
}

void Lookup::AwaitHere(const std::string& id, Millis wait,
                       std::function<void(LookupResult)> done) {
  // Whichever comes first, the outcome or the time limit, calls `done`.
  auto once =
      std::make_shared<std::function<void(LookupResult)>>(std::move(done));
  const auto answer = [once](LookupResult result) {
    if (!*once) return;
    const auto callback = std::exchange(*once, nullptr);
    callback(std::move(result));
  };
  requests_.Await(id, [answer](const wire::Outcome& outcome) {
    answer({.state = LookupState::kEnded, .outcome = outcome});
  });
  if (!*once) return;
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
  query->answers.clear();
  query->unreachable_peer = false;
  wire::FindCall call;
  call.request_id = query->id;
  execution_.Find(call, query->answers[members_.options().name]);
  query->open = 1;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.state == membership::PeerState::kDead) {
      query->unreachable_peer = true;
      continue;
    }
    ++query->open;
    peers_.Find(
        peer.address, call,
        [this, query, name = name](const Result<wire::FindReply>& reply) {
          if (reply.ok()) {
            query->answers[name] = reply.value();
          } else {
            query->unreachable_peer = true;
          }
          if (--query->open == 0) Conclude(query);
        });
  }
  if (--query->open == 0) Conclude(query);
}

void Lookup::Conclude(const std::shared_ptr<Query>& query) {
  LookupResult result;
  for (const auto& [name, reply] : query->answers) {
    if (reply.owner == wire::OwnerState::kEnded) {
      return query->done({.state = LookupState::kEnded,
                          .outcome = reply.outcome,
                          .owner = name});
    }
    if (reply.owner == wire::OwnerState::kAbsent) continue;
    result.owner = name;
    result.why = reply.why;
  }
  const bool over = executor_.Now() >= query->until;
  if (!result.owner.empty()) {
    if (over) return query->done(std::move(result));
    return QueryOwner(query, result.owner);
  }
  const requests::TaskSummary summary =
      requests::SummarizeTasks(query->answers);
  if (summary.done()) {
    return query->done({.state = LookupState::kEnded,
                        .outcome = requests::CombineAnswers(summary)});
  }
  if (summary.running && !over) {
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
  const auto left =
      std::chrono::duration_cast<Millis>(query->until - executor_.Now());
  call.wait_ms = std::min(left, kOwnerPollTimeout).count();
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
  auto open = std::make_shared<size_t>(1);
  auto found = std::make_shared<bool>(false);
  const auto finish = [open, found, done = std::move(done)] {
    if (--*open == 0) done(*found);
  };
  wire::CancelCall call;
  call.request_id = id;
  call.attempt = -1;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    ++*open;
    peers_.Cancel(peer.address, call,
                  [found, finish](const Result<wire::CancelReply>& reply) {
                    if (reply.ok() && reply.value().known) *found = true;
                    finish();
                  });
  }
  finish();
}

}  // namespace mimosarail::instance
