namespace cpp mimosarail.wire

/** One framed message of the RPC protocol; a 4-byte big-endian length precedes it. */
struct Frame {
  1: i64 id
  2: i32 method
  3: bool reply
  4: i32 error
  5: binary body
}
