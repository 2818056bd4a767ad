#include "tests/soak/account_keys.h"

#include <nlohmann/json.hpp>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

constexpr const char* kAccounts[] = {"alice", "bob"};

}  // namespace

std::string AccountOf(JobId id) { return kAccounts[id % 2]; }
std::string OtherAccount(JobId id) { return kAccounts[(id + 1) % 2]; }

std::string AccountKeys::Key(const std::string& account, int64_t generation) {
  return account + "-key-" + std::to_string(generation);
}

std::string AccountKeys::Config(const std::string& host,
                                const std::string& prefix,
                                const std::string& pool) const {
  Json accounts = Json::array();
  for (const char* const account : kAccounts) {
    Json keys = Json::array();
    for (int64_t i = 0; i < kKeysInForce; ++i) {
      keys.push_back(Key(account, generation_ - i));
    }
    accounts.push_back({{"name", account},
                        {"apiKeys", keys},
                        {"weight", 20},
                        {"maxCount", {{"cpu", kAccountMillicores}}}});
  }
  return Json{{"version", generation_},
              {"routes",
               {{{"name", "soak"},
                 {"host", host},
                 {"prefix", prefix},
                 {"service", pool},
                 {"maxAttempts", 3}}}},
              {"services", {{{"name", pool}}}},
              {"tenants", accounts}}
      .dump();
}

}  // namespace mimosarail::soak
