#include "src/maintenance/wave_manager.h"

#include <algorithm>
#include <utility>

#include "src/libs/logging/log.h"

namespace mimosarail::maintenance {
namespace {

using logging::Level;
using logging::Text;
using ports::HostState;
using ports::HostVerdict;
using ports::WaveStatus;

constexpr Millis kTick{100};
/// The API answers in about 20 ms, and in 1 s at its slowest.
constexpr Millis kCallTimeout{2000};
/// Minimum time between two readings of the list while a change is expected;
/// each reading has a cost.
constexpr Millis kAwaitedListPeriod{500};
/// Minimum time between two readings while a host's upstream is unknown,
/// partitioned or down, which lasts about 3 to 7 s.
constexpr Millis kChangedListPeriod{1000};
/// Time between two readings while no change is expected. They only find hosts
/// that left or came up.
constexpr Millis kIdleListPeriod{3000};
/// Backoff after a refused or unanswered call; doubles up to the maximum.
constexpr Millis kMinBackoff{250};
constexpr Millis kMaxBackoff{4000};
/// Delay before a busy host is ordered again.
constexpr Millis kBusyRetryDelay{1000};
/// Consecutive complete readings without a host after which it counts as
/// permanently removed. The pages are not a snapshot, so that one reading may
/// miss a host.
constexpr int kRemovedAfterReadings = 2;
constexpr double kMsPerSecond = 1000;

std::string Text(size_t value) { return std::to_string(value); }

std::string Joined(const std::vector<std::string>& names,
                   const char* separator = " ") {
  std::string out;
  for (const std::string& name : names) {
    out += (out.empty() ? "" : separator) + name;
  }
  return out;
}

/// Returns the time between two calls at a rate of `per_s` calls per second.
Millis Spacing(double per_s) {
  constexpr double kMinRate = 0.1;
  return Millis(static_cast<int64_t>(kMsPerSecond / std::max(kMinRate, per_s)));
}

}  // namespace

WaveManager::WaveManager(Dependencies deps, WaveManagerOptions options)
    : deps_(std::move(deps)), options_(std::move(options)) {}

bool WaveManager::Load(const ports::KeyedRecord& record) {
  if (!IsHostKey(record.key)) {
    const auto wave = DecodeWave(record);
    if (!wave) return false;
    Wave& loaded = waves_[wave->wave];
    loaded.announced = true;
    loaded.complete = wave->status == WaveStatus::kComplete;
    loaded.since_unix_ms = wave->since_unix_ms;
    return true;
  }
  const auto stored = DecodeHost(record);
  if (!stored) return false;
  Host& host = waves_[stored->wave].hosts[stored->host];
  const TimePoint now = deps_.executor.Now();
  host.upstream = stored->upstream;
  host.recorded = true;
  host.phase = stored->begun ? HostMaintenancePhase::kInProgress
                             : HostMaintenancePhase::kRequested;
  host.begun_at = now;
  // The order of the earlier leader may still be in flight.
  host.unanswered = now;
  // Delays the orders to all hosts, not only to this one in this wave: another
  // wave may include the same host, and two leaders would order it alternately.
  next_order_ = now + options_.host_holder_timeout;
  return true;
}

void WaveManager::Start() { Tick(); }

void WaveManager::Close() {
  closed_ = true;
  if (status_) status_->Close();
}

void WaveManager::Tick() {
  if (closed_) return;
  AdoptNewWaves();
  // While no orders may be sent, cordoned upstreams stay cordoned: an order may
  // be in flight.
  if (!fenced_ && deps_.workload.MayOrder()) {
    if (HasOpenWave()) ReadListIfDue();
    std::set<std::string> cordoned;
    for (auto& [number, wave] : waves_) {
      if (!wave.complete) ApplyDecision(wave, cordoned);
    }
    SetCordoned(cordoned);
  }
  deps_.executor.RunAfter(kTick, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Tick();
  });
}

