#include "tests/soak/callers.h"

#include <nlohmann/json.hpp>
#include <set>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

/// Below what an entry keeps an idle connection for, so that it is the entry's
/// end that ends it.
constexpr Millis kMaxIdle{50000};
constexpr size_t kMostConnections = 200;
/// A request that comes this long before its connection ends may be unread.
constexpr Millis kLossSlack{200};
/// What an entry does is judged when no signal but SIGTERM came for this long.
constexpr Millis kRecoveryTime{3000};

constexpr Millis kShortestThought{5};
constexpr Millis kLongestThought{60};
constexpr Millis kShortestLimit{1000};
constexpr Millis kLongestLimit{4000};
constexpr Millis kShortestRetry{20};
constexpr Millis kLongestRetry{200};
constexpr int kMostTries = 6;
constexpr size_t kMostSteps = 2;
constexpr size_t kMostTasks = 3;
constexpr int kTaskMillicores = 400;
constexpr int kEstimateMs = 200;
/// Shares of calls; the rest hands in new jobs.
constexpr size_t kAboutPercent = 40;
/// Of the calls about an accepted job; the rest asks for its state.
constexpr size_t kCancelPercent = 10;
constexpr size_t kRepeatPercent = 8;
constexpr size_t kAwayFromHomePercent = 15;
constexpr size_t kGiveUpRefusedPercent = 50;
/// A job need not be known to all entries sooner after its acceptance.
constexpr Millis kVisible{3000};

/// Entries have all started anew, and nothing disturbs them: far above what a
/// take-over and the jobs that are left need.
constexpr Millis kLimit{60000};
constexpr Millis kAskAgain{200};
constexpr size_t kParallel = 16;

}  // namespace

CallerClient::CallerClient(asio::io_context& io, ConsistencyChecker& checker)
    : checker_(checker),
      client_(io, {.max_connections = kMostConnections, .max_idle = kMaxIdle}) {
}

void CallerClient::Call(Entry& entry, const CallerRequest& call,
                        std::function<void(CallerReply)> done) {
  client_.Call(
      entry.front(),
      {.method = call.method,
       .target = kPrefix + JobIdText(call.job),
       .headers = {{"Host", kHost},
                   {"Content-Type", "application/json"},
                   {"X-Deadline-Ms", std::to_string(call.limit.count())}},
       .body = call.body},
      call.limit,
      [this, &entry, call, sent = Clock::now(),
       done = std::move(done)](const Result<http::Response>& response) {
        done(Check(entry, call, sent, response));
      });
}

CallerReply CallerClient::Check(const Entry& entry, const CallerRequest& call,
                                TimePoint sent,
                                const Result<http::Response>& response) {
  static const std::set<int> kStatuses{200, 410, 429, 502, 503, 504};
  CallerReply out;
  const std::string what =
      call.method + " " + JobIdText(call.job) + " at " + entry.name();
  if (!response.ok()) {
    const std::error_code code = response.error().code;
    out.unsent = code == Errc::kUnavailable;
    // A signal may end it, and so may an entry that has not read the request.
    const bool excused = entry.last_fault_at() > sent - kRecoveryTime ||
                         Clock::now() - sent <= kLossSlack;
    const bool broken = code == Errc::kDisconnected && !excused;
    if (code == Errc::kMalformed || broken) {
      checker_.AddFinding("no whole answer, sent at " +
                          checker_.ElapsedText(sent) + ": " + what);
    }
    return out;
  }
  out.status = response.value().status;
  const bool denies_new = out.status == 410 && call.method == "POST";
  if (kStatuses.count(out.status) == 0 || denies_new) {
    checker_.AddFinding("status " + std::to_string(out.status) + ": " + what);
  }
  if (call.method != "GET" || out.status != 200) return out;
  const Json body = Json::parse(response.value().body, nullptr, false);
  if (body.is_object()) out.state = body.value("state", "");
  if (out.state.empty()) {
    checker_.AddFinding("no state in the answer: " + what);
  } else {
    checker_.OnState(call.job, out.state, entry.name());
  }
  return out;
}

Entry& Callers::Home(size_t caller) {
  const size_t at = random_.Percent(kAwayFromHomePercent)
                        ? random_.Below(entries_.size())
                        : caller % entries_.size();
  return *entries_[at];
}

void Callers::Start(size_t callers) {
  at_work_ = callers;
  for (size_t i = 0; i < callers; ++i) Next(i);
}

void Callers::Next(size_t caller) {
  executor_.RunAfter(random_.Between(kShortestThought, kLongestThought),
                     [this, caller] { Act(caller); });
}

void Callers::Act(size_t caller) {
  if (ending_) {
    --at_work_;
    return;
  }
  if (accepted_.empty() || !random_.Percent(kAboutPercent)) {
    return SubmitNew(caller);
  }
  const JobId id = accepted_[random_.Below(accepted_.size())];
  if (random_.Percent(kRepeatPercent)) {
    return Submit(caller, id, Home(caller), kMostTries);
  }
  QueryOrCancel(caller, id, random_.Percent(kCancelPercent));
}

void Callers::SubmitNew(size_t caller) {
  const JobId id = random_.Any();
  JobRecord& job = checker_.jobs()[id];
  Json steps = Json::array();
  const size_t count = 1 + random_.Below(kMostSteps);
  for (size_t i = 0; i < count; ++i) {
    job.tasks.push_back(static_cast<int32_t>(1 + random_.Below(kMostTasks)));
    steps.push_back({{"count", job.tasks.back()},
                     {"cpu", kTaskMillicores},
                     {"estMs", kEstimateMs}});
    if (i > 0) steps.back()["dependsOn"] = {i - 1};
  }
  job.body = Json{{"spec", Payload(id)}, {"steps", steps}}.dump();
  Submit(caller, id, Home(caller), 0);
}

