#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "src/libs/base/executor.h"
#include "src/libs/metrics/metrics.h"

namespace mimosarail::http {

/// The bytes of memory that the requests of all connections may take while they
/// are received or wait for an answer. When they take more, the unfinished
/// request that has waited longest for its next bytes is closed. Not
/// thread-safe; must outlive its charges.
class RequestMemory {
 public:
  /// Counts what is closed and refused, unless `metrics` is null.
  RequestMemory(size_t budget_bytes, metrics::Registry* metrics)
      : budget_bytes_(budget_bytes), metrics_(metrics) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// What the requests of one connection take. Gives it back on destruction.
  class Charge {
   public:
    /// `close` closes the connection and releases the charge.
    Charge(RequestMemory& memory, std::function<void()> close)
        : memory_(memory), close_(std::move(close)) {}
    ~Charge() { Release(); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// An unfinished request that has just received bytes takes `bytes`.
    /// Returns false, and charges nothing, if they don't fit.
    bool Receive(size_t bytes);
    /// Complete requests take `bytes`; their connection is not closed. Returns
    /// false, and charges nothing, if they don't fit.
    bool Complete(size_t bytes);
    void Release();

   private:
    friend class RequestMemory;

    RequestMemory& memory_;
    std::function<void()> close_;
    size_t bytes_ = 0;
    bool unfinished_ = false;
    std::list<Charge*>::iterator at_;
  };

  size_t used_bytes() const { return used_bytes_; }

 private:
  /// Closes unfinished requests other than `newest` until all charges fit.
  bool MakeRoom(Charge& newest);
  void Note(const char* what);

  size_t budget_bytes_;
  metrics::Registry* metrics_;
  size_t used_bytes_ = 0;
  /// Longest without bytes first.
  std::list<Charge*> unfinished_;
  size_t unlogged_ = 0;
  TimePoint logged_at_{};
};

}  // namespace mimosarail::http
