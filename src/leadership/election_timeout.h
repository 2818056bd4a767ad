#pragma once

#include <cstdint>
#include <optional>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// Returns how long the record of a suspected leader must stay unchanged before
/// another entry claims leadership. `record` is the leader's record in the
/// store, absent if unreadable; `base` is the timeout after a stable leader.
/// The minimum time before a slow leader is replaced is extended in the same
/// way.
///
/// Each failover makes the next leader load all jobs again, over the link on
/// which it also renews its record. If loading delays a renewal for longer than
/// `base`, a fixed timeout replaces every leader before it serves, without
/// end. The timeout therefore doubles with each consecutive term that ended
/// before its leader was stable, and returns to `usual` after a stable leader.
/// Because of the doubling, all unsuccessful terms together last about as long
/// as the successful one, whatever the size of the table and the speed of the
/// link and the processor.
///
/// It also doubles with consecutive replacements of live leaders, even stable
/// ones; see DoublingsAfterReplacements(). The greater number of doublings
/// applies.
///
/// Thread-safe.
Millis ElectionTimeout(Millis base,
                       const std::optional<wire::AnnounceCall>& record);

/// The same for a leader that does not answer: at least four times `base` if it
/// has stated that its link or its processor is full, since its renewals wait
/// there. With the usual base that is 1.8 s, shorter than the leader lease. A
/// leader that has ended is replaced after that time only if its address does
/// not refuse connections.
Millis UnresponsiveTimeout(Millis base,
                           const std::optional<wire::AnnounceCall>& record);

/// Number of consecutive unstable terms right before the term of this record;
/// 0 if its leader has become stable.
int32_t UnstableTerms(const std::optional<wire::AnnounceCall>& record);

/// The same after that leader has been replaced as unresponsive.
int32_t UnstableTermsAfter(const std::optional<wire::AnnounceCall>& record);

/// Maximum number of doublings. 16 times 450 ms is longer than loading 5,000
/// jobs takes over a link of 2 Mbit/s (4.5 s), and still a short outage if a
/// fifth leader in a row dies as well.
inline constexpr int32_t kMaxTimeoutDoublings = 4;

}  // namespace mimosarail::leadership
