#include "src/libs/logging/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/libs/base/enum_table.h"

namespace mimosarail::logging {
namespace {

namespace bl = boost::log;

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(EventLogger, bl::sources::logger_mt)

constexpr EnumTable kLevelNames{std::array{
    EnumName{Level::kInfo, "info"},
    EnumName{Level::kWarning, "warning"},
    EnumName{Level::kError, "error"},
}};

std::string instance_name;

}  // namespace

void Start(std::string_view instance) {
  instance_name = instance;
  bl::add_common_attributes();
  bl::add_console_log(
      std::cerr,
      bl::keywords::format =
          bl::expressions::stream
          << "{\"time\":\""
          << bl::expressions::format_date_time<boost::posix_time::ptime>(
                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
          << "\"," << bl::expressions::smessage,
      bl::keywords::auto_flush = true);
}

void Event(Level level, std::string_view event,
           const std::vector<Field>& fields) {
  if (instance_name.empty()) return;
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
