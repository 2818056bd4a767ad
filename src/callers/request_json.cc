#include "src/callers/request_json.h"

#include <algorithm>

#include "src/libs/json/object_reader.h"
#include "src/rules/names.h"

namespace mimosarail::callers {
namespace {

using json::Json;

/// Maximum deadline and run time: 7 days.
constexpr int64_t kMaxDurationMs = 7LL * 24 * 3600 * 1000;
constexpr int64_t kMaxRequestPayloadBytes = 16 << 20;
constexpr size_t kMaxKeyBytes = 64;
constexpr size_t kMaxConstraints = 64;

constexpr int kHttpOk = 200;
constexpr int kHttpCancelled = 410;
constexpr int kHttpRefused = 422;
constexpr int kHttpUnknown = 500;
constexpr int kHttpNotRun = 503;

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size()) group |= static_cast<uint8_t>(bytes[i + j]);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      out += padding ? '=' : kDigits[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return out;
}

bool IsUtf8(const std::string& bytes) {
  try {
    (void)Json(bytes).dump();
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

/// Checks members whose valid values depend on other members, and the number of
/// elements in lists.
void CheckConsistency(const wire::RequestSpec& spec,
                      json::ObjectReader& reader) {
  if (spec.kind == wire::WorkKind::kGang && spec.tasks < 2) {
    reader.Add("tasks", "a gang has at least 2");
  }
  if (spec.kind != wire::WorkKind::kGang && spec.tasks != 1) {
    reader.Add("tasks", "only a gang has more than 1");
  }
  if (spec.failure_domains.size() > kMaxConstraints) {
    reader.Add("failure_domains", "more than 64");
  }
  if (spec.racks.size() > kMaxConstraints) reader.Add("racks", "more than 64");
  if (spec.keyed && !ValidKey(spec.id)) {
    reader.Add("key", "must be 1 to 64 of A-Z a-z 0-9 . _ -");
  }
}

}  // namespace

bool ValidKey(const std::string& key) {
  if (key.empty() || key.size() > kMaxKeyBytes) return false;
  return std::all_of(key.begin(), key.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  });
}

std::optional<wire::RequestSpec> ReadRequest(const json::JsonText& text,
                                             const Json& object,
                                             const std::string& path,
                                             Findings& findings) {
  const size_t before = findings.list().size();
  json::ObjectReader reader(text, object, path, findings);
  wire::RequestSpec spec;
  spec.size.millicores = 1000;
  spec.size.memory_mb = 256;
  for (const char* key : {"team", "work"}) {
    if (!reader.Has(key)) reader.Add(key, "is missing");
  }
  reader.Read("key", spec.id, {0, 1000});
  spec.keyed = reader.Has("key");
  reader.Read("team", spec.team, {1, 64});
  reader.Read("work", spec.work, {1, 64});
  reader.ReadEnum("kind", rules::kWorkKindNames, spec.kind);
  reader.Read("tasks", spec.tasks, {1, 4096});
  int64_t millicores = spec.size.millicores;
  reader.ReadScaled("cores", millicores, {0, 100000}, 1000);
  spec.size.millicores = static_cast<int32_t>(millicores);
  reader.Read("memory_mb", spec.size.memory_mb, {0, 100000000});
  reader.Read("accelerators", spec.size.accelerators, {0, 100000});
  reader.Read("connections", spec.size.connections, {0, 100000});
  reader.Read("repeatable", spec.repeatable);
  reader.Read("deadline_ms", spec.deadline_ms, {0, kMaxDurationMs});
  reader.Read("run_ms", spec.run_ms, {0, kMaxDurationMs});
  reader.Read("urgent", spec.urgent);
  reader.Read("failure_domains", spec.failure_domains);
  reader.Read("racks", spec.racks);
  reader.Read("payload", spec.payload, {0, kMaxRequestPayloadBytes});
  CheckConsistency(spec, reader);
  reader.Finish();
  if (findings.list().size() > before) return std::nullopt;
  return spec;
}

std::optional<wire::RequestSpec> ParseRequest(const std::string& text,
                                              Findings& findings) {
  const auto parsed = json::ParseText(text, findings);
  if (!parsed) return std::nullopt;
  return ReadRequest(*parsed, parsed->value, "", findings);
}

Json OutcomeJson(const std::string& id, const wire::Outcome& outcome) {
  Json out;
  out["id"] = id;
  out["verdict"] = rules::kVerdictNames.Name(outcome.verdict);
  if (!outcome.reason.empty()) out["reason"] = outcome.reason;
  if (outcome.retry_after_ms > 0) {
    out["retry_after_ms"] = outcome.retry_after_ms;
  }
  if (!outcome.rule.empty()) out["rule"] = outcome.rule;
  out["revision"] = outcome.revision;
  if (outcome.verdict != wire::Verdict::kDone) return out;
  out["length"] = outcome.answer.size();
  out["digest"] = outcome.digest;
  if (IsUtf8(outcome.answer)) {
    out["answer"] = outcome.answer;
  } else {
    out["answer_base64"] = Base64(outcome.answer);
  }
  out["waited_ms"] = outcome.waited_ms;
  out["ran_ms"] = outcome.ran_ms;
  out["cost"] = static_cast<double>(outcome.cost_nanos) / 1e9;
  out["attempts"] = outcome.attempts;
  return out;
}

int HttpStatus(const wire::Outcome& outcome) {
  switch (outcome.verdict) {
    case wire::Verdict::kDone:
      return kHttpOk;
    case wire::Verdict::kNotRun:
      return kHttpNotRun;
    case wire::Verdict::kUnknown:
      return kHttpUnknown;
    case wire::Verdict::kRefused:
      return kHttpRefused;
    case wire::Verdict::kCancelled:
      return kHttpCancelled;
  }
  return kHttpUnknown;
}

Json FindingsJson(const Findings& findings) {
  Json out = Json::array();
  for (const Finding& finding : findings.list()) {
    out.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return out;
}

}  // namespace mimosarail::callers
