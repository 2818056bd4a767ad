#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarail::tool {

/// Exit codes of the tool; see docs/operators/CLI.md.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,      ///< The system said no: refused, not run, lost a race.
  kUsage = 2,        ///< The call's words or a file are wrong.
  kUnreachable = 3,  ///< No answer from the entry instance.
  kUnknown = 4,      ///< The outcome is unknown or not confirmed.
  kPending = 5,      ///< Not ended yet.
};

struct Options {
  std::string server;
  bool json = false;
  std::string author;
  int64_t base = -1;
  int64_t wait_ms = 0;
  std::string against;
  std::string team;
  std::string work;
  std::string compare;
  /// Where an entry takes the calls of its peers; for `job`.
  std::string peer;
};

/// Help for people who see the tool for the first time.
const char* Usage();

/// Runs one command; `words` are the arguments that are not flags.
ExitCode Run(const std::vector<std::string>& words, const Options& options);

}  // namespace mimosarail::tool
