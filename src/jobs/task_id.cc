#include "src/jobs/task_id.h"

#include <array>
#include <charconv>

namespace mimosarail {
namespace {

constexpr size_t kJobIdDigits = 16;
constexpr int kHexBase = 16;

/// Removes a number from the start of `text` and returns it, or nullopt if
/// the text is malformed. A '.' must follow the number and is removed too; if
/// `last` is set, the text must end after the number.
std::optional<int32_t> ConsumeNumber(std::string_view& text, bool last) {
  int32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || value < 0) return std::nullopt;
  if (last != (next == end)) return std::nullopt;
  if (!last && *next != '.') return std::nullopt;
  const size_t used = static_cast<size_t>(next - text.data());
  text.remove_prefix(last ? used : used + 1);
  return value;
}

}  // namespace

std::optional<JobId> ParseJobId(std::string_view text) {
  if (text.size() != kJobIdDigits) return std::nullopt;
  for (const char c : text) {
    const bool digit = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    if (!digit) return std::nullopt;
  }
  JobId id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id, kHexBase);
  return id;
}

std::string JobIdText(JobId id) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  std::string out(kJobIdDigits, '0');
  for (size_t i = kJobIdDigits; i-- > 0; id >>= kBitsPerDigit) {
    out[i] = kDigits[id & (kHexBase - 1)];
  }
  return out;
}

std::string StepIdText(const StepId& id) {
  return JobIdText(id.job) + "." + std::to_string(id.occurrence) + "." +
         std::to_string(id.step);
}

std::string TaskIdText(const TaskId& id) {
  return StepIdText(id.step_id()) + "." + std::to_string(id.index);
}

std::optional<TaskId> ParseTaskId(std::string_view text) {
  if (text.size() <= kJobIdDigits || text[kJobIdDigits] != '.') {
    return std::nullopt;
  }
  const auto job = ParseJobId(text.substr(0, kJobIdDigits));
  text.remove_prefix(kJobIdDigits + 1);
  const auto occurrence = ConsumeNumber(text, false);
  if (!job || !occurrence) return std::nullopt;
  const auto step = ConsumeNumber(text, false);
  if (!step) return std::nullopt;
  const auto index = ConsumeNumber(text, true);
  if (!index) return std::nullopt;
  return TaskId{*job, *occurrence, *step, *index};
}

}  // namespace mimosarail