void WaveManager::SetCordoned(const std::set<std::string>& upstreams) {
  if (upstreams.empty() && cordoned_.empty()) return;
  cordoned_ = upstreams;
  deps_.workload.SetCordoned(upstreams);
}

void WaveManager::AdoptNewWaves() {
  for (const auto& [number, request] : deps_.waves()) {
    Wave& wave = waves_[number];
    if (wave.complete || wave.known) continue;
    wave.known = true;
    wave.request = request;
    for (const std::string& name : request.hosts) wave.hosts[name];
    if (wave.since_unix_ms == 0) {
      wave.since_unix_ms = deps_.executor.UnixMillis();
    }
    logging::Event(Level::kInfo, "wave taken up",
                   {{"wave", Text(number)},
                    {"hosts", Text(request.hosts.size())},
                    {"most_at_once", Text(request.max_unavailable)},
                    {"duration_ms", Text(int64_t{request.duration.count()})},
                    {"announced_before", wave.announced ? "yes" : "no"},
                    {"term", Text(options_.term)}});
    if (!wave.announced) Announce(wave);
  }
}

bool WaveManager::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const Wave& wave = entry.second;
    return wave.known && !wave.complete;
  });
}

bool WaveManager::ListDue() const {
  const TimePoint now = deps_.executor.Now();
  if (!list_known_) return true;
  if (now - read_at_ >= kIdleListPeriod) return true;
  if (now - read_at_ < kAwaitedListPeriod) return false;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [name, host] : wave.hosts) {
      // The host is back after the maintenance at the earliest; an earlier
      // reading is useless.
      const bool may_be_back =
          host.phase == HostMaintenancePhase::kInProgress &&
          now >= host.begun_at + options_.maintenance_duration;
      if (!wave.complete && may_be_back) return true;
      // The upstream of the host has ended or is unreachable; the host may run
      // another upstream by now.
      const Listed* listed = FindListed(name);
      const bool changed = host.phase == HostMaintenancePhase::kPending &&
                           listed != nullptr && listed->missing == 0 &&
                           !listed->entry.upstream.empty() &&
                           !deps_.workload.WorkOn(listed->entry.upstream).known;
      if (!wave.complete && changed && now - read_at_ >= kChangedListPeriod) {
        return true;
      }
    }
  }
  return false;
}

void WaveManager::ReadListIfDue() {
  if (reading_ || deps_.executor.Now() < next_read_ || !ListDue()) return;
  reading_ = true;
  auto reading = std::make_shared<Reading>();
  reading->begun = deps_.executor.Now();
  ReadPage("", reading);
}

void WaveManager::ReadPage(const std::string& after,
                           std::shared_ptr<Reading> reading) {
  deps_.metrics.Count({.name = "host_list_reads"});
  deps_.hosts.ListHosts(
      after, kCallTimeout,
      [weak = weak_from_this(), reading](const Result<ports::HostPage>& page) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        if (page.ok()) return self->OnPage(page.value(), reading);
        logging::Event(Level::kWarning, "host list not read",
                       {{"cause", page.error().message}});
        self->reading_ = false;
        self->BackOff();
        self->next_read_ = self->deps_.executor.Now() + self->backoff_;
      });
}

void WaveManager::OnPage(const ports::HostPage& page,
                         std::shared_ptr<Reading> reading) {
  for (const ports::HostEntry& host : page.hosts) {
    reading->hosts[host.host] = host;
  }
  if (page.next.empty()) return OnList(*reading);
  deps_.executor.RunAfter(Spacing(options_.lists_per_s),
                          [weak = weak_from_this(), next = page.next, reading] {
                            const auto self = weak.lock();
                            if (!self || self->closed_) return;
                            self->ReadPage(next, reading);
                          });
}

