#include "src/jobs/crash_evidence.h"

#include <algorithm>
#include <iterator>

namespace mimosarail {
namespace {

/// Number of early crashes that show the cause. Lower for those that nothing
/// else explains: where many upstreams crash for other reasons, two may be a
/// coincidence.
constexpr size_t kEarlyLimit = 3;
constexpr size_t kSoleSuspectLimit = 2;
/// Number of crashes at about the same time after the start that show the
/// cause. Higher than kEarlyLimit, as upstreams that crash for other reasons
/// rarely do so as a task starts.
constexpr size_t kSameTimeLimit = 4;
/// No limit counts more crashes.
constexpr size_t kMaxCrashes = 4;

/// Returns the size of the largest group of values within kEarlyWindow.
size_t LargestGroup(std::vector<Millis> values) {
  std::sort(values.begin(), values.end());
  size_t largest = 0;
  for (auto first = values.begin(); first != values.end(); ++first) {
    const auto end = std::lower_bound(first, values.end(),
                                      *first + CrashEvidence::kEarlyWindow);
    largest = std::max(largest, static_cast<size_t>(end - first));
  }
  return largest;
}

}  // namespace

bool SuspectedCrash::early() const {
  return last_seen < CrashEvidence::kEarlyWindow;
}

bool IsConfirmed(const SuspectedCrash& crash) {
  return crash.fate != UpstreamFate::kUnknown;
}

bool CrashEvidence::suspect() const {
  return std::any_of(crashes_.begin(), crashes_.end(),
                     [](const SuspectedCrash& it) { return it.early(); });
}

bool CrashEvidence::Add(const SuspectedCrash& crash) {
  if (crash.last_seen >= kHarmlessRunTime) return false;
  const bool known = std::any_of(
      crashes_.begin(), crashes_.end(),
      [&](const SuspectedCrash& it) { return it.attempt == crash.attempt; });
  if (known) return false;
  crashes_.push_back(crash);
  std::sort(crashes_.begin(), crashes_.end(),
            [](const SuspectedCrash& a, const SuspectedCrash& b) {
              return a.attempt < b.attempt;
            });
  if (crashes_.size() > kMaxCrashes) crashes_.erase(crashes_.begin());
  return true;
}

CrashEvidence::List CrashEvidence::SetFate(const std::string& upstream,
                                           UpstreamFate fate) {
  List changed;
  for (SuspectedCrash& it : crashes_) {
    if (it.upstream != upstream || it.fate == fate) continue;
    if (it.fate == UpstreamFate::kReplaced) continue;
    it.fate = fate;
    changed.push_back(it);
  }
  return changed;
}

CrashEvidence::List CrashEvidence::NoteAnswer(const std::string& upstream,
                                              int64_t incarnation) {
  List withdrawn = Extract([&](const SuspectedCrash& it) {
    return it.upstream == upstream && it.fate != UpstreamFate::kReplaced &&
           (it.incarnation == incarnation || it.incarnation == 0 ||
            incarnation == 0);
  });
  SetFate(upstream, UpstreamFate::kReplaced);
  return withdrawn;
}

CrashEvidence::List CrashEvidence::Withdraw(const std::string& upstream) {
  return Extract([&](const SuspectedCrash& it) {
    return it.upstream == upstream && it.fate != UpstreamFate::kReplaced;
  });
}

CrashEvidence::List CrashEvidence::RemoveOutlasted(Millis lasted) {
  return Extract([&](const SuspectedCrash& it) {
    return lasted >= it.silent_after + kEarlyWindow ||
           lasted >= kHarmlessRunTime;
  });
}

bool CrashEvidence::ShowsCause(const Filter& counts) const {
  size_t early = 0;
  size_t early_as_sole_suspect = 0;
  std::vector<Millis> last_seen;
  std::vector<Millis> silent_after;
  for (const SuspectedCrash& it : crashes_) {
    if (!counts(it)) continue;
    last_seen.push_back(it.last_seen);
    silent_after.push_back(it.silent_after);
    if (!it.early()) continue;
    ++early;
    if (it.sole_suspect) ++early_as_sole_suspect;
  }
  if (early >= kEarlyLimit) return true;
  if (early_as_sole_suspect >= kSoleSuspectLimit) return true;
  return std::max(LargestGroup(std::move(last_seen)),
                  LargestGroup(std::move(silent_after))) >= kSameTimeLimit;
}

size_t CrashEvidence::HeldBytes() const {
  size_t bytes = crashes_.capacity() * sizeof(SuspectedCrash);
  for (const SuspectedCrash& it : crashes_) bytes += it.upstream.capacity();
  return bytes;
}

CrashEvidence::List CrashEvidence::Extract(const Filter& matches) {
  List out;
  std::copy_if(crashes_.begin(), crashes_.end(), std::back_inserter(out),
               matches);
  std::erase_if(crashes_, matches);
  return out;
}

}  // namespace mimosarail
