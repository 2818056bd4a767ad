#include "src/maintenance/wave_records.h"

#include <charconv>

namespace mimosarail::maintenance {
namespace {

constexpr char kHostMark = '/';
constexpr char kFieldMark = ' ';
constexpr const char* kOrderedWord = "ordered";
constexpr const char* kBegunWord = "begun";

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t out = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return out;
}

/// Text before and after the first mark; all of it is before if there is none.
std::pair<std::string, std::string> Split(const std::string& text, char mark) {
  const size_t at = text.find(mark);
  if (at == std::string::npos) return {text, ""};
  return {text.substr(0, at), text.substr(at + 1)};
}

std::string WaveKey(int64_t wave) { return kWavePrefix + std::to_string(wave); }

}  // namespace

std::string KeyOf(const HostRecord& record) {
  return WaveKey(record.wave) + kHostMark + record.host;
}

bool IsHostKey(const std::string& key) {
  return key.find(kHostMark) != std::string::npos;
}

ports::KeyedRecord Encode(const WaveRecord& record) {
  return {WaveKey(record.wave),
          std::string(ports::kWaveStatusNames.Name(record.status)) +
              kFieldMark + std::to_string(record.since_unix_ms)};
}

ports::KeyedRecord Encode(const HostRecord& record) {
  return {KeyOf(record), std::string(record.begun ? kBegunWord : kOrderedWord) +
                             kFieldMark + record.upstream};
}

std::optional<WaveRecord> DecodeWave(const ports::KeyedRecord& record) {
  if (record.key.empty() || record.key[0] != kWavePrefix) return std::nullopt;
  const auto wave = ParseNumber(record.key.substr(1));
  const auto [status, since] = Split(record.value, kFieldMark);
  const auto told = ports::kWaveStatusNames.Find(status);
  const auto since_ms = ParseNumber(since);
  if (!wave || !told || !since_ms) return std::nullopt;
  return WaveRecord{.wave = *wave, .status = *told, .since_unix_ms = *since_ms};
}

std::optional<HostRecord> DecodeHost(const ports::KeyedRecord& record) {
  if (record.key.empty() || record.key[0] != kWavePrefix) return std::nullopt;
  const auto [number, host] = Split(record.key.substr(1), kHostMark);
  const auto wave = ParseNumber(number);
  const auto [word, upstream] = Split(record.value, kFieldMark);
  const bool begun = word == kBegunWord;
  if (!wave || host.empty() || (!begun && word != kOrderedWord)) {
    return std::nullopt;
  }
  return HostRecord{
      .wave = *wave, .host = host, .begun = begun, .upstream = upstream};
}

}  // namespace mimosarail::maintenance
