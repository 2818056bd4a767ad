// The part of Coordinator that manages the upstreams: their list, their links,
// and which of them are closed to new work.

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

/// Whether the entry describes an incarnation before the one known. The list
/// may be seconds old.
bool IsOutdatedEntry(const ports::UpstreamEntry& entry,
                     const ports::UpstreamEntry& known) {
  return entry.incarnation > 0 && entry.incarnation < known.incarnation;
}

}  // namespace

void Coordinator::ReadUpstreamList() {
  const bool whole = list_cursor_ < 0;
  auto done = [weak = weak_from_this(),
               whole](const Result<ports::UpstreamListUpdate>& update) {
    const auto self = weak.lock();
    if (!self || self->closed_) return;
    if (update.ok()) {
      self->OnUpstreamList(update.value(), whole);
    } else {
      // The changes after the cursor are no longer available or are malformed,
      // so the whole list has to be read.
      const std::error_code& code = update.error().code;
      if (code == Errc::kInvalid || code == Errc::kMalformed) {
        self->list_cursor_ = -1;
      }
      logging::Event(Level::kWarning, "upstream list not read",
                     {{"cause", update.error().message}});
    }
    self->deps_.executor.RunAfter(self->options_.upstream_list_period, [weak] {
      const auto again = weak.lock();
      if (again && !again->closed_) again->ReadUpstreamList();
    });
  };
  if (whole) {
    return deps_.upstream_list.ReadAll(kStoreReadTimeout, std::move(done));
  }
  deps_.upstream_list.ReadChanges(list_cursor_, kStoreReadTimeout,
                                  std::move(done));
}

void Coordinator::OnUpstreamList(const ports::UpstreamListUpdate& update,
                                 bool whole) {
  list_cursor_ = update.cursor;
  if (whole) {
    // An upstream that is missing from the list has left, or its list entry has
    // expired.
    for (const UpstreamIndex index : scheduler_.pool().all()) {
      const std::string& id = scheduler_.pool().at(index).entry.id;
      const bool still_listed = std::any_of(
          update.entries.begin(), update.entries.end(),
          [&](const ports::UpstreamEntry& entry) { return entry.id == id; });
      if (!still_listed) scheduler_.pool().at(index).listed = false;
    }
    list_known_ = true;
    unreferenced_upstreams_.clear();
  }
  for (const ports::UpstreamEntry& entry : update.entries) OnListEntry(entry);
  AdoptReferencedUpstreams();
  UpdateIdleRenewals();
  ResolveWhenRunningTasksKnown();
  SchedulePlacement();
}

void Coordinator::OnListEntry(const ports::UpstreamEntry& entry) {
  scheduling::UpstreamPool& pool = scheduler_.pool();
  const UpstreamIndex known = pool.Find(entry.id);
  if (!entry.decode_error.empty()) return OnMalformedListEntry(entry);
  // Without a start time, an entry of an id that has ended is outdated. With
  // one, it may be that of the next incarnation, whose link tells them apart.
  const bool ended =
      entry.incarnation == 0 && ended_upstreams_.count(entry.id) > 0;
  if (ended) return;
  if (!entry.listed) {
    unreferenced_upstreams_.erase(entry.id);
    if (known == kNoUpstream) return;
    logging::Event(Level::kInfo, "upstream left the list",
                   {{"upstream", entry.id}});
    pool.at(known).listed = false;
    return;
  }
  if (known != kNoUpstream) {
    if (IsOutdatedEntry(entry, pool.at(known).entry)) return;
    // The link learns of a restart first, and closes the upstream.
    const auto link = links_.find(known);
    const bool restarted = pool.at(known).entry.incarnation > 0 &&
                           entry.incarnation > pool.at(known).entry.incarnation;
    if (link != links_.end()) {
      link->second->OnListed(entry.address, entry.incarnation);
    }
    if (pool.at(known).entry.draining != entry.draining) {
      logging::Event(Level::kInfo, "upstream drains",
                     {{"upstream", entry.id},
                      {"draining", entry.draining ? "yes" : "no"},
                      {"leaves_in_ms", Text(entry.leaves_in_ms)}});
    }
    pool.Update(entry);
    // As in OnRestarted(), in case this leader never reaches the upstream.
    if (restarted) StoreUpstream(known);
    if (entry.draining && !pool.at(known).closed) CloseUpstream(known);
    if (!entry.draining && pool.at(known).closed) ReopenUpstream(known);
    return;
  }
  unreferenced_upstreams_[entry.id] = entry;
}

