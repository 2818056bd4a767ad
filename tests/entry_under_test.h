#pragma once

#include <httplib.h>

#include <algorithm>
#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "src/jobs/task_id.h"
#include "src/libs/rpc/asio_executor.h"
#include "tests/scenarios/process_usage.h"
#include "tests/soak/entries.h"
#include "tests/soak/store_server_fake.h"
#include "tests/soak/upstream_server_fake.h"

namespace mimosarail {

using Json = nlohmann::json;

inline constexpr size_t kBytesPerMb = 1 << 20;
/// Memory that the entry may take, unless a test gives another limit.
inline constexpr size_t kMemoryMb = 64;
/// Sanitizers take memory of their own.
#ifdef MR_SANITIZED
inline constexpr bool kMemoryIsComparable = false;
#else
inline constexpr bool kMemoryIsComparable = true;
#endif
inline constexpr size_t kMaxConnections = 400;
/// Descriptors of an entry besides those of callers: listeners, connections to
/// store, upstream and peers, event queues, log.
inline constexpr size_t kReservedDescriptors = 64;

/// The operator's limits on requests.
inline constexpr size_t kMaxHeadBytes = 16 << 10;
inline constexpr size_t kMaxBodyBytes = 256 << 10;
inline constexpr int kHeadTimeoutMs = 1000;
inline constexpr int kIdleTimeoutMs = 1000;

inline constexpr Millis kAnswerLimit{20000};
inline constexpr Millis kStartLimit{30000};
inline constexpr Millis kRetryInterval{200};
inline constexpr Millis kWatchInterval{100};
inline constexpr std::chrono::seconds kCallTimeout{3};

inline constexpr const char* kHost = "jobs.test";
inline constexpr const char* kPrefix = "/queue/";
inline constexpr const char* kPool = "pool";

inline constexpr soak::CallFaultOptions kNoFaults{.min_latency = Millis(1),
                                                  .max_latency = Millis(1),
                                                  .refused_percent = 0,
                                                  .dropped_reply_percent = 0,
                                                  .delayed_percent = 0};

struct EntryLimits {
  size_t max_connections = kMaxConnections;
  /// Memory that the entry may take.
  size_t memory_mb = kMemoryMb;
  /// The operator's.
  int head_timeout_ms = kHeadTimeoutMs;
  int idle_timeout_ms = kIdleTimeoutMs;
};

inline std::string OperatorConfig(const EntryLimits& limits) {
  return Json{{"version", 1},
              {"routes",
               {{{"name", "jobs"},
                 {"host", kHost},
                 {"prefix", kPrefix},
                 {"service", kPool},
                 {"maxAttempts", 3}}}},
              {"services", {{{"name", kPool}}}},
              {"limits",
               {{"maxHeaderBytes", kMaxHeadBytes},
                {"maxBodyBytes", kMaxBodyBytes},
                {"headerTimeoutMs", limits.head_timeout_ms},
                {"idleTimeoutMs", limits.idle_timeout_ms}}}}
      .dump();
}

/// A job of equal steps, as the body of its submission.
inline std::string JobBody(size_t steps = 1) {
  const Json step = {{"count", 1}, {"cpu", 100}, {"estMs", 200}};
  return Json{{"spec", "ordinary"}, {"steps", Json::array_t(steps, step)}}
      .dump();
}

inline std::string MakeFolder() {
  std::string pattern = "/tmp/hostile-clients.XXXXXX";
  return mkdtemp(pattern.data());
}

/// The platform of one entry, on a thread of its own: store and one upstream.
class PlatformFake {
 public:
  explicit PlatformFake(const std::string& folder)
      : checker_(folder + "/platform.log"),
        store_(io_, executor_, kNoFaults, 1),
        upstream_(io_, executor_, checker_, "upstream-0", kNoFaults, 1) {}

  /// Returns the address of the store.
  std::string Start(const EntryLimits& limits) {
    std::string address = store_.Start();
    BOOST_REQUIRE(!address.empty() && upstream_.Start());
    store_.log().Put("keyed.op", "config", OperatorConfig(limits));
    store_.log().Put("keyed.servers", upstream_.id(),
                     upstream_.ListEntry(kPool));
    thread_ = std::thread([this] { io_.run(); });
    return address;
  }
  void Stop() {
    io_.stop();
    thread_.join();
  }

 private:
  asio::io_context io_{1};
  rpc::AsioExecutor executor_{io_};
  soak::ConsistencyChecker checker_;
  soak::StoreServerFake store_;
  soak::UpstreamServerFake upstream_;
  std::thread thread_;
};

/// Creates a platform that is never destroyed: open calls of its servers refer
/// to it.
inline PlatformFake& MakePlatform(const std::string& folder) {
  static auto* const platforms = new std::vector<std::unique_ptr<PlatformFake>>;
  platforms->push_back(std::make_unique<PlatformFake>(folder));
  return *platforms->back();
}

/// What an entry takes.
struct EntryUsage {
  size_t resident_peak_bytes = 0;
  /// Largest sum, while it was watched, of the bytes that its connections had
  /// received and it had not read.
  size_t unread_peak_bytes = 0;
  size_t descriptors = 0;
};

/// One entry process that leads and accepts jobs.
class EntryUnderTest {
 public:
  explicit EntryUnderTest(EntryLimits limits = {})
      : limits_(limits),
        folder_(MakeFolder()),
        platform_(MakePlatform(folder_)),
        entry_(Options(platform_.Start(limits))) {
    entry_.Start();
    BOOST_REQUIRE(AnswersWithin(kStartLimit));
  }
  ~EntryUnderTest() {
    entry_.Signal(SIGKILL);
    entry_.exit_code();
    platform_.Stop();
    std::filesystem::remove_all(folder_);
  }
  EntryUnderTest(const EntryUnderTest&) = delete;
  EntryUnderTest& operator=(const EntryUnderTest&) = delete;