void WaveManager::OnList(const Reading& reading) {
  reading_ = false;
  backoff_ = Millis(0);
  read_at_ = deps_.executor.Now();
  next_read_ = read_at_ + Spacing(options_.lists_per_s);
  const auto duration =
      std::chrono::duration_cast<Millis>(read_at_ - reading.begun);
  logging::Event(Level::kDebug, "host list read",
                 {{"hosts", Text(reading.hosts.size())},
                  {"took_ms", Text(int64_t{duration.count()})}});
  for (auto& [name, listed] : listed_) ++listed.missing;
  for (const auto& [name, entry] : reading.hosts) {
    listed_[name] = {.entry = entry};
  }
  // Counts the missing readings of a host that was never listed as well.
  for (auto& [number, wave] : waves_) {
    for (const auto& [name, host] : wave.hosts) {
      listed_.try_emplace(name, Listed{.entry = {.host = name}, .missing = 1});
    }
    RecordReturned(wave, reading.begun);
  }
  list_known_ = true;
}

void WaveManager::RecordReturned(Wave& wave, TimePoint read_from) {
  for (auto& [name, host] : wave.hosts) {
    if (host.phase != HostMaintenancePhase::kInProgress) continue;
    // Only a reading that began after the reply to the order shows the state of
    // the host since then; an older one may show it up from before.
    if (read_from <= host.begun_at) continue;
    RecordUpstreamEnded(name, host);
    const Listed* listed = FindListed(name);
    const bool removed =
        listed == nullptr || listed->missing >= kRemovedAfterReadings;
    const HostState state = removed ? HostState::kDown : listed->entry.state;
    const bool duration_passed =
        read_from > host.begun_at + options_.maintenance_duration;
    const bool back = state == HostState::kUp ||
                      (duration_passed && state != HostState::kMaintenance &&
                       state != HostState::kUnknown);
    if (!back) continue;
    host.phase = HostMaintenancePhase::kCompleted;
    host.draining_since.reset();
    logging::Event(Level::kInfo, "upkeep over",
                   {{"wave", Text(wave.request.wave)},
                    {"host", name},
                    {"state", std::string(ports::kHostStateNames.Name(state))},
                    {"listed", removed ? "no" : "yes"}});
  }
}

void WaveManager::RecordUpstreamEnded(const std::string& name, Host& host) {
  // The reply to the order is no proof: it is the same for an earlier
  // maintenance, after which the host runs another upstream that is live.
  // Reported without proof, a live upstream would be dropped permanently, with
  // all its tasks.
  const Listed* listed = FindListed(name);
  if (host.upstream_ended || host.upstream.empty() || listed == nullptr) return;
  if (listed->missing > 0) return;
  const ports::HostEntry& entry = listed->entry;
  const bool another = entry.state == HostState::kUp &&
                       !entry.upstream.empty() &&
                       entry.upstream != host.upstream;
  if (!another && entry.state != HostState::kMaintenance) return;
  host.upstream_ended = true;
  // This also removes the upstream's stored record, so that a later leader does
  // not wait for the expiry of its leases.
  deps_.workload.OnUpstreamEnded(host.upstream);
}

const WaveManager::Listed* WaveManager::FindListed(
    const std::string& host) const {
  const auto found = listed_.find(host);
  return found == listed_.end() ? nullptr : &found->second;
}

HostView WaveManager::ViewOf(const std::string& name, const Host& host) const {
  const TimePoint now = deps_.executor.Now();
  const Listed* listed = FindListed(name);
  HostView out{.host = name, .phase = host.phase};
  out.listed = listed != nullptr && listed->missing < kRemovedAfterReadings;
  // A host that the last reading lacks is not acted on until the next reading.
  const bool seen = listed != nullptr && listed->missing == 0;
  out.state = seen ? listed->entry.state : HostState::kUnknown;
  out.on_hold = host.operation_pending || now < host.retry_at;
  out.draining = host.draining_since.has_value();
  if (out.draining) {
    out.draining_for =
        std::chrono::duration_cast<Millis>(now - *host.draining_since);
  }
  // A host that is up without an upstream is a standby: no task runs there.
  const bool standby = seen && listed->entry.upstream.empty();
  if (seen && !standby) {
    out.work = deps_.workload.WorkOn(listed->entry.upstream);
  }
  return out;
}