void Coordinator::OnMalformedListEntry(const ports::UpstreamEntry& entry) {
  deps_.malformed_records.Report(faults::RecordSource::kUpstreamList, entry.id,
                                 entry.decode_error);
  unreferenced_upstreams_.erase(entry.id);
  scheduling::UpstreamPool& pool = scheduler_.pool();
  const UpstreamIndex known = pool.Find(entry.id);
  if (known == kNoUpstream) return;
  // A malformed list entry cannot be used, but it does not mean that the
  // upstream has left. No new task starts there, and running tasks keep their
  // leases at the known address. If these tasks were stopped or forgotten
  // instead, one malformed entry would lose them.
  pool.at(known).listed = true;
  pool.at(known).entry_malformed = true;
}

bool Coordinator::IsPoolReferenced(const std::string& pool) const {
  const std::set<std::string>* pools = deps_.configured_pools();
  return job_pools_.count(pool) > 0 ||
         (pools != nullptr && pools->count(pool) > 0);
}

void Coordinator::AdoptReferencedUpstreams() {
  for (auto at = unreferenced_upstreams_.begin();
       at != unreferenced_upstreams_.end();) {
    const ports::UpstreamEntry& entry = at->second;
    if (!IsPoolReferenced(entry.pool)) {
      // The entry is kept and checked again after each read of the list, since
      // a configuration that names the pool may still arrive.
      if (deps_.configured_pools() != nullptr) {
        deps_.malformed_records.Report(
            faults::RecordSource::kUpstreamList, entry.id,
            "neither the configuration nor a job names its pool");
      }
      ++at;
      continue;
    }
    AdoptUpstream(entry);
    at = unreferenced_upstreams_.erase(at);
  }
}

void Coordinator::AdoptUpstream(const ports::UpstreamEntry& entry) {
  // A later leader must know every upstream that may run tasks. The list is not
  // enough: an upstream's entry there expires while the store is unavailable,
  // although its tasks continue. So no task starts on the upstream before its
  // record in the job table is stored.
  journal_->Put(UpstreamKey(entry.id), EncodeUpstream(ToUpstreamRecord(entry)));
  OpenLink(entry);
  added_upstreams_.insert(scheduler_.pool().Find(entry.id));
}

void Coordinator::OpenLink(const ports::UpstreamEntry& entry) {
  const UpstreamIndex index =
      scheduler_.pool().Update(entry, deps_.executor.Now());
  scheduler_.pool().at(index).listed = entry.listed;
  const auto closure = inherited_closures_.find(entry.id);
  if (closure != inherited_closures_.end()) {
    scheduler_.pool().at(index).closed = true;
  }
  if (links_.count(index) > 0) return;
  if (closure != inherited_closures_.end()) {
    scheduling::Upstream& it = scheduler_.pool().at(index);
    it.suspect_runs = closure->second.suspect_runs;
    it.unresponsive_with_others = !it.suspect_runs.empty();
  }
  auto link = std::make_shared<fleet::UpstreamLink>(
      deps_.executor, deps_.task_port, *this,
      fleet::UpstreamLinkOptions{
          .index = index,
          .target = {.address = entry.address, .id = entry.id},
          .incarnation = entry.incarnation,
          .first_fence = next_fence_,
          .leases = options_.task_leases});
  links_[index] = link;
  journal_->WhenStored([weak = weak_from_this(), link](bool stored) {
    const auto self = weak.lock();
    if (stored && self && !self->closed_) link->Open();
  });
}

