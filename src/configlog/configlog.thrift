namespace cpp mimosarail.wire

enum ConfigKind { kPublish = 0, kCheckpoint = 1 }

/** A record of the configuration stream.
 *  A publish succeeds the revision `base`. A checkpoint states in `base` the
 *  revision in force after all records with an offset below `as_of`. */
struct ConfigRecord {
  1: ConfigKind kind
  2: string id
  3: i64 base
  4: i64 as_of
  5: string author
  6: i64 unix_ms
  7: string text
}

struct ConfigFetchCall {}
struct ConfigFetchReply { 1: i64 revision 2: i64 as_of 3: string id 4: string author 5: i64 unix_ms 6: string text }