WaveView WaveManager::View(const Wave& wave) const {
  const Millis passed(
      std::max<int64_t>(0, deps_.executor.UnixMillis() - wave.since_unix_ms));
  WaveView out{
      .wave = wave.request.wave,
      .max_unavailable = wave.request.max_unavailable,
      .time_left = std::max(Millis(0), wave.request.duration - passed),
      .maintenance_duration = options_.maintenance_duration,
      .free_millicores = deps_.workload.FreeMillicores(),
  };
  for (const auto& [name, host] : wave.hosts) {
    out.hosts.push_back(ViewOf(name, host));
  }
  return out;
}

void WaveManager::ApplyDecision(Wave& wave, std::set<std::string>& cordoned) {
  // Maintenance that was ordered may begin at any moment. The upstreams on
  // those hosts are cordoned, even before the list is known.
  for (const auto& [name, host] : wave.hosts) {
    const bool ordered = host.phase == HostMaintenancePhase::kRequested ||
                         host.phase == HostMaintenancePhase::kInProgress;
    if (ordered && !host.upstream.empty()) cordoned.insert(host.upstream);
  }
  if (!list_known_ || !wave.known) return;
  ForgetLostOrders(wave);
  const WaveView view = View(wave);
  const WaveDecision decision = DecideWave(view);
  Log(wave, view, decision);
  Drain(wave, decision, cordoned);
  for (const std::string& name : decision.start_maintenance) Order(wave, name);
  if (decision.status == WaveStatus::kComplete) Complete(wave);
}

void WaveManager::ForgetLostOrders(Wave& wave) {
  const TimePoint now = deps_.executor.Now();
  for (auto& [name, host] : wave.hosts) {
    if (host.phase != HostMaintenancePhase::kRequested ||
        host.operation_pending) {
      continue;
    }
    const bool may_take_effect =
        host.unanswered && now <= *host.unanswered + options_.max_order_delay;
    // An order that was never sent still counts towards max_unavailable, but
    // only while the host is up, so that it can still be sent.
    const HostState state = ViewOf(name, host).state;
    if (may_take_effect || (!host.unanswered && state == HostState::kUp)) {
      continue;
    }
    logging::Event(
        Level::kWarning, "order without effect",
        {{"wave", Text(wave.request.wave)},
         {"host", name},
         {"state", std::string(ports::kHostStateNames.Name(state))}});
    Release(wave.request.wave, name);
  }
}

void WaveManager::Release(int64_t wave, const std::string& name) {
  Host& host = waves_.at(wave).hosts.at(name);
  host.unanswered.reset();
  host.operation_pending = true;
  // The slot becomes free only when the record is removed. A later leader that
  // found it beside the record of the next host would treat both as ordered,
  // order both again, and let one host too many be away.
  deps_.journal->Remove(KeyOf({.wave = wave, .host = name}));
  deps_.journal->WhenStored([weak = weak_from_this(), wave, name](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    Host& released = self->waves_.at(wave).hosts.at(name);
    released.operation_pending = false;
    released.recorded = false;
    released.phase = HostMaintenancePhase::kPending;
  });
}

void WaveManager::Drain(Wave& wave, const WaveDecision& decision,
                        std::set<std::string>& cordoned) {
  const std::set<std::string> drain(decision.drain.begin(),
                                    decision.drain.end());
  for (auto& [name, host] : wave.hosts) {
    if (drain.count(name) == 0) {
      host.draining_since.reset();
      continue;
    }
    const Listed* listed = FindListed(name);
    if (listed == nullptr || listed->entry.upstream.empty()) continue;
    if (!host.draining_since) host.draining_since = deps_.executor.Now();
    cordoned.insert(listed->entry.upstream);
  }
  // Cordons first, so that the stopped tasks are not placed there again.
  SetCordoned(cordoned);
  const std::set<std::string> evict(decision.evict.begin(),
                                    decision.evict.end());
  for (const std::string& name : decision.drain) {
    const Listed* listed = FindListed(name);
    if (listed == nullptr) continue;
    deps_.workload.EvictTasks(listed->entry.upstream, evict.count(name) > 0);
  }
}

