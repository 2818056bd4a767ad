include "platform.thrift"
namespace cpp mimosarail.wire

enum EntryPhase { kJoining = 0, kReady = 1, kLeaving = 2 }

struct TeamUse { 1: string team 2: i64 millicores 3: i32 waiting }

/** Bounded in size: what one entry instance says of itself twice a second. */
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
  /** Now and then, at most kMaxTeamsTold of them. */
  13: list<TeamUse> teams
  14: bool has_teams
  /** Names of the entries that it hears now. */
  15: list<string> heard
}
