#pragma once

#include <list>

#include "src/libs/base/executor.h"

namespace mimosarail {

/// Connections of a server that are in one state, in the order in which they
/// entered it.
/// All operations but iteration take constant time. Not thread-safe.
template <typename Connection>
class ConnectionList {
 public:
  struct Member {
    Connection* connection;
    /// When the connection joined.
    TimePoint since;
  };

  /// Membership of one connection. The list must outlive it.
  class Entry {
   public:
    Entry(ConnectionList& list, Connection& connection)
        : list_(list), connection_(connection) {}
    ~Entry() { Leave(); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Joins as the last, unless the connection is in the list.
    void Join() {
      if (joined_) return;
      at_ = list_.connections_.insert(list_.connections_.end(),
                                      {&connection_, Clock::now()});
      joined_ = true;
    }
    bool joined() const { return joined_; }
    void Leave() {
      if (!joined_) return;
      list_.connections_.erase(at_);
      joined_ = false;
    }

   private:
    ConnectionList& list_;
    Connection& connection_;
    typename std::list<Member>::iterator at_;
    bool joined_ = false;
  };

  /// Longest in the state first.
  auto begin() const { return connections_.begin(); }
  auto end() const { return connections_.end(); }
  bool empty() const { return connections_.empty(); }
  const Member& front() const { return connections_.front(); }

 private:
  std::list<Member> connections_;
};

}  // namespace mimosarail
