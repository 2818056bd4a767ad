#pragma once

#include <cstdint>
#include <optional>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::leadership {

/// How long a leader that seems to be gone is waited for, by its record in the
/// store (absent where it can't be read).
///
/// The load that this answers: each take-over makes the next leader load all
/// jobs again, over the link on which it also renews its record. Where loading
/// holds a renewal up for longer than `usual`, a fixed patience replaces every
/// leader before it serves, for ever. So it doubles with each term in a row
/// that ended before its leader had settled, and is the usual one again behind
/// a leader that had. The terms that are lost take as long together as the one
/// that holds, whatever the table, the link and the processor.
///
/// Safe from any thread.
Millis ElectionTimeout(Millis usual,
                       const std::optional<wire::AnnounceCall>& record);

/// Terms in a row that had ended unsettled when the leader of this record began
/// its own; 0 if it has settled since.
int32_t UnstableTerms(const std::optional<wire::AnnounceCall>& record);

/// The same once that leader has been replaced for its silence.
int32_t UnstableTermsAfter(const std::optional<wire::AnnounceCall>& record);

/// Most doublings: 16 times 450 ms is longer than 5,000 jobs take over a link
/// of 2 Mbit/s (4.5 s), and short against a day without service should the
/// fleet's fifth leader in a row die as well.
inline constexpr int32_t kMaxTimeoutDoublings = 4;

}  // namespace mimosarail::leadership
