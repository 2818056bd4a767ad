#include "tests/soak/account_keys.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace mimosarail::soak {
namespace {

using Json = nlohmann::json;

constexpr const char* kLimited[] = {"alice", "bob"};
constexpr const char* kUnlimited = "carol";
constexpr const char* kAccounts[] = {kLimited[0], kLimited[1], kUnlimited};
/// Of so many jobs, one belongs to each account with a limit. The others run
/// as many at a time as they can.
constexpr JobId kJobsInTurn = 4;

}  // namespace

std::string AccountOf(JobId id) {
  const JobId turn = id % kJobsInTurn;
  return turn < std::size(kLimited) ? kLimited[turn] : kUnlimited;
}

std::string OtherAccount(JobId id) {
  return AccountOf(id) == kLimited[0] ? kLimited[1] : kLimited[0];
}

bool HasLimit(const std::string& account) { return account != kUnlimited; }

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
    const int limit = HasLimit(account) ? kAccountMillicores : 0;
    accounts.push_back({{"name", account},
                        {"apiKeys", keys},
                        {"weight", 20},
                        {"maxCount", {{"cpu", limit}}}});
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
