#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/libs/base/enum_table.h"
#include "src/libs/base/executor.h"

namespace mimosarail {

/// What became of an upstream that stopped responding.
enum class UpstreamFate : uint8_t {
  kUnknown,   ///< It may have crashed, or it may only be unreachable.
  kReplaced,  ///< A later incarnation answers in its place: it has ended.
  kMissing,   ///< Assumed to have crashed: long unresponsive and not listed.
};

inline constexpr EnumTable kUpstreamFateNames{std::array{
    EnumName{UpstreamFate::kUnknown, "unknown"},
    EnumName{UpstreamFate::kReplaced, "replaced"},
    EnumName{UpstreamFate::kMissing, "missing"},
}};

/// A run of a task during which its upstream stopped responding.
struct SuspectedCrash {
  int64_t attempt = 0;
  std::string upstream;
  /// Incarnation of the upstream; 0 if it reports none.
  int64_t incarnation = 0;
  /// How long the run had lasted when the upstream last confirmed it.
  Millis last_seen{0};
  /// Time from the order to start until the upstream became unresponsive.
  Millis silent_after{0};
  /// Nothing else explains the crash: it ended the run in its first moments, no
  /// run of another job had only just started there, and no other upstream
  /// became unresponsive at that time.
  bool sole_suspect = false;
  UpstreamFate fate = UpstreamFate::kUnknown;

  /// Whether the run was not seen beyond its first moments.
  bool early() const;

  bool operator==(const SuspectedCrash&) const = default;
};

/// Evidence that one task crashes the upstreams that run it. Upstreams also
/// crash or become unreachable for reasons of their own, which shows by when
/// that happens: a task that crashes its upstream does so in each run, and at
/// about the same time after the start. Not thread-safe.
class CrashEvidence {
 public:
  using List = std::vector<SuspectedCrash>;
  using Filter = std::function<bool(const SuspectedCrash&)>;

  /// A run that was not seen for longer than this may have crashed its upstream
  /// as it started. Two crashes at times that differ by less may have the same
  /// cause.
  static constexpr Millis kEarlyWindow{300};
  /// A run of this length shows that its task does not crash upstreams.
  static constexpr Millis kHarmlessRunTime{5000};

  bool empty() const { return crashes_.empty(); }
  const List& list() const { return crashes_; }
  /// Whether any crash was early.
  bool suspect() const;

  /// Adds a crash, unless its attempt is known or the run lasted for
  /// kHarmlessRunTime. Keeps the newest ones. Returns whether it was added.
  /// Precondition: the attempt is above 0.
  bool Add(const SuspectedCrash& crash);
  /// Sets the fate of the upstream in all crashes where it is not final.
  /// Returns the changed ones.
  List SetFate(const std::string& upstream, UpstreamFate fate);
  /// The upstream answers as this incarnation. Crashes of that incarnation, or
  /// of an unknown one, did not happen: they are removed and returned. Earlier
  /// ones are confirmed.
  List NoteAnswer(const std::string& upstream, int64_t incarnation);
  /// The upstream has not crashed. Removes and returns all crashes of it that
  /// are not confirmed.
  List Withdraw(const std::string& upstream);
  /// A run has lasted this long. Removes and returns the crashes that happened
  /// sooner after a start: the task does not crash upstreams at that time.
  List RemoveOutlasted(Millis lasted);

  /// Whether the crashes show that the task causes them. Those of which
  /// `counts` returns false are left out.
  bool ShowsCause(const Filter& counts) const;

  /// Bytes of memory that the evidence takes on the heap.
  size_t HeldBytes() const;

 private:
  /// Removes and returns the crashes that match.
  List Extract(const Filter& matches);

  List crashes_;
};

/// Whether the upstream has crashed, for all that is known.
bool IsConfirmed(const SuspectedCrash& crash);

}  // namespace mimosarail
