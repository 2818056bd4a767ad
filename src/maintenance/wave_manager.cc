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
/// The API answers in some 20 ms, at its slowest fifty times later.
constexpr Millis kCallTimeout{2000};
/// Least time between two readings of the list while something is awaited;
/// each reading is paid for.
constexpr Millis kAwaitedListPeriod{500};
/// And while a host's upstream is unknown, cut off or down: some 3 to 7 s.
constexpr Millis kChangedListPeriod{1000};
/// Readings while nothing is awaited only find hosts that left or came up.
constexpr Millis kIdleListPeriod{3000};
/// A host that is busy, or an API that refuses, is tried again after this, and
/// twice as long each time up to the longest.
constexpr Millis kFirstPause{250};
constexpr Millis kLongestPause{4000};
constexpr Millis kBusyPause{1000};
/// A host has left for good when so many whole readings in a row lack it: pages
/// are no snapshot, and one may pass a host by.
constexpr int kMissingForGood = 2;
constexpr double kMsPerSecond = 1000;

std::string Text(size_t value) { return std::to_string(value); }

std::string Joined(const std::vector<std::string>& names,
                   const char* between = " ") {
  std::string out;
  for (const std::string& name : names) {
    out += (out.empty() ? "" : between) + name;
  }
  return out;
}

/// Time between two calls of which so many a second are allowed.
Millis Spacing(double per_s) {
  constexpr double kFewest = 0.1;
  return Millis(static_cast<int64_t>(kMsPerSecond / std::max(kFewest, per_s)));
}

}  // namespace

WaveManager::WaveManager(Dependencies deps, WaveManagerOptions options)
    : deps_(std::move(deps)), options_(std::move(options)) {}

bool WaveManager::Load(const ports::KeyedRecord& record) {
  if (!IsHostKey(record.key)) {
    const auto wave = DecodeWave(record);
    if (!wave) return false;
    Wave& kept = waves_[wave->wave];
    kept.announced = true;
    kept.complete = wave->status == WaveStatus::kComplete;
    kept.since_unix_ms = wave->since_unix_ms;
    return true;
  }
  const auto kept = DecodeHost(record);
  if (!kept) return false;
  Host& host = waves_[kept->wave].hosts[kept->host];
  const TimePoint now = deps_.executor.Now();
  host.upstream = kept->upstream;
  host.recorded = true;
  host.progress = kept->begun ? HostMaintenancePhase::kInProgress
                              : HostMaintenancePhase::kRequested;
  host.begun_at = now;
  // The order of the earlier leader may be on its way still.
  host.unanswered = now;
  // Every host waits, not only this one in this wave: another wave may hold
  // the same host, and two leaders would take turns at it.
  next_order_ = now + options_.previous_holder_timeout;
  return true;
}

void WaveManager::Start() { Tick(); }

void WaveManager::Close() {
  closed_ = true;
  if (status_) status_->Close();
}

