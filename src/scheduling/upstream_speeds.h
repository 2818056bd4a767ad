#pragma once

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/jobs/job.h"
#include "src/jobs/task_id.h"
#include "src/libs/base/executor.h"

namespace mimosarail::scheduling {

/// The speed of one upstream, as placement uses it.
struct UpstreamSpeed {
  /// Speed relative to the usual one: a run takes its usual time divided by
  /// this. Near 1 while little is known.
  double factor = 1;
  /// Upstreams of about the same speed have the same class; 0 is the usual
  /// speed, higher classes are faster.
  int32_t speed_class = 0;
};

/// What is known of the speed of one upstream.
struct SpeedEstimate {
  /// See UpstreamSpeed.
  double factor = 1;
  /// From 0 (nothing is known) to 1.
  double confidence = 0;
  /// Time since the last observation; Millis::max() without any.
  Millis age = Millis::max();
};

/// One run, as the estimator identifies it.
struct ObservedRun {
  UpstreamIndex upstream = kNoUpstream;
  TaskId task;
  int64_t attempt = 0;
};

/// Estimates the speed of each upstream from the durations and the rates of
/// progress of its runs. Uses no clock and no estimates of callers.
///
/// Runs of the same step are alike, therefore a run is compared only with runs
/// of its step on other upstreams. The logarithm of a duration is the sum of
/// the step's work and the upstream's slowness. Both are fitted alternately by
/// medians, which long runs (3 % take 7 times as long) hardly affect. Factors
/// are relative to the mean of the middle half of all upstreams.
///
/// Not thread-safe.
class UpstreamSpeeds {
 public:
  /// A run has succeeded `duration` after its start. Not to be called for
  /// members of gangs, which end with the slowest one, or for runs that resumed
  /// from a checkpoint. Precondition: duration > 0.
  void NoteCompleted(const ObservedRun& run, Millis duration, TimePoint now);
  /// A report lists the run with this progress. `started_at` is when it started
  /// at 0 %; TimePoint() if that is unknown, or if it resumed from a
  /// checkpoint.
  void NoteProgress(const ObservedRun& run, int32_t percent,
                    TimePoint started_at, TimePoint now);
  /// Forgets what is known of the upstream, since it has restarted, has changed
  /// its kind or is gone.
  void Reset(UpstreamIndex upstream);
  /// Updates the estimates from the observations if the last update is at least
  /// kUpdatePeriod ago. Call regularly.
  void Update(TimePoint now);

  /// Returns the factor as of the last update; 1 if nothing is known.
  double Factor(UpstreamIndex upstream) const { return Speed(upstream).factor; }
  UpstreamSpeed Speed(UpstreamIndex upstream) const {
    return upstream < upstreams_.size() ? upstreams_[upstream].speed
                                        : UpstreamSpeed{};
  }
  SpeedEstimate Estimate(UpstreamIndex upstream, TimePoint now) const;
  /// Returns how many times as fast the fast upstreams (90th percentile) are as
  /// the slow ones (10th percentile). Returns 1 unless most of the upstreams
  /// that run tasks have enough observations.
  double spread() const { return spread_; }

  /// An upstream that becomes slow or fast is to be noticed within 1 s, and a
  /// fit of 350 upstreams takes less than 1 ms.
  static constexpr Millis kUpdatePeriod{100};

 private:
  /// Normalised duration of one run of a step.
  struct Sample {
    UpstreamIndex upstream = kNoUpstream;
    /// The sample counts only while the upstream has the same epoch.
    int32_t epoch = 0;
    double log_duration = 0;
  };
  struct StepRuns {
    std::vector<Sample> samples;
    TimePoint last{};
    /// Number of the fit for which `sorted` is valid.
    int64_t fit = -1;
    /// Logarithms of the work as seen by each run, with its upstream.
    std::vector<std::pair<double, UpstreamIndex>> sorted;
  };
  /// The newest observation of one run.
  struct Observation {
    TaskId task;
    int64_t attempt = 0;
    /// Index in StepRuns::samples; -1 until the duration is known.
    int32_t sample = -1;
    /// The runs of its step; null until the duration is known. Dropped together
    /// with the observation.
    StepRuns* step = nullptr;
    double log_duration = 0;
    TimePoint at{};
    bool ended = false;
    /// Base of the rate of progress.
    TimePoint base_time{};
    int32_t base_percent = 0;
    /// Deviation of the newest rate from the run's earlier one, as a logarithm;
    /// positive if the run has become faster.
    double acceleration = 0;
    /// Estimate of the upstream's log factor by this run alone; valid in a fit.
    double residual = 0;
  };
  struct UpstreamState {
    /// The newest observations, newest last.
    std::vector<Observation> runs;
    /// Increased when older observations stop to count.
    int32_t epoch = 0;
    TimePoint changed_at{};
    TimePoint last{};
    double log_factor = 0;
    /// Number of observations behind `log_factor`.
    double weight = 0;
    UpstreamSpeed speed;
  };

  UpstreamState& StateOf(UpstreamIndex upstream);
  /// Returns the observation of the run; adds one if there is none.
  static Observation& FindOrAdd(UpstreamState& state, const ObservedRun& run);
  /// Stores a duration and moves the observation to the end of the list.
  /// `seen` is invalid afterwards.
  void Store(UpstreamState& state, UpstreamIndex upstream, Observation& seen,
             double log_duration, TimePoint now);
  /// Sorts the samples of the step for the current fit.
  void SortSamples(StepRuns& step) const;
  /// Returns the median work of the step by its runs on other upstreams; false
  /// if there are none.
  static bool WorkByOthers(const StepRuns& step, UpstreamIndex upstream,
                           double& work);
  /// Adjusts all factors once.
  void Fit(TimePoint now);
  void FitUpstream(UpstreamIndex upstream, TimePoint now);
  /// Returns true if the newest runs agree that the speed has changed, and
  /// drops the older ones. `newest` begins with the newest observation.
  static bool DropOutdated(UpstreamState& state,
                           const std::vector<Observation*>& newest,
                           TimePoint now);
  /// Makes the factors relative to the mean of the middle half.
  void Normalize();
  void UpdateSpread(TimePoint now);
  void DropOldSteps(TimePoint now);

  std::vector<UpstreamState> upstreams_;
  std::unordered_map<StepId, StepRuns> steps_;
  int64_t fits_ = 0;
  TimePoint updated_at_{};
  TimePoint cleaned_at_{};
  double spread_ = 1;
};

}  // namespace mimosarail::scheduling
