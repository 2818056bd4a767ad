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

/// An upstream as seen by the placement code.
struct Row {
  std::string name;
  uint32_t rack = 0;
  Amount capacity;
  Amount free;
  /// Whether the upstream may get new tasks: it is attached, its tasks are
  /// known and it is not leaving.
  bool usable = false;
  int32_t tasks = 0;
  /// Consecutive failures since the last success; see Room::NoteFailure().
  int32_t failures = 0;
  TimePoint probe_after{};
};

struct Rack {
  std::string name;
  std::string failure_domain;
  std::vector<RowId> rows;
  /// Upper bound, per dimension, of the free capacity of each usable row.
  Amount most_free;
};

struct RowOptions {
  std::string name;
  std::string rack;
  std::string failure_domain;
  Amount capacity;
};

/// Free capacity of the upstreams of one controller, indexed by rack. All
/// reservations of policies go through Take(), which refuses amounts that do
/// not fit, so that no policy can overcommit. Not thread-safe.
class Room {
 public:
  RowId Add(RowOptions options);
  /// Removes a row with its reservations. Precondition: the row exists.
  void Remove(RowId row);
  void SetUsable(RowId row, bool usable);
  void SetCapacity(RowId row, const Amount& capacity);

  /// Reserves an amount; returns false and reserves nothing if it does not fit
  /// or the row is not usable.
  bool Take(RowId row, const Amount& amount, uint64_t group = 0);
  /// Reserves the amount of a task that already runs there, even beyond the
  /// capacity.
  void ForceTake(RowId row, const Amount& amount, uint64_t group = 0);
  /// Releases a reservation.
  void Give(RowId row, const Amount& amount, uint64_t group = 0);

  /// Counts a failure. A row on which tasks fail quickly looks idle and would
  /// attract all work, so after kProbeAfterFailures consecutive failures it
  /// gets only one task at a time, after exponentially growing pauses.
  void NoteFailure(RowId row, TimePoint now);
  void NoteSuccess(RowId row);
  /// Whether the row may get a task now, with regard to its failures.
  bool MayTryNow(RowId row, TimePoint now) const;

  const Row& row(RowId id) const { return rows_[id]; }
  const std::vector<Row>& rows() const { return rows_; }
  const std::vector<Rack>& racks() const { return racks_; }
  /// Number of tasks of a group on a row, in a rack, in a failure domain.
  int32_t GroupOnRow(uint64_t group, RowId row) const;
  int32_t GroupInRack(uint64_t group, uint32_t rack) const;
  int32_t GroupInDomain(uint64_t group, const std::string& domain) const;

  Amount total_free() const { return total_free_; }
  Amount total_capacity() const { return total_capacity_; }
  /// Largest free capacity of a usable row, per dimension.
  Amount MostFree() const;

  static constexpr int32_t kProbeAfterFailures = 3;

 private:
  uint32_t RackIndex(const std::string& rack, const std::string& domain);
  void RecomputeMostFree(uint32_t rack);
  void CountUsable(const Row& row, int sign);
  void AddToGroup(RowId row, uint64_t group, int32_t by);

  std::vector<Row> rows_;
  std::vector<Rack> racks_;
  std::vector<RowId> unused_;
  std::unordered_map<std::string, uint32_t> rack_index_;
  std::unordered_map<uint64_t, int32_t> groups_;
  Amount total_free_;
  Amount total_capacity_;
};

}  // namespace mimosarail::placement