void WaveManager::Tick() {
  if (closed_) return;
  TakeWaves();
  // Without the right to order, what is withheld stays so: an order may be on
  // its way.
  if (!fenced_ && deps_.workload.MayOrder()) {
    if (AnyOpen()) ReadListIfDue();
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

void WaveManager::TakeWaves() {
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

bool WaveManager::AnyOpen() const {
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
      // Back at the earliest after the upkeep; a look before it tells nothing.
      const bool may_be_back =
          host.progress == HostMaintenancePhase::kInProgress &&
          now >= host.begun_at + options_.maintenance_duration;
      if (!wave.complete && may_be_back) return true;
      // The upstream it was is gone or cut off; it may be another by now.
      const Listed* listed = FindListed(name);
      const bool changed = host.progress == HostMaintenancePhase::kPending &&
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
        self->next_read_ = self->deps_.executor.Now() + self->pause_;
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
  pause_ = Millis(0);
  read_at_ = deps_.executor.Now();
  next_read_ = read_at_ + Spacing(options_.lists_per_s);
  const auto took =
      std::chrono::duration_cast<Millis>(read_at_ - reading.begun);
  logging::Event(Level::kDebug, "host list read",
                 {{"hosts", Text(reading.hosts.size())},
                  {"took_ms", Text(int64_t{took.count()})}});
  for (auto& [name, listed] : listed_) ++listed.missing;
  for (const auto& [name, entry] : reading.hosts) {
    listed_[name] = {.entry = entry};
  }
  // A host that was never listed counts its missing readings as well.
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
    if (host.progress != HostMaintenancePhase::kInProgress) continue;
    // Only a reading that set out after the answer to the order shows the host
    // as it is since; an older one shows it up from before.
    if (read_from <= host.begun_at) continue;
    RecordUpstreamEnded(name, host);
    const Listed* listed = FindListed(name);
    const bool gone = listed == nullptr || listed->missing >= kMissingForGood;
    const HostState state = gone ? HostState::kDown : listed->entry.state;
    const bool time_over =
        read_from > host.begun_at + options_.maintenance_duration;
    const bool back = state == HostState::kUp ||
                      (time_over && state != HostState::kMaintenance &&
                       state != HostState::kUnknown);
    if (!back) continue;
    host.progress = HostMaintenancePhase::kCompleted;
    host.draining_since.reset();
    logging::Event(Level::kInfo, "upkeep over",
                   {{"wave", Text(wave.request.wave)},
                    {"host", name},
                    {"state", std::string(ports::kHostStateNames.Name(state))},
                    {"listed", gone ? "no" : "yes"}});
  }
}

void WaveManager::RecordUpstreamEnded(const std::string& name, Host& host) {
  // The answer to the order is no proof: it is the same for an upkeep of long
  // ago, after which the host is another upstream that runs on. Told without
  // proof, a live upstream was dropped for good, with all that ran there.
  const Listed* listed = FindListed(name);
  if (host.upstream_ended || host.upstream.empty() || listed == nullptr) return;
  if (listed->missing > 0) return;
  const ports::HostEntry& entry = listed->entry;
  const bool another = entry.state == HostState::kUp &&
                       !entry.upstream.empty() &&
                       entry.upstream != host.upstream;
  if (!another && entry.state != HostState::kMaintenance) return;
  host.upstream_ended = true;
  // A later leader need not wait until its leases have run out.
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
  HostView out{.host = name, .progress = host.progress};
  out.listed = listed != nullptr && listed->missing < kMissingForGood;
  // One that the last reading lacks is left alone until the next one tells.
  const bool seen = listed != nullptr && listed->missing == 0;
  out.state = seen ? listed->entry.state : HostState::kUnknown;
  out.on_hold = host.in_flight || now < host.retry_at;
  out.draining = host.draining_since.has_value();
  if (out.draining) {
    out.drained_for =
        std::chrono::duration_cast<Millis>(now - *host.draining_since);
  }
  // Up without an upstream is a host that stands by: nothing runs there.
  const bool stands_by = seen && listed->entry.upstream.empty();
  if (seen && !stands_by) {
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
  // What an earlier leader ordered may go at any moment: nothing new there,
  // already before the list is known.
  for (const auto& [name, host] : wave.hosts) {
    const bool out = host.progress == HostMaintenancePhase::kRequested ||
                     host.progress == HostMaintenancePhase::kInProgress;
    if (out && !host.upstream.empty()) cordoned.insert(host.upstream);
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
    if (host.progress != HostMaintenancePhase::kRequested || host.in_flight)
      continue;
    const bool may_act =
        host.unanswered && now <= *host.unanswered + options_.max_order_delay;
    // One that was never sent goes on holding its place only while it can be.
    const HostState state = ViewOf(name, host).state;
    if (may_act || (!host.unanswered && state == HostState::kUp)) continue;
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
  host.in_flight = true;
  // Its place is free when its record is gone, not before: a later leader that
  // found it beside that of the next host would take both for ordered, order
  // both again, and let one too many be away.
  deps_.journal->Remove(KeyOf({.wave = wave, .host = name}));
  deps_.journal->WhenStored([weak = weak_from_this(), wave, name](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    Host& released = self->waves_.at(wave).hosts.at(name);
    released.in_flight = false;
    released.recorded = false;
    released.progress = HostMaintenancePhase::kPending;
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
  // Withheld first, so that what is stopped does not look for room there.
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
  if (summary == wave.logged) return;
  wave.logged = summary;
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
          .begun = host.progress == HostMaintenancePhase::kInProgress,
          .upstream = host.upstream};
}

void WaveManager::Order(Wave& wave, const std::string& name) {
  const TimePoint now = deps_.executor.Now();
  if (now < next_order_) return;
  next_order_ = now + Spacing(options_.orders_per_s);
  Host& host = wave.hosts.at(name);
  const Listed* listed = FindListed(name);
  const bool again = host.progress == HostMaintenancePhase::kRequested;
  host.progress = HostMaintenancePhase::kRequested;
  host.in_flight = true;
  if (listed != nullptr) host.upstream = listed->entry.upstream;
  const int64_t number = wave.request.wave;
  if (again) return Send(number, name);
  host.recorded = true;
  // A later leader must know of the order before it can act: else it would
  // take the host for untouched, and let one too many be away.
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
  // The store may have taken seconds: what was decided then must still hold.
  const bool holds = !fenced_ && deps_.workload.MayOrder() &&
                     (host.upstream.empty() || work.known) && work.tasks == 0;
  if (!holds) {
    host.in_flight = false;
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
  host.in_flight = false;
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
      pause_ = Millis(0);
      host.progress = HostMaintenancePhase::kInProgress;
      host.begun_at = now;
      host.unanswered.reset();
      const auto record = Encode(RecordOf(waves_.at(wave), name));
      return deps_.journal->Put(record.key, record.value);
    }
    case HostVerdict::kFenced:
      // Another leader has ordered: the same token is never used again.
      fenced_ = true;
      return deps_.on_leadership_lost("a higher fence at host " + name);
    case HostVerdict::kBusy:
      host.retry_at = now + kBusyPause;
      // Nothing was done by this order; one before it may still act.
      if (!host.unanswered) Release(wave, name);
      return;
    case HostVerdict::kNotInWave:
    case HostVerdict::kNoSuchHost:
      host.progress = HostMaintenancePhase::kExcluded;
      return;
    case HostVerdict::kRefused:
      BackOff();
      break;
    case HostVerdict::kUnknown:
      BackOff();
      host.unanswered = now;
      break;
  }
  next_order_ = std::max(next_order_, now + pause_);
}

void WaveManager::BackOff() {
  pause_ =
      pause_ == Millis(0) ? kFirstPause : std::min(kLongestPause, 2 * pause_);
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
  const ports::KeyedRecord told =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kRunning);
  StatusWriter().Put(told.key, told.value);
  const ports::KeyedRecord kept =
      Encode(WaveRecord{.wave = wave.request.wave,
                        .status = WaveStatus::kRunning,
                        .since_unix_ms = wave.since_unix_ms});
  StatusWriter().WhenStored([weak = weak_from_this(), kept](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) {
      self->deps_.journal->Put(kept.key, kept.value);
    }
  });
}

void WaveManager::Complete(Wave& wave) {
  wave.complete = true;
  deps_.metrics.Count({.name = "waves_completed"});
  logging::Event(
      Level::kInfo, "wave complete",
      {{"wave", Text(wave.request.wave)}, {"hosts", Text(wave.hosts.size())}});
  const ports::KeyedRecord told =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kComplete);
  StatusWriter().Put(told.key, told.value);
  StatusWriter().WhenStored(
      [weak = weak_from_this(), number = wave.request.wave](bool stored) {
        const auto self = weak.lock();
        if (!stored || !self || self->closed_) return;
        // Only now: an earlier record would let a later leader believe that
        // operators know.
        const Wave& done = self->waves_.at(number);
        const ports::KeyedRecord kept =
            Encode(WaveRecord{.wave = number,
                              .status = WaveStatus::kComplete,
                              .since_unix_ms = done.since_unix_ms});
        self->deps_.journal->Put(kept.key, kept.value);
        for (const auto& [name, host] : done.hosts) {
          if (!host.recorded) continue;
          self->deps_.journal->Remove(KeyOf({.wave = number, .host = name}));
        }
      });
}

}  // namespace mimosarail::maintenance
