#include "src/configcheck/config_check.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "src/configcheck/display_names.h"
#include "src/libs/base/digest.h"
#include "src/scheduling/advice_state.h"

namespace mimosarail::configcheck {
namespace {

using ports::AccountConfig;
using ports::AccountLimit;
using ports::CellConfig;
using ports::QueueConfig;

/// Limits below these are smaller than a usual task. The tasks of the known
/// deployments take 500 millicores and 256 MB or more.
constexpr int64_t kSmallTaskMillicores = 100;
constexpr int64_t kSmallTaskMemoryMb = 64;
/// Usual tasks take 2 to 4 GB per core. With limits outside of this range, a
/// factor of 16 further, one limit is used up while the other is hardly used.
constexpr double kMinMemoryMbPerCore = 128;
constexpr double kMaxMemoryMbPerCore = 65536;
constexpr double kMillicoresPerCore = 1000;

/// Queues are selected by the path up to '?', which a request line separates by
/// a space. So no path contains these characters.
constexpr std::string_view kNeverInPath("? \r\n\0", 5);

std::string Number(double value) {
  return std::to_string(static_cast<int64_t>(value));
}

bool HasUpperCase(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

/// Collects the findings of one configuration. Not thread-safe.
class Checker {
 public:
  Checker(const CellConfig& config, const DocumentFormat& format)
      : config_(config), format_(format) {
    names_.AddKeysOf(config);
  }

  void CheckQueues();
  void CheckAccounts();
  void CheckKeys();
  std::vector<ConfigFinding> TakeFindings() { return std::move(findings_); }

 private:
  void Add(Severity severity, std::string place, std::string reason) {
    findings_.push_back({severity, std::move(place), std::move(reason)});
  }
  void CheckSelection(size_t index);
  void CheckObjective(size_t index);
  void CheckAdvice(size_t index);
  void CheckAccountKeys(size_t index);
  void CheckWeight(size_t index, bool others_have_weights);
  void CheckLimit(size_t index, bool others_have_limits);
  void CheckLimitSizes(size_t index);

  const CellConfig& config_;
  const DocumentFormat& format_;
  DisplayNames names_;
  std::vector<ConfigFinding> findings_;
};

/// A queue's host and prefix, which select it. The length keeps "a" + "b/" and
/// "ab" + "/" apart.
std::string SelectorOf(const QueueConfig& queue) {
  return std::to_string(queue.host.size()) + ":" + queue.host + queue.prefix;
}

void Checker::CheckQueues() {
  const std::vector<QueueConfig>& queues = config_.queues;
  std::unordered_map<std::string, size_t> last_by_selector;
  for (size_t i = 0; i < queues.size(); ++i) {
    last_by_selector[SelectorOf(queues[i])] = i;
  }
  std::unordered_map<std::string_view, size_t> first_by_name;
  for (size_t i = 0; i < queues.size(); ++i) {
    const size_t last = last_by_selector[SelectorOf(queues[i])];
    if (last != i) {
      Add(Severity::kError, format_.QueuePlace(i, QueueField::kQueue),
          names_.Describe(queues[i]) + " is never selected: " +
              format_.QueuePlace(last, QueueField::kQueue) +
              " has the same host and prefix, and the last one is used");
    }
    const auto [first, inserted] =
        first_by_name.emplace(queues[i].policy.name, i);
    if (!inserted) {
      Add(Severity::kWarning, format_.QueuePlace(i, QueueField::kName),
          "is the name of " +
              format_.QueuePlace(first->second, QueueField::kQueue) +
              " too; their pending jobs are counted together");
    }
    CheckSelection(i);
    CheckObjective(i);
    CheckAdvice(i);
  }
}

void Checker::CheckSelection(size_t index) {
  const QueueConfig& queue = config_.queues[index];
  if (queue.prefix.find_first_of(kNeverInPath) != std::string::npos) {
    Add(Severity::kError, format_.QueuePlace(index, QueueField::kPrefix),
        "matches no path: a path ends before '?' and contains no space, line "
        "break or zero byte");
  } else if (!queue.prefix.starts_with('/')) {
    Add(Severity::kWarning, format_.QueuePlace(index, QueueField::kPrefix),
        "does not begin with '/', as paths of ordinary calls do");
  }
  const std::string_view host = queue.host;
  if (host.starts_with(' ') || host.starts_with('\t') ||
      host.find_first_of(std::string_view("\r\n\0", 3)) != host.npos) {
    Add(Severity::kError, format_.QueuePlace(index, QueueField::kHost),
        "matches no Host header, which has no leading space, line break or "
        "zero byte");
  } else if (HasUpperCase(host)) {
    Add(Severity::kWarning, format_.QueuePlace(index, QueueField::kHost),
        "contains capital letters; hosts are compared exactly, and a call "
        "with the host in lower case gets 404");
  }
}

void Checker::CheckObjective(size_t index) {
  const wire::QueuePolicy& policy = config_.queues[index].policy;
  if (policy.target_ms > 0 || policy.slack_factor >= 1) return;
  const std::string place = format_.QueuePlace(index, QueueField::kSlackFactor);
  if (policy.slack_factor == 0) {
    Add(Severity::kError, place,
        "the objective of each job is 0 ms, since slack factor and target are "
        "0: all jobs are late when they arrive");
    return;
  }
  Add(Severity::kWarning, place,
      "is below 1 and the target is 0: the objective of a job is less than its "
      "estimated duration");
}

void Checker::CheckAdvice(size_t index) {
  const wire::QueuePolicy& policy = config_.queues[index].policy;
  // 0 stands for a validity that the document does not state.
  if (!policy.advised || policy.ticket_valid_ms == 0) return;
  const std::string place =
      format_.QueuePlace(index, QueueField::kTicketValidity);
  const int64_t margin = scheduling::kTicketMargin.count();
  if (policy.ticket_valid_ms <= margin) {
    Add(Severity::kError, place,
        "tickets are valid for " + std::to_string(policy.ticket_valid_ms) +
            " ms, and a start needs more than " + std::to_string(margin) +
            " ms: no task can start");
    return;
  }
  const double call_ms = policy.advice_base_ms + policy.advice_each_ms;
  if (call_ms <= static_cast<double>(policy.ticket_valid_ms)) return;
  Add(Severity::kWarning, place,
      "an advice call for one upstream takes " + Number(call_ms) +
          " ms, longer than its ticket is valid (" +
          std::to_string(policy.ticket_valid_ms) +
          " ms): a gang cannot collect tickets by several calls");
}

void Checker::CheckAccounts() {
  if (!config_.accounts) return;
  const std::vector<AccountConfig>& accounts = *config_.accounts;
  const bool has_open_queue =
      std::any_of(config_.queues.begin(), config_.queues.end(),
                  [](const QueueConfig& queue) { return queue.open; });
  if (accounts.empty() && !config_.queues.empty() && !has_open_queue) {
    Add(Severity::kWarning, format_.AccountsPlace(),
        "is empty and no queue is open: every call gets 401");
  }
  const bool weights = std::any_of(
      accounts.begin(), accounts.end(),
      [](const AccountConfig& account) { return account.weight > 0; });
  const bool limits = std::any_of(accounts.begin(), accounts.end(),
                                  [](const AccountConfig& account) {
                                    return account.limit != AccountLimit{};
                                  });
  for (size_t i = 0; i < accounts.size(); ++i) {
    CheckAccountKeys(i);
    CheckWeight(i, weights);
    CheckLimit(i, limits);
    CheckLimitSizes(i);
  }
}

void Checker::CheckAccountKeys(size_t index) {
  const AccountConfig& account = (*config_.accounts)[index];
  if (names_.IsKey(account.name)) {
    Add(Severity::kWarning, format_.AccountPlace(index, AccountField::kName),
        "is also a key; names of accounts are logged");
  }
  if (account.keys.empty()) {
    Add(Severity::kWarning, format_.AccountPlace(index, AccountField::kKeys),
        "account " + names_.Quoted(account.name) +
            " has no key: it can make no calls");
  }
  for (size_t k = 0; k < account.keys.size(); ++k) {
    if (format_.IsSendableKey(account.keys[k])) continue;
    Add(Severity::kError, format_.KeyPlace(index, k),
        "no call can carry this key: it is not one word of printable ASCII");
  }
}

void Checker::CheckWeight(size_t index, bool others_have_weights) {
  const AccountConfig& account = (*config_.accounts)[index];
  if (account.weight > 0 || !others_have_weights) return;
  Add(Severity::kWarning, format_.AccountPlace(index, AccountField::kWeight),
      "is 0 while other accounts have weights: account " +
          names_.Quoted(account.name) +
          " gets only what they leave while capacity is short");
}

void Checker::CheckLimit(size_t index, bool others_have_limits) {
  const AccountConfig& account = (*config_.accounts)[index];
  const AccountLimit& limit = account.limit;
  if (limit == AccountLimit{}) {
    if (account.weight == 0 && !others_have_limits) return;
    Add(Severity::kNote, format_.AccountPlace(index, AccountField::kLimit),
        "account " + names_.Quoted(account.name) +
            " has no limit (0 stands for none)");
    return;
  }
  const char* reason =
      "is 0, which stands for no limit, while other dimensions are limited";
  if (limit.millicores == 0) {
    Add(Severity::kWarning,
        format_.AccountPlace(index, AccountField::kMillicores), reason);
  }
  if (limit.memory_mb == 0) {
    Add(Severity::kWarning, format_.AccountPlace(index, AccountField::kMemory),
        reason);
  }
}

/// These are warnings, not errors: a job may have tasks that take nothing of
/// one dimension, so a small limit does not certainly exclude all of them.
void Checker::CheckLimitSizes(size_t index) {
  const AccountLimit& limit = (*config_.accounts)[index].limit;
  const auto warn_if_small = [&](int64_t value, int64_t usual,
                                 AccountField field) {
    if (value == 0 || value >= usual) return;
    Add(Severity::kWarning, format_.AccountPlace(index, field),
        "is smaller than usual tasks take (" + std::to_string(usual) +
            "); a task beyond the limit gets 429");
  };
  warn_if_small(limit.millicores, kSmallTaskMillicores,
                AccountField::kMillicores);
  warn_if_small(limit.memory_mb, kSmallTaskMemoryMb, AccountField::kMemory);
  if (limit.millicores == 0 || limit.memory_mb == 0) return;
  const double per_core = static_cast<double>(limit.memory_mb) *
                          kMillicoresPerCore /
                          static_cast<double>(limit.millicores);
  if (per_core < kMinMemoryMbPerCore) {
    Add(Severity::kWarning, format_.AccountPlace(index, AccountField::kMemory),
        "is " + Number(per_core) +
            " MB per core of the limit; usual tasks take 2,000 to 4,000, so "
            "the limit on cores is never reached");
  }
  if (per_core > kMaxMemoryMbPerCore) {
    Add(Severity::kWarning,
        format_.AccountPlace(index, AccountField::kMillicores),
        "leaves " + Number(per_core) +
            " MB of the limit per core; usual tasks take 2,000 to 4,000, so "
            "the limit on memory is never reached");
  }
}

void Checker::CheckKeys() {
  if (!config_.accounts) return;
  const std::vector<AccountConfig>& accounts = *config_.accounts;
  std::unordered_map<std::string_view, size_t> owners;
  for (size_t i = 0; i < accounts.size(); ++i) {
    for (size_t k = 0; k < accounts[i].keys.size(); ++k) {
      const std::string& key = accounts[i].keys[k];
      const auto [owner, inserted] = owners.emplace(key, i);
      if (inserted) continue;
      const std::string place = format_.KeyPlace(i, k);
      const std::string digest = "the key with digest " + ShortDigest(key);
      if (owner->second == i) {
        Add(Severity::kNote, place, digest + " is listed twice");
        continue;
      }
      Add(Severity::kError, place,
          digest + " belongs to the accounts " +
              names_.Quoted(accounts[owner->second].name) + " and " +
              names_.Quoted(accounts[i].name));
    }
  }
}

}  // namespace

std::vector<ConfigFinding> CheckConfig(const CellConfig& config,
                                       const DocumentFormat& format) {
  Checker checker(config, format);
  checker.CheckQueues();
  checker.CheckAccounts();
  checker.CheckKeys();
  return checker.TakeFindings();
}

std::vector<ConfigFinding> CheckKeyOwners(const CellConfig& config,
                                          const DocumentFormat& format) {
  Checker checker(config, format);
  checker.CheckKeys();
  return checker.TakeFindings();
}

bool HasErrors(const std::vector<ConfigFinding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const ConfigFinding& finding) {
                       return finding.severity == Severity::kError;
                     });
}

}  // namespace mimosarail::configcheck
