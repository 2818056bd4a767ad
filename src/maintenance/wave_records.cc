#include "src/maintenance/wave_records.h"

#include <charconv>

namespace mimosarail::maintenance {
namespace {

constexpr char kHostSeparator = '/';
constexpr char kFieldSeparator = ' ';
constexpr const char* kOrderedText = "ordered";
constexpr const char* kBegunText = "begun";

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t out = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return out;
}

/// Splits at the first separator; without one, the second part is empty.
std::pair<std::string, std::string> Split(const std::string& text,
                                          char separator) {
  const size_t at = text.find(separator);
  if (at == std::string::npos) return {text, ""};
  return {text.substr(0, at), text.substr(at + 1)};
}

std::string WaveKey(int64_t wave) {
  return kWaveKeyPrefix + std::to_string(wave);
}

}  // namespace

std::string KeyOf(const HostRecord& record) {
  return WaveKey(record.wave) + kHostSeparator + record.host;
}

bool IsHostKey(const std::string& key) {
  return key.find(kHostSeparator) != std::string::npos;
}

ports::KeyedRecord Encode(const WaveRecord& record) {
  return {WaveKey(record.wave),
          std::string(ports::kWaveStatusNames.Name(record.status)) +
              kFieldSeparator + std::to_string(record.first_seen_unix_ms)};
}

ports::KeyedRecord Encode(const HostRecord& record) {
  return {KeyOf(record), std::string(record.begun ? kBegunText : kOrderedText) +
                             kFieldSeparator + record.upstream};
}

std::optional<WaveRecord> DecodeWave(const ports::KeyedRecord& record) {
  if (record.key.empty() || record.key[0] != kWaveKeyPrefix) {
    return std::nullopt;
  }
  const auto wave = ParseNumber(record.key.substr(1));
  const auto [status, first_seen] = Split(record.value, kFieldSeparator);
  const auto parsed_status = ports::kWaveStatusNames.Find(status);
  const auto first_seen_ms = ParseNumber(first_seen);
  if (!wave || !parsed_status || !first_seen_ms) return std::nullopt;
  return WaveRecord{.wave = *wave,
                    .status = *parsed_status,
                    .first_seen_unix_ms = *first_seen_ms};
}

std::optional<HostRecord> DecodeHost(const ports::KeyedRecord& record) {
  if (record.key.empty() || record.key[0] != kWaveKeyPrefix) {
    return std::nullopt;
  }
  const auto [number, host] = Split(record.key.substr(1), kHostSeparator);
  const auto wave = ParseNumber(number);
  const auto [phase, upstream] = Split(record.value, kFieldSeparator);
  const bool begun = phase == kBegunText;
  if (!wave || host.empty() || (!begun && phase != kOrderedText)) {
    return std::nullopt;
  }
  return HostRecord{
      .wave = *wave, .host = host, .begun = begun, .upstream = upstream};
}

}  // namespace mimosarail::maintenance
