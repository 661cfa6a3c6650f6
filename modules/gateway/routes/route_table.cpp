#include "gateway/routes/route_table.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <cassert>

namespace samphireway::gateway {

route_table::route_table(configuration configuration_to_use)
    : source_configuration(std::move(configuration_to_use))
{
    for (const route& entry : this->source_configuration.routes) {
        const std::string host = boost::algorithm::to_lower_copy(entry.host);
        this->by_host[host].emplace(entry.path_prefix, &entry);
    }
    for (const workspace& entry : this->source_configuration.workspaces) {
        for (const std::string& key : entry.keys) {
            this->by_key.emplace(key, &entry);
        }
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const std::string name = boost::algorithm::to_lower_copy(std::string(host.substr(0, host.find(':'))));
    const auto routes = this->by_host.find(name);
    if (routes == this->by_host.end()) {
        return nullptr;
    }
    std::string_view prefix = path.substr(0, path.find_first_of("?#"));
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(std::string(prefix.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
}

const workspace* route_table::find_workspace(const std::string& key) const
{
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

const service* route_table::find_service(const std::string& name) const
{
    const auto found = this->source_configuration.services.find(name);
    return found == this->source_configuration.services.end() ? nullptr : &found->second;
}

const std::string& choose_service(const route& chosen, std::uint64_t selector)
{
    assert(!chosen.shares.empty());
    std::uint64_t total = 0;
    for (const service_share& share : chosen.shares) {
        total += static_cast<std::uint64_t>(std::max(0, share.weight));
    }
    if (total == 0) {
        return chosen.shares.front().service;
    }
    std::uint64_t position = selector % total;
    for (const service_share& share : chosen.shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, share.weight));
        if (position < weight) {
            return share.service;
        }
        position -= weight;
    }
    return chosen.shares.back().service;
}

} // namespace samphireway::gateway
