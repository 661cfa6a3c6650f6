#pragma once

#include "configuration/repository/snapshot.h"

#include <json/json.h>
#include <string>

namespace samphireway::configuration {

/** Record of an edit, stored in the object that it changed. @see editor */
struct edit_record {
    /** Hash of operator and idempotency key; random when there is no key. */
    std::string edit_id;
    /** Hash of entry and value; it detects a different edit under the same idempotency key. */
    std::string request_hash;
    generation written_generation = 0; ///< Generation of the object that the edit wrote.
    std::string entry_id;              ///< Id of the entry that the edit wrote or removed.
    std::string operator_name;
    Json::Value fields{Json::arrayValue}; ///< Names of the fields that the edit changed.
};

/** Member of a stored object that holds the records of its last edits. */
inline constexpr const char* edits_member = "edits";

/** Appends an edit record to an object, which keeps the last 128 records. */
void append_edit_record(Json::Value& object, const edit_record& record);

/** Returns id, request hash and generation of the recorded edit with an id; generation zero when
    there is none. */
edit_record find_edit_record(const Json::Value& object, const std::string& edit_id);

/** Returns the recorded edits that wrote a generation above `seen`, in the form shown to operators. */
Json::Value edits_since(const Json::Value& object, generation seen);

/** Returns the names of the fields in which two entries differ; `(whole)` when they differ and one of
    them is not an object. */
Json::Value changed_fields(const Json::Value& before, const Json::Value& after);

} // namespace samphireway::configuration
