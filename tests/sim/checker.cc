#include "tests/sim/checker.h"

#include <algorithm>
#include <map>
#include <set>

#include "src/libs/base/digest.h"

namespace mimosarail::sim {
namespace {

using nlohmann::json;

/// The resources in use at one upstream.
struct Usage {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t connections = 0;
  int tasks = 0;

  void Add(const json& event, int sign) {
    millicores += sign * event["millicores"].get<int64_t>();
    memory_mb += sign * event["memory_mb"].get<int64_t>();
    accelerators += sign * event["accelerators"].get<int64_t>();
    connections += sign * event["connections"].get<int64_t>();
    tasks += sign;
  }
  bool Exceeds(const wire::Resources& capacity, int slots) const {
    return millicores > capacity.millicores || memory_mb > capacity.memory_mb ||
           accelerators > capacity.accelerators ||
           connections > capacity.connections || tasks > slots;
  }
};

/// Applies the events of the history in order and records violations.
class Replay {
 public:
  Replay(const wire::Resources& capacity, int slots,
         std::vector<std::string>& violations)
      : capacity_(capacity), slots_(slots), violations_(violations) {}

  void Apply(const json& event) {
    const std::string type = event["event"];
    if (type == "start") return Start(event);
    if (event.contains("task") && type != "start_fenced") return End(event);
  }

  int StartsOf(const std::string& request) const {
    const auto found = starts_.find(request);
    return found == starts_.end() ? 0 : found->second.total;
  }
  int MaxStartsPerTask(const std::string& request) const {
    const auto found = starts_.find(request);
    if (found == starts_.end()) return 0;
    int most = 0;
    for (const auto& [index, count] : found->second.by_index) {
      most = std::max(most, count);
    }
    return most;
  }

 private:
  struct Starts {
    int total = 0;
    std::map<int, int> by_index;
  };

  void Start(const json& event) {
    const std::string upstream = event["upstream"];
    const std::string request = event["request"];
    Usage& usage = usage_[upstream];
    usage.Add(event, 1);
    if (usage.Exceeds(capacity_, slots_)) {
      violations_.push_back("overcommit on " + upstream + " by " + request);
    }
    const std::string task_key =
        request + "#" + std::to_string(event["index"].get<int>());
    auto& upstreams = running_[task_key];
    if (!upstreams.empty()) {
      violations_.push_back("running at two upstreams at once: " + task_key +
                            " on " + upstream + " and " + *upstreams.begin());
    }
    upstreams.insert(upstream);
    Starts& starts = starts_[request];
    ++starts.total;
    ++starts.by_index[event["index"].get<int>()];
  }

  void End(const json& event) {
    const std::string upstream = event["upstream"];
    usage_[upstream].Add(event, -1);
    running_[event["request"].get<std::string>() + "#" +
             std::to_string(event["index"].get<int>())]
        .erase(upstream);
  }

  wire::Resources capacity_;
  int slots_;
  std::vector<std::string>& violations_;
  std::map<std::string, Usage> usage_;
  std::map<std::string, std::set<std::string>> running_;
  std::map<std::string, Starts> starts_;
};

void CheckAnswer(const Submission& submission,
                 std::vector<std::string>& violations) {
  const SubmitResult& result = *submission.result;
  std::string expected;
  for (int i = 0; i < submission.spec.tasks; ++i) {
    expected += submission.spec.work + " of " + result.id + " #" +
                std::to_string(i) + ": " + submission.spec.payload;
  }
  if (result.outcome.answer != expected) {
    violations.push_back("answer of " + result.id +
                         " is truncated or belongs to another request: " +
                         result.outcome.answer);
  }
  if (result.outcome.digest != Digest(result.outcome.answer)) {
    violations.push_back("digest of " + result.id +
                         " does not match its answer");
  }
}

}  // namespace

std::vector<std::string> CheckInvariants(
    const json& history, const std::vector<Submission>& submissions,
    const wire::Resources& capacity, int slots) {
  std::vector<std::string> violations;
  Replay replay(capacity, slots, violations);
  // Sorts by the time of effect; events of equal time stay in recorded order.
  std::vector<const json*> ordered;
  for (const json& event : history) ordered.push_back(&event);
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const json* a, const json* b) {
                     return (*a)["t"].get<int64_t>() < (*b)["t"].get<int64_t>();
                   });
  for (const json* event : ordered) replay.Apply(*event);
  std::map<std::string, int> possibly_run;
  for (const Submission& submission : submissions) {
    const SubmitResult& result = *submission.result;
    const bool not_run =
        result.answered && result.outcome.verdict == wire::Verdict::kNotRun;
    if (!not_run) ++possibly_run[result.id];
    if (result.answered && result.outcome.verdict == wire::Verdict::kDone) {
      CheckAnswer(submission, violations);
      if (replay.StartsOf(result.id) == 0) {
        violations.push_back(result.id + " is reported done but never ran");
      }
    }
    if (!submission.spec.repeatable && replay.MaxStartsPerTask(result.id) > 1) {
      violations.push_back(result.id + " is not repeatable but ran twice");
    }
  }
  for (const Submission& submission : submissions) {
    const SubmitResult& result = *submission.result;
    if (possibly_run.contains(result.id) || result.id.empty()) continue;
    if (replay.StartsOf(result.id) > 0) {
      violations.push_back(result.id + " is reported not run but ran");
    }
  }
  return violations;
}

int StartsOf(const json& history, const std::string& request_id) {
  int starts = 0;
  for (const json& event : history) {
    if (event["event"] == "start" && event["request"] == request_id) ++starts;
  }
  return starts;
}

}  // namespace mimosarail::sim
