#include "src/maintenance/wave_manager.h"

#include <algorithm>
#include <utility>

#include "src/libs/logging/log.h"
#include "src/maintenance/host_calls.h"

namespace mimosarail::maintenance {
namespace {

using logging::Level;
using logging::Text;
using ports::HostState;
using ports::WaveStatus;

constexpr Millis kTick{100};
/// Minimum time between two readings of the host list while hosts are expected
/// back from maintenance. It limits the cost of the readings.
constexpr Millis kAwaitedListPeriod{500};
/// Minimum time between two readings while the upstream of a pending host is
/// unknown, partitioned or down, which lasts about 3 to 7 s.
constexpr Millis kChangedListPeriod{1000};
/// Time between two readings while no change is expected. These readings only
/// find hosts that have left or come up.
constexpr Millis kIdleListPeriod{3000};
/// Consecutive complete readings without a host after which it counts as
/// permanently removed, unless its upstream answers. One reading may miss a
/// host, because its pages are not one snapshot.
constexpr int kRemovedAfterReadings = 2;

std::string Text(size_t value) { return std::to_string(value); }

std::string Join(const std::vector<std::string>& names,
                 const char* separator = " ") {
  std::string out;
  for (const std::string& name : names) {
    out += (out.empty() ? "" : separator) + name;
  }
  return out;
}

}  // namespace

WaveManager::WaveManager(Dependencies deps, WaveManagerOptions options)
    : deps_(std::move(deps)), options_(std::move(options)) {}

bool WaveManager::Load(const ports::KeyedRecord& record) {
  if (!IsHostKey(record.key)) {
    const auto wave = DecodeWave(record);
    if (!wave) return false;
    Wave& loaded = waves_[wave->wave];
    loaded.running_reported = true;
    loaded.complete = wave->status == WaveStatus::kComplete;
    loaded.first_seen_unix_ms = wave->first_seen_unix_ms;
    return true;
  }
  const auto stored = DecodeHost(record);
  if (!stored) return false;
  Host& host = waves_[stored->wave].hosts[stored->host];
  const TimePoint now = deps_.executor.Now();
  host.upstream = stored->upstream;
  host.has_record = true;
  host.phase = stored->begun ? HostMaintenancePhase::kInProgress
                             : HostMaintenancePhase::kRequested;
  host.begun_at = now;
  // The order of the earlier leader may still be in flight.
  host.unanswered_at = now;
  // Delays the orders of all waves: another wave may include the same host, and
  // two leaders would order its maintenance alternately.
  next_order_at_ = now + options_.host_holder_timeout;
  return true;
}

void WaveManager::Start() { Tick(); }

void WaveManager::Close() {
  closed_ = true;
  if (status_journal_) status_journal_->Close();
}

void WaveManager::Tick() {
  if (closed_) return;
  AdoptRequestedWaves();
  // While no orders may be sent, cordoned upstreams stay cordoned, because an
  // order may be in flight.
  if (!fenced_ && deps_.workload.MayOrderMaintenance()) {
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

void WaveManager::AdoptRequestedWaves() {
  for (const auto& [number, request] : deps_.waves()) {
    Wave& wave = waves_[number];
    if (wave.complete || wave.requested) continue;
    wave.requested = true;
    wave.request = request;
    for (const std::string& name : request.hosts) wave.hosts[name];
    if (wave.first_seen_unix_ms == 0) {
      wave.first_seen_unix_ms = deps_.executor.UnixMillis();
    }
    logging::Event(Level::kInfo, "wave adopted",
                   {{"wave", Text(number)},
                    {"hosts", Text(request.hosts.size())},
                    {"most_at_once", Text(request.max_unavailable)},
                    {"duration_ms", Text(int64_t{request.duration.count()})},
                    {"announced_before", wave.running_reported ? "yes" : "no"},
                    {"term", Text(options_.term)}});
    if (!wave.running_reported) ReportRunning(wave);
  }
}

bool WaveManager::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const Wave& wave = entry.second;
    return wave.requested && !wave.complete;
  });
}

