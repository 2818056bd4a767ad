#pragma once

#include <optional>
#include <string>

#include "requests_types.h"
#include "src/libs/base/findings.h"
#include "src/libs/json/json_text.h"

namespace mimosarail::callers {

/// Reads a submission in the format that callers send (docs/API.md). `object`
/// is the value at `path` in `text`. All faults are added to `findings`.
/// Thread-safe.
std::optional<wire::RequestSpec> ReadRequest(const json::JsonText& text,
                                             const json::Json& object,
                                             const std::string& path,
                                             Findings& findings);

/// ReadRequest() for a text that is a single submission.
std::optional<wire::RequestSpec> ParseRequest(const std::string& text,
                                              Findings& findings);

/// Whether `key` is a valid idempotency key: 1 to 64 of A-Z a-z 0-9 . _ -
bool ValidKey(const std::string& key);

/// The outcome in the format that callers receive. An answer that is not UTF-8
/// is encoded in base64. Thread-safe.
json::Json OutcomeJson(const std::string& id, const wire::Outcome& outcome);

/// HTTP status of the reply with this outcome.
int HttpStatus(const wire::Outcome& outcome);

json::Json FindingsJson(const Findings& findings);

}  // namespace mimosarail::callers
