namespace cpp mimosarail.wire

/** Cancelled jobs that the leader did not know. */
struct CancelledJobs {
  /** On whose behalf they were cancelled, as in CancelJobCall. */
  1: optional string account
  2: list<i64> ids
}

/** Cancellations of unknown jobs that came at about the same time. */
struct TombstoneRecord { 1: list<CancelledJobs> accounts }