void Coordinator::CloseUpstream(UpstreamIndex upstream) {
  // The record tells the next leader which jobs may have tasks on this
  // upstream, so that only these few jobs wait. Without the record, an upstream
  // that disappears during a takeover delays all loaded jobs until its leases
  // have certainly expired.
  // An upstream that has not reported its tasks in this term is not closed,
  // since an earlier leader could still start tasks there.
  const auto link = links_.find(upstream);
  if (link == links_.end() || !link->second->reconciled()) return;
  scheduling::Upstream& it = scheduler_.pool().at(upstream);
  it.closed = true;
  logging::Event(
      Level::kInfo, "upstream closed",
      {{"upstream", it.entry.id},
       {"reachable", it.reachable ? "yes" : "no"},
       {"draining", it.entry.draining ? "yes" : "no"},
       {"jobs", Text(static_cast<int64_t>(JobsOn(upstream).size()))}});
  StoreUpstream(upstream);
}

std::set<JobId> Coordinator::JobsOn(UpstreamIndex upstream) const {
  const scheduling::Upstream& it = scheduler_.pool().at(upstream);
  std::set<JobId> jobs;
  for (const auto& [run, allocation] : it.reservations) {
    jobs.insert(run.first.job);
  }
  const auto closure = inherited_closures_.find(it.entry.id);
  if (closure == inherited_closures_.end()) return jobs;
  jobs.insert(closure->second.jobs.begin(), closure->second.jobs.end());
  return jobs;
}

void Coordinator::StoreUpstream(UpstreamIndex upstream) {
  const scheduling::Upstream& it = scheduler_.pool().at(upstream);
  wire::UpstreamRecord record = ToUpstreamRecord(it.entry);
  record.closed = it.closed;
  if (it.closed) {
    ++close_counts_[upstream];
    for (const JobId id : JobsOn(upstream)) {
      record.jobs.push_back(static_cast<int64_t>(id));
    }
  }
  if (it.closed && !it.reachable) {
    // If this leader fails before it knows whether the upstream has crashed,
    // the next leader needs the runs that such a crash ended.
    scheduling::SuspectRuns runs = it.suspect_runs;
    runs.merge(scheduler_.SuspectRunsOn(upstream, deps_.executor.Now()));
    record.runs = ToRunRecords(runs);
  }
  journal_->Put(UpstreamKey(it.entry.id), EncodeUpstream(std::move(record)));
}

void Coordinator::ReopenUpstream(UpstreamIndex upstream) {
  const scheduling::Upstream& it = scheduler_.pool().at(upstream);
  if (!it.reachable || it.entry.draining) return;
  // No task may start there while the stored record says that the upstream is
  // closed: a later leader would start the same tasks elsewhere.
  journal_->Put(UpstreamKey(it.entry.id),
                EncodeUpstream(ToUpstreamRecord(it.entry)));
  journal_->WhenStored([weak = weak_from_this(), upstream,
                        close_count = close_counts_[upstream]](bool stored) {
    const auto self = weak.lock();
    if (!stored || !self || self->closed_) return;
    if (self->links_.count(upstream) == 0) return;
    if (self->close_counts_[upstream] != close_count) return;
    scheduling::Upstream& reopened = self->scheduler_.pool().at(upstream);
    reopened.closed = false;
    logging::Event(Level::kInfo, "upstream reopened",
                   {{"upstream", reopened.entry.id}});
    self->SchedulePlacement();
  });
}

bool Coordinator::EarlierLeasesExpired(Millis longest) const {
  const std::optional<TimePoint> last_grant = deps_.predecessor_lease_end();
  return last_grant && deps_.last_store_confirmation() > *last_grant + longest;
}

std::optional<std::unordered_set<JobId>> Coordinator::UncertainJobs() const {
  std::unordered_set<JobId> out;
  // Earlier leaders have started nothing at an upstream that they did not
  // store. It may have executed calls for a previous incarnation that they
  // dropped, and usually tells so at once.
  const bool added_upstreams_awaited = !EarlierLeasesExpired(
      fleet::MaxLeaseDuration(options_.task_leases.lease));
  for (const auto& [index, link] : links_) {
    if (link->reconciled()) continue;
    const bool added = added_upstreams_.count(index) > 0;
    if (added && !added_upstreams_awaited) continue;
    const auto closure =
        inherited_closures_.find(scheduler_.pool().at(index).entry.id);
    if (closure == inherited_closures_.end()) return std::nullopt;
    out.insert(closure->second.jobs.begin(), closure->second.jobs.end());
  }
  return out;
}

