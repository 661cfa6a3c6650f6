#pragma once

#include "core/core.h"

#include <optional>

namespace samphireway::gateway {

/** Whether this node is stopping. Traffic thread only. */
struct drain_state {
    /** From this time on requests are refused; empty while the node is not stopping. */
    std::optional<core::steady_time> refuse_from;

    /** Returns whether a stop was asked for. */
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
