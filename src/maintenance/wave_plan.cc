#include "src/maintenance/wave_plan.h"

#include <algorithm>
#include <tuple>

namespace mimosarail::maintenance {
namespace {

using ports::HostState;

/// The pace aims at this part of the time left, in percent: the rest is for
/// hosts that are busy, orders without an answer and a change of the leader
/// (some 4 to 6 s).
constexpr int64_t kAimPercent = 60;
/// Longest wait for work to end by itself. Work that takes longer than this and
/// saves nothing is lost; most tasks take under 10 s.
constexpr Millis kLongestDrain{10000};
/// What a drain takes when it goes well: tasks stop from a checkpoint and their
/// ends are listed.
constexpr Millis kUsualDrain{1000};

/// Hosts that still owe the wave something.
bool Owes(const HostView& host) {
  return host.listed && (host.progress == HostMaintenancePhase::kPending ||
                         host.progress == HostMaintenancePhase::kRequested);
}

/// An order in doubt may act at any moment, and the list tells of an upkeep
/// that somebody else began: both count.
bool Away(const HostView& host) {
  if (host.progress == HostMaintenancePhase::kRequested) return true;
  if (host.progress == HostMaintenancePhase::kInProgress) return host.listed;
  return host.listed && host.state == HostState::kMaintenance;
}

/// How many hosts in doubt may be ordered again now: no more may begin together
/// than may be away, whatever became of their first orders.
size_t DoubtPlaces(const WaveView& view) {
  size_t taken = 0;
  for (const HostView& host : view.hosts) {
    const bool under_way =
        host.progress == HostMaintenancePhase::kRequested && host.on_hold;
    const bool begun =
        host.progress == HostMaintenancePhase::kInProgress && host.listed;
    if (under_way || begun) ++taken;
  }
  return view.max_unavailable > taken ? view.max_unavailable - taken : 0;
}

/// How many hosts have to be away at a time to be through in the time aimed at.
size_t Pace(const WaveView& view, size_t due) {
  const size_t most = std::max<size_t>(1, view.max_unavailable);
  const int64_t aim = view.time_left.count() * kAimPercent / 100;
  if (aim <= 0) return most;
  const int64_t each = (view.maintenance_duration + kUsualDrain).count();
  const int64_t work = static_cast<int64_t>(due) * each;
  const auto needed = static_cast<size_t>((work + aim - 1) / aim);
  return std::clamp<size_t>(needed, 1, most);
}

/// How long a host may wait for its work to end: its share of the time.
Millis DrainLimit(const WaveView& view, size_t due, size_t pace) {
  if (due == 0) return kLongestDrain;
  const size_t rounds = (due + pace - 1) / pace;
  const Millis share = view.time_left * kAimPercent / 100 /
                       static_cast<int64_t>(std::max<size_t>(1, rounds));
  return std::clamp(share - view.maintenance_duration, Millis(0),
                    kLongestDrain);
}

/// What the upkeep of a draining host waits for; empty if it may begin.
std::string WaitsFor(const HostView& host) {
  if (host.on_hold) return "an answer, or a pause after one";
  if (!host.listed || host.state != HostState::kUp) return "being up";
  // What runs on an upstream that is not known would end unseen.
  if (!host.work.known) return "word of its upstream";
  if (host.work.tasks == 0) return "";
  return std::to_string(host.work.tasks) + " tasks, " +
         std::to_string(host.work.budgeted_tasks) + " of them bound";
}

/// Those in doubt first, since they hold a place already; then those that
/// drain, so that no drain is for nothing; then the cheapest.
std::vector<const HostView*> InOrder(const WaveView& view) {
  std::vector<const HostView*> out;
  for (const HostView& host : view.hosts) {
    const bool can = host.progress == HostMaintenancePhase::kRequested ||
                     host.state == HostState::kUp;
    if (Owes(host) && can) out.push_back(&host);
  }
  const auto rank = [](const HostView* host) {
    return std::tuple(host->progress != HostMaintenancePhase::kRequested,
                      !host->draining, host->work.budgeted_tasks,
                      host->work.drained_in, host->work.tasks);
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
    if (Away(host)) ++out.away;
    if (Owes(host)) ++out.pending;
  }
  if (out.pending == 0) {
    out.status = ports::WaveStatus::kComplete;
    return out;
  }
  out.pace = Pace(view, out.pending);
  out.drain_limit = DrainLimit(view, out.pending, out.pace);
  size_t places = out.pace > out.away ? out.pace - out.away : 0;
  size_t doubt_places = DoubtPlaces(view);
  // The next ones drain while these are away, as long as their work has room
  // elsewhere.
  size_t drains = places + out.pace;
  int64_t room = view.free_millicores;
  for (const HostView* host : InOrder(view)) {
    const bool in_doubt = host->progress == HostMaintenancePhase::kRequested;
    const bool its_turn = drains > out.pace;
    const bool fits = host->draining || host->work.millicores <= room;
    if (!in_doubt && (drains == 0 || (!its_turn && !fits))) continue;
    out.drain.push_back(host->host);
    room -= host->work.millicores;
    if (!in_doubt) --drains;
    const std::string waits = WaitsFor(*host);
    size_t& left = in_doubt ? doubt_places : places;
    const bool time_over =
        host->draining && host->drained_for >= out.drain_limit;
    if (left > 0 && time_over && host->work.tasks > 0) {
      out.evict.push_back(host->host);
    }
    if (!waits.empty() || left == 0) {
      // A place is kept for the one whose turn it is.
      if (!in_doubt && left > 0 && time_over) --left;
      out.drain_blockers.push_back(host->host + " for " +
                                   (waits.empty() ? "its turn" : waits));
      continue;
    }
    --left;
    out.start_maintenance.push_back(host->host);
  }
  return out;
}

}  // namespace mimosarail::maintenance
