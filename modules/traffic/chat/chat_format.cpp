#include "traffic/chat/chat_format.h"

#include <algorithm>

namespace samphireway::traffic {

namespace {

constexpr std::size_t maximum_request_id_bytes = 128;

Json::Value usage_json(const token_usage& usage)
{
    Json::Value json(Json::objectValue);
    json["prompt_tokens"] = static_cast<Json::Int64>(usage.prompt);
    json["completion_tokens"] = static_cast<Json::Int64>(usage.output);
    json["total_tokens"] = static_cast<Json::Int64>(usage.prompt + usage.output);
    return json;
}

Json::Value chunk_json(const std::string& request_id, const std::string& model, const std::string& text)
{
    Json::Value json(Json::objectValue);
    json["id"] = request_id;
    json["object"] = "chat.completion.chunk";
    json["model"] = model;
    Json::Value& choice = json["choices"].append(Json::Value(Json::objectValue));
    choice["index"] = 0;
    choice["delta"] = Json::Value(Json::objectValue);
    if (!text.empty()) {
        choice["delta"]["content"] = text;
    }
    choice["finish_reason"] = Json::Value();
    return json;
}

Json::Value error_json(const core::error& failure, const std::string& request_id)
{
    Json::Value json(Json::objectValue);
    json["error"]["code"] = std::string(core::to_string(failure.code));
    json["error"]["message"] = failure.message;
    json["error"]["verdict"] = std::string(core::to_string(failure.run));
    json["error"]["request_id"] = request_id;
    return json;
}

std::string format_event(const std::string& data)
{
    return "data: " + data + "\n\n";
}

/** Returns a text escaped for use between the quotes of a JSON string. */
std::string escape_json(const std::string& text)
{
    const std::string quoted = core::write_json(Json::Value(text));
    return quoted.substr(1, quoted.size() - 2);
}

} // namespace

answer_format event_stream_format(const std::string& request_id, const std::string& model)
{
    return answer_format{.content_type = "text/event-stream",
                         .opening = {},
                         .piece =
                             [request_id, model](const std::string& text) {
                                 return format_event(core::write_json(chunk_json(request_id, model, text)));
                             },
                         .closing =
                             [request_id, model](const stream_end& end) {
                                 Json::Value last = chunk_json(request_id, model, "");
                                 last["choices"][0]["finish_reason"] = end.finish_reason;
                                 last["usage"] = usage_json(end.usage);
                                 return format_event(core::write_json(last)) + format_event("[DONE]");
                             },
                         .failure =
                             [request_id](const core::error& failure) {
                                 return format_event(core::write_json(error_json(failure, request_id)));
                             }};
}

answer_format json_document_format(const std::string& request_id, const std::string& model)
{
    return answer_format{
        .content_type = "application/json",
        .opening = "{\"id\":\"" + escape_json(request_id) + "\",\"object\":\"chat.completion\",\"model\":\"" +
                   escape_json(model) +
                   "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"",
        .piece = [](const std::string& text) { return escape_json(text); },
        .closing =
            [](const stream_end& end) {
                return "\"},\"finish_reason\":\"" + escape_json(end.finish_reason) +
                       "\"}],\"usage\":" + core::write_json(usage_json(end.usage)) + "}";
            },
        .failure = {}};
}

std::string request_id_of(const httplib::Request& request)
{
    const std::string header = request.get_header_value("X-Request-Id");
    const bool is_printable = std::all_of(
        header.begin(), header.end(), [](char character) { return character > ' ' && character < '\x7F'; });
    return header.empty() || header.size() > maximum_request_id_bytes || !is_printable
               ? core::random_identifier()
               : header;
}

int priority_of(const httplib::Request& request)
{
    const std::string header = request.get_header_value("X-Priority");
    return header.size() == 1 && header[0] >= '0' && header[0] <= '9' ? header[0] - '0' : 0;
}

void write_error(httplib::Response& response, const core::error& failure, const std::string& request_id)
{
    response.status = core::http_status(failure.code);
    response.set_header("X-Request-Id", request_id);
    response.set_header("X-Samphireway-Verdict", std::string(core::to_string(failure.run)));
    if (failure.retry_after.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(core::write_json(error_json(failure, request_id)), "application/json");
}

} // namespace samphireway::traffic
