#pragma once

#include "gateway/model/configuration.h"

#include <string_view>
#include <unordered_map>

namespace samphireway::gateway {

/**
    A configuration indexed for requests. Immutable once published.

    @see configuration
*/
class route_table {
public:
    explicit route_table(configuration given);

    /** Returns the route of the host with the longest prefix that begins the path, or null. */
    const route* find_route(std::string_view host, std::string_view path) const;

    /** Returns the workspace that holds a key, or null. */
    const workspace* find_workspace(const std::string& key) const;

    /** Returns the service of a name, or null. */
    const service* find_service(const std::string& name) const;

    /** Returns the configuration that the table was built from. */
    const configuration& source() const noexcept
    {
        return this->all;
    }

    /** Returns whether requests need a key on routes that are not anonymous. */
    bool needs_key() const noexcept
    {
        return !this->all.workspaces.empty();
    }

private:
    const configuration all;
    std::unordered_map<std::string, std::unordered_map<std::string, const route*>> by_host;
    std::unordered_map<std::string, const workspace*> by_key;
};

/** Picks the service of a request by the weights of the route's shares. `selector` is a hash of the request,
 * so that one request gets the same service at every node. */
const std::string& choose_service(const route& chosen, std::uint64_t selector);

} // namespace samphireway::gateway
