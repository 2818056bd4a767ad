#include "src/maintenance/wave_plan.h"

#include <algorithm>
#include <tuple>

namespace mimosarail::maintenance {
namespace {

using ports::HostState;

/// Share of the remaining time, in percent, in which the wave is planned to
/// finish. The rest is a reserve for busy hosts, orders without an answer and a
/// takeover by a new leader (some 4 to 6 s).
constexpr int64_t kPlannedPercent = 60;
/// Longest wait for the tasks of a host to end by themselves. A task that takes
/// longer and saves no checkpoint loses its progress; most tasks take under
/// 10 s.
constexpr Millis kMaxDrain{10000};
/// Typical duration of a drain in which tasks stop at a checkpoint and their
/// completions are reported.
constexpr Millis kTypicalDrain{1000};

/// Whether the maintenance of the host has yet to begin, as far as is known.
bool IsPending(const HostView& host) {
  return host.listed && (host.phase == HostMaintenancePhase::kPending ||
                         host.phase == HostMaintenancePhase::kRequested);
}

/// Whether the host counts as away. An order in doubt may take effect at any
/// moment, and the list shows maintenance begun by another party: both count.
bool CountsAsUnavailable(const HostView& host) {
  if (host.phase == HostMaintenancePhase::kRequested) return true;
  if (host.phase == HostMaintenancePhase::kInProgress) return host.listed;
  return host.listed && host.state == HostState::kMaintenance;
}

/// Returns how many orders in doubt may be repeated now. Whatever the outcome
/// of the first orders, the repeated ones must not let more hosts be away than
/// `max_unavailable`.
size_t SlotsForRepeatedOrders(const WaveView& view) {
  size_t occupied = 0;
  for (const HostView& host : view.hosts) {
    const bool in_flight =
        host.phase == HostMaintenancePhase::kRequested && host.on_hold;
    const bool begun =
        host.phase == HostMaintenancePhase::kInProgress && host.listed;
    if (in_flight || begun) ++occupied;
  }
  return view.max_unavailable > occupied ? view.max_unavailable - occupied : 0;
}

/// Returns how many hosts have to be away at a time to finish the wave in the
/// planned time.
size_t TargetUnavailable(const WaveView& view, size_t pending) {
  const size_t limit = std::max<size_t>(1, view.max_unavailable);
  const int64_t planned_time = view.time_left.count() * kPlannedPercent / 100;
  if (planned_time <= 0) return limit;
  const int64_t time_per_host =
      (view.maintenance_duration + kTypicalDrain).count();
  const int64_t total_time = static_cast<int64_t>(pending) * time_per_host;
  const auto needed =
      static_cast<size_t>((total_time + planned_time - 1) / planned_time);
  return std::clamp<size_t>(needed, 1, limit);
}

/// Returns how long a host may wait for its tasks to end. The planned time is
/// divided by the number of batches of `target_unavailable` hosts.
Millis DrainLimit(const WaveView& view, size_t pending,
                  size_t target_unavailable) {
  if (pending == 0) return kMaxDrain;
  const size_t batches =
      (pending + target_unavailable - 1) / target_unavailable;
  const Millis time_per_batch =
      view.time_left * kPlannedPercent / 100 /
      static_cast<int64_t>(std::max<size_t>(1, batches));
  return std::clamp(time_per_batch - view.maintenance_duration, Millis(0),
                    kMaxDrain);
}

/// Returns why the maintenance of a draining host can't begin yet; empty if it
/// can.
std::string DrainBlocker(const HostView& host) {
  if (host.on_hold) return "order in flight or in backoff";
  if (!host.listed || host.state != HostState::kUp) return "host is not up";
  // Without this check, tasks that are not known here would end unnoticed.
  if (!host.work.known) return "tasks of its upstream are not known";
  if (host.work.tasks == 0) return "";
  return std::to_string(host.work.tasks) + " tasks, " +
         std::to_string(host.work.budgeted_tasks) +
         " of them with an unavailability limit";
}

/// Returns the pending hosts in the order of processing. Hosts with an order in
/// doubt come first, since they count as away already. Draining hosts follow,
/// so that no drain is wasted, and then the hosts that are cheapest to drain.
std::vector<const HostView*> PendingHostsByPriority(const WaveView& view) {
  std::vector<const HostView*> out;
  for (const HostView& host : view.hosts) {
    const bool eligible = host.phase == HostMaintenancePhase::kRequested ||
                          host.state == HostState::kUp;
    if (IsPending(host) && eligible) out.push_back(&host);
  }
  const auto sort_key = [](const HostView* host) {
    return std::tuple(host->phase != HostMaintenancePhase::kRequested,
                      !host->draining, host->work.budgeted_tasks,
                      host->work.drain_time, host->work.tasks);
  };
  std::stable_sort(out.begin(), out.end(),
                   [&](const HostView* a, const HostView* b) {
                     return sort_key(a) < sort_key(b);
                   });
  return out;
}

}  // namespace

WaveDecision DecideWave(const WaveView& view) {
  WaveDecision out;
  for (const HostView& host : view.hosts) {
    if (CountsAsUnavailable(host)) ++out.unavailable_count;
    if (IsPending(host)) ++out.pending_count;
  }
  if (out.pending_count == 0) {
    out.status = ports::WaveStatus::kComplete;
    return out;
  }
  out.target_unavailable = TargetUnavailable(view, out.pending_count);
  out.drain_limit = DrainLimit(view, out.pending_count, out.target_unavailable);
  size_t free_slots = out.target_unavailable > out.unavailable_count
                          ? out.target_unavailable - out.unavailable_count
                          : 0;
  size_t slots_for_repeats = SlotsForRepeatedOrders(view);
  // A free slot allows one more host to be away. The hosts that get one drain,
  // and `target_unavailable` more hosts drain in advance while others are away.
  // A host begins to drain in advance only if the free capacity elsewhere
  // suffices for its tasks. Hosts with an order in doubt are not counted.
  size_t drains_left = free_slots + out.target_unavailable;
  int64_t free_millicores = view.free_millicores;
  for (const HostView* host : PendingHostsByPriority(view)) {
    const bool in_doubt = host->phase == HostMaintenancePhase::kRequested;
    const bool has_free_slot = drains_left > out.target_unavailable;
    const bool fits =
        host->draining || host->work.millicores <= free_millicores;
    if (!in_doubt && (drains_left == 0 || (!has_free_slot && !fits))) continue;
    out.drain.push_back(host->host);
    free_millicores -= host->work.millicores;
    if (!in_doubt) --drains_left;
    const std::string blocker = DrainBlocker(*host);
    size_t& slots_left = in_doubt ? slots_for_repeats : free_slots;
    const bool drain_limit_passed =
        host->draining && host->draining_for >= out.drain_limit;
    if (slots_left > 0 && drain_limit_passed && host->work.tasks > 0) {
      out.evict.push_back(host->host);
    }
    if (!blocker.empty() || slots_left == 0) {
      // A host past its drain limit keeps a slot reserved until its maintenance
      // can begin.
      if (!in_doubt && slots_left > 0 && drain_limit_passed) --slots_left;
      out.drain_blockers.push_back(
          host->host + ": " + (blocker.empty() ? "no free slot" : blocker));
      continue;
    }
    --slots_left;
    out.start_maintenance.push_back(host->host);
  }
  return out;
}

}  // namespace mimosarail::maintenance
