#include "src/configcheck/config_difference.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "src/configcheck/display_names.h"
#include "src/libs/base/digest.h"

namespace mimosarail::configcheck {
namespace {

using ports::AccountConfig;
using ports::CellConfig;
using ports::QueueConfig;

/// Number of key digests that a finding lists.
constexpr size_t kMaxDigests = 5;
constexpr size_t kNone = SIZE_MAX;

/// Positions of one entry in the two documents, kNone where it is missing.
struct Positions {
  size_t now = kNone;
  size_t before = kNone;
};

/// The queues by host and prefix, the last one of each. Not copyable, since it
/// refers to the configuration.
class QueueIndex {
 public:
  using Selector = std::pair<std::string_view, std::string_view>;

  explicit QueueIndex(const std::vector<QueueConfig>& queues)
      : queues_(queues) {
    for (size_t i = 0; i < queues.size(); ++i) {
      by_selector_[{queues[i].host, queues[i].prefix}] = i;
    }
  }

  const std::map<Selector, size_t>& by_selector() const { return by_selector_; }
  /// Returns the queue that jobentry::AccessTable::FindQueue() selects, without
  /// a look-up for each length of a prefix; null if there is none.
  const QueueConfig* Find(std::string_view host, std::string_view path) const;

 private:
  const std::vector<QueueConfig>& queues_;
  std::map<Selector, size_t> by_selector_;
};

const QueueConfig* QueueIndex::Find(std::string_view host,
                                    std::string_view path) const {
  while (true) {
    const auto after = by_selector_.upper_bound({host, path});
    if (after == by_selector_.begin()) return nullptr;
    const auto& [selector, index] = *std::prev(after);
    if (selector.first != host) return nullptr;
    const std::string_view prefix = selector.second;
    if (path.starts_with(prefix)) return &queues_[index];
    // A prefix of the path that is longer than the common part would stand
    // between `prefix` and the path in the order.
    const auto common =
        std::mismatch(path.begin(), path.end(), prefix.begin(), prefix.end());
    path = path.substr(0, static_cast<size_t>(common.first - path.begin()));
  }
}

/// The account of each key.
using KeyOwners = std::unordered_map<std::string_view, std::string_view>;

KeyOwners OwnersOf(const std::vector<AccountConfig>& accounts) {
  KeyOwners out;
  for (const AccountConfig& account : accounts) {
    for (const std::string& key : account.keys) out[key] = account.name;
  }
  return out;
}

std::string InForce(const std::string& place) { return "in force: " + place; }

std::string Text(const std::string& value) { return value; }
std::string Text(bool value) { return value ? "yes" : "no"; }
template <typename T>
std::string Text(T value) {
  std::string out = std::to_string(value);
  // std::to_string() prints six decimals of a floating-point number.
  if (out.find('.') == std::string::npos) return out;
  out.erase(out.find_last_not_of('0') + 1);
  if (out.back() == '.') out.pop_back();
  return out;
}

template <typename T>
void AppendChange(std::string& out, const char* what, const T& before,
                  const T& now) {
  if (before == now) return;
  if (!out.empty()) out += ", ";
  out += std::string(what) + " " + Text(before) + " -> " + Text(now);
}

std::string PolicyChanges(const wire::QueuePolicy& before,
                          const wire::QueuePolicy& now,
                          const DisplayNames& names) {
  std::string out;
  if (before.name != now.name) {
    AppendChange(out, "name", names.Quoted(before.name),
                 names.Quoted(now.name));
  }
  if (before.pool != now.pool) {
    AppendChange(out, "pool", names.Quoted(before.pool),
                 names.Quoted(now.pool));
  }
  AppendChange(out, "priority", before.priority, now.priority);
  AppendChange(out, "attempts", before.max_attempts, now.max_attempts);
  AppendChange(out, "slack factor", before.slack_factor, now.slack_factor);
  AppendChange(out, "target in ms", before.target_ms, now.target_ms);
  AppendChange(out, "advised", before.advised, now.advised);
  AppendChange(out, "advice call in ms", before.advice_base_ms,
               now.advice_base_ms);
  AppendChange(out, "advice per upstream in ms", before.advice_each_ms,
               now.advice_each_ms);
  AppendChange(out, "ticket validity in ms", before.ticket_valid_ms,
               now.ticket_valid_ms);
  return out;
}

std::string DigestList(const std::vector<std::string_view>& keys) {
  std::string out = std::to_string(keys.size()) +
                    (keys.size() == 1 ? " key (digest " : " keys (digests ");
  for (size_t i = 0; i < std::min(keys.size(), kMaxDigests); ++i) {
    out += (i == 0 ? "" : ", ") + ShortDigest(keys[i]);
  }
  return out + (keys.size() > kMaxDigests ? ", ...)" : ")");
}

/// Collects the differences. Not thread-safe.
class Comparer {
 public:
  Comparer(const CellConfig& now, const CellConfig& before,
           const DocumentFormat& format)
      : now_(now), before_(before), format_(format) {
    names_.AddKeysOf(now);
    names_.AddKeysOf(before);
  }

