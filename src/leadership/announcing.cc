// The part of Leadership that announces a new leader.

#include <algorithm>
#include <utility>

#include "src/leadership/leadership.h"

namespace mimosarail::leadership {
namespace {

/// Announcements that are sent at the same time, and the pause before the next
/// ones. Those to 300 entries at once take some 40 kB of a link, on which a new
/// leader loads and renews its record.
constexpr size_t kBatchSize = 32;
constexpr Millis kBatchPause{10};

}  // namespace

void Leadership::AnnounceLeadership() {
  wire::AnnounceCall call;
  call.term = term_;
  call.leader = options_.member;
  call.loading = leader_loading_;
  AnnounceInBatches(std::move(call), KnownAddresses());
}

void Leadership::AnnounceInBatches(wire::AnnounceCall call,
                                   std::vector<std::string> receivers) {
  // Receivers of an outdated announcement would ignore it.
  if (role_ != Role::kLeading || call.term != term_) return;
  const size_t size = std::min(kBatchSize, receivers.size());
  for (size_t i = 0; i < size; ++i) {
    peers_.Announce(receivers[i], call, options_.heartbeat_timeout,
                    [](const Result<wire::AnnounceReply>&) {
                      // Entries that miss it read the leader record.
                    });
  }
  if (size == receivers.size()) return;
  receivers.erase(receivers.begin(),
                  receivers.begin() + static_cast<std::ptrdiff_t>(size));
  executor_.RunAfter(kBatchPause, [this, call = std::move(call),
                                   receivers = std::move(receivers)] {
    AnnounceInBatches(call, receivers);
  });
}

}  // namespace mimosarail::leadership
