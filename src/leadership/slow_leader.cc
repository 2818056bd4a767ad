// The part of Leadership that decides whether a leader is replaced although it
// may be alive.

#include "src/leadership/leader_fitness.h"
#include "src/leadership/leadership.h"
#include "src/libs/logging/log.h"

namespace mimosarail::leadership {
namespace {

using logging::Level;
using logging::Text;

std::string MillisText(Clock::duration time) {
  return Text(std::chrono::duration_cast<Millis>(time).count());
}

}  // namespace

// A leader on a machine that has become slow still renews its record, while
// callers wait for seconds: 608 of 20,835 requests were answered too late to be
// of use, 93 with this rule. The leader cannot measure this itself, since the
// work queues up in its sockets; only the entries that wait for it can. A
// single entry may be partitioned or slow itself, so a majority of the
// followers asked is required. The claim is fenced like any other.
//
// A leader whose link or processor is full answers as late. An equal entry
// would do no better, and each takeover loads all jobs over that link again,
// so that takeovers follow each other and no caller is served. Such a leader
// uses the capacity that its settings state; a machine that has become slow
// uses less.
bool Leadership::LeaderIsSlow(
    const std::optional<wire::AnnounceCall>& record) const {
  const TimePoint now = executor_.Now();
  const bool slow = now - last_answered_sent_ >= options_.unresponsive_after &&
                    now - following_since_ >=
                        ElectionTimeout(options_.min_term_duration, record) &&
                    votes_.HasMajority(now);
  if (!slow) return false;
  const bool saturated = record && record->saturated;
  return !saturated || options_.member.fitness > record->leader.fitness;
}

void Leadership::LogSlowLeader(
    const std::optional<wire::AnnounceCall>& record) const {
  const TimePoint now = executor_.Now();
  const Millis required = ElectionTimeout(options_.min_term_duration, record);
  logging::Event(Level::kWarning, "leader is slow",
                 {{"term", Text(term_)},
                  {"leader", leader_.name},
                  {"cause", "most entries get no answers in time"},
                  {"unanswered_ms", MillisText(now - last_answered_sent_)},
                  {"votes", votes_.Describe(now)},
                  {"term_ms", MillisText(now - following_since_)},
                  {"min_term_ms", Text(required.count())},
                  {"saturated", record && record->saturated ? "yes" : "no"},
                  {"replaced_alive", Text(ReplacementsBefore(record))}});
}

void Leadership::LogUnchangedRecord(
    Suspicion suspicion,
    const std::optional<wire::AnnounceCall>& record) const {
  const TimePoint now = executor_.Now();
  logging::Event(
      Level::kInfo, "leader record unchanged",
      {{"term", Text(term_)},
       {"leader", leader_.name},
       {"unchanged_ms", Text(ElectionTimeoutFor(suspicion, record).count())},
       {"unanswered_ms", MillisText(now - last_answered_sent_)},
       {"saturated", record && record->saturated ? "yes" : "no"},
       {"replaced_alive", Text(ReplacementsBefore(record))}});
}

int32_t Leadership::ReplacementsBefore(
    const std::optional<wire::AnnounceCall>& record) const {
  return LiveReplacementsBefore(
      record,
      std::chrono::duration_cast<Millis>(executor_.Now() - following_since_));
}

}  // namespace mimosarail::leadership
