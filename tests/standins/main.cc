// Fakes of the platform in one process: any of the log, the instance list and a
// group of upstreams. An HTTP control endpoint sets faults and returns the
// history.

#include <gflags/gflags.h>
#include <httplib.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "src/libs/rpc/asio.h"
#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/server.h"
#include "tests/standins/instance_list_fake.h"
#include "tests/standins/log_server_fake.h"
#include "tests/standins/upstream_server_fake.h"

DEFINE_string(cell, "", "file with the description of the cell");
DEFINE_string(log, "", "ip:port to serve the log on");
DEFINE_string(list, "", "ip:port to serve the instance list on");
DEFINE_string(upstreams, "",
              "ip:port to serve the cell's upstreams with this address on");
DEFINE_string(upstreams_as, "",
              "address of these upstreams in the cell; --upstreams if empty");
DEFINE_string(control, "", "ip:port of the control endpoint");
DEFINE_int64(retention_ms, 600000, "how long the log keeps records");

namespace mimosarail::standins {
namespace {

using nlohmann::json;
using rpc::HandleTyped;
using rpc::Method;

struct Standins {
  asio::io_context io{1};
  rpc::AsioExecutor executor{io};
  History history;
  std::unique_ptr<LogServerFake> log;
  std::unique_ptr<InstanceListFake> list;
  std::map<std::string, std::unique_ptr<UpstreamServerFake>> upstreams;
  std::vector<std::unique_ptr<rpc::Server>> servers;

  rpc::Server& Serve(const std::string& address,
                     const std::function<void(rpc::Server&)>& add) {
    servers.push_back(std::make_unique<rpc::Server>(io));
    add(*servers.back());
    const auto port = servers.back()->Listen(address);
    if (!port.ok()) {
      std::fprintf(stderr, "standin: %s\n", port.error().message.c_str());
      std::exit(1);
    }
    return *servers.back();
  }

  void ServeLog() {
    log = std::make_unique<LogServerFake>(executor, Millis(FLAGS_retention_ms));
    Serve(FLAGS_log, [this](rpc::Server& server) {
      HandleTyped<wire::AppendCall, wire::AppendReply>(
          server, executor, Method::kAppend,
          [this](const auto& call, auto reply) { log->Append(call, reply); });
      HandleTyped<wire::ReadCall, wire::ReadReply>(
          server, executor, Method::kRead,
          [this](const auto& call, auto reply) { log->Read(call, reply); });
    });
  }

  void ServeList(std::vector<wire::ListedInstance> cell) {
    list = std::make_unique<InstanceListFake>(executor, std::move(cell));
    Serve(FLAGS_list, [this](rpc::Server& server) {
      HandleTyped<wire::ListCall, wire::ListReply>(
          server, executor, Method::kList,
          [this](const auto& call, auto reply) {
            if (!list->down()) reply(list->Fetch(call.known_version));
          });
    });
  }

  template <typename Call, typename Reply>
  void Route(rpc::Server& server, Method method,
             void (UpstreamServerFake::*handle)(
                 const Call&, std::function<void(const Reply&)>)) {
    HandleTyped<Call, Reply>(
        server, executor, method,
        [this, handle](const Call& call, std::function<void(Reply)> reply) {
          const auto found = upstreams.find(call.upstream);
          if (found == upstreams.end()) return;
          ((*found->second).*handle)(call, std::move(reply));
        });
  }

