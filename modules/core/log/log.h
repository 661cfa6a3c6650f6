#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace samphireway::core {

/** Severity of a log line, lowest first. @see log_event */
enum class log_level { debug, info, warning, error };

/** A key=value pair of a log line. Empty values and those with white space, `"` or `=` are quoted. */
struct log_field {
    log_field(std::string_view field_key, std::string_view field_value);
    log_field(std::string_view field_key, long long field_value);

    std::string_view key;
    std::string value;
};

/** Directs log lines to standard error and drops those below `minimum`. Call once at startup. */
void initialize_log(log_level minimum);

/**
    Writes one line of key=value pairs: time, level, event and then `fields`.

    Never pass a key or another secret as a value.
*/
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/** Drops lines below `minimum` from now on. */
void set_log_level(log_level minimum);

/** Parses `debug`, `info`, `warning` or `error`; returns false for any other word. */
bool parse_log_level(std::string_view word, log_level& level);

} // namespace samphireway::core
