#include "src/scheduling/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mimosarail::scheduling {
namespace {

/// Number of newest runs from which the factor of an upstream is estimated. The
/// median of 9 runs that vary by 15 % has an error of about 7 %.
constexpr size_t kWindow = 9;
/// Runs that are kept in addition, since they have no estimate of their own
/// until siblings are observed.
constexpr size_t kMaxRuns = 24;
/// Number of newest runs that have to agree on a change of speed. Two long runs
/// in a row occur about once a second on 350 upstreams, three hardly ever.
constexpr size_t kRunsOfChange = 3;
/// Log of the smallest change of speed after which older runs don't count. Runs
/// of a step vary by 15 %, so that smaller ones are left to the median.
constexpr double kMinLogChange = 0.5;
/// Samples kept for each step, enough for a median.
constexpr size_t kMaxSamplesPerStep = 25;
/// A rate of progress is measured over at least this time and this progress:
/// percentages are integers.
constexpr Millis kMinRateSpan{100};
constexpr int32_t kMinRatePercent = 5;
/// After this time less progress suffices: the run is slow.
constexpr Millis kMaxRateSpan{600};
constexpr int32_t kDonePercent = 100;
/// A fit moves each factor by this fraction of the difference. With 1, two
/// upstreams that are compared only with each other would swap their errors
/// forever.
constexpr double kFitStep = 0.6;
/// The estimate is reduced towards 1 as if this many runs of factor 1 had been
/// observed.
constexpr double kPriorWeight = 0.25;
/// In a fit, the factor is reduced towards 1 as if this many runs of factor 1
/// had been observed.
constexpr double kFitPriorWeight = 0.5;
/// The weight of the observations halves in this time without new ones, so that
/// an upstream that was slow and got no tasks since is tried again.
constexpr std::chrono::duration<double> kHalfLife{10};
/// An upstream counts for the spread from this many runs on. With fewer, equal
/// upstreams seem to differ by up to 1.7.
constexpr double kMinSpreadWeight = 4;
constexpr size_t kMinSpreadUpstreams = 4;
/// Observations older than this don't count for the spread.
constexpr Millis kMaxSpreadAge{15000};
/// Steps are dropped this long after their last observation.
constexpr Millis kStepAge{10000};
constexpr Millis kCleaningPeriod{1000};

/// Speeds whose logarithms differ by less than this are of one class: estimates
/// have errors of about 10 %.
constexpr double kLogClassWidth = 0.25;

double Median(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 == 1) return *middle;
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double LogOf(std::chrono::duration<double> span) {
  return std::log(std::max(span.count(), 1e-3));
}

}  // namespace

UpstreamSpeeds::UpstreamState& UpstreamSpeeds::StateOf(UpstreamIndex upstream) {
  if (upstream >= upstreams_.size()) upstreams_.resize(upstream + 1);
  return upstreams_[upstream];
}

UpstreamSpeeds::Observation& UpstreamSpeeds::FindOrAdd(UpstreamState& state,
                                                       const ObservedRun& run) {
  const auto found = std::find_if(
      state.runs.begin(), state.runs.end(), [&](const Observation& it) {
        return it.task == run.task && it.attempt == run.attempt;
      });
  if (found != state.runs.end()) return *found;
  if (state.runs.size() >= kMaxRuns) state.runs.erase(state.runs.begin());
  state.runs.push_back({.task = run.task, .attempt = run.attempt});
  return state.runs.back();
}

void UpstreamSpeeds::Store(UpstreamState& state, UpstreamIndex upstream,
                           Observation& seen, double log_duration,
                           TimePoint now) {
  StepRuns& step = steps_[seen.task.step_id()];
  if (seen.sample < 0 && step.samples.size() < kMaxSamplesPerStep) {
    seen.sample = static_cast<int32_t>(step.samples.size());
    step.samples.emplace_back();
  }
  const Sample sample{
      .upstream = upstream, .epoch = state.epoch, .log_duration = log_duration};
  const auto index = static_cast<size_t>(seen.sample);
  if (seen.sample >= 0 && index < step.samples.size()) {
    step.samples[index] = sample;
  }
  step.last = now;
  seen.step = &step;
  seen.log_duration = log_duration;
  seen.at = now;
  state.last = now;
  const auto at = state.runs.begin() + (&seen - state.runs.data());
  std::rotate(at, at + 1, state.runs.end());
}

void UpstreamSpeeds::NoteCompleted(const ObservedRun& run, Millis duration,
                                   TimePoint now) {
  UpstreamState& state = StateOf(run.upstream);
  Observation& seen = FindOrAdd(state, run);
  if (seen.ended) return;
  seen.ended = true;
  seen.acceleration = 0;
  // The duration of a run during which the speed has changed says nothing about
  // the present speed.
  if (now - duration < state.changed_at) return;
  Store(state, run.upstream, seen, LogOf(duration), now);
}