  std::vector<ConfigFinding> Compare();

 private:
  void Add(Severity severity, std::string place, std::string reason) {
    findings_.push_back({severity, std::move(place), std::move(reason)});
  }
  void CompareQueues();
  void AddQueue(size_t index);
  void RemoveQueue(size_t index);
  void CompareQueue(const Positions& at);
  void CompareAccounts();
  void AddAccount(size_t index);
  void RemoveAccount(size_t index);
  void CompareAccount(const Positions& at);
  void CompareKeys(const Positions& at);
  void CompareLimit(const Positions& at, AccountField field, int64_t before,
                    int64_t now);
  void RemoveKeys(const AccountConfig& before, const std::string& place,
                  const std::vector<std::string_view>& keys);
  void ComparePools();
  void CompareVersions();

  const CellConfig& now_;
  const CellConfig& before_;
  const DocumentFormat& format_;
  DisplayNames names_;
  const QueueIndex now_queues_{now_.queues};
  const QueueIndex before_queues_{before_.queues};
  KeyOwners now_owners_;
  std::vector<ConfigFinding> findings_;
};

std::vector<ConfigFinding> Comparer::Compare() {
  CompareQueues();
  CompareAccounts();
  ComparePools();
  CompareVersions();
  return std::move(findings_);
}

void Comparer::CompareVersions() {
  const bool differs = !findings_.empty();
  if (now_.version > before_.version) return;
  const std::string reason = std::to_string(now_.version) +
                             " is not higher than the version in " + "force, " +
                             std::to_string(before_.version) +
                             ": entries ignore the document";
  findings_.insert(findings_.begin(),
                   {differs ? Severity::kError : Severity::kNote,
                    format_.VersionPlace(), reason});
}

void Comparer::CompareQueues() {
  std::map<QueueIndex::Selector, Positions> selectors;
  for (const auto& [selector, index] : now_queues_.by_selector()) {
    selectors[selector].now = index;
  }
  for (const auto& [selector, index] : before_queues_.by_selector()) {
    selectors[selector].before = index;
  }
  std::vector<std::pair<std::string_view, Positions>> by_name;
  for (const auto& [selector, at] : selectors) {
    const QueueConfig& queue =
        at.now == kNone ? before_.queues[at.before] : now_.queues[at.now];
    by_name.emplace_back(queue.policy.name, at);
  }
  std::stable_sort(
      by_name.begin(), by_name.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [name, at] : by_name) {
    if (at.before == kNone) {
      AddQueue(at.now);
    } else if (at.now == kNone) {
      RemoveQueue(at.before);
    } else {
      CompareQueue(at);
    }
  }
}

void Comparer::AddQueue(size_t index) {
  const QueueConfig& queue = now_.queues[index];
  const QueueConfig* earlier = before_queues_.Find(queue.host, queue.prefix);
  Add(Severity::kNote, format_.QueuePlace(index, QueueField::kQueue),
      names_.Describe(queue) + " is added; " +
          (earlier == nullptr
               ? "its calls get 404 now"
               : "its calls go to " + names_.Describe(*earlier) + " now"));
}

void Comparer::RemoveQueue(size_t index) {
  const QueueConfig& queue = before_.queues[index];
  const QueueConfig* next = now_queues_.Find(queue.host, queue.prefix);
  const std::string effect =
      next == nullptr
          ? "its calls get 404"
          : "its calls go to " + names_.Describe(*next) +
                " and get 400, since what follows that prefix is no job id";
  Add(Severity::kWarning,
      InForce(format_.QueuePlace(index, QueueField::kQueue)),
      names_.Describe(queue) + " is removed: " + effect +
          "; accepted jobs go on");
}

void Comparer::CompareQueue(const Positions& at) {
  const QueueConfig& now = now_.queues[at.now];
  const QueueConfig& before = before_.queues[at.before];
  const std::string changes = PolicyChanges(before.policy, now.policy, names_);
  if (!changes.empty()) {
    Add(Severity::kNote, format_.QueuePlace(at.now, QueueField::kQueue),
        names_.Describe(now) + ": " + changes +
            "; this applies to new jobs, accepted ones keep the former values");
  }
  if (now.open == before.open) return;
  const std::string place = format_.QueuePlace(at.now, QueueField::kOpen);
  if (now.open) {
    Add(Severity::kWarning, place,
        names_.Describe(now) +
            " is open now: calls need no key, and new jobs belong to no "
            "account");
    return;
  }
  Add(Severity::kWarning, place,
      names_.Describe(now) + " is no longer open: " +
          (now_.accounts ? "calls without a key get 401"
                         : "no difference while there are no accounts"));
}

void Comparer::CompareAccounts() {
  if (!now_.accounts && !before_.accounts) return;
  if (!now_.accounts) {
    Add(Severity::kWarning, InForce(format_.AccountsPlace()),
        "all accounts are removed: calls need no key");
    return;
  }
  if (!before_.accounts) {
    Add(Severity::kWarning, format_.AccountsPlace(),
        "accounts are introduced: calls without a key to queues that are not "
        "open get 401");
  }
  now_owners_ = OwnersOf(*now_.accounts);
  std::map<std::string_view, Positions> by_name;
  for (size_t i = 0; i < now_.accounts->size(); ++i) {
    by_name[(*now_.accounts)[i].name].now = i;
  }
  const size_t count = before_.accounts ? before_.accounts->size() : 0;
  for (size_t i = 0; i < count; ++i) {
    by_name[(*before_.accounts)[i].name].before = i;
  }
  for (const auto& [name, at] : by_name) {
    if (at.before == kNone) {
      AddAccount(at.now);
    } else if (at.now == kNone) {
      RemoveAccount(at.before);
    } else {
      CompareAccount(at);
    }
  }
}

void Comparer::AddAccount(size_t index) {
  const AccountConfig& account = (*now_.accounts)[index];
  Add(Severity::kNote, format_.AccountPlace(index, AccountField::kAccount),
      "account " + names_.Quoted(account.name) + " is added, with " +
          std::to_string(account.keys.size()) + " keys");
}

void Comparer::RemoveAccount(size_t index) {
  const AccountConfig& account = (*before_.accounts)[index];
  const std::string place =
      InForce(format_.AccountPlace(index, AccountField::kAccount));
  Add(Severity::kWarning, place,
      "account " + names_.Quoted(account.name) +
          " is removed; accepted jobs go on, under its last limit until the "
          "leader changes");
  RemoveKeys(account, place, {account.keys.begin(), account.keys.end()});
}

void Comparer::CompareAccount(const Positions& at) {
  const AccountConfig& now = (*now_.accounts)[at.now];
  const AccountConfig& before = (*before_.accounts)[at.before];
  CompareKeys(at);
  if (now.weight != before.weight) {
    Add(Severity::kNote, format_.AccountPlace(at.now, AccountField::kWeight),
        "account " + names_.Quoted(now.name) + ": weight " +
            Text(before.weight) + " -> " + Text(now.weight) +
            "; its share changes while capacity is short");
  }
  CompareLimit(at, AccountField::kMillicores, before.limit.millicores,
               now.limit.millicores);
  CompareLimit(at, AccountField::kMemory, before.limit.memory_mb,
               now.limit.memory_mb);
  CompareLimit(at, AccountField::kAccelerators, before.limit.accelerators,
               now.limit.accelerators);
}

void Comparer::CompareKeys(const Positions& at) {
  const AccountConfig& now = (*now_.accounts)[at.now];
  const AccountConfig& before = (*before_.accounts)[at.before];
  const std::unordered_set<std::string_view> kept(now.keys.begin(),
                                                  now.keys.end());
  const std::unordered_set<std::string_view> known(before.keys.begin(),
                                                   before.keys.end());
  std::vector<std::string_view> removed;
  for (const std::string& key : before.keys) {
    if (kept.count(key) == 0) removed.push_back(key);
  }
  std::vector<std::string_view> added;
  for (const std::string& key : now.keys) {
    if (known.count(key) == 0) added.push_back(key);
  }
  const std::string place = format_.AccountPlace(at.now, AccountField::kKeys);
  RemoveKeys(before, place, removed);
  if (added.empty()) return;
  Add(Severity::kNote, place,
      "account " + names_.Quoted(now.name) + ": " + DigestList(added) +
          " added; calls with them are served from now on");
}

void Comparer::RemoveKeys(const AccountConfig& before, const std::string& place,
                          const std::vector<std::string_view>& keys) {
  std::vector<std::string_view> gone;
  std::map<std::string_view, std::vector<std::string_view>> moved;
  for (const std::string_view key : keys) {
    const auto owner = now_owners_.find(key);
    if (owner == now_owners_.end()) {
      gone.push_back(key);
    } else {
      moved[owner->second].push_back(key);
    }
  }
  const std::string account = "account " + names_.Quoted(before.name) + ": ";
  if (!gone.empty()) {
    Add(Severity::kWarning, place,
        account + DigestList(gone) + " taken away; calls with them get 401");
  }
  for (const auto& [owner, moved_keys] : moved) {
    Add(Severity::kWarning, place,
        account + DigestList(moved_keys) + " moved to account " +
            names_.Quoted(owner) + ", to which their new jobs belong");
  }
}

void Comparer::CompareLimit(const Positions& at, AccountField field,
                            int64_t before, int64_t now) {
  if (before == now) return;
  const auto text = [](int64_t limit) {
    return limit == 0 ? std::string("none") : std::to_string(limit);
  };
  const bool cut = now != 0 && (before == 0 || now < before);
  const std::string change = "account " +
                             names_.Quoted((*now_.accounts)[at.now].name) +
                             ": limit " + text(before) + " -> " + text(now);
  Add(cut ? Severity::kWarning : Severity::kNote,
      format_.AccountPlace(at.now, field),
      change + (cut ? "; tasks that run go on, new ones wait until they fit "
                      "below it; new jobs with a task or gang beyond it get 429"
                    : "; more tasks may run at once"));
}

void Comparer::ComparePools() {
  std::vector<std::string> all;
  std::set_union(now_.pools.begin(), now_.pools.end(), before_.pools.begin(),
                 before_.pools.end(), std::back_inserter(all));
  for (const std::string& pool : all) {
    const bool has_now = now_.pools.count(pool) > 0;
    const bool had = before_.pools.count(pool) > 0;
    if (has_now == had) continue;
    if (has_now) {
      Add(Severity::kNote, format_.PoolsPlace(),
          "pool " + names_.Quoted(pool) +
              " is added: its upstreams are taken into use");
      continue;
    }
    Add(Severity::kWarning, InForce(format_.PoolsPlace()),
        "pool " + names_.Quoted(pool) +
            " is removed: its upstreams get no new jobs; accepted jobs go on");
  }
}

}  // namespace

std::vector<ConfigFinding> CompareConfigs(const CellConfig& config,
                                          const CellConfig& in_force,
                                          const DocumentFormat& format) {
  return Comparer(config, in_force, format).Compare();
}

}  // namespace mimosarail::configcheck
