#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>

#include "src/app/daemon.h"
#include "src/app/job_daemon.h"
#include "src/libs/settings/job_settings.h"
#include "src/libs/settings/settings.h"
#include "src/shutdown/signal_deferral.h"

DEFINE_string(settings, "", "settings file: JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(print_settings, false,
            "print every setting with its value, unit, bounds and help, and "
            "exit");

namespace {

constexpr int kUsageError = 2;

bool ReadFile(const std::string& path, std::string& out) {
  const std::ifstream file(path);
  if (!file) return false;
  std::ostringstream text;
  text << file.rdbuf();
  out = text.str();
  return true;
}

/// Prints or checks the parsed settings as the flags request, or else runs the
/// daemon with them.
template <typename Settings>
int RunWith(const std::optional<Settings>& parsed,
            const mimosarail::Findings& findings,
            const std::function<int(const Settings&)>& run) {
  if (!parsed) {
    std::fprintf(stderr, "%s: %zu findings\n%s", FLAGS_settings.c_str(),
                 findings.list().size(), findings.ToString().c_str());
    return kUsageError;
  }
  if (FLAGS_print_settings) std::fputs(Print(*parsed).c_str(), stdout);
  if (FLAGS_print_settings || FLAGS_check_settings) return 0;
  return run(*parsed);
}

}  // namespace

int main(int argc, char** argv) {
  // A signal during the start would end the process without an answer to
  // callers that are already connected.
  mimosarail::shutdown::DeferSignals();
  gflags::SetUsageMessage(
      "entry instance of the mimosarail cluster scheduler\n"
      "  mimosaraild --settings FILE\n"
      "      uses the simulated platform services\n"
      "  mimosaraild jobs --settings FILE\n"
      "      uses the real platform's HTTP APIs\n"
      "  mimosaraild [jobs] --settings FILE --check_settings\n"
      "  mimosaraild [jobs] [--settings FILE] --print_settings\n"
      "On SIGTERM it shuts down gracefully: it transfers its responsibilities\n"
      "to other entries and answers open requests. Exit codes: 0 clean\n"
      "shutdown, 1 cannot serve, 2 invalid settings or usage.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  namespace settings = mimosarail::settings;
  const bool jobs = argc > 1 && std::string(argv[1]) == "jobs";
  if (argc > (jobs ? 2 : 1)) {
    std::fprintf(stderr, "mimosaraild: unknown argument '%s'\n",
                 argv[argc - 1]);
    return kUsageError;
  }
  if (FLAGS_settings.empty() && FLAGS_print_settings) {
    std::fputs(jobs ? Print(settings::JobSettings()).c_str()
                    : Print(settings::Settings()).c_str(),
               stdout);
    return 0;
  }
  std::string text;
  if (!ReadFile(FLAGS_settings, text)) {
    std::fprintf(stderr, "mimosaraild: cannot read --settings '%s'\n",
                 FLAGS_settings.c_str());
    return kUsageError;
  }
  mimosarail::Findings findings;
  if (!jobs) {
    const auto parsed = settings::Parse(text, findings);
    return RunWith<settings::Settings>(parsed, findings,
                                       mimosarail::app::RunDaemon);
  }
  const auto parsed = settings::ParseJobSettings(text, findings);
  return RunWith<settings::JobSettings>(
      parsed, findings, [](const settings::JobSettings& job_settings) {
        return mimosarail::app::RunJobDaemon(job_settings, FLAGS_settings);
      });
}
