#pragma once

#include <list>

namespace mimosarail::http {

/// The idle connections of a server, in the order in which they became idle.
/// All operations but iteration take constant time. Not thread-safe.
template <typename Connection>
class IdleList {
 public:
  /// Membership of one connection. The list must outlive it.
  class Entry {
   public:
    Entry(IdleList& list, Connection& connection)
        : list_(list), connection_(connection) {}
    ~Entry() { Leave(); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Joins as the most recently used, unless the connection is in the list.
    void Join() {
      if (joined_) return;
      at_ = list_.connections_.insert(list_.connections_.end(), &connection_);
      joined_ = true;
    }
    void Leave() {
      if (!joined_) return;
      list_.connections_.erase(at_);
      joined_ = false;
    }

   private:
    IdleList& list_;
    Connection& connection_;
    typename std::list<Connection*>::iterator at_;
    bool joined_ = false;
  };

  /// Longest idle first.
  auto begin() const { return connections_.begin(); }
  auto end() const { return connections_.end(); }

 private:
  std::list<Connection*> connections_;
};

}  // namespace mimosarail::http
