#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "src/coordinator/admission.h"
#include "src/scheduling/waiting_work.h"

namespace mimosarail::coordinator {

/// Sums up waiting steps by their place in the queue order, so that a queue of
/// thousands of steps has some hundred rows. Not thread-safe.
class BacklogBuilder {
 public:
  void Add(const scheduling::WaitingStep& waiting);
  std::vector<BacklogRow> Rows() const;

 private:
  /// Numbers names, since comparing numbers is cheaper.
  class Names {
   public:
    int32_t IndexOf(const std::string& name);
    const std::string& at(int32_t index) const {
      return names_[static_cast<size_t>(index)];
    }

   private:
    std::vector<std::string> names_;
    std::unordered_map<std::string, int32_t> indexes_;
  };
  /// Priority, timeliness, latest start, queue, account, pool.
  using Key = std::tuple<int32_t, scheduling::Timeliness, int64_t, int32_t,
                         int32_t, int32_t>;

  Names names_;
  std::map<Key, double> work_;
};

}  // namespace mimosarail::coordinator
