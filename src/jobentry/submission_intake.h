#pragma once

#include <deque>
#include <functional>
#include <map>

#include "jobs_types.h"
#include "src/libs/base/executor.h"

namespace mimosarail::jobentry {

struct SubmissionIntakeOptions {
  /// A submission that has waited for this long is dropped: its entry waits for
  /// 1 s, and the store takes a part of that.
  Millis max_wait{500};
  /// Submissions take at most this share of the control thread's time while
  /// other work waits there.
  double time_share = 0.3;
};

/// Hands submissions to the leader between its other work, the most urgent
/// ones first. A leader whose processor is full would otherwise spend its time
/// on submissions whose callers have given up and repeat them, and accept more
/// jobs than it can start. Control thread only. Must outlive the callbacks
/// queued in its executor.
class SubmissionIntake {
 public:
  struct Submission {
    wire::SubmitJobCall call;
    std::function<void(wire::SubmitJobReply)> done;
    /// When this process received it.
    TimePoint received{};
  };
  struct Handlers {
    std::function<void(Submission)> handle;
    /// The submission has waited for too long. Nothing was done for it.
    std::function<void(Submission)> drop;
  };

  SubmissionIntake(Executor& executor, SubmissionIntakeOptions options,
                   Handlers handlers)
      : executor_(executor),
        options_(options),
        handlers_(std::move(handlers)) {}

  /// Runs one of the handlers later, exactly once.
  void Add(Submission submission);
  size_t size() const;

 private:
  using Queue = std::deque<Submission>;

  void ScheduleTurn();
  /// Handles some of the waiting submissions.
  void Turn();
  void DropExpired(TimePoint now);
  void HandleNext();

  Executor& executor_;
  SubmissionIntakeOptions options_;
  Handlers handlers_;
  /// By the priority of their queues, oldest first.
  std::map<int32_t, Queue> waiting_;
  bool turn_scheduled_ = false;
  TimePoint last_turn_end_{};
};

}  // namespace mimosarail::jobentry
