#pragma once

#include <optional>
#include <string>

#include "requests_types.h"
#include "src/libs/base/findings.h"
#include "src/libs/json/json_text.h"

namespace mimosarail::callers {

/// Reads a submission as callers write it (docs/API.md). `text` holds
/// `object`, which stands at `path`. All faults go to `findings`. Safe from
/// any thread.
std::optional<wire::RequestSpec> ReadRequest(const json::JsonText& text,
                                             const json::Json& object,
                                             const std::string& path,
                                             Findings& findings);

/// ReadRequest() on a whole text.
std::optional<wire::RequestSpec> ParseRequest(const std::string& text,
                                              Findings& findings);

/// Whether `key` may be an idempotency key: 1 to 64 of A-Z a-z 0-9 . _ -
bool ValidKey(const std::string& key);

/// The outcome as callers read it. An answer that is not UTF-8 is given in
/// base64. Safe from any thread.
json::Json OutcomeJson(const std::string& id, const wire::Outcome& outcome);

/// HTTP status that goes with an outcome.
int HttpStatus(const wire::Outcome& outcome);

json::Json FindingsJson(const Findings& findings);

}  // namespace mimosarail::callers
