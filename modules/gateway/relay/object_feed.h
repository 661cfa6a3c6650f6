#pragma once

#include "gateway/control/object_follower.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** Until when knowledge of the object API is current. @see object_feed */
struct store_contact {
    core::steady_time answered_at;     ///< Latest time at which the object API is known to have answered.
    core::steady_time connected_since; ///< Start of the uninterrupted contact until then.
};

/**
    The objects of one kind as of one position of the object API, from whoever sent them.

    The position never goes back: a batch that is not newer, or that leaves out changes, is ignored. A higher
    generation begins with a list. The removals since an earlier revision are kept, so that another node can
    be sent only what it lacks. Control thread only.

    @see relay_hub, relay_subscription
*/
class object_feed {
public:
    /** Takes over a batch. Returns whether it is newer than what was held. */
    bool accept(const followed_batch& received);

    /** Returns whether objects may exist that are not known, since a list could not be read to its end. Other
     * nodes are sent nothing then, as they would take those objects for removed. */
    bool is_partial() const noexcept
    {
        return this->holds_partial_list;
    }

    /** Returns the position of the objects, or nothing before the first batch. */
    std::optional<platform::store_position> position() const noexcept
    {
        return this->held;
    }

    /** Returns whether an object has changed since a position that another node knows. */
    bool has_changed_since(const std::optional<platform::store_position>& known) const noexcept
    {
        return this->held && !this->holds_partial_list && (!known || *known < this->last_change());
    }

    /** Returns what a node that knows a position lacks, or nothing if no object has changed since. A node
     * that knows nothing, or a position from before the removals kept, gets all objects. */
    std::optional<followed_batch> changes_since(const std::optional<platform::store_position>& known) const;

    /** Records a contact with the object API; an older one than known is ignored. */
    void record_contact(const store_contact& seen);

    /** Returns the latest known contact, or nothing before the first. */
    const std::optional<store_contact>& contact() const noexcept
    {
        return this->last_contact;
    }

private:
    struct removal {
        platform::object_version revision = 0; ///< Revision at or before which the object was removed.
        std::string key;
    };

    platform::store_position last_change() const noexcept
    {
        return {.generation = this->held->generation, .revision = this->last_changed_revision};
    }

    void replace_all(const followed_batch& received);
    void apply_changes(const followed_batch& received);

    std::map<std::string, platform::object> objects;
    std::deque<removal> removals;                       ///< By rising revision.
    platform::object_version complete_since = 0;        ///< All removals after this revision are kept.
    platform::object_version last_changed_revision = 0; ///< Of the newest batch with changes.
    std::optional<platform::store_position> held;
    bool holds_partial_list = false;
    std::optional<store_contact> last_contact;
};

} // namespace samphireway::gateway
