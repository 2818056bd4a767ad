#include "src/libs/logging/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/libs/base/enum_table.h"

namespace mimosarail::logging {
namespace {

namespace bl = boost::log;

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(EventLogger, bl::sources::logger_mt)

constexpr EnumTable kLevelNames{std::array{
    EnumName{Level::kDebug, "debug"},
    EnumName{Level::kInfo, "info"},
    EnumName{Level::kWarning, "warning"},
    EnumName{Level::kError, "error"},
}};

/// Lines that may wait for a reader of standard output; some 1 MB. A reader
/// that stands still must not hold up the process or fill its memory.
constexpr size_t kQueuedLines = 4096;

std::atomic<int64_t> dropped_lines{0};

/// Drops what does not fit, and counts it.
struct CountingDrop {
  template <typename Lock>
  static bool on_overflow(const bl::record_view&, Lock&) {
    ++dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using Sink = bl::sinks::asynchronous_sink<
    bl::sinks::text_ostream_backend,
    bl::sinks::bounded_fifo_queue<kQueuedLines, CountingDrop>>;

std::string instance_name;
Level least_level = Level::kInfo;
boost::shared_ptr<Sink> sink;

}  // namespace

void Start(std::string_view instance, Level least) {
  instance_name = instance;
  least_level = least;
  bl::add_common_attributes();
  auto backend = boost::make_shared<bl::sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(
      bl::expressions::stream
      << "{\"time\":\""
      << bl::expressions::format_date_time<boost::posix_time::ptime>(
             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
      << "\"," << bl::expressions::smessage);
  bl::core::get()->add_sink(sink);
}

void Stop() {
  if (!sink) return;
  bl::core::get()->remove_sink(sink);
  sink->stop();
  sink->flush();
  sink.reset();
  instance_name.clear();
}

int64_t Dropped() { return dropped_lines.load(); }

bool Enabled(Level level) {
  return !instance_name.empty() && level >= least_level;
}

void Event(Level level, std::string_view event,
           const std::vector<Field>& fields) {
  if (!Enabled(level)) return;
  nlohmann::ordered_json line;
  line["level"] = kLevelNames.Name(level);
  line["instance"] = instance_name;
  line["event"] = event;
  for (const Field& field : fields) line[std::string(field.name)] = field.value;
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The sink writes the opening brace with the time.
  BOOST_LOG(EventLogger::get()) << text.substr(1);
}

}  // namespace mimosarail::logging
