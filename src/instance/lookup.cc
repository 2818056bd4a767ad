#include "src/instance/lookup.h"

#include "src/requests/task_summary.h"

namespace mimosarail::instance {
namespace {

constexpr Millis kOwnerPoll{1000};
constexpr Millis kAskAgain{200};

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
  auto job = std::make_shared<Job>();
  job->id = id;
  job->until = executor_.Now() + wait;
  job->done = std::move(done);
  AskAll(job);
}

void Lookup::AwaitHere(const std::string& id, Millis wait,
                       std::function<void(LookupResult)> done) {
  // The outcome and the time limit race; the first one answers.
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
      if (!record->why.empty()) result.why += ": " + record->why;
    }
    answer(std::move(result));
  });
}

void Lookup::AskAll(const std::shared_ptr<Job>& job) {
  job->answers.clear();
  job->silent_peer = false;
  wire::FindCall call;
  call.request_id = job->id;
  execution_.Find(call, job->answers[members_.options().name]);
  job->open = 1;
  for (const auto& [name, peer] : members_.peers()) {
    if (peer.state == membership::PeerState::kDead) {
      job->silent_peer = true;
      continue;
    }
    ++job->open;
    peers_.Find(peer.address, call,
                [this, job, name = name](const Result<wire::FindReply>& reply) {
                  if (reply.ok()) {
                    job->answers[name] = reply.value();
                  } else {
                    job->silent_peer = true;
                  }
                  if (--job->open == 0) Conclude(job);
                });
  }
  if (--job->open == 0) Conclude(job);
}

void Lookup::Conclude(const std::shared_ptr<Job>& job) {
  LookupResult result;
  for (const auto& [name, reply] : job->answers) {
    if (reply.owner == wire::OwnerState::kEnded) {
      return job->done({.state = LookupState::kEnded,
                        .outcome = reply.outcome,
                        .owner = name});
    }
    if (reply.owner == wire::OwnerState::kAbsent) continue;
    result.owner = name;
    result.why = reply.why;
  }
  const bool over = executor_.Now() >= job->until;
  if (!result.owner.empty()) {
    if (over) return job->done(std::move(result));
    return AskOwner(job, result.owner);
  }
  const requests::TaskSummary summary = requests::SummarizeTasks(job->answers);
  if (summary.done()) {
    return job->done({.state = LookupState::kEnded,
                      .outcome = requests::CombineAnswers(summary)});
  }
  if (summary.running && !over) {
    executor_.RunAfter(kAskAgain, [this, job] { AskAll(job); });
    return;
  }
  if (summary.running) {
    result.why = "running; its owner is gone";
    return job->done(std::move(result));
  }
  if (summary.failed()) {
    result.state = LookupState::kEnded;
    result.outcome.verdict = wire::Verdict::kUnknown;
    result.outcome.reason = "it started and did not finish; its owner is gone";
    return job->done(std::move(result));
  }
  result.state =
      job->silent_peer ? LookupState::kUnreachable : LookupState::kUnknownId;
  job->done(std::move(result));
}

void Lookup::AskOwner(const std::shared_ptr<Job>& job,
                      const std::string& owner) {
  const membership::Peer* peer = members_.Find(owner);
  if (peer == nullptr) return AskAll(job);
  wire::FindCall call;
  call.request_id = job->id;
  const auto left =
      std::chrono::duration_cast<Millis>(job->until - executor_.Now());
  call.wait_ms = std::min(left, kOwnerPoll).count();
  peers_.Find(
      peer->address, call, [this, job](const Result<wire::FindReply>& reply) {
        const bool ended =
            reply.ok() && reply.value().owner == wire::OwnerState::kEnded;
        if (!ended) {
          executor_.RunAfter(kAskAgain, [this, job] { AskAll(job); });
          return;
        }
        job->done(
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
