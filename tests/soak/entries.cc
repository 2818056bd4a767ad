#include "tests/soak/entries.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

/// The term of a log line that reports a new leader; 0 for other lines.
int64_t TermLed(const std::string& line) {
  if (line.find("\"event\":\"leading\"") == std::string::npos) return 0;
  return std::stoll(Json::parse(line).value("term", "0"));
}

constexpr Millis kPollInterval{20};
constexpr Millis kMinFaultInterval{600};
constexpr Millis kMinRestartDelay{100};
constexpr Millis kMaxRestartDelay{1500};
constexpr Millis kMinPause{300};
constexpr Millis kMaxPause{3500};
/// Time after SIGTERM until the process is killed.
constexpr Millis kShutdownTimeout{6000};
/// Share of faults that hit the leader; the others hit a random entry.
constexpr size_t kLeaderPercent = 75;
/// Share of SIGKILL among the faults, and of SIGTERM among the others; the rest
/// pauses the entry.
constexpr size_t kKillPercent = 45;
constexpr size_t kTerminatePercent = 55;
/// Share of faults that come with a second fault at the same time.
constexpr size_t kSecondFaultPercent = 20;
/// Share of faults that kill all entries at once.
constexpr size_t kKillAllPercent = 3;
/// Limits of what a finding quotes from the output of an entry.
constexpr size_t kMaxQuotedLines = 40;
constexpr size_t kMaxQuotedLineBytes = 200;
/// At least this many entries stay healthy, except when all are killed.
constexpr int64_t kMinHealthy = 2;

}  // namespace

std::string FreeAddress() {
  return "127.0.0.1:" + std::to_string(scenarios::FreePort());
}

Entry::Entry(EntryOptions options) : options_(std::move(options)) {
  Json settings{
      {"name", options_.name},           {"failure_domain", "zone-a"},
      {"front_address", options_.front}, {"ready_address", FreeAddress()},
      {"peer_address", options_.peer},   {"store_address", options_.store},
      {"seeds", options_.seeds}};
  if (options_.overload_settings) {
    settings.update({{"queue_order", "delay_cost"},
                     {"admission", "deadline"},
                     {"upstream_speed_spread", 2},
                     {"link_mbps", 100}});
  }
  settings.update(options_.settings);
  std::ofstream(Path(".json")) << settings.dump(2) << "\n";
}

std::string Entry::Path(const char* suffix) const {
  return options_.folder + "/" + options_.name + suffix;
}

void Entry::Start() {
  log_size_at_start_ = LogSize();
  process_ = std::make_unique<scenarios::Process>(
      std::vector<std::string>{options_.daemon, "jobs", "--settings",
                               Path(".json")},
      Path(".log"));
  ++incarnation_;
  paused_ = shutdown_requested_ = killed_ = false;
  last_fault_at_ = Clock::now();
}

void Entry::Signal(int signal) {
  process_->Signal(signal);
  if (signal == SIGSTOP) paused_ = true;
  if (signal == SIGCONT) paused_ = false;
  if (signal == SIGKILL) killed_ = true;
  if (signal == SIGTERM) shutdown_requested_ = true;
  if (signal != SIGTERM) last_fault_at_ = Clock::now();
}

std::uintmax_t Entry::LogSize() const {
  std::error_code missing;
  const std::uintmax_t size = std::filesystem::file_size(Path(".log"), missing);
  return missing ? 0 : size;
}

std::string Entry::UnexpectedExit() {
  const int code = exit_code();
  if (killed_ || (shutdown_requested_ && code == 0)) return {};
  // Before main() begins, only the kernel can act on a SIGTERM. The entry does
  // not listen yet, so no caller is affected. From main() on, SIGTERM does not
  // end the process by itself.
  const bool ended_before_main = shutdown_requested_ && code == -SIGTERM &&
                                 LogSize() == log_size_at_start_;
  if (ended_before_main) return {};
  return name() + " ended unexpectedly, exit code " + std::to_string(code) +
         ErrorOutput();
}

