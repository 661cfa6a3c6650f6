#include "admin/server/admin_responses.h"

#include <charconv>

namespace samphireway::admin {

void write_json(httplib::Response& response, const Json::Value& json)
{
    response.set_content(core::write_json(json), "application/json");
}

void write_error(httplib::Response& response, const core::error& failure)
{
    Json::Value json(Json::objectValue);
    json["error"]["code"] = std::string(core::to_string(failure.code));
    json["error"]["message"] = failure.message;
    json["error"]["verdict"] = std::string(core::to_string(failure.run));
    response.status = core::http_status(failure.code);
    write_json(response, json);
}

core::result<std::optional<configuration::generation>> read_precondition(const httplib::Request& request)
{
    std::string text = request.get_header_value("If-Match");
    if (text.empty()) {
        return std::optional<configuration::generation>{};
    }
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    configuration::generation expected = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), expected);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return core::failure(core::error_code::invalid_argument, "If-Match: expected a generation");
    }
    return std::optional<configuration::generation>(expected);
}

} // namespace samphireway::admin
