include "platform.thrift"
namespace cpp mimosarail.wire

enum EntryPhase { kJoining = 0, kReady = 1, kLeaving = 2 }

struct TeamUse { 1: string team 2: i64 millicores 3: i32 waiting }

/** The state that one entry instance reports of itself twice a second.
 *  Bounded in size. */
struct Heartbeat {
  1: string name
  2: i64 incarnation
  3: string address
  4: string failure_domain
  5: EntryPhase phase
  6: i64 revision
  7: i64 sequence
  8: platform.Resources free_total
  9: platform.Resources free_largest
  10: i32 free_slots
  11: i32 upstreams
  12: i32 waiting
  /** Valid if `has_teams`: sent only with some of the heartbeats, at most
   *  kMaxTeamsPerHeartbeat teams. */
  13: list<TeamUse> teams
  14: bool has_teams
  /** Names of the entries from which the sender receives heartbeats. */
  15: list<string> heard
}
