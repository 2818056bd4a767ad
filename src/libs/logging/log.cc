#include "src/libs/logging/log.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "src/libs/base/enum_table.h"

namespace mimosarail::logging {
namespace {

namespace bl = boost::log;

constexpr EnumTable kLevelNames{std::array{
    EnumName{Level::kDebug, "debug"},
    EnumName{Level::kInfo, "info"},
    EnumName{Level::kWarning, "warning"},
    EnumName{Level::kError, "error"},
}};

/// Maximum number of lines queued for standard output, about 1 MB. A stalled
/// reader must neither block the process nor exhaust its memory.
constexpr size_t kMaxQueuedLines = 4096;

std::atomic<int64_t> dropped_lines{0};

/// Writes lines to standard output on its own thread. Only that thread uses
/// Boost.Log: the library is not built with the thread sanitizer, which would
/// report its synchronization between threads as races.
class Writer {
 public:
  Writer() : thread_([this] { Run(); }) {}
  ~Writer() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_up_.notify_one();
    thread_.join();
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// Queues a line; false if the queue is full. Thread-safe.
  bool TryEnqueue(std::string line) {
    {
      std::lock_guard lock(mutex_);
      if (lines_.size() >= kMaxQueuedLines) return false;
      lines_.push_back(std::move(line));
    }
    wake_up_.notify_one();
    return true;
  }

 private:
  void Run() {
    auto backend = boost::make_shared<bl::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    using Sink = bl::sinks::synchronous_sink<bl::sinks::text_ostream_backend>;
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(bl::expressions::stream << bl::expressions::smessage);
    bl::core::get()->add_sink(sink);
    bl::sources::logger logger;
    for (;;) {
      const std::deque<std::string> lines = WaitForLines();
      if (lines.empty()) break;
      for (const std::string& line : lines) BOOST_LOG(logger) << line;
      sink->flush();
    }
    bl::core::get()->remove_sink(sink);
  }

  /// Waits for lines and returns all that are queued; empty once the writer is
  /// stopping and the queue is empty.
  std::deque<std::string> WaitForLines() {
    std::unique_lock lock(mutex_);
    wake_up_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    return std::exchange(lines_, {});
  }

  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::deque<std::string> lines_;
  bool stopping_ = false;
  std::thread thread_;
};

std::string instance_name;
Level min_level = Level::kInfo;
std::unique_ptr<Writer> writer;

/// The current UTC date and time with microseconds.
std::string TimeText() {
  using std::chrono::microseconds;
  constexpr int64_t kMicrosPerSecond = 1000000;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const int64_t micros = std::chrono::duration_cast<microseconds>(now).count();
  const std::time_t seconds = micros / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
  std::snprintf(text.data() + length, text.size() - length, "%06d",
                static_cast<int>(micros % kMicrosPerSecond));
  return text.data();
}

}  // namespace

void Start(std::string_view instance, Level min) {
  instance_name = instance;
  min_level = min;
  writer = std::make_unique<Writer>();
}

void Stop() {
  writer.reset();
  instance_name.clear();
}

int64_t Dropped() { return dropped_lines.load(); }

bool Enabled(Level level) {
  return !instance_name.empty() && level >= min_level;
}

void Event(Level level, std::string_view event,
           const std::vector<Field>& fields) {
  if (!Enabled(level)) return;
  nlohmann::ordered_json line;
  line["time"] = TimeText();
  line["level"] = kLevelNames.Name(level);
  line["instance"] = instance_name;
  line["event"] = event;
  for (const Field& field : fields) line[std::string(field.name)] = field.value;
  const bool queued = writer->TryEnqueue(
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (!queued) ++dropped_lines;
}

}  // namespace mimosarail::logging
