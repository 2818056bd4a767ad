#include "tests/sim/checker.h"

#include <algorithm>
#include <map>
#include <set>

#include "src/libs/base/digest.h"

namespace mimosarail::sim {
namespace {

using nlohmann::json;

struct Use {
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
  bool Over(const wire::Resources& capacity, int slots) const {
    return millicores > capacity.millicores || memory_mb > capacity.memory_mb ||
           accelerators > capacity.accelerators ||
           connections > capacity.connections || tasks > slots;
  }
};

/// Follows the history in order.
class Replay {
 public:
  Replay(const wire::Resources& capacity, int slots,
         std::vector<std::string>& violations)
      : capacity_(capacity), slots_(slots), violations_(violations) {}

  void Take(const json& event) {
    const std::string kind = event["event"];
    if (kind == "start") return Start(event);
    if (event.contains("task") && kind != "start_fenced") return End(event);
  }

  int StartsOf(const std::string& request) const {
    const auto found = starts_.find(request);
    return found == starts_.end() ? 0 : found->second.total;
  }
  int MostStartsOfOneTask(const std::string& request) const {
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
    Use& use = use_[upstream];
    use.Add(event, 1);
    if (use.Over(capacity_, slots_)) {
      violations_.push_back("overcommit on " + upstream + " by " + request);
    }
    const std::string place =
        request + "#" + std::to_string(event["index"].get<int>());
    auto& where = running_[place];
    if (!where.empty()) {
      violations_.push_back("two places at once: " + place + " on " + upstream +
                            " and " + *where.begin());
    }
    where.insert(upstream);
    Starts& starts = starts_[request];
    ++starts.total;
    ++starts.by_index[event["index"].get<int>()];
  }

  void End(const json& event) {
    const std::string upstream = event["upstream"];
    use_[upstream].Add(event, -1);
    running_[event["request"].get<std::string>() + "#" +
             std::to_string(event["index"].get<int>())]
        .erase(upstream);
  }

  wire::Resources capacity_;
  int slots_;
  std::vector<std::string>& violations_;
  std::map<std::string, Use> use_;
  std::map<std::string, std::set<std::string>> running_;
  std::map<std::string, Starts> starts_;
};

void CheckAnswer(const Submission& submission,
                 std::vector<std::string>& broken) {
  const SubmitResult& told = *submission.result;
  std::string expected;
  for (int i = 0; i < submission.spec.tasks; ++i) {
    expected += submission.spec.work + " of " + told.id + " #" +
                std::to_string(i) + ": " + submission.spec.payload;
  }
  if (told.outcome.answer != expected) {
    broken.push_back("answer of " + told.id +
                     " is cut or crossed: " + told.outcome.answer);
  }
  if (told.outcome.digest != Digest(told.outcome.answer)) {
    broken.push_back("digest of " + told.id + " does not fit");
  }
}

}  // namespace

std::vector<std::string> CheckInvariants(
    const json& history, const std::vector<Submission>& submissions,
    const wire::Resources& capacity, int slots) {
  std::vector<std::string> broken;
  Replay replay(capacity, slots, broken);
  // By time of effect; at equal times in the order of their noting.
  std::vector<const json*> ordered;
  for (const json& event : history) ordered.push_back(&event);
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const json* a, const json* b) {
                     return (*a)["t"].get<int64_t>() < (*b)["t"].get<int64_t>();
                   });
  for (const json* event : ordered) replay.Take(*event);
  std::map<std::string, int> other_than_not_run;
  for (const Submission& submission : submissions) {
    const SubmitResult& told = *submission.result;
    const bool not_run =
        told.answered && told.outcome.verdict == wire::Verdict::kNotRun;
    if (!not_run) ++other_than_not_run[told.id];
    if (told.answered && told.outcome.verdict == wire::Verdict::kDone) {
      CheckAnswer(submission, broken);
      if (replay.StartsOf(told.id) == 0) {
        broken.push_back(told.id + " is done but never ran");
      }
    }
    if (!submission.spec.repeatable &&
        replay.MostStartsOfOneTask(told.id) > 1) {
      broken.push_back(told.id + " is not repeatable and ran twice");
    }
  }
  for (const Submission& submission : submissions) {
    const SubmitResult& told = *submission.result;
    if (other_than_not_run.contains(told.id) || told.id.empty()) continue;
    if (replay.StartsOf(told.id) > 0) {
      broken.push_back(told.id + " was told not run, and ran");
    }
  }
  return broken;
}

int StartsOf(const json& history, const std::string& request_id) {
  int starts = 0;
  for (const json& event : history) {
    if (event["event"] == "start" && event["request"] == request_id) ++starts;
  }
  return starts;
}

}  // namespace mimosarail::sim
