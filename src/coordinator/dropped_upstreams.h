#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/libs/base/executor.h"
#include "src/scheduling/orders.h"

namespace mimosarail::coordinator {

/// An upstream that the leader no longer has a link to.
struct DroppedUpstream {
  int64_t incarnation = 0;
  scheduling::UpstreamLoss why = scheduling::UpstreamLoss::kUnreachable;
  /// Since when it had not answered.
  TimePoint silent_since{};
  TimePoint dropped_at{};

  bool operator==(const DroppedUpstream&) const = default;
};

/// The upstreams that were dropped in this term, to notice one that was only
/// unreachable. Keeps a limited number. Not thread-safe.
class DroppedUpstreams {
 public:
  static constexpr size_t kMaxUpstreams = 2000;

  explicit DroppedUpstreams(size_t max_upstreams = kMaxUpstreams)
      : max_upstreams_(max_upstreams) {}

  void Add(const std::string& id, const DroppedUpstream& dropped);
  /// The upstream answers as this incarnation. Returns how the same incarnation
  /// was dropped; nullopt if it was not. Forgets the upstream.
  std::optional<DroppedUpstream> TakeAnswering(const std::string& id,
                                               int64_t incarnation);
  size_t size() const { return dropped_.size(); }

 private:
  void RemoveOldest();

  size_t max_upstreams_;
  std::map<std::string, DroppedUpstream> dropped_;
};

}  // namespace mimosarail::coordinator
