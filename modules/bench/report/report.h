#pragma once

#include "bench/run/experiment.h"

#include <json/json.h>
#include <string>

namespace samphireway::bench {

/** Returns all measurements of an experiment as JSON. */
Json::Value report_json(const load_options& options, const experiment_result& result);

/** Returns the result of `report_json` as plain text. */
std::string report_text(const Json::Value& report);

} // namespace samphireway::bench
