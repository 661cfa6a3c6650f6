#pragma once

#include "configuration/lists/lists.h"
#include "configuration/repository/snapshot.h"
#include "platform/objects/object_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphireway::configuration {

/** One entry of a list together with the generation of the object that holds it. @see editor */
struct list_entry {
    Json::Value value; ///< Null when there is no such entry.
    generation in_force = 0;
    bool is_repeated = false; ///< Whether an earlier request of the same edit was applied.
};

/** Location of one list entry in the stored objects. @see editor */
struct entry_location {
    std::string key;    ///< Key of the object.
    std::string member; ///< Member of the object that holds the entries.
    std::string id;     ///< Id of the entry.
};

/** Preconditions, idempotency key and operator of an edit. @see editor::apply */
struct edit_request {
    std::optional<generation> expected; ///< The edit fails when another generation is in force.
    bool must_not_exist = false;        ///< The edit fails when the entry exists.
    std::string idempotency_key;        ///< Scoped to the operator; empty for none.
    std::string operator_name;
};

/** Error of an edit. All members but the cause are set for conflicts only. @see editor::apply */
struct edit_failure {
    core::error cause;
    Json::Value current;     ///< The entry in force; null when there is none.
    generation in_force = 0; ///< Generation of the object that holds the entry.
    /** The edits made after the generation that the operator has seen, as objects with generation,
        entry, operator and fields. */
    Json::Value changes{Json::arrayValue};
};

/** Access to the configuration in force at this node. @see editor */
struct editor_hooks {
    /** Returns the stored form of an object in force, or null. An edit writes only a higher
        generation, also when the object was removed from the platform. */
    std::function<Json::Value(const std::string& key)> stored;
    /** Returns the configuration in force, for checks across lists. */
    std::function<std::shared_ptr<const snapshot>()> current;
};

/**
    Edits entries of the configuration objects by conditional update.

    An edit is validated before it is written. With an expected generation it fails with `conflict`
    when another one is in force, so that an operator never overwrites an edit that they have not
    seen. Each object keeps the records of its last 128 edits: an edit that is sent again with its
    idempotency key, or whose write answer was lost, is recognised and not applied twice, even if
    other edits were made in between.

    @see repository
*/
class editor {
public:
    editor(platform::object_store store, std::size_t list_shards, editor_hooks hooks = {});

    /** Reads one entry from the platform. */
    core::result<list_entry> read(const entry_location& location) const;

    /**
        Writes one entry, or removes it when `value` is null, and returns it with the new generation.

        `expected` is the generation that the operator has seen: the edit fails with `conflict` when
        another one is in force. Without it the edit is applied to any generation.
    */
    core::result<list_entry> write(const entry_location& location, const Json::Value& value,
                                   std::optional<generation> expected) const;

    /** Writes one entry, or removes it when `value` is null, under the preconditions of a request.
        Returns it with the new generation, or with the earlier one when the same edit was already
        applied. */
    tl::expected<list_entry, edit_failure> apply(const entry_location& location, const Json::Value& value,
                                                 const edit_request& request) const;

    /** Returns the location of an entry of the plans list. The functions below do so for the other
        lists. */
    entry_location plan_location(const std::string& id) const;
    entry_location access_location(const std::string& plan_id) const;
    entry_location upstream_location(const std::string& id) const;
    entry_location move_location(const std::string& id) const;

private:
    core::result<void> validate(const entry_location& location, const Json::Value& value) const;
    core::result<platform::object> load(const std::string& key) const;

    const platform::object_store store;
    const std::size_t list_shards;
    const editor_hooks hooks;
};

} // namespace samphireway::configuration
