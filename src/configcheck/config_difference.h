#pragma once

#include <vector>

#include "src/configcheck/config_check.h"

namespace mimosarail::configcheck {

/// Returns what publishing `config` changes for callers while `in_force` is in
/// force: first the version, then queues, accounts and pools, each sorted by
/// name. What is removed has its place in the document in force. Takes time in
/// proportion to the sizes, with a logarithmic factor for sorting. Thread-safe.
std::vector<ConfigFinding> CompareConfigs(const ports::CellConfig& config,
                                          const ports::CellConfig& in_force,
                                          const DocumentFormat& format);

}  // namespace mimosarail::configcheck
