// Requests: admission of submissions and immediate refusals.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {
namespace {

constexpr size_t kMaxCachedShapes = 10000;
constexpr int kMinutesPerDay = 24 * 60;

}  // namespace

SubmitResult Requests::NotRun(const std::string& reason,
                              int64_t retry_after_ms) const {
  SubmitResult out;
  out.outcome.verdict = wire::Verdict::kNotRun;
  out.outcome.reason = reason;
  out.outcome.retry_after_ms = retry_after_ms;
  out.outcome.revision = context_.revision();
  return out;
}

int64_t Requests::RetryAfterMs() const {
  const double seconds =
      static_cast<double>(queue_.size()) / std::max(start_rate_, 0.1);
  return std::clamp(static_cast<int64_t>(seconds * 1000), kMinRetryAfterMs,
                    kMaxRetryAfterMs);
}

int64_t Requests::TeamWaiting(const std::string& team) const {
  int64_t waiting = 0;
  const auto own = own_team_use_.find(team);
  if (own != own_team_use_.end()) waiting = own->second.waiting;
  for (const auto& [name, peer] : context_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last_heartbeat.teams) {
      if (use.team == team) waiting += use.waiting;
    }
  }
  return waiting;
}

int64_t Requests::TeamMillicores(const std::string& team) const {
  int64_t millicores = 0;
  const auto own = own_team_use_.find(team);
  if (own != own_team_use_.end()) millicores = own->second.millicores;
  for (const auto& [name, peer] : context_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last_heartbeat.teams) {
      if (use.team == team) millicores += use.millicores;
    }
  }
  return millicores;
}

/// A request that does not fit on any listed upstream, even an empty one, is
/// refused instead of queued.
std::string Requests::CachedInfeasibleReason(const wire::RequestSpec& spec) {
  if (context_.controller.list_version() != infeasible_list_version_ ||
      infeasible_reasons_.size() > kMaxCachedShapes) {
    infeasible_list_version_ = context_.controller.list_version();
    infeasible_reasons_.clear();
  }
  const auto [found, fresh] = infeasible_reasons_.try_emplace(ShapeOf(spec));
  if (fresh) found->second = FindInfeasibleReason(spec);
  return found->second;
}

std::string Requests::FindInfeasibleReason(
    const wire::RequestSpec& spec) const {
  const auto& listed = context_.controller.listed();
  if (listed.empty()) return "";
  placement::CapacityTable idle_capacity;
  for (const auto& [name, upstream] : listed) {
    const placement::CapacityIndex index = idle_capacity.Add(
        {.name = name,
         .rack = upstream.rack,
         .failure_domain = upstream.failure_domain,
         .capacity = placement::ToAmount(upstream.capacity, upstream.slots)});
    idle_capacity.SetUsable(index, true);
  }
  wire::AttemptContext context;
  context.spec = spec;
  const placement::PlacementRequest request = execution::MakePlacementRequest(
      context, spec.tasks, context_.executor.Now());
  const auto policy = placement::MakeFirstFitPolicy();
  if (!policy->Place(idle_capacity, request).empty()) return "";
  return "the request does not fit on the listed upstreams, even if they were "
         "empty: " +
         placement::ExplainNoCapacity(idle_capacity, request);
}

