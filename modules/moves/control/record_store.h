#pragma once

#include "moves/policy/move_record.h"
#include "platform/objects/object_store.h"

#include <map>
#include <string>

namespace samphireway::moves {

/**
    Merges a record into the stored one by conditional update and returns the record that is then
    stored.

    Calls may be repeated and made by several nodes at once, since records only move forward. Fails with
    `platform_unavailable` or `rate_limited`, or with `conflict` when other writers changed the object
    during every attempt. With verdict `may_have_run` the write may have taken effect; repeating it is
    harmless.
*/
core::result<move_record> store_record(const platform::object_store& store, const std::string& move_id,
                                       const move_record& record);

/** Reads all records from the platform, by move id. Skips objects that are not valid records. */
core::result<std::map<std::string, move_record>> read_records(const platform::object_store& store);

} // namespace samphireway::moves
