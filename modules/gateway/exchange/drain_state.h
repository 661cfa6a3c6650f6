#pragma once

#include "core/core.h"

#include <optional>

namespace samphireway::gateway {

/** Whether this node is stopping. Traffic thread only. */
struct drain_state {
    /** Time from which new requests are refused; empty while the node is not stopping. */
    std::optional<core::steady_time> refuse_from;

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
