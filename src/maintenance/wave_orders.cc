// The part of WaveManager that orders the maintenance of hosts.

#include <algorithm>

#include "src/libs/logging/log.h"
#include "src/maintenance/host_calls.h"
#include "src/maintenance/wave_manager.h"

namespace mimosarail::maintenance {
namespace {

using logging::Level;
using logging::Text;
using ports::HostState;
using ports::HostVerdict;

/// Backoff after a refused or unanswered call; doubles up to the maximum.
constexpr Millis kMinBackoff{250};
constexpr Millis kMaxBackoff{4000};
/// Delay before a busy host is ordered again.
constexpr Millis kBusyRetryDelay{1000};

}  // namespace

void WaveManager::OrderMaintenance(Wave& wave, const std::string& name) {
  const TimePoint now = deps_.executor.Now();
  if (now < next_order_at_) return;
  next_order_at_ = now + MinInterval(options_.orders_per_s);
  Host& host = wave.hosts.at(name);
  const ListedHost* listed = FindListed(name);
  const bool repeated = host.phase == HostMaintenancePhase::kRequested;
  host.phase = HostMaintenancePhase::kRequested;
  host.operation_pending = true;
  if (listed != nullptr) host.upstream = listed->entry.upstream;
  const int64_t number = wave.request.wave;
  if (repeated) return SendOrder(number, name);
  host.has_record = true;
  // The order is stored before it can take effect. A later leader that did not
  // know of it would treat the host as pending, and let one host too many be
  // away.
  const ports::KeyedRecord record = Encode(RecordOf(wave, name));
  deps_.journal->Put(record.key, record.value);
  deps_.journal->WhenStored(
      [weak = weak_from_this(), number, name](bool stored) {
        const auto self = weak.lock();
        if (stored && self && !self->closed_) self->SendOrder(number, name);
      });
}

void WaveManager::SendOrder(int64_t wave, const std::string& name) {
  Host& host = waves_.at(wave).hosts.at(name);
  const HostWork work = deps_.workload.WorkOn(host.upstream);
  // Storing the order may have taken seconds, so the conditions are checked
  // again.
  const bool valid = !fenced_ && deps_.workload.MayOrderMaintenance() &&
                     (host.upstream.empty() || work.known) && work.tasks == 0;
  if (!valid) {
    host.operation_pending = false;
    return;
  }
  host.upstream_ended = false;
  deps_.metrics.Count({.name = "upkeep_orders"});
  logging::Event(Level::kInfo, "maintenance ordered",
                 {{"wave", Text(wave)},
                  {"host", name},
                  {"upstream", host.upstream},
                  {"tasks_there", Text(int64_t{work.tasks})},
                  {"in_doubt", host.unanswered_at ? "yes" : "no"},
                  {"fence", Text(options_.term)}});
  deps_.hosts.BeginMaintenance(
      {.host = name,
       .wave = wave,
       .holder = options_.holder,
       .fence = options_.term},
      kCallTimeout,
      [weak = weak_from_this(), wave, name](const ports::HostReply& reply) {
        const auto self = weak.lock();
        if (self && !self->closed_) self->OnOrderReply(wave, name, reply);
      });
}

void WaveManager::OnOrderReply(int64_t wave, const std::string& name,
                               const ports::HostReply& reply) {
  const TimePoint now = deps_.executor.Now();
  Host& host = waves_.at(wave).hosts.at(name);
  host.operation_pending = false;
  const std::string verdict(ports::kHostVerdictNames.Name(reply.verdict));
  deps_.metrics.Count(
      {.name = "upkeep_answers", .labels = {{"verdict", verdict}}});
  logging::Event(
      reply.verdict == HostVerdict::kDone ? Level::kInfo : Level::kWarning,
      "maintenance order answered",
      {{"wave", Text(wave)},
       {"host", name},
       {"verdict", verdict},
       {"detail", reply.detail}});
  switch (reply.verdict) {
    case HostVerdict::kDone: {
      backoff_ = Millis(0);
      host.phase = HostMaintenancePhase::kInProgress;
      host.begun_at = now;
      host.unanswered_at.reset();
      const auto record = Encode(RecordOf(waves_.at(wave), name));
      return deps_.journal->Put(record.key, record.value);
    }
    case HostVerdict::kFenced:
      // A later leader has sent orders, so this token is never used again.
      fenced_ = true;
      return deps_.on_leadership_lost("a higher fencing token at host " + name);
    case HostVerdict::kBusy:
      host.retry_at = now + kBusyRetryDelay;
      // This order had no effect. An earlier one without an answer may still
      // take effect.
      if (!host.unanswered_at) ResetToPending(wave, name);
      return;
    case HostVerdict::kNotInWave:
    case HostVerdict::kNoSuchHost:
      host.phase = HostMaintenancePhase::kExcluded;
      return;
    case HostVerdict::kRefused:
      IncreaseBackoff();
      break;
    case HostVerdict::kUnknown:
      IncreaseBackoff();
      host.unanswered_at = now;
      break;
  }
  next_order_at_ = std::max(next_order_at_, now + backoff_);
}

void WaveManager::IncreaseBackoff() {
  backoff_ =
      backoff_ == Millis(0) ? kMinBackoff : std::min(kMaxBackoff, 2 * backoff_);
}

void WaveManager::ResetLostOrders(Wave& wave) {
  const TimePoint now = deps_.executor.Now();
  for (auto& [name, host] : wave.hosts) {
    if (host.phase != HostMaintenancePhase::kRequested ||
        host.operation_pending) {
      continue;
    }
    const bool may_take_effect =
        host.unanswered_at &&
        now <= *host.unanswered_at + options_.max_order_delay;
    // An order that was refused, or was stored but not sent, keeps its slot
    // while the host is up, so that it can be sent again.
    const HostState state = BuildHostView(name, host).state;
    if (may_take_effect || (!host.unanswered_at && state == HostState::kUp)) {
      continue;
    }
    logging::Event(
        Level::kWarning, "maintenance order had no effect",
        {{"wave", Text(wave.request.wave)},
         {"host", name},
         {"state", std::string(ports::kHostStateNames.Name(state))}});
    ResetToPending(wave.request.wave, name);
  }
}

void WaveManager::ResetToPending(int64_t wave, const std::string& name) {
  Host& host = waves_.at(wave).hosts.at(name);
  host.unanswered_at.reset();
  host.operation_pending = true;
  // The slot becomes free only after the record is removed. Otherwise a later
  // leader could find the record beside that of the next host. It would treat
  // both as ordered, order both again, and let one host too many be away.
  deps_.journal->Remove(KeyOf({.wave = wave, .host = name}));
  deps_.journal->WhenStored([weak = weak_from_this(), wave, name](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    Host& host = self->waves_.at(wave).hosts.at(name);
    host.operation_pending = false;
    host.has_record = false;
    host.phase = HostMaintenancePhase::kPending;
  });
}

HostRecord WaveManager::RecordOf(const Wave& wave,
                                 const std::string& name) const {
  const Host& host = wave.hosts.at(name);
  return {.wave = wave.request.wave,
          .host = name,
          .begun = host.phase == HostMaintenancePhase::kInProgress,
          .upstream = host.upstream};
}

}  // namespace mimosarail::maintenance
