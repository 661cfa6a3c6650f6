#include "settings/reader/settings_file.h"

#include <fstream>
#include <sstream>

namespace samphireway::settings {

core::result<Json::Value> read_settings_file(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream) {
        return core::failure(core::error_code::not_found, file + ": cannot be read");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    core::result<Json::Value> document = core::parse_json_with_comments(content.str());
    if (!document) {
        return core::failure(core::error_code::invalid_argument, file + ": " + document.error().message);
    }
    return document;
}

core::result<void> check_faults(const std::string& file, const std::vector<settings_fault>& faults)
{
    if (faults.empty()) {
        return {};
    }
    std::string message;
    for (const settings_fault& fault : faults) {
        message += message.empty() ? "" : "\n";
        message += file + ": key " + fault.key + ": found " + fault.found + ", allowed " + fault.allowed;
    }
    return core::failure(core::error_code::invalid_argument, message);
}

} // namespace samphireway::settings