  void ServeUpstreams(const std::vector<wire::ListedInstance>& cell) {
    for (const wire::ListedInstance& listed : cell) {
      if (listed.role != wire::ListedRole::kUpstream) continue;
      const std::string& cell_address =
          FLAGS_upstreams_as.empty() ? FLAGS_upstreams : FLAGS_upstreams_as;
      if (listed.address != cell_address) continue;
      upstreams[listed.name] =
          std::make_unique<UpstreamServerFake>(executor, history, listed);
    }
    Serve(FLAGS_upstreams, [this](rpc::Server& server) {
      Route(server, Method::kAttach, &UpstreamServerFake::Attach);
      Route(server, Method::kStart, &UpstreamServerFake::Start);
      Route(server, Method::kRenew, &UpstreamServerFake::Renew);
      Route(server, Method::kSteer, &UpstreamServerFake::Steer);
      Route(server, Method::kInventory, &UpstreamServerFake::Inventory);
      Route(server, Method::kUsage, &UpstreamServerFake::Usage);
      Route(server, Method::kCollect, &UpstreamServerFake::Collect);
    });
  }
};

std::string ReadFile(const std::string& path) {
  std::ostringstream out;
  out << std::ifstream(path).rdbuf();
  return out.str();
}

void SetUpstreamFault(UpstreamServerFake& upstream, const json& fault) {
  UpstreamFaults& f = upstream.faults();
  f.down = fault.value("silent", f.down);
  f.fail_all = fault.value("fail_all", f.fail_all);
  f.drop_start_replies =
      fault.value("drop_start_replies", f.drop_start_replies);
  f.drop_starts = fault.value("drop_starts", f.drop_starts);
  f.drop_renew_replies =
      fault.value("drop_renew_replies", f.drop_renew_replies);
  f.reply_delay_ms = fault.value("delay_ms", f.reply_delay_ms);
  f.run_factor = fault.value("run_factor", f.run_factor);
  if (fault.value("die", false)) upstream.Crash();
  if (fault.value("reborn", false)) upstream.Restart();
}

void SetLogFault(LogServerFake& log, const json& fault) {
  LogFaults& f = log.faults();
  f.down = fault.value("down", f.down);
  f.reply_delay_ms = fault.value("slow_ms", f.reply_delay_ms);
  f.drop_append_replies =
      fault.value("drop_append_replies", f.drop_append_replies);
  f.drop_appends = fault.value("drop_appends", f.drop_appends);
  if (fault.contains("retention_ms")) {
    log.SetRetention(Millis(fault["retention_ms"].get<int64_t>()));
  }
  if (fault.contains("trim")) {
    log.Trim(fault["trim"]["stream"], fault["trim"]["offset"]);
  }
}

void ChangeList(InstanceListFake& list, const json& change) {
  if (change.contains("lag_ms")) {
    list.SetLag(Millis(change["lag_ms"].get<int64_t>()));
  }
  if (change.contains("down")) list.SetDown(change["down"]);
  if (change.contains("leaving")) {
    list.SetState(change["leaving"], wire::ListedState::kLeaving);
  }
  if (change.contains("live")) {
    list.SetState(change["live"], wire::ListedState::kLive);
  }
  if (change.contains("remove")) list.Remove(change["remove"]);
  if (change.contains("put")) {
    for (const auto& instance : ParseCell(change["put"].dump())) {
      list.Put(instance);
    }
  }
}

/// Runs `work` on the fakes' thread and waits for its result.
json OnStandins(Standins& standins, const std::function<json()>& work) {
  std::promise<json> promise;
  standins.executor.Post([&] {
    try {
      promise.set_value(work());
    } catch (const std::exception& error) {
      promise.set_value({{"error", error.what()}});
    }
  });
  return promise.get_future().get();
}

void ServeControl(httplib::Server& server, Standins& s) {
  const auto serve = [&server, &s](const std::string& path,
                                   std::function<json(const json&)> handle) {
    server.Post(path, [&s, handle](const auto& request, auto& response) {
      const json body = json::parse(request.body, nullptr, false);
      const json result = OnStandins(s, [&] { return handle(body); });
      response.set_content(result.dump(), "application/json");
    });
  };
  serve("/fault/upstream", [&s](const json& fault) {
    const std::string name = fault.value("upstream", "*");
    for (auto& [id, upstream] : s.upstreams) {
      if (name == "*" || name == id) SetUpstreamFault(*upstream, fault);
    }
    return json::object();
  });
  serve("/fault/log", [&s](const json& fault) {
    if (s.log) SetLogFault(*s.log, fault);
    return json::object();
  });
  serve("/list", [&s](const json& change) {
    if (s.list) ChangeList(*s.list, change);
    return json::object();
  });
  serve("/history", [&s](const json&) { return s.history.events(); });
  serve("/counts", [&s](const json&) {
    return json{{"appends", s.log ? s.log->appends() : 0},
                {"reads", s.log ? s.log->reads() : 0}};
  });
}

int Run() {
  Standins standins;
  const auto cell = ParseCell(ReadFile(FLAGS_cell));
  if (!FLAGS_log.empty()) standins.ServeLog();
  if (!FLAGS_list.empty()) standins.ServeList(cell);
  if (!FLAGS_upstreams.empty()) standins.ServeUpstreams(cell);
  httplib::Server control;
  ServeControl(control, standins);
  const size_t colon = FLAGS_control.rfind(':');
  std::thread http([&] {
    control.listen(FLAGS_control.substr(0, colon),
                   std::atoi(FLAGS_control.c_str() + colon + 1));
  });
  asio::signal_set signals(standins.io, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code, int) { standins.io.stop(); });
  standins.io.run();
  control.stop();
  http.join();
  return 0;
}

}  // namespace
}  // namespace mimosarail::standins

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mimosarail::standins::Run();
}
