#include <gflags/gflags.h>

#include <algorithm>
#include <asio.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>

#include "src/libs/rpc/asio_executor.h"
#include "tests/soak/callers.h"
#include "tests/soak/entries.h"
#include "tests/soak/store_server_fake.h"
#include "tests/soak/upstream_server_fake.h"

DEFINE_uint64(seed, 1, "seed of faults and calls");
DEFINE_int32(entries, 5, "entry instances, 3 to 20");
DEFINE_int32(seconds, 20, "duration of faults and calls, 1 to 3600");
DEFINE_int32(max_signal_interval_ms, 2400,
             "longest time between two signals to entries, 600 to 60000");
DEFINE_int32(max_restart_interval_ms, 6000,
             "longest time between two restarts of upstreams, 600 to 60000; if "
             "both are long, leaders see silent upstreams answer again");
DEFINE_string(logs, "soak-logs", "directory; a run writes logs to seed-SEED");
DEFINE_string(daemon, "", "path of the daemon, mimosaraild");

namespace mimosarail::soak {
namespace {

constexpr const char* kPool = "soak-pool";
constexpr size_t kUpstreams = 4;
constexpr size_t kCallers = 24;
/// Number of entries that every entry asks for the leader.
constexpr size_t kSeedEntries = 3;
constexpr Millis kCallersPollInterval{50};
/// Random seeds reserved for each run, so that no two runs share one.
constexpr size_t kSeedsPerRun = 100;

/// Faults of a store that is slow enough for the journal to have two appends in
/// flight.
constexpr CallFaultOptions kStoreFaults{.slow_percent = 30,
                                        .max_slow_latency = Millis(220)};
constexpr CallFaultOptions kUpstreamFaults{.min_latency = Millis(1),
                                           .max_latency = Millis(10),
                                           .slow_percent = 5,
                                           .max_slow_latency = Millis(150)};

constexpr Millis kMinRestartInterval{500};
constexpr Millis kMinDowntime{450};
constexpr Millis kMaxDowntime{2500};

/// Upstreams are paused or cut off for longer than their leases, or nearly.
constexpr Millis kMinSilenceInterval{1000};
constexpr Millis kMaxSilenceInterval{7000};
constexpr Millis kMinSilence{4000};
constexpr Millis kMaxSilence{8000};
/// How long after the beginning of a silence the list entry is removed, and how
/// long after its end it is written again.
constexpr Millis kMinListEntryLife{500};
constexpr Millis kMaxListEntryLife{4000};
constexpr Millis kMaxRelistDelay{2000};

/// One run: fakes of the platform and callers on one thread, entries as
/// processes.
class Soak {
 public:
  explicit Soak(const std::string& folder)
      : folder_(folder),
        checker_(folder + "/run.log"),
        store_(io_, executor_, kStoreFaults, NextSeed()),
        client_(io_, checker_, keys_) {}

  bool Run() {
    if (!StartPlatform()) return Report();
    StartEntries();
    callers_.Start(kCallers);
    fault_injector_.Start();
    ScheduleUpstreamRestart();
    ScheduleSilence();
    executor_.RunAfter(std::chrono::seconds(FLAGS_seconds), [this] { End(); });
    io_.run();
    return Report();
  }

 private:
  uint64_t NextSeed() { return FLAGS_seed * kSeedsPerRun + ++seeds_drawn_; }

  bool StartPlatform() {
    store_address_ = store_.Start();
    PublishKeys();
    for (size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<UpstreamServerFake>(
          io_, executor_, checker_, "upstream-" + std::to_string(i),
          kUpstreamFaults, NextSeed()));
      if (!upstreams_.back()->Start()) return false;
      ListUpstream(*upstreams_.back());
    }
    return !store_address_.empty();
  }

  void PublishKeys() {
    store_.log().Put(
        "keyed.op", "config",
        keys_.Config(CallerClient::kHost, CallerClient::kPrefix, kPool));
    executor_.RunAfter(kKeyRotationPeriod, [this] {
      keys_.Rotate();
      PublishKeys();
    });
  }

  void ListUpstream(const UpstreamServerFake& upstream) {
    store_.log().Put("keyed.servers", upstream.id(), upstream.ListEntry(kPool));
  }

  /// Restarts one or more upstreams under their ids, again and again.
  void ScheduleUpstreamRestart() {
    const Millis delay = upstream_random_.Between(
        kMinRestartInterval, Millis(FLAGS_max_restart_interval_ms));
    executor_.RunAfter(delay, [this] {
      if (ending_) return;
      const size_t first = upstream_random_.Below(upstreams_.size());
      const bool several = upstream_random_.Percent(30);
      for (size_t i = 0; i < upstreams_.size(); ++i) {
        if (i != first && !several) continue;
        UpstreamServerFake& upstream = *upstreams_[i];
        upstream.Restart(upstream_random_.Between(kMinDowntime, kMaxDowntime),
                         [this, &upstream] { ListUpstream(upstream); });
      }
      ScheduleUpstreamRestart();
    });
  }

  /// Pauses or cuts off one or more upstreams, again and again.
  void ScheduleSilence() {
    executor_.RunAfter(
        silence_random_.Between(kMinSilenceInterval, kMaxSilenceInterval),
        [this] {
          if (ending_) return;
          const size_t first = silence_random_.Below(upstreams_.size());
          const bool several = silence_random_.Percent(30);
          for (size_t i = 0; i < upstreams_.size(); ++i) {
            if (i == first || several) Silence(*upstreams_[i]);
          }
          ScheduleSilence();
        });
  }

