// Requests: what is taken, and what is told at once.

#include <algorithm>

#include "src/requests/limits.h"
#include "src/requests/requests.h"

namespace mimosarail::requests {
namespace {

constexpr size_t kMostShapes = 10000;
constexpr int kMinutesPerDay = 24 * 60;

}  // namespace

Submitted Requests::NotRun(const std::string& reason,
                           int64_t retry_after_ms) const {
  Submitted out;
  out.outcome.verdict = wire::Verdict::kNotRun;
  out.outcome.reason = reason;
  out.outcome.retry_after_ms = retry_after_ms;
  out.outcome.revision = c_.revision();
  return out;
}

int64_t Requests::RetryAfterMs() const {
  const double seconds =
      static_cast<double>(queue_.size()) / std::max(start_rate_, 0.1);
  return std::clamp(static_cast<int64_t>(seconds * 1000), kShortRetryMs,
                    kLongestRetryMs);
}

int64_t Requests::TeamWaiting(const std::string& team) const {
  int64_t waiting = 0;
  const auto own = own_use_.find(team);
  if (own != own_use_.end()) waiting = own->second.waiting;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last.teams) {
      if (use.team == team) waiting += use.waiting;
    }
  }
  return waiting;
}

int64_t Requests::TeamMillicores(const std::string& team) const {
  int64_t millicores = 0;
  const auto own = own_use_.find(team);
  if (own != own_use_.end()) millicores = own->second.millicores;
  for (const auto& [name, peer] : c_.members.peers()) {
    if (peer.state == membership::PeerState::kDead) continue;
    for (const wire::TeamUse& use : peer.last.teams) {
      if (use.team == team) millicores += use.millicores;
    }
  }
  return millicores;
}

/// A job that no upstream of the list could ever hold must not wait for one.
std::string Requests::ImpossibleReason(const wire::RequestSpec& spec) {
  if (c_.controller.list_version() != impossible_version_ ||
      impossible_.size() > kMostShapes) {
    impossible_version_ = c_.controller.list_version();
    impossible_.clear();
  }
  const auto [found, fresh] = impossible_.try_emplace(ShapeOf(spec));
  if (fresh) found->second = FindImpossible(spec);
  return found->second;
}

std::string Requests::FindImpossible(const wire::RequestSpec& spec) const {
  const auto& listed = c_.controller.listed();
  if (listed.empty()) return "";
  placement::Room whole;
  for (const auto& [name, upstream] : listed) {
    const placement::RowId row = whole.Add(
        {.name = name,
         .rack = upstream.rack,
         .failure_domain = upstream.failure_domain,
         .capacity = placement::ToAmount(upstream.capacity, upstream.slots)});
    whole.SetUsable(row, true);
  }
  wire::AttemptContext context;
  context.spec = spec;
  const placement::Ask ask =
      execution::MakeAsk(context, spec.tasks, c_.executor.Now());
  const auto policy = placement::MakeFirstFitPolicy();
  if (!policy->Place(whole, ask).empty()) return "";
  return "no upstream could ever hold it, even empty: " +
         placement::ExplainNoRoom(whole, ask);
}

std::optional<Submitted> Requests::CheckAdmission(
    const wire::RequestSpec& spec, const wire::Treatment& treatment,
    const rules::RuleSet& rules) {
  if (!treatment.refusal.empty()) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = treatment.refusal;
    return refused;
  }
  const std::string impossible = ImpossibleReason(spec);
  if (!impossible.empty()) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = impossible;
    return refused;
  }
  if (treatment.priority > 0 &&
      static_cast<int64_t>(queue_.size()) >= rules.max_waiting()) {
    return NotRun("too many requests wait", RetryAfterMs());
  }
  // Urgent work is shed last: it may use a quarter more of the queue.
  if (static_cast<int64_t>(queue_.size()) >=
      rules.max_waiting() + rules.max_waiting() / 4 + 1) {
    return NotRun("too many requests wait", RetryAfterMs());
  }
  const rules::TeamLimit* limit = rules.LimitOf(spec.team);
  if (limit != nullptr && limit->waiting &&
      TeamWaiting(spec.team) >= *limit->waiting) {
    return NotRun("the team's waiting quota is used up", RetryAfterMs());
  }
  if (limit != nullptr && limit->millicores &&
      static_cast<int64_t>(spec.size.millicores) * spec.tasks >
          *limit->millicores) {
    Submitted refused;
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "larger than the team's whole quota";
    return refused;
  }
  return std::nullopt;
}

void Requests::Submit(wire::RequestSpec spec,
                      std::function<void(Submitted)> done) {
  const std::string digest = ContentDigest(spec);
  if (!spec.keyed) {
    spec.id = options_.self + "-" + std::to_string(options_.incarnation) + "-" +
              std::to_string(++next_id_);
  }
  Record* known = FindMutable(spec.id);
  if (known != nullptr && known->digest != digest) {
    Submitted refused{.id = spec.id};
    refused.outcome.verdict = wire::Verdict::kRefused;
    refused.outcome.reason = "the key is in use for a different request";
    return done(std::move(refused));
  }
  const bool again = known != nullptr && known->phase == Phase::kEnded &&
                     known->outcome.verdict == wire::Verdict::kNotRun;
  if (known != nullptr && !again) {
    return done({.taken = true, .id = spec.id});
  }
  const auto rules = c_.rules();
  if (!rules) return done(NotRun("no configuration yet", kShortRetryMs));
  if (!c_.accepting()) {
    return done(NotRun("this instance takes no work now", kShortRetryMs));
  }
  if (spec.keyed && !c_.ledger.ready()) {
    return done(NotRun("the log cannot be read", kShortRetryMs));
  }
  if (records_.size() >= options_.max_requests ||
      answer_bytes_ >= options_.max_answer_bytes) {
    return done(NotRun("too many requests are kept here", RetryAfterMs()));
  }
  const int32_t minute =
      static_cast<int32_t>(c_.executor.UnixMillis() / 60000 % kMinutesPerDay);
  const rules::Facts facts{.spec = &spec,
                           .waiting = static_cast<int64_t>(queue_.size()),
                           .minute_of_day = minute};
  wire::Treatment treatment = rules->Decide(facts).then;
  treatment.revision = c_.revision();
  if (auto refused = CheckAdmission(spec, treatment, *rules)) {
    refused->id = spec.id;
    refused->outcome.rule = treatment.rule;
    refused->outcome.revision = treatment.revision;
    return done(std::move(*refused));
  }
  const int32_t next_attempt = again ? known->attempt + 1 : 0;
  const int32_t epoch = again ? known->epoch : 1;
  Record& record = records_[spec.id];
  record = Record{};
  record.spec = std::move(spec);
  record.digest = digest;
  record.treatment = treatment;
  record.serial = ++next_serial_;
  record.submitted = c_.executor.Now();
  record.retries_left = treatment.retries;
  record.epoch = epoch;
  record.attempt = std::max(next_attempt, epoch * kAttemptsPerEpoch);
  by_serial_[record.serial] = record.spec.id;
  const std::string id = record.spec.id;
  if (record.spec.keyed) {
    SetExpiry(record, record.submitted + Millis(treatment.wait_limit_ms));
    record.phase = Phase::kClaiming;
    record.why = "its key is being claimed in the log";
    done({.taken = true, .id = id});
    return Claim(id);
  }
  Enqueue(record);
  done({.taken = true, .id = id});
}

}  // namespace mimosarail::requests
