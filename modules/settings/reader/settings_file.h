#pragma once

#include "core/core.h"
#include "settings/reader/settings_reader.h"

#include <string>
#include <vector>

namespace samphireway::settings {

/** Reads a settings file as JSON with comments. Fails with `not_found` or `invalid_argument`. */
core::result<Json::Value> read_settings_file(const std::string& file);

/** Fails with `invalid_argument` and one line per fault (file, key, found, allowed) when there is any. */
core::result<void> check_faults(const std::string& file, const std::vector<settings_fault>& faults);

} // namespace samphireway::settings