  void Silence(UpstreamServerFake& upstream) {
    const Millis span = silence_random_.Between(kMinSilence, kMaxSilence);
    const bool paused = silence_random_.Percent(50);
    const bool lapses = silence_random_.Percent(70);
    checker_.Log((paused ? "pause of " : "cut of ") + upstream.id() + " for " +
                 std::to_string(span.count()) + " ms, list entry " +
                 (lapses ? "lapses" : "remains"));
    if (paused) {
      upstream.Pause(span);
    } else {
      upstream.CutOff(span);
    }
    ++silences_;
    if (!lapses) return;
    executor_.RunAfter(
        silence_random_.Between(kMinListEntryLife, kMaxListEntryLife),
        [this, &upstream] {
          if (!ending_) store_.log().Put("keyed.servers", upstream.id(), "");
        });
    executor_.RunAfter(
        span + silence_random_.Between(Millis(0), kMaxRelistDelay),
        [this, &upstream] { ListUpstream(upstream); });
  }

  void StartEntries() {
    std::vector<std::string> peers;
    for (int i = 0; i < FLAGS_entries; ++i) peers.push_back(FreeAddress());
    const std::vector<std::string> seeds(peers.begin(),
                                         peers.begin() + kSeedEntries);
    for (const std::string& peer : peers) {
      entries_.push_back(std::make_unique<Entry>(
          EntryOptions{.name = "entry-" + std::to_string(entries_.size()),
                       .daemon = FLAGS_daemon,
                       .folder = folder_,
                       .front = FreeAddress(),
                       .peer = peer,
                       .store = store_address_,
                       .seeds = seeds,
                       .overload_settings = FLAGS_seed % 2 == 1}));
      entries_.back()->Start();
    }
  }

  void End() {
    ending_ = true;
    callers_.End();
    fault_injector_.End();
    if (callers_.active() > 0) {
      return executor_.RunAfter(kCallersPollInterval, [this] { End(); });
    }
    store_.faults().StopInjecting();
    for (auto& upstream : upstreams_) {
      upstream->faults().StopInjecting();
      upstream->EndSilence();
      ListUpstream(*upstream);
    }
    // Discards state that exists only in a leader's memory, so that the final
    // check sees only what was stored.
    fault_injector_.KillAll();
    checker_.Log("final check");
    final_check_.Start([this] { io_.stop(); });
  }

  bool Report() {
    size_t accepted = 0;
    size_t complete = 0;
    for (const auto& [id, job] : checker_.jobs()) {
      accepted += job.accepted_by.empty() ? 0 : 1;
      complete += job.final_state == "complete" ? 1 : 0;
    }
    int64_t terms = 0;
    for (auto& entry : entries_) {
      terms = std::max(terms, entry->last_term_led());
    }
    // Without an accepted job and a change of the leader the run tests nothing.
    if (accepted == 0 || terms < 2) {
      checker_.AddFinding("no job was accepted or the leader never changed");
    }
    std::printf(
        "seed %lu: %zu jobs submitted, %zu accepted, %zu complete, %zu "
        "signals, %zu silences, %ld terms, %ld appends out of sequence, %zu "
        "lost, %zu "
        "findings\n",
        FLAGS_seed, checker_.jobs().size(), accepted, complete,
        fault_injector_.signals(), silences_, terms,
        store_.log().out_of_sequence(), final_check_.lost(),
        checker_.findings().size());
    for (const std::string& finding : checker_.findings()) {
      std::printf("  %s\n", finding.c_str());
    }
    std::printf("logs: %s\n", folder_.c_str());
    entries_.clear();  // ends their processes
    return checker_.findings().empty();
  }

  std::string folder_;
  uint64_t seeds_drawn_ = 0;
  asio::io_context io_{1};
  rpc::AsioExecutor executor_{io_};
  ConsistencyChecker checker_;
  StoreServerFake store_;
  std::string store_address_;
  std::vector<std::unique_ptr<UpstreamServerFake>> upstreams_;
  AccountKeys keys_;
  CallerClient client_;
  Entries entries_;
  Callers callers_{executor_, client_, checker_, entries_, NextSeed()};
  ProcessFaultInjector fault_injector_{executor_, checker_, entries_,
                                       Millis(FLAGS_max_signal_interval_ms),
                                       NextSeed()};
  FinalCheck final_check_{executor_, client_, checker_, entries_};
  SeededRandom upstream_random_{NextSeed()};
  SeededRandom silence_random_{NextSeed()};
  /// Number of pauses and cuts of upstreams.
  size_t silences_ = 0;
  bool ending_ = false;
};

std::string MakeFolder() {
  namespace fs = std::filesystem;
  const fs::path folder =
      fs::path(FLAGS_logs) / ("seed-" + std::to_string(FLAGS_seed));
  // Errors are ignored: without the directory the run fails anyway, since no
  // entry can start.
  std::error_code ignored;
  fs::remove_all(folder, ignored);
  fs::create_directories(folder, ignored);
  return folder.string();
}

}  // namespace
}  // namespace mimosarail::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs entries as processes against fakes of the platform, forces changes "
      "of their leader under load, and checks the answers that callers got");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  constexpr int kUsageError = 2;
  const auto is_interval = [](int32_t ms) { return ms >= 600 && ms <= 60000; };
  if (FLAGS_entries < 3 || FLAGS_entries > 20 || FLAGS_seconds < 1 ||
      FLAGS_seconds > 3600 || !is_interval(FLAGS_max_signal_interval_ms) ||
      !is_interval(FLAGS_max_restart_interval_ms) || FLAGS_daemon.empty()) {
    std::fprintf(stderr, "%s: see --help\n", argv[0]);
    return kUsageError;
  }
  // Never destroyed, because idle connections of an HTTP client outlive the
  // client.
  using mimosarail::soak::Soak;
  static Soak* const soak = new Soak(mimosarail::soak::MakeFolder());
  return soak->Run() ? 0 : 1;
}
