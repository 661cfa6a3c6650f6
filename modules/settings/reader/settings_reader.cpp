#include "settings/reader/settings_reader.h"

#include <algorithm>

namespace samphireway::settings {

namespace {

constexpr std::size_t maximum_shown_characters = 60;

std::string describe_value(const Json::Value& value)
{
    if (value.isNull()) {
        return "nothing";
    }
    return core::write_json(value).substr(0, maximum_shown_characters);
}

} // namespace

settings_reader::settings_reader(const Json::Value& source_to_use, std::string path_to_use,
                                 std::vector<settings_fault>& faults_to_use)
    : source(source_to_use.isObject() ? source_to_use : Json::Value(Json::objectValue)),
      path(std::move(path_to_use)), faults(faults_to_use)
{
    if (!source_to_use.isObject() && !source_to_use.isNull()) {
        this->faults.push_back({.key = this->path.empty() ? "(whole)" : this->path,
                                .found = describe_value(source_to_use),
                                .allowed = "an object"});
    }
}

const Json::Value& settings_reader::read_member(const std::string& name)
{
    this->read_keys.push_back(name);
    return this->source[name];
}

std::string settings_reader::path_of(const std::string& name) const
{
    return this->path.empty() ? name : this->path + "." + name;
}

void settings_reader::add_fault(const std::string& name, const std::string& found, const std::string& allowed)
{
    this->faults.push_back({.key = this->path_of(name), .found = found, .allowed = allowed});
}

std::string settings_reader::required_string(const std::string& name)
{
    const Json::Value& value = this->read_member(name);
    if (!value.isString() || value.asString().empty()) {
        this->add_fault(name, describe_value(value), "a non-empty string");
        return {};
    }
    return value.asString();
}

std::string settings_reader::string(const std::string& name, const std::string& fallback)
{
    const Json::Value& value = this->read_member(name);
    if (value.isNull()) {
        return fallback;
    }
    if (!value.isString()) {
        this->add_fault(name, describe_value(value), "a string");
        return fallback;
    }
    return value.asString();
}

std::int64_t settings_reader::integer(const std::string& name, const integer_bounds& bounds)
{
    const Json::Value& value = this->read_member(name);
    if (value.isNull()) {
        return bounds.fallback;
    }
    const bool is_in_bounds =
        value.isInt64() && value.asInt64() >= bounds.minimum && value.asInt64() <= bounds.maximum;
    if (!is_in_bounds) {
        this->add_fault(name, describe_value(value),
                        "an integer from " + std::to_string(bounds.minimum) + " to " +
                            std::to_string(bounds.maximum));
        return bounds.fallback;
    }
    return value.asInt64();
}

double settings_reader::number(const std::string& name, const number_bounds& bounds)
{
    const Json::Value& value = this->read_member(name);
    if (value.isNull()) {
        return bounds.fallback;
    }
    const bool is_in_bounds =
        value.isNumeric() && value.asDouble() >= bounds.minimum && value.asDouble() <= bounds.maximum;
    if (!is_in_bounds) {
        this->add_fault(name, describe_value(value),
                        "a number from " + std::to_string(bounds.minimum) + " to " +
                            std::to_string(bounds.maximum));
        return bounds.fallback;
    }
    return value.asDouble();
}

std::chrono::milliseconds settings_reader::milliseconds(const std::string& name, const integer_bounds& bounds)
{
    return std::chrono::milliseconds(this->integer(name, bounds));
}

bool settings_reader::boolean(const std::string& name, bool fallback)
{
    const Json::Value& value = this->read_member(name);
    if (value.isNull()) {
        return fallback;
    }
    if (!value.isBool()) {
        this->add_fault(name, describe_value(value), "true or false");
        return fallback;
    }
    return value.asBool();
}

std::vector<std::string> settings_reader::string_list(const std::string& name)
{
    const Json::Value& value = this->read_member(name);
    std::vector<std::string> result;
    if (value.isNull()) {
        return result;
    }
    const bool is_list_of_strings =
        value.isArray() &&
        std::all_of(value.begin(), value.end(), [](const auto& entry) { return entry.isString(); });
    if (!is_list_of_strings) {
        this->add_fault(name, describe_value(value), "a list of strings");
        return result;
    }
    for (const Json::Value& entry : value) {
        result.push_back(entry.asString());
    }
    return result;
}

Json::Value settings_reader::object(const std::string& name)
{
    return this->read_member(name);
}

Json::Value settings_reader::objects(const std::string& name)
{
    const Json::Value& value = this->read_member(name);
    if (value.isNull()) {
        return Json::Value(Json::arrayValue);
    }
    if (!value.isArray()) {
        this->add_fault(name, describe_value(value), "a list of objects");
        return Json::Value(Json::arrayValue);
    }
    return value;
}

void settings_reader::report_unknown_keys()
{
    for (const std::string& name : this->source.getMemberNames()) {
        if (std::find(this->read_keys.begin(), this->read_keys.end(), name) == this->read_keys.end()) {
            this->add_fault(name, describe_value(this->source[name]), "no key of this name");
        }
    }
}

} // namespace samphireway::settings
