#include "core/log/log.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace samphireway::core {

namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::string_view to_string(log_level level)
{
    return level_names.at(static_cast<std::size_t>(level));
}

std::string quote_if_needed(std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        const bool is_control = static_cast<unsigned char>(character) < 0x20U;
        quoted += is_control ? ' ' : character;
    }
    quoted += '"';
    return quoted;
}

} // namespace

log_field::log_field(std::string_view field_key, std::string_view field_value)
    : key(field_key), value(field_value)
{
}

log_field::log_field(std::string_view field_key, long long field_value)
    : key(field_key), value(std::to_string(field_value))
{
}

void initialize_log(log_level minimum)
{
    namespace expressions = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format =
                                    expressions::stream
                                    << "time="
                                    << expressions::format_date_time<boost::posix_time::ptime>(
                                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                    << ' ' << expressions::smessage);
    set_log_level(minimum);
}

void set_log_level(log_level minimum)
{
    boost::log::core::get()->set_filter(boost::log::expressions::attr<log_level>("Severity") >= minimum);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    thread_local boost::log::sources::severity_logger<log_level> logger;
    boost::log::record record = logger.open_record(boost::log::keywords::severity = level);
    if (!record) {
        return;
    }
    boost::log::record_ostream stream(record);
    stream << "level=" << to_string(level) << " event=" << event;
    for (const log_field& field : fields) {
        stream << ' ' << field.key << '=' << quote_if_needed(field.value);
    }
    stream.flush();
    logger.push_record(std::move(record));
}

bool parse_log_level(std::string_view word, log_level& level)
{
    for (std::size_t index = 0; index < level_names.size(); ++index) {
        if (level_names.at(index) == word) {
            level = static_cast<log_level>(index);
            return true;
        }
    }
    return false;
}

} // namespace samphireway::core
