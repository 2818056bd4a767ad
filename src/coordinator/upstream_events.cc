// The part of Coordinator that handles what the links to the upstreams report.

#include <algorithm>

#include "src/coordinator/coordinator.h"
#include "src/coordinator/job_table.h"
#include "src/libs/logging/log.h"

namespace mimosarail::coordinator {
namespace {

using logging::Level;
using logging::Text;
using scheduling::Orders;
using scheduling::UpstreamLoss;

std::string MillisBetween(TimePoint from, TimePoint until) {
  return Text(std::chrono::duration_cast<Millis>(until - from).count());
}

}  // namespace

bool Coordinator::MaySendOrders() {
  return !closed_ && deps_.leader_lease_valid();
}

void Coordinator::OnReport(UpstreamIndex upstream,
                           const std::vector<ports::RunningTask>& running,
                           const std::vector<ports::EndedTask>& ended) {
  const TimePoint now = deps_.executor.Now();
  Orders orders;
  for (const ports::EndedTask& completion : ended) {
    deps_.metrics.Count(
        {.name = "task_ends",
         .labels = {{"how", std::string(
                                ports::kEndKindNames.Name(completion.kind))}}});
    if (completion.kind != ports::EndKind::kDone) {
      logging::Event(
          Level::kInfo, "task ended early",
          {{"task", TaskIdText(completion.task)},
           {"attempt", Text(completion.attempt)},
           {"upstream", scheduler_.pool().at(upstream).entry.id},
           {"how", std::string(ports::kEndKindNames.Name(completion.kind))}});
    }
    StoreUnmatchedCompletion(completion);
    NoteFinishedRun(upstream, completion);
    NoteFailedRun(upstream, completion);
    scheduler_.OnEnd(upstream, completion, now, orders);
  }
  scheduler_.OnRunning(upstream, running, now, orders);
  ExecuteOrders(orders);
  if (ended.empty()) return;
  SchedulePlacement();
  const int64_t last_completion = ended.back().number;
  journal_->WhenStored(
      [weak = weak_from_this(), upstream, last_completion,
       restarts = links_.at(upstream)->restarts()](bool stored) {
        const auto self = weak.lock();
        if (!stored || !self || self->closed_) return;
        const auto link = self->links_.find(upstream);
        if (link != self->links_.end()) {
          link->second->AcknowledgeCompletions(restarts, last_completion);
        }
      });
}

void Coordinator::OnReachable(UpstreamIndex upstream, bool reachable) {
  scheduling::Upstream& it = scheduler_.pool().at(upstream);
  scheduler_.pool().SetReachable(upstream, reachable, deps_.executor.Now());
  if (!reachable) {
    if (!it.closed) CloseUpstream(upstream);
    return;
  }
  NoteAnswerOfDropped(upstream);
  inherited_closures_.erase(it.entry.id);
  // OnRestarted() stores an open record, also if the upstream drains.
  if (it.entry.draining) CloseUpstream(upstream);
  if (!it.entry.draining && it.closed) ReopenUpstream(upstream);
  ResolveWhenRunningTasksKnown();
  SchedulePlacement();
}

void Coordinator::OnAllRunsEnded(UpstreamIndex upstream, UpstreamLoss why) {
  if (why == UpstreamLoss::kCrashed &&
      scheduler_.pool().at(upstream).entry.draining) {
    why = UpstreamLoss::kLeft;
  }
  Orders orders;
  scheduler_.OnAllRunsEnded(upstream, why, deps_.executor.Now(), orders);
  ExecuteOrders(orders);
  // An upstream whose leases expired is kept while it is listed, or while one
  // of its runs may have crashed it.
  const scheduling::Upstream& it = scheduler_.pool().at(upstream);
  const bool ended = why != UpstreamLoss::kLeasesExpired ||
                     (!it.listed && !scheduler_.AwaitsFate(it.entry.id));
  if (ended) DropUpstream(upstream, why);
  ResolveWhenRunningTasksKnown();
  SchedulePlacement();
}

void Coordinator::OnLeasesExpired(UpstreamIndex upstream,
                                  const scheduling::RunSet& remaining) {
  deps_.metrics.Count({.name = "runs_held"},
                      static_cast<int64_t>(remaining.size()));
  Orders orders;
  scheduler_.OnLeasesExpired(upstream, remaining, deps_.executor.Now(), orders);
  ExecuteOrders(orders);
  SchedulePlacement();
}

void Coordinator::OnRestarted(UpstreamIndex upstream, int64_t incarnation,
                              const scheduling::RunSet& remaining) {
  Orders orders;
  scheduler_.OnRestarted(upstream, incarnation, remaining, deps_.executor.Now(),
                         orders);
  ExecuteOrders(orders);
  // A later leader needs the start of this incarnation to calculate how long
  // the leases there last, see fleet::TaskLeases. The record is not closed, as
  // its jobs are those of the previous incarnation. Its capacity may be that of
  // the previous incarnation: a later leader places nothing there before it has
  // read a list entry of this one.
  const ports::UpstreamEntry& entry = scheduler_.pool().at(upstream).entry;
  journal_->Put(UpstreamKey(entry.id), EncodeUpstream(ToUpstreamRecord(entry)));
}

void Coordinator::DropUpstream(UpstreamIndex upstream, UpstreamLoss why) {
  const scheduling::Upstream& it = scheduler_.pool().at(upstream);
  const std::string id = it.entry.id;
  const std::string why_name(scheduling::kUpstreamLossNames.Name(why));
  const TimePoint now = deps_.executor.Now();
  const TimePoint silent_since =
      it.reachable ? now : it.unresponsive_since.value_or(it.known_since);
  deps_.metrics.Count(
      {.name = "upstreams_dropped", .labels = {{"why", why_name}}});
  logging::Event(Level::kInfo, "upstream dropped",
                 {{"upstream", id},
                  {"why", why_name},
                  {"silent_ms", MillisBetween(silent_since, now)},
                  {"listed", it.listed ? "yes" : "no"},
                  {"incarnation", Text(it.entry.incarnation)}});
  // After maintenance another incarnation returns under the id, perhaps without
  // reporting that it is another one.
  if (why != UpstreamLoss::kMaintenance) {
    dropped_upstreams_.Add(id, {.incarnation = it.entry.incarnation,
                                .why = why,
                                .silent_since = silent_since,
                                .dropped_at = now});
  }
  journal_->Remove(UpstreamKey(id));
  // The upstream may come back under the same id, and has then seen all fencing
  // tokens that this link used. A link opened with an earlier token would be
  // fenced as if another entry led, and this entry would step down.
  next_fence_ = std::max(next_fence_, links_.at(upstream)->fence() + 1);
  links_.at(upstream)->Close();
  links_.erase(upstream);
  added_upstreams_.erase(upstream);
  scheduler_.pool().Remove(upstream);
}

void Coordinator::NoteAnswerOfDropped(UpstreamIndex upstream) {
  const ports::UpstreamEntry& entry = scheduler_.pool().at(upstream).entry;
  const auto dropped =
      dropped_upstreams_.TakeAnswering(entry.id, entry.incarnation);
  if (!dropped) return;
  const TimePoint now = deps_.executor.Now();
  const std::string why(scheduling::kUpstreamLossNames.Name(dropped->why));
  deps_.metrics.Count(
      {.name = "dropped_upstreams_back", .labels = {{"why", why}}});
  logging::Event(Level::kWarning, "dropped upstream answers",
                 {{"upstream", entry.id},
                  {"why", why},
                  {"away_ms", MillisBetween(dropped->silent_since, now)},
                  {"dropped_ms_ago", MillisBetween(dropped->dropped_at, now)},
                  {"incarnation", Text(entry.incarnation)}});
}

void Coordinator::DropUnresponsiveUpstreams() {
  const TimePoint now = deps_.executor.Now();
  Orders orders;
  if (list_known_) scheduler_.CheckMissingUpstreams(now, orders);
  ExecuteOrders(orders);
  std::vector<UpstreamIndex> ended;
  for (const auto& [index, link] : links_) {
    const scheduling::Upstream& it = scheduler_.pool().at(index);
    if (it.listed || !link->all_runs_ended()) continue;
    if (scheduler_.AwaitsFate(it.entry.id)) continue;
    const TimePoint since = it.unresponsive_since.value_or(it.known_since);
    if (now - since >= options_.unresponsive_upstream_timeout) {
      ended.push_back(index);
    }
  }
  for (const UpstreamIndex index : ended) {
    OnAllRunsEnded(index, UpstreamLoss::kUnreachable);
  }
}

void Coordinator::OnStartReply(const scheduling::StartOrder& order,
                               const ports::CallReply& reply) {
  Orders orders;
  if (reply.verdict != ports::CallVerdict::kDone) {
    logging::Event(
        Level::kInfo, "start refused",
        {{"task", TaskIdText(order.task)},
         {"attempt", Text(order.attempt)},
         {"upstream", scheduler_.pool().at(order.upstream).entry.id},
         {"verdict", std::string(ports::kCallVerdictNames.Name(reply.verdict))},
         {"detail", reply.detail}});
  }
  scheduler_.OnStartReply(order, reply.verdict, deps_.executor.Now(), orders);
  ExecuteOrders(orders);
  if (reply.verdict != ports::CallVerdict::kDone) SchedulePlacement();
}

void Coordinator::OnStopFailed(UpstreamIndex upstream, const TaskId& task,
                               int64_t attempt) {
  scheduler_.OnStopFailed(upstream, task, attempt, deps_.executor.Now());
}

void Coordinator::OnFenced(UpstreamIndex upstream) {
  deps_.on_leadership_lost("a higher fence at upstream " +
                           scheduler_.pool().at(upstream).entry.id);
}

}  // namespace mimosarail::coordinator