bool Coordinator::UnreadableUpstreamMayRunTasks() const {
  if (!has_unreadable_upstream_) return false;
  // Where upstreams report their starts, they may restart under their ids, and
  // execute calls for a previous incarnation: see fleet::TaskLeases.
  const scheduling::UpstreamPool& pool = scheduler_.pool();
  const bool may_restart = std::any_of(
      pool.all().begin(), pool.all().end(), [&pool](UpstreamIndex index) {
        return pool.at(index).entry.incarnation > 0;
      });
  const fleet::TaskLeaseOptions& leases = options_.task_leases;
  const Millis longest =
      may_restart
          ? leases.max_call_delay + fleet::MaxLeaseDuration(leases.max_lease)
          : fleet::MaxLeaseDuration(leases.lease);
  return !EarlierLeasesExpired(longest);
}

void Coordinator::ResolveWhenRunningTasksKnown() {
  if (!list_known_ || UnreadableUpstreamMayRunTasks()) return;
  if (scheduler_.resolved() && uncertain_job_count_ == 0) return;
  const auto uncertain = UncertainJobs();
  if (!uncertain) return;
  if (scheduler_.resolved() && uncertain->size() == uncertain_job_count_) {
    return;
  }
  uncertain_job_count_ = uncertain->size();
  logging::Event(
      Level::kInfo, "running tasks known",
      {{"term", Text(options_.term)},
       {"upstreams", Text(static_cast<int64_t>(links_.size()))},
       {"jobs_uncertain", Text(static_cast<int64_t>(uncertain_job_count_))}});
  Orders orders;
  scheduler_.Resolve(*uncertain, deps_.executor.Now(), orders);
  ExecuteOrders(orders);
}

maintenance::HostWork Coordinator::WorkOn(const std::string& upstream) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  if (index == kNoUpstream) return {.known = false};
  const scheduling::Upstream& it = scheduler_.pool().at(index);
  const auto work = scheduler_.WorkOn(index, deps_.executor.Now());
  const auto link = links_.find(index);
  const bool completions_acknowledged =
      link != links_.end() && link->second->all_completions_acknowledged();
  return {.known = it.listed && it.reachable && scheduler_.resolved() &&
                   completions_acknowledged,
          .reachable = it.reachable,
          .tasks = work.tasks,
          .budgeted_tasks = work.budgeted_tasks,
          .drain_time = work.drain_time,
          .millicores = work.millicores};
}

int64_t Coordinator::FreeMillicores() {
  const scheduling::UpstreamPool& pool = scheduler_.pool();
  int64_t free_millicores = 0;
  for (const UpstreamIndex index : pool.all()) {
    if (!pool.at(index).AcceptsWork()) continue;
    free_millicores +=
        std::max(0, pool.at(index).free[scheduling::Dimension::kCores]);
  }
  return free_millicores;
}

void Coordinator::SetCordoned(const std::set<std::string>& upstreams) {
  scheduling::UpstreamPool& pool = scheduler_.pool();
  for (const UpstreamIndex index : pool.all()) {
    pool.at(index).cordoned = upstreams.count(pool.at(index).entry.id) > 0;
  }
  SchedulePlacement();
}

void Coordinator::EvictTasks(const std::string& upstream, bool all) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  if (index == kNoUpstream || !scheduler_.resolved()) return;
  Orders orders;
  scheduler_.EvictTasks(index, all, deps_.executor.Now(), orders);
  ExecuteOrders(orders);
}

void Coordinator::OnUpstreamEnded(const std::string& upstream) {
  const UpstreamIndex index = scheduler_.pool().Find(upstream);
  const bool reports_start =
      index != kNoUpstream && scheduler_.pool().at(index).entry.incarnation > 0;
  // The host list does not tell incarnations apart: by now the id may be that
  // of the next one, whose tasks would be lost. Its link notices the restart.
  if (reports_start) return;
  ended_upstreams_.insert(upstream);
  if (index != kNoUpstream && links_.count(index) > 0) {
    OnAllRunsEnded(index, UpstreamLoss::kMaintenance);
  }
}

}  // namespace mimosarail::coordinator
