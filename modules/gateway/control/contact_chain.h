#pragma once

#include "core/core.h"

#include <chrono>
#include <optional>

namespace samphireway::gateway {

/** A span in which the object API was alive. @see contact_chain */
struct alive_span {
    core::steady_time from;
    core::steady_time until;
};

/**
    Since when the object API has been in reach without an absence in which entries can have expired.

    An entry expires after three report intervals of silence, so a short absence costs no entry. All calls and
    all relays of a node show the same object API, so whichever answers proves it. Control thread only.

    @see upstream_tracker
*/
class contact_chain {
public:
    /** Records a call that was answered, or a waiting one that was cut off at the end of the span. */
    void record_call(const alive_span& call);

    /** Records a contact that another node has had without an interruption. */
    void record_contact(const alive_span& contact);

    /** Records a call that was not answered. */
    void record_failure();

    /** Returns the start of the contact that lasts; empty before the first one. */
    const std::optional<core::steady_time>& connected_since() const noexcept
    {
        return this->since;
    }

private:
    void extend(const alive_span& span, std::chrono::milliseconds tolerated, core::steady_time since_if_new);

    std::optional<core::steady_time> since;
    core::steady_time alive_until;
    bool has_failed = false; ///< Whether a call was not answered since the last one that was.
};

} // namespace samphireway::gateway
