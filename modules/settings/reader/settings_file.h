#pragma once

#include "core/core.h"
#include "settings/reader/settings_reader.h"

#include <string>
#include <vector>

namespace samphireway::settings {

/** Reads a settings file as JSON with comments. Fails with `not_found` when the file cannot be read,
    and with `invalid_argument` when it is not JSON. */
core::result<Json::Value> read_settings_file(const std::string& file);

/** Fails with `invalid_argument` when there are faults; the message has a line for each, with file,
    key, found value and allowed values. */
core::result<void> check_faults(const std::string& file, const std::vector<settings_fault>& faults);

} // namespace samphireway::settings
