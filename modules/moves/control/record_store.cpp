#include "moves/control/record_store.h"

#include <optional>

namespace samphireway::moves {

namespace {

constexpr int maximum_attempts = 4;

} // namespace

core::result<move_record> store_record(const platform::object_store& store, const std::string& move_id,
                                       const move_record& record)
{
    const std::string key = record_key(move_id);
    core::result<platform::object_reading> reading = store.get(key);
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    std::optional<platform::object>& stored_object = reading->found;
    for (int attempt = 0; attempt < maximum_attempts; ++attempt) {
        move_record merged = record;
        if (stored_object) {
            const core::result<move_record> stored = move_record_from_json(stored_object->value);
            merged = stored ? merge(*stored, record) : record;
            if (stored && merged == *stored) {
                return merged;
            }
        }
        const platform::object_version version = stored_object ? stored_object->version : 0;
        const core::result<platform::put_outcome> written = store.put(key, to_json(merged), version);
        if (!written) {
            return tl::unexpected(written.error());
        }
        if (written->applied) {
            return merged;
        }
        stored_object = written->current;
    }
    return core::failure(core::error_code::conflict,
                         "other writers changed the record of the move during every attempt to store it");
}

core::result<std::map<std::string, move_record>> read_records(const platform::object_store& store)
{
    const core::result<platform::watch_batch> batch = store.list(record_prefix);
    if (!batch) {
        return tl::unexpected(batch.error());
    }
    std::map<std::string, move_record> records;
    for (const platform::object& object : batch->changed) {
        core::result<move_record> record = move_record_from_json(object.value);
        if (record) {
            records.emplace(object.key.substr(std::string(record_prefix).size()), std::move(*record));
        }
    }
    return records;
}

} // namespace samphireway::moves