bool WaveManager::IsListReadDue() const {
  const TimePoint now = deps_.executor.Now();
  if (!list_read_once_) return true;
  if (now - list_read_at_ >= kIdleListPeriod) return true;
  if (now - list_read_at_ < kAwaitedListPeriod) return false;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [name, host] : wave.hosts) {
      // The host can't be back before the maintenance duration has passed.
      const bool may_be_back =
          host.phase == HostMaintenancePhase::kInProgress &&
          now >= host.begun_at + options_.maintenance_duration;
      if (!wave.complete && may_be_back) return true;
      // If the upstream of the host has ended or is unreachable, the host may
      // run another upstream by now.
      const ListedHost* listed = FindListed(name);
      const bool changed = host.phase == HostMaintenancePhase::kPending &&
                           listed != nullptr && listed->missed_readings == 0 &&
                           !listed->entry.upstream.empty() &&
                           !deps_.workload.WorkOn(listed->entry.upstream).known;
      if (!wave.complete && changed &&
          now - list_read_at_ >= kChangedListPeriod) {
        return true;
      }
    }
  }
  return false;
}

void WaveManager::ReadListIfDue() {
  if (list_read_in_progress_ || deps_.executor.Now() < next_list_read_at_ ||
      !IsListReadDue()) {
    return;
  }
  list_read_in_progress_ = true;
  auto reading = std::make_shared<ListReading>();
  reading->begun_at = deps_.executor.Now();
  ReadPage("", reading);
}

void WaveManager::ReadPage(const std::string& after,
                           std::shared_ptr<ListReading> reading) {
  deps_.metrics.Count({.name = "host_list_reads"});
  deps_.hosts.ListHosts(
      after, kCallTimeout,
      [weak = weak_from_this(), reading](const Result<ports::HostPage>& page) {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        if (page.ok()) return self->OnPage(page.value(), reading);
        logging::Event(Level::kWarning, "host list not read",
                       {{"cause", page.error().message}});
        self->list_read_in_progress_ = false;
        self->IncreaseBackoff();
        self->next_list_read_at_ = self->deps_.executor.Now() + self->backoff_;
      });
}

void WaveManager::OnPage(const ports::HostPage& page,
                         std::shared_ptr<ListReading> reading) {
  for (const ports::HostEntry& host : page.hosts) {
    reading->hosts[host.host] = host;
  }
  if (page.next_page_token.empty()) return OnList(*reading);
  deps_.executor.RunAfter(
      MinInterval(options_.lists_per_s),
      [weak = weak_from_this(), token = page.next_page_token, reading] {
        const auto self = weak.lock();
        if (!self || self->closed_) return;
        self->ReadPage(token, reading);
      });
}

void WaveManager::OnList(const ListReading& reading) {
  list_read_in_progress_ = false;
  backoff_ = Millis(0);
  list_read_at_ = deps_.executor.Now();
  next_list_read_at_ = list_read_at_ + MinInterval(options_.lists_per_s);
  const auto duration =
      std::chrono::duration_cast<Millis>(list_read_at_ - reading.begun_at);
  logging::Event(Level::kDebug, "host list read",
                 {{"hosts", Text(reading.hosts.size())},
                  {"took_ms", Text(int64_t{duration.count()})}});
  for (auto& [name, listed] : listed_hosts_) ++listed.missed_readings;
  for (const auto& [name, entry] : reading.hosts) {
    listed_hosts_[name] = {.entry = entry};
  }
  // A host of a wave that was never listed counts as missing from now on.
  for (auto& [number, wave] : waves_) {
    for (const auto& [name, host] : wave.hosts) {
      listed_hosts_.try_emplace(
          name, ListedHost{.entry = {.host = name}, .missed_readings = 1});
    }
    RecordCompletedMaintenance(wave, reading.begun_at);
  }
  list_read_once_ = true;
}

void WaveManager::RecordCompletedMaintenance(Wave& wave,
                                             TimePoint read_begun_at) {
  for (auto& [name, host] : wave.hosts) {
    if (host.phase != HostMaintenancePhase::kInProgress) continue;
    // Only a reading that began after the reply to the order shows the state of
    // the host since then. An older reading may show a host as up that was up
    // before its maintenance.
    if (read_begun_at <= host.begun_at) continue;
    RecordUpstreamEnded(name, host);
    const ListedHost* listed = FindListed(name);
    const bool removed =
        listed == nullptr || listed->missed_readings >= kRemovedAfterReadings;
    const HostState state = removed ? HostState::kDown : listed->entry.state;
    const bool duration_passed =
        read_begun_at > host.begun_at + options_.maintenance_duration;
    const bool back = state == HostState::kUp ||
                      (duration_passed && state != HostState::kMaintenance &&
                       state != HostState::kUnknown);
    if (!back) continue;
    host.phase = HostMaintenancePhase::kCompleted;
    host.draining_since.reset();
    logging::Event(Level::kInfo, "maintenance completed",
                   {{"wave", Text(wave.request.wave)},
                    {"host", name},
                    {"state", std::string(ports::kHostStateNames.Name(state))},
                    {"listed", removed ? "no" : "yes"}});
  }
}

