#define BOOST_TEST_MODULE daemon_signals
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "src/shutdown/signal_deferral.h"
#include "tests/scenarios/process.h"

namespace mimosarail {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kNotHandled = 3;

std::string Loopback() {
  return "127.0.0.1:" + std::to_string(scenarios::FreePort());
}

/// Runs `body` in a child process and returns its exit code, or the negative
/// number of the signal that ended it.
int RunInChild(const std::function<int()>& body) {
  const pid_t child = fork();
  if (child == 0) _exit(body());
  int status = 0;
  waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/// One daemon in a directory of its own, with short shutdown times and a
/// platform that does not answer.
class DaemonProcess {
 public:
  DaemonProcess() {
    std::string pattern = "/tmp/daemon-signals.XXXXXX";
    directory_ = mkdtemp(pattern.data());
  }
  ~DaemonProcess() { std::filesystem::remove_all(directory_); }
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts the daemon. Its settings file is a pipe, so that the daemon waits
  /// for WriteSettings() in the middle of its start.
  void StartWithoutSettings(bool jobs) {
    jobs_ = jobs;
    BOOST_REQUIRE_EQUAL(mkfifo(settings_path().c_str(), S_IRUSR | S_IWUSR), 0);
    Start();
  }

  /// Blocks until the daemon reads its settings.
  void WaitUntilItReadsSettings() {
    pipe_ = open(settings_path().c_str(), O_WRONLY | O_CLOEXEC);
    BOOST_REQUIRE_GE(pipe_, 0);
  }

  void WriteSettings() {
    const std::string text = Settings();
    // The daemon of jobs reads the file again; that must not wait.
    unlink(settings_path().c_str());
    std::ofstream(settings_path()) << text;
    // If the daemon has ended, the write fails; Wait() then returns how.
    std::signal(SIGPIPE, SIG_IGN);
    [[maybe_unused]] const ssize_t written =
        write(pipe_, text.data(), text.size());
    close(pipe_);
  }

  void StartWithSettings(bool jobs) {
    jobs_ = jobs;
    std::ofstream(settings_path()) << Settings();
    Start();
  }

  /// Blocks until the daemon logs `text` or has ended.
  void WaitUntilItLogs(const std::string& text) {
    while (process_->Alive() && Log().find(text) == std::string::npos) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  scenarios::Process& process() { return *process_; }

 private:
  std::string settings_path() const { return directory_ + "/settings.json"; }
  std::string log_path() const { return directory_ + "/log"; }

  std::string Log() const {
    std::ostringstream out;
    out << std::ifstream(log_path()).rdbuf();
    return out.str();
  }

  std::string Settings() const {
    if (jobs_) {
      return Json{{"name", "entry-0"},           {"failure_domain", "zone-a"},
                  {"front_address", Loopback()}, {"ready_address", Loopback()},
                  {"peer_address", Loopback()},  {"store_address", Loopback()},
                  {"seeds", Json::array()},      {"unready_ms", 1}}
          .dump();
    }
    return Json{{"name", "entry-0"},         {"failure_domain", "zone-a"},
                {"listen", Loopback()},      {"http_listen", Loopback()},
                {"log_address", Loopback()}, {"list_address", Loopback()},
                {"peers", Json::array()}}
        .dump();
  }

  void Start() {
    std::vector<std::string> arguments{MIMOSARAILD};
    if (jobs_) arguments.emplace_back("jobs");
    arguments.insert(arguments.end(), {"--settings", settings_path()});
    process_ = std::make_unique<scenarios::Process>(arguments, log_path());
  }

  std::string directory_;
  bool jobs_ = false;
  int pipe_ = -1;
  std::unique_ptr<scenarios::Process> process_;
};

// Guards against a process that a SIGTERM ends before its handlers exist.
BOOST_AUTO_TEST_CASE(DeferredSignalIsHandledOnceDelivered) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    const int code = RunInChild([signal] {
      shutdown::DeferSignals();
      raise(signal);
      asio::io_context io;
      asio::signal_set signals(io, signal);
      int result = kNotHandled;
      signals.async_wait([&](std::error_code, int) { result = 0; });
      const shutdown::SignalDelivery delivery;
      io.run();
      return result;
    });
    BOOST_CHECK_EQUAL(code, 0);
  }
}

// Guards against an exit that a repeated SIGTERM turns into an error.
BOOST_AUTO_TEST_CASE(SignalAfterDeliveryDoesNotEndTheProcess) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    const int code = RunInChild([signal] {
      shutdown::DeferSignals();
      {
        asio::io_context io;
        const asio::signal_set signals(io, signal);
        const shutdown::SignalDelivery delivery;
      }
      raise(signal);
      return 0;
    });
    BOOST_CHECK_EQUAL(code, 0);
  }
}

// Guards against a daemon that a SIGTERM during its start ends without a
// graceful shutdown.
BOOST_AUTO_TEST_CASE(SigtermDuringStartEndsInGracefulShutdown) {
  for (const bool jobs : {true, false}) {
    DaemonProcess daemon;
    daemon.StartWithoutSettings(jobs);
    daemon.WaitUntilItReadsSettings();
    daemon.process().Signal(SIGTERM);
    daemon.WriteSettings();
    BOOST_CHECK_EQUAL(daemon.process().Wait(), 0);
  }
}

// Guards against a daemon that a change of its settings during its start ends.
BOOST_AUTO_TEST_CASE(SighupDuringStartDoesNotEndTheDaemon) {
  DaemonProcess daemon;
  daemon.StartWithoutSettings(true);
  daemon.WaitUntilItReadsSettings();
  daemon.process().Signal(SIGHUP);
  daemon.WriteSettings();
  daemon.WaitUntilItLogs("\"started\"");
  daemon.process().Signal(SIGTERM);
  BOOST_CHECK_EQUAL(daemon.process().Wait(), 0);
}

// Guards against a graceful shutdown that a repeated SIGTERM turns into an
// error.
BOOST_AUTO_TEST_CASE(RepeatedSigtermEndsInGracefulShutdown) {
  constexpr int kRounds = 20;
  // Without a pause, the daemon may do nothing but run the signal handler.
  constexpr milliseconds kSignalInterval{1};
  for (int round = 0; round < kRounds; ++round) {
    DaemonProcess daemon;
    daemon.StartWithSettings(true);
    daemon.WaitUntilItLogs("\"started\"");
    while (daemon.process().Alive()) {
      daemon.process().Signal(SIGTERM);
      std::this_thread::sleep_for(kSignalInterval);
    }
    BOOST_CHECK_EQUAL(daemon.process().Wait(), 0);
  }
}

}  // namespace
}  // namespace mimosarail
