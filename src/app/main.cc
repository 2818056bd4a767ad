#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "src/app/daemon.h"
#include "src/libs/settings/settings.h"

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

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "entry instance of the mimosarail cluster scheduler\n"
      "  mimosaraild --settings FILE\n"
      "  mimosaraild --settings FILE --check_settings\n"
      "  mimosaraild [--settings FILE] --print_settings\n"
      "Stop it with SIGTERM: it hands its racks over and finishes what is in "
      "flight. Exit codes: 0 done, 1 cannot serve, 2 bad settings or usage.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  mimosarail::settings::Settings settings;
  if (FLAGS_settings.empty() && FLAGS_print_settings) {
    std::fputs(Print(settings).c_str(), stdout);
    return 0;
  }
  std::string text;
  if (!ReadFile(FLAGS_settings, text)) {
    std::fprintf(stderr, "mimosaraild: cannot read --settings '%s'\n",
                 FLAGS_settings.c_str());
    return kUsageError;
  }
  mimosarail::Findings findings;
  const auto parsed = mimosarail::settings::Parse(text, findings);
  if (!parsed) {
    std::fprintf(stderr, "%s: %zu findings\n%s", FLAGS_settings.c_str(),
                 findings.list().size(), findings.ToString().c_str());
    return kUsageError;
  }
  if (FLAGS_print_settings) std::fputs(Print(*parsed).c_str(), stdout);
  if (FLAGS_print_settings || FLAGS_check_settings) return 0;
  return mimosarail::app::RunDaemon(*parsed);
}
