#include "configuration/editing/editor.h"

#include "configuration/editing/edit_record.h"
#include "configuration/editing/reference_check.h"
#include "configuration/lists/move_entry.h"
#include "configuration/repository/repository.h"

namespace samphireway::configuration {

namespace {

constexpr int maximum_attempts = 8;
// Size limit of the platform for one object.
constexpr std::size_t maximum_object_bytes = 1U << 20U;

generation generation_of(const Json::Value& value)
{
    return static_cast<generation>(core::integer_member(value, "generation"));
}

Json::Value entry_of(const Json::Value& object, const entry_location& location)
{
    const Json::Value& entries = object[location.member];
    return entries.isObject() ? entries[location.id] : Json::Value();
}

std::string make_edit_id(const edit_request& request)
{
    if (request.idempotency_key.empty()) {
        return core::random_identifier();
    }
    return core::sha256_hex(request.operator_name + "\n" + request.idempotency_key).substr(0, 32);
}

std::string hash_edit(const entry_location& location, const Json::Value& value)
{
    return core::to_hex(core::hash64(location.member + "/" + location.id + "=" + core::write_json(value)));
}

template<typename Parsed> core::result<void> discard_value(const core::result<Parsed>& parsed)
{
    return parsed ? core::result<void>{} : tl::unexpected(parsed.error());
}

tl::unexpected<edit_failure> make_failure(const core::error& cause,
                                          core::verdict run = core::verdict::not_run)
{
    edit_failure failure{.cause = cause};
    failure.cause.run = run;
    return tl::unexpected(std::move(failure));
}

tl::unexpected<edit_failure> make_conflict(const std::string& message, const Json::Value& object,
                                           const entry_location& location, generation seen)
{
    return tl::unexpected(
        edit_failure{.cause = core::error{.code = core::error_code::conflict, .message = message},
                     .current = entry_of(object, location),
                     .in_force = generation_of(object),
                     .changes = edits_since(object, seen)});
}

} // namespace

editor::editor(platform::object_store store_to_use, std::size_t list_shards_to_use, editor_hooks hooks_to_use)
    : store(std::move(store_to_use)), list_shards(list_shards_to_use), hooks(std::move(hooks_to_use))
{
}

core::result<platform::object> editor::load(const std::string& key) const
{
    core::result<platform::object_reading> reading = this->store.get(key);
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    platform::object base{.key = key, .version = 0, .value = Json::Value(Json::objectValue)};
    if (reading->found) {
        base = std::move(*reading->found);
    }
    // An object that was removed from the platform, or restored there to an older generation, is
    // rebuilt from the one in force at this node: nodes accept higher generations only.
    if (this->hooks.stored) {
        Json::Value in_force = this->hooks.stored(key);
        if (generation_of(in_force) > generation_of(base.value)) {
            base.value = std::move(in_force);
        }
    }
    return base;
}

core::result<list_entry> editor::read(const entry_location& location) const
{
    const core::result<platform::object> found = this->load(location.key);
    if (!found) {
        return tl::unexpected(found.error());
    }
    return list_entry{.value = entry_of(found->value, location), .in_force = generation_of(found->value)};
}

core::result<void> editor::validate(const entry_location& location, const Json::Value& value) const
{
    if (value.isNull()) {
        const bool is_upstream = location.member == "upstreams" && this->hooks.current;
        return is_upstream ? check_upstream_unreferenced(*this->hooks.current(), location.id)
                           : core::result<void>{};
    }
    if (location.member == "plans") {
        return discard_value(plan_from_json(location.id, value));
    }
    if (location.member == "upstreams") {
        return discard_value(upstream_from_json(location.id, value));
    }
    if (location.member == "moves") {
        return discard_value(move_from_json(location.id, value));
    }
    if (location.member != "access") {
        return {};
    }
    const core::result<std::vector<access_entry>> entries = access_from_json(value);
    if (!entries || !this->hooks.current) {
        return discard_value(entries);
    }
    // The upstreams list is read from the platform, because an upstream that was just added through
    // another node may not be in force at this node yet.
    const core::result<platform::object> upstreams = this->load(upstreams_key);
    if (!upstreams) {
        return tl::unexpected(upstreams.error());
    }
    return check_access_references(*entries, upstreams->value["upstreams"]);
}

core::result<list_entry> editor::write(const entry_location& location, const Json::Value& value,
                                       std::optional<generation> expected) const
{
    edit_request request;
    request.expected = expected;
    tl::expected<list_entry, edit_failure> applied = this->apply(location, value, request);
    if (!applied) {
        return tl::unexpected(applied.error().cause);
    }
    return std::move(*applied);
}

tl::expected<list_entry, edit_failure> editor::apply(const entry_location& location, const Json::Value& value,
                                                     const edit_request& request) const
{
    const std::string edit_id = make_edit_id(request);
    const std::string request_hash = hash_edit(location, value);
    // Is `may_have_run` from a write whose answer was lost until a read shows whether the write was
    // applied.
    core::verdict run = core::verdict::not_run;
    for (int attempt = 0; attempt < maximum_attempts; ++attempt) {
        const core::result<platform::object> found = this->load(location.key);
        if (!found) {
            return make_failure(found.error(), run);
        }
        run = core::verdict::not_run;
        const generation in_force = generation_of(found->value);
        const edit_record earlier = find_edit_record(found->value, edit_id);
        if (earlier.written_generation > 0 && earlier.request_hash != request_hash) {
            return make_failure({.code = core::error_code::duplicate_request,
                                 .message = "Idempotency-Key: already used for a different edit"});
        }
        if (earlier.written_generation > 0) {
            return list_entry{.value = value, .in_force = earlier.written_generation, .is_repeated = true};
        }
        if (request.expected && *request.expected != in_force) {
            return make_conflict("the list has changed: generation " + std::to_string(in_force) +
                                     " is in force",
                                 found->value, location, *request.expected);
        }
        const Json::Value before = entry_of(found->value, location);
        if (request.must_not_exist && !before.isNull()) {
            return make_conflict("entry " + location.id + " of list " + location.member + " exists already",
                                 found->value, location, in_force);
        }
        if (value.isNull() && before.isNull()) {
            return make_failure({.code = core::error_code::not_found,
                                 .message = "list " + location.member + " has no entry " + location.id});
        }
        // Validation comes after the search for an earlier record, so that a retry of an applied edit
        // succeeds although the lists have changed since.
        const core::result<void> valid = this->validate(location, value);
        if (!valid) {
            return make_failure(valid.error());
        }
        Json::Value changed = found->value;
        changed["generation"] = static_cast<Json::UInt64>(in_force + 1);
        changed[location.member][location.id] = value;
        if (value.isNull()) {
            changed[location.member].removeMember(location.id);
        }
        append_edit_record(changed, {.edit_id = edit_id,
                                     .request_hash = request_hash,
                                     .written_generation = in_force + 1,
                                     .entry_id = location.id,
                                     .operator_name = request.operator_name,
                                     .fields = changed_fields(before, value)});
        if (core::write_json(changed).size() > maximum_object_bytes) {
            return make_failure({.code = core::error_code::payload_too_large,
                                 .message = "the object " + location.key + " would exceed 1 MB"});
        }
        const core::result<platform::put_outcome> outcome =
            this->store.put(location.key, changed, found->version);
        if (!outcome && outcome.error().run == core::verdict::not_run) {
            return make_failure(outcome.error());
        }
        if (!outcome) {
            run = core::verdict::may_have_run;
        }
        // After a lost answer, the next attempt finds the record of the edit or writes the edit again.
        if (outcome && outcome->applied) {
            return list_entry{.value = value, .in_force = in_force + 1};
        }
    }
    return make_failure({.code = core::error_code::platform_unavailable,
                         .message =
                             "the list is under contention, or answers of the platform were lost; retry "
                             "with the same Idempotency-Key"},
                        run);
}

entry_location editor::plan_location(const std::string& id) const
{
    return {.key = plans_key(list_shard(id, this->list_shards)), .member = "plans", .id = id};
}

entry_location editor::access_location(const std::string& plan_id) const
{
    return {.key = access_key(list_shard(plan_id, this->list_shards)), .member = "access", .id = plan_id};
}

entry_location editor::upstream_location(const std::string& id) const
{
    return {.key = upstreams_key, .member = "upstreams", .id = id};
}

entry_location editor::move_location(const std::string& id) const
{
    return {.key = moves_key, .member = "moves", .id = id};
}

} // namespace samphireway::configuration
