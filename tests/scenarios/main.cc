// Runs one scenario: scenario_runner BUILD_DIR SCRIPT.lua

#include <csignal>
#include <cstdio>
#include <lua.hpp>
#include <thread>

#include "tests/scenarios/process_cluster.h"
#include "tests/sim/checker.h"

namespace mimosarail::scenarios {
namespace {

ProcessCluster* cluster = nullptr;
std::string bin_dir;

void PushJson(lua_State* lua, const json& value) {
  if (value.is_object() || value.is_array()) {
    lua_newtable(lua);
    int index = 0;
    for (const auto& [key, item] : value.items()) {
      if (value.is_array()) {
        lua_pushinteger(lua, ++index);
      } else {
        lua_pushstring(lua, key.c_str());
      }
      PushJson(lua, item);
      lua_settable(lua, -3);
    }
    return;
  }
  if (value.is_boolean()) {
    return lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
  }
  if (value.is_number_integer()) {
    return lua_pushinteger(lua, value.get<int64_t>());
  }
  if (value.is_number()) return lua_pushnumber(lua, value.get<double>());
  if (value.is_null()) return lua_pushnil(lua);
  lua_pushstring(lua, value.get<std::string>().c_str());
}

/// Converts the Lua value at stack index `at`. An empty table becomes an
/// object.
json ToJson(lua_State* lua, int at) {
  switch (lua_type(lua, at)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, at) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, at) != 0) return lua_tointeger(lua, at);
      return lua_tonumber(lua, at);
    case LUA_TSTRING:
      return lua_tostring(lua, at);
    case LUA_TTABLE:
      break;
    default:
      return nullptr;
  }
  at = lua_absindex(lua, at);
  const bool list = lua_rawlen(lua, at) > 0;
  json out = list ? json::array() : json::object();
  lua_pushnil(lua);
  while (lua_next(lua, at) != 0) {
    if (list) {
      out.push_back(ToJson(lua, -1));
    } else {
      out[lua_tostring(lua, -2)] = ToJson(lua, -1);
    }
    lua_pop(lua, 1);
  }
  return out;
}

std::string CheckString(lua_State* lua, int at) {
  return luaL_checkstring(lua, at);
}

int PushReply(lua_State* lua, const HttpReply& reply) {
  lua_pushinteger(lua, reply.status);
  PushJson(lua, reply.body);
  return 2;
}

int Start(lua_State* lua) {
  const json options = lua_istable(lua, 1) ? ToJson(lua, 1) : json::object();
  static std::unique_ptr<ProcessCluster> owned;
  owned.reset();
  owned = std::make_unique<ProcessCluster>(bin_dir, options);
  cluster = owned.get();
  return 0;
}

int Http(lua_State* lua) {
  return PushReply(lua, cluster->Http(CheckString(lua, 1), CheckString(lua, 2),
                                      CheckString(lua, 3), ToJson(lua, 4)));
}

int HttpAsync(lua_State* lua) {
  lua_pushinteger(lua,
                  cluster->HttpAsync(CheckString(lua, 1), CheckString(lua, 2),
                                     CheckString(lua, 3), ToJson(lua, 4)));
  return 1;
}

int Result(lua_State* lua) {
  return PushReply(
      lua, cluster->Result(static_cast<int>(luaL_checkinteger(lua, 1))));
}

int Signal(lua_State* lua) {
  static const std::map<std::string, int> kSignals{{"KILL", SIGKILL},
                                                   {"STOP", SIGSTOP},
                                                   {"CONT", SIGCONT},
                                                   {"TERM", SIGTERM}};
  cluster->Signal(CheckString(lua, 1), kSignals.at(CheckString(lua, 2)));
  return 0;
}

int Wait(lua_State* lua) {
  lua_pushinteger(lua, cluster->Wait(CheckString(lua, 1)));
  return 1;
}

int Alive(lua_State* lua) {
  lua_pushboolean(lua, cluster->Alive(CheckString(lua, 1)) ? 1 : 0);
  return 1;
}

int Restart(lua_State* lua) {
  cluster->Restart(CheckString(lua, 1));
  return 0;
}

int BlockInbound(lua_State* lua) {
  cluster->SetInboundBlocked(CheckString(lua, 1), lua_toboolean(lua, 2) != 0);
  return 0;
}

int Sleep(lua_State* lua) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

int NowMs(lua_State* lua) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  lua_pushinteger(
      lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  return 1;
}

int History(lua_State* lua) {
  PushJson(lua, cluster->History());
  return 1;
}

/// check_invariants(submissions, cores, slots): each submission has id,
/// request, verdict, answer and digest. Returns the list of violations.
int CheckInvariants(lua_State* lua) {
  std::vector<sim::Submission> submissions;
  for (const json& item : ToJson(lua, 1)) {
    sim::Submission submission;
    submission.result = std::make_shared<sim::SubmitResult>();
    submission.result->id = item.value("id", "");
    const std::string verdict = item.value("verdict", "");
    submission.result->answered = verdict == "done" || verdict == "not run";
    submission.result->outcome.verdict =
        verdict == "done" ? wire::Verdict::kDone : wire::Verdict::kNotRun;
    submission.result->outcome.answer = item.value("answer", "");
    submission.result->outcome.digest = item.value("digest", "");
    const json& request = item.at("request");
    submission.spec.work = request.value("work", "");
    submission.spec.payload = request.value("payload", "");
    submission.spec.tasks = request.value("tasks", 1);
    submission.spec.repeatable = request.value("repeatable", false);
    submissions.push_back(std::move(submission));
  }
  wire::Resources capacity;
  capacity.millicores = static_cast<int32_t>(luaL_checkinteger(lua, 2)) * 1000;
  capacity.memory_mb = 8000;
  capacity.connections = 16;
  const auto violations =
      sim::CheckInvariants(cluster->History(), submissions, capacity,
                           static_cast<int>(luaL_checkinteger(lua, 3)));
  PushJson(lua, json(violations));
  return 1;
}

int RunScript(const std::string& script) {
  lua_State* lua = luaL_newstate();
  luaL_openlibs(lua);
  const std::map<std::string, lua_CFunction> functions{
      {"start", Start},
      {"http", Http},
      {"http_async", HttpAsync},
      {"result", Result},
      {"signal", Signal},
      {"wait", Wait},
      {"alive", Alive},
      {"restart", Restart},
      {"block_inbound", BlockInbound},
      {"sleep_ms", Sleep},
      {"now_ms", NowMs},
      {"history", History},
      {"check_invariants", CheckInvariants}};
  for (const auto& [name, function] : functions) {
    lua_register(lua, name.c_str(), function);
  }
  const std::string folder = script.substr(0, script.rfind('/'));
  const std::string prelude = folder + "/../prelude.lua";
  const bool failed = luaL_dofile(lua, prelude.c_str()) != LUA_OK ||
                      luaL_dofile(lua, script.c_str()) != LUA_OK;
  if (failed) {
    std::fprintf(stderr, "FAILED: %s\n", lua_tostring(lua, -1));
    if (cluster != nullptr) std::fprintf(stderr, "%s", cluster->Logs().c_str());
  }
  lua_close(lua);
  return failed ? 1 : 0;
}

}  // namespace
}  // namespace mimosarail::scenarios

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: scenario_runner BUILD_DIR SCRIPT\n");
    return 2;
  }
  mimosarail::scenarios::bin_dir = argv[1];
  return mimosarail::scenarios::RunScript(argv[2]);
}
