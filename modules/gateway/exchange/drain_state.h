#pragma once

#include "core/core.h"

#include <optional>

namespace samphireway::gateway {

/** Whether this node is stopping. Traffic thread only. */
struct drain_state {
    /** Time from which new requests are refused; empty while the node is not stopping. */
    std::optional<core::steady_time> refuse_from;

    /** Time by which every request must be answered, since the process ends; empty while the node is not
     * stopping. A request that may not be repeated and could take longer must be refused. */
    std::optional<core::steady_time> answer_by;

    /** Returns whether the node was asked to stop. */
    bool is_draining() const noexcept
    {
        return this->refuse_from.has_value();
    }

    /** Returns whether a request that arrives now must be refused. */
    bool refuses(core::steady_time now) const noexcept
    {
        return this->refuse_from && now >= *this->refuse_from;
    }
};

} // namespace samphireway::gateway