std::optional<SubmitResult> Requests::CheckAdmission(
    const wire::RequestSpec& spec, const wire::Treatment& treatment,
    const rules::RuleSet& rules) {
  if (!treatment.refusal.empty()) {
    SubmitResult refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = treatment.refusal;
    return refused;
  }
  const std::string infeasible = CachedInfeasibleReason(spec);
  if (!infeasible.empty()) {
    SubmitResult refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = infeasible;
    return refused;
  }
  if (treatment.priority > 0 &&
      static_cast<int64_t>(queue_.size()) >= rules.max_waiting()) {
    return NotRun("too many requests are waiting", RetryAfterMs());
  }
  // Urgent work is shed last: its limit on the queue length is a quarter
  // higher.
  if (static_cast<int64_t>(queue_.size()) >=
      rules.max_waiting() + rules.max_waiting() / 4 + 1) {
    return NotRun("too many requests are waiting", RetryAfterMs());
  }
  const rules::TeamLimit* limit = rules.LimitOf(spec.team);
  if (limit != nullptr && limit->waiting &&
      TeamWaiting(spec.team) >= *limit->waiting) {
    return NotRun("the team's quota of waiting requests is exhausted",
                  RetryAfterMs());
  }
  if (limit != nullptr && limit->millicores &&
      static_cast<int64_t>(spec.size.millicores) * spec.tasks >
          *limit->millicores) {
    SubmitResult refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "larger than the team's total quota of cores";
    return refused;
  }
  return std::nullopt;
}

void Requests::Submit(wire::RequestSpec spec,
                      std::function<void(SubmitResult)> done) {
  const std::string digest = ContentDigest(spec);
  if (!spec.keyed) {
    spec.id = options_.self + "-" + std::to_string(options_.incarnation) + "-" +
              std::to_string(++next_id_);
  }
  Record* known = FindMutable(spec.id);
  if (known != nullptr && known->digest != digest) {
    SubmitResult refused{.id = spec.id};
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "the key is in use for a different request";
    return done(std::move(refused));
  }
  const bool resubmitted = known != nullptr && known->phase == Phase::kEnded &&
                           known->outcome.verdict == wire::Verdict::kNotRun;
  if (known != nullptr && !resubmitted) {
    return done({.accepted = true, .id = spec.id});
  }
  const auto rules = context_.rules();
  if (!rules) {
    return done(
        NotRun("no configuration has been received yet", kMinRetryAfterMs));
  }
  if (!context_.accepting()) {
    return done(
        NotRun("this instance is not accepting requests", kMinRetryAfterMs));
  }
  if (spec.keyed && !context_.ledger.ready()) {
    return done(NotRun("the log has not been read yet", kMinRetryAfterMs));
  }
  if (records_.size() >= options_.max_requests ||
      answer_bytes_ >= options_.max_answer_bytes) {
    return done(
        NotRun("this instance stores too many requests", RetryAfterMs()));
  }
  const int32_t minute = static_cast<int32_t>(context_.executor.UnixMillis() /
                                              60000 % kMinutesPerDay);
  const rules::RuleInput rule_input{
      .spec = &spec,
      .waiting = static_cast<int64_t>(queue_.size()),
      .minute_of_day = minute};
  wire::Treatment treatment = rules->Decide(rule_input).then;
  treatment.revision = context_.revision();
  if (auto refused = CheckAdmission(spec, treatment, *rules)) {
    refused->id = spec.id;
    refused->outcome.rule = treatment.rule;
    refused->outcome.revision = treatment.revision;
    return done(std::move(*refused));
  }
  const int32_t next_attempt = resubmitted ? known->attempt + 1 : 0;
  const int32_t epoch = resubmitted ? known->epoch : 1;
  Record& record = records_[spec.id];
  record = Record{};
  record.spec = std::move(spec);
  record.digest = digest;
  record.treatment = treatment;
  record.serial = ++next_serial_;
  record.submitted_at = context_.executor.Now();
  record.retries_left = treatment.retries;
  record.epoch = epoch;
  record.attempt = std::max(next_attempt, epoch * kAttemptsPerEpoch);
  by_serial_[record.serial] = record.spec.id;
  const std::string id = record.spec.id;
  if (record.spec.keyed) {
    SetExpiry(record, record.submitted_at + Millis(treatment.wait_limit_ms));
    record.phase = Phase::kClaiming;
    record.status_message = "the claim of its key in the log is pending";
    done({.accepted = true, .id = id});
    return Claim(id);
  }
  Enqueue(record);
  done({.accepted = true, .id = id});
}

}  // namespace mimosarail::requests
