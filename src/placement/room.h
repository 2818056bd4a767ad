#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/libs/base/executor.h"
#include "src/placement/amount.h"

namespace mimosarail::placement {

using RowId = uint32_t;
inline constexpr RowId kNoRow = UINT32_MAX;

/// One upstream as the decision core sees it.
struct Row {
  std::string name;
  uint32_t rack = 0;
  Amount capacity;
  Amount free;
  /// Attached, settled and not leaving: may be given new tasks.
  bool usable = false;
  int32_t tasks = 0;
  /// Failures since the last success; see Room::NoteFailure.
  int32_t failures = 0;
  TimePoint probe_after{};
};

struct Rack {
  std::string name;
  std::string failure_domain;
  std::vector<RowId> rows;
  /// Upper bound, per dimension, of what any usable row has free.
  Amount most_free;
};

struct RowOptions {
  std::string name;
  std::string rack;
  std::string failure_domain;
  Amount capacity;
};

/// Free room of the upstreams under one controller, indexed by rack. Every
/// reservation goes through Take(), which refuses what does not fit, so no
/// policy can overcommit. Not thread-safe.
class Room {
 public:
  RowId Add(RowOptions options);
  /// Precondition: the row exists. Its reservations are forgotten.
  void Remove(RowId row);
  void SetUsable(RowId row, bool usable);
  void SetCapacity(RowId row, const Amount& capacity);

  /// Reserves; false, with nothing reserved, if it does not fit.
  bool Take(RowId row, const Amount& amount, uint64_t group = 0);
  /// Reserves what already runs there, even past the capacity.
  void ForceTake(RowId row, const Amount& amount, uint64_t group = 0);
  void Give(RowId row, const Amount& amount, uint64_t group = 0);

  /// A row whose last tasks failed looks idle and would draw all work: after
  /// kProbeAfterFailures it gets one task at a time, with growing pauses.
  void NoteFailure(RowId row, TimePoint now);
  void NoteSuccess(RowId row);
  bool MayTryNow(RowId row, TimePoint now) const;

  const Row& row(RowId id) const { return rows_[id]; }
  const std::vector<Row>& rows() const { return rows_; }
  const std::vector<Rack>& racks() const { return racks_; }
  /// How many tasks of a group run on the row, in its rack, in its domain.
  int32_t GroupOnRow(uint64_t group, RowId row) const;
  int32_t GroupInRack(uint64_t group, uint32_t rack) const;
  int32_t GroupInDomain(uint64_t group, const std::string& domain) const;

  Amount total_free() const { return total_free_; }
  Amount total_capacity() const { return total_capacity_; }
  /// Per dimension, the most that one usable row has free.
  Amount MostFree() const;

  static constexpr int32_t kProbeAfterFailures = 3;

 private:
  uint32_t RackIndex(const std::string& rack, const std::string& domain);
  void RecomputeMostFree(uint32_t rack);
  void CountUsable(const Row& row, int sign);
  void Note(RowId row, uint64_t group, int32_t by);

  std::vector<Row> rows_;
  std::vector<Rack> racks_;
  std::vector<RowId> unused_;
  std::unordered_map<std::string, uint32_t> rack_index_;
  std::unordered_map<uint64_t, int32_t> groups_;
  Amount total_free_;
  Amount total_capacity_;
};

}  // namespace mimosarail::placement
