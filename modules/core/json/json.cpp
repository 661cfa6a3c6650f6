#include "core/json/json.h"

#include <memory>

namespace samphireway::core {

namespace {

Json::CharReaderBuilder make_reader_builder(bool allow_comments)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = allow_comments;
    builder["allowTrailingCommas"] = false;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    builder["stackLimit"] = maximum_json_depth;
    return builder;
}

} // namespace

namespace detail {

result<Json::Value> parse_json_with(const std::string& text, const Json::CharReaderBuilder& builder)
{
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return failure(error_code::invalid_argument, "malformed JSON: " + errors);
        }
    }
    catch (const Json::Exception& exception) {
        return failure(error_code::invalid_argument, std::string("malformed JSON: ") + exception.what());
    }
    return value;
}

} // namespace detail

result<Json::Value> parse_json(const std::string& text)
{
    static const Json::CharReaderBuilder builder = make_reader_builder(false);
    return detail::parse_json_with(text, builder);
}

result<Json::Value> parse_json_with_comments(const std::string& text)
{
    static const Json::CharReaderBuilder builder = make_reader_builder(true);
    return detail::parse_json_with(text, builder);
}

std::string write_json(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        writer["emitUTF8"] = true;
        return writer;
    }();
    return Json::writeString(builder, value);
}

std::string string_member(const Json::Value& object, const char* name, const std::string& fallback)
{
    if (!object.isObject() || !object[name].isString()) {
        return fallback;
    }
    return object[name].asString();
}

std::int64_t integer_member(const Json::Value& object, const char* name, std::int64_t fallback)
{
    if (!object.isObject() || !object[name].isInt64()) {
        return fallback;
    }
    return object[name].asInt64();
}

bool boolean_member(const Json::Value& object, const char* name, bool fallback)
{
    if (!object.isObject() || !object[name].isBool()) {
        return fallback;
    }
    return object[name].asBool();
}

} // namespace samphireway::core