void WaveManager::Log(Wave& wave, const WaveView& view,
                      const WaveDecision& decision) {
  const std::string summary =
      Joined(decision.drain) + "|" + Joined(decision.start_maintenance) + "|" +
      Text(decision.away) + "|" + Text(decision.pending);
  if (summary == wave.logged_summary) return;
  wave.logged_summary = summary;
  logging::Event(
      Level::kInfo, "wave decided",
      {{"wave", Text(view.wave)},
       {"due", Text(decision.pending)},
       {"away", Text(decision.away)},
       {"pace", Text(decision.pace)},
       {"most_at_once", Text(view.max_unavailable)},
       {"time_left_ms", Text(int64_t{view.time_left.count()})},
       {"drain_limit_ms", Text(int64_t{decision.drain_limit.count()})},
       {"drain", Joined(decision.drain)},
       {"send", Joined(decision.start_maintenance)},
       {"waits", Joined(decision.drain_blockers, ", ")}});
}

HostRecord WaveManager::RecordOf(const Wave& wave,
                                 const std::string& name) const {
  const Host& host = wave.hosts.at(name);
  return {.wave = wave.request.wave,
          .host = name,
          .begun = host.phase == HostMaintenancePhase::kInProgress,
          .upstream = host.upstream};
}

void WaveManager::Order(Wave& wave, const std::string& name) {
  const TimePoint now = deps_.executor.Now();
  if (now < next_order_) return;
  next_order_ = now + Spacing(options_.orders_per_s);
  Host& host = wave.hosts.at(name);
  const Listed* listed = FindListed(name);
  const bool repeated = host.phase == HostMaintenancePhase::kRequested;
  host.phase = HostMaintenancePhase::kRequested;
  host.operation_pending = true;
  if (listed != nullptr) host.upstream = listed->entry.upstream;
  const int64_t number = wave.request.wave;
  if (repeated) return Send(number, name);
  host.recorded = true;
  // A later leader must know of the order before it can take effect: otherwise
  // it would treat the host as pending, and let one host too many be away.
  const ports::KeyedRecord record = Encode(RecordOf(wave, name));
  deps_.journal->Put(record.key, record.value);
  deps_.journal->WhenStored(
      [weak = weak_from_this(), number, name](bool stored) {
        const auto self = weak.lock();
        if (stored && self && !self->closed_) self->Send(number, name);
      });
}

void WaveManager::Send(int64_t wave, const std::string& name) {
  Host& host = waves_.at(wave).hosts.at(name);
  const HostWork work = deps_.workload.WorkOn(host.upstream);
  // The store may have taken seconds: checks that the decision is still valid.
  const bool valid = !fenced_ && deps_.workload.MayOrder() &&
                     (host.upstream.empty() || work.known) && work.tasks == 0;
  if (!valid) {
    host.operation_pending = false;
    return;
  }
  host.upstream_ended = false;
  deps_.metrics.Count({.name = "upkeep_orders"});
  logging::Event(Level::kInfo, "upkeep ordered",
                 {{"wave", Text(wave)},
                  {"host", name},
                  {"upstream", host.upstream},
                  {"tasks_there", Text(int64_t{work.tasks})},
                  {"in_doubt", host.unanswered ? "yes" : "no"},
                  {"fence", Text(options_.term)}});
  deps_.hosts.BeginMaintenance(
      {.host = name,
       .wave = wave,
       .holder = options_.holder,
       .fence = options_.term},
      kCallTimeout,
      [weak = weak_from_this(), wave, name](const ports::HostReply& reply) {
        const auto self = weak.lock();
        if (self && !self->closed_) self->OnReply(wave, name, reply);
      });
}

