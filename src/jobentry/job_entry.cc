#include "src/jobentry/job_entry.h"

#include <algorithm>
#include <map>

#include "src/libs/logging/log.h"

namespace mimosarail::jobentry {
namespace {

using coordinator::JobVerdict;
using coordinator::ToJobVerdict;
using logging::Level;

/// An entry without a heartbeat reply from a leader for this long is not ready
/// for callers.
constexpr Millis kReadyTimeout{2500};
/// Callers retry a refused call after this.
constexpr Millis kRetryAfter{1000};
/// Interval between updates of the coordinator's list of lanes.
constexpr Millis kLaneRefreshPeriod{200};
/// A call that the leader has not answered is retried after
/// JobEntryOptions::first_retry_pause. The pause then doubles up to three
/// times, to 0.4 s, because each retry uses link and processor capacity that
/// the leader needs to answer at all.
constexpr int kMaxPauseDoublings = 3;
/// A call that waits for a leader checks its deadline at this interval, since
/// the deadline becomes earlier when the entry shuts down.
constexpr Millis kLeaderWaitPeriod{500};
/// Longest retry pause that is accepted in another entry's refusal.
constexpr Millis kMaxRetryAfter{60000};
/// Longest validity that is accepted in an advice reply: 30 days, far above the
/// values of queues.
constexpr Millis kMaxAdviceValidity{kMaxSpecDurationMs};

Result<ports::Advice> FromReply(const Result<wire::AdviseReply>& reply) {
  if (!reply.ok()) return reply.error();
  if (reply.value().verdict != 0) {
    return {Errc::kUnavailable, "the entry received no advice"};
  }
  ports::Advice out;
  out.valid =
      std::clamp(Millis(reply.value().valid_ms), Millis(0), kMaxAdviceValidity);
  for (const wire::Ticket& ticket : reply.value().allowed) {
    out.allowed.push_back({ticket.upstream, ticket.ticket});
  }
  return out;
}

Millis RetryAfterOf(int64_t retry_after_ms) {
  return std::clamp(Millis(retry_after_ms), Millis(0), kMaxRetryAfter);
}

JobAnswer ToAnswer(const wire::SubmitJobReply& reply) {
  return {.verdict = ToJobVerdict(reply.verdict),
          .retry_after = RetryAfterOf(reply.retry_after_ms)};
}
JobAnswer ToAnswer(const wire::JobStateReply& reply) {
  if (!IsJobState(reply.state)) return {.verdict = JobVerdict::kOutcomeUnknown};
  return {.verdict = ToJobVerdict(reply.verdict),
          .state = static_cast<JobState>(reply.state)};
}
JobAnswer ToAnswer(const wire::CancelJobReply& reply) {
  return {.verdict = ToJobVerdict(reply.verdict),
          .retry_after = RetryAfterOf(reply.retry_after_ms)};
}
JobAnswer ToAnswer(const wire::PendingJobsReply& reply) {
  return {.verdict = ToJobVerdict(reply.verdict),
          .pending = std::max<int64_t>(0, reply.pending)};
}

}  // namespace

template <typename Reply>
struct JobEntry::ForwardedCall {
  /// The call's kind and its job or queue, for the log.
  std::string description;
  /// Queue of the job; empty unless the call submits one.
  std::string queue;
  /// When this entry received the call from its caller. This and the deadlines
  /// are times of AccessTime().
  TimePoint received;
  /// Time at which an unanswered call is refused if it is not in doubt.
  TimePoint refusal_deadline;
  /// Time at which the caller stops waiting.
  TimePoint caller_deadline;
  /// Runs the call at this entry.
  std::function<void(std::function<void(Reply)>)> run_locally;
  /// Sends the call to the entry with this address, with this timeout.
  std::function<void(const std::string&, Millis, Callback<Reply>)> send;
  JobDone done;
  /// The outcome is unknown, since the call may have taken effect at a leader.
  bool in_doubt = false;
  /// Number of times that the call was sent to a leader or run here.
  int tries = 0;
  /// Outcome of the last try, for the log.
  std::string last_try_outcome = "none";
  /// The call changes nothing, so a try without a reply leaves nothing in
  /// doubt.
  bool read_only = false;
};

JobEntry::JobEntry(Dependencies deps, JobEntryOptions options)
    : deps_(deps),
      options_(std::move(options)),
      access_(options_.access),
      waiting_calls_(deps_.executor),
      intake_(deps_.executor, {},
              {.handle =
                   [this](SubmissionIntake::Submission submission) {
                     HandleSubmission(std::move(submission));
                   },
               .drop =
                   [this](const SubmissionIntake::Submission& submission) {
                     DropSubmission(submission);
                   }}),
      malformed_records_(deps_.metrics),
      config_(deps_.executor, deps_.config, malformed_records_, options_.config,
              {.on_changed = [this] { OnConfigChanged(); },
               .on_confirmed =
                   [this](TimePoint asked) { access_.Confirm(asked); }}),
      leadership_(
          deps_.executor, deps_.store, deps_.peers, malformed_records_,
          options_.leadership,
          {.on_elected = [this](int64_t term) { OnElected(term); },
           .on_leadership_lost = [this] { OnLeadershipLost(); },
           .on_leader_ready = [this] { waiting_calls_.ReleaseAll(); },
           .on_heartbeat_reply =
               [this](const wire::HeartbeatReply& reply, TimePoint sent) {
                 OnHeartbeatReply(reply, sent);
               },
           .config_version = [this] { return config_.config().version; },
           .config_document = [this] { return config_.document(); },
           .config_age = [this] { return access_.View(AccessTime()).age; },
           .on_config_offered =
               [this](const std::string& document) {
                 // As for a leader's configuration: it may be outdated.
                 if (config_.known()) config_.Offer(document, "follower");
               },
           .last_stored =
               [this] {
                 return coordinator_ ? coordinator_->last_stored()
                                     : TimePoint{};
               },
           .last_stored_sent =
               [this] {
                 return coordinator_ ? coordinator_->last_stored_sent()
                                     : TimePoint{};
               },
           .saturated = deps_.saturated,
           .load =
               [this] {
                 return coordinator_ ? coordinator_->SummarizeLoad()
                                     : std::nullopt;
               }}),
      store_check_(deps_.executor, deps_.store,
                   {.table = options_.leadership.table,
                    .max_age = options_.store_check_max_age,
                    .timeout = options_.store_check_timeout}),
      final_states_(options_.max_final_states) {}

JobEntry::~JobEntry() = default;

void JobEntry::OnHeartbeatReply(const wire::HeartbeatReply& reply,
                                TimePoint sent) {
  last_leader_reply_ = deps_.executor.Now();
  // A leader that cannot reach the store may have an outdated configuration. An
  // entry without a configuration does not accept it; an entry with one accepts
  // only a later version.
  const bool usable = reply.store_reachable || config_.known();
  if (!reply.config.empty() && usable) config_.Offer(reply.config, "leader");
  const bool newest = config_.config().version >= reply.config_version;
  // A process that was paused reads replies that it got before the pause, or
  // during it. Counted from their arrival, an entry would refuse keys for good
  // that were added meanwhile.
  const Millis suspended = deps_.executor.Suspended();
  const bool was_suspended =
      std::exchange(suspended_at_last_leader_reply_, suspended) != suspended;
  // The leader may write to the store and be unable to read configurations.
  if (newest && reply.__isset.config_age_ms && !was_suspended) {
    const Millis age(std::max<int64_t>(0, reply.config_age_ms));
    access_.Confirm(sent + suspended - age);
  }
  if (was_suspended) {
    load_.Clear();
  } else {
    UpdateLoad(reply, sent + suspended);
  }
}

void JobEntry::UpdateLoad(const wire::HeartbeatReply& reply, TimePoint sent) {
  if (!reply.__isset.load) return;
  const auto set = [this](const wire::QueueLoad& row) {
    const std::map<std::string, std::string> labels{{"queue", row.queue}};
    deps_.metrics.Set({.name = "leader_expected_wait_ms", .labels = labels},
                      static_cast<double>(row.expected_wait_ms));
    deps_.metrics.Set({.name = "leader_refuses", .labels = labels},
                      row.refused ? 1 : 0);
  };
  for (const auto& [queue, row] : load_.queues()) {
    wire::QueueLoad gone;
    gone.queue = queue;
    set(gone);
  }
  load_.Update(reply.load, reply.term, sent);
  for (const auto& [queue, row] : load_.queues()) set(row);
}

Millis JobEntry::RetryAfterWithoutAnswer(const std::string& queue) {
  if (options_.coordinator.admission !=
      coordinator::AdmissionPolicy::kDeadline) {
    return kRetryAfter;
  }
  Millis first = kRetryAfter;
  const auto load = load_.Find(queue, leadership_.term(), AccessTime());
  if (load && load->refused) {
    first = std::clamp(Millis(load->retry_after_ms), first, kMaxRetryAfter);
  }
  // Differs between entries, and between the callers of one entry.
  constexpr uint64_t kOddFactor = 0x9e3779b97f4a7c15ULL;
  const uint64_t seed =
      std::hash<std::string>()(options_.leadership.member.address) ^
      (++unanswered_refusals_ * kOddFactor);
  return coordinator::SpreadReturnEvenly(
      first, coordinator::ReturnWindow(waiting_calls_.size()), seed);
}

void JobEntry::OnConfigChanged() {
  access_.Publish(std::make_shared<const AccessTable>(config_.config()));
  if (coordinator_) coordinator_->OnAccountsChanged();
}

void JobEntry::Start() {
  config_.Start();
  leadership_.Start();
  RunEvery(deps_.executor, kLaneRefreshPeriod, [this] { RefreshLanes(); });
  pauses_ = PauseDetector(AccessTime());
  RunEvery(deps_.executor, PauseDetector::kTickPeriod,
           [this] { pauses_.Tick(AccessTime()); });
}

void JobEntry::OnElected(int64_t term) {
  options_.coordinator.term = term;
  options_.coordinator.holder = options_.leadership.member.name;
  using Waves = maintenance::WaveManager::Waves;
  const std::function<const Waves&()> waves = [this]() -> const Waves& {
    return config_.waves();
  };
  coordinator_ = std::make_shared<coordinator::Coordinator>(
      coordinator::Coordinator::Dependencies{
          .executor = deps_.executor,
          .store = deps_.store,
          .upstream_list = deps_.upstream_list,
          .task_port = deps_.task_port,
          .advice_caller = *this,
          .metrics = deps_.metrics,
          .malformed_records = malformed_records_,
          .configured_pools = [this] { return ConfiguredPools(); },
          .accounts = [this]() -> const coordinator::Accounts& {
            return config_.config().accounts;
          },
          .leader_lease_valid = [this] { return leadership_.lease_valid(); },
          .lease_confirmed_by_store =
              [this] { return leadership_.lease_confirmed_by_store(); },
          .state_current = [this] { return leadership_.state_current(); },
          .last_store_confirmation =
              [this] { return leadership_.last_confirmation(); },
          .predecessor_lease_end =
              [this] { return leadership_.predecessor_lease_end(); },
          .on_loaded = [this] { leadership_.MarkReady(); },
          .on_leadership_lost =
              [this](const std::string& cause) {
                // Posted, since stepping down destroys the coordinator that
                // is calling.
                deps_.executor.Post(
                    [this, cause] { leadership_.StepDown(cause); });
              },
          .hosts = deps_.hosts,
          .wave_status = deps_.wave_status,
          .requested_waves = waves,
          .smallest_memory_mb =
              [this] { return leadership_.SmallestMemoryMb(); },
          .heap_bytes = deps_.heap_bytes},
      options_.coordinator);
  coordinator_->Start();
  RefreshLanes();
}

const std::set<std::string>* JobEntry::ConfiguredPools() const {
  return config_.known() ? &config_.config().pools : nullptr;
}

void JobEntry::OnLeadershipLost() {
  if (!coordinator_) return;
  coordinator_->Close();
  coordinator_.reset();
}

void JobEntry::RefreshLanes() {
  if (!coordinator_) return;
  std::vector<std::string> lanes{options_.leadership.member.address};
  for (const wire::Member& follower : leadership_.followers()) {
    lanes.push_back(follower.address);
  }
  coordinator_->SetLanes(lanes);
}

void JobEntry::BeginShutdown() {
  shutting_down_ = true;
  shutdown_reply_deadline_ = AccessTime() + options_.shutdown_reply_timeout;
  leadership_.ResignForShutdown();
}

bool JobEntry::Ready() {
  if (shutting_down_ || !config_.known()) return false;
  if (coordinator_) return coordinator_->loaded();
  return deps_.executor.Now() - last_leader_reply_ < kReadyTimeout;
}

template <typename Reply>
std::shared_ptr<JobEntry::ForwardedCall<Reply>> JobEntry::NewCall(
    std::string description, Millis caller_timeout) const {
  const TimePoint now = AccessTime();
  auto out = std::make_shared<ForwardedCall<Reply>>();
  out->description = std::move(description);
  out->received = now;
  out->caller_deadline = now + caller_timeout;
  out->refusal_deadline =
      now + std::min(caller_timeout, options_.leader_wait_timeout);
  return out;
}

template <typename Reply>
void JobEntry::LogIfRetried(const ForwardedCall<Reply>& call) const {
  if (call.tries <= 1) return;
  const auto held =
      std::chrono::duration_cast<Millis>(AccessTime() - call.received);
  logging::Event(Level::kInfo, "call answered after retries",
                 {{"call", call.description},
                  {"tries", std::to_string(call.tries)},
                  {"held_ms", std::to_string(held.count())},
                  {"answer", call.last_try_outcome}});
}

template <typename Reply>
void JobEntry::Forward(std::shared_ptr<ForwardedCall<Reply>> call) {
  const TimePoint now = AccessTime();
  // A call that may have taken effect can't be refused any more, so it is
  // retried, to resolve its outcome, for as long as its caller waits. An entry
  // that shuts down must answer each call before it exits.
  const TimePoint deadline =
      std::min(call->in_doubt ? call->caller_deadline : call->refusal_deadline,
               shutdown_reply_deadline_);
  const auto remaining = std::chrono::duration_cast<Millis>(deadline - now);
  if (remaining <= Millis(0)) {
    logging::Event(Level::kWarning, "no answer from a leader",
                   {{"call", call->description},
                    {"term", std::to_string(leadership_.term())},
                    {"leader", leadership_.leader().name},
                    {"leader_heard_ms", LeaderHeartbeatAge()},
                    {"tries", std::to_string(call->tries)},
                    {"last_try", call->last_try_outcome},
                    {"stopping", shutting_down_ ? "yes" : "no"},
                    {"in_doubt", call->in_doubt ? "yes" : "no"}});
    return call->done({.verdict = call->in_doubt ? JobVerdict::kOutcomeUnknown
                                                 : JobVerdict::kRefused,
                       .retry_after = RetryAfterWithoutAnswer(call->queue)});
  }
  const auto retry = [this, call, remaining] {
    const int doublings = std::clamp(call->tries - 1, 0, kMaxPauseDoublings);
    waiting_calls_.Wait(
        std::min(remaining, options_.first_retry_pause * (1 << doublings)),
        [this, call] { Forward(call); });
  };
  const auto retry_after_store_pause = [this, call] {
    deps_.executor.RunAfter(options_.store_retry_pause,
                            [this, call] { Forward(call); });
  };
  const auto handle_reply = [this, retry, retry_after_store_pause,
                             call](const Reply& reply) {
    JobAnswer out = ToAnswer(reply);
    call->last_try_outcome = coordinator::kJobVerdictNames.Name(out.verdict);
    if (out.verdict == JobVerdict::kNotLeading) return retry();
    if (out.verdict == JobVerdict::kStoreUnavailable) {
      // If the store still serves this entry, an entry that can write takes
      // over within a second and accepts the job. If the store serves no entry,
      // waiting is useless. A call in doubt is retried in either case, to
      // resolve its outcome.
      if (call->in_doubt) return retry_after_store_pause();
      return store_check_.Run(
          [retry_after_store_pause, call, out](bool served) {
            if (served) return retry_after_store_pause();
            call->done({.verdict = JobVerdict::kRefused,
                        .retry_after = out.retry_after});
          });
    }
    // The leader has meanwhile lost its leadership or its connection to the
    // store. Repeating the call at this leader or the next resolves the
    // outcome.
    if (out.verdict == JobVerdict::kOutcomeUnknown) {
      call->in_doubt = true;
      return retry();
    }
    if (out.verdict == JobVerdict::kOverloaded) {
      // More tries would keep the leader behind.
      if (call->in_doubt) return retry();
      out.verdict = JobVerdict::kRefused;
    }
    // A refusal of this try does not undo an earlier try that may have taken
    // effect.
    const bool refused = out.verdict == JobVerdict::kRefused ||
                         out.verdict == JobVerdict::kOverLimit ||
                         out.verdict == JobVerdict::kTooLarge;
    if (refused && call->in_doubt) {
      out.verdict = JobVerdict::kOutcomeUnknown;
    }
    LogIfRetried(*call);
    call->done(out);
  };
  if (!leadership_.leader_ready()) {
    // A leader that is still loading can only reject the call. When 18 entries
    // repeated such calls every 50 ms, they used half of the leader's 2 Mbit/s
    // link. Its lease renewals were late, and the next leader had to load
    // everything again: there were 15 takeovers in 20 s, and no request was
    // served.
    call->last_try_outcome = leadership_.leader().address.empty()
                                 ? "no leader known"
                                 : "the leader is still loading";
    return waiting_calls_.Wait(std::min(remaining, kLeaderWaitPeriod),
                               [this, call] { Forward(call); });
  }
  ++call->tries;
  if (coordinator_) return call->run_locally(handle_reply);
  call->send(leadership_.leader().address,
             std::min(remaining, options_.call_timeout),
             [retry, handle_reply, call](const Result<Reply>& reply) {
               if (reply.ok()) return handle_reply(reply.value());
               call->last_try_outcome = reply.error().message.empty()
                                            ? reply.error().code.message()
                                            : reply.error().message;
               if (reply.error().code != Errc::kUnavailable) {
                 call->in_doubt = !call->read_only;
               }
               retry();
             });
}

std::string JobEntry::LeaderHeartbeatAge() const {
  if (last_leader_reply_ == TimePoint{}) return "never";
  const auto age = deps_.executor.Now() - last_leader_reply_;
  return std::to_string(std::chrono::duration_cast<Millis>(age).count());
}

void JobEntry::ForwardSubmission(const wire::JobSpec& spec,
                                 Millis caller_timeout, JobDone done) {
  const auto id = static_cast<JobId>(spec.id);
  auto message = std::make_shared<wire::SubmitJobCall>();
  message->job = spec;
  auto call =
      NewCall<wire::SubmitJobReply>("submit " + JobIdText(id), caller_timeout);
  call->queue = spec.queue.name;
  call->run_locally = [this, message](auto reply) {
    OnSubmit(*message, deps_.executor.Now(), reply);
  };
  call->send = [this, message](const std::string& address, Millis timeout,
                               auto reply) {
    deps_.peers.SubmitJob(
        address, *message, timeout,
        [this, message, reply](const Result<wire::SubmitJobReply>& result) {
          if (result.ok()) {
            link_refusals_.Note(message->job.queue.priority,
                                Millis(result.value().refuse_for_ms),
                                ToAnswer(result.value()).retry_after,
                                deps_.executor.Now());
          }
          reply(result);
        });
  };
  call->done = std::move(done);
  Forward(call);
}

void JobEntry::QueryState(JobId id, const CallerAccount& account,
                          Millis caller_timeout, JobDone done) {
  if (const auto known = final_states_.Find(id, account)) {
    return done({.verdict = JobVerdict::kConfirmed, .state = *known});
  }
  wire::JobStateCall message;
  message.id = static_cast<int64_t>(id);
  if (account) message.__set_account(*account);
  auto call =
      NewCall<wire::JobStateReply>("state " + JobIdText(id), caller_timeout);
  call->read_only = true;
  call->run_locally = [this, message](auto reply) {
    OnQueryState(message, reply);
  };
  call->send = [this, message](const std::string& address, Millis timeout,
                               auto reply) {
    deps_.peers.JobState(address, message, timeout, std::move(reply));
  };
  call->done = [this, id, account,
                done = std::move(done)](const JobAnswer& answer) {
    if (answer.verdict == JobVerdict::kConfirmed && IsFinal(answer.state)) {
      final_states_.Add(id, account, answer.state);
    }
    done(answer);
  };
  Forward(call);
}

void JobEntry::Cancel(JobId id, const CallerAccount& account,
                      Millis caller_timeout, JobDone done) {
  wire::CancelJobCall message;
  message.id = static_cast<int64_t>(id);
  if (account) message.__set_account(*account);
  auto call =
      NewCall<wire::CancelJobReply>("cancel " + JobIdText(id), caller_timeout);
  call->run_locally = [this, message](auto reply) { OnCancel(message, reply); };
  call->send = [this, message](const std::string& address, Millis timeout,
                               auto reply) {
    deps_.peers.CancelJob(address, message, timeout, std::move(reply));
  };
  call->done = std::move(done);
  Forward(call);
}

void JobEntry::CountPending(const std::string& queue, Millis caller_timeout,
                            JobDone done) {
  wire::PendingJobsCall message;
  message.queue = queue;
  auto call =
      NewCall<wire::PendingJobsReply>("pending " + queue, caller_timeout);
  call->read_only = true;
  call->run_locally = [this, message](auto reply) {
    OnCountPending(message, reply);
  };
  call->send = [this, message](const std::string& address, Millis timeout,
                               auto reply) {
    deps_.peers.PendingJobs(address, message, timeout, std::move(reply));
  };
  call->done = std::move(done);
  Forward(call);
}

void JobEntry::RequestAdvice(const std::string& entry_address,
                             const StepId& step,
                             const std::vector<std::string>& upstreams,
                             Millis timeout, Callback<ports::Advice> done) {
  if (entry_address == options_.leadership.member.address) {
    return deps_.adviser.RequestAdvice(step, upstreams, timeout,
                                       std::move(done));
  }
  wire::AdviseCall call;
  call.job = static_cast<int64_t>(step.job);
  call.occurrence = step.occurrence;
  call.step = step.step;
  call.upstreams = upstreams;
  call.timeout_ms = timeout.count();
  deps_.peers.Advise(
      entry_address, call, timeout,
      [done = std::move(done)](const Result<wire::AdviseReply>& reply) {
        done(FromReply(reply));
      });
}

}  // namespace mimosarail::jobentry
