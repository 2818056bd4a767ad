#include "src/libs/faults/malformed_record_reporter.h"

#include "src/libs/logging/log.h"

namespace mimosarail::faults {

void MalformedRecordReporter::Report(RecordSource source, std::string_view key,
                                     std::string_view cause) {
  const auto [reported, fresh] =
      reported_.emplace(source, std::string(key), std::string(cause));
  if (!fresh) return;
  order_.push_back(reported);
  if (order_.size() > kMaxRemembered) {
    reported_.erase(order_.front());
    order_.pop_front();
  }
  const std::string of(kRecordSourceNames.Name(source));
  metrics_.Count({.name = "bad_entries", .labels = {{"of", of}}});
  logging::Event(
      logging::Level::kError, "entry not used",
      {{"of", of}, {"key", std::string(key)}, {"cause", std::string(cause)}});
}

}  // namespace mimosarail::faults