void WaveManager::RecordUpstreamEnded(const std::string& name, Host& host) {
  // The reply to the order does not prove that the upstream has ended: the
  // reply is the same if the maintenance took place earlier and the host runs
  // another upstream since. Reported as ended without proof, a live upstream
  // would be dropped permanently with all its tasks.
  const ListedHost* listed = FindListed(name);
  if (host.upstream_ended || host.upstream.empty() || listed == nullptr) return;
  if (listed->missed_readings > 0) return;
  const ports::HostEntry& entry = listed->entry;
  const bool runs_another_upstream = entry.state == HostState::kUp &&
                                     !entry.upstream.empty() &&
                                     entry.upstream != host.upstream;
  if (!runs_another_upstream && entry.state != HostState::kMaintenance) return;
  host.upstream_ended = true;
  // This also removes the stored record of the upstream, so that a later leader
  // does not wait until the leases there have expired.
  deps_.workload.OnUpstreamEnded(host.upstream);
}

const WaveManager::ListedHost* WaveManager::FindListed(
    const std::string& host) const {
  const auto found = listed_hosts_.find(host);
  return found == listed_hosts_.end() ? nullptr : &found->second;
}

bool WaveManager::IsRemoved(const ListedHost& listed) const {
  if (listed.missed_readings < kRemovedAfterReadings) return false;
  const std::string& upstream = listed.entry.upstream;
  return upstream.empty() || !deps_.workload.WorkOn(upstream).reachable;
}

HostView WaveManager::BuildHostView(const std::string& name,
                                    const Host& host) const {
  const TimePoint now = deps_.executor.Now();
  const ListedHost* listed = FindListed(name);
  HostView out{.host = name, .phase = host.phase};
  out.listed = listed != nullptr && !IsRemoved(*listed);
  // The state of a host that is missing from the last reading is unknown.
  const bool in_last_reading =
      listed != nullptr && listed->missed_readings == 0;
  out.state = in_last_reading ? listed->entry.state : HostState::kUnknown;
  out.on_hold = host.operation_pending || now < host.retry_at;
  out.draining = host.draining_since.has_value();
  if (out.draining) {
    out.draining_for =
        std::chrono::duration_cast<Millis>(now - *host.draining_since);
  }
  // A host that is up without an upstream is a standby: no task runs there.
  const bool standby = in_last_reading && listed->entry.upstream.empty();
  if (in_last_reading && !standby) {
    out.work = deps_.workload.WorkOn(listed->entry.upstream);
  }
  return out;
}

WaveView WaveManager::BuildWaveView(const Wave& wave) const {
  const Millis elapsed(std::max<int64_t>(
      0, deps_.executor.UnixMillis() - wave.first_seen_unix_ms));
  WaveView out{
      .wave = wave.request.wave,
      .max_unavailable = wave.request.max_unavailable,
      .time_left = std::max(Millis(0), wave.request.duration - elapsed),
      .maintenance_duration = options_.maintenance_duration,
      .free_millicores = deps_.workload.FreeMillicores(),
  };
  for (const auto& [name, host] : wave.hosts) {
    out.hosts.push_back(BuildHostView(name, host));
  }
  return out;
}

void WaveManager::ApplyDecision(Wave& wave, std::set<std::string>& cordoned) {
  // Ordered maintenance may begin at any moment. The upstreams that ran on the
  // hosts at the time of the order are cordoned, even before the list is read.
  for (const auto& [name, host] : wave.hosts) {
    const bool ordered = host.phase == HostMaintenancePhase::kRequested ||
                         host.phase == HostMaintenancePhase::kInProgress;
    if (ordered && !host.upstream.empty()) cordoned.insert(host.upstream);
  }
  if (!list_read_once_ || !wave.requested) return;
  ResetLostOrders(wave);
  const WaveView view = BuildWaveView(wave);
  const WaveDecision decision = DecideWave(view);
  LogDecision(wave, view, decision);
  ApplyDrains(wave, decision, cordoned);
  for (const std::string& name : decision.start_maintenance) {
    OrderMaintenance(wave, name);
  }
  if (decision.status == WaveStatus::kComplete) ReportComplete(wave);
}

