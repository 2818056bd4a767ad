#include "tests/soak/callers.h"

#include <nlohmann/json.hpp>
#include <set>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

/// Below the idle timeout of an entry, so that the entry closes a connection
/// only when its process ends.
constexpr Millis kMaxIdle{50000};
constexpr size_t kMaxConnections = 200;
/// A request sent this shortly before its connection closed may not have been
/// read by the entry.
constexpr Millis kUnreadGrace{200};
/// Answers of an entry are checked strictly if it got no signal but SIGTERM for
/// this long.
constexpr Millis kRecoveryTime{3000};

constexpr Millis kMinThinkTime{5};
constexpr Millis kMaxThinkTime{60};
constexpr Millis kMinCallTimeout{1000};
constexpr Millis kMaxCallTimeout{4000};
constexpr Millis kMinRetryDelay{20};
constexpr Millis kMaxRetryDelay{200};
constexpr int kMaxRetries = 6;
constexpr size_t kMaxSteps = 2;
constexpr size_t kMaxTasks = 3;
constexpr int kEstimateMs = 200;
/// Share of calls about accepted jobs; the rest submits new jobs.
constexpr size_t kAcceptedJobPercent = 40;
/// Shares among the calls about accepted jobs; the rest queries the state.
constexpr size_t kCancelPercent = 10;
constexpr size_t kResubmitPercent = 8;
constexpr size_t kNotPermittedPercent = 15;
/// Share of calls to a random entry instead of the caller's home entry.
constexpr size_t kOtherEntryPercent = 15;
/// Share of refused submissions that are not retried.
constexpr size_t kAbandonRefusedPercent = 50;
/// Share of unanswered submissions whose job is cancelled instead.
constexpr size_t kCancelUnansweredPercent = 25;
/// Delay of the late copy of a submission whose job was cancelled.
constexpr Millis kMaxCopyDelay{5000};
/// All entries must know a job this long after its acceptance.
constexpr Millis kVisibilityLimit{3000};

/// Limit of the final check. All entries have restarted and no fault is active,
/// so this is far more than a takeover and the remaining jobs need.
constexpr Millis kFinalCheckLimit{60000};
constexpr Millis kPollInterval{200};
constexpr size_t kParallelQueries = 16;

}  // namespace

CallerClient::CallerClient(asio::io_context& io, ConsistencyChecker& checker,
                           const AccountKeys& keys)
    : checker_(checker),
      keys_(keys),
      client_(io, {.max_connections = kMaxConnections, .max_idle = kMaxIdle}) {}

std::vector<http::Header> CallerClient::Headers(
    const CallerRequest& call) const {
  std::vector<http::Header> out{
      {"Host", kHost},
      {"Content-Type", "application/json"},
      {"X-Deadline-Ms", std::to_string(call.limit.count())}};
  const std::string scheme = "Token ";
  switch (call.key) {
    case CallerKey::kOwner:
      out.emplace_back("Authorization",
                       scheme + keys_.Valid(AccountOf(call.job)));
      break;
    case CallerKey::kOtherAccount:
      out.emplace_back("Authorization",
                       scheme + keys_.Valid(OtherAccount(call.job)));
      break;
    case CallerKey::kRevoked:
      out.emplace_back("Authorization",
                       scheme + keys_.Revoked(AccountOf(call.job)));
      break;
    case CallerKey::kNone:
      break;
  }
  return out;
}