  int port() const { return PortOf(entry_.front()); }
  int ready_port() const { return PortOf(ready_address_); }
  const std::string& peer_address() const { return peer_address_; }
  int peer_port() const { return PortOf(peer_address_); }
  pid_t pid() const { return entry_.pid(); }
  int metrics_port() const { return PortOf(metrics_address_); }

  /// Watches the bytes that wait in the kernel for `time`.
  void Watch(Millis time) {
    const TimePoint end = Clock::now() + time;
    do {
      size_t unread = 0;
      for (const int port : {this->port(), ready_port(), metrics_port()}) {
        unread += scenarios::UnreadBytes(port);
      }
      unread_peak_ = std::max(unread_peak_, unread);
      std::this_thread::sleep_for(kWatchInterval);
    } while (Clock::now() < end);
  }

  EntryUsage usage() const {
    return {.resident_peak_bytes = scenarios::ResidentPeakBytes(entry_.pid()),
            .unread_peak_bytes = unread_peak_,
            .descriptors = scenarios::OpenDescriptors(entry_.pid())};
  }
  bool alive() { return entry_.alive(); }

  /// Checks, while the crowd is connected, that the process lives within its
  /// bounds and that an ordinary request is answered.
  void CheckServes() {
    const size_t descriptors = usage().descriptors;
    const bool answers = AnswersWithin(kAnswerLimit);
    const size_t peak = usage().resident_peak_bytes;
    BOOST_TEST_MESSAGE("resident peak " << peak / kBytesPerMb << " MB, unread "
                                        << unread_peak_ / kBytesPerMb
                                        << " MB, descriptors " << descriptors
                                        << ", answers " << answers);
    BOOST_CHECK(entry_.alive());
    BOOST_CHECK(answers);
    BOOST_CHECK_LE(descriptors, limits_.max_connections + kReservedDescriptors);
    if (kMemoryIsComparable) {
      BOOST_CHECK_LT(peak + unread_peak_, limits_.memory_mb * kBytesPerMb);
    }
  }

  /// Whether a GET at this port of the entry is answered with 200.
  static bool AnswersAtWithin(int port, Millis limit) {
    return Retry(limit, [&] { return Call(port, "GET", "/", "") == 200; });
  }

  /// HTTP status of the answer to one call; 0 without an answer.
  int Status(const std::string& method, const std::string& path,
             const std::string& body = "") const {
    return Call(port(), method, path, body);
  }
  /// Body of the answer to one call; empty without an answer.
  std::string Body(const std::string& method, const std::string& path) const {
    const auto result = Send(port(), method, path, "");
    return result ? result->body : "";
  }

  /// Submits a job with this body and asks for its state; retries both like a
  /// client.
  bool AnswersWithin(Millis limit, const std::string& body = JobBody()) {
    const std::string path = kPrefix + JobIdText(++last_job_);
    return Retry(limit,
                 [&] { return Call(port(), "POST", path, body) == 200; }) &&
           Retry(limit, [&] { return Call(port(), "GET", path, "") == 200; });
  }

 private:
  soak::EntryOptions Options(const std::string& store) const {
    return {.name = "entry-0",
            .daemon = MIMOSARAILD,
            .folder = folder_,
            .front = soak::FreeAddress(),
            .peer = peer_address_,
            .store = store,
            .seeds = {peer_address_},
            .settings = {{"ready_address", ready_address_},
                         {"metrics_address", metrics_address_},
                         {"memory_mb", limits_.memory_mb},
                         {"max_connections", limits_.max_connections}}};
  }

  static int PortOf(const std::string& address) {
    return std::stoi(address.substr(address.rfind(':') + 1));
  }

  template <typename Action>
  static bool Retry(Millis limit, Action action) {
    const TimePoint end = Clock::now() + limit;
    while (!action()) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(kRetryInterval);
    }
    return true;
  }

  static httplib::Result Send(int port, const std::string& method,
                              const std::string& path,
                              const std::string& body) {
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(kCallTimeout);
    client.set_read_timeout(kCallTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", kHost}, {"X-Deadline-Ms", "3000"}};
    request.body = body;
    return client.send(request);
  }

  /// HTTP status; 0 without an answer.
  static int Call(int port, const std::string& method, const std::string& path,
                  const std::string& body) {
    const auto result = Send(port, method, path, body);
    return result ? result->status : 0;
  }

  EntryLimits limits_;
  std::string ready_address_ = soak::FreeAddress();
  std::string peer_address_ = soak::FreeAddress();
  std::string metrics_address_ = soak::FreeAddress();
  std::string folder_;
  PlatformFake& platform_;
  soak::Entry entry_;
  size_t unread_peak_ = 0;
  JobId last_job_ = 0;
};

}  // namespace mimosarail