void WaveManager::OnReply(int64_t wave, const std::string& name,
                          const ports::HostReply& reply) {
  const TimePoint now = deps_.executor.Now();
  Host& host = waves_.at(wave).hosts.at(name);
  host.operation_pending = false;
  const std::string verdict(ports::kHostVerdictNames.Name(reply.verdict));
  deps_.metrics.Count(
      {.name = "upkeep_answers", .labels = {{"verdict", verdict}}});
  logging::Event(
      reply.verdict == HostVerdict::kDone ? Level::kInfo : Level::kWarning,
      "upkeep answered",
      {{"wave", Text(wave)},
       {"host", name},
       {"verdict", verdict},
       {"detail", reply.detail}});
  switch (reply.verdict) {
    case HostVerdict::kDone: {
      backoff_ = Millis(0);
      host.phase = HostMaintenancePhase::kInProgress;
      host.begun_at = now;
      host.unanswered.reset();
      const auto record = Encode(RecordOf(waves_.at(wave), name));
      return deps_.journal->Put(record.key, record.value);
    }
    case HostVerdict::kFenced:
      // Another leader has sent orders: this token is never used again.
      fenced_ = true;
      return deps_.on_leadership_lost("a higher fencing token at host " + name);
    case HostVerdict::kBusy:
      host.retry_at = now + kBusyRetryDelay;
      // This order had no effect; an earlier one may still take effect.
      if (!host.unanswered) Release(wave, name);
      return;
    case HostVerdict::kNotInWave:
    case HostVerdict::kNoSuchHost:
      host.phase = HostMaintenancePhase::kExcluded;
      return;
    case HostVerdict::kRefused:
      BackOff();
      break;
    case HostVerdict::kUnknown:
      BackOff();
      host.unanswered = now;
      break;
  }
  next_order_ = std::max(next_order_, now + backoff_);
}

void WaveManager::BackOff() {
  backoff_ =
      backoff_ == Millis(0) ? kMinBackoff : std::min(kMaxBackoff, 2 * backoff_);
}

journal::Journal& WaveManager::StatusWriter() {
  if (status_) return *status_;
  status_ = std::make_shared<journal::Journal>(
      deps_.executor, deps_.store,
      journal::JournalOptions{.table = deps_.wave_status.status_table(),
                              .writer = "maintenance",
                              .epoch = options_.term},
      [this] {
        deps_.on_leadership_lost("the writer of wave states was fenced");
      });
  status_->Open([] {});
  return *status_;
}

void WaveManager::Announce(Wave& wave) {
  wave.announced = true;
  const ports::KeyedRecord status =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kRunning);
  StatusWriter().Put(status.key, status.value);
  const ports::KeyedRecord record =
      Encode(WaveRecord{.wave = wave.request.wave,
                        .status = WaveStatus::kRunning,
                        .since_unix_ms = wave.since_unix_ms});
  StatusWriter().WhenStored([weak = weak_from_this(), record](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) {
      self->deps_.journal->Put(record.key, record.value);
    }
  });
}

void WaveManager::Complete(Wave& wave) {
  wave.complete = true;
  deps_.metrics.Count({.name = "waves_completed"});
  logging::Event(
      Level::kInfo, "wave complete",
      {{"wave", Text(wave.request.wave)}, {"hosts", Text(wave.hosts.size())}});
  const ports::KeyedRecord status =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kComplete);
  StatusWriter().Put(status.key, status.value);
  StatusWriter().WhenStored(
      [weak = weak_from_this(), number = wave.request.wave](bool stored) {
        const auto self = weak.lock();
        if (!stored || !self || self->closed_) return;
        // Stored only now: with an earlier record, a later leader would assume
        // that the status has been reported to operators.
        const Wave& done = self->waves_.at(number);
        const ports::KeyedRecord record =
            Encode(WaveRecord{.wave = number,
                              .status = WaveStatus::kComplete,
                              .since_unix_ms = done.since_unix_ms});
        self->deps_.journal->Put(record.key, record.value);
        for (const auto& [name, host] : done.hosts) {
          if (!host.recorded) continue;
          self->deps_.journal->Remove(KeyOf({.wave = number, .host = name}));
        }
      });
}

}  // namespace mimosarail::maintenance
