#pragma once

#include "gateway/model/configuration.h"

#include <string_view>
#include <unordered_map>

namespace samphireway::gateway {

/**
    A configuration with indexes by host, path and key. Immutable once published.

    @see configuration
*/
class route_table {
public:
    explicit route_table(configuration configuration_to_use);

    /** Returns the host's route with the longest path prefix that matches, or null. Ignores the port
     * and case of `host` and the query of `path`. */
    const route* find_route(std::string_view host, std::string_view path) const;

    /** Returns the workspace to which an API key belongs, or null. */
    const workspace* find_workspace(const std::string& key) const;

    /** Returns the service with a name, or null. */
    const service* find_service(const std::string& name) const;

    /** Returns the configuration that the table was built from. */
    const configuration& source() const noexcept
    {
        return this->source_configuration;
    }

    /** Returns whether requests need a key on routes that are not anonymous. */
    bool needs_key() const noexcept
    {
        return !this->source_configuration.workspaces.empty();
    }

private:
    const configuration source_configuration;
    std::unordered_map<std::string, std::unordered_map<std::string, const route*>> by_host;
    std::unordered_map<std::string, const workspace*> by_key;
};

/** Returns the service for a request, by the weights of the route's shares. `selector` is a hash of the
 * request, so that every node chooses the same service for it. @pre the route has a share */
const std::string& choose_service(const route& chosen, std::uint64_t selector);

} // namespace samphireway::gateway