void Callers::Submit(size_t caller, JobId id, Entry& entry, int tries) {
  JobRecord& job = checker_.jobs()[id];
  ++job.submissions;
  client_.Call(entry,
               {.method = "POST",
                .job = id,
                .body = job.body,
                .limit = random_.Between(kShortestLimit, kLongestLimit)},
               [this, caller, id, &entry, tries](const CallerReply& reply) {
                 OnSubmitReply(caller, id, entry, tries, reply);
               });
}

void Callers::OnSubmitReply(size_t caller, JobId id, Entry& entry, int tries,
                            const CallerReply& reply) {
  JobRecord& job = checker_.jobs()[id];
  if (reply.status == 200) {
    if (job.accepted_by.empty()) {
      job.accepted_by = entry.name();
      job.accepted_at = Clock::now();
      accepted_.push_back(id);
    }
    return Next(caller);
  }
  if (reply.refused()) ++job.refusals;
  const bool gives_up =
      reply.refused() && random_.Percent(kGiveUpRefusedPercent);
  if (gives_up || tries >= kMostTries) return Next(caller);
  // Retries reach other entries.
  Entry& other = *entries_[random_.Below(entries_.size())];
  executor_.RunAfter(random_.Between(kShortestRetry, kLongestRetry),
                     [this, caller, id, &other, tries] {
                       Submit(caller, id, other, tries + 1);
                     });
}

void Callers::QueryOrCancel(size_t caller, JobId id, bool cancel) {
  Entry& entry = Home(caller);
  JobRecord& job = checker_.jobs()[id];
  const bool wanted = !job.cancel_asked;
  job.cancel_asked = job.cancel_asked || cancel;
  const CallerRequest call{.method = cancel ? "DELETE" : "GET", .job = id};
  client_.Call(entry, call,
               [this, caller, call, &entry, wanted](const CallerReply& reply) {
                 if (reply.status == 410 && wanted) OnJobNotFound(call, entry);
                 Next(caller);
               });
}

void Callers::OnJobNotFound(const CallerRequest& call, const Entry& entry) {
  const JobRecord& job = checker_.jobs()[call.job];
  // Another caller may have cancelled it meanwhile.
  if (call.method == "GET" && job.cancel_asked) return;
  const std::string text = checker_.Describe(call.job) + ", denied by " +
                           entry.name() + " to a " + call.method;
  const TimePoint now = Clock::now();
  const bool excused = now - job.accepted_at < kVisible ||
                       now - entry.last_fault_at() < kRecoveryTime;
  if (excused) return checker_.Log("excused: " + text);
  checker_.AddFinding(text);
}

void FinalCheck::Start(std::function<void()> done) {
  done_ = std::move(done);
  limit_ = Clock::now() + kLimit;
  asking_ = entries_.size() * kParallel;
  for (auto& entry : entries_) {
    for (const auto& [id, job] : checker_.jobs()) {
      left_[entry.get()].push_back(id);
    }
    for (size_t i = 0; i < kParallel; ++i) AskNext(*entry);
  }
}

void FinalCheck::AskNext(Entry& entry) {
  std::vector<JobId>& left = left_[&entry];
  if (!left.empty()) {
    const JobId id = left.back();
    left.pop_back();
    return Ask(entry, id);
  }
  if (--asking_ > 0) return;
  for (const auto& [id, job] : checker_.jobs()) Judge(id, job);
  done_();
}

void FinalCheck::Ask(Entry& entry, JobId id) {
  client_.Call(entry, {.job = id},
               [this, &entry, id](const CallerReply& reply) {
                 OnReply(entry, id, reply);
               });
}

void FinalCheck::OnReply(Entry& entry, JobId id, const CallerReply& reply) {
  if (reply.status == 410) {
    answers_[id].denied_by += " " + entry.name();
    return AskNext(entry);
  }
  if (reply.status == 200 && !checker_.jobs()[id].final_state.empty()) {
    answers_[id].known_at += " " + entry.name();
    return AskNext(entry);
  }
  if (Clock::now() > limit_) {
    checker_.AddFinding("job " + JobIdText(id) + " at the end at " +
                        entry.name() + ": status " +
                        std::to_string(reply.status) + " " + reply.state);
    return AskNext(entry);
  }
  executor_.RunAfter(kAskAgain, [this, &entry, id] { Ask(entry, id); });
}

void FinalCheck::Judge(JobId id, const JobRecord& job) {
  const Answers& answers = answers_[id];
  if (job.started && job.submissions == job.refusals) {
    checker_.AddFinding("job " + JobIdText(id) + " ran though it was refused");
  }
  if (answers.denied_by.empty() || job.cancel_asked) return;
  const bool lost = !job.accepted_by.empty();
  lost_ += lost ? 1 : 0;
  // Of one whose acceptance nobody was told, entries must agree.
  if (!lost && answers.known_at.empty()) return;
  checker_.AddFinding((lost ? "LOST " : "") + checker_.Describe(id) +
                      ", denied by" + answers.denied_by + ", known at" +
                      answers.known_at);
}

}  // namespace mimosarail::soak
