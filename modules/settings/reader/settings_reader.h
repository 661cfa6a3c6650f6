#pragma once

#include "core/core.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace samphireway::settings {

/** A missing or unknown key of a settings file, or one with an invalid value. @see settings_reader */
struct settings_fault {
    std::string key;     ///< Dotted path of the key.
    std::string found;   ///< The value in the file, shortened, or a description of it.
    std::string allowed; ///< Description of the allowed values.
};

/** Bounds, both inclusive, and default of an integer setting. @see settings_reader::integer */
struct integer_bounds {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::int64_t fallback = 0; ///< Used when the setting is absent or invalid.
};

/** Bounds, both inclusive, and default of a numeric setting. @see settings_reader::number */
struct number_bounds {
    double minimum = 0;
    double maximum = 0;
    double fallback = 0; ///< Used when the setting is absent or invalid.
};

/**
    Reads one object of a settings file and collects every fault in it.

    A value that is absent or invalid reads as its fallback or as empty, so that reading continues and
    finds all faults. `report_unknown_keys` adds a fault for each key that no call has read.

    @see read_node_settings
*/
class settings_reader {
public:
    /** Reads the object at a dotted path, which is empty for the whole file, and appends its faults. */
    settings_reader(const Json::Value& source_to_use, std::string path_to_use,
                    std::vector<settings_fault>& faults_to_use);

    /** Reads a string that must be present and not empty. */
    std::string required_string(const std::string& name);

    /** Reads a string, or returns the fallback when it is absent. */
    std::string string(const std::string& name, const std::string& fallback);

    /** Reads an integer within bounds, or returns the fallback when it is absent. */
    std::int64_t integer(const std::string& name, const integer_bounds& bounds);

    /** Reads a number within bounds, or returns the fallback when it is absent. */
    double number(const std::string& name, const number_bounds& bounds);

    /** Reads a duration as an integer in milliseconds; by convention, the key ends in `_ms`. */
    std::chrono::milliseconds milliseconds(const std::string& name, const integer_bounds& bounds);

    /** Reads a boolean, or returns the fallback when it is absent. */
    bool boolean(const std::string& name, bool fallback);

    /** Reads a list of strings, or returns an empty one when it is absent. */
    std::vector<std::string> string_list(const std::string& name);

    /** Returns a member, null when it is absent; a settings_reader for it checks that it is an
        object. */
    Json::Value object(const std::string& name);

    /** Reads a list of objects, or returns an empty one when it is absent. */
    Json::Value objects(const std::string& name);

    /** Adds a fault of a key. */
    void add_fault(const std::string& name, const std::string& found, const std::string& allowed);

    /** Adds a fault for every key that was not read. Must be called after all reads. */
    void report_unknown_keys();

    /** Returns the dotted path of a key. */
    std::string path_of(const std::string& name) const;

private:
    const Json::Value& read_member(const std::string& name);

    const Json::Value source;
    const std::string path;
    std::vector<settings_fault>& faults;
    std::vector<std::string> read_keys;
};

} // namespace samphireway::settings
