#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

namespace mimosarail {

/// What a connection does to the others when the budget does not suffice.
enum class Overrun {
  kClosed,   ///< An unfinished message was given up for a newer one.
  kRefused,  ///< The newest message does not fit.
};

/// The bytes of memory that the messages of all connections may take while they
/// are received or wait for an answer. When they take more, the unfinished
/// message that has waited longest for its next bytes is closed. Not
/// thread-safe; must outlive its charges.
class ReceiveBudget {
 public:
  /// `on_overrun` runs for each message that is closed or refused.
  ReceiveBudget(size_t budget_bytes, std::function<void(Overrun)> on_overrun)
      : budget_bytes_(budget_bytes), on_overrun_(std::move(on_overrun)) {}
  ReceiveBudget(const ReceiveBudget&) = delete;
  ReceiveBudget& operator=(const ReceiveBudget&) = delete;

  /// What the messages of one connection take. Gives it back on destruction.
  class Charge {
   public:
    /// `close` closes the connection. The charge has been released then.
    Charge(ReceiveBudget& budget, std::function<void()> close)
        : budget_(budget), close_(std::move(close)) {}
    ~Charge() { Release(); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// An unfinished message that has just received bytes takes `bytes`.
    /// Returns false, and charges nothing, if they don't fit.
    bool Receive(size_t bytes);
    /// Complete messages take `bytes`; their connection is not closed. Returns
    /// false, and charges nothing, if they don't fit.
    bool Complete(size_t bytes);
    void Release();

   private:
    friend class ReceiveBudget;

    ReceiveBudget& budget_;
    std::function<void()> close_;
    size_t bytes_ = 0;
    bool unfinished_ = false;
    std::list<Charge*>::iterator at_;
  };

  size_t used_bytes() const { return used_bytes_; }
  size_t budget_bytes() const { return budget_bytes_; }

 private:
  /// Closes unfinished messages other than `newest` until all charges fit.
  bool MakeRoom(Charge& newest);

  size_t budget_bytes_;
  std::function<void(Overrun)> on_overrun_;
  size_t used_bytes_ = 0;
  /// Longest without bytes first.
  std::list<Charge*> unfinished_;
};

}  // namespace mimosarail
