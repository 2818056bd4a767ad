#include "src/tool/job_commands.h"

#include <asio.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include "src/coordinator/job_verdicts.h"
#include "src/jobs/job_state.h"
#include "src/jobs/task_id.h"
#include "src/libs/rpc/client.h"
#include "src/tool/job_file.h"

namespace mimosarail::tool {
namespace {

using coordinator::JobVerdict;

constexpr Millis kCallTimeout{3000};

/// Makes blocking calls to entries. Not thread-safe.
class BlockingClient {
 public:
  BlockingClient()
      : client_(io_),
        work_(asio::make_work_guard(io_)),
        thread_([this] { io_.run(); }) {}
  ~BlockingClient() {
    io_.stop();
    thread_.join();
  }

  template <typename Reply, typename Message>
  Result<Reply> Call(const std::string& address, rpc::Method method,
                     const Message& message) {
    std::promise<Result<std::string>> promise;
    auto future = promise.get_future();
    client_.Call(address, method, rpc::Encode(message), kCallTimeout,
                 [&promise](Result<std::string> bytes) {
                   promise.set_value(std::move(bytes));
                 });
    const Result<std::string> bytes = future.get();
    if (!bytes.ok()) return bytes.error();
    return rpc::Decode<Reply>(bytes.value());
  }

 private:
  asio::io_context io_;
  rpc::Client client_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

ExitCode CodeOf(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kConfirmed:
      return ExitCode::kOk;
    case JobVerdict::kRefused:
    case JobVerdict::kStoreUnavailable:
    case JobVerdict::kNoSuchJob:
    case JobVerdict::kIdInUse:
    case JobVerdict::kOverLimit:
    case JobVerdict::kTooLarge:
      return ExitCode::kRefused;
    default:
      return ExitCode::kUnknown;
  }
}

ExitCode Unreachable(const std::string& address, const Error& error) {
  std::fprintf(stderr, "mimosarail: %s does not answer: %s\n", address.c_str(),
               error.message.c_str());
  return ExitCode::kUnreachable;
}

/// Asks the entry at `peer` for the leader that it knows.
Result<wire::HeartbeatReply> QueryLeader(BlockingClient& client,
                                         const std::string& peer) {
  wire::HeartbeatCall heartbeat;
  // A heartbeat without a sender address is only a query. The highest version
  // keeps the configuration out of the reply.
  heartbeat.config_version = INT64_MAX;
  return client.Call<wire::HeartbeatReply>(peer, rpc::Method::kHeartbeat,
                                           heartbeat);
}

template <typename Reply, typename Message>
ExitCode CallLeader(const Options& options, rpc::Method method,
                    const Message& message,
                    std::string (*describe)(const Reply& reply)) {
  BlockingClient client;
  const auto heartbeat = QueryLeader(client, options.peer);
  if (!heartbeat.ok()) return Unreachable(options.peer, heartbeat.error());
  const std::string leader = heartbeat.value().leader.address;
  if (leader.empty()) {
    std::fprintf(stderr, "mimosarail: no leader is known at %s\n",
                 options.peer.c_str());
    return ExitCode::kUnknown;
  }
  const auto reply = client.Call<Reply>(leader, method, message);
  if (!reply.ok()) return Unreachable(leader, reply.error());
  const auto verdict = static_cast<JobVerdict>(reply.value().verdict);
  std::string line(coordinator::kJobVerdictNames.Name(verdict));
  if (verdict == JobVerdict::kConfirmed && describe != nullptr) {
    line += ", " + describe(reply.value());
  }
  std::puts(line.c_str());
  return CodeOf(verdict);
}

ExitCode Submit(const std::string& path, const Options& options) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
  } else {
    text << std::ifstream(path).rdbuf();
  }
  Findings findings;
  const auto job = ParseJobFile(text.str(), findings);
  if (!job) {
    std::fprintf(stderr, "%s: %zu findings\n%s", path.c_str(),
                 findings.list().size(), findings.ToString().c_str());
    return ExitCode::kUsage;
  }
  wire::SubmitJobCall call;
  call.job = *job;
  return CallLeader<wire::SubmitJobReply>(options, rpc::Method::kSubmitJob,
                                          call, nullptr);
}

ExitCode Leader(const Options& options) {
  BlockingClient client;
  const auto heartbeat = QueryLeader(client, options.peer);
  if (!heartbeat.ok()) return Unreachable(options.peer, heartbeat.error());
  std::puts(("term " + std::to_string(heartbeat.value().term) + ", leader " +
             heartbeat.value().leader.name + " at " +
             heartbeat.value().leader.address)
                .c_str());
  return ExitCode::kOk;
}

ExitCode Usage(const char* message) {
  std::fprintf(stderr, "mimosarail: %s; see mimosarail --help\n", message);
  return ExitCode::kUsage;
}

}  // namespace

ExitCode RunJob(const std::vector<std::string>& args, const Options& options) {
  if (options.peer.empty()) return Usage("job needs --peer IP:PORT");
  if (args.size() == 1 && args[0] == "leader") return Leader(options);
  if (args.size() != 2) return Usage("job takes a verb and its argument");
  if (args[0] == "submit") return Submit(args[1], options);
  if (args[0] == "pending") {
    wire::PendingJobsCall call;
    call.queue = args[1];
    return CallLeader<wire::PendingJobsReply>(
        options, rpc::Method::kPendingJobs, call,
        [](const wire::PendingJobsReply& reply) {
          return std::to_string(reply.pending) + " pending";
        });
  }
  const auto id = ParseJobId(args[1]);
  if (!id) return Usage("a job's id is 16 lower-case hex digits");
  if (args[0] == "state") {
    wire::JobStateCall call;
    call.id = static_cast<int64_t>(*id);
    return CallLeader<wire::JobStateReply>(
        options, rpc::Method::kJobState, call,
        [](const wire::JobStateReply& reply) {
          const auto state = static_cast<JobState>(reply.state);
          std::string out(kJobStateNames.Name(state));
          if (reply.__isset.reason) out += "\n" + reply.reason;
          return out;
        });
  }
  if (args[0] == "cancel") {
    wire::CancelJobCall call;
    call.id = static_cast<int64_t>(*id);
    return CallLeader<wire::CancelJobReply>(options, rpc::Method::kCancelJob,
                                            call, nullptr);
  }
  return Usage("unknown verb of job");
}

}  // namespace mimosarail::tool
