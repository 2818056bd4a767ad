#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarail::tool {

/// Exit codes of the tool; see docs/operators/CLI.md.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,      ///< The request was refused, not run, or lost a race.
  kUsage = 2,        ///< The arguments or an input file are invalid.
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
  /// A file of requests for `rules check`, of a document for `config check`.
  std::string against;
  std::string team;
  std::string work;
  std::string compare;
  /// "ip:port" at which an entry accepts calls from its peers; used by `job`.
  std::string peer;
};

/// Returns the help text.
const char* Usage();

/// Runs one command; `args` are the arguments that are not flags.
ExitCode Run(const std::vector<std::string>& args, const Options& options);

}  // namespace mimosarail::tool
