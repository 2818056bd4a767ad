#include "src/libs/faults/malformed_record_reporter.h"

#include "src/libs/logging/log.h"

namespace mimosarail::faults {

void MalformedRecordReporter::Report(RecordSource source, std::string_view key,
                                     std::string_view cause) {
  const auto [reported, inserted] =
      reported_.emplace(source, std::string(key), std::string(cause));
  if (!inserted) return;
  report_order_.push_back(reported);
  if (report_order_.size() > kMaxRemembered) {
    reported_.erase(report_order_.front());
    report_order_.pop_front();
  }
  const std::string source_name(kRecordSourceNames.Name(source));
  metrics_.Count({.name = "bad_entries", .labels = {{"of", source_name}}});
  logging::Event(logging::Level::kError, "entry not used",
                 {{"of", source_name},
                  {"key", std::string(key)},
                  {"cause", std::string(cause)}});
}

}  // namespace mimosarail::faults