void UpstreamSpeeds::NoteProgress(const ObservedRun& run, int32_t percent,
                                  TimePoint started_at, TimePoint now) {
  // A gang member that has done its part waits for the others at 100 %.
  if (percent >= kDonePercent) return;
  UpstreamState& state = StateOf(run.upstream);
  Observation& seen = FindOrAdd(state, run);
  if (seen.ended) return;
  if (seen.base_time == TimePoint{}) {
    seen.base_time = started_at;
    seen.base_percent = 0;
    if (started_at == TimePoint{}) {
      seen.base_time = now;
      seen.base_percent = percent;
      return;
    }
  }
  const auto span = now - seen.base_time;
  const int32_t progress = percent - seen.base_percent;
  const bool enough = span >= kMinRateSpan && progress >= kMinRatePercent;
  if (progress < 0 || (!enough && span < kMaxRateSpan)) return;
  // Without a change of the percentage up to one percent has been done.
  const double fraction = std::max(0.5, static_cast<double>(progress)) / 100;
  const double log_duration =
      LogOf(std::chrono::duration<double>(span)) - std::log(fraction);
  const bool first = seen.at == TimePoint{};
  const double previous = seen.log_duration;
  seen.acceleration = first ? 0 : previous - log_duration;
  seen.base_time = now;
  seen.base_percent = percent;
  Store(state, run.upstream, seen, log_duration, now);
}

void UpstreamSpeeds::Reset(UpstreamIndex upstream) {
  if (upstream >= upstreams_.size()) return;
  upstreams_[upstream] = {.runs = {}, .epoch = upstreams_[upstream].epoch + 1};
}

void UpstreamSpeeds::SortSamples(StepRuns& step) const {
  if (step.fit == fits_) return;
  step.fit = fits_;
  step.sorted.clear();
  for (const Sample& sample : step.samples) {
    if (sample.upstream == kNoUpstream) continue;
    const UpstreamState& state = upstreams_[sample.upstream];
    if (sample.epoch != state.epoch) continue;
    step.sorted.emplace_back(sample.log_duration + state.log_factor,
                             sample.upstream);
  }
  std::sort(step.sorted.begin(), step.sorted.end());
}

bool UpstreamSpeeds::WorkByOthers(const StepRuns& step, UpstreamIndex upstream,
                                  double& work) {
  const auto others = static_cast<size_t>(
      std::count_if(step.sorted.begin(), step.sorted.end(),
                    [&](const auto& it) { return it.second != upstream; }));
  if (others == 0) return false;
  size_t rank = 0;
  double sum = 0;
  const size_t low = (others - 1) / 2;
  const size_t high = others / 2;
  for (const auto& [value, from] : step.sorted) {
    if (from == upstream) continue;
    if (rank == low) sum += value;
    if (rank == high) {
      sum += value;
      break;
    }
    ++rank;
  }
  work = sum / 2;
  return true;
}

bool UpstreamSpeeds::DropOutdated(UpstreamState& state,
                                  const std::vector<Observation*>& newest,
                                  TimePoint now) {
  if (newest.size() < 2 * kRunsOfChange) return false;
  const auto older = newest.begin() + kRunsOfChange;
  std::vector<double> residuals;
  for (auto at = older; at != newest.end(); ++at) {
    residuals.push_back((*at)->residual);
  }
  const double before = Median(residuals);
  const bool slower = std::all_of(newest.begin(), older, [&](const auto* it) {
    return it->residual < before - kMinLogChange;
  });
  const bool faster = std::all_of(newest.begin(), older, [&](const auto* it) {
    return it->residual > before + kMinLogChange;
  });
  if (!slower && !faster) return false;
  // Runs of one step share the error of its work, unless their own rates of
  // progress have changed.
  const bool independent =
      std::any_of(newest.begin(), older, [&](const auto* it) {
        return it->step != newest.front()->step ||
               std::abs(it->acceleration) > kMinLogChange;
      });
  if (!independent) return false;
  ++state.epoch;
  state.changed_at = now;
  std::vector<Observation> kept;
  for (auto at = older; at != newest.begin();) {
    const Observation& seen = kept.emplace_back(**--at);
    if (seen.sample < 0) continue;
    seen.step->samples[static_cast<size_t>(seen.sample)].epoch = state.epoch;
  }
  state.runs = std::move(kept);
  return true;
}

