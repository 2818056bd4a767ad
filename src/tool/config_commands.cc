#include "src/tool/config_commands.h"

#include <cstdio>
#include <optional>

#include "platform/config_format.h"
#include "platform/store_codec.h"
#include "src/configcheck/config_check.h"
#include "src/configcheck/config_difference.h"
#include "src/tool/input_file.h"
#include "src/tool/table.h"

namespace mimosarail::tool {
namespace {

using configcheck::ConfigFinding;
using configcheck::Severity;
using json::Json;

/// What the check of a document found.
struct Report {
  std::vector<ConfigFinding> findings;
  /// Empty without a version in force.
  std::vector<ConfigFinding> differences;
};

/// A document and, if it does not decode, why.
struct Document {
  std::optional<ports::CellConfig> config;
  std::vector<ConfigFinding> faults;
};

Document Decode(const std::string& text) {
  Findings findings;
  const Result<ports::CellConfig> decoded =
      platform::DecodeConfig(text, findings);
  Document out;
  if (!decoded.ok()) {
    out.faults.push_back(
        {Severity::kError, "document", decoded.error().message});
    return out;
  }
  if (findings.empty()) {
    out.config = decoded.value();
    return out;
  }
  for (const Finding& finding : findings.list()) {
    out.faults.push_back({Severity::kError, finding.place, finding.message});
  }
  // The decoder names only the places of shared keys.
  for (ConfigFinding& finding :
       configcheck::CheckKeyOwners(decoded.value(), platform::ConfigFormat())) {
    out.faults.push_back(std::move(finding));
  }
  return out;
}

Json ToJson(const std::vector<ConfigFinding>& findings) {
  Json out = Json::array();
  for (const ConfigFinding& finding : findings) {
    out.push_back(
        {{"severity", configcheck::kSeverityNames.Name(finding.severity)},
         {"place", finding.place},
         {"reason", finding.reason}});
  }
  return out;
}

void PrintList(const char* title, const std::vector<ConfigFinding>& findings) {
  if (findings.empty()) {
    std::printf("no %s\n", title);
    return;
  }
  std::printf("%zu %s\n", findings.size(), title);
  PrintTable(ToJson(findings), {"severity", "place", "reason"});
}

void Print(const Report& report, const Options& options) {
  if (options.json) {
    Json out{{"findings", ToJson(report.findings)}};
    if (!options.against.empty()) {
      out["differences"] = ToJson(report.differences);
    }
    std::printf("%s\n", out.dump(2).c_str());
    return;
  }
  PrintList("findings", report.findings);
  if (!options.against.empty()) PrintList("differences", report.differences);
}

ExitCode Usage(const char* message) {
  std::fprintf(stderr, "mimosarail: %s; see mimosarail --help\n", message);
  return ExitCode::kUsage;
}

/// Returns the version in force; null if it cannot be read or does not decode,
/// which is printed.
std::optional<ports::CellConfig> ReadInForce(const std::string& path) {
  const auto text = ReadInputFile(path);
  if (!text) return std::nullopt;
  Document document = Decode(*text);
  for (const ConfigFinding& fault : document.faults) {
    std::fprintf(stderr, "%s: %s: %s\n", path.c_str(), fault.place.c_str(),
                 fault.reason.c_str());
  }
  return std::move(document.config);
}

ExitCode Check(const std::string& path, const Options& options) {
  if (path == "-" && options.against == "-") {
    return Usage("only one of the two documents can be standard input");
  }
  const auto text = ReadInputFile(path);
  if (!text) return ExitCode::kUsage;
  std::optional<ports::CellConfig> in_force;
  if (!options.against.empty()) {
    in_force = ReadInForce(options.against);
    if (!in_force) return ExitCode::kUsage;
  }
  Document document = Decode(*text);
  Report report{.findings = std::move(document.faults)};
  if (document.config) {
    const platform::ConfigFormat format;
    report.findings = configcheck::CheckConfig(*document.config, format);
    if (in_force) {
      report.differences =
          configcheck::CompareConfigs(*document.config, *in_force, format);
    }
  }
  Print(report, options);
  return configcheck::HasErrors(report.findings) ||
                 configcheck::HasErrors(report.differences)
             ? ExitCode::kUsage
             : ExitCode::kOk;
}

}  // namespace

ExitCode RunConfig(const std::vector<std::string>& args,
                   const Options& options) {
  if (args.size() != 2 || args[0] != "check") {
    return Usage("config takes check and a file, or -");
  }
  return Check(args[1], options);
}

}  // namespace mimosarail::tool
