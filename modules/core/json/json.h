#pragma once

#include "core/errors/error.h"

#include <json/json.h>
#include <string>

namespace samphireway::core {

/** Largest nesting depth that the JSON parser accepts, which bounds its recursion. */
constexpr int maximum_json_depth = 64;

namespace detail {

/** Parses a text with a reader's options, and returns its exceptions as failures. */
result<Json::Value> parse_json_with(const std::string& text, const Json::CharReaderBuilder& builder);

} // namespace detail

/** Parses a JSON text without comments, as callers and peers send it. Fails with `invalid_argument`. */
result<Json::Value> parse_json(const std::string& text);

/** Parses a JSON text with optional comments, as in settings files. Fails with `invalid_argument`. */
result<Json::Value> parse_json_with_comments(const std::string& text);

/** Returns a value as JSON text on one line without indentation. */
std::string write_json(const Json::Value& value);

/** Returns a string member, or `fallback` when it is absent or of another type. */
std::string string_member(const Json::Value& object, const char* name, const std::string& fallback = {});

/** Returns an integer member, or `fallback` when it is absent or not a 64-bit integer. */
std::int64_t integer_member(const Json::Value& object, const char* name, std::int64_t fallback = 0);

/** Returns a boolean member, or `fallback` when it is absent or of another type. */
bool boolean_member(const Json::Value& object, const char* name, bool fallback = false);

} // namespace samphireway::core