void UpstreamSpeeds::FitUpstream(UpstreamIndex upstream, TimePoint now) {
  UpstreamState& state = upstreams_[upstream];
  std::vector<Observation*> newest;
  newest.reserve(kWindow);
  std::vector<double> residuals;
  residuals.reserve(kWindow);
  for (auto at = state.runs.rbegin();
       at != state.runs.rend() && newest.size() < kWindow; ++at) {
    if (at->step == nullptr) continue;
    SortSamples(*at->step);
    double work = 0;
    if (!WorkByOthers(*at->step, upstream, work)) continue;
    at->residual = work - at->log_duration;
    newest.push_back(&*at);
    residuals.push_back(at->residual);
  }
  if (newest.empty()) return;
  const bool changed = DropOutdated(state, newest, now);
  if (changed) residuals.resize(kRunsOfChange);
  state.weight = static_cast<double>(residuals.size());
  // Without the reduction, groups of upstreams that share no step, as when each
  // gang runs on upstreams of one speed, drift apart without limit: only the
  // differences within a group are observed.
  const double target =
      Median(residuals) * state.weight / (state.weight + kFitPriorWeight);
  state.log_factor += (changed ? 1 : kFitStep) * (target - state.log_factor);
}

void UpstreamSpeeds::Normalize() {
  std::vector<double> known;
  for (const UpstreamState& state : upstreams_) {
    if (state.weight > 0) known.push_back(state.log_factor);
  }
  if (known.empty()) return;
  std::sort(known.begin(), known.end());
  const auto quarter = static_cast<std::ptrdiff_t>(known.size() / 4);
  const auto begin = known.begin() + quarter;
  const auto end = known.end() - quarter;
  const double usual =
      std::accumulate(begin, end, 0.0) / static_cast<double>(end - begin);
  for (UpstreamState& state : upstreams_) {
    if (state.weight > 0) state.log_factor -= usual;
  }
}

void UpstreamSpeeds::Fit(TimePoint now) {
  ++fits_;
  for (UpstreamIndex i = 0; i < upstreams_.size(); ++i) {
    if (!upstreams_[i].runs.empty()) FitUpstream(i, now);
  }
  Normalize();
}

void UpstreamSpeeds::Update(TimePoint now) {
  if (now - updated_at_ < kUpdatePeriod) return;
  updated_at_ = now;
  DropOldSteps(now);
  Fit(now);
  for (UpstreamState& state : upstreams_) {
    if (state.weight <= 0) continue;
    const std::chrono::duration<double> age = now - state.last;
    const double weight = state.weight * std::exp2(-(age / kHalfLife));
    const double log_factor =
        state.log_factor * weight / (weight + kPriorWeight);
    state.speed = {.factor = std::exp(log_factor),
                   .speed_class = static_cast<int32_t>(
                       std::lround(log_factor / kLogClassWidth))};
  }
  UpdateSpread(now);
}

void UpstreamSpeeds::UpdateSpread(TimePoint now) {
  std::vector<double> logs;
  size_t recent = 0;
  for (const UpstreamState& state : upstreams_) {
    if (state.runs.empty() || now - state.last > kMaxSpreadAge) continue;
    ++recent;
    if (state.weight >= kMinSpreadWeight) logs.push_back(state.log_factor);
  }
  spread_ = 1;
  if (logs.size() < kMinSpreadUpstreams || 2 * logs.size() < recent) return;
  std::sort(logs.begin(), logs.end());
  const size_t tenth = logs.size() / 10;
  spread_ = std::exp(logs[logs.size() - 1 - tenth] - logs[tenth]);
}

SpeedEstimate UpstreamSpeeds::Estimate(UpstreamIndex upstream,
                                       TimePoint now) const {
  if (upstream >= upstreams_.size()) return {};
  const UpstreamState& state = upstreams_[upstream];
  if (state.weight <= 0) return {};
  const auto age = std::chrono::duration_cast<Millis>(now - state.last);
  const double weight =
      state.weight *
      std::exp2(-(std::chrono::duration<double>(age) / kHalfLife));
  return {.factor = state.speed.factor,
          .confidence = weight / (weight + 1),
          .age = age};
}

void UpstreamSpeeds::DropOldSteps(TimePoint now) {
  if (now - cleaned_at_ < kCleaningPeriod) return;
  cleaned_at_ = now;
  const auto is_old = [&](const StepRuns& step) {
    return now - step.last > kStepAge;
  };
  // Observations refer to their step.
  for (UpstreamState& state : upstreams_) {
    std::erase_if(state.runs, [&](const Observation& seen) {
      return seen.step != nullptr && is_old(*seen.step);
    });
  }
  std::erase_if(steps_, [&](const auto& it) { return is_old(it.second); });
}

}  // namespace mimosarail::scheduling
