#pragma once

#include <utility>
#include <vector>

#include "src/instance/instance.h"
#include "src/libs/json/json_text.h"

namespace mimosarail::callers {

// JSON documents for operators. Control thread only, except for the last two
// functions.

json::Json QueueJson(instance::Instance& instance);
json::Json InstancesJson(instance::Instance& instance);
json::Json UpstreamsJson(instance::Instance& instance);
json::Json RulesJson(instance::Instance& instance);
json::Json AuditJson(instance::Instance& instance);

/// HTTP status and body of the reply to a publish.
std::pair<int, json::Json> PublishJson(const configlog::PublishResult& result);
json::Json CostJson(const std::vector<cost::DailyCost>& lines);

}  // namespace mimosarail::callers
