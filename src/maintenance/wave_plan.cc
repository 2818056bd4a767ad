#include "src/maintenance/wave_plan.h"

#include <algorithm>
#include <tuple>

namespace mimosarail::maintenance {
namespace {

using ports::HostState;

/// Share of the remaining time, in percent, in which the wave is planned to
/// finish. The rest is a reserve for busy hosts, orders without an answer and a
/// change of the leader (some 4 to 6 s).
constexpr int64_t kPlannedPercent = 60;
/// Longest wait for work to end by itself. Work that takes longer than this and
/// saves no checkpoint is lost; most tasks take under 10 s.
constexpr Millis kMaxDrain{10000};
/// Typical duration of a drain without problems: tasks stop at a checkpoint and
/// their completions are listed.
constexpr Millis kTypicalDrain{1000};

/// Whether the maintenance of the host is still outstanding for the wave.
bool IsPending(const HostView& host) {
  return host.listed && (host.phase == HostMaintenancePhase::kPending ||
                         host.phase == HostMaintenancePhase::kRequested);
}

/// Whether the host counts as away. An order in doubt may take effect at any
/// moment, and the list shows maintenance begun by another party: both count.
bool IsAway(const HostView& host) {
  if (host.phase == HostMaintenancePhase::kRequested) return true;
  if (host.phase == HostMaintenancePhase::kInProgress) return host.listed;
  return host.listed && host.state == HostState::kMaintenance;
}

/// Returns how many hosts with orders in doubt may be ordered again now. Only
/// as many may begin together as may be away, whatever the outcome of their
/// first orders.
size_t RepeatSlots(const WaveView& view) {
  size_t taken = 0;
  for (const HostView& host : view.hosts) {
    const bool in_flight =
        host.phase == HostMaintenancePhase::kRequested && host.on_hold;
    const bool begun =
        host.phase == HostMaintenancePhase::kInProgress && host.listed;
    if (in_flight || begun) ++taken;
  }
  return view.max_unavailable > taken ? view.max_unavailable - taken : 0;
}

/// Returns how many hosts have to be away at a time to finish the wave in the
/// planned time.
size_t Pace(const WaveView& view, size_t pending) {
  const size_t limit = std::max<size_t>(1, view.max_unavailable);
  const int64_t planned = view.time_left.count() * kPlannedPercent / 100;
  if (planned <= 0) return limit;
  const int64_t each = (view.maintenance_duration + kTypicalDrain).count();
  const int64_t work = static_cast<int64_t>(pending) * each;
  const auto needed = static_cast<size_t>((work + planned - 1) / planned);
  return std::clamp<size_t>(needed, 1, limit);
}

/// Returns how long a host may wait for its work to end: its share of the
/// planned time.
Millis DrainLimit(const WaveView& view, size_t pending, size_t pace) {
  if (pending == 0) return kMaxDrain;
  const size_t rounds = (pending + pace - 1) / pace;
  const Millis share = view.time_left * kPlannedPercent / 100 /
                       static_cast<int64_t>(std::max<size_t>(1, rounds));
  return std::clamp(share - view.maintenance_duration, Millis(0), kMaxDrain);
}

/// Returns the condition that the maintenance of a draining host waits
/// for; empty if it may begin.
std::string BlockedBy(const HostView& host) {
  if (host.on_hold) return "the answer to an order, or the backoff after one";
  if (!host.listed || host.state != HostState::kUp) return "being up";
  // Tasks on an upstream that is not known would end unnoticed.
  if (!host.work.known) return "word of its upstream";
  if (host.work.tasks == 0) return "";
  return std::to_string(host.work.tasks) + " tasks, " +
         std::to_string(host.work.budgeted_tasks) + " of them bound";
}

/// Returns the pending hosts in the order of processing: first those with an
/// order in doubt, since they occupy a slot already; then those that drain, so
/// that no drain is wasted; then the cheapest.
std::vector<const HostView*> PendingInOrder(const WaveView& view) {
  std::vector<const HostView*> out;
  for (const HostView& host : view.hosts) {
    const bool eligible = host.phase == HostMaintenancePhase::kRequested ||
                          host.state == HostState::kUp;
    if (IsPending(host) && eligible) out.push_back(&host);
  }
  const auto rank = [](const HostView* host) {
    return std::tuple(host->phase != HostMaintenancePhase::kRequested,
                      !host->draining, host->work.budgeted_tasks,
                      host->work.drain_time, host->work.tasks);
  };
  std::stable_sort(
      out.begin(), out.end(),
      [&](const HostView* a, const HostView* b) { return rank(a) < rank(b); });
  return out;
}

}  // namespace

WaveDecision DecideWave(const WaveView& view) {
  WaveDecision out;
  for (const HostView& host : view.hosts) {
    if (IsAway(host)) ++out.away;
    if (IsPending(host)) ++out.pending;
  }
  if (out.pending == 0) {
    out.status = ports::WaveStatus::kComplete;
    return out;
  }
  out.pace = Pace(view, out.pending);
  out.drain_limit = DrainLimit(view, out.pending, out.pace);
  size_t slots = out.pace > out.away ? out.pace - out.away : 0;
  size_t repeat_slots = RepeatSlots(view);
  // Number of hosts that may drain, those with an order in doubt not counted:
  // those that get a free slot now, plus `pace` hosts that drain in advance
  // while others are away. A host begins to drain in advance only if the free
  // capacity elsewhere suffices for its work.
  size_t drains = slots + out.pace;
  int64_t free_millicores = view.free_millicores;
  for (const HostView* host : PendingInOrder(view)) {
    const bool in_doubt = host->phase == HostMaintenancePhase::kRequested;
    const bool has_free_slot = drains > out.pace;
    const bool fits =
        host->draining || host->work.millicores <= free_millicores;
    if (!in_doubt && (drains == 0 || (!has_free_slot && !fits))) continue;
    out.drain.push_back(host->host);
    free_millicores -= host->work.millicores;
    if (!in_doubt) --drains;
    const std::string blocked_by = BlockedBy(*host);
    size_t& slots_left = in_doubt ? repeat_slots : slots;
    const bool limit_passed =
        host->draining && host->draining_for >= out.drain_limit;
    if (slots_left > 0 && limit_passed && host->work.tasks > 0) {
      out.evict.push_back(host->host);
    }
    if (!blocked_by.empty() || slots_left == 0) {
      // A host past its drain limit keeps a slot reserved until its maintenance
      // can begin.
      if (!in_doubt && slots_left > 0 && limit_passed) --slots_left;
      out.drain_blockers.push_back(
          host->host + " for " +
          (blocked_by.empty() ? "its turn" : blocked_by));
      continue;
    }
    --slots_left;
    out.start_maintenance.push_back(host->host);
  }
  return out;
}

}  // namespace mimosarail::maintenance