std::string Entry::ErrorOutput() const {
  std::ifstream log(Path(".log"));
  log.seekg(static_cast<std::streamoff>(log_size_at_start_));
  std::string out;
  std::string line;
  size_t lines = 0;
  while (lines < kMaxQuotedLines && std::getline(log, line)) {
    if (line.empty() || line.front() == '{') continue;
    out += "\n    " + line.substr(0, kMaxQuotedLineBytes);
    ++lines;
  }
  return out;
}

int64_t Entry::last_term_led() {
  std::ifstream log(Path(".log"));
  log.seekg(log_offset_);
  std::string line;
  while (std::getline(log, line) && !log.eof()) {
    log_offset_ = log.tellg();
    last_term_led_ = std::max(last_term_led_, TermLed(line));
  }
  return last_term_led_;
}

void ProcessFaultInjector::Start() {
  RunEvery(executor_, kPollInterval, [this] { RestartEnded(); });
  ScheduleNextFault();
}

void ProcessFaultInjector::End() {
  ending_ = true;
  for (auto& entry : entries_) {
    if (entry->paused()) Signal(*entry, SIGCONT);
  }
}

void ProcessFaultInjector::KillAll() {
  for (auto& entry : entries_) Signal(*entry, SIGKILL);
}

Entry& ProcessFaultInjector::Leader() {
  return **std::max_element(entries_.begin(), entries_.end(),
                            [](const auto& a, const auto& b) {
                              return a->last_term_led() < b->last_term_led();
                            });
}

void ProcessFaultInjector::RestartEnded() {
  for (auto& entry : entries_) {
    const bool ended = !entry->alive();
    if (ended && restarting_.insert(entry.get()).second) Restart(*entry);
  }
}

void ProcessFaultInjector::Restart(Entry& entry) {
  checker_.Log(entry.name() + " ended, exit code " +
               std::to_string(entry.exit_code()));
  const std::string unexpected_exit = entry.UnexpectedExit();
  if (!unexpected_exit.empty()) checker_.AddFinding(unexpected_exit);
  executor_.RunAfter(random_.Between(kMinRestartDelay, kMaxRestartDelay),
                     [this, &entry] {
                       checker_.Log("start " + entry.name());
                       entry.Start();
                       restarting_.erase(&entry);
                     });
}

void ProcessFaultInjector::ScheduleNextFault() {
  executor_.RunAfter(random_.Between(kMinFaultInterval, max_interval_), [this] {
    if (ending_) return;
    if (random_.Percent(kKillAllPercent)) {
      KillAll();
    } else {
      InjectFault();
      if (random_.Percent(kSecondFaultPercent)) {
        InjectFault();
      }
    }
    ScheduleNextFault();
  });
}

void ProcessFaultInjector::InjectFault() {
  Entry& entry = random_.Percent(kLeaderPercent)
                     ? Leader()
                     : *entries_[random_.Below(entries_.size())];
  const auto healthy =
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& one) { return one->healthy(); });
  if (entry.healthy() && healthy <= kMinHealthy) return;
  if (random_.Percent(kKillPercent)) return Signal(entry, SIGKILL);
  if (random_.Percent(kTerminatePercent)) {
    Signal(entry, SIGTERM);
    return SignalLater(entry, SIGKILL, kShutdownTimeout);
  }
  if (entry.paused()) return;
  Signal(entry, SIGSTOP);
  SignalLater(entry, SIGCONT, random_.Between(kMinPause, kMaxPause));
}

void ProcessFaultInjector::Signal(Entry& entry, int signal) {
  if (!entry.alive()) return;
  ++signals_;
  checker_.Log("signal " + std::to_string(signal) + " to " + entry.name() +
               (&entry == &Leader() ? ", the last leader" : ""));
  entry.Signal(signal);
}

void ProcessFaultInjector::SignalLater(Entry& entry, int signal, Millis delay) {
  executor_.RunAfter(delay,
                     [this, &entry, signal, incarnation = entry.incarnation()] {
                       if (entry.incarnation() == incarnation) {
                         Signal(entry, signal);
                       }
                     });
}

}  // namespace mimosarail::soak