void WaveManager::ApplyDrains(Wave& wave, const WaveDecision& decision,
                              std::set<std::string>& cordoned) {
  const std::set<std::string> drain(decision.drain.begin(),
                                    decision.drain.end());
  for (auto& [name, host] : wave.hosts) {
    if (drain.count(name) == 0) {
      host.draining_since.reset();
      continue;
    }
    const ListedHost* listed = FindListed(name);
    if (listed == nullptr || listed->entry.upstream.empty()) continue;
    if (!host.draining_since) host.draining_since = deps_.executor.Now();
    cordoned.insert(listed->entry.upstream);
  }
  // Cordoned first, so that the evicted tasks are not placed there again.
  SetCordoned(cordoned);
  const std::set<std::string> evict(decision.evict.begin(),
                                    decision.evict.end());
  for (const std::string& name : decision.drain) {
    const ListedHost* listed = FindListed(name);
    if (listed == nullptr) continue;
    deps_.workload.EvictTasks(listed->entry.upstream, evict.count(name) > 0);
  }
}

void WaveManager::LogDecision(Wave& wave, const WaveView& view,
                              const WaveDecision& decision) {
  const std::string summary =
      Join(decision.drain) + "|" + Join(decision.start_maintenance) + "|" +
      Text(decision.unavailable_count) + "|" + Text(decision.pending_count);
  if (summary == wave.logged_summary) return;
  wave.logged_summary = summary;
  logging::Event(
      Level::kInfo, "wave decided",
      {{"wave", Text(view.wave)},
       {"due", Text(decision.pending_count)},
       {"away", Text(decision.unavailable_count)},
       {"pace", Text(decision.target_unavailable)},
       {"most_at_once", Text(view.max_unavailable)},
       {"time_left_ms", Text(int64_t{view.time_left.count()})},
       {"drain_limit_ms", Text(int64_t{decision.drain_limit.count()})},
       {"drain", Join(decision.drain)},
       {"send", Join(decision.start_maintenance)},
       {"waits", Join(decision.drain_blockers, ", ")}});
}

journal::Journal& WaveManager::StatusJournal() {
  if (status_journal_) return *status_journal_;
  status_journal_ = std::make_shared<journal::Journal>(
      deps_.executor, deps_.store,
      journal::JournalOptions{.table = deps_.wave_status.status_table(),
                              .writer = "maintenance",
                              .epoch = options_.term},
      [this] {
        deps_.on_leadership_lost(
            "a later leader has fenced the writer of wave statuses");
      });
  status_journal_->Open([] {});
  return *status_journal_;
}

void WaveManager::ReportRunning(Wave& wave) {
  wave.running_reported = true;
  const ports::KeyedRecord status =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kRunning);
  StatusJournal().Put(status.key, status.value);
  const ports::KeyedRecord record =
      Encode(WaveRecord{.wave = wave.request.wave,
                        .status = WaveStatus::kRunning,
                        .first_seen_unix_ms = wave.first_seen_unix_ms});
  StatusJournal().WhenStored([weak = weak_from_this(), record](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) {
      self->deps_.journal->Put(record.key, record.value);
    }
  });
}

void WaveManager::ReportComplete(Wave& wave) {
  wave.complete = true;
  deps_.metrics.Count({.name = "waves_completed"});
  logging::Event(
      Level::kInfo, "wave complete",
      {{"wave", Text(wave.request.wave)}, {"hosts", Text(wave.hosts.size())}});
  const ports::KeyedRecord status =
      deps_.wave_status.EncodeStatus(wave.request.wave, WaveStatus::kComplete);
  StatusJournal().Put(status.key, status.value);
  StatusJournal().WhenStored(
      [weak = weak_from_this(), number = wave.request.wave](bool stored) {
        const auto self = weak.lock();
        if (!stored || !self || self->closed_) return;
        // The record is stored only after the status: a later leader that finds
        // the record assumes that the status has been reported to operators.
        const Wave& done = self->waves_.at(number);
        const ports::KeyedRecord record =
            Encode(WaveRecord{.wave = number,
                              .status = WaveStatus::kComplete,
                              .first_seen_unix_ms = done.first_seen_unix_ms});
        self->deps_.journal->Put(record.key, record.value);
        for (const auto& [name, host] : done.hosts) {
          if (!host.has_record) continue;
          self->deps_.journal->Remove(KeyOf({.wave = number, .host = name}));
        }
      });
}

}  // namespace mimosarail::maintenance
