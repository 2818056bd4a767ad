#include "src/configcheck/display_names.h"

#include <algorithm>

namespace mimosarail::configcheck {
namespace {

/// Longest text that is shown in full. Prefixes of many kilobytes would make
/// each line of a table as wide.
constexpr size_t kMaxShown = 120;

bool IsControl(char c) {
  constexpr char kDelete = 0x7f;
  return (c >= 0 && c < ' ') || c == kDelete;
}

/// Cuts a UTF-8 text to kMaxShown bytes, not within a character.
std::string_view Shortened(std::string_view text) {
  constexpr unsigned kContinuationMask = 0xc0;
  constexpr unsigned kContinuation = 0x80;
  if (text.size() <= kMaxShown) return text;
  size_t end = kMaxShown;
  while (end > 0 && (static_cast<unsigned char>(text[end]) &
                     kContinuationMask) == kContinuation) {
    --end;
  }
  return text.substr(0, end);
}

}  // namespace

void DisplayNames::AddKeysOf(const ports::CellConfig& config) {
  if (!config.accounts) return;
  for (const ports::AccountConfig& account : *config.accounts) {
    keys_.insert(account.keys.begin(), account.keys.end());
  }
}

std::string DisplayNames::Quoted(std::string_view text) const {
  if (IsKey(text)) return "(hidden, it is a key)";
  const std::string_view shown = Shortened(text);
  std::string out = "\"";
  out += shown;
  std::replace_if(out.begin(), out.end(), IsControl, '?');
  return out + (shown.size() < text.size() ? "...\"" : "\"");
}

std::string DisplayNames::Describe(const ports::QueueConfig& queue) const {
  return "queue " + Quoted(queue.policy.name) + " (host " + Quoted(queue.host) +
         ", prefix " + Quoted(queue.prefix) + ")";
}

}  // namespace mimosarail::configcheck