void CallerClient::Call(Entry& entry, const CallerRequest& call,
                        std::function<void(CallerReply)> done) {
  client_.Call(
      entry.front(),
      {.method = call.method,
       .target = kPrefix + JobIdText(call.job),
       .headers = Headers(call),
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
    // A signal may have broken the connection, or the entry may have closed it
    // before it read the request.
    const bool excused = entry.last_fault_at() > sent - kRecoveryTime ||
                         Clock::now() - sent <= kUnreadGrace;
    const bool broken = code == Errc::kDisconnected && !excused;
    if (code == Errc::kMalformed || broken) {
      checker_.AddFinding("incomplete answer to a request sent at " +
                          checker_.ElapsedText(sent) + ": " + what);
    }
    return out;
  }
  out.status = response.value().status;
  if (call.key != CallerKey::kOwner) {
    CheckDenial(entry, call, sent, out.status);
    return out;
  }
  const bool submission_unknown = out.status == 410 && call.method == "POST";
  if (kStatuses.count(out.status) == 0 || submission_unknown) {
    checker_.AddFinding("status " + std::to_string(out.status) + ": " + what);
  }
  if (call.method != "GET" || out.status != 200) return out;
  const Json body = Json::parse(response.value().body, nullptr, false);
  if (body.is_object()) out.state = body.value("state", "");
  if (out.state.empty()) {
    checker_.AddFinding("no state in the answer: " + what);
  } else {
    checker_.OnState(call.job, out.state, entry.name(), sent);
  }
  return out;
}

void CallerClient::CheckDenial(const Entry& entry, const CallerRequest& call,
                               TimePoint sent, int status) {
  const bool no_answer = status == 503 || status == 504;
  const int denial = call.key == CallerKey::kOtherAccount ? 410 : 401;
  if (no_answer || status == denial) return;
  // An entry that was stopped answers what it had read before it learns of the
  // revocation.
  const bool excused = call.key == CallerKey::kRevoked &&
                       entry.last_fault_at() > sent - kRecoveryTime;
  if (excused) return;
  checker_.AddFinding("status " + std::to_string(status) + " instead of " +
                      std::to_string(denial) + ": " + call.method + " " +
                      JobIdText(call.job) + " at " + entry.name());
}

Entry& Callers::PickEntry(size_t caller) {
  const size_t at = random_.Percent(kOtherEntryPercent)
                        ? random_.Below(entries_.size())
                        : caller % entries_.size();
  return *entries_[at];
}

void Callers::Start(size_t callers) {
  active_ = callers;
  for (size_t i = 0; i < callers; ++i) ScheduleNextCall(i);
}

void Callers::ScheduleNextCall(size_t caller) {
  executor_.RunAfter(random_.Between(kMinThinkTime, kMaxThinkTime),
                     [this, caller] { MakeNextCall(caller); });
}

void Callers::MakeNextCall(size_t caller) {
  if (ending_) {
    --active_;
    return;
  }
  if (accepted_.empty() || !random_.Percent(kAcceptedJobPercent)) {
    return SubmitNew(caller);
  }
  const JobId id = accepted_[random_.Below(accepted_.size())];
  if (random_.Percent(kResubmitPercent)) {
    return Submit(caller, id, PickEntry(caller), kMaxRetries);
  }
  if (random_.Percent(kNotPermittedPercent)) {
    return QueryWithoutPermission(caller, id);
  }
  QueryOrCancel(caller, id, random_.Percent(kCancelPercent));
}

void Callers::QueryWithoutPermission(size_t caller, JobId id) {
  constexpr CallerKey kKeys[] = {CallerKey::kOtherAccount, CallerKey::kRevoked,
                                 CallerKey::kNone};
  client_.Call(
      PickEntry(caller),
      {.job = id, .key = kKeys[random_.Below(std::size(kKeys))]},
      [this, caller](const CallerReply&) { ScheduleNextCall(caller); });
}

void Callers::SubmitNew(size_t caller) {
  const JobId id = random_.Any();
  JobRecord& job = checker_.jobs()[id];
  Json steps = Json::array();
  const size_t count = 1 + random_.Below(kMaxSteps);
  for (size_t i = 0; i < count; ++i) {
    job.tasks.push_back(static_cast<int32_t>(1 + random_.Below(kMaxTasks)));
    steps.push_back({{"count", job.tasks.back()},
                     {"cpu", kTaskMillicores},
                     {"estMs", kEstimateMs}});
    if (i > 0) steps.back()["dependsOn"] = {i - 1};
  }
  job.body = Json{{"spec", Payload(id)}, {"steps", steps}}.dump();
  Submit(caller, id, PickEntry(caller), 0);
}

void Callers::Submit(size_t caller, JobId id, Entry& entry, int retries) {
  JobRecord& job = checker_.jobs()[id];
  ++job.submissions;
  client_.Call(entry,
               {.method = "POST",
                .job = id,
                .body = job.body,
                .limit = random_.Between(kMinCallTimeout, kMaxCallTimeout)},
               [this, caller, id, &entry, retries](const CallerReply& reply) {
                 OnSubmitReply(caller, id, entry, retries, reply);
               });
}

void Callers::OnSubmitReply(size_t caller, JobId id, Entry& entry, int retries,
                            const CallerReply& reply) {
  JobRecord& job = checker_.jobs()[id];
  if (reply.status == 200) {
    if (job.accepted_by.empty()) {
      job.accepted_by = entry.name();
      job.accepted_at = Clock::now();
      accepted_.push_back(id);
    }
    return ScheduleNextCall(caller);
  }
  if (reply.refused()) ++job.refusals;
  const bool unanswered = reply.status == 0 && !reply.unsent;
  if (unanswered && random_.Percent(kCancelUnansweredPercent)) {
    return CancelUnanswered(caller, id);
  }
  const bool abandons =
      reply.refused() && random_.Percent(kAbandonRefusedPercent);
  if (abandons || retries >= kMaxRetries) return ScheduleNextCall(caller);
  // Retries reach other entries.
  Entry& other = *entries_[random_.Below(entries_.size())];
  executor_.RunAfter(random_.Between(kMinRetryDelay, kMaxRetryDelay),
                     [this, caller, id, &other, retries] {
                       Submit(caller, id, other, retries + 1);
                     });
}

void Callers::CancelUnanswered(size_t caller, JobId id) {
  checker_.jobs()[id].cancel_requested = true;
  client_.Call(
      *entries_[random_.Below(entries_.size())],
      {.method = "DELETE", .job = id}, [this, caller, id](const auto& reply) {
        if (reply.status == 410) checker_.jobs()[id].denied = true;
        executor_.RunAfter(random_.Between(Millis(0), kMaxCopyDelay),
                           [this, caller, id] {
                             Submit(caller, id, PickEntry(caller), kMaxRetries);
                           });
      });
}

void Callers::QueryOrCancel(size_t caller, JobId id, bool cancel) {
  Entry& entry = PickEntry(caller);
  JobRecord& job = checker_.jobs()[id];
  const bool uncancelled = !job.cancel_requested;
  job.cancel_requested = job.cancel_requested || cancel;
  const CallerRequest call{.method = cancel ? "DELETE" : "GET", .job = id};
  client_.Call(
      entry, call,
      [this, caller, call, &entry, uncancelled](const CallerReply& reply) {
        if (reply.status == 410 && uncancelled) OnJobNotFound(call, entry);
        ScheduleNextCall(caller);
      });
}

void Callers::OnJobNotFound(const CallerRequest& call, const Entry& entry) {
  const JobRecord& job = checker_.jobs()[call.job];
  // Another caller may have cancelled the job meanwhile.
  if (call.method == "GET" && job.cancel_requested) return;
  const std::string text = checker_.Describe(call.job) + ", unknown at " +
                           entry.name() + " for a " + call.method;
  const TimePoint now = Clock::now();
  const bool excused = now - job.accepted_at < kVisibilityLimit ||
                       now - entry.last_fault_at() < kRecoveryTime;
  if (excused) return checker_.Log("excused: " + text);
  checker_.AddFinding(text);
}

void FinalCheck::Start(std::function<void()> done) {
  done_ = std::move(done);
  limit_ = Clock::now() + kFinalCheckLimit;
  active_queries_ = entries_.size() * kParallelQueries;
  for (auto& entry : entries_) {
    for (const auto& [id, job] : checker_.jobs()) {
      remaining_[entry.get()].push_back(id);
    }
    for (size_t i = 0; i < kParallelQueries; ++i) QueryNext(*entry);
  }
}

void FinalCheck::QueryNext(Entry& entry) {
  std::vector<JobId>& remaining = remaining_[&entry];
  if (!remaining.empty()) {
    const JobId id = remaining.back();
    remaining.pop_back();
    return Query(entry, id);
  }
  if (--active_queries_ > 0) return;
  for (const auto& [id, job] : checker_.jobs()) CheckAnswers(id, job);
  done_();
}

void FinalCheck::Query(Entry& entry, JobId id) {
  client_.Call(entry, {.job = id},
               [this, &entry, id](const CallerReply& reply) {
                 OnReply(entry, id, reply);
               });
}

void FinalCheck::OnReply(Entry& entry, JobId id, const CallerReply& reply) {
  if (reply.status == 410) {
    answers_[id].unknown_at += " " + entry.name();
    return QueryNext(entry);
  }
  if (reply.status == 200 && !checker_.jobs()[id].final_state.empty()) {
    answers_[id].known_at += " " + entry.name();
    return QueryNext(entry);
  }
  if (Clock::now() > limit_) {
    checker_.AddFinding("job " + JobIdText(id) +
                        " not final in the last check at " + entry.name() +
                        ": status " + std::to_string(reply.status) + " " +
                        reply.state);
    return QueryNext(entry);
  }
  executor_.RunAfter(kPollInterval, [this, &entry, id] { Query(entry, id); });
}

void FinalCheck::CheckAnswers(JobId id, const JobRecord& job) {
  const Answers& answers = answers_[id];
  if (job.started && job.submissions == job.refusals) {
    checker_.AddFinding("job " + JobIdText(id) + " ran though it was refused");
  }
  if (answers.unknown_at.empty() || job.cancel_requested) return;
  const bool lost = !job.accepted_by.empty();
  lost_ += lost ? 1 : 0;
  // If no caller got the acceptance of the job, the entries must agree.
  if (!lost && answers.known_at.empty()) return;
  checker_.AddFinding((lost ? "LOST " : "") + checker_.Describe(id) +
                      ", unknown at" + answers.unknown_at + ", known at" +
                      answers.known_at);
}

}  // namespace mimosarail::soak
