// Serves fakes of the platform: any of the log, the instance list and a group
// of upstreams. An HTTP control endpoint sets faults and returns the history.

#include <gflags/gflags.h>
#include <httplib.h>

#include <asio.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "src/libs/rpc/asio_executor.h"
#include "src/libs/rpc/server.h"
#include "tests/fakes/instance_list_fake.h"
#include "tests/fakes/log_server_fake.h"
#include "tests/fakes/upstream_server_fake.h"

DEFINE_string(cell, "",
              "file that lists the entries and upstreams of the cluster");
DEFINE_string(log, "", "ip:port to serve the log on");
DEFINE_string(list, "", "ip:port to serve the instance list on");
DEFINE_string(upstreams, "",
              "ip:port to serve the upstreams with this address on");
DEFINE_string(upstreams_as, "",
              "address of these upstreams in the file; --upstreams if empty");
DEFINE_string(control, "", "ip:port of the control endpoint");
DEFINE_int64(retention_ms, 600000, "how long the log keeps records");

namespace mimosarail::fakes {
namespace {

using nlohmann::json;
using rpc::HandleTyped;
using rpc::Method;

struct FakePlatform {
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
      std::fprintf(stderr, "mimosarail_fakes: %s\n",
                   port.error().message.c_str());
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

  void ServeList(std::vector<wire::ListedInstance> cluster) {
    list = std::make_unique<InstanceListFake>(executor, std::move(cluster));
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

  void ServeUpstreams(const std::vector<wire::ListedInstance>& cluster) {
    for (const wire::ListedInstance& listed : cluster) {
      if (listed.role != wire::ListedRole::kUpstream) continue;
      const std::string& listed_address =
          FLAGS_upstreams_as.empty() ? FLAGS_upstreams : FLAGS_upstreams_as;
      if (listed.address != listed_address) continue;
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
    for (const auto& instance : ParseClusterFile(change["put"].dump())) {
      list.Put(instance);
    }
  }
}

/// Runs `work` on the thread of the fakes and waits for its result.
json RunOnFakeThread(FakePlatform& platform,
                     const std::function<json()>& work) {
  std::promise<json> promise;
  platform.executor.Post([&] {
    try {
      promise.set_value(work());
    } catch (const std::exception& error) {
      promise.set_value({{"error", error.what()}});
    }
  });
  return promise.get_future().get();
}

void ServeControl(httplib::Server& server, FakePlatform& platform) {
  const auto serve = [&server, &platform](
                         const std::string& path,
                         std::function<json(const json&)> handle) {
    server.Post(path, [&platform, handle](const auto& request, auto& response) {
      const json body = json::parse(request.body, nullptr, false);
      const json result =
          RunOnFakeThread(platform, [&] { return handle(body); });
      response.set_content(result.dump(), "application/json");
    });
  };
  serve("/fault/upstream", [&platform](const json& fault) {
    const std::string name = fault.value("upstream", "*");
    for (auto& [id, upstream] : platform.upstreams) {
      if (name == "*" || name == id) SetUpstreamFault(*upstream, fault);
    }
    return json::object();
  });
  serve("/fault/log", [&platform](const json& fault) {
    if (platform.log) SetLogFault(*platform.log, fault);
    return json::object();
  });
  serve("/list", [&platform](const json& change) {
    if (platform.list) ChangeList(*platform.list, change);
    return json::object();
  });
  serve("/history",
        [&platform](const json&) { return platform.history.events(); });
  serve("/counts", [&platform](const json&) {
    return json{{"appends", platform.log ? platform.log->appends() : 0},
                {"reads", platform.log ? platform.log->reads() : 0}};
  });
}

int Run() {
  FakePlatform platform;
  const auto cluster = ParseClusterFile(ReadFile(FLAGS_cell));
  if (!FLAGS_log.empty()) platform.ServeLog();
  if (!FLAGS_list.empty()) platform.ServeList(cluster);
  if (!FLAGS_upstreams.empty()) platform.ServeUpstreams(cluster);
  httplib::Server control;
  ServeControl(control, platform);
  const size_t colon = FLAGS_control.rfind(':');
  std::thread http([&] {
    control.listen(FLAGS_control.substr(0, colon),
                   std::atoi(FLAGS_control.c_str() + colon + 1));
  });
  asio::signal_set signals(platform.io, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code, int) { platform.io.stop(); });
  platform.io.run();
  control.stop();
  http.join();
  return 0;
}

}  // namespace
}  // namespace mimosarail::fakes

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mimosarail::fakes::Run();
}
